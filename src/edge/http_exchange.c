#include "edge/http_exchange.h"

#include <arpa/inet.h>
#include <neon/ne_socket.h>
#include <string.h>

#include "settings/address.h"

static void on_status(void *ctx, ne_session_status status, const ne_session_status_info *info)
{
	http_exchange_t *this = ctx;

	if (status == ne_status_connected)
		this->connected = true;
}

/* neon takes whole seconds, and a timeout must be greater than 0; rounds up. */
static int timeout_seconds(unsigned int ms)
{
	return ms ? (int)((ms + 999) / 1000) : 1;
}

static bool open_session(http_exchange_t *this, const http_options_t *options)
{
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	if (!address_parse(options->address, ip, sizeof(ip), &port))
		return false;
	this->session = ne_session_create("http", ip, port);
	ne_set_session_flag(this->session, NE_SESSFLAG_PERSIST, 0);
	ne_set_connect_timeout(this->session, timeout_seconds(options->connect_timeout_ms));
	ne_set_read_timeout(this->session, timeout_seconds(options->read_timeout_ms));
	ne_set_notifier(this->session, on_status, this);
	return true;
}

http_result_t http_exchange_begin(http_exchange_t *this, const http_options_t *options)
{
	memset(this, 0, sizeof(*this));
	if (!open_session(this, options))
		return HTTP_NOT_SENT;
	this->request = ne_request_create(this->session, options->method, options->path);
	ne_set_request_flag(this->request, NE_REQFLAG_IDEMPOTENT, 0);
	for (unsigned int i = 0; i < options->header_count; i++)
		ne_add_request_header(
			this->request, options->headers[i].name, options->headers[i].value);
	if (options->body_len)
		ne_set_request_body_buffer(this->request, options->body, options->body_len);
	if (ne_begin_request(this->request) != NE_OK)
		return this->connected ? HTTP_INCOMPLETE : HTTP_NOT_SENT;
	this->status = ne_get_status(this->request)->code;
	return HTTP_OK;
}

ssize_t http_exchange_read(http_exchange_t *this, char *buffer, size_t size)
{
	ssize_t n = ne_read_response_block(this->request, buffer, size);

	if (n == 0 && ne_end_request(this->request) != NE_OK)
		return -1;
	return n;
}

const char *http_exchange_header(http_exchange_t *this, const char *name)
{
	return ne_get_response_header(this->request, name);
}

void http_exchange_delete(http_exchange_t *this)
{
	if (this->request)
		ne_request_destroy(this->request);
	if (this->session) {
		ne_close_connection(this->session);
		ne_session_destroy(this->session);
	}
	memset(this, 0, sizeof(*this));
}
