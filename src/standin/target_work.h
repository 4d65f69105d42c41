/**
 * Requests of the target stand-in: slots, queue, latency, faults, answers.
 *
 * Life: init with the members of the first group set, request as often as
 * wanted, changed after each change of the faults, destroy.
 */
#ifndef STANDIN_TARGET_WORK_H
#define STANDIN_TARGET_WORK_H

#include <sys/queue.h>

#include "masticmux/random.h"
#include "standin/executions.h"
#include "standin/server.h"
#include "standin/target_faults.h"

typedef enum latency_distribution_t {
	LATENCY_FIXED,
	LATENCY_EXPONENTIAL,
	LATENCY_PARETO,
	LATENCY_COUNT
} latency_distribution_t;

extern const char *const latency_distribution_string[LATENCY_COUNT + 1];

typedef struct target_counts_t {
	uint64_t requests;
	uint64_t answered;
	uint64_t refused_busy;
	uint64_t refused_peer;
	uint64_t requests_draining; /**< received while draining */
	uint64_t refused_deadline;
	uint64_t cancelled_by_peer;
	uint64_t cancelled_by_deadline;
	uint64_t errors_injected;
	uint64_t answers_cut;
	uint64_t answers_withheld;
	uint64_t requests_frozen; /**< on frozen connections */
	uint64_t probes;
} target_counts_t;

typedef struct work_t work_t;
TAILQ_HEAD(work_list_t, work_t);

typedef struct target_work_t {
	standin_server_t *server;
	const char *name;
	unsigned int slots;
	unsigned int queue_max; /**< 0: a request beyond the slots gets 503 */
	double latency_ms;	/**< mean */
	latency_distribution_t distribution;
	double cold_ms; /**< time after the start with a higher latency */
	executions_t *executions;
	mmx_random_t random;
	target_faults_t faults;

	target_counts_t counts;
	mmx_time_t created;
	unsigned int running;
	unsigned int queued;
	struct work_list_t works;
	mmx_timer_t flap;
} target_work_t;

void target_work_init(target_work_t *target);

/** Handles a real request; finishes or drops it at some time. */
void target_work_request(target_work_t *target, struct evhttp_request *req);

/** Applies changed faults to the requests in progress. */
void target_work_changed(target_work_t *target);

/** Number of requests that hold a slot and make no progress. */
unsigned int target_work_stalled(const target_work_t *target);

/** True within cold_ms after the start. */
bool target_work_cold(const target_work_t *target);

/** Drops the requests in progress. */
void target_work_destroy(target_work_t *target);

#endif
