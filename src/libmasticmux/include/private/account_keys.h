/**
 * Account keys: table from the keys of client accounts to their owners.
 *
 * It holds no key, only a keyed digest of a part of the SHA-256 digest of each,
 * so that keys can be configured in plain text or as SHA-256 digests. The
 * secret of the keyed digest is generated when the first key is added or looked
 * up, and never leaves the process: a table alone, without the secret, gives
 * away no key and cannot be compared with that of another process. Because the
 * secret also determines the position in the table, the time of a look-up tells
 * a caller nothing about the keys that exist; digests are compared in constant
 * time.
 *
 * Usage: create, add and remove keys, find, destroy.
 */
#ifndef MASTICMUX_PRIVATE_ACCOUNT_KEYS_H
#define MASTICMUX_PRIVATE_ACCOUNT_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Leading bytes of the SHA-256 digest of a key that identify it. */
#define MMX_KEY_DIGEST_BYTES 16

typedef struct mmx_account_keys_t mmx_account_keys_t;

/** Creates an empty table. Ends the process if OpenSSL has no random bytes or
 *  lacks the digests. */
mmx_account_keys_t *mmx_account_keys_create(void);
void mmx_account_keys_destroy(mmx_account_keys_t *keys);

/**
 * Computes what identifies a key: the first bytes of its SHA-256 digest.
 *
 * @param length  of key, bytes
 */
void mmx_account_keys_digest(const mmx_account_keys_t *keys, const char *key,
			     size_t length,
			     uint8_t digest[MMX_KEY_DIGEST_BYTES]);

/**
 * Adds a key of an owner; nothing is added if the owner has it already.
 *
 * @param owner  not NULL, asserted; not read
 * @return false if another owner has the key too: it then identifies neither
 */
bool mmx_account_keys_add(mmx_account_keys_t *keys,
			  const uint8_t digest[MMX_KEY_DIGEST_BYTES],
			  const void *owner);

/** Removes a key of an owner; nothing happens if the owner does not have it. */
void mmx_account_keys_remove(mmx_account_keys_t *keys,
			     const uint8_t digest[MMX_KEY_DIGEST_BYTES],
			     const void *owner);

/**
 * Finds the owner of a key.
 *
 * @param length  of key, bytes
 * @return NULL if no owner or more than one has the key
 */
const void *mmx_account_keys_find(const mmx_account_keys_t *keys,
				  const char *key, size_t length);

/** Number of keys; a key counts once for each of its owners. */
size_t mmx_account_keys_count(const mmx_account_keys_t *keys);

/** Bytes of memory that the table uses. */
size_t mmx_account_keys_bytes(const mmx_account_keys_t *keys);

#endif
