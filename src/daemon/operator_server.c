#include "daemon/operator_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/metrics.h"
#include "settings/address.h"
#include "settings/config_row.h"

#define METRICS_TYPE "text/plain; version=0.0.4"
#define JSON_TYPE "application/json"
#define MAX_CONNECTIONS 64

struct operator_server {
	router_t *router;
	struct MHD_Daemon *daemon;
};

#define MAX_BODY (16U << 20) /* bytes; the only request body is a fleet configuration */

typedef struct response {
	int status;
	const char *type;
	GString *body;
} response_t;

typedef struct handler {
	const char *method;
	const char *path;
	bool needs_token;
	/* Exactly one of the two is set. */
	void (*handle)(
		operator_server_t *this, struct MHD_Connection *connection, response_t *response);
	void (*handle_body)(operator_server_t *this, const GString *body, response_t *response);
} handler_t;

static void get_live(
	operator_server_t *this, struct MHD_Connection *connection, response_t *response)
{
	g_string_append(response->body, "live\n");
}

static void get_ready(
	operator_server_t *this, struct MHD_Connection *connection, response_t *response)
{
	bool ready = router_is_ready(this->router);

	response->status = ready ? 200 : 503;
	g_string_append(response->body, ready ? "ready\n" : "not ready\n");
}

static void get_status(
	operator_server_t *this, struct MHD_Connection *connection, response_t *response)
{
	router_t *router = this->router;

	/* router_stop() deletes the deferred writer, so its count is not read during a stop. */
	response->type = JSON_TYPE;
	g_string_append_printf(response->body,
		"{\"name\":\"%s\",\"domain\":\"%s\",\"ready\":%s,\"stopping\":%s,\"active\":%d,"
		"\"text_version\":%" G_GUINT64_FORMAT ",\"unsettled_orders\":%u,",
		router->settings->name, router->settings->failure_domain,
		router_is_ready(router) ? "true" : "false",
		router_is_stopping(router) ? "true" : "false", atomic_load(&router->active),
		snapshot_version(&router->snapshot),
		router_is_stopping(router) ? 0 : deferred_writer_pending(router->deferred_writer));
	node_thread_append_status(router->node_thread, response->body);
	g_string_append_c(response->body, '}');
}

static void get_metrics(
	operator_server_t *this, struct MHD_Connection *connection, response_t *response)
{
	response->type = METRICS_TYPE;
	for (unsigned int i = 0; i < COUNTER_KINDS; i++)
		metrics_append(response->body, router_counter_name((router_counter_t)i),
			atomic_load(&this->router->counters[i]));
	metrics_append(
		response->body, "requests_active", (uint64_t)atomic_load(&this->router->active));
	metrics_append(response->body, "text_version", snapshot_version(&this->router->snapshot));
	node_thread_append_metrics(this->router->node_thread, response->body);
}

static void get_burn(
	operator_server_t *this, struct MHD_Connection *connection, response_t *response)
{
	response->type = JSON_TYPE;
	burn_rate_append_json(this->router->burn_rate, response->body, clock_now());
}

static void get_config(
	operator_server_t *this, struct MHD_Connection *connection, response_t *response)
{
	fleet_config_t *config = snapshot_get(&this->router->snapshot);
	char *value;

	response->type = JSON_TYPE;
	if (!config) {
		response->status = 404;
		return;
	}
	value = config_row_encode(&(config_row_t){config->version, (char *)"", config->source});
	g_string_append(response->body, value);
	g_free(value);
	fleet_config_put(config);
}

/*
 * Stops the exchange with a peer, or with all of them; with the argument "join", resumes it.
 * For failure drills.
 */
static void post_cut(
	operator_server_t *this, struct MHD_Connection *connection, response_t *response)
{
	const char *peer = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "peer");
	const char *join = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "join");

	node_thread_cut_peer(this->router->node_thread,
		peer && strcmp(peer, "all") ? name_id(peer) : 0, join == NULL);
	g_string_append(response->body, "ok\n");
}

/*
 * Applies a fleet configuration that the table has accepted, so that the fleet uses it even if
 * the table becomes unreachable now.
 */
static void post_accepted(operator_server_t *this, const GString *body, response_t *response)
{
	config_row_t row;

	if (!config_row_decode(body->str, &row)) {
		response->status = 400;
		return;
	}
	platform_watcher_apply_accepted(this->router->platform_watcher, &row);
	config_row_clear(&row);
}

static const handler_t handlers[] = {
	{"GET", "/live", false, get_live, NULL},
	{"GET", "/ready", false, get_ready, NULL},
	{"GET", "/status", false, get_status, NULL},
	{"GET", "/metrics", false, get_metrics, NULL},
	{"GET", "/burn", false, get_burn, NULL},
	{"GET", "/fleet/text", true, get_config, NULL},
	{"POST", "/fleet/accepted", true, NULL, post_accepted},
	{"POST", "/cut", true, post_cut, NULL},
};

/* Compares in constant time, so that the timing does not reveal where the strings differ. */
static bool secrets_equal(const char *a, const char *b)
{
	size_t len = strlen(a);
	unsigned char different = 0;

	if (strlen(b) != len)
		return false;
	for (size_t i = 0; i < len; i++)
		different |= (unsigned char)(a[i] ^ b[i]);
	return !different;
}

static bool is_authorized(const operator_server_t *this, struct MHD_Connection *connection)
{
	const char *given =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Authorization");

	if (!given || !g_str_has_prefix(given, "Bearer "))
		return false;
	return secrets_equal(this->router->settings->operator_token, given + strlen("Bearer "));
}

static const handler_t *find_handler(const char *method, const char *path)
{
	for (unsigned int i = 0; i < ARRAY_LEN(handlers); i++) {
		if (!strcmp(handlers[i].method, method) && !strcmp(handlers[i].path, path))
			return &handlers[i];
	}
	return NULL;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection, const char *path,
	const char *method, const char *version, const char *data, size_t *size, void **state)
{
	operator_server_t *this = ctx;
	const handler_t *handler = find_handler(method, path);
	response_t response = {200, "text/plain", NULL};
	struct MHD_Response *mhd_response;
	enum MHD_Result result;

	GString *body = *state;

	if (!body) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size) {
		if (body->len + *size <= MAX_BODY)
			g_string_append_len(body, data, (gssize)*size);
		/* A chunk beyond the limit is dropped, which leaves the body incomplete. */
		*size = 0;
		return MHD_YES;
	}
	response.body = g_string_new(NULL);
	if (!handler)
		response.status = 404;
	else if (handler->needs_token && !is_authorized(this, connection))
		response.status = 401;
	else if (handler->handle_body)
		handler->handle_body(this, body, &response);
	else
		handler->handle(this, connection, &response);
	mhd_response = MHD_create_response_from_buffer(
		response.body->len, response.body->str, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(mhd_response, "Content-Type", response.type);
	result = MHD_queue_response(connection, (unsigned int)response.status, mhd_response);
	MHD_destroy_response(mhd_response);
	g_string_free(response.body, TRUE);
	return result;
}

static void on_completed(void *ctx, struct MHD_Connection *connection, void **state,
	enum MHD_RequestTerminationCode code)
{
	if (*state)
		g_string_free(*state, TRUE);
	*state = NULL;
}

operator_server_t *operator_server_new(router_t *router)
{
	operator_server_t *this = g_new0(operator_server_t, 1);
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	this->router = router;
	address_parse(router->settings->operator_address, ip, sizeof(ip), &port);
	sin.sin_port = htons(port);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	this->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		port, NULL, NULL, on_request, this, MHD_OPTION_SOCK_ADDR, &sin,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
		MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT, 10U,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (!this->daemon) {
		g_free(this);
		return NULL;
	}
	return this;
}

void operator_server_delete(operator_server_t *this)
{
	if (!this)
		return;
	MHD_stop_daemon(this->daemon);
	g_free(this);
}
