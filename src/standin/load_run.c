#include "standin/load_run.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <math.h>
#include <string.h>
#include <sys/queue.h>

#include "masticmux/random.h"
#include "standin/body_check.h"
#include "standin/pattern.h"

/* The node answers by the timeout; this much later the caller gives up. */
#define GRACE_MS 1000
/* Requests that wait for a connection; more are not sent. */
#define WAITING_MAX 100000
/* Before a failed connection is opened again. */
#define REOPEN_US (5 * MMX_US_PER_MS)
#define KEY_MAX 64

const char *const load_fate_string[LOAD_FATE_COUNT] = {"unknown", "completed",
						       "not-run"};

const char *const load_repeat_string[LOAD_REPEAT_COUNT] = {"never", "at-once",
							   "after"};

static const char *const error_names_[] = {
	[EVREQ_HTTP_TIMEOUT] = "no progress on the connection",
	[EVREQ_HTTP_EOF] = "connection closed before the end of the answer",
	[EVREQ_HTTP_INVALID_HEADER] = "invalid answer",
	[EVREQ_HTTP_BUFFER_ERROR] = "connection failed",
	[EVREQ_HTTP_REQUEST_CANCEL] = "cancelled",
	[EVREQ_HTTP_DATA_TOO_LONG] = "answer too long",
};

typedef struct run_t run_t;
typedef struct slot_t slot_t;

/* One connection and the request on it. */
struct slot_t {
	TAILQ_ENTRY(slot_t) entry; /* while idle */
	run_t *run;
	size_t node;
	struct evhttp_connection *conn;
	mmx_timer_t deadline;
	mmx_timer_t reopen;
	uint64_t sequence;
	mmx_time_t arrival;
	const char *error;
	char key[KEY_MAX];
	body_check_t body;
};

TAILQ_HEAD(slot_list_t, slot_t);

typedef struct arrival_t {
	uint64_t sequence;
	mmx_time_t time;
} arrival_t;

typedef struct node_t {
	struct slot_list_t idle;
	GQueue waiting; /* arrival_t */
} node_t;

struct run_t {
	struct event_base *base;
	mmx_clock_t *clock;
	const load_options_t *options;
	load_stats_t *stats;
	GArray *records;
	mmx_random_t random;
	slot_t *slots;
	node_t *nodes;
	mmx_timer_t next;
	mmx_time_t next_time;
	mmx_time_t end;
	uint64_t busy;
	uint64_t waiting;
	bool ended;
};

static void send_(slot_t *slot, uint64_t sequence, mmx_time_t arrival);
static void arrive_(run_t *run, uint64_t sequence, size_t node_index,
		    mmx_time_t time);

static load_record_t *record_(run_t *run, uint64_t sequence)
{
	return &g_array_index(run->records, load_record_t, sequence);
}

static void check_end_(run_t *run)
{
	if (run->ended && run->busy == 0 && run->waiting == 0)
		event_base_loopbreak(run->base);
}

static bool draw_(run_t *run, int percent)
{
	return mmx_random_below(&run->random, 100) < (uint64_t)percent;
}

/* Draws the kind of the next request. */
static uint64_t new_request_(run_t *run)
{
	const load_options_t *options = run->options;
	load_record_t record = {.fate = LOAD_FATE_UNKNOWN};

	record.repeatable = !draw_(run, options->post_percent);
	record.keyed = !record.repeatable && draw_(run, options->key_percent);
	if (record.keyed && draw_(run, options->repeat_percent))
		record.repeat = draw_(run, 50) ? LOAD_REPEAT_AT_ONCE
					       : LOAD_REPEAT_AFTER;
	g_array_append_val(run->records, record);
	return run->records->len - 1;
}

/* Gives a free connection its next request, or makes it idle. */
static void release_(slot_t *slot)
{
	run_t *run = slot->run;
	node_t *node = &run->nodes[slot->node];
	arrival_t *waiting = g_queue_pop_head(&node->waiting);

	if (waiting) {
		run->waiting--;
		send_(slot, waiting->sequence, waiting->time);
		g_free(waiting);
	} else if (run->options->saturate &&
		   mmx_clock_now(run->clock) < run->end) {
		send_(slot, new_request_(run), mmx_clock_now(run->clock));
	} else {
		TAILQ_INSERT_HEAD(&node->idle, slot, entry);
		check_end_(run);
	}
}

/* Sends the repeat of a request that ended, through the next node. */
static void repeat_(run_t *run, uint64_t sequence)
{
	load_record_t *record = record_(run, sequence);

	if (record->repeat != LOAD_REPEAT_AFTER)
		return;
	record->repeat = LOAD_REPEAT_NEVER;
	run->stats->repeated++;
	arrive_(run, sequence, sequence + 1, mmx_clock_now(run->clock));
}

/*
 * Notes what the caller was told. Of two answers under one key the first in
 * the order completed, unknown, not-run counts: the second not-run speaks of
 * the repeat only.
 */
static void note_fate_(run_t *run, uint64_t sequence, load_fate_t fate)
{
	load_record_t *record = record_(run, sequence);

	if (!record->answered || fate == LOAD_FATE_COMPLETED ||
	    record->fate == LOAD_FATE_NOT_RUN)
		record->fate = fate;
	record->answered = true;
}

static void on_reopen_(void *arg)
{
	slot_t *slot = arg;

	evhttp_connection_free(slot->conn);
	slot->conn = NULL;
	slot->run->busy--;
	repeat_(slot->run, slot->sequence);
	release_(slot);
}

/*
 * A request ended without an answer. It counts as busy until its connection
 * can be opened again, so that the run does not end before its repeat.
 */
static void fail_(slot_t *slot, const char *error)
{
	load_stats_count(slot->run->stats, LOAD_ERRORS, error);
	note_fate_(slot->run, slot->sequence, LOAD_FATE_UNKNOWN);
	mmx_timer_cancel(&slot->deadline);
	mmx_timer_set(&slot->reopen, REOPEN_US);
}

static void on_deadline_(void *arg)
{
	slot_t *slot = arg;

	evhttp_connection_free(slot->conn);
	slot->conn = NULL;
	load_stats_count(slot->run->stats, LOAD_ERRORS, "no answer in time");
	note_fate_(slot->run, slot->sequence, LOAD_FATE_UNKNOWN);
	slot->run->busy--;
	repeat_(slot->run, slot->sequence);
	release_(slot);
}

static void on_error_(enum evhttp_request_error error, void *arg)
{
	slot_t *slot = arg;

	slot->error = (size_t)error < G_N_ELEMENTS(error_names_)
			      ? error_names_[error]
			      : NULL;
}

static void on_part_(struct evhttp_request *req, void *arg)
{
	slot_t *slot = arg;
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	struct evbuffer_iovec part;

	while (evbuffer_peek(body, -1, NULL, &part, 1) > 0) {
		body_check_add(&slot->body, part.iov_base, part.iov_len);
		slot->run->stats->response_body_bytes += part.iov_len;
		evbuffer_drain(body, part.iov_len);
	}
}

/* What the answer says about the request, and whether it may say so. */
static load_fate_t judge_(slot_t *slot, struct evkeyvalq *headers)
{
	load_stats_t *stats = slot->run->stats;
	const char *outcome = evhttp_find_header(headers, "Masticmux-Outcome");
	const char *reason = evhttp_find_header(headers, "Masticmux-Reason");
	const char *result = evhttp_find_header(headers, "X-Target-Result");

	if (reason)
		load_stats_count(stats, LOAD_REASONS, reason);
	if (!slot->run->options->direct) {
		load_stats_count(stats, LOAD_OUTCOMES,
				 outcome ? outcome : "none");
		if (!outcome) {
			load_stats_violation(stats, "answer without outcome",
					     slot->key);
			return LOAD_FATE_UNKNOWN;
		}
		if (strcmp(outcome, "completed") != 0 && !reason)
			load_stats_violation(stats, "refusal without reason",
					     slot->key);
		if (strcmp(outcome, "not-run") == 0)
			return LOAD_FATE_NOT_RUN;
		if (strcmp(outcome, "completed") != 0)
			return LOAD_FATE_UNKNOWN;
	}
	if (!result) {
		load_stats_violation(stats, "completed without a target",
				     slot->key);
		return LOAD_FATE_UNKNOWN;
	}
	if (slot->run->options->direct)
		load_stats_count(stats, LOAD_OUTCOMES, result);
	if (strcmp(result, "executed") == 0)
		return LOAD_FATE_COMPLETED;
	return strcmp(result, "refused") == 0 ? LOAD_FATE_NOT_RUN
					      : LOAD_FATE_UNKNOWN;
}

static void check_answer_(slot_t *slot, struct evhttp_request *req,
			  load_fate_t fate)
{
	load_stats_t *stats = slot->run->stats;
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *key = evhttp_find_header(headers, "X-Request-Key");
	const char *target = evhttp_find_header(headers, "X-Target");
	body_verdict_t verdict;

	if (target)
		load_stats_count(stats, LOAD_TARGETS, target);
	if (key && strcmp(key, slot->key) != 0) {
		load_stats_violation(stats,
				     body_verdict_string[BODY_OTHER_REQUEST],
				     slot->key);
		return;
	}
	if (fate != LOAD_FATE_COMPLETED ||
	    evhttp_request_get_response_code(req) != HTTP_OK)
		return;
	stats->checked_bodies++;
	verdict = body_check_finish(&slot->body);
	if (verdict != BODY_GOOD)
		load_stats_violation(stats, body_verdict_string[verdict],
				     slot->key);
}

static void on_answer_(struct evhttp_request *req, void *arg)
{
	slot_t *slot = arg;
	run_t *run = slot->run;
	load_stats_t *stats = run->stats;
	uint64_t latency =
		(uint64_t)(mmx_clock_now(run->clock) - slot->arrival);
	char status[16];
	load_fate_t fate;

	if (!req || evhttp_request_get_response_code(req) == 0) {
		fail_(slot, slot->error ? slot->error : "cannot connect");
		return;
	}
	mmx_timer_cancel(&slot->deadline);
	run->busy--;
	stats->answered++;
	g_snprintf(status, sizeof(status), "%d",
		   evhttp_request_get_response_code(req));
	load_stats_count(stats, LOAD_STATUSES, status);
	fate = judge_(slot, evhttp_request_get_input_headers(req));
	check_answer_(slot, req, fate);
	note_fate_(run, slot->sequence, fate);
	if (fate == LOAD_FATE_COMPLETED) {
		stats->completed++;
		histogram_add(&stats->latency_completed, latency);
	} else {
		histogram_add(&stats->latency_refused, latency);
	}
	repeat_(run, slot->sequence);
	release_(slot);
}

static void open_(slot_t *slot)
{
	const standin_address_t *address =
		&slot->run->options->nodes[slot->node];

	slot->conn = evhttp_connection_base_new(slot->run->base, NULL,
						address->host, address->port);
	/* The deadline timer ends a request; this only backs it up. */
	evhttp_connection_set_timeout(
		slot->conn,
		(slot->run->options->timeout_ms + 2 * GRACE_MS) / 1000 + 1);
}

static void add_number_(struct evkeyvalq *headers, const char *name,
			uint64_t number)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%" PRIu64, number);
	evhttp_add_header(headers, name, text);
}

static void add_headers_(slot_t *slot, struct evhttp_request *req)
{
	const load_options_t *options = slot->run->options;
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", options->host);
	evhttp_add_header(headers, "X-Request-Key", slot->key);
	add_number_(headers, "Masticmux-Timeout-Ms",
		    (uint64_t)options->timeout_ms);
	if (options->account)
		evhttp_add_header(headers, "Masticmux-Account",
				  options->account);
	if (options->response_bytes > 0)
		add_number_(headers, "X-Response-Bytes",
			    options->response_bytes);
	if (record_(slot->run, slot->sequence)->keyed)
		evhttp_add_header(headers, "Idempotency-Key", slot->key);
}

/* Body of a POST: the pattern, then the key, so that each one differs. */
static void add_body_(slot_t *slot, struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_output_buffer(req);
	uint64_t bytes = slot->run->options->request_bytes;
	size_t suffix = strlen(slot->key);
	uint64_t checksum;

	if (suffix > bytes)
		suffix = bytes;
	pattern_append(body, bytes - suffix);
	evbuffer_add(body, slot->key, suffix);
	checksum = pattern_hash(bytes - suffix, slot->key, suffix);
	body_check_init(&slot->body, slot->key, bytes, checksum,
			slot->run->options->response_bytes);
	slot->run->stats->request_body_bytes += bytes;
}

static void send_(slot_t *slot, uint64_t sequence, mmx_time_t arrival)
{
	run_t *run = slot->run;
	const load_options_t *options = run->options;
	bool post = !record_(run, sequence)->repeatable;
	struct evhttp_request *req = evhttp_request_new(on_answer_, slot);

	if (!slot->conn)
		open_(slot);
	slot->sequence = sequence;
	slot->arrival = arrival;
	slot->error = NULL;
	g_snprintf(slot->key, sizeof(slot->key), "%s-%" PRIu64, run->stats->run,
		   sequence);
	evhttp_request_set_error_cb(req, on_error_);
	evhttp_request_set_chunked_cb(req, on_part_);
	add_headers_(slot, req);
	if (post)
		add_body_(slot, req);
	else
		body_check_init(&slot->body, slot->key, 0,
				pattern_hash(0, "", 0),
				options->response_bytes);
	run->busy++;
	run->stats->sent++;
	mmx_timer_set(&slot->deadline,
		      (options->timeout_ms + GRACE_MS) * MMX_US_PER_MS);
	if (evhttp_make_request(slot->conn, req,
				post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
				options->path))
		fail_(slot, "cannot connect");
}

/* Sends a request or lets it wait for a connection to its node. */
static void arrive_(run_t *run, uint64_t sequence, size_t node_index,
		    mmx_time_t time)
{
	node_t *node = &run->nodes[node_index % run->options->node_count];
	slot_t *slot = TAILQ_FIRST(&node->idle);
	arrival_t *waiting;

	if (slot) {
		TAILQ_REMOVE(&node->idle, slot, entry);
		send_(slot, sequence, time);
		return;
	}
	if (run->waiting >= WAITING_MAX) {
		load_stats_count(run->stats, LOAD_ERRORS,
				 "not sent: too many requests wait");
		return;
	}
	waiting = g_new(arrival_t, 1);
	*waiting = (arrival_t){sequence, time};
	g_queue_push_tail(&node->waiting, waiting);
	run->waiting++;
	if (run->waiting > run->stats->max_waiting)
		run->stats->max_waiting = run->waiting;
}

static void arrive_new_(run_t *run, mmx_time_t time)
{
	uint64_t sequence = new_request_(run);

	arrive_(run, sequence, sequence, time);
	if (record_(run, sequence)->repeat != LOAD_REPEAT_AT_ONCE)
		return;
	run->stats->repeated++;
	arrive_(run, sequence, sequence + 1, time);
}

static void on_next_(void *arg)
{
	run_t *run = arg;
	mmx_time_t now = mmx_clock_now(run->clock);

	while (run->next_time <= now && run->next_time < run->end) {
		arrive_new_(run, run->next_time);
		run->next_time +=
			(mmx_time_t)(-log(1 - mmx_random_unit(&run->random)) /
				     run->options->rate * (double)MMX_US_PER_S);
	}
	if (run->next_time < run->end) {
		mmx_timer_set(&run->next, run->next_time - now);
		return;
	}
	run->ended = true;
	check_end_(run);
}

static void start_(run_t *run)
{
	unsigned int i;

	for (i = 0; i < run->options->connections; i++) {
		slot_t *slot = &run->slots[i];

		slot->run = run;
		slot->node = i % run->options->node_count;
		mmx_timer_init(&slot->deadline, run->clock, on_deadline_, slot);
		mmx_timer_init(&slot->reopen, run->clock, on_reopen_, slot);
		if (run->options->saturate)
			release_(slot);
		else
			TAILQ_INSERT_TAIL(&run->nodes[slot->node].idle, slot,
					  entry);
	}
	mmx_timer_init(&run->next, run->clock, on_next_, run);
	if (run->options->saturate)
		run->ended = true;
	else
		on_next_(run);
}

static void free_(run_t *run)
{
	unsigned int i;

	for (i = 0; i < run->options->connections; i++) {
		mmx_timer_cancel(&run->slots[i].reopen);
		if (run->slots[i].conn)
			evhttp_connection_free(run->slots[i].conn);
	}
	g_free(run->slots);
	g_free(run->nodes);
}

void load_run(struct event_base *base, mmx_clock_t *clock,
	      const load_options_t *options, load_stats_t *stats,
	      GArray *records)
{
	mmx_time_t started = mmx_clock_now(clock);
	run_t run = {.base = base,
		     .clock = clock,
		     .options = options,
		     .stats = stats,
		     .records = records,
		     .next_time = started,
		     .end = started + (mmx_time_t)(options->duration_s *
						   (double)MMX_US_PER_S)};
	size_t i;

	mmx_random_seed(&run.random, options->seed);
	run.slots = g_new0(slot_t, options->connections);
	run.nodes = g_new0(node_t, options->node_count);
	for (i = 0; i < options->node_count; i++) {
		TAILQ_INIT(&run.nodes[i].idle);
		g_queue_init(&run.nodes[i].waiting);
	}
	start_(&run);
	event_base_dispatch(base);
	stats->elapsed = mmx_clock_now(clock) - started;
	free_(&run);
}
