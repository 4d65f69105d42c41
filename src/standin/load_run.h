/**
 * Sends the requests of a load and checks each answer.
 *
 * Open loop: the arrival times are drawn in advance, and a request's latency
 * counts from its arrival, so waiting for a connection is included. Closed
 * loop (saturate): each connection sends its next request after an answer.
 */
#ifndef STANDIN_LOAD_RUN_H
#define STANDIN_LOAD_RUN_H

#include "standin/load_stats.h"
#include "standin/server.h"

typedef struct load_options_t {
	standin_address_t *nodes;
	size_t node_count;
	const char *host;
	const char *path;
	const char *account; /**< or NULL */
	double rate;	     /**< requests/s, open loop */
	double duration_s;
	int post_percent;   /**< share of POST among all requests */
	int key_percent;    /**< share of Idempotency-Key among the POSTs */
	int repeat_percent; /**< share of these that are sent twice */
	int timeout_ms;
	uint64_t seed;
	uint64_t request_bytes;	 /**< body of each POST */
	uint64_t response_bytes; /**< 0: JSON answers */
	unsigned int connections;
	bool direct;
	bool saturate;
} load_options_t;

/** What the caller knows about a request afterwards; for each request. */
typedef enum load_fate_t {
	LOAD_FATE_UNKNOWN,
	LOAD_FATE_COMPLETED,
	LOAD_FATE_NOT_RUN,
	LOAD_FATE_COUNT
} load_fate_t;

extern const char *const load_fate_string[LOAD_FATE_COUNT];

/** When a request is sent a second time under its Idempotency-Key. */
typedef enum load_repeat_t {
	LOAD_REPEAT_NEVER,
	LOAD_REPEAT_AT_ONCE, /**< while the first is in progress */
	LOAD_REPEAT_AFTER,   /**< when the first has ended */
	LOAD_REPEAT_COUNT
} load_repeat_t;

extern const char *const load_repeat_string[LOAD_REPEAT_COUNT];

typedef struct load_record_t {
	uint8_t fate;	    /**< load_fate_t */
	uint8_t repeatable; /**< may run more than once */
	uint8_t keyed;	    /**< has an Idempotency-Key */
	uint8_t repeat;	    /**< load_repeat_t */
	uint8_t answered;   /**< fate is set; a second answer is merged */
} load_record_t;

/**
 * Runs the load.
 *
 * @param records  array of load_record_t by sequence number, filled
 */
void load_run(struct event_base *base, mmx_clock_t *clock,
	      const load_options_t *options, load_stats_t *stats,
	      GArray *records);

#endif
