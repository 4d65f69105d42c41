/**
 * Fold: the configuration that results from the records of the log, and its
 * lookups. Does no I/O. Two folds that were given the same records in offset
 * order are equal.
 *
 * Life: create, (apply records or load a snapshot, look up), destroy.
 */
#ifndef MASTICMUX_FOLD_H
#define MASTICMUX_FOLD_H

#include "masticmux/types.h"

/** HTTP methods as bits of a mask, for "which requests may be repeated". */
typedef enum mmx_method_t {
	MMX_METHOD_GET,
	MMX_METHOD_HEAD,
	MMX_METHOD_POST,
	MMX_METHOD_PUT,
	MMX_METHOD_DELETE,
	MMX_METHOD_OPTIONS,
	MMX_METHOD_PATCH,
	MMX_METHOD_OTHER,
	MMX_METHOD_COUNT
} mmx_method_t;

extern const char *const mmx_method_string[MMX_METHOD_COUNT];

#define MMX_METHOD_BIT(method) (1U << (method))
#define MMX_METHODS_SAFE                                                    \
	(MMX_METHOD_BIT(MMX_METHOD_GET) | MMX_METHOD_BIT(MMX_METHOD_HEAD) | \
	 MMX_METHOD_BIT(MMX_METHOD_OPTIONS))

/** Method of a request line; MMX_METHOD_OTHER when not in the table. */
mmx_method_t mmx_method_parse(const char *text);

/** How requests of one kind of service are treated (from a template). */
typedef struct mmx_policy_t {
	mmx_time_t deadline;	  /**< for requests that name none, > 0 */
	uint32_t repeatable;	  /**< mask of MMX_METHOD_BIT */
	uint8_t floor_percent;	  /**< 0..100 of the announced slots */
	uint16_t floor_slots;	  /**< absolute minimum of healthy slots */
	uint8_t detection_weight; /**< 0 (no false ejection) .. 100 (fast) */
	uint8_t retry_percent;	  /**< 0..100 retries per 100 successes */
	mmx_time_t warm_up;	  /**< ramp of a cold target, 0 or more */
} mmx_policy_t;

/** Result of a route lookup. */
typedef struct mmx_route_t {
	const char *service; /**< valid until the next apply */
	mmx_policy_t policy; /**< template with the route's overrides */
} mmx_route_t;

/** Parameters of a client account. */
typedef struct mmx_account_t {
	const char *name;	 /**< valid until the next apply */
	uint8_t floor_percent;	 /**< 0..100 of each service's slots */
	uint8_t ceiling_percent; /**< 1..100 */
	mmx_time_t deadline;	 /**< 0: the policy's */
	uint32_t repeatable;	 /**< mask; valid if has_repeatable */
	bool has_repeatable;
} mmx_account_t;

typedef struct mmx_fold_t mmx_fold_t;

mmx_fold_t *mmx_fold_create(void);
void mmx_fold_destroy(mmx_fold_t *fold);

/**
 * Looks up the route of a request: the longest path prefix among the routes
 * of the host. The host is compared without case and without its port.
 *
 * @return false when no route matches
 */
bool mmx_fold_route(const mmx_fold_t *fold, const char *host, const char *path,
		    mmx_route_t *route);

/** Looks up a client account; false when unknown. */
bool mmx_fold_account(const mmx_fold_t *fold, const char *name,
		      mmx_account_t *account);

/** Policy of a service by name; false when unknown. */
bool mmx_fold_service(const mmx_fold_t *fold, const char *service,
		      mmx_policy_t *policy);

#endif
