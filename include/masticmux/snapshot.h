/**
 * Snapshot: a serialized configuration state (see config_state.h), in parts
 * that fit into a record of the log and into a message between nodes. Equal
 * states give identical bytes, so that a reader can combine parts from
 * different writers of the same snapshot.
 *
 * Format of a part, in XDR: magic number, version, applied offset, digest of
 * the state, index of the part, number of parts, length of the items, items.
 * An item is a template, a service, a route of the preceding service, an
 * account, or a verdict on a record.
 *
 * Writing: mmx_snapshot_create(), mmx_snapshot_part(), mmx_snapshot_destroy().
 * Reading: mmx_snapshot_reader_create(), mmx_snapshot_reader_add() until it
 * returns MMX_SNAPSHOT_COMPLETE, mmx_snapshot_reader_load(), destroy.
 */
#ifndef MASTICMUX_SNAPSHOT_H
#define MASTICMUX_SNAPSHOT_H

#include "masticmux/error.h"
#include "masticmux/config_state.h"

/** Longest log record that holds a part (base64 within JSON), bytes. */
#define MMX_SNAPSHOT_RECORD_MAX (256 * 1024)
/** Longest part before base64, bytes; 1 KiB of a record is left for JSON. */
#define MMX_SNAPSHOT_PART_MAX ((MMX_SNAPSHOT_RECORD_MAX - 1024) / 4 * 3)
/** Maximum number of parts; full tables need about 80. */
#define MMX_SNAPSHOT_PARTS_MAX 512
/** Bytes of a SHA-256 digest. */
#define MMX_SNAPSHOT_DIGEST_BYTES 32

typedef struct mmx_snapshot_t mmx_snapshot_t;
typedef struct mmx_snapshot_reader_t mmx_snapshot_reader_t;

/** Header of a part. */
typedef struct mmx_snapshot_header_t {
	uint64_t applied_offset; /**< offset of the last record in the state */
	uint8_t digest[MMX_SNAPSHOT_DIGEST_BYTES]; /**< SHA-256 of the state */
	uint32_t part_index;			   /**< index, from 0 */
	uint32_t part_count; /**< 1..MMX_SNAPSHOT_PARTS_MAX */
} mmx_snapshot_header_t;

/** Result of adding a part to a reader. */
typedef enum mmx_snapshot_status_t {
	MMX_SNAPSHOT_INCOMPLETE, /**< accepted, further parts are missing */
	MMX_SNAPSHOT_COMPLETE,	 /**< accepted, no part is missing */
	MMX_SNAPSHOT_OTHER,	 /**< part of an older or different snapshot */
	MMX_SNAPSHOT_INVALID,	 /**< not a valid part */
	MMX_SNAPSHOT_STATUS_COUNT
} mmx_snapshot_status_t;

extern const char *const mmx_snapshot_status_string[MMX_SNAPSHOT_STATUS_COUNT];

/** Serializes a state. Later changes of the state don't affect the result. */
mmx_snapshot_t *mmx_snapshot_create(const mmx_config_state_t *state);
void mmx_snapshot_destroy(mmx_snapshot_t *snapshot);

/** Offset of the last record in the state. */
uint64_t mmx_snapshot_applied_offset(const mmx_snapshot_t *snapshot);
/** Number of parts, at least 1. */
uint32_t mmx_snapshot_part_count(const mmx_snapshot_t *snapshot);

/** SHA-256 of the state, MMX_SNAPSHOT_DIGEST_BYTES bytes. */
const uint8_t *mmx_snapshot_digest(const mmx_snapshot_t *snapshot);

/**
 * Returns the bytes of a part. Asserts that the index is in range.
 *
 * @param part    index, 0 .. mmx_snapshot_part_count() - 1
 * @param length  receives the length, at most MMX_SNAPSHOT_PART_MAX bytes
 * @return bytes, valid as long as the snapshot
 */
const uint8_t *mmx_snapshot_part(const mmx_snapshot_t *snapshot, uint32_t part,
				 size_t *length);

/** Parses the header of a part; false if it is not valid. */
bool mmx_snapshot_parse_header(const uint8_t *data, size_t length,
			       mmx_snapshot_header_t *header);

/** Creates a reader that holds no parts. */
mmx_snapshot_reader_t *mmx_snapshot_reader_create(void);
void mmx_snapshot_reader_destroy(mmx_snapshot_reader_t *reader);

/**
 * Adds a copy of a part. A part of a snapshot with a higher applied offset
 * replaces all parts added before; a part that is already there has no effect.
 */
mmx_snapshot_status_t mmx_snapshot_reader_add(mmx_snapshot_reader_t *reader,
					      const uint8_t *data,
					      size_t length);

/** Lowest index of a missing part; initially 0. */
uint32_t mmx_snapshot_reader_first_missing(const mmx_snapshot_reader_t *reader);

/** Applied offset of the snapshot being read; 0 if there are no parts. */
uint64_t
mmx_snapshot_reader_applied_offset(const mmx_snapshot_reader_t *reader);

/**
 * Builds a state from the parts and empties the reader. Asserts that no part
 * is missing.
 *
 * @param error  receives the reason of a failure; may be NULL
 * @return state, to be freed with mmx_config_state_destroy(), or NULL if an
 *         item is invalid or the items don't match the digest
 */
mmx_config_state_t *mmx_snapshot_reader_load(mmx_snapshot_reader_t *reader,
					     mmx_error_t *error);

#endif
