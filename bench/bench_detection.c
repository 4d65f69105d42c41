/*
 * Detection, ejection, balance and retry in virtual time, against two
 * baselines that are given the same requests, faults and seeds.
 */
#include <jansson.h>
#include <stdio.h>

#include "model/model.h"
#include "model/options.h"

#define WARM_UP_US (60 * MMX_US_PER_S)
#define OBSERVED_US (20 * MMX_US_PER_S)
#define HOUR_US (3600 * MMX_US_PER_S)

static gboolean as_json_;
static gint64 seed_ = 1;
static gint trials_ = 100;
static gint hours_ = 24;
static gdouble rate_ = 12;
static gchar *only_;

static const GOptionEntry entries_[] = {
	{"json", 0, 0, G_OPTION_ARG_NONE, &as_json_, "Print JSON", NULL},
	{"seed", 0, 0, G_OPTION_ARG_INT64, &seed_, "First seed", "N"},
	{"trials", 0, 0, G_OPTION_ARG_INT, &trials_,
	 "Runs of each fault, each with its own seed", "N"},
	{"hours", 0, 0, G_OPTION_ARG_INT, &hours_,
	 "Virtual hours of healthy traffic", "N"},
	{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate_,
	 "Requests per second and target", "R"},
	{"only", 0, 0, G_OPTION_ARG_STRING, &only_, "Run one scenario", "NAME"},
	{NULL},
};

static const char *const fault_string_[FAULT_COUNT] = {
	"stall",	"slow-5x",	"errors-20%",  "flapping",
	"one-way-loss", "service-slow", "heavy-stall", "heavy-tailed",
};

typedef struct contender_t {
	const char *name;
	policy_t policy;
	uint8_t weight;
} contender_t;

static const contender_t contenders_[] = {
	{"masticmux weight 0", POLICY_MASTICMUX, 0},
	{"masticmux weight 100", POLICY_MASTICMUX, 100},
	{"round robin, 5 failures", POLICY_ROUND_ROBIN, 0},
	{"least connections, probes", POLICY_LEAST_CONNECTIONS, 0},
};

typedef struct row_t {
	fault_t fault;
	const contender_t *contender;
	GArray *detected;    /* doubles, seconds */
	GArray *last;	     /* seconds */
	GArray *ejected;     /* seconds */
	double share;	     /* of new requests, to the faulty target */
	double failed;	     /* share of requests after the onset */
	double hours;	     /* of targets */
	uint64_t undetected; /* runs without detection */
	uint64_t not_ejected;
	uint64_t false_ejections;
	uint64_t false_avoided;
	uint64_t floor_violations;
} row_t;

static gint compare_(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double quantile_(const GArray *values, double share)
{
	guint at;

	if (!values->len)
		return NAN;
	at = (guint)ceil(share * values->len);
	return g_array_index(values, double, at ? at - 1 : 0);
}

static void add_(GArray *values, mmx_time_t time)
{
	double seconds = (double)time / MMX_US_PER_S;

	g_array_append_val(values, seconds);
}

static void add_detection_(row_t *row, const model_t *model, mmx_time_t end)
{
	const model_result_t *result = &model->result;
	mmx_time_t quiet = result->quiet_from;

	if (row->fault == FAULT_SERVICE_SLOW)
		quiet = result->shed_at ? result->shed_at : MMX_TIME_NEVER;
	else if (quiet == MMX_TIME_NEVER && end - result->last_sent >= QUIET_US)
		quiet = result->last_sent;
	if (quiet == MMX_TIME_NEVER) {
		row->undetected++;
		quiet = end;
	}
	add_(row->detected, quiet - model->onset);
	if (row->fault != FAULT_SERVICE_SLOW)
		add_(row->last, result->last_sent - model->onset);
	if (result->ejected_at)
		add_(row->ejected, result->ejected_at - model->onset);
	else
		row->not_ejected++;
}

static void run_fault_(row_t *row, const model_options_t *options)
{
	model_t *model = g_new(model_t, 1);
	model_result_t warm;
	mmx_time_t onset;
	mmx_time_t end;

	model_init(model, options);
	onset = WARM_UP_US +
		(mmx_time_t)mmx_random_below(&model->random, MMX_US_PER_S);
	end = onset + OBSERVED_US;
	model_run_until(model, onset);
	warm = model->result;
	model_start_fault(model);
	model_run_until(model, end);
	add_detection_(row, model, end);
	row->share += (double)model->result.to_faulty /
		      (double)model->result.after_onset / trials_;
	row->failed += (double)(model->result.failed - warm.failed) /
		       (double)(model->result.requests - warm.requests) /
		       trials_;
	row->false_ejections += model->result.false_ejections;
	row->false_avoided += model->result.false_avoided;
	row->floor_violations += model->result.floor_violations;
	row->hours += (double)end / HOUR_US * TARGETS * SERVICES_MAX;
	model_finish(model);
	g_free(model);
}

static void run_healthy_(row_t *row, const model_options_t *options)
{
	model_t *model = g_new(model_t, 1);

	model_init(model, options);
	model_run_until(model, hours_ * HOUR_US);
	row->failed =
		(double)model->result.failed / (double)model->result.requests;
	row->false_ejections = model->result.false_ejections;
	row->false_avoided = model->result.false_avoided;
	row->floor_violations = model->result.floor_violations;
	row->hours = (double)hours_ * TARGETS * SERVICES_MAX;
	model_finish(model);
	g_free(model);
}

static void run_(row_t *row, fault_t fault, const contender_t *contender)
{
	model_options_t options = {
		.policy = contender->policy,
		.fault = fault,
		.weight = contender->weight,
		.services = SERVICES_MAX,
		.rate = rate_,
	};
	int i;

	memset(row, 0, sizeof(*row));
	row->fault = fault;
	row->contender = contender;
	row->detected = g_array_new(FALSE, FALSE, sizeof(double));
	row->last = g_array_new(FALSE, FALSE, sizeof(double));
	row->ejected = g_array_new(FALSE, FALSE, sizeof(double));
	options.seed = (uint64_t)seed_;
	if (fault == FAULT_HEAVY)
		run_healthy_(row, &options);
	for (i = 0; fault != FAULT_HEAVY && i < trials_; i++) {
		options.seed = (uint64_t)seed_ + (uint64_t)i;
		run_fault_(row, &options);
	}
	g_array_sort(row->detected, compare_);
	g_array_sort(row->last, compare_);
	g_array_sort(row->ejected, compare_);
}

static void free_row_(row_t *row)
{
	g_array_free(row->detected, TRUE);
	g_array_free(row->last, TRUE);
	g_array_free(row->ejected, TRUE);
}

static void print_number_(double value)
{
	if (isnan(value))
		printf(" %7s", "-");
	else
		printf(" %7.2f", value);
}

static void print_row_(const row_t *row)
{
	printf("%-13s %-26s", fault_string_[row->fault], row->contender->name);
	print_number_(quantile_(row->detected, 0.5));
	print_number_(quantile_(row->detected, 0.99));
	print_number_(quantile_(row->detected, 1));
	printf(" %6" G_GUINT64_FORMAT, row->undetected);
	print_number_(quantile_(row->last, 1));
	print_number_(quantile_(row->ejected, 0.5));
	printf(" %6" G_GUINT64_FORMAT, row->not_ejected);
	printf(" %7.2f %7.3f %6" G_GUINT64_FORMAT
	       " %9.5f %9.5f %6" G_GUINT64_FORMAT "\n",
	       100 * row->share, 100 * row->failed, row->false_ejections,
	       (double)row->false_ejections / row->hours,
	       (double)row->false_avoided / row->hours, row->floor_violations);
	fflush(stdout);
}

static void print_head_(void)
{
	printf("seed %" G_GINT64_FORMAT ", %d runs of each fault, "
	       "%d virtual hours healthy, %.0f requests/s and target\n"
	       "times in seconds after the onset: start of the first 2 s "
	       "without a new request (p50,\np99, worst; service-slow: load "
	       "shed), runs without one, last new request (worst),\n"
	       "ejection (p50), runs without one; %% of new requests sent to "
	       "the faulty target;\n%% of requests failed; false ejections, "
	       "and per target and hour; healthy targets avoided per target and "
	       "hour; floor violations\n\n"
	       "%-13s %-26s %7s %7s %7s %6s %7s %7s %6s %7s %7s %6s %9s %9s %6s\n",
	       seed_, trials_, hours_, rate_, "fault", "policy", "p50", "p99",
	       "worst", "none", "last", "eject", "none", "share%", "fail%",
	       "false", "/target/h", "avoided/h", "floor");
}

static json_t *number_(double value)
{
	return isnan(value) ? json_null() : json_real(value);
}

static json_t *row_json_(const row_t *row)
{
	return json_pack(
		"{s:s,s:s,s:o,s:o,s:o,s:I,s:o,s:o,s:I,s:f,s:f,s:I,s:f,s:f,s:I}",
		"fault", fault_string_[row->fault], "policy",
		row->contender->name, "detected_p50_s",
		number_(quantile_(row->detected, 0.5)), "detected_p99_s",
		number_(quantile_(row->detected, 0.99)), "detected_worst_s",
		number_(quantile_(row->detected, 1)), "undetected",
		(json_int_t)row->undetected, "last_request_worst_s",
		number_(quantile_(row->last, 1)), "ejected_p50_s",
		number_(quantile_(row->ejected, 0.5)), "not_ejected",
		(json_int_t)row->not_ejected, "share_to_faulty", row->share,
		"share_failed", row->failed, "false_ejections",
		(json_int_t)row->false_ejections, "false_per_target_hour",
		(double)row->false_ejections / row->hours,
		"avoided_per_target_hour",
		(double)row->false_avoided / row->hours, "floor_violations",
		(json_int_t)row->floor_violations);
}

static bool parse_(int argc, char **argv)
{
	if (!bench_parse_options(
		    argc, argv, "- compare detection with baselines", entries_))
		return false;
	if (trials_ < 1 || hours_ < 1 || rate_ <= 0) {
		fprintf(stderr, "trials, hours and rate must be above 0\n");
		return false;
	}
	return true;
}

int main(int argc, char **argv)
{
	json_t *rows = json_array();
	fault_t fault;
	row_t row;
	size_t i;

	if (!parse_(argc, argv))
		return 2;
	if (!as_json_)
		print_head_();
	for (fault = 0; fault < FAULT_COUNT; fault++)
		for (i = 0; i < G_N_ELEMENTS(contenders_); i++) {
			if (only_ && strcmp(only_, fault_string_[fault]) != 0)
				continue;
			run_(&row, fault, &contenders_[i]);
			if (as_json_)
				json_array_append_new(rows, row_json_(&row));
			else
				print_row_(&row);
			free_row_(&row);
		}
	if (as_json_) {
		json_t *root =
			json_pack("{s:I,s:i,s:i,s:f,s:O}", "seed",
				  (json_int_t)seed_, "trials", trials_, "hours",
				  hours_, "rate", rate_, "rows", rows);

		json_dumpf(root, stdout, JSON_INDENT(1));
		printf("\n");
		json_decref(root);
	}
	json_decref(rows);
	return 0;
}
