/**
 * Answers of the target stand-in.
 *
 * A JSON body repeats the request's key, the target's name, the checksum and
 * the length of the request body. With X-Response-Bytes the body has that many
 * bytes instead: the key, a line feed and the pattern. Each answer repeats
 * X-Request-Key and says in X-Target-Result whether the request was executed,
 * refused before its start or cancelled after it.
 */
#ifndef STANDIN_TARGET_ANSWER_H
#define STANDIN_TARGET_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "standin/executions.h"

struct evhttp_request;

#define ANSWER_WHOLE UINT64_MAX

typedef enum answer_result_t {
	ANSWER_EXECUTED,
	ANSWER_REFUSED,
	ANSWER_CANCELLED,
	ANSWER_RESULT_COUNT
} answer_result_t;

extern const char *const answer_result_string[ANSWER_RESULT_COUNT];

typedef struct answer_t {
	struct evhttp_request *req;
	const char *target;
	char key[EXECUTIONS_KEY_MAX + 1]; /**< "" when absent or not valid */
	uint64_t checksum;		  /**< XXH64 of the request body */
	uint64_t request_bytes;
	uint64_t response_bytes; /**< 0: JSON body */
	uint64_t cut;		 /**< body bytes sent, or ANSWER_WHOLE */
	bool swapped;
	bool corrupt;
} answer_t;

/** Reads the request; its body is freed afterwards. */
void answer_init(answer_t *answer, struct evhttp_request *req,
		 const char *target);

/**
 * Sends status 200 and the body.
 *
 * @return true when the answer was cut short
 */
bool answer_send(answer_t *answer);

/**
 * Sends a status without a result, with an empty body.
 *
 * @param status  500..504
 */
void answer_refusal(answer_t *answer, int status, answer_result_t result);

#endif
