/*
 * Capacity floors and ceilings of client accounts at one target, by the slot
 * time that each account used during the last second. Does no I/O.
 *
 * Usage: create one per target; report each request that is queued, started or
 * finished; get the class of an account before one of its requests is queued
 * or started; destroy.
 */
#ifndef MASTICMUX_PRIVATE_LIMITS_H
#define MASTICMUX_PRIVATE_LIMITS_H

#include "masticmux/types.h"

/* Length of the sliding window, and the number of parts it is divided into. */
#define MMX_LIMITS_WINDOW_US MMX_US_PER_S
#define MMX_LIMITS_PARTS 10

/* Share of an account in the slots of a target. */
typedef struct mmx_limits_share_t {
	uint8_t floor_percent;	 /* 0: none */
	uint8_t ceiling_percent; /* 100: none */
} mmx_limits_share_t;

typedef enum mmx_limits_class_t {
	MMX_LIMITS_UNDER_FLOOR, /* served before other accounts */
	MMX_LIMITS_NORMAL,
	MMX_LIMITS_OVER_CEILING, /* waits, or is refused */
	MMX_LIMITS_CLASS_COUNT
} mmx_limits_class_t;

extern const char *const mmx_limits_class_string[MMX_LIMITS_CLASS_COUNT];

typedef struct mmx_limits_t mmx_limits_t;

mmx_limits_t *mmx_limits_create(void);
void mmx_limits_destroy(mmx_limits_t *limits);

/* Counts a request of an account that enters or leaves the queue. */
void mmx_limits_queue(mmx_limits_t *limits, const char *account);
void mmx_limits_unqueue(mmx_limits_t *limits, const char *account);

/* Queued requests of an account. */
unsigned int mmx_limits_queued(const mmx_limits_t *limits, const char *account);

/* Counts a request of an account that takes or frees a slot. now must not
 * decrease from call to call. */
void mmx_limits_start(mmx_limits_t *limits, const char *account,
		      mmx_time_t now);
void mmx_limits_finish(mmx_limits_t *limits, const char *account,
		       mmx_time_t now);

/* Class of an account at a target with this number of slots, 1 or more. */
mmx_limits_class_t mmx_limits_class(mmx_limits_t *limits, const char *account,
				    const mmx_limits_share_t *share,
				    unsigned int slots, mmx_time_t now);

/* Slots that an account may hold at the same time, 1 or more. */
unsigned int mmx_limits_ceiling(const mmx_limits_share_t *share,
				unsigned int slots);

/* Removes the accounts that used no slot during the window. */
void mmx_limits_expire(mmx_limits_t *limits, mmx_time_t now);

/* Number of accounts that are kept. */
size_t mmx_limits_count(const mmx_limits_t *limits);

#endif
