#include "private/head.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

static const char *const hop_by_hop_[] = {
	"Connection",	     "Keep-Alive", "Proxy-Connection", "TE",
	"Transfer-Encoding", "Trailer",	   "Upgrade",
};

static mmx_head_t *create_(void)
{
	mmx_head_t *head = g_new0(mmx_head_t, 1);

	STAILQ_INIT(&head->headers);
	return head;
}

mmx_head_t *mmx_head_create_request(const char *method, const char *uri)
{
	mmx_head_t *head = create_();

	head->method = g_strdup(method);
	head->uri = g_strdup(uri);
	return head;
}

mmx_head_t *mmx_head_create_response(int status)
{
	mmx_head_t *head = create_();

	head->status = status;
	return head;
}

mmx_head_t *mmx_head_copy(const mmx_head_t *head)
{
	mmx_head_t *copy = create_();
	const mmx_header_t *header;

	copy->method = g_strdup(head->method);
	copy->uri = g_strdup(head->uri);
	copy->status = head->status;
	STAILQ_FOREACH (header, &head->headers, entry)
		mmx_head_add(copy, header->name, header->value);
	return copy;
}

static void free_header_(mmx_header_t *header)
{
	g_free(header->name);
	g_free(header->value);
	g_free(header);
}

void mmx_head_destroy(mmx_head_t *head)
{
	mmx_header_t *header;

	if (!head)
		return;
	while ((header = STAILQ_FIRST(&head->headers))) {
		STAILQ_REMOVE_HEAD(&head->headers, entry);
		free_header_(header);
	}
	g_free(head->method);
	g_free(head->uri);
	g_free(head);
}

static size_t header_bytes_(const mmx_header_t *header)
{
	return strlen(header->name) + strlen(header->value) + 4;
}

void mmx_head_add(mmx_head_t *head, const char *name, const char *value)
{
	mmx_header_t *header = g_new0(mmx_header_t, 1);

	header->name = g_strdup(name);
	header->value = g_strdup(value);
	STAILQ_INSERT_TAIL(&head->headers, header, entry);
	head->header_count++;
	head->bytes += header_bytes_(header);
}

static bool is_equal_(const char *a, const char *b)
{
	return strcasecmp(a, b) == 0;
}

static bool is_alike_(const char *a, const char *b)
{
	for (; *a && *b; a++, b++)
		if (g_ascii_tolower(*a == '_' ? '-' : *a) !=
		    g_ascii_tolower(*b == '_' ? '-' : *b))
			return false;
	return *a == *b;
}

static void remove_(mmx_head_t *head, const char *name,
		    bool (*matches)(const char *a, const char *b))
{
	mmx_header_list_t kept = STAILQ_HEAD_INITIALIZER(kept);
	mmx_header_t *header;

	while ((header = STAILQ_FIRST(&head->headers))) {
		STAILQ_REMOVE_HEAD(&head->headers, entry);
		if (!matches(header->name, name)) {
			STAILQ_INSERT_TAIL(&kept, header, entry);
			continue;
		}
		head->header_count--;
		head->bytes -= header_bytes_(header);
		free_header_(header);
	}
	STAILQ_CONCAT(&head->headers, &kept);
}

void mmx_head_remove(mmx_head_t *head, const char *name)
{
	remove_(head, name, is_equal_);
}

void mmx_head_remove_alike(mmx_head_t *head, const char *name)
{
	remove_(head, name, is_alike_);
}

void mmx_head_set(mmx_head_t *head, const char *name, const char *value)
{
	mmx_head_remove(head, name);
	mmx_head_add(head, name, value);
}

const char *mmx_head_find(const mmx_head_t *head, const char *name)
{
	const mmx_header_t *header;

	STAILQ_FOREACH (header, &head->headers, entry)
		if (strcasecmp(header->name, name) == 0)
			return header->value;
	return NULL;
}

static void remove_named_by_connection_(mmx_head_t *head)
{
	const char *value = mmx_head_find(head, "Connection");
	char **names;
	size_t i;

	if (!value)
		return;
	names = g_strsplit(value, ",", 0);
	for (i = 0; names[i]; i++) {
		g_strstrip(names[i]);
		if (names[i][0] && strcasecmp(names[i], "close") != 0)
			mmx_head_remove(head, names[i]);
	}
	g_strfreev(names);
}

void mmx_head_remove_hop_by_hop(mmx_head_t *head)
{
	size_t i;

	remove_named_by_connection_(head);
	for (i = 0; i < G_N_ELEMENTS(hop_by_hop_); i++)
		mmx_head_remove(head, hop_by_hop_[i]);
}
