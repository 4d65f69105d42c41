/**
 * Names of the HTTP headers that carry deadlines, identities and refusals
 * between the callers, nodes and targets of a deployment, and the evaluation of
 * these headers in the responses of targets.
 */
#ifndef MASTICMUX_PRIVATE_HEADER_NAMES_H
#define MASTICMUX_PRIVATE_HEADER_NAMES_H

#include "private/head.h"

/** Header names; NULL for a header that is not in use. */
typedef struct mmx_header_names_t {
	/** Milliseconds that the sender still waits; set on each hop. */
	const char *timeout;
	/** Identifier of the caller's request, repeated in the response. */
	const char *request_id;
	/** Service of the instance where a request began; set by the entry. */
	const char *caller_service;
	/** Name of the client account; set by the entry, never by callers. */
	const char *account;
	/** Name of the intended target; any other target responds with 421. */
	const char *target;
	/** In the response to a health check: name of the target. */
	const char *reported_target;
	/** Set by a target on each response that it generates itself. */
	const char *signature;
	/** In a response: the target has not run the request. */
	const char *not_run;
	/** Callers accept fractions of a second in Retry-After. */
	bool fractional_retry_after;
	/** In a response: "RUNNING,WAITING,SLOTS" of the target. */
	const char *load;
	/** In a response: requests a second that the target takes from all
	 *  nodes together, a decimal number, for as long as it says so. */
	const char *limit;
	/** In a response, with the value 1: the target leaves. */
	const char *leaving;
} mmx_header_names_t;

/** Headers of a node without a platform adapter. */
extern const mmx_header_names_t mmx_header_names_default;

/** Whose request a response names. */
typedef enum mmx_reply_id_t {
	MMX_REPLY_ID_OWN,   /**< the request itself, or no ids are in use */
	MMX_REPLY_ID_NONE,  /**< no request */
	MMX_REPLY_ID_OTHER, /**< another request, or more than one */
	MMX_REPLY_ID_COUNT
} mmx_reply_id_t;

extern const char *const mmx_reply_id_string[MMX_REPLY_ID_COUNT];

/**
 * Compares the id in a response with the id of the request. Without a name for
 * the header, no ids are in use.
 *
 * @param request_id  of the request; NULL if it has none
 */
mmx_reply_id_t mmx_reply_identify(const mmx_header_names_t *names,
				  const mmx_head_t *response,
				  const char *request_id);

/** Result of checking the head of a target's response. */
typedef enum mmx_reply_kind_t {
	MMX_REPLY_VALID,	/**< the response to this request */
	MMX_REPLY_NOT_RUN,	/**< the target has not run the request */
	MMX_REPLY_WRONG_TARGET, /**< another target has the address now */
	MMX_REPLY_MISMATCHED,	/**< not the target's response to the request */
	/** its status says to callers that the request has not run, but the
	 *  target does not */
	MMX_REPLY_UNPROVEN,
	MMX_REPLY_KIND_COUNT
} mmx_reply_kind_t;

extern const char *const mmx_reply_kind_string[MMX_REPLY_KIND_COUNT];

/**
 * Checks whether a response is the target's response to a request. It is
 * mismatched if it names another request, whatever its status and headers; if
 * it names none, unless it says that the request has not run; or if it is a
 * success without a signature or with a Content-Encoding. Requests are assumed
 * to ask for no encoding. Where targets report that a request has not run, its
 * status alone (408, 421, 429, 503) does not prove that, signed or not.
 *
 * @param request_id  of the request; NULL if it has none
 */
mmx_reply_kind_t mmx_reply_classify(const mmx_header_names_t *names,
				    const mmx_head_t *response,
				    const char *request_id);

/**
 * Returns true for a response that says that the request has not run. Without
 * an id it proves that only on a connection that had no request before: a
 * target may send one of its earlier rejections again, late, on any connection.
 */
bool mmx_reply_is_rejection(mmx_reply_kind_t kind);

/**
 * Returns true if a connection may carry another request after a response. A
 * target may send a response a second time, when the next one is due. The copy
 * is recognised by its id only if that is the id of a request that does not use
 * the connection again: neither after a response without an id, nor after one
 * that says that the request has not run, because that request is sent again.
 *
 * @param kind  of mmx_reply_classify()
 * @param id    of mmx_reply_identify()
 */
bool mmx_reply_allows_reuse(mmx_reply_kind_t kind, mmx_reply_id_t id);

/**
 * Reads the load header of a response.
 *
 * @param running  requests that the target runs
 * @param waiting  requests that wait at the target
 * @param slots    requests that the target can run at the same time
 * @return false if the header is absent, malformed or not in use; the values
 *         may then be set in part
 */
bool mmx_reply_parse_load(const mmx_header_names_t *names,
			  const mmx_head_t *response, unsigned int *running,
			  unsigned int *waiting, unsigned int *slots);

/**
 * Reads the limit header of a response.
 *
 * @param rate  requests a second, 0 or more
 * @return false if the header is absent, malformed or not in use
 */
bool mmx_reply_parse_limit(const mmx_header_names_t *names,
			   const mmx_head_t *response, double *rate);

/** True if the target says in a response that it leaves. */
bool mmx_reply_says_leaving(const mmx_header_names_t *names,
			    const mmx_head_t *response);

#endif
