#include "private/quota_log.h"

#include <glib.h>

#define REPORT_INTERVAL_US (1 * MMX_US_PER_S)

/* Refusals of an account since the last report. */
typedef struct tally_t {
	uint64_t refused;
	mmx_time_t retry_after;
} tally_t;

struct mmx_quota_log_t {
	mmx_quota_log_fn_t fn;
	void *context;
	GHashTable *tallies; /* tally_t by account */
	mmx_timer_t timer;   /* runs while there is a tally */
};

static void report_(mmx_quota_log_t *log, const char *account, tally_t *tally)
{
	uint64_t refused = tally->refused;

	tally->refused = 0;
	log->fn(log->context, account, refused, tally->retry_after);
}

static void on_timer_(void *arg)
{
	mmx_quota_log_t *log = arg;
	GHashTableIter iter;
	gpointer account;
	gpointer tally;

	g_hash_table_iter_init(&iter, log->tallies);
	while (g_hash_table_iter_next(&iter, &account, &tally)) {
		if (((tally_t *)tally)->refused > 0)
			report_(log, account, tally);
		else
			g_hash_table_iter_remove(&iter);
	}
	if (g_hash_table_size(log->tallies) > 0)
		mmx_timer_set(&log->timer, REPORT_INTERVAL_US);
}

mmx_quota_log_t *mmx_quota_log_create(mmx_clock_t *clock, mmx_quota_log_fn_t fn,
				      void *context)
{
	mmx_quota_log_t *log = g_new0(mmx_quota_log_t, 1);

	log->fn = fn;
	log->context = context;
	log->tallies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	mmx_timer_init(&log->timer, clock, on_timer_, log);
	return log;
}

void mmx_quota_log_destroy(mmx_quota_log_t *log)
{
	if (!log)
		return;
	mmx_timer_cancel(&log->timer);
	g_hash_table_destroy(log->tallies);
	g_free(log);
}

void mmx_quota_log_add(mmx_quota_log_t *log, const char *account,
		       mmx_time_t retry_after)
{
	tally_t *tally = g_hash_table_lookup(log->tallies, account);
	bool is_first = !tally;

	if (is_first) {
		tally = g_new0(tally_t, 1);
		g_hash_table_insert(log->tallies, g_strdup(account), tally);
	}
	tally->refused++;
	tally->retry_after = retry_after;
	if (is_first)
		report_(log, account, tally);
	if (!mmx_timer_is_set(&log->timer))
		mmx_timer_set(&log->timer, REPORT_INTERVAL_US);
}
