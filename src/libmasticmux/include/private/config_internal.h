/** State of the module config, shared by its files. */
#ifndef MASTICMUX_CONFIG_STATE_H
#define MASTICMUX_CONFIG_STATE_H

#include <glib.h>

#include "masticmux/config.h"
#include "masticmux/random.h"

#define MMX_CONFIG_REGIONS_MAX 64
#define MMX_CONFIG_NEWER_PEERS_MAX 8
/** Snapshots that a scan of the log collects side by side. */
#define MMX_CONFIG_SCAN_READERS 3
/** Time before the first use of anything: the past. */
#define MMX_CONFIG_DISTANT_PAST (-MMX_TIME_NEVER / 2)

/** Readers of one region, by rising score. */
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
	mmx_time_t not_before; /**< pull from it no earlier */
	bool remote;	       /**< in another region */
} mmx_config_newer_peer_t;

/** Steps of loading from the log. */
typedef enum mmx_config_load_step_t {
	MMX_CONFIG_LOAD_IDLE,
	MMX_CONFIG_LOAD_PEER,  /**< parts from a peer */
	MMX_CONFIG_LOAD_RANGE, /**< where the stream of snapshots ends */
	MMX_CONFIG_LOAD_LAST,  /**< its last record */
	MMX_CONFIG_LOAD_SCAN,  /**< the parts */
	MMX_CONFIG_LOAD_TAIL,  /**< the records after the snapshot */
	MMX_CONFIG_LOAD_COUNT
} mmx_config_load_step_t;

/** A record that is kept for other nodes. */
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
	bool has_gap; /**< loaded, but records in between are gone */
	mmx_config_stats_t stats;

	mmx_config_member_t *members;
	size_t member_count;
	mmx_node_id_t *region_peers; /**< of the own region, without self */
	size_t region_peer_count;
	mmx_config_region_t regions[MMX_CONFIG_REGIONS_MAX];
	size_t region_count;
	int reader_rank; /**< among the readers of the region, or -1 */
	int global_rank; /**< among the readers of all regions, or -1 */

	mmx_config_newer_peer_t newer_peers[MMX_CONFIG_NEWER_PEERS_MAX];
	size_t newer_peer_count;
	mmx_time_t confirmed_at;
	mmx_time_t reader_heard_at;
	mmx_config_progress_t
		last_sent; /**< as times: of the last push of NEWS */
	bool has_sent;
	unsigned int pushes_left; /**< of the last new offset */

	bool pulling;
	mmx_node_id_t pull_peer;
	mmx_time_t pull_deadline;
	unsigned int gap_responses; /**< pulls in a row that found a gap */

	GQueue record_cache; /**< of mmx_config_cached_record_t; the last one is applied */
	size_t record_cache_bytes;
	mmx_log_record_t *pull_response; /**< of the last pull served */

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
	mmx_config_state_t *load_state; /**< newest complete one of a scan */
	uint64_t load_from;		/**< next offset of the scan */
	unsigned int tail_max;		/**< records in a read of the tail */
	bool load_full_scan; /**< the scan began at the first offset */

	mmx_snapshot_t *served_snapshot; /**< snapshot that peers are loading */
	mmx_time_t served_last_used;	 /**< last use */
	mmx_time_t served_created;

	bool check_scheduled;
	bool checking; /**< whether a snapshot is due */
	bool check_range;
	mmx_time_t check_at;
	mmx_snapshot_t *written_snapshot;
	uint32_t writing_part;
	unsigned int writing_failures;
	bool appending;
	uint64_t snapshot_applied; /**< of the newest one known */
};

/** Reads a stream unless a read of it is in progress. */
bool mmx_config_read_(mmx_config_t *config, mmx_config_stream_t stream,
		      uint64_t from, unsigned int max, mmx_time_t wait);

/** Applies a record that follows; from the log or from a peer. */
void mmx_config_apply_(mmx_config_t *config, const mmx_log_record_t *record);

/**
 * Replaces the config_state if the new one is ahead; takes it over in any case. Says
 * nothing about whether the node is loaded.
 */
bool mmx_config_replace_(mmx_config_t *config,
			 mmx_config_state_t *config_state);

/** Notes that the log has nothing newer than the applied offset. */
void mmx_config_confirm_(mmx_config_t *config);

/** Whether a peer is in another region; an unknown one counts as such. */
bool mmx_config_is_remote_(const mmx_config_t *config, mmx_node_id_t peer);

/** Best peer to pull or load from now; NULL when there is none. */
mmx_config_newer_peer_t *mmx_config_choose_newer_peer_(mmx_config_t *config);

/** Forgets a peer that did not answer. */
void mmx_config_remove_newer_peer_(mmx_config_t *config, mmx_node_id_t peer);

/** Whether the node needs a snapshot, from a peer or the log. */
bool mmx_config_needs_load_(const mmx_config_t *config);

/** Loading: called on every tick and for the answers while it is going on. */
void mmx_config_load_tick_(mmx_config_t *config);
void mmx_config_load_on_read_(mmx_config_t *config, mmx_config_stream_t stream,
			      const mmx_log_records_t *records);
/** A read of the load had more than one response may hold. */
void mmx_config_load_on_too_large_(mmx_config_t *config);

/** Writing of snapshots. */
void mmx_config_write_tick_(mmx_config_t *config);
void mmx_config_write_on_read_(mmx_config_t *config,
			       const mmx_log_records_t *records);

/** Envelope of a snapshot part in the log. */
char *mmx_config_encode_part_(const uint8_t *part, size_t length,
			      uint64_t wall_ms, size_t *size);

/**
 * Reads an envelope.
 *
 * @param wall_ms  receives the time of writing; may be NULL
 * @return part to be freed with g_free(), or NULL
 */
uint8_t *mmx_config_decode_part_(const mmx_log_record_t *record, size_t *length,
				 uint64_t *wall_ms);

#endif
