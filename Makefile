# Sources are found by wildcard; a new module needs no edit here.
BUILD ?= build
CC = gcc
CXX = g++
PKGS = libevent evhtp libtirpc glib-2.0 jansson libxxhash openssl zlib
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS))
PKG_LIBS := $(shell pkg-config --libs $(PKGS))
TEST_CFLAGS := $(shell pkg-config --cflags cunit lua5.4)
TEST_LIBS := $(shell pkg-config --libs cunit lua5.4)
OPT ?= -O2
SAN ?=
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wno-unused-parameter
CPPFLAGS += -I. -Iinclude -Isrc/libmasticmux/include -Isrc -D_GNU_SOURCE
CFLAGS += -std=gnu11 $(OPT) -g -fno-omit-frame-pointer $(SAN)
CXXFLAGS += -std=c++17 $(OPT) -g $(SAN) -Wall -Wextra -Werror

LIB_SRC := $(wildcard src/libmasticmux/*.c platform/*.c)
SHARE_SRC := $(wildcard src/share/*.c)
SHARE_CXX := $(wildcard src/share/*.cc)
PROGRAM_SRC := $(wildcard src/masticmux/*.c)
STANDIN_SRC := $(wildcard src/standin/*.c)
TEST_SRC := $(wildcard src/test_libmasticmux/*.c platform/test/*.c)
SCENARIO_SRC := $(wildcard test/*.c)
BENCH_SRC := $(wildcard bench/*.c)
# Linked into every benchmark.
BENCH_MODEL_SRC := $(wildcard bench/model/*.c)

obj = $(patsubst %.c,$(BUILD)/obj/%.o,$(patsubst %.cc,$(BUILD)/obj/%.o,$(1)))
LIB_OBJ := $(call obj,$(LIB_SRC) $(SHARE_SRC) $(SHARE_CXX))
LIB := $(BUILD)/libmasticmux.a
FORMAT_SRC := $(LIB_SRC) $(SHARE_SRC) $(SHARE_CXX) $(PROGRAM_SRC) \
	$(STANDIN_SRC) $(TEST_SRC) $(SCENARIO_SRC) $(BENCH_SRC) \
	$(BENCH_MODEL_SRC) \
	$(wildcard platform/*.h include/masticmux/*.h src/*/*.h test/*.h bench/*.h bench/*/*.h \
	src/libmasticmux/include/private/*.h)
LINT_SRC := $(LIB_SRC) $(SHARE_SRC) $(PROGRAM_SRC) $(STANDIN_SRC) \
	$(TEST_SRC) $(SCENARIO_SRC) $(BENCH_SRC) $(BENCH_MODEL_SRC)
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(BENCH_SRC))

programs = $(if $(PROGRAM_SRC),$(BUILD)/masticmux) \
	$(if $(STANDIN_SRC),$(BUILD)/masticmux-standin) \
	$(if $(TEST_SRC),$(BUILD)/unit-tests) \
	$(if $(SCENARIO_SRC),$(BUILD)/scenario-tests) $(BENCHES)

all: $(programs)

$(LIB): $(LIB_OBJ)
	@mkdir -p $(@D)
	@rm -f $@
	@ar rcs $@ $^

# Programs are linked aside and renamed: nodes of a soak or a bench run start
# again at any time, also while a build is on.
$(BUILD)/masticmux: $(call obj,$(PROGRAM_SRC)) $(LIB)
	@$(CXX) $(SAN) -o $@.new $^ $(PKG_LIBS) -lm && mv $@.new $@

$(BUILD)/masticmux-standin: $(call obj,$(STANDIN_SRC)) $(LIB)
	@$(CXX) $(SAN) -o $@.new $^ $(PKG_LIBS) -lm && mv $@.new $@

$(BUILD)/unit-tests: $(call obj,$(TEST_SRC)) $(LIB)
	@$(CXX) $(SAN) -o $@.new $^ $(PKG_LIBS) $(TEST_LIBS) -lm && mv $@.new $@

$(BUILD)/scenario-tests: $(call obj,$(SCENARIO_SRC)) $(LIB)
	@$(CXX) $(SAN) -o $@.new $^ $(PKG_LIBS) $(TEST_LIBS) -lm && mv $@.new $@

$(BUILD)/bench/%: $(BUILD)/obj/bench/%.o $(call obj,$(BENCH_MODEL_SRC)) $(LIB)
	@mkdir -p $(@D)
	@$(CXX) $(SAN) -o $@.new $^ $(PKG_LIBS) -lm && mv $@.new $@

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) $(PKG_CFLAGS) $(TEST_CFLAGS) $(CFLAGS) $(WARN) \
		-MMD -MP -c -o $@ $<

$(BUILD)/obj/%.o: %.cc
	@mkdir -p $(@D)
	@$(CXX) $(CPPFLAGS) $(PKG_CFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

test: all
	$(BUILD)/unit-tests
	$(if $(SCENARIO_SRC),$(BUILD)/scenario-tests test)

sanitize:
	$(MAKE) BUILD=build-sanitize OPT=-O1 \
		SAN="-fsanitize=address,undefined -fno-sanitize-recover=undefined" test

format:
	clang-format -i $(FORMAT_SRC)

format-check:
	@clang-format --dry-run -Werror $(FORMAT_SRC)

LINT_JOBS ?= 10
LINT_FLAGS = $(CPPFLAGS) $(PKG_CFLAGS) $(TEST_CFLAGS) -std=gnu11

lint:
	@printf '%s\n' $(LINT_SRC) | xargs -P $(LINT_JOBS) -n 1 sh -c \
		'clang-tidy --quiet "$$@" -- $(LINT_FLAGS) 2>/dev/null' lint
	@sh scripts/lint-static.sh

clean:
	rm -rf build build-sanitize

-include $(shell find $(BUILD)/obj -name '*.d' 2>/dev/null)

.PHONY: all test sanitize format format-check lint clean
.SECONDARY:
