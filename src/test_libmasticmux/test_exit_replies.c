/* Tests of what the exit makes of the responses of targets. */
#include "suites.h"

#include <glib.h>

#include "exit_script.h"

/*
 * Failures: a target that now has another address gets no requests, because its
 * earlier address belongs to another target, which rejected a call; a target
 * whose own address belongs to another one gets requests.
 */
static void test_misdirected_(void)
{
	static const script_case_t cases[] = {
		{"at its address",
		 "warm; execute; head status=421 end; execute n=2",
		 "call1 evidence refused1:draining refused2:draining "},
		{"at its earlier address",
		 "warm; execute; warm port=81; head status=421 end; "
		 "execute n=2",
		 "call1 refused1:draining call2 "},
	};

	exit_script_run(cases, G_N_ELEMENTS(cases), &exit_script_all_names);
}

/*
 * Failure: a caller gets a status that promises "not run, and never will be",
 * from a target that does not say so and has run the request, which may run
 * only once.
 */
static void test_unproven_rejections_(void)
{
	static const script_case_t cases[] = {
		{"503", "warm; execute; head status=503 end; count",
		 "call1 refused1:target-failed:started in-progress:0 "},
		{"503 with a body that follows",
		 "warm; execute; head status=503; body end; count",
		 "call1 call-cancel1 refused1:target-failed:started "
		 "in-progress:0 "},
		{"signed", "warm; execute; head status=503 signed end",
		 "call1 refused1:target-failed:started "},
		{"429", "warm; execute; head status=429 end",
		 "call1 refused1:target-failed:started "},
		{"408", "warm; execute; head status=408 end",
		 "call1 refused1:target-failed:started "},
		{"421", "warm; execute; head status=421 end",
		 "call1 refused1:target-failed:started "},
		{"its response is not stored",
		 "warm; execute; lost; head status=503 end; fence",
		 "call1 fence1:finished "},
		{"502 promises nothing", "warm; execute; head status=502 end",
		 "call1 response1:502:end "},
		{"may be repeated", "warm; execute get; head status=503 end",
		 "call1 response1:503:end "},
		{"with proof", "warm; execute; head status=503 rejected end",
		 "call1 refused1:overloaded "},
	};

	exit_script_run(cases, G_N_ELEMENTS(cases), &exit_script_names);
}

/*
 * Failure: an earlier rejection without an id comes late, on a connection in use
 * again, for a request that runs, which is then sent again or said not to run.
 */
static void test_rejections_without_id_(void)
{
	static const script_case_t cases[] = {
		{"on a new connection",
		 "warm; execute; head status=503 rejected end",
		 "call1 refused1:overloaded "},
		{"on a connection in use again",
		 "warm; execute; head status=503 rejected kept end",
		 "call1 refused1:target-failed:started "},
		{"with the id, on a connection in use again",
		 "warm; execute; head status=503 rejected id kept end",
		 "call1 refused1:overloaded "},
		{"421 on a new connection",
		 "warm; execute; head status=421 end",
		 "call1 evidence refused1:draining "},
		{"421 on a connection in use again",
		 "warm; execute; head status=421 kept end; execute n=2",
		 "call1 refused1:target-failed:started call2 "},
		{"may be repeated",
		 "warm; execute get; head status=503 rejected kept end",
		 "call1 refused1:overloaded "},
		{"421, may be repeated",
		 "warm; execute get; head status=421 kept end; execute n=2",
		 "call1 refused1:overloaded call2 "},
	};

	exit_script_run(cases, G_N_ELEMENTS(cases), &exit_script_all_names);
}

/*
 * Failures: a target gets more requests than the limit that it names; one that
 * has a limit no more, or has started again, goes on getting few; a limit is
 * taken from an answer to another request, or of another target.
 */
static void test_named_limit_(void)
{
	static const script_case_t cases[] = {
		{"refused at once",
		 "warm slots=9; execute; head id limit end; execute n=2; "
		 "wait ms=251; execute n=3; execute n=4",
		 "call1 response1:200:end refused2:busy call3 refused4:busy "},
		{"queued until it may start",
		 "warm slots=9; execute; head id limit end; "
		 "execute n=2 max-wait=300; wait ms=200; wait ms=51",
		 "call1 response1:200:end call2 "},
		{"already queued, and too late by the limit",
		 "warm; execute; execute n=2 max-wait=900; head id limit-0 end",
		 "call1 response1:200:end refused2:time-short "},
		{"named by a rejection",
		 "warm slots=9; execute; head status=503 rejected id limit end; "
		 "execute n=2",
		 "call1 refused1:overloaded refused2:busy "},
		{"named no more",
		 "warm slots=9; execute; head id limit end; wait ms=251; "
		 "execute n=2; head n=2 id end; execute n=3",
		 "call1 response1:200:end call2 response2:200:end call3 "},
		{"a limit that cannot be read does not end it",
		 "warm slots=9; execute; head id limit end; wait ms=251; "
		 "execute n=2; head n=2 id bad-limit end; execute n=3",
		 "call1 response1:200:end call2 response2:200:end "
		 "refused3:busy "},
		{"a failure does not end it",
		 "warm slots=9; execute; head id limit end; wait ms=251; "
		 "execute n=2; head n=2 status=500 id end; execute n=3",
		 "call1 response1:200:end call2 response2:500:end "
		 "refused3:busy "},
		{"the target has started again",
		 "warm slots=9 start=1 seq=1; execute; head id limit end; "
		 "warm slots=9 start=2 seq=1; execute n=2",
		 "call1 response1:200:end call2 "},
		{"named by the process before",
		 "warm slots=9 start=1 seq=1; execute; "
		 "warm slots=9 start=2 seq=1; head id limit end; execute n=2",
		 "call1 response1:200:end call2 "},
		{"in an answer without an id",
		 "warm slots=9; execute get; head limit kept end; execute n=2",
		 "call1 refused1:target-failed:started call2 "},
		{"of another target",
		 "warm slots=9; execute get; head status=421 limit kept end; "
		 "execute n=2",
		 "call1 refused1:overloaded call2 "},
	};

	exit_script_run(cases, G_N_ELEMENTS(cases), &exit_script_all_names);
}

/*
 * Failures: a target that says that it leaves, while its announcements do not,
 * gets requests; one that has started again gets none; the statement is taken
 * from the answer of another target or process.
 */
static void test_says_leaving_(void)
{
	static const script_case_t cases[] = {
		{"in an answer",
		 "warm start=1 seq=1; execute; head id leaving end; execute n=2",
		 "call1 evidence response1:200:end refused2:draining "},
		{"announced as warm again",
		 "warm start=1 seq=1; execute; head id leaving end; "
		 "warm start=1 seq=2; execute n=2",
		 "call1 evidence response1:200:end refused2:draining "},
		{"in a rejection",
		 "warm start=1 seq=1; execute; "
		 "head status=503 rejected id leaving end; execute n=2",
		 "call1 evidence refused1:overloaded refused2:draining "},
		{"the target has started again",
		 "warm start=1 seq=1; execute; head id leaving end; "
		 "warm start=2 seq=1; execute n=2",
		 "call1 evidence response1:200:end evidence call2 "},
		{"said by the process before",
		 "warm start=1 seq=1; execute; warm start=2 seq=1; "
		 "head id leaving end; execute n=2",
		 "call1 response1:200:end call2 "},
		{"said by another target",
		 "warm; execute get; head status=421 leaving kept end; "
		 "execute n=2",
		 "call1 refused1:overloaded call2 "},
	};

	exit_script_run(cases, G_N_ELEMENTS(cases), &exit_script_all_names);
}

/*
 * Failures: an exit learns and reports run times that no entry asks for, or takes
 * a target that fails at once for a fast one.
 */
static void test_reported_run_times_(void)
{
	static const script_case_t cases[] = {
		{"targets chosen by requests",
		 "warm; execute; wait ms=80; head end",
		 "call1 response1:200:end "},
		{"targets chosen by work",
		 "by-work; warm; execute; wait ms=80; head end",
		 "call1 response1:200:end:run=80 "},
		{"a failure is no run time",
		 "by-work; warm; execute; head status=500 end; execute n=2; "
		 "wait ms=80; head n=2 end",
		 "call1 response1:500:end call2 response2:200:end:run=80 "},
	};

	exit_script_run(cases, G_N_ELEMENTS(cases), &exit_script_names);
}

CU_TestInfo mmx_tests_exit_replies[] = {
	{"run times that are reported", test_reported_run_times_},
	{"requests that reach another target", test_misdirected_},
	{"rejections without proof", test_unproven_rejections_},
	{"late rejections without an id", test_rejections_without_id_},
	{"limits that targets name", test_named_limit_},
	{"targets that say that they leave", test_says_leaving_},
	CU_TEST_INFO_NULL,
};
