#include "private/quota_codec.h"

#include <assert.h>
#include <math.h>
#include <rpc/rpc.h>
#include <string.h>

/* First word of every message; a changed form gets another one. */
#define FORMAT 1
#define HEADER_BYTES (4 + 4)
/* Name length, rate, burst, version, three numbers of tokens, age, hop. */
#define ASK_FIXED_BYTES (4 + 8 + 8 + 8 + 3 * 4 + 4 + 4)
#define ASK_BYTES_MAX (ASK_FIXED_BYTES + MMX_NAME_MAX + 1)
#define ANSWER_BYTES (4 * 4)

const char *const mmx_quota_hop_string[MMX_QUOTA_HOP_COUNT] = {
	"owner", "standby", "relayed", "probe", "active"};

static bool code_header_(XDR *xdr, uint32_t *count)
{
	uint32_t format = FORMAT;

	return xdr_uint32_t(xdr, &format) && format == FORMAT &&
	       xdr_uint32_t(xdr, count) && *count <= MMX_QUOTA_LINES_MAX;
}

static bool code_ask_(XDR *xdr, void *line)
{
	mmx_quota_ask_t *ask = line;
	char *name = ask->account;
	uint32_t hop = ask->hop;

	if (!xdr_string(xdr, &name, MMX_NAME_MAX) ||
	    !xdr_double(xdr, &ask->limit.rate) ||
	    !xdr_double(xdr, &ask->limit.burst) ||
	    !xdr_uint64_t(xdr, &ask->limit.version) ||
	    !xdr_uint32_t(xdr, &ask->wanted) ||
	    !xdr_uint32_t(xdr, &ask->prefetch) ||
	    !xdr_uint32_t(xdr, &ask->given_back) ||
	    !xdr_uint32_t(xdr, &ask->given_back_age_ms) ||
	    !xdr_uint32_t(xdr, &hop))
		return false;
	ask->hop = (mmx_quota_hop_t)hop;
	return hop < MMX_QUOTA_HOP_COUNT;
}

static bool code_answer_(XDR *xdr, void *line)
{
	mmx_quota_answer_t *answer = line;
	uint32_t heard = answer->heard;

	if (!xdr_uint32_t(xdr, &answer->granted) ||
	    !xdr_uint32_t(xdr, &answer->retry_after_ms) ||
	    !xdr_uint32_t(xdr, &answer->use) || !xdr_uint32_t(xdr, &heard))
		return false;
	answer->heard = heard == 1;
	return heard <= 1;
}

bool mmx_quota_is_valid_account(const char *name)
{
	const char *c;

	for (c = name; *c; c++)
		if ((uint8_t)*c < ' ' || *c == 0x7f)
			return false;
	return c != name && c - name <= MMX_NAME_MAX;
}

static bool is_rate_(double value)
{
	return isfinite(value) && value >= 0 && value <= MMX_ACCOUNT_RATE_MAX;
}

static bool is_valid_ask_(const void *line)
{
	const mmx_quota_ask_t *ask = line;

	return mmx_quota_is_valid_account(ask->account) &&
	       is_rate_(ask->limit.rate) && is_rate_(ask->limit.burst) &&
	       ask->wanted <= MMX_QUOTA_TOKENS_MAX &&
	       ask->prefetch <= MMX_QUOTA_TOKENS_MAX &&
	       ask->given_back <= MMX_QUOTA_TOKENS_MAX;
}

static bool is_valid_answer_(const void *line)
{
	const mmx_quota_answer_t *answer = line;

	return answer->granted <= 2 * MMX_QUOTA_TOKENS_MAX &&
	       answer->retry_after_ms <=
		       MMX_QUOTA_RETRY_MAX_US / MMX_US_PER_MS &&
	       answer->use <= MMX_QUOTA_USE_MAX;
}

/* The two kinds of lines; is_valid: of one that was decoded. */
typedef struct line_type_t {
	size_t size;
	size_t bytes_max;
	bool (*code)(XDR *xdr, void *line);
	bool (*is_valid)(const void *line);
} line_type_t;

static const line_type_t ask_type_ = {
	.size = sizeof(mmx_quota_ask_t),
	.bytes_max = ASK_BYTES_MAX,
	.code = code_ask_,
	.is_valid = is_valid_ask_,
};

static const line_type_t answer_type_ = {
	.size = sizeof(mmx_quota_answer_t),
	.bytes_max = ANSWER_BYTES,
	.code = code_answer_,
	.is_valid = is_valid_answer_,
};

static uint8_t *encode_(const line_type_t *type, const void *lines,
			size_t count, size_t *length)
{
	size_t size = HEADER_BYTES + count * type->bytes_max;
	uint8_t *bytes = g_malloc(size);
	uint32_t number = (uint32_t)count;
	/* The XDR functions write to what they encode. */
	union {
		mmx_quota_ask_t ask;
		mmx_quota_answer_t answer;
	} copy;
	bool ok;
	size_t i;
	XDR xdr;

	assert(count <= MMX_QUOTA_LINES_MAX);
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_ENCODE);
	ok = code_header_(&xdr, &number);
	for (i = 0; i < count && ok; i++) {
		memcpy(&copy, (const char *)lines + i * type->size, type->size);
		ok = type->code(&xdr, &copy);
	}
	assert(ok);
	(void)ok;
	*length = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return bytes;
}

static bool decode_(const line_type_t *type, const uint8_t *bytes,
		    size_t length, void *lines, size_t *count)
{
	uint32_t found = 0;
	bool ok;
	size_t i;
	XDR xdr;

	if (length > HEADER_BYTES + MMX_QUOTA_LINES_MAX * type->bytes_max)
		return false;
	xdrmem_create(&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
	ok = code_header_(&xdr, &found);
	for (i = 0; i < found && ok; i++) {
		void *line = (char *)lines + i * type->size;

		memset(line, 0, type->size);
		ok = type->code(&xdr, line) && type->is_valid(line);
	}
	ok = ok && xdr_getpos(&xdr) == length;
	xdr_destroy(&xdr);
	*count = found;
	return ok;
}

uint8_t *mmx_quota_asks_encode(const mmx_quota_ask_t *asks, size_t count,
			       size_t *length)
{
	return encode_(&ask_type_, asks, count, length);
}

uint8_t *mmx_quota_answers_encode(const mmx_quota_answer_t *answers,
				  size_t count, size_t *length)
{
	return encode_(&answer_type_, answers, count, length);
}

bool mmx_quota_asks_decode(const uint8_t *bytes, size_t length,
			   mmx_quota_ask_t *lines, size_t *count)
{
	return decode_(&ask_type_, bytes, length, lines, count);
}

bool mmx_quota_answers_decode(const uint8_t *bytes, size_t length,
			      mmx_quota_answer_t *lines, size_t *count)
{
	return decode_(&answer_type_, bytes, length, lines, count);
}
