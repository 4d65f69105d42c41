/**
 * Settings of one process, read from a TOML file.
 *
 * Usage: create findings, mmx_settings_load(), report the findings together;
 * use the settings only when there are none; destroy.
 */
#ifndef MASTICMUX_SETTINGS_H
#define MASTICMUX_SETTINGS_H

#include "masticmux/address.h"
#include "masticmux/error.h"
#include "masticmux/types.h"

#define MMX_FLEET_KEY_BYTES 32
#define MMX_FLEET_KEYS_MAX 2
#define MMX_FLEET_KEY_ID_MAX 15
#define MMX_SEEDS_MAX 16

/**
 * Shortest retention of the log service, seconds. A claim is kept for 10
 * minutes after a deadline of at most 10 minutes and must not outlive the
 * record that holds it.
 */
#define MMX_LOG_RETENTION_MIN_S (600 + 600 + 1)
#define MMX_LOG_RETENTION_MAX_S (366 * 86400)
#define MMX_LOG_RETENTION_DEFAULT_S 3600

/** Default time between SIGTERM and the end of the process, seconds. */
#define MMX_STOP_GRACE_DEFAULT_S 60
/**
 * Defaults of the fleet-wide retry budget of a service: attempts beyond the
 * first, in percent of its requests, plus a reserve in any window.
 */
#define MMX_RETRY_PERCENT_DEFAULT 20
#define MMX_RETRY_RESERVE_DEFAULT 60
/** Default length of the window of the retry budget, seconds. */
#define MMX_RETRY_WINDOW_DEFAULT_S 10
/** Default share of a service's slots that ejections leave, percent. */
#define MMX_FLOOR_PERCENT_DEFAULT 70
/**
 * Defaults of the bound on the requests of an account that has a rate: in any
 * window, at most (rate x window + burst) x (1 + overshoot) + slack run.
 */
#define MMX_ACCOUNTS_WINDOW_DEFAULT_S 5
#define MMX_ACCOUNTS_OVERSHOOT_DEFAULT 0.1
#define MMX_ACCOUNTS_SLACK_DEFAULT 20

/** Shared secret of the fleet; messages name the id. */
typedef struct mmx_fleet_key_t {
	char id[MMX_FLEET_KEY_ID_MAX + 1];
	uint8_t secret[MMX_FLEET_KEY_BYTES];
} mmx_fleet_key_t;

typedef struct mmx_settings_t {
	char node_name[MMX_NAME_MAX + 1];
	char region[MMX_NAME_MAX + 1];
	char zone[MMX_NAME_MAX + 1];
	/** The first key signs; each of them verifies. */
	mmx_fleet_key_t fleet_keys[MMX_FLEET_KEYS_MAX];
	size_t fleet_key_count;
	mmx_address_t listen_callers;
	mmx_address_t listen_nodes;
	mmx_address_t listen_announce;
	mmx_address_t listen_operator;
	/** Further address of the operator server; port 0: none. */
	mmx_address_t listen_metrics;
	mmx_address_t seeds[MMX_SEEDS_MAX]; /**< without listen_nodes */
	size_t seed_count;
	mmx_address_t log_service; /**< port 0: no log service */
	mmx_time_t log_retention;  /**< microseconds */
	mmx_address_t collector;   /**< port 0: spans are not exported */
	/**
	 * Shared store that holds the configuration and the roster of the
	 * nodes; port 0: the log service and gossip are used instead.
	 */
	mmx_address_t store;
	/** Service of this instance, which its requests name as their caller;
	 * empty: requests name none. */
	char service[MMX_NAME_MAX + 1];
	/** Where the target of this instance listens; port 0: not known. */
	mmx_address_t target;
	/** The network between the nodes is private: records between them are
	 * neither signed nor limited to loopback. */
	bool trusted_network;
	mmx_time_t stop_grace;	 /**< microseconds from SIGTERM */
	uint32_t retry_percent;	 /**< see MMX_RETRY_PERCENT_DEFAULT */
	int64_t retry_reserve;	 /**< attempts of the whole fleet */
	mmx_time_t retry_window; /**< that the budget holds for, microseconds */
	uint32_t floor_percent;	 /**< see MMX_FLOOR_PERCENT_DEFAULT */
	mmx_time_t account_window; /**< see MMX_ACCOUNTS_WINDOW_DEFAULT_S, us */
	double account_overshoot;  /**< share of the limit, from 0 */
	double account_slack;	   /**< requests, from 0 */
	/** Targets of services with uneven run times are chosen by expected
	 * work instead of the number of requests. */
	bool balance_by_work;
} mmx_settings_t;

/**
 * Reads and checks a settings file.
 *
 * @param path      TOML file
 * @param findings  receives everything that is wrong with the file
 * @return settings to be freed with mmx_settings_destroy(), or NULL when
 *         there is at least one finding
 */
mmx_settings_t *mmx_settings_load(const char *path, mmx_findings_t *findings);

/**
 * Reads and checks settings in TOML, as mmx_settings_load() does.
 *
 * @param file    name that the findings carry
 * @param length  bytes of text
 */
mmx_settings_t *mmx_settings_parse(const char *file, const char *text,
				   size_t length, mmx_findings_t *findings);

/** Frees settings; the keys are overwritten first. NULL is allowed. */
void mmx_settings_destroy(mmx_settings_t *settings);

#endif
