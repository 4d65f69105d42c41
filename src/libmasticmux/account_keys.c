#include "private/account_keys.h"

#include <assert.h>
#include <glib.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>
#include <string.h>

#define SECRET_BYTES 32
#define SLOTS_MIN 16
/* The table grows by a quarter when more than 4/5 of its slots are in use: 30
 * to 38 bytes a key, and a look-up reads two or three neighbouring slots. */
#define LOAD_PARTS 5
#define LOAD_MAX_PARTS 4
#define GROWTH_DIVISOR 4

/* Slots are probed in order from the position of the digest. */
typedef struct key_slot_t {
	uint8_t digest[MMX_KEY_DIGEST_BYTES]; /* keyed */
	const void *owner;		      /* NULL: the slot is free */
} key_slot_t;

struct mmx_account_keys_t {
	key_slot_t *slots;
	size_t slot_count;
	size_t count;
	EVP_MD *sha256;
	EVP_MD_CTX *sha256_context;
	EVP_MAC *mac;
	EVP_MAC_CTX *mac_context;
};

static const uint8_t *process_secret_(void)
{
	static uint8_t secret[SECRET_BYTES];
	static bool generated;

	if (!generated && RAND_bytes(secret, sizeof(secret)) != 1)
		g_error("no random bytes for the secret of account keys");
	generated = true;
	return secret;
}

mmx_account_keys_t *mmx_account_keys_create(void)
{
	mmx_account_keys_t *keys = g_new0(mmx_account_keys_t, 1);

	keys->slot_count = SLOTS_MIN;
	keys->slots = g_new0(key_slot_t, keys->slot_count);
	keys->sha256 = EVP_MD_fetch(NULL, "SHA256", NULL);
	keys->sha256_context = EVP_MD_CTX_new();
	keys->mac = EVP_MAC_fetch(NULL, "BLAKE2SMAC", NULL);
	if (keys->mac)
		keys->mac_context = EVP_MAC_CTX_new(keys->mac);
	if (!keys->sha256 || !keys->sha256_context || !keys->mac_context)
		g_error("OpenSSL lacks SHA256 or BLAKE2SMAC");
	return keys;
}

void mmx_account_keys_destroy(mmx_account_keys_t *keys)
{
	if (!keys)
		return;
	EVP_MAC_CTX_free(keys->mac_context);
	EVP_MAC_free(keys->mac);
	EVP_MD_CTX_free(keys->sha256_context);
	EVP_MD_free(keys->sha256);
	g_free(keys->slots);
	g_free(keys);
}

void mmx_account_keys_digest(const mmx_account_keys_t *keys, const char *key,
			     size_t length,
			     uint8_t digest[MMX_KEY_DIGEST_BYTES])
{
	uint8_t full[EVP_MAX_MD_SIZE];

	if (!EVP_DigestInit_ex2(keys->sha256_context, keys->sha256, NULL) ||
	    !EVP_DigestUpdate(keys->sha256_context, key, length) ||
	    !EVP_DigestFinal_ex(keys->sha256_context, full, NULL))
		g_error("SHA256 failed");
	memcpy(digest, full, MMX_KEY_DIGEST_BYTES);
	OPENSSL_cleanse(full, sizeof(full));
}

static void keyed_digest_(const mmx_account_keys_t *keys,
			  const uint8_t digest[MMX_KEY_DIGEST_BYTES],
			  uint8_t out[MMX_KEY_DIGEST_BYTES])
{
	size_t size = MMX_KEY_DIGEST_BYTES;
	const OSSL_PARAM params[] = {
		OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &size),
		OSSL_PARAM_construct_end(),
	};

	if (!EVP_MAC_init(keys->mac_context, process_secret_(), SECRET_BYTES,
			  params) ||
	    !EVP_MAC_update(keys->mac_context, digest, MMX_KEY_DIGEST_BYTES) ||
	    !EVP_MAC_final(keys->mac_context, out, NULL, MMX_KEY_DIGEST_BYTES))
		g_error("BLAKE2SMAC failed");
}

/* First slot for a keyed digest, whose bits are uniformly distributed. */
static size_t home_(const mmx_account_keys_t *keys, const uint8_t *keyed)
{
	uint32_t bits;

	memcpy(&bits, keyed, sizeof(bits));
	return (size_t)(((uint64_t)bits * keys->slot_count) >> 32);
}

static size_t next_(const mmx_account_keys_t *keys, size_t at)
{
	return at + 1 < keys->slot_count ? at + 1 : 0;
}

static bool equal_(const uint8_t *a, const uint8_t *b)
{
	return CRYPTO_memcmp(a, b, MMX_KEY_DIGEST_BYTES) == 0;
}

static void insert_(mmx_account_keys_t *keys, const key_slot_t *slot)
{
	size_t at = home_(keys, slot->digest);

	while (keys->slots[at].owner)
		at = next_(keys, at);
	keys->slots[at] = *slot;
}

static void grow_(mmx_account_keys_t *keys)
{
	key_slot_t *old = keys->slots;
	size_t old_count = keys->slot_count;
	size_t i;

	keys->slot_count += keys->slot_count / GROWTH_DIVISOR;
	keys->slots = g_new0(key_slot_t, keys->slot_count);
	for (i = 0; i < old_count; i++)
		if (old[i].owner)
			insert_(keys, &old[i]);
	g_free(old);
}

bool mmx_account_keys_add(mmx_account_keys_t *keys,
			  const uint8_t digest[MMX_KEY_DIGEST_BYTES],
			  const void *owner)
{
	key_slot_t added = {.owner = owner};
	bool is_only = true;
	size_t at;

	assert(owner);
	keyed_digest_(keys, digest, added.digest);
	at = home_(keys, added.digest);
	for (; keys->slots[at].owner; at = next_(keys, at)) {
		if (!equal_(keys->slots[at].digest, added.digest))
			continue;
		if (keys->slots[at].owner == owner)
			return is_only;
		is_only = false;
	}
	if ((keys->count + 1) * LOAD_PARTS > keys->slot_count * LOAD_MAX_PARTS)
		grow_(keys);
	insert_(keys, &added);
	keys->count++;
	return is_only;
}

/* Slots from one to another in the order of probing. */
static size_t distance_(const mmx_account_keys_t *keys, size_t from, size_t to)
{
	return to >= from ? to - from : to + keys->slot_count - from;
}

/* Frees a slot and moves later ones, so that none becomes unreachable from its
 * first slot. */
static void free_slot_(mmx_account_keys_t *keys, size_t hole)
{
	size_t at = next_(keys, hole);

	for (; keys->slots[at].owner; at = next_(keys, at)) {
		size_t home = home_(keys, keys->slots[at].digest);

		if (distance_(keys, home, at) < distance_(keys, hole, at))
			continue;
		keys->slots[hole] = keys->slots[at];
		hole = at;
	}
	keys->slots[hole] = (key_slot_t){.owner = NULL};
	keys->count--;
}

void mmx_account_keys_remove(mmx_account_keys_t *keys,
			     const uint8_t digest[MMX_KEY_DIGEST_BYTES],
			     const void *owner)
{
	uint8_t keyed[MMX_KEY_DIGEST_BYTES];
	size_t at;

	keyed_digest_(keys, digest, keyed);
	at = home_(keys, keyed);
	for (; keys->slots[at].owner; at = next_(keys, at)) {
		if (keys->slots[at].owner == owner &&
		    equal_(keys->slots[at].digest, keyed)) {
			free_slot_(keys, at);
			return;
		}
	}
}

const void *mmx_account_keys_find(const mmx_account_keys_t *keys,
				  const char *key, size_t length)
{
	uint8_t digest[MMX_KEY_DIGEST_BYTES];
	uint8_t keyed[MMX_KEY_DIGEST_BYTES];
	const void *owner = NULL;
	size_t owners = 0;
	size_t at;

	mmx_account_keys_digest(keys, key, length, digest);
	keyed_digest_(keys, digest, keyed);
	at = home_(keys, keyed);
	for (; keys->slots[at].owner; at = next_(keys, at)) {
		if (equal_(keys->slots[at].digest, keyed)) {
			owner = keys->slots[at].owner;
			owners++;
		}
	}
	return owners == 1 ? owner : NULL;
}

size_t mmx_account_keys_count(const mmx_account_keys_t *keys)
{
	return keys->count;
}

size_t mmx_account_keys_bytes(const mmx_account_keys_t *keys)
{
	return sizeof(*keys) + keys->slot_count * sizeof(key_slot_t);
}
