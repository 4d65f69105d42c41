#include "masticmux/gossip.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <event2/event.h>
#include <event2/util.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "masticmux/gossip_codec.h"

/* Datagrams read before other events get their turn. */
#define POLL_MAX 64

const char *const mmx_gossip_request_string[MMX_GOSSIP_REQUEST_COUNT] = {
	"announce",
	"offset",
	"news",
	"leave",
};

typedef struct request_message_t {
	mmx_message_t message; /* first */
	mmx_gossip_request_t kind;
	mmx_target_record_t target;
	uint64_t offset;
	mmx_node_id_t node;
} request_message_t;

struct mmx_gossip_t {
	mmx_task_t task; /* first */
	const mmx_settings_t *settings;
	const mmx_membership_ops_t *user_ops;
	mmx_membership_ops_t ops;
	void *arg;
	mmx_membership_t *membership;
	mmx_replay_t *replay;
	mmx_gossip_message_t *received;
	struct event *readable;
	mmx_timer_t tick;
	mmx_address_t address;
	int family;
	evutil_socket_t fd;
	uint64_t sequence;
	mmx_counter_t *sent;
	mmx_counter_t *sent_bytes;
	mmx_counter_t *send_failed;
	mmx_counter_t *received_count;
	mmx_counter_t *received_bytes;
	mmx_counter_t *rejected[MMX_GOSSIP_REJECT_COUNT];
};

static void from_sockaddr_(const struct sockaddr_storage *from,
			   mmx_address_t *address)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)from;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)from;

	memset(address, 0, sizeof(*address));
	if (from->ss_family == AF_INET) {
		inet_ntop(AF_INET, &v4->sin_addr, address->host,
			  sizeof(address->host));
		address->port = ntohs(v4->sin_port);
	} else if (from->ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &v6->sin6_addr, address->host,
			  sizeof(address->host));
		address->port = ntohs(v6->sin6_port);
	}
}

static bool loopback_(const struct sockaddr_storage *address)
{
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;

	memcpy(&v4, address, sizeof(v4));
	memcpy(&v6, address, sizeof(v6));
	if (address->ss_family == AF_INET)
		return ntohl(v4.sin_addr.s_addr) >> IN_CLASSA_NSHIFT ==
		       IN_LOOPBACKNET;
	return address->ss_family == AF_INET6 &&
	       IN6_IS_ADDR_LOOPBACK(&v6.sin6_addr);
}

/* Others send to this address, so it must name one interface. */
static bool wildcard_(const struct sockaddr_storage *address)
{
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;

	memcpy(&v4, address, sizeof(v4));
	memcpy(&v6, address, sizeof(v6));
	if (address->ss_family == AF_INET)
		return v4.sin_addr.s_addr == htonl(INADDR_ANY);
	return IN6_IS_ADDR_UNSPECIFIED(&v6.sin6_addr);
}

static void send_(void *arg, const mmx_address_t *to,
		  mmx_gossip_message_t *message)
{
	mmx_gossip_t *gossip = arg;
	const mmx_settings_t *settings = gossip->settings;
	uint8_t data[MMX_DATAGRAM_MAX];
	struct sockaddr_storage address = {0};
	socklen_t length = mmx_address_to_sockaddr(to, &address);
	size_t size;

	message->sequence = ++gossip->sequence;
	size = mmx_gossip_encode(
		message,
		settings->fleet_key_count ? &settings->fleet_keys[0] : NULL,
		data);
	assert(size > 0);
	if (!length || sendto(gossip->fd, data, size, 0,
			      (struct sockaddr *)&address, length) < 0) {
		mmx_counter_add(gossip->send_failed, 1);
		return;
	}
	mmx_counter_add(gossip->sent, 1);
	mmx_counter_add(gossip->sent_bytes, (int64_t)size);
}

static void sync_request_(void *arg, const mmx_member_t *peer,
			  const uint8_t *data, size_t size)
{
	mmx_gossip_t *gossip = arg;

	gossip->user_ops->sync_request(gossip->arg, peer, data, size);
}

static void changed_(void *arg, const mmx_member_t *member,
		     mmx_member_state_t before)
{
	mmx_gossip_t *gossip = arg;

	gossip->user_ops->changed(gossip->arg, member, before);
}

static void target_changed_(void *arg, const mmx_target_record_t *record)
{
	mmx_gossip_t *gossip = arg;

	gossip->user_ops->target_changed(gossip->arg, record);
}

static void offset_seen_(void *arg, mmx_node_id_t node, uint64_t offset)
{
	mmx_gossip_t *gossip = arg;

	gossip->user_ops->offset_seen(gossip->arg, node, offset);
}

static void fill_ages_(void *arg, mmx_gossip_ages_t *ages)
{
	mmx_gossip_t *gossip = arg;

	gossip->user_ops->fill_ages(gossip->arg, ages);
}

static void news_seen_(void *arg, mmx_node_id_t node, uint64_t offset,
		       const mmx_gossip_ages_t *ages)
{
	mmx_gossip_t *gossip = arg;

	gossip->user_ops->news_seen(gossip->arg, node, offset, ages);
}

static void conflict_(void *arg, const mmx_address_t *other)
{
	mmx_gossip_t *gossip = arg;

	gossip->user_ops->conflict(gossip->arg, other);
}

/* The module gets this task as its argument; what the user left out stays
 * out, because the module behaves differently without it. */
static void wrap_ops_(mmx_gossip_t *gossip, const mmx_membership_ops_t *ops)
{
	gossip->user_ops = ops;
	gossip->ops.send = send_;
	gossip->ops.sync_request = ops->sync_request ? sync_request_ : NULL;
	gossip->ops.changed = ops->changed ? changed_ : NULL;
	gossip->ops.target_changed =
		ops->target_changed ? target_changed_ : NULL;
	gossip->ops.offset_seen = ops->offset_seen ? offset_seen_ : NULL;
	gossip->ops.fill_ages = ops->fill_ages ? fill_ages_ : NULL;
	gossip->ops.news_seen = ops->news_seen ? news_seen_ : NULL;
	gossip->ops.conflict = ops->conflict ? conflict_ : NULL;
}

static void reject_(mmx_gossip_t *gossip, mmx_gossip_reject_t reason)
{
	mmx_counter_add(gossip->rejected[reason], 1);
}

static void on_datagram_(mmx_gossip_t *gossip, const uint8_t *data, size_t size,
			 const struct sockaddr_storage *from)
{
	const mmx_settings_t *settings = gossip->settings;
	mmx_gossip_message_t *message = gossip->received;
	mmx_gossip_reject_t reason;
	mmx_address_t address;

	mmx_counter_add(gossip->received_count, 1);
	mmx_counter_add(gossip->received_bytes, (int64_t)size);
	if (!settings->fleet_key_count && !loopback_(from)) {
		reject_(gossip, MMX_GOSSIP_NOT_LOOPBACK);
		return;
	}
	reason = mmx_gossip_decode(data, size, settings->fleet_keys,
				   settings->fleet_key_count, message);
	if (reason == MMX_GOSSIP_ACCEPTED &&
	    !mmx_replay_accept(gossip->replay, message->sender,
			       message->incarnation, message->sequence))
		reason = MMX_GOSSIP_REPLAYED;
	if (reason != MMX_GOSSIP_ACCEPTED) {
		reject_(gossip, reason);
		return;
	}
	from_sockaddr_(from, &address);
	mmx_membership_receive(gossip->membership, message, &address);
}

size_t mmx_gossip_poll(mmx_gossip_t *gossip)
{
	/* One byte more than allowed shows a datagram that is too long. */
	uint8_t data[MMX_DATAGRAM_MAX + 1];
	struct sockaddr_storage from = {0};
	size_t count;

	for (count = 0; count < POLL_MAX; count++) {
		socklen_t length = sizeof(from);
		ssize_t size = recvfrom(gossip->fd, data, sizeof(data), 0,
					(struct sockaddr *)&from, &length);

		if (size < 0)
			break;
		on_datagram_(gossip, data, (size_t)size, &from);
	}
	return count;
}

static void on_readable_(evutil_socket_t fd, short what, void *arg)
{
	mmx_gossip_poll(arg);
}

static void on_tick_(void *arg)
{
	mmx_gossip_t *gossip = arg;

	mmx_timer_set(&gossip->tick, MMX_MEMBERSHIP_TICK);
	/* After a pause the datagrams that wait are older than the tick; read
	 * first, they show who lived meanwhile. */
	mmx_gossip_poll(gossip);
	mmx_membership_tick(gossip->membership);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_gossip_t *gossip = (mmx_gossip_t *)task;
	const request_message_t *request = (request_message_t *)message;
	mmx_membership_t *membership = gossip->membership;

	switch (request->kind) {
	case MMX_GOSSIP_REQUEST_ANNOUNCE:
		mmx_membership_announce(membership, &request->target);
		break;
	case MMX_GOSSIP_REQUEST_OFFSET:
		mmx_membership_set_offset(membership, request->offset);
		break;
	case MMX_GOSSIP_REQUEST_NEWS:
		mmx_membership_send_news(membership, request->node);
		break;
	case MMX_GOSSIP_REQUEST_LEAVE:
		mmx_membership_leave(membership);
		break;
	default:
		assert(false);
	}
	mmx_message_destroy(message);
}

static void destroy_request_(mmx_message_t *message)
{
	g_free(message);
}

static const mmx_task_ops_t task_ops_ = {
	.name = "gossip",
	.handle = handle_,
};

static const mmx_message_ops_t request_ops_ = {
	.name = "gossip_request",
	.destroy = destroy_request_,
};

static bool bind_(mmx_gossip_t *gossip, mmx_error_t *error)
{
	const mmx_address_t *listen = &gossip->settings->listen_nodes;
	struct sockaddr_storage address = {0};
	socklen_t length = mmx_address_to_sockaddr(listen, &address);

	if (!length || wildcard_(&address))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "listen.nodes: %s is not an address that "
				     "other nodes can reach",
				     listen->host);
	if (!gossip->settings->fleet_key_count && !loopback_(&address))
		return mmx_error_set(error, MMX_ERROR_AUTH,
				     "listen.nodes: without a fleet key only a "
				     "loopback address is allowed, not %s",
				     listen->host);
	gossip->fd = socket(address.ss_family,
			    SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (gossip->fd < 0 ||
	    bind(gossip->fd, (struct sockaddr *)&address, length) < 0)
		return mmx_error_set(error, MMX_ERROR_IO, "udp %s:%u: %s",
				     listen->host, (unsigned int)listen->port,
				     strerror(errno));
	length = sizeof(address);
	if (getsockname(gossip->fd, (struct sockaddr *)&address, &length) < 0)
		return mmx_error_set(error, MMX_ERROR_IO, "udp %s: %s",
				     listen->host, strerror(errno));
	from_sockaddr_(&address, &gossip->address);
	return true;
}

static void register_counters_(mmx_gossip_t *gossip, mmx_counters_t *counters)
{
	char label[48];
	int r;

	if (!counters)
		return;
	gossip->sent = mmx_counters_get(counters, MMX_COUNTER,
					"masticmux_gossip_sent_total", "",
					"Datagrams sent");
	gossip->sent_bytes = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_gossip_sent_bytes_total", "",
		"Bytes of datagrams sent");
	gossip->send_failed = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_gossip_send_failed_total", "",
		"Datagrams that could not be sent");
	gossip->received_count = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_gossip_received_total", "",
		"Datagrams received");
	gossip->received_bytes = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_gossip_received_bytes_total",
		"", "Bytes of datagrams received");
	for (r = MMX_GOSSIP_ACCEPTED + 1; r < MMX_GOSSIP_REJECT_COUNT; r++) {
		g_snprintf(label, sizeof(label), "reason=\"%s\"",
			   mmx_gossip_reject_string[r]);
		gossip->rejected[r] =
			mmx_counters_get(counters, MMX_COUNTER,
					 "masticmux_gossip_rejected_total",
					 label, "Datagrams rejected");
	}
}

static void create_membership_(mmx_gossip_t *gossip,
			       const mmx_gossip_config_t *config,
			       mmx_directory_t *directory)
{
	const mmx_settings_t *settings = config->settings;
	mmx_membership_config_t *member = g_new0(mmx_membership_config_t, 1);
	mmx_member_t *self = &member->self;

	g_strlcpy(self->name, settings->node_name, sizeof(self->name));
	g_strlcpy(self->region, settings->region, sizeof(self->region));
	g_strlcpy(self->zone, settings->zone, sizeof(self->zone));
	self->incarnation = config->incarnation;
	self->nodes = gossip->address;
	self->operators = settings->listen_operator;
	memcpy(member->seeds, settings->seeds, sizeof(member->seeds));
	member->seed_count = settings->seed_count;
	member->random_seed = config->random_seed;
	member->counters = config->counters;
	gossip->membership = mmx_membership_create(
		member, mmx_runtime_clock(gossip->task.runtime), directory,
		&gossip->ops, gossip);
	g_free(member);
}

mmx_gossip_t *mmx_gossip_create(const mmx_gossip_config_t *config,
				mmx_runtime_t *runtime,
				mmx_directory_t *directory,
				const mmx_membership_ops_t *ops, void *arg,
				mmx_error_t *error)
{
	mmx_gossip_t *gossip = g_new0(mmx_gossip_t, 1);
	mmx_clock_t *clock = mmx_runtime_clock(runtime);
	struct event_base *base = mmx_runtime_base(runtime);

	assert(config->settings && ops && !ops->send);
	mmx_task_init(&gossip->task, &task_ops_, runtime);
	gossip->settings = config->settings;
	gossip->arg = arg;
	gossip->fd = -1;
	mmx_timer_init(&gossip->tick, clock, on_tick_, gossip);
	if (!bind_(gossip, error)) {
		mmx_gossip_destroy(gossip);
		return NULL;
	}
	wrap_ops_(gossip, ops);
	register_counters_(gossip, config->counters);
	gossip->received = g_new0(mmx_gossip_message_t, 1);
	gossip->replay = mmx_replay_create(clock);
	create_membership_(gossip, config, directory);
	if (base) {
		gossip->readable =
			event_new(base, gossip->fd, EV_READ | EV_PERSIST,
				  on_readable_, gossip);
		event_add(gossip->readable, NULL);
	}
	mmx_timer_set(&gossip->tick, 0);
	return gossip;
}

void mmx_gossip_destroy(mmx_gossip_t *gossip)
{
	if (!gossip)
		return;
	mmx_timer_cancel(&gossip->tick);
	if (gossip->readable)
		event_free(gossip->readable);
	mmx_task_finish(&gossip->task);
	mmx_membership_destroy(gossip->membership);
	mmx_replay_destroy(gossip->replay);
	if (gossip->fd >= 0)
		close(gossip->fd);
	g_free(gossip->received);
	g_free(gossip);
}

static request_message_t *request_(mmx_gossip_request_t kind)
{
	request_message_t *request = g_new0(request_message_t, 1);

	request->message.ops = &request_ops_;
	request->kind = kind;
	return request;
}

void mmx_gossip_announce(mmx_gossip_t *gossip,
			 const mmx_target_record_t *record)
{
	request_message_t *request = request_(MMX_GOSSIP_REQUEST_ANNOUNCE);

	request->target = *record;
	mmx_task_post(&gossip->task, &request->message);
}

void mmx_gossip_set_offset(mmx_gossip_t *gossip, uint64_t offset)
{
	request_message_t *request = request_(MMX_GOSSIP_REQUEST_OFFSET);

	request->offset = offset;
	mmx_task_post(&gossip->task, &request->message);
}

void mmx_gossip_send_news(mmx_gossip_t *gossip, mmx_node_id_t to)
{
	request_message_t *request = request_(MMX_GOSSIP_REQUEST_NEWS);

	request->node = to;
	mmx_task_post(&gossip->task, &request->message);
}

void mmx_gossip_leave(mmx_gossip_t *gossip)
{
	request_message_t *request = request_(MMX_GOSSIP_REQUEST_LEAVE);

	mmx_task_post(&gossip->task, &request->message);
}

mmx_membership_t *mmx_gossip_membership(mmx_gossip_t *gossip)
{
	return gossip->membership;
}

const mmx_address_t *mmx_gossip_address(const mmx_gossip_t *gossip)
{
	return &gossip->address;
}
