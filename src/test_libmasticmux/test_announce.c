#include "suites.h"

#include <string.h>

#include "http_fixture.h"
#include "private/announce.h"

#define VALID                                                              \
	"{\"name\":\"t1\",\"service\":\"shop\",\"address\":\"127.0.0.1\"," \
	"\"port\":80,\"slots\":3,\"state\":\"warm\",\"load\":0.5,"         \
	"\"lease_ms\":3000}"
#define WITH(name, service, address, port, slots, state, rest)            \
	"{\"name\":" name ",\"service\":" service ",\"address\":" address \
	",\"port\":" port ",\"slots\":" slots ",\"state\":" state "," rest "}"
#define LEASE "\"lease_ms\":3000"
#define T "\"t1\""
#define S "\"shop\""
#define A "\"127.0.0.1\""
#define W "\"warm\""
#define LONG "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

typedef struct parse_case_t {
	const char *name;
	const char *text;
	const char *error; /* expected part of the error; NULL if valid */
} parse_case_t;

static const parse_case_t parse_cases_[] = {
	{"valid", VALID, NULL},
	{"no load", WITH(T, S, A, "80", "3", W, LEASE), NULL},
	{"IPv6", WITH(T, S, "\"::1\"", "80", "3", W, LEASE), NULL},
	{"not JSON", "{", "not JSON"},
	{"empty", "", "not JSON"},
	{"two values", VALID VALID, "not JSON"},
	{"repeated member", WITH(T, S, A, "80", "3", W, LEASE "," LEASE),
	 "not JSON"},
	{"array", "[]", "object"},
	{"unknown member", WITH(T, S, A, "80", "3", W, LEASE ",\"x\":1"),
	 "unknown member 'x'"},
	{"no lease", WITH(T, S, A, "80", "3", W, "\"load\":1"), "lease_ms"},
	{"number as name", WITH("1", S, A, "80", "3", W, LEASE), "'name'"},
	{"empty name", WITH("\"\"", S, A, "80", "3", W, LEASE), "'name'"},
	{"long name", WITH("\"" LONG "\"", S, A, "80", "3", W, LEASE),
	 "'name'"},
	{"slash in name", WITH("\"a/b\"", S, A, "80", "3", W, LEASE), "'name'"},
	{"quote in service", WITH(T, "\"a\\\"\"", A, "80", "3", W, LEASE),
	 "'service'"},
	{"host name", WITH(T, S, "\"localhost\"", "80", "3", W, LEASE),
	 "'address'"},
	{"port 0", WITH(T, S, A, "0", "3", W, LEASE), "'port'"},
	{"port 65536", WITH(T, S, A, "65536", "3", W, LEASE), "'port'"},
	{"port as text", WITH(T, S, A, "\"80\"", "3", W, LEASE), "'port'"},
	{"fraction of a slot", WITH(T, S, A, "80", "1.5", W, LEASE), "'slots'"},
	{"no slots", WITH(T, S, A, "80", "0", W, LEASE), "'slots'"},
	{"unknown state", WITH(T, S, A, "80", "3", "\"hot\"", LEASE),
	 "'state'"},
	{"negative load", WITH(T, S, A, "80", "3", W, LEASE ",\"load\":-1"),
	 "'load'"},
	{"short lease", WITH(T, S, A, "80", "3", W, "\"lease_ms\":99"),
	 "lease_ms"},
	{"long lease", WITH(T, S, A, "80", "3", W, "\"lease_ms\":600001"),
	 "lease_ms"},
};

/* Guards against an invalid announcement that is accepted in part, and against
 * an error that does not name the invalid member. */
static void test_bodies_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(parse_cases_); i++) {
		const parse_case_t *item = &parse_cases_[i];
		mmx_error_t error = {.text = ""};
		mmx_target_announced_t *announced = mmx_announce_parse(
			item->text, strlen(item->text), &error);
		bool passed = item->error ? !announced && strstr(error.text,
								 item->error)
					  : announced != NULL;

		CU_ASSERT_TRUE(passed);
		if (!passed)
			printf("\n%s: %s\n", item->name, error.text);
		if (announced)
			mmx_message_destroy(&announced->message);
	}
}

typedef struct fake_exit_t {
	mmx_task_t task;
	int count;
	mmx_target_announced_t last;
} fake_exit_t;

static void handle_message_(mmx_task_t *task, mmx_message_t *message)
{
	fake_exit_t *exit = (fake_exit_t *)task;

	CU_ASSERT_EQUAL(message->ops->kind, MMX_MESSAGE_TARGET_ANNOUNCED);
	exit->count++;
	exit->last = *(mmx_target_announced_t *)message;
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"fake_exit", handle_message_};

typedef struct http_case_t {
	const char *name;
	const char *line;
	const char *body;
	const char *status;
	int count; /* expected messages to the exit */
	mmx_target_state_t state;
} http_case_t;

static const http_case_t http_cases_[] = {
	{"announce", "POST /v1/targets", VALID, "200", 1, MMX_TARGET_WARM},
	{"withdraw", "DELETE /v1/targets/t1", "", "200", 1, MMX_TARGET_GONE},
	{"bad body", "POST /v1/targets", "{}", "400", 0, 0},
	{"no name", "DELETE /v1/targets/", "", "400", 0, 0},
	{"encoded name", "DELETE /v1/targets/a%2fb", "", "400", 0, 0},
	{"delete all", "DELETE /v1/targets", "", "405", 0, 0},
	{"read", "GET /v1/targets", "", "405", 0, 0},
	{"other path", "POST /v1/targetsx", VALID, "404", 0, 0},
	{"query", "POST /v1/targets?x", VALID, "404", 0, 0},
};

/* Guards against a status that does not match what was done: 200 without a
 * message to the exit, or an error with one. */
static void test_requests_(void)
{
	mmx_address_t address = {.host = "127.0.0.1"};
	fixture_t fixture;
	fake_exit_t exit = {.count = 0};
	mmx_announce_t *announce;
	size_t i;

	fixture_open(&fixture);
	mmx_task_init(&exit.task, &ops_, fixture.runtime);
	announce = mmx_announce_create(fixture.runtime, &exit.task,
				       fixture.counters);
	CU_ASSERT_TRUE_FATAL(mmx_announce_init(announce, &address, NULL));
	for (i = 0; i < G_N_ELEMENTS(http_cases_); i++) {
		const http_case_t *item = &http_cases_[i];
		char *sent = g_strdup_printf(
			"%s HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			item->line, strlen(item->body), item->body);
		char *status = g_strdup_printf("HTTP/1.1 %s ", item->status);
		wire_t wire;

		exit.count = 0;
		wire_open(&wire, &fixture, mmx_announce_port(announce));
		wire_send(&wire, sent, strlen(sent));
		CU_ASSERT_TRUE(wire_expect_closed(&wire));
		CU_ASSERT_TRUE(g_str_has_prefix(wire.in->str, status));
		CU_ASSERT_EQUAL(exit.count, item->count);
		if (item->count) {
			CU_ASSERT_STRING_EQUAL(exit.last.name, "t1");
			CU_ASSERT_EQUAL(exit.last.state, item->state);
		}
		wire_close(&wire);
		g_free(sent);
		g_free(status);
	}
	mmx_announce_destroy(announce);
	fixture_close(&fixture);
}

static void post_(fixture_t *fixture, const mmx_announce_t *announce,
		  const char *body)
{
	char *sent = g_strdup_printf(
		"POST /v1/targets HTTP/1.1\r\nHost: n\r\n"
		"Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);
	wire_t wire;

	wire_open(&wire, fixture, mmx_announce_port(announce));
	wire_send(&wire, sent, strlen(sent));
	CU_ASSERT_TRUE(wire_expect_closed(&wire));
	wire_close(&wire);
	g_free(sent);
}

#define TARGET(service, port) WITH(T, "\"" service "\"", A, port, "3", W, LEASE)

/* Guards against an announcement of another writer that moves the target beside
 * the node to another service or address than the settings name. */
static void test_other_target_(void)
{
	static const struct {
		const char *service; /* in the settings */
		uint16_t port;	     /* in the settings; 0: none */
		const char *body;
		const char *rejected; /* reason; NULL if accepted */
	} cases[] = {
		{"shop", 80, TARGET("shop", "80"), NULL},
		{"shop", 80, TARGET("till", "80"), "other-service"},
		{"shop", 80, TARGET("shop", "81"), "other-address"},
		{"shop", 80, "{}", "malformed"},
		{"", 80, TARGET("till", "80"), NULL},
		{"shop", 0, TARGET("shop", "81"), NULL},
	};
	mmx_address_t address = {.host = "127.0.0.1"};
	mmx_address_t target = {.host = "127.0.0.1"};
	fixture_t fixture;
	fake_exit_t exit = {.count = 0};
	mmx_announce_t *announce;
	size_t i;

	fixture_open(&fixture);
	mmx_task_init(&exit.task, &ops_, fixture.runtime);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *labels = g_strdup_printf("reason=\"%s\"",
					       cases[i].rejected ?: "none");
		mmx_counter_t *rejected = mmx_counters_get(
			fixture.counters, MMX_COUNTER,
			"masticmux_announcements_rejected_total", labels, "");
		int64_t before = rejected->value;

		target.port = cases[i].port;
		announce = mmx_announce_create(fixture.runtime, &exit.task,
					       fixture.counters);
		mmx_announce_set_target(announce, cases[i].service, &target);
		CU_ASSERT_TRUE_FATAL(
			mmx_announce_init(announce, &address, NULL));
		exit.count = 0;
		post_(&fixture, announce, cases[i].body);
		CU_ASSERT_EQUAL(exit.count, !cases[i].rejected);
		CU_ASSERT_EQUAL(rejected->value - before,
				cases[i].rejected != NULL);
		mmx_announce_destroy(announce);
		g_free(labels);
	}
	fixture_close(&fixture);
}

/* Guards against announcements from other instances: they could arrive if the
 * server listened on an address that is not loopback. */
static void test_loopback_only_(void)
{
	mmx_address_t address = {.host = "0.0.0.0"};
	fixture_t fixture;
	fake_exit_t exit = {.count = 0};
	mmx_announce_t *announce;
	mmx_error_t error;

	fixture_open(&fixture);
	mmx_task_init(&exit.task, &ops_, fixture.runtime);
	announce = mmx_announce_create(fixture.runtime, &exit.task, NULL);
	CU_ASSERT_FALSE(mmx_announce_init(announce, &address, &error));
	CU_ASSERT_PTR_NOT_NULL(strstr(error.text, "not a loopback address"));
	mmx_announce_destroy(announce);
	fixture_close(&fixture);
}

CU_TestInfo mmx_tests_announce[] = {
	{"bodies", test_bodies_},
	{"requests", test_requests_},
	{"another target than in the settings", test_other_target_},
	{"loopback only", test_loopback_only_},
	CU_TEST_INFO_NULL,
};
