#include "edge/http_call.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <neon/ne_socket.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "edge/clock.h"
#include "edge/http_response.h"
#include "edge/log.h"
#include "settings/address.h"

typedef struct http_call {
	const http_options_t *options;
	CURLM *multi;
	CURL *easy;
	struct curl_slist *headers;
	http_response_t response;
	size_t max_response;
	bool is_bad; /* what was received is no response, or too large a one */
	/* When the connection must be there, then when more of the response must have arrived. */
	instant_t read_by;
} http_call_t;

void http_init(void)
{
	ne_sock_init();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
}

static void extend_deadline(http_call_t *this)
{
	this->read_by = clock_now() + this->options->read_timeout_ms * USEC_PER_MSEC;
}

static bool is_too_large(const http_call_t *this)
{
	return this->response.head_too_large || this->response.body->len > this->max_response;
}

/* Of a body, libcurl passes the bytes as they came; see CURLOPT_HTTP_TRANSFER_DECODING. */
static size_t on_bytes(char *data, size_t size, size_t count, void *ctx)
{
	http_call_t *this = ctx;

	extend_deadline(this);
	this->is_bad =
		!http_response_feed(&this->response, data, size * count) || is_too_large(this);
	return this->is_bad ? 0 : size * count;
}

static int on_socket(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	unsigned int timeout_ms = HTTP_CALL_SILENCE_S * 1000;
	int interval = HTTP_CALL_PROBE_INTERVAL_S;
	int probes = HTTP_CALL_PROBES;
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	return CURL_SOCKOPT_OK;
}

static int on_connected(void *ctx, char *ip, char *local_ip, int port, int local_port)
{
	extend_deadline(ctx);
	return CURL_PREREQFUNC_OK;
}

static void add_headers(http_call_t *this)
{
	const http_options_t *options = this->options;
	bool has_type = false;

	for (unsigned int i = 0; i < options->header_count; i++) {
		char *line = g_strdup_printf(
			"%s: %s", options->headers[i].name, options->headers[i].value);

		has_type |= !strcasecmp(options->headers[i].name, "Content-Type");
		this->headers = curl_slist_append(this->headers, line);
		g_free(line);
	}
	/* Headers that libcurl would add by itself. */
	if (!has_type)
		this->headers = curl_slist_append(this->headers, "Content-Type:");
	this->headers = curl_slist_append(this->headers, "Expect:");
	curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headers);
}

static void set_options(http_call_t *this)
{
	const http_options_t *options = this->options;
	char *url = g_strconcat("http://", options->address, options->path, NULL);

	curl_easy_setopt(this->easy, CURLOPT_URL, url);
	curl_easy_setopt(this->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)options->connect_timeout_ms);
	curl_easy_setopt(this->easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
	curl_easy_setopt(this->easy, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(this->easy, CURLOPT_PREREQDATA, this);
	curl_easy_setopt(this->easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
	curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, on_bytes);
	curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
	curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, on_bytes);
	curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
	if (options->body_len || strcmp(options->method, "GET")) {
		curl_easy_setopt(
			this->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)options->body_len);
		curl_easy_setopt(
			this->easy, CURLOPT_POSTFIELDS, options->body ? options->body : "");
	}
	curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, options->method);
	add_headers(this);
	g_free(url);
}

/* Runs the transfer until it ends or its deadline passes; true if the response is complete. */
static bool perform(http_call_t *this)
{
	int running = 1;
	int queued;
	const CURLMsg *message;

	this->read_by = clock_now() + this->options->connect_timeout_ms * USEC_PER_MSEC;
	curl_multi_add_handle(this->multi, this->easy);
	while (curl_multi_perform(this->multi, &running) == CURLM_OK && running &&
		!this->response.complete) {
		uint64_t left = instant_left(this->read_by, clock_now());

		if (!left)
			break;
		curl_multi_poll(this->multi, NULL, 0,
			(int)((left + USEC_PER_MSEC - 1) / USEC_PER_MSEC), NULL);
	}
	if (this->is_bad || this->response.complete)
		return !this->is_bad;
	message = curl_multi_info_read(this->multi, &queued);
	return message && message->msg == CURLMSG_DONE && message->data.result == CURLE_OK &&
	       http_response_end(&this->response);
}

static http_result_t result_of(const http_call_t *this, bool complete)
{
	curl_off_t connect_time = 0;

	if (this->is_bad && is_too_large(this))
		return HTTP_TOO_LARGE;
	if (this->is_bad)
		log_warn("response-malformed", "address=%s fault=%s", this->options->address,
			http_response_fault(&this->response));
	if (complete)
		return HTTP_OK;
	curl_easy_getinfo(this->easy, CURLINFO_CONNECT_TIME_T, &connect_time);
	return connect_time ? HTTP_INCOMPLETE : HTTP_NOT_SENT;
}

static char *copy_header(const http_call_t *this, const char *name)
{
	return this->response.head_complete ? g_strdup(http_response_header(&this->response, name))
					    : NULL;
}

http_result_t http_call(
	const http_options_t *options, size_t max_response, GString *response, int *status)
{
	return http_call_with_header(options, max_response, response, status, NULL, NULL);
}

http_result_t http_call_with_header(const http_options_t *options, size_t max_response,
	GString *response, int *status, const char *name, char **value)
{
	http_call_t this = {.options = options, .max_response = max_response};
	char ip[INET_ADDRSTRLEN];
	http_result_t result;
	uint16_t port;

	if (value)
		*value = NULL;
	if (!address_parse(options->address, ip, sizeof(ip), &port))
		return HTTP_NOT_SENT;
	this.multi = curl_multi_init();
	this.easy = curl_easy_init();
	http_response_init(&this.response, response);
	set_options(&this);
	result = result_of(&this, perform(&this));
	if (this.response.head_complete)
		*status = (int)http_response_status(&this.response);
	if (value)
		*value = copy_header(&this, name);
	curl_multi_remove_handle(this.multi, this.easy);
	curl_easy_cleanup(this.easy);
	curl_multi_cleanup(this.multi);
	curl_slist_free_all(this.headers);
	http_response_clear(&this.response);
	return result;
}
