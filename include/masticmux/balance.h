/**
 * Balance: load balancing over the targets of one service at an entry.
 *
 * Chooses the less loaded of two random targets in the nearest locality. The
 * load of a target is what it last reported for other entries plus this entry's
 * own outstanding requests. A farther locality is used only if no target in the
 * nearer ones has a free slot by this estimate.
 *
 * If the relative cost of the request is set, the target of the two that is
 * expected to complete it earlier is chosen: by the outstanding work that each
 * has reported, what this entry has sent there since, and the cost of the
 * request there. All other rules are the same.
 *
 * Usage: create one per service; set its targets and the use of each; choose,
 * start and finish each attempt; report the load that comes with each response;
 * destroy. Does no I/O.
 */
#ifndef MASTICMUX_BALANCE_H
#define MASTICMUX_BALANCE_H

#include "masticmux/random.h"
#include "masticmux/types.h"

/** Time after which a reported load is ignored. */
#define MMX_BALANCE_REPORT_TTL_US MMX_US_PER_S

/** Locality of a target as seen from the entry, nearest first. */
typedef enum mmx_locality_t {
	MMX_LOCALITY_ZONE,   /**< same availability zone */
	MMX_LOCALITY_REGION, /**< same region, another zone */
	MMX_LOCALITY_REMOTE, /**< another region */
	MMX_LOCALITY_COUNT
} mmx_locality_t;

extern const char *const mmx_locality_string[MMX_LOCALITY_COUNT];

/** How a target may be used. */
typedef enum mmx_use_t {
	MMX_USE_NORMAL,
	MMX_USE_AVOID,	     /**< suspect: chosen if no other has a slot */
	MMX_USE_AVOID_TRIAL, /**< suspect, and due for a trial request */
	MMX_USE_TRIAL,	     /**< ejected, and due for a trial request */
	MMX_USE_LAST_RESORT, /**< unreachable: chosen if there is no other */
	MMX_USE_NONE,	     /**< ejected, draining or dead */
	MMX_USE_COUNT
} mmx_use_t;

extern const char *const mmx_use_string[MMX_USE_COUNT];

/** A request for which a target is chosen. */
typedef struct mmx_balance_request_t {
	bool repeatable;	      /**< may be sent more than once */
	const mmx_target_id_t *tried; /**< targets to exclude, or NULL */
	size_t tried_count;
	/** Prefer a queue in the entry's own region to a free slot in another
	 * region, whose link costs more than a short wait. */
	bool queue_in_region;
	/** Exclude other regions as long as the entry's own one has a target that
	 * may be used, even if all of them were tried. */
	bool region_only;
	/** Prefer a queue to a suspect target, whose exit would refuse the
	 * request. If false, a free slot of a suspect target is preferred. */
	bool queue_before_suspects;
	/** Expected run time, relative to the mean run time of the service; 0:
	 * unknown, or targets are to be chosen by number of requests. */
	double cost;
} mmx_balance_request_t;

/** A chosen target. */
typedef struct mmx_balance_choice_t {
	mmx_target_id_t target;
	mmx_locality_t locality;
	bool trial; /**< report its end to mmx_ejection_trial_finish() */
} mmx_balance_choice_t;

typedef struct mmx_balance_t mmx_balance_t;

mmx_balance_t *mmx_balance_create(void);
void mmx_balance_destroy(mmx_balance_t *balance);

/**
 * Adds a target with use MMX_USE_NORMAL, or changes its slots and locality.
 *
 * @param slots  1..65535, asserted
 */
void mmx_balance_set_target(mmx_balance_t *balance, mmx_target_id_t target,
			    uint16_t slots, mmx_locality_t locality);

/** Removes a target; unknown targets are allowed. */
void mmx_balance_remove_target(mmx_balance_t *balance, mmx_target_id_t target);

/** Sets the use of a target; unknown targets are allowed. */
void mmx_balance_set_use(mmx_balance_t *balance, mmx_target_id_t target,
			 mmx_use_t use);

/**
 * Sets the load that was reported with a response. To be called after
 * mmx_balance_finish() of the request that the response belongs to. Unknown
 * targets are allowed.
 *
 * @param load  requests in progress and queued at the target, of all entries,
 *              without the one that has finished
 */
void mmx_balance_report_load(mmx_balance_t *balance, mmx_target_id_t target,
			     uint32_t load, mmx_time_t now);

/**
 * Sets the outstanding work that was reported with a response. Unknown targets
 * are allowed.
 *
 * @param work  expected time in which the slots of the target complete what
 *              they have, microseconds
 * @param run   mean run time at the target, microseconds
 */
void mmx_balance_report_work(mmx_balance_t *balance, mmx_target_id_t target,
			     mmx_time_t work, mmx_time_t run, mmx_time_t now);

/**
 * Adds an attempt to the outstanding work until the next report; unknown targets
 * are allowed.
 *
 * @param cost  see mmx_balance_request_t
 */
void mmx_balance_add_work(mmx_balance_t *balance, mmx_target_id_t target,
			  double cost);

/**
 * Sets until when the target starts no further request, because of a limit on
 * their rate. Until then it is chosen only if there is no other. Unknown targets
 * are allowed.
 *
 * @param until  monotonic clock, microseconds; 0: it takes requests now
 */
void mmx_balance_pause(mmx_balance_t *balance, mmx_target_id_t target,
		       mmx_time_t until);

/** Counts an attempt as outstanding; unknown targets are allowed. */
void mmx_balance_start(mmx_balance_t *balance, mmx_target_id_t target);

/** Ends an attempt, with any result; unknown targets are allowed. */
void mmx_balance_finish(mmx_balance_t *balance, mmx_target_id_t target);

/**
 * Chooses a target. A repeatable request goes to a target that is due for a
 * trial first, but not to one in another region if the service has targets in
 * the entry's own region. The attempt is not yet counted as outstanding.
 *
 * @return false if there is no capacity, that is, no target may be used
 */
bool mmx_balance_choose(const mmx_balance_t *balance,
			const mmx_balance_request_t *request,
			mmx_random_t *random, mmx_time_t now,
			mmx_balance_choice_t *choice);

/** Load estimate that the choice of a target is based on. */
typedef struct mmx_balance_estimate_t {
	uint32_t outstanding; /**< requests of this entry */
	uint32_t others; /**< requests of other entries, as last reported */
	uint16_t slots;
	mmx_time_t age; /**< of the report; MMX_TIME_NEVER: no report */
	/** Outstanding work for each slot with that of this entry since the
	 * report, microseconds; -1: unknown. */
	mmx_time_t work;
	mmx_time_t run; /**< mean run time there; 0: unknown */
} mmx_balance_estimate_t;

/** Load estimate of a target; false if it is unknown. */
bool mmx_balance_estimate(const mmx_balance_t *balance, mmx_target_id_t target,
			  mmx_time_t now, mmx_balance_estimate_t *estimate);

/** Outstanding requests of this entry at a target; 0 if it is unknown. */
uint32_t mmx_balance_outstanding(const mmx_balance_t *balance,
				 mmx_target_id_t target);

/** Number of targets, whatever their use. */
size_t mmx_balance_count(const mmx_balance_t *balance);

#endif
