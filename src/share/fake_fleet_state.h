/** State of the fake fleet, shared by its files. */
#ifndef MASTICMUX_FAKE_FLEET_STATE_H
#define MASTICMUX_FAKE_FLEET_STATE_H

#include <glib.h>

#include "masticmux/random.h"
#include "share/fake_fleet.h"

#define NEAR_DELAY 500LL
#define FAR_DELAY (30 * MMX_US_PER_MS)

typedef struct fake_record_t {
	char *data; /* NULL when expired */
	mmx_time_t at;
} fake_record_t;

typedef struct fake_stream_t {
	GArray *records; /* of fake_record_t */
	uint64_t first;
} fake_stream_t;

typedef struct fake_node_t {
	fake_fleet_t *fleet;
	mmx_config_t *config;
	mmx_node_id_t id;
	size_t region;
	uint32_t generation;
	bool isolated;
	uint64_t highest;
	mmx_timer_t probe;
	void (*observer)(void *arg, const mmx_config_state_result_t *result);
	void *observer_arg;
} fake_node_t;

typedef enum fake_kind_t {
	NEWS,
	PULL,
	PULLED,
	LOAD,
	LOADED,
	LOG_READ,
	LOG_APPEND,
	KIND_COUNT
} fake_kind_t;

/* A message on its way, or a call to the log until its answer. */
typedef struct fake_message_t {
	LIST_ENTRY(fake_message_t) entry;
	mmx_timer_t timer;
	fake_fleet_t *fleet;
	fake_kind_t kind;
	size_t from;
	size_t to;
	uint32_t generation; /* of the receiver, for calls to the log */
	mmx_config_progress_t news;
	uint64_t offset;
	uint32_t part;
	mmx_config_stream_t stream;
	unsigned int max;
	bool waiting; /* long poll that may end early */
	mmx_log_result_t result;
	GBytes *data; /* LOADED; NULL: refused */
	mmx_log_record_t *records;
	size_t count;
} fake_message_t;

struct fake_fleet_t {
	fake_fleet_options_t options;
	mmx_clock_t *clock;
	mmx_random_t random;
	fake_node_t *nodes;
	size_t count;
	GHashTable *index; /* node id -> fake_node_t */
	LIST_HEAD(, fake_message_t) messages;
	fake_stream_t streams[MMX_CONFIG_STREAM_COUNT];
	bool log_down[FAKE_FLEET_REGIONS_MAX];
	bool blocked[FAKE_FLEET_REGIONS_MAX][FAKE_FLEET_REGIONS_MAX];
	unsigned int lost_answers;
	size_t reverts;
	uint64_t bytes;
	uint64_t appends;
	uint64_t reads;
	uint64_t read_bytes;
};

/** Creates a message that is not on its way yet. */
fake_message_t *fake_fleet_message(fake_fleet_t *fleet, fake_kind_t kind,
				   size_t from, size_t to);

size_t fake_fleet_index(const fake_node_t *node);

/** The functions that nodes call for the log. */
void fake_fleet_log_read(void *arg, mmx_config_stream_t stream, uint64_t from,
			 unsigned int max, mmx_time_t wait);
void fake_fleet_log_append(void *arg, const char *data, size_t length);

/** Hands the answer to a read to the node. */
void fake_fleet_log_answer(const fake_message_t *call);

#endif
