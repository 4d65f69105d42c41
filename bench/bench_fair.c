/*
 * Model of several exits that are short of slots, without network: the share of
 * each account's requests within its limit that is served, with the order by
 * use of the limit and without it. The exits are those of the program; entries,
 * targets and the owner of the limits are modelled in virtual time.
 */
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>

#include "model/options.h"
#include "private/exit.h"
#include "masticmux/random.h"

#define MS MMX_US_PER_MS
#define EXITS 8
#define SLOTS 4
#define GROUPS_MAX 3
#define ENTRY 1000
/*
 * An entry tries this many exits. The last two may use all remaining time, the
 * others this part of the objective (filter_attempt_send.c).
 */
#define TRIES_MAX 6
#define UNLIMITED_WAIT_TRIES 2
#define QUEUE_WAIT_PERCENT 25
/* Use is counted over 2 s and known to entries some time later. */
#define BIN_US (100 * MS)
#define USE_BINS 20
#define BINS 128
#define LAG_MAX_MS 10000
/* Bursts last 6 s of each 20 s. */
#define BURST_PERIOD_US (20 * MMX_US_PER_S)
#define BURST_US (6 * MMX_US_PER_S)
/* Least share of an account, relative to the mean of all requests: the
 * requirement, and the aim. */
#define SHARE_REQUIRED 0.25
#define SHARE_AIM 0.8

typedef struct group_t {
	const char *name;
	int accounts;
	double limit;  /* of each account, requests per second */
	double demand; /* relative to the limit */
	uint8_t priority;
	mmx_time_t run_time; /* mean */
	mmx_time_t objective;
	/* Demand between bursts, relative to the limit; 0: no bursts, demand
	 * is constant. */
	double between;
} group_t;

typedef struct pattern_t {
	const char *name;
	group_t groups[GROUPS_MAX]; /* an unused one has no accounts */
} pattern_t;

static const pattern_t patterns_[] = {
	{"one account floods a service",
	 {{"usual", 30, 10, 0.9, 1, 100 * MS, 500 * MS, 0},
	  {"flood", 1, 160, 7.5, 1, 100 * MS, 500 * MS, 0}}},
	{"many small accounts beside two large ones",
	 {{"small", 40, 5, 1, 1, 100 * MS, 500 * MS, 0},
	  {"large", 2, 160, 2.5, 1, 100 * MS, 500 * MS, 0}}},
	{"two priorities",
	 {{"urgent", 10, 20, 0.9, 0, 100 * MS, 500 * MS, 0},
	  {"normal", 10, 20, 0.9, 1, 100 * MS, 500 * MS, 0},
	  {"normal, flood", 1, 100, 4, 1, 100 * MS, 500 * MS, 0}}},
	{"a burst of uploads beside reads",
	 {{"reads", 20, 15, 0.9, 1, 60 * MS, 500 * MS, 0},
	  {"uploads", 4, 10, 2, 1, 600 * MS, 3000 * MS, 0}}},
	{"a burst of one account in turn",
	 {{"usual", 30, 10, 0.7, 1, 100 * MS, 500 * MS, 0},
	  {"bursts", 1, 160, 7.5, 1, 100 * MS, 500 * MS, 0.5}}},
	{"all at their limit",
	 {{"limit 10", 10, 10, 1.5, 1, 100 * MS, 500 * MS, 0},
	  {"limit 30", 5, 30, 1.5, 1, 100 * MS, 500 * MS, 0},
	  {"limit 100", 2, 100, 1.5, 1, 100 * MS, 500 * MS, 0}}},
};

struct model_t;

/* Holds a second of the limit. */
typedef struct bucket_t {
	double tokens;
	mmx_time_t filled_at;
} bucket_t;

typedef struct account_t {
	struct model_t *model;
	const group_t *group;
	char name[16];
	mmx_timer_t arrival;
	bucket_t bucket;
	bucket_t entitled; /* no token is given back to it */
	int64_t bin;	   /* number of the latest bin */
	int taken[BINS];
	int within; /* requests within the limit */
	int served;
} account_t;

typedef struct request_t {
	account_t *account;
	mmx_timer_t run;
	uint64_t sequence; /* of the latest attempt */
	mmx_time_t deadline;
	int exit;
	int tries;
	uint32_t tried; /* bit mask of exits */
} request_t;

typedef struct model_t {
	mmx_runtime_t *runtime;
	mmx_clock_t *clock;
	mmx_random_t random;
	bool by_use; /* the use of the limit is sent */
	mmx_task_t client;
	mmx_task_t origin;
	mmx_exit_t *exits[EXITS];
	int load[EXITS]; /* attempts that the entries have sent */
	account_t *accounts;
	int account_count;
	GHashTable *requests; /* sequence of the attempt -> request_t */
	uint64_t sequence;    /* of the latest attempt: their number */
	int sent;	      /* requests */
} model_t;

/* Result of one group, or of all accounts. */
typedef struct share_t {
	double mean;   /* of all requests within the limits */
	double lowest; /* of an account */
	/* The lowest of an account, relative to the mean of its priority. */
	double lowest_of_priority;
} share_t;

typedef struct result_t {
	share_t all;
	share_t groups[GROUPS_MAX];
	double attempts; /* of a request, mean */
} result_t;

static gboolean as_json_;
static gint64 seed_ = 1;
static gint seconds_ = 60;
static gint lag_ms_ = 300;
static gint unknown_;

static const GOptionEntry entries_[] = {
	{"json", 0, 0, G_OPTION_ARG_NONE, &as_json_, "Print JSON", NULL},
	{"seed", 0, 0, G_OPTION_ARG_INT64, &seed_, "Seed", "N"},
	{"seconds", 0, 0, G_OPTION_ARG_INT, &seconds_, "Virtual time", "N"},
	{"lag", 0, 0, G_OPTION_ARG_INT, &lag_ms_, "Age of the use", "MS"},
	{"unknown", 0, 0, G_OPTION_ARG_INT, &unknown_, "Requests without a use",
	 "PERCENT"},
	{NULL},
};

static mmx_time_t exponential_(mmx_random_t *random, double mean)
{
	return (mmx_time_t)(-log(1 - mmx_random_unit(random)) * mean);
}

static void update_bins_(account_t *account)
{
	int64_t bin = mmx_clock_now(account->model->clock) / BIN_US;

	while (account->bin < bin)
		account->taken[++account->bin % BINS] = 0;
}

/* As the owner of the limit tells it, permille. */
static uint16_t use_(account_t *account)
{
	int lag = (int)(lag_ms_ * MS / BIN_US);
	int taken = 0;
	int i;

	if ((int)mmx_random_below(&account->model->random, 100) < unknown_)
		return 0;
	update_bins_(account);
	for (i = 0; i < USE_BINS; i++)
		taken += account->taken[(account->bin + BINS - lag - i) % BINS];
	return (uint16_t)CLAMP(1000.0 * taken /
				       (account->group->limit * USE_BINS *
					BIN_US / MMX_US_PER_S),
			       1, 1000);
}

static bool take_token_(bucket_t *bucket, double limit, mmx_time_t now)
{
	bucket->tokens +=
		limit * (double)(now - bucket->filled_at) / MMX_US_PER_S;
	bucket->tokens = MIN(bucket->tokens, limit);
	bucket->filled_at = now;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

static void give_back_(account_t *account)
{
	account->bucket.tokens += 1;
	update_bins_(account);
	account->taken[account->bin % BINS]--;
}

/* The less loaded of two random exits that were not tried yet. */
static int choose_exit_(model_t *model, const request_t *request)
{
	int best = -1;
	int i;
	int n;

	for (n = 0; n < 2;) {
		i = (int)mmx_random_below(&model->random, EXITS);
		if (request->tried & 1U << i)
			continue;
		n++;
		if (best < 0 || model->load[i] < model->load[best])
			best = i;
	}
	return best;
}

static void send_(model_t *model, request_t *request)
{
	const group_t *group = request->account->group;
	mmx_execute_t *execute = mmx_new_execute();

	request->exit = choose_exit_(model, request);
	request->tried |= 1U << request->exit;
	request->tries++;
	request->sequence = ++model->sequence;
	model->load[request->exit]++;
	g_hash_table_insert(model->requests, &request->sequence, request);
	execute->attempt = (mmx_attempt_id_t){.entry = ENTRY,
					      .incarnation = 1,
					      .sequence = request->sequence};
	execute->exit = (mmx_node_id_t)request->exit;
	execute->target = mmx_directory_id("node", "t");
	g_strlcpy(execute->service, "s", sizeof(execute->service));
	g_strlcpy(execute->account, request->account->name,
		  sizeof(execute->account));
	execute->repeatable = true;
	execute->priority = group->priority;
	execute->account_use = model->by_use ? use_(request->account) : 0;
	execute->objective = group->objective;
	execute->route = g_str_hash(group->name);
	execute->remaining = request->deadline - mmx_clock_now(model->clock);
	execute->max_wait =
		request->tries + UNLIMITED_WAIT_TRIES > TRIES_MAX
			? execute->remaining
			: MIN(execute->remaining,
			      group->objective * QUEUE_WAIT_PERCENT / 100);
	execute->head = mmx_head_create_request("GET", "/");
	execute->body_end = true;
	execute->origin.task = &model->origin;
	mmx_task_post(mmx_exit_task(model->exits[request->exit]),
		      &execute->message);
}

/* The target completes a call. */
static void on_run_(void *arg)
{
	request_t *request = arg;
	model_t *model = request->account->model;
	mmx_attempt_id_t id = {.entry = ENTRY,
			       .incarnation = 1,
			       .sequence = request->sequence};
	mmx_call_event_t *event = mmx_new_call_event(&id, MMX_CALL_HEAD);

	event->head = mmx_head_create_response(200);
	event->body_end = true;
	mmx_task_post(mmx_exit_task(model->exits[request->exit]),
		      &event->message);
}

static double demand_(const group_t *group, mmx_time_t now)
{
	if (group->between > 0 && now % BURST_PERIOD_US >= BURST_US)
		return group->between;
	return group->demand;
}

static void on_arrival_(void *arg)
{
	account_t *account = arg;
	model_t *model = account->model;
	const group_t *group = account->group;
	mmx_time_t now = mmx_clock_now(model->clock);
	request_t *request;

	mmx_timer_set(&account->arrival,
		      exponential_(&model->random,
				   MMX_US_PER_S / (group->limit *
						   demand_(group, now))));
	account->within += take_token_(&account->entitled, group->limit, now);
	if (!take_token_(&account->bucket, group->limit, now))
		return;
	update_bins_(account);
	account->taken[account->bin % BINS]++;
	model->sent++;
	request = g_new0(request_t, 1);
	request->account = account;
	request->deadline = now + 2 * group->objective;
	mmx_timer_init(&request->run, model->clock, on_run_, request);
	send_(model, request);
}

static request_t *find_(model_t *model, const mmx_attempt_id_t *id)
{
	return g_hash_table_lookup(model->requests, &id->sequence);
}

static void end_(request_t *request)
{
	mmx_timer_cancel(&request->run);
	g_free(request);
}

static void on_response_(model_t *model, const mmx_response_t *response)
{
	request_t *request = find_(model, &response->attempt);
	account_t *account = request->account;

	model->load[request->exit]--;
	g_hash_table_remove(model->requests, &request->sequence);
	if (response->reason == MMX_REASON_NONE) {
		account->served++;
	} else if (!response->started && request->tries < TRIES_MAX &&
		   request->deadline > mmx_clock_now(model->clock)) {
		send_(model, request);
		return;
	} else if (!response->started) {
		give_back_(account);
	}
	end_(request);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	model_t *model;
	request_t *request;

	if (message->ops->kind == MMX_MESSAGE_CALL) {
		model = (model_t *)((char *)task - offsetof(model_t, client));
		request = find_(model, &((mmx_call_t *)message)->attempt);
		/* Uniform from half to one and a half of the mean. */
		mmx_timer_set(
			&request->run,
			(mmx_time_t)((0.5 + mmx_random_unit(&model->random)) *
				     (double)request->account->group
					     ->run_time));
	} else if (message->ops->kind == MMX_MESSAGE_RESPONSE) {
		model = (model_t *)((char *)task - offsetof(model_t, origin));
		on_response_(model, (mmx_response_t *)message);
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"model", handle_};

static void create_exits_(model_t *model)
{
	mmx_target_announced_t *announced;
	int i;

	for (i = 0; i < EXITS; i++) {
		model->exits[i] = mmx_exit_create(model->runtime,
						  (mmx_node_id_t)i, "node", 1);
		mmx_exit_set_target_client(model->exits[i], &model->client);
		mmx_exit_init(model->exits[i]);
		announced = mmx_new_target_announced();
		g_strlcpy(announced->name, "t", sizeof(announced->name));
		g_strlcpy(announced->service, "s", sizeof(announced->service));
		announced->slots = SLOTS;
		announced->state = MMX_TARGET_WARM;
		announced->lease = 24 * 3600 * MMX_US_PER_S;
		mmx_task_post(mmx_exit_task(model->exits[i]),
			      &announced->message);
	}
}

static void create_accounts_(model_t *model, const pattern_t *pattern)
{
	account_t *account;
	int group;
	int i;

	for (group = 0; group < GROUPS_MAX; group++)
		model->account_count += pattern->groups[group].accounts;
	account = model->accounts = g_new0(account_t, model->account_count);
	for (group = 0; group < GROUPS_MAX; group++)
		for (i = 0; i < pattern->groups[group].accounts; i++) {
			account->model = model;
			account->group = &pattern->groups[group];
			account->bucket.tokens = account->group->limit;
			account->entitled = account->bucket;
			g_snprintf(account->name, sizeof(account->name),
				   "%d-%d", group, i);
			mmx_timer_init(&account->arrival, model->clock,
				       on_arrival_, account);
			mmx_timer_set(&account->arrival,
				      exponential_(&model->random, BIN_US));
			account++;
		}
}

static void free_request_(gpointer key, gpointer value, gpointer data)
{
	end_(value);
}

static void destroy_(model_t *model)
{
	int i;

	g_hash_table_foreach(model->requests, free_request_, NULL);
	g_hash_table_destroy(model->requests);
	for (i = 0; i < model->account_count; i++)
		mmx_timer_cancel(&model->accounts[i].arrival);
	g_free(model->accounts);
	for (i = 0; i < EXITS; i++)
		mmx_exit_destroy(model->exits[i]);
	mmx_task_finish(&model->client);
	mmx_task_finish(&model->origin);
	mmx_runtime_destroy(model->runtime);
}

/* Mean share of the accounts of a group, of a priority, or of all. */
static double mean_(const model_t *model, const group_t *group, int priority)
{
	const account_t *account;
	double served = 0;
	double within = 0;
	int i;

	for (i = 0; i < model->account_count; i++) {
		account = &model->accounts[i];
		if ((group && account->group != group) ||
		    (priority >= 0 && account->group->priority != priority))
			continue;
		within += account->within;
		served += account->served;
	}
	return served / within;
}

/* Share of the accounts of a group, or of all accounts with group NULL. */
static share_t share_(const model_t *model, const group_t *group)
{
	share_t share = {mean_(model, group, -1), 1, 1};
	const account_t *account;
	double of_account;
	int i;

	for (i = 0; i < model->account_count; i++) {
		account = &model->accounts[i];
		if (group && account->group != group)
			continue;
		of_account = (double)account->served / account->within;
		share.lowest = MIN(share.lowest, of_account);
		of_account /= mean_(model, NULL, account->group->priority);
		share.lowest_of_priority =
			MIN(share.lowest_of_priority, of_account);
	}
	return share;
}

static result_t run_(const pattern_t *pattern, bool by_use)
{
	model_t model = {.by_use = by_use};
	mmx_time_t end = seconds_ * MMX_US_PER_S;
	result_t result;
	int i;

	mmx_random_seed(&model.random, (uint64_t)seed_);
	model.runtime = mmx_runtime_create(NULL);
	model.clock = mmx_runtime_clock(model.runtime);
	model.requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	mmx_task_init(&model.client, &ops_, model.runtime);
	mmx_task_init(&model.origin, &ops_, model.runtime);
	create_exits_(&model);
	create_accounts_(&model, pattern);
	do {
		mmx_runtime_deliver(model.runtime);
		mmx_clock_advance(model.clock,
				  mmx_clock_next(model.clock) -
					  mmx_clock_now(model.clock));
	} while (mmx_clock_now(model.clock) < end);
	result.all = share_(&model, NULL);
	for (i = 0; i < GROUPS_MAX; i++)
		if (pattern->groups[i].accounts > 0)
			result.groups[i] = share_(&model, &pattern->groups[i]);
	result.attempts = (double)model.sequence / model.sent;
	destroy_(&model);
	return result;
}

static void print_(const pattern_t *pattern, const result_t *without,
		   const result_t *with)
{
	const group_t *group;
	int i;

	printf("%s\n", pattern->name);
	printf("  %-16s %8s %8s %8s %8s\n", "", "mean", "lowest", "mean",
	       "lowest");
	for (i = 0; i < GROUPS_MAX; i++) {
		group = &pattern->groups[i];
		if (group->accounts > 0)
			printf("  %-16s %8.2f %8.2f %8.2f %8.2f\n", group->name,
			       without->groups[i].mean,
			       without->groups[i].lowest, with->groups[i].mean,
			       with->groups[i].lowest);
	}
	printf("  %-16s %8.2f %8.2f %8.2f %8.2f\n", "all", without->all.mean,
	       without->all.lowest, with->all.mean, with->all.lowest);
	printf("  %-16s %8s %8.2f %8s %8.2f\n", "lowest / mean", "",
	       without->all.lowest / without->all.mean, "",
	       with->all.lowest / with->all.mean);
	printf("  %-16s %8s %8.2f %8s %8.2f\n", "in its priority", "",
	       without->all.lowest_of_priority, "",
	       with->all.lowest_of_priority);
	printf("  %-16s %8.2f %8s %8.2f\n", "attempts", without->attempts, "",
	       with->attempts);
}

static json_t *to_json_(const share_t *share)
{
	return json_pack("{s:f,s:f,s:f}", "mean", share->mean, "lowest",
			 share->lowest, "lowest_of_priority",
			 share->lowest_of_priority);
}

static void add_json_(json_t *root, const pattern_t *pattern,
		      const result_t *without, const result_t *with)
{
	json_object_set_new(root, pattern->name,
			    json_pack("{s:o,s:o}", "without",
				      to_json_(&without->all), "with",
				      to_json_(&with->all)));
}

static bool parse_(int argc, char **argv)
{
	if (!bench_parse_options(argc, argv,
				 "- measure fairness among accounts", entries_))
		return false;
	if (seconds_ < 1 || lag_ms_ < 0 || lag_ms_ > LAG_MAX_MS) {
		fprintf(stderr, "seconds must be above 0, lag 0 to %d\n",
			LAG_MAX_MS);
		return false;
	}
	return true;
}

int main(int argc, char **argv)
{
	json_t *root = json_object();
	double ratio = 1;
	double of_priority = 1;
	result_t without;
	result_t with;
	size_t i;

	if (!parse_(argc, argv))
		return 2;
	if (!as_json_)
		printf("served share of requests within the limit: without "
		       "the order, with it\n");
	for (i = 0; i < G_N_ELEMENTS(patterns_); i++) {
		without = run_(&patterns_[i], false);
		with = run_(&patterns_[i], true);
		ratio = MIN(ratio, with.all.lowest / with.all.mean);
		of_priority = MIN(of_priority, with.all.lowest_of_priority);
		if (as_json_)
			add_json_(root, &patterns_[i], &without, &with);
		else
			print_(&patterns_[i], &without, &with);
	}
	if (as_json_) {
		json_object_set_new(root, "lowest_to_mean", json_real(ratio));
		json_object_set_new(root, "lowest_to_mean_of_priority",
				    json_real(of_priority));
		json_dumpf(root, stdout, JSON_INDENT(1));
		printf("\n");
	} else {
		printf("lowest account to mean: %.2f of all, required %.2f: "
		       "%s; %.2f of its priority, aim %.2f: %s\n",
		       ratio, SHARE_REQUIRED,
		       ratio >= SHARE_REQUIRED ? "met" : "missed", of_priority,
		       SHARE_AIM, of_priority >= SHARE_AIM ? "met" : "missed");
	}
	json_decref(root);
	return 0;
}
