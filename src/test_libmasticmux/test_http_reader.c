#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "masticmux/random.h"
#include "private/http_reader.h"

typedef struct outcome_t {
	mmx_http_event_t event; /* MORE, END or FAILED */
	mmx_http_fault_t fault;
	GString *text; /* head and body as read */
	size_t left;   /* unread input */
} outcome_t;

static void describe_(const mmx_http_reader_t *reader, GString *text)
{
	const mmx_header_t *header;
	const mmx_head_t *head = reader->head;

	g_string_append_printf(text, "%s %s %d %s\n",
			       head->method ? head->method : "-",
			       head->uri ? head->uri : "-", head->status,
			       mmx_http_framing_string[reader->framing]);
	STAILQ_FOREACH (header, &head->headers, entry)
		g_string_append_printf(text, "%s: %s\n", header->name,
				       header->value);
}

static mmx_http_event_t drive_(mmx_http_reader_t *reader,
			       struct evbuffer *input, struct evbuffer *body,
			       GString *text)
{
	mmx_http_event_t event;

	do {
		event = mmx_http_reader_run(reader, input, body);
		if (event == MMX_HTTP_HEAD)
			describe_(reader, text);
	} while (event == MMX_HTTP_HEAD || event == MMX_HTTP_DATA);
	return event;
}

/* Reads one message that arrives in pieces; random NULL: in one piece. */
static outcome_t read_(mmx_http_kind_t kind, const char *data, size_t length,
		       mmx_random_t *random)
{
	struct evbuffer *input = evbuffer_new();
	struct evbuffer *body = evbuffer_new();
	outcome_t outcome = {.text = g_string_new(NULL)};
	mmx_http_reader_t reader;
	size_t at = 0;

	mmx_http_reader_init(&reader, kind);
	do {
		size_t part = length - at;

		if (random && part > 0)
			part = 1 + mmx_random_below(random, MIN(part, 40));
		evbuffer_add(input, data + at, part);
		at += part;
		outcome.event = drive_(&reader, input, body, outcome.text);
	} while (at < length && outcome.event == MMX_HTTP_MORE);
	outcome.fault = reader.fault;
	outcome.left = evbuffer_get_length(input) + length - at;
	g_string_append_len(outcome.text, (char *)evbuffer_pullup(body, -1),
			    (gssize)evbuffer_get_length(body));
	mmx_http_reader_finish(&reader);
	evbuffer_free(input);
	evbuffer_free(body);
	return outcome;
}

typedef struct response_case_t {
	const char *name;
	const char *data;
	mmx_http_event_t event; /* after the end of the input */
	mmx_http_fault_t fault;
	const char *body;
} response_case_t;

#define LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED LINE "Transfer-Encoding: chunked\r\n\r\n"

static const response_case_t responses_[] = {
	{"length", LINE "Content-Length: 2\r\n\r\nhi", MMX_HTTP_END,
	 MMX_HTTP_FAULT_NONE, "hi"},
	{"short length", LINE "Content-Length: 3\r\n\r\nhi", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_TRUNCATED, "hi"},
	{"until close", LINE "\r\nhi", MMX_HTTP_END, MMX_HTTP_FAULT_NONE, "hi"},
	{"chunks", CHUNKED "2\r\nhi\r\n0\r\n\r\n", MMX_HTTP_END,
	 MMX_HTTP_FAULT_NONE, "hi"},
	{"no last chunk", CHUNKED "2\r\nhi\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_TRUNCATED, "hi"},
	{"last chunk without its end", CHUNKED "2\r\nhi\r\n0\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_TRUNCATED, "hi"},
	{"chunk size too long", CHUNKED "0000000000000002\r\nhi\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_CHUNK, ""},
	{"negative chunk size", CHUNKED "-2\r\nhi\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_CHUNK, ""},
	{"line feed after chunk size", CHUNKED "2\nhi\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_CHUNK, ""},
	{"chunk longer than its size", CHUNKED "2\r\nhii\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_CHUNK, "hi"},
	{"interim response",
	 "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" LINE
	 "Content-Length: 1\r\n\r\nx",
	 MMX_HTTP_END, MMX_HTTP_FAULT_NONE, "x"},
	{"upgrade", "HTTP/1.1 101 Switching Protocols\r\n\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_LINE, ""},
	{"no content", "HTTP/1.1 204 No Content\r\n\r\n", MMX_HTTP_END,
	 MMX_HTTP_FAULT_NONE, ""},
	{"not modified with a length",
	 "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", MMX_HTTP_END,
	 MMX_HTTP_FAULT_NONE, ""},
	{"no phrase", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", MMX_HTTP_END,
	 MMX_HTTP_FAULT_NONE, ""},
	{"four digits", "HTTP/1.1 2000 OK\r\n\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_LINE, ""},
	{"status 600", "HTTP/1.1 600 No\r\n\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_LINE, ""},
	{"length and chunks",
	 LINE "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_ENCODING, ""},
	{"two lengths", LINE "Content-Length: 2\r\nContent-Length: 3\r\n\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_LENGTH, ""},
	{"the same length twice",
	 LINE "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_LENGTH, ""},
	{"list of lengths", LINE "Content-Length: 2, 2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_LENGTH, ""},
	{"length with a sign", LINE "Content-Length: +2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_LENGTH, ""},
	{"negative length", LINE "Content-Length: -2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_LENGTH, ""},
	{"hexadecimal length", LINE "Content-Length: 0x2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_LENGTH, ""},
	{"two numbers as length", LINE "Content-Length: 2 2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_LENGTH, ""},
	{"empty length", LINE "Content-Length:\r\n\r\nhi", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_LENGTH, ""},
	{"length beyond 64 bits",
	 LINE "Content-Length: 18446744073709551618\r\n\r\nhi", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_LENGTH, ""},
	{"length with blanks around it", LINE "Content-Length:  2 \r\n\r\nhi",
	 MMX_HTTP_END, MMX_HTTP_FAULT_NONE, "hi"},
	{"blank before the colon", LINE "Content-Length : 2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_HEADER, ""},
	{"blank before the name", LINE " Content-Length: 2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_HEADER, ""},
	{"folded header", LINE "A: b\r\n c\r\nContent-Length: 2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_HEADER, ""},
	{"folded length", LINE "Content-Length:\r\n 2\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_HEADER, ""},
	{"header without a colon", LINE "Content-Len\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_HEADER, ""},
	{"header without a name", LINE ": 2\r\n\r\nhi", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_HEADER, ""},
	{"carriage return within a value", LINE "A: b\rC: d\r\n\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_HEADER, ""},
	{"line feed only", "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_HEADER, ""},
	{"encoding that is not chunked",
	 LINE "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_ENCODING, ""},
	{"chunked twice",
	 LINE "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
	      "\r\n0\r\n\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_ENCODING, ""},
	{"chunks in 1.0",
	 "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_ENCODING, ""},
	{"1.0, kept, with a length",
	 "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 3\r\n"
	 "\r\nhi",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_TRUNCATED, "hi"},
	{"1.0 until close", "HTTP/1.0 200 OK\r\n\r\nhi", MMX_HTTP_END,
	 MMX_HTTP_FAULT_NONE, "hi"},
	{"version 2", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_VERSION, ""},
	{"no status", "HTTP/1.1 \r\nContent-Length: 0\r\n\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_LINE, ""},
	{"only headers", "Content-Length: 0\r\n\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_LINE, ""},
	{"interim response only", "HTTP/1.1 100 Continue\r\n\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_TRUNCATED, ""},
	{"end of a head without its start", "\r\n\r\nhi", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_TRUNCATED, ""},
	{"closed behind a header of the framing", LINE "Content-Length: 2\r\n",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_TRUNCATED, ""},
	{"closed within the end of the head", LINE "Content-Length: 0\r\n\r",
	 MMX_HTTP_FAILED, MMX_HTTP_FAULT_TRUNCATED, ""},
	{"closed before the head ends", LINE "A: b\r\n", MMX_HTTP_FAILED,
	 MMX_HTTP_FAULT_TRUNCATED, ""},
	{"empty", "", MMX_HTTP_FAILED, MMX_HTTP_FAULT_TRUNCATED, ""},
};

/* Guards against a truncated or ambiguous response that passes as whole. */
static void test_responses_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(responses_); i++) {
		const response_case_t *item = &responses_[i];
		struct evbuffer *input = evbuffer_new();
		struct evbuffer *body = evbuffer_new();
		GString *text = g_string_new(NULL);
		mmx_http_reader_t reader;
		mmx_http_event_t event;
		bool good;

		mmx_http_reader_init(&reader, MMX_HTTP_RESPONSE);
		evbuffer_add(input, item->data, strlen(item->data));
		event = drive_(&reader, input, body, text);
		if (event == MMX_HTTP_MORE)
			event = mmx_http_reader_eof(&reader);
		evbuffer_add(body, "", 1);
		good = event == item->event && reader.fault == item->fault &&
		       strcmp((char *)evbuffer_pullup(body, -1), item->body) ==
			       0;
		CU_ASSERT_TRUE(good);
		if (!good)
			printf("\n%s: %s, %s\n", item->name,
			       mmx_http_event_string[event],
			       mmx_http_fault_string[reader.fault]);
		mmx_http_reader_finish(&reader);
		g_string_free(text, TRUE);
		evbuffer_free(input);
		evbuffer_free(body);
	}
}

static const char *const seeds_[] = {
	"GET /a?b=c HTTP/1.1\r\nHost: shop\r\nAccept: */*\r\n\r\n",
	"POST /p HTTP/1.1\r\nHost: shop\r\nContent-Length: 5\r\n\r\nhello",
	"POST /p HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n"
	"\r\n5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: v\r\n\r\n",
	"GET http://shop/x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nA:\r\n\r\nabc",
	"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
	"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
};

/* Changes, removes, repeats or inserts some bytes. */
static void mutate_(GString *data, mmx_random_t *random)
{
	static const char marks[] = "\r\n :;,\t0f-\x01\x7f\xff/";
	uint64_t changes = 1 + mmx_random_below(random, 4);

	while (changes-- > 0 && data->len > 0) {
		size_t at = mmx_random_below(random, data->len);
		char byte = marks[mmx_random_below(random, sizeof(marks))];

		switch (mmx_random_below(random, 4)) {
		case 0:
			data->str[at] = byte;
			break;
		case 1:
			g_string_erase(data, (gssize)at, 1);
			break;
		case 2:
			g_string_insert_c(data, (gssize)at, byte);
			break;
		default:
			g_string_insert_len(data, (gssize)at, data->str,
					    (gssize)MIN(at, 12));
			break;
		}
	}
}

/* Guards against heads that are read otherwise when they arrive in pieces,
 * as libevhtp's parser does, and against crashes on any input. */
static void test_mutations_(void)
{
	mmx_random_t random;
	int i;

	mmx_random_seed(&random, 20261204);
	for (i = 0; i < 20000; i++) {
		size_t seed = mmx_random_below(&random, G_N_ELEMENTS(seeds_));
		mmx_http_kind_t kind =
			seed < 4 ? MMX_HTTP_REQUEST : MMX_HTTP_RESPONSE;
		GString *data = g_string_new(seeds_[seed]);
		outcome_t whole;
		outcome_t parts;
		bool same;

		if (i >= 100)
			mutate_(data, &random);
		whole = read_(kind, data->str, data->len, NULL);
		parts = read_(kind, data->str, data->len, &random);
		same = whole.event == parts.event &&
		       whole.fault == parts.fault &&
		       g_string_equal(whole.text, parts.text) &&
		       (whole.event != MMX_HTTP_END ||
			whole.left == parts.left);
		CU_ASSERT_TRUE(same);
		if (!same)
			printf("\nround %d: %s/%s, %s/%s\n%s\n", i,
			       mmx_http_event_string[whole.event],
			       mmx_http_event_string[parts.event],
			       mmx_http_fault_string[whole.fault],
			       mmx_http_fault_string[parts.fault], data->str);
		if (i < 100)
			CU_ASSERT_EQUAL(whole.event, MMX_HTTP_END);
		g_string_free(whole.text, TRUE);
		g_string_free(parts.text, TRUE);
		g_string_free(data, TRUE);
	}
}

/*
 * Guards against a peer that sends bytes without end which are no message: the
 * reader must give up on them, and not drop them for as long as they come,
 * which keeps the process busy until the deadline of the request.
 */
static void test_endless_(void)
{
	static const struct {
		const char *name;
		mmx_http_kind_t kind;
		const char *start;
		const char *again;
	} cases[] = {
		{"blank lines before a response", MMX_HTTP_RESPONSE, "",
		 "\r\n"},
		{"blank lines before a request", MMX_HTTP_REQUEST, "", "\r\n"},
		{"interim responses", MMX_HTTP_RESPONSE, "",
		 "HTTP/1.1 103 Hints\r\n\r\n"},
		{"interim responses and blank lines", MMX_HTTP_RESPONSE, "",
		 "\r\nHTTP/1.1 100 Continue\r\n\r\n"},
		{"headers", MMX_HTTP_RESPONSE, "HTTP/1.1 200 OK\r\n",
		 "A: b\r\n"},
		{"headers of a request", MMX_HTTP_REQUEST, "GET / HTTP/1.1\r\n",
		 "A: b\r\n"},
		{"one line", MMX_HTTP_RESPONSE, "HTTP/1.1 200 ", "x"},
		{"bytes that are no HTTP", MMX_HTTP_RESPONSE, "", "\x16\x03"},
		{"a chunk extension", MMX_HTTP_RESPONSE,
		 LINE "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"zeros of a chunk size", MMX_HTTP_RESPONSE,
		 LINE "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"trailers", MMX_HTTP_RESPONSE,
		 LINE "Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: v\r\n"},
	};
	enum { MOST = 64 * 1024 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct evbuffer *input = evbuffer_new();
		struct evbuffer *body = evbuffer_new();
		mmx_http_event_t event = MMX_HTTP_MORE;
		mmx_http_reader_t reader;
		size_t sent = strlen(cases[i].start);

		mmx_http_reader_init(&reader, cases[i].kind);
		evbuffer_add(input, cases[i].start, sent);
		while (event != MMX_HTTP_FAILED && sent < MOST) {
			evbuffer_add(input, cases[i].again,
				     strlen(cases[i].again));
			sent += strlen(cases[i].again);
			do
				event = mmx_http_reader_run(&reader, input,
							    body);
			while (event != MMX_HTTP_MORE &&
			       event != MMX_HTTP_FAILED);
		}
		if (event != MMX_HTTP_FAILED)
			printf("\n  %s\n", cases[i].name);
		CU_ASSERT_EQUAL(event, MMX_HTTP_FAILED);
		mmx_http_reader_finish(&reader);
		evbuffer_free(input);
		evbuffer_free(body);
	}
}

CU_TestInfo mmx_tests_http_reader[] = {
	{"framing of responses", test_responses_},
	{"mutations in one piece and in parts", test_mutations_},
	{"bytes without end", test_endless_},
	CU_TEST_INFO_NULL,
};
