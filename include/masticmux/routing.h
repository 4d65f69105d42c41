/**
 * Routing table: one complete version of the configuration. It is used where
 * each version that the operator publishes replaces the previous one. It holds
 * the routes with their destinations, the services, the limits for callers, and
 * the client accounts with their keys. Does no I/O.
 *
 * Usage: create; add routes, services, accounts and keys; from then on only
 * look up; destroy.
 */
#ifndef MASTICMUX_ROUTING_H
#define MASTICMUX_ROUTING_H

#include "masticmux/types.h"

/** Highest priority; larger numbers are less urgent. */
#define MMX_PRIORITY_FIRST 0
#define MMX_PRIORITY_MAX 255

/** Longest key of an account, bytes. */
#define MMX_ACCOUNT_KEY_MAX 256

/** Destination of a route; its share is weight / sum of the weights. */
typedef struct mmx_destination_t {
	char service[MMX_NAME_MAX + 1];
	uint32_t weight;
	int64_t current_weight; /**< state of the smooth weighted round robin */
} mmx_destination_t;

/** Route: how the requests for one host and path prefix are handled. */
typedef struct mmx_routing_rule_t {
	char name[MMX_NAME_MAX + 1];
	char *prefix; /**< of the path; compared byte by byte */
	size_t prefix_length;
	bool repeatable;      /**< requests may be executed more than once */
	bool large_bodies;    /**< of requests or of responses */
	mmx_time_t timeout;   /**< of a request, microseconds */
	mmx_time_t objective; /**< latency objective, microseconds; 0: none */
	uint8_t attempts_max; /**< targets that one request may be sent to */
	uint8_t priority;     /**< MMX_PRIORITY_FIRST is the most urgent */
	bool is_public;	      /**< callers need no key of an account */
	int64_t weight_total;
	mmx_destination_t *destinations;
	size_t destination_count; /**< at least 1 */
} mmx_routing_rule_t;

/** Longest path of a health check, bytes. */
#define MMX_HEALTH_CHECK_PATH_MAX 255

/** Service, as configured. */
typedef struct mmx_routing_service_t {
	char name[MMX_NAME_MAX + 1];
	uint32_t connections_max; /**< of all callers together; 0: unknown */
	char health_path[MMX_HEALTH_CHECK_PATH_MAX + 1]; /**< empty: no check */
} mmx_routing_service_t;

/** Client account, as configured. */
typedef struct mmx_routing_account_t {
	char name[MMX_NAME_MAX + 1];
	bool has_priority;
	uint8_t priority; /**< replaces that of the route, if has_priority */
	double rate;	  /**< requests a second of the fleet; 0: no limit */
	double burst;	  /**< requests beyond the rate, 0 or more */
} mmx_routing_account_t;

/** Limits for callers; 0: the default. */
typedef struct mmx_caller_limits_t {
	uint32_t head_bytes;  /**< size of a request head */
	uint64_t body_bytes;  /**< size of a request body */
	mmx_time_t head_time; /**< until a head is complete, microseconds */
	mmx_time_t idle_time; /**< between two requests, microseconds */
} mmx_caller_limits_t;

typedef struct mmx_routing_table_t mmx_routing_table_t;

/** @param version  above 0, asserted; grows with each configuration */
mmx_routing_table_t *mmx_routing_create(uint64_t version);
void mmx_routing_destroy(mmx_routing_table_t *routing);

/**
 * Adds a route without destinations. A route of the same host and prefix is
 * replaced and freed.
 *
 * @param host    compared without regard to case
 * @param prefix  begins with a slash, asserted
 * @return route to be filled in by the caller; valid until the table is
 *         destroyed or the route is replaced
 */
mmx_routing_rule_t *mmx_routing_add_route(mmx_routing_table_t *routing,
					  const char *host, const char *prefix);

/** Adds a destination; a single one gets all requests, even with weight 0. */
void mmx_routing_add_destination(mmx_routing_rule_t *rule, const char *service,
				 uint32_t weight);

void mmx_routing_add_service(mmx_routing_table_t *routing,
			     const mmx_routing_service_t *service);
void mmx_routing_set_limits(mmx_routing_table_t *routing,
			    const mmx_caller_limits_t *limits);

/**
 * Sets that callers need a key of an account, except on public routes. Without
 * an account no key is valid then.
 */
void mmx_routing_set_requires_key(mmx_routing_table_t *routing);

/**
 * Adds an account without limit and keys, or returns the one of that name.
 *
 * @param name  1 to MMX_NAME_MAX bytes, asserted
 * @return account to be filled in by the caller; valid until the table is
 *         destroyed
 */
mmx_routing_account_t *mmx_routing_add_account(mmx_routing_table_t *routing,
					       const char *name);

/**
 * Adds a key of an account. The table keeps no copy of it. A key that two
 * accounts have identifies neither.
 *
 * @param account  of mmx_routing_add_account()
 * @param length   of key, bytes, 1 to MMX_ACCOUNT_KEY_MAX, asserted
 * @return false if another account has the key too
 */
bool mmx_routing_add_key(mmx_routing_table_t *routing,
			 mmx_routing_account_t *account, const char *key,
			 size_t length);

uint64_t mmx_routing_version(const mmx_routing_table_t *routing);
size_t mmx_routing_route_count(const mmx_routing_table_t *routing);
size_t mmx_routing_account_count(const mmx_routing_table_t *routing);
/** Number of keys of all accounts. */
size_t mmx_routing_key_count(const mmx_routing_table_t *routing);
bool mmx_routing_requires_key(const mmx_routing_table_t *routing);
const mmx_caller_limits_t *
mmx_routing_limits(const mmx_routing_table_t *routing);

/** Service by name; NULL if there is none. */
const mmx_routing_service_t *
mmx_routing_service(const mmx_routing_table_t *routing, const char *name);

/** Account by name; NULL if there is none. */
const mmx_routing_account_t *
mmx_routing_find_account(const mmx_routing_table_t *routing, const char *name);

/**
 * Account that a key identifies.
 *
 * @param length  of key, bytes
 * @return NULL if no account or more than one has the key
 */
const mmx_routing_account_t *
mmx_routing_find_key(const mmx_routing_table_t *routing, const char *key,
		     size_t length);

/**
 * Finds the route of a request: of the host's routes, the one with the longest
 * prefix of the path.
 *
 * @param host  as in the request; case and port are ignored
 * @return NULL if no route matches
 */
mmx_routing_rule_t *mmx_routing_find_route(mmx_routing_table_t *routing,
					   const char *host, const char *path);

/**
 * Next destination of a route by smooth weighted round robin, which keeps to
 * the weights over short sequences of requests too.
 *
 * @return name of the service; valid as long as the route
 */
const char *mmx_routing_next_service(mmx_routing_rule_t *rule);

#endif
