#include "private/http_head.h"

#include <evhtp/parser.h>
#include <glib.h>
#include <string.h>
#include <strings.h>

/* Decimal digits of a Content-Length that fit into 63 bits. */
#define LENGTH_DIGITS_MAX 18

/* State of one run of the parser. */
typedef struct parse_t {
	mmx_http_reader_t *reader;
	char *name; /* of the header whose value comes next */
	bool complete;
} parse_t;

bool mmx_http_is_token(const char *text)
{
	static const char *const marks = "!#$%&'*+-.^_`|~";
	const char *c;

	for (c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr(marks, *c))
			return false;
	return c != text;
}

bool mmx_http_has_token(const char *list, const char *token)
{
	size_t length = strlen(token);
	const char *at = list;

	while (at && *at) {
		size_t span;

		at += strspn(at, " \t,");
		span = strcspn(at, ",");
		while (span > 0 &&
		       (at[span - 1] == ' ' || at[span - 1] == '\t'))
			span--;
		if (span == length && strncasecmp(at, token, length) == 0)
			return true;
		at += strcspn(at, ",");
	}
	return false;
}

static int fault_(parse_t *parse, mmx_http_fault_t fault)
{
	if (!parse->reader->fault)
		parse->reader->fault = fault;
	return -1;
}

static int on_name_(htparser *parser, const char *data, size_t length)
{
	parse_t *parse = htparser_get_userdata(parser);

	if (parse->name)
		return fault_(parse, MMX_HTTP_FAULT_HEADER);
	parse->name = g_strndup(data, length);
	if (strlen(parse->name) != length || !mmx_http_is_token(parse->name))
		return fault_(parse, MMX_HTTP_FAULT_HEADER);
	return 0;
}

static bool is_value_(const char *data, size_t length)
{
	size_t i;

	for (i = 0; i < length; i++) {
		unsigned char c = (unsigned char)data[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

static int on_value_(htparser *parser, const char *data, size_t length)
{
	parse_t *parse = htparser_get_userdata(parser);
	mmx_head_t *head = parse->reader->head;
	char *value;

	/* A second value without a name is a folded line. */
	if (!parse->name || !is_value_(data, length))
		return fault_(parse, MMX_HTTP_FAULT_HEADER);
	value = g_strstrip(g_strndup(data, length));
	mmx_head_add(head, parse->name, value);
	g_free(value);
	g_clear_pointer(&parse->name, g_free);
	if (head->header_count > MMX_HEAD_HEADERS_MAX ||
	    head->bytes > MMX_HEAD_BYTES_MAX)
		return fault_(parse, MMX_HTTP_FAULT_HEAD_TOO_LARGE);
	return 0;
}

static int on_complete_(htparser *parser)
{
	parse_t *parse = htparser_get_userdata(parser);

	parse->complete = true;
	/* Stops the parser: the body is read by the reader. */
	return -1;
}

static htparse_hooks hooks_ = {
	.hdr_key = on_name_,
	.hdr_val = on_value_,
	.on_hdrs_complete = on_complete_,
};

static mmx_http_fault_t parser_fault_(const parse_t *parse, htparser *parser)
{
	if (parse->reader->fault)
		return parse->reader->fault;
	switch (htparser_get_error(parser)) {
	case htparse_error_too_big:
		/* The parser reports a bad Content-Length as too big. */
		if (parse->name &&
		    strcasecmp(parse->name, "Content-Length") == 0)
			return MMX_HTTP_FAULT_LENGTH;
		return MMX_HTTP_FAULT_HEAD_TOO_LARGE;
	case htparse_error_inval_hdr:
	case htparse_error_none:
		return MMX_HTTP_FAULT_HEADER;
	case htparse_error_inval_ver:
	case htparse_error_inval_proto:
		return MMX_HTTP_FAULT_VERSION;
	default:
		return MMX_HTTP_FAULT_LINE;
	}
}

/*
 * The parser is reused: one thread runs one parser at a time, and its state
 * takes 8 KiB.
 */
static htparser *shared_parser_(void)
{
	static htparser *parser;

	if (!parser)
		parser = htparser_new();
	return parser;
}

static bool run_parser_(mmx_http_reader_t *reader, const char *data,
			size_t length)
{
	htparser *parser = shared_parser_();
	parse_t parse = {.reader = reader};
	size_t used;

	htparser_init(parser, reader->kind == MMX_HTTP_REQUEST
				      ? htp_type_request
				      : htp_type_response);
	htparser_set_userdata(parser, &parse);
	used = htparser_run(parser, &hooks_, data, length);
	if (!parse.complete || used != length || parse.name) {
		reader->fault = parser_fault_(&parse, parser);
		g_free(parse.name);
		return false;
	}
	reader->minor = htparser_get_minor(parser);
	reader->head->status = (int)htparser_get_status(parser);
	if (htparser_get_major(parser) != 1 || reader->minor > 1) {
		reader->fault = MMX_HTTP_FAULT_VERSION;
		return false;
	}
	return true;
}

/* True if the text has only visible ASCII characters. */
static bool is_visible_(const char *text)
{
	for (; *text; text++)
		if (*text <= ' ' || *text >= 0x7f)
			return false;
	return true;
}

/* Splits "METHOD target HTTP/1.x"; the parser has checked the version. */
static bool parse_request_line_(mmx_head_t *head, const char *data)
{
	size_t length = strcspn(data, "\r");
	char *line = g_strndup(data, length);
	char **parts = g_strsplit(line, " ", 0);
	bool good = g_strv_length(parts) == 3 && mmx_http_is_token(parts[0]) &&
		    parts[1][0] && is_visible_(parts[1]) &&
		    !strchr(parts[1], '#') &&
		    strlen(parts[2]) == strlen("HTTP/1.1") &&
		    strncmp(parts[2], "HTTP/", 5) == 0;

	if (good) {
		head->method = g_strdup(parts[0]);
		head->uri = g_strdup(parts[1]);
	}
	g_strfreev(parts);
	g_free(line);
	return good;
}

static bool parse_status_line_(const mmx_head_t *head, const char *data)
{
	return strncmp(data, "HTTP/1.", 7) == 0 && g_ascii_isdigit(data[7]) &&
	       data[8] == ' ' && g_ascii_isdigit(data[9]) &&
	       g_ascii_isdigit(data[10]) && g_ascii_isdigit(data[11]) &&
	       (data[12] == ' ' || data[12] == '\r') && head->status >= 100 &&
	       head->status <= 599;
}

static size_t count_(const mmx_head_t *head, const char *name)
{
	const mmx_header_t *header;
	size_t count = 0;

	STAILQ_FOREACH (header, &head->headers, entry)
		count += strcasecmp(header->name, name) == 0;
	return count;
}

static bool is_host_(const char *value)
{
	const char *c;

	for (c = value; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr("-._~:[]%", *c))
			return false;
	return c != value;
}

/* Turns "http://host/path" into a path, and the host into Host. */
static bool apply_absolute_form_(mmx_head_t *head)
{
	static const char scheme[] = "http://";
	size_t host_length;
	char *host;
	char *uri;

	if (strncasecmp(head->uri, scheme, strlen(scheme)) != 0)
		return false;
	uri = head->uri + strlen(scheme);
	host_length = strcspn(uri, "/?");
	host = g_strndup(uri, host_length);
	uri = g_strconcat(uri[host_length] == '/' ? "" : "/", uri + host_length,
			  NULL);
	mmx_head_remove(head, "Host");
	mmx_head_add(head, "Host", host);
	g_free(host);
	g_free(head->uri);
	head->uri = uri;
	return true;
}

static mmx_http_fault_t check_request_(mmx_http_reader_t *reader)
{
	mmx_head_t *head = reader->head;
	size_t hosts = count_(head, "Host");
	const char *host;

	if (hosts > 1 || (hosts == 0 && reader->minor == 1))
		return MMX_HTTP_FAULT_HOST;
	if (head->uri[0] != '/' && !apply_absolute_form_(head))
		return MMX_HTTP_FAULT_LINE;
	host = mmx_head_find(head, "Host");
	if (host && !is_host_(host))
		return MMX_HTTP_FAULT_HOST;
	return MMX_HTTP_FAULT_NONE;
}

bool mmx_http_content_length(const mmx_head_t *head, uint64_t *length)
{
	const char *value = mmx_head_find(head, "Content-Length");
	size_t digits;

	if (!value)
		return false;
	digits = strspn(value, "0123456789");
	if (digits == 0 || digits > LENGTH_DIGITS_MAX || value[digits])
		return false;
	*length = g_ascii_strtoull(value, NULL, 10);
	return true;
}

bool mmx_http_status_without_body(int status)
{
	return status < 200 || status == 204 || status == 304;
}

static mmx_http_fault_t decide_framing_(mmx_http_reader_t *reader)
{
	const mmx_head_t *head = reader->head;
	size_t lengths = count_(head, "Content-Length");
	size_t encodings = count_(head, "Transfer-Encoding");
	bool response = reader->kind == MMX_HTTP_RESPONSE;

	/* Both, or two of one: peers may disagree on the end of the body. */
	if (encodings > 1 || (encodings && (lengths || reader->minor == 0)))
		return MMX_HTTP_FAULT_ENCODING;
	if (encodings && strcasecmp(mmx_head_find(head, "Transfer-Encoding"),
				    "chunked") != 0)
		return MMX_HTTP_FAULT_ENCODING;
	if (lengths > 1 ||
	    (lengths && !mmx_http_content_length(head, &reader->length)))
		return MMX_HTTP_FAULT_LENGTH;
	if (response && (reader->without_body ||
			 mmx_http_status_without_body(head->status)))
		reader->framing = MMX_HTTP_NO_BODY;
	else if (encodings)
		reader->framing = MMX_HTTP_CHUNKED;
	else if (lengths)
		reader->framing =
			reader->length ? MMX_HTTP_LENGTH : MMX_HTTP_NO_BODY;
	else
		reader->framing =
			response ? MMX_HTTP_UNTIL_CLOSE : MMX_HTTP_NO_BODY;
	return MMX_HTTP_FAULT_NONE;
}

static void decide_keep_alive_(mmx_http_reader_t *reader)
{
	const mmx_header_t *header;
	bool close = false;
	bool keep = false;

	STAILQ_FOREACH (header, &reader->head->headers, entry) {
		if (strcasecmp(header->name, "Connection") != 0)
			continue;
		close = close || mmx_http_has_token(header->value, "close");
		keep = keep || mmx_http_has_token(header->value, "keep-alive");
	}
	reader->keep_alive = !close && (keep || reader->minor == 1) &&
			     reader->framing != MMX_HTTP_UNTIL_CLOSE;
}

bool mmx_http_head_parse(mmx_http_reader_t *reader, const char *data,
			 size_t length)
{
	mmx_head_destroy(reader->head);
	reader->head = mmx_head_create_response(0);
	if (!run_parser_(reader, data, length))
		return false;
	if (reader->kind == MMX_HTTP_REQUEST) {
		if (parse_request_line_(reader->head, data))
			reader->fault = check_request_(reader);
		else
			reader->fault = MMX_HTTP_FAULT_LINE;
	} else if (!parse_status_line_(reader->head, data)) {
		reader->fault = MMX_HTTP_FAULT_LINE;
	}
	if (!reader->fault)
		reader->fault = decide_framing_(reader);
	if (reader->fault)
		return false;
	decide_keep_alive_(reader);
	return true;
}
