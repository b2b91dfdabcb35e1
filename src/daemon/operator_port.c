#include "daemon/operator_port.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <urcu/uatomic.h>

#include "edge/clock.h"
#include "edge/metrics.h"
#include "settings/address.h"
#include "settings/text_row.h"

#define TEXT_TYPE "text/plain; version=0.0.4"
#define JSON_TYPE "application/json"
#define MAX_CONNECTIONS 64

struct operator_port {
	router_t *router;
	struct MHD_Daemon *daemon;
};

#define MAX_BODY (16U << 20) /* of a fleet text */

typedef struct answer {
	int status;
	const char *type;
	GString *text;
} answer_t;

typedef struct page {
	const char *method;
	const char *path;
	bool needs_token;
	void (*write)(operator_port_t *this, struct MHD_Connection *connection, answer_t *answer);
	/* For pages that take a body. */
	void (*take)(operator_port_t *this, const GString *body, answer_t *answer);
} page_t;

static void write_live(operator_port_t *this, struct MHD_Connection *connection, answer_t *answer)
{
	g_string_append(answer->text, "live\n");
}

static void write_ready(operator_port_t *this, struct MHD_Connection *connection, answer_t *answer)
{
	bool ready = router_is_ready(this->router);

	answer->status = ready ? 200 : 503;
	g_string_append(answer->text, ready ? "ready\n" : "not ready\n");
}

static void write_status(operator_port_t *this, struct MHD_Connection *connection, answer_t *answer)
{
	router_t *router = this->router;

	answer->type = JSON_TYPE;
	g_string_append_printf(answer->text,
		"{\"name\":\"%s\",\"domain\":\"%s\",\"ready\":%s,\"stopping\":%s,\"active\":%d,"
		"\"text_version\":%" G_GUINT64_FORMAT ",\"unsettled_orders\":%u,",
		router->settings->name, router->settings->failure_domain,
		router_is_ready(router) ? "true" : "false",
		router_is_stopping(router) ? "true" : "false", uatomic_read(&router->active),
		snapshot_version(&router->snapshot),
		router_is_stopping(router) ? 0 : settler_pending(router->settler));
	decider_status(router->decider, answer->text);
	g_string_append_c(answer->text, '}');
}

static void write_metrics(
	operator_port_t *this, struct MHD_Connection *connection, answer_t *answer)
{
	answer->type = TEXT_TYPE;
	for (unsigned int i = 0; i < COUNT_KINDS; i++)
		metrics_put(answer->text, router_counter_name((router_counter_t)i),
			uatomic_read(&this->router->counters[i]));
	metrics_put(answer->text, "requests_active", (uint64_t)uatomic_read(&this->router->active));
	metrics_put(answer->text, "text_version", snapshot_version(&this->router->snapshot));
	decider_metrics(this->router->decider, answer->text);
}

static void write_burn(operator_port_t *this, struct MHD_Connection *connection, answer_t *answer)
{
	answer->type = JSON_TYPE;
	burn_json(this->router->burn, answer->text, clock_now());
}

static void write_text(operator_port_t *this, struct MHD_Connection *connection, answer_t *answer)
{
	fleet_text_t *text = snapshot_get(&this->router->snapshot);
	char *value;

	answer->type = JSON_TYPE;
	if (!text) {
		answer->status = 404;
		return;
	}
	value = text_row_encode(&(text_row_t){text->version, (char *)"", text->source});
	g_string_append(answer->text, value);
	g_free(value);
	fleet_text_put(text);
}

/* Cuts this router off from a peer, or joins it again: for failure drills. */
static void write_cut(operator_port_t *this, struct MHD_Connection *connection, answer_t *answer)
{
	const char *peer = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "peer");
	const char *join = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "join");

	decider_cut(this->router->decider, peer && strcmp(peer, "all") ? name_id(peer) : 0,
		join == NULL);
	g_string_append(answer->text, "ok\n");
}

/* A text that the table accepted: the fleet has it even if the table goes away now. */
static void take_accepted(operator_port_t *this, const GString *body, answer_t *answer)
{
	text_row_t row;

	if (!text_row_decode(body->str, &row)) {
		answer->status = 400;
		return;
	}
	watcher_take(this->router->watcher, &row);
	text_row_clear(&row);
}

static const page_t pages[] = {
	{"GET", "/live", false, write_live, NULL},
	{"GET", "/ready", false, write_ready, NULL},
	{"GET", "/status", false, write_status, NULL},
	{"GET", "/metrics", false, write_metrics, NULL},
	{"GET", "/burn", false, write_burn, NULL},
	{"GET", "/fleet/text", true, write_text, NULL},
	{"POST", "/fleet/accepted", true, NULL, take_accepted},
	{"POST", "/cut", true, write_cut, NULL},
};

/* Compares in a time that does not depend on where the texts differ. */
static bool same_secret(const char *a, const char *b)
{
	size_t len = strlen(a);
	unsigned char different = 0;

	if (strlen(b) != len)
		return false;
	for (size_t i = 0; i < len; i++)
		different |= (unsigned char)(a[i] ^ b[i]);
	return !different;
}

static bool has_token(const operator_port_t *this, struct MHD_Connection *connection)
{
	const char *given =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Authorization");

	if (!given || !g_str_has_prefix(given, "Bearer "))
		return false;
	return same_secret(this->router->settings->operator_token, given + strlen("Bearer "));
}

static const page_t *find_page(const char *method, const char *path)
{
	for (unsigned int i = 0; i < ARRAY_LEN(pages); i++) {
		if (!strcmp(pages[i].method, method) && !strcmp(pages[i].path, path))
			return &pages[i];
	}
	return NULL;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection, const char *path,
	const char *method, const char *version, const char *data, size_t *size, void **state)
{
	operator_port_t *this = ctx;
	const page_t *page = find_page(method, path);
	answer_t answer = {200, "text/plain", NULL};
	struct MHD_Response *response;
	enum MHD_Result result;

	GString *body = *state;

	if (!body) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size) {
		if (body->len + *size <= MAX_BODY)
			g_string_append_len(body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	answer.text = g_string_new(NULL);
	if (!page)
		answer.status = 404;
	else if (page->needs_token && !has_token(this, connection))
		answer.status = 401;
	else if (page->take)
		page->take(this, body, &answer);
	else
		page->write(this, connection, &answer);
	response = MHD_create_response_from_buffer(
		answer.text->len, answer.text->str, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, "Content-Type", answer.type);
	result = MHD_queue_response(connection, (unsigned int)answer.status, response);
	MHD_destroy_response(response);
	g_string_free(answer.text, TRUE);
	return result;
}

static void on_completed(void *ctx, struct MHD_Connection *connection, void **state,
	enum MHD_RequestTerminationCode code)
{
	if (*state)
		g_string_free(*state, TRUE);
	*state = NULL;
}

operator_port_t *operator_port_new(router_t *router)
{
	operator_port_t *this = g_new0(operator_port_t, 1);
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	this->router = router;
	address_split(router->settings->operator_address, ip, sizeof(ip), &port);
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

void operator_port_delete(operator_port_t *this)
{
	if (!this)
		return;
	MHD_stop_daemon(this->daemon);
	g_free(this);
}
