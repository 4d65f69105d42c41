#include "masticmux/history.h"

#include <assert.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

typedef struct event_ring_t {
	mmx_history_event_t *events;
	size_t size;	  /* events, 1 or more */
	uint64_t written; /* events since the start */
} event_ring_t;

struct mmx_history_t {
	mmx_clock_t *clock;
	event_ring_t requests;
	event_ring_t targets;
};

mmx_history_t *mmx_history_create(mmx_clock_t *clock, size_t request_events,
				  size_t target_events)
{
	mmx_history_t *history = g_new0(mmx_history_t, 1);

	assert(clock && request_events > 0 && target_events > 0);
	history->clock = clock;
	history->requests.size = request_events;
	history->requests.events = g_new0(mmx_history_event_t, request_events);
	history->targets.size = target_events;
	history->targets.events = g_new0(mmx_history_event_t, target_events);
	return history;
}

void mmx_history_destroy(mmx_history_t *history)
{
	if (!history)
		return;
	g_free(history->requests.events);
	g_free(history->targets.events);
	g_free(history);
}

static mmx_history_event_t *add_event_(mmx_history_t *history,
				       event_ring_t *ring, const void *key,
				       size_t key_bytes)
{
	mmx_history_event_t *event =
		&ring->events[ring->written++ % ring->size];

	memset(event->key, 0, sizeof(event->key));
	memcpy(event->key, key, key_bytes);
	event->wall = mmx_clock_wall(history->clock);
	return event;
}

void mmx_history_request(mmx_history_t *history, const uint8_t *trace_id,
			 const char *format, ...)
{
	mmx_history_event_t *event;
	va_list args;

	if (!history)
		return;
	event = add_event_(history, &history->requests, trace_id,
			   MMX_HISTORY_KEY_BYTES);
	va_start(args, format);
	vsnprintf(event->text, sizeof(event->text), format, args);
	va_end(args);
}

void mmx_history_target(mmx_history_t *history, mmx_target_id_t target,
			const char *format, ...)
{
	mmx_history_event_t *event;
	va_list args;

	if (!history)
		return;
	event = add_event_(history, &history->targets, &target, sizeof(target));
	va_start(args, format);
	vsnprintf(event->text, sizeof(event->text), format, args);
	va_end(args);
}

static size_t for_each_event_(const event_ring_t *ring, const void *key,
			      size_t key_bytes, mmx_history_fn_t fn, void *arg)
{
	uint8_t wanted[MMX_HISTORY_KEY_BYTES] = {0};
	const mmx_history_event_t *event;
	size_t found = 0;
	uint64_t i = 0;

	memcpy(wanted, key, key_bytes);
	if (ring->written > ring->size)
		i = ring->written - ring->size;
	for (; i < ring->written; i++) {
		event = &ring->events[i % ring->size];
		if (memcmp(event->key, wanted, sizeof(wanted)) != 0)
			continue;
		fn(arg, event);
		found++;
	}
	return found;
}

size_t mmx_history_each_request(const mmx_history_t *history,
				const uint8_t *trace_id, mmx_history_fn_t fn,
				void *arg)
{
	return for_each_event_(&history->requests, trace_id,
			       MMX_HISTORY_KEY_BYTES, fn, arg);
}

size_t mmx_history_each_target(const mmx_history_t *history,
			       mmx_target_id_t target, mmx_history_fn_t fn,
			       void *arg)
{
	return for_each_event_(&history->targets, &target, sizeof(target), fn,
			       arg);
}
