/**
 * Snapshot: the state of a config_state in parts that fit the log and a message
 * between nodes. Equal folds give equal bytes, so that parts of two writers of
 * the same snapshot can be mixed.
 *
 * Part, in XDR: magic, version, applied offset, digest of the state, index and
 * number of parts, items. An item is a template, a service, a route of the
 * service before it, an account, or a verdict on a record.
 *
 * Writing: mmx_snapshot_create(), mmx_snapshot_part(), mmx_snapshot_destroy().
 * Reading: mmx_snapshot_reader_create(), mmx_snapshot_reader_add() until it
 * returns MMX_SNAPSHOT_COMPLETE, mmx_snapshot_reader_load(), destroy.
 */
#ifndef MASTICMUX_SNAPSHOT_H
#define MASTICMUX_SNAPSHOT_H

#include "masticmux/error.h"
#include "masticmux/config_state.h"

/** Longest part as it stands in a log record (base64 within JSON). */
#define MMX_SNAPSHOT_RECORD_MAX (256 * 1024)
/** Longest part as bytes: what base64 and 1 KiB of JSON leave of a record. */
#define MMX_SNAPSHOT_PART_MAX ((MMX_SNAPSHOT_RECORD_MAX - 1024) / 4 * 3)
/** Most parts; full tables need about 80. */
#define MMX_SNAPSHOT_PARTS_MAX 512
/** Bytes of a SHA-256 digest. */
#define MMX_SNAPSHOT_DIGEST_BYTES 32

typedef struct mmx_snapshot_t mmx_snapshot_t;
typedef struct mmx_snapshot_reader_t mmx_snapshot_reader_t;

/** Header of a part. */
typedef struct mmx_snapshot_header_t {
	uint64_t applied_offset; /**< offset that the state stands at */
	uint8_t digest[MMX_SNAPSHOT_DIGEST_BYTES]; /**< of the whole state */
	uint32_t part_index;			   /**< from 0 */
	uint32_t part_count;			   /**< 1 or more */
} mmx_snapshot_header_t;

/** What a part did to a reader. */
typedef enum mmx_snapshot_status_t {
	MMX_SNAPSHOT_INCOMPLETE, /**< taken, or known already */
	MMX_SNAPSHOT_COMPLETE,	 /**< all parts are there */
	MMX_SNAPSHOT_OTHER,	 /**< valid, of an older or another snapshot */
	MMX_SNAPSHOT_INVALID,	 /**< not a part */
	MMX_SNAPSHOT_STATUS_COUNT
} mmx_snapshot_status_t;

extern const char *const mmx_snapshot_status_string[MMX_SNAPSHOT_STATUS_COUNT];

/** Encodes a config_state. The snapshot doesn't change with the config_state. */
mmx_snapshot_t *mmx_snapshot_create(const mmx_config_state_t *config_state);
void mmx_snapshot_destroy(mmx_snapshot_t *snapshot);

uint64_t mmx_snapshot_applied_offset(const mmx_snapshot_t *snapshot);
uint32_t mmx_snapshot_part_count(const mmx_snapshot_t *snapshot);

/** SHA-256 of the state, MMX_SNAPSHOT_DIGEST_BYTES long. */
const uint8_t *mmx_snapshot_digest(const mmx_snapshot_t *snapshot);

/**
 * Bytes of a part.
 *
 * @param part    0 .. mmx_snapshot_part_count() - 1
 * @param length  receives at most MMX_SNAPSHOT_PART_MAX
 */
const uint8_t *mmx_snapshot_part(const mmx_snapshot_t *snapshot, uint32_t part,
				 size_t *length);

/** Reads the header of a part; false if it isn't one. */
bool mmx_snapshot_parse_header(const uint8_t *data, size_t length,
			       mmx_snapshot_header_t *head);

/** Creates a reader without parts. */
mmx_snapshot_reader_t *mmx_snapshot_reader_create(void);
void mmx_snapshot_reader_destroy(mmx_snapshot_reader_t *reader);

/**
 * Takes a part. A part of a snapshot at a higher offset drops the parts taken
 * before.
 */
mmx_snapshot_status_t mmx_snapshot_reader_add(mmx_snapshot_reader_t *reader,
					      const uint8_t *data,
					      size_t length);

/** Lowest part that is missing; 0 at first. */
uint32_t mmx_snapshot_reader_first_missing(const mmx_snapshot_reader_t *reader);

/** Offset of the snapshot being read; 0 without parts. */
uint64_t
mmx_snapshot_reader_applied_offset(const mmx_snapshot_reader_t *reader);

/**
 * Builds the config_state. Asserts that the reader is complete. Afterwards the reader
 * is empty.
 *
 * @param error  receives what is wrong; may be NULL
 * @return config_state to be destroyed, or NULL if the items are not valid or do not
 *         match the digest
 */
mmx_config_state_t *mmx_snapshot_reader_load(mmx_snapshot_reader_t *reader,
					     mmx_error_t *error);

#endif
