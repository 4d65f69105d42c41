/**
 * Routing: one whole version of the configuration, as an operator publishes
 * it where each version replaces the one before. Holds the routes with their
 * destinations, the services and the limits on callers. Does no I/O.
 *
 * Life: create, add routes and services, then look up only, destroy.
 */
#ifndef MASTICMUX_ROUTING_H
#define MASTICMUX_ROUTING_H

#include "masticmux/types.h"

/** Rank of the most urgent requests; larger numbers are less urgent. */
#define MMX_PRIORITY_FIRST 0
#define MMX_PRIORITY_MAX 255

/** One part of a route; its share is weight over the sum of the weights. */
typedef struct mmx_destination_t {
	char service[MMX_NAME_MAX + 1];
	uint32_t weight;
	int64_t current_weight; /**< of the smooth weighted round robin */
} mmx_destination_t;

/** How the requests of one host and path prefix are treated. */
typedef struct mmx_routing_rule_t {
	char name[MMX_NAME_MAX + 1];
	char *prefix; /**< begins the path; compared byte by byte */
	size_t prefix_length;
	bool repeatable;      /**< may run more than once */
	mmx_time_t timeout;   /**< longest time kept waiting, microseconds */
	mmx_time_t objective; /**< wanted latency, microseconds; 0: none */
	uint8_t attempts_max; /**< targets that one request may run at */
	uint8_t priority;     /**< MMX_PRIORITY_FIRST is the most urgent */
	uint32_t weight_total;
	mmx_destination_t *destinations;
	size_t destination_count; /**< at least 1 */
} mmx_routing_rule_t;

/** Longest path of a health check, bytes. */
#define MMX_HEALTH_CHECK_PATH_MAX 255

/** What is known of a service. */
typedef struct mmx_routing_service_t {
	char name[MMX_NAME_MAX + 1];
	uint32_t connections_max; /**< of all callers together; 0: unknown */
	char health_path[MMX_HEALTH_CHECK_PATH_MAX + 1]; /**< empty: none */
} mmx_routing_service_t;

/** What a caller may send, and how long it may take; 0: the default. */
typedef struct mmx_caller_limits_t {
	uint32_t head_bytes;
	uint64_t body_bytes;
	mmx_time_t head_time; /**< microseconds for a head */
	mmx_time_t idle_time; /**< microseconds between two requests */
} mmx_caller_limits_t;

typedef struct mmx_routing_table_t mmx_routing_table_t;

/** @param version  above 0; grows from one configuration to the next */
mmx_routing_table_t *mmx_routing_create(uint64_t version);
void mmx_routing_destroy(mmx_routing_table_t *routing);

/**
 * Adds a route without destinations, or replaces the one of the same host and
 * prefix, which is freed.
 *
 * @param host    compared without case
 * @param prefix  begins with a slash
 * @return to be filled in by the caller; valid until the routing is destroyed
 *         or the route is replaced
 */
mmx_routing_rule_t *mmx_routing_add_route(mmx_routing_table_t *routing,
					  const char *host, const char *prefix);

/** Adds a destination to a route; weight 0 counts as 1 for a single one. */
void mmx_routing_add_destination(mmx_routing_rule_t *rule, const char *service,
				 uint32_t weight);

void mmx_routing_add_service(mmx_routing_table_t *routing,
			     const mmx_routing_service_t *service);
void mmx_routing_set_limits(mmx_routing_table_t *routing,
			    const mmx_caller_limits_t *limits);

uint64_t mmx_routing_version(const mmx_routing_table_t *routing);
size_t mmx_routing_route_count(const mmx_routing_table_t *routing);
const mmx_caller_limits_t *
mmx_routing_limits(const mmx_routing_table_t *routing);

/** Service by name; NULL when the configuration has none of this name. */
const mmx_routing_service_t *
mmx_routing_service(const mmx_routing_table_t *routing, const char *name);

/**
 * Finds the route of a request: the longest prefix that begins the path among
 * the routes of the host.
 *
 * @param host  as in the request; case and port are ignored
 * @return NULL when no route matches
 */
mmx_routing_rule_t *mmx_routing_find_route(mmx_routing_table_t *routing,
					   const char *host, const char *path);

/**
 * Next destination of a route by smooth weighted round robin, so that short
 * spans of requests keep the weights too.
 *
 * @return name of the service; valid as long as the routing
 */
const char *mmx_routing_next_service(mmx_routing_rule_t *rule);

#endif
