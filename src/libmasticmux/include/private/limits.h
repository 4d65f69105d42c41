/*
 * Capacity floors and ceilings of client accounts at one target: what each
 * account used of the slots during the last second. Does no I/O.
 *
 * Usage: create one per target; note each request that queues, starts and
 * ends; ask for the class of an account before it is queued or started;
 * destroy.
 */
#ifndef MASTICMUX_PRIVATE_LIMITS_H
#define MASTICMUX_PRIVATE_LIMITS_H

#include "masticmux/types.h"

/* Length of the sliding window, and of the parts that it moves by. */
#define MMX_LIMITS_WINDOW_US MMX_US_PER_S
#define MMX_LIMITS_PARTS 10

/* Share of the target's slots that an account has. */
typedef struct mmx_limits_share_t {
	uint8_t floor_percent;	 /* 0: none */
	uint8_t ceiling_percent; /* 100: none */
} mmx_limits_share_t;

typedef enum mmx_limits_class_t {
	MMX_LIMITS_UNDER_FLOOR, /* served before the others */
	MMX_LIMITS_NORMAL,
	MMX_LIMITS_OVER_CEILING, /* waits, or is refused */
	MMX_LIMITS_CLASS_COUNT
} mmx_limits_class_t;

extern const char *const mmx_limits_class_string[MMX_LIMITS_CLASS_COUNT];

typedef struct mmx_limits_t mmx_limits_t;

mmx_limits_t *mmx_limits_create(void);
void mmx_limits_destroy(mmx_limits_t *limits);

/* A request of an account begins or ends to wait. */
void mmx_limits_queue(mmx_limits_t *limits, const char *account);
void mmx_limits_unqueue(mmx_limits_t *limits, const char *account);

/* Requests of an account that wait. */
unsigned int mmx_limits_queued(const mmx_limits_t *limits, const char *account);

/* A request of an account takes or frees a slot; now never decreases. */
void mmx_limits_start(mmx_limits_t *limits, const char *account,
		      mmx_time_t now);
void mmx_limits_finish(mmx_limits_t *limits, const char *account,
		       mmx_time_t now);

/* slots: of the target, 1 or more. */
mmx_limits_class_t mmx_limits_class(mmx_limits_t *limits, const char *account,
				    const mmx_limits_share_t *share,
				    unsigned int slots, mmx_time_t now);

/* Slots that an account may hold at a time, 1 or more. */
unsigned int mmx_limits_ceiling(const mmx_limits_share_t *share,
				unsigned int slots);

/* Forgets accounts that used nothing during the window. */
void mmx_limits_expire(mmx_limits_t *limits, mmx_time_t now);

/* Accounts that are remembered. */
size_t mmx_limits_count(const mmx_limits_t *limits);

#endif
