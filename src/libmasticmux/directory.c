#include "masticmux/directory.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

const char *const mmx_target_state_string[MMX_TARGET_STATE_COUNT] = {
	"cold",
	"warm",
	"draining",
	"gone",
};

typedef LIST_HEAD(target_list_t, mmx_directory_target_t) target_list_t;

/* A name that one or more nodes gave to a target. */
typedef struct target_name_t {
	target_list_t targets;
	char text[];
} target_name_t;

typedef struct directory_node_t {
	mmx_node_id_t id; /* first: key of the table of nodes */
	mmx_incarnation_t incarnation;
	target_list_t targets;
	uint32_t emptied_s; /* when the last target was removed */
} directory_node_t;

struct mmx_directory_service_t {
	GPtrArray *targets; /* those not GONE */
	char name[];
};

/* The size of an entry counts 53,000 times. */
struct mmx_directory_target_t {
	mmx_target_id_t id; /* first: key of the table of targets */
	uint64_t version;
	uint64_t process_start;
	directory_node_t *node;
	mmx_directory_service_t *service;
	target_name_t *name;
	LIST_ENTRY(mmx_directory_target_t) in_bucket;
	LIST_ENTRY(mmx_directory_target_t) in_node;
	LIST_ENTRY(mmx_directory_target_t) in_name;
	uint32_t position; /* in the array of the service */
	uint32_t gone_s;   /* when the state became GONE */
	uint16_t slots;
	uint8_t state;
};

struct mmx_directory_t {
	mmx_clock_t *clock;
	GHashTable *targets;
	GHashTable *nodes;
	GHashTable *services;
	GHashTable *names;
	size_t count;
	uint64_t digests[MMX_DIRECTORY_BUCKETS];
	target_list_t buckets[MMX_DIRECTORY_BUCKETS];
};

static void free_service_(gpointer data)
{
	mmx_directory_service_t *service = data;

	g_ptr_array_free(service->targets, TRUE);
	g_free(service);
}

mmx_directory_t *mmx_directory_create(mmx_clock_t *clock)
{
	mmx_directory_t *directory = g_new0(mmx_directory_t, 1);

	assert(clock);
	directory->clock = clock;
	directory->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
	directory->nodes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	directory->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, free_service_);
	directory->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return directory;
}

void mmx_directory_destroy(mmx_directory_t *directory)
{
	if (!directory)
		return;
	g_hash_table_destroy(directory->targets);
	g_hash_table_destroy(directory->nodes);
	g_hash_table_destroy(directory->services);
	g_hash_table_destroy(directory->names);
	g_free(directory);
}

static uint32_t now_s_(const mmx_directory_t *directory)
{
	return (uint32_t)(mmx_clock_now(directory->clock) / MMX_US_PER_S);
}

unsigned int mmx_directory_bucket_of(mmx_target_id_t id)
{
	return (unsigned int)(id % MMX_DIRECTORY_BUCKETS);
}

mmx_target_id_t mmx_directory_id(const char *node_name, const char *target_name)
{
	char path[2 * MMX_NAME_MAX + 2];
	int length;

	length =
		g_snprintf(path, sizeof(path), "%s/%s", node_name, target_name);
	assert(length > 0 && (size_t)length < sizeof(path));
	return XXH64(path, (size_t)length, 0);
}

/* XOR of these values over a bucket is its digest: adding and removing a
 * target are the same operation, in any order. */
static void toggle_digest_(mmx_directory_t *directory,
			   const mmx_directory_target_t *target)
{
	uint64_t part[3] = {target->id, target->node->incarnation,
			    target->version};

	if (target->state != MMX_TARGET_GONE)
		directory->digests[mmx_directory_bucket_of(target->id)] ^=
			XXH64(part, sizeof(part), 0);
}

static void service_add_(mmx_directory_t *directory,
			 mmx_directory_target_t *target)
{
	GPtrArray *array = target->service->targets;

	if (target->state == MMX_TARGET_GONE)
		return;
	target->position = array->len;
	g_ptr_array_add(array, target);
	directory->count++;
}

static void service_remove_(mmx_directory_t *directory,
			    const mmx_directory_target_t *target)
{
	GPtrArray *array = target->service->targets;
	mmx_directory_target_t *last;

	if (target->state == MMX_TARGET_GONE)
		return;
	last = g_ptr_array_index(array, array->len - 1);
	last->position = target->position;
	g_ptr_array_remove_index_fast(array, target->position);
	directory->count--;
}

static void remove_(mmx_directory_t *directory, mmx_directory_target_t *target)
{
	directory_node_t *node = target->node;

	toggle_digest_(directory, target);
	service_remove_(directory, target);
	LIST_REMOVE(target, in_bucket);
	LIST_REMOVE(target, in_node);
	LIST_REMOVE(target, in_name);
	if (LIST_EMPTY(&target->name->targets))
		g_hash_table_remove(directory->names, target->name->text);
	if (LIST_EMPTY(&node->targets))
		node->emptied_s = now_s_(directory);
	g_hash_table_remove(directory->targets, &target->id);
}

static directory_node_t *intern_node_(mmx_directory_t *directory,
				      mmx_node_id_t id)
{
	directory_node_t *node = g_hash_table_lookup(directory->nodes, &id);

	if (node)
		return node;
	node = g_new0(directory_node_t, 1);
	node->id = id;
	node->emptied_s = now_s_(directory);
	g_hash_table_add(directory->nodes, node);
	return node;
}

static mmx_directory_service_t *intern_service_(mmx_directory_t *directory,
						const char *name)
{
	mmx_directory_service_t *service;
	size_t size = strlen(name) + 1;

	service = g_hash_table_lookup(directory->services, name);
	if (service)
		return service;
	service = g_malloc(sizeof(*service) + size);
	service->targets = g_ptr_array_new();
	memcpy(service->name, name, size);
	g_hash_table_insert(directory->services, service->name, service);
	return service;
}

static target_name_t *intern_name_(mmx_directory_t *directory, const char *text)
{
	target_name_t *name = g_hash_table_lookup(directory->names, text);
	size_t size = strlen(text) + 1;

	if (name)
		return name;
	name = g_malloc(sizeof(*name) + size);
	LIST_INIT(&name->targets);
	memcpy(name->text, text, size);
	g_hash_table_insert(directory->names, name->text, name);
	return name;
}

size_t mmx_directory_remove_older(mmx_directory_t *directory, mmx_node_id_t id,
				  mmx_incarnation_t incarnation)
{
	directory_node_t *node = intern_node_(directory, id);
	mmx_directory_target_t *target;
	size_t removed = 0;

	if (incarnation <= node->incarnation)
		return 0;
	while ((target = LIST_FIRST(&node->targets))) {
		remove_(directory, target);
		removed++;
	}
	node->incarnation = incarnation;
	return removed;
}

static mmx_directory_target_t *add_(mmx_directory_t *directory,
				    directory_node_t *node,
				    const mmx_target_record_t *record)
{
	mmx_directory_target_t *target = g_new0(mmx_directory_target_t, 1);
	unsigned int bucket = mmx_directory_bucket_of(record->id);

	target->id = record->id;
	target->node = node;
	target->name = intern_name_(directory, record->name);
	LIST_INSERT_HEAD(&directory->buckets[bucket], target, in_bucket);
	LIST_INSERT_HEAD(&node->targets, target, in_node);
	LIST_INSERT_HEAD(&target->name->targets, target, in_name);
	g_hash_table_add(directory->targets, target);
	return target;
}

bool mmx_directory_update(mmx_directory_t *directory,
			  const mmx_target_record_t *record)
{
	mmx_directory_target_t *target;
	directory_node_t *node;

	assert(record->name[0] && record->service[0]);
	assert(record->slots > 0 && record->state < MMX_TARGET_STATE_COUNT);
	target = g_hash_table_lookup(directory->targets, &record->id);
	if (target && target->node->id != record->node)
		return false;
	node = intern_node_(directory, record->node);
	if (record->incarnation < node->incarnation)
		return false;
	if (record->incarnation > node->incarnation) {
		mmx_directory_remove_older(directory, record->node,
					   record->incarnation);
		target = NULL;
	}
	if (target && record->version <= target->version)
		return false;
	if (target) {
		toggle_digest_(directory, target);
		service_remove_(directory, target);
	} else {
		target = add_(directory, node, record);
	}
	target->service = intern_service_(directory, record->service);
	target->version = record->version;
	target->slots = record->slots;
	target->process_start = record->process_start;
	target->state = (uint8_t)record->state;
	target->gone_s = now_s_(directory);
	toggle_digest_(directory, target);
	service_add_(directory, target);
	return true;
}

size_t mmx_directory_expire(mmx_directory_t *directory, mmx_time_t age)
{
	uint32_t age_s = (uint32_t)(age / MMX_US_PER_S);
	uint32_t now = now_s_(directory);
	const directory_node_t *node;
	GHashTableIter iter;
	gpointer key;
	size_t removed = 0;
	unsigned int b;

	assert(age > 0);
	for (b = 0; b < MMX_DIRECTORY_BUCKETS; b++) {
		mmx_directory_target_t *target;
		mmx_directory_target_t *next;

		for (target = LIST_FIRST(&directory->buckets[b]); target;
		     target = next) {
			next = LIST_NEXT(target, in_bucket);
			if (target->state != MMX_TARGET_GONE ||
			    now - target->gone_s < age_s)
				continue;
			remove_(directory, target);
			removed++;
		}
	}
	g_hash_table_iter_init(&iter, directory->nodes);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		node = key;
		if (LIST_EMPTY(&node->targets) &&
		    now - node->emptied_s >= age_s)
			g_hash_table_iter_remove(&iter);
	}
	return removed;
}

const mmx_directory_target_t *
mmx_directory_find(const mmx_directory_t *directory, mmx_target_id_t id)
{
	return g_hash_table_lookup(directory->targets, &id);
}

const mmx_directory_target_t *
mmx_directory_find_name(const mmx_directory_t *directory, const char *name)
{
	const target_name_t *known =
		g_hash_table_lookup(directory->names, name);
	const mmx_directory_target_t *target;
	const mmx_directory_target_t *found = NULL;

	if (!known)
		return mmx_directory_find(directory,
					  XXH64(name, strlen(name), 0));
	LIST_FOREACH (target, &known->targets, in_name) {
		if (found && found->state != MMX_TARGET_GONE &&
		    target->state != MMX_TARGET_GONE)
			return NULL;
		if (!found || found->state == MMX_TARGET_GONE)
			found = target;
	}
	return found;
}

const mmx_directory_service_t *
mmx_directory_service(const mmx_directory_t *directory, const char *service)
{
	return g_hash_table_lookup(directory->services, service);
}

size_t mmx_directory_service_count(const mmx_directory_service_t *service)
{
	return service->targets->len;
}

const mmx_directory_target_t *
mmx_directory_service_at(const mmx_directory_service_t *service, size_t n)
{
	assert(n < service->targets->len);
	return g_ptr_array_index(service->targets, n);
}

void mmx_directory_record(const mmx_directory_target_t *target,
			  mmx_target_record_t *record)
{
	*record = (mmx_target_record_t){
		.id = target->id,
		.node = target->node->id,
		.incarnation = target->node->incarnation,
		.version = target->version,
		.slots = target->slots,
		.process_start = target->process_start,
		.state = (mmx_target_state_t)target->state,
	};
	g_strlcpy(record->name, target->name->text, sizeof(record->name));
	g_strlcpy(record->service, target->service->name,
		  sizeof(record->service));
}

mmx_target_id_t mmx_directory_target_id(const mmx_directory_target_t *target)
{
	return target->id;
}

mmx_node_id_t mmx_directory_target_node(const mmx_directory_target_t *target)
{
	return target->node->id;
}

mmx_incarnation_t
mmx_directory_target_incarnation(const mmx_directory_target_t *target)
{
	return target->node->incarnation;
}

uint64_t
mmx_directory_target_process_start(const mmx_directory_target_t *target)
{
	return target->process_start;
}

uint16_t mmx_directory_target_slots(const mmx_directory_target_t *target)
{
	return target->slots;
}

mmx_target_state_t
mmx_directory_target_state(const mmx_directory_target_t *target)
{
	return (mmx_target_state_t)target->state;
}

const char *mmx_directory_target_name(const mmx_directory_target_t *target)
{
	return target->name->text;
}

const char *mmx_directory_target_service(const mmx_directory_target_t *target)
{
	return target->service->name;
}

uint64_t mmx_directory_target_version(const mmx_directory_target_t *target)
{
	return target->version;
}

size_t mmx_directory_count(const mmx_directory_t *directory)
{
	return directory->count;
}

size_t mmx_directory_service_total(const mmx_directory_t *directory)
{
	return g_hash_table_size(directory->services);
}

const uint64_t *mmx_directory_digests(const mmx_directory_t *directory)
{
	return directory->digests;
}

const mmx_directory_target_t *
mmx_directory_bucket_first(const mmx_directory_t *directory,
			   unsigned int bucket)
{
	assert(bucket < MMX_DIRECTORY_BUCKETS);
	return LIST_FIRST(&directory->buckets[bucket]);
}

const mmx_directory_target_t *
mmx_directory_bucket_next(const mmx_directory_target_t *target)
{
	return LIST_NEXT(target, in_bucket);
}

const mmx_directory_target_t *
mmx_directory_node_first(const mmx_directory_t *directory, mmx_node_id_t node)
{
	const directory_node_t *known =
		g_hash_table_lookup(directory->nodes, &node);

	return known ? LIST_FIRST(&known->targets) : NULL;
}

const mmx_directory_target_t *
mmx_directory_node_next(const mmx_directory_target_t *target)
{
	return LIST_NEXT(target, in_node);
}
