/*
 * Time of one choice with the services and targets of the design size. Two
 * tables are measured in the same run, so that the ratio shows what the size
 * costs.
 */
#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "masticmux/balance.h"
#include "masticmux/clock.h"
#include "model/options.h"

#define TARGETS 24
#define SLOTS 3
#define BOUND_US 2.0

static gboolean as_json_;
static gint64 seed_ = 1;
static gint choices_ = 2000000;
static gint services_ = 2200;

static const GOptionEntry entries_[] = {
	{"json", 0, 0, G_OPTION_ARG_NONE, &as_json_, "Print JSON", NULL},
	{"seed", 0, 0, G_OPTION_ARG_INT64, &seed_, "Seed", "N"},
	{"choices", 0, 0, G_OPTION_ARG_INT, &choices_, "Choices", "N"},
	{"services", 0, 0, G_OPTION_ARG_INT, &services_, "Services", "N"},
	{NULL},
};

static mmx_balance_t *create_(mmx_random_t *random)
{
	mmx_balance_t *balance = mmx_balance_create();
	int i;

	for (i = 0; i < TARGETS; i++) {
		mmx_target_id_t id = mmx_random_next(random);
		mmx_locality_t ring = i < 2   ? MMX_LOCALITY_ZONE
				      : i < 6 ? MMX_LOCALITY_REGION
					      : MMX_LOCALITY_REMOTE;

		mmx_balance_set_target(balance, id, SLOTS, ring);
		if (mmx_random_below(random, 20) == 0)
			mmx_balance_set_use(balance, id, MMX_USE_AVOID);
		mmx_balance_report_load(
			balance, id,
			(uint32_t)mmx_random_below(random, SLOTS + 2), 0);
	}
	return balance;
}

/* Microseconds for a choice, its start and its finish. */
static double measure_(mmx_clock_t *clock, mmx_balance_t **balances,
		       size_t count, mmx_random_t *random)
{
	mmx_balance_request_t request = {.repeatable = true};
	mmx_time_t start = mmx_clock_now(clock);
	mmx_balance_choice_t choice;
	int i;

	for (i = 0; i < choices_; i++) {
		mmx_balance_t *balance =
			balances[mmx_random_below(random, count)];

		if (!mmx_balance_choose(balance, &request, random, 0, &choice))
			continue;
		mmx_balance_start(balance, choice.target);
		mmx_balance_finish(balance, choice.target);
	}
	return (double)(mmx_clock_now(clock) - start) / choices_;
}

static void print_(double one, double all)
{
	json_t *root;

	if (!as_json_) {
		printf("%d choices, seed %" G_GINT64_FORMAT "\n"
		       "1 service x %d targets: %.3f us a choice\n"
		       "%d services x %d targets: %.3f us a choice, %.1f times; "
		       "bound %.1f us: %s\n",
		       choices_, seed_, TARGETS, one, services_, TARGETS, all,
		       all / one, BOUND_US, all <= BOUND_US ? "met" : "missed");
		return;
	}
	root = json_pack("{s:I,s:i,s:i,s:f,s:f,s:f}", "seed", (json_int_t)seed_,
			 "services", services_, "targets", TARGETS,
			 "one_service_us", one, "all_services_us", all,
			 "bound_us", BOUND_US);
	json_dumpf(root, stdout, JSON_INDENT(1));
	printf("\n");
	json_decref(root);
}

static bool parse_(int argc, char **argv)
{
	if (!bench_parse_options(argc, argv, "- measure the choice of a target",
				 entries_))
		return false;
	if (choices_ < 1 || services_ < 1) {
		fprintf(stderr, "choices and services must be above 0\n");
		return false;
	}
	return true;
}

int main(int argc, char **argv)
{
	struct event_base *base;
	mmx_balance_t **balances;
	mmx_random_t random;
	mmx_clock_t *clock;
	double one;
	double all;
	int i;

	if (!parse_(argc, argv))
		return 2;
	base = event_base_new();
	clock = mmx_clock_create(base);
	mmx_random_seed(&random, (uint64_t)seed_);
	balances = g_new0(mmx_balance_t *, services_);
	for (i = 0; i < services_; i++)
		balances[i] = create_(&random);
	one = measure_(clock, balances, 1, &random);
	all = measure_(clock, balances, (size_t)services_, &random);
	print_(one, all);
	for (i = 0; i < services_; i++)
		mmx_balance_destroy(balances[i]);
	g_free(balances);
	mmx_clock_destroy(clock);
	event_base_free(base);
	return 0;
}
