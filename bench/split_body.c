/*
 * Sends requests whose body follows the head in a segment of its own, one
 * after the other on one connection, and measures the time from the body to
 * the end of the response. Shows delays that arise only when a request comes
 * in parts, such as a part that TCP holds back.
 *
 *   build/bench/split_body --to=IP:PORT --host=HOST [--requests=N] [--json]
 *
 * Exit status: 0 when each response had status 200, 1 otherwise, 2 for a wrong
 * command line.
 */
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "masticmux/address.h"

#define REQUESTS 500
#define BODY_BYTES 64
#define TIMEOUT_S 10
/* Enough for the head to reach the target before the body is sent. */
#define PAUSE_US 2000
#define RESPONSE_MAX 65536

static int connect_(const char *to)
{
	struct timeval timeout = {.tv_sec = TIMEOUT_S};
	struct sockaddr_storage address;
	mmx_address_t parsed;
	int length;
	int on = 1;
	int fd;

	if (!to || !mmx_address_parse(to, &parsed))
		return -1;
	length = (int)mmx_address_to_sockaddr(&parsed, &address);
	fd = socket(address.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, (socklen_t)length)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Bytes of the whole response, or 0 while its end is unknown. */
static size_t response_bytes_(const char *text)
{
	const char *end = strstr(text, "\r\n\r\n");
	const char *length = strcasestr(text, "\r\nContent-Length:");

	if (!end || !length || length > end)
		return 0;
	return (size_t)(end - text) + 4 +
	       strtoul(length + strlen("\r\nContent-Length:"), NULL, 10);
}

/* True when a whole response with status 200 was received. */
static bool read_response_(int fd)
{
	static char text[RESPONSE_MAX];
	size_t used = 0;
	size_t wanted = 0;

	while (wanted == 0 || used < wanted) {
		ssize_t got = recv(fd, text + used, sizeof(text) - 1 - used, 0);

		if (got <= 0)
			return false;
		used += (size_t)got;
		text[used] = '\0';
		wanted = response_bytes_(text);
	}
	return strncmp(text, "HTTP/1.1 200 ", strlen("HTTP/1.1 200 ")) == 0;
}

/* Milliseconds from the body to the end of the response; below 0: failed. */
static double request_(int fd, const char *head)
{
	static const char body[BODY_BYTES];
	gint64 started;

	if (send(fd, head, strlen(head), MSG_NOSIGNAL) != (ssize_t)strlen(head))
		return -1;
	g_usleep(PAUSE_US);
	started = g_get_monotonic_time();
	if (send(fd, body, sizeof(body), MSG_NOSIGNAL) != sizeof(body) ||
	    !read_response_(fd))
		return -1;
	return (double)(g_get_monotonic_time() - started) / 1000;
}

static int compare_(gconstpointer left, gconstpointer right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return (a > b) - (a < b);
}

static double percentile_(const GArray *sorted, guint percent)
{
	guint at = (sorted->len * percent + 99) / 100;

	return sorted->len ? g_array_index(sorted, double, at ? at - 1 : 0) : 0;
}

static void print_(const GArray *sorted, bool json)
{
	double p50 = percentile_(sorted, 50);
	double p99 = percentile_(sorted, 99);

	if (json)
		printf("{\"requests\": %u, \"p50_ms\": %.3f, \"p99_ms\": "
		       "%.3f}\n",
		       sorted->len, p50, p99);
	else
		printf("%u requests: p50 %.3f ms, p99 %.3f ms\n", sorted->len,
		       p50, p99);
}

int main(int argc, char **argv)
{
	char *to = NULL;
	char *host = NULL;
	gint requests = REQUESTS;
	gboolean json = FALSE;
	const GOptionEntry entries[] = {
		{"to", 0, 0, G_OPTION_ARG_STRING, &to, "Node or target",
		 "IP:PORT"},
		{"host", 0, 0, G_OPTION_ARG_STRING, &host, "Host of a service",
		 "HOST"},
		{"requests", 0, 0, G_OPTION_ARG_INT, &requests,
		 "Requests (500)", "N"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL},
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	GArray *latencies = g_array_new(FALSE, FALSE, sizeof(double));
	bool parsed;
	char *head;
	int fd;
	int i;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL) && host;
	g_option_context_free(context);
	fd = parsed ? connect_(to) : -1;
	if (fd < 0) {
		fprintf(stderr, "split_body: --to=IP:PORT and --host=HOST must "
				"name a service that answers\n");
		return 2;
	}
	head = g_strdup_printf("POST / HTTP/1.1\r\nHost: %s\r\n"
			       "Content-Length: %d\r\n\r\n",
			       host, BODY_BYTES);
	for (i = 0; i < requests; i++) {
		double latency = request_(fd, head);

		if (latency < 0)
			break;
		g_array_append_val(latencies, latency);
	}
	g_array_sort(latencies, compare_);
	print_(latencies, json);
	close(fd);
	g_free(head);
	return i < requests;
}
