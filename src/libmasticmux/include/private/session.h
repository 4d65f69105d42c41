/*
 * Session of one connection between two nodes: who the other side is, and the
 * signatures of the records. Does no I/O.
 *
 * The client sends HELLO signed with a fleet key, the server answers with a
 * HELLO signed with the session key, which both derive from the fleet key,
 * both nonces and both node ids. Every later record is signed with the session
 * key and numbered per direction. Without fleet keys nothing is signed, and
 * only loopback peers are accepted.
 *
 * Life: create, mmx_session_hello() and mmx_session_receive_hello() once each
 * (the server receives first), then sign and verify in any order, destroy.
 */
#ifndef MASTICMUX_PRIVATE_SESSION_H
#define MASTICMUX_PRIVATE_SESSION_H

#include "masticmux/settings.h"
#include "private/rpc.h"

#define MMX_NONCE_BYTES 16

/* What a node says about itself, in both directions. */
typedef struct mmx_hello_t {
	char key_id[MMX_FLEET_KEY_ID_MAX + 1]; /* empty without a key */
	uint8_t nonce[MMX_NONCE_BYTES];
	char node_name[MMX_NAME_MAX + 1];
	mmx_node_id_t node;
	mmx_incarnation_t incarnation;
} mmx_hello_t;

typedef enum mmx_session_result_t {
	MMX_SESSION_OK,
	MMX_SESSION_UNKNOWN_KEY,
	MMX_SESSION_WRONG_DIGEST,
	MMX_SESSION_UNSIGNED, /* a verifier is required and absent */
	MMX_SESSION_UNEXPECTED_SIGNATURE, /* a verifier without a key */
	MMX_SESSION_REPLAYED,		  /* sequence number seen before */
	MMX_SESSION_SKIPPED,		  /* sequence number too high */
	MMX_SESSION_NOT_LOOPBACK,	  /* no fleet key and a remote peer */
	MMX_SESSION_IDENTITY_CLASH, /* id and name do not belong together */
	MMX_SESSION_OWN_IDENTITY,   /* the peer claims to be this node */
	MMX_SESSION_WRONG_NODE,	    /* not the node that was dialed */
	MMX_SESSION_OLD_INCARNATION,
	MMX_SESSION_STATE, /* HELLO missing or repeated */
	MMX_SESSION_RESULT_COUNT
} mmx_session_result_t;

extern const char *const mmx_session_result_string[MMX_SESSION_RESULT_COUNT];

typedef enum mmx_session_side_t {
	MMX_SESSION_CLIENT,
	MMX_SESSION_SERVER,
	MMX_SESSION_SIDE_COUNT
} mmx_session_side_t;

extern const char *const mmx_session_side_string[MMX_SESSION_SIDE_COUNT];

/* What is the same for all sessions of a node; outlives them. */
typedef struct mmx_session_identity_t {
	const mmx_fleet_key_t *keys; /* the first one signs HELLO calls */
	size_t key_count;	     /* 0..MMX_FLEET_KEYS_MAX */
	const char *node_name;
	mmx_incarnation_t incarnation;
	bool trusted; /* the network is private: no key is needed */
} mmx_session_identity_t;

/* Whom a client expects; zero members accept anything. */
typedef struct mmx_session_expected_t {
	mmx_node_id_t node;
	mmx_incarnation_t incarnation; /* or a later one */
} mmx_session_expected_t;

/* A record in two pieces: bytes from its start, and the rest of it. */
typedef struct mmx_record_parts_t {
	uint8_t *head; /* the whole RPC header at least */
	size_t head_size;
	struct evbuffer *rest; /* NULL for none */
	size_t rest_skip;      /* bytes of rest that belong to the head */
} mmx_record_parts_t;

typedef struct mmx_session_t mmx_session_t;

/*
 * loopback says whether the other end has a loopback address. The nonce must
 * not have been used before.
 */
mmx_session_t *mmx_session_create(const mmx_session_identity_t *identity,
				  mmx_session_side_t side, bool loopback,
				  const uint8_t nonce[MMX_NONCE_BYTES]);
void mmx_session_destroy(mmx_session_t *session);

/* Client: sets whom mmx_session_receive_hello() accepts. */
void mmx_session_expect(mmx_session_t *session,
			const mmx_session_expected_t *expected);

/* What this side sends; the server calls it after receiving. */
void mmx_session_hello(const mmx_session_t *session, mmx_hello_t *hello);

/*
 * Takes the HELLO of the other side and verifies the record it came in.
 * After MMX_SESSION_OK the session is open.
 */
mmx_session_result_t mmx_session_receive_hello(mmx_session_t *session,
					       const mmx_hello_t *hello,
					       const mmx_rpc_header_t *header,
					       const mmx_record_parts_t *parts);

/* Whether records that are sent now carry a verifier. */
bool mmx_session_signs(const mmx_session_t *session);

bool mmx_session_is_open(const mmx_session_t *session);

/* The other side; valid while the session is open. */
const mmx_hello_t *mmx_session_remote(const mmx_session_t *session);

/*
 * Encodes the header at the start of parts->head and, if the session signs,
 * numbers and signs the record. header->verified must be what
 * mmx_session_signs() says.
 */
void mmx_session_sign(mmx_session_t *session, mmx_rpc_header_t *header,
		      const mmx_record_parts_t *parts);

/* Verifies a received record; anything but OK must close the connection. */
mmx_session_result_t mmx_session_verify(mmx_session_t *session,
					const mmx_rpc_header_t *header,
					const mmx_record_parts_t *parts);

#endif
