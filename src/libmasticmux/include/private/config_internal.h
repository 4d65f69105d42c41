/** State of the module config, shared by its files. */
#ifndef MASTICMUX_CONFIG_INTERNAL_H
#define MASTICMUX_CONFIG_INTERNAL_H

#include <glib.h>

#include "masticmux/config.h"
#include "masticmux/random.h"

#define MMX_CONFIG_REGIONS_MAX 64
#define MMX_CONFIG_NEWER_PEERS_MAX 8
/** Snapshots that a scan of the log assembles concurrently. */
#define MMX_CONFIG_SCAN_READERS 3
/** Initial value of times of events that have not happened yet. */
#define MMX_CONFIG_DISTANT_PAST (-MMX_TIME_NEVER / 2)

/** Readers of one region, by ascending rendezvous score. */
typedef struct mmx_config_region_t {
	uint64_t region;
	size_t count;
	mmx_node_id_t readers[MMX_CONFIG_READERS_PER_REGION];
	uint64_t scores[MMX_CONFIG_READERS_PER_REGION];
} mmx_config_region_t;

/** A peer that is known to have a higher offset. */
typedef struct mmx_config_newer_peer_t {
	mmx_node_id_t peer;
	uint64_t applied;
	mmx_time_t not_before; /**< earliest time to pull from it */
	bool remote;	       /**< in another region */
} mmx_config_newer_peer_t;

/** Steps of loading a snapshot, from a peer or the log. */
typedef enum mmx_config_load_step_t {
	MMX_CONFIG_LOAD_IDLE,
	MMX_CONFIG_LOAD_PEER,  /**< parts from a peer */
	MMX_CONFIG_LOAD_RANGE, /**< offset range of the stream */
	MMX_CONFIG_LOAD_LAST,  /**< last record of the stream */
	MMX_CONFIG_LOAD_SCAN,  /**< snapshot parts of the stream */
	MMX_CONFIG_LOAD_TAIL,  /**< records after the snapshot */
	MMX_CONFIG_LOAD_COUNT
} mmx_config_load_step_t;

/** A cached record, from which pulls of peers are served. */
typedef struct mmx_config_cached_record_t {
	char *data;
	size_t length;
} mmx_config_cached_record_t;

struct mmx_config_t {
	mmx_clock_t *clock;
	mmx_config_options_t options;
	const mmx_config_transport_ops_t *transport;
	const mmx_config_log_ops_t *log;
	void *arg;
	mmx_random_t random;
	mmx_timer_t tick;
	mmx_config_state_t *config_state;
	bool started;
	mmx_time_t started_at;
	bool loaded;
	bool has_gap; /**< loaded, but the next records are unavailable */
	mmx_config_stats_t stats;

	mmx_config_member_t *members;
	size_t member_count;
	mmx_node_id_t *region_peers; /**< peers in the own region */
	size_t region_peer_count;
	mmx_config_region_t regions[MMX_CONFIG_REGIONS_MAX];
	size_t region_count;
	int reader_rank; /**< among the readers of the region, or -1 */
	int global_rank; /**< among the readers of all regions, or -1 */

	mmx_config_newer_peer_t newer_peers[MMX_CONFIG_NEWER_PEERS_MAX];
	size_t newer_peer_count;
	mmx_time_t confirmed_at;
	mmx_time_t reader_heard_at;
	/** Of the last push of NEWS, with times instead of ages. */
	mmx_config_progress_t last_sent;
	bool has_sent;
	unsigned int pushes_left; /**< remaining, of the current offset */

	bool pulling;
	mmx_node_id_t pull_peer;
	mmx_time_t pull_deadline;
	unsigned int gap_responses; /**< consecutive pulls that found a gap */

	/** Of mmx_config_cached_record_t; the tail has the applied offset. */
	GQueue record_cache;
	size_t record_cache_bytes;
	mmx_log_record_t *pull_response; /**< records of the last response */

	bool reading[MMX_CONFIG_STREAM_COUNT];
	mmx_time_t read_not_before;
	mmx_time_t read_backoff;
	unsigned int read_max;

	mmx_config_load_step_t load_step;
	mmx_node_id_t load_peer;
	mmx_time_t load_deadline;
	mmx_time_t load_not_before;
	mmx_time_t load_backoff;
	mmx_snapshot_reader_t *load_reader;
	mmx_snapshot_reader_t *scan_readers[MMX_CONFIG_SCAN_READERS];
	/** Newest valid state found by the scan. */
	mmx_config_state_t *load_state;
	uint64_t load_from;    /**< next offset to scan */
	unsigned int tail_max; /**< maximum records per tail read */
	bool load_full_scan;   /**< scan from the first retained offset */

	mmx_snapshot_t *served_snapshot; /**< snapshot sent to peers */
	mmx_time_t served_last_used;
	mmx_time_t served_created;

	bool check_scheduled;
	bool checking;	  /**< reading the newest snapshot of the log */
	bool check_range; /**< the read is for the offset range */
	mmx_time_t check_at;
	mmx_snapshot_t *written_snapshot;
	uint32_t writing_part;
	unsigned int writing_failures;
	bool appending;
	uint64_t snapshot_applied; /**< offset of the newest known */
};

/** Starts a read of a stream; false if one is in progress. */
bool mmx_config_read_(mmx_config_t *config, mmx_config_stream_t stream,
		      uint64_t from, unsigned int max, mmx_time_t wait);

/** Applies the next record, from the log or a peer; ignores any other. */
void mmx_config_apply_(mmx_config_t *config, const mmx_log_record_t *record);

/**
 * Replaces the configuration state if the new one has a higher offset. Takes
 * ownership in any case. Does not set `loaded`.
 *
 * @return whether the state was replaced
 */
bool mmx_config_replace_(mmx_config_t *config,
			 mmx_config_state_t *config_state);

/** Records that the log confirmed the applied offset as its newest. */
void mmx_config_confirm_(mmx_config_t *config);

/** Whether a peer is in another region; true for an unknown peer. */
bool mmx_config_is_remote_(const mmx_config_t *config, mmx_node_id_t peer);

/** Returns the best peer to pull or load from now, or NULL. */
mmx_config_newer_peer_t *mmx_config_choose_newer_peer_(mmx_config_t *config);

/** Removes a peer from the peers with a higher offset. */
void mmx_config_remove_newer_peer_(mmx_config_t *config, mmx_node_id_t peer);

/** Whether the node has to load a snapshot, from a peer or the log. */
bool mmx_config_needs_load_(const mmx_config_t *config);

/** Loading of snapshots: on each tick, and on read results while loading. */
void mmx_config_load_tick_(mmx_config_t *config);
void mmx_config_load_on_read_(mmx_config_t *config, mmx_config_stream_t stream,
			      const mmx_log_records_t *records);
/** The response to a read of the load exceeded MMX_LOG_RESPONSE_MAX. */
void mmx_config_load_on_too_large_(mmx_config_t *config);

/** Writing of snapshots: on each tick, and on read results while checking. */
void mmx_config_write_tick_(mmx_config_t *config);
void mmx_config_write_on_read_(mmx_config_t *config,
			       const mmx_log_records_t *records);

/** Encodes a snapshot part as a record of the log; free with g_free(). */
char *mmx_config_encode_part_(const uint8_t *part, size_t length,
			      uint64_t wall_ms, size_t *size);

/**
 * Decodes a snapshot part from a record of the log.
 *
 * @param wall_ms  receives the time of writing; may be NULL
 * @return part to be freed with g_free(), or NULL
 */
uint8_t *mmx_config_decode_part_(const mmx_log_record_t *record, size_t *length,
				 uint64_t *wall_ms);

#endif
