/**
 * Tables of the config_state: objects by name and their lookups. Nothing here decides
 * whether a change is accepted; that is config_state.c.
 *
 * Every entry starts with its key, so that a hash table holds one pointer per
 * entry and a lookup probes with a key on the stack.
 */
#ifndef MASTICMUX_FOLD_TABLE_H
#define MASTICMUX_FOLD_TABLE_H

#include <glib.h>

#include "masticmux/config_state.h"

/** Bytes of SHA-256 over an id that stand for the id. */
#define MMX_CONFIG_STATE_ID_DIGEST_BYTES 16

/** Key of a table of named objects; the first member of each of them. */
typedef struct mmx_config_state_key_t {
	const char *name;
} mmx_config_state_key_t;

typedef struct mmx_config_state_template_t {
	mmx_config_state_key_t key;
	uint64_t revision;
	mmx_policy_t policy;
	char text[];
} mmx_config_state_template_t;

/** Host of at least one route. */
typedef struct mmx_config_state_host_t {
	mmx_config_state_key_t key;
	uint32_t route_count;
	/** Bit n: a prefix of n segments exists or existed; the last bit
	 * stands for all longer ones. */
	uint32_t prefix_depths;
	char text[];
} mmx_config_state_host_t;

typedef struct mmx_config_state_service_t mmx_config_state_service_t;

/** Key of the table of routes; the first member of a route. */
typedef struct mmx_config_state_route_key_t {
	const mmx_config_state_host_t *host;
	const char *prefix; /**< not terminated when it is a probe */
	uint32_t length;
} mmx_config_state_route_key_t;

typedef struct mmx_config_state_route_t {
	mmx_config_state_route_key_t key;
	mmx_config_state_service_t *service;
	mmx_policy_override_t *override; /**< NULL when it has no fields */
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

typedef struct mmx_config_state_account_t {
	mmx_config_state_key_t key;
	uint64_t revision;
	uint32_t deadline_us;
	uint8_t floor_percent;
	uint8_t ceiling_percent;
	uint8_t repeatable;
	bool has_repeatable;
	char text[];
} mmx_config_state_account_t;

G_STATIC_ASSERT(MMX_METHOD_COUNT <= 8);
G_STATIC_ASSERT(MMX_DEADLINE_MAX <= UINT32_MAX);

/** Verdict on one record. */
typedef struct mmx_config_state_verdict_t {
	uint8_t id[MMX_CONFIG_STATE_ID_DIGEST_BYTES];
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
	uint32_t floor_total; /**< sum of the accounts' floors, percent */
	mmx_config_state_verdict_t
		*verdicts; /**< ring of MMX_CONFIG_STATE_VERDICTS_MAX */
	size_t verdict_next;
	size_t verdict_count;
	GHashTable *verdict_index;
	mmx_config_state_counts_t counts;
	mmx_routing_table_t *routing; /**< whole configuration, or NULL */
	mmx_policy_t routing_policy;  /**< of its services */
};

/** Finds an object; NULL when there is none. */
mmx_config_state_template_t *
mmx_config_state_find_template(const mmx_config_state_t *config_state,
			       const char *name);
mmx_config_state_service_t *
mmx_config_state_find_service(const mmx_config_state_t *config_state,
			      const char *name);
mmx_config_state_account_t *
mmx_config_state_find_account(const mmx_config_state_t *config_state,
			      const char *name);

/** Finds the route with exactly this host and prefix; NULL: none. */
mmx_config_state_route_t *
mmx_config_state_find_route(const mmx_config_state_t *config_state,
			    const char *host, const char *prefix);

/** Length of a prefix without the slash at its end; at least 1. */
size_t mmx_config_state_prefix_length(const char *prefix);

/** Creates or replaces an object. */
void mmx_config_state_put_template(mmx_config_state_t *config_state,
				   const char *name, uint64_t revision,
				   const mmx_policy_t *policy);
void mmx_config_state_put_account(mmx_config_state_t *config_state,
				  const char *name, uint64_t revision,
				  const mmx_change_account_t *account);

/**
 * Creates or replaces a service without its routes.
 *
 * @param template_entry  of this config_state
 */
mmx_config_state_service_t *
mmx_config_state_put_service(mmx_config_state_t *config_state, const char *name,
			     uint64_t revision,
			     mmx_config_state_template_t *template_entry);

/** Removes the routes of a service. */
void mmx_config_state_clear_routes(mmx_config_state_t *config_state,
				   mmx_config_state_service_t *service);

/**
 * Sets the routes of a service that has none. None of them may exist.
 *
 * @param count  length of the list
 */
void mmx_config_state_set_routes(mmx_config_state_t *config_state,
				 mmx_config_state_service_t *service,
				 const mmx_change_route_list_t *list,
				 size_t count);

/** Keeps a verdict and forgets the oldest one beyond the limit. */
void mmx_config_state_add_verdict(mmx_config_state_t *config_state,
				  const mmx_config_state_verdict_t *seen);

/** Finds the verdict on an id; NULL when it is not remembered. */
const mmx_config_state_verdict_t *mmx_config_state_find_verdict(
	const mmx_config_state_t *config_state,
	const uint8_t id[MMX_CONFIG_STATE_ID_DIGEST_BYTES]);

/** The n-th verdict from the oldest, 0 .. seen_count - 1. */
const mmx_config_state_verdict_t *
mmx_config_state_verdict_at(const mmx_config_state_t *config_state, size_t n);

/** Digest that stands for an id. */
void mmx_config_state_digest_id(
	const char *id, uint8_t digest[MMX_CONFIG_STATE_ID_DIGEST_BYTES]);

#endif
