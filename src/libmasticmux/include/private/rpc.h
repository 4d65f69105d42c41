/*
 * ONC RPC forms (RFC 5531): record marking and the headers of calls and
 * replies. Works on memory and evbuffers only; sockets are in connection.h.
 *
 * A record is a header, then the arguments or results. The header has a fixed
 * size for each form, because the credential is always empty and the verifier
 * is either empty or MMX_RPC_VERIFIER_BYTES long.
 */
#ifndef MASTICMUX_PRIVATE_RPC_H
#define MASTICMUX_PRIVATE_RPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "masticmux/error.h"

struct evbuffer;

#define MMX_RPC_PROGRAM 0x20004d58U
#define MMX_RPC_VERSION 1U
/* Flavor of the verifier; from the range that is not assigned centrally. */
#define MMX_RPC_FLAVOR 0x20004d58U

/* Length of a record without its fragment headers, bytes. */
#define MMX_RPC_RECORD_MAX (1024 * 1024)
/* Bounds the work that empty fragments can cause. */
#define MMX_RPC_FRAGMENTS_MAX 256
#define MMX_RPC_MARK_BYTES 4
#define MMX_RPC_SEQUENCE_BYTES 8
#define MMX_RPC_DIGEST_BYTES 16
#define MMX_RPC_VERIFIER_BYTES (MMX_RPC_SEQUENCE_BYTES + MMX_RPC_DIGEST_BYTES)
/* Longest header: a call with a verifier. */
#define MMX_RPC_HEADER_MAX (40 + MMX_RPC_VERIFIER_BYTES)

/* Procedures over TCP, in the order of their numbers. */
typedef enum mmx_procedure_t {
	MMX_PROCEDURE_NULL,
	MMX_PROCEDURE_HELLO,
	MMX_PROCEDURE_EXECUTE,
	MMX_PROCEDURE_BODY,
	MMX_PROCEDURE_RESPONSE_BODY,
	MMX_PROCEDURE_WINDOW,
	MMX_PROCEDURE_CANCEL,
	MMX_PROCEDURE_FENCE,
	MMX_PROCEDURE_EVIDENCE,
	MMX_PROCEDURE_CONFIG_PULL,
	MMX_PROCEDURE_CONFIG_LOAD,
	MMX_PROCEDURE_DIRECTORY_SYNC,
	MMX_PROCEDURE_STOP,
	MMX_PROCEDURE_CLAIM,
	/* One-way: response of an attempt that came by another connection. */
	MMX_PROCEDURE_RESPONSE,
	MMX_PROCEDURE_STORE_NEWS,
	/* Token requests of accounts with a rate, see quota.h. */
	MMX_PROCEDURE_QUOTA,
	MMX_PROCEDURE_STORE_BLOCK,
	MMX_PROCEDURE_COUNT
} mmx_procedure_t;

extern const char *const mmx_procedure_string[MMX_PROCEDURE_COUNT];

/* accept_stat of a reply; the values are those of RFC 5531. */
typedef enum mmx_rpc_status_t {
	MMX_RPC_SUCCESS,
	MMX_RPC_PROGRAM_UNAVAILABLE,
	MMX_RPC_PROGRAM_MISMATCH,
	MMX_RPC_PROCEDURE_UNAVAILABLE,
	MMX_RPC_GARBAGE_ARGUMENTS,
	MMX_RPC_SYSTEM_ERROR,
	MMX_RPC_STATUS_COUNT
} mmx_rpc_status_t;

extern const char *const mmx_rpc_status_string[MMX_RPC_STATUS_COUNT];

typedef struct mmx_rpc_header_t {
	uint32_t xid;
	bool reply;
	bool verified;		 /* carries a verifier */
	uint32_t procedure;	 /* calls */
	mmx_rpc_status_t status; /* replies */
	uint64_t sequence;	 /* of the verifier */
	uint8_t digest[MMX_RPC_DIGEST_BYTES];
} mmx_rpc_header_t;

/* Size of the encoded header in bytes, and where its digest starts. */
size_t mmx_rpc_header_size(const mmx_rpc_header_t *header);
size_t mmx_rpc_digest_at(const mmx_rpc_header_t *header);

/* Writes mmx_rpc_header_size() bytes. */
void mmx_rpc_header_encode(const mmx_rpc_header_t *header, uint8_t *bytes);

/* False, with the reason, for anything but a header of this program. */
bool mmx_rpc_header_decode(const uint8_t *bytes, size_t size,
			   mmx_rpc_header_t *header, mmx_error_t *error);

/* Fragment header of a record that is sent as a single fragment. */
void mmx_rpc_mark_encode(size_t record_size, uint8_t *bytes);

typedef enum mmx_record_result_t {
	MMX_RECORD_MORE,      /* wait for more input */
	MMX_RECORD_WHOLE,     /* the record is complete */
	MMX_RECORD_OVERSIZE,  /* longer than MMX_RPC_RECORD_MAX */
	MMX_RECORD_FRAGMENTS, /* more than MMX_RPC_FRAGMENTS_MAX fragments */
	MMX_RECORD_RESULT_COUNT
} mmx_record_result_t;

extern const char *const mmx_record_result_string[MMX_RECORD_RESULT_COUNT];

/* Joins the fragments of the records of one connection. */
typedef struct mmx_record_reader_t {
	struct evbuffer *record; /* fragments so far */
	size_t fragment_left;	 /* bytes */
	size_t fragments;
	bool in_fragment;
	bool last;
} mmx_record_reader_t;

void mmx_record_reader_init(mmx_record_reader_t *reader);
void mmx_record_reader_finish(mmx_record_reader_t *reader);

/*
 * Takes one record from the input. After MMX_RECORD_WHOLE the record is in
 * reader->record; the caller empties it before the next call. After an
 * oversize result the reader may only be finished.
 */
mmx_record_result_t mmx_record_read(mmx_record_reader_t *reader,
				    struct evbuffer *input);

/* True between the first byte of a record and its last one. */
bool mmx_record_reader_busy(const mmx_record_reader_t *reader);

#endif
