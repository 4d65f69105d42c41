/*
 * Part "operator": the operator server. Reports the status of this node and its
 * view of the fleet, explains recorded decisions, and performs planned stops of
 * any target, those of other nodes through the STOP procedure.
 */
#include <event2/http.h>
#include <glib.h>
#include <string.h>

#include "private/node_parts.h"
#include "private/node_status.h"
#include "private/operator.h"
#include "private/peer.h"
#include "private/stop.h"
#include "private/trace.h"

/* Includes the time to connect to the other node. */
#define STOP_TIMEOUT_US (3 * MMX_US_PER_S)
/* Length of a target's full name, NODE/TARGET. */
#define TARGET_NAME_MAX (2 * MMX_NAME_MAX + 1)

typedef struct stop_call_t stop_call_t;

typedef struct operator_part_t {
	mmx_part_t part;
	mmx_operator_t *server;
	LIST_HEAD(, stop_call_t) stop_calls;
} operator_part_t;

/* A stop request forwarded to the node beside the target. */
struct stop_call_t {
	LIST_ENTRY(stop_call_t) entry;
	mmx_operator_deferred_t *reply;
	mmx_stop_action_t action;
	char node[MMX_NAME_MAX + 1];
	char target[MMX_NAME_MAX + 1];
};

static json_t *bad_request_(mmx_operator_request_t *request, const char *text)
{
	request->status = HTTP_BADREQUEST;
	return json_pack("{s:s}", "error", text);
}

static const char *query_parameter_(const mmx_operator_request_t *request,
				    const char *key)
{
	return json_string_value(json_object_get(request->query, key));
}

/* Returns false if the parameter is present and not a number in 0..max. Leaves
 * the number unchanged if the parameter is absent. */
static bool parse_number_(const mmx_operator_request_t *request,
			  const char *key, size_t max, size_t *number)
{
	const char *text = query_parameter_(request, key);
	guint64 value;

	if (!text)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 0, max, &value, NULL))
		return false;
	*number = (size_t)value;
	return true;
}

static json_t *on_status_(mmx_operator_request_t *request, void *context)
{
	const operator_part_t *self = context;
	const char *wanted = query_parameter_(request, "targets");
	mmx_status_query_t query = {
		.targets = MMX_STATUS_TARGET_SCOPE_ALL,
		.service = query_parameter_(request, "service"),
		.targets_max = MMX_STATUS_TARGETS_MAX,
	};
	int i = 0;

	if (!parse_number_(request, "targets_max", MMX_STATUS_TARGETS_MAX,
			   &query.targets_max))
		return bad_request_(request, "targets_max must be a number "
					     "from 0 to 4096");
	while (wanted && i < MMX_STATUS_TARGET_SCOPE_COUNT &&
	       strcmp(wanted, mmx_status_target_scope_string[i]) != 0)
		i++;
	if (i == MMX_STATUS_TARGET_SCOPE_COUNT)
		return bad_request_(request,
				    "targets must be all, local or none");
	query.targets = (mmx_status_target_scope_t)i;
	return mmx_node_status(self->part.node, &query);
}

static json_t *time_json_(uint64_t wall)
{
	GDateTime *second =
		g_date_time_new_from_unix_utc((gint64)(wall / MMX_US_PER_S));
	char *text = g_date_time_format(second, "%Y-%m-%dT%H:%M:%S");
	json_t *value =
		json_sprintf("%s.%06uZ", text, (unsigned)(wall % MMX_US_PER_S));

	g_free(text);
	g_date_time_unref(second);
	return value;
}

static void append_event_(void *arg, const mmx_history_event_t *event)
{
	g_array_append_val((GArray *)arg, *event);
}

static int compare_events_(const void *left, const void *right)
{
	const mmx_history_event_t *a = left;
	const mmx_history_event_t *b = right;

	return a->wall < b->wall ? -1 : a->wall > b->wall ? 1 : 0;
}

/* Frees the events. */
static json_t *events_json_(GArray *events)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < events->len; i++) {
		const mmx_history_event_t *event =
			&g_array_index(events, mmx_history_event_t, i);

		json_array_append_new(
			list,
			json_pack("{s:o,s:o}", "time", time_json_(event->wall),
				  "text", mmx_json_string_lossy(event->text)));
	}
	g_array_free(events, TRUE);
	return list;
}

static json_t *explain_request_(mmx_operator_request_t *request,
				const mmx_node_t *node, const char *text)
{
	GArray *events = g_array_new(FALSE, FALSE, sizeof(mmx_history_event_t));
	uint8_t id[MMX_HISTORY_KEY_BYTES];

	if (!mmx_trace_id_parse(text, id)) {
		g_array_free(events, TRUE);
		return bad_request_(request,
				    "request must be a trace id of 32 hex "
				    "digits or a traceparent");
	}
	mmx_history_each_request(node->history, id, append_event_, events);
	return json_pack("{s:s,s:s,s:o}", "request", text, "asked",
			 node->settings->node_name, "events",
			 events_json_(events));
}

static json_t *explain_target_(mmx_operator_request_t *request,
			       const mmx_node_t *node, const char *name)
{
	const mmx_directory_target_t *target =
		mmx_directory_find_name(node->directory, name);
	mmx_node_info_t info = {.name = "unknown"};
	mmx_node_id_t target_node;
	GArray *events;

	if (!target)
		return NULL;
	target_node = mmx_directory_target_node(target);
	node->node_lookup->find(node, target_node, &info);
	events = g_array_new(FALSE, FALSE, sizeof(mmx_history_event_t));
	mmx_history_each_target(node->history, mmx_directory_target_id(target),
				append_event_, events);
	mmx_history_each_target(node->history, target_node, append_event_,
				events);
	g_array_sort(events, compare_events_);
	return json_pack(
		"{s:o,s:o,s:s,s:s,s:o}", "target",
		mmx_json_string_lossy(mmx_directory_target_name(target)),
		"node", mmx_json_string_lossy(info.name), "state",
		mmx_target_state_string[mmx_directory_target_state(target)],
		"asked", node->settings->node_name, "events",
		events_json_(events));
}

static json_t *on_explain_(mmx_operator_request_t *request, void *context)
{
	const operator_part_t *self = context;
	const char *id = query_parameter_(request, "request");
	const char *target = query_parameter_(request, "target");

	if (!id == !target)
		return bad_request_(request,
				    "give exactly one of request and target");
	if (id)
		return explain_request_(request, self->part.node, id);
	return explain_target_(request, self->part.node, target);
}

static json_t *progress_json_(const char *node, const char *target,
			      const mmx_stop_progress_t *progress)
{
	bool stopping = progress->state >= MMX_TARGET_DRAINING;

	return json_pack("{s:s,s:o,s:o,s:s,s:I}", "outcome",
			 stopping ? "stopping" : "serving", "target",
			 mmx_json_string_lossy(target), "node",
			 mmx_json_string_lossy(node), "state",
			 mmx_target_state_string[progress->state],
			 "in_progress", (json_int_t)progress->in_progress);
}

static json_t *stop_failure_json_(const stop_call_t *call,
				  mmx_peer_result_t result)
{
	bool sent = result == MMX_PEER_TIMEOUT || result == MMX_PEER_LOST;
	const char *effect = "";

	if (call->action == MMX_STOP_BEGIN)
		effect = sent ? "; it is not known whether the planned stop "
				"began; repeating it is safe"
			      : "; the planned stop was not announced";
	return json_pack(
		"{s:s,s:o,s:o,s:o,s:o}", "outcome",
		sent ? "unknown" : "not-announced", "target",
		mmx_json_string_lossy(call->target), "node",
		mmx_json_string_lossy(call->node), "error",
		json_sprintf("the call to node %s beside the target failed "
			     "(%s)%s",
			     call->node, mmx_peer_result_string[result],
			     effect),
		"repeat",
		json_sprintf("masticmux stop --settings FILE --target %s/%s",
			     call->node, call->target));
}

static int stop_failure_status_(mmx_peer_result_t result)
{
	switch (result) {
	case MMX_PEER_REFUSED:
		return HTTP_NOTFOUND;
	case MMX_PEER_TIMEOUT:
	case MMX_PEER_LOST:
		return 504;
	default:
		return HTTP_SERVUNAVAIL;
	}
}

static void on_stop_reply_(void *arg, mmx_peer_result_t result,
			   const uint8_t *bytes, size_t length)
{
	stop_call_t *call = arg;
	mmx_stop_progress_t progress;

	LIST_REMOVE(call, entry);
	if (result == MMX_PEER_OK &&
	    mmx_stop_decode_reply(bytes, length, &progress))
		mmx_operator_send_deferred(
			call->reply, HTTP_OK,
			progress_json_(call->node, call->target, &progress));
	else if (result == MMX_PEER_OK)
		mmx_operator_send_deferred(
			call->reply, 504,
			stop_failure_json_(call, MMX_PEER_LOST));
	else
		mmx_operator_send_deferred(call->reply,
					   stop_failure_status_(result),
					   stop_failure_json_(call, result));
	g_free(call);
}

static void forward_stop_(operator_part_t *self,
			  mmx_operator_request_t *request,
			  const mmx_stop_request_t *stop,
			  const mmx_node_info_t *peer_node)
{
	const mmx_peer_place_t place = {.node = peer_node->id,
					.address = *peer_node->address};
	stop_call_t *call = g_new0(stop_call_t, 1);
	uint8_t bytes[MMX_STOP_REQUEST_BYTES_MAX];
	size_t length = mmx_stop_encode_request(stop, bytes);

	call->action = stop->action;
	call->reply = mmx_operator_defer(request);
	g_strlcpy(call->node, peer_node->name, sizeof(call->node));
	g_strlcpy(call->target, stop->target, sizeof(call->target));
	LIST_INSERT_HEAD(&self->stop_calls, call, entry);
	mmx_peer_call(self->part.node->peer, &place, MMX_PROCEDURE_STOP, bytes,
		      length, STOP_TIMEOUT_US, on_stop_reply_, call);
}

static json_t *target_not_found_(mmx_operator_request_t *request)
{
	request->status = HTTP_NOTFOUND;
	return json_pack("{s:s,s:s}", "outcome", "not-found", "error",
			 "no target of this name, or targets of several nodes "
			 "have it; give the name as NODE/TARGET");
}

static json_t *handle_stop_(operator_part_t *self,
			    mmx_operator_request_t *request,
			    mmx_stop_action_t action)
{
	mmx_node_t *node = self->part.node;
	const char *name = query_parameter_(request, "target");
	mmx_stop_request_t stop = {.action = action};
	const mmx_directory_target_t *target;
	mmx_node_info_t peer_node;
	mmx_stop_progress_t progress;

	if (!name || !*name || strlen(name) > TARGET_NAME_MAX)
		return bad_request_(request,
				    "target is required, with 1 to 127 bytes");
	target = mmx_directory_find_name(node->directory, name);
	if (!target)
		return target_not_found_(request);
	g_strlcpy(stop.target, mmx_directory_target_name(target),
		  sizeof(stop.target));
	if (mmx_directory_target_node(target) == node->id)
		return mmx_stop_handle(node, &stop, &progress)
			       ? progress_json_(node->settings->node_name,
						stop.target, &progress)
			       : target_not_found_(request);
	if (!node->node_lookup->find(node, mmx_directory_target_node(target),
				     &peer_node))
		return target_not_found_(request);
	forward_stop_(self, request, &stop, &peer_node);
	return NULL;
}

static json_t *on_stop_(mmx_operator_request_t *request, void *context)
{
	return handle_stop_(context, request, MMX_STOP_BEGIN);
}

static json_t *on_stop_query_(mmx_operator_request_t *request, void *context)
{
	return handle_stop_(context, request, MMX_STOP_QUERY);
}

static bool is_ready_(void *arg)
{
	return mmx_node_is_ready(arg);
}

static bool init_(mmx_part_t *part, mmx_error_t *error)
{
	operator_part_t *self = (operator_part_t *)part;
	mmx_node_t *node = part->node;

	self->server = mmx_operator_create(node->runtime, node->counters);
	mmx_operator_set_ready(self->server, is_ready_, node);
	mmx_operator_register(self->server, MMX_OPERATOR_GET, "/status",
			      on_status_, self);
	mmx_operator_register(self->server, MMX_OPERATOR_GET, "/explain",
			      on_explain_, self);
	mmx_operator_register(self->server, MMX_OPERATOR_POST, "/stop",
			      on_stop_, self);
	mmx_operator_register(self->server, MMX_OPERATOR_GET, "/stop",
			      on_stop_query_, self);
	return mmx_operator_init(self->server, &node->settings->listen_operator,
				 error) &&
	       (!node->settings->listen_metrics.port ||
		mmx_operator_add_listener(
			self->server, &node->settings->listen_metrics, error));
}

static void drain_(mmx_part_t *part)
{
	operator_part_t *self = (operator_part_t *)part;

	mmx_operator_set_draining(self->server, true);
}

static void destroy_(mmx_part_t *part)
{
	operator_part_t *self = (operator_part_t *)part;
	stop_call_t *call;

	mmx_operator_destroy(self->server);
	/* The peer task is destroyed later, without calling back. */
	while ((call = LIST_FIRST(&self->stop_calls))) {
		LIST_REMOVE(call, entry);
		g_free(call);
	}
	g_free(self);
}

static const mmx_part_ops_t ops_ = {
	.name = "operator",
	.init = init_,
	.drain = drain_,
	.destroy = destroy_,
};

mmx_part_t *mmx_part_operator_create(mmx_node_t *node)
{
	operator_part_t *self = g_new0(operator_part_t, 1);

	self->part.ops = &ops_;
	LIST_INIT(&self->stop_calls);
	return &self->part;
}
