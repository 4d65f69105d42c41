/* Callers that repeat a request under its Idempotency-Key. */
#include "claims_world.h"

#define POLL_US (50 * MMX_US_PER_MS)
/* A caller that waits for an event gives up after this time. */
#define PATIENCE_US (15 * MMX_US_PER_S)
#define REPEATS_MAX 3
/* Past the margin after which the holder of a key may be fenced. */
#define LONG_AFTER_US (7 * MMX_US_PER_S)

typedef enum when_t {
	WHEN_AT_ONCE,
	WHEN_TIMEOUT,
	WHEN_NOT_RUN,
	WHEN_UNKNOWN,
	WHEN_RESTART,
	WHEN_LONG_AFTER,
	WHEN_COUNT
} when_t;

static const char *const when_string_[WHEN_COUNT] = {
	"at once",	 "after the time-out", "after not-run",
	"after unknown", "after a restart",    "long after the deadline",
};

typedef struct repeat_t {
	world_t *world;
	const request_t *last;
	char service[16];
	when_t when;
	mmx_time_t not_before;
	mmx_time_t give_up;
	unsigned int left;
} repeat_t;

static void choose_(repeat_t *repeat)
{
	world_t *world = repeat->world;
	mmx_time_t now = world_now(world);

	repeat->when = (when_t)mmx_random_below(&world->random, WHEN_COUNT);
	repeat->give_up = now + PATIENCE_US;
	repeat->not_before = now;
	if (repeat->when == WHEN_AT_ONCE)
		repeat->not_before +=
			world_uniform(world, 0, 10 * MMX_US_PER_MS);
	else if (repeat->when == WHEN_TIMEOUT)
		repeat->not_before = repeat->last->deadline +
				     world_uniform(world, 0, MMX_US_PER_S);
	else if (repeat->when == WHEN_LONG_AFTER)
		repeat->not_before = repeat->last->deadline + LONG_AFTER_US;
}

static bool is_due_(const repeat_t *repeat)
{
	const request_t *last = repeat->last;

	if (world_now(repeat->world) < repeat->not_before)
		return false;
	switch (repeat->when) {
	case WHEN_NOT_RUN:
		return last->ended && last->outcome == MMX_OUTCOME_NOT_RUN;
	case WHEN_UNKNOWN:
		return last->ended && last->outcome == MMX_OUTCOME_UNKNOWN;
	case WHEN_RESTART:
		return last->node->incarnation != last->incarnation;
	default:
		return true;
	}
}

static node_t *other_node_(const repeat_t *repeat)
{
	world_t *world = repeat->world;
	unsigned int n = (unsigned int)mmx_random_below(&world->random,
							world->node_count - 1);

	return &world->nodes[n < repeat->last->node->index ? n : n + 1];
}

static void send_(repeat_t *repeat)
{
	const request_t *last = repeat->last;
	caller_request_t what = {
		.service = repeat->service,
		.method = "POST",
		.key = true,
		.key_name = last->key->name,
		.timeout = last->deadline - last->created,
		.size = last->size,
		.upload = last->upload,
	};
	const request_t *request =
		caller_send(repeat->world, other_node_(repeat), &what);

	if (!request)
		return;
	world_trace(repeat->world, request->id, "repeats #%u %s",
		    (unsigned int)last->id, when_string_[repeat->when]);
	repeat->last = request;
	repeat->left--;
	choose_(repeat);
}

static void poll_(void *arg)
{
	repeat_t *repeat = arg;
	mmx_time_t wait;

	if (is_due_(repeat))
		send_(repeat);
	if (repeat->left == 0 || world_now(repeat->world) > repeat->give_up) {
		g_free(repeat);
		return;
	}
	wait = repeat->not_before - world_now(repeat->world);
	world_after(repeat->world, wait > 0 ? wait : POLL_US, poll_, repeat,
		    g_free);
}

void repeats_follow(request_t *request, const char *service)
{
	repeat_t *repeat = g_new0(repeat_t, 1);

	repeat->world = request->world;
	repeat->last = request;
	g_strlcpy(repeat->service, service, sizeof(repeat->service));
	repeat->left = 1 + (unsigned int)mmx_random_below(
				   &request->world->random, REPEATS_MAX);
	choose_(repeat);
	poll_(repeat);
}
