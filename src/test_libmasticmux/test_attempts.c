/* Tests of the records of attempts and of the responses stored with them. */
#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>

#include "private/attempts.h"

typedef enum operation_t {
	OP_FIND, /* only the lookup that follows each operation */
	OP_ADD,
	OP_ADD_REPEATABLE,
	OP_FINISH,
	OP_REFUSE,
	OP_WAIT, /* advances the clock by sequence seconds and expires */
} operation_t;

typedef struct step_t {
	operation_t op;
	uint64_t incarnation;
	uint64_t sequence;
	mmx_attempt_lookup_t expected; /* of a lookup; unused by OP_WAIT */
} step_t;

#define STEPS_MAX 8
#define RECORD_MAX 2

typedef struct lookup_case_t {
	const char *name;
	step_t steps[STEPS_MAX];
} lookup_case_t;

static void run_step_(mmx_attempts_t *attempts, mmx_clock_t *clock,
		      const step_t *s)
{
	mmx_attempt_id_t id = {.entry = 7,
			       .incarnation = s->incarnation,
			       .sequence = s->sequence};
	mmx_attempt_t *attempt = NULL;

	if (s->op == OP_WAIT) {
		mmx_clock_advance(clock,
				  (mmx_time_t)s->sequence * MMX_US_PER_S);
		mmx_attempts_expire(attempts);
		return;
	}
	mmx_attempts_find(attempts, &id, &attempt);
	if (s->op == OP_ADD || s->op == OP_ADD_REPEATABLE) {
		attempt = mmx_attempts_add(attempts, &id);
		attempt->repeatable = s->op == OP_ADD_REPEATABLE;
	} else if (s->op == OP_FINISH) {
		mmx_attempts_end(attempts, attempt, MMX_ATTEMPT_FINISHED);
	} else if (s->op == OP_REFUSE) {
		mmx_attempts_end(attempts, attempt, MMX_ATTEMPT_REFUSED);
	}
	CU_ASSERT_EQUAL(mmx_attempts_find(attempts, &id, &attempt),
			s->expected);
}

/*
 * Failure: an attempt that is not repeatable runs again, because its record was
 * removed and a late duplicate of it counts as new.
 */
static void test_lookup_(void)
{
	static const lookup_case_t cases[] = {
		{"new, active, ended",
		 {{OP_FIND, 1, 1, MMX_ATTEMPT_NEW},
		  {OP_ADD, 1, 1, MMX_ATTEMPT_KNOWN},
		  {OP_FINISH, 1, 1, MMX_ATTEMPT_KNOWN}}},
		{"removed 30 s after its end",
		 {{OP_ADD, 1, 5, MMX_ATTEMPT_KNOWN},
		  {OP_REFUSE, 1, 5, MMX_ATTEMPT_KNOWN},
		  {OP_WAIT, 1, 29, MMX_ATTEMPT_NEW},
		  {OP_FIND, 1, 5, MMX_ATTEMPT_KNOWN},
		  {OP_WAIT, 1, 1, MMX_ATTEMPT_NEW},
		  {OP_FIND, 1, 5, MMX_ATTEMPT_FORGOTTEN},
		  {OP_FIND, 1, 4, MMX_ATTEMPT_FORGOTTEN},
		  {OP_FIND, 1, 6, MMX_ATTEMPT_NEW}}},
		{"the oldest is evicted when there are too many",
		 {{OP_ADD, 1, 1, MMX_ATTEMPT_KNOWN},
		  {OP_FINISH, 1, 1, MMX_ATTEMPT_KNOWN},
		  {OP_ADD, 1, 2, MMX_ATTEMPT_KNOWN},
		  {OP_FINISH, 1, 2, MMX_ATTEMPT_KNOWN},
		  {OP_ADD, 1, 3, MMX_ATTEMPT_KNOWN},
		  {OP_FINISH, 1, 3, MMX_ATTEMPT_KNOWN},
		  {OP_FIND, 1, 1, MMX_ATTEMPT_FORGOTTEN}}},
		{"an earlier process of the entry is stale",
		 {{OP_ADD, 1, 1, MMX_ATTEMPT_KNOWN},
		  {OP_FIND, 2, 1, MMX_ATTEMPT_NEW},
		  {OP_FIND, 1, 2, MMX_ATTEMPT_STALE},
		  {OP_FIND, 1, 1, MMX_ATTEMPT_KNOWN}}},
		{"a finished repeatable attempt needs no record",
		 {{OP_ADD_REPEATABLE, 1, 1, MMX_ATTEMPT_KNOWN},
		  {OP_FINISH, 1, 1, MMX_ATTEMPT_NEW}}},
		{"the watermark of an earlier process does not count",
		 {{OP_ADD, 1, 9, MMX_ATTEMPT_KNOWN},
		  {OP_FINISH, 1, 9, MMX_ATTEMPT_KNOWN},
		  {OP_FIND, 2, 1, MMX_ATTEMPT_NEW},
		  {OP_WAIT, 2, 31, MMX_ATTEMPT_NEW},
		  {OP_FIND, 2, 1, MMX_ATTEMPT_NEW}}},
	};
	size_t i;
	size_t n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_clock_t *clock = mmx_clock_create_paused();
		mmx_attempts_t *attempts =
			mmx_attempts_create(clock, RECORD_MAX, 100);
		const step_t *s = cases[i].steps;

		for (n = 0; n < STEPS_MAX && s[n].sequence; n++)
			run_step_(attempts, clock, &s[n]);
		mmx_attempts_destroy(attempts);
		mmx_clock_destroy(clock);
	}
}

typedef struct response_case_t {
	const char *name;
	size_t before; /* bytes stored for two older, finished attempts */
	size_t part[2];
	size_t stored; /* bytes for the newer attempt; 0: dropped */
	bool oldest_stored;
} response_case_t;

static mmx_attempt_t *store_response_(mmx_attempts_t *attempts,
				      uint64_t sequence, const size_t *parts,
				      size_t count)
{
	mmx_attempt_id_t id = {
		.entry = 7, .incarnation = 1, .sequence = sequence};
	mmx_attempt_t *attempt = mmx_attempts_add(attempts, &id);
	mmx_head_t *head = mmx_head_create_response(200);
	struct evbuffer *part = evbuffer_new();
	char *bytes = g_malloc0(MMX_HELD_BODY_MAX);
	size_t i;

	mmx_attempts_store_head(attempts, attempt, head);
	mmx_head_destroy(head);
	for (i = 0; i < count; i++) {
		evbuffer_add(part, bytes, parts[i]);
		mmx_attempts_store_body(attempts, attempt, part);
		evbuffer_drain(part, parts[i]);
	}
	g_free(bytes);
	evbuffer_free(part);
	return attempt;
}

/*
 * Failures: old responses take all the memory, so that the newest one, which a
 * fencing query is most likely to need, is not stored; a part of a response is
 * stored as if it were complete.
 */
static void test_stored_responses_(void)
{
	static const response_case_t cases[] = {
		{"fits", 10, {20, 30}, 50, true},
		{"longer than MMX_HELD_BODY_MAX",
		 0,
		 {MMX_HELD_BODY_MAX, 1},
		 0,
		 true},
		{"the oldest one is dropped", 90000, {20000, 0}, 20000, false},
		{"the oldest one is dropped for a second part",
		 90000,
		 {5000, 10000},
		 15000,
		 false},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const response_case_t *c = &cases[i];
		size_t halves[2] = {c->before / 2, c->before - c->before / 2};
		mmx_clock_t *clock = mmx_clock_create_paused();
		mmx_attempts_t *attempts =
			mmx_attempts_create(clock, 10, 100000);
		mmx_attempt_t *older[2];
		mmx_attempt_t *newer;

		older[0] = store_response_(attempts, 1, &halves[0], 1);
		mmx_attempts_end(attempts, older[0], MMX_ATTEMPT_FINISHED);
		older[1] = store_response_(attempts, 2, &halves[1], 1);
		mmx_attempts_end(attempts, older[1], MMX_ATTEMPT_FINISHED);
		newer = store_response_(attempts, 3, c->part, 2);
		CU_ASSERT_EQUAL(newer->response_head != NULL, c->stored > 0);
		if (newer->response_body)
			CU_ASSERT_EQUAL(
				evbuffer_get_length(newer->response_body),
				c->stored);
		CU_ASSERT_EQUAL(older[0]->response_head != NULL,
				c->oldest_stored);
		CU_ASSERT_PTR_NOT_NULL(older[1]->response_head);
		mmx_attempts_destroy(attempts);
		mmx_clock_destroy(clock);
	}
}

CU_TestInfo mmx_tests_attempts[] = {
	{"lookup of an attempt", test_lookup_},
	{"stored responses", test_stored_responses_},
	CU_TEST_INFO_NULL,
};
