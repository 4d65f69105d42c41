/**
 * Client of the log service: appends and reads over HTTP, never blocking.
 *
 * Each call answers through its callback exactly once, from the event loop,
 * unless the client is destroyed before. After a failure the next calls start
 * after a back-off with jitter, which doubles until a call succeeds.
 *
 * Life: create, (append, read), destroy.
 */
#ifndef MASTICMUX_LOG_CLIENT_H
#define MASTICMUX_LOG_CLIENT_H

#include "masticmux/clock.h"
#include "masticmux/counters.h"
#include "masticmux/random.h"
#include "masticmux/settings.h"

/** Longest response to a read; a longer one is MMX_LOG_TOO_LARGE. */
#define MMX_LOG_RESPONSE_MAX (4 * 1024 * 1024)
/** Back-off after the first failure, and its upper limit. */
#define MMX_LOG_BACKOFF_MIN_US (100 * MMX_US_PER_MS)
#define MMX_LOG_BACKOFF_MAX_US (2 * MMX_US_PER_S)
/** Time for an answer, beyond the wait of a long poll. */
#define MMX_LOG_TIMEOUT_US (2 * MMX_US_PER_S)

/** How a call to the log service ended. */
typedef enum mmx_log_result_t {
	MMX_LOG_OK,
	MMX_LOG_REFUSED,   /**< the service said no; nothing was appended */
	MMX_LOG_UNKNOWN,   /**< no answer: an append may have taken effect */
	MMX_LOG_MALFORMED, /**< the answer makes no sense; as UNKNOWN */
	MMX_LOG_TOO_LARGE, /**< read fewer records */
	MMX_LOG_RESULT_COUNT
} mmx_log_result_t;

extern const char *const mmx_log_result_string[MMX_LOG_RESULT_COUNT];

/** A record of a stream. */
typedef struct mmx_log_record_t {
	uint64_t offset;
	const char *data;
	size_t length;
} mmx_log_record_t;

/** Answer to a read. */
typedef struct mmx_log_records_t {
	uint64_t first;			 /**< oldest offset that is retained */
	uint64_t next;			 /**< offset of the next append */
	const mmx_log_record_t *records; /**< ascending */
	size_t count;
} mmx_log_records_t;

/** @param records  NULL unless the result is MMX_LOG_OK; valid in the call */
typedef void (*mmx_log_read_fn_t)(void *arg, mmx_log_result_t result,
				  const mmx_log_records_t *records);

/** @param offset  of the record if the result is MMX_LOG_OK */
typedef void (*mmx_log_append_fn_t)(void *arg, mmx_log_result_t result,
				    uint64_t offset);

typedef struct mmx_log_client_t mmx_log_client_t;

/**
 * Creates a client.
 *
 * @param clock     driven by the loop
 * @param counters  may be NULL
 * @param seed      for the jitter
 */
mmx_log_client_t *mmx_log_client_create(struct event_base *base,
					mmx_clock_t *clock,
					const mmx_address_t *address,
					mmx_counters_t *counters,
					uint64_t seed);

/** Destroys a client; calls in progress get no answer. NULL is allowed. */
void mmx_log_client_destroy(mmx_log_client_t *client);

/**
 * Appends a record.
 *
 * @param stream  name without characters that need escaping in a URL
 * @param data    copied
 */
void mmx_log_client_append(mmx_log_client_t *client, const char *stream,
			   const char *data, size_t length,
			   mmx_log_append_fn_t fn, void *arg);

/**
 * Reads records.
 *
 * @param from  offset of the first record wanted
 * @param max   1 or more records
 * @param wait  time that the service waits for a record, microseconds
 */
void mmx_log_client_read(mmx_log_client_t *client, const char *stream,
			 uint64_t from, unsigned int max, mmx_time_t wait,
			 mmx_log_read_fn_t fn, void *arg);

/** Time until the next call would start; 0 when not backing off. */
mmx_time_t mmx_log_client_backoff(const mmx_log_client_t *client);

/**
 * Reads the body of an answer to a read.
 *
 * @param fn  called with the records if the body is valid
 * @return MMX_LOG_OK or MMX_LOG_MALFORMED
 */
mmx_log_result_t mmx_log_client_parse_read(const char *body, size_t length,
					   mmx_log_read_fn_t fn, void *arg);

#endif
