#include "filter/request.h"

#include <string.h>

#include "edge/clock.h"

static const filter_t *const pipeline[] = {
	&identify_filter,
	&classify_filter,
	&admit_filter,
	&dispatch_filter, /* runs queue and place, again for each attempt */
	&relay_filter,
};

request_t *request_new(
	router_t *router, struct MHD_Connection *connection, const char *method, const char *path)
{
	request_t *this = g_new0(request_t, 1);
	const union MHD_ConnectionInfo *info;

	this->router = router;
	this->connection = connection;
	this->method = method;
	this->path = g_strdup(path);
	this->body = g_string_new(NULL);
	this->arrived = clock_now();
	info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	this->caller_fd = info ? info->connect_fd : -1;
	g_snprintf(this->id, sizeof(this->id), "%08x%08x%08x", g_random_int(), g_random_int(),
		g_random_int());
	atomic_fetch_add(&router->active, 1);
	return this;
}

void request_delete(request_t *this)
{
	account_filter.run(this);
	request_close_exchange(this);
	if (this->input)
		g_string_free(this->input, TRUE);
	if (this->output)
		g_string_free(this->output, TRUE);
	order_response_clear(&this->response);
	fleet_config_put(this->config);
	g_string_free(this->body, TRUE);
	g_free(this->path);
	atomic_fetch_sub(&this->router->active, 1);
	g_free(this);
}

const char *request_header(request_t *this, const char *name)
{
	return MHD_lookup_connection_value(this->connection, MHD_HEADER_KIND, name);
}

static run_state_t run_state(const request_t *this)
{
	if (!this->may_have_run)
		return RUN_NONE;
	return this->route->is_idempotent ? RUN_REPEATABLE : RUN_ONCE;
}

static void run_pipeline(request_t *this)
{
	for (unsigned int i = 0; i < ARRAY_LEN(pipeline); i++) {
		this->reason = pipeline[i]->run(this);
		if (this->reason != REASON_NONE || this->replayed)
			return;
	}
}

void request_run(request_t *this)
{
	run_pipeline(this);
	this->reason = reason_checked(this->reason, run_state(this));
}

void request_end_ticket(request_t *this, request_end_t kind)
{
	if (!this->ticket)
		return;
	node_thread_end(this->router->node_thread, this->ticket, kind, this->cost);
	this->ticket = NULL;
}

request_end_t request_incomplete_end(const request_t *this)
{
	if (this->caller_watch_id && caller_has_disconnected(this->caller_fd))
		return END_STOPPED;
	return END_BROKEN;
}

void request_close_exchange(request_t *this)
{
	if (this->exchange_open)
		http_exchange_delete(&this->exchange);
	this->exchange_open = false;
}
