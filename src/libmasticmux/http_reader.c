#include "private/http_reader.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>
#include <strings.h>

#include "private/http_head.h"

/* Longest chunk size line with extensions, bytes. */
#define CHUNK_LINE_MAX 256
/* Hexadecimal digits of a chunk size that fit without overflow. */
#define CHUNK_DIGITS_MAX 15

const char *const mmx_http_kind_string[MMX_HTTP_KIND_COUNT] = {
	"request",
	"response",
};

const char *const mmx_http_event_string[MMX_HTTP_EVENT_COUNT] = {
	"more", "head", "data", "end", "failed",
};

const char *const mmx_http_fault_string[MMX_HTTP_FAULT_COUNT] = {
	"none",		 "start-line",	   "version",		"header",
	"host",		 "content-length", "transfer-encoding", "chunk",
	"line-too-long", "head-too-large", "truncated",
};

const char *const mmx_http_framing_string[MMX_HTTP_FRAMING_COUNT] = {
	"none",
	"length",
	"chunked",
	"until-close",
};

enum reader_state_t {
	STATE_HEAD,
	STATE_BODY,
	STATE_CHUNK_SIZE,
	STATE_CHUNK_DATA,
	STATE_CHUNK_END,
	STATE_TRAILER,
	STATE_END,
	STATE_FAILED,
};

void mmx_http_reader_init(mmx_http_reader_t *reader, mmx_http_kind_t kind)
{
	memset(reader, 0, sizeof(*reader));
	reader->kind = kind;
}

void mmx_http_reader_finish(mmx_http_reader_t *reader)
{
	mmx_head_destroy(reader->head);
	reader->head = NULL;
}

void mmx_http_reader_reset(mmx_http_reader_t *reader)
{
	mmx_http_reader_finish(reader);
	mmx_http_reader_init(reader, reader->kind);
}

static mmx_http_event_t fail_(mmx_http_reader_t *reader, mmx_http_fault_t fault)
{
	reader->fault = fault;
	reader->state = STATE_FAILED;
	return MMX_HTTP_FAILED;
}

static mmx_http_event_t end_(mmx_http_reader_t *reader)
{
	reader->state = STATE_END;
	return MMX_HTTP_END;
}

/* Drops blank lines before a request (RFC 9112, section 2.2). */
static void skip_blank_lines_(mmx_http_reader_t *reader, struct evbuffer *input)
{
	char start[2];

	while (reader->skipped < MMX_HTTP_HEAD_MAX &&
	       evbuffer_copyout(input, start, 2) == 2 && start[0] == '\r' &&
	       start[1] == '\n') {
		evbuffer_drain(input, 2);
		reader->skipped += 2;
	}
}

bool mmx_http_reader_is_done(const mmx_http_reader_t *reader)
{
	return reader->state == STATE_END;
}

bool mmx_http_reader_is_idle(const mmx_http_reader_t *reader,
			     const struct evbuffer *input)
{
	return reader->state == STATE_HEAD && reader->scanned == 0 &&
	       evbuffer_get_length(input) == 0;
}

/*
 * Looks for the end of the head in data; returns its length, 0 when it is not
 * there yet. A line feed without a carriage return is a fault: peers that
 * take it for a line end would see other headers than this reader.
 */
static size_t find_head_end_(mmx_http_reader_t *reader, const char *data,
			     size_t length)
{
	size_t at = reader->scanned;
	const char *feed;

	while (at < length && (feed = memchr(data + at, '\n', length - at))) {
		at = (size_t)(feed - data) + 1;
		if (at < 2 || data[at - 2] != '\r') {
			reader->fault = MMX_HTTP_FAULT_HEADER;
			return 0;
		}
		if (at >= 4 && data[at - 4] == '\r' && data[at - 3] == '\n')
			return at;
	}
	reader->scanned = length;
	return 0;
}

static mmx_http_event_t check_unfinished_head_(mmx_http_reader_t *reader,
					       const char *data, size_t length)
{
	if (reader->fault)
		return fail_(reader, reader->fault);
	if (length > MMX_HTTP_LINE_MAX &&
	    !memchr(data, '\n', MMX_HTTP_LINE_MAX))
		return fail_(reader, MMX_HTTP_FAULT_LINE_TOO_LONG);
	if (length >= MMX_HTTP_HEAD_MAX)
		return fail_(reader, MMX_HTTP_FAULT_HEAD_TOO_LARGE);
	return MMX_HTTP_MORE;
}

static void start_body_(mmx_http_reader_t *reader)
{
	reader->remaining = reader->length;
	switch (reader->framing) {
	case MMX_HTTP_CHUNKED:
		reader->state = STATE_CHUNK_SIZE;
		break;
	case MMX_HTTP_NO_BODY:
		reader->state = STATE_END;
		break;
	default:
		reader->state = STATE_BODY;
		break;
	}
}

static bool is_interim_(const char *data, size_t length)
{
	return length > strlen("HTTP/1.1 1xx") &&
	       strncmp(data, "HTTP/1.", 7) == 0 && data[8] == ' ' &&
	       data[9] == '1' && g_ascii_isdigit(data[10]) &&
	       g_ascii_isdigit(data[11]);
}

/* Interim responses are dropped; nothing ever asks for an upgrade. */
static mmx_http_event_t skip_interim_(mmx_http_reader_t *reader,
				      struct evbuffer *input, const char *data,
				      size_t length)
{
	if (strncmp(data + 9, "101", 3) == 0)
		return fail_(reader, MMX_HTTP_FAULT_LINE);
	evbuffer_drain(input, length);
	reader->scanned = 0;
	reader->skipped += length;
	return MMX_HTTP_DATA;
}

static mmx_http_event_t read_head_(mmx_http_reader_t *reader,
				   struct evbuffer *input)
{
	const char *data;
	size_t length;
	size_t end;

	if (reader->scanned == 0)
		skip_blank_lines_(reader, input);
	if (reader->skipped >= MMX_HTTP_HEAD_MAX)
		return fail_(reader, MMX_HTTP_FAULT_HEAD_TOO_LARGE);
	length = MIN(evbuffer_get_length(input), (size_t)MMX_HTTP_HEAD_MAX);
	if (length < 4)
		return MMX_HTTP_MORE;
	data = (const char *)evbuffer_pullup(input, (ev_ssize_t)length);
	end = find_head_end_(reader, data, length);
	if (end == 0)
		return check_unfinished_head_(reader, data, length);
	if (reader->kind == MMX_HTTP_RESPONSE && is_interim_(data, end))
		return skip_interim_(reader, input, data, end);
	if (!mmx_http_head_parse(reader, data, end))
		return fail_(reader, reader->fault);
	evbuffer_drain(input, end);
	reader->scanned = 0;
	start_body_(reader);
	return MMX_HTTP_HEAD;
}

static mmx_http_event_t move_(mmx_http_reader_t *reader, struct evbuffer *input,
			      struct evbuffer *body)
{
	uint64_t wanted = reader->remaining;
	int moved;

	if (reader->framing == MMX_HTTP_UNTIL_CLOSE || wanted > INT32_MAX)
		wanted = INT32_MAX;
	moved = evbuffer_remove_buffer(input, body, (size_t)wanted);
	if (moved <= 0)
		return MMX_HTTP_MORE;
	if (reader->framing != MMX_HTTP_UNTIL_CLOSE)
		reader->remaining -= (uint64_t)moved;
	return MMX_HTTP_DATA;
}

/*
 * Takes one line of at most max bytes without its end. NULL with a fault when
 * it is too long, has a control character or ends in a lone line feed; NULL
 * without a fault when it is not there yet.
 */
static char *read_line_(mmx_http_reader_t *reader, struct evbuffer *input,
			size_t max)
{
	size_t length;
	char *line = evbuffer_readln(input, &length, EVBUFFER_EOL_LF);
	size_t i;

	if (!line && evbuffer_get_length(input) > max)
		reader->fault = MMX_HTTP_FAULT_CHUNK;
	if (!line)
		return NULL;
	if (length == 0 || length > max || line[length - 1] != '\r')
		reader->fault = MMX_HTTP_FAULT_CHUNK;
	for (i = 0; i + 1 < length; i++)
		if ((unsigned char)line[i] < ' ' && line[i] != '\t')
			reader->fault = MMX_HTTP_FAULT_CHUNK;
	if (reader->fault) {
		free(line);
		return NULL;
	}
	line[length - 1] = '\0';
	return line;
}

static bool parse_chunk_size_(const char *line, uint64_t *size)
{
	size_t digits = strspn(line, "0123456789abcdefABCDEF");
	const char *rest = line + digits;

	if (digits == 0 || digits > CHUNK_DIGITS_MAX)
		return false;
	rest += strspn(rest, " \t");
	if (*rest && *rest != ';')
		return false;
	*size = g_ascii_strtoull(line, NULL, 16);
	return true;
}

static mmx_http_event_t missing_line_(mmx_http_reader_t *reader)
{
	return reader->fault ? fail_(reader, reader->fault) : MMX_HTTP_MORE;
}

static mmx_http_event_t read_chunk_size_(mmx_http_reader_t *reader,
					 struct evbuffer *input)
{
	char *line = read_line_(reader, input, CHUNK_LINE_MAX);
	bool good;

	if (!line)
		return missing_line_(reader);
	good = parse_chunk_size_(line, &reader->remaining);
	free(line);
	if (!good)
		return fail_(reader, MMX_HTTP_FAULT_CHUNK);
	reader->state = reader->remaining ? STATE_CHUNK_DATA : STATE_TRAILER;
	return MMX_HTTP_DATA;
}

static mmx_http_event_t read_chunk_end_(mmx_http_reader_t *reader,
					struct evbuffer *input)
{
	char end[2];

	if (evbuffer_copyout(input, end, 2) < 2)
		return MMX_HTTP_MORE;
	if (end[0] != '\r' || end[1] != '\n')
		return fail_(reader, MMX_HTTP_FAULT_CHUNK);
	evbuffer_drain(input, 2);
	reader->state = STATE_CHUNK_SIZE;
	return MMX_HTTP_DATA;
}

/* Trailers are dropped, as a proxy may (RFC 9110, section 6.5.1). */
static mmx_http_event_t read_trailer_(mmx_http_reader_t *reader,
				      struct evbuffer *input)
{
	char *line = read_line_(reader, input,
				MMX_HEAD_BYTES_MAX - reader->trailer_bytes);
	size_t length;

	if (!line)
		return missing_line_(reader);
	length = strlen(line);
	free(line);
	if (length == 0)
		return end_(reader);
	reader->trailer_bytes +=
		MIN(length + 2, MMX_HEAD_BYTES_MAX - reader->trailer_bytes);
	return MMX_HTTP_DATA;
}

static mmx_http_event_t read_body_(mmx_http_reader_t *reader,
				   struct evbuffer *input,
				   struct evbuffer *body)
{
	if (reader->framing == MMX_HTTP_LENGTH && reader->remaining == 0)
		return end_(reader);
	return move_(reader, input, body);
}

static mmx_http_event_t read_chunk_data_(mmx_http_reader_t *reader,
					 struct evbuffer *input,
					 struct evbuffer *body)
{
	mmx_http_event_t event = move_(reader, input, body);

	if (event == MMX_HTTP_DATA && reader->remaining == 0)
		reader->state = STATE_CHUNK_END;
	return event;
}

mmx_http_event_t mmx_http_reader_run(mmx_http_reader_t *reader,
				     struct evbuffer *input,
				     struct evbuffer *body)
{
	switch (reader->state) {
	case STATE_HEAD:
		return read_head_(reader, input);
	case STATE_BODY:
		return read_body_(reader, input, body);
	case STATE_CHUNK_SIZE:
		return read_chunk_size_(reader, input);
	case STATE_CHUNK_DATA:
		return read_chunk_data_(reader, input, body);
	case STATE_CHUNK_END:
		return read_chunk_end_(reader, input);
	case STATE_TRAILER:
		return read_trailer_(reader, input);
	case STATE_END:
		return MMX_HTTP_END;
	default:
		return MMX_HTTP_FAILED;
	}
}

mmx_http_event_t mmx_http_reader_eof(mmx_http_reader_t *reader)
{
	if (reader->state == STATE_FAILED)
		return MMX_HTTP_FAILED;
	if (reader->state == STATE_END ||
	    (reader->state == STATE_BODY &&
	     reader->framing == MMX_HTTP_UNTIL_CLOSE))
		return end_(reader);
	return fail_(reader, MMX_HTTP_FAULT_TRUNCATED);
}
