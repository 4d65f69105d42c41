#include "private/fair_queue.h"

#include <glib.h>

/*
 * Without a latency objective, full use of a limit adds 1/2 of the remaining
 * time. This is the part of it that admission lets a request wait, so that an
 * attempt which is overtaken for this long can still finish.
 */
#define PENALTY_DIVISOR 2

const char *const mmx_fair_queue_cause_string[MMX_FAIR_QUEUE_CAUSE_COUNT] = {
	"full",
	"displaced",
};

mmx_fair_queue_place_t mmx_fair_queue_place(uint8_t priority,
					    mmx_time_t objective,
					    mmx_time_t remaining, uint16_t use,
					    mmx_time_t now)
{
	/* The soft deadline: time by which the request should complete, from
	 * its latency objective, or its deadline if it has none. */
	mmx_time_t key = now + (objective > 0 ? objective : remaining);
	mmx_time_t penalty =
		objective > 0 ? objective : remaining / PENALTY_DIVISOR;

	/* At most one objective, which bounds the wait of an account that uses
	 * its whole limit. */
	key += penalty * MIN(use, MMX_FAIR_QUEUE_USE_MAX) /
	       MMX_FAIR_QUEUE_USE_MAX;
	return (mmx_fair_queue_place_t){
		.priority = priority, .key = key, .use = use};
}

mmx_fair_queue_place_t mmx_fair_queue_place_of(const mmx_attempt_t *attempt)
{
	return (mmx_fair_queue_place_t){
		.priority = attempt->execute->priority,
		.key = attempt->queue_key,
		.use = attempt->execute->account_use,
	};
}

/*
 * Attempts of equal priority start in the order of their keys. A short call
 * that a running request waits for thus overtakes long requests, and a long
 * request that has waited overtakes newer short calls.
 */
static bool starts_before_(const mmx_attempt_t *queued,
			   const mmx_fair_queue_place_t *place)
{
	if (queued->execute->priority != place->priority)
		return queued->execute->priority < place->priority;
	return queued->queue_key <= place->key;
}

unsigned int mmx_fair_queue_behind(const mmx_attempt_list_t *queue,
				   const mmx_fair_queue_place_t *place)
{
	const mmx_attempt_t *attempt = TAILQ_LAST(queue, mmx_attempt_list_t);
	unsigned int behind = 0;

	while (attempt && !starts_before_(attempt, place)) {
		attempt = TAILQ_PREV(attempt, mmx_attempt_list_t, queue_entry);
		behind++;
	}
	return behind;
}

void mmx_fair_queue_insert(mmx_attempt_list_t *queue, mmx_attempt_t *attempt,
			   mmx_time_t now)
{
	const mmx_execute_t *execute = attempt->execute;
	mmx_fair_queue_place_t place = mmx_fair_queue_place(
		execute->priority, execute->objective, execute->remaining,
		execute->account_use, now);
	mmx_attempt_t *behind;

	attempt->queue_key = place.key;
	TAILQ_FOREACH (behind, queue, queue_entry)
		if (!starts_before_(behind, &place))
			break;
	if (behind)
		TAILQ_INSERT_BEFORE(behind, attempt, queue_entry);
	else
		TAILQ_INSERT_TAIL(queue, attempt, queue_entry);
}

mmx_attempt_t *mmx_fair_queue_victim(const mmx_attempt_list_t *queue,
				     const mmx_fair_queue_place_t *place)
{
	mmx_attempt_t *attempt = TAILQ_LAST(queue, mmx_attempt_list_t);
	mmx_attempt_t *victim = NULL;

	/* From the end, so that the last of equals is found first. */
	for (; attempt && !starts_before_(attempt, place);
	     attempt = TAILQ_PREV(attempt, mmx_attempt_list_t, queue_entry)) {
		if (victim &&
		    attempt->execute->priority < victim->execute->priority)
			break;
		if (attempt->execute->account_use == 0 || attempt->under_floor)
			continue;
		if (!victim || attempt->execute->account_use >
				       victim->execute->account_use)
			victim = attempt;
	}
	return victim;
}

bool mmx_fair_queue_is_refused(const mmx_attempt_list_t *queue,
			       const mmx_fair_queue_place_t *place)
{
	const mmx_attempt_t *victim = mmx_fair_queue_victim(queue, place);

	return victim && victim->execute->priority == place->priority &&
	       victim->execute->account_use < place->use;
}
