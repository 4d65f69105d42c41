/**
 * Ejection: an entry's view of which targets of one service it may use.
 *
 * A suspect target is avoided: it keeps its capacity but is chosen after
 * others. Failing targets are ranked by score, then id, and ejected from the
 * top as long as the capacity that remains is at least the floor; the rest is
 * avoided. Capacity that counts is available, reachable, not ejected here and
 * not known to be ejected elsewhere. When a third of the targets are suspect
 * at once, the service as a whole is slow: no target is ejected, and load
 * must be shed.
 *
 * Avoided and ejected targets return when the exit reports them healthy, or
 * after a back-off by consecutive successes of trial requests, one at a time.
 *
 * The floor is enforced at the end of every operation: when capacity is lost
 * for another reason, ejected targets return to use, lowest rank first.
 *
 * Usage: create one per service with a function that is told each change of a
 * target's use (normally mmx_balance_set_use()); set targets and their
 * availability; report levels as they arrive; start and finish trials;
 * destroy. Does no I/O.
 */
#ifndef MASTICMUX_EJECTION_H
#define MASTICMUX_EJECTION_H

#include "masticmux/balance.h"
#include "masticmux/clock.h"
#include "masticmux/detection.h"

/** Whether a target counts as capacity, apart from its health. */
typedef enum mmx_availability_t {
	MMX_AVAILABLE,
	MMX_AVAILABILITY_COLD,
	MMX_AVAILABILITY_DRAINING, /**< or announced for a planned stop */
	MMX_AVAILABILITY_UNREACHABLE,
	MMX_AVAILABILITY_DEAD,
	MMX_AVAILABILITY_COUNT
} mmx_availability_t;

extern const char *const mmx_availability_string[MMX_AVAILABILITY_COUNT];

/** What is decided about a target. */
typedef enum mmx_ejection_state_t {
	MMX_EJECTION_IN_USE,
	MMX_EJECTION_AVOIDED,
	MMX_EJECTION_EJECTED,
	MMX_EJECTION_STATE_COUNT
} mmx_ejection_state_t;

extern const char *const mmx_ejection_state_string[MMX_EJECTION_STATE_COUNT];

/** Where the trial of an avoided or ejected target is. */
typedef enum mmx_trial_t {
	MMX_TRIAL_WAITING, /**< for the end of the back-off */
	MMX_TRIAL_DUE,	   /**< for the next repeatable request */
	MMX_TRIAL_RUNNING, /**< one trial request is in progress */
	MMX_TRIAL_COUNT
} mmx_trial_t;

extern const char *const mmx_trial_string[MMX_TRIAL_COUNT];

/** View of one target, for status and explain. */
typedef struct mmx_ejection_info_t {
	mmx_ejection_state_t state;
	mmx_use_t use;
	mmx_health_t level;	 /**< as last reported */
	double score;		 /**< as last reported, nats */
	mmx_trial_t trial;	 /**< valid unless in use */
	mmx_time_t ejected_at;	 /**< valid while ejected */
	mmx_time_t trial_at;	 /**< end of the back-off, unless in use */
	uint8_t trial_successes; /**< consecutive */
	uint32_t ejections;	 /**< since the target was added */
} mmx_ejection_info_t;

typedef struct mmx_ejection_t mmx_ejection_t;

/** Told each change of a target's use; must not call mmx_ejection_*. */
typedef void (*mmx_ejection_fn_t)(void *arg, mmx_target_id_t target,
				  mmx_use_t use);

/**
 * Creates the view of one service.
 *
 * @param clock          outlives the result
 * @param floor_percent  0..100 of the announced slots, asserted
 * @param floor_slots    absolute minimum of slots
 * @param random         spreads the trials of many entries; outlives the
 *                       result
 * @param changed        may be NULL
 */
mmx_ejection_t *mmx_ejection_create(mmx_clock_t *clock, mmx_random_t *random,
				    uint8_t floor_percent, uint16_t floor_slots,
				    mmx_ejection_fn_t changed, void *arg);
void mmx_ejection_destroy(mmx_ejection_t *ejection);

/** Changes the floor when the configuration does. */
void mmx_ejection_set_floor(mmx_ejection_t *ejection, uint8_t floor_percent,
			    uint16_t floor_slots);

/**
 * Adds a target that is in use and healthy, or changes a known one.
 *
 * @param slots  1..65535, asserted
 */
void mmx_ejection_set_target(mmx_ejection_t *ejection, mmx_target_id_t target,
			     uint16_t slots, mmx_availability_t availability);

/** Removes a target; unknown ones are allowed. */
void mmx_ejection_remove_target(mmx_ejection_t *ejection,
				mmx_target_id_t target);

/** Takes over the level from the exit; unknown targets are allowed. */
void mmx_ejection_report_health(mmx_ejection_t *ejection,
				mmx_target_id_t target, mmx_health_t level,
				double score);

/** Other entries have ejected the target: it counts as no capacity here. */
void mmx_ejection_set_ejected_elsewhere(mmx_ejection_t *ejection,
					mmx_target_id_t target, bool ejected);

/**
 * Takes over the level of the path to a target's exit (see path.h). A target
 * behind a failing path is no capacity for this entry and is used as a last
 * resort only; unknown targets are allowed.
 */
void mmx_ejection_set_path_health(mmx_ejection_t *ejection,
				  mmx_target_id_t target, mmx_health_t level);

/**
 * Starts the trial request of a target.
 *
 * @return false when the target is not due for one; then the request must not
 *         be sent as a trial
 */
bool mmx_ejection_trial_start(mmx_ejection_t *ejection, mmx_target_id_t target);

/**
 * Ends a trial request. Ignored when the target has left the trial meanwhile.
 *
 * @param good  result of mmx_detection_finish() at the exit; false when there
 *              was no response
 */
void mmx_ejection_trial_finish(mmx_ejection_t *ejection, mmx_target_id_t target,
			       bool good);

/**
 * The exit refused a trial request because another one is in progress. The
 * trial is due again after the first back-off.
 */
void mmx_ejection_trial_refused(mmx_ejection_t *ejection,
				mmx_target_id_t target);

/** True while the service as a whole is slow and load must be shed. */
bool mmx_ejection_must_shed(const mmx_ejection_t *ejection);

/** Slots that count as healthy capacity. */
uint32_t mmx_ejection_capacity(const mmx_ejection_t *ejection);

/** Slots that ejections must leave. */
uint32_t mmx_ejection_floor(const mmx_ejection_t *ejection);

/** Number of targets that are ejected. */
size_t mmx_ejection_ejected_count(const mmx_ejection_t *ejection);

/** View of a target; false when unknown. */
bool mmx_ejection_info(const mmx_ejection_t *ejection, mmx_target_id_t target,
		       mmx_ejection_info_t *info);

/**
 * The invariant, computed from the targets alone: no usable target is
 * ejected, or the capacity that remains is at least the floor.
 */
bool mmx_ejection_floor_holds(const mmx_ejection_t *ejection);

/** For tests only: ejects without regard to the floor. */
void mmx_ejection_ignore_floor(mmx_ejection_t *ejection, bool ignore);

#endif
