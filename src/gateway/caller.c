#include "gateway/caller.h"

#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "edge/clock.h"
#include "edge/log.h"

#define READ_SIZE 16384
#define MAX_PIPELINED_BYTES 65536 /* buffered during a response before reading stops */
#define WRITE_HIGH_WATER 131072	  /* pending bytes above which reading the endpoint stops */
#define CHUNK_HEAD_SIZE 16

typedef enum caller_state {
	CALLER_READING,
	CALLER_RESPONDING, /* a complete request awaits its response */
	CALLER_CLOSING,	   /* our side is shut down; waits for the caller to close */
	CALLER_CLOSED,
} caller_state_t;

struct caller {
	uv_tcp_t tcp;
	caller_group_t *group;
	struct cds_list_head link; /* in its group's list */
	http_parser parser;
	caller_state_t state;
	caller_wait_t wait;
	caller_request_t request;
	size_t head_bytes; /* names and values; counted anew for the trailer */
	bool request_complete;
	unsigned int error_status; /* status for a rejected request; 0: 400 */
	GString *pipelined;	   /* bytes received after the current request */
	void *exchange;		   /* the user's object for the current request */
	bool close_after_response;
	bool chunked;
	bool head_sent;
	bool no_body;
	unsigned int pending_writes;
	buffer_holder_t unwritten; /* memory of the pending writes */
	size_t unwritten_bytes;	   /* the same; counted without a pool too */
	bool is_reading;
};

static _Thread_local char read_buffer[READ_SIZE];

static void caller_parse(caller_t *this, const char *data, size_t len);

static void set_wait(caller_t *this, caller_wait_kind_t kind)
{
	caller_group_set_wait(this->group, &this->wait, kind, clock_now());
}

/* --- closing ---------------------------------------------------------- */

static void request_clear(caller_t *this)
{
	caller_request_t *request = &this->request;

	if (request->target)
		g_string_free(request->target, TRUE);
	if (request->body)
		g_string_free(request->body, TRUE);
	if (request->names)
		g_ptr_array_unref(request->names);
	if (request->values)
		g_ptr_array_unref(request->values);
	memset(request, 0, sizeof(*request));
}

static void on_closed(uv_handle_t *handle)
{
	caller_t *this = handle->data;
	caller_group_t *group = this->group;

	request_clear(this);
	if (this->pipelined)
		g_string_free(this->pipelined, TRUE);
	g_free(this);
	group->allocated--;
	group->on_closed(group);
}

static void update_unwritten(caller_t *this, size_t bytes)
{
	this->unwritten_bytes = bytes;
	if (this->group->buffers && this->state != CALLER_CLOSED)
		buffer_pool_update(this->group->buffers, &this->unwritten, bytes);
}

/* Returns false if the connection is closed already. */
static bool leave_group(caller_t *this)
{
	if (this->state == CALLER_CLOSED)
		return false;
	update_unwritten(this, 0);
	this->state = CALLER_CLOSED;
	this->group->connected--;
	cds_list_del(&this->link);
	set_wait(this, CALLER_WAIT_NONE);
	return true;
}

static void caller_close(caller_t *this)
{
	if (leave_group(this))
		uv_close((uv_handle_t *)&this->tcp, on_closed);
}

void caller_disconnect(caller_t *this)
{
	void *exchange = this->exchange;

	this->exchange = NULL;
	caller_close(this);
	if (exchange)
		this->group->ops->on_gone(exchange);
}

bool caller_has_left(const caller_t *this)
{
	char byte;
	ssize_t n;
	int fd;

	if (uv_fileno((const uv_handle_t *)&this->tcp, &fd))
		return true;
	n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void caller_abort(caller_t *this)
{
	this->exchange = NULL;
	if (leave_group(this) && uv_tcp_close_reset(&this->tcp, on_closed))
		uv_close((uv_handle_t *)&this->tcp, on_closed);
}

static void on_reclaim(buffer_holder_t *unwritten)
{
	caller_t *this = caa_container_of(unwritten, caller_t, unwritten);
	void *exchange = this->exchange;

	log_warn("caller-too-slow", "unwritten=%zu responding=%d", this->unwritten_bytes,
		exchange != NULL);
	this->group->reclaimed++;
	caller_abort(this);
	if (exchange)
		this->group->ops->on_gone(exchange);
}

/* --- writing ---------------------------------------------------------- */

typedef struct pending_write {
	uv_write_t write;
	caller_t *caller;
	GString *bytes;
	size_t size; /* of memory */
} pending_write_t;

static void on_shutdown(uv_shutdown_t *shutdown, int status)
{
	g_free(shutdown);
}

/*
 * Shuts down our side and waits for the caller to close: an immediate close could
 * reset the connection before the caller has read the response.
 */
static void caller_shutdown(caller_t *this)
{
	uv_shutdown_t *shutdown = g_new0(uv_shutdown_t, 1);

	this->state = CALLER_CLOSING;
	set_wait(this, CALLER_WAIT_CLOSE);
	if (uv_shutdown(shutdown, (uv_stream_t *)&this->tcp, on_shutdown)) {
		g_free(shutdown);
		caller_close(this);
	}
}

static void on_written(uv_write_t *write, int status)
{
	pending_write_t *pending = (pending_write_t *)write;
	caller_t *this = pending->caller;

	this->pending_writes--;
	if (this->state != CALLER_CLOSED)
		update_unwritten(this, this->unwritten_bytes - pending->size);
	g_string_free(pending->bytes, TRUE);
	g_free(pending);
	if (this->state == CALLER_CLOSED)
		return;
	if (status)
		caller_disconnect(this);
	else if (this->exchange && this->head_sent && !caller_is_write_blocked(this))
		this->group->ops->on_drained(this->exchange);
}

/* Takes ownership of `bytes`. */
static void caller_write(caller_t *this, GString *bytes)
{
	uv_buf_t buffer = uv_buf_init(bytes->str, (unsigned int)bytes->len);
	pending_write_t *pending;
	int written = 0;

	if (this->state == CALLER_CLOSED) {
		g_string_free(bytes, TRUE);
		return;
	}
	if (!this->pending_writes)
		written = uv_try_write((uv_stream_t *)&this->tcp, &buffer, 1);
	if (written == (int)bytes->len) {
		g_string_free(bytes, TRUE);
		return;
	}
	if (written > 0)
		g_string_erase(bytes, 0, written);
	pending = g_new0(pending_write_t, 1);
	pending->caller = this;
	pending->bytes = bytes;
	pending->size = sizeof(*pending) + sizeof(*bytes) + bytes->allocated_len;
	buffer = uv_buf_init(bytes->str, (unsigned int)bytes->len);
	if (uv_write(&pending->write, (uv_stream_t *)&this->tcp, &buffer, 1, on_written)) {
		g_string_free(bytes, TRUE);
		g_free(pending);
		return;
	}
	this->pending_writes++;
	update_unwritten(this, this->unwritten_bytes + pending->size);
}

bool caller_is_write_blocked(const caller_t *this)
{
	return this->unwritten_bytes > WRITE_HIGH_WATER;
}

static const char *status_text(unsigned int status)
{
	return http_status_str((enum http_status)status);
}

static GString *format_head(caller_t *this, unsigned int status, const char *headers)
{
	GString *head = g_string_sized_new(512);

	g_string_append_printf(head, "HTTP/1.1 %u %s\r\n", status, status_text(status));
	g_string_append(head, headers);
	if (this->close_after_response || this->group->draining ||
		caller_group_is_crowded(this->group)) {
		this->close_after_response = true;
		g_string_append(head, "Connection: close\r\n");
	}
	return head;
}

/* Returns to reading; parse_pipelined() has to follow. */
static void finish_exchange(caller_t *this)
{
	this->exchange = NULL;
	request_clear(this);
	this->request_complete = false;
	this->head_sent = false;
	if (this->close_after_response) {
		caller_shutdown(this);
		return;
	}
	this->state = CALLER_READING;
	set_wait(this, CALLER_WAIT_IDLE);
}

static void parse_pipelined(caller_t *this)
{
	GString *pipelined = this->pipelined;

	if (this->state != CALLER_READING || !pipelined)
		return;
	this->pipelined = NULL;
	caller_parse(this, pipelined->str, pipelined->len);
	g_string_free(pipelined, TRUE);
}

void caller_send_response(
	caller_t *this, unsigned int status, const char *headers, const char *body, size_t body_len)
{
	GString *bytes = format_head(this, status, headers);

	g_string_append_printf(bytes, "Content-Length: %zu\r\n\r\n", body_len);
	if (!this->request.is_head)
		g_string_append_len(bytes, body, (gssize)body_len);
	caller_write(this, bytes);
	if (this->state == CALLER_CLOSED)
		return;
	finish_exchange(this);
	parse_pipelined(this);
}

static bool has_no_body(unsigned int status)
{
	return status == 204 || status == 304;
}

void caller_send_head(caller_t *this, unsigned int status, const char *headers, int64_t length)
{
	GString *bytes;

	this->head_sent = true;
	this->no_body = has_no_body(status) || this->request.is_head;
	this->chunked = length < 0 && !has_no_body(status) && this->parser.http_minor >= 1;
	if (length < 0 && !this->chunked && !this->no_body)
		this->close_after_response = true;
	bytes = format_head(this, status, headers);
	if (this->chunked)
		g_string_append(bytes, "Transfer-Encoding: chunked\r\n\r\n");
	else if (length >= 0 && !has_no_body(status))
		g_string_append_printf(
			bytes, "Content-Length: %" G_GINT64_FORMAT "\r\n\r\n", (gint64)length);
	else
		g_string_append(bytes, "\r\n");
	caller_write(this, bytes);
}

void caller_send_body(caller_t *this, const char *data, size_t len)
{
	GString *bytes;

	if (!len || this->no_body)
		return;
	bytes = g_string_sized_new(len + 2 * CHUNK_HEAD_SIZE);
	if (this->chunked)
		g_string_append_printf(bytes, "%zx\r\n", len);
	g_string_append_len(bytes, data, (gssize)len);
	if (this->chunked)
		g_string_append(bytes, "\r\n");
	caller_write(this, bytes);
}

void caller_finish_response(caller_t *this)
{
	if (this->chunked && !this->no_body)
		caller_write(this, g_string_new("0\r\n\r\n"));
	if (this->state == CALLER_CLOSED)
		return;
	finish_exchange(this);
	parse_pipelined(this);
}

/* --- reading ---------------------------------------------------------- */

static const catalog_limits_t *limits_of(const caller_t *this)
{
	return this->group->limits(this->group->ctx);
}

static int on_message_begin(http_parser *parser)
{
	caller_t *this = parser->data;

	request_clear(this);
	this->request.target = g_string_new(NULL);
	this->request.names = g_ptr_array_new_with_free_func(g_free);
	this->request.values = g_ptr_array_new_with_free_func(g_free);
	this->request.body = g_string_new(NULL);
	this->request.began = clock_now();
	set_wait(this, CALLER_WAIT_HEAD);
	this->request_complete = false;
	this->error_status = 0;
	this->head_bytes = 0;
	return 0;
}

/* Adds to the head's size; a non-zero result stops the parser. */
static int count_head_bytes(caller_t *this, size_t len)
{
	this->head_bytes += len;
	if (this->head_bytes <= limits_of(this)->header_bytes)
		return 0;
	this->error_status = 431;
	return -1;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	caller_t *this = parser->data;

	g_string_append_len(this->request.target, at, (gssize)len);
	return count_head_bytes(this, len);
}

/* Appends to the last string of the list. */
static void append_to_last(GPtrArray *list, const char *at, size_t len)
{
	char *old = list->pdata[list->len - 1];
	size_t old_len = strlen(old);
	char *extended = g_realloc(old, old_len + len + 1);

	memcpy(extended + old_len, at, len);
	extended[old_len + len] = '\0';
	list->pdata[list->len - 1] = extended;
}

/* Fields after the body are bounded and dropped: what decides has to stand in the head. */
static bool is_in_trailer(const http_parser *parser)
{
	return parser->flags & F_TRAILING;
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	caller_t *this = parser->data;
	caller_request_t *request = &this->request;

	if (is_in_trailer(parser))
		return count_head_bytes(this, len);
	if (memchr(at, 0, len))
		return -1;
	if (request->names->len == request->values->len)
		g_ptr_array_add(request->names, g_strndup(at, len));
	else
		append_to_last(request->names, at, len);
	return count_head_bytes(this, len);
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	caller_t *this = parser->data;
	caller_request_t *request = &this->request;

	if (is_in_trailer(parser))
		return count_head_bytes(this, len);
	if (memchr(at, 0, len) || memchr(at, '\r', len) || memchr(at, '\n', len))
		return -1;
	if (request->values->len < request->names->len)
		g_ptr_array_add(request->values, g_strndup(at, len));
	else
		append_to_last(request->values, at, len);
	return count_head_bytes(this, len);
}

static int on_headers_complete(http_parser *parser)
{
	caller_t *this = parser->data;
	const char *expect = caller_header(&this->request, "Expect");

	if (this->request.values->len < this->request.names->len)
		g_ptr_array_add(this->request.values, g_strdup(""));
	this->request.method = http_method_str((enum http_method)parser->method);
	this->request.is_head = parser->method == HTTP_HEAD;
	this->close_after_response = !http_should_keep_alive(parser);
	this->head_bytes = 0;
	set_wait(this, CALLER_WAIT_BODY);
	if (parser->upgrade || parser->method == HTTP_CONNECT) {
		this->error_status = 400;
		return -1;
	}
	if (parser->content_length != UINT64_MAX &&
		parser->content_length > limits_of(this)->body_bytes) {
		this->error_status = 413;
		return -1;
	}
	if (expect && !strcasecmp(expect, "100-continue"))
		caller_write(this, g_string_new("HTTP/1.1 100 Continue\r\n\r\n"));
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	caller_t *this = parser->data;

	if (this->request.body->len + len > limits_of(this)->body_bytes) {
		this->error_status = 413;
		return -1;
	}
	g_string_append_len(this->request.body, at, (gssize)len);
	set_wait(this, CALLER_WAIT_BODY); /* a slow body is allowed while it makes progress */
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	caller_t *this = parser->data;

	this->request_complete = true;
	http_parser_pause(parser, 1); /* one request at a time; the rest is buffered */
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

const char *caller_header(const caller_request_t *request, const char *name)
{
	for (unsigned int i = 0; i < request->values->len; i++) {
		if (!strcasecmp(request->names->pdata[i], name))
			return request->values->pdata[i];
	}
	return NULL;
}

void caller_set_exchange(caller_t *this, void *exchange)
{
	this->exchange = exchange;
}

static void reject_request(caller_t *this)
{
	unsigned int status = this->error_status ? this->error_status : 400;

	log_info("http-request-rejected", "status=%u parser=%s", status,
		http_errno_name(HTTP_PARSER_ERRNO(&this->parser)));
	this->close_after_response = true;
	caller_send_response(this, status, "", "", 0);
}

static void buffer_pipelined(caller_t *this, const char *data, size_t len)
{
	if (!len)
		return;
	if (!this->pipelined)
		this->pipelined = g_string_new(NULL);
	g_string_append_len(this->pipelined, data, (gssize)len);
	if (this->pipelined->len <= MAX_PIPELINED_BYTES)
		return;
	uv_read_stop((uv_stream_t *)&this->tcp);
	this->is_reading = false;
}

static void start_reading(caller_t *this);

static void start_exchange(caller_t *this)
{
	const caller_group_t *group = this->group;

	this->state = CALLER_RESPONDING;
	set_wait(this, CALLER_WAIT_NONE);
	group->ops->on_request(group->ctx, this, &this->request);
}

static void caller_parse(caller_t *this, const char *data, size_t len)
{
	size_t used;

	http_parser_pause(&this->parser, 0);
	used = http_parser_execute(&this->parser, &parser_settings, data, len);
	if (this->state == CALLER_CLOSED)
		return;
	if (this->request_complete) {
		buffer_pipelined(this, data + used, len - used);
		start_exchange(this);
		return;
	}
	if (HTTP_PARSER_ERRNO(&this->parser) != HPE_OK)
		reject_request(this);
	else if (!this->is_reading)
		start_reading(this);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	caller_t *this = stream->data;

	if (n < 0) {
		caller_disconnect(this);
		return;
	}
	if (n == 0)
		return; /* no data; the parser would take it as end of file */
	if (this->state == CALLER_READING)
		caller_parse(this, buffer->base, (size_t)n);
	else if (this->state == CALLER_RESPONDING)
		buffer_pipelined(this, buffer->base, (size_t)n);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void start_reading(caller_t *this)
{
	this->is_reading = true;
	uv_read_start((uv_stream_t *)&this->tcp, on_alloc, on_read);
}

/* --- connection management ---------------------------------------------- */

caller_t *caller_new(caller_group_t *group, uv_stream_t *listen_stream)
{
	caller_t *this = g_new0(caller_t, 1);

	this->group = group;
	this->unwritten.group = &group->unwritten;
	this->unwritten.reclaim = on_reclaim;
	this->wait.kind = CALLER_WAIT_NONE;
	uv_tcp_init(group->loop, &this->tcp);
	this->tcp.data = this;
	http_parser_init(&this->parser, HTTP_REQUEST);
	this->parser.data = this;
	group->allocated++;
	group->connected++;
	cds_list_add_tail(&this->link, &group->callers);
	set_wait(this, CALLER_WAIT_IDLE);
	if (uv_accept(listen_stream, (uv_stream_t *)&this->tcp) ||
		group->connected > group->max_callers) {
		caller_close(this);
		return NULL;
	}
	uv_tcp_nodelay(&this->tcp, 1);
	start_reading(this);
	return this;
}

caller_t *caller_of_link(struct cds_list_head *link)
{
	return caa_container_of(link, caller_t, link);
}

caller_t *caller_of_wait(caller_wait_t *wait)
{
	return caa_container_of(wait, caller_t, wait);
}

void caller_time_out(caller_t *this)
{
	if (this->wait.kind == CALLER_WAIT_HEAD || this->wait.kind == CALLER_WAIT_BODY) {
		this->error_status = 408;
		reject_request(this);
	} else {
		caller_disconnect(this);
	}
}
