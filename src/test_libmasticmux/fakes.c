#include "fakes.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

static void write_response_(GString *trace, const mmx_response_t *response)
{
	unsigned int n = (unsigned int)response->attempt.sequence;

	if (response->reason != MMX_REASON_NONE) {
		g_string_append_printf(trace, "refused%u:%s%s%s ", n,
				       mmx_reason_string[response->reason],
				       response->started ? ":started" : "",
				       response->grant ? ":grant" : "");
	} else {
		g_string_append_printf(trace, "response%u:%d%s", n,
				       response->head->status,
				       response->body_end ? ":end" : "");
		if (response->load.work_ms)
			g_string_append_printf(trace, ":run=%u",
					       response->load.run_ms);
		g_string_append_c(trace, ' ');
	}
}

static void write_answer_(GString *trace, const mmx_answer_t *answer)
{
	g_string_append_printf(trace, "answer%u:%s:%s:%d:%zu%s ",
			       (unsigned int)answer->request,
			       mmx_outcome_string[answer->outcome],
			       mmx_reason_string[answer->reason],
			       answer->head->status,
			       evbuffer_get_length(answer->body),
			       answer->body_end ? ":end" : "");
}

static void write_body_(GString *trace, const mmx_body_t *body)
{
	unsigned int n = (unsigned int)(body->request ? body->request
						      : body->attempt.sequence);

	g_string_append_printf(
		trace, "body%u:%zu%s%s ", n, evbuffer_get_length(body->data),
		body->end ? ":end" : "", body->failed ? ":failed" : "");
}

static void write_execute_(GString *trace, const mmx_execute_t *execute)
{
	g_string_append_printf(trace, "execute%u:%zu%s ",
			       (unsigned int)execute->attempt.sequence,
			       evbuffer_get_length(execute->body),
			       execute->body_end ? "" : ":open");
}

static void write_fence_reply_(GString *trace, const mmx_fence_reply_t *reply)
{
	g_string_append_printf(trace, "fence%u:%s",
			       (unsigned int)reply->attempt.sequence,
			       mmx_fence_state_string[reply->state]);
	if (reply->head)
		g_string_append_printf(trace, ":%zu",
				       evbuffer_get_length(reply->body));
	g_string_append_c(trace, ' ');
}

static void write_id_(GString *trace, const char *what,
		      const mmx_attempt_id_t *id)
{
	g_string_append_printf(trace, "%s%u ", what,
			       (unsigned int)id->sequence);
}

static void write_claim_(GString *trace, const mmx_claim_t *claim)
{
	g_string_append_printf(trace, "claim%u",
			       (unsigned int)claim->attempt.sequence);
	if (claim->supersedes)
		g_string_append_printf(trace, ":supersedes%u",
				       (unsigned int)claim->supersedes);
	g_string_append_c(trace, ' ');
}

static void write_fence_(GString *trace, const mmx_fence_t *fence)
{
	g_string_append_printf(trace, "fence%u",
			       (unsigned int)fence->attempt.sequence);
	if (fence->purpose != MMX_FENCE_RECOVER)
		g_string_append_printf(
			trace, ":%s", mmx_fence_purpose_string[fence->purpose]);
	g_string_append_c(trace, ' ');
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	GString *trace = ((fake_t *)task)->trace;

	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_RESPONSE:
		write_response_(trace, (mmx_response_t *)message);
		break;
	case MMX_MESSAGE_ANSWER:
		write_answer_(trace, (mmx_answer_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		write_body_(trace, (mmx_body_t *)message);
		break;
	case MMX_MESSAGE_EXECUTE:
		write_execute_(trace, (mmx_execute_t *)message);
		((fake_t *)task)->exit = ((mmx_execute_t *)message)->exit;
		break;
	case MMX_MESSAGE_FENCE_REPLY:
		write_fence_reply_(trace, (mmx_fence_reply_t *)message);
		break;
	case MMX_MESSAGE_FENCE:
		write_fence_(trace, (mmx_fence_t *)message);
		break;
	case MMX_MESSAGE_CLAIM:
		write_claim_(trace, &((mmx_claim_request_t *)message)->claim);
		break;
	case MMX_MESSAGE_CANCEL:
		write_id_(trace, "cancel", &((mmx_cancel_t *)message)->attempt);
		break;
	case MMX_MESSAGE_CALL:
		write_id_(trace, "call", &((mmx_call_t *)message)->attempt);
		break;
	case MMX_MESSAGE_CALL_CANCEL:
		write_id_(trace, "call-cancel",
			  &((mmx_call_cancel_t *)message)->attempt);
		break;
	default:
		g_string_append_printf(trace, "%s ", message->ops->name);
		break;
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"fake", handle_};

void fake_init(fake_t *fake, mmx_runtime_t *runtime, GString *trace)
{
	mmx_task_init(&fake->task, &ops_, runtime);
	fake->trace = trace;
}

long fake_number(char **words, const char *name, long fallback)
{
	size_t length = strlen(name);

	for (; *words; words++)
		if (strncmp(*words, name, length) == 0 &&
		    (*words)[length] == '=')
			return strtol(*words + length + 1, NULL, 10);
	return fallback;
}

bool fake_flag(char **words, const char *flag)
{
	return g_strv_contains((const gchar *const *)words, flag);
}

void fake_run(const char *script, void (*step)(char **words, void *arg),
	      void *arg)
{
	char **steps = g_strsplit(script, ";", -1);
	char **words;
	size_t i;

	for (i = 0; steps[i]; i++) {
		words = g_strsplit(g_strstrip(steps[i]), " ", -1);
		if (words[0])
			step(words, arg);
		g_strfreev(words);
	}
	g_strfreev(steps);
}

void fake_compare(const script_case_t *c, const GString *trace)
{
	bool equal = strcmp(trace->str, c->trace) == 0;

	if (!equal)
		printf("\n  %s\n    expected %s\n    got      %s\n", c->name,
		       c->trace, trace->str);
	CU_ASSERT_TRUE(equal);
}

void fake_apply(mmx_config_state_t *config_state, mmx_change_t *change)
{
	uint64_t offset = mmx_config_state_applied_offset(config_state) + 1;
	mmx_config_state_result_t result;
	size_t length;
	char *record;

	g_snprintf(change->id, sizeof(change->id), "c%u", (unsigned int)offset);
	g_strlcpy(change->publisher, "test", sizeof(change->publisher));
	record = mmx_change_to_json(change, &length);
	mmx_config_state_apply(config_state, offset, record, length, &result);
	if (result.verdict != MMX_VERDICT_ACCEPTED)
		printf("\n  change not accepted: %s\n", result.text);
	CU_ASSERT_EQUAL_FATAL(result.verdict, MMX_VERDICT_ACCEPTED);
	g_free(record);
	mmx_change_destroy(change);
}

void fake_add_targets(mmx_directory_t *directory, mmx_node_id_t node,
		      size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		mmx_target_record_t record = {
			.id = 100 + i,
			.node = node + i,
			.incarnation = 1,
			.version = 1,
			.name = "t",
			.service = "s",
			.slots = 3,
			.state = MMX_TARGET_WARM,
		};

		mmx_directory_update(directory, &record);
	}
}

mmx_config_state_t *fake_routes(mmx_time_t objective, mmx_time_t timeout,
				bool repeatable, bool large_bodies)
{
	mmx_policy_t policy = {.deadline = timeout, .retry_percent = 20};
	mmx_routing_table_t *routing = mmx_routing_create(1);
	mmx_routing_rule_t *rule =
		mmx_routing_add_route(routing, "s.test", "/");
	mmx_config_state_t *config_state = mmx_config_state_create();

	rule->objective = objective;
	rule->timeout = timeout;
	rule->repeatable = repeatable;
	rule->large_bodies = large_bodies;
	rule->attempts_max = 4;
	mmx_routing_add_destination(rule, "s", 1);
	CU_ASSERT_TRUE(
		mmx_config_state_replace(config_state, routing, &policy));
	return config_state;
}

mmx_config_state_t *fake_account_routes(double rate, double burst)
{
	const mmx_policy_t policy = {.retry_percent = 20};
	mmx_routing_table_t *routing = mmx_routing_create(1);
	mmx_config_state_t *config_state = mmx_config_state_create();
	mmx_routing_account_t *account;
	mmx_routing_rule_t *rule;

	rule = mmx_routing_add_route(routing, "s.test", "/");
	rule->timeout = 2 * MMX_US_PER_S;
	mmx_routing_add_destination(rule, "s", 1);
	rule = mmx_routing_add_route(routing, "s.test", "/public/");
	rule->timeout = 2 * MMX_US_PER_S;
	rule->is_public = true;
	mmx_routing_add_destination(rule, "s", 1);
	mmx_routing_set_requires_key(routing);
	account = mmx_routing_add_account(routing, "l");
	account->rate = rate;
	account->burst = burst;
	mmx_routing_add_key(routing, account, "key-l", strlen("key-l"));
	account = mmx_routing_add_account(routing, "u");
	mmx_routing_add_key(routing, account, "key-u", strlen("key-u"));
	CU_ASSERT_TRUE(
		mmx_config_state_replace(config_state, routing, &policy));
	return config_state;
}

void fake_add_bytes(struct evbuffer *to, long size)
{
	char *bytes = g_malloc0((gsize)size);

	evbuffer_add(to, bytes, (size_t)size);
	g_free(bytes);
}
