/**
 * Directory: the targets of the whole fleet, by id and by service.
 *
 * The membership task owns the directory and changes it; other tasks of the
 * same process read it through the const functions below. Records are
 * versioned by the node beside the target; the newest version wins, in any
 * order of arrival. All targets of a node belong to one incarnation: the first
 * record of a newer incarnation removes the older targets.
 *
 * A record in state GONE stays as a tombstone, so that a late older record
 * does not bring the target back, until mmx_directory_expire() removes it.
 * Digests and counts leave tombstones out.
 *
 * Life: create, update and query in any order, destroy.
 */
#ifndef MASTICMUX_DIRECTORY_H
#define MASTICMUX_DIRECTORY_H

#include <sys/queue.h>

#include "masticmux/clock.h"
#include "masticmux/types.h"

typedef enum mmx_target_state_t {
	MMX_TARGET_COLD,
	MMX_TARGET_WARM,
	MMX_TARGET_DRAINING,
	MMX_TARGET_GONE,
	MMX_TARGET_STATE_COUNT
} mmx_target_state_t;

extern const char *const mmx_target_state_string[MMX_TARGET_STATE_COUNT];

/** What the node beside a target announces about it. */
typedef struct mmx_target_record_t {
	mmx_target_id_t id;
	mmx_node_id_t node;
	mmx_incarnation_t incarnation; /**< of the node */
	uint64_t version;	       /**< grows within the incarnation */
	char name[MMX_NAME_MAX + 1];
	char service[MMX_NAME_MAX + 1];
	uint16_t slots; /**< 1..65535 requests at a time */
	mmx_target_state_t state;
	uint64_t process_start; /**< of the target, any unit; 0: not told */
} mmx_target_record_t;

/** Buckets that the targets are divided into for anti-entropy. */
#define MMX_DIRECTORY_BUCKETS 256

/** One target; a member of the list of its service. */
typedef struct mmx_directory_target_t mmx_directory_target_t;
/** One service that has or had targets. */
typedef struct mmx_directory_service_t mmx_directory_service_t;

typedef struct mmx_directory_t mmx_directory_t;

mmx_directory_t *mmx_directory_create(mmx_clock_t *clock);
void mmx_directory_destroy(mmx_directory_t *directory);

/**
 * Merges a record.
 *
 * @param record  with a name and a service of 1..MMX_NAME_MAX bytes, at least
 *                one slot and a valid state; asserted
 * @return true if it was newer than what was known, by incarnation and then
 *         by version; false also for an id that belongs to another node
 */
bool mmx_directory_update(mmx_directory_t *directory,
			  const mmx_target_record_t *record);

/** Finds a target; NULL when unknown. Valid until the next update. */
const mmx_directory_target_t *
mmx_directory_find(const mmx_directory_t *directory, mmx_target_id_t id);

/**
 * Finds a target by "target name" or "node name/target name".
 *
 * @return NULL when unknown, or when targets of several nodes have the name
 */
const mmx_directory_target_t *
mmx_directory_find_name(const mmx_directory_t *directory, const char *name);

/** Finds a service by name; NULL when no target ever announced it. */
const mmx_directory_service_t *
mmx_directory_service(const mmx_directory_t *directory, const char *service);

/**
 * Number of targets of a service, with those in state GONE left out, and the
 * n-th of them (0 .. count - 1) in constant time. The order is stable between
 * updates.
 */
size_t mmx_directory_service_count(const mmx_directory_service_t *service);
const mmx_directory_target_t *
mmx_directory_service_at(const mmx_directory_service_t *service, size_t n);

/** Unpacks a target into a record. */
void mmx_directory_record(const mmx_directory_target_t *target,
			  mmx_target_record_t *record);

mmx_target_id_t mmx_directory_target_id(const mmx_directory_target_t *target);
mmx_node_id_t mmx_directory_target_node(const mmx_directory_target_t *target);
mmx_incarnation_t
mmx_directory_target_incarnation(const mmx_directory_target_t *target);
uint64_t
mmx_directory_target_process_start(const mmx_directory_target_t *target);
uint16_t mmx_directory_target_slots(const mmx_directory_target_t *target);
mmx_target_state_t
mmx_directory_target_state(const mmx_directory_target_t *target);

/** Name and service of a target; valid until the next update. */
const char *mmx_directory_target_name(const mmx_directory_target_t *target);
const char *mmx_directory_target_service(const mmx_directory_target_t *target);
uint64_t mmx_directory_target_version(const mmx_directory_target_t *target);

/** Number of targets in the directory, without those in state GONE. */
size_t mmx_directory_count(const mmx_directory_t *directory);

/** Number of services that have or had targets. */
size_t mmx_directory_service_total(const mmx_directory_t *directory);

/** Id of a target: XXH64 of "node name/target name". */
mmx_target_id_t mmx_directory_id(const char *node_name,
				 const char *target_name);

/** Bucket of a target, 0..MMX_DIRECTORY_BUCKETS - 1. */
unsigned int mmx_directory_bucket_of(mmx_target_id_t id);

/**
 * Digests of the buckets: equal when the buckets hold the same targets in the
 * same versions. Valid while the directory lives; kept current by updates.
 */
const uint64_t *mmx_directory_digests(const mmx_directory_t *directory);

/** First target of a bucket, tombstones included; NULL when empty. */
const mmx_directory_target_t *
mmx_directory_bucket_first(const mmx_directory_t *directory,
			   unsigned int bucket);
/** Next target of the same bucket, or NULL. Valid until the next update. */
const mmx_directory_target_t *
mmx_directory_bucket_next(const mmx_directory_target_t *target);

/** First target beside a node, tombstones included; NULL when none. */
const mmx_directory_target_t *
mmx_directory_node_first(const mmx_directory_t *directory, mmx_node_id_t node);
/** Next target beside the same node, or NULL. Valid until the next update. */
const mmx_directory_target_t *
mmx_directory_node_next(const mmx_directory_target_t *target);

/**
 * Removes the targets of incarnations of a node older than the given one.
 * Records of those are refused until mmx_directory_expire() forgets the node.
 *
 * @return number of targets removed, tombstones included
 */
size_t mmx_directory_remove_older(mmx_directory_t *directory,
				  mmx_node_id_t node,
				  mmx_incarnation_t incarnation);

/**
 * Forgets tombstones, and nodes without targets, that have been unchanged for
 * a time. The owner calls it about once a minute.
 *
 * @param age  microseconds, more than 0
 * @return number of tombstones removed
 */
size_t mmx_directory_expire(mmx_directory_t *directory, mmx_time_t age);

#endif
