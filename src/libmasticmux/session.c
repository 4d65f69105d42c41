#include "private/session.h"

#include <assert.h>
#include <event2/buffer.h>
#include <glib.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <string.h>

#define SHA256_BYTES 32
/* Pieces of an evbuffer that are digested per step. */
#define PEEK_PIECES 16

const char *const mmx_session_result_string[MMX_SESSION_RESULT_COUNT] = {
	"ok",
	"unknown-key",
	"wrong-digest",
	"unsigned",
	"unexpected-signature",
	"replayed",
	"skipped",
	"not-loopback",
	"identity-clash",
	"own-identity",
	"wrong-node",
	"old-incarnation",
	"session-state",
};

const char *const mmx_session_side_string[MMX_SESSION_SIDE_COUNT] = {
	"client",
	"server",
};

struct mmx_session_t {
	const mmx_session_identity_t *identity;
	mmx_session_side_t side;
	bool loopback;
	bool open;
	uint8_t nonce[MMX_NONCE_BYTES];
	const mmx_fleet_key_t *key; /* NULL: records are not signed */
	mmx_session_expected_t expected;
	mmx_hello_t remote;
	EVP_MAC_CTX *mac; /* keyed with the fleet key, then the session key */
	uint64_t next_sent;
	uint64_t next_received;
};

static EVP_MAC_CTX *create_mac_(void)
{
	EVP_MAC *hmac = EVP_MAC_fetch(NULL, "HMAC", NULL);
	EVP_MAC_CTX *mac;

	assert(hmac);
	mac = EVP_MAC_CTX_new(hmac);
	EVP_MAC_free(hmac);
	return mac;
}

static void set_key_(EVP_MAC_CTX *mac, const uint8_t *key, size_t size)
{
	char digest[] = "SHA256";
	OSSL_PARAM params[] = {
		OSSL_PARAM_construct_utf8_string("digest", digest, 0),
		OSSL_PARAM_construct_end(),
	};
	int done = EVP_MAC_init(mac, key, size, params);

	assert(done);
	(void)done;
}

mmx_session_t *mmx_session_create(const mmx_session_identity_t *identity,
				  mmx_session_side_t side, bool loopback,
				  const uint8_t nonce[MMX_NONCE_BYTES])
{
	mmx_session_t *session = g_new0(mmx_session_t, 1);

	assert(identity->key_count <= MMX_FLEET_KEYS_MAX);
	session->identity = identity;
	session->side = side;
	session->loopback = loopback;
	memcpy(session->nonce, nonce, MMX_NONCE_BYTES);
	if (identity->key_count == 0)
		return session;
	session->mac = create_mac_();
	session->key = &identity->keys[0];
	if (side == MMX_SESSION_CLIENT)
		set_key_(session->mac, session->key->secret,
			 MMX_FLEET_KEY_BYTES);
	return session;
}

void mmx_session_destroy(mmx_session_t *session)
{
	if (!session)
		return;
	EVP_MAC_CTX_free(session->mac);
	g_free(session);
}

void mmx_session_expect(mmx_session_t *session,
			const mmx_session_expected_t *expected)
{
	session->expected = *expected;
}

void mmx_session_hello(const mmx_session_t *session, mmx_hello_t *hello)
{
	const mmx_session_identity_t *identity = session->identity;

	memset(hello, 0, sizeof(*hello));
	if (session->key)
		memcpy(hello->key_id, session->key->id, sizeof(hello->key_id));
	memcpy(hello->nonce, session->nonce, MMX_NONCE_BYTES);
	g_strlcpy(hello->node_name, identity->node_name,
		  sizeof(hello->node_name));
	hello->node = mmx_node_id(hello->node_name);
	hello->incarnation = identity->incarnation;
}

static void digest_buffer_(EVP_MAC_CTX *mac, struct evbuffer *buffer,
			   size_t skip)
{
	struct evbuffer_iovec pieces[PEEK_PIECES];
	struct evbuffer_ptr at;
	size_t taken;
	int count;
	int i;

	if (evbuffer_get_length(buffer) <= skip ||
	    evbuffer_ptr_set(buffer, &at, skip, EVBUFFER_PTR_SET) != 0)
		return;
	do {
		count = evbuffer_peek(buffer, -1, &at, pieces, PEEK_PIECES);
		count = MIN(count, PEEK_PIECES);
		taken = 0;
		for (i = 0; i < count; i++) {
			EVP_MAC_update(mac, pieces[i].iov_base,
				       pieces[i].iov_len);
			taken += pieces[i].iov_len;
		}
	} while (count == PEEK_PIECES &&
		 evbuffer_ptr_set(buffer, &at, taken, EVBUFFER_PTR_ADD) == 0);
}

/*
 * Digest of a record without its digest field. The sender's side comes first,
 * so that a record cannot be sent back to its sender.
 */
static void digest_record_(mmx_session_t *session, mmx_session_side_t sender,
			   const mmx_rpc_header_t *header,
			   const mmx_record_parts_t *parts,
			   uint8_t out[SHA256_BYTES])
{
	size_t before = mmx_rpc_digest_at(header);
	size_t after = before + MMX_RPC_DIGEST_BYTES;
	uint8_t side = (uint8_t)sender;
	size_t size = 0;

	assert(parts->head_size >= after);
	EVP_MAC_init(session->mac, NULL, 0, NULL);
	EVP_MAC_update(session->mac, &side, sizeof(side));
	EVP_MAC_update(session->mac, parts->head, before);
	EVP_MAC_update(session->mac, parts->head + after,
		       parts->head_size - after);
	if (parts->rest)
		digest_buffer_(session->mac, parts->rest, parts->rest_skip);
	EVP_MAC_final(session->mac, out, &size, SHA256_BYTES);
}

static mmx_session_side_t other_side_(const mmx_session_t *session)
{
	return session->side == MMX_SESSION_CLIENT ? MMX_SESSION_SERVER
						   : MMX_SESSION_CLIENT;
}

/* Client's nonce, server's nonce, client's node id, server's node id. */
static void derive_key_(mmx_session_t *session)
{
	mmx_hello_t own;
	const mmx_hello_t *client = &own;
	const mmx_hello_t *server = &session->remote;
	uint8_t key[SHA256_BYTES];
	uint64_t ids[2];
	size_t size = 0;

	mmx_session_hello(session, &own);
	if (session->side == MMX_SESSION_SERVER) {
		client = &session->remote;
		server = &own;
	}
	ids[0] = GUINT64_TO_BE(client->node);
	ids[1] = GUINT64_TO_BE(server->node);
	set_key_(session->mac, session->key->secret, MMX_FLEET_KEY_BYTES);
	EVP_MAC_update(session->mac, client->nonce, MMX_NONCE_BYTES);
	EVP_MAC_update(session->mac, server->nonce, MMX_NONCE_BYTES);
	EVP_MAC_update(session->mac, (const uint8_t *)ids, sizeof(ids));
	EVP_MAC_final(session->mac, key, &size, sizeof(key));
	set_key_(session->mac, key, sizeof(key));
	OPENSSL_cleanse(key, sizeof(key));
}

/* The server takes the key that the client names. */
static bool select_key_(mmx_session_t *session, const char *key_id)
{
	const mmx_session_identity_t *identity = session->identity;
	size_t i;

	if (identity->key_count == 0)
		return key_id[0] == '\0';
	if (session->side == MMX_SESSION_CLIENT)
		return session->key && strcmp(session->key->id, key_id) == 0;
	for (i = 0; i < identity->key_count; i++) {
		if (strcmp(identity->keys[i].id, key_id) != 0)
			continue;
		session->key = &identity->keys[i];
		set_key_(session->mac, session->key->secret,
			 MMX_FLEET_KEY_BYTES);
		return true;
	}
	return false;
}

static mmx_session_result_t check_identity_(const mmx_session_t *session,
					    const mmx_hello_t *hello)
{
	const mmx_session_expected_t *expected = &session->expected;

	if (hello->node_name[0] == '\0' ||
	    mmx_node_id(hello->node_name) != hello->node)
		return MMX_SESSION_IDENTITY_CLASH;
	if (hello->node == mmx_node_id(session->identity->node_name))
		return MMX_SESSION_OWN_IDENTITY;
	if (expected->node && expected->node != hello->node)
		return MMX_SESSION_WRONG_NODE;
	if (hello->incarnation < expected->incarnation)
		return MMX_SESSION_OLD_INCARNATION;
	return MMX_SESSION_OK;
}

static mmx_session_result_t check_record_(mmx_session_t *session,
					  const mmx_rpc_header_t *header,
					  const mmx_record_parts_t *parts)
{
	uint8_t digest[SHA256_BYTES];

	if (!session->key)
		return header->verified ? MMX_SESSION_UNEXPECTED_SIGNATURE
					: MMX_SESSION_OK;
	if (!header->verified)
		return MMX_SESSION_UNSIGNED;
	digest_record_(session, other_side_(session), header, parts, digest);
	if (CRYPTO_memcmp(digest, header->digest, MMX_RPC_DIGEST_BYTES) != 0)
		return MMX_SESSION_WRONG_DIGEST;
	if (header->sequence < session->next_received)
		return MMX_SESSION_REPLAYED;
	if (header->sequence > session->next_received)
		return MMX_SESSION_SKIPPED;
	session->next_received++;
	return MMX_SESSION_OK;
}

mmx_session_result_t mmx_session_receive_hello(mmx_session_t *session,
					       const mmx_hello_t *hello,
					       const mmx_rpc_header_t *header,
					       const mmx_record_parts_t *parts)
{
	mmx_session_result_t result;

	if (session->open)
		return MMX_SESSION_STATE;
	if (!session->key && !session->loopback && !session->identity->trusted)
		return MMX_SESSION_NOT_LOOPBACK;
	if (!select_key_(session, hello->key_id))
		return MMX_SESSION_UNKNOWN_KEY;
	session->remote = *hello;
	/* The client's HELLO is signed with the fleet key, the server's with
	 * the session key that follows from both. */
	if (session->key && session->side == MMX_SESSION_CLIENT)
		derive_key_(session);
	result = check_record_(session, header, parts);
	if (result == MMX_SESSION_OK)
		result = check_identity_(session, hello);
	if (result != MMX_SESSION_OK)
		return result;
	if (session->key && session->side == MMX_SESSION_SERVER)
		derive_key_(session);
	session->open = true;
	return MMX_SESSION_OK;
}

bool mmx_session_signs(const mmx_session_t *session)
{
	return session->key != NULL;
}

bool mmx_session_is_open(const mmx_session_t *session)
{
	return session->open;
}

const mmx_hello_t *mmx_session_remote(const mmx_session_t *session)
{
	return &session->remote;
}

void mmx_session_sign(mmx_session_t *session, mmx_rpc_header_t *header,
		      const mmx_record_parts_t *parts)
{
	uint8_t digest[SHA256_BYTES];

	assert(header->verified == mmx_session_signs(session));
	header->sequence = header->verified ? session->next_sent++ : 0;
	mmx_rpc_header_encode(header, parts->head);
	if (!header->verified)
		return;
	digest_record_(session, session->side, header, parts, digest);
	memcpy(header->digest, digest, MMX_RPC_DIGEST_BYTES);
	memcpy(parts->head + mmx_rpc_digest_at(header), digest,
	       MMX_RPC_DIGEST_BYTES);
}

mmx_session_result_t mmx_session_verify(mmx_session_t *session,
					const mmx_rpc_header_t *header,
					const mmx_record_parts_t *parts)
{
	if (!session->open)
		return MMX_SESSION_STATE;
	return check_record_(session, header, parts);
}
