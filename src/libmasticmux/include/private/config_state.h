/** State of the module config, shared by its files. */
#ifndef MASTICMUX_CONFIG_STATE_H
#define MASTICMUX_CONFIG_STATE_H

#include <glib.h>

#include "masticmux/config.h"
#include "masticmux/random.h"

#define MMX_CONFIG_REGIONS_MAX 64
#define MMX_CONFIG_AHEAD_MAX 8
/** Snapshots that a scan of the log assembles concurrently. */
#define MMX_CONFIG_SCANS 3
/** Initial value of times of events that have not happened yet. */
#define MMX_CONFIG_LONG_AGO (-MMX_TIME_NEVER / 2)

/** Readers of one region, by ascending rendezvous score. */
typedef struct mmx_config_region_t {
	uint64_t region;
	size_t count;
	mmx_node_id_t readers[MMX_CONFIG_READERS];
	uint64_t scores[MMX_CONFIG_READERS];
} mmx_config_region_t;

/** A peer that is known to have a higher offset. */
typedef struct mmx_config_ahead_t {
	mmx_node_id_t peer;
	uint64_t applied;
	mmx_time_t not_before; /**< earliest time to pull from it */
	bool remote;	       /**< in another region */
} mmx_config_ahead_t;

/** Steps of loading a snapshot, from a peer or the log. */
typedef enum mmx_config_load_t {
	MMX_CONFIG_LOAD_IDLE,
	MMX_CONFIG_LOAD_PEER, /**< parts from a peer */
	MMX_CONFIG_LOAD_ENDS, /**< offset range of the stream */
	MMX_CONFIG_LOAD_LAST, /**< last record of the stream */
	MMX_CONFIG_LOAD_SCAN, /**< snapshot parts of the stream */
	MMX_CONFIG_LOAD_TAIL, /**< records after the snapshot */
	MMX_CONFIG_LOAD_COUNT
} mmx_config_load_t;

/** A cached record, from which pulls of peers are served. */
typedef struct mmx_config_kept_t {
	char *data;
	size_t length;
} mmx_config_kept_t;

struct mmx_config_t {
	mmx_clock_t *clock;
	mmx_config_options_t options;
	const mmx_config_transport_ops_t *transport;
	const mmx_config_log_ops_t *log;
	void *arg;
	mmx_random_t random;
	mmx_timer_t tick;
	mmx_fold_t *fold;
	bool started;
	mmx_time_t started_at;
	bool loaded;
	bool needs_load; /**< loaded, but the next records are unavailable */
	mmx_config_stats_t stats;

	mmx_config_member_t *members;
	size_t member_count;
	mmx_node_id_t *neighbours; /**< peers in the own region */
	size_t neighbour_count;
	mmx_config_region_t regions[MMX_CONFIG_REGIONS_MAX];
	size_t region_count;
	int rank;	 /**< among the readers of the region, or -1 */
	int global_rank; /**< among the readers of all regions, or -1 */

	mmx_config_ahead_t ahead[MMX_CONFIG_AHEAD_MAX];
	size_t ahead_count;
	mmx_time_t confirmed_at;
	mmx_time_t reader_at;
	mmx_config_news_t sent; /**< last NEWS pushed; times instead of ages */
	bool has_sent;
	unsigned int pushes_left; /**< remaining, of the current offset */

	bool pulling;
	mmx_node_id_t pull_peer;
	mmx_time_t pull_deadline;
	unsigned int gap_answers; /**< consecutive pulls that found a gap */

	GQueue kept; /**< mmx_config_kept_t; the tail has the applied offset */
	size_t kept_bytes;
	mmx_log_record_t *pull_answer; /**< records of the last response */

	bool reading[MMX_CONFIG_STREAM_COUNT];
	mmx_time_t read_not_before;
	mmx_time_t read_backoff;
	unsigned int read_max;

	mmx_config_load_t load;
	mmx_node_id_t load_peer;
	mmx_time_t load_deadline;
	mmx_time_t load_not_before;
	mmx_time_t load_backoff;
	mmx_snapshot_reader_t *load_reader;
	mmx_snapshot_reader_t *scan_readers[MMX_CONFIG_SCANS];
	mmx_fold_t *load_fold; /**< newest valid state found by the scan */
	uint64_t load_from;    /**< next offset to scan */
	unsigned int tail_max; /**< maximum records per tail read */
	bool load_rescan;      /**< scan from the first retained offset */

	mmx_snapshot_t *served; /**< snapshot sent to peers */
	mmx_time_t served_at;	/**< last use */
	mmx_time_t served_created;

	bool check_armed;
	bool checking;	 /**< reading the newest snapshot of the log */
	bool check_ends; /**< the read is for the offset range */
	mmx_time_t check_at;
	mmx_snapshot_t *writing;
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
bool mmx_config_replace_(mmx_config_t *config, mmx_fold_t *fold);

/** Records that the log confirmed the applied offset as its newest. */
void mmx_config_confirm_(mmx_config_t *config);

/** Whether a peer is in another region; true for an unknown peer. */
bool mmx_config_is_remote_(const mmx_config_t *config, mmx_node_id_t peer);

/** Returns the best peer to pull or load from now, or NULL. */
mmx_config_ahead_t *mmx_config_choose_ahead_(mmx_config_t *config);

/** Removes a peer from the peers with a higher offset. */
void mmx_config_drop_ahead_(mmx_config_t *config, mmx_node_id_t peer);

/** Whether the node has to load a snapshot, from a peer or the log. */
bool mmx_config_wants_load_(const mmx_config_t *config);

/** Loading of snapshots: on each tick, and on read results while loading. */
void mmx_config_load_tick_(mmx_config_t *config);
void mmx_config_load_read_(mmx_config_t *config, mmx_config_stream_t stream,
			   const mmx_log_records_t *records);
/** The response to a read of the load exceeded MMX_LOG_RESPONSE_MAX. */
void mmx_config_load_too_large_(mmx_config_t *config);

/** Writing of snapshots: on each tick, and on read results while checking. */
void mmx_config_write_tick_(mmx_config_t *config);
void mmx_config_write_read_(mmx_config_t *config,
			    const mmx_log_records_t *records);

/** Encodes a snapshot part as a record of the log; free with g_free(). */
char *mmx_config_wrap_part_(const uint8_t *part, size_t length,
			    uint64_t wall_ms, size_t *size);

/**
 * Decodes a snapshot part from a record of the log.
 *
 * @param wall_ms  receives the time of writing; may be NULL
 * @return part to be freed with g_free(), or NULL
 */
uint8_t *mmx_config_unwrap_part_(const mmx_log_record_t *record, size_t *length,
				 uint64_t *wall_ms);

#endif
