#include "masticmux/ejection.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "private/backoff.h"

/* The whole service counts as slow if at least one in this many targets is
 * suspect, and at least the minimum of suspects: a service with three targets
 * has to be able to eject a single failing one. */
#define SLOWDOWN_RATIO 3
#define SLOWDOWN_SUSPECTS_MIN 2
/* Time within which a slowdown of the service makes its targets suspect. When
 * a slowdown is detected, targets that were ejected within this time before
 * return to use. */
#define SLOWDOWN_ONSET_US (10 * MMX_US_PER_S)
/* Time without new ejections after a slowdown. Exits need it until they compare
 * with the latencies that are normal again; the targets of those that are last
 * to do so must not be ejected. */
#define EJECTION_PAUSE_US (10 * MMX_US_PER_S)
/* Largest random addition to a back-off, as a share of it. */
#define BACKOFF_JITTER 0.5

const char *const mmx_availability_string[MMX_AVAILABILITY_COUNT] = {
	"available", "cold", "draining", "unreachable", "dead",
};

const char *const mmx_ejection_state_string[MMX_EJECTION_STATE_COUNT] = {
	"in-use",
	"avoided",
	"ejected",
};

const char *const mmx_trial_string[MMX_TRIAL_COUNT] = {
	"waiting",
	"due",
	"running",
};

typedef struct target_t {
	mmx_target_id_t id;
	double score;
	mmx_time_t ejected_at;
	mmx_time_t trial_at;
	mmx_backoff_t backoff;
	mmx_backoff_t backoff_before; /* before it was avoided */
	uint32_t ejections;
	uint16_t slots;
	uint8_t availability;
	uint8_t level;	     /* health as reported by the exit */
	uint8_t path_health; /* health of the path to the exit */
	uint8_t state;
	uint8_t trial;
	uint8_t use;
	uint8_t successes;	/* consecutive successful trials */
	bool ejected_elsewhere; /* ejected by other entries */
	bool trial_was_due;	/* a trial was due, or the target was ejected */
} target_t;

struct mmx_ejection_t {
	mmx_clock_t *clock;
	mmx_random_t *random;
	mmx_timer_t timer; /* expires at the earliest end of a back-off */
	mmx_ejection_fn_t changed;
	void *arg;
	target_t *targets;
	size_t count;
	size_t allocated;
	mmx_time_t paused_until; /* no new ejections before this time */
	uint16_t floor_slots;
	uint8_t floor_percent;
	bool is_slow;
	bool ignore_floor; /* set by tests only */
};

static bool is_usable_(const target_t *target)
{
	if (target->path_health == MMX_HEALTH_FAILING)
		return false;
	return target->availability == MMX_AVAILABLE ||
	       target->availability == MMX_AVAILABILITY_COLD;
}

static bool is_ejected_(const target_t *target)
{
	return target->state == MMX_EJECTION_EJECTED;
}

/* Slots that count as capacity if the target is not ejected by this entry. */
static uint32_t target_capacity_(const target_t *target)
{
	if (target->availability != MMX_AVAILABLE ||
	    target->ejected_elsewhere ||
	    target->path_health == MMX_HEALTH_FAILING)
		return 0;
	return target->slots;
}

static mmx_use_t target_use_(const target_t *target)
{
	if (target->availability == MMX_AVAILABILITY_DRAINING ||
	    target->availability == MMX_AVAILABILITY_DEAD)
		return MMX_USE_NONE;
	if (!is_usable_(target))
		return is_ejected_(target) ? MMX_USE_NONE : MMX_USE_LAST_RESORT;
	if (is_ejected_(target))
		return target->trial == MMX_TRIAL_DUE ? MMX_USE_TRIAL
						      : MMX_USE_NONE;
	if (target->state == MMX_EJECTION_AVOIDED)
		return target->trial == MMX_TRIAL_DUE ? MMX_USE_AVOID_TRIAL
						      : MMX_USE_AVOID;
	return target->path_health == MMX_HEALTH_HEALTHY ? MMX_USE_NORMAL
							 : MMX_USE_AVOID;
}

static void notify_use_changes_(mmx_ejection_t *ejection)
{
	size_t i;

	for (i = 0; i < ejection->count; i++) {
		target_t *target = &ejection->targets[i];
		mmx_use_t use = target_use_(target);

		if (target->use == use)
			continue;
		target->use = (uint8_t)use;
		if (ejection->changed)
			ejection->changed(ejection->arg, target->id, use);
	}
}

static bool is_backing_off_(const target_t *target)
{
	return target->state != MMX_EJECTION_IN_USE &&
	       target->trial == MMX_TRIAL_WAITING;
}

static void set_timer_(mmx_ejection_t *ejection)
{
	mmx_time_t next = MMX_TIME_NEVER;
	size_t i;

	for (i = 0; i < ejection->count; i++)
		if (is_backing_off_(&ejection->targets[i]) &&
		    ejection->targets[i].trial_at < next)
			next = ejection->targets[i].trial_at;
	if (next == MMX_TIME_NEVER)
		mmx_timer_cancel(&ejection->timer);
	else
		mmx_timer_set(&ejection->timer,
			      next - mmx_clock_now(ejection->clock));
}

/* All entries learn of a failure at about the same time; the jitter spreads
 * their trials. */
static void start_backoff_(mmx_ejection_t *ejection, target_t *target,
			   mmx_time_t delay)
{
	double spread = BACKOFF_JITTER * mmx_random_unit(ejection->random);

	target->trial = MMX_TRIAL_WAITING;
	target->trial_at = mmx_clock_now(ejection->clock) + delay +
			   (mmx_time_t)(spread * (double)delay);
	target->successes = 0;
}

static void avoid_(mmx_ejection_t *ejection, target_t *target)
{
	mmx_time_t now = mmx_clock_now(ejection->clock);

	if (target->state == MMX_EJECTION_IN_USE) {
		target->backoff_before = target->backoff;
		start_backoff_(
			ejection, target,
			mmx_backoff_report_failure(&target->backoff, now));
		target->trial_was_due = false;
	}
	target->state = MMX_EJECTION_AVOIDED;
}

/* A back-off that started when the target was avoided continues. */
static void eject_(mmx_ejection_t *ejection, target_t *target)
{
	avoid_(ejection, target);
	target->state = MMX_EJECTION_EJECTED;
	target->trial_was_due = true;
	target->ejected_at = mmx_clock_now(ejection->clock);
	target->ejections++;
}

/* A target that is reported healthy before its first trial is due was suspected
 * wrongly. Its former back-off is restored, since frequent false suspicions
 * would otherwise add up to a long back-off of a healthy target. */
static void reinstate_(mmx_ejection_t *ejection, target_t *target)
{
	target->state = MMX_EJECTION_IN_USE;
	if (target->trial_was_due)
		mmx_backoff_report_recovery(&target->backoff,
					    mmx_clock_now(ejection->clock));
	else
		target->backoff = target->backoff_before;
}

static void apply_level_(mmx_ejection_t *ejection, target_t *target)
{
	if (target->level == MMX_HEALTH_HEALTHY) {
		if (target->state != MMX_EJECTION_IN_USE)
			reinstate_(ejection, target);
	} else if (target->state == MMX_EJECTION_IN_USE) {
		avoid_(ejection, target);
	}
}

static bool is_service_slow_(const mmx_ejection_t *ejection)
{
	size_t usable = 0;
	size_t suspects = 0;
	size_t i;

	for (i = 0; i < ejection->count; i++) {
		const target_t *target = &ejection->targets[i];

		if (!is_usable_(target))
			continue;
		usable++;
		if (target->state != MMX_EJECTION_IN_USE)
			suspects++;
	}
	return suspects >= SLOWDOWN_SUSPECTS_MIN &&
	       SLOWDOWN_RATIO * suspects >= usable;
}

static void update_slowdown_(mmx_ejection_t *ejection, mmx_time_t now)
{
	bool slow = is_service_slow_(ejection);
	size_t i;

	if (slow && !ejection->is_slow)
		for (i = 0; i < ejection->count; i++) {
			target_t *target = &ejection->targets[i];

			if (is_ejected_(target) &&
			    now - target->ejected_at <= SLOWDOWN_ONSET_US)
				avoid_(ejection, target);
		}
	if (slow)
		ejection->paused_until = now + EJECTION_PAUSE_US;
	ejection->is_slow = slow;
}

static gint compare_rank_(gconstpointer a, gconstpointer b)
{
	const target_t *left = *(const target_t *const *)a;
	const target_t *right = *(const target_t *const *)b;

	if (left->score != right->score)
		return left->score > right->score ? -1 : 1;
	return left->id < right->id ? -1 : left->id > right->id;
}

static GPtrArray *rank_targets_(const mmx_ejection_t *ejection)
{
	GPtrArray *ranked = g_ptr_array_new();
	mmx_time_t now = mmx_clock_now(ejection->clock);
	size_t i;

	for (i = 0; i < ejection->count; i++) {
		target_t *target = &ejection->targets[i];

		if (!is_usable_(target))
			continue;
		if (is_ejected_(target) ||
		    (now >= ejection->paused_until &&
		     target->level == MMX_HEALTH_FAILING))
			g_ptr_array_add(ranked, target);
	}
	g_ptr_array_sort(ranked, compare_rank_);
	return ranked;
}

static uint32_t total_capacity_(const mmx_ejection_t *ejection)
{
	uint32_t slots = 0;
	size_t i;

	for (i = 0; i < ejection->count; i++)
		slots += target_capacity_(&ejection->targets[i]);
	return slots;
}

/* Recomputes the set of ejected targets: the highest ranks, as many as the
 * floor allows. */
static void update_ejections_(mmx_ejection_t *ejection)
{
	mmx_time_t now = mmx_clock_now(ejection->clock);
	uint32_t floor = mmx_ejection_floor(ejection);
	uint32_t capacity = total_capacity_(ejection);
	GPtrArray *ranked;
	bool fits = true;
	size_t n;
	guint i;

	for (n = 0; n < ejection->count; n++)
		apply_level_(ejection, &ejection->targets[n]);
	update_slowdown_(ejection, now);
	ranked = rank_targets_(ejection);
	for (i = 0; i < ranked->len; i++) {
		target_t *target = ranked->pdata[i];
		uint32_t slots = target_capacity_(target);

		fits = fits && capacity >= floor + slots;
		if (fits || ejection->ignore_floor) {
			capacity -= slots;
			if (!is_ejected_(target))
				eject_(ejection, target);
		} else if (is_ejected_(target)) {
			avoid_(ejection, target);
		}
	}
	g_ptr_array_free(ranked, TRUE);
	set_timer_(ejection);
	notify_use_changes_(ejection);
}

static void on_timer_(void *arg)
{
	mmx_ejection_t *ejection = arg;
	mmx_time_t now = mmx_clock_now(ejection->clock);
	size_t i;

	for (i = 0; i < ejection->count; i++)
		if (is_backing_off_(&ejection->targets[i]) &&
		    ejection->targets[i].trial_at <= now) {
			ejection->targets[i].trial = MMX_TRIAL_DUE;
			ejection->targets[i].trial_was_due = true;
		}
	set_timer_(ejection);
	notify_use_changes_(ejection);
}

mmx_ejection_t *mmx_ejection_create(mmx_clock_t *clock, mmx_random_t *random,
				    uint8_t floor_percent, uint16_t floor_slots,
				    mmx_ejection_fn_t changed, void *arg)
{
	mmx_ejection_t *ejection = g_new0(mmx_ejection_t, 1);

	assert(clock && random && floor_percent <= 100);
	ejection->clock = clock;
	ejection->random = random;
	ejection->changed = changed;
	ejection->arg = arg;
	ejection->floor_percent = floor_percent;
	ejection->floor_slots = floor_slots;
	mmx_timer_init(&ejection->timer, clock, on_timer_, ejection);
	return ejection;
}

void mmx_ejection_destroy(mmx_ejection_t *ejection)
{
	if (!ejection)
		return;
	mmx_timer_cancel(&ejection->timer);
	g_free(ejection->targets);
	g_free(ejection);
}

void mmx_ejection_set_floor(mmx_ejection_t *ejection, uint8_t floor_percent,
			    uint16_t floor_slots)
{
	assert(floor_percent <= 100);
	ejection->floor_percent = floor_percent;
	ejection->floor_slots = floor_slots;
	update_ejections_(ejection);
}

static target_t *find_target_(const mmx_ejection_t *ejection,
			      mmx_target_id_t id)
{
	size_t i;

	for (i = 0; i < ejection->count; i++)
		if (ejection->targets[i].id == id)
			return &ejection->targets[i];
	return NULL;
}

void mmx_ejection_set_target(mmx_ejection_t *ejection, mmx_target_id_t target,
			     uint16_t slots, mmx_availability_t availability)
{
	target_t *known = find_target_(ejection, target);

	assert(slots > 0 && availability < MMX_AVAILABILITY_COUNT);
	if (!known) {
		if (ejection->count == ejection->allocated) {
			ejection->allocated = ejection->allocated
						      ? 2 * ejection->allocated
						      : 4;
			ejection->targets = g_renew(target_t, ejection->targets,
						    ejection->allocated);
		}
		known = &ejection->targets[ejection->count++];
		*known = (target_t){.id = target, .use = MMX_USE_NORMAL};
	}
	known->slots = slots;
	known->availability = (uint8_t)availability;
	update_ejections_(ejection);
}

void mmx_ejection_remove_target(mmx_ejection_t *ejection,
				mmx_target_id_t target)
{
	target_t *known = find_target_(ejection, target);

	if (!known)
		return;
	*known = ejection->targets[--ejection->count];
	update_ejections_(ejection);
}

void mmx_ejection_report_health(mmx_ejection_t *ejection,
				mmx_target_id_t target, mmx_health_t level,
				double score)
{
	target_t *known = find_target_(ejection, target);
	mmx_health_t previous;

	assert(level < MMX_HEALTH_COUNT);
	if (!known)
		return;
	previous = known->level;
	if (previous == level && known->score == score)
		return;
	known->level = (uint8_t)level;
	known->score = score;
	/* The score is used for ranking only, and only failing and ejected
	 * targets are ranked. */
	if (previous != level || level == MMX_HEALTH_FAILING ||
	    is_ejected_(known))
		update_ejections_(ejection);
}

void mmx_ejection_set_ejected_elsewhere(mmx_ejection_t *ejection,
					mmx_target_id_t target, bool ejected)
{
	target_t *known = find_target_(ejection, target);

	if (!known || known->ejected_elsewhere == ejected)
		return;
	known->ejected_elsewhere = ejected;
	update_ejections_(ejection);
}

void mmx_ejection_set_path_health(mmx_ejection_t *ejection,
				  mmx_target_id_t target, mmx_health_t level)
{
	target_t *known = find_target_(ejection, target);

	assert(level < MMX_HEALTH_COUNT);
	if (!known || known->path_health == level)
		return;
	known->path_health = (uint8_t)level;
	update_ejections_(ejection);
}

static target_t *find_trial_(const mmx_ejection_t *ejection, mmx_target_id_t id,
			     mmx_trial_t trial)
{
	target_t *known = find_target_(ejection, id);

	if (!known || known->state == MMX_EJECTION_IN_USE ||
	    known->trial != trial)
		return NULL;
	return known;
}

bool mmx_ejection_trial_start(mmx_ejection_t *ejection, mmx_target_id_t target)
{
	target_t *known = find_trial_(ejection, target, MMX_TRIAL_DUE);

	if (!known)
		return false;
	known->trial = MMX_TRIAL_RUNNING;
	notify_use_changes_(ejection);
	return true;
}

void mmx_ejection_trial_finish(mmx_ejection_t *ejection, mmx_target_id_t target,
			       bool good)
{
	target_t *known = find_trial_(ejection, target, MMX_TRIAL_RUNNING);
	mmx_time_t now = mmx_clock_now(ejection->clock);

	if (!known)
		return;
	if (!good) {
		start_backoff_(
			ejection, known,
			mmx_backoff_report_failure(&known->backoff, now));
	} else if (++known->successes < MMX_DETECTION_TRIALS) {
		known->trial = MMX_TRIAL_DUE;
	} else {
		known->level = MMX_HEALTH_HEALTHY;
		known->score = 0;
	}
	update_ejections_(ejection);
}

void mmx_ejection_trial_refused(mmx_ejection_t *ejection,
				mmx_target_id_t target)
{
	target_t *known = find_trial_(ejection, target, MMX_TRIAL_RUNNING);

	if (!known)
		return;
	start_backoff_(ejection, known, MMX_BACKOFF_MIN_US);
	update_ejections_(ejection);
}

bool mmx_ejection_must_shed(const mmx_ejection_t *ejection)
{
	return ejection->is_slow;
}

uint32_t mmx_ejection_capacity(const mmx_ejection_t *ejection)
{
	uint32_t slots = 0;
	size_t i;

	for (i = 0; i < ejection->count; i++)
		if (!is_ejected_(&ejection->targets[i]))
			slots += target_capacity_(&ejection->targets[i]);
	return slots;
}

uint32_t mmx_ejection_floor(const mmx_ejection_t *ejection)
{
	uint32_t announced = 0;
	uint32_t floor;
	size_t i;

	for (i = 0; i < ejection->count; i++)
		announced += ejection->targets[i].slots;
	floor = (announced * ejection->floor_percent + 99) / 100;
	return floor > ejection->floor_slots ? floor : ejection->floor_slots;
}

size_t mmx_ejection_ejected_count(const mmx_ejection_t *ejection)
{
	size_t ejected = 0;
	size_t i;

	for (i = 0; i < ejection->count; i++)
		ejected += is_ejected_(&ejection->targets[i]);
	return ejected;
}

bool mmx_ejection_info(const mmx_ejection_t *ejection, mmx_target_id_t target,
		       mmx_ejection_info_t *info)
{
	const target_t *known = find_target_(ejection, target);

	if (!known)
		return false;
	info->state = known->state;
	info->trial = known->trial;
	info->use = known->use;
	info->level = known->level;
	info->score = known->score;
	info->ejected_at = known->ejected_at;
	info->trial_at = known->trial_at;
	info->trial_successes = known->successes;
	info->ejections = known->ejections;
	return true;
}

bool mmx_ejection_floor_holds(const mmx_ejection_t *ejection)
{
	uint32_t remaining = 0;
	bool ejected = false;
	size_t i;

	for (i = 0; i < ejection->count; i++) {
		const target_t *target = &ejection->targets[i];

		if (is_usable_(target) && is_ejected_(target))
			ejected = true;
		if (target->availability == MMX_AVAILABLE &&
		    target->path_health != MMX_HEALTH_FAILING &&
		    !target->ejected_elsewhere && !is_ejected_(target))
			remaining += target->slots;
	}
	return !ejected || remaining >= mmx_ejection_floor(ejection);
}

void mmx_ejection_ignore_floor(mmx_ejection_t *ejection, bool ignore)
{
	ejection->ignore_floor = ignore;
	update_ejections_(ejection);
}
