/**
 * Policy: how the requests of a service are handled, and the HTTP methods that
 * a policy refers to. Templates hold a complete policy; routes override single
 * fields of it.
 */
#ifndef MASTICMUX_POLICY_H
#define MASTICMUX_POLICY_H

#include "masticmux/types.h"

/** HTTP methods; MMX_METHOD_BIT() makes them the bits of a mask. */
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

/** Method of a request line; MMX_METHOD_OTHER if it is not known. */
mmx_method_t mmx_method_parse(const char *text);

/** How requests are handled, as a template defines it. */
typedef struct mmx_policy_t {
	mmx_time_t deadline; /**< of requests without one, microseconds, > 0 */
	uint32_t repeatable; /**< methods that may be repeated, mask */
	uint8_t floor_percent;	  /**< 0..100 of the announced slots */
	uint16_t floor_slots;	  /**< absolute minimum of healthy slots */
	uint8_t detection_weight; /**< 0 (no false ejections) .. 100 (fast) */
	uint8_t retry_percent;	  /**< 0..100 retries per 100 successes */
	mmx_time_t warm_up; /**< ramp of a cold target, microseconds, >= 0 */
} mmx_policy_t;

/** Fields of a policy; the strings are the keys of change files. */
typedef enum mmx_policy_field_t {
	MMX_POLICY_DEADLINE,
	MMX_POLICY_REPEATABLE,
	MMX_POLICY_FLOOR_PERCENT,
	MMX_POLICY_FLOOR_SLOTS,
	MMX_POLICY_DETECTION_WEIGHT,
	MMX_POLICY_RETRY_PERCENT,
	MMX_POLICY_WARM_UP,
	MMX_POLICY_FIELD_COUNT
} mmx_policy_field_t;

extern const char *const mmx_policy_field_string[MMX_POLICY_FIELD_COUNT];

#define MMX_POLICY_BIT(field) (1U << (field))

/** Some fields of a policy. */
typedef struct mmx_policy_override_t {
	uint32_t fields; /**< mask of MMX_POLICY_BIT: valid values */
	mmx_policy_t values;
} mmx_policy_override_t;

/** Replaces those fields of a policy that the override holds. */
void mmx_policy_apply(mmx_policy_t *policy,
		      const mmx_policy_override_t *override);

#endif
