#include "suites.h"

#include <inttypes.h>
#include <string.h>

#include "http_setup.h"
#include "masticmux/random.h"

typedef struct exchange_case_t {
	const char *name;
	const char *sent;
	const char *expected[4]; /* all occur, in this order */
	int requests;		 /* that reach the entry */
	bool closes;
} exchange_case_t;

static const exchange_case_t exchanges_[] = {
	{"get",
	 "GET /a?b=c HTTP/1.1\r\n" HOST "\r\n",
	 {OK "X-Target: t\r\nMasticmux-Outcome: completed\r\n"
	     "Content-Length: 13\r\n\r\n<GET /a?b=c >"},
	 1,
	 false},
	{"head",
	 "HEAD /a HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n",
	 {OK, "Connection: close\r\n\r\n"},
	 1,
	 true},
	{"length",
	 "POST / HTTP/1.1\r\n" HOST "Content-Length: 5\r\n\r\nhello",
	 {OK, "<POST / hello>"},
	 1,
	 false},
	{"chunks, extension and trailer",
	 "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
	 "3;a=b\r\nhel\r\n002\r\nlo\r\n0\r\nX-T: v\r\n\r\n",
	 {OK, "<POST / hello>"},
	 1,
	 false},
	{"pipelined requests are answered in order",
	 "GET /1 HTTP/1.1\r\n" HOST "\r\n"
	 "POST /2 HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nhi"
	 "GET /3 HTTP/1.1\r\n" HOST "\r\n",
	 {"<GET /1 >", "<POST /2 hi>", "<GET /3 >"},
	 3,
	 false},
	{"1.0 closes", "GET / HTTP/1.0\r\n\r\n", {OK, "<GET / >"}, 1, true},
	{"1.0 keep-alive",
	 "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	 {"Connection: keep-alive\r\n", "<GET / >"},
	 1,
	 false},
	{"close",
	 "GET / HTTP/1.1\r\n" HOST "Connection: a, Close\r\n\r\n",
	 {"Connection: close\r\n", "<GET / >"},
	 1,
	 true},
	{"absolute form",
	 "GET http://o:1/x HTTP/1.1\r\n" HOST "\r\n",
	 {OK, "<GET /x >"},
	 1,
	 false},
	{"blank lines first",
	 "\r\n\r\nGET / HTTP/1.1\r\n" HOST "\r\n",
	 {OK, "<GET / >"},
	 1,
	 false},
	{"continue",
	 "POST / HTTP/1.1\r\n" HOST "Expect: 100-continue\r\n"
	 "Content-Length: 1\r\n\r\n",
	 {"HTTP/1.1 100 Continue\r\n\r\n"},
	 1,
	 false},
	{"unusual method",
	 "REPORT / HTTP/1.1\r\n" HOST "\r\n",
	 {OK, "<REPORT / >"},
	 1,
	 false},
	{"bad request after a good one",
	 "GET / HTTP/1.1\r\n" HOST "\r\nGET / HTTP/1.1\r\n\r\n",
	 {OK, "<GET / >", "HTTP/1.1 400 ", "not-run"},
	 1,
	 true},
};

static bool occur_in_order_(const char *text, const char *const *expected)
{
	size_t i;

	for (i = 0; i < 4 && expected[i]; i++) {
		text = strstr(text, expected[i]);
		if (!text)
			return false;
		text += strlen(expected[i]);
	}
	return true;
}

static const char *last_(const char *const *expected)
{
	size_t i = 0;

	while (i < 3 && expected[i + 1])
		i++;
	return expected[i];
}

static void run_exchange_(const exchange_case_t *item, size_t step)
{
	http_setup_t setup;
	wire_t wire;
	size_t length = strlen(item->sent);
	size_t at;
	bool good;

	http_setup_open(&setup);
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	for (at = 0; at < length; at += step) {
		wire_send(&wire, item->sent + at, MIN(step, length - at));
		fixture_turn(&setup.fixture);
	}
	good = item->closes ? wire_expect_closed(&wire)
			    : wire_expect(&wire, last_(item->expected));
	good = good && occur_in_order_(wire.in->str, item->expected) &&
	       setup.entry.requests == item->requests &&
	       wire.closed == item->closes && !wire.reset;
	CU_ASSERT_TRUE(good);
	if (!good)
		printf("\n%s, step %zu: %d requests, got %s\n", item->name,
		       step, setup.entry.requests, wire.in->str);
	wire_close(&wire);
	http_setup_close(&setup);
}

/* Guards against valid requests that are misread, in one piece or by byte. */
static void test_exchanges_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(exchanges_); i++) {
		run_exchange_(&exchanges_[i], 100000);
		run_exchange_(&exchanges_[i], 1);
	}
}

typedef struct hostile_case_t {
	const char *name;
	const char *start;
	const char *repeated; /* so many times after the start */
	int times;
	const char *end;
	const char *status;
	const char *reason;
} hostile_case_t;

#define BAD "400", "bad-request"
#define ONCE(text) text, "", 0, ""

static const hostile_case_t hostile_[] = {
	{"no host", ONCE(GET "\r\n"), BAD},
	{"two hosts", ONCE(GET HOST HOST "\r\n"), BAD},
	{"empty host", ONCE(GET "Host:\r\n\r\n"), BAD},
	{"host with path", ONCE(GET "Host: a/b\r\n\r\n"), BAD},
	{"lone line feeds", ONCE("GET / HTTP/1.1\nHost: shop\n\n"), BAD},
	{"space in name", ONCE(GET HOST "A b: c\r\n\r\n"), BAD},
	{"space before colon", ONCE(GET HOST "A : c\r\n\r\n"), BAD},
	{"no colon", ONCE(GET HOST "A\r\n\r\n"), BAD},
	{"empty name", ONCE(GET HOST ": c\r\n\r\n"), BAD},
	{"folded line", ONCE(GET HOST "A: b\r\n c\r\n\r\n"), BAD},
	{"control byte in value", ONCE(GET HOST "A: \x01\r\n\r\n"), BAD},
	{"length and chunks",
	 ONCE(POST "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
	 BAD},
	{"two lengths",
	 ONCE(POST "Content-Length: 1\r\nContent-Length: 1\r\n\r\n"), BAD},
	{"list of lengths", ONCE(POST "Content-Length: 1, 1\r\n\r\n"), BAD},
	{"signed length", ONCE(POST "Content-Length: +1\r\n\r\n"), BAD},
	{"negative length", ONCE(POST "Content-Length: -1\r\n\r\n"), BAD},
	{"hexadecimal length", ONCE(POST "Content-Length: 0x1\r\n\r\n"), BAD},
	{"empty length", ONCE(POST "Content-Length:\r\n\r\n"), BAD},
	{"length of 64 bits",
	 ONCE(POST "Content-Length: 18446744073709551617\r\n\r\n"), BAD},
	{"other encoding",
	 ONCE(POST "Transfer-Encoding: gzip, chunked\r\n\r\n"), BAD},
	{"two encodings",
	 ONCE(POST "Transfer-Encoding: chunked\r\n"
		   "Transfer-Encoding: chunked\r\n\r\n"),
	 BAD},
	{"chunks in 1.0",
	 ONCE("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"), BAD},
	{"bad chunk size",
	 ONCE(POST "Transfer-Encoding: chunked\r\n\r\nzz\r\n"), BAD},
	{"huge chunk size",
	 ONCE(POST "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"),
	 BAD},
	{"version 2", ONCE("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), BAD},
	{"version 1.2", ONCE("GET / HTTP/1.2\r\n" HOST "\r\n"), BAD},
	{"no version", ONCE("GET /\r\n\r\n"), BAD},
	{"two spaces", ONCE("GET  / HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"no slash", ONCE("GET x HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"fragment", ONCE("GET /#x HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"byte above ASCII", ONCE("GET /\xff HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"connect", ONCE("CONNECT a:1 HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"TLS", ONCE("\x16\x03\x01\x02\x01\xfc\x03\x03\r\n\r\n"), BAD},
	{"unknown expectation", ONCE(GET HOST "Expect: tea\r\n\r\n"), "417",
	 "bad-request"},
	{"101 headers", GET HOST, "A: b\r\n", 100, "\r\n", "431",
	 "header-too-large"},
	{"17 KiB of headers", GET HOST,
	 "Abcdefgh: 0123456789abcdef0123456789\r\n", 600, "\r\n", "431",
	 "header-too-large"},
	{"endless header", GET HOST "A: ", "aaaaaaaa", 4000, "", "431",
	 "header-too-large"},
	{"endless request line", "GET /", "aaaaaaaa", 4000, "", "414",
	 "header-too-large"},
};

static void run_hostile_(const hostile_case_t *item)
{
	http_setup_t setup;
	wire_t wire;
	GString *sent = g_string_new(item->start);
	char *refusal = g_strdup_printf("HTTP/1.1 %s ", item->status);
	char *reason = g_strdup_printf("Masticmux-Outcome: not-run\r\n"
				       "Masticmux-Reason: %s\r\n",
				       item->reason);
	bool good;
	int i;

	for (i = 0; i < item->times; i++)
		g_string_append(sent, item->repeated);
	g_string_append(sent, item->end);
	http_setup_open(&setup);
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&wire, sent->str, sent->len);
	good = wire_expect_closed(&wire) && !wire.reset &&
	       g_str_has_prefix(wire.in->str, refusal) &&
	       strstr(wire.in->str, reason) && setup.entry.requests == 0;
	CU_ASSERT_TRUE(good);
	if (!good)
		printf("\n%s: %d requests, got %s\n", item->name,
		       setup.entry.requests, wire.in->str);
	wire_close(&wire);
	http_setup_close(&setup);
	g_string_free(sent, TRUE);
	g_free(refusal);
	g_free(reason);
}

/* Guards against malformed requests that reach a target. */
static void test_hostile_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hostile_); i++)
		run_hostile_(&hostile_[i]);
}

/* Sends a mutated request and checks that the answer, if any, is complete. */
static void send_mutated_(http_setup_t *setup, mmx_random_t *random)
{
	const exchange_case_t *seed =
		&exchanges_[mmx_random_below(random, G_N_ELEMENTS(exchanges_))];
	GString *data = g_string_new(seed->sent);
	uint64_t changes = 1 + mmx_random_below(random, 5);
	wire_t wire;

	while (changes-- > 0) {
		size_t at = mmx_random_below(random, data->len);

		if (mmx_random_below(random, 3) == 0)
			g_string_erase(data, (gssize)at, 1);
		else
			data->str[at] = (char)mmx_random_next(random);
	}
	wire_open(&wire, &setup->fixture, mmx_http_entry_port(setup->http));
	wire_send(&wire, data->str, data->len);
	fixture_turn(&setup->fixture);
	wire_send_end(&wire);
	CU_ASSERT_TRUE(wire_expect_closed(&wire));
	if (wire.in->len > 0 && !strstr(wire.in->str, "100 Continue"))
		CU_ASSERT_PTR_NOT_NULL(
			strstr(wire.in->str, "Masticmux-Outcome: "));
	wire_close(&wire);
	g_string_free(data, TRUE);
}

/* Guards against crashes and leaked connections on any input. */
static void test_mutations_(void)
{
	http_setup_t setup;
	mmx_random_t random;
	wire_t wire;
	int i;

	http_setup_open(&setup);
	mmx_random_seed(&random, 4711);
	for (i = 0; i < 5000; i++)
		send_mutated_(&setup, &random);
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, http_setup_is_unused, &setup));
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&wire, exchanges_[0].sent, strlen(exchanges_[0].sent));
	CU_ASSERT_TRUE(wire_expect(&wire, "<GET /a?b=c >"));
	wire_close(&wire);
	http_setup_close(&setup);
}

CU_TestInfo mmx_tests_http_entry[] = {
	{"valid exchanges", test_exchanges_},
	{"hostile requests", test_hostile_},
	{"mutated requests", test_mutations_},
	CU_TEST_INFO_NULL,
};
