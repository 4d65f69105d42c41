/*
 * Cost of the connections between nodes: pairs of EXECUTE and RESPONSE, bytes
 * on the wire, and bodies.
 *
 *   build/bench/bench_peer [--json] [--pairs=N] [--body-mib=N]
 *
 * Both nodes and their stand-ins for entry and exit run in one process and
 * one thread on loopback, so a pair contains the work of both sides. The time
 * is that of the processor, and the ratio compares with and without a fleet
 * key within one run.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include "private/peer.h"

#define INCARNATION 1700000000000000ULL
#define PAIRS_DEFAULT 100000
#define BODY_MIB_DEFAULT 64
#define WARM_UP_PAIRS 2000
#define CONCURRENCY_MAX 64
#define ROUNDS 5
/* Part of a body that the source hands over at a time, bytes. */
#define PART_BYTES (64 * 1024)
#define MIB (1024.0 * 1024.0)

typedef struct bench_t bench_t;

typedef struct side_t {
	mmx_task_t task;
	bench_t *bench;
} side_t;

struct bench_t {
	mmx_peer_resolver_t resolver;
	struct event_base *base;
	mmx_runtime_t *runtime;
	mmx_random_t random;
	mmx_counters_t *counters[2];
	mmx_peer_t *caller;
	mmx_peer_t *callee;
	side_t entry;
	side_t exit;
	uint64_t sequence;
	uint64_t started;
	uint64_t wanted;
	uint64_t finished;
	/* Body transfer. */
	size_t body_left;
	size_t credit;
	size_t body_received;
	mmx_origin_t origin;
};

static const mmx_fleet_key_t key_ = {.id = "bench", .secret = {1, 2, 3}};

static double cpu_s_(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static double wall_s_(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static mmx_execute_t *execute_(bench_t *bench)
{
	mmx_execute_t *execute = mmx_new_execute();

	execute->attempt = (mmx_attempt_id_t){mmx_node_id("caller"),
					      INCARNATION, ++bench->sequence};
	execute->exit = mmx_node_id("callee");
	execute->exit_incarnation = INCARNATION;
	execute->remaining = MMX_US_PER_S;
	strcpy(execute->service, "job-cards");
	strcpy(execute->account, "workshop-17");
	execute->head = mmx_head_create_request("GET", "/cards/81723");
	mmx_head_add(execute->head, "Host", "job-cards");
	mmx_head_add(execute->head, "Accept", "application/json");
	execute->body_end = true;
	return execute;
}

static void start_pair_(bench_t *bench)
{
	bench->started++;
	mmx_task_post(mmx_peer_task(bench->caller), &execute_(bench)->message);
}

static void send_parts_(bench_t *bench)
{
	struct evbuffer_iovec piece;
	mmx_body_t *part;
	size_t n;

	while (bench->body_left > 0 && bench->credit > 0) {
		n = MIN(MIN(bench->body_left, bench->credit), PART_BYTES);
		part = mmx_new_body(MMX_TO_TARGET);
		part->attempt = (mmx_attempt_id_t){
			mmx_node_id("caller"), INCARNATION, bench->sequence};
		part->exit = mmx_node_id("callee");
		evbuffer_reserve_space(part->data, (ev_ssize_t)n, &piece, 1);
		memset(piece.iov_base, 'b', n);
		piece.iov_len = n;
		evbuffer_commit_space(part->data, &piece, 1);
		bench->body_left -= n;
		bench->credit -= n;
		part->end = bench->body_left == 0;
		mmx_task_post(mmx_peer_task(bench->caller), &part->message);
	}
}

static void on_entry_(mmx_task_t *task, mmx_message_t *message)
{
	bench_t *bench = ((side_t *)task)->bench;

	if (message->ops->kind == MMX_MESSAGE_RESPONSE) {
		bench->finished++;
		if (bench->started < bench->wanted)
			start_pair_(bench);
	} else if (message->ops->kind == MMX_MESSAGE_WINDOW) {
		bench->credit += ((mmx_window_t *)message)->credit;
		send_parts_(bench);
	} else {
		fprintf(stderr, "unexpected %s\n", message->ops->name);
	}
	mmx_message_destroy(message);
}

static void respond_(const mmx_attempt_id_t *attempt, mmx_origin_t origin)
{
	mmx_response_t *response = mmx_new_response(attempt);

	response->origin = origin;
	response->head = mmx_head_create_response(200);
	mmx_head_add(response->head, "Content-Type", "application/json");
	evbuffer_add(response->body, "{\"card\":81723,\"state\":\"open\"}", 29);
	response->body_end = true;
	mmx_task_post(origin.task, &response->message);
}

static void on_exit_body_(bench_t *bench, mmx_body_t *body)
{
	mmx_window_t *window;
	size_t n = evbuffer_get_length(body->data);

	bench->body_received += n;
	if (body->end) {
		respond_(&body->attempt, body->origin);
		return;
	}
	window = mmx_new_window(MMX_TO_TARGET, (uint32_t)n);
	window->attempt = body->attempt;
	window->origin = body->origin;
	mmx_task_post(body->origin.task, &window->message);
}

static void on_exit_(mmx_task_t *task, mmx_message_t *message)
{
	bench_t *bench = ((side_t *)task)->bench;
	mmx_execute_t *execute = (mmx_execute_t *)message;

	if (message->ops->kind == MMX_MESSAGE_BODY)
		on_exit_body_(bench, (mmx_body_t *)message);
	else if (message->ops->kind == MMX_MESSAGE_EXECUTE && execute->body_end)
		respond_(&execute->attempt, execute->origin);
	mmx_message_destroy(message);
}

static const mmx_task_ops_t entry_ops_ = {"entry", on_entry_};
static const mmx_task_ops_t exit_ops_ = {"exit", on_exit_};

static bool resolve_(mmx_peer_resolver_t *resolver, mmx_node_id_t node,
		     mmx_address_t *address, mmx_incarnation_t *incarnation)
{
	strcpy(address->host, "127.0.0.1");
	address->port = mmx_peer_port(((bench_t *)resolver)->callee);
	*incarnation = INCARNATION;
	return true;
}

static const mmx_peer_resolver_ops_t resolver_ops_ = {.resolve = resolve_};

static mmx_peer_t *create_peer_(bench_t *bench, const char *name,
				mmx_counters_t *counters, size_t key_count)
{
	mmx_peer_config_t config = {
		.node_name = name,
		.incarnation = INCARNATION,
		.keys = &key_,
		.key_count = key_count,
		.listen = {.host = "127.0.0.1"},
		.resolver = &bench->resolver,
		.entry = &bench->entry.task,
		.exit = &bench->exit.task,
		.counters = counters,
		.random = &bench->random,
	};
	mmx_peer_t *peer = mmx_peer_create(bench->runtime, &config);
	mmx_error_t error;

	if (!mmx_peer_start(peer, &error)) {
		fprintf(stderr, "%s\n", error.text);
		exit(1);
	}
	return peer;
}

static void init_(bench_t *bench, size_t key_count)
{
	memset(bench, 0, sizeof(*bench));
	bench->resolver.ops = &resolver_ops_;
	bench->base = event_base_new();
	bench->runtime = mmx_runtime_create(bench->base);
	mmx_random_seed(&bench->random, 1);
	bench->entry.bench = bench;
	bench->exit.bench = bench;
	mmx_task_init(&bench->entry.task, &entry_ops_, bench->runtime);
	mmx_task_init(&bench->exit.task, &exit_ops_, bench->runtime);
	bench->counters[0] = mmx_counters_create();
	bench->counters[1] = mmx_counters_create();
	bench->caller =
		create_peer_(bench, "caller", bench->counters[0], key_count);
	bench->callee =
		create_peer_(bench, "callee", bench->counters[1], key_count);
}

static void finish_(bench_t *bench)
{
	mmx_peer_destroy(bench->caller);
	mmx_peer_destroy(bench->callee);
	mmx_counters_destroy(bench->counters[0]);
	mmx_counters_destroy(bench->counters[1]);
	mmx_runtime_destroy(bench->runtime);
	event_base_free(bench->base);
}

static void run_pairs_(bench_t *bench, uint64_t pairs, uint64_t concurrency)
{
	bench->started = 0;
	bench->finished = 0;
	bench->wanted = pairs;
	while (bench->started < MIN(concurrency, pairs))
		start_pair_(bench);
	while (bench->finished < pairs)
		event_base_loop(bench->base, EVLOOP_ONCE);
}

/* Bytes that the caller has sent and received, up to the last check of its
 * connection; the run is long compared with the interval of the checks. */
static int64_t bytes_(bench_t *bench, const char *name)
{
	return mmx_counters_get(bench->counters[0], MMX_COUNTER, name, "", "")
		->value;
}

static json_t *measure_pairs_(size_t key_count, uint64_t concurrency,
			      uint64_t pairs)
{
	json_t *out = json_object();
	bench_t bench;
	double cpu;
	double wall;

	init_(&bench, key_count);
	run_pairs_(&bench, WARM_UP_PAIRS, concurrency);
	cpu = cpu_s_();
	wall = wall_s_();
	run_pairs_(&bench, pairs, concurrency);
	cpu = cpu_s_() - cpu;
	wall = wall_s_() - wall;
	json_object_set_new(out, "signed", json_boolean(key_count > 0));
	json_object_set_new(out, "concurrency",
			    json_integer((json_int_t)concurrency));
	json_object_set_new(out, "pairs", json_integer((json_int_t)pairs));
	json_object_set_new(out, "cpu_us_per_pair",
			    json_real(cpu / (double)pairs * 1e6));
	json_object_set_new(out, "messages_per_s",
			    json_real(2 * (double)pairs / wall));
	/* Closing the connection makes the counters complete. */
	mmx_peer_destroy(bench.callee);
	bench.callee = NULL;
	while (mmx_peer_connection_count(bench.caller) > 0)
		event_base_loop(bench.base, EVLOOP_ONCE);
	pairs += WARM_UP_PAIRS;
	json_object_set_new(
		out, "request_bytes",
		json_real((double)bytes_(&bench,
					 "masticmux_peer_sent_bytes_total") /
			  (double)pairs));
	json_object_set_new(
		out, "response_bytes",
		json_real(
			(double)bytes_(&bench,
				       "masticmux_peer_received_bytes_total") /
			(double)pairs));
	finish_(&bench);
	return out;
}

static long peak_kib_(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_maxrss;
}

/* One request body under window credit; the exit discards it. */
static json_t *measure_body_(size_t key_count, size_t mib)
{
	json_t *out = json_object();
	mmx_execute_t *execute;
	bench_t bench;
	double cpu;
	double wall;
	long before;

	init_(&bench, key_count);
	run_pairs_(&bench, WARM_UP_PAIRS, 1);
	malloc_trim(0);
	before = peak_kib_();
	bench.finished = 0;
	bench.wanted = 0;
	bench.body_left = mib * 1024 * 1024;
	bench.credit = MMX_WINDOW_BYTES;
	cpu = cpu_s_();
	wall = wall_s_();
	execute = execute_(&bench);
	execute->body_end = false;
	mmx_task_post(mmx_peer_task(bench.caller), &execute->message);
	send_parts_(&bench);
	while (bench.finished == 0)
		event_base_loop(bench.base, EVLOOP_ONCE);
	cpu = cpu_s_() - cpu;
	wall = wall_s_() - wall;
	json_object_set_new(out, "signed", json_boolean(key_count > 0));
	json_object_set_new(out, "body_bytes",
			    json_integer((json_int_t)bench.body_received));
	json_object_set_new(out, "mib_per_s", json_real((double)mib / wall));
	json_object_set_new(out, "cpu_ms_per_mib",
			    json_real(cpu / (double)mib * 1e3));
	json_object_set_new(out, "peak_growth_kib",
			    json_integer(peak_kib_() - before));
	finish_(&bench);
	return out;
}

static void print_text_(json_t *result)
{
	json_t *row;
	size_t i;

	printf("%-7s %11s %14s %13s %13s %14s\n", "signed", "concurrency",
	       "CPU us/pair", "messages/s", "request B", "response B");
	json_array_foreach(json_object_get(result, "pairs"), i, row) printf(
		"%-7s %11lld %14.2f %13.0f %13.1f %14.1f\n",
		json_is_true(json_object_get(row, "signed")) ? "yes" : "no",
		json_integer_value(json_object_get(row, "concurrency")),
		json_real_value(json_object_get(row, "cpu_us_per_pair")),
		json_real_value(json_object_get(row, "messages_per_s")),
		json_real_value(json_object_get(row, "request_bytes")),
		json_real_value(json_object_get(row, "response_bytes")));
	printf("\n%-7s %12s %10s %14s %17s\n", "signed", "body bytes", "MiB/s",
	       "CPU ms/MiB", "peak growth KiB");
	json_array_foreach(json_object_get(result, "bodies"), i, row) printf(
		"%-7s %12lld %10.0f %14.3f %17lld\n",
		json_is_true(json_object_get(row, "signed")) ? "yes" : "no",
		json_integer_value(json_object_get(row, "body_bytes")),
		json_real_value(json_object_get(row, "mib_per_s")),
		json_real_value(json_object_get(row, "cpu_ms_per_mib")),
		json_integer_value(json_object_get(row, "peak_growth_kib")));
	printf("\nsigning costs %.2f times the processor time per pair\n",
	       json_real_value(json_object_get(result, "signed_ratio")));
}

static double cpu_of_(json_t *rows, size_t i)
{
	return json_real_value(
		json_object_get(json_array_get(rows, i), "cpu_us_per_pair"));
}

/* Keeps the round with the least processor time of each row; rounds alternate
 * between the rows, so that other load on the machine hits all of them. */
static void measure_all_pairs_(json_t *rows, uint64_t pairs)
{
	size_t round;
	json_t *row;
	size_t i;

	for (round = 0; round < ROUNDS; round++) {
		for (i = 0; i < 4; i++) {
			row = measure_pairs_(i / 2, i % 2 ? CONCURRENCY_MAX : 1,
					     i % 2 ? pairs : pairs / 4 + 1);
			if (round == 0)
				json_array_append_new(rows, row);
			else if (json_real_value(json_object_get(
					 row, "cpu_us_per_pair")) <
				 cpu_of_(rows, i))
				json_array_set_new(rows, i, row);
			else
				json_decref(row);
		}
	}
}

int main(int argc, char **argv)
{
	gboolean json = FALSE;
	gint pairs = PAIRS_DEFAULT;
	gint mib = BODY_MIB_DEFAULT;
	const GOptionEntry options[] = {
		{"json", 0, 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL},
		{"pairs", 0, 0, G_OPTION_ARG_INT, &pairs, "pairs per round",
		 "N"},
		{"body-mib", 0, 0, G_OPTION_ARG_INT, &mib, "body size", "N"},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GOptionContext *context = g_option_context_new(NULL);
	json_t *result = json_object();
	json_t *rows = json_array();
	json_t *bodies = json_array();
	size_t keys;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || pairs < 1 ||
	    mib < 1) {
		fprintf(stderr, "see --help\n");
		return 2;
	}
	g_option_context_free(context);
	/* Bodies first: the peak of memory is that of the whole process. */
	for (keys = 0; keys <= 1; keys++)
		json_array_append_new(bodies, measure_body_(keys, (size_t)mib));
	measure_all_pairs_(rows, (uint64_t)pairs);
	json_object_set_new(result, "signed_ratio",
			    json_real(cpu_of_(rows, 3) / cpu_of_(rows, 1)));
	json_object_set_new(result, "pairs", rows);
	json_object_set_new(result, "bodies", bodies);
	if (json)
		json_dumpf(result, stdout, JSON_INDENT(2));
	else
		print_text_(result);
	json_decref(result);
	return 0;
}
