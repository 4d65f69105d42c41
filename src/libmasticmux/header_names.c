#include "private/header_names.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <strings.h>

#define STATUS_MISDIRECTED_REQUEST 421

const mmx_header_names_t mmx_header_names_default = {
	.timeout = "Masticmux-Timeout-Ms",
};

const char *const mmx_reply_kind_string[MMX_REPLY_KIND_COUNT] = {
	"valid", "not-run", "wrong-target", "foreign", "unproven",
};

const char *const mmx_reply_id_string[MMX_REPLY_ID_COUNT] = {
	"own",
	"none",
	"other",
};

mmx_reply_id_t mmx_reply_identify(const mmx_header_names_t *names,
				  const mmx_head_t *response,
				  const char *request_id)
{
	mmx_reply_id_t id = MMX_REPLY_ID_NONE;
	const mmx_header_t *header;

	if (!names->request_id)
		return MMX_REPLY_ID_OWN;
	STAILQ_FOREACH (header, &response->headers, entry) {
		if (strcasecmp(header->name, names->request_id) != 0)
			continue;
		if (g_strcmp0(header->value, request_id) != 0)
			return MMX_REPLY_ID_OTHER;
		id = MMX_REPLY_ID_OWN;
	}
	return id;
}

static bool is_success_(const mmx_head_t *response)
{
	return response->status >= 200 && response->status < 300;
}

/* Callers take these statuses for "has not run and never will". */
static bool promises_not_run_(const mmx_head_t *response)
{
	switch (response->status) {
	case 408:
	case STATUS_MISDIRECTED_REQUEST:
	case 429:
	case 503:
		return true;
	default:
		return false;
	}
}

mmx_reply_kind_t mmx_reply_classify(const mmx_header_names_t *names,
				    const mmx_head_t *response,
				    const char *request_id)
{
	mmx_reply_id_t id = mmx_reply_identify(names, response, request_id);

	if (id == MMX_REPLY_ID_OTHER)
		return MMX_REPLY_MISMATCHED;
	if (names->target && response->status == STATUS_MISDIRECTED_REQUEST)
		return MMX_REPLY_WRONG_TARGET;
	if (names->not_run && mmx_head_find(response, names->not_run))
		return MMX_REPLY_NOT_RUN;
	if (id == MMX_REPLY_ID_NONE && request_id)
		return MMX_REPLY_MISMATCHED;
	if (names->signature && is_success_(response) &&
	    (!mmx_head_find(response, names->signature) ||
	     mmx_head_find(response, "Content-Encoding")))
		return MMX_REPLY_MISMATCHED;
	if (names->not_run && promises_not_run_(response))
		return MMX_REPLY_UNPROVEN;
	return MMX_REPLY_VALID;
}

bool mmx_reply_is_rejection(mmx_reply_kind_t kind)
{
	return kind == MMX_REPLY_NOT_RUN || kind == MMX_REPLY_WRONG_TARGET;
}

bool mmx_reply_allows_reuse(mmx_reply_kind_t kind, mmx_reply_id_t id)
{
	return id == MMX_REPLY_ID_OWN &&
	       (kind == MMX_REPLY_VALID || kind == MMX_REPLY_UNPROVEN);
}

bool mmx_reply_parse_load(const mmx_header_names_t *names,
			  const mmx_head_t *response, unsigned int *running,
			  unsigned int *waiting, unsigned int *slots)
{
	const char *text =
		names->load ? mmx_head_find(response, names->load) : NULL;

	return text &&
	       sscanf(text, "%9u,%9u,%9u", running, waiting, slots) == 3;
}

bool mmx_reply_parse_limit(const mmx_header_names_t *names,
			   const mmx_head_t *response, double *rate)
{
	const char *text =
		names->limit ? mmx_head_find(response, names->limit) : NULL;
	char *end;

	if (!text || !g_ascii_isdigit(text[0]))
		return false;
	*rate = g_ascii_strtod(text, &end);
	return *end == '\0' && isfinite(*rate);
}

bool mmx_reply_says_leaving(const mmx_header_names_t *names,
			    const mmx_head_t *response)
{
	return names->leaving &&
	       g_strcmp0(mmx_head_find(response, names->leaving), "1") == 0;
}
