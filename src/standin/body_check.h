/**
 * Checks that a response body belongs to its request and is whole, while it
 * arrives and with fixed memory.
 *
 * Life: init, add parts in order, finish. The structure may be used again.
 */
#ifndef STANDIN_BODY_CHECK_H
#define STANDIN_BODY_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BODY_CHECK_JSON_MAX 1024

typedef enum body_verdict_t {
	BODY_GOOD,
	BODY_OTHER_REQUEST,
	BODY_NOT_WHOLE,
	BODY_CORRUPT,
	BODY_VERDICT_COUNT
} body_verdict_t;

extern const char *const body_verdict_string[BODY_VERDICT_COUNT];

typedef struct body_check_t {
	const char *key;
	uint64_t request_bytes;	 /**< that the target must have received */
	uint64_t checksum;	 /**< of the request body */
	uint64_t response_bytes; /**< 0: JSON body */
	uint64_t received;
	bool other;
	bool corrupt;
	char json[BODY_CHECK_JSON_MAX];
} body_check_t;

/** Prepares a check; the key stays valid until the finish. */
void body_check_init(body_check_t *check, const char *key,
		     uint64_t request_bytes, uint64_t checksum,
		     uint64_t response_bytes);
void body_check_add(body_check_t *check, const void *data, size_t length);
body_verdict_t body_check_finish(const body_check_t *check);

#endif
