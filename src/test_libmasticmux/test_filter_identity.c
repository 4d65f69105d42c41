#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "config_support.h"
#include "fakes.h"
#include "private/entry.h"

#define NODE 10
#define KEY_256                                                            \
	"kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk" \
	"kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk" \
	"kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk" \
	"kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk"

/* Replaces the exits and the HTTP task: records the head that a target would
 * receive, and the refusal. */
typedef struct recorder_t {
	mmx_task_t task;
	mmx_head_t *head;
	uint8_t priority;
	char account[MMX_NAME_MAX + 1];
	mmx_reason_t reason;
	int status;
	char *challenge;
} recorder_t;

typedef struct fixture_t {
	mmx_runtime_t *runtime;
	mmx_config_state_t *state;
	const mmx_config_state_t *active_state;
	mmx_directory_t *directory;
	mmx_counters_t *counters;
	mmx_entry_t *entry;
	recorder_t recorder;
	uint64_t requests;
} fixture_t;

static const mmx_header_names_t names_ = {
	.timeout = "Masticmux-Timeout-Ms",
	.account = "Masticmux-Tenant",
};

static void record_(mmx_task_t *task, mmx_message_t *message)
{
	recorder_t *recorder = (recorder_t *)task;

	if (message->ops->kind == MMX_MESSAGE_EXECUTE) {
		mmx_execute_t *execute = (mmx_execute_t *)message;

		recorder->head = mmx_head_copy(execute->head);
		recorder->priority = execute->priority;
		g_strlcpy(recorder->account, execute->account,
			  sizeof(recorder->account));
	} else if (message->ops->kind == MMX_MESSAGE_ANSWER) {
		mmx_answer_t *answer = (mmx_answer_t *)message;

		recorder->status = answer->head->status;
		recorder->reason = answer->reason;
		recorder->challenge = g_strdup(
			mmx_head_find(answer->head, "WWW-Authenticate"));
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t recorder_ops_ = {"recorder", record_};

typedef struct account_key_t {
	const char *account; /* NULL: end of the list */
	const char *key;
} account_key_t;

static void add_key_(mmx_routing_table_t *routing, const char *account,
		     const char *key)
{
	mmx_routing_add_key(routing, mmx_routing_add_account(routing, account),
			    key, strlen(key));
}

/* Puts a version into force: routes /a/ and /open/, the latter public. */
static void configure_(fixture_t *fixture, uint64_t version, bool requires_key,
		       const account_key_t *keys)
{
	mmx_policy_t policy = {.deadline = MMX_US_PER_S};
	mmx_routing_table_t *routing = mmx_routing_create(version);
	mmx_routing_rule_t *rule =
		mmx_routing_add_route(routing, "s.test", "/a/");
	mmx_routing_account_t *account;

	rule->timeout = MMX_US_PER_S;
	rule->priority = 5;
	mmx_routing_add_destination(rule, "s", 1);
	rule = mmx_routing_add_route(routing, "s.test", "/open/");
	rule->timeout = MMX_US_PER_S;
	rule->priority = 5;
	rule->is_public = true;
	mmx_routing_add_destination(rule, "s", 1);
	if (requires_key)
		mmx_routing_set_requires_key(routing);
	for (; keys && keys->account; keys++)
		add_key_(routing, keys->account, keys->key);
	if (keys) {
		account = mmx_routing_add_account(routing, "gold");
		account->has_priority = true;
		account->priority = 2;
	}
	CU_ASSERT_TRUE(
		mmx_config_state_replace(fixture->state, routing, &policy));
	fixture->active_state = fixture->state;
}

static void set_up_(fixture_t *fixture, const mmx_header_names_t *names)
{
	*fixture = (fixture_t){.runtime = mmx_runtime_create(NULL)};
	fixture->state = mmx_config_state_create();
	fixture->directory =
		mmx_directory_create(mmx_runtime_clock(fixture->runtime));
	fixture->counters = mmx_counters_create();
	fixture->entry = mmx_entry_create(fixture->runtime, NODE, 1, 1);
	mmx_task_init(&fixture->recorder.task, &recorder_ops_,
		      fixture->runtime);
	mmx_entry_set_http(fixture->entry, &fixture->recorder.task);
	mmx_entry_set_local_exit(fixture->entry, &fixture->recorder.task);
	mmx_entry_set_config_state(fixture->entry, &fixture->active_state);
	mmx_entry_set_directory(fixture->entry, fixture->directory);
	mmx_entry_set_counters(fixture->entry, fixture->counters);
	mmx_entry_set_header_names(fixture->entry, names, NULL);
	mmx_entry_init(fixture->entry);
	fake_add_targets(fixture->directory, NODE, 1);
}

static void reset_(recorder_t *recorder)
{
	mmx_head_destroy(recorder->head);
	g_free(recorder->challenge);
	recorder->head = NULL;
	recorder->challenge = NULL;
	recorder->status = 0;
	recorder->reason = MMX_REASON_NONE;
}

static void tear_down_(fixture_t *fixture)
{
	reset_(&fixture->recorder);
	mmx_entry_destroy(fixture->entry);
	mmx_counters_destroy(fixture->counters);
	mmx_directory_destroy(fixture->directory);
	mmx_config_state_destroy(fixture->state);
	mmx_runtime_destroy(fixture->runtime);
}

/* Sends a request; headers are lines "Name: value". The caller gives up at once
 * after the attempt, so that the only slot is free again. */
static const recorder_t *send_(fixture_t *fixture, const char *path,
			       const char *headers)
{
	mmx_request_t *request = mmx_new_request(++fixture->requests);
	char **lines = g_strsplit(headers, "\n", -1);
	size_t i;

	reset_(&fixture->recorder);
	request->head = mmx_head_create_request("POST", path);
	mmx_head_add(request->head, "Host", "s.test");
	for (i = 0; lines[i] && lines[i][0]; i++) {
		char **parts = g_strsplit(lines[i], ": ", 2);

		mmx_head_add(request->head, parts[0], parts[1]);
		g_strfreev(parts);
	}
	g_strfreev(lines);
	request->body_end = true;
	mmx_task_post(mmx_entry_task(fixture->entry), &request->message);
	mmx_runtime_deliver(fixture->runtime);
	mmx_task_post(mmx_entry_task(fixture->entry),
		      &mmx_new_caller_gone(fixture->requests)->message);
	mmx_runtime_deliver(fixture->runtime);
	return &fixture->recorder;
}

/* Names the account that a target was told, "none", or the status. */
static const char *result_(const recorder_t *recorder)
{
	static char text[MMX_NAME_MAX + 1];
	const char *told;

	if (!recorder->head) {
		g_snprintf(text, sizeof(text), "%d", recorder->status);
		return text;
	}
	told = mmx_head_find(recorder->head, "Masticmux-Tenant");
	g_strlcpy(text, told ? told : "none", sizeof(text));
	CU_ASSERT_STRING_EQUAL(recorder->account, told ? told : "");
	return text;
}

static size_t count_headers_(const mmx_head_t *head, const char *name)
{
	const mmx_header_t *header;
	size_t count = 0;

	STAILQ_FOREACH (header, &head->headers, entry)
		count += g_ascii_strcasecmp(header->name, name) == 0;
	return count;
}

typedef struct key_case_t {
	const char *path;
	const char *headers;
	const char *result;
	const char *fault; /* label of the counter; or NULL */
} key_case_t;

#define BEARER "Authorization: Bearer "

static const key_case_t key_cases_[] = {
	{"/a/", BEARER "g-1", "gold", NULL},
	{"/a/", "authorization: bearer g-2", "gold", NULL},
	{"/a/", "AUTHORIZATION: Bearer  i-1", "iron", NULL},
	{"/a/", BEARER KEY_256, "long", NULL},
	{"/a/", "", "401", "missing"},
	{"/a/", BEARER "x", "401", "unknown"},
	{"/a/", BEARER "g-", "401", "unknown"},
	{"/a/", BEARER "G-1", "401", "unknown"},
	{"/a/", BEARER "shared", "401", "unknown"},
	{"/a/", BEARER, "401", "malformed"},
	{"/a/", "Authorization: ", "401", "malformed"},
	{"/a/", "Authorization: g-1", "401", "malformed"},
	{"/a/", "Authorization: Basic g-1", "401", "malformed"},
	{"/a/", BEARER "g-1 x", "401", "malformed"},
	{"/a/", "Authorization: Bearer\tg-1", "401", "malformed"},
	{"/a/", BEARER "g-1, Bearer g-1", "401", "malformed"},
	{"/a/", BEARER KEY_256 "k", "401", "oversized"},
	{"/a/", BEARER "g-1\n" BEARER "g-1", "401", "duplicate"},
	{"/a/", BEARER "g-1\nauthorization: x", "401", "duplicate"},
	{"/a/", "Masticmux-Account: gold", "401", "missing"},
	{"/a/", "Masticmux-Account: gold\n" BEARER "i-1", "iron", NULL},
	{"/a/", "Masticmux-Tenant: gold", "401", "missing"},
	{"/a/", "Masticmux_Tenant: gold\nMasticmux-tenant: x\n" BEARER "i-1",
	 "iron", NULL},
	{"/a/", "Masticmux-Tenant: gold\nMASTICMUX-TENANT: one\n" BEARER "i-1",
	 "iron", NULL},
	{"/open/", "", "none", NULL},
	{"/open/", BEARER "i-1", "iron", NULL},
	{"/open/", BEARER "x", "none", NULL},
	{"/open/", "Authorization: Basic i-1", "none", NULL},
	{"/open/", "masticmux-tenant: gold", "none", NULL},
	{"/open/", "Masticmux-Account: gold", "none", NULL},
	{"/open/", BEARER "i-1\n" BEARER "i-1", "none", NULL},
	{"/b/", "", "404", NULL},
	{"/b/", BEARER "x", "404", NULL},
};

static void check_forwarded_(const recorder_t *recorder, const char *account)
{
	CU_ASSERT_EQUAL(count_headers_(recorder->head, "Authorization"), 0);
	CU_ASSERT_TRUE(count_headers_(recorder->head, "Masticmux-Tenant") <= 1);
	CU_ASSERT_EQUAL(count_headers_(recorder->head, "Masticmux_Tenant"), 0);
	CU_ASSERT_EQUAL(recorder->priority,
			strcmp(account, "gold") == 0 ? 2 : 5);
}

static void check_case_(fixture_t *fixture, const key_case_t *c)
{
	char label[40];
	const recorder_t *recorder;
	const char *result;
	const mmx_counter_t *counter;
	int64_t before;

	g_snprintf(label, sizeof(label), "reason=\"%s\"",
		   c->fault ? c->fault : "missing");
	counter = mmx_counters_get(fixture->counters, MMX_COUNTER,
				   "masticmux_key_refusals_total", label, "");
	before = counter->value;
	recorder = send_(fixture, c->path, c->headers);
	result = result_(recorder);
	CU_ASSERT_STRING_EQUAL(result, c->result);
	if (strcmp(result, c->result) != 0)
		printf("\n%s: %s\n", c->headers, result);
	CU_ASSERT_EQUAL(counter->value - before, c->fault != NULL);
	if (recorder->head) {
		check_forwarded_(recorder, result);
		return;
	}
	CU_ASSERT_EQUAL(recorder->reason, c->fault
						  ? MMX_REASON_INVALID_KEY
						  : MMX_REASON_UNKNOWN_SERVICE);
	CU_ASSERT_EQUAL(g_strcmp0(recorder->challenge, "Bearer") == 0,
			c->fault != NULL);
}

/* Guards against requests that run without a valid key or as another account,
 * and against keys that are refused or reach a target. */
static void test_keys_(void)
{
	static const account_key_t keys[] = {
		{"gold", "g-1"},   {"gold", "g-2"},   {"iron", "i-1"},
		{"long", KEY_256}, {"one", "shared"}, {"two", "shared"},
		{NULL, NULL},
	};
	fixture_t fixture;
	size_t i;

	set_up_(&fixture, &names_);
	configure_(&fixture, 1, true, keys);
	for (i = 0; i < G_N_ELEMENTS(key_cases_); i++)
		check_case_(&fixture, &key_cases_[i]);
	tear_down_(&fixture);
}

/* Guards against a 401 where there is no configuration or no route, and against
 * keys that remain valid, or become valid, with the wrong version. */
static void test_versions_(void)
{
	static const account_key_t first[] = {
		{"gold", "g-1"}, {"iron", "i-1"}, {NULL, NULL}};
	static const account_key_t second[] = {
		{"gold", "g-2"}, {"iron", "i-1"}, {NULL, NULL}};
	static const account_key_t none[] = {{NULL, NULL}};
	fixture_t fixture;
	const recorder_t *recorder;

	set_up_(&fixture, &names_);
	CU_ASSERT_STRING_EQUAL(result_(send_(&fixture, "/a/", "")), "503");
	configure_(&fixture, 1, true, first);
	CU_ASSERT_STRING_EQUAL(result_(send_(&fixture, "/a/", BEARER "g-1")),
			       "gold");
	CU_ASSERT_STRING_EQUAL(result_(send_(&fixture, "/a/", BEARER "g-2")),
			       "401");
	configure_(&fixture, 2, true, second);
	CU_ASSERT_STRING_EQUAL(result_(send_(&fixture, "/a/", BEARER "g-1")),
			       "401");
	CU_ASSERT_STRING_EQUAL(result_(send_(&fixture, "/a/", BEARER "g-2")),
			       "gold");
	CU_ASSERT_STRING_EQUAL(result_(send_(&fixture, "/a/", BEARER "i-1")),
			       "iron");
	configure_(&fixture, 3, true, none);
	CU_ASSERT_STRING_EQUAL(result_(send_(&fixture, "/a/", BEARER "i-1")),
			       "401");
	configure_(&fixture, 4, false, NULL);
	recorder = send_(&fixture, "/a/", BEARER "i-1\nMASTICMUX-tenant: iron");
	CU_ASSERT_STRING_EQUAL(result_(recorder), "none");
	CU_ASSERT_STRING_EQUAL(mmx_head_find(recorder->head, "Authorization"),
			       "Bearer i-1");
	tear_down_(&fixture);
}

/* Guards against headers that are changed, or keys that are asked for, where
 * neither the configuration nor the header names call for it. */
static void test_without_accounts_(void)
{
	fixture_t fixture;
	const recorder_t *recorder;

	set_up_(&fixture, &mmx_header_names_default);
	configure_(&fixture, 1, false, NULL);
	recorder = send_(&fixture, "/a/",
			 "Authorization: Basic x\nMasticmux-Tenant: t");
	CU_ASSERT_PTR_NOT_NULL_FATAL(recorder->head);
	CU_ASSERT_STRING_EQUAL(mmx_head_find(recorder->head, "Authorization"),
			       "Basic x");
	CU_ASSERT_STRING_EQUAL(
		mmx_head_find(recorder->head, "Masticmux-Tenant"), "t");
	CU_ASSERT_STRING_EQUAL(recorder->account, "");
	tear_down_(&fixture);
}

/* Guards against keys of published accounts that are not asked for, and against
 * a caller that names another account to the target: with the project's own
 * header names, Masticmux-Account is the header that tells it. */
static void test_published_accounts_(void)
{
	static const char *const routes[] = {"s.test/", "+s.test/open", NULL};
	static const char *const keys[] = {"k-1", NULL};
	const char *name = "Masticmux-Account";
	const recorder_t *recorder;
	fixture_t fixture;

	set_up_(&fixture, &mmx_header_names_default);
	fixture.active_state = fixture.state;
	test_apply(fixture.state, test_template_record("1", "web", 0));
	test_apply(fixture.state,
		   test_service_record("2", "s", 0, "web", routes));
	test_apply(fixture.state, test_account_record("3", "iron", 0, 0));
	recorder = send_(&fixture, "/", "Masticmux-Account: iron");
	CU_ASSERT_STRING_EQUAL(recorder->account, "iron");
	test_apply(fixture.state, test_keys_record("4", "gold", 0, keys));
	recorder = send_(&fixture, "/", "Masticmux-Account: iron");
	CU_ASSERT_EQUAL(recorder->status, 401);
	recorder = send_(&fixture, "/open", "MASTICMUX-account: iron");
	CU_ASSERT_PTR_NOT_NULL_FATAL(recorder->head);
	CU_ASSERT_EQUAL(count_headers_(recorder->head, name), 0);
	CU_ASSERT_STRING_EQUAL(recorder->account, "");
	recorder = send_(&fixture, "/",
			 "Masticmux-Account: iron\nAuthorization: Bearer k-1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(recorder->head);
	CU_ASSERT_EQUAL(count_headers_(recorder->head, name), 1);
	CU_ASSERT_STRING_EQUAL(mmx_head_find(recorder->head, name), "gold");
	CU_ASSERT_STRING_EQUAL(recorder->account, "gold");
	CU_ASSERT_EQUAL(recorder->priority, 2);
	tear_down_(&fixture);
}

CU_TestInfo mmx_tests_filter_identity[] = {
	{"keys and headers", test_keys_},
	{"versions that withdraw and add keys", test_versions_},
	{"no accounts", test_without_accounts_},
	{"published accounts", test_published_accounts_},
	CU_TEST_INFO_NULL,
};
