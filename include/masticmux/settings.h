/**
 * Settings of one process, read from a TOML file.
 *
 * Usage: create findings, mmx_settings_load(), report the findings together;
 * use the settings only when there are none; destroy.
 */
#ifndef MASTICMUX_SETTINGS_H
#define MASTICMUX_SETTINGS_H

#include "masticmux/error.h"
#include "masticmux/types.h"

#define MMX_FLEET_KEY_BYTES 32
#define MMX_FLEET_KEYS_MAX 2
#define MMX_FLEET_KEY_ID_MAX 15
#define MMX_SEEDS_MAX 16
#define MMX_ADDRESS_MAX 63

/** IP address and port; the host is numeric, without brackets for IPv6. */
typedef struct mmx_address_t {
	char host[MMX_ADDRESS_MAX + 1];
	uint16_t port; /**< 1..65535; 0 when the address is not set */
} mmx_address_t;

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
	mmx_address_t seeds[MMX_SEEDS_MAX];
	size_t seed_count;
	mmx_address_t log_service; /**< port 0: no log service */
	mmx_time_t log_retention;  /**< microseconds */
	mmx_address_t collector;   /**< port 0: spans are not exported */
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

/** Frees settings; the keys are overwritten first. NULL is allowed. */
void mmx_settings_destroy(mmx_settings_t *settings);

/**
 * Parses "host:port" or "[v6]:port" with a numeric host.
 *
 * @return false when the text is not such an address
 */
bool mmx_address_parse(const char *text, mmx_address_t *address);

/** Formats an address; the buffer holds at least MMX_ADDRESS_MAX + 9 bytes. */
void mmx_address_format(const mmx_address_t *address, char *buffer,
			size_t size);

/** True for 127.0.0.0/8 and ::1. */
bool mmx_address_is_loopback(const mmx_address_t *address);

#endif
