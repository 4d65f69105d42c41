/*
 * Filter identity: finds the client account of a request by the key that it
 * carries. Every request is checked by the configuration in force, also on a
 * connection whose earlier requests had a valid key.
 *
 * Only headers are handled here: http_reader drops the trailers of requests.
 */
#include "private/entry.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#define SCHEME "Bearer "
#define SCHEME_LENGTH (sizeof(SCHEME) - 1)
#define KEY_HEADER "Authorization"
/* Names the account to targets where no other header does; without keys it is
 * the one in which callers name their account. */
#define ACCOUNT_HEADER "Masticmux-Account"

/* Why a request has no valid key. */
typedef enum key_fault_t {
	KEY_MISSING,   /* no Authorization header */
	KEY_DUPLICATE, /* several Authorization headers */
	KEY_MALFORMED, /* no bearer key, an empty one, or one with blanks */
	KEY_OVERSIZED,
	KEY_UNKNOWN, /* of no account, or of more than one */
	KEY_FAULT_COUNT
} key_fault_t;

static const char *const key_fault_string_[KEY_FAULT_COUNT] = {
	"missing", "duplicate", "malformed", "oversized", "unknown",
};

typedef struct identity_filter_t {
	mmx_filter_t filter;
	const mmx_config_state_t *const *config_state;
	const mmx_header_names_t *header_names;
	mmx_counter_t *refusals[KEY_FAULT_COUNT];
} identity_filter_t;

static const char *parse_key_(const char *value, size_t *length)
{
	const char *c;

	if (strncasecmp(value, SCHEME, SCHEME_LENGTH) != 0)
		return NULL;
	value += SCHEME_LENGTH;
	value += strspn(value, " ");
	for (c = value; *c; c++)
		if ((uint8_t)*c <= ' ' || *c == 0x7f)
			return NULL;
	*length = (size_t)(c - value);
	return value;
}

/* Returns the name of the account, or NULL and why there is none. */
static const char *identify_(const mmx_config_state_t *state,
			     const mmx_head_t *head, key_fault_t *fault)
{
	const char *value = NULL;
	const mmx_header_t *header;
	const char *key;
	size_t length = 0;

	*fault = KEY_MISSING;
	STAILQ_FOREACH (header, &head->headers, entry) {
		if (strcasecmp(header->name, KEY_HEADER) != 0)
			continue;
		*fault = KEY_DUPLICATE;
		if (value)
			return NULL;
		value = header->value;
	}
	if (!value)
		return NULL;
	*fault = KEY_MALFORMED;
	key = parse_key_(value, &length);
	if (!key || length == 0)
		return NULL;
	*fault = KEY_OVERSIZED;
	if (length > MMX_ACCOUNT_KEY_MAX)
		return NULL;
	*fault = KEY_UNKNOWN;
	return mmx_config_state_find_key(state, key, length);
}

/* Removes the key, and its bytes from the memory that the head used. */
static void remove_key_(mmx_head_t *head)
{
	mmx_header_t *header;

	STAILQ_FOREACH (header, &head->headers, entry)
		if (strcasecmp(header->name, KEY_HEADER) == 0)
			memset(header->value, '*', strlen(header->value));
	mmx_head_remove(head, KEY_HEADER);
}

static void set_account_(const identity_filter_t *self,
			 mmx_exchange_t *exchange, const char *account)
{
	const char *name = self->header_names->account
				   ? self->header_names->account
				   : ACCOUNT_HEADER;

	g_strlcpy(exchange->account, account ? account : "",
		  sizeof(exchange->account));
	mmx_head_remove_alike(exchange->head, name);
	mmx_head_remove_alike(exchange->head, ACCOUNT_HEADER);
	if (account)
		mmx_head_add(exchange->head, name, account);
}

static mmx_filter_result_t process_(mmx_filter_t *filter,
				    mmx_exchange_t *exchange)
{
	const identity_filter_t *self = (identity_filter_t *)filter;
	const mmx_config_state_t *state = *self->config_state;
	key_fault_t fault;
	const char *account;

	if (!mmx_config_state_requires_key(state)) {
		if (self->header_names->account)
			mmx_head_remove_alike(exchange->head,
					      self->header_names->account);
		return MMX_FILTER_NEXT;
	}
	account = identify_(state, exchange->head, &fault);
	remove_key_(exchange->head);
	set_account_(self, exchange, account);
	if (account || exchange->is_public)
		return MMX_FILTER_NEXT;
	mmx_counter_add(self->refusals[fault], 1);
	mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN, MMX_REASON_INVALID_KEY);
	return MMX_FILTER_DONE;
}

static void destroy_(mmx_filter_t *filter)
{
	g_free(filter);
}

static const mmx_filter_ops_t ops_ = {
	.name = "identity",
	.process = process_,
	.destroy = destroy_,
};

mmx_filter_t *
mmx_filter_identity_create(const mmx_config_state_t *const *config_state,
			   const mmx_header_names_t *header_names,
			   mmx_counters_t *counters)
{
	identity_filter_t *self = g_new0(identity_filter_t, 1);
	char labels[64];
	int i;

	self->filter.ops = &ops_;
	self->config_state = config_state;
	self->header_names = header_names;
	for (i = 0; counters && i < KEY_FAULT_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "reason=\"%s\"",
			   key_fault_string_[i]);
		self->refusals[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_key_refusals_total",
			labels, "Requests refused without a valid key.");
	}
	return &self->filter;
}
