/*
 * Sends malformed input to a running node: HTTP to its callers address, bytes
 * over TCP and UDP to its node address, one after the other. Each TCP input
 * is a connection of its own, which ends when the node has closed it.
 *
 *   build/bench/hostile --callers=IP:PORT --nodes=IP:PORT [--host=HOST]
 *                       [--inputs=N] [--seed=N] [--json]
 *
 * Half of the HTTP inputs are malformed by construction and name HOST, so a
 * target of this service must not see them; the others are mutations, which
 * may be valid by chance and name an unknown service. Exit status: 0 when
 * each input was refused, 1 otherwise, 2 for a wrong command line.
 */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "masticmux/address.h"
#include "masticmux/random.h"

#define INPUTS 100000
/* A connection that the node leaves open for this long counts as open. */
#define TIMEOUT_S 10
#define RANDOM_MAX 512
/* More than a head may have: 16 KiB and 100 headers. */
#define LONG_HEADER 20000
#define MANY_HEADERS 120
#define RPC_PROGRAM 0x20004d58
#define RPC_VERSION 1
/* One more than the longest record. */
#define LONG_RECORD (1024 * 1024 + 1)
#define LAST_FRAGMENT 0x80000000U

typedef enum kind_t {
	KIND_HTTP_MALFORMED,
	KIND_HTTP_MUTATED,
	KIND_NODE_TCP,
	KIND_NODE_UDP,
	KIND_COUNT
} kind_t;

static const char *const kind_string_[KIND_COUNT] = {
	"http_malformed",
	"http_mutated",
	"node_tcp",
	"node_udp",
};

typedef enum result_t {
	RESULT_CLOSED,	/* closed without an answer */
	RESULT_REFUSED, /* HTTP status 4xx, or 501 or 505 */
	RESULT_ANSWERED,
	RESULT_OPEN, /* neither closed nor answered in time */
	RESULT_NOT_CONNECTED,
	RESULT_SENT, /* datagrams */
	RESULT_COUNT
} result_t;

static const char *const result_string_[RESULT_COUNT] = {
	"closed", "refused", "answered", "open", "not_connected", "sent",
};

typedef struct hostile_t {
	struct sockaddr_storage callers;
	struct sockaddr_storage nodes;
	int callers_length;
	int nodes_length;
	int datagrams; /* socket */
	const char *host;
	mmx_random_t random;
	GByteArray *input;
	uint64_t counts[KIND_COUNT][RESULT_COUNT];
} hostile_t;

static uint32_t below_(hostile_t *hostile, uint32_t limit)
{
	return (uint32_t)mmx_random_below(&hostile->random, limit);
}

static void add_text_(hostile_t *hostile, const char *text)
{
	g_byte_array_append(hostile->input, (const guint8 *)text,
			    (guint)strlen(text));
}

static void add_u32_(hostile_t *hostile, uint32_t value)
{
	uint32_t bytes = htonl(value);

	g_byte_array_append(hostile->input, (const guint8 *)&bytes,
			    sizeof(bytes));
}

static void add_random_(hostile_t *hostile, uint32_t length)
{
	uint32_t i;

	for (i = 0; i < length; i++) {
		guint8 byte = (guint8)below_(hostile, 256);

		g_byte_array_append(hostile->input, &byte, 1);
	}
}

/* ---- HTTP ---- */

/* Each has one fault after a valid host; "\r\n\r\n" is added. */
static const char *const faults_[] = {
	"Content-Length: -1",
	"Content-Length: 1x",
	"Content-Length: 99999999999999999999",
	"Content-Length: 1\r\nContent-Length: 2",
	"Content-Length: 1\r\nTransfer-Encoding: chunked",
	"Transfer-Encoding: gzip",
	"Transfer-Encoding: chunked, chunked",
	"No-Colon",
	": no name",
	"Bad Name: 1",
	"Name : 1",
	"Bad\001Name: 1",
	"Value: \001",
	"Host: other.example",
	"Masticmux-Timeout-Ms: soon",
	"Masticmux-Timeout-Ms: -1",
};

static const char *const lines_[] = {
	"GET\r\n",
	"GET / HTTP/9.9\r\n",
	"GET /\r\n",
	"G\001T / HTTP/1.1\r\n",
	"GET / HTTP/1.1 x\r\n",
	" GET / HTTP/1.1\r\n",
	"GET \001 HTTP/1.1\r\n",
	"GET x HTTP/1.1\r\n",
	"\001\002\003\r\n",
};

static void add_host_(hostile_t *hostile, const char *host)
{
	add_text_(hostile, "Host: ");
	add_text_(hostile, host);
	add_text_(hostile, "\r\n");
}

static void add_large_head_(hostile_t *hostile)
{
	uint32_t i;

	if (below_(hostile, 2)) {
		char *value = g_strnfill(LONG_HEADER, 'a');

		add_text_(hostile, "Long: ");
		add_text_(hostile, value);
		g_free(value);
		return;
	}
	for (i = 0; i < MANY_HEADERS; i++)
		add_text_(hostile, "A: b\r\n");
	add_text_(hostile, "A: b");
}

static void make_malformed_(hostile_t *hostile)
{
	uint32_t choice = below_(hostile, 4);

	if (choice == 0) {
		add_text_(hostile,
			  lines_[below_(hostile, G_N_ELEMENTS(lines_))]);
		add_host_(hostile, hostile->host);
	} else {
		add_text_(hostile, "POST / HTTP/1.1\r\n");
		add_host_(hostile, hostile->host);
		if (choice == 1)
			add_large_head_(hostile);
		else
			add_text_(hostile,
				  faults_[below_(hostile,
						 G_N_ELEMENTS(faults_))]);
		add_text_(hostile, "\r\n");
	}
	add_text_(hostile, "\r\n");
}

static void add_valid_(hostile_t *hostile)
{
	add_text_(hostile, "POST /path?query HTTP/1.1\r\n");
	add_host_(hostile, "hostile.invalid");
	switch (below_(hostile, 3)) {
	case 0:
		add_text_(hostile, "Content-Length: 5\r\n\r\nhello");
		break;
	case 1:
		add_text_(hostile, "Transfer-Encoding: chunked\r\n\r\n"
				   "5\r\nhello\r\n0\r\n\r\n");
		break;
	default:
		add_text_(hostile, "Masticmux-Timeout-Ms: 100\r\n\r\n");
		break;
	}
}

static void mutate_(hostile_t *hostile)
{
	GByteArray *input = hostile->input;
	uint32_t at;
	uint32_t length;

	if (input->len == 0)
		return;
	at = below_(hostile, input->len);
	length = 1 + below_(hostile, input->len - at);
	switch (below_(hostile, 4)) {
	case 0:
		input->data[at] = (guint8)below_(hostile, 256);
		break;
	case 1:
		g_byte_array_remove_range(input, at, length);
		break;
	case 2: {
		guint8 *copy = g_memdup2(input->data + at, length);

		g_byte_array_append(input, copy, length);
		g_free(copy);
		break;
	}
	default:
		input->data[at] ^= (guint8)(1U << below_(hostile, 8));
		break;
	}
}

static void make_mutated_(hostile_t *hostile)
{
	uint32_t mutations = 1 + below_(hostile, 8);

	if (below_(hostile, 8) == 0) {
		add_random_(hostile, 1 + below_(hostile, RANDOM_MAX));
		return;
	}
	add_valid_(hostile);
	while (mutations-- > 0)
		mutate_(hostile);
}

/* ---- node port ---- */

/* A call with random credentials, verifier and arguments. */
static void add_call_(hostile_t *hostile)
{
	uint32_t rpc_version = below_(hostile, 8) ? 2 : below_(hostile, 9);
	uint32_t procedure = below_(hostile, 40);
	uint32_t length = below_(hostile, 64);

	add_u32_(hostile, below_(hostile, UINT32_MAX));
	add_u32_(hostile, below_(hostile, 3));
	add_u32_(hostile, rpc_version);
	add_u32_(hostile, RPC_PROGRAM);
	add_u32_(hostile, RPC_VERSION);
	add_u32_(hostile, procedure);
	add_u32_(hostile, below_(hostile, 2));
	add_u32_(hostile, below_(hostile, 4) ? 0 : UINT32_MAX);
	add_u32_(hostile, below_(hostile, 4));
	add_u32_(hostile, length);
	add_random_(hostile, length + below_(hostile, RANDOM_MAX));
}

static void make_bytes_(hostile_t *hostile, bool is_stream)
{
	uint32_t choice = below_(hostile, 4);
	uint32_t mark;

	if (choice == 0) {
		add_random_(hostile, 1 + below_(hostile, RANDOM_MAX));
		return;
	}
	if (is_stream)
		add_u32_(hostile, 0);
	add_call_(hostile);
	if (choice == 1)
		mutate_(hostile);
	if (!is_stream || hostile->input->len < sizeof(mark))
		return;
	mark = htonl(LAST_FRAGMENT |
		     (choice == 2
			      ? LONG_RECORD
			      : hostile->input->len - (uint32_t)sizeof(mark)));
	memcpy(hostile->input->data, &mark, sizeof(mark));
}

/* ---- sending ---- */

static int connect_(const struct sockaddr_storage *address, int length)
{
	struct timeval timeout = {.tv_sec = TIMEOUT_S};
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	int fd = socket(address->ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	/* A reset keeps the port out of TIME_WAIT; there are fewer ports than
	 * inputs. */
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	if (connect(fd, (const struct sockaddr *)address, (socklen_t)length)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Reads to the end; the first bytes go to head. False at a timeout. */
static bool read_all_(int fd, char *head, size_t size)
{
	char part[4096];
	size_t used = 0;
	ssize_t got;

	while ((got = recv(fd, part, sizeof(part), 0)) > 0) {
		size_t copied = MIN((size_t)got, size - 1 - used);

		memcpy(head + used, part, copied);
		used += copied;
	}
	head[used] = '\0';
	return got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

static result_t judge_(const char *head)
{
	int status = 0;

	if (!head[0])
		return RESULT_CLOSED;
	if (sscanf(head, "HTTP/1.%*d %d", &status) != 1)
		return RESULT_ANSWERED;
	return (status >= 400 && status < 500) || status == 501 || status == 505
		       ? RESULT_REFUSED
		       : RESULT_ANSWERED;
}

static result_t send_stream_(hostile_t *hostile,
			     const struct sockaddr_storage *address, int length)
{
	char head[64];
	result_t result;
	int fd = connect_(address, length);

	if (fd < 0)
		return RESULT_NOT_CONNECTED;
	/* The node may refuse and close before it has read everything. */
	(void)!send(fd, hostile->input->data, hostile->input->len,
		    MSG_NOSIGNAL);
	shutdown(fd, SHUT_WR);
	result = read_all_(fd, head, sizeof(head)) ? judge_(head) : RESULT_OPEN;
	close(fd);
	return result;
}

static result_t send_datagram_(hostile_t *hostile)
{
	ssize_t sent = sendto(hostile->datagrams, hostile->input->data,
			      hostile->input->len, 0,
			      (struct sockaddr *)&hostile->nodes,
			      (socklen_t)hostile->nodes_length);

	return sent < 0 ? RESULT_NOT_CONNECTED : RESULT_SENT;
}

static result_t send_(hostile_t *hostile, kind_t kind)
{
	g_byte_array_set_size(hostile->input, 0);
	switch (kind) {
	case KIND_HTTP_MALFORMED:
		make_malformed_(hostile);
		break;
	case KIND_HTTP_MUTATED:
		make_mutated_(hostile);
		break;
	default:
		make_bytes_(hostile, kind == KIND_NODE_TCP);
		break;
	}
	if (kind == KIND_NODE_UDP)
		return send_datagram_(hostile);
	if (kind == KIND_NODE_TCP)
		return send_stream_(hostile, &hostile->nodes,
				    hostile->nodes_length);
	return send_stream_(hostile, &hostile->callers,
			    hostile->callers_length);
}

/* Inputs that the node took for valid or left without an end. */
static uint64_t count_accepted_(const hostile_t *hostile)
{
	uint64_t accepted = 0;
	int kind;

	for (kind = 0; kind < KIND_COUNT; kind++) {
		accepted += hostile->counts[kind][RESULT_OPEN];
		accepted += hostile->counts[kind][RESULT_NOT_CONNECTED];
		accepted += hostile->counts[kind][RESULT_ANSWERED];
	}
	return accepted;
}

static void print_(const hostile_t *hostile, int64_t inputs, int64_t seed,
		   bool json)
{
	json_t *root = json_pack("{s:I,s:I,s:I}", "inputs", (json_int_t)inputs,
				 "seed", (json_int_t)seed, "accepted",
				 (json_int_t)count_accepted_(hostile));
	int kind;
	int result;

	for (kind = 0; kind < KIND_COUNT; kind++) {
		json_t *counts = json_object();

		for (result = 0; result < RESULT_COUNT; result++) {
			uint64_t count = hostile->counts[kind][result];

			json_object_set_new(counts, result_string_[result],
					    json_integer((json_int_t)count));
			if (!json && count > 0)
				printf("%s %s: %" PRIu64 " inputs\n",
				       kind_string_[kind],
				       result_string_[result], count);
		}
		json_object_set_new(root, kind_string_[kind], counts);
	}
	if (json) {
		json_dumpf(root, stdout, JSON_INDENT(1));
		printf("\n");
	} else {
		printf("%" PRId64 " inputs of seed %" PRId64 ", %" PRIu64
		       " not refused\n",
		       inputs, seed, count_accepted_(hostile));
	}
	json_decref(root);
}

static bool address_(const char *text, struct sockaddr_storage *address,
		     int *length)
{
	mmx_address_t parsed;

	if (!text || !mmx_address_parse(text, &parsed))
		return false;
	*length = (int)mmx_address_to_sockaddr(&parsed, address);
	return *length > 0;
}

int main(int argc, char **argv)
{
	char *callers = NULL;
	char *nodes = NULL;
	char *host = NULL;
	gint64 inputs = INPUTS;
	gint64 seed = 1;
	gboolean json = FALSE;
	const GOptionEntry entries[] = {
		{"callers", 0, 0, G_OPTION_ARG_STRING, &callers,
		 "Callers address of the node", "IP:PORT"},
		{"nodes", 0, 0, G_OPTION_ARG_STRING, &nodes,
		 "Node address of the node", "IP:PORT"},
		{"host", 0, 0, G_OPTION_ARG_STRING, &host,
		 "Host of a known service", "HOST"},
		{"inputs", 0, 0, G_OPTION_ARG_INT64, &inputs,
		 "Inputs of all kinds together (100000)", "N"},
		{"seed", 0, 0, G_OPTION_ARG_INT64, &seed,
		 "Seed of the inputs (1)", "N"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL},
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	hostile_t hostile = {.input = g_byte_array_new()};
	GError *error = NULL;
	int64_t i;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    !address_(callers, &hostile.callers, &hostile.callers_length) ||
	    !address_(nodes, &hostile.nodes, &hostile.nodes_length)) {
		fprintf(stderr, "hostile: %s\n",
			error ? error->message
			      : "--callers and --nodes take IP:PORT");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	hostile.host = host ? host : "known.example";
	hostile.datagrams =
		socket(hostile.nodes.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	mmx_random_seed(&hostile.random, (uint64_t)seed);
	for (i = 0; i < inputs; i++) {
		kind_t kind = (kind_t)(i % KIND_COUNT);

		hostile.counts[kind][send_(&hostile, kind)]++;
	}
	print_(&hostile, inputs, seed, json);
	close(hostile.datagrams);
	g_byte_array_free(hostile.input, TRUE);
	g_option_context_free(context);
	return count_accepted_(&hostile) > 0;
}
