#include "claims_world.h"

#include <stdio.h>
#include <string.h>

/* Delay of a change of a target's record on its way to the other nodes. */
#define GOSSIP_MIN_US (20 * MMX_US_PER_MS)
#define GOSSIP_MAX_US (400 * MMX_US_PER_MS)
/* Some changes are lost and only repaired later. */
#define GOSSIP_LOST_SHARE 0.05
#define GOSSIP_REPAIR_US (8 * MMX_US_PER_S)
#define GOSSIP_RETRY_US (500 * MMX_US_PER_MS)
/* Time after which the others treat the targets of a node as gone. */
#define DEAD_AFTER_US (5 * MMX_US_PER_S)
#define TRACE_MAX 200000
#define CLOCK_SKEW_US (300 * MMX_US_PER_MS)

const char *const guarantee_string[GUARANTEE_COUNT] = {
	"P1 floor",	   "P2 complete response", "P3 not-run",
	"P4 at most once", "P5 leaving target",	   "P6 planned stop",
	"answered once",   "accurate refusal",
};

/* --- events ------------------------------------------------------------ */

static void fire_(void *arg)
{
	event_t *event = arg;

	LIST_REMOVE(event, entry);
	event->fn(event->arg);
	g_free(event);
}

void world_after(world_t *world, mmx_time_t delay, void (*fn)(void *arg),
		 void *arg, void (*drop)(void *arg))
{
	event_t *event = g_new0(event_t, 1);

	event->world = world;
	event->fn = fn;
	event->arg = arg;
	event->drop = drop;
	mmx_timer_init(&event->timer, world->clock, fire_, event);
	mmx_timer_set(&event->timer, delay);
	LIST_INSERT_HEAD(&world->events, event, entry);
}

mmx_time_t world_now(const world_t *world)
{
	return mmx_clock_now(world->clock);
}

double world_unit(world_t *world)
{
	return mmx_random_unit(&world->random);
}

mmx_time_t world_uniform(world_t *world, mmx_time_t low, mmx_time_t high)
{
	return low + (mmx_time_t)mmx_random_below(&world->random,
						  (uint64_t)(high - low + 1));
}

char *world_key(const mmx_attempt_id_t *id)
{
	return g_strdup_printf("%llx/%llu/%llu", (unsigned long long)id->entry,
			       (unsigned long long)id->incarnation,
			       (unsigned long long)id->sequence);
}

node_t *world_node(world_t *world, mmx_node_id_t id)
{
	unsigned int i;

	for (i = 0; i < world->node_count; i++)
		if (world->nodes[i].id == id)
			return &world->nodes[i];
	g_assert_not_reached();
}

/* --- trace and breaches ------------------------------------------------ */

static char *line_(world_t *world, uint64_t request, const char *format,
		   va_list args)
{
	char *text = g_strdup_vprintf(format, args);
	char *line = g_strdup_printf("%12.6f #%u %s",
				     (double)world_now(world) / MMX_US_PER_S,
				     (unsigned int)request, text);

	g_free(text);
	return line;
}

void world_trace(world_t *world, uint64_t request, const char *format, ...)
{
	va_list args;

	if (!world->traced || world->broken || world->trace->len >= TRACE_MAX)
		return;
	va_start(args, format);
	g_ptr_array_add(world->trace, line_(world, request, format, args));
	va_end(args);
}

void world_break(world_t *world, guarantee_t guarantee, uint64_t request,
		 const char *format, ...)
{
	va_list args;

	if (world->broken)
		return;
	va_start(args, format);
	g_vsnprintf(world->breach, sizeof(world->breach), format, args);
	va_end(args);
	world_trace(world, request, "BREACH %s: %s",
		    guarantee_string[guarantee], world->breach);
	world->broken = true;
	world->guarantee = guarantee;
	world->breach_request = request;
}

void world_check(world_t *world)
{
	unsigned int i;

	for (i = 0; i < world->node_count; i++) {
		const node_t *node = &world->nodes[i];

		if (node->up && !node->paused &&
		    mmx_entry_in_progress(node->entry) > world->next_request)
			world_break(world, GUARANTEE_ANSWERED, 0,
				    "more requests in progress than sent");
		if (node->up &&
		    !mmx_view_floor_holds(mmx_entry_view(node->entry)))
			world_break(world, GUARANTEE_FLOOR, 0,
				    "%s ejects below the floor", node->name);
	}
}

/* --- directory --------------------------------------------------------- */

typedef struct gossip_t {
	node_t *to;
	mmx_target_record_t record;
} gossip_t;

static void deliver_gossip_(void *arg)
{
	gossip_t *gossip = arg;
	node_t *node = gossip->to;

	if (node->up && node->paused) {
		world_after(node->world, GOSSIP_RETRY_US, deliver_gossip_,
			    gossip, g_free);
		return;
	}
	if (node->up)
		mmx_directory_update(node->directory, &gossip->record);
	g_free(gossip);
}

static mmx_time_t gossip_delay_(world_t *world)
{
	if (world_unit(world) < GOSSIP_LOST_SHARE)
		return world_uniform(world, 0, GOSSIP_REPAIR_US);
	return world_uniform(world, GOSSIP_MIN_US, GOSSIP_MAX_US);
}

static void target_changed_(void *context, const mmx_target_record_t *record)
{
	node_t *from = context;
	world_t *world = from->world;
	unsigned int i;

	world_trace(world, 0, "%s announces %s %s", from->name, record->name,
		    mmx_target_state_string[record->state]);
	mmx_directory_update(from->directory, record);
	for (i = 0; i < world->node_count; i++) {
		gossip_t *gossip;

		if (&world->nodes[i] == from)
			continue;
		gossip = g_new0(gossip_t, 1);
		gossip->to = &world->nodes[i];
		gossip->record = *record;
		/* Members pass news on, so one-way loss only delays it. */
		world_after(world,
			    gossip_delay_(world) + (world->lost[from->index][i]
							    ? GOSSIP_RETRY_US
							    : 0),
			    deliver_gossip_, gossip, g_free);
	}
}

static const mmx_exit_observer_ops_t observer_ = {
	.target_changed = target_changed_,
};

/* A new process takes the directory from a member that is up. */
static void copy_directory_(node_t *node)
{
	world_t *world = node->world;
	unsigned int i;
	unsigned int bucket;
	const mmx_directory_target_t *target;
	mmx_target_record_t record;

	for (i = 0; i < world->node_count; i++) {
		const node_t *other = &world->nodes[i];

		if (other == node || !other->up || other->paused)
			continue;
		for (bucket = 0; bucket < MMX_DIRECTORY_BUCKETS; bucket++) {
			target = mmx_directory_bucket_first(other->directory,
							    bucket);
			for (; target;
			     target = mmx_directory_bucket_next(target)) {
				mmx_directory_record(target, &record);
				mmx_directory_update(node->directory, &record);
			}
		}
	}
}

static void declare_dead_(void *arg)
{
	node_t *node = arg;
	world_t *world = node->world;
	unsigned int i;

	if (node->up)
		return;
	for (i = 0; i < world->node_count; i++)
		if (&world->nodes[i] != node && world->nodes[i].up)
			mmx_directory_remove_older(world->nodes[i].directory,
						   node->id,
						   node->incarnation + 1);
}

/* --- members ----------------------------------------------------------- */

static mmx_locality_t ring_(void *context, mmx_node_id_t id)
{
	const node_t *node = context;
	const node_t *other = world_node(node->world, id);

	if (node->zone == other->zone)
		return MMX_LOCALITY_ZONE;
	return node->region == other->region ? MMX_LOCALITY_REGION
					     : MMX_LOCALITY_REMOTE;
}

static const mmx_view_members_ops_t members_ = {.locality = ring_};

/* --- nodes ------------------------------------------------------------- */

node_t *world_add_node(world_t *world, unsigned int zone, unsigned int region)
{
	node_t *node = &world->nodes[world->node_count];

	g_assert(world->node_count < NODES_MAX);
	node->world = world;
	node->index = world->node_count++;
	g_snprintf(node->name, sizeof(node->name), "n%u", node->index + 1);
	node->id = mmx_directory_id("node", node->name);
	node->zone = zone;
	node->region = region;
	return node;
}

mmx_time_t node_time(const node_t *node)
{
	return world_now(node->world) - node->started;
}

void world_start_node(node_t *node)
{
	world_t *world = node->world;

	node->up = true;
	node->paused = false;
	node->leaving = false;
	/* The wall clocks of two nodes differ a little. */
	node->started = -(mmx_time_t)node->index * CLOCK_SKEW_US;
	node->incarnation = ++world->next_incarnation;
	node->runtime = mmx_runtime_create(NULL);
	mmx_clock_jump(mmx_runtime_clock(node->runtime), node_time(node));
	node->directory =
		mmx_directory_create(mmx_runtime_clock(node->runtime));
	copy_directory_(node);
	net_init_node(node);
	target_init_node(node);
	caller_init_node(node);
	claims_init_node(node);
	node->exit = mmx_exit_create(node->runtime, node->id, node->name,
				     node->incarnation);
	mmx_exit_set_target_client(node->exit, &node->client.task);
	mmx_exit_set_observer(node->exit, &observer_, node);
	mmx_exit_set_config_state(node->exit, &world->in_force);
	mmx_exit_set_guards(node->exit, &world->guards);
	if (world->record_max)
		mmx_exit_set_record_max(node->exit, world->record_max);
	mmx_exit_init(node->exit);
	node->entry =
		mmx_entry_create(node->runtime, node->id, node->incarnation,
				 mmx_random_next(&world->random));
	mmx_entry_set_http(node->entry, &node->http.task);
	mmx_entry_set_peer(node->entry, &node->peer.task);
	mmx_entry_set_local_exit(node->entry, &node->local.task);
	mmx_entry_set_config_state(node->entry, &world->in_force);
	mmx_entry_set_directory(node->entry, node->directory);
	mmx_entry_set_members(node->entry, &members_, node);
	mmx_entry_set_guards(node->entry, &world->guards);
	mmx_entry_set_claims(node->entry, claims_task(node));
	mmx_entry_init(node->entry);
	world_trace(world, 0, "%s starts", node->name);
}

static void free_process_(node_t *node)
{
	net_finish_node(node);
	claims_finish_node(node);
	mmx_entry_destroy(node->entry);
	mmx_exit_destroy(node->exit);
	mmx_directory_destroy(node->directory);
	mmx_runtime_destroy(node->runtime);
	node->up = false;
}

void node_kill(node_t *node)
{
	if (!node->up)
		return;
	world_trace(node->world, 0, "%s dies", node->name);
	caller_node_lost(node);
	target_node_lost(node);
	free_process_(node);
	net_node_down(node);
	world_after(node->world, DEAD_AFTER_US, declare_dead_, node, NULL);
}

void node_pause(node_t *node)
{
	if (!node->up)
		return;
	world_trace(node->world, 0, "%s is paused", node->name);
	node->paused = true;
}

void node_resume(node_t *node)
{
	mmx_clock_t *clock;

	if (!node->up || !node->paused)
		return;
	world_trace(node->world, 0, "%s resumes", node->name);
	node->paused = false;
	clock = mmx_runtime_clock(node->runtime);
	mmx_clock_jump(clock, node_time(node) - mmx_clock_now(clock));
	/* Timers and sockets have both become ready; either may come first. */
	if (world_unit(node->world) < 0.5)
		mmx_runtime_deliver(node->runtime);
	mmx_clock_advance(clock, 0);
	mmx_runtime_deliver(node->runtime);
}

static void end_stopped_(void *arg)
{
	node_t *node = arg;

	if (!node->up || !node->leaving)
		return;
	if (mmx_entry_in_progress(node->entry) > 0 ||
	    mmx_exit_in_progress(node->exit, NULL) > 0 || node->paused)
		world_after(node->world, 10 * MMX_US_PER_MS, end_stopped_, node,
			    NULL);
	else
		node_kill(node);
}

void node_stop(node_t *node)
{
	unsigned int i;

	if (!node->up || node->paused || node->leaving)
		return;
	world_trace(node->world, 0, "%s leaves as planned", node->name);
	node->leaving = true;
	for (i = 0; i < node->world->target_count; i++)
		if (node->world->targets[i].node == node)
			node->world->targets[i].stop_at =
				MIN(node->world->targets[i].stop_at,
				    world_now(node->world));
	mmx_entry_drain(node->entry);
	mmx_exit_stop_all(node->exit, 0);
	mmx_runtime_deliver(node->runtime);
	world_after(node->world, 10 * MMX_US_PER_MS, end_stopped_, node, NULL);
}

/* --- time -------------------------------------------------------------- */

static bool is_active_(const node_t *node)
{
	return node->up && !node->paused;
}

static mmx_time_t next_(const world_t *world)
{
	mmx_time_t next = mmx_clock_next(world->clock);
	mmx_time_t due;
	unsigned int i;

	for (i = 0; i < world->node_count; i++) {
		const node_t *node = &world->nodes[i];

		if (!is_active_(node))
			continue;
		due = mmx_clock_next(mmx_runtime_clock(node->runtime));
		if (due != MMX_TIME_NEVER)
			next = MIN(next, due + node->started);
	}
	return next;
}

static void catch_up_(world_t *world)
{
	unsigned int i;
	mmx_clock_t *clock;

	for (i = 0; i < world->node_count; i++) {
		node_t *node = &world->nodes[i];

		if (!is_active_(node))
			continue;
		clock = mmx_runtime_clock(node->runtime);
		mmx_clock_advance(clock,
				  node_time(node) - mmx_clock_now(clock));
		mmx_runtime_deliver(node->runtime);
	}
}

void world_run(world_t *world, mmx_time_t by)
{
	mmx_time_t end = world_now(world) + by;
	mmx_time_t next;

	catch_up_(world);
	while (!world->broken && (next = next_(world)) <= end) {
		/* Nodes' clocks first, so that messages that arrive now are
		 * handled at this time. */
		if (next > world_now(world))
			mmx_clock_advance(world->clock,
					  next - world_now(world));
		else
			mmx_clock_advance(world->clock, 0);
		catch_up_(world);
		world_check(world);
	}
	if (world_now(world) < end && !world->broken)
		mmx_clock_advance(world->clock, end - world_now(world));
	catch_up_(world);
	world_check(world);
}

/* --- life -------------------------------------------------------------- */

world_t *world_create(uint64_t seed, bool traced)
{
	world_t *world = g_new0(world_t, 1);

	world->seed = seed;
	world->traced = traced;
	world->trace = g_ptr_array_new_with_free_func(g_free);
	world->clock = mmx_clock_create_paused();
	mmx_random_seed(&world->random, seed);
	world->config_state = mmx_config_state_create();
	world->in_force = world->config_state;
	world->guards = mmx_guards_all;
	world->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, caller_free);
	LIST_INIT(&world->events);
	LIST_INIT(&world->connections);
	world->claims = claims_world_create();
	return world;
}

void world_destroy(world_t *world)
{
	event_t *event;
	unsigned int i;

	for (i = 0; i < world->node_count; i++)
		if (world->nodes[i].up)
			free_process_(&world->nodes[i]);
	net_destroy(world);
	while ((event = LIST_FIRST(&world->events))) {
		LIST_REMOVE(event, entry);
		mmx_timer_cancel(&event->timer);
		if (event->drop)
			event->drop(event->arg);
		g_free(event);
	}
	for (i = 0; i < world->target_count; i++)
		target_finish(&world->targets[i]);
	claims_world_destroy(world->claims);
	g_hash_table_destroy(world->requests);
	g_hash_table_destroy(world->cancelled);
	mmx_config_state_destroy(world->config_state);
	mmx_clock_destroy(world->clock);
	g_ptr_array_free(world->trace, TRUE);
	g_free(world);
}
