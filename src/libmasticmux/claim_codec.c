#include "private/claim_codec.h"

#include <assert.h>
#include <glib.h>
#include <openssl/evp.h>
#include <rpc/rpc.h>
#include <string.h>

#define FORMAT_VERSION 1
#define CLAIM_XDR_BYTES (MMX_CLAIM_DIGEST_BYTES + 8 * 8)
#define HEADER_XDR_BYTES 8
#define BATCH_XDR_BYTES_MAX \
	(HEADER_XDR_BYTES + MMX_CLAIM_BATCH_MAX * CLAIM_XDR_BYTES)

mmx_claim_digest_t mmx_claim_digest(const char *account, const char *service,
				    const char *key)
{
	unsigned char digest[EVP_MAX_MD_SIZE];
	mmx_claim_digest_t result;
	GString *text = g_string_new(NULL);

	/* Length prefixes, so that ("a", "bc") and ("ab", "c") differ. */
	g_string_append_printf(text, "%zu:%s%zu:%s%zu:%s", strlen(account),
			       account, strlen(service), service, strlen(key),
			       key);
	EVP_Digest(text->str, text->len, digest, NULL, EVP_sha256(), NULL);
	g_string_free(text, TRUE);
	memcpy(result.bytes, digest, sizeof(result.bytes));
	return result;
}

unsigned int mmx_claim_partition(const mmx_claim_digest_t *digest)
{
	return digest->bytes[0] % MMX_CLAIM_PARTITIONS;
}

static bool xdr_u64_(XDR *xdrs, uint64_t *value)
{
	return xdr_uint64_t(xdrs, value);
}

static bool xdr_claim_(XDR *xdrs, mmx_claim_t *claim)
{
	return xdr_opaque(xdrs, (char *)claim->digest.bytes,
			  MMX_CLAIM_DIGEST_BYTES) &&
	       xdr_u64_(xdrs, &claim->attempt.entry) &&
	       xdr_u64_(xdrs, &claim->attempt.incarnation) &&
	       xdr_u64_(xdrs, &claim->attempt.sequence) &&
	       xdr_u64_(xdrs, &claim->exit) &&
	       xdr_u64_(xdrs, &claim->exit_incarnation) &&
	       xdr_u64_(xdrs, &claim->claimed_at) &&
	       xdr_u64_(xdrs, &claim->deadline) &&
	       xdr_u64_(xdrs, &claim->supersedes);
}

static bool xdr_batch_(XDR *xdrs, mmx_claim_t *claims, uint32_t *count)
{
	uint32_t version = FORMAT_VERSION;
	uint32_t i;

	if (!xdr_uint32_t(xdrs, &version) || version != FORMAT_VERSION ||
	    !xdr_uint32_t(xdrs, count) || *count == 0 ||
	    *count > MMX_CLAIM_BATCH_MAX)
		return false;
	for (i = 0; i < *count; i++)
		if (!xdr_claim_(xdrs, &claims[i]))
			return false;
	return true;
}

char *mmx_claims_encode(const mmx_claim_t *claims, size_t count, size_t *length)
{
	char xdr_bytes[BATCH_XDR_BYTES_MAX];
	uint32_t batch_count = (uint32_t)count;
	unsigned int xdr_length;
	bool encoded;
	char *text;
	XDR xdrs;

	assert(count > 0 && count <= MMX_CLAIM_BATCH_MAX);
	xdrmem_create(&xdrs, xdr_bytes, sizeof(xdr_bytes), XDR_ENCODE);
	/* The XDR filters take no const pointer; encoding only reads it. */
	encoded = xdr_batch_(&xdrs, (mmx_claim_t *)claims, &batch_count);
	xdr_length = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	assert(encoded);
	(void)encoded;
	text = g_base64_encode((const guchar *)xdr_bytes, xdr_length);
	*length = strlen(text);
	return text;
}

static bool is_base64_(const char *data, size_t length)
{
	size_t i;

	for (i = 0; i < length; i++)
		if (!g_ascii_isalnum(data[i]) && !strchr("+/=", data[i]))
			return false;
	return length > 0 && length % 4 == 0;
}

size_t mmx_claims_decode(const char *data, size_t length, mmx_claim_t *claims)
{
	uint32_t count = 0;
	gsize xdr_length;
	guchar *xdr_bytes;
	bool valid;
	char *text;
	XDR xdrs;

	/* g_base64_decode() skips bytes that are not base64. */
	if (length > 4 * (size_t)BATCH_XDR_BYTES_MAX / 3 + 4 ||
	    !is_base64_(data, length))
		return 0;
	text = g_strndup(data, length);
	xdr_bytes = g_base64_decode(text, &xdr_length);
	g_free(text);
	xdrmem_create(&xdrs, (char *)xdr_bytes, (unsigned int)xdr_length,
		      XDR_DECODE);
	valid = xdr_batch_(&xdrs, claims, &count) &&
		xdr_getpos(&xdrs) == xdr_length;
	xdr_destroy(&xdrs);
	g_free(xdr_bytes);
	return valid ? count : 0;
}
