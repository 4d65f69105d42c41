#include "private/broadcast.h"

#include <assert.h>
#include <glib.h>

const char *const mmx_broadcast_verdict_string[MMX_BROADCAST_VERDICT_COUNT] = {
	"sent",
	"obsolete",
	"no_room",
};

typedef TAILQ_HEAD(item_list_t, mmx_broadcast_item_t) item_list_t;

struct mmx_broadcast_t {
	size_t capacity;
	GHashTable *items;
	item_list_t levels[MMX_BROADCAST_SENDINGS_MAX]; /* by times sent */
};

static guint hash_(gconstpointer key)
{
	const mmx_broadcast_item_t *item = key;

	return (guint)(item->subject ^ item->reporter);
}

static gboolean equal_(gconstpointer a, gconstpointer b)
{
	const mmx_broadcast_item_t *left = a;
	const mmx_broadcast_item_t *right = b;

	return left->subject == right->subject &&
	       left->reporter == right->reporter;
}

mmx_broadcast_t *mmx_broadcast_create(size_t capacity)
{
	mmx_broadcast_t *broadcast = g_new0(mmx_broadcast_t, 1);
	size_t i;

	assert(capacity > 0);
	broadcast->capacity = capacity;
	broadcast->items = g_hash_table_new_full(hash_, equal_, g_free, NULL);
	for (i = 0; i < MMX_BROADCAST_SENDINGS_MAX; i++)
		TAILQ_INIT(&broadcast->levels[i]);
	return broadcast;
}

void mmx_broadcast_destroy(mmx_broadcast_t *broadcast)
{
	if (!broadcast)
		return;
	g_hash_table_destroy(broadcast->items);
	g_free(broadcast);
}

static void drop_(mmx_broadcast_t *broadcast, mmx_broadcast_item_t *item)
{
	TAILQ_REMOVE(&broadcast->levels[item->sent], item, entry);
	g_hash_table_remove(broadcast->items, item);
}

static void make_room_(mmx_broadcast_t *broadcast)
{
	int level = MMX_BROADCAST_SENDINGS_MAX - 1;

	while (TAILQ_EMPTY(&broadcast->levels[level]))
		level--;
	drop_(broadcast, TAILQ_LAST(&broadcast->levels[level], item_list_t));
}

void mmx_broadcast_add(mmx_broadcast_t *broadcast, uint64_t subject,
		       uint64_t reporter, bool full)
{
	mmx_broadcast_item_t key = {.subject = subject, .reporter = reporter};
	mmx_broadcast_item_t *item =
		g_hash_table_lookup(broadcast->items, &key);

	if (item) {
		TAILQ_REMOVE(&broadcast->levels[item->sent], item, entry);
	} else {
		if (g_hash_table_size(broadcast->items) == broadcast->capacity)
			make_room_(broadcast);
		item = g_new0(mmx_broadcast_item_t, 1);
		item->subject = subject;
		item->reporter = reporter;
		g_hash_table_add(broadcast->items, item);
	}
	item->full |= full;
	item->sent = 0;
	TAILQ_INSERT_HEAD(&broadcast->levels[0], item, entry);
}

size_t mmx_broadcast_count(const mmx_broadcast_t *broadcast)
{
	return g_hash_table_size(broadcast->items);
}

/* Items offered once leave their level until the datagram is full; the end of
 * the next level keeps the rotation among items sent equally often. */
static void put_back_(mmx_broadcast_t *broadcast, item_list_t *sent,
		      unsigned int limit)
{
	mmx_broadcast_item_t *item;

	while ((item = TAILQ_FIRST(sent))) {
		TAILQ_REMOVE(sent, item, entry);
		if (++item->sent >= limit)
			g_hash_table_remove(broadcast->items, item);
		else
			TAILQ_INSERT_TAIL(&broadcast->levels[item->sent], item,
					  entry);
	}
}

void mmx_broadcast_take(mmx_broadcast_t *broadcast, unsigned int limit,
			mmx_broadcast_fn_t fn, void *arg)
{
	item_list_t sent = TAILQ_HEAD_INITIALIZER(sent);
	mmx_broadcast_verdict_t verdict = MMX_BROADCAST_SENT;
	mmx_broadcast_item_t *item;
	int level;

	assert(limit > 0 && limit <= MMX_BROADCAST_SENDINGS_MAX);
	for (level = 0; level < MMX_BROADCAST_SENDINGS_MAX &&
			verdict != MMX_BROADCAST_NO_ROOM;
	     level++) {
		while ((item = TAILQ_FIRST(&broadcast->levels[level]))) {
			verdict = fn(arg, item);
			if (verdict == MMX_BROADCAST_NO_ROOM)
				break;
			if (verdict == MMX_BROADCAST_OBSOLETE) {
				drop_(broadcast, item);
				continue;
			}
			TAILQ_REMOVE(&broadcast->levels[level], item, entry);
			TAILQ_INSERT_TAIL(&sent, item, entry);
		}
	}
	put_back_(broadcast, &sent, limit);
}
