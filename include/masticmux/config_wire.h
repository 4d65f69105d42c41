/**
 * XDR encoding of the configuration messages between nodes: the progress in
 * NEWS, PING and ACK, and the response to CONFIG_PULL. The response to
 * CONFIG_LOAD is a snapshot part, see masticmux/snapshot.h.
 *
 * Progress, 16 bytes: applied offset (unsigned hyper), age of the confirmation
 * and age of the last reader activity (unsigned int each, milliseconds,
 * 0xffffffff: unknown).
 * Pull response: progress, first offset (unsigned hyper), records (opaque<>)<>.
 */
#ifndef MASTICMUX_CONFIG_WIRE_H
#define MASTICMUX_CONFIG_WIRE_H

#include <rpc/rpc.h>

#include "masticmux/config.h"

#define MMX_CONFIG_PROGRESS_BYTES 16
/** Maximum number of records in a pull response. */
#define MMX_CONFIG_PULL_RECORDS MMX_CONFIG_CACHE_RECORDS
/** Maximum bytes of a pull response; below the limit of a message between
 * nodes. */
#define MMX_CONFIG_PULL_RESPONSE_MAX                          \
	(MMX_CONFIG_PULL_BYTES + MMX_CHANGE_RECORD_MAX + 28 + \
	 8 * MMX_CONFIG_PULL_RECORDS)

/** Encodes or decodes the progress; an XDR function. */
bool mmx_config_wire_progress(XDR *xdr, mmx_config_progress_t *progress);

/**
 * Encodes a pull response.
 *
 * @param records  at most MMX_CONFIG_PULL_RECORDS
 * @param length   receives the bytes, at most MMX_CONFIG_PULL_RESPONSE_MAX
 * @return bytes to be freed with g_free()
 */
uint8_t *mmx_config_wire_encode_records(const mmx_config_records_t *records,
					size_t *length);

/**
 * Decodes a pull response.
 *
 * @param records  receives the response; its records stand in list and point
 *                 into data
 * @param list     receives an array to be freed with g_free()
 * @return false if the bytes are malformed; then list is NULL
 */
bool mmx_config_wire_decode_records(const uint8_t *data, size_t length,
				    mmx_config_records_t *records,
				    mmx_log_record_t **list);

#endif
