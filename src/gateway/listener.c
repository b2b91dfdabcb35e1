#include "gateway/listener.h"

#include <arpa/inet.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "settings/address.h"

#define BACKLOG 1024
/* The others wait in the kernel, so that a flood of connections does not delay calls in progress.
 */
#define MAX_ACCEPTED_PER_TURN 64
#define MAX_CLOSED_PER_ACCEPT 2
#define UNREAD_INTERVAL USEC_PER_SEC

struct listener {
	caller_group_t group;
	uv_tcp_t tcp;
	void (*on_accepted)(void *ctx, uint64_t time_taken);
	unsigned int accepted;	/* in the current turn of the loop */
	bool accept_pending;	/* a connection is held back until the next turn */
	instant_t unread_check; /* when callers that are not read are looked at again */
	bool handle_closed;
};

static void free_if_unused(listener_t *this)
{
	if (this->handle_closed && !this->group.allocated)
		g_free(this);
}

static void on_caller_closed(caller_group_t *group)
{
	free_if_unused(caa_container_of(group, listener_t, group));
}

/* Ends a request that makes no progress; the caller has not been answered, and reads no reply. */
static bool end_stalled(listener_t *this)
{
	caller_wait_t *wait = caller_group_least_active(&this->group, clock_now());

	if (!wait)
		return false;
	this->group.stalled++;
	caller_disconnect(caller_of_wait(wait));
	return true;
}

/* Closes the callers that are needed least; more than one if the bound has become lower. */
static void make_room(listener_t *this)
{
	for (unsigned int i = 0; i < MAX_CLOSED_PER_ACCEPT; i++) {
		caller_wait_t *wait;

		if (this->group.connected < this->group.max_callers)
			return;
		wait = caller_group_least_needed(&this->group);
		if (wait)
			caller_disconnect(caller_of_wait(wait));
		else if (!end_stalled(this))
			return;
	}
}

static void accept_caller(listener_t *this)
{
	instant_t began = clock_now();

	this->accepted++;
	make_room(this);
	if (!caller_new(&this->group, (uv_stream_t *)&this->tcp))
		log_info("connection-rejected", "callers=%u most=%u", this->group.connected,
			this->group.max_callers);
	this->on_accepted(this->group.ctx, clock_now() - began);
}

/* libuv reports no more connections until one that is held back is accepted. */
static void on_connection(uv_stream_t *stream, int status)
{
	listener_t *this = stream->data;

	if (status)
		log_warn("accept-failed", "error=%s", uv_strerror(status));
	else if (this->accepted >= MAX_ACCEPTED_PER_TURN)
		this->accept_pending = true;
	else
		accept_caller(this);
}

void listener_set_max_callers(listener_t *this, unsigned int max_callers)
{
	this->group.max_callers = max_callers;
}

void listener_begin_turn(listener_t *this)
{
	this->accepted = 0;
	if (!this->accept_pending)
		return;
	this->accept_pending = false;
	accept_caller(this);
}

listener_t *listener_new(const listener_options_t *options)
{
	listener_t *this = g_new0(listener_t, 1);
	struct sockaddr_in sin;
	char ip[INET_ADDRSTRLEN];
	uint16_t port;
	int error;

	this->group = (caller_group_t){
		.loop = options->loop,
		.ops = options->ops,
		.ctx = options->ctx,
		.limits = options->limits,
		.max_callers = options->max_callers,
		.room = options->room,
		.workspace_of = options->workspace_of,
		.room_wait = options->room_wait_ms * USEC_PER_MSEC,
		.body_pace = options->body_pace,
		.buffers = options->buffers,
		.on_closed = on_caller_closed,
	};
	this->on_accepted = options->on_accepted;
	caller_group_init(&this->group);
	address_parse(options->address, ip, sizeof(ip), &port);
	uv_ip4_addr(ip, port, &sin);
	uv_tcp_init(options->loop, &this->tcp);
	this->tcp.data = this;
	error = uv_tcp_bind(&this->tcp, (struct sockaddr *)&sin, 0);
	if (!error)
		error = uv_listen((uv_stream_t *)&this->tcp, BACKLOG, on_connection);
	if (!error)
		return this;
	log_warn("listen-failed", "address=%s error=%s", options->address, uv_strerror(error));
	listener_delete(this);
	return NULL;
}

void listener_drain(listener_t *this, instant_t close_idle_from)
{
	this->group.draining = true;
	this->group.close_idle_from = close_idle_from;
}

unsigned int listener_caller_count(const listener_t *this)
{
	return this->group.connected;
}

uint64_t listener_callers_examined(const listener_t *this)
{
	return this->group.examined;
}

uint64_t listener_callers_reclaimed(const listener_t *this)
{
	return this->group.reclaimed;
}

uint64_t listener_requests_refused(const listener_t *this)
{
	return this->group.refused;
}

uint64_t listener_bodies_too_slow(const listener_t *this)
{
	return this->group.too_slow;
}

uint64_t listener_callers_stalled(const listener_t *this)
{
	return this->group.stalled;
}

/* Those that are not read are looked at one by one, as the loop does not tell that they leave. */
static void check_unread(listener_t *this, instant_t now)
{
	struct cds_list_head *link;
	struct cds_list_head *next;

	if (now < this->unread_check)
		return;
	this->unread_check = now + UNREAD_INTERVAL;
	cds_list_for_each_safe (link, next, &this->group.callers)
		caller_check_unread(caller_of_link(link));
}

void listener_check_timeouts(listener_t *this, instant_t now)
{
	caller_wait_t *wait;
	caller_pace_t *pace;

	while ((wait = caller_group_next_expired(&this->group, now)))
		caller_time_out(caller_of_wait(wait));
	check_unread(this, now);
	while ((pace = caller_group_next_slow(&this->group, now))) {
		this->group.too_slow++;
		caller_time_out(caller_of_pace(pace));
	}
}

static void on_closed(uv_handle_t *handle)
{
	listener_t *this = handle->data;

	this->handle_closed = true;
	free_if_unused(this);
}

void listener_delete(listener_t *this)
{
	struct cds_list_head *link;
	struct cds_list_head *next;

	if (!this)
		return;
	cds_list_for_each_safe (link, next, &this->group.callers)
		caller_disconnect(caller_of_link(link));
	uv_close((uv_handle_t *)&this->tcp, on_closed);
}
