/* The head of an HTTP request or response, independent of the HTTP library. */
#ifndef MASTICMUX_PRIVATE_HEAD_H
#define MASTICMUX_PRIVATE_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

/* Limits on the head of a request; a larger one is refused with 431. */
#define MMX_HEAD_BYTES_MAX (16 * 1024)
#define MMX_HEAD_HEADERS_MAX 100

typedef struct mmx_header_t {
	STAILQ_ENTRY(mmx_header_t) entry;
	char *name;
	char *value;
} mmx_header_t;

typedef STAILQ_HEAD(mmx_header_list_t, mmx_header_t) mmx_header_list_t;

typedef struct mmx_head_t {
	char *method; /* requests only */
	char *uri;    /* requests only: path and query */
	int status;   /* responses only */
	mmx_header_list_t headers;
	size_t header_count;
	size_t bytes; /* names and values, with separators */
} mmx_head_t;

mmx_head_t *mmx_head_create_request(const char *method, const char *uri);
mmx_head_t *mmx_head_create_response(int status);
mmx_head_t *mmx_head_copy(const mmx_head_t *head);
void mmx_head_destroy(mmx_head_t *head);

void mmx_head_add(mmx_head_t *head, const char *name, const char *value);

/* Replaces every header of that name by one. */
void mmx_head_set(mmx_head_t *head, const char *name, const char *value);

/* Removes every header of that name, compared without case. */
void mmx_head_remove(mmx_head_t *head, const char *name);

/* The same for every header whose name a target may read as that name: CGI and
 * its successors do not tell '_' from '-'. */
void mmx_head_remove_alike(mmx_head_t *head, const char *name);

/* Value of the first header of that name, or NULL. */
const char *mmx_head_find(const mmx_head_t *head, const char *name);

/*
 * Removes the headers that are meant for one connection only (RFC 9110,
 * section 7.6.1), with those that Connection names.
 */
void mmx_head_remove_hop_by_hop(mmx_head_t *head);

#endif
