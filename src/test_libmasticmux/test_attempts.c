#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>

#include "private/attempts.h"

typedef enum op_t {
	OP_FIND, /* only looks the attempt up */
	OP_ADD,
	OP_ADD_REPEATABLE,
	OP_FINISH,
	OP_REFUSE,
	OP_WAIT, /* lets sequence seconds pass and expires */
} op_t;

typedef struct step_t {
	op_t op;
	uint64_t incarnation;
	uint64_t sequence;
	mmx_attempt_lookup_t known; /* afterwards; not after OP_WAIT */
} step_t;

#define STEPS 8
#define RECORD_MAX 2

typedef struct known_case_t {
	const char *name;
	step_t steps[STEPS];
} known_case_t;

static void step_(mmx_attempts_t *attempts, mmx_clock_t *clock, const step_t *s)
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
	CU_ASSERT_EQUAL(mmx_attempts_find(attempts, &id, &attempt), s->known);
}

/* Guards against an attempt that runs again after its record was dropped. */
static void test_known_(void)
{
	static const known_case_t cases[] = {
		{"new, open, ended",
		 {{OP_FIND, 1, 1, MMX_ATTEMPT_NEW},
		  {OP_ADD, 1, 1, MMX_ATTEMPT_KNOWN},
		  {OP_FINISH, 1, 1, MMX_ATTEMPT_KNOWN}}},
		{"kept for 30 s, then forgotten",
		 {{OP_ADD, 1, 5, MMX_ATTEMPT_KNOWN},
		  {OP_REFUSE, 1, 5, MMX_ATTEMPT_KNOWN},
		  {OP_WAIT, 1, 29, MMX_ATTEMPT_NEW},
		  {OP_FIND, 1, 5, MMX_ATTEMPT_KNOWN},
		  {OP_WAIT, 1, 1, MMX_ATTEMPT_NEW},
		  {OP_FIND, 1, 5, MMX_ATTEMPT_FORGOTTEN},
		  {OP_FIND, 1, 4, MMX_ATTEMPT_FORGOTTEN},
		  {OP_FIND, 1, 6, MMX_ATTEMPT_NEW}}},
		{"the oldest is forgotten when there are too many",
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

		for (n = 0; n < STEPS && s[n].sequence; n++)
			step_(attempts, clock, &s[n]);
		mmx_attempts_destroy(attempts);
		mmx_clock_destroy(clock);
	}
}

typedef struct keep_case_t {
	const char *name;
	size_t before; /* bytes kept of an older, ended attempt */
	size_t part[2];
	size_t kept; /* of the newer one; 0: dropped */
	bool older_kept;
} keep_case_t;

static mmx_attempt_t *keep_(mmx_attempts_t *attempts, uint64_t sequence,
			    const size_t *parts, size_t count)
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

/* Guards against the responses of long ago displacing the newest one, which
 * is the one that a fencing query asks for, and against a part of a response
 * being kept as a whole. */
static void test_keep_(void)
{
	static const keep_case_t cases[] = {
		{"fits", 10, {20, 30}, 50, true},
		{"longer than a held body", 0, {MMX_HELD_BODY_MAX, 1}, 0, true},
		{"the older one makes room", 90000, {20000, 0}, 20000, false},
		{"in two steps", 90000, {5000, 10000}, 15000, false},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const keep_case_t *c = &cases[i];
		size_t halves[2] = {c->before / 2, c->before - c->before / 2};
		mmx_clock_t *clock = mmx_clock_create_paused();
		mmx_attempts_t *attempts =
			mmx_attempts_create(clock, 10, 100000);
		mmx_attempt_t *older[2];
		mmx_attempt_t *newer;

		older[0] = keep_(attempts, 1, &halves[0], 1);
		mmx_attempts_end(attempts, older[0], MMX_ATTEMPT_FINISHED);
		older[1] = keep_(attempts, 2, &halves[1], 1);
		mmx_attempts_end(attempts, older[1], MMX_ATTEMPT_FINISHED);
		newer = keep_(attempts, 3, c->part, 2);
		CU_ASSERT_EQUAL(newer->response_head != NULL, c->kept > 0);
		if (newer->response_body)
			CU_ASSERT_EQUAL(
				evbuffer_get_length(newer->response_body),
				c->kept);
		CU_ASSERT_EQUAL(older[0]->response_head != NULL, c->older_kept);
		CU_ASSERT_PTR_NOT_NULL(older[1]->response_head);
		mmx_attempts_destroy(attempts);
		mmx_clock_destroy(clock);
	}
}

CU_TestInfo mmx_tests_attempts[] = {
	{"what is known of an attempt", test_known_},
	{"kept responses", test_keep_},
	CU_TEST_INFO_NULL,
};
