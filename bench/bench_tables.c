/*
 * Tables of the design size for a real node, used by bench/full_tables.sh.
 *
 *   build/bench/bench_tables --records=DIR
 *   build/bench/bench_tables --fleet=ADDRESS
 *   build/bench/bench_tables --dial=ADDRESS --connections=N
 *
 * The first form writes the full configuration as records of the stream
 * "config", one file each. The second takes the place of the fleet until
 * SIGTERM: one peer with the whole directory answers DIRECTORY_SYNC by TCP,
 * and all other members share its address. They answer probes, probe the node
 * and send it NEWS as often as a fleet would, with updates of members that
 * restart. They have no TCP identity, so a DIRECTORY_SYNC with one of them
 * fails. The third opens connections to a node, each as a peer of its own,
 * until SIGTERM. Without a mode it does nothing.
 */
#include <arpa/inet.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "masticmux/change.h"
#include "masticmux/membership.h"
#include "private/peer.h"

#define SERVICES_PER_RECORD 50
#define ACCOUNTS_PER_RECORD 1000
#define ROUTES_PER_HOST 3
#define REGIONS 5
#define ZONES 16
/* NEWS that one member receives: every member sends one per 200 ms. */
#define NEWS_PERIOD (200 * MMX_US_PER_MS)
#define PING_PERIOD MMX_US_PER_S
/* 8,000 restarts and 330 failures a day. */
#define RESTART_PERIOD (86400 * MMX_US_PER_S / 8330)
/* An update reaches a member 19 (members) or 11 (targets) times at 4,200. A
 * restart every 10.4 s with 13 targets makes 14 target updates a second, in
 * 6 datagrams a second. */
#define TARGETS_PER_DATAGRAM 2
#define RECENT_TARGETS 16

static gchar *records_;
static gchar *address_;
static gint routes_ = 72000;
static gint services_ = 2200;
static gint accounts_ = 230000;
static gint members_ = 4200;
static gint targets_ = 53000;
static gchar *dial_;
static gint connections_ = 500;

static const GOptionEntry entries_[] = {
	{"records", 0, 0, G_OPTION_ARG_FILENAME, &records_,
	 "Write the configuration as records", "DIR"},
	{"fleet", 0, 0, G_OPTION_ARG_STRING, &address_,
	 "Take the place of the fleet", "ADDRESS"},
	{"dial", 0, 0, G_OPTION_ARG_STRING, &dial_, "Connect to a node",
	 "ADDRESS"},
	{"connections", 0, 0, G_OPTION_ARG_INT, &connections_, "Connections",
	 "N"},
	{"routes", 0, 0, G_OPTION_ARG_INT, &routes_, "Routes", "N"},
	{"services", 0, 0, G_OPTION_ARG_INT, &services_, "Services", "N"},
	{"accounts", 0, 0, G_OPTION_ARG_INT, &accounts_, "Accounts", "N"},
	{"members", 0, 0, G_OPTION_ARG_INT, &members_, "Members", "N"},
	{"targets", 0, 0, G_OPTION_ARG_INT, &targets_, "Targets", "N"},
	{NULL},
};

/* --- records of the configuration -------------------------------------- */

static void write_record_(mmx_change_t *change)
{
	static int number_;
	char *path = g_strdup_printf("%s/%05d.json", records_, ++number_);
	char *text;

	g_snprintf(change->id, sizeof(change->id), "tables-%d", number_);
	g_strlcpy(change->publisher, "bench", sizeof(change->publisher));
	text = mmx_change_to_json(change, NULL);
	if (strlen(text) > MMX_CHANGE_RECORD_MAX ||
	    !g_file_set_contents(path, text, -1, NULL)) {
		fprintf(stderr, "cannot write %s\n", path);
		exit(1);
	}
	mmx_change_destroy(change);
	g_free(text);
	g_free(path);
}

static void add_service_(mmx_change_t *change, int service)
{
	mmx_change_service_t *entry;
	char name[64];
	char host[64];
	int route;

	g_snprintf(name, sizeof(name), "service-%d", service);
	entry = mmx_change_add_service(change, name);
	g_strlcpy(entry->template_name, "web", sizeof(entry->template_name));
	for (route = service; route < routes_; route += services_) {
		g_snprintf(host, sizeof(host), "host-%d.shop.example",
			   route / ROUTES_PER_HOST);
		g_snprintf(name, sizeof(name), "/v%d/area-%d",
			   route % ROUTES_PER_HOST, route % 100);
		mmx_change_add_route(entry, host, name);
	}
}

static void write_records_(void)
{
	mmx_change_t *change = mmx_change_create();
	char name[64];
	int i;

	mmx_change_add_template(change, "web")->policy.deadline = MMX_US_PER_S;
	for (i = 0; i < services_; i++) {
		if (i % SERVICES_PER_RECORD == 0) {
			write_record_(change);
			change = mmx_change_create();
		}
		add_service_(change, i);
	}
	for (i = 0; i < accounts_; i++) {
		if (i % ACCOUNTS_PER_RECORD == 0) {
			write_record_(change);
			change = mmx_change_create();
		}
		g_snprintf(name, sizeof(name), "account-%d", i);
		mmx_change_add_account(change, name);
	}
	write_record_(change);
}

/* --- the fleet --------------------------------------------------------- */

typedef struct fleet_t {
	mmx_peer_resolver_t resolver; /* first */
	struct event_base *base;
	mmx_runtime_t *runtime;
	mmx_clock_t *clock;
	mmx_random_t random;
	mmx_counters_t *counters;
	mmx_directory_t *directory;
	mmx_membership_t *membership;
	mmx_peer_t *peer;
	mmx_task_t sink;
	mmx_address_t address;
	mmx_gossip_message_t *received;
	mmx_member_t *members; /* [0] is the one with the directory */
	GHashTable *by_id;
	mmx_target_record_t recent[RECENT_TARGETS];
	size_t recent_count;
	mmx_member_t restarted;
	int dialed;
	evutil_socket_t fd;
	struct sockaddr_in node; /* address of the measured node */
	mmx_node_id_t node_id;	 /* 0: not seen yet */
	uint64_t sequence;
	mmx_timer_t news;
	mmx_timer_t ping;
	mmx_timer_t restart;
} fleet_t;

/* The key that scripts/lib.sh writes into settings. */
static const mmx_fleet_key_t key_ = {.id = "demo", .secret = {[31] = 7}};

static void transmit_(fleet_t *fleet, mmx_gossip_message_t *message,
		      const struct sockaddr_in *to)
{
	uint8_t data[MMX_DATAGRAM_MAX];
	size_t size;

	message->sequence = ++fleet->sequence;
	size = mmx_gossip_encode(message, &key_, data);
	if (size == 0 || sendto(fleet->fd, data, size, 0,
				(const struct sockaddr *)to, sizeof(*to)) < 0)
		perror("sendto");
}

static void send_(void *arg, const mmx_address_t *to,
		  mmx_gossip_message_t *message)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(to->port)};

	inet_pton(AF_INET, to->host, &address.sin_addr);
	transmit_(arg, message, &address);
}

static const mmx_membership_ops_t ops_ = {.send = send_};

static mmx_gossip_message_t *message_(fleet_t *fleet, const mmx_member_t *from,
				      mmx_gossip_procedure_t procedure)
{
	mmx_gossip_message_t *message = g_new0(mmx_gossip_message_t, 1);

	message->procedure = procedure;
	message->sender = from->id;
	message->incarnation = from->incarnation;
	message->recipient = fleet->node_id;
	message->ages.confirmed = MMX_TIME_NEVER;
	message->ages.reader = MMX_TIME_NEVER;
	return message;
}

/* Any member but the first, whose own sequence numbers come by send_(). */
static mmx_member_t *random_member_(fleet_t *fleet)
{
	return &fleet->members[1 + mmx_random_below(&fleet->random,
						    (uint64_t)members_ - 1)];
}

static void add_updates_(fleet_t *fleet, mmx_gossip_message_t *message)
{
	size_t i;

	if (fleet->recent_count == 0)
		return;
	message->members[message->member_count++] = fleet->restarted;
	for (i = 0; i < TARGETS_PER_DATAGRAM; i++)
		message->targets[message->target_count++] =
			fleet->recent[mmx_random_below(&fleet->random,
						       fleet->recent_count)];
}

static void send_as_member_(fleet_t *fleet, mmx_gossip_procedure_t procedure)
{
	mmx_gossip_message_t *message =
		message_(fleet, random_member_(fleet), procedure);

	message->xid = (uint32_t)fleet->sequence;
	add_updates_(fleet, message);
	transmit_(fleet, message, &fleet->node);
	g_free(message);
}

static void on_news_(void *arg)
{
	fleet_t *fleet = arg;

	mmx_timer_set(&fleet->news, NEWS_PERIOD);
	if (fleet->node_id && fleet->recent_count)
		send_as_member_(fleet, MMX_GOSSIP_NEWS);
}

static void on_ping_(void *arg)
{
	fleet_t *fleet = arg;

	mmx_timer_set(&fleet->ping, PING_PERIOD);
	if (fleet->node_id)
		send_as_member_(fleet, MMX_GOSSIP_PING);
}

static void target_record_(const fleet_t *fleet, int target,
			   mmx_target_record_t *record)
{
	const mmx_member_t *member = &fleet->members[target % members_];

	memset(record, 0, sizeof(*record));
	g_snprintf(record->name, sizeof(record->name), "target-%d", target);
	g_snprintf(record->service, sizeof(record->service), "service-%d",
		   target % services_);
	record->id = mmx_directory_id(member->name, record->name);
	record->node = member->id;
	record->incarnation = member->incarnation;
	record->version = 1;
	record->slots = 3;
	record->state = MMX_TARGET_WARM;
}

static void on_restart_(void *arg)
{
	fleet_t *fleet = arg;
	mmx_gossip_message_t *message;
	mmx_member_t *member;
	int target;

	mmx_timer_set(&fleet->restart, RESTART_PERIOD);
	if (!fleet->node_id)
		return;
	member = random_member_(fleet);
	member->incarnation += MMX_US_PER_S;
	fleet->restarted = *member;
	fleet->recent_count = 0;
	message = message_(fleet, member, MMX_GOSSIP_NEWS);
	message->recipient = 0;
	message->members[message->member_count++] = *member;
	mmx_membership_receive(fleet->membership, message, &fleet->address);
	for (target = (int)(member - fleet->members); target < targets_;
	     target += members_) {
		mmx_target_record_t record;

		target_record_(fleet, target, &record);
		mmx_directory_update(fleet->directory, &record);
		if (fleet->recent_count < RECENT_TARGETS)
			fleet->recent[fleet->recent_count++] = record;
	}
	g_free(message);
}

static void answer_(fleet_t *fleet, const mmx_gossip_message_t *ping,
		    const struct sockaddr_in *from)
{
	mmx_gossip_message_t *reply;
	const mmx_member_t *member;

	member = g_hash_table_lookup(fleet->by_id, &ping->recipient);
	if (!member || ping->procedure != MMX_GOSSIP_PING)
		return;
	reply = message_(fleet, member, MMX_GOSSIP_ACK);
	reply->xid = ping->xid;
	reply->subject = member->id;
	transmit_(fleet, reply, from);
	g_free(reply);
}

static void on_readable_(evutil_socket_t fd, short what, void *arg)
{
	fleet_t *fleet = arg;
	mmx_gossip_message_t *message = fleet->received;
	uint8_t data[MMX_DATAGRAM_MAX + 1];
	struct sockaddr_in from = {0};
	socklen_t length = sizeof(from);
	ssize_t size = recvfrom(fd, data, sizeof(data), 0,
				(struct sockaddr *)&from, &length);

	if (size < 0 || mmx_gossip_decode(data, (size_t)size, &key_, 1,
					  message) != MMX_GOSSIP_ACCEPTED)
		return;
	fleet->node = from;
	fleet->node_id = message->sender;
	if (message->recipient && message->recipient != fleet->members[0].id) {
		answer_(fleet, message, &from);
		return;
	}
	mmx_membership_receive(fleet->membership, message,
			       &(mmx_address_t){.host = "127.0.0.1",
						.port = ntohs(from.sin_port)});
}

static void serve_sync_(void *arg, const mmx_peer_ticket_t *ticket,
			const uint8_t *bytes, size_t length)
{
	fleet_t *fleet = arg;
	uint8_t *reply = NULL;
	size_t size = 0;

	if (mmx_membership_sync_serve(fleet->membership, bytes, length, &reply,
				      &size))
		mmx_peer_answer(fleet->peer, ticket, reply, size);
	else
		mmx_peer_refuse(fleet->peer, ticket);
	free(reply);
}

static void refuse_(void *arg, const mmx_peer_ticket_t *ticket,
		    const uint8_t *bytes, size_t length)
{
	fleet_t *fleet = arg;

	mmx_peer_refuse(fleet->peer, ticket);
}

static bool resolve_(mmx_peer_resolver_t *resolver, mmx_node_id_t node,
		     mmx_address_t *address, mmx_incarnation_t *incarnation)
{
	return false;
}

static const mmx_peer_resolver_ops_t resolver_ops_ = {.resolve = resolve_};

static void discard_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_message_destroy(message);
}

static const mmx_task_ops_t sink_ops_ = {"sink", discard_};

static void create_members_(fleet_t *fleet)
{
	int i;

	fleet->members = g_new0(mmx_member_t, members_);
	fleet->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (i = 0; i < members_; i++) {
		mmx_member_t *member = &fleet->members[i];

		g_snprintf(member->name, sizeof(member->name), "instance-%d",
			   i);
		g_snprintf(member->region, sizeof(member->region), "region-%d",
			   i % ZONES % REGIONS);
		g_snprintf(member->zone, sizeof(member->zone), "zone-%d",
			   i % ZONES);
		member->id = mmx_node_id(member->name);
		member->incarnation = 1700000000000000ULL;
		member->nodes = fleet->address;
		g_hash_table_insert(fleet->by_id, &member->id, member);
	}
}

static void create_tables_(fleet_t *fleet)
{
	mmx_membership_config_t config = {.self = fleet->members[0],
					  .random_seed = 1};
	mmx_gossip_message_t *message;
	mmx_target_record_t record;
	int i;

	fleet->directory = mmx_directory_create(fleet->clock);
	fleet->membership = mmx_membership_create(
		&config, fleet->clock, fleet->directory, &ops_, fleet);
	for (i = 1; i < members_; i++) {
		message = message_(fleet, &fleet->members[i], MMX_GOSSIP_NEWS);
		message->members[message->member_count++] = fleet->members[i];
		mmx_membership_receive(fleet->membership, message,
				       &fleet->address);
		g_free(message);
	}
	for (i = 0; i < targets_; i++) {
		target_record_(fleet, i, &record);
		mmx_directory_update(fleet->directory, &record);
	}
}

static void open_(fleet_t *fleet)
{
	const mmx_peer_config_t config = {
		.node_name = fleet->members[0].name,
		.incarnation = fleet->members[0].incarnation,
		.keys = &key_,
		.key_count = 1,
		.listen = fleet->address,
		.resolver = &fleet->resolver,
		.entry = &fleet->sink,
		.exit = &fleet->sink,
		.counters = fleet->counters,
		.random = &fleet->random,
	};
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(fleet->address.port)};
	mmx_error_t error = {0};

	inet_pton(AF_INET, fleet->address.host, &address.sin_addr);
	fleet->peer = mmx_peer_create(fleet->runtime, &config);
	mmx_peer_register(fleet->peer, MMX_PROCEDURE_DIRECTORY_SYNC,
			  serve_sync_, fleet);
	mmx_peer_register(fleet->peer, MMX_PROCEDURE_CONFIG_PULL, refuse_,
			  fleet);
	mmx_peer_register(fleet->peer, MMX_PROCEDURE_CONFIG_LOAD, refuse_,
			  fleet);
	fleet->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	if (!mmx_peer_start(fleet->peer, &error) ||
	    bind(fleet->fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		fprintf(stderr, "cannot listen: %s\n", error.text);
		exit(1);
	}
}

static void on_signal_(evutil_socket_t number, short what, void *arg)
{
	event_base_loopbreak(arg);
}

static void run_loop_(struct event_base *base)
{
	struct event *term = evsignal_new(base, SIGTERM, on_signal_, base);

	event_add(term, NULL);
	event_base_dispatch(base);
}

static void run_fleet_(fleet_t *fleet)
{
	struct event *readable;

	fleet->resolver.ops = &resolver_ops_;
	fleet->base = event_base_new();
	fleet->runtime = mmx_runtime_create(fleet->base);
	fleet->clock = mmx_runtime_clock(fleet->runtime);
	fleet->counters = mmx_counters_create();
	fleet->received = g_new0(mmx_gossip_message_t, 1);
	mmx_random_seed(&fleet->random, 1);
	mmx_task_init(&fleet->sink, &sink_ops_, fleet->runtime);
	create_members_(fleet);
	create_tables_(fleet);
	open_(fleet);
	mmx_timer_init(&fleet->news, fleet->clock, on_news_, fleet);
	mmx_timer_init(&fleet->ping, fleet->clock, on_ping_, fleet);
	mmx_timer_init(&fleet->restart, fleet->clock, on_restart_, fleet);
	mmx_timer_set(&fleet->news, NEWS_PERIOD);
	mmx_timer_set(&fleet->ping, PING_PERIOD);
	mmx_timer_set(&fleet->restart, RESTART_PERIOD);
	readable = event_new(fleet->base, fleet->fd, EV_READ | EV_PERSIST,
			     on_readable_, fleet);
	event_add(readable, NULL);
	printf("listening %s\n", address_);
	fflush(stdout);
	run_loop_(fleet->base);
}

/* --- connections ------------------------------------------------------- */

static void dial_next_(fleet_t *fleet);

static void on_dialed_(void *arg, mmx_peer_result_t result,
		       const uint8_t *bytes, size_t length)
{
	fleet_t *fleet = arg;

	if (result != MMX_PEER_OK && result != MMX_PEER_REFUSED) {
		fprintf(stderr, "connection: %s\n",
			mmx_peer_result_string[result]);
		exit(1);
	}
	if (++fleet->dialed < connections_) {
		dial_next_(fleet);
		return;
	}
	printf("listening %s\n", dial_);
	fflush(stdout);
}

/* One after the other, since a connection has 500 ms for its HELLO. */
static void dial_next_(fleet_t *fleet)
{
	static const uint8_t after_[8];
	const mmx_peer_place_t place = {.address = fleet->address};
	const mmx_peer_config_t config = {
		.node_name = g_strdup_printf("dialer-%d-%d", (int)getpid(),
					     fleet->dialed),
		.incarnation = 1700000000000000ULL,
		.keys = &key_,
		.key_count = 1,
		.resolver = &fleet->resolver,
		.entry = &fleet->sink,
		.exit = &fleet->sink,
		.counters = mmx_counters_create(),
		.random = &fleet->random,
	};

	mmx_peer_call(mmx_peer_create(fleet->runtime, &config), &place,
		      MMX_PROCEDURE_CONFIG_PULL, after_, sizeof(after_),
		      5 * MMX_US_PER_S, on_dialed_, fleet);
}

static void run_dial_(fleet_t *fleet)
{
	fleet->resolver.ops = &resolver_ops_;
	fleet->base = event_base_new();
	fleet->runtime = mmx_runtime_create(fleet->base);
	mmx_random_seed(&fleet->random, 1);
	mmx_task_init(&fleet->sink, &sink_ops_, fleet->runtime);
	dial_next_(fleet);
	run_loop_(fleet->base);
}

static bool parse_address_(const char *text, mmx_address_t *address)
{
	const char *colon = strrchr(text, ':');

	if (!colon || (size_t)(colon - text) >= sizeof(address->host))
		return false;
	memcpy(address->host, text, (size_t)(colon - text));
	address->port = (uint16_t)strtoul(colon + 1, NULL, 10);
	return address->port > 0;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	GError *error = NULL;
	fleet_t fleet = {0};

	g_option_context_add_main_entries(context, entries_, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	if (records_)
		write_records_();
	if (dial_ && parse_address_(dial_, &fleet.address))
		run_dial_(&fleet);
	if (!address_)
		return 0;
	if (!parse_address_(address_, &fleet.address) || members_ < 2) {
		fprintf(stderr, "not valid: %s\n", address_);
		return 2;
	}
	run_fleet_(&fleet);
	return 0;
}
