/**
 * Tables of the configuration state: hash tables of its objects and their
 * look-ups. Whether a change is accepted is decided in config_state.c.
 *
 * Every entry starts with its key, so that a hash table stores one pointer per
 * entry and a look-up needs only a key on the stack.
 */
#ifndef MASTICMUX_PRIVATE_CONFIG_TABLES_H
#define MASTICMUX_PRIVATE_CONFIG_TABLES_H

#include <glib.h>

#include "masticmux/config_state.h"
#include "private/account_keys.h"

/** Bytes of the truncated SHA-256 digest that identifies a change. */
#define MMX_CONFIG_STATE_ID_DIGEST_BYTES 16

/** Key of a named object; the first member of each of them. */
typedef struct mmx_config_state_key_t {
	const char *name;
} mmx_config_state_key_t;

typedef struct mmx_config_state_template_t {
	mmx_config_state_key_t key;
	uint64_t revision;
	mmx_policy_t policy;
	char text[];
} mmx_config_state_template_t;

/** Host that has at least one route. */
typedef struct mmx_config_state_host_t {
	mmx_config_state_key_t key;
	uint32_t route_count; /**< number of routes */
	/** Bit n: a prefix of n segments exists or has existed; the last bit
	 * covers all longer prefixes. */
	uint32_t prefix_depths;
	char text[];
} mmx_config_state_host_t;

typedef struct mmx_config_state_service_t mmx_config_state_service_t;

/** Key of the table of routes; the first member of a route. */
typedef struct mmx_config_state_route_key_t {
	const mmx_config_state_host_t *host;
	const char *prefix; /**< not null-terminated in the key of a look-up */
	uint32_t length;    /**< of prefix, bytes */
} mmx_config_state_route_key_t;

typedef struct mmx_config_state_route_t {
	mmx_config_state_route_key_t key;
	mmx_config_state_service_t *service;
	mmx_policy_override_t *override; /**< NULL if nothing is overridden */
	bool is_public;
	char text[];
} mmx_config_state_route_t;

struct mmx_config_state_service_t {
	mmx_config_state_key_t key;
	uint64_t revision;
	mmx_config_state_template_t *template_entry;
	mmx_config_state_route_t **routes; /**< sorted by host and prefix */
	size_t route_count;
	char text[];
};

/** Keys and limits of an account. */
typedef struct mmx_config_state_identity_t {
	double rate;
	double burst;
	bool has_priority;
	uint8_t priority;
	uint8_t key_count;
	uint8_t digests[][MMX_KEY_DIGEST_BYTES]; /**< key_count of them */
} mmx_config_state_identity_t;

typedef struct mmx_config_state_account_t {
	mmx_config_state_key_t key;
	uint64_t revision;
	uint32_t deadline_us;
	uint8_t floor_percent;
	uint8_t ceiling_percent;
	uint8_t repeatable;
	bool has_repeatable;
	mmx_config_state_identity_t *identity; /**< NULL: no keys and limits */
	char text[];
} mmx_config_state_account_t;

G_STATIC_ASSERT(MMX_METHOD_COUNT <= 8);
G_STATIC_ASSERT(MMX_DEADLINE_MAX <= UINT32_MAX);

/** Stored verdict on one record. */
typedef struct mmx_config_state_verdict_t {
	uint8_t id[MMX_CONFIG_STATE_ID_DIGEST_BYTES]; /**< digest of the id */
	uint64_t offset;
	uint8_t verdict;
	uint8_t reject_reason;
} mmx_config_state_verdict_t;

struct mmx_config_state_t {
	uint64_t applied_offset;
	GHashTable *templates;
	GHashTable *services;
	GHashTable *hosts;
	GHashTable *routes;
	GHashTable *accounts;
	mmx_account_keys_t *keys; /**< owned by accounts; NULL: none so far */
	uint32_t floor_total;	  /**< sum of floor_percent of all accounts */
	mmx_config_state_verdict_t
		*verdicts; /**< ring buffer of MMX_CONFIG_STATE_VERDICTS_MAX */
	size_t verdict_next; /**< index that the next verdict is stored at */
	size_t verdict_count;
	GHashTable *verdict_index; /**< verdicts by digest of the id */
	mmx_config_state_counts_t counts;
	mmx_routing_table_t
		*routing; /**< replaces routes and services; or NULL */
	mmx_policy_t routing_policy; /**< of the services of the table */
};

/** Finds an object by name; NULL if there is none. */
mmx_config_state_template_t *
mmx_config_state_find_template(const mmx_config_state_t *state,
			       const char *name);
mmx_config_state_service_t *
mmx_config_state_find_service(const mmx_config_state_t *state,
			      const char *name);
mmx_config_state_account_t *
mmx_config_state_find_account(const mmx_config_state_t *state,
			      const char *name);

/** Finds the route with exactly this host and prefix; NULL if there is none. */
mmx_config_state_route_t *
mmx_config_state_find_route(const mmx_config_state_t *state, const char *host,
			    const char *prefix);

/** Length of a prefix without trailing slashes, bytes; at least 1. */
size_t mmx_config_state_prefix_length(const char *prefix);

/** Creates or replaces an object. */
void mmx_config_state_put_template(mmx_config_state_t *state, const char *name,
				   uint64_t revision,
				   const mmx_policy_t *policy);
void mmx_config_state_put_account(mmx_config_state_t *state, const char *name,
				  uint64_t revision,
				  const mmx_change_account_t *account);

/** Frees an account. Its keys must have been removed, or the table of keys is
 *  destroyed with it. */
void mmx_config_state_free_account(gpointer account);

/**
 * Creates a service or changes its template; doesn't change its routes.
 *
 * @param template_entry  template in the same state
 */
mmx_config_state_service_t *
mmx_config_state_put_service(mmx_config_state_t *state, const char *name,
			     uint64_t revision,
			     mmx_config_state_template_t *template_entry);

/** Removes the routes of a service. */
void mmx_config_state_clear_routes(mmx_config_state_t *state,
				   mmx_config_state_service_t *service);

/**
 * Sets the routes of a service. Asserts that the service has no routes and
 * that none of the new routes exists.
 *
 * @param count  number of routes in the list
 */
void mmx_config_state_set_routes(mmx_config_state_t *state,
				 mmx_config_state_service_t *service,
				 const mmx_change_route_list_t *list,
				 size_t count);

/** Stores a verdict; at the limit it replaces the oldest one. */
void mmx_config_state_add_verdict(mmx_config_state_t *state,
				  const mmx_config_state_verdict_t *verdict);

/** Finds the verdict on a record by digest; NULL if there is none. */
const mmx_config_state_verdict_t *mmx_config_state_find_verdict(
	const mmx_config_state_t *state,
	const uint8_t id[MMX_CONFIG_STATE_ID_DIGEST_BYTES]);

/** Returns the n-th verdict; n is 0 (the oldest) .. verdict_count - 1. */
const mmx_config_state_verdict_t *
mmx_config_state_verdict_at(const mmx_config_state_t *state, size_t n);

/** Computes the digest that identifies a change by its id. */
void mmx_config_state_digest_id(
	const char *id, uint8_t digest[MMX_CONFIG_STATE_ID_DIGEST_BYTES]);

#endif
