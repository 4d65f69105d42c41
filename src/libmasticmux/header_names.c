#include "private/header_names.h"

#include <stdio.h>
#include <string.h>

#define STATUS_MISDIRECTED_REQUEST 421

const mmx_header_names_t mmx_header_names_default = {
	.timeout = "Masticmux-Timeout-Ms",
};

const char *const mmx_reply_kind_string[MMX_REPLY_KIND_COUNT] = {
	"valid",
	"not-run",
	"wrong-target",
	"foreign",
};

static bool is_success_(const mmx_head_t *response)
{
	return response->status >= 200 && response->status < 300;
}

/* The target may send a late response to an earlier request instead. */
static bool answers_request_(const mmx_header_names_t *names,
			     const mmx_head_t *response, const char *request_id)
{
	const char *response_id;

	if (!names->request_id || !request_id)
		return true;
	response_id = mmx_head_find(response, names->request_id);
	return response_id && strcmp(response_id, request_id) == 0;
}

mmx_reply_kind_t mmx_reply_classify(const mmx_header_names_t *names,
				    const mmx_head_t *response,
				    const char *request_id)
{
	if (names->target && response->status == STATUS_MISDIRECTED_REQUEST)
		return MMX_REPLY_WRONG_TARGET;
	if (!answers_request_(names, response, request_id) &&
	    !(names->not_run && mmx_head_find(response, names->not_run)))
		return MMX_REPLY_MISMATCHED;
	if (names->not_run && mmx_head_find(response, names->not_run))
		return MMX_REPLY_NOT_RUN;
	if (names->signature && is_success_(response) &&
	    (!mmx_head_find(response, names->signature) ||
	     mmx_head_find(response, "Content-Encoding")))
		return MMX_REPLY_MISMATCHED;
	return MMX_REPLY_VALID;
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
