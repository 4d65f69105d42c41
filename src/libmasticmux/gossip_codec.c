#include "masticmux/gossip_codec.h"

#include <assert.h>
#include <glib.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

#include "private/gossip_xdr.h"

#define RPC_CALL 0U
#define RPC_MESSAGE_VERSION 2U
#define AUTH_FLAVOR_NONE 0U
/* Flavor of the verifier, from the range that is not assigned. */
#define AUTH_FLAVOR_FLEET 0x20004d58U
#define VERIFIER_MAX 64
/* Senders known at a time: twice the design size and a day of restarts. */
#define REPLAY_SENDERS_MAX 32768
#define REPLAY_IDLE (24 * 3600 * MMX_US_PER_S)

const char *const mmx_gossip_procedure_string[MMX_GOSSIP_PROCEDURE_COUNT] = {
	"ping",
	"ack",
	"ping_req",
	"news",
};

const char *const mmx_gossip_reject_string[MMX_GOSSIP_REJECT_COUNT] = {
	"accepted",	  "too_long",	"bad_rpc",	"bad_verifier",
	"unknown_key",	  "bad_digest", "bad_body",	"bad_record",
	"trailing_bytes", "replayed",	"not_loopback",
};

static size_t text_size_(const char *text)
{
	return 4 + (strlen(text) + 3) / 4 * 4;
}

static size_t address_size_(const mmx_address_t *address)
{
	return 4 + (address->port ? text_size_(address->host) : 0);
}

size_t mmx_gossip_member_size(const mmx_member_t *member)
{
	return 8 + 4 + 4 + 8 + text_size_(member->name) +
	       address_size_(&member->nodes) +
	       address_size_(&member->operators) + text_size_(member->region) +
	       text_size_(member->zone);
}

size_t mmx_gossip_target_size(const mmx_target_record_t *target)
{
	return 4 * 8 + 4 + text_size_(target->name) +
	       text_size_(target->service);
}

/* RPC call header up to the credential (RFC 5531, section 9). */
static bool xdr_call_(XDR *xdrs, mmx_gossip_message_t *message)
{
	uint32_t word[7] = {RPC_CALL,
			    RPC_MESSAGE_VERSION,
			    MMX_RPC_PROGRAM,
			    MMX_RPC_VERSION,
			    message->procedure,
			    AUTH_FLAVOR_NONE,
			    0};
	uint32_t expected[7];
	size_t i;

	memcpy(expected, word, sizeof(word));
	if (!xdr_uint32_t(xdrs, &message->xid))
		return false;
	for (i = 0; i < G_N_ELEMENTS(word); i++) {
		if (!xdr_uint32_t(xdrs, &word[i]))
			return false;
	}
	expected[4] = word[4];
	if (memcmp(word, expected, sizeof(word)) != 0 ||
	    word[4] < MMX_GOSSIP_PING || word[4] > MMX_GOSSIP_NEWS)
		return false;
	message->procedure = (mmx_gossip_procedure_t)word[4];
	return true;
}

/* The length of the verifier depends on the key id only. */
static bool xdr_verifier_(XDR *xdrs, mmx_gossip_message_t *message,
			  char *key_id, uint8_t *digest, u_int *digest_at)
{
	uint32_t flavor = AUTH_FLAVOR_FLEET;
	uint32_t size =
		(uint32_t)(text_size_(key_id) + 3 * 8) + MMX_DIGEST_BYTES;
	u_int start;

	if (!xdr_uint32_t(xdrs, &flavor) || flavor != AUTH_FLAVOR_FLEET ||
	    !xdr_uint32_t(xdrs, &size) || size > VERIFIER_MAX)
		return false;
	start = xdr_getpos(xdrs);
	if (!xdr_string(xdrs, &key_id, MMX_FLEET_KEY_ID_MAX) ||
	    !xdr_uint64_t(xdrs, &message->sender) ||
	    !xdr_uint64_t(xdrs, &message->incarnation) ||
	    !xdr_uint64_t(xdrs, &message->sequence))
		return false;
	*digest_at = xdr_getpos(xdrs);
	return xdr_opaque(xdrs, (char *)digest, MMX_DIGEST_BYTES) &&
	       xdr_getpos(xdrs) - start == size && message->sender &&
	       message->incarnation;
}

static bool xdr_count_(XDR *xdrs, size_t *count, size_t max)
{
	uint32_t value = (uint32_t)*count;

	if (!xdr_uint32_t(xdrs, &value) || value > max)
		return false;
	*count = value;
	return true;
}

static bool xdr_age_(XDR *xdrs, mmx_time_t *age)
{
	uint64_t value = (uint64_t)*age;

	if (!xdr_uint64_t(xdrs, &value) || value > MMX_TIME_NEVER)
		return false;
	*age = (mmx_time_t)value;
	return true;
}

static bool xdr_body_(XDR *xdrs, mmx_gossip_message_t *message)
{
	return xdr_uint32_t(xdrs, &message->flags) &&
	       (message->flags & ~MMX_GOSSIP_FLAGS_ALL) == 0 &&
	       xdr_uint32_t(xdrs, &message->refutation) &&
	       xdr_uint64_t(xdrs, &message->recipient) &&
	       xdr_uint64_t(xdrs, &message->subject) &&
	       xdr_uint64_t(xdrs, &message->offset) &&
	       xdr_age_(xdrs, &message->ages.confirmed) &&
	       xdr_age_(xdrs, &message->ages.reader) &&
	       xdr_count_(xdrs, &message->member_count, MMX_DATAGRAM_MEMBERS) &&
	       xdr_count_(xdrs, &message->opinion_count,
			  MMX_DATAGRAM_OPINIONS) &&
	       xdr_count_(xdrs, &message->target_count, MMX_DATAGRAM_TARGETS);
}

static bool xdr_updates_(XDR *xdrs, mmx_gossip_message_t *message)
{
	size_t i;

	for (i = 0; i < message->member_count; i++) {
		if (!mmx_xdr_member(xdrs, &message->members[i]))
			return false;
	}
	for (i = 0; i < message->opinion_count; i++) {
		if (!mmx_xdr_opinion(xdrs, &message->opinions[i]))
			return false;
	}
	for (i = 0; i < message->target_count; i++) {
		if (!mmx_xdr_target(xdrs, &message->targets[i]))
			return false;
	}
	return true;
}

static void sign_(const mmx_fleet_key_t *key, const uint8_t *data, size_t size,
		  uint8_t *digest)
{
	uint8_t full[EVP_MAX_MD_SIZE];
	unsigned int length = 0;

	HMAC(EVP_sha256(), key->secret, MMX_FLEET_KEY_BYTES, data, size, full,
	     &length);
	assert(length >= MMX_DIGEST_BYTES);
	memcpy(digest, full, MMX_DIGEST_BYTES);
}

size_t mmx_gossip_encode(const mmx_gossip_message_t *message,
			 const mmx_fleet_key_t *key, uint8_t *out)
{
	/* XDR filters take pointers to non-const and leave the data alone
	 * when they encode. */
	mmx_gossip_message_t *source = (mmx_gossip_message_t *)message;
	uint8_t digest[MMX_DIGEST_BYTES] = {0};
	char key_id[MMX_FLEET_KEY_ID_MAX + 1] = "";
	u_int digest_at = 0;
	size_t size = 0;
	XDR xdrs;

	if (key)
		g_strlcpy(key_id, key->id, sizeof(key_id));
	xdrmem_create(&xdrs, (char *)out, MMX_DATAGRAM_MAX, XDR_ENCODE);
	if (xdr_call_(&xdrs, source) &&
	    xdr_verifier_(&xdrs, source, key_id, digest, &digest_at) &&
	    xdr_body_(&xdrs, source) && xdr_updates_(&xdrs, source))
		size = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (size && key)
		sign_(key, out, size, out + digest_at);
	return size;
}

static mmx_gossip_reject_t verify_(const uint8_t *data, size_t size,
				   const mmx_fleet_key_t *keys,
				   size_t key_count, const char *key_id,
				   const uint8_t *digest, u_int digest_at)
{
	uint8_t copy[MMX_DATAGRAM_MAX];
	uint8_t expected[MMX_DIGEST_BYTES];
	size_t i;

	if (key_count == 0)
		return key_id[0] ? MMX_GOSSIP_UNKNOWN_KEY : MMX_GOSSIP_ACCEPTED;
	for (i = 0; i < key_count; i++) {
		if (strcmp(keys[i].id, key_id) != 0)
			continue;
		memcpy(copy, data, size);
		memset(copy + digest_at, 0, MMX_DIGEST_BYTES);
		sign_(&keys[i], copy, size, expected);
		return CRYPTO_memcmp(expected, digest, MMX_DIGEST_BYTES) == 0
			       ? MMX_GOSSIP_ACCEPTED
			       : MMX_GOSSIP_BAD_DIGEST;
	}
	return MMX_GOSSIP_UNKNOWN_KEY;
}

static mmx_gossip_reject_t decode_(XDR *xdrs, const uint8_t *data, size_t size,
				   const mmx_fleet_key_t *keys,
				   size_t key_count,
				   mmx_gossip_message_t *message)
{
	uint8_t digest[MMX_DIGEST_BYTES];
	char key_id[MMX_FLEET_KEY_ID_MAX + 1] = "";
	u_int digest_at = 0;
	mmx_gossip_reject_t reject;

	if (!xdr_call_(xdrs, message))
		return MMX_GOSSIP_BAD_RPC;
	if (!xdr_verifier_(xdrs, message, key_id, digest, &digest_at))
		return MMX_GOSSIP_BAD_VERIFIER;
	reject =
		verify_(data, size, keys, key_count, key_id, digest, digest_at);
	if (reject != MMX_GOSSIP_ACCEPTED)
		return reject;
	if (!xdr_body_(xdrs, message))
		return MMX_GOSSIP_BAD_BODY;
	if (!xdr_updates_(xdrs, message))
		return MMX_GOSSIP_BAD_RECORD;
	return xdr_getpos(xdrs) == size ? MMX_GOSSIP_ACCEPTED
					: MMX_GOSSIP_TRAILING_BYTES;
}

mmx_gossip_reject_t mmx_gossip_decode(const uint8_t *data, size_t size,
				      const mmx_fleet_key_t *keys,
				      size_t key_count,
				      mmx_gossip_message_t *message)
{
	mmx_gossip_reject_t reject;
	XDR xdrs;

	if (size > MMX_DATAGRAM_MAX)
		return MMX_GOSSIP_TOO_LONG;
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	reject = decode_(&xdrs, data, size, keys, key_count, message);
	xdr_destroy(&xdrs);
	return reject;
}

typedef struct window_t {
	uint64_t sender; /* with the incarnation the key of the table */
	uint64_t incarnation;
	uint64_t highest;
	uint64_t seen; /* bit n: highest - n */
	mmx_time_t used;
} window_t;

struct mmx_replay_t {
	mmx_clock_t *clock;
	GHashTable *windows;
};

static guint hash_window_(gconstpointer key)
{
	const window_t *window = key;

	return (guint)(window->sender ^ window->incarnation);
}

static gboolean equal_window_(gconstpointer a, gconstpointer b)
{
	const window_t *left = a;
	const window_t *right = b;

	return left->sender == right->sender &&
	       left->incarnation == right->incarnation;
}

mmx_replay_t *mmx_replay_create(mmx_clock_t *clock)
{
	mmx_replay_t *replay = g_new0(mmx_replay_t, 1);

	assert(clock);
	replay->clock = clock;
	replay->windows = g_hash_table_new_full(hash_window_, equal_window_,
						g_free, NULL);
	return replay;
}

void mmx_replay_destroy(mmx_replay_t *replay)
{
	if (!replay)
		return;
	g_hash_table_destroy(replay->windows);
	g_free(replay);
}

static gboolean idle_(gpointer key, gpointer value, gpointer arg)
{
	const window_t *window = key;
	const mmx_time_t *now = arg;

	return *now - window->used > REPLAY_IDLE;
}

static window_t *window_(mmx_replay_t *replay, const window_t *key,
			 mmx_time_t now)
{
	window_t *window = g_hash_table_lookup(replay->windows, key);

	if (window)
		return window;
	if (g_hash_table_size(replay->windows) >= REPLAY_SENDERS_MAX &&
	    g_hash_table_foreach_remove(replay->windows, idle_, &now) == 0)
		return NULL;
	window = g_new0(window_t, 1);
	window->sender = key->sender;
	window->incarnation = key->incarnation;
	g_hash_table_add(replay->windows, window);
	return window;
}

bool mmx_replay_accept(mmx_replay_t *replay, mmx_node_id_t sender,
		       mmx_incarnation_t incarnation, uint64_t sequence)
{
	window_t key = {.sender = sender, .incarnation = incarnation};
	mmx_time_t now = mmx_clock_now(replay->clock);
	window_t *window = window_(replay, &key, now);
	uint64_t distance;

	if (!window)
		return false;
	window->used = now;
	if (sequence > window->highest) {
		distance = sequence - window->highest;
		window->seen = distance >= MMX_REPLAY_WINDOW
				       ? 0
				       : window->seen << distance;
		window->seen |= 1;
		window->highest = sequence;
		return true;
	}
	distance = window->highest - sequence;
	if (distance >= MMX_REPLAY_WINDOW || window->seen >> distance & 1)
		return false;
	window->seen |= 1ULL << distance;
	return true;
}
