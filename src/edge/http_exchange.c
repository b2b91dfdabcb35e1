#include "edge/http_exchange.h"

#include <arpa/inet.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "edge/tcp_end.h"
#include "settings/address.h"

#define READ_SIZE 16384
#define END_POLL_MS 5 /* between looks at what the server has not acknowledged */

/* neon takes whole seconds, and a timeout must be greater than 0; rounds up. */
static int timeout_seconds(unsigned int ms)
{
	return ms ? (int)((ms + 999) / 1000) : 1;
}

static bool connect_socket(http_exchange_t *this, const http_options_t *options)
{
	char ip[INET_ADDRSTRLEN];
	ne_inet_addr *address;
	uint16_t port;
	int result;

	if (!address_parse(options->address, ip, sizeof(ip), &port))
		return false;
	address = ne_iaddr_parse(ip, ne_iaddr_ipv4);
	this->socket = ne_sock_create();
	ne_sock_connect_timeout(this->socket, timeout_seconds(options->connect_timeout_ms));
	ne_sock_read_timeout(this->socket, timeout_seconds(options->read_timeout_ms));
	result = ne_sock_connect(this->socket, address, port);
	ne_iaddr_free(address);
	return !result;
}

static GString *format_head(const http_options_t *options)
{
	GString *head = g_string_new(NULL);

	g_string_printf(head, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n",
		options->method, options->path, options->address);
	for (unsigned int i = 0; i < options->header_count; i++)
		g_string_append_printf(
			head, "%s: %s\r\n", options->headers[i].name, options->headers[i].value);
	if (options->body_len || strcmp(options->method, "GET"))
		g_string_append_printf(head, "Content-Length: %zu\r\n", options->body_len);
	g_string_append(head, "\r\n");
	return head;
}

static bool send_request(http_exchange_t *this, const http_options_t *options)
{
	GString *head = format_head(options);
	struct ne_iovec parts[] = {
		{head->str, head->len}, {(void *)options->body, options->body_len}};
	int result = ne_sock_fullwritev(this->socket, parts, options->body_len ? 2 : 1);

	g_string_free(head, TRUE);
	return !result;
}

/* A response that ends with the connection is whole once the server has taken the request. */
static bool ends_in_order(const http_exchange_t *this)
{
	int fd = ne_sock_fd(this->socket);
	instant_t until = clock_now() + this->read_timeout_ms * USEC_PER_MSEC;

	while (!tcp_end_was_reset(fd)) {
		if (!tcp_end_is_pending(fd))
			return true;
		if (clock_now() >= until)
			return false;
		g_usleep(END_POLL_MS * USEC_PER_MSEC);
	}
	return false;
}

static bool read_end(http_exchange_t *this)
{
	if (http_response_ends_by_close(&this->response) && !ends_in_order(this))
		return false;
	return http_response_end(&this->response);
}

static bool read_some(http_exchange_t *this)
{
	char buffer[READ_SIZE];
	ssize_t n = ne_sock_read(this->socket, buffer, sizeof(buffer));

	if (n == NE_SOCK_CLOSED)
		return read_end(this);
	if (n < 0)
		return false;
	if (http_response_feed(&this->response, buffer, (size_t)n))
		return true;
	log_warn("response-malformed", "address=%s fault=%s", this->address,
		http_response_fault(&this->response));
	return false;
}

http_result_t http_exchange_begin(http_exchange_t *this, const http_options_t *options)
{
	bool good = true;

	memset(this, 0, sizeof(*this));
	this->body = g_string_new(NULL);
	this->address = g_strdup(options->address);
	this->read_timeout_ms = options->read_timeout_ms;
	http_response_init(&this->response, this->body);
	this->response.is_to_head = !strcmp(options->method, "HEAD");
	if (!connect_socket(this, options))
		return HTTP_NOT_SENT;
	if (!send_request(this, options))
		return HTTP_INCOMPLETE;
	while (good && !this->response.head_complete)
		good = read_some(this);
	this->status = (int)http_response_status(&this->response);
	return good ? HTTP_OK : HTTP_INCOMPLETE;
}

ssize_t http_exchange_read(http_exchange_t *this, char *buffer, size_t size)
{
	while (!this->body->len && !this->response.complete) {
		if (!read_some(this))
			return -1;
	}
	size = MIN(size, this->body->len);
	memcpy(buffer, this->body->str, size);
	g_string_erase(this->body, 0, (gssize)size);
	return (ssize_t)size;
}

const char *http_exchange_header(http_exchange_t *this, const char *name)
{
	return http_response_header(&this->response, name);
}

void http_exchange_delete(http_exchange_t *this)
{
	if (this->socket)
		ne_sock_close(this->socket);
	if (this->body) {
		http_response_clear(&this->response);
		g_string_free(this->body, TRUE);
	}
	g_free(this->address);
	memset(this, 0, sizeof(*this));
}
