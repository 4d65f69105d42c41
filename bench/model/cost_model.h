/*
 * Virtual-time model for bench_cost: one service whose requests cost different
 * amounts of work at targets of different speed. Every policy gets the same
 * arrivals and work for a seed.
 */
#ifndef MASTICMUX_BENCH_COST_MODEL_H
#define MASTICMUX_BENCH_COST_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* The arrivals of this time are not counted, seconds. */
#define COST_WARM_UP_S 20

typedef enum cost_policy_t {
	COST_POLICY_REQUESTS,
	COST_POLICY_LEAST_REQUESTS,
	COST_POLICY_TWO_BY_WORK,
	COST_POLICY_LEAST_WORK,
	COST_POLICY_KNOWN,
	COST_POLICY_COUNT
} cost_policy_t;

typedef enum cost_scenario_t {
	COST_SCENARIO_USUAL,
	COST_SCENARIO_EVEN,
	COST_SCENARIO_EQUAL,
	COST_SCENARIO_RESTART,
	COST_SCENARIO_LOST,
	COST_SCENARIO_SPEED,
	COST_SCENARIO_WAVE,
	COST_SCENARIO_ROUTE,
	COST_SCENARIO_WRONG_ENTRY,
	COST_SCENARIO_WRONG_EXIT,
	COST_SCENARIO_COUNT
} cost_scenario_t;

extern const char *const cost_policy_string[COST_POLICY_COUNT];
extern const char *const cost_scenario_string[COST_SCENARIO_COUNT];

typedef struct cost_result_t {
	double mean; /* seconds */
	double p99;
	double within; /* share within the objective, percent */
} cost_result_t;

typedef struct cost_options_t {
	cost_policy_t policy;
	cost_scenario_t scenario;
	double load;	 /* offered work as a share of the capacity */
	int64_t seconds; /* of arrivals, above COST_WARM_UP_S */
	uint64_t seed;
	bool queue_in_region; /* as routes with an objective */
} cost_options_t;

void cost_model_run(const cost_options_t *options, cost_result_t *result);

#endif
