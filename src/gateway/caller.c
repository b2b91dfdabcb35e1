#include "gateway/caller.h"

#include <http_parser.h>
#include <string.h>
#include <strings.h>

#include "edge/clock.h"
#include "edge/log.h"

#define READ_SIZE 16384
#define MAX_AHEAD 65536	    /* bytes that a caller may send before its turn */
#define CHOKED_BYTES 131072 /* unwritten bytes, from which on the endpoint is read no further */
#define LINGER (2 * USEC_PER_SEC) /* for the caller to read an answer that ends its connection */
#define CHUNK_HEAD 16
#define CROWDED_FROM 2 /* thirds of the callers that may be connected */
#define CROWDED_OF 3

typedef enum caller_state {
	CALLER_READING,
	CALLER_OWED, /* an answer */
	CALLER_CLOSING,
	CALLER_CLOSED,
} caller_state_t;

struct caller {
	uv_tcp_t tcp;
	caller_host_t *host;
	struct cds_list_head link; /* in its host's list */
	http_parser parser;
	caller_state_t state;
	instant_t since; /* last request's end, or this request's first byte */
	bool in_request;
	bool in_body; /* of the request that is being read */
	caller_request_t request;
	size_t head_bytes;
	bool whole;
	unsigned int refusal; /* status of a request that can't be taken */
	GString *ahead;
	void *exchange;
	bool close_after;
	bool chunked;
	bool begun;
	bool no_body;
	unsigned int writes;
	bool reading;
};

static char read_buffer[READ_SIZE];

static void caller_parse(caller_t *this, const char *data, size_t len);

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
	caller_host_t *host = this->host;

	request_clear(this);
	if (this->ahead)
		g_string_free(this->ahead, TRUE);
	g_free(this);
	host->count--;
	host->on_closed(host);
}

/* False when it was closed before. */
static bool leave_host(caller_t *this)
{
	if (this->state == CALLER_CLOSED)
		return false;
	this->state = CALLER_CLOSED;
	this->host->open--;
	cds_list_del(&this->link);
	return true;
}

static void caller_close(caller_t *this)
{
	if (leave_host(this))
		uv_close((uv_handle_t *)&this->tcp, on_closed);
}

void caller_gone(caller_t *this)
{
	void *exchange = this->exchange;

	this->exchange = NULL;
	caller_close(this);
	if (exchange)
		this->host->ops->on_gone(exchange);
}

void caller_abort(caller_t *this)
{
	this->exchange = NULL;
	if (leave_host(this) && uv_tcp_close_reset(&this->tcp, on_closed))
		uv_close((uv_handle_t *)&this->tcp, on_closed);
}

/* --- writing ---------------------------------------------------------- */

typedef struct pending_write {
	uv_write_t write;
	caller_t *caller;
	GString *bytes;
} pending_write_t;

static void on_shutdown(uv_shutdown_t *shutdown, int status)
{
	g_free(shutdown);
}

/* Ends our side; the rest waits for the caller to close, so that nothing is reset under it. */
static void caller_end(caller_t *this)
{
	uv_shutdown_t *shutdown = g_new0(uv_shutdown_t, 1);

	this->state = CALLER_CLOSING;
	this->since = clock_now();
	if (uv_shutdown(shutdown, (uv_stream_t *)&this->tcp, on_shutdown)) {
		g_free(shutdown);
		caller_close(this);
	}
}

static void on_written(uv_write_t *write, int status)
{
	pending_write_t *pending = (pending_write_t *)write;
	caller_t *this = pending->caller;

	this->writes--;
	g_string_free(pending->bytes, TRUE);
	g_free(pending);
	if (this->state == CALLER_CLOSED)
		return;
	if (status)
		caller_gone(this);
	else if (this->exchange && this->begun && !caller_is_choked(this))
		this->host->ops->on_drained(this->exchange);
}

/* Takes `bytes` over. */
static void caller_write(caller_t *this, GString *bytes)
{
	uv_buf_t buffer = uv_buf_init(bytes->str, (unsigned int)bytes->len);
	pending_write_t *pending;
	int written = 0;

	if (this->state == CALLER_CLOSED) {
		g_string_free(bytes, TRUE);
		return;
	}
	if (!this->writes)
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
	buffer = uv_buf_init(bytes->str, (unsigned int)bytes->len);
	if (uv_write(&pending->write, (uv_stream_t *)&this->tcp, &buffer, 1, on_written)) {
		g_string_free(bytes, TRUE);
		g_free(pending);
		return;
	}
	this->writes++;
}

bool caller_is_choked(const caller_t *this)
{
	return this->tcp.write_queue_size > CHOKED_BYTES;
}

static const char *status_text(unsigned int status)
{
	return http_status_str((enum http_status)status);
}

/* Connections are asked back early where they run short. */
static bool is_crowded(const caller_host_t *host)
{
	return host->open * CROWDED_OF > host->max_callers * CROWDED_FROM;
}

static GString *answer_head(caller_t *this, unsigned int status, const char *headers)
{
	GString *head = g_string_sized_new(512);

	g_string_append_printf(head, "HTTP/1.1 %u %s\r\n", status, status_text(status));
	g_string_append(head, headers);
	if (this->close_after || this->host->draining || is_crowded(this->host)) {
		this->close_after = true;
		g_string_append(head, "Connection: close\r\n");
	}
	return head;
}

/* Back to reading: what the caller sent ahead comes first. */
static void answer_done(caller_t *this)
{
	this->exchange = NULL;
	request_clear(this);
	this->in_request = false;
	this->whole = false;
	this->begun = false;
	this->since = clock_now();
	if (this->close_after) {
		caller_end(this);
		return;
	}
	this->state = CALLER_READING;
}

static void read_ahead(caller_t *this)
{
	GString *ahead = this->ahead;

	if (this->state != CALLER_READING || !ahead)
		return;
	this->ahead = NULL;
	caller_parse(this, ahead->str, ahead->len);
	g_string_free(ahead, TRUE);
}

void caller_answer(
	caller_t *this, unsigned int status, const char *headers, const char *body, size_t body_len)
{
	GString *bytes = answer_head(this, status, headers);

	g_string_append_printf(bytes, "Content-Length: %zu\r\n\r\n", body_len);
	if (!this->request.is_head)
		g_string_append_len(bytes, body, (gssize)body_len);
	caller_write(this, bytes);
	if (this->state == CALLER_CLOSED)
		return;
	answer_done(this);
	read_ahead(this);
}

static bool has_no_body(unsigned int status)
{
	return status == 204 || status == 304;
}

void caller_begin(caller_t *this, unsigned int status, const char *headers, int64_t length)
{
	GString *bytes;

	this->begun = true;
	this->no_body = has_no_body(status) || this->request.is_head;
	this->chunked = length < 0 && !has_no_body(status) && this->parser.http_minor >= 1;
	if (length < 0 && !this->chunked && !this->no_body)
		this->close_after = true;
	bytes = answer_head(this, status, headers);
	if (this->chunked)
		g_string_append(bytes, "Transfer-Encoding: chunked\r\n\r\n");
	else if (length >= 0 && !has_no_body(status))
		g_string_append_printf(
			bytes, "Content-Length: %" G_GINT64_FORMAT "\r\n\r\n", (gint64)length);
	else
		g_string_append(bytes, "\r\n");
	caller_write(this, bytes);
}

void caller_piece(caller_t *this, const char *data, size_t len)
{
	GString *bytes;

	if (!len || this->no_body)
		return;
	bytes = g_string_sized_new(len + 2 * CHUNK_HEAD);
	if (this->chunked)
		g_string_append_printf(bytes, "%zx\r\n", len);
	g_string_append_len(bytes, data, (gssize)len);
	if (this->chunked)
		g_string_append(bytes, "\r\n");
	caller_write(this, bytes);
}

void caller_finish(caller_t *this)
{
	if (this->chunked && !this->no_body)
		caller_write(this, g_string_new("0\r\n\r\n"));
	if (this->state == CALLER_CLOSED)
		return;
	answer_done(this);
	read_ahead(this);
}

/* --- reading ---------------------------------------------------------- */

static const catalog_limits_t *limits_of(const caller_t *this)
{
	return this->host->limits(this->host->ctx);
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
	this->since = this->request.began;
	this->in_request = true;
	this->in_body = false;
	this->whole = false;
	this->refusal = 0;
	this->head_bytes = 0;
	return 0;
}

/* Counts a piece of the head; a non-zero value ends the parsing. */
static int count_head(caller_t *this, size_t len)
{
	this->head_bytes += len;
	if (this->head_bytes <= limits_of(this)->header_bytes)
		return 0;
	this->refusal = 431;
	return -1;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	caller_t *this = parser->data;

	g_string_append_len(this->request.target, at, (gssize)len);
	return count_head(this, len);
}

/* Appends to the last text of the list. */
static void extend_last(GPtrArray *list, const char *at, size_t len)
{
	char *before = list->pdata[list->len - 1];
	size_t had = strlen(before);
	char *longer = g_realloc(before, had + len + 1);

	memcpy(longer + had, at, len);
	longer[had + len] = '\0';
	list->pdata[list->len - 1] = longer;
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	caller_t *this = parser->data;
	caller_request_t *request = &this->request;

	if (memchr(at, 0, len))
		return -1;
	if (request->names->len == request->values->len)
		g_ptr_array_add(request->names, g_strndup(at, len));
	else
		extend_last(request->names, at, len);
	return count_head(this, len);
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	caller_t *this = parser->data;
	caller_request_t *request = &this->request;

	if (memchr(at, 0, len) || memchr(at, '\r', len) || memchr(at, '\n', len))
		return -1;
	if (request->values->len < request->names->len)
		g_ptr_array_add(request->values, g_strndup(at, len));
	else
		extend_last(request->values, at, len);
	return count_head(this, len);
}

static int on_headers_complete(http_parser *parser)
{
	caller_t *this = parser->data;
	const char *expect = caller_header(&this->request, "Expect");

	if (this->request.values->len < this->request.names->len)
		g_ptr_array_add(this->request.values, g_strdup(""));
	this->request.method = http_method_str((enum http_method)parser->method);
	this->request.is_head = parser->method == HTTP_HEAD;
	this->in_body = true;
	if (parser->upgrade || parser->method == HTTP_CONNECT) {
		this->refusal = 400;
		return -1;
	}
	if (parser->content_length != UINT64_MAX &&
		parser->content_length > limits_of(this)->body_bytes) {
		this->refusal = 413;
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
		this->refusal = 413;
		return -1;
	}
	g_string_append_len(this->request.body, at, (gssize)len);
	this->since = clock_now(); /* a body may take its time as long as it goes on */
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	caller_t *this = parser->data;

	this->whole = true;
	this->close_after = !http_should_keep_alive(parser);
	http_parser_pause(parser, 1); /* one at a time; the rest is kept for later */
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

static void refuse(caller_t *this)
{
	unsigned int status = this->refusal ? this->refusal : 400;

	log_info("caller-refused", "status=%u parser=%s", status,
		http_errno_name(HTTP_PARSER_ERRNO(&this->parser)));
	this->close_after = true;
	caller_answer(this, status, "", "", 0);
}

static void keep_ahead(caller_t *this, const char *data, size_t len)
{
	if (!len)
		return;
	if (!this->ahead)
		this->ahead = g_string_new(NULL);
	g_string_append_len(this->ahead, data, (gssize)len);
	if (this->ahead->len <= MAX_AHEAD)
		return;
	uv_read_stop((uv_stream_t *)&this->tcp);
	this->reading = false;
}

static void start_reading(caller_t *this);

static void request_ready(caller_t *this)
{
	const caller_host_t *host = this->host;

	this->state = CALLER_OWED;
	host->ops->on_request(host->ctx, this, &this->request);
}

static void caller_parse(caller_t *this, const char *data, size_t len)
{
	size_t used;

	http_parser_pause(&this->parser, 0);
	used = http_parser_execute(&this->parser, &parser_settings, data, len);
	if (this->state == CALLER_CLOSED)
		return;
	if (this->whole) {
		keep_ahead(this, data + used, len - used);
		request_ready(this);
		return;
	}
	if (HTTP_PARSER_ERRNO(&this->parser) != HPE_OK)
		refuse(this);
	else if (!this->reading)
		start_reading(this);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	caller_t *this = stream->data;

	if (n < 0) {
		caller_gone(this);
		return;
	}
	if (n == 0)
		return; /* nothing came; to the parser it would mean the end */
	if (this->state == CALLER_READING)
		caller_parse(this, buffer->base, (size_t)n);
	else if (this->state == CALLER_OWED)
		keep_ahead(this, buffer->base, (size_t)n);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void start_reading(caller_t *this)
{
	this->reading = true;
	uv_read_start((uv_stream_t *)&this->tcp, on_alloc, on_read);
}

/* --- as its host sees it ------------------------------------------------ */

caller_t *caller_new(caller_host_t *host, uv_stream_t *listening)
{
	caller_t *this = g_new0(caller_t, 1);

	this->host = host;
	this->since = clock_now();
	uv_tcp_init(host->loop, &this->tcp);
	this->tcp.data = this;
	http_parser_init(&this->parser, HTTP_REQUEST);
	this->parser.data = this;
	host->count++;
	host->open++;
	cds_list_add_tail(&this->link, &host->callers);
	if (uv_accept(listening, (uv_stream_t *)&this->tcp) || host->open > host->max_callers) {
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

instant_t caller_idle_since(const caller_t *this)
{
	if (this->state == CALLER_CLOSING)
		return 0;
	if (this->state != CALLER_READING || this->in_request)
		return INSTANT_NEVER;
	return this->since;
}

static bool is_overdue(const caller_t *this, instant_t now)
{
	const catalog_limits_t *limits = limits_of(this);
	const caller_host_t *host = this->host;

	switch (this->state) {
	case CALLER_READING:
		if (this->in_request && !this->in_body)
			return now >= this->since + limits->header_timeout_ms * USEC_PER_MSEC;
		if (host->draining && !this->in_request && now >= host->idle_from)
			return true;
		return now >= this->since + limits->idle_timeout_ms * USEC_PER_MSEC;
	case CALLER_CLOSING:
		return now >= this->since + LINGER;
	default:
		return false;
	}
}

void caller_sweep(caller_t *this, instant_t now)
{
	if (!is_overdue(this, now))
		return;
	if (this->state == CALLER_READING && this->in_request) {
		this->refusal = 408;
		refuse(this);
	} else {
		caller_gone(this);
	}
}
