#include "filter/caller_server.h"

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include "filter/relay.h"
#include "filter/request.h"
#include "settings/address.h"

#define THREAD_STACK (256U << 10) /* bytes per connection */
#define HEADER_MEMORY (32U << 10) /* bytes per connection, limits the size of headers */
#define STREAM_BLOCK 8192

struct caller_server {
	router_t *router;
	struct MHD_Daemon *daemon;
	int quiesced_fd; /* listening socket to close after a quiesce, else -1 */
};

static ssize_t on_stream_read(void *ctx, uint64_t at, char *buffer, size_t size)
{
	ssize_t n = relay_read(ctx, buffer, size);

	if (n > 0)
		return n;
	return n == 0 ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
}

static void add_common_headers(const request_t *request, struct MHD_Response *response)
{
	char seconds[16];
	const char *outcome = outcome_name(reason_info(request->reason)->outcome);

	MHD_add_response_header(response, "X-Request-Id", request->id);
	MHD_add_response_header(response, "Amaranthwall-Outcome",
		request->is_stream && request->reason == REASON_NONE ? "streaming" : outcome);
	if (request->replayed)
		MHD_add_response_header(response, "Amaranthwall-Replayed", "true");
	if (reason_info(request->reason)->retry_after) {
		g_snprintf(seconds, sizeof(seconds), "%u",
			request->retry_after_s ? request->retry_after_s : 1);
		MHD_add_response_header(response, "Retry-After", seconds);
	}
	if (router_is_stopping(request->router))
		MHD_add_response_header(response, "Connection", "close");
}

/* An error as application/problem+json (RFC 7807). */
static struct MHD_Response *problem_response(const request_t *request)
{
	const reason_info_t *info = reason_info(request->reason);
	char *body =
		g_strdup_printf("{\"type\":\"%s\",\"title\":\"%s\",\"status\":%d,"
				"\"detail\":\"%s\",\"outcome\":\"%s\",\"request_id\":\"%s\"}\n",
			info->name, info->name, info->status, info->detail,
			outcome_name(info->outcome), request->id);
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(body), body, MHD_RESPMEM_MUST_COPY);

	MHD_add_response_header(response, "Content-Type", "application/problem+json");
	g_free(body);
	return response;
}

static struct MHD_Response *whole_response(const request_t *request)
{
	const order_response_t *whole = &request->response;
	struct MHD_Response *response = MHD_create_response_from_buffer(
		whole->body->len, whole->body->str, MHD_RESPMEM_MUST_COPY);

	MHD_add_response_header(response, "Content-Type", whole->type);
	return response;
}

static struct MHD_Response *stream_response(request_t *request)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK, on_stream_read, request, NULL);

	MHD_add_response_header(response, "Content-Type", "text/event-stream");
	MHD_add_response_header(response, "Cache-Control", "no-cache");
	return response;
}

static enum MHD_Result send_response(request_t *request)
{
	int status = reason_info(request->reason)->status;
	struct MHD_Response *response;
	enum MHD_Result result;

	if (request->reason != REASON_NONE) {
		response = problem_response(request);
	} else if (request->is_stream && !request->replayed) {
		response = stream_response(request);
	} else {
		response = whole_response(request);
		status = request->response.status;
	}
	add_common_headers(request, response);
	result = MHD_queue_response(request->connection, (unsigned int)status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection, const char *path,
	const char *method, const char *version, const char *data, size_t *size, void **state)
{
	caller_server_t *this = ctx;
	request_t *request = *state;

	if (!request) {
		*state = request_new(this->router, connection, method, path);
		return MHD_YES;
	}
	if (*size) {
		if (request->body->len + *size > this->router->settings->max_body_bytes)
			request->too_large = true;
		else
			g_string_append_len(request->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	request_run(request);
	return send_response(request);
}

static void on_completed(void *ctx, struct MHD_Connection *connection, void **state,
	enum MHD_RequestTerminationCode code)
{
	if (*state)
		request_delete(*state);
	*state = NULL;
}

caller_server_t *caller_server_new(router_t *router)
{
	const router_settings_t *settings = router->settings;
	caller_server_t *this = g_new0(caller_server_t, 1);
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	this->router = router;
	this->quiesced_fd = -1;
	address_parse(settings->caller_address, ip, sizeof(ip), &port);
	sin.sin_port = htons(port);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	this->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		port, NULL, NULL, on_request, this, MHD_OPTION_SOCK_ADDR, &sin,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
		settings->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
		settings->idle_timeout_ms / 1000, MHD_OPTION_THREAD_STACK_SIZE,
		(size_t)THREAD_STACK, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HEADER_MEMORY,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
		MHD_OPTION_END);
	if (!this->daemon) {
		g_free(this);
		return NULL;
	}
	return this;
}

void caller_server_quiesce(caller_server_t *this)
{
	this->quiesced_fd = MHD_quiesce_daemon(this->daemon);
}

void caller_server_delete(caller_server_t *this)
{
	if (!this)
		return;
	MHD_stop_daemon(this->daemon);
	if (this->quiesced_fd >= 0)
		close(this->quiesced_fd);
	g_free(this);
}
