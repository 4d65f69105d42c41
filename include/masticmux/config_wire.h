/**
 * Wire format, in XDR, of what nodes tell each other about the configuration:
 * the body of NEWS, the part of PING and ACK, and the answer to CONFIG_PULL.
 * The answer to CONFIG_LOAD is a part as of masticmux/snapshot.h.
 *
 * News, 16 bytes: applied offset (unsigned hyper), age of the confirmation
 * and age of the last word of a reader (unsigned int, milliseconds,
 * 0xffffffff: unknown).
 * Answer to a pull: news, first offset (unsigned hyper), records (opaque<>)<>.
 */
#ifndef MASTICMUX_CONFIG_WIRE_H
#define MASTICMUX_CONFIG_WIRE_H

#include <rpc/rpc.h>

#include "masticmux/config.h"

#define MMX_CONFIG_PROGRESS_BYTES 16
/** Most records in the answer to a pull. */
#define MMX_CONFIG_PULL_RECORDS MMX_CONFIG_CACHE_RECORDS
/** Longest answer to a pull; below the longest message between nodes. */
#define MMX_CONFIG_PULL_RESPONSE_MAX                          \
	(MMX_CONFIG_PULL_BYTES + MMX_CHANGE_RECORD_MAX + 28 + \
	 8 * MMX_CONFIG_PULL_RECORDS)

/** Encodes or decodes news, as an XDR function. */
bool mmx_config_wire_progress(XDR *xdr, mmx_config_progress_t *news);

/**
 * Encodes the answer to a pull.
 *
 * @param length  receives at most MMX_CONFIG_PULL_RESPONSE_MAX
 * @return bytes to be freed with g_free()
 */
uint8_t *mmx_config_wire_encode_records(const mmx_config_records_t *records,
					size_t *length);

/**
 * Decodes the answer to a pull.
 *
 * @param records  receives the answer; its records point into data and into
 *                 list
 * @param list     receives an array to be freed with g_free()
 * @return false if the bytes are not such an answer; then list is NULL
 */
bool mmx_config_wire_decode_records(const uint8_t *data, size_t length,
				    mmx_config_records_t *records,
				    mmx_log_record_t **list);

#endif
