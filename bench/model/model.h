/*
 * Virtual-time model of one customer's fleet for bench_detection: services,
 * targets with slots and a queue, entries, and the delays between zones. The
 * policies under comparison share everything but the choice of a target.
 */
#ifndef MASTICMUX_BENCH_MODEL_H
#define MASTICMUX_BENCH_MODEL_H

#include <glib.h>
#include <math.h>
#include <string.h>

#include "masticmux/balance.h"
#include "masticmux/detection.h"
#include "masticmux/ejection.h"
#include "masticmux/path.h"
#include "masticmux/retry.h"

#define SERVICES_MAX 4
#define TARGETS 12 /* of each service; one node each */
#define SLOTS 3
#define ZONES 6
#define REGIONS 3
#define ENTRIES ZONES
#define QUEUE_MAX 16
/* Time without a new request that counts as detected. */
#define QUIET_US (2 * MMX_US_PER_S)
#define FLOOR_PERCENT 60
#define FLOOR_SLOTS 6
#define RETRY_PERCENT 10
#define DEADLINE_US (5 * MMX_US_PER_S)
#define SUMMARY_PERIOD_US (2 * MMX_US_PER_S)
#define PROBE_PERIOD_US MMX_US_PER_S
#define PATH_PERIOD_US (50 * MMX_US_PER_MS)
/* Baselines: both values are common defaults of proxies. */
#define FAILURES_TO_EJECT 5
#define BASELINE_EJECTION_US (30 * MMX_US_PER_S)
#define PROBES_TO_EJECT 3

typedef enum policy_t {
	POLICY_MASTICMUX,
	POLICY_ROUND_ROBIN,
	POLICY_LEAST_CONNECTIONS,
	POLICY_COUNT
} policy_t;

typedef enum fault_t {
	FAULT_STALL,
	FAULT_SLOW,
	FAULT_ERRORS,
	FAULT_FLAP,
	FAULT_ONE_WAY,
	FAULT_SERVICE_SLOW,
	FAULT_HEAVY_STALL, /* a stall in heavy-tailed traffic */
	FAULT_HEAVY,
	FAULT_COUNT
} fault_t;

typedef enum event_type_t {
	EVENT_ARRIVAL,
	EVENT_AT_EXIT,
	EVENT_CALL_DONE,
	EVENT_AT_ENTRY,
	EVENT_DEADLINE,
	EVENT_EVALUATE,
	EVENT_SUMMARY,
	EVENT_LEVEL,
	EVENT_PROBE,
	EVENT_TOGGLE,
	EVENT_ASKED,
	EVENT_TYPE_COUNT
} event_type_t;

/* One attempt. */
typedef struct request_t {
	mmx_detection_request_t detection;
	mmx_time_t arrived;
	mmx_time_t called;
	mmx_time_t latency;
	uint32_t generation; /* changes when the memory is used again */
	uint32_t load;
	float score;
	uint8_t service;
	uint8_t entry;
	uint8_t target;
	uint8_t result;
	uint8_t level;
	bool retried;
	bool trial;
	bool good;
	bool running;
	bool refused;
	bool entry_done;
	bool exit_done;
	struct request_t *next;
} request_t;

typedef struct event_t {
	mmx_time_t time;
	uint64_t order;
	request_t *request;
	uint32_t generation;
	uint16_t type;
	uint8_t a;
	uint8_t b;
} event_t;

typedef struct target_t {
	mmx_target_id_t id;
	mmx_detection_t *detection;
	mmx_latency_sources_t sources;
	request_t *queue[QUEUE_MAX];
	request_t *held[SLOTS]; /* done, but the target is stalled */
	size_t queued;
	size_t running;
	size_t held_count;
	mmx_time_t bad_until; /* an ejection before that is justified */
	double slow;	      /* factor of the latency */
	double errors;
	uint8_t service;
	uint8_t index;
	uint8_t zone;
	uint8_t ejected_by; /* entries */
	bool stalled;
	bool pausing;
} target_t;

/* What one entry knows of one service. */
typedef struct view_t {
	struct model_t *model;
	mmx_ejection_t *ejection;
	mmx_balance_t *balance;
	mmx_latency_window_t window;
	mmx_retry_t retry;
	mmx_time_t out_until[TARGETS]; /* baselines */
	uint32_t outstanding[TARGETS];
	uint8_t failures[TARGETS];
	uint8_t next;
	uint8_t service;
	bool ejected[TARGETS];
	bool avoided[TARGETS];
	bool changed; /* a target's use, since it was last followed */
} view_t;

typedef struct model_options_t {
	policy_t policy;
	fault_t fault;
	uint8_t weight;
	uint64_t seed;
	size_t services;
	double rate; /* requests/s for each target */
} model_options_t;

typedef struct model_result_t {
	uint64_t requests;
	uint64_t failed;
	uint64_t to_faulty; /* new requests after the onset, without trials */
	uint64_t after_onset;
	uint64_t false_ejections;
	uint64_t false_avoided; /* targets without a fault that were avoided */
	uint64_t floor_violations;
	mmx_time_t quiet_from; /* start of the first 2 s without a request */
	mmx_time_t last_sent;
	mmx_time_t shed_at;
	mmx_time_t ejected_at;
} model_result_t;

typedef struct model_t {
	model_options_t options;
	mmx_clock_t *clock;
	mmx_random_t random;
	event_t *heap;
	size_t heap_count;
	size_t heap_space;
	uint64_t order;
	request_t *free;
	GPtrArray *all; /* every request ever allocated */
	target_t targets[SERVICES_MAX][TARGETS];
	view_t views[ENTRIES][SERVICES_MAX];
	mmx_path_t paths[ENTRIES][TARGETS];
	bool asking[ENTRIES][TARGETS];
	uint8_t probes_lost[ENTRIES][TARGETS];
	mmx_time_t onset; /* MMX_TIME_NEVER before the fault */
	bool lost_path;	  /* responses of node 0 to entry 0 are lost */
	model_result_t result;
} model_t;

void model_init(model_t *model, const model_options_t *options);
void model_run_until(model_t *model, mmx_time_t end);
void model_start_fault(model_t *model);
void model_finish(model_t *model);

#endif
