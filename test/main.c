/*
 * Runs the scenarios:
 *
 *   scenario-tests DIR                       DIR/scenarios/ *.lua
 *   scenario-tests DIR generate COUNT FIRST  the generator alone
 *
 * A script calls scenario(name, seed, fn); fn(seed) fails by an error. A
 * scenario that failed runs again with a trace, which is printed.
 */
#include <lauxlib.h>
#include <lualib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lua_api.h"

/* Lines of the trace that are printed for one failure. */
#define TRACE_LINES 80

static unsigned int passed_;
static unsigned int failed_;

/* Sequences of the attempts of a request, as in "execute a7 at n1". */
static GPtrArray *attempts_(const world_t *world, const char *tag)
{
	GPtrArray *attempts = g_ptr_array_new_with_free_func(g_free);
	unsigned int sequence;
	const char *at;
	guint i;

	for (i = 0; i < world->trace->len; i++) {
		const char *line = g_ptr_array_index(world->trace, i);

		at = strstr(line, tag) ? strstr(line, "execute a") : NULL;
		if (at && sscanf(at, "execute a%u", &sequence) == 1)
			g_ptr_array_add(attempts,
					g_strdup_printf(" a%u by", sequence));
	}
	return attempts;
}

static bool concerns_(const char *line, const char *tag, GPtrArray *attempts)
{
	guint i;

	if (strstr(line, "#0 ") && !strstr(line, " gets "))
		return true;
	if (strcmp(tag, "#0 ") == 0)
		return false;
	if (strstr(line, tag))
		return true;
	if (!strstr(line, "#0 "))
		return false;
	for (i = 0; i < attempts->len; i++)
		if (strstr(line, g_ptr_array_index(attempts, i)))
			return true;
	return false;
}

static void print_trace_(const world_t *world)
{
	GPtrArray *lines = g_ptr_array_new();
	GPtrArray *attempts;
	char tag[32];
	guint i;

	if (!world)
		return;
	g_snprintf(tag, sizeof(tag), "#%u ",
		   (unsigned int)world->breach_request);
	attempts = attempts_(world, tag);
	for (i = 0; i < world->trace->len; i++)
		if (concerns_(g_ptr_array_index(world->trace, i), tag,
			      attempts))
			g_ptr_array_add(lines,
					g_ptr_array_index(world->trace, i));
	i = lines->len > TRACE_LINES ? lines->len - TRACE_LINES : 0;
	for (; i < lines->len; i++)
		printf("    %s\n", (char *)g_ptr_array_index(lines, i));
	g_ptr_array_free(attempts, TRUE);
	g_ptr_array_free(lines, TRUE);
}

static bool call_(lua_State *lua)
{
	bool ok;

	lua_pushvalue(lua, 3);
	lua_pushvalue(lua, 2);
	ok = lua_pcall(lua, 1, 0, 0) == LUA_OK;
	return ok;
}

static int scenario_(lua_State *lua)
{
	const char *name = luaL_checkstring(lua, 1);
	long long seed = luaL_checkinteger(lua, 2);

	luaL_checktype(lua, 3, LUA_TFUNCTION);
	if (call_(lua)) {
		passed_++;
		printf("ok    %s (seed %lld)\n", name, seed);
	} else {
		failed_++;
		printf("FAIL  %s (seed %lld): %s\n", name, seed,
		       lua_tostring(lua, -1));
		lua_pop(lua, 1);
		lua_api_set_trace(true);
		if (!call_(lua))
			lua_pop(lua, 1);
		lua_api_set_trace(false);
		print_trace_(lua_api_world());
	}
	lua_api_close();
	fflush(stdout);
	return 0;
}

static bool run_file_(const char *directory, const char *path, long count,
		      long first)
{
	lua_State *lua = luaL_newstate();
	bool ok;

	luaL_openlibs(lua);
	lua_api_open(lua);
	lua_register(lua, "scenario", scenario_);
	if (count > 0) {
		lua_pushinteger(lua, count);
		lua_setglobal(lua, "COUNT");
		lua_pushinteger(lua, first);
		lua_setglobal(lua, "FIRST");
	}
	/* Modules are beside the directory of the scenarios. */
	lua_getglobal(lua, "package");
	lua_pushfstring(lua, "%s/?.lua", directory);
	lua_setfield(lua, -2, "path");
	lua_pop(lua, 1);
	ok = luaL_dofile(lua, path) == LUA_OK;
	if (!ok) {
		failed_++;
		printf("FAIL  %s: %s\n", path, lua_tostring(lua, -1));
	}
	lua_api_close();
	lua_close(lua);
	return ok;
}

static int compare_(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void run_directory_(const char *root, const char *directory)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(directory, 0, NULL);
	const char *name;
	char *path;
	guint i;

	while (dir && (name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".lua"))
			g_ptr_array_add(names, g_strdup(name));
	g_ptr_array_sort(names, compare_);
	for (i = 0; i < names->len; i++) {
		path = g_build_filename(directory, g_ptr_array_index(names, i),
					NULL);
		run_file_(root, path, 0, 0);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_ptr_array_free(names, TRUE);
}

int main(int argc, char **argv)
{
	char *directory;
	char *path;

	if (argc != 2 && !(argc == 5 && strcmp(argv[2], "generate") == 0)) {
		fprintf(stderr, "usage: %s DIR [generate COUNT FIRST_SEED]\n",
			argv[0]);
		return 2;
	}
	directory = g_build_filename(argv[1], "scenarios", NULL);
	if (argc == 5) {
		path = g_build_filename(directory, "generated.lua", NULL);
		run_file_(argv[1], path, strtol(argv[3], NULL, 10),
			  strtol(argv[4], NULL, 10));
		g_free(path);
	} else {
		run_directory_(argv[1], directory);
	}
	g_free(directory);
	printf("%u passed, %u failed\n", passed_, failed_);
	return failed_ > 0 ? 1 : 0;
}
