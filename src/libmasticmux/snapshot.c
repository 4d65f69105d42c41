#include "masticmux/snapshot.h"

#include <assert.h>
#include <openssl/evp.h>
#include <rpc/rpc.h>
#include <string.h>

#include "private/config_tables.h"

/* "MMXS" and the version of the format. */
#define MAGIC 0x4d4d5853U
#define VERSION 1U
/* Magic, version, applied offset, digest, part, parts, length of the items. */
#define HEAD_BYTES (4 + 4 + 8 + MMX_SNAPSHOT_DIGEST_BYTES + 4 + 4 + 4)
#define ITEMS_MAX (MMX_SNAPSHOT_PART_MAX - HEAD_BYTES)
/* A route with the longest host and prefix and all overrides is below this. */
#define ITEM_MAX 1024

const char *const mmx_snapshot_status_string[MMX_SNAPSHOT_STATUS_COUNT] = {
	"more",
	"complete",
	"other",
	"invalid",
};

typedef enum item_kind_t {
	ITEM_TEMPLATE,
	ITEM_SERVICE,
	ITEM_ROUTE,
	ITEM_ACCOUNT,
	ITEM_VERDICT,
	ITEM_KIND_COUNT
} item_kind_t;

struct mmx_snapshot_t {
	uint64_t applied;
	uint8_t digest[MMX_SNAPSHOT_DIGEST_BYTES];
	GPtrArray *parts; /* of GByteArray */
};

/* One item of any kind, as it is encoded and decoded. */
typedef struct item_t {
	uint32_t kind;
	char name[MMX_NAME_MAX + 1];
	char template_name[MMX_NAME_MAX + 1];
	char host[MMX_HOST_MAX + 1];
	char prefix[MMX_PATH_PREFIX_MAX + 1];
	uint64_t revision;
	mmx_policy_override_t override;
	mmx_change_account_t account;
	mmx_config_state_verdict_t seen;
} item_t;

static bool xdr_text_(XDR *xdr, char *text, size_t size)
{
	return xdr_string(xdr, &text, (u_int)(size - 1));
}

static bool xdr_policy_(XDR *xdr, mmx_policy_t *policy)
{
	return xdr_int64_t(xdr, &policy->deadline) &&
	       xdr_uint32_t(xdr, &policy->repeatable) &&
	       xdr_uint8_t(xdr, &policy->floor_percent) &&
	       xdr_uint16_t(xdr, &policy->floor_slots) &&
	       xdr_uint8_t(xdr, &policy->detection_weight) &&
	       xdr_uint8_t(xdr, &policy->retry_percent) &&
	       xdr_int64_t(xdr, &policy->warm_up);
}

static bool xdr_override_(XDR *xdr, mmx_policy_override_t *override)
{
	return xdr_uint32_t(xdr, &override->fields) &&
	       (!override->fields || xdr_policy_(xdr, &override->values));
}

static bool xdr_account_(XDR *xdr, mmx_change_account_t *account)
{
	bool_t has_repeatable = account->has_repeatable;
	bool done = xdr_uint8_t(xdr, &account->floor_percent) &&
		    xdr_uint8_t(xdr, &account->ceiling_percent) &&
		    xdr_int64_t(xdr, &account->deadline) &&
		    xdr_bool(xdr, &has_repeatable) &&
		    xdr_uint32_t(xdr, &account->repeatable);

	account->has_repeatable = has_repeatable;
	return done;
}

static bool xdr_seen_(XDR *xdr, mmx_config_state_verdict_t *seen)
{
	return xdr_opaque(xdr, (char *)seen->id, sizeof(seen->id)) &&
	       xdr_uint64_t(xdr, &seen->offset) &&
	       xdr_uint8_t(xdr, &seen->verdict) &&
	       xdr_uint8_t(xdr, &seen->reject_reason);
}

static bool xdr_item_(XDR *xdr, item_t *item)
{
	if (!xdr_uint32_t(xdr, &item->kind))
		return false;
	switch (item->kind) {
	case ITEM_TEMPLATE:
		return xdr_text_(xdr, item->name, sizeof(item->name)) &&
		       xdr_uint64_t(xdr, &item->revision) &&
		       xdr_policy_(xdr, &item->override.values);
	case ITEM_SERVICE:
		return xdr_text_(xdr, item->name, sizeof(item->name)) &&
		       xdr_uint64_t(xdr, &item->revision) &&
		       xdr_text_(xdr, item->template_name,
				 sizeof(item->template_name));
	case ITEM_ROUTE:
		return xdr_text_(xdr, item->host, sizeof(item->host)) &&
		       xdr_text_(xdr, item->prefix, sizeof(item->prefix)) &&
		       xdr_override_(xdr, &item->override);
	case ITEM_ACCOUNT:
		return xdr_text_(xdr, item->name, sizeof(item->name)) &&
		       xdr_uint64_t(xdr, &item->revision) &&
		       xdr_account_(xdr, &item->account);
	case ITEM_VERDICT:
		return xdr_seen_(xdr, &item->seen);
	default:
		return false;
	}
}

/* Packs items into parts and digests them in passing. */
typedef struct writer_t {
	mmx_snapshot_t *snapshot;
	GByteArray *part;
	EVP_MD_CTX *digest;
} writer_t;

static void open_part_(writer_t *writer)
{
	static const uint8_t head[HEAD_BYTES];

	writer->part = g_byte_array_new();
	g_byte_array_append(writer->part, head, sizeof(head));
	g_ptr_array_add(writer->snapshot->parts, writer->part);
}

static void put_item_(writer_t *writer, item_t *item)
{
	char buffer[ITEM_MAX];
	XDR xdr;
	bool done;
	u_int length;

	xdrmem_create(&xdr, buffer, sizeof(buffer), XDR_ENCODE);
	done = xdr_item_(&xdr, item);
	assert(done);
	(void)done;
	length = xdr_getpos(&xdr);
	if (writer->part->len + length > MMX_SNAPSHOT_PART_MAX)
		open_part_(writer);
	g_byte_array_append(writer->part, (const guint8 *)buffer, length);
	EVP_DigestUpdate(writer->digest, buffer, length);
}

static gint compare_names_(gconstpointer a, gconstpointer b)
{
	const mmx_config_state_key_t *left =
		*(const mmx_config_state_key_t *const *)a;
	const mmx_config_state_key_t *right =
		*(const mmx_config_state_key_t *const *)b;

	return strcmp(left->name, right->name);
}

/* The entries of a table of named objects in order of their names. */
static GPtrArray *sorted_(GHashTable *table)
{
	GPtrArray *entries = g_ptr_array_sized_new(g_hash_table_size(table));
	GHashTableIter iter;
	gpointer entry;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &entry, NULL))
		g_ptr_array_add(entries, entry);
	g_ptr_array_sort(entries, compare_names_);
	return entries;
}

static void put_templates_(writer_t *writer,
			   const mmx_config_state_t *config_state)
{
	GPtrArray *entries = sorted_(config_state->templates);
	guint i;

	for (i = 0; i < entries->len; i++) {
		const mmx_config_state_template_t *entry = entries->pdata[i];
		item_t item = {.kind = ITEM_TEMPLATE,
			       .revision = entry->revision};

		g_strlcpy(item.name, entry->key.name, sizeof(item.name));
		item.override.values = entry->policy;
		put_item_(writer, &item);
	}
	g_ptr_array_free(entries, TRUE);
}

static void put_routes_(writer_t *writer,
			const mmx_config_state_service_t *service)
{
	size_t i;

	for (i = 0; i < service->route_count; i++) {
		const mmx_config_state_route_t *route = service->routes[i];
		item_t item = {.kind = ITEM_ROUTE};

		g_strlcpy(item.host, route->key.host->key.name,
			  sizeof(item.host));
		g_strlcpy(item.prefix, route->key.prefix, sizeof(item.prefix));
		if (route->override)
			item.override = *route->override;
		put_item_(writer, &item);
	}
}

static void put_services_(writer_t *writer,
			  const mmx_config_state_t *config_state)
{
	GPtrArray *entries = sorted_(config_state->services);
	guint i;

	for (i = 0; i < entries->len; i++) {
		const mmx_config_state_service_t *entry = entries->pdata[i];
		item_t item = {.kind = ITEM_SERVICE,
			       .revision = entry->revision};

		g_strlcpy(item.name, entry->key.name, sizeof(item.name));
		g_strlcpy(item.template_name, entry->template_entry->key.name,
			  sizeof(item.template_name));
		put_item_(writer, &item);
		put_routes_(writer, entry);
	}
	g_ptr_array_free(entries, TRUE);
}

static void put_accounts_(writer_t *writer,
			  const mmx_config_state_t *config_state)
{
	GPtrArray *entries = sorted_(config_state->accounts);
	guint i;

	for (i = 0; i < entries->len; i++) {
		const mmx_config_state_account_t *entry = entries->pdata[i];
		item_t item = {.kind = ITEM_ACCOUNT,
			       .revision = entry->revision};

		g_strlcpy(item.name, entry->key.name, sizeof(item.name));
		item.account.floor_percent = entry->floor_percent;
		item.account.ceiling_percent = entry->ceiling_percent;
		item.account.deadline = entry->deadline_us;
		item.account.has_repeatable = entry->has_repeatable;
		item.account.repeatable = entry->repeatable;
		put_item_(writer, &item);
	}
	g_ptr_array_free(entries, TRUE);
}

static void put_verdicts_(writer_t *writer,
			  const mmx_config_state_t *config_state)
{
	item_t item = {.kind = ITEM_VERDICT};
	size_t i;

	for (i = 0; i < config_state->verdict_count; i++) {
		item.seen = *mmx_config_state_verdict_at(config_state, i);
		put_item_(writer, &item);
	}
}

static bool xdr_head_(XDR *xdr, mmx_snapshot_header_t *head, uint32_t *length)
{
	uint32_t magic = MAGIC;
	uint32_t version = VERSION;

	return xdr_uint32_t(xdr, &magic) && magic == MAGIC &&
	       xdr_uint32_t(xdr, &version) && version == VERSION &&
	       xdr_uint64_t(xdr, &head->applied_offset) &&
	       xdr_opaque(xdr, (char *)head->digest, sizeof(head->digest)) &&
	       xdr_uint32_t(xdr, &head->part_index) &&
	       xdr_uint32_t(xdr, &head->part_count) &&
	       xdr_uint32_t(xdr, length);
}

static void put_heads_(mmx_snapshot_t *snapshot)
{
	mmx_snapshot_header_t head = {.applied_offset = snapshot->applied,
				      .part_count = snapshot->parts->len};
	XDR xdr;

	memcpy(head.digest, snapshot->digest, sizeof(head.digest));
	for (head.part_index = 0; head.part_index < head.part_count;
	     head.part_index++) {
		GByteArray *part = snapshot->parts->pdata[head.part_index];
		uint32_t length = part->len - HEAD_BYTES;
		bool done;

		xdrmem_create(&xdr, (char *)part->data, HEAD_BYTES, XDR_ENCODE);
		done = xdr_head_(&xdr, &head, &length);
		assert(done);
		(void)done;
	}
}

static void start_digest_(EVP_MD_CTX *context, uint64_t applied)
{
	uint64_t order = GUINT64_TO_BE(applied);

	EVP_DigestInit_ex(context, EVP_sha256(), NULL);
	EVP_DigestUpdate(context, &order, sizeof(order));
}

static void free_part_(gpointer part)
{
	if (part)
		g_byte_array_free(part, TRUE);
}

mmx_snapshot_t *mmx_snapshot_create(const mmx_config_state_t *config_state)
{
	mmx_snapshot_t *snapshot = g_new0(mmx_snapshot_t, 1);
	writer_t writer = {.snapshot = snapshot, .digest = EVP_MD_CTX_new()};

	snapshot->applied = config_state->applied_offset;
	snapshot->parts = g_ptr_array_new_with_free_func(free_part_);
	start_digest_(writer.digest, config_state->applied_offset);
	open_part_(&writer);
	put_templates_(&writer, config_state);
	put_services_(&writer, config_state);
	put_accounts_(&writer, config_state);
	put_verdicts_(&writer, config_state);
	EVP_DigestFinal_ex(writer.digest, snapshot->digest, NULL);
	EVP_MD_CTX_free(writer.digest);
	put_heads_(snapshot);
	return snapshot;
}

void mmx_snapshot_destroy(mmx_snapshot_t *snapshot)
{
	if (!snapshot)
		return;
	g_ptr_array_free(snapshot->parts, TRUE);
	g_free(snapshot);
}

uint64_t mmx_snapshot_applied_offset(const mmx_snapshot_t *snapshot)
{
	return snapshot->applied;
}

uint32_t mmx_snapshot_part_count(const mmx_snapshot_t *snapshot)
{
	return snapshot->parts->len;
}

const uint8_t *mmx_snapshot_digest(const mmx_snapshot_t *snapshot)
{
	return snapshot->digest;
}

const uint8_t *mmx_snapshot_part(const mmx_snapshot_t *snapshot, uint32_t part,
				 size_t *length)
{
	const GByteArray *bytes;

	assert(part < snapshot->parts->len);
	bytes = snapshot->parts->pdata[part];
	*length = bytes->len;
	return bytes->data;
}

bool mmx_snapshot_parse_header(const uint8_t *data, size_t length,
			       mmx_snapshot_header_t *head)
{
	uint32_t items = 0;
	XDR xdr;

	if (length < HEAD_BYTES || length > MMX_SNAPSHOT_PART_MAX)
		return false;
	xdrmem_create(&xdr, (char *)data, HEAD_BYTES, XDR_DECODE);
	return xdr_head_(&xdr, head, &items) && head->applied_offset > 0 &&
	       head->applied_offset <= MMX_REVISION_MAX &&
	       head->part_count > 0 &&
	       head->part_count <= MMX_SNAPSHOT_PARTS_MAX &&
	       head->part_index < head->part_count &&
	       items == length - HEAD_BYTES;
}

struct mmx_snapshot_reader_t {
	mmx_snapshot_header_t head; /* of the first part taken */
	GPtrArray *parts;	    /* of GByteArray; NULL: missing */
	uint32_t missing;
};

mmx_snapshot_reader_t *mmx_snapshot_reader_create(void)
{
	mmx_snapshot_reader_t *reader = g_new0(mmx_snapshot_reader_t, 1);

	reader->parts = g_ptr_array_new_with_free_func(free_part_);
	return reader;
}

static void clear_reader_(mmx_snapshot_reader_t *reader)
{
	g_ptr_array_set_size(reader->parts, 0);
	memset(&reader->head, 0, sizeof(reader->head));
	reader->missing = 0;
}

void mmx_snapshot_reader_destroy(mmx_snapshot_reader_t *reader)
{
	if (!reader)
		return;
	g_ptr_array_free(reader->parts, TRUE);
	g_free(reader);
}

static bool same_snapshot_(const mmx_snapshot_header_t *a,
			   const mmx_snapshot_header_t *b)
{
	return a->applied_offset == b->applied_offset &&
	       a->part_count == b->part_count &&
	       !memcmp(a->digest, b->digest, sizeof(a->digest));
}

mmx_snapshot_status_t mmx_snapshot_reader_add(mmx_snapshot_reader_t *reader,
					      const uint8_t *data,
					      size_t length)
{
	mmx_snapshot_header_t head;
	GByteArray *part;

	if (!mmx_snapshot_parse_header(data, length, &head))
		return MMX_SNAPSHOT_INVALID;
	if (head.applied_offset > reader->head.applied_offset) {
		clear_reader_(reader);
		reader->head = head;
		g_ptr_array_set_size(reader->parts, (gint)head.part_count);
	}
	if (!same_snapshot_(&head, &reader->head))
		return MMX_SNAPSHOT_OTHER;
	if (!reader->parts->pdata[head.part_index]) {
		part = g_byte_array_sized_new((guint)length);
		g_byte_array_append(part, data, (guint)length);
		reader->parts->pdata[head.part_index] = part;
	}
	while (reader->missing < reader->parts->len &&
	       reader->parts->pdata[reader->missing])
		reader->missing++;
	return reader->missing == reader->parts->len ? MMX_SNAPSHOT_COMPLETE
						     : MMX_SNAPSHOT_INCOMPLETE;
}

uint32_t mmx_snapshot_reader_first_missing(const mmx_snapshot_reader_t *reader)
{
	return reader->missing;
}

uint64_t mmx_snapshot_reader_applied_offset(const mmx_snapshot_reader_t *reader)
{
	return reader->head.applied_offset;
}

/* Service whose routes are being read. */
typedef struct loader_t {
	mmx_config_state_t *config_state;
	mmx_config_state_service_t *service;
	mmx_change_service_t *routes;
	mmx_change_t *holder;
	const mmx_change_route_t *last;
} loader_t;

static void flush_routes_(loader_t *loader)
{
	if (loader->service)
		mmx_config_state_set_routes(
			loader->config_state, loader->service,
			&loader->routes->routes, loader->routes->route_count);
	mmx_change_destroy(loader->holder);
	loader->holder = NULL;
	loader->last = NULL;
	loader->routes = NULL;
	loader->service = NULL;
}

static bool load_service_(loader_t *loader, const item_t *item)
{
	mmx_config_state_template_t *found = mmx_config_state_find_template(
		loader->config_state, item->template_name);

	flush_routes_(loader);
	if (!found ||
	    mmx_config_state_find_service(loader->config_state, item->name))
		return false;
	loader->service = mmx_config_state_put_service(
		loader->config_state, item->name, item->revision, found);
	loader->holder = mmx_change_create();
	loader->routes = mmx_change_add_service(loader->holder, item->name);
	return true;
}

/* Routes of a service ascend, so that none of them occurs twice. */
static bool follows_(const mmx_change_route_t *last, const item_t *item)
{
	int order = last ? strcmp(last->host, item->host) : -1;

	return order < 0 ||
	       (order == 0 && strcmp(last->path_prefix, item->prefix) < 0);
}

static bool load_route_(loader_t *loader, const item_t *item)
{
	mmx_change_route_t *route;

	if (!loader->service || item->prefix[0] != '/' ||
	    mmx_config_state_prefix_length(item->prefix) !=
		    strlen(item->prefix) ||
	    !follows_(loader->last, item) ||
	    mmx_config_state_find_route(loader->config_state, item->host,
					item->prefix))
		return false;
	route = mmx_change_add_route(loader->routes, item->host, item->prefix);
	route->override = item->override;
	loader->last = route;
	return strcmp(route->host, item->host) == 0;
}

static bool load_item_(loader_t *loader, const item_t *item)
{
	mmx_config_state_t *config_state = loader->config_state;

	if (item->kind != ITEM_ROUTE && item->kind != ITEM_SERVICE)
		flush_routes_(loader);
	switch (item->kind) {
	case ITEM_TEMPLATE:
		mmx_config_state_put_template(config_state, item->name,
					      item->revision,
					      &item->override.values);
		return true;
	case ITEM_SERVICE:
		return load_service_(loader, item);
	case ITEM_ROUTE:
		return load_route_(loader, item);
	case ITEM_ACCOUNT:
		if (item->account.deadline < 0 ||
		    item->account.deadline > MMX_DEADLINE_MAX)
			return false;
		mmx_config_state_put_account(config_state, item->name,
					     item->revision, &item->account);
		return true;
	default:
		if (item->seen.verdict > MMX_VERDICT_REJECTED ||
		    item->seen.reject_reason >= MMX_REJECT_COUNT ||
		    mmx_config_state_find_verdict(config_state, item->seen.id))
			return false;
		mmx_config_state_add_verdict(config_state, &item->seen);
		return true;
	}
}

static bool load_part_(loader_t *loader, const GByteArray *part)
{
	XDR xdr;

	xdrmem_create(&xdr, (char *)part->data + HEAD_BYTES,
		      part->len - HEAD_BYTES, XDR_DECODE);
	while (xdr_getpos(&xdr) < part->len - HEAD_BYTES) {
		item_t item = {0};

		if (!xdr_item_(&xdr, &item) || !load_item_(loader, &item))
			return false;
	}
	return true;
}

static bool digest_matches_(const mmx_snapshot_reader_t *reader)
{
	EVP_MD_CTX *context = EVP_MD_CTX_new();
	uint8_t digest[EVP_MAX_MD_SIZE];
	guint i;

	start_digest_(context, reader->head.applied_offset);
	for (i = 0; i < reader->parts->len; i++) {
		const GByteArray *part = reader->parts->pdata[i];

		EVP_DigestUpdate(context, part->data + HEAD_BYTES,
				 part->len - HEAD_BYTES);
	}
	EVP_DigestFinal_ex(context, digest, NULL);
	EVP_MD_CTX_free(context);
	return !memcmp(digest, reader->head.digest, MMX_SNAPSHOT_DIGEST_BYTES);
}

mmx_config_state_t *mmx_snapshot_reader_load(mmx_snapshot_reader_t *reader,
					     mmx_error_t *error)
{
	loader_t loader = {.config_state = NULL};
	bool valid;
	guint i;

	assert(reader->parts->len > 0 && reader->missing == reader->parts->len);
	valid = digest_matches_(reader);
	if (!valid)
		mmx_error_set(error, MMX_ERROR_INVALID,
			      "the digest of the snapshot doesn't match");
	loader.config_state = mmx_config_state_create();
	for (i = 0; valid && i < reader->parts->len; i++) {
		valid = load_part_(&loader, reader->parts->pdata[i]);
		if (!valid)
			mmx_error_set(error, MMX_ERROR_INVALID,
				      "part %u of the snapshot is not valid",
				      i);
	}
	if (valid)
		flush_routes_(&loader);
	mmx_change_destroy(loader.holder);
	loader.config_state->applied_offset = reader->head.applied_offset;
	clear_reader_(reader);
	if (valid)
		return loader.config_state;
	mmx_config_state_destroy(loader.config_state);
	return NULL;
}
