/*
 * Processor time and memory of fleet-wide limits: a decision at the owner, a
 * token request at both ends, and the first use of an account, which orders
 * all nodes. Two sizes of the fleet are measured in the same run.
 */
#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "model/options.h"
#include "private/quota.h"

#define FEW_NODES 104
#define MANY_NODES 4200
#define ACCOUNTS 90
/* An instance has a tenth of a core, and an entry sees a few requests a second:
 * with this bound, 10 of them take 0.2% of it. */
#define BOUND_US 20.0

static gboolean as_json_;
static gint requests_ = 200000;

static const GOptionEntry entries_[] = {
	{"json", 0, 0, G_OPTION_ARG_NONE, &as_json_, "Print JSON", NULL},
	{"requests", 0, 0, G_OPTION_ARG_INT, &requests_, "Requests", "N"},
	{NULL},
};

typedef struct end_t {
	mmx_quota_t *quota;
	mmx_node_id_t id;
	struct end_t *other;
	size_t nodes;
	uint64_t call; /* to answer; 0: none */
	uint8_t *answer;
	size_t length;
} end_t;

static void send_ask_(void *context, mmx_node_id_t node, uint64_t call,
		      const uint8_t *bytes, size_t length)
{
	end_t *self = context;
	const mmx_peer_ticket_t ticket = {.connection = call};

	if (self->other && node == self->other->id)
		mmx_quota_on_ask(self->other->quota, self->id, &ticket, bytes,
				 length);
}

/* Keeps the reply: it must not be delivered from inside of send_ask_(). */
static void send_answer_(void *context, const mmx_peer_ticket_t *ticket,
			 const uint8_t *bytes, size_t length)
{
	end_t *self = context;

	self->call = ticket->connection;
	self->answer = g_memdup2(bytes, length);
	self->length = length;
}

static void deliver_answer_(end_t *end)
{
	uint8_t *answer = end->answer;

	if (!end->call)
		return;
	mmx_quota_on_answer(end->other->quota, end->call, end->id, answer,
			    end->length);
	end->call = 0;
	g_free(answer);
}

static void list_nodes_(void *context, GArray *nodes)
{
	const end_t *self = context;
	mmx_node_id_t id;

	for (id = 1; id <= self->nodes; id++)
		g_array_append_val(nodes, id);
}

static bool find_limit_(void *context, const char *account,
			mmx_quota_limit_t *limit)
{
	(void)context;
	(void)account;
	(void)limit;
	return false;
}

static void decided_(void *context, void *request, mmx_quota_result_t result,
		     mmx_time_t retry_after)
{
	(void)context;
	(void)request;
	(void)result;
	(void)retry_after;
}

static const mmx_quota_ops_t ops_ = {
	.send_ask = send_ask_,
	.send_answer = send_answer_,
	.list_nodes = list_nodes_,
	.find_limit = find_limit_,
	.decided = decided_,
};

static double cpu_us_(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void open_(end_t *end, mmx_clock_t *clock, mmx_node_id_t id,
		  size_t nodes, end_t *other)
{
	*end = (end_t){.id = id, .other = other, .nodes = nodes};
	end->quota = mmx_quota_create(
		&(mmx_quota_config_t){
			.clock = clock,
			.node = id,
			.bounds = {.window = 5 * MMX_US_PER_S,
				   .overshoot = 0.1,
				   .slack = 20},
		},
		&ops_, end);
}

static void take_(end_t *end, int number)
{
	const mmx_quota_limit_t limit = {.rate = 1e6, .burst = 1e6};
	mmx_time_t retry_after;
	char name[24];

	g_snprintf(name, sizeof(name), "account-%d", number);
	mmx_quota_take(end->quota, name, &limit, end, &retry_after);
}

/* Microseconds for a request: at a node that owns everything, or at two nodes,
 * where every second account needs a token request. Requests are 20 ms apart,
 * so that prefetched tokens expire; the timers of that time are included. */
static double measure_requests_(size_t nodes)
{
	mmx_clock_t *clock = mmx_clock_create_paused();
	end_t ends[2];
	double start;
	int i;

	open_(&ends[1], clock, 2, nodes, &ends[0]);
	open_(&ends[0], clock, 1, nodes, &ends[1]);
	mmx_clock_advance(clock, 10 * MMX_US_PER_S);
	start = cpu_us_();
	for (i = 0; i < requests_; i++) {
		take_(&ends[0], i % ACCOUNTS);
		mmx_clock_advance(clock, 20 * MMX_US_PER_MS);
		deliver_answer_(&ends[0]);
		deliver_answer_(&ends[1]);
	}
	start = (cpu_us_() - start) / requests_;
	mmx_quota_destroy(ends[0].quota);
	mmx_quota_destroy(ends[1].quota);
	mmx_clock_destroy(clock);
	return start;
}

/* Microseconds and bytes for the first use of an account. */
static double measure_first_use_(size_t nodes, double *bytes)
{
	enum { COUNT = 1000 };
	mmx_clock_t *clock = mmx_clock_create_paused();
	size_t heap;
	double start;
	end_t end;
	int i;

	open_(&end, clock, 1, nodes, NULL);
	heap = mallinfo2().uordblks;
	start = cpu_us_();
	for (i = 0; i < COUNT; i++)
		take_(&end, i);
	start = (cpu_us_() - start) / COUNT;
	*bytes = (double)(mallinfo2().uordblks - heap) / COUNT;
	mmx_quota_destroy(end.quota);
	mmx_clock_destroy(clock);
	return start;
}

int main(int argc, char **argv)
{
	double alone;
	double pair;
	double few;
	double many;
	double bytes;
	bool ok;

	if (!bench_parse_options(argc, argv, NULL, entries_))
		return 2;
	alone = measure_requests_(1);
	pair = measure_requests_(2);
	few = measure_first_use_(FEW_NODES, &bytes);
	many = measure_first_use_(MANY_NODES, &bytes);
	ok = alone <= BOUND_US && pair <= BOUND_US;
	if (as_json_) {
		json_t *json =
			json_pack("{s:f, s:f, s:f, s:f, s:f, s:b}", "owner_us",
				  alone, "pair_us", pair, "first_use_104_us",
				  few, "first_use_4200_us", many,
				  "account_bytes", bytes, "ok", ok);

		json_dumpf(json, stdout, JSON_INDENT(2));
		json_decref(json);
		printf("\n");
	} else {
		printf("request at the owner: %.2f us; at two nodes, "
		       "timers included: %.2f us (bound %.0f us)\n"
		       "first use of an account: %.2f us with %d nodes, "
		       "%.2f us with %d; %.0f bytes\n",
		       alone, pair, BOUND_US, few, FEW_NODES, many, MANY_NODES,
		       bytes);
	}
	return ok ? 0 : 1;
}
