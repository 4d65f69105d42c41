/*
 * Compares choices of the target where requests cost different amounts of work:
 * the present one by number of requests, choices by expected work with the
 * balance and cost modules, and one that knows all true costs.
 */
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "model/cost_model.h"
#include "model/options.h"

static gboolean as_json_;
static json_t *rows_;
static gint seeds_ = 20;
static gint64 first_seed_ = 1;
static gint seconds_ = 100;
static gdouble load_ = 0.85;
static gchar *only_;
static gboolean in_region_;

static const GOptionEntry options_[] = {
	{"json", 0, 0, G_OPTION_ARG_NONE, &as_json_, "Print JSON", NULL},
	{"seeds", 0, 0, G_OPTION_ARG_INT, &seeds_, "Runs of each row", "N"},
	{"seed", 0, 0, G_OPTION_ARG_INT64, &first_seed_, "First seed", "N"},
	{"seconds", 0, 0, G_OPTION_ARG_INT, &seconds_, "Virtual time", "N"},
	{"load", 0, 0, G_OPTION_ARG_DOUBLE, &load_,
	 "Offered work as a share of the capacity", "SHARE"},
	{"only", 0, 0, G_OPTION_ARG_STRING, &only_, "One scenario", "NAME"},
	{"in-region", 0, 0, G_OPTION_ARG_NONE, &in_region_,
	 "First attempts may wait in the region, as on routes with an objective",
	 NULL},
	{NULL},
};
typedef struct moments_t {
	double sum;
	double squares;
} moments_t;

static void count_(moments_t *moments, double value)
{
	moments->sum += value;
	moments->squares += value * value;
}

static double mean_(const moments_t *moments)
{
	return moments->sum / seeds_;
}

static double error_(const moments_t *moments)
{
	double mean = mean_(moments);
	double variance = moments->squares / seeds_ - mean * mean;

	return seeds_ > 1 ? sqrt(MAX(variance, 0) / (seeds_ - 1)) : 0;
}

/* The last column pairs the runs of each seed with those of the present
 * choice. */
static void print_row_(cost_scenario_t scenario, cost_policy_t policy,
		       const cost_result_t *results,
		       const cost_result_t *present)
{
	moments_t mean = {0};
	moments_t p99 = {0};
	moments_t within = {0};
	moments_t gain = {0};
	int i;

	for (i = 0; i < seeds_; i++) {
		count_(&mean, results[i].mean);
		count_(&p99, results[i].p99);
		count_(&within, results[i].within);
		count_(&gain, results[i].within - present[i].within);
	}
	if (as_json_) {
		json_array_append_new(
			rows_,
			json_pack("{s:s,s:s,s:f,s:f,s:f,s:f,s:f,s:f}",
				  "scenario", cost_scenario_string[scenario],
				  "choice", cost_policy_string[policy],
				  "mean_s", mean_(&mean), "p99_s", mean_(&p99),
				  "within_percent", mean_(&within),
				  "within_error", error_(&within), "gain",
				  mean_(&gain), "gain_error", error_(&gain)));
		return;
	}
	printf("%-15s %-26s %6.3f +-%5.3f  %6.2f +-%4.2f  %5.2f +-%4.2f  "
	       "%+6.2f +-%4.2f\n",
	       cost_scenario_string[scenario], cost_policy_string[policy],
	       mean_(&mean), error_(&mean), mean_(&p99), error_(&p99),
	       mean_(&within), error_(&within), mean_(&gain), error_(&gain));
	fflush(stdout);
}

static void print_head_(void)
{
	if (as_json_)
		return;
	printf("load %.2f, %d seeds from %" G_GINT64_FORMAT ", %d s\n"
	       "%-15s %-26s %14s  %13s  %12s  %s\n",
	       load_, seeds_, first_seed_, seconds_, "scenario", "choice",
	       "mean s", "p99 s", "within %", "gain in within");
}

static bool parse_(int argc, char **argv)
{
	if (!bench_parse_options(argc, argv,
				 "- compare choices of a target by cost",
				 options_))
		return false;
	if (seeds_ < 1 || seconds_ <= COST_WARM_UP_S || load_ <= 0) {
		fprintf(stderr, "seeds and load must be above 0, seconds "
				"above 20\n");
		return false;
	}
	return true;
}

int main(int argc, char **argv)
{
	cost_result_t *results;
	cost_scenario_t scenario;
	cost_policy_t policy;
	int i;

	if (!parse_(argc, argv))
		return 1;
	results = g_new0(cost_result_t, (gsize)seeds_ * COST_POLICY_COUNT);
	rows_ = json_array();
	print_head_();
	for (scenario = 0; scenario < COST_SCENARIO_COUNT; scenario++) {
		if (only_ && strcmp(only_, cost_scenario_string[scenario]) != 0)
			continue;
		for (policy = 0; policy < COST_POLICY_COUNT; policy++) {
			for (i = 0; i < seeds_; i++)
				cost_model_run(
					&(cost_options_t){
						policy, scenario, load_,
						seconds_,
						(uint64_t)(first_seed_ + i),
						in_region_},
					&results[(int)policy * seeds_ + i]);
			print_row_(scenario, policy,
				   &results[(int)policy * seeds_], results);
		}
	}
	if (as_json_)
		json_dumpf(rows_, stdout, JSON_INDENT(1));
	json_decref(rows_);
	g_free(results);
	g_free(only_);
	return 0;
}
