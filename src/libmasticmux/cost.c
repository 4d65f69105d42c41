#include "private/cost.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <sys/queue.h>

#include "private/http_head.h"

/* Lower end of the second bin, microseconds; the first one starts at 0. */
#define FIRST_BIN_US MMX_US_PER_MS
#define BINS_PER_OCTAVE 2
/* Up to 1 ms * 2^15.5, or 46 s; the last bin has no upper end. */
#define BIN_COUNT 32
/* Routes have a histogram over all classes under this one. */
#define CLASS_ANY MMX_COST_CLASS_COUNT
/* Weight of the assumption that a request of age x takes x longer, in run
 * times. It decides where no completed request was as long. */
#define TAIL_WEIGHT 1.0
/* A sum of weights below this is too small for a division. */
#define WEIGHT_MIN 1e-6
/* A histogram of which less than half a run time is left starts again. */
#define WEIGHT_RESET 0.5

const char *const mmx_cost_class_string[MMX_COST_CLASS_COUNT] = {
	"none", "4k", "64k", "1m", "large",
};

typedef struct histogram_t {
	TAILQ_ENTRY(histogram_t) entry; /* of a key, least recently used last */
	uint64_t key;
	unsigned int samples;	 /* saturates */
	mmx_time_t updated;	 /* the weights are valid for this time */
	float weight[BIN_COUNT]; /* of the run times in each bin */
	double total;		 /* sum of the weights */
	double sum;		 /* of the run times, microseconds */
	double squares;		 /* of the squared run times */
} histogram_t;

typedef TAILQ_HEAD(histogram_list_t, histogram_t) histogram_list_t;

struct mmx_cost_t {
	histogram_t all;
	GHashTable *keys; /* key -> histogram_t */
	histogram_list_t recent;
};

mmx_cost_class_t mmx_cost_class(uint64_t bytes)
{
	if (bytes == 0)
		return MMX_COST_BODY_NONE;
	if (bytes <= 4U << 10U)
		return MMX_COST_BODY_4K;
	if (bytes <= 64U << 10U)
		return MMX_COST_BODY_64K;
	return bytes <= 1U << 20U ? MMX_COST_BODY_1M : MMX_COST_BODY_LARGE;
}

mmx_cost_key_t mmx_cost_request_key(uint32_t route, const mmx_head_t *head,
				    uint64_t buffered)
{
	uint64_t length = 0;

	mmx_http_content_length(head, &length);
	return (mmx_cost_key_t){route, mmx_cost_class(MAX(length, buffered))};
}

mmx_cost_t *mmx_cost_create(void)
{
	mmx_cost_t *cost = g_new0(mmx_cost_t, 1);

	cost->keys = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	TAILQ_INIT(&cost->recent);
	return cost;
}

void mmx_cost_destroy(mmx_cost_t *cost)
{
	if (!cost)
		return;
	g_hash_table_destroy(cost->keys);
	g_free(cost);
}

static uint64_t key_(uint32_t route, unsigned int class)
{
	return (uint64_t)route << 8U | class;
}

static size_t bin_of_(mmx_time_t run_time)
{
	double bin;

	if (run_time < FIRST_BIN_US)
		return 0;
	bin = 1 + BINS_PER_OCTAVE * log2((double)run_time / FIRST_BIN_US);
	return MIN((size_t)bin, BIN_COUNT - 1);
}

/* Lower end of a bin, microseconds. */
static double bin_start_(size_t bin)
{
	return bin ? FIRST_BIN_US * exp2(((double)bin - 1) / BINS_PER_OCTAVE)
		   : 0;
}

static void decay_(histogram_t *histogram, mmx_time_t now)
{
	double factor;
	size_t i;

	if (now <= histogram->updated)
		return;
	factor = exp2((double)(histogram->updated - now) /
		      MMX_COST_HALF_LIFE_US);
	for (i = 0; i < BIN_COUNT; i++)
		histogram->weight[i] *= (float)factor;
	histogram->total *= factor;
	histogram->sum *= factor;
	histogram->squares *= factor;
	histogram->updated = now;
	/* Run times from before an idle period are no evidence any more. */
	if (histogram->total < WEIGHT_RESET)
		histogram->samples = 0;
}

static void add_(histogram_t *histogram, mmx_time_t run_time, mmx_time_t now)
{
	double value = (double)run_time;

	decay_(histogram, now);
	histogram->weight[bin_of_(run_time)]++;
	histogram->total++;
	histogram->sum += value;
	histogram->squares += value * value;
	if (histogram->samples < MMX_COST_UNEVEN_SAMPLES_MIN)
		histogram->samples++;
}

static histogram_t *find_or_add_(mmx_cost_t *cost, uint64_t key)
{
	histogram_t *histogram = g_hash_table_lookup(cost->keys, &key);
	histogram_t *last;

	if (histogram) {
		TAILQ_REMOVE(&cost->recent, histogram, entry);
		TAILQ_INSERT_HEAD(&cost->recent, histogram, entry);
		return histogram;
	}
	if (g_hash_table_size(cost->keys) >= MMX_COST_KEYS_MAX) {
		last = TAILQ_LAST(&cost->recent, histogram_list_t);
		TAILQ_REMOVE(&cost->recent, last, entry);
		g_hash_table_remove(cost->keys, &last->key);
	}
	histogram = g_new0(histogram_t, 1);
	histogram->key = key;
	g_hash_table_insert(cost->keys, &histogram->key, histogram);
	TAILQ_INSERT_HEAD(&cost->recent, histogram, entry);
	return histogram;
}

void mmx_cost_add(mmx_cost_t *cost, mmx_cost_key_t key, mmx_time_t run_time,
		  mmx_time_t now)
{
	assert(run_time >= 0 && key.class < MMX_COST_CLASS_COUNT);
	add_(&cost->all, run_time, now);
	if (!key.route)
		return;
	add_(find_or_add_(cost, key_(key.route, CLASS_ANY)), run_time, now);
	add_(find_or_add_(cost, key_(key.route, key.class)), run_time, now);
}

/* Returns the most specific histogram with enough run times. */
static const histogram_t *find_(const mmx_cost_t *cost, mmx_cost_key_t key)
{
	unsigned int classes[] = {key.class, CLASS_ANY};
	const histogram_t *histogram;
	uint64_t id;
	size_t i;

	for (i = 0; key.route && i < G_N_ELEMENTS(classes); i++) {
		id = key_(key.route, classes[i]);
		histogram = g_hash_table_lookup(cost->keys, &id);
		if (histogram && histogram->samples >= MMX_COST_SAMPLES_MIN &&
		    histogram->total > WEIGHT_MIN)
			return histogram;
	}
	return cost->all.total > WEIGHT_MIN ? &cost->all : NULL;
}

static mmx_time_t mean_(const histogram_t *histogram)
{
	/* 0 stands for an unknown mean. */
	return (mmx_time_t)CLAMP(histogram->sum / histogram->total, 1,
				 MMX_COST_MAX_US);
}

mmx_time_t mmx_cost_mean(const mmx_cost_t *cost, mmx_cost_key_t key)
{
	const histogram_t *histogram = find_(cost, key);

	return histogram ? mean_(histogram) : 0;
}

mmx_time_t mmx_cost_mean_of_all(const mmx_cost_t *cost)
{
	return cost->all.total > WEIGHT_MIN ? mean_(&cost->all) : 0;
}

mmx_time_t mmx_cost_quantile(const mmx_cost_t *cost, mmx_cost_key_t key,
			     unsigned int permille)
{
	const histogram_t *histogram = find_(cost, key);
	double rank;
	size_t i;

	assert(permille > 0 && permille <= 1000);
	if (!histogram)
		return 0;
	rank = histogram->total * permille / 1000;
	for (i = 0; i < BIN_COUNT - 1; i++) {
		rank -= histogram->weight[i];
		if (rank <= WEIGHT_MIN)
			break;
	}
	return (mmx_time_t)bin_start_(i + 1);
}

mmx_time_t mmx_cost_remaining(const mmx_cost_t *cost, mmx_cost_key_t key,
			      mmx_time_t age)
{
	const histogram_t *histogram = find_(cost, key);
	double weight = TAIL_WEIGHT;
	double sum;
	size_t i;

	if (!histogram)
		return 0;
	if (age <= 0)
		return mean_(histogram);
	sum = weight * (double)age;
	for (i = bin_of_(age); i < BIN_COUNT; i++) {
		double start = MAX(bin_start_(i), (double)age);
		double end = bin_start_(i + 1);
		double share = 1;

		if (start > bin_start_(i))
			share = (end - start) / (end - bin_start_(i));
		/* Beyond the last bin, run times are not known. */
		share = MAX(share, 0);
		end = MAX(end, start);
		weight += share * histogram->weight[i];
		sum += share * histogram->weight[i] *
		       ((start + end) / 2 - (double)age);
	}
	return (mmx_time_t)CLAMP(sum / weight, 1, MMX_COST_MAX_US);
}

double mmx_cost_variation(const mmx_cost_t *cost)
{
	const histogram_t *all = &cost->all;
	double mean;

	if (all->samples < MMX_COST_UNEVEN_SAMPLES_MIN ||
	    all->total < WEIGHT_MIN || all->sum <= 0)
		return 0;
	mean = all->sum / all->total;
	return MAX(all->squares / all->total / (mean * mean) - 1, 0);
}

bool mmx_cost_is_uneven(const mmx_cost_t *cost)
{
	return mmx_cost_variation(cost) >= MMX_COST_UNEVEN_MIN;
}

size_t mmx_cost_key_count(const mmx_cost_t *cost)
{
	return g_hash_table_size(cost->keys);
}
