/**
 * Streams of the append-only log service: records with offsets from 1,
 * retention by age, a limit on appends per second and on the total size.
 *
 * Life: create, append and read in any order, destroy. Does no I/O.
 */
#ifndef STANDIN_LOG_STORE_H
#define STANDIN_LOG_STORE_H

#include <jansson.h>

#include "masticmux/clock.h"

#define LOG_STORE_RECORD_MAX (1024 * 1024)
#define LOG_STORE_STREAMS_MAX 4096
#define LOG_STORE_NAME_MAX 128

typedef struct log_store_t log_store_t;

typedef struct log_store_limits_t {
	mmx_time_t retention;	    /**< age at which records expire */
	uint64_t max_bytes;	    /**< of all records together */
	unsigned int appends_per_s; /**< 1 or more, all streams together */
} log_store_limits_t;

typedef enum log_append_t {
	LOG_APPEND_OK,
	LOG_APPEND_RATE,
	LOG_APPEND_FULL,
	LOG_APPEND_INVALID,
	LOG_APPEND_COUNT
} log_append_t;

extern const char *const log_append_string[LOG_APPEND_COUNT];

log_store_t *log_store_create(mmx_clock_t *clock,
			      const log_store_limits_t *limits);
void log_store_destroy(log_store_t *store);

/**
 * Appends a record.
 *
 * @param data    UTF-8 text without zero bytes
 * @param offset  set to the record's offset on success
 */
log_append_t log_store_append(log_store_t *store, const char *stream,
			      const char *data, size_t length,
			      uint64_t *offset);

/** Offset that the next append to a stream will get. */
uint64_t log_store_next(log_store_t *store, const char *stream);

/**
 * Reads records from an offset on, at most about 4 MiB of data at a time.
 *
 * @param max  most records, 1 or more
 * @return a new reference {"first", "next", "records"}
 */
json_t *log_store_read(log_store_t *store, const char *stream, uint64_t from,
		       unsigned int max);

/** Totals as a new reference: streams, records, record_bytes, expired. */
json_t *log_store_totals(log_store_t *store);

#endif
