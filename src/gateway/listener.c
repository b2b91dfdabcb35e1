#include "gateway/listener.h"

#include <arpa/inet.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "settings/address.h"

#define BACKLOG 1024

struct listener {
	caller_host_t host;
	uv_tcp_t tcp;
	bool closed;
};

static void release(listener_t *this)
{
	if (this->closed && !this->host.count)
		g_free(this);
}

static void on_caller_closed(caller_host_t *host)
{
	release(caa_container_of(host, listener_t, host));
}

/* A caller without a request makes room for one that may have one. */
static void close_longest_idle(listener_t *this)
{
	instant_t longest_since = INSTANT_NEVER;
	caller_t *longest = NULL;
	struct cds_list_head *link;

	cds_list_for_each (link, &this->host.callers) {
		caller_t *caller = caller_of_link(link);

		if (caller_idle_since(caller) >= longest_since)
			continue;
		longest = caller;
		longest_since = caller_idle_since(caller);
	}
	if (longest)
		caller_gone(longest);
}

static void on_connection(uv_stream_t *stream, int status)
{
	listener_t *this = stream->data;

	if (status) {
		log_warn("accept-failed", "error=%s", uv_strerror(status));
		return;
	}
	if (this->host.open >= this->host.max_callers)
		close_longest_idle(this);
	if (!caller_new(&this->host, stream))
		log_info("caller-not-taken", "callers=%u most=%u", this->host.open,
			this->host.max_callers);
}

listener_t *listener_new(const listener_options_t *options)
{
	listener_t *this = g_new0(listener_t, 1);
	struct sockaddr_in sin;
	char ip[INET_ADDRSTRLEN];
	uint16_t port;
	int error;

	this->host = (caller_host_t){
		.loop = options->loop,
		.ops = options->ops,
		.ctx = options->ctx,
		.limits = options->limits,
		.max_callers = options->max_callers,
		.on_closed = on_caller_closed,
	};
	CDS_INIT_LIST_HEAD(&this->host.callers);
	address_split(options->address, ip, sizeof(ip), &port);
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

void listener_drain(listener_t *this, instant_t idle_from)
{
	this->host.draining = true;
	this->host.idle_from = idle_from;
}

unsigned int listener_callers(const listener_t *this)
{
	return this->host.open;
}

void listener_sweep(listener_t *this, instant_t now)
{
	struct cds_list_head *link;
	struct cds_list_head *after;

	cds_list_for_each_safe (link, after, &this->host.callers)
		caller_sweep(caller_of_link(link), now);
}

static void on_closed(uv_handle_t *handle)
{
	listener_t *this = handle->data;

	this->closed = true;
	release(this);
}

void listener_delete(listener_t *this)
{
	struct cds_list_head *link;
	struct cds_list_head *after;

	if (!this)
		return;
	cds_list_for_each_safe (link, after, &this->host.callers)
		caller_gone(caller_of_link(link));
	uv_close((uv_handle_t *)&this->tcp, on_closed);
}
