/* Filter request, the first one: parses path and headers of the request. */
#include "private/entry.h"
#include "private/header_names.h"

#include <glib.h>
#include <string.h>

/* Longest timeout that a caller may name: a day. */
#define TIMEOUT_MAX_MS (24 * 3600 * 1000LL)

static bool parse_timeout_(const char *text, mmx_time_t *timeout)
{
	guint64 ms;

	if (!text)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 1, TIMEOUT_MAX_MS, &ms, NULL))
		return false;
	*timeout = (mmx_time_t)ms * MMX_US_PER_MS;
	return true;
}

static bool copy_header_(const mmx_head_t *head, const char *name, char *to,
			 size_t size)
{
	const char *value = mmx_head_find(head, name);
	const char *c;

	if (!value)
		return true;
	for (c = value; *c; c++)
		if (!g_ascii_isgraph(*c))
			return false;
	return value[0] && g_strlcpy(to, value, size) < size;
}

typedef struct request_filter_t {
	mmx_filter_t filter;
	const mmx_header_names_t *header_names;
	const char *caller_service; /* NULL: targets are not told */
} request_filter_t;

/* Overwrites the header of the caller: its service is that of this instance. */
static void set_caller_service_(const request_filter_t *self, mmx_head_t *head)
{
	if (!self->header_names->caller_service || !self->caller_service)
		return;
	mmx_head_set(head, self->header_names->caller_service,
		     self->caller_service);
}

static bool parse_(const request_filter_t *self, mmx_exchange_t *exchange)
{
	const mmx_head_t *head = exchange->head;
	const char *host = mmx_head_find(head, "Host");

	if (!host || !host[0] || head->uri[0] != '/')
		return false;
	exchange->host = g_strdup(host);
	exchange->path = g_strndup(head->uri, strcspn(head->uri, "?"));
	exchange->method = mmx_method_parse(head->method);
	if (self->header_names->request_id)
		exchange->caller_request_id =
			mmx_head_find(head, self->header_names->request_id);
	set_caller_service_(self, exchange->head);
	return parse_timeout_(mmx_head_find(head, self->header_names->timeout),
			      &exchange->caller_timeout) &&
	       copy_header_(head, "Masticmux-Account", exchange->account,
			    sizeof(exchange->account)) &&
	       copy_header_(head, "Idempotency-Key", exchange->idempotency_key,
			    sizeof(exchange->idempotency_key));
}

static mmx_filter_result_t process_(mmx_filter_t *filter,
				    mmx_exchange_t *exchange)
{
	if (parse_((request_filter_t *)filter, exchange))
		return MMX_FILTER_NEXT;
	mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN, MMX_REASON_BAD_REQUEST);
	return MMX_FILTER_DONE;
}

static void destroy_(mmx_filter_t *filter)
{
	g_free(filter);
}

static const mmx_filter_ops_t ops_ = {
	.name = "request",
	.process = process_,
	.destroy = destroy_,
};

mmx_filter_t *mmx_filter_request_create(const mmx_header_names_t *header_names,
					const char *caller_service)
{
	request_filter_t *self = g_new0(request_filter_t, 1);

	self->filter.ops = &ops_;
	self->header_names = header_names;
	self->caller_service = caller_service;
	return &self->filter;
}
