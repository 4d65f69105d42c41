/**
 * Configuration distribution: keeps the configuration state of one node up to
 * date. Decides when to read the log, which peers to notify and to pull records
 * from, how a new node loads its state and when to write a snapshot. Performs
 * no I/O: messages, log results and time are inputs, and all output goes
 * through two tables of functions.
 *
 * In each region the three alive nodes with the lowest rendezvous score are the
 * readers, which follow the log by long poll. A node with a new offset or newer
 * ages pushes NEWS to four peers of its region, and a reader also to the reader
 * of the same rank in each other region. A node that learns of a higher offset
 * pulls the records and pushes NEWS in turn. It waits before it pulls from
 * another region, so that the link between regions carries each record about
 * once.
 *
 * NEWS, PING and ACK carry the applied offset and two ages: how long ago the
 * log confirmed, directly or through a chain of nodes, that nothing newer
 * exists, and how long ago a reader was known to be active.
 *
 * Call order: create, set_members, start, (inputs, queries), destroy.
 */
#ifndef MASTICMUX_CONFIG_H
#define MASTICMUX_CONFIG_H

#include "masticmux/clock.h"
#include "masticmux/config_state.h"
#include "masticmux/log_client.h"
#include "masticmux/snapshot.h"

#define MMX_CONFIG_READERS_PER_REGION 3
#define MMX_CONFIG_FANOUT 4
/** A node that learned of no active reader for this time reads the log itself.
 */
#define MMX_CONFIG_READER_TIMEOUT_US (10 * MMX_US_PER_S)
/** A node whose last confirmation is older than this is not current. */
#define MMX_CONFIG_CURRENT_AGE_MAX_US (15 * MMX_US_PER_S)
/** Time that a long poll of the log waits for a record. */
#define MMX_CONFIG_POLL_WAIT_US (3 * MMX_US_PER_S)
/** A new snapshot is due after this many records. */
#define MMX_CONFIG_RECORDS_PER_SNAPSHOT 4096
/** Limits of the cache of recent records, from which pulls are served. */
#define MMX_CONFIG_CACHE_RECORDS 4096
#define MMX_CONFIG_CACHE_BYTES (4 * 1024 * 1024)
/** Maximum bytes of records in a pull response; the first record is always
 * sent. */
#define MMX_CONFIG_PULL_BYTES (512 * 1024)

/** Names of the streams in the log service. */
#define MMX_CONFIG_STREAM "config"
#define MMX_CONFIG_SNAPSHOT_STREAM "config-snapshot"

typedef enum mmx_config_stream_t {
	MMX_CONFIG_RECORDS,
	MMX_CONFIG_SNAPSHOTS,
	MMX_CONFIG_STREAM_COUNT
} mmx_config_stream_t;

/** Stream names by mmx_config_stream_t. */
extern const char *const mmx_config_stream_string[MMX_CONFIG_STREAM_COUNT];

/** An alive node. */
typedef struct mmx_config_member_t {
	mmx_node_id_t id;
	uint64_t region; /**< XXH64 of the region's name */
} mmx_config_member_t;

/** Progress of the sender, as in NEWS, PING and ACK. Ages in microseconds. */
typedef struct mmx_config_progress_t {
	uint64_t applied;	  /**< offset of the last applied record */
	mmx_time_t confirmed_age; /**< MMX_TIME_NEVER: unknown */
	mmx_time_t reader_age;	  /**< MMX_TIME_NEVER: unknown */
} mmx_config_progress_t;

/** Response to a pull. */
typedef struct mmx_config_records_t {
	mmx_config_progress_t progress;	 /**< of the responding node */
	uint64_t first;			 /**< offset of the first record */
	const mmx_log_record_t *records; /**< contiguous */
	size_t count;
} mmx_config_records_t;

/** Messages to other nodes. Responses come back as inputs. */
typedef struct mmx_config_transport_ops_t {
	void (*send_news)(void *arg, mmx_node_id_t peer,
			  const mmx_config_progress_t *progress);
	/** CONFIG_PULL: requests the records after an offset. */
	void (*send_pull)(void *arg, mmx_node_id_t peer, uint64_t after);
	/** CONFIG_LOAD: requests a part of the snapshot at offset `applied`, or
	 * of the newest one if it is 0. */
	void (*send_load)(void *arg, mmx_node_id_t peer, uint64_t applied,
			  uint32_t part);
} mmx_config_transport_ops_t;

/** Calls to the log service, and the callback for applied records. */
typedef struct mmx_config_log_ops_t {
	void (*read)(void *arg, mmx_config_stream_t stream, uint64_t from,
		     unsigned int max, mmx_time_t wait);
	/** Appends to MMX_CONFIG_SNAPSHOTS. */
	void (*append)(void *arg, const char *data, size_t length);
	/** Called after a record was applied; may be NULL. */
	void (*on_applied)(void *arg, const mmx_config_state_result_t *result);
} mmx_config_log_ops_t;

typedef struct mmx_config_options_t {
	mmx_node_id_t self;
	uint64_t region;      /**< XXH64 of the region's name */
	mmx_time_t retention; /**< of the log, microseconds, > 0 */
	bool has_log;	      /**< a log service is configured */
	bool writes_snapshots;
	uint64_t seed; /**< for jitter and the choice of peers */
} mmx_config_options_t;

/** Event counters since creation. */
typedef struct mmx_config_stats_t {
	uint64_t news_sent;
	uint64_t news_received;
	uint64_t pulls_sent;
	uint64_t pulls_failed;
	uint64_t pulls_remote; /**< of pulls_sent, to other regions */
	uint64_t pulls_served;
	uint64_t loads_served;	/**< parts sent to peers */
	uint64_t loads;		/**< states loaded from peer or log */
	uint64_t loads_invalid; /**< rejected: invalid or not newer */
	uint64_t log_reads;
	uint64_t log_failures;
	uint64_t records_from_log;
	uint64_t records_from_peers;
	uint64_t snapshots_written;
	uint64_t appends;
} mmx_config_stats_t;

typedef struct mmx_config_t mmx_config_t;

/**
 * Creates the module state, without a configuration.
 *
 * @param clock      outlives the module
 * @param options    copied
 * @param transport  outlives the module; NULL for a process without peers
 * @param log        outlives the module
 * @param arg        first argument of all functions of both tables
 */
mmx_config_t *mmx_config_create(mmx_clock_t *clock,
				const mmx_config_options_t *options,
				const mmx_config_transport_ops_t *transport,
				const mmx_config_log_ops_t *log, void *arg);
void mmx_config_destroy(mmx_config_t *config);

/** Starts the timer. Valid once. */
void mmx_config_start(mmx_config_t *config);

/**
 * Sets the alive nodes. Valid at any time.
 *
 * @param members  copied; this node counts as alive whether listed or not
 */
void mmx_config_set_members(mmx_config_t *config,
			    const mmx_config_member_t *members, size_t count);

/** Input: NEWS, PING or ACK from a peer. */
void mmx_config_on_peer_progress(mmx_config_t *config, mmx_node_id_t peer,
				 const mmx_config_progress_t *progress);

/** Input: response to a pull; NULL if the call failed. */
void mmx_config_on_pull_response(mmx_config_t *config, mmx_node_id_t peer,
				 const mmx_config_records_t *records);

/** Input: response to a load; NULL if the call failed. */
void mmx_config_on_load_response(mmx_config_t *config, mmx_node_id_t peer,
				 const uint8_t *part, size_t length);

/** Input: result of a read of the log; records as in mmx_log_read_fn_t. */
void mmx_config_on_read(mmx_config_t *config, mmx_config_stream_t stream,
			mmx_log_result_t result,
			const mmx_log_records_t *records);

/** Input: result of an append. */
void mmx_config_on_appended(mmx_config_t *config, mmx_log_result_t result);

/**
 * Serves CONFIG_PULL.
 *
 * @param after     last offset that the peer has applied
 * @param response  receives records that are valid until the next input; none
 *                  if the peer is up to date. If the record at `after` + 1 is
 *                  no longer cached, `first` is greater than `after` + 1 and
 *                  the peer has to load a snapshot.
 * @return false if this node has no configuration
 */
bool mmx_config_serve_pull(mmx_config_t *config, uint64_t after,
			   mmx_config_records_t *response);

/**
 * Serves CONFIG_LOAD.
 *
 * @param applied  offset of the snapshot that the peer is loading; 0: newest
 * @param part     index of the part
 * @param length   receives the length of the part in bytes
 * @return part, valid until the next input; part 0 of the current snapshot if
 *         the requested one is no longer available; NULL without configuration
 */
const uint8_t *mmx_config_serve_load(mmx_config_t *config, uint64_t applied,
				     uint32_t part, size_t *length);

/** The configuration state; any input may replace it with another object. */
const mmx_config_state_t *mmx_config_get_state(const mmx_config_t *config);

/** Whether the node has a configuration; without one it refuses requests with
 * no-configuration. */
bool mmx_config_is_loaded(const mmx_config_t *config);

/** Whether the configuration was confirmed in the last 15 s. */
bool mmx_config_is_current(const mmx_config_t *config);

/** Progress of this node, as sent in NEWS, PING and ACK; false while there is
 * no configuration. */
bool mmx_config_progress(const mmx_config_t *config,
			 mmx_config_progress_t *progress);

/** Rank among the readers of the region, 0 to 2; -1 if not a reader. */
int mmx_config_reader_rank(const mmx_config_t *config);

const mmx_config_stats_t *mmx_config_stats(const mmx_config_t *config);

#endif
