/**
 * Faults of the target stand-in, set through POST /control.
 */
#ifndef STANDIN_TARGET_FAULTS_H
#define STANDIN_TARGET_FAULTS_H

#include "masticmux/clock.h"
#include "standin/fields.h"

/** What the target does in the bad half of each flap period. */
typedef enum flap_mode_t {
	FLAP_ERROR, /**< answers 500 */
	FLAP_STALL  /**< stalls real requests */
} flap_mode_t;

typedef struct target_faults_t {
	bool stall;	       /**< real requests wait, probes are answered */
	double slow_factor;    /**< multiplies the latency */
	double error_percent;  /**< share of requests answered 500 */
	double flap_period_ms; /**< 0: off; the first half is good */
	int flap_mode;	       /**< flap_mode_t */
	double late_ms;	       /**< from the finish to the answer */
	double cut_bytes;      /**< -1: off; body bytes sent before a close */
	bool close_without_answer;
	bool freeze_open;     /**< open connections get no answer */
	bool ignore_cancel;   /**< runs on when the peer closes */
	bool refuse;	      /**< refuses connections, resets requests */
	char *refuse_from;    /**< IP address whose requests are reset */
	bool stop_announcing; /**< lease runs out */
	bool draining;	      /**< announces the state "draining" */
	/* Faults that a load with checks must report. */
	bool duplicate;	       /**< runs each request twice */
	bool swap_answers;     /**< answers with another request's key */
	bool corrupt;	       /**< answers with a wrong body */
	bool run_refused;      /**< runs a request, then says it was refused */
	bool hide_executions;  /**< runs requests without counting them */
	mmx_time_t flap_start; /**< when flapping was set */
} target_faults_t;

/** Table for fields_set() and fields_get(). */
extern const field_t target_fault_fields[];

/** Sets all faults off. */
void target_faults_init(target_faults_t *faults);

/** True in the bad half of a flap period. */
bool target_faults_flapped(const target_faults_t *faults, mmx_time_t now);

/** True when real requests stall at this time. */
bool target_faults_stalled(const target_faults_t *faults, mmx_time_t now);

#endif
