#include "private/rpc.h"

#include <assert.h>
#include <event2/buffer.h>
#include <rpc/rpc.h>
#include <string.h>

/* Top bit of a fragment header: the last fragment of the record. */
#define LAST_FRAGMENT 0x80000000U
#define UNIT BYTES_PER_XDR_UNIT

const char *const mmx_procedure_string[MMX_PROCEDURE_COUNT] = {
	"null",		 "hello",	"execute",     "body",
	"response-body", "window",	"cancel",      "fence",
	"evidence",	 "config-pull", "config-load", "directory-sync",
	"stop",		 "claim",	"response",    "store-news",
	"quota",	 "store-block",
};

const char *const mmx_rpc_status_string[MMX_RPC_STATUS_COUNT] = {
	"success",	     "program-unavailable",
	"program-mismatch",  "procedure-unavailable",
	"garbage-arguments", "system-error",
};

const char *const mmx_record_result_string[MMX_RECORD_RESULT_COUNT] = {
	"more",
	"whole",
	"oversize",
	"fragments",
};

/* Offset of the verifier: after the empty credential, or after reply_stat. */
static size_t verifier_at_(const mmx_rpc_header_t *header)
{
	return header->reply ? 3 * UNIT : 8 * UNIT;
}

size_t mmx_rpc_header_size(const mmx_rpc_header_t *header)
{
	return verifier_at_(header) + 2 * UNIT +
	       (header->verified ? MMX_RPC_VERIFIER_BYTES : 0) +
	       (header->reply ? UNIT : 0);
}

size_t mmx_rpc_digest_at(const mmx_rpc_header_t *header)
{
	return verifier_at_(header) + 2 * UNIT + MMX_RPC_SEQUENCE_BYTES;
}

static bool verifier_(XDR *xdrs, mmx_rpc_header_t *header)
{
	uint32_t flavor = header->verified ? MMX_RPC_FLAVOR : AUTH_NONE;
	uint32_t length = header->verified ? MMX_RPC_VERIFIER_BYTES : 0;

	if (!xdr_uint32_t(xdrs, &flavor) || !xdr_uint32_t(xdrs, &length))
		return false;
	header->verified = flavor == MMX_RPC_FLAVOR;
	if (!header->verified)
		return flavor == AUTH_NONE && length == 0;
	return length == MMX_RPC_VERIFIER_BYTES &&
	       xdr_uint64_t(xdrs, &header->sequence) &&
	       xdr_opaque(xdrs, (char *)header->digest, MMX_RPC_DIGEST_BYTES);
}

/* Encodes a constant, or decodes a word and compares it. */
static bool constant_(XDR *xdrs, uint32_t constant)
{
	uint32_t word = constant;

	return xdr_uint32_t(xdrs, &word) && word == constant;
}

static bool call_(XDR *xdrs, mmx_rpc_header_t *header)
{
	return constant_(xdrs, RPC_MSG_VERSION) &&
	       constant_(xdrs, MMX_RPC_PROGRAM) &&
	       constant_(xdrs, MMX_RPC_VERSION) &&
	       xdr_uint32_t(xdrs, &header->procedure) &&
	       constant_(xdrs, AUTH_NONE) && constant_(xdrs, 0) &&
	       verifier_(xdrs, header);
}

static bool reply_(XDR *xdrs, mmx_rpc_header_t *header)
{
	uint32_t status = header->status;

	if (!constant_(xdrs, MSG_ACCEPTED) || !verifier_(xdrs, header) ||
	    !xdr_uint32_t(xdrs, &status) || status >= MMX_RPC_STATUS_COUNT)
		return false;
	header->status = status;
	return true;
}

static bool header_(XDR *xdrs, mmx_rpc_header_t *header)
{
	uint32_t type = header->reply ? REPLY : CALL;

	if (!xdr_uint32_t(xdrs, &header->xid) || !xdr_uint32_t(xdrs, &type) ||
	    (type != CALL && type != REPLY))
		return false;
	header->reply = type == REPLY;
	return header->reply ? reply_(xdrs, header) : call_(xdrs, header);
}

void mmx_rpc_header_encode(const mmx_rpc_header_t *header, uint8_t *bytes)
{
	mmx_rpc_header_t copy = *header;
	XDR xdrs;
	bool done;

	xdrmem_create(&xdrs, (char *)bytes, MMX_RPC_HEADER_MAX, XDR_ENCODE);
	done = header_(&xdrs, &copy);
	assert(done);
	(void)done;
	xdr_destroy(&xdrs);
}

bool mmx_rpc_header_decode(const uint8_t *bytes, size_t size,
			   mmx_rpc_header_t *header, mmx_error_t *error)
{
	XDR xdrs;
	bool done;

	memset(header, 0, sizeof(*header));
	if (size > MMX_RPC_HEADER_MAX)
		size = MMX_RPC_HEADER_MAX;
	xdrmem_create(&xdrs, (char *)bytes, (unsigned int)size, XDR_DECODE);
	done = header_(&xdrs, header);
	xdr_destroy(&xdrs);
	if (!done)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "not a call or reply of this program");
	return true;
}

void mmx_rpc_mark_encode(size_t record_size, uint8_t *bytes)
{
	uint32_t mark = htonl(LAST_FRAGMENT | (uint32_t)record_size);

	assert(record_size <= MMX_RPC_RECORD_MAX);
	memcpy(bytes, &mark, sizeof(mark));
}

void mmx_record_reader_init(mmx_record_reader_t *reader)
{
	*reader = (mmx_record_reader_t){.record = evbuffer_new()};
}

void mmx_record_reader_finish(mmx_record_reader_t *reader)
{
	evbuffer_free(reader->record);
	reader->record = NULL;
}

static mmx_record_result_t read_mark_(mmx_record_reader_t *reader,
				      struct evbuffer *input)
{
	uint32_t mark;

	if (evbuffer_get_length(input) < MMX_RPC_MARK_BYTES)
		return MMX_RECORD_MORE;
	evbuffer_remove(input, &mark, sizeof(mark));
	mark = ntohl(mark);
	reader->in_fragment = true;
	reader->last = (mark & LAST_FRAGMENT) != 0;
	reader->fragment_left = mark & ~LAST_FRAGMENT;
	reader->fragments++;
	if (reader->fragment_left >
	    MMX_RPC_RECORD_MAX - evbuffer_get_length(reader->record))
		return MMX_RECORD_OVERSIZE;
	if (reader->fragments > MMX_RPC_FRAGMENTS_MAX)
		return MMX_RECORD_FRAGMENTS;
	return MMX_RECORD_WHOLE;
}

mmx_record_result_t mmx_record_read(mmx_record_reader_t *reader,
				    struct evbuffer *input)
{
	mmx_record_result_t result;

	for (;;) {
		if (!reader->in_fragment) {
			result = read_mark_(reader, input);
			if (result != MMX_RECORD_WHOLE)
				return result;
		}
		/* A fragment is moved at once, which moves whole chains. */
		if (evbuffer_get_length(input) < reader->fragment_left)
			return MMX_RECORD_MORE;
		evbuffer_remove_buffer(input, reader->record,
				       reader->fragment_left);
		reader->in_fragment = false;
		if (!reader->last)
			continue;
		reader->fragments = 0;
		return MMX_RECORD_WHOLE;
	}
}

bool mmx_record_reader_busy(const mmx_record_reader_t *reader)
{
	return reader->in_fragment || reader->fragments > 0;
}
