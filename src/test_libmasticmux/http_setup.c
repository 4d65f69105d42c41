#include "http_setup.h"

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <string.h>

void fake_entry_answer(fake_entry_t *entry, uint64_t request, GString *text)
{
	mmx_answer_t *answer = mmx_new_answer(request);

	answer->outcome = MMX_OUTCOME_COMPLETED;
	answer->head = mmx_head_create_response(200);
	mmx_head_add(answer->head, "X-Target", "t");
	mmx_head_add(answer->head, "Connection", "X-Hop");
	mmx_head_add(answer->head, "X-Hop", "1");
	mmx_head_add(answer->head, "Masticmux-Outcome", "forged");
	evbuffer_add(answer->body, text->str, text->len);
	answer->body_end = true;
	mmx_task_post(mmx_http_entry_task(entry->http), &answer->message);
}

static void take_body_(fake_entry_t *entry, struct evbuffer *data, bool end)
{
	size_t length = evbuffer_get_length(data);
	mmx_window_t *window;
	GString *text;

	entry->body_bytes += length;
	if (entry->body->len < 1024)
		g_string_append_len(entry->body,
				    (char *)evbuffer_pullup(data, -1),
				    (gssize)length);
	if (entry->grants && length > 0 && !end) {
		window = mmx_new_window(MMX_TO_TARGET, (uint32_t)length);
		window->request = entry->request;
		mmx_task_post(mmx_http_entry_task(entry->http),
			      &window->message);
	}
	if (!end || entry->silent)
		return;
	text = g_string_new(NULL);
	g_string_printf(text, "<%s %s %s>", entry->head->method,
			entry->head->uri, entry->body->str);
	fake_entry_answer(entry, entry->request, text);
	g_string_free(text, TRUE);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	fake_entry_t *entry = (fake_entry_t *)task;
	mmx_request_t *request = (mmx_request_t *)message;
	mmx_body_t *body = (mmx_body_t *)message;

	switch (message->ops->kind) {
	case MMX_MESSAGE_REQUEST:
		entry->requests++;
		entry->request = request->request;
		entry->body_bytes = 0;
		g_string_truncate(entry->body, 0);
		mmx_head_destroy(entry->head);
		entry->head = g_steal_pointer(&request->head);
		take_body_(entry, request->body, request->body_end);
		break;
	case MMX_MESSAGE_BODY:
		CU_ASSERT_EQUAL(body->request, entry->request);
		take_body_(entry, body->data, body->end);
		break;
	case MMX_MESSAGE_WINDOW:
		entry->credit += ((mmx_window_t *)message)->credit;
		break;
	case MMX_MESSAGE_CALLER_GONE:
		entry->gone++;
		break;
	default:
		CU_FAIL("message that the entry does not take");
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"fake_entry", handle_};

void http_setup_create(http_setup_t *setup)
{
	memset(setup, 0, sizeof(*setup));
	fixture_open(&setup->fixture);
	mmx_task_init(&setup->entry.task, &ops_, setup->fixture.runtime);
	setup->entry.body = g_string_new(NULL);
	setup->entry.grants = true;
	setup->http = mmx_http_entry_create(setup->fixture.runtime,
					    &setup->entry.task,
					    setup->fixture.counters);
	setup->entry.http = setup->http;
}

void http_setup_listen(http_setup_t *setup)
{
	mmx_address_t address = {.host = "127.0.0.1"};
	mmx_error_t error;

	CU_ASSERT_TRUE_FATAL(
		mmx_http_entry_init(setup->http, &address, &error));
}

void http_setup_open(http_setup_t *setup)
{
	http_setup_create(setup);
	http_setup_listen(setup);
}

void http_setup_close(http_setup_t *setup)
{
	mmx_http_entry_destroy(setup->http);
	mmx_task_finish(&setup->entry.task);
	mmx_head_destroy(setup->entry.head);
	g_string_free(setup->entry.body, TRUE);
	fixture_close(&setup->fixture);
}

bool http_setup_is_unused(void *setup)
{
	return mmx_http_entry_connections(((http_setup_t *)setup)->http) == 0;
}
