#include "private/wire.h"

#include <assert.h>
#include <event2/buffer.h>
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#define UNIT BYTES_PER_XDR_UNIT
/* Flags of EXECUTE, RESPONSE and BODY. */
#define FLAG_BODY_END 0x1U
#define FLAG_REPEATABLE 0x2U
#define FLAG_TRIAL 0x4U
#define FLAG_STARTED 0x8U
#define FLAG_FAILED 0x10U
#define FLAG_PEERS 0x20U
#define FLAG_GOOD 0x40U
#define FLAG_KEYED 0x80U
#define FLAG_OFFERED 0x100U
#define FLAG_REPEAT 0x200U
#define FLAG_GRANTED 0x400U
#define FLAG_ACCOUNT_USE 0x800U
#define FLAG_WORK 0x1000U
#define PERCENT_MAX 100
#define PERMILLE_MAX 1000

/* A filter encodes or decodes, as XDR filters do; x_public holds the reason
 * of the first refusal. */
typedef bool (*filter_t)(XDR *xdrs, mmx_message_t *message);

typedef struct form_t {
	filter_t filter; /* NULL: does not travel */
	size_t body;	 /* offset of the body, or 0 */
	mmx_message_t *(*create)(void);
} form_t;

static bool refuse_(XDR *xdrs, const char *reason)
{
	const char **first = (const char **)xdrs->x_public;

	if (!*first)
		*first = reason;
	return false;
}

static bool word_(XDR *xdrs, uint32_t *value, uint32_t max, const char *what)
{
	if (!xdr_uint32_t(xdrs, value))
		return refuse_(xdrs, "truncated");
	return *value <= max || refuse_(xdrs, what);
}

static bool flags_(XDR *xdrs, uint32_t *flags, uint32_t known)
{
	if (!xdr_uint32_t(xdrs, flags))
		return refuse_(xdrs, "truncated");
	return (*flags & ~known) == 0 || refuse_(xdrs, "unknown flag");
}

static bool hyper_(XDR *xdrs, uint64_t *value)
{
	return xdr_uint64_t(xdrs, value) || refuse_(xdrs, "truncated");
}

static bool opaque_(XDR *xdrs, uint8_t *bytes, uint32_t size)
{
	return xdr_opaque(xdrs, (char *)bytes, size) ||
	       refuse_(xdrs, "truncated");
}

/* An expired duration is sent as 0. */
static bool duration_(XDR *xdrs, mmx_time_t *duration)
{
	uint64_t value = *duration > 0 ? (uint64_t)*duration : 0;

	if (!hyper_(xdrs, &value))
		return false;
	if (value > MMX_WIRE_DURATION_MAX)
		return refuse_(xdrs, "duration out of range");
	if (xdrs->x_op == XDR_DECODE)
		*duration = (mmx_time_t)value;
	return true;
}

/*
 * A string of at most max bytes; text holds max + 1. No control byte is
 * allowed but a tab, so that nothing received can break an HTTP head.
 */
static bool text_(XDR *xdrs, char *text, uint32_t max)
{
	uint32_t length = 0;
	uint32_t i;

	if (xdrs->x_op == XDR_ENCODE)
		length = (uint32_t)strnlen(text, (size_t)max + 1);
	if (!word_(xdrs, &length, max, "string too long"))
		return false;
	if (!xdr_opaque(xdrs, text, length))
		return refuse_(xdrs, "truncated");
	if (xdrs->x_op == XDR_DECODE)
		text[length] = '\0';
	for (i = 0; i < length; i++)
		if (((uint8_t)text[i] < ' ' && text[i] != '\t') ||
		    text[i] == 0x7f)
			return refuse_(xdrs, "control byte in a string");
	return true;
}

/* A string that has at least one byte and no blank. */
static bool token_(XDR *xdrs, char *text, uint32_t max)
{
	if (!text_(xdrs, text, max))
		return false;
	if (text[0] == '\0' || strpbrk(text, " \t"))
		return refuse_(xdrs, "empty string or blank in a token");
	return true;
}

static bool attempt_(XDR *xdrs, mmx_attempt_id_t *attempt)
{
	return hyper_(xdrs, &attempt->entry) &&
	       hyper_(xdrs, &attempt->incarnation) &&
	       hyper_(xdrs, &attempt->sequence);
}

static bool trace_(XDR *xdrs, mmx_trace_context_t *trace)
{
	uint32_t flags = trace->flags;

	if (!opaque_(xdrs, trace->trace_id, sizeof(trace->trace_id)) ||
	    !opaque_(xdrs, trace->span_id, sizeof(trace->span_id)) ||
	    !word_(xdrs, &flags, UINT8_MAX, "trace flags out of range"))
		return false;
	trace->flags = (uint8_t)flags;
	return true;
}

/* Two 16-bit numbers in one word. */
static bool pair_(XDR *xdrs, uint16_t *high, uint16_t *low)
{
	uint32_t word = (uint32_t)*high << 16 | *low;

	if (!word_(xdrs, &word, UINT32_MAX, ""))
		return false;
	*high = (uint16_t)(word >> 16);
	*low = (uint16_t)word;
	return true;
}

static bool load_(XDR *xdrs, mmx_load_report_t *load)
{
	uint16_t state = (uint16_t)load->state;
	uint16_t level = load->level;

	if (!hyper_(xdrs, &load->target) ||
	    !pair_(xdrs, &load->slots, &load->in_progress) ||
	    !pair_(xdrs, &load->queued, &state) ||
	    !pair_(xdrs, &level, &load->wait_ms) ||
	    !word_(xdrs, &load->score, UINT32_MAX, ""))
		return false;
	if (state >= MMX_TARGET_STATE_COUNT || level > UINT8_MAX)
		return refuse_(xdrs, "target state or level out of range");
	load->state = state;
	load->level = (uint8_t)level;
	return true;
}

static bool decode_header_(XDR *xdrs, mmx_head_t *head)
{
	char name[MMX_WIRE_HEADER_NAME_MAX + 1];
	char value[MMX_HEAD_BYTES_MAX + 1];

	if (!token_(xdrs, name, MMX_WIRE_HEADER_NAME_MAX) ||
	    !text_(xdrs, value, MMX_HEAD_BYTES_MAX))
		return false;
	if (strchr(name, ':'))
		return refuse_(xdrs, "colon in a header name");
	mmx_head_add(head, name, value);
	return head->bytes <= MMX_HEAD_BYTES_MAX ||
	       refuse_(xdrs, "headers too long");
}

static bool headers_(XDR *xdrs, mmx_head_t *head)
{
	uint32_t count = (uint32_t)head->header_count;
	mmx_header_t *header;

	if (!word_(xdrs, &count, MMX_HEAD_HEADERS_MAX, "too many headers"))
		return false;
	if (xdrs->x_op == XDR_DECODE) {
		while (count-- > 0)
			if (!decode_header_(xdrs, head))
				return false;
		return true;
	}
	if (head->bytes > MMX_HEAD_BYTES_MAX)
		return refuse_(xdrs, "headers too long");
	STAILQ_FOREACH (header, &head->headers, entry)
		if (!token_(xdrs, header->name, MMX_WIRE_HEADER_NAME_MAX) ||
		    !text_(xdrs, header->value, MMX_HEAD_BYTES_MAX))
			return false;
	return true;
}

static bool request_head_(XDR *xdrs, mmx_head_t **head)
{
	char method[MMX_WIRE_METHOD_MAX + 1] = "";
	char uri[MMX_WIRE_URI_MAX + 1];

	if (xdrs->x_op == XDR_ENCODE) {
		if (!*head || !(*head)->method || !(*head)->uri)
			return refuse_(xdrs, "no request head");
		return token_(xdrs, (*head)->method, MMX_WIRE_METHOD_MAX) &&
		       token_(xdrs, (*head)->uri, MMX_WIRE_URI_MAX) &&
		       headers_(xdrs, *head);
	}
	if (!token_(xdrs, method, MMX_WIRE_METHOD_MAX) ||
	    !token_(xdrs, uri, MMX_WIRE_URI_MAX))
		return false;
	*head = mmx_head_create_request(method, uri);
	return headers_(xdrs, *head);
}

/* The status, 0 for no head, then the headers. */
static bool response_head_(XDR *xdrs, mmx_head_t **head)
{
	uint32_t status = *head ? (uint32_t)(*head)->status : 0;

	if (!word_(xdrs, &status, 999, "status out of range"))
		return false;
	if (status == 0 && !*head)
		return true;
	if (status < 100)
		return refuse_(xdrs, "status out of range");
	if (!*head)
		*head = mmx_head_create_response((int)status);
	return headers_(xdrs, *head);
}

static bool summary_(XDR *xdrs, mmx_latency_summary_t **summary)
{
	size_t i;

	if (xdrs->x_op == XDR_DECODE)
		*summary = g_new0(mmx_latency_summary_t, 1);
	for (i = 0; i < MMX_LATENCY_BUCKETS; i++)
		if (!word_(xdrs, &(*summary)->count[i], UINT32_MAX, ""))
			return false;
	return word_(xdrs, &(*summary)->requests, UINT32_MAX, "") &&
	       word_(xdrs, &(*summary)->errors, UINT32_MAX, "");
}

static bool execute_(XDR *xdrs, mmx_message_t *message)
{
	mmx_execute_t *execute = (mmx_execute_t *)message;
	uint32_t flags = (execute->body_end ? FLAG_BODY_END : 0) |
			 (execute->repeatable ? FLAG_REPEATABLE : 0) |
			 (execute->keyed ? FLAG_KEYED : 0) |
			 (execute->trial ? FLAG_TRIAL : 0) |
			 (execute->repeat ? FLAG_REPEAT : 0) |
			 (execute->granted ? FLAG_GRANTED : 0) |
			 (execute->peers ? FLAG_PEERS : 0) |
			 (execute->account_use ? FLAG_ACCOUNT_USE : 0);
	uint32_t account_use = execute->account_use;
	uint32_t priority = execute->priority;
	uint32_t inherited = execute->caller_repeat_percent;

	if (!attempt_(xdrs, &execute->attempt) ||
	    !hyper_(xdrs, &execute->exit_incarnation) ||
	    !hyper_(xdrs, &execute->target) ||
	    !token_(xdrs, execute->service, MMX_NAME_MAX) ||
	    !text_(xdrs, execute->account, MMX_NAME_MAX) ||
	    !flags_(xdrs, &flags,
		    FLAG_BODY_END | FLAG_REPEATABLE | FLAG_TRIAL | FLAG_PEERS |
			    FLAG_KEYED | FLAG_REPEAT | FLAG_GRANTED |
			    FLAG_ACCOUNT_USE) ||
	    !duration_(xdrs, &execute->remaining) ||
	    !duration_(xdrs, &execute->max_wait) ||
	    !duration_(xdrs, &execute->objective) ||
	    !word_(xdrs, &inherited, PERCENT_MAX, "share out of range") ||
	    !word_(xdrs, &execute->route, UINT32_MAX, "") ||
	    !word_(xdrs, &priority, MMX_PRIORITY_MAX,
		   "priority out of range") ||
	    !trace_(xdrs, &execute->trace) ||
	    !request_head_(xdrs, &execute->head))
		return false;
	execute->body_end = flags & FLAG_BODY_END;
	execute->repeatable = flags & FLAG_REPEATABLE;
	execute->keyed = flags & FLAG_KEYED;
	execute->trial = flags & FLAG_TRIAL;
	execute->repeat = flags & FLAG_REPEAT;
	execute->granted = flags & FLAG_GRANTED;
	execute->priority = (uint8_t)priority;
	execute->caller_repeat_percent = (uint8_t)inherited;
	/* Absent where no account has a limit, so that such a fleet may hold
	 * nodes of an earlier release. */
	if ((flags & FLAG_ACCOUNT_USE) &&
	    !word_(xdrs, &account_use, PERMILLE_MAX, "use out of range"))
		return false;
	execute->account_use = (uint16_t)account_use;
	return !(flags & FLAG_PEERS) || summary_(xdrs, &execute->peers);
}

static bool response_(XDR *xdrs, mmx_message_t *message)
{
	mmx_response_t *response = (mmx_response_t *)message;
	uint32_t reason = response->reason;
	uint32_t flags = (response->body_end ? FLAG_BODY_END : 0) |
			 (response->started ? FLAG_STARTED : 0) |
			 (response->good ? FLAG_GOOD : 0) |
			 (response->offered ? FLAG_OFFERED : 0) |
			 (response->grant ? FLAG_GRANTED : 0) |
			 (response->load.work_ms ? FLAG_WORK : 0);

	if (!attempt_(xdrs, &response->attempt) ||
	    !word_(xdrs, &reason, MMX_REASON_COUNT - 1, "unknown reason") ||
	    !flags_(xdrs, &flags,
		    FLAG_BODY_END | FLAG_STARTED | FLAG_GOOD | FLAG_OFFERED |
			    FLAG_GRANTED | FLAG_WORK) ||
	    !response_head_(xdrs, &response->head) ||
	    !load_(xdrs, &response->load) ||
	    !duration_(xdrs, &response->queue_time) ||
	    !duration_(xdrs, &response->target_time))
		return false;
	/* Absent unless targets are chosen by work, so that other fleets may
	 * hold nodes of an earlier release. */
	if ((flags & FLAG_WORK) &&
	    !pair_(xdrs, &response->load.work_ms, &response->load.run_ms))
		return false;
	if (reason == MMX_REASON_NONE && !response->head)
		return refuse_(xdrs, "response without head and reason");
	response->reason = reason;
	response->body_end = flags & FLAG_BODY_END;
	response->started = flags & FLAG_STARTED;
	response->good = flags & FLAG_GOOD;
	response->offered = flags & FLAG_OFFERED;
	response->grant = flags & FLAG_GRANTED;
	return true;
}

static bool body_(XDR *xdrs, mmx_message_t *message)
{
	mmx_body_t *body = (mmx_body_t *)message;
	uint32_t direction = body->direction;
	uint32_t flags = (body->end ? FLAG_BODY_END : 0) |
			 (body->failed ? FLAG_FAILED : 0);

	if (!attempt_(xdrs, &body->attempt) ||
	    !word_(xdrs, &direction, MMX_DIRECTION_COUNT - 1,
		   "unknown direction") ||
	    !flags_(xdrs, &flags, FLAG_BODY_END | FLAG_FAILED))
		return false;
	body->direction = direction;
	body->failed = flags & FLAG_FAILED;
	body->end = body->failed || (flags & FLAG_BODY_END);
	return true;
}

static bool window_(XDR *xdrs, mmx_message_t *message)
{
	mmx_window_t *window = (mmx_window_t *)message;
	uint32_t direction = window->direction;

	if (!attempt_(xdrs, &window->attempt) ||
	    !word_(xdrs, &direction, MMX_DIRECTION_COUNT - 1,
		   "unknown direction") ||
	    !word_(xdrs, &window->credit, UINT32_MAX, ""))
		return false;
	window->direction = direction;
	return true;
}

static bool cancel_(XDR *xdrs, mmx_message_t *message)
{
	return attempt_(xdrs, &((mmx_cancel_t *)message)->attempt);
}

static bool purpose_(XDR *xdrs, mmx_fence_purpose_t *purpose)
{
	uint32_t value = *purpose;

	if (!word_(xdrs, &value, MMX_FENCE_PURPOSE_COUNT - 1,
		   "unknown fence purpose"))
		return false;
	*purpose = value;
	return true;
}

static bool fence_(XDR *xdrs, mmx_message_t *message)
{
	mmx_fence_t *fence = (mmx_fence_t *)message;

	return attempt_(xdrs, &fence->attempt) &&
	       hyper_(xdrs, &fence->exit_incarnation) &&
	       purpose_(xdrs, &fence->purpose);
}

static bool fence_reply_(XDR *xdrs, mmx_message_t *message)
{
	mmx_fence_reply_t *reply = (mmx_fence_reply_t *)message;
	uint32_t state = reply->state;

	if (!attempt_(xdrs, &reply->attempt) ||
	    !word_(xdrs, &state, MMX_FENCE_STATE_COUNT - 1,
		   "unknown fence state") ||
	    !purpose_(xdrs, &reply->purpose) ||
	    !response_head_(xdrs, &reply->head))
		return false;
	reply->state = state;
	return true;
}

static bool evidence_(XDR *xdrs, mmx_message_t *message)
{
	return load_(xdrs, &((mmx_evidence_t *)message)->load);
}

static mmx_message_t *new_response_(void)
{
	return &mmx_new_response(&(mmx_attempt_id_t){0})->message;
}

static mmx_message_t *new_execute_(void)
{
	return &mmx_new_execute()->message;
}

static mmx_message_t *new_body_(void)
{
	return &mmx_new_body(MMX_TO_TARGET)->message;
}

static mmx_message_t *new_window_(void)
{
	return &mmx_new_window(MMX_TO_TARGET, 0)->message;
}

static mmx_message_t *new_cancel_(void)
{
	return &mmx_new_cancel(&(mmx_attempt_id_t){0})->message;
}

static mmx_message_t *new_fence_(void)
{
	return &mmx_new_fence(&(mmx_attempt_id_t){0})->message;
}

static mmx_message_t *new_fence_reply_(void)
{
	mmx_attempt_id_t none = {0};

	return &mmx_new_fence_reply(&none, MMX_FENCE_FENCED)->message;
}

static mmx_message_t *new_evidence_(void)
{
	return &mmx_new_evidence()->message;
}

static const form_t forms_[MMX_MESSAGE_KIND_COUNT] = {
	[MMX_MESSAGE_EXECUTE] = {execute_, offsetof(mmx_execute_t, body),
				 new_execute_},
	[MMX_MESSAGE_RESPONSE] = {response_, offsetof(mmx_response_t, body),
				  new_response_},
	[MMX_MESSAGE_BODY] = {body_, offsetof(mmx_body_t, data), new_body_},
	[MMX_MESSAGE_WINDOW] = {window_, 0, new_window_},
	[MMX_MESSAGE_CANCEL] = {cancel_, 0, new_cancel_},
	[MMX_MESSAGE_FENCE] = {fence_, 0, new_fence_},
	[MMX_MESSAGE_FENCE_REPLY] = {fence_reply_,
				     offsetof(mmx_fence_reply_t, body),
				     new_fence_reply_},
	[MMX_MESSAGE_EVIDENCE] = {evidence_, 0, new_evidence_},
};

bool mmx_wire_has_form(mmx_message_kind_t kind)
{
	return forms_[kind].filter != NULL;
}

struct evbuffer *mmx_wire_body(mmx_message_t *message)
{
	const form_t *form = &forms_[message->ops->kind];

	if (form->body == 0)
		return NULL;
	return *(struct evbuffer **)((char *)message + form->body);
}

void mmx_wire_pad(struct evbuffer *body)
{
	static const uint8_t zeros[UNIT];
	size_t used = evbuffer_get_length(body) % UNIT;

	if (used > 0)
		evbuffer_add(body, zeros, UNIT - used);
}

size_t mmx_wire_encode(mmx_message_t *message, uint8_t *fields,
		       mmx_error_t *error)
{
	const form_t *form = &forms_[message->ops->kind];
	struct evbuffer *body = mmx_wire_body(message);
	uint32_t length = body ? (uint32_t)evbuffer_get_length(body) : 0;
	const char *reason = NULL;
	size_t used = 0;
	XDR xdrs;

	assert(form->filter);
	xdrmem_create(&xdrs, (char *)fields, MMX_WIRE_FIELDS_MAX, XDR_ENCODE);
	xdrs.x_public = (char *)&reason;
	if (word_(&xdrs, &length, MMX_WIRE_BODY_MAX, "body too long") &&
	    form->filter(&xdrs, message))
		used = xdr_getpos(&xdrs);
	else
		mmx_error_set(error, MMX_ERROR_LIMIT, "%s: %s",
			      message->ops->name, reason);
	xdr_destroy(&xdrs);
	return used;
}

/*
 * Makes the fields contiguous and drains nothing. Returns false when the body
 * length does not fit into the record; else sets the size of the fields.
 */
static bool split_(struct evbuffer *args, uint32_t body_max, uint32_t *body,
		   size_t *fields, mmx_error_t *error)
{
	size_t length = evbuffer_get_length(args);
	size_t padded;
	uint32_t word = 0;

	if (evbuffer_copyout(args, &word, UNIT) < UNIT)
		return mmx_error_set(error, MMX_ERROR_INVALID, "truncated");
	*body = ntohl(word);
	if (*body > body_max)
		return mmx_error_set(error, MMX_ERROR_LIMIT, "body too long");
	padded = RNDUP((size_t)*body);
	if (padded > length - UNIT)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "body longer than the record");
	*fields = length - UNIT - padded;
	if (*fields > MMX_WIRE_FIELDS_MAX - UNIT)
		return mmx_error_set(error, MMX_ERROR_LIMIT, "fields too long");
	return true;
}

/* Removes the fields and the padding; the body stays. */
static void strip_(struct evbuffer *args, uint32_t body, size_t fields)
{
	struct evbuffer *whole;

	evbuffer_drain(args, UNIT + fields);
	if (evbuffer_get_length(args) == body)
		return;
	whole = evbuffer_new();
	evbuffer_remove_buffer(args, whole, body);
	evbuffer_drain(args, evbuffer_get_length(args));
	evbuffer_add_buffer(args, whole);
	evbuffer_free(whole);
}

/* Runs a filter over the fields; all of them must be consumed. */
static bool decode_fields_(struct evbuffer *args, size_t size, filter_t filter,
			   mmx_message_t *message, mmx_error_t *error)
{
	uint8_t *start = evbuffer_pullup(args, (ev_ssize_t)(UNIT + size));
	const char *reason = NULL;
	XDR xdrs;
	bool done;

	xdrmem_create(&xdrs, (char *)start + UNIT, (unsigned int)size,
		      XDR_DECODE);
	xdrs.x_public = (char *)&reason;
	done = filter(&xdrs, message);
	if (done && xdr_getpos(&xdrs) != size)
		done = refuse_(&xdrs, "bytes after the fields");
	xdr_destroy(&xdrs);
	return done || mmx_error_set(error, MMX_ERROR_INVALID, "%s", reason);
}

mmx_message_t *mmx_wire_decode(mmx_message_kind_t kind, struct evbuffer *args,
			       mmx_error_t *error)
{
	const form_t *form = &forms_[kind];
	uint32_t body_max = form->body ? MMX_WIRE_BODY_MAX : 0;
	mmx_message_t *message;
	size_t fields = 0;
	uint32_t body = 0;

	assert(form->filter);
	if (!split_(args, body_max, &body, &fields, error))
		return NULL;
	message = form->create();
	if (!decode_fields_(args, fields, form->filter, message, error)) {
		mmx_message_destroy(message);
		return NULL;
	}
	strip_(args, body, fields);
	if (body > 0)
		evbuffer_add_buffer(mmx_wire_body(message), args);
	return message;
}

static bool hello_(XDR *xdrs, mmx_hello_t *hello)
{
	return text_(xdrs, hello->key_id, MMX_FLEET_KEY_ID_MAX) &&
	       opaque_(xdrs, hello->nonce, MMX_NONCE_BYTES) &&
	       token_(xdrs, hello->node_name, MMX_NAME_MAX) &&
	       hyper_(xdrs, &hello->node) && hyper_(xdrs, &hello->incarnation);
}

size_t mmx_wire_encode_hello(const mmx_hello_t *hello, uint8_t *fields)
{
	mmx_hello_t copy = *hello;
	const char *reason = NULL;
	uint32_t length = 0;
	size_t used;
	bool done;
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)fields, MMX_WIRE_FIELDS_MAX, XDR_ENCODE);
	xdrs.x_public = (char *)&reason;
	done = word_(&xdrs, &length, 0, "") && hello_(&xdrs, &copy);
	assert(done);
	(void)done;
	used = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return used;
}

bool mmx_wire_decode_hello(struct evbuffer *args, mmx_hello_t *hello,
			   mmx_error_t *error)
{
	const char *reason = NULL;
	uint8_t *start;
	uint32_t body = 0;
	size_t size = 0;
	bool done;
	XDR xdrs;

	memset(hello, 0, sizeof(*hello));
	if (!split_(args, 0, &body, &size, error))
		return false;
	start = evbuffer_pullup(args, (ev_ssize_t)(UNIT + size));
	xdrmem_create(&xdrs, (char *)start + UNIT, (unsigned int)size,
		      XDR_DECODE);
	xdrs.x_public = (char *)&reason;
	done = hello_(&xdrs, hello);
	if (done && xdr_getpos(&xdrs) != size)
		done = refuse_(&xdrs, "bytes after the fields");
	xdr_destroy(&xdrs);
	return done || mmx_error_set(error, MMX_ERROR_INVALID, "%s", reason);
}

size_t mmx_wire_encode_bytes(size_t length, uint8_t *fields)
{
	uint32_t word = htonl((uint32_t)length);

	assert(length <= MMX_WIRE_BYTES_MAX);
	memcpy(fields, &word, sizeof(word));
	return sizeof(word);
}

bool mmx_wire_decode_bytes(struct evbuffer *args, mmx_error_t *error)
{
	uint32_t body = 0;
	size_t fields = 0;

	if (!split_(args, MMX_WIRE_BYTES_MAX, &body, &fields, error))
		return false;
	if (fields > 0)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "bytes after the fields");
	strip_(args, body, 0);
	return true;
}
