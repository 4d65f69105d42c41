/*
 * An HTTP server for callers with a fake entry task behind it, on loopback.
 */
#ifndef MASTICMUX_TEST_HTTP_SETUP_H
#define MASTICMUX_TEST_HTTP_SETUP_H

#include "http_fixture.h"
#include "private/http_entry.h"

#define HOST "Host: shop\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define GET "GET / HTTP/1.1\r\n"
#define POST "POST / HTTP/1.1\r\n" HOST

/* Stands for the entry task: answers each request when it is whole. */
typedef struct fake_entry_t {
	mmx_task_t task;
	mmx_http_entry_t *http;
	int requests;
	int gone;
	bool silent;	   /* answers nothing */
	bool grants;	   /* grants credit for what it gets */
	uint64_t request;  /* the last one */
	size_t body_bytes; /* of the last one */
	size_t credit;	   /* granted by http_entry */
	GString *body;
	mmx_head_t *head;
} fake_entry_t;

typedef struct http_setup_t {
	fixture_t fixture;
	fake_entry_t entry;
	mmx_http_entry_t *http;
} http_setup_t;

/* Answers a request with 200 and a text. */
void fake_entry_answer(fake_entry_t *entry, uint64_t request, GString *text);

/* Creates the server; it does not listen yet. */
void http_setup_create(http_setup_t *setup);
void http_setup_listen(http_setup_t *setup);

/* Creates the server and listens. */
void http_setup_open(http_setup_t *setup);
void http_setup_close(http_setup_t *setup);

/* Condition for fixture_wait() with a setup: no caller is connected. */
bool http_setup_is_unused(void *setup);

#endif
