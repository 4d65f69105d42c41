/* Tests of the exit with scripts of messages. */
#include "suites.h"

#include "exit_script.h"

static void run_cases_(const script_case_t *cases, size_t count)
{
	exit_script_run(cases, count, &exit_script_names);
}

/*
 * Failures: after a power failure, a service refuses all requests although its
 * targets run, under new names that only their own nodes know yet; an attempt
 * for the old name reaches a target of another service.
 */
static void test_renamed_target_(void)
{
	static const script_case_t cases[] = {
		{"known from the start", "warm renamed; execute; head end",
		 "call1 response1:200:end "},
		{"while the node runs",
		 "warm; gone; warm renamed; execute; head end",
		 "call1 response1:200:end "},
		{"both are up", "warm; warm renamed slots=4; execute",
		 "call1 "},
		{"of another service", "warm renamed other; execute",
		 "refused1:draining "},
		{"withdrawn as well", "warm renamed; gone renamed; execute",
		 "refused1:draining "},
		{"meant for an earlier process", "warm renamed; execute inc=4",
		 "refused1:wrong-incarnation "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: an attempt starts twice, or starts after its entry was told that it
 * never will, because messages are duplicated, late or meant for an earlier
 * process.
 */
static void test_at_most_once_(void)
{
	static const script_case_t cases[] = {
		{"runs", "warm; execute; head; body end; count",
		 "call1 response1:200 body1:4:end in-progress:0 "},
		{"duplicates", "warm; execute; execute; head end; execute",
		 "call1 response1:200:end "},
		{"meant for an earlier process", "warm; execute inc=4",
		 "refused1:wrong-incarnation "},
		{"fenced before it arrives", "warm; fence; execute",
		 "fence1:fenced refused1:fenced "},
		{"fenced in the queue",
		 "warm; execute; execute n=2; fence n=2; head end; execute n=2",
		 "call1 fence2:fenced response1:200:end refused2:fenced "},
		{"refused, then a duplicate", "execute; warm; execute",
		 "refused1:draining refused1:fenced "},
		{"fence to an earlier process", "warm; fence inc=4",
		 "fence1:forgotten "},
		{"not sent", "warm; execute; not-sent; fence; execute; count",
		 "call1 refused1:target-failed fence1:fenced refused1:fenced "
		 "in-progress:0 "},
		{"record expired",
		 "warm; execute n=9; head n=9 end; wait ms=40000; execute n=8; "
		 "fence n=9",
		 "call9 response9:200:end refused8:forgotten:started "
		 "fence9:forgotten "},
		{"expires in the queue",
		 "warm; execute; execute n=2 ms=50; wait ms=100; head end",
		 "call1 refused2:deadline-exceeded response1:200:end "},
		{"cancelled in the queue",
		 "warm; execute; execute n=2; cancel n=2; head end; "
		 "execute n=2",
		 "call1 response1:200:end refused2:fenced "},
		{"of another service", "warm other; execute",
		 "refused1:draining "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: a response is lost with its connection although the exit has stored
 * it; a slot is never freed.
 */
static void test_fence_(void)
{
	static const script_case_t cases[] = {
		{"running, no head yet",
		 "warm; execute; lost; fence; head; body end",
		 "call1 fence1:running response1:200 body1:4:end "},
		{"running, head sent on the old connection",
		 "warm; execute; head; fence; body end",
		 "call1 response1:200 fence1:running fence1:finished:7 "},
		{"running, head arrived without a connection",
		 "warm; execute; lost; head; fence; body end",
		 "call1 fence1:running fence1:finished:7 "},
		{"finished", "warm; execute; lost; head end; fence; fence",
		 "call1 fence1:finished:3 fence1:finished:3 "},
		{"response truncated",
		 "warm; execute; head; lost; body failed; fence",
		 "call1 response1:200 fence1:finished "},
		{"failed after its head without a connection",
		 "warm; execute; head; lost; fail; fence",
		 "call1 response1:200 fence1:finished "},
		{"failed without a connection",
		 "warm; execute; lost; fail; fence; count",
		 "call1 fence1:finished in-progress:0 "},
		{"connection of the fencing query lost as well",
		 "warm; execute; lost; fence; lost conn=2; head end; fence",
		 "call1 fence1:running fence1:finished:3 "},
		{"a failure is reported as started", "warm; execute; fail",
		 "call1 refused1:target-failed:started "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: a repeated request with the same Idempotency-Key changes the attempt
 * that holds the key, or takes the key over while that attempt may still start.
 */
static void test_fence_of_other_entry_(void)
{
	static const script_case_t cases[] = {
		{"query of a running one changes nothing",
		 "warm; execute; fence query; head; body end",
		 "call1 fence1:running response1:200 body1:4:end "},
		{"query of a queued one changes nothing",
		 "warm; execute; execute n=2; fence n=2 query; head end; "
		 "head n=2 end",
		 "call1 fence2:running response1:200:end call2 "
		 "response2:200:end "},
		{"query of one that has not arrived changes nothing",
		 "warm; fence query; execute; head end",
		 "fence1:running call1 response1:200:end "},
		{"query of a finished one",
		 "warm; execute; head end; fence query; fence query",
		 "call1 response1:200:end fence1:finished:3 "
		 "fence1:finished:3 "},
		{"query of a refused one",
		 "warm; stop; execute; fence query; execute",
		 "refused1:draining fence1:fenced refused1:fenced "},
		{"query meant for an earlier process",
		 "warm; fence inc=4 query", "fence1:forgotten "},
		{"query of one whose request was truncated",
		 "warm; execute open; cancel; fence query; fence takeover",
		 "call1 call-cancel1 fence1:forgotten fence1:forgotten "},
		{"query of one whose target failed",
		 "warm; execute; fail; fence query",
		 "call1 refused1:target-failed:started fence1:forgotten "},
		{"query of one whose response was truncated",
		 "warm; execute; head; body failed; fence query",
		 "call1 response1:200 body1:4:end:failed fence1:forgotten "},
		{"takeover of a running one waits for it",
		 "warm; execute; fence takeover; head end; fence takeover",
		 "call1 fence1:running response1:200:end fence1:finished:3 "},
		{"takeover of a queued one also notifies its entry",
		 "warm; execute; execute n=2; fence n=2 takeover; head end; "
		 "execute n=2",
		 "call1 refused2:fenced fence2:fenced response1:200:end "
		 "refused2:fenced "},
		{"takeover before it arrives", "warm; fence takeover; execute",
		 "fence1:fenced refused1:fenced "},
		{"takeover meant for an earlier process",
		 "warm; fence inc=4 takeover; fence inc=4 takeover",
		 "fence1:forgotten fence1:forgotten "},
		{"its own entry still recovers it after a query",
		 "warm; execute; lost; fence query; fence; head end",
		 "call1 fence1:running fence1:running response1:200:end "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: attempts keep slots although no caller waits for them; a running
 * attempt that is not repeatable is interrupted.
 */
static void test_abandoned_(void)
{
	static const script_case_t cases[] = {
		{"a repeatable attempt is cancelled",
		 "warm; execute get; execute n=2; cancel",
		 "call1 call-cancel1 call2 "},
		{"another attempt runs to its end",
		 "warm; execute; cancel; count; head end; count",
		 "call1 in-progress:1 in-progress:0 "},
		{"connection lost",
		 "warm slots=2; execute get; execute n=2; execute n=3 conn=9; "
		 "execute n=4; lost; count",
		 "call1 call2 call-cancel1 call3 in-progress:2 "},
		{"request body that can't be completed any more",
		 "warm; execute open; lost; count",
		 "call1 call-cancel1 in-progress:0 "},
		{"request body that is truncated in the queue",
		 "warm; execute; execute n=2 open; request-body n=2 failed; "
		 "head end",
		 "call1 refused2:bad-request response1:200:end "},
		{"request body continues",
		 "warm; execute open; request-body; request-body end",
		 "call1 body1:4 body1:4:end "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: an attempt is admitted at a target that leaves; a planned stop
 * interrupts running attempts, or ends with a renewal of the target.
 */
static void test_leaving_targets_(void)
{
	static const script_case_t cases[] = {
		{"no new attempt is admitted, the others finish",
		 "warm; execute; execute n=2; stop; execute n=3; head end; "
		 "head n=2 end; count",
		 "call1 evidence refused3:draining response1:200:end call2 "
		 "response2:200:end in-progress:0 "},
		{"the queue is refused after 2 s",
		 "warm; execute ms=20000; execute n=2 ms=20000; stop; "
		 "wait ms=2500; head end; count",
		 "call1 evidence refused2:draining response1:200:end "
		 "in-progress:0 "},
		{"a renewal does not end the stop", "warm; stop; warm; execute",
		 "refused1:draining "},
		{"an expired lease does not end the stop",
		 "warm lease=200; stop; wait ms=500; warm; execute",
		 "refused1:draining "},
		{"a new process of the target ends the stop",
		 "warm lease=200; stop; wait ms=500; cold; execute", "call1 "},
		{"a withdrawal ends the stop",
		 "warm; stop; gone; warm; execute", "call1 "},
		{"a withdrawal refuses the queue",
		 "warm; execute; execute n=2; gone; head end",
		 "call1 evidence refused2:draining response1:200:end "},
		{"an expired lease refuses the queue",
		 "warm lease=200; execute; execute n=2; wait ms=500",
		 "call1 evidence refused2:draining "},
		/* A node that restarts while its target stays. */
		{"a delayed stop admits attempts until then",
		 "warm; stop-all ms=2000; wait ms=1900; execute; head end; "
		 "wait ms=200; execute n=2",
		 "call1 response1:200:end evidence refused2:draining "},
		{"a target that leaves meanwhile gets none",
		 "warm; stop-all ms=2000; stop; execute", "refused1:draining "},
		{"a change of slots is announced",
		 "warm; versions; warm slots=3; versions; warm slots=3; "
		 "versions",
		 "versions:1:1 versions:2:3 versions:2:3 "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

CU_TestInfo mmx_tests_exit[] = {
	{"targets that restart under another name", test_renamed_target_},
	{"an attempt runs at most once", test_at_most_once_},
	{"fencing queries", test_fence_},
	{"fencing by other entries", test_fence_of_other_entry_},
	{"abandoned attempts", test_abandoned_},
	{"targets that leave", test_leaving_targets_},
	CU_TEST_INFO_NULL,
};
