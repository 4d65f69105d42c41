/*
 * State of an entry and an exit at the design size: the view of the services
 * that an entry uses, above a full directory, and the records of attempts that
 * an exit keeps.
 *
 *   build/bench/bench_entry [--json] [--seed=N]
 *
 * Bytes of heap are taken at four sizes and fitted by least squares.
 */
#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "masticmux/directory.h"
#include "masticmux/member.h"
#include "private/attempts.h"
#include "private/view.h"

#define NODES 4200
#define TARGETS 53000
#define SERVICES 2200
#define STEPS 4
#define CHOICES 200000
#define RECORDS 16000
#define ANSWER_BYTES_MAX (16 * 1024 * 1024)

static gboolean as_json_;
static gint64 seed_ = 1;

static const GOptionEntry entries_[] = {
	{"json", 0, 0, G_OPTION_ARG_NONE, &as_json_, "Print JSON", NULL},
	{"seed", 0, 0, G_OPTION_ARG_INT64, &seed_, "Seed", "N"},
	{NULL},
};

static double used_(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

static double cpu_us_(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static mmx_directory_t *fill_(mmx_clock_t *clock)
{
	mmx_directory_t *directory = mmx_directory_create(clock);
	char node[32];
	int i;

	for (i = 0; i < TARGETS; i++) {
		mmx_target_record_t record = {.incarnation = 1,
					      .version = 1,
					      .slots = 3,
					      .state = MMX_TARGET_WARM};

		g_snprintf(node, sizeof(node), "instance-%d", i % NODES);
		g_snprintf(record.name, sizeof(record.name), "target-%d", i);
		g_snprintf(record.service, sizeof(record.service), "service-%d",
			   i % SERVICES);
		record.node = mmx_node_id(node);
		record.id = mmx_directory_id(node, record.name);
		mmx_directory_update(directory, &record);
	}
	return directory;
}

/* Slope and its standard error of y = constant + slope * x. */
static json_t *fit_(const double *x, const double *y, double *slope,
		    double *error)
{
	double mx = 0;
	double my = 0;
	double sxx = 0;
	double sxy = 0;
	double rest = 0;
	int i;

	for (i = 0; i < STEPS; i++) {
		mx += x[i] / STEPS;
		my += y[i] / STEPS;
	}
	for (i = 0; i < STEPS; i++) {
		sxx += (x[i] - mx) * (x[i] - mx);
		sxy += (x[i] - mx) * (y[i] - my);
	}
	*slope = sxy / sxx;
	for (i = 0; i < STEPS; i++)
		rest += pow(y[i] - my - *slope * (x[i] - mx), 2);
	*error = sqrt(rest / (STEPS - 2) / sxx);
	return json_pack("{s:f,s:f,s:f,s:f,s:f}", "slope", *slope, "error",
			 *error, "constant", my - *slope * mx, "largest_size",
			 x[STEPS - 1], "largest", y[STEPS - 1]);
}

static void report_fit_(json_t *results, const char *name, const double *x,
			const double *y)
{
	double slope;
	double error;
	json_t *fit = fit_(x, y, &slope, &error);

	json_object_set_new(results, name, fit);
	if (!as_json_)
		printf("%-34s %10.1f +- %.1f each, %.2f MiB at %.0f\n", name,
		       slope, error, y[STEPS - 1] / 1048576, x[STEPS - 1]);
}

static void use_service_(mmx_view_t *view, int service)
{
	mmx_balance_request_t request = {.repeatable = true};
	mmx_view_choice_t choice;
	char name[32];

	g_snprintf(name, sizeof(name), "service-%d", service);
	if (!mmx_view_start_attempt(view, name, &request, &choice)) {
		fprintf(stderr, "no capacity in %s\n", name);
		exit(1);
	}
	mmx_view_path_progress(view, choice.node);
	mmx_view_completed(view, choice.target, 15000, false);
	mmx_view_finish_attempt(view, choice.target, choice.node);
}

static void measure_view_(json_t *results, mmx_view_t *view, mmx_clock_t *clock,
			  mmx_random_t *random)
{
	double x[STEPS];
	double y[STEPS];
	double before = used_();
	double start;
	int used = 0;
	int step;
	int i;

	for (step = 0; step < STEPS; step++) {
		for (; used < SERVICES * (step + 1) / STEPS; used++)
			use_service_(view, used);
		x[step] = used;
		y[step] = used_() - before;
	}
	report_fit_(results, "entry: bytes per service used", x, y);
	start = cpu_us_();
	for (i = 0; i < CHOICES; i++) {
		if (i % 2000 == 0)
			mmx_clock_advance(clock, 20 * MMX_US_PER_MS);
		use_service_(view, (int)mmx_random_below(random, SERVICES));
	}
	start = (cpu_us_() - start) / CHOICES;
	json_object_set_new(results, "entry: us per attempt", json_real(start));
	if (!as_json_)
		printf("%-34s %10.3f us\n", "entry: per attempt, view", start);
}

static void measure_directory_(json_t *results,
			       const mmx_directory_t *directory,
			       mmx_random_t *random)
{
	const mmx_directory_service_t *service;
	uint64_t sum = 0;
	char name[32];
	double start = cpu_us_();
	int i;

	for (i = 0; i < CHOICES; i++) {
		g_snprintf(name, sizeof(name), "service-%d",
			   (int)mmx_random_below(random, SERVICES));
		service = mmx_directory_service(directory, name);
		sum += mmx_directory_target_id(
			mmx_directory_service_at(service, 3));
	}
	start = (cpu_us_() - start) / CHOICES;
	json_object_set_new(results, "directory: us per lookup",
			    json_real(start));
	if (!as_json_)
		printf("%-34s %10.3f us (%u)\n",
		       "directory: lookup with its name", start,
		       (unsigned int)(sum & 1));
}

static void measure_attempts_(json_t *results, mmx_clock_t *clock)
{
	mmx_attempts_t *attempts =
		mmx_attempts_create(clock, 2 * RECORDS, ANSWER_BYTES_MAX);
	double before = used_();
	double x[STEPS];
	double y[STEPS];
	int step;
	uint64_t n = 0;

	for (step = 0; step < STEPS; step++) {
		for (; n < RECORDS * (uint64_t)(step + 1) / STEPS; n++) {
			mmx_attempt_id_t id = {1 + n % NODES, 1, n + 1};
			mmx_attempt_t *attempt =
				mmx_attempts_add(attempts, &id);

			attempt->deadline = mmx_clock_now(clock) + MMX_US_PER_S;
			mmx_attempts_end(attempts, attempt,
					 MMX_ATTEMPT_FINISHED);
		}
		x[step] = (double)n;
		y[step] = used_() - before;
	}
	report_fit_(results, "exit: bytes per ended attempt", x, y);
	mmx_attempts_destroy(attempts);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	json_t *results = json_object();
	mmx_clock_t *clock = mmx_clock_create_paused();
	const mmx_config_state_t *config_state = NULL;
	mmx_view_config_t config = {0};
	mmx_random_t random;
	GError *error = NULL;
	mmx_view_t *view;

	g_option_context_add_main_entries(context, entries_, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	mmx_random_seed(&random, (uint64_t)seed_);
	config.clock = clock;
	config.random = &random;
	config.directory = fill_(clock);
	config.config_state = &config_state;
	config.guards = &mmx_guards_all;
	view = mmx_view_create(&config);
	measure_view_(results, view, clock, &random);
	measure_directory_(results, config.directory, &random);
	measure_attempts_(results, clock);
	if (as_json_)
		json_dumpf(results, stdout, JSON_INDENT(1));
	return 0;
}
