/**
 * Change: a set of templates, services and accounts that is published as a
 * unit.
 *
 * An operator's command reads a change from a TOML file and writes it as one
 * JSON record to the stream `config`. Every node reads that record. Both
 * readers accept the same objects and check every key. A record gives every
 * field explicitly, so that nodes with different defaults read the same
 * configuration from it.
 *
 * Format of a record: compact JSON with sorted keys, empty sections omitted:
 *
 *   {"account":{NAME:{"base":N,"burst":X,"ceiling_percent":N,"deadline_ms":N,
 *                     "floor_percent":N,"key_digests":[DIGEST,...],
 *                     "priority":N,"rate":X,"repeatable":[METHOD,...]}},
 *    "change":{"id":TEXT,"publisher":NAME},
 *    "service":{NAME:{"base":N,"route":[{"host":TEXT,"path_prefix":TEXT,
 *                     "public":BOOL,...overridden policy fields}],
 *                     "template":NAME}},
 *    "template":{NAME:{"base":N,...all policy fields}}}
 *
 * Where a route is not public, or an account has no deadline, methods,
 * priority, rate, burst or keys, the record has no such key. A change that uses
 * none of burst, key_digests, priority, public and rate gives a record that
 * releases without them can read.
 *
 * Usage: mmx_change_load() or mmx_change_from_json(), walk the lists,
 * mmx_change_destroy().
 */
#ifndef MASTICMUX_CHANGE_H
#define MASTICMUX_CHANGE_H

#include <sys/queue.h>

#include "masticmux/error.h"
#include "masticmux/policy.h"
#include "masticmux/types.h"

/** Longest record, bytes; a record has to fit into one part of a snapshot. */
#define MMX_CHANGE_RECORD_MAX (256 * 1024)
/** Longest id of a change, bytes without the terminating null. */
#define MMX_CHANGE_ID_MAX 63
/** Characters of a generated id: 16 random bytes in hexadecimal. */
#define MMX_CHANGE_ID_GENERATED_LENGTH 32
/** Longest host of a route, bytes (RFC 1035). */
#define MMX_HOST_MAX 253
/** Longest path prefix of a route, bytes. */
#define MMX_PATH_PREFIX_MAX 255
/** Maximum number of routes of one service. */
#define MMX_SERVICE_ROUTES_MAX 1024

/** Highest revision; fits into a JSON integer of 64 bits. */
#define MMX_REVISION_MAX INT64_MAX

/** Longest deadline of a request, microseconds: 10 minutes. */
#define MMX_DEADLINE_MAX (600 * MMX_US_PER_S)
/** Longest warm-up of a target, microseconds: 1 hour. */
#define MMX_WARM_UP_MAX (3600 * MMX_US_PER_S)

/** Defaults for keys that a template omits; the warm-up in microseconds. */
#define MMX_TEMPLATE_FLOOR_SLOTS 1
#define MMX_TEMPLATE_RETRY_PERCENT 10
#define MMX_TEMPLATE_WARM_UP (10 * MMX_US_PER_S)

/** Default for an account that omits the key, percent. */
#define MMX_ACCOUNT_CEILING_PERCENT 100

/** Maximum number of keys of one account; normally two, while one is replaced.
 */
#define MMX_ACCOUNT_KEYS_MAX 8
/** Bytes of the SHA-256 digest of a key. */
#define MMX_CHANGE_DIGEST_BYTES 32
/** Highest rate and burst of an account, requests a second and requests. */
#define MMX_ACCOUNT_RATE_MAX 1e9

/** Policy that services refer to by name. */
typedef struct mmx_change_template_t {
	STAILQ_ENTRY(mmx_change_template_t) entry;
	char name[MMX_NAME_MAX + 1];
	uint64_t base; /**< revision that it replaces; 0: new object */
	mmx_policy_t policy;
} mmx_change_template_t;

/** One route of a service. */
typedef struct mmx_change_route_t {
	STAILQ_ENTRY(mmx_change_route_t) entry;
	char *host;	   /**< in lower case, without port */
	char *path_prefix; /**< starts with '/'; default "/" */
	bool is_public;	   /**< callers need no key of an account */
	mmx_policy_override_t override;
} mmx_change_route_t;

typedef STAILQ_HEAD(mmx_change_route_list_t,
		    mmx_change_route_t) mmx_change_route_list_t;

/** A service and its routes. */
typedef struct mmx_change_service_t {
	STAILQ_ENTRY(mmx_change_service_t) entry;
	char name[MMX_NAME_MAX + 1];
	uint64_t base; /**< revision that it replaces; 0: new object */
	char template_name[MMX_NAME_MAX + 1];
	mmx_change_route_list_t routes;
	size_t route_count;
} mmx_change_service_t;

/** Parameters of a client account. */
typedef struct mmx_change_account_t {
	STAILQ_ENTRY(mmx_change_account_t) entry;
	char name[MMX_NAME_MAX + 1];
	uint64_t base;	       /**< revision that it replaces; 0: new object */
	uint8_t floor_percent; /**< 0..100, at most ceiling_percent */
	uint8_t ceiling_percent; /**< 1..100 */
	mmx_time_t deadline;	 /**< microseconds; 0: use the policy's */
	uint32_t repeatable;	 /**< method mask, if has_repeatable */
	bool has_repeatable;
	bool has_priority;
	uint8_t priority; /**< replaces that of the route, if has_priority */
	double rate;	  /**< requests a second of the fleet; 0: no limit */
	double burst;	  /**< requests beyond the rate, 0 or more */
	size_t key_count;
	uint8_t key_digests[MMX_ACCOUNT_KEYS_MAX][MMX_CHANGE_DIGEST_BYTES];
} mmx_change_account_t;

typedef STAILQ_HEAD(mmx_change_template_list_t,
		    mmx_change_template_t) mmx_change_template_list_t;
typedef STAILQ_HEAD(mmx_change_service_list_t,
		    mmx_change_service_t) mmx_change_service_list_t;
typedef STAILQ_HEAD(mmx_change_account_list_t,
		    mmx_change_account_t) mmx_change_account_list_t;

/** A change; the lists keep the order of the file or of the record. */
typedef struct mmx_change_t {
	char id[MMX_CHANGE_ID_MAX + 1];
	char publisher[MMX_NAME_MAX + 1]; /**< empty if not given */
	mmx_change_template_list_t templates;
	mmx_change_service_list_t services;
	mmx_change_account_list_t accounts;
} mmx_change_t;

/** Creates an empty change without id and publisher. */
mmx_change_t *mmx_change_create(void);

/** Frees a change and its objects. NULL is allowed. */
void mmx_change_destroy(mmx_change_t *change);

/**
 * Appends an object with default values and base 0 to a change.
 *
 * @param name  valid name that is not in the list yet
 * @return object, owned by the change
 */
mmx_change_template_t *mmx_change_add_template(mmx_change_t *change,
					       const char *name);
mmx_change_service_t *mmx_change_add_service(mmx_change_t *change,
					     const char *name);
mmx_change_account_t *mmx_change_add_account(mmx_change_t *change,
					     const char *name);

/**
 * Appends a route without overrides to a service.
 *
 * @param host         copied, converted to lower case
 * @param path_prefix  copied
 * @return route, owned by the service
 */
mmx_change_route_t *mmx_change_add_route(mmx_change_service_t *service,
					 const char *host,
					 const char *path_prefix);

/**
 * Sets a random id of MMX_CHANGE_ID_GENERATED_LENGTH hexadecimal digits. Aborts
 * the process if OpenSSL cannot provide random bytes.
 */
void mmx_change_generate_id(mmx_change_t *change);

/**
 * Reads and validates a change file. Generates an id if the file gives none.
 *
 * @param path      TOML file
 * @param findings  receives every error in the file
 * @return change, to be freed with mmx_change_destroy(), or NULL if there is
 *         at least one finding
 */
mmx_change_t *mmx_change_load(const char *path, mmx_findings_t *findings);

/**
 * Reads and validates a change in TOML, as mmx_change_load() does.
 *
 * @param file    file name that is reported in the findings
 * @param length  length of text, bytes
 */
mmx_change_t *mmx_change_parse(const char *file, const char *text,
			       size_t length, mmx_findings_t *findings);

/**
 * Reads and validates a record of the stream `config`. The result depends on
 * nothing but the bytes of the record, so that all nodes agree on it.
 *
 * @param length  length of text, bytes
 * @param error   receives the reason of a failure; may be NULL
 * @return change, to be freed with mmx_change_destroy(), or NULL
 */
mmx_change_t *mmx_change_from_json(const char *text, size_t length,
				   mmx_error_t *error);

/**
 * Serializes a change as a record. Asserts that id and publisher are set.
 *
 * @param length  receives the length of the text, bytes; may be NULL
 * @return text, to be freed with g_free(); longer than MMX_CHANGE_RECORD_MAX
 *         if the change is too large for one record
 */
char *mmx_change_to_json(const mmx_change_t *change, size_t *length);

#endif
