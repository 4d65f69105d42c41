/*
 * Samples the refusals over the limits of accounts for the log: the first one
 * of an account is reported at once, later ones by their number, once a second.
 */
#ifndef MASTICMUX_PRIVATE_QUOTA_LOG_H
#define MASTICMUX_PRIVATE_QUOTA_LOG_H

#include "masticmux/clock.h"

typedef struct mmx_quota_log_t mmx_quota_log_t;

/* Reports refusals of an account: their number since the last report, and the
 * Retry-After of the latest one, microseconds. */
typedef void (*mmx_quota_log_fn_t)(void *context, const char *account,
				   uint64_t refused, mmx_time_t retry_after);

mmx_quota_log_t *mmx_quota_log_create(mmx_clock_t *clock, mmx_quota_log_fn_t fn,
				      void *context);
void mmx_quota_log_destroy(mmx_quota_log_t *log);

/* Counts a refusal. fn may be called from inside. */
void mmx_quota_log_add(mmx_quota_log_t *log, const char *account,
		       mmx_time_t retry_after);

#endif
