#include "standin/server.h"

#include <arpa/inet.h>
#include <string.h>
#include <time.h>

#include "settings/address.h"

#define THREAD_STACK (256U << 10)
#define MAX_CONNECTIONS 8000

void sleep_ms(uint64_t ms)
{
	struct timespec ts = {(time_t)(ms / 1000), (long)(ms % 1000) * 1000000};

	while (nanosleep(&ts, &ts))
		;
}

/*
 * libmicrohttpd calls this once with the headers, once for each part of the body, and once at
 * the end of the request.
 */
static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection, const char *url,
	const char *method, const char *version, const char *data, size_t *size, void **state)
{
	server_t *this = ctx;
	server_request_t *request = *state;

	if (!request) {
		request = g_new0(server_request_t, 1);
		request->body = g_string_new(NULL);
		*state = request;
		return MHD_YES;
	}
	if (*size) {
		g_string_append_len(request->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	request->connection = connection;
	request->method = method;
	request->path = url;
	return this->handler(this->ctx, request);
}

static void on_completed(void *ctx, struct MHD_Connection *connection, void **state,
	enum MHD_RequestTerminationCode code)
{
	server_request_t *request = *state;

	if (!request)
		return;
	g_string_free(request->body, TRUE);
	g_free(request);
	*state = NULL;
}

server_t *server_new(const char *address, server_handler_t handler, void *ctx)
{
	server_t *this = g_new0(server_t, 1);
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	if (!address_parse(address, ip, sizeof(ip), &port))
		goto fail;
	sin.sin_port = htons(port);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	this->handler = handler;
	this->ctx = ctx;
	this->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		port, NULL, NULL, on_request, this, MHD_OPTION_SOCK_ADDR, &sin,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
		MAX_CONNECTIONS, MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (!this->daemon)
		goto fail;
	port = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	this->address = g_strdup_printf("%s:%u", ip, port);
	return this;
fail:
	g_free(this);
	return NULL;
}

void server_delete(server_t *this)
{
	if (!this)
		return;
	MHD_stop_daemon(this->daemon);
	g_free(this->address);
	g_free(this);
}

const char *server_request_header(server_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, name);
}

const char *server_query_value(server_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}

static enum MHD_Result respond(server_request_t *request, int status, const char *type,
	const char *body, size_t len, const char *name, const char *value)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", type);
	if (name)
		MHD_add_response_header(response, name, value);
	result = MHD_queue_response(request->connection, (unsigned int)status, response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result server_respond(
	server_request_t *request, int status, const char *type, const char *body, size_t len)
{
	return respond(request, status, type, body, len, NULL, NULL);
}

enum MHD_Result server_respond_json(server_request_t *request, int status, GString *text)
{
	return server_respond_json_with_header(request, status, text, NULL, NULL);
}

enum MHD_Result server_respond_json_with_header(
	server_request_t *request, int status, GString *text, const char *name, const char *value)
{
	enum MHD_Result result =
		respond(request, status, "application/json", text->str, text->len, name, value);

	g_string_free(text, TRUE);
	return result;
}

enum MHD_Result server_drop_connection(server_request_t *request)
{
	return MHD_NO;
}
