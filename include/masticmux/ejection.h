/**
 * Ejection: an entry's view of which targets of one service it may use.
 *
 * A suspect target is avoided: it keeps its capacity but is chosen after
 * others. Failing targets are ranked by score, then by id, and ejected from the
 * highest rank down as long as the remaining capacity is at least the floor;
 * the other failing targets are avoided. A target counts as capacity if it is
 * available, reachable, not ejected by this entry and not known to be ejected
 * by others. If a third of the targets, and at least two, are suspect at once,
 * the whole service counts as slow: no further target is ejected, and load must
 * be shed.
 *
 * Avoided and ejected targets return to use when the exit reports them healthy,
 * or after a back-off and consecutive successful trial requests, which are sent
 * one at a time.
 *
 * The floor is enforced at the end of every operation: if capacity is lost for
 * another reason, ejected targets return to use, lowest rank first.
 *
 * Usage: create one per service with a callback for each change of a target's
 * use (normally it calls mmx_balance_set_use()); set targets and their
 * availability; report health levels as they arrive; start and finish trials;
 * destroy. Does no I/O.
 */
#ifndef MASTICMUX_EJECTION_H
#define MASTICMUX_EJECTION_H

#include "masticmux/balance.h"
#include "masticmux/clock.h"
#include "masticmux/detection.h"

/** Availability of a target, apart from its health. */
typedef enum mmx_availability_t {
	MMX_AVAILABLE,
	MMX_AVAILABILITY_COLD,
	MMX_AVAILABILITY_DRAINING, /**< draining, or a stop is planned */
	MMX_AVAILABILITY_UNREACHABLE,
	MMX_AVAILABILITY_DEAD,
	MMX_AVAILABILITY_COUNT
} mmx_availability_t;

extern const char *const mmx_availability_string[MMX_AVAILABILITY_COUNT];

/** Ejection state of a target. */
typedef enum mmx_ejection_state_t {
	MMX_EJECTION_IN_USE,
	MMX_EJECTION_AVOIDED, /**< chosen after others */
	MMX_EJECTION_EJECTED,
	MMX_EJECTION_STATE_COUNT
} mmx_ejection_state_t;

extern const char *const mmx_ejection_state_string[MMX_EJECTION_STATE_COUNT];

/** State of the trials of an avoided or ejected target. */
typedef enum mmx_trial_t {
	MMX_TRIAL_WAITING, /**< the back-off has not ended */
	MMX_TRIAL_DUE,	   /**< the next repeatable request is a trial */
	MMX_TRIAL_RUNNING, /**< one trial request is in progress */
	MMX_TRIAL_COUNT
} mmx_trial_t;

extern const char *const mmx_trial_string[MMX_TRIAL_COUNT];

/** State of one target, for status and explain. */
typedef struct mmx_ejection_info_t {
	mmx_ejection_state_t state;
	mmx_use_t use;
	mmx_health_t level;	 /**< as last reported */
	double score;		 /**< as last reported, nats */
	mmx_trial_t trial;	 /**< valid unless in use */
	mmx_time_t ejected_at;	 /**< valid while ejected */
	mmx_time_t trial_at;	 /**< end of the back-off, unless in use */
	uint8_t trial_successes; /**< consecutive ones */
	uint32_t ejections;	 /**< since the target was added */
} mmx_ejection_info_t;

typedef struct mmx_ejection_t mmx_ejection_t;

/** Called for each change of a target's use; must not call mmx_ejection_*. */
typedef void (*mmx_ejection_fn_t)(void *arg, mmx_target_id_t target,
				  mmx_use_t use);

/**
 * Creates the view of one service.
 *
 * @param clock          outlives the result
 * @param floor_percent  0..100 of the announced slots, asserted
 * @param floor_slots    absolute minimum of slots
 * @param random         jitter of back-offs; outlives the result
 * @param changed        may be NULL
 */
mmx_ejection_t *mmx_ejection_create(mmx_clock_t *clock, mmx_random_t *random,
				    uint8_t floor_percent, uint16_t floor_slots,
				    mmx_ejection_fn_t changed, void *arg);
void mmx_ejection_destroy(mmx_ejection_t *ejection);

/** Changes the floor; the ranges are those of mmx_ejection_create(). */
void mmx_ejection_set_floor(mmx_ejection_t *ejection, uint8_t floor_percent,
			    uint16_t floor_slots);

/**
 * Adds a healthy target that is in use, or changes a known one.
 *
 * @param slots  1..65535, asserted
 */
void mmx_ejection_set_target(mmx_ejection_t *ejection, mmx_target_id_t target,
			     uint16_t slots, mmx_availability_t availability);

/** Removes a target; unknown targets are allowed. */
void mmx_ejection_remove_target(mmx_ejection_t *ejection,
				mmx_target_id_t target);

/** Sets the health that the exit reported; unknown targets are allowed. */
void mmx_ejection_report_health(mmx_ejection_t *ejection,
				mmx_target_id_t target, mmx_health_t level,
				double score);

/**
 * Sets whether other entries have ejected the target, in which case it does not
 * count as capacity here. Unknown targets are allowed.
 */
void mmx_ejection_set_ejected_elsewhere(mmx_ejection_t *ejection,
					mmx_target_id_t target, bool ejected);

/**
 * Sets the health of the path to a target's exit (see path.h). A target behind
 * a failing path does not count as capacity for this entry and is used as a
 * last resort only. Unknown targets are allowed.
 */
void mmx_ejection_set_path_health(mmx_ejection_t *ejection,
				  mmx_target_id_t target, mmx_health_t level);

/**
 * Starts the trial request of a target.
 *
 * @return false if no trial of the target is due; the request must then not be
 *         sent as a trial
 */
bool mmx_ejection_trial_start(mmx_ejection_t *ejection, mmx_target_id_t target);

/**
 * Ends a trial request. Ignored if no trial of the target is running any more.
 *
 * @param good  result of mmx_detection_finish() at the exit; false if there was
 *              no response
 */
void mmx_ejection_trial_finish(mmx_ejection_t *ejection, mmx_target_id_t target,
			       bool good);

/**
 * Reports that the exit refused a trial request because another one is in
 * progress. A trial is due again after the shortest back-off.
 */
void mmx_ejection_trial_refused(mmx_ejection_t *ejection,
				mmx_target_id_t target);

/** True while the whole service is slow and load must be shed. */
bool mmx_ejection_must_shed(const mmx_ejection_t *ejection);

/** Slots that count as capacity. */
uint32_t mmx_ejection_capacity(const mmx_ejection_t *ejection);

/** Slots that have to remain when targets are ejected. */
uint32_t mmx_ejection_floor(const mmx_ejection_t *ejection);

/** Number of targets that are ejected. */
size_t mmx_ejection_ejected_count(const mmx_ejection_t *ejection);

/** State of a target; false if it is unknown. */
bool mmx_ejection_info(const mmx_ejection_t *ejection, mmx_target_id_t target,
		       mmx_ejection_info_t *info);

/**
 * Checks the invariant from the targets alone: no usable target is ejected, or
 * the remaining capacity is at least the floor.
 */
bool mmx_ejection_floor_holds(const mmx_ejection_t *ejection);

/** For tests only: ejects targets regardless of the floor. */
void mmx_ejection_ignore_floor(mmx_ejection_t *ejection, bool ignore);

#endif
