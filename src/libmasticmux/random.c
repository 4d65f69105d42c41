#include "masticmux/random.h"

#include <assert.h>

void mmx_random_seed(mmx_random_t *random, uint64_t seed)
{
	random->state = seed;
}

uint64_t mmx_random_next(mmx_random_t *random)
{
	uint64_t z = (random->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t mmx_random_below(mmx_random_t *random, uint64_t bound)
{
	assert(bound > 0);
	return (uint64_t)(((unsigned __int128)mmx_random_next(random) *
			   bound) >>
			  64);
}

double mmx_random_unit(mmx_random_t *random)
{
	return (double)(mmx_random_next(random) >> 11) * 0x1.0p-53;
}
