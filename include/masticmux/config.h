/**
 * Config: keeps the config_state of one node up to date. Decides when to read the log,
 * whom to tell of news, whom to pull records from, how a new node starts and
 * when a snapshot is written. Does no I/O: it is given messages and time, and
 * answers through two tables of functions.
 *
 * In each region the three alive nodes with the lowest rendezvous rank are the
 * readers: they follow the log by long poll. Who has news pushes NEWS to four
 * peers of its region, a reader also to the reader of the same rank in each
 * other region; who hears of something newer pulls it and pushes in turn. A
 * node waits before it pulls from another region, so that the link carries a
 * record about once.
 *
 * Three ages spread with NEWS, PING and ACK: how long ago the log confirmed,
 * directly or through a chain of nodes, that nothing newer exists, and how
 * long ago a reader was heard of.
 *
 * Life: create, set_members, start, (inputs, queries), destroy.
 */
#ifndef MASTICMUX_CONFIG_H
#define MASTICMUX_CONFIG_H

#include "masticmux/clock.h"
#include "masticmux/config_state.h"
#include "masticmux/log_client.h"
#include "masticmux/snapshot.h"

#define MMX_CONFIG_READERS_PER_REGION 3
#define MMX_CONFIG_FANOUT 4
/** A node that heard of no reader for this time reads the log itself. */
#define MMX_CONFIG_READER_TIMEOUT_US (10 * MMX_US_PER_S)
/** Without confirmation for this time a node isn't current. */
#define MMX_CONFIG_CURRENT_AGE_MAX_US (15 * MMX_US_PER_S)
/** Wait of a long poll. */
#define MMX_CONFIG_POLL_WAIT_US (3 * MMX_US_PER_S)
/** Records after the last snapshot that make a new one due. */
#define MMX_CONFIG_RECORDS_PER_SNAPSHOT 4096
/** Most records and bytes of records that are kept for other nodes. */
#define MMX_CONFIG_CACHE_RECORDS 4096
#define MMX_CONFIG_CACHE_BYTES (4 * 1024 * 1024)
/** Most bytes of records in the answer to a pull; one record always fits. */
#define MMX_CONFIG_PULL_BYTES (512 * 1024)

/** Names of the streams in the log. */
#define MMX_CONFIG_STREAM "config"
#define MMX_CONFIG_SNAPSHOT_STREAM "config-snapshot"

typedef enum mmx_config_stream_t {
	MMX_CONFIG_RECORDS,
	MMX_CONFIG_SNAPSHOTS,
	MMX_CONFIG_STREAM_COUNT
} mmx_config_stream_t;

/** The names of the streams. */
extern const char *const mmx_config_stream_string[MMX_CONFIG_STREAM_COUNT];

/** An alive node. */
typedef struct mmx_config_member_t {
	mmx_node_id_t id;
	uint64_t region; /**< XXH64 of the region's name */
} mmx_config_member_t;

/** What NEWS, PING and ACK say about the sender. Ages in microseconds. */
typedef struct mmx_config_progress_t {
	uint64_t applied;
	mmx_time_t confirmed_age; /**< MMX_TIME_NEVER: unknown */
	mmx_time_t reader_age;	  /**< MMX_TIME_NEVER: unknown */
} mmx_config_progress_t;

/** Answer to a pull. */
typedef struct mmx_config_records_t {
	mmx_config_progress_t progress;	 /**< of the node that answers */
	uint64_t first;			 /**< offset of the first record */
	const mmx_log_record_t *records; /**< contiguous */
	size_t count;
} mmx_config_records_t;

/** Messages to other nodes. Answers come back as inputs. */
typedef struct mmx_config_transport_ops_t {
	void (*send_news)(void *arg, mmx_node_id_t peer,
			  const mmx_config_progress_t *news);
	/** CONFIG_PULL: records after an offset. */
	void (*send_pull)(void *arg, mmx_node_id_t peer, uint64_t after);
	/** CONFIG_LOAD: a part of the snapshot at an offset, or of the newest
	 * one when the offset is 0. */
	void (*send_load)(void *arg, mmx_node_id_t peer, uint64_t applied,
			  uint32_t part);
} mmx_config_transport_ops_t;

/** Calls to the log service, and what the node learns from the config_state. */
typedef struct mmx_config_log_ops_t {
	void (*read)(void *arg, mmx_config_stream_t stream, uint64_t from,
		     unsigned int max, mmx_time_t wait);
	/** Appends to MMX_CONFIG_SNAPSHOTS. */
	void (*append)(void *arg, const char *data, size_t length);
	/** A record was applied; may be NULL. */
	void (*on_applied)(void *arg, const mmx_config_state_result_t *result);
} mmx_config_log_ops_t;

typedef struct mmx_config_options_t {
	mmx_node_id_t self;
	uint64_t region;      /**< XXH64 of the region's name */
	mmx_time_t retention; /**< of the log, > 0 */
	bool has_log;	      /**< a log service is configured */
	bool writes_snapshots;
	uint64_t seed;
} mmx_config_options_t;

/** Events since the start. */
typedef struct mmx_config_stats_t {
	uint64_t news_sent;
	uint64_t news_received;
	uint64_t pulls_sent;
	uint64_t pulls_failed;
	uint64_t pulls_remote; /**< to other regions, of those sent */
	uint64_t pulls_served;
	uint64_t loads_served;	/**< parts */
	uint64_t loads;		/**< folds loaded from peer or snapshot */
	uint64_t loads_invalid; /**< refused: not valid or an older state */
	uint64_t log_reads;
	uint64_t log_failures;
	uint64_t records_from_log;
	uint64_t records_from_peers;
	uint64_t snapshots_written;
	uint64_t appends;
} mmx_config_stats_t;

typedef struct mmx_config_t mmx_config_t;

/**
 * Creates an instance without configuration.
 *
 * @param clock      outlives the instance
 * @param transport  NULL for a process that is no node and has no peers
 * @param arg        first argument of all functions of both tables
 */
mmx_config_t *mmx_config_create(mmx_clock_t *clock,
				const mmx_config_options_t *options,
				const mmx_config_transport_ops_t *transport,
				const mmx_config_log_ops_t *log, void *arg);
void mmx_config_destroy(mmx_config_t *config);

/** Starts working. Valid once. */
void mmx_config_start(mmx_config_t *config);

/**
 * Sets the alive nodes, this one among them or not. Valid at any time.
 *
 * @param members  copied
 */
void mmx_config_set_members(mmx_config_t *config,
			    const mmx_config_member_t *members, size_t count);

/** Input: NEWS, PING or ACK from a peer. */
void mmx_config_on_peer_progress(mmx_config_t *config, mmx_node_id_t peer,
				 const mmx_config_progress_t *news);

/** Input: answer to a pull, or NULL when it failed. */
void mmx_config_on_pull_response(mmx_config_t *config, mmx_node_id_t peer,
				 const mmx_config_records_t *records);

/** Input: answer to a load, or NULL when it failed. */
void mmx_config_on_load_response(mmx_config_t *config, mmx_node_id_t peer,
				 const uint8_t *part, size_t length);

/** Input: answer to a read of the log; records as of mmx_log_read_fn_t. */
void mmx_config_on_read(mmx_config_t *config, mmx_config_stream_t stream,
			mmx_log_result_t result,
			const mmx_log_records_t *records);

/** Input: answer to an append. */
void mmx_config_on_appended(mmx_config_t *config, mmx_log_result_t result);

/**
 * Serves CONFIG_PULL.
 *
 * @param answer  receives records that are valid until the next input; none
 *                if the peer has them all; if the records after the offset
 *                are no longer kept, `first` is beyond `after` + 1 and the
 *                peer has to load
 * @return false if this node has no configuration
 */
bool mmx_config_serve_pull(mmx_config_t *config, uint64_t after,
			   mmx_config_records_t *answer);

/**
 * Serves CONFIG_LOAD.
 *
 * @param applied  offset of the snapshot that was begun, 0: the newest
 * @param length   receives the bytes of the part
 * @return part, valid until the next input; if the snapshot asked for is gone,
 *         part 0 of the newest; NULL without configuration
 */
const uint8_t *mmx_config_serve_load(mmx_config_t *config, uint64_t applied,
				     uint32_t part, size_t *length);

/** The config_state; may be another one after any input. */
const mmx_config_state_t *mmx_config_get_state(const mmx_config_t *config);

/** False until there is a configuration: refuse with no-configuration. */
bool mmx_config_is_loaded(const mmx_config_t *config);

/** Whether the configuration was confirmed in the last 15 s. */
bool mmx_config_is_current(const mmx_config_t *config);

/** What this node says in NEWS, PING and ACK; false: nothing yet. */
bool mmx_config_progress(const mmx_config_t *config,
			 mmx_config_progress_t *news);

/** Rank among the readers of the region, 0..2; -1: not a reader. */
int mmx_config_reader_rank(const mmx_config_t *config);

const mmx_config_stats_t *mmx_config_stats(const mmx_config_t *config);

#endif
