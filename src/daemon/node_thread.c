#include "daemon/node_thread.h"

#include <pthread.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "daemon/node_report.h"
#include "daemon/event_queue.h"
#include "daemon/config_plan.h"
#include "edge/clock.h"
#include "edge/log.h"
#include "edge/message_codec.h"
#include "edge/metrics.h"

#define MAX_POLL_TIME (1 * USEC_PER_SEC)

typedef enum event_kind {
	EVENT_SUBMIT,
	EVENT_CANCEL,
	EVENT_PROGRESS,
	EVENT_END,
	EVENT_DISCARD,
	EVENT_CONFIG,
	EVENT_LEAVING,
	EVENT_UNLISTED,
	EVENT_LOAD,
	EVENT_CUT,
	EVENT_DRAIN,
	EVENT_CALL,
	EVENT_QUIT,
	EVENT_KINDS,
} event_kind_t;

typedef struct event {
	struct cds_wfcq_node queue_node;
	event_kind_t kind;
	ticket_t *ticket;
	request_end_t end;
	uint32_t cost;
	double pace;
	id_t32 id;
	bool flag;
	fleet_config_t *config;
	void (*call)(node_thread_t *this, GString *out);
	GString *out;
	int done_fd; /* eventfd that is signalled after `call` */
} event_t;

struct node_thread {
	node_thread_options_t options;
	node_t *node;
	peer_socket_t *socket;
	event_queue_t queue;
	pthread_t thread;
	bool quit;
	message_t message;
	char wire[MESSAGE_CODEC_MAX_BYTES];
	uint64_t bad_messages;	  /* could not be decoded */
	uint64_t forged_messages; /* `from` is not the owner of the sender's key */

	pthread_mutex_t view_lock; /* guards the copy of the membership view for other threads */
	member_view_t view[MEMBER_MAX];
	unsigned int view_count;
	uint64_t published_version;
};

/* --- event handlers, called in the node thread ------------------------ */

static void on_submit(node_thread_t *this, event_t *event, instant_t now)
{
	node_submit_request(this->node, &event->ticket->node, now);
}

static void signal_decision(ticket_t *ticket)
{
	event_fd_signal(ticket->decided_fd);
}

static void on_cancel(node_thread_t *this, event_t *event, instant_t now)
{
	ticket_t *ticket = event->ticket;

	if (ticket->node.state != REQUEST_WAITING)
		return; /* already decided; the eventfd has been signalled */
	node_cancel_request(this->node, &ticket->node, now);
	ticket->reason = REASON_CALLER_GONE;
	signal_decision(ticket);
}

static void on_progress(node_thread_t *this, event_t *event, instant_t now)
{
	node_report_progress(this->node, &event->ticket->node, event->cost, event->pace, now);
}

static void ticket_delete(ticket_t *ticket)
{
	close(ticket->decided_fd);
	g_free(ticket);
}

static void on_end(node_thread_t *this, event_t *event, instant_t now)
{
	node_end_request(this->node, &event->ticket->node, event->end, event->cost, now);
	ticket_delete(event->ticket);
}

static void on_discard(node_thread_t *this, event_t *event, instant_t now)
{
	ticket_delete(event->ticket);
}

static void on_config(node_thread_t *this, event_t *event, instant_t now)
{
	config_plan_apply(event->config, this->node, now);
	fleet_config_put(event->config);
}

static void on_leaving(node_thread_t *this, event_t *event, instant_t now)
{
	node_set_leaving(this->node, event->id, event->flag, now);
}

static void on_unlisted(node_thread_t *this, event_t *event, instant_t now)
{
	node_set_router_gone(this->node, event->id, event->flag);
}

static void on_load(node_thread_t *this, event_t *event, instant_t now)
{
	node_report_load(this->node, event->id, event->cost, now);
}

static void on_cut(node_thread_t *this, event_t *event, instant_t now)
{
	const router_settings_t *settings = this->options.settings;

	for (unsigned int i = 0; i < settings->peer_count; i++) {
		if (!event->id || name_id(settings->peers[i].name) == event->id)
			peer_socket_set_cut(this->socket, i, event->flag);
	}
}

static void on_drain(node_thread_t *this, event_t *event, instant_t now)
{
	node_stop(this->node, now);
}

static void on_call(node_thread_t *this, event_t *event, instant_t now)
{
	event->call(this, event->out);
	event_fd_signal(event->done_fd);
}

static void on_quit(node_thread_t *this, event_t *event, instant_t now)
{
	this->quit = true;
}

static void (*const on_event[EVENT_KINDS])(node_thread_t *, event_t *, instant_t) = {
	[EVENT_SUBMIT] = on_submit,
	[EVENT_CANCEL] = on_cancel,
	[EVENT_PROGRESS] = on_progress,
	[EVENT_END] = on_end,
	[EVENT_DISCARD] = on_discard,
	[EVENT_CONFIG] = on_config,
	[EVENT_LEAVING] = on_leaving,
	[EVENT_UNLISTED] = on_unlisted,
	[EVENT_LOAD] = on_load,
	[EVENT_CUT] = on_cut,
	[EVENT_DRAIN] = on_drain,
	[EVENT_CALL] = on_call,
	[EVENT_QUIT] = on_quit,
};

/* --- actions ---------------------------------------------------------- */

static ticket_t *ticket_of(node_request_t *request)
{
	return caa_container_of(request, ticket_t, node);
}

/* Slot 0 is this router, so the peer socket's index is one less than the slot. */
static void send_message(node_thread_t *this, unsigned int slot)
{
	size_t size;

	node_build_message(this->node, slot, &this->message, clock_now());
	size = message_encode(&this->message, this->wire);
	peer_socket_send(this->socket, slot - 1, this->wire, size);
}

static void renew_link(node_thread_t *this, unsigned int slot)
{
	log_warn("peer-link-renewed", "peer=%u", node_members(this->node)->list[slot].id);
	peer_socket_renew(this->socket, slot - 1);
}

static void perform_action(node_thread_t *this, const node_action_t *action)
{
	switch (action->kind) {
	case ACTION_START:
		ticket_of(action->request)->started = true;
		ticket_of(action->request)->replica = action->replica;
		signal_decision(ticket_of(action->request));
		break;
	case ACTION_REJECT:
		ticket_of(action->request)->reason = action->reason;
		ticket_of(action->request)->retry_after_s = action->retry_after_s;
		signal_decision(ticket_of(action->request));
		break;
	case ACTION_SEND:
		send_message(this, action->slot);
		break;
	case ACTION_RENEW_LINK:
		renew_link(this, action->slot);
		break;
	case ACTION_FETCH_CONFIG:
		this->options.on_peer_version(this->options.ctx, action->version);
		break;
	}
}

static void drain_actions(node_thread_t *this)
{
	node_action_t action;

	while (node_next_action(this->node, &action))
		perform_action(this, &action);
}

static void drain_events(node_thread_t *this)
{
	struct cds_wfcq_node *queue_node;

	event_fd_drain(this->queue.fd);
	while ((queue_node = event_queue_pop(&this->queue))) {
		event_t *event = caa_container_of(queue_node, event_t, queue_node);

		on_event[event->kind](this, event, clock_now());
		g_free(event);
		drain_actions(this);
	}
}

static void drain_messages(node_thread_t *this)
{
	id_t32 sender;
	size_t size;

	while (peer_socket_receive(this->socket, this->wire, sizeof(this->wire), &size, &sender)) {
		if (!message_decode(this->wire, size, &this->message))
			this->bad_messages++;
		else if (this->message.from != sender)
			this->forged_messages++;
		else
			node_handle_message(this->node, &this->message, clock_now());
		drain_actions(this);
	}
}

/* A broken connection reveals a dead peer process long before the silence timeout does. */
static void drain_broken_connections(node_thread_t *this)
{
	unsigned int peer;

	while (peer_socket_next_disconnected(this->socket, &peer))
		node_connection_lost(this->node, peer + 1, clock_now());
}

/* The connection to a peer that has died by silence may be silent itself. */
static void renew_dead_links(node_thread_t *this, const members_t *members)
{
	for (unsigned int i = 1; i < this->view_count; i++) {
		if (this->view[i].alive && !member_is_alive(&members->list[i]))
			renew_link(this, i);
	}
}

/* Copies a changed membership view for node_thread_router_is_alive(). */
static void publish_view(node_thread_t *this)
{
	const members_t *members = node_members(this->node);

	if (members->view == this->published_version)
		return;
	renew_dead_links(this, members);
	pthread_mutex_lock(&this->view_lock);
	for (unsigned int i = 0; i < members->count; i++)
		this->view[i] = (member_view_t){members->list[i].id,
			i ? members->list[i].incarnation : this->options.incarnation,
			member_is_alive(&members->list[i])};
	this->view_count = members->count;
	pthread_mutex_unlock(&this->view_lock);
	this->published_version = members->view;
}

static void *run(void *ctx)
{
	node_thread_t *this = ctx;

	while (!this->quit) {
		instant_t now;
		instant_t next;

		drain_events(this);
		drain_messages(this);
		drain_broken_connections(this);
		now = clock_now();
		next = node_tick(this->node, now);
		drain_actions(this);
		publish_view(this);
		if (next > now && !this->quit)
			peer_socket_wait(this->socket, this->queue.fd,
				next - now < MAX_POLL_TIME ? next - now : MAX_POLL_TIME);
	}
	return NULL;
}

/* --- creation and destruction ----------------------------------------- */

static peer_socket_t *open_socket(const router_settings_t *settings)
{
	peer_address_t *peers = g_new0(peer_address_t, settings->peer_count + 1);
	peer_socket_options_t options = {
		.bind_address = settings->peer_address,
		.public_key = settings->public_key,
		.secret_key = settings->secret_key,
		.peers = peers,
		.peer_count = settings->peer_count,
	};
	peer_socket_t *socket;

	for (unsigned int i = 0; i < settings->peer_count; i++)
		peers[i] = (peer_address_t){name_id(settings->peers[i].name),
			settings->peers[i].address, settings->peers[i].public_key};
	socket = peer_socket_new(&options);
	g_free(peers);
	return socket;
}

node_thread_t *node_thread_new(const node_thread_options_t *options)
{
	const router_settings_t *settings = options->settings;
	node_thread_t *this = g_new0(node_thread_t, 1);
	node_options_t node_options = {
		.self = name_id(settings->name),
		.incarnation = options->incarnation,
		.seed = options->seed,
		.policy = settings->policy,
		.max_members = settings->peer_count + 2,
	};

	this->options = *options;
	pthread_mutex_init(&this->view_lock, NULL);
	this->socket = open_socket(settings);
	if (!this->socket) {
		pthread_mutex_destroy(&this->view_lock);
		g_free(this);
		return NULL;
	}
	this->node = node_new(&node_options, clock_now());
	for (unsigned int i = 0; i < settings->peer_count; i++)
		node_add_peer(this->node, name_id(settings->peers[i].name));
	event_queue_init(&this->queue);
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

static event_t *event_new(event_kind_t kind)
{
	event_t *event = g_new0(event_t, 1);

	event->kind = kind;
	return event;
}

/* Queues an event; the node thread frees it. */
static void post_event(node_thread_t *this, event_t *event)
{
	event_queue_push(&this->queue, &event->queue_node);
}

void node_thread_delete(node_thread_t *this)
{
	if (!this)
		return;
	post_event(this, event_new(EVENT_QUIT));
	pthread_join(this->thread, NULL);
	node_delete(this->node);
	peer_socket_delete(this->socket);
	event_queue_clear(&this->queue);
	pthread_mutex_destroy(&this->view_lock);
	g_free(this);
}

/* --- calls from other threads ----------------------------------------- */

ticket_t *ticket_new(void)
{
	ticket_t *ticket = g_new0(ticket_t, 1);

	ticket->decided_fd = event_fd_new();
	return ticket;
}

static void post_ticket(node_thread_t *this, event_kind_t kind, ticket_t *ticket)
{
	event_t *event = event_new(kind);

	event->ticket = ticket;
	post_event(this, event);
}

void node_thread_submit(node_thread_t *this, ticket_t *ticket)
{
	post_ticket(this, EVENT_SUBMIT, ticket);
}

void node_thread_cancel(node_thread_t *this, ticket_t *ticket)
{
	post_ticket(this, EVENT_CANCEL, ticket);
}

void node_thread_report_progress(node_thread_t *this, ticket_t *ticket, uint32_t cost, double pace)
{
	event_t *event = event_new(EVENT_PROGRESS);

	event->ticket = ticket;
	event->cost = cost;
	event->pace = pace;
	post_event(this, event);
}

void node_thread_end(node_thread_t *this, ticket_t *ticket, request_end_t kind, uint32_t cost)
{
	event_t *event = event_new(EVENT_END);

	event->ticket = ticket;
	event->end = kind;
	event->cost = cost;
	post_event(this, event);
}

void node_thread_discard(node_thread_t *this, ticket_t *ticket)
{
	post_ticket(this, EVENT_DISCARD, ticket);
}

void node_thread_set_config(node_thread_t *this, fleet_config_t *config)
{
	event_t *event = event_new(EVENT_CONFIG);

	event->config = fleet_config_get(config);
	post_event(this, event);
}

static void post_flag(node_thread_t *this, event_kind_t kind, id_t32 id, bool flag)
{
	event_t *event = event_new(kind);

	event->id = id;
	event->flag = flag;
	post_event(this, event);
}

void node_thread_set_leaving(node_thread_t *this, id_t32 replica, bool leaving)
{
	post_flag(this, EVENT_LEAVING, replica, leaving);
}

void node_thread_set_unlisted(node_thread_t *this, id_t32 router, bool unlisted)
{
	post_flag(this, EVENT_UNLISTED, router, unlisted);
}

void node_thread_cut_peer(node_thread_t *this, id_t32 peer, bool cut)
{
	post_flag(this, EVENT_CUT, peer, cut);
}

void node_thread_report_load(node_thread_t *this, id_t32 replica, unsigned int running)
{
	event_t *event = event_new(EVENT_LOAD);

	event->id = replica;
	event->cost = running;
	post_event(this, event);
}

void node_thread_drain(node_thread_t *this)
{
	post_event(this, event_new(EVENT_DRAIN));
}

bool node_thread_router_is_alive(node_thread_t *this, id_t32 id, uint64_t incarnation)
{
	bool alive = false;

	pthread_mutex_lock(&this->view_lock);
	for (unsigned int i = 0; i < this->view_count; i++) {
		if (this->view[i].id == id)
			alive = this->view[i].alive && this->view[i].incarnation == incarnation;
	}
	pthread_mutex_unlock(&this->view_lock);
	return alive;
}

/* Runs `call` in the node thread and waits until it has returned. */
static void call_in_thread(
	node_thread_t *this, void (*call)(node_thread_t *, GString *), GString *out)
{
	struct pollfd done = {.fd = event_fd_new(), .events = POLLIN};
	event_t *event = event_new(EVENT_CALL);

	event->call = call;
	event->out = out;
	event->done_fd = done.fd;
	post_event(this, event);
	while (poll(&done, 1, -1) < 1)
		;
	event_fd_drain(done.fd);
	close(done.fd);
}

static void append_status(node_thread_t *this, GString *out)
{
	node_report_append_status(this->node, this->options.settings, out);
}

void node_thread_append_status(node_thread_t *this, GString *out)
{
	call_in_thread(this, append_status, out);
}

static void append_metrics(node_thread_t *this, GString *out)
{
	node_report_append_metrics(this->node, peer_socket_stats(this->socket), out);
	metrics_append(out, "peer_messages_bad_total", this->bad_messages);
	metrics_append(out, "peer_messages_forged_total", this->forged_messages);
}

void node_thread_append_metrics(node_thread_t *this, GString *out)
{
	call_in_thread(this, append_metrics, out);
}
