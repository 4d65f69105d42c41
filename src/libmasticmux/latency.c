#include "masticmux/latency.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#define BUCKETS_PER_OCTAVE 2.0
/* Completions in the tail. Hill's estimate needs some tens of observations;
 * with 50 its standard error is 14%. */
#define TAIL_SAMPLES (MMX_LATENCY_SAMPLES_MIN / 2.0)
/* Bounds of the tail exponent. Below 0.8 a stall gives hardly any evidence;
 * above 4 a few samples of a light tail make any unusual latency decisive. */
#define EXPONENT_MIN 0.8
#define EXPONENT_MAX 4.0
/* Prior of the error rate: 1 error in 500 requests. */
#define PRIOR_ERRORS 1.0
#define PRIOR_REQUESTS 500.0

/* Position of a latency on the logarithmic scale on which bucket n covers
 * [n, n + 1). */
static double bucket_position_(mmx_time_t latency)
{
	double octaves;

	if (latency <= MMX_LATENCY_LOWEST_US)
		return latency < MMX_LATENCY_LOWEST_US ? 0.0 : 1.0;
	octaves = log2((double)latency / MMX_LATENCY_LOWEST_US);
	return 1.0 + octaves * BUCKETS_PER_OCTAVE;
}

size_t mmx_latency_bucket(mmx_time_t latency)
{
	double position = bucket_position_(latency);

	assert(latency >= 0);
	if (position >= MMX_LATENCY_BUCKETS - 1)
		return MMX_LATENCY_BUCKETS - 1;
	return (size_t)position;
}

static void add_saturated_(uint32_t *value, uint32_t by)
{
	*value = *value > UINT32_MAX - by ? UINT32_MAX : *value + by;
}

void mmx_latency_summary_add(mmx_latency_summary_t *summary, mmx_time_t latency,
			     bool error)
{
	add_saturated_(&summary->requests, 1);
	if (error)
		add_saturated_(&summary->errors, 1);
	else
		add_saturated_(&summary->count[mmx_latency_bucket(latency)], 1);
}

void mmx_latency_summary_merge(mmx_latency_summary_t *summary,
			       const mmx_latency_summary_t *other)
{
	size_t i;

	for (i = 0; i < MMX_LATENCY_BUCKETS; i++)
		add_saturated_(&summary->count[i], other->count[i]);
	add_saturated_(&summary->requests, other->requests);
	add_saturated_(&summary->errors, other->errors);
}

static void rotate_window_(mmx_latency_window_t *window, mmx_time_t now)
{
	mmx_time_t age = now - window->started;

	if (age < MMX_LATENCY_WINDOW_US)
		return;
	if (age < 2 * MMX_LATENCY_WINDOW_US)
		memcpy(window->previous, window->current,
		       sizeof(window->previous));
	else
		memset(window->previous, 0, sizeof(window->previous));
	memset(window->current, 0, sizeof(window->current));
	window->started = now;
}

static size_t target_group_(mmx_target_id_t target)
{
	return (size_t)(target % MMX_LATENCY_GROUPS);
}

void mmx_latency_window_add(mmx_latency_window_t *window,
			    mmx_target_id_t target, mmx_time_t latency,
			    bool error, mmx_time_t now)
{
	rotate_window_(window, now);
	mmx_latency_summary_add(&window->current[target_group_(target)],
				latency, error);
}

void mmx_latency_window_others(mmx_latency_window_t *window,
			       mmx_target_id_t target, mmx_time_t now,
			       mmx_latency_summary_t *summary)
{
	size_t own_group = target_group_(target);
	size_t i;

	rotate_window_(window, now);
	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < MMX_LATENCY_GROUPS; i++) {
		if (i == own_group)
			continue;
		mmx_latency_summary_merge(summary, &window->current[i]);
		mmx_latency_summary_merge(summary, &window->previous[i]);
	}
	if (summary->requests)
		return;
	mmx_latency_summary_merge(summary, &window->current[own_group]);
	mmx_latency_summary_merge(summary, &window->previous[own_group]);
}

void mmx_latency_sources_set(mmx_latency_sources_t *sources,
			     mmx_node_id_t source,
			     const mmx_latency_summary_t *summary,
			     mmx_time_t now)
{
	size_t slot = 0;
	size_t i;

	for (i = 0; i < sources->count; i++) {
		if (sources->source[i] == source) {
			slot = i;
			break;
		}
		if (sources->received[i] < sources->received[slot])
			slot = i;
	}
	if (i == sources->count && i < MMX_LATENCY_SOURCES)
		slot = sources->count++;
	sources->source[slot] = source;
	sources->received[slot] = now;
	sources->summary[slot] = *summary;
}

void mmx_latency_sources_merge(const mmx_latency_sources_t *sources,
			       mmx_time_t now, mmx_latency_summary_t *summary)
{
	size_t i;

	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < sources->count; i++)
		if (now - sources->received[i] <= 2 * MMX_LATENCY_WINDOW_US)
			mmx_latency_summary_merge(summary,
						  &sources->summary[i]);
}

/* Hill's estimate over the buckets from index tail on, reduced by its standard
 * error. Each completion counts as the logarithmic middle of its bucket. */
static double tail_exponent_(const mmx_latency_summary_t *summary, size_t tail)
{
	double bucket_width = log(2.0) / BUCKETS_PER_OCTAVE;
	double samples = 0;
	double sum = 0;
	double exponent;
	size_t i;

	for (i = tail; i < MMX_LATENCY_BUCKETS; i++) {
		samples += summary->count[i];
		sum += summary->count[i] * bucket_width *
		       ((double)(i - tail) + 0.5);
	}
	if (samples < 1)
		return EXPONENT_MIN;
	exponent = samples / sum * (1.0 - 1.0 / sqrt(samples));
	if (exponent < EXPONENT_MIN)
		return EXPONENT_MIN;
	return exponent > EXPONENT_MAX ? EXPONENT_MAX : exponent;
}

void mmx_latency_model_prepare(mmx_latency_model_t *model,
			       const mmx_latency_summary_t *summary)
{
	double total = 0;
	double count_above = 0;
	size_t i;

	memset(model, 0, sizeof(*model));
	for (i = 0; i < MMX_LATENCY_BUCKETS; i++)
		total += summary->count[i];
	model->error_rate = (float)((summary->errors + PRIOR_ERRORS) /
				    (summary->requests + PRIOR_REQUESTS));
	model->valid = total >= MMX_LATENCY_SAMPLES_MIN;
	if (!model->valid)
		return;
	for (i = MMX_LATENCY_BUCKETS; i > 0; i--) {
		if (count_above < TAIL_SAMPLES)
			model->tail = (uint8_t)(i - 1);
		count_above += summary->count[i - 1];
		/* Half a completion is added to keep S above 0. */
		model->evidence[i - 1] =
			(float)-log((count_above + 0.5) / (total + 0.5));
	}
	model->exponent = (float)tail_exponent_(summary, model->tail);
}

double mmx_latency_model_evidence(const mmx_latency_model_t *model,
				  mmx_time_t latency)
{
	double position;
	double below;
	size_t bucket;

	if (!model->valid)
		return 0;
	position = bucket_position_(latency);
	if (position >= model->tail)
		return model->evidence[model->tail] +
		       model->exponent * (position - model->tail) * log(2.0) /
			       BUCKETS_PER_OCTAVE;
	bucket = (size_t)position;
	below = model->evidence[bucket];
	return below + (position - (double)bucket) *
			       (model->evidence[bucket + 1] - below);
}
