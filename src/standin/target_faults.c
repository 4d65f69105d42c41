#include "standin/target_faults.h"

#include <stddef.h>

#define FACTOR_MAX 100000
#define TIME_MAX_MS 3600000
#define BYTES_MAX 1e12

static const char *const flap_choices_[] = {"error", "stall", NULL};

#define FLAG(name)                                                             \
	{                                                                      \
#name, FIELD_BOOL, offsetof(target_faults_t, name), 0, 0, NULL \
	}
#define NUMBER(name, min, max)                                             \
	{                                                                  \
#name, FIELD_NUMBER, offsetof(target_faults_t, name), min, \
			max, NULL                                          \
	}

const field_t target_fault_fields[] = {
	FLAG(stall),
	NUMBER(slow_factor, 0, FACTOR_MAX),
	NUMBER(error_percent, 0, 100),
	NUMBER(flap_period_ms, 0, TIME_MAX_MS),
	{"flap_mode", FIELD_CHOICE, offsetof(target_faults_t, flap_mode), 0, 0,
	 flap_choices_},
	NUMBER(late_ms, 0, TIME_MAX_MS),
	NUMBER(cut_bytes, -1, BYTES_MAX),
	FLAG(close_without_answer),
	FLAG(freeze_open),
	FLAG(ignore_cancel),
	FLAG(refuse),
	{"refuse_from", FIELD_TEXT, offsetof(target_faults_t, refuse_from), 0,
	 0, NULL},
	FLAG(stop_announcing),
	FLAG(draining),
	FLAG(duplicate),
	FLAG(swap_answers),
	FLAG(corrupt),
	FLAG(run_refused),
	FLAG(hide_executions),
	{NULL, FIELD_BOOL, 0, 0, 0, NULL},
};

void target_faults_init(target_faults_t *faults)
{
	*faults = (target_faults_t){.slow_factor = 1, .cut_bytes = -1};
}

bool target_faults_flapped(const target_faults_t *faults, mmx_time_t now)
{
	mmx_time_t period =
		(mmx_time_t)(faults->flap_period_ms * (double)MMX_US_PER_MS);

	return period > 0 && (now - faults->flap_start) % period >= period / 2;
}

bool target_faults_stalled(const target_faults_t *faults, mmx_time_t now)
{
	return faults->stall || (faults->flap_mode == FLAP_STALL &&
				 target_faults_flapped(faults, now));
}
