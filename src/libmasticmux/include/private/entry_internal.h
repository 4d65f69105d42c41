/* State of the entry, shared by its source files. */
#ifndef MASTICMUX_PRIVATE_ENTRY_INTERNAL_H
#define MASTICMUX_PRIVATE_ENTRY_INTERNAL_H

#include <glib.h>

#include "private/entry.h"

struct mmx_entry_t {
	mmx_task_t task;
	mmx_runtime_t *runtime;
	mmx_clock_t *clock;
	mmx_node_id_t node;
	mmx_incarnation_t incarnation;
	mmx_random_t random;
	bool running;		 /* mmx_entry_init() was called */
	bool draining;		 /* new requests are refused */
	mmx_time_t deadline_cap; /* limit of all deadlines */
	bool refuses_capped;	 /* new requests that it would shorten */
	mmx_task_t *http;
	mmx_task_t *peer;
	mmx_task_t *local_exit;
	mmx_task_t *claims; /* NULL: keys are not claimed */
	const mmx_config_state_t *const *config_state;
	const mmx_directory_t *directory;
	mmx_counters_t *counters;
	struct mmx_trace_t *trace;
	mmx_history_t *history;
	mmx_log_t *log;
	const mmx_guards_t *guards;
	const mmx_view_members_ops_t *members;
	void *members_context;
	mmx_view_t *view;
	mmx_pipeline_t pipeline;
	mmx_filter_t *attempt_filter;
	mmx_filter_t *quota_filter;   /* NULL: rates do not limit */
	mmx_filter_t *startup_filter; /* NULL: requests are not held */
	mmx_time_t startup_hold;      /* longest hold after init, us; 0: none */
	const mmx_header_names_t *header_names;
	const char *caller_service;
	const bool *by_work; /* see mmx_entry_set_by_work() */
	bool budget_at_exits;
	const struct mmx_entry_quota_ops_t *quota_ops; /* NULL: none */
	void *quota_context;
	mmx_repeat_percent_fn_t repeat_percent;
	void *repeat_context;
	uint64_t last_sequence;	 /* of the latest attempt */
	GHashTable *by_request;	 /* mmx_exchange_t by its request */
	GHashTable *by_sequence; /* mmx_exchange_t by its attempts' sequence */
	mmx_histogram_t *latency[MMX_OUTCOME_COUNT];
	mmx_counter_t *outcome[MMX_OUTCOME_COUNT];
	mmx_counter_t *reason[MMX_REASON_COUNT];
};

#endif
