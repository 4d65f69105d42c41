#include "lua_api.h"

#include <lauxlib.h>
#include <math.h>
#include <string.h>

#include "claims_world.h"

static world_t *world_;
static bool traced_;

world_t *lua_api_world(void)
{
	return world_;
}

void lua_api_set_trace(bool traced)
{
	traced_ = traced;
}

void lua_api_close(void)
{
	if (world_)
		world_destroy(world_);
	world_ = NULL;
}

/* --- arguments --------------------------------------------------------- */

static double number_(lua_State *lua, int table, const char *name,
		      double fallback)
{
	double value = fallback;

	if (lua_getfield(lua, table, name) != LUA_TNIL)
		value = luaL_checknumber(lua, -1);
	lua_pop(lua, 1);
	return value;
}

static mmx_time_t ms_(lua_State *lua, int table, const char *name,
		      double fallback)
{
	return (mmx_time_t)(number_(lua, table, name, fallback) *
			    MMX_US_PER_MS);
}

/* Valid while the table holds it. */
static const char *string_(lua_State *lua, int table, const char *name,
			   const char *fallback)
{
	const char *value = fallback;

	if (lua_getfield(lua, table, name) != LUA_TNIL)
		value = luaL_checkstring(lua, -1);
	lua_pop(lua, 1);
	return value;
}

static bool bool_(lua_State *lua, int table, const char *name)
{
	bool value;

	lua_getfield(lua, table, name);
	value = lua_toboolean(lua, -1);
	lua_pop(lua, 1);
	return value;
}

static node_t *node_(lua_State *lua, int table, const char *name)
{
	int n = (int)number_(lua, table, name, 1);

	if (n < 1 || n > (int)world_->node_count)
		luaL_error(lua, "no node %d", n);
	return &world_->nodes[n - 1];
}

static target_t *target_(lua_State *lua, int table)
{
	int n = (int)number_(lua, table, "target", 1);

	if (n < 1 || n > (int)world_->target_count)
		luaL_error(lua, "no target %d", n);
	return &world_->targets[n - 1];
}

/* --- fleet ------------------------------------------------------------- */

static void add_service_(lua_State *lua, mmx_change_t *change)
{
	int table = lua_gettop(lua);
	const char *name = string_(lua, table, "name", NULL);
	mmx_change_template_t *template;
	mmx_change_service_t *service;
	char host[64];

	template = mmx_change_add_template(change, name);
	service = mmx_change_add_service(change, name);
	template->policy = (mmx_policy_t){
		.deadline = ms_(lua, table, "deadline", 2000),
		.repeatable = MMX_METHODS_SAFE,
		.floor_percent = (uint8_t)number_(lua, table, "floor", 50),
		.floor_slots = (uint16_t)number_(lua, table, "floor_slots", 1),
		.detection_weight = (uint8_t)number_(lua, table, "weight", 50),
		.retry_percent = (uint8_t)number_(lua, table, "retry", 10),
		.warm_up = ms_(lua, table, "warm_up", 10000),
	};
	g_strlcpy(service->template_name, name, sizeof(service->template_name));
	g_snprintf(host, sizeof(host), "%s.test", name);
	mmx_change_add_route(service, host, "/");
}

static void add_account_(lua_State *lua, mmx_change_t *change)
{
	int table = lua_gettop(lua);
	mmx_change_account_t *account = mmx_change_add_account(
		change, string_(lua, table, "name", NULL));

	account->floor_percent = (uint8_t)number_(lua, table, "floor", 0);
	account->ceiling_percent = (uint8_t)number_(lua, table, "ceiling", 100);
}

static void each_(lua_State *lua, int table, const char *name,
		  void (*fn)(lua_State *lua, mmx_change_t *change),
		  mmx_change_t *change)
{
	lua_Integer i;

	if (lua_getfield(lua, table, name) == LUA_TTABLE)
		for (i = 1; lua_geti(lua, -1, i) != LUA_TNIL; i++) {
			fn(lua, change);
			lua_pop(lua, 1);
		}
	else
		lua_pushnil(lua);
	lua_pop(lua, 2);
}

static void configure_(lua_State *lua)
{
	mmx_change_t *change = mmx_change_create();
	mmx_config_state_result_t result;
	size_t length;
	char *record;

	each_(lua, 1, "services", add_service_, change);
	each_(lua, 1, "accounts", add_account_, change);
	g_strlcpy(change->id, "c1", sizeof(change->id));
	g_strlcpy(change->publisher, "test", sizeof(change->publisher));
	record = mmx_change_to_json(change, &length);
	mmx_config_state_apply(world_->config_state, 1, record, length,
			       &result);
	g_free(record);
	mmx_change_destroy(change);
	if (result.verdict != MMX_VERDICT_ACCEPTED)
		luaL_error(lua, "configuration: %s", result.text);
}

static void turn_off_(lua_State *lua)
{
	const char *off = string_(lua, 1, "off", NULL);
	mmx_guards_t *guards = &world_->guards;
	const struct {
		const char *name;
		bool *guard;
	} names[] = {
		{"fence", &guards->fence},
		{"watermark", &guards->watermark},
		{"incarnation", &guards->incarnation},
		{"draining", &guards->draining},
		{"match", &guards->response_match},
		{"finish", &guards->graceful_stop},
		{"floor", &guards->floor},
		{"claim", &guards->claim},
		{"takeover", &guards->takeover},
	};
	size_t i;

	for (i = 0; off && i < G_N_ELEMENTS(names); i++)
		if (strcmp(names[i].name, off) == 0) {
			*names[i].guard = false;
			return;
		}
	if (off)
		luaL_error(lua, "no guard %s", off);
}

static void add_targets_(lua_State *lua, node_t *node, int service_table)
{
	int count = (int)number_(lua, 1, "targets", 1);
	const char *spread = string_(lua, 1, "spread", "exponential");
	target_t *target;
	lua_Integer i;
	int n;

	for (i = 1; lua_geti(lua, service_table, i) != LUA_TNIL; i++) {
		for (n = 0; n < count; n++) {
			target = target_add(
				world_, node,
				string_(lua, lua_gettop(lua), "name", NULL));
			target->slots = (uint16_t)number_(lua, 1, "slots", 3);
			target->mean = ms_(lua, 1, "mean", 20);
			target->spread = strcmp(spread, "constant") == 0
						 ? SPREAD_CONSTANT
					 : strcmp(spread, "heavy") == 0
						 ? SPREAD_HEAVY
						 : SPREAD_EXPONENTIAL;
		}
		lua_pop(lua, 1);
	}
	lua_pop(lua, 1);
}

static int fleet_(lua_State *lua)
{
	unsigned int nodes;
	unsigned int zones;
	unsigned int regions;
	unsigned int i;

	luaL_checktype(lua, 1, LUA_TTABLE);
	lua_api_close();
	world_ = world_create((uint64_t)number_(lua, 1, "seed", 1), traced_);
	world_->record_max = (size_t)number_(lua, 1, "record_max", 0);
	turn_off_(lua);
	configure_(lua);
	nodes = (unsigned int)number_(lua, 1, "nodes", 3);
	zones = (unsigned int)number_(lua, 1, "zones", 1);
	regions = (unsigned int)number_(lua, 1, "regions", 1);
	for (i = 0; i < nodes; i++)
		world_start_node(
			world_add_node(world_, i % zones, i % zones % regions));
	lua_getfield(lua, 1, "services");
	for (i = 0; i < nodes; i++)
		add_targets_(lua, &world_->nodes[i], lua_gettop(lua));
	lua_pop(lua, 1);
	lua_newuserdata(lua, 1);
	luaL_setmetatable(lua, "fleet");
	return 1;
}

/* --- requests ---------------------------------------------------------- */

typedef struct load_t {
	char service[16];
	char account[16];
	unsigned int node; /* 0: any */
	double rate;	   /* per second */
	double get;	   /* share */
	double key;	   /* share */
	double repeat;	   /* share of those with a key that are repeated */
	double large;	   /* share of responses that can't be held */
	double upload;	   /* share of requests with a body of their own */
	double leave;	   /* share of callers that leave early */
	mmx_time_t timeout;
	size_t size;
	mmx_time_t until;
} load_t;

static void leave_(void *arg)
{
	request_t *request = arg;

	if (request->node->up &&
	    request->node->incarnation == request->incarnation)
		caller_leave(request);
}

static void send_one_(const load_t *load)
{
	bool get = world_unit(world_) < load->get;
	bool leave = world_unit(world_) < load->leave;
	caller_request_t what = {
		.service = load->service,
		.method = get ? "GET" : "POST",
		.account = load->account[0] ? load->account : NULL,
		.key = world_unit(world_) < load->key,
		.timeout = load->timeout,
		.size = world_unit(world_) < load->large ? 100000 : load->size,
		.upload = world_unit(world_) < load->upload
				  ? mmx_random_below(&world_->random, 100000)
				  : 0,
	};
	unsigned int n =
		load->node ? load->node - 1
			   : (unsigned int)mmx_random_below(&world_->random,
							    world_->node_count);
	request_t *request = caller_send(world_, &world_->nodes[n], &what);

	if (request && leave)
		world_after(world_, world_uniform(world_, 0, load->timeout),
			    leave_, request, NULL);
	if (request && what.key && world_unit(world_) < load->repeat)
		repeats_follow(request, load->service);
}

static void load_step_(void *arg)
{
	load_t *load = arg;
	double gap;

	if (world_now(world_) >= load->until) {
		g_free(load);
		return;
	}
	send_one_(load);
	gap = -log(1.0 - world_unit(world_)) / load->rate;
	world_after(world_, (mmx_time_t)(gap * MMX_US_PER_S), load_step_, load,
		    g_free);
}

/* fleet:load{service=, rate=, ms=, ...}: open loop, Poisson. */
static int load_(lua_State *lua)
{
	load_t *load = g_new0(load_t, 1);

	g_strlcpy(load->service, string_(lua, 2, "service", "a"),
		  sizeof(load->service));
	g_strlcpy(load->account, string_(lua, 2, "account", ""),
		  sizeof(load->account));
	load->node = (unsigned int)number_(lua, 2, "node", 0);
	load->rate = number_(lua, 2, "rate", 100);
	load->get = number_(lua, 2, "get", 0.5);
	load->key = number_(lua, 2, "key", 0);
	load->repeat = number_(lua, 2, "repeat", 0);
	load->large = number_(lua, 2, "large", 0);
	load->upload = number_(lua, 2, "upload", 0);
	load->leave = number_(lua, 2, "leave", 0);
	load->timeout = ms_(lua, 2, "timeout", 1000);
	load->size = (size_t)number_(lua, 2, "size", 40);
	load->until = world_now(world_) + ms_(lua, 2, "ms", 1000);
	load_step_(load);
	return 0;
}

/* fleet:request{node=, service=, method=, ...} -> id, or nil. */
static int request_(lua_State *lua)
{
	caller_request_t what = {
		.service = string_(lua, 2, "service", "a"),
		.method = string_(lua, 2, "method", "POST"),
		.account = string_(lua, 2, "account", NULL),
		.key = bool_(lua, 2, "key"),
		.key_name = string_(lua, 2, "key_name", NULL),
		.timeout = ms_(lua, 2, "timeout", 1000),
		.size = (size_t)number_(lua, 2, "size", 40),
		.upload = (size_t)number_(lua, 2, "upload", 0),
	};
	request_t *request = caller_send(world_, node_(lua, 2, "node"), &what);

	if (!request)
		return 0;
	lua_pushinteger(lua, (lua_Integer)request->id);
	return 1;
}

static request_t *request_of_(lua_State *lua)
{
	uint64_t id = (uint64_t)luaL_checkinteger(lua, 2);
	request_t *request = g_hash_table_lookup(world_->requests, &id);

	if (!request)
		luaL_error(lua, "no request %d", (int)id);
	return request;
}

/* fleet:outcome(id) -> outcome or nil, reason, executions, status */
static int outcome_(lua_State *lua)
{
	const request_t *request = request_of_(lua);

	if (request->ended)
		lua_pushstring(lua, mmx_outcome_string[request->outcome]);
	else
		lua_pushnil(lua);
	lua_pushstring(lua, mmx_reason_string[request->reason]);
	lua_pushinteger(lua, request->executions);
	lua_pushinteger(lua, request->status);
	return 4;
}

static int leave_request_(lua_State *lua)
{
	caller_leave(request_of_(lua));
	return 0;
}

/* --- time, checks, numbers --------------------------------------------- */

static int run_(lua_State *lua)
{
	world_run(world_,
		  (mmx_time_t)(luaL_checknumber(lua, 2) * MMX_US_PER_MS));
	return 0;
}

/* fleet:breach() -> guarantee, text; or nil */
static int breach_(lua_State *lua)
{
	if (!world_->broken)
		return 0;
	lua_pushstring(lua, guarantee_string[world_->guarantee]);
	lua_pushfstring(lua, "request %d: %s", (int)world_->breach_request,
			world_->breach);
	return 2;
}

static int check_(lua_State *lua)
{
	world_check(world_);
	if (world_->broken)
		return luaL_error(lua, "%s: request %d: %s",
				  guarantee_string[world_->guarantee],
				  (int)world_->breach_request, world_->breach);
	return 0;
}

static void push_count_(lua_State *lua, const char *name, uint64_t value)
{
	lua_pushinteger(lua, (lua_Integer)value);
	lua_setfield(lua, -2, name);
}

static int stats_(lua_State *lua)
{
	const stats_t *stats = &world_->stats;
	int i;

	lua_newtable(lua);
	push_count_(lua, "requests", stats->requests);
	push_count_(lua, "ok", stats->statuses_ok);
	push_count_(lua, "broken_off", stats->broken_off);
	push_count_(lua, "executions", stats->executions);
	push_count_(lua, "cross_region", stats->cross_region);
	push_count_(lua, "claim_records", stats->claim_records);
	for (i = 0; i < MMX_OUTCOME_COUNT; i++)
		push_count_(lua, mmx_outcome_string[i], stats->answers[i]);
	for (i = 1; i < MMX_REASON_COUNT; i++)
		push_count_(lua, mmx_reason_string[i], stats->reasons[i]);
	lua_pushnumber(lua, (double)stats->slowest_refusal / MMX_US_PER_MS);
	lua_setfield(lua, -2, "slowest_refusal");
	return 1;
}

/* fleet:reset(): numbers count from now on. */
static int reset_(lua_State *lua)
{
	memset(&world_->stats, 0, sizeof(world_->stats));
	return 0;
}

/* fleet:target(n) -> {executions=, running=, node=} */
static int target_info_(lua_State *lua)
{
	lua_Integer n = luaL_checkinteger(lua, 2);
	const target_t *target;

	if (n < 1 || n > (lua_Integer)world_->target_count)
		return 0;
	target = &world_->targets[n - 1];
	lua_newtable(lua);
	push_count_(lua, "executions", target->executions);
	push_count_(lua, "running", target->running);
	push_count_(lua, "node", target->node->index + 1);
	return 1;
}

static int random_(lua_State *lua)
{
	lua_Integer bound = luaL_checkinteger(lua, 2);

	lua_pushinteger(lua, 1 + (lua_Integer)mmx_random_below(
					 &world_->random, (uint64_t)bound));
	return 1;
}

/* --- faults ------------------------------------------------------------ */

typedef struct later_t {
	node_t *node;
	target_t *target;
	unsigned int to;
	mmx_time_t cold;
} later_t;

static void end_pause_(void *arg)
{
	node_resume(((later_t *)arg)->node);
	g_free(arg);
}

static void end_down_(void *arg)
{
	later_t *later = arg;

	if (!later->node->up)
		world_start_node(later->node);
	g_free(later);
}

static void end_loss_(void *arg)
{
	later_t *later = arg;

	net_set_lost(world_, later->node->index, later->to, false);
	g_free(later);
}

static void end_delay_(void *arg)
{
	later_t *later = arg;

	world_->extra_delay[later->node->index][later->to] = 0;
	g_free(later);
}

/* Ends every behaviour of a target that was set by a fault. */
static void end_behaviour_(void *arg)
{
	target_t *target = ((later_t *)arg)->target;

	world_trace(world_, 0, "%s is well again", target->name);
	target->stall = false;
	target->slow = 1;
	target->error_rate = 0;
	target->truncate = 0;
	target->late = 0;
	target->flap = 0;
	g_free(arg);
}

static void end_target_down_(void *arg)
{
	later_t *later = arg;

	target_up(later->target, later->cold);
	g_free(later);
}

static bool node_fault_(lua_State *lua, const char *kind)
{
	later_t *later;
	mmx_time_t length = ms_(lua, 2, "ms", 1000);
	unsigned int to = node_(lua, 2, "to")->index;
	node_t *node = node_(lua, 2, "node");
	void (*end)(void *arg) = NULL;

	if (strcmp(kind, "pause") == 0) {
		node_pause(node);
		end = end_pause_;
	} else if (strcmp(kind, "restart") == 0) {
		node_kill(node);
		end = end_down_;
	} else if (strcmp(kind, "loss") == 0) {
		net_set_lost(world_, node->index, to, true);
		end = end_loss_;
	} else if (strcmp(kind, "delay") == 0) {
		world_->extra_delay[node->index][to] = ms_(lua, 2, "extra", 50);
		end = end_delay_;
	} else if (strcmp(kind, "silent") == 0) {
		net_silence(world_, node->index, to);
	} else if (strcmp(kind, "cut") == 0) {
		net_cut(world_, node->index, to);
	} else if (strcmp(kind, "stop_node") == 0) {
		node_stop(node);
	} else {
		return false;
	}
	if (!end)
		return true;
	later = g_new0(later_t, 1);
	later->node = node;
	later->to = to;
	world_after(world_, length, end, later, g_free);
	return true;
}

static bool target_fault_(lua_State *lua, const char *kind)
{
	target_t *target = target_(lua, 2);
	later_t *later;

	if (strcmp(kind, "stop") == 0) {
		target_stop_planned(target);
		return true;
	}
	later = g_new0(later_t, 1);
	later->target = target;
	later->cold = ms_(lua, 2, "cold", 0);
	if (strcmp(kind, "restart_target") == 0) {
		target_down(target);
		world_after(world_, ms_(lua, 2, "ms", 1000), end_target_down_,
			    later, g_free);
		return true;
	}
	world_trace(world_, 0, "%s: %s", target->name, kind);
	if (strcmp(kind, "stall") == 0)
		target_set_stall(target, true);
	else if (strcmp(kind, "slow") == 0)
		target->slow = number_(lua, 2, "factor", 5);
	else if (strcmp(kind, "errors") == 0)
		target->error_rate = number_(lua, 2, "rate", 0.2);
	else if (strcmp(kind, "truncate") == 0)
		target->truncate = number_(lua, 2, "rate", 0.2);
	else if (strcmp(kind, "late") == 0)
		target->late = ms_(lua, 2, "extra", 1000);
	else if (strcmp(kind, "flap") == 0)
		target->flap = ms_(lua, 2, "period", 500);
	else {
		g_free(later);
		return false;
	}
	world_after(world_, ms_(lua, 2, "ms", 1000), end_behaviour_, later,
		    g_free);
	return true;
}

/* fleet:fault{kind=, node= | target=, ms=, ...} */
static int fault_(lua_State *lua)
{
	const char *kind = string_(lua, 2, "kind", "");

	if (strcmp(kind, "log") == 0) {
		claims_log_fault(world_, string_(lua, 2, "mode", "down"),
				 ms_(lua, 2, "ms", 1000));
		return 0;
	}
	if (!node_fault_(lua, kind) && !target_fault_(lua, kind))
		return luaL_error(lua, "no fault %s", kind);
	return 0;
}

static const luaL_Reg methods_[] = {
	{"request", request_}, {"leave", leave_request_},
	{"load", load_},       {"run", run_},
	{"fault", fault_},     {"check", check_},
	{"breach", breach_},   {"stats", stats_},
	{"reset", reset_},     {"outcome", outcome_},
	{"random", random_},   {"target", target_info_},
	{NULL, NULL},
};

void lua_api_open(lua_State *lua)
{
	luaL_newmetatable(lua, "fleet");
	lua_newtable(lua);
	luaL_setfuncs(lua, methods_, 0);
	lua_setfield(lua, -2, "__index");
	lua_pop(lua, 1);
	lua_register(lua, "fleet", fleet_);
}
