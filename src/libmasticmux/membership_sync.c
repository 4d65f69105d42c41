#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "masticmux/directory_sync.h"
#include "private/membership_parts.h"

/* A sync that a change of members asks for follows within this time. */
#define SYNC_HASTENED_US (10 * MMX_US_PER_S)
#define SYNC_TIMEOUT (10 * MMX_US_PER_S)
/* Least time between syncs that follow a member's return. */
#define REJOIN_SYNC_PERIOD (5 * MMX_US_PER_S)
/* Hashes of one answer: with the runs they stay under the message size. */
#define HASHES_MAX 60000
/* Records of one message; the rest of the message size is for hashes. */
#define RECORD_BYTES_MAX (200 * 1024)
/* Largest encoded target and member: all names and addresses 63 bytes. */
#define TARGET_BYTES_MAX 172
#define MEMBER_BYTES_MAX 372
/* More records than this in a message come from a join or a healed partition.
 * Spreading them further would send every node what most already have. */
#define SPREAD_MAX 32
#define FIRST_TARGET_BUCKET MMX_SYNC_MEMBER_BUCKETS

/* A sync that this node asked for. */
struct mmx_sync_session_t {
	mmx_node_id_t peer;
	uint32_t salt;
	bool records; /* the hashes were answered */
	mmx_time_t asked;
	GArray *wanted;	 /* mmx_sync_hash_t, by bucket */
	GArray *members; /* mmx_node_id_t to send */
	GArray *targets; /* mmx_target_id_t to send */
	size_t wanted_at;
	size_t members_at;
	size_t targets_at;
};

static void end_(mmx_membership_t *m)
{
	mmx_sync_session_t *session = m->session;

	if (!session)
		return;
	g_array_free(session->wanted, TRUE);
	g_array_free(session->members, TRUE);
	g_array_free(session->targets, TRUE);
	g_free(session);
	m->session = NULL;
}

void mmx_membership_sync_destroy(mmx_membership_t *m)
{
	end_(m);
}

static uint32_t member_hash_(const mmx_member_t *member, uint32_t salt)
{
	uint64_t part[3] = {member->id, member->incarnation,
			    member->refutation};

	return (uint32_t)XXH64(part, sizeof(part), salt);
}

static uint32_t target_hash_(const mmx_directory_target_t *target,
			     uint32_t salt)
{
	uint64_t part[3] = {mmx_directory_target_id(target),
			    mmx_directory_target_incarnation(target),
			    mmx_directory_target_version(target)};

	return (uint32_t)XXH64(part, sizeof(part), salt);
}

static bool gone_(const mmx_directory_target_t *target)
{
	return mmx_directory_target_state(target) == MMX_TARGET_GONE;
}

static void digests_(const mmx_membership_t *m, uint64_t *out)
{
	memcpy(out, mmx_member_table_digests(m->table),
	       MMX_SYNC_MEMBER_BUCKETS * sizeof(*out));
	memcpy(out + FIRST_TARGET_BUCKET, mmx_directory_digests(m->directory),
	       MMX_DIRECTORY_BUCKETS * sizeof(*out));
}

typedef void (*visit_fn_t)(void *arg, uint32_t hash, uint64_t id);

/* Visits the records of a bucket that its digest covers. */
static void visit_(const mmx_membership_t *m, unsigned int bucket,
		   uint32_t salt, visit_fn_t fn, void *arg)
{
	const mmx_directory_target_t *target;
	size_t i;

	if (bucket >= FIRST_TARGET_BUCKET) {
		target = mmx_directory_bucket_first(
			m->directory, bucket - FIRST_TARGET_BUCKET);
		for (; target; target = mmx_directory_bucket_next(target)) {
			if (!gone_(target))
				fn(arg, target_hash_(target, salt),
				   mmx_directory_target_id(target));
		}
		return;
	}
	for (i = 0; i < mmx_member_table_present_count(m->table); i++) {
		const mmx_member_t *member =
			&mmx_member_table_present_at(m->table, i)->member;

		if (mmx_member_bucket_of(member->id) == bucket)
			fn(arg, member_hash_(member, salt), member->id);
	}
}

static void request_(mmx_membership_t *m, mmx_sync_message_t *message)
{
	const mmx_member_t *peer = mmx_membership_find(m, m->session->peer);
	size_t size = 0;
	uint8_t *data;

	data = mmx_sync_encode(message, MMX_SYNC_MESSAGE_MAX, &size);
	mmx_sync_message_destroy(message);
	if (!data || !peer || !m->ops->sync_request) {
		free(data);
		end_(m);
		return;
	}
	m->session->asked = mmx_clock_now(m->clock);
	m->ops->sync_request(m->arg, peer, data, size);
	free(data);
}

void mmx_membership_sync_start(mmx_membership_t *m, const mmx_entry_t *peer)
{
	mmx_sync_session_t *session;
	mmx_sync_message_t *message;

	if (m->session || !m->ops->sync_request || m->leaving)
		return;
	session = g_new0(mmx_sync_session_t, 1);
	session->peer = peer->member.id;
	session->salt = (uint32_t)mmx_random_next(&m->random);
	session->wanted = g_array_new(FALSE, TRUE, sizeof(mmx_sync_hash_t));
	session->members = g_array_new(FALSE, TRUE, sizeof(mmx_node_id_t));
	session->targets = g_array_new(FALSE, TRUE, sizeof(mmx_target_id_t));
	m->session = session;
	m->last_sync = mmx_clock_now(m->clock);
	mmx_counter_add(m->counters.syncs, 1);
	message = mmx_sync_message_create(MMX_SYNC_DIGESTS, session->salt);
	digests_(m, message->digests);
	request_(m, message);
}

void mmx_membership_sync_tick(mmx_membership_t *m)
{
	mmx_time_t now = mmx_clock_now(m->clock);
	const mmx_entry_t *peer;

	if (m->session && now - m->session->asked >= SYNC_TIMEOUT)
		end_(m);
	if (m->rejoined && !m->session &&
	    now - m->last_sync >= REJOIN_SYNC_PERIOD) {
		peer = mmx_member_table_find(m->table, m->rejoined);
		m->rejoined = 0;
		if (peer && peer->member.state == MMX_MEMBER_ALIVE)
			mmx_membership_sync_start(m, peer);
	}
	if (now < m->next_sync)
		return;
	m->next_sync = now + MMX_MEMBERSHIP_SYNC_PERIOD;
	peer = mmx_member_table_random(m->table, m->self->member.id, 0);
	if (peer)
		mmx_membership_sync_start(m, peer);
}

void mmx_membership_sync_hasten(mmx_membership_t *m)
{
	mmx_time_t next =
		mmx_clock_now(m->clock) +
		(mmx_time_t)mmx_random_below(&m->random, SYNC_HASTENED_US);

	/* Many changes at once must not make syncs follow each other. */
	if (next < m->last_sync + REJOIN_SYNC_PERIOD)
		next = m->last_sync + REJOIN_SYNC_PERIOD;
	if (next < m->next_sync)
		m->next_sync = next;
}

typedef struct listing_t {
	GArray *hashes;
	uint16_t bucket;
} listing_t;

static void list_hash_(void *arg, uint32_t hash, uint64_t id)
{
	listing_t *listing = arg;
	mmx_sync_hash_t entry = {.bucket = listing->bucket, .hash = hash};

	g_array_append_val(listing->hashes, entry);
}

static mmx_sync_message_t *serve_digests_(mmx_membership_t *m,
					  const mmx_sync_message_t *request)
{
	mmx_sync_message_t *reply =
		mmx_sync_message_create(MMX_SYNC_HASHES, request->salt);
	listing_t listing = {.hashes = reply->hashes};
	uint64_t own[MMX_SYNC_BUCKETS];
	unsigned int b;

	digests_(m, own);
	for (b = 0; b < MMX_SYNC_BUCKETS; b++) {
		guint before = reply->hashes->len;

		if (own[b] == request->digests[b])
			continue;
		listing.bucket = (uint16_t)b;
		visit_(m, b, request->salt, list_hash_, &listing);
		if (reply->hashes->len > HASHES_MAX) {
			g_array_set_size(reply->hashes, before);
			break;
		}
		reply->listed[b] = true;
	}
	return reply;
}

typedef struct selection_t {
	mmx_membership_t *m;
	GHashTable *hashes; /* those the other side listed or wants */
	mmx_sync_session_t *session;
	mmx_sync_message_t *reply;
	size_t *bytes;
	bool members;
} selection_t;

static void add_record_(selection_t *selection, uint64_t id)
{
	const mmx_membership_t *m = selection->m;
	const mmx_directory_target_t *target;
	mmx_target_record_t record;
	const mmx_member_t *member;

	if (*selection->bytes > RECORD_BYTES_MAX)
		return;
	if (selection->members) {
		member = mmx_membership_find(m, id);
		if (!member)
			return;
		*selection->bytes += mmx_gossip_member_size(member);
		g_array_append_vals(selection->reply->members, member, 1);
		return;
	}
	target = mmx_directory_find(m->directory, id);
	if (!target)
		return;
	mmx_directory_record(target, &record);
	*selection->bytes += mmx_gossip_target_size(&record);
	g_array_append_val(selection->reply->targets, record);
}

static void select_wanted_(void *arg, uint32_t hash, uint64_t id)
{
	selection_t *selection = arg;

	if (g_hash_table_contains(selection->hashes, GUINT_TO_POINTER(hash)))
		add_record_(selection, id);
}

/* Hashes that remain in the set afterwards are records that only the other
 * side has. */
static void select_missing_(void *arg, uint32_t hash, uint64_t id)
{
	selection_t *selection = arg;
	mmx_sync_session_t *session = selection->session;

	if (g_hash_table_remove(selection->hashes, GUINT_TO_POINTER(hash)))
		return;
	if (selection->members)
		g_array_append_val(session->members, id);
	else
		g_array_append_val(session->targets, id);
}

/* Moves the hashes of one bucket into a set; returns where the next starts. */
static size_t take_run_(const GArray *hashes, size_t at, unsigned int bucket,
			GHashTable *set)
{
	g_hash_table_remove_all(set);
	for (; at < hashes->len; at++) {
		const mmx_sync_hash_t *hash =
			&g_array_index(hashes, mmx_sync_hash_t, at);

		if (hash->bucket != bucket)
			break;
		g_hash_table_add(set, GUINT_TO_POINTER(hash->hash));
	}
	return at;
}

static void want_rest_(GHashTable *set, unsigned int bucket, GArray *wanted)
{
	mmx_sync_hash_t hash = {.bucket = (uint16_t)bucket};
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, set);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		hash.hash = GPOINTER_TO_UINT(key);
		g_array_append_val(wanted, hash);
	}
}

static void compare_(mmx_membership_t *m, const mmx_sync_message_t *reply)
{
	mmx_sync_session_t *session = m->session;
	selection_t selection = {.m = m, .session = session};
	size_t at = 0;
	unsigned int b;

	selection.hashes = g_hash_table_new(NULL, NULL);
	for (b = 0; b < MMX_SYNC_BUCKETS; b++) {
		if (!reply->listed[b])
			continue;
		at = take_run_(reply->hashes, at, b, selection.hashes);
		selection.members = b < FIRST_TARGET_BUCKET;
		visit_(m, b, session->salt, select_missing_, &selection);
		want_rest_(selection.hashes, b, session->wanted);
	}
	g_hash_table_destroy(selection.hashes);
}

/* Sends the next part of the records and wants; ends the session when none
 * is left. */
static void exchange_(mmx_membership_t *m)
{
	mmx_sync_session_t *session = m->session;
	mmx_sync_message_t *message =
		mmx_sync_message_create(MMX_SYNC_RECORDS, session->salt);
	size_t bytes = 0;
	size_t answer = 0;
	selection_t selection = {.m = m, .reply = message, .bytes = &bytes};

	selection.members = true;
	while (session->members_at < session->members->len &&
	       bytes < RECORD_BYTES_MAX)
		add_record_(&selection,
			    g_array_index(session->members, mmx_node_id_t,
					  session->members_at++));
	selection.members = false;
	while (session->targets_at < session->targets->len &&
	       bytes < RECORD_BYTES_MAX)
		add_record_(&selection,
			    g_array_index(session->targets, mmx_target_id_t,
					  session->targets_at++));
	while (session->wanted_at < session->wanted->len &&
	       answer < RECORD_BYTES_MAX) {
		const mmx_sync_hash_t *hash = &g_array_index(
			session->wanted, mmx_sync_hash_t, session->wanted_at++);

		answer += hash->bucket < FIRST_TARGET_BUCKET ? MEMBER_BYTES_MAX
							     : TARGET_BYTES_MAX;
		g_array_append_vals(message->hashes, hash, 1);
	}
	if (message->hashes->len || message->members->len ||
	    message->targets->len) {
		request_(m, message);
		return;
	}
	mmx_sync_message_destroy(message);
	end_(m);
}

/* Merges records; those that are older than the own ones are answered with
 * the own ones, tombstones included. */
static void apply_records_(mmx_membership_t *m,
			   const mmx_sync_message_t *message,
			   mmx_node_id_t from, selection_t *answer)
{
	guint i;

	m->bulk = message->members->len + message->targets->len > SPREAD_MAX;
	for (i = 0; i < message->members->len; i++)
		mmx_membership_apply_member(
			m, &g_array_index(message->members, mmx_member_t, i),
			from);
	for (i = 0; i < message->targets->len; i++) {
		const mmx_target_record_t *record = &g_array_index(
			message->targets, mmx_target_record_t, i);
		const mmx_directory_target_t *known;

		if (mmx_membership_apply_target(m, record))
			continue;
		known = mmx_directory_find(m->directory, record->id);
		if (!known ||
		    mmx_directory_target_version(known) <= record->version)
			continue;
		if (answer)
			add_record_(answer, record->id);
		else
			mmx_broadcast_add(m->target_updates, record->id, 0,
					  true);
	}
	m->bulk = false;
}

static mmx_sync_message_t *serve_records_(mmx_membership_t *m,
					  const mmx_sync_message_t *request)
{
	mmx_sync_message_t *reply =
		mmx_sync_message_create(MMX_SYNC_RECORDS, request->salt);
	size_t bytes = 0;
	selection_t selection = {.m = m, .reply = reply, .bytes = &bytes};
	size_t at = 0;

	selection.hashes = g_hash_table_new(NULL, NULL);
	while (at < request->hashes->len) {
		unsigned int b =
			g_array_index(request->hashes, mmx_sync_hash_t, at)
				.bucket;

		at = take_run_(request->hashes, at, b, selection.hashes);
		selection.members = b < FIRST_TARGET_BUCKET;
		visit_(m, b, request->salt, select_wanted_, &selection);
	}
	g_hash_table_destroy(selection.hashes);
	selection.members = false;
	apply_records_(m, request, 0, &selection);
	return reply;
}

bool mmx_membership_sync_serve(mmx_membership_t *membership,
			       const uint8_t *data, size_t size,
			       uint8_t **reply, size_t *reply_size)
{
	mmx_membership_t *m = membership;
	mmx_sync_message_t *request = mmx_sync_decode(data, size);
	mmx_sync_message_t *answer = NULL;

	*reply = NULL;
	if (request && request->kind == MMX_SYNC_DIGESTS)
		answer = serve_digests_(m, request);
	else if (request && request->kind == MMX_SYNC_RECORDS)
		answer = serve_records_(m, request);
	if (answer)
		*reply = mmx_sync_encode(answer, MMX_SYNC_MESSAGE_MAX,
					 reply_size);
	else
		mmx_counter_add(m->counters.sync_malformed, 1);
	mmx_sync_message_destroy(request);
	mmx_sync_message_destroy(answer);
	return *reply != NULL;
}

bool mmx_membership_sync_reply(mmx_membership_t *membership, mmx_node_id_t peer,
			       const uint8_t *data, size_t size)
{
	mmx_membership_t *m = membership;
	mmx_sync_session_t *session = m->session;
	mmx_sync_message_t *message;
	mmx_sync_kind_t expected;

	if (!session || session->peer != peer)
		return true;
	message = mmx_sync_decode(data, size);
	expected = session->records ? MMX_SYNC_RECORDS : MMX_SYNC_HASHES;
	if (!message || message->kind != expected ||
	    message->salt != session->salt) {
		mmx_counter_add(m->counters.sync_malformed, 1);
		mmx_sync_message_destroy(message);
		end_(m);
		return false;
	}
	if (!session->records)
		compare_(m, message);
	else
		apply_records_(m, message, peer, NULL);
	session->records = true;
	mmx_sync_message_destroy(message);
	exchange_(m);
	return true;
}

void mmx_membership_sync_failed(mmx_membership_t *membership,
				mmx_node_id_t peer)
{
	if (membership->session && membership->session->peer == peer)
		end_(membership);
}
