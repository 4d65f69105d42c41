/**
 * Balance: the choice of a target of one service at an entry.
 *
 * Two random choices among the usable targets of the nearest ring, by the
 * load that the target last reported plus the entry's own outstanding
 * requests. A farther ring is used only when no target of the nearer ones has
 * a free slot in the entry's view.
 *
 * Usage: create one per service; set its targets and how each may be used;
 * choose, start and finish each attempt; report the load that comes with each
 * response; destroy. Does no I/O.
 */
#ifndef MASTICMUX_BALANCE_H
#define MASTICMUX_BALANCE_H

#include "masticmux/random.h"
#include "masticmux/types.h"

/** Time for which a reported load is believed. */
#define MMX_BALANCE_REPORT_TTL_US MMX_US_PER_S

/** Distance of a target from the entry. */
typedef enum mmx_locality_t {
	MMX_LOCALITY_ZONE,
	MMX_LOCALITY_REGION,
	MMX_LOCALITY_REMOTE,
	MMX_LOCALITY_COUNT
} mmx_locality_t;

extern const char *const mmx_locality_string[MMX_LOCALITY_COUNT];

/** How a target may be used. */
typedef enum mmx_use_t {
	MMX_USE_NORMAL,
	MMX_USE_AVOID,	     /**< suspect: chosen when no other has a slot */
	MMX_USE_AVOID_TRIAL, /**< suspect, and due for a trial request */
	MMX_USE_TRIAL,	     /**< ejected, and due for a trial request */
	MMX_USE_LAST_RESORT, /**< unreachable: chosen when nothing else is */
	MMX_USE_NONE,	     /**< ejected, draining or dead */
	MMX_USE_COUNT
} mmx_use_t;

extern const char *const mmx_use_string[MMX_USE_COUNT];

/** What is to be sent. */
typedef struct mmx_balance_request_t {
	bool repeatable;
	const mmx_target_id_t *tried; /**< targets to leave out, or NULL */
	size_t tried_count;
	/** A queue in the own region comes before a free slot in another one,
	 * whose link costs more than a short wait. */
	bool queue_in_region;
	/** A queue comes before a suspect target, whose exit would refuse the
	 * request. Otherwise a free slot at one comes before a queue. */
	bool queue_before_suspects;
} mmx_balance_request_t;

/** What was chosen. */
typedef struct mmx_balance_choice_t {
	mmx_target_id_t target;
	mmx_locality_t locality;
	bool trial; /**< report the end to mmx_ejection_trial_finish() */
} mmx_balance_choice_t;

typedef struct mmx_balance_t mmx_balance_t;

mmx_balance_t *mmx_balance_create(void);
void mmx_balance_destroy(mmx_balance_t *balance);

/**
 * Adds a target with use MMX_USE_NORMAL, or changes its slots and ring.
 *
 * @param slots  1..65535, asserted
 */
void mmx_balance_set_target(mmx_balance_t *balance, mmx_target_id_t target,
			    uint16_t slots, mmx_locality_t ring);

/** Removes a target; unknown ones are allowed. */
void mmx_balance_remove_target(mmx_balance_t *balance, mmx_target_id_t target);

/** Sets how a target may be used; unknown ones are allowed. */
void mmx_balance_set_use(mmx_balance_t *balance, mmx_target_id_t target,
			 mmx_use_t use);

/**
 * Takes over the load that came with a response, after the finish of the
 * request that the response belongs to.
 *
 * @param load  requests in progress and queued at the target, of all entries,
 *              without the one that has finished
 */
void mmx_balance_report_load(mmx_balance_t *balance, mmx_target_id_t target,
			     uint32_t load, mmx_time_t now);

/** An attempt was sent to the target; unknown ones are allowed. */
void mmx_balance_start(mmx_balance_t *balance, mmx_target_id_t target);

/** An attempt has ended in whatever way; unknown targets are allowed. */
void mmx_balance_finish(mmx_balance_t *balance, mmx_target_id_t target);

/**
 * Chooses a target. A target that is due for a trial is chosen first when the
 * request is repeatable, but not one in another region while the service has
 * targets in the entry's own. The result is not yet counted as outstanding.
 *
 * @return false when there is no capacity: no target may be used
 */
bool mmx_balance_choose(const mmx_balance_t *balance,
			const mmx_balance_request_t *request,
			mmx_random_t *random, mmx_time_t now,
			mmx_balance_choice_t *choice);

/** What the choice of a target rests on. */
typedef struct mmx_balance_estimate_t {
	uint32_t outstanding; /**< of this entry */
	uint32_t others;      /**< of other entries, as last reported */
	uint16_t slots;
	mmx_time_t age; /**< of the report; MMX_TIME_NEVER: there was none */
} mmx_balance_estimate_t;

/** Returns false for an unknown target. */
bool mmx_balance_estimate(const mmx_balance_t *balance, mmx_target_id_t target,
			  mmx_time_t now, mmx_balance_estimate_t *belief);

/** Requests of this entry outstanding at a target; 0 when unknown. */
uint32_t mmx_balance_outstanding(const mmx_balance_t *balance,
				 mmx_target_id_t target);

/** Number of targets, whatever their use. */
size_t mmx_balance_count(const mmx_balance_t *balance);

#endif
