#include "standin/histogram.h"

#include <math.h>

#define SUB_BUCKETS (1U << HISTOGRAM_SUB_BITS)

static unsigned int bucket_(uint64_t us)
{
	unsigned int shift;

	if (us < SUB_BUCKETS)
		return (unsigned int)us;
	shift = 63U - (unsigned int)__builtin_clzll(us) - HISTOGRAM_SUB_BITS;
	return ((shift + 1) << HISTOGRAM_SUB_BITS) +
	       ((unsigned int)(us >> shift) - SUB_BUCKETS);
}

static uint64_t upper_(unsigned int bucket)
{
	unsigned int shift;

	if (bucket < SUB_BUCKETS)
		return bucket;
	shift = (bucket >> HISTOGRAM_SUB_BITS) - 1;
	return ((((uint64_t)bucket & (SUB_BUCKETS - 1)) + SUB_BUCKETS + 1)
		<< shift) -
	       1;
}

void histogram_add(histogram_t *histogram, uint64_t us)
{
	histogram->counts[bucket_(us)]++;
	histogram->total++;
	if (us > histogram->max)
		histogram->max = us;
}

uint64_t histogram_percentile(const histogram_t *histogram, double percent)
{
	uint64_t rank =
		(uint64_t)ceil((double)histogram->total * percent / 100.0);
	uint64_t seen = 0;
	unsigned int i;

	if (histogram->total == 0)
		return 0;
	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += histogram->counts[i];
		if (seen > 0 && seen >= rank)
			break;
	}
	return upper_(i) < histogram->max ? upper_(i) : histogram->max;
}

json_t *histogram_json(const histogram_t *histogram)
{
	return json_pack(
		"{s:I,s:f,s:f,s:f,s:f,s:f}", "count",
		(json_int_t)histogram->total, "p50_ms",
		(double)histogram_percentile(histogram, 50) / 1000, "p90_ms",
		(double)histogram_percentile(histogram, 90) / 1000, "p99_ms",
		(double)histogram_percentile(histogram, 99) / 1000, "p99_9_ms",
		(double)histogram_percentile(histogram, 99.9) / 1000, "max_ms",
		(double)histogram->max / 1000);
}
