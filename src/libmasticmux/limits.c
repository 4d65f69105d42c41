#include "private/limits.h"

#include <assert.h>
#include <glib.h>

#define PART_US (MMX_LIMITS_WINDOW_US / MMX_LIMITS_PARTS)

const char *const mmx_limits_class_string[MMX_LIMITS_CLASS_COUNT] = {
	"under-floor",
	"normal",
	"over-ceiling",
};

typedef struct usage_t {
	char account[MMX_NAME_MAX + 1];
	unsigned int queued;   /* requests that wait for a slot */
	unsigned int running;  /* requests that hold a slot */
	mmx_time_t updated_at; /* time up to which use is counted */
	int64_t part;	       /* number of the latest part of the window */
	mmx_time_t used[MMX_LIMITS_PARTS]; /* slot time, microseconds */
} usage_t;

struct mmx_limits_t {
	GHashTable *usages; /* account -> usage_t */
};

mmx_limits_t *mmx_limits_create(void)
{
	mmx_limits_t *limits = g_new0(mmx_limits_t, 1);

	limits->usages =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return limits;
}

void mmx_limits_destroy(mmx_limits_t *limits)
{
	if (!limits)
		return;
	g_hash_table_destroy(limits->usages);
	g_free(limits);
}

static usage_t *find_or_add_usage_(mmx_limits_t *limits, const char *account)
{
	usage_t *usage = g_hash_table_lookup(limits->usages, account);

	if (usage)
		return usage;
	usage = g_new0(usage_t, 1);
	g_strlcpy(usage->account, account, sizeof(usage->account));
	g_hash_table_insert(limits->usages, usage->account, usage);
	return usage;
}

/* Adds the slot time since the last update to the parts of the window, and
 * clears the parts that have left it. */
static void update_usage_(usage_t *usage, mmx_time_t now)
{
	mmx_time_t from = MAX(usage->updated_at, now - MMX_LIMITS_WINDOW_US);
	int64_t last = now / PART_US;
	mmx_time_t until;

	if (last - usage->part > MMX_LIMITS_PARTS)
		usage->part = last - MMX_LIMITS_PARTS;
	while (usage->part < last) {
		until = MIN((usage->part + 1) * PART_US, now);
		if (until > from) {
			usage->used[usage->part % MMX_LIMITS_PARTS] +=
				(until - from) * usage->running;
			from = until;
		}
		usage->part++;
		usage->used[usage->part % MMX_LIMITS_PARTS] = 0;
	}
	if (now > from)
		usage->used[last % MMX_LIMITS_PARTS] +=
			(now - from) * usage->running;
	usage->updated_at = now;
}

static mmx_time_t used_slot_time_(const usage_t *usage)
{
	mmx_time_t sum = 0;
	int i;

	for (i = 0; i < MMX_LIMITS_PARTS; i++)
		sum += usage->used[i];
	return sum;
}

void mmx_limits_queue(mmx_limits_t *limits, const char *account)
{
	find_or_add_usage_(limits, account)->queued++;
}

void mmx_limits_unqueue(mmx_limits_t *limits, const char *account)
{
	usage_t *usage = find_or_add_usage_(limits, account);

	assert(usage->queued > 0);
	usage->queued--;
}

unsigned int mmx_limits_queued(const mmx_limits_t *limits, const char *account)
{
	const usage_t *usage = g_hash_table_lookup(limits->usages, account);

	return usage ? usage->queued : 0;
}

void mmx_limits_start(mmx_limits_t *limits, const char *account, mmx_time_t now)
{
	usage_t *usage = find_or_add_usage_(limits, account);

	update_usage_(usage, now);
	usage->running++;
}

void mmx_limits_finish(mmx_limits_t *limits, const char *account,
		       mmx_time_t now)
{
	usage_t *usage = find_or_add_usage_(limits, account);

	assert(usage->running > 0);
	update_usage_(usage, now);
	usage->running--;
}

unsigned int mmx_limits_ceiling(const mmx_limits_share_t *share,
				unsigned int slots)
{
	return MAX(1, (slots * share->ceiling_percent + 99) / 100);
}

mmx_limits_class_t mmx_limits_class(mmx_limits_t *limits, const char *account,
				    const mmx_limits_share_t *share,
				    unsigned int slots, mmx_time_t now)
{
	/* One percent of the target's slot time in a window. */
	mmx_time_t percent = (mmx_time_t)slots * MMX_LIMITS_WINDOW_US / 100;
	usage_t *usage;

	if (share->floor_percent == 0 && share->ceiling_percent >= 100)
		return MMX_LIMITS_NORMAL;
	usage = find_or_add_usage_(limits, account);
	update_usage_(usage, now);
	if (share->ceiling_percent < 100 &&
	    (usage->running >= mmx_limits_ceiling(share, slots) ||
	     used_slot_time_(usage) >= percent * share->ceiling_percent))
		return MMX_LIMITS_OVER_CEILING;
	if (used_slot_time_(usage) < percent * share->floor_percent)
		return MMX_LIMITS_UNDER_FLOOR;
	return MMX_LIMITS_NORMAL;
}

static gboolean is_idle_(gpointer key, gpointer value, gpointer data)
{
	usage_t *usage = value;

	if (usage->queued > 0 || usage->running > 0)
		return FALSE;
	update_usage_(usage, *(mmx_time_t *)data);
	return used_slot_time_(usage) == 0;
}

void mmx_limits_expire(mmx_limits_t *limits, mmx_time_t now)
{
	g_hash_table_foreach_remove(limits->usages, is_idle_, &now);
}

size_t mmx_limits_count(const mmx_limits_t *limits)
{
	return g_hash_table_size(limits->usages);
}
