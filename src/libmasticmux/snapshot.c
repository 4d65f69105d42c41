#include "masticmux/snapshot.h"

#include <assert.h>
#include <openssl/evp.h>
#include <rpc/rpc.h>
#include <string.h>

#include "private/config_tables.h"

/* "MMXS" in ASCII. */
#define MAGIC 0x4d4d5853U
/* Version of the format. */
#define VERSION 1U
/* Magic number, version, applied offset, digest, index of the part, number of
 * parts, length of the items. */
#define HEADER_BYTES (4 + 4 + 8 + MMX_SNAPSHOT_DIGEST_BYTES + 4 + 4 + 4)
#define ITEMS_MAX (MMX_SNAPSHOT_PART_MAX - HEADER_BYTES)
/* Limit of an item, bytes; the longest item is a route with the longest host
 * and prefix and all overrides. */
#define ITEM_MAX_BYTES 1024

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
	/* Not known to earlier releases; written only where they are needed. */
	ITEM_PUBLIC_ROUTE,
	ITEM_IDENTIFIED_ACCOUNT, /* with keys or limits */
	ITEM_KIND_COUNT
} item_kind_t;

struct mmx_snapshot_t {
	uint64_t applied_offset;
	uint8_t digest[MMX_SNAPSHOT_DIGEST_BYTES];
	GPtrArray *parts; /* of GByteArray */
};

/* An item of any kind, for encoding and decoding. */
typedef struct item_t {
	uint32_t kind;
	char name[MMX_NAME_MAX + 1];
	char template_name[MMX_NAME_MAX + 1];
	char host[MMX_HOST_MAX + 1];
	char prefix[MMX_PATH_PREFIX_MAX + 1];
	uint64_t revision;
	mmx_policy_override_t override;
	mmx_change_account_t account;
	mmx_config_state_verdict_t verdict;
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

static bool xdr_identity_(XDR *xdr, mmx_change_account_t *account)
{
	bool_t has_priority = account->has_priority;
	uint32_t count = (uint32_t)account->key_count;
	bool done = xdr_bool(xdr, &has_priority) &&
		    xdr_uint8_t(xdr, &account->priority) &&
		    xdr_double(xdr, &account->rate) &&
		    xdr_double(xdr, &account->burst) &&
		    xdr_uint32_t(xdr, &count) && count <= MMX_ACCOUNT_KEYS_MAX;
	uint32_t i;

	account->has_priority = has_priority;
	account->key_count = count;
	for (i = 0; done && i < count; i++)
		done = xdr_opaque(xdr, (char *)account->key_digests[i],
				  MMX_KEY_DIGEST_BYTES);
	return done;
}

static bool xdr_verdict_(XDR *xdr, mmx_config_state_verdict_t *verdict)
{
	return xdr_opaque(xdr, (char *)verdict->id, sizeof(verdict->id)) &&
	       xdr_uint64_t(xdr, &verdict->offset) &&
	       xdr_uint8_t(xdr, &verdict->verdict) &&
	       xdr_uint8_t(xdr, &verdict->reject_reason);
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
	case ITEM_PUBLIC_ROUTE:
		return xdr_text_(xdr, item->host, sizeof(item->host)) &&
		       xdr_text_(xdr, item->prefix, sizeof(item->prefix)) &&
		       xdr_override_(xdr, &item->override);
	case ITEM_ACCOUNT:
		return xdr_text_(xdr, item->name, sizeof(item->name)) &&
		       xdr_uint64_t(xdr, &item->revision) &&
		       xdr_account_(xdr, &item->account);
	case ITEM_IDENTIFIED_ACCOUNT:
		return xdr_text_(xdr, item->name, sizeof(item->name)) &&
		       xdr_uint64_t(xdr, &item->revision) &&
		       xdr_account_(xdr, &item->account) &&
		       xdr_identity_(xdr, &item->account);
	case ITEM_VERDICT:
		return xdr_verdict_(xdr, &item->verdict);
	default:
		return false;
	}
}

/* Writes items into parts and computes their digest. */
typedef struct writer_t {
	mmx_snapshot_t *snapshot;
	GByteArray *part;
	EVP_MD_CTX *digest;
} writer_t;

static void start_part_(writer_t *writer)
{
	static const uint8_t header[HEADER_BYTES];

	writer->part = g_byte_array_new();
	g_byte_array_append(writer->part, header, sizeof(header));
	g_ptr_array_add(writer->snapshot->parts, writer->part);
}

static void put_item_(writer_t *writer, item_t *item)
{
	char buffer[ITEM_MAX_BYTES];
	XDR xdr;
	bool done;
	u_int length;

	xdrmem_create(&xdr, buffer, sizeof(buffer), XDR_ENCODE);
	done = xdr_item_(&xdr, item);
	assert(done);
	(void)done;
	length = xdr_getpos(&xdr);
	if (writer->part->len + length > MMX_SNAPSHOT_PART_MAX)
		start_part_(writer);
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

/* Entries of a table of named objects, sorted by name. */
static GPtrArray *sorted_entries_(GHashTable *table)
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

static void put_templates_(writer_t *writer, const mmx_config_state_t *state)
{
	GPtrArray *entries = sorted_entries_(state->templates);
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
		item_t item = {.kind = route->is_public ? ITEM_PUBLIC_ROUTE
							: ITEM_ROUTE};

		g_strlcpy(item.host, route->key.host->key.name,
			  sizeof(item.host));
		g_strlcpy(item.prefix, route->key.prefix, sizeof(item.prefix));
		if (route->override)
			item.override = *route->override;
		put_item_(writer, &item);
	}
}

static void put_services_(writer_t *writer, const mmx_config_state_t *state)
{
	GPtrArray *entries = sorted_entries_(state->services);
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

static void copy_identity_(const mmx_config_state_identity_t *identity,
			   mmx_change_account_t *account)
{
	account->has_priority = identity->has_priority;
	account->priority = identity->priority;
	account->rate = identity->rate;
	account->burst = identity->burst;
	for (; account->key_count < identity->key_count; account->key_count++)
		memcpy(account->key_digests[account->key_count],
		       identity->digests[account->key_count],
		       MMX_KEY_DIGEST_BYTES);
}

static void put_accounts_(writer_t *writer, const mmx_config_state_t *state)
{
	GPtrArray *entries = sorted_entries_(state->accounts);
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
		if (entry->identity) {
			item.kind = ITEM_IDENTIFIED_ACCOUNT;
			copy_identity_(entry->identity, &item.account);
		}
		put_item_(writer, &item);
	}
	g_ptr_array_free(entries, TRUE);
}

static void put_verdicts_(writer_t *writer, const mmx_config_state_t *state)
{
	item_t item = {.kind = ITEM_VERDICT};
	size_t i;

	for (i = 0; i < state->verdict_count; i++) {
		item.verdict = *mmx_config_state_verdict_at(state, i);
		put_item_(writer, &item);
	}
}

static bool xdr_header_(XDR *xdr, mmx_snapshot_header_t *header,
			uint32_t *length)
{
	uint32_t magic = MAGIC;
	uint32_t version = VERSION;

	return xdr_uint32_t(xdr, &magic) && magic == MAGIC &&
	       xdr_uint32_t(xdr, &version) && version == VERSION &&
	       xdr_uint64_t(xdr, &header->applied_offset) &&
	       xdr_opaque(xdr, (char *)header->digest,
			  sizeof(header->digest)) &&
	       xdr_uint32_t(xdr, &header->part_index) &&
	       xdr_uint32_t(xdr, &header->part_count) &&
	       xdr_uint32_t(xdr, length);
}

static void put_headers_(mmx_snapshot_t *snapshot)
{
	mmx_snapshot_header_t header = {.applied_offset =
						snapshot->applied_offset,
					.part_count = snapshot->parts->len};
	XDR xdr;

	memcpy(header.digest, snapshot->digest, sizeof(header.digest));
	for (header.part_index = 0; header.part_index < header.part_count;
	     header.part_index++) {
		GByteArray *part = snapshot->parts->pdata[header.part_index];
		uint32_t length = part->len - HEADER_BYTES;
		bool done;

		xdrmem_create(&xdr, (char *)part->data, HEADER_BYTES,
			      XDR_ENCODE);
		done = xdr_header_(&xdr, &header, &length);
		assert(done);
		(void)done;
	}
}

static void start_digest_(EVP_MD_CTX *context, uint64_t applied_offset)
{
	uint64_t big_endian = GUINT64_TO_BE(applied_offset);

	EVP_DigestInit_ex(context, EVP_sha256(), NULL);
	EVP_DigestUpdate(context, &big_endian, sizeof(big_endian));
}

static void free_part_(gpointer part)
{
	if (part)
		g_byte_array_free(part, TRUE);
}

mmx_snapshot_t *mmx_snapshot_create(const mmx_config_state_t *state)
{
	mmx_snapshot_t *snapshot = g_new0(mmx_snapshot_t, 1);
	writer_t writer = {.snapshot = snapshot, .digest = EVP_MD_CTX_new()};

	snapshot->applied_offset = state->applied_offset;
	snapshot->parts = g_ptr_array_new_with_free_func(free_part_);
	start_digest_(writer.digest, state->applied_offset);
	start_part_(&writer);
	put_templates_(&writer, state);
	put_services_(&writer, state);
	put_accounts_(&writer, state);
	put_verdicts_(&writer, state);
	EVP_DigestFinal_ex(writer.digest, snapshot->digest, NULL);
	EVP_MD_CTX_free(writer.digest);
	put_headers_(snapshot);
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
	return snapshot->applied_offset;
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
			       mmx_snapshot_header_t *header)
{
	uint32_t items_length = 0;
	XDR xdr;

	if (length < HEADER_BYTES || length > MMX_SNAPSHOT_PART_MAX)
		return false;
	xdrmem_create(&xdr, (char *)data, HEADER_BYTES, XDR_DECODE);
	return xdr_header_(&xdr, header, &items_length) &&
	       header->applied_offset > 0 &&
	       header->applied_offset <= MMX_REVISION_MAX &&
	       header->part_count > 0 &&
	       header->part_count <= MMX_SNAPSHOT_PARTS_MAX &&
	       header->part_index < header->part_count &&
	       items_length == length - HEADER_BYTES;
}

struct mmx_snapshot_reader_t {
	mmx_snapshot_header_t header; /* of the first part added */
	GPtrArray *parts;	      /* of GByteArray; NULL: missing */
	uint32_t first_missing;	      /* lowest index of a missing part */
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
	memset(&reader->header, 0, sizeof(reader->header));
	reader->first_missing = 0;
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
	mmx_snapshot_header_t header;
	GByteArray *part;

	if (!mmx_snapshot_parse_header(data, length, &header))
		return MMX_SNAPSHOT_INVALID;
	if (header.applied_offset > reader->header.applied_offset) {
		clear_reader_(reader);
		reader->header = header;
		g_ptr_array_set_size(reader->parts, (gint)header.part_count);
	}
	if (!same_snapshot_(&header, &reader->header))
		return MMX_SNAPSHOT_OTHER;
	if (!reader->parts->pdata[header.part_index]) {
		part = g_byte_array_sized_new((guint)length);
		g_byte_array_append(part, data, (guint)length);
		reader->parts->pdata[header.part_index] = part;
	}
	while (reader->first_missing < reader->parts->len &&
	       reader->parts->pdata[reader->first_missing])
		reader->first_missing++;
	return reader->first_missing == reader->parts->len
		       ? MMX_SNAPSHOT_COMPLETE
		       : MMX_SNAPSHOT_INCOMPLETE;
}

uint32_t mmx_snapshot_reader_first_missing(const mmx_snapshot_reader_t *reader)
{
	return reader->first_missing;
}

uint64_t mmx_snapshot_reader_applied_offset(const mmx_snapshot_reader_t *reader)
{
	return reader->header.applied_offset;
}

/* Builds a configuration state from items. The routes of a service are
 * collected until an item of another kind or service follows. */
typedef struct loader_t {
	mmx_config_state_t *state;
	mmx_config_state_service_t
		*service;		/* whose routes are read; NULL: none */
	mmx_change_service_t *routes;	/* collected routes, of `change` */
	mmx_change_t *change;		/* owns `routes` */
	const mmx_change_route_t *last; /* collected last; NULL: none */
} loader_t;

static void flush_routes_(loader_t *loader)
{
	if (loader->service)
		mmx_config_state_set_routes(loader->state, loader->service,
					    &loader->routes->routes,
					    loader->routes->route_count);
	mmx_change_destroy(loader->change);
	loader->change = NULL;
	loader->last = NULL;
	loader->routes = NULL;
	loader->service = NULL;
}

static bool load_service_(loader_t *loader, const item_t *item)
{
	mmx_config_state_template_t *found = mmx_config_state_find_template(
		loader->state, item->template_name);

	flush_routes_(loader);
	if (!found || mmx_config_state_find_service(loader->state, item->name))
		return false;
	loader->service = mmx_config_state_put_service(
		loader->state, item->name, item->revision, found);
	loader->change = mmx_change_create();
	loader->routes = mmx_change_add_service(loader->change, item->name);
	return true;
}

/* Routes of a service are strictly ascending, so that none occurs twice. */
static bool is_ascending_(const mmx_change_route_t *last, const item_t *item)
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
	    !is_ascending_(loader->last, item) ||
	    mmx_config_state_find_route(loader->state, item->host,
					item->prefix))
		return false;
	route = mmx_change_add_route(loader->routes, item->host, item->prefix);
	route->override = item->override;
	route->is_public = item->kind == ITEM_PUBLIC_ROUTE;
	loader->last = route;
	return strcmp(route->host, item->host) == 0;
}

static bool is_valid_account_(const mmx_change_account_t *account)
{
	return account->deadline >= 0 &&
	       account->deadline <= MMX_DEADLINE_MAX && account->rate >= 0 &&
	       account->rate <= MMX_ACCOUNT_RATE_MAX && account->burst >= 0 &&
	       account->burst <= MMX_ACCOUNT_RATE_MAX;
}

static bool load_item_(loader_t *loader, const item_t *item)
{
	mmx_config_state_t *state = loader->state;

	if (item->kind != ITEM_ROUTE && item->kind != ITEM_PUBLIC_ROUTE &&
	    item->kind != ITEM_SERVICE)
		flush_routes_(loader);
	switch (item->kind) {
	case ITEM_TEMPLATE:
		mmx_config_state_put_template(state, item->name, item->revision,
					      &item->override.values);
		return true;
	case ITEM_SERVICE:
		return load_service_(loader, item);
	case ITEM_ROUTE:
	case ITEM_PUBLIC_ROUTE:
		return load_route_(loader, item);
	case ITEM_ACCOUNT:
	case ITEM_IDENTIFIED_ACCOUNT:
		if (!is_valid_account_(&item->account))
			return false;
		mmx_config_state_put_account(state, item->name, item->revision,
					     &item->account);
		return true;
	default:
		if (item->verdict.verdict > MMX_VERDICT_REJECTED ||
		    item->verdict.reject_reason >= MMX_REJECT_COUNT ||
		    mmx_config_state_find_verdict(state, item->verdict.id))
			return false;
		mmx_config_state_add_verdict(state, &item->verdict);
		return true;
	}
}

static bool load_part_(loader_t *loader, const GByteArray *part)
{
	XDR xdr;

	xdrmem_create(&xdr, (char *)part->data + HEADER_BYTES,
		      part->len - HEADER_BYTES, XDR_DECODE);
	while (xdr_getpos(&xdr) < part->len - HEADER_BYTES) {
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

	start_digest_(context, reader->header.applied_offset);
	for (i = 0; i < reader->parts->len; i++) {
		const GByteArray *part = reader->parts->pdata[i];

		EVP_DigestUpdate(context, part->data + HEADER_BYTES,
				 part->len - HEADER_BYTES);
	}
	EVP_DigestFinal_ex(context, digest, NULL);
	EVP_MD_CTX_free(context);
	return !memcmp(digest, reader->header.digest,
		       MMX_SNAPSHOT_DIGEST_BYTES);
}

mmx_config_state_t *mmx_snapshot_reader_load(mmx_snapshot_reader_t *reader,
					     mmx_error_t *error)
{
	loader_t loader = {.state = NULL};
	bool valid;
	guint i;

	assert(reader->parts->len > 0 &&
	       reader->first_missing == reader->parts->len);
	valid = digest_matches_(reader);
	if (!valid)
		mmx_error_set(
			error, MMX_ERROR_INVALID,
			"the digest of the snapshot doesn't match its items");
	loader.state = mmx_config_state_create();
	for (i = 0; valid && i < reader->parts->len; i++) {
		valid = load_part_(&loader, reader->parts->pdata[i]);
		if (!valid)
			mmx_error_set(error, MMX_ERROR_INVALID,
				      "part %u of the snapshot is not valid",
				      i);
	}
	if (valid)
		flush_routes_(&loader);
	mmx_change_destroy(loader.change);
	loader.state->applied_offset = reader->header.applied_offset;
	clear_reader_(reader);
	if (valid)
		return loader.state;
	mmx_config_state_destroy(loader.state);
	return NULL;
}
