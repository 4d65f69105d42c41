/*
 * Dialect: the headers by which callers and targets of a deployment speak of
 * deadlines, identities and refusals. A name that is NULL is not in use.
 */
#ifndef MASTICMUX_PRIVATE_DIALECT_H
#define MASTICMUX_PRIVATE_DIALECT_H

#include "private/head.h"

typedef struct mmx_header_names_t {
	/* Milliseconds that the sender still waits, on each hop. */
	const char *timeout;
	/* Identity of the caller's request, repeated in the response. */
	const char *request_id;
	/* Service on whose instance a request began, set by the entry. */
	const char *caller_service;
	/* Name of the target that is meant: another one answers 421. */
	const char *target;
	/* In the response to a health check: name of the target. */
	const char *reported_target;
	/* Set by a target on each response of its own. */
	const char *signature;
	/* In a response: the target has not run the request. */
	const char *not_run;
	/* Callers read fractions of a second in Retry-After. */
	bool fractional_retry_after;
	/* In a response: running, waiting and slots, separated by commas. */
	const char *load;
} mmx_header_names_t;

/* What this project's own callers and targets speak. */
extern const mmx_header_names_t mmx_header_names_default;

/* What the head of a target's response says. */
typedef enum mmx_reply_kind_t {
	MMX_REPLY_VALID,	/* the response to this request */
	MMX_REPLY_NOT_RUN,	/* the target turned the request away */
	MMX_REPLY_WRONG_TARGET, /* another target has the address */
	MMX_REPLY_MISMATCHED,	/* not the target's response to this request */
	MMX_REPLY_KIND_COUNT
} mmx_reply_kind_t;

extern const char *const mmx_reply_kind_string[MMX_REPLY_KIND_COUNT];

/*
 * Judges a response. request_id: of the request, or NULL when it has none.
 * A success without signature, with another identity or with an encoding that
 * was not asked for is foreign.
 */
mmx_reply_kind_t mmx_reply_classify(const mmx_header_names_t *dialect,
				    const mmx_head_t *response,
				    const char *request_id);

/* Load that a response tells; false when it tells none. */
bool mmx_reply_parse_load(const mmx_header_names_t *dialect,
			  const mmx_head_t *response, unsigned int *running,
			  unsigned int *waiting, unsigned int *slots);

#endif
