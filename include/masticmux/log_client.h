/**
 * Client of the log service: non-blocking appends and reads over HTTP.
 *
 * Each call invokes its callback exactly once, from the event loop, unless the
 * client is destroyed first. After a failure, further calls are delayed by a
 * back-off with jitter, which doubles until a call succeeds.
 *
 * Call order: create, (append, read), destroy.
 */
#ifndef MASTICMUX_LOG_CLIENT_H
#define MASTICMUX_LOG_CLIENT_H

#include "masticmux/clock.h"
#include "masticmux/counters.h"
#include "masticmux/random.h"
#include "masticmux/settings.h"

/** Maximum response body, bytes; a longer one to a read is MMX_LOG_TOO_LARGE.
 */
#define MMX_LOG_RESPONSE_MAX (4 * 1024 * 1024)
/** Back-off after the first failure, and its maximum. */
#define MMX_LOG_BACKOFF_MIN_US (100 * MMX_US_PER_MS)
#define MMX_LOG_BACKOFF_MAX_US (2 * MMX_US_PER_S)
/** Response timeout; the wait of a long poll is added to it. */
#define MMX_LOG_TIMEOUT_US (2 * MMX_US_PER_S)

/** Result of a call to the log service. */
typedef enum mmx_log_result_t {
	MMX_LOG_OK,
	MMX_LOG_REFUSED,   /**< client error status; nothing was appended */
	MMX_LOG_UNKNOWN,   /**< no response: an append may have taken effect */
	MMX_LOG_MALFORMED, /**< invalid response; treat as UNKNOWN */
	MMX_LOG_TOO_LARGE, /**< response too long; read fewer records */
	MMX_LOG_RESULT_COUNT
} mmx_log_result_t;

extern const char *const mmx_log_result_string[MMX_LOG_RESULT_COUNT];

/** A record of a stream. */
typedef struct mmx_log_record_t {
	uint64_t offset;
	const char *data;
	size_t length;
} mmx_log_record_t;

/** Response to a read. */
typedef struct mmx_log_records_t {
	uint64_t first;			 /**< oldest retained offset */
	uint64_t next;			 /**< offset of the next append */
	const mmx_log_record_t *records; /**< by ascending offset */
	size_t count;
} mmx_log_records_t;

/**
 * @param records  NULL unless the result is MMX_LOG_OK; valid during the call
 */
typedef void (*mmx_log_read_fn_t)(void *arg, mmx_log_result_t result,
				  const mmx_log_records_t *records);

/** @param offset  of the appended record; valid if the result is MMX_LOG_OK */
typedef void (*mmx_log_append_fn_t)(void *arg, mmx_log_result_t result,
				    uint64_t offset);

typedef struct mmx_log_client_t mmx_log_client_t;

/**
 * Creates a client.
 *
 * @param clock     driven by the event loop; outlives the client
 * @param address   of the log service
 * @param counters  may be NULL
 * @param seed      for the jitter
 */
mmx_log_client_t *mmx_log_client_create(struct event_base *base,
					mmx_clock_t *clock,
					const mmx_address_t *address,
					mmx_counters_t *counters,
					uint64_t seed);

/** Destroys a client without calling pending callbacks; NULL is allowed. */
void mmx_log_client_destroy(mmx_log_client_t *client);

/**
 * Appends a record.
 *
 * @param stream  name; must not need escaping in a URL
 * @param data    copied
 */
void mmx_log_client_append(mmx_log_client_t *client, const char *stream,
			   const char *data, size_t length,
			   mmx_log_append_fn_t fn, void *arg);

/**
 * Reads records.
 *
 * @param from  first offset to read
 * @param max   maximum number of records, >= 1
 * @param wait  time that the service waits for a record, microseconds, >= 0
 */
void mmx_log_client_read(mmx_log_client_t *client, const char *stream,
			 uint64_t from, unsigned int max, mmx_time_t wait,
			 mmx_log_read_fn_t fn, void *arg);

/** Remaining back-off until the next call may start, microseconds; 0: none. */
mmx_time_t mmx_log_client_backoff(const mmx_log_client_t *client);

/**
 * Parses the response body of a read.
 *
 * @param fn  called once with the records if the body is valid
 * @return MMX_LOG_OK or MMX_LOG_MALFORMED
 */
mmx_log_result_t mmx_log_client_parse_read(const char *body, size_t length,
					   mmx_log_read_fn_t fn, void *arg);

#endif
