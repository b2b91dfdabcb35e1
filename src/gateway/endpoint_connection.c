#include "gateway/endpoint_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "edge/http_check.h"
#include "edge/log.h"
#include "edge/tcp_end.h"
#include "settings/address.h"

#define READ_SIZE 16384
#define MAX_RESPONSE_HEAD 65536
/* Bytes of one exchange beside the response's body: heads, framing, another request's response. */
#define MAX_OVERHEAD (1 << 20)
#define DEFAULT_IDLE_TIMEOUT (4 * USEC_PER_SEC) /* if the endpoint announces none */
#define IDLE_MARGIN (1 * USEC_PER_SEC)		/* closes this long before the endpoint would */
#define KEEPALIVE_PROBES 2
#define MAX_IDLE_BUFFER 1024 /* bytes of each string that an idle connection keeps */
#define END_POLL_MS 5	     /* between looks at what the endpoint has not acknowledged */

typedef enum connection_state {
	CONNECTION_CONNECTING,
	CONNECTION_BUSY,
	CONNECTION_IDLE,
	CONNECTION_CLOSED,
} connection_state_t;

struct endpoint_connection {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	uv_write_t write;
	http_parser parser;
	http_check_t check; /* of what the parser gets */
	const endpoint_connection_options_t *options;
	registered_endpoint_t *endpoint;
	struct cds_list_head link; /* in the endpoint's idle list */
	connection_state_t state;
	instant_t idle_deadline;
	uint64_t idle_timeout;
	const endpoint_connection_ops_t *ops;
	void *user;
	char *id;
	bool is_head;
	GString *outgoing;	       /* the request's head, until all of it is written */
	request_body_t *outgoing_body; /* NULL: none, or written */
	/* the response being read */
	connection_response_t response;
	size_t trailer_bytes;
	size_t overhead; /* bytes received that are not part of the response's body */
	buffer_holder_t buffered;
	GString *header_name;
	GString *header_value;
	bool in_header_value;
	bool id_mismatch;	/* the response carries another request's id */
	bool message_complete;	/* the response being read, whichever it is */
	bool response_complete; /* the request's own */
	int write_error;	/* of libuv; 0: none */
	bool read_ended;	/* the endpoint has ended its side */
	bool keep_alive;
	bool is_used; /* an exchange came before the current one */
	bool paused;
	int open_handles;
};

/* Shared by a loop's connections, as data is consumed at once. */
static _Thread_local char read_buffer[READ_SIZE];

/* --- closing ---------------------------------------------------------- */

static void drop_outgoing(endpoint_connection_t *this)
{
	if (this->outgoing)
		g_string_free(this->outgoing, TRUE);
	this->outgoing = NULL;
	request_body_put(this->outgoing_body);
	this->outgoing_body = NULL;
}

static void on_closed(uv_handle_t *handle)
{
	endpoint_connection_t *this = handle->data;

	if (--this->open_handles)
		return;
	registered_endpoint_put(this->endpoint);
	g_string_free(this->response.headers, TRUE);
	g_string_free(this->header_name, TRUE);
	g_string_free(this->header_value, TRUE);
	drop_outgoing(this);
	g_free(this->id);
	g_free(this);
}

static void leave_idle_list(endpoint_connection_t *this)
{
	cds_list_del(&this->link);
	this->endpoint->idle_connection_count--;
}

static void connection_close(endpoint_connection_t *this)
{
	if (this->state == CONNECTION_CLOSED)
		return;
	if (this->state == CONNECTION_IDLE)
		leave_idle_list(this);
	this->state = CONNECTION_CLOSED;
	this->ops = NULL;
	buffer_pool_update(this->options->buffers, &this->buffered, 0);
	(*this->options->open_count)--;
	uv_close((uv_handle_t *)&this->tcp, on_closed);
	uv_close((uv_handle_t *)&this->timer, on_closed);
}

static void connection_fail(endpoint_connection_t *this, connection_failure_t failure)
{
	const endpoint_connection_ops_t *ops = this->ops;
	void *user = this->user;

	connection_close(this);
	if (ops)
		ops->on_fail(user, failure);
}

/* --- memory ----------------------------------------------------------- */

static void update_buffered(endpoint_connection_t *this)
{
	size_t held = this->response.headers->allocated_len + this->header_name->allocated_len +
		      this->header_value->allocated_len + this->ops->held(this->user);

	buffer_pool_update(this->options->buffers, &this->buffered, held);
}

static void on_reclaim(buffer_holder_t *buffered)
{
	connection_fail(caa_container_of(buffered, endpoint_connection_t, buffered),
		CONNECTION_FAILURE_MEMORY);
}

static void shrink_string(GString **string)
{
	if ((*string)->allocated_len <= MAX_IDLE_BUFFER)
		return;
	g_string_free(*string, TRUE);
	*string = g_string_new(NULL);
}

static void shrink_buffers(endpoint_connection_t *this)
{
	shrink_string(&this->response.headers);
	shrink_string(&this->header_name);
	shrink_string(&this->header_value);
	buffer_pool_update(this->options->buffers, &this->buffered, 0);
}

/* --- parsing ---------------------------------------------------------- */

static void parse_keep_alive(endpoint_connection_t *this, const char *value)
{
	const char *timeout = strstr(value, "timeout=");
	uint64_t seconds = timeout ? g_ascii_strtoull(timeout + 8, NULL, 10) : 0;

	if (!timeout)
		return;
	this->idle_timeout = seconds * USEC_PER_SEC;
	this->idle_timeout -= this->idle_timeout > IDLE_MARGIN ? IDLE_MARGIN : this->idle_timeout;
}

static void process_header(endpoint_connection_t *this)
{
	const header_names_t *names = this->options->header_names;
	const char *name = this->header_name->str;
	const char *value = this->header_value->str;

	if (!this->header_name->len)
		return;
	if (!strcasecmp(name, names->request_id)) {
		this->response.id_matches = !strcmp(value, this->id);
		this->id_mismatch |= !this->response.id_matches;
	} else if (!strcasecmp(name, "Keep-Alive")) {
		parse_keep_alive(this, value);
	}
	connection_response_add_header(&this->response, names, name, value);
	g_string_truncate(this->header_name, 0);
	g_string_truncate(this->header_value, 0);
}

static int on_message_begin(http_parser *parser)
{
	endpoint_connection_t *this = parser->data;

	if (this->response_complete || this->state != CONNECTION_BUSY)
		return -1; /* unsolicited bytes */
	connection_response_reset(&this->response);
	this->response.on_used_connection = this->is_used;
	g_string_truncate(this->header_name, 0);
	g_string_truncate(this->header_value, 0);
	this->in_header_value = false;
	this->trailer_bytes = 0;
	this->id_mismatch = false;
	this->message_complete = false;
	return 0;
}

/* Fields after the body are bounded as those of the head, and dropped. */
static int drop_trailer(endpoint_connection_t *this, size_t len)
{
	this->trailer_bytes += len;
	return this->trailer_bytes > MAX_RESPONSE_HEAD;
}

static bool is_in_trailer(const http_parser *parser)
{
	return parser->flags & F_TRAILING;
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	endpoint_connection_t *this = parser->data;

	if (is_in_trailer(parser))
		return drop_trailer(this, len);
	if (this->in_header_value)
		process_header(this);
	this->in_header_value = false;
	g_string_append_len(this->header_name, at, (gssize)len);
	return this->response.headers->len > MAX_RESPONSE_HEAD;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	endpoint_connection_t *this = parser->data;

	if (is_in_trailer(parser))
		return drop_trailer(this, len);
	this->in_header_value = true;
	g_string_append_len(this->header_value, at, (gssize)len);
	return 0;
}

static int on_headers_complete(http_parser *parser)
{
	endpoint_connection_t *this = parser->data;

	process_header(this);
	this->keep_alive = http_should_keep_alive(parser) != 0;
	this->response.status = parser->status_code;
	if (parser->content_length != UINT64_MAX && !(parser->flags & F_CHUNKED))
		this->response.content_length = (int64_t)parser->content_length;
	this->response.ends_by_close =
		parser->content_length == UINT64_MAX && !(parser->flags & F_CHUNKED);
	if (!this->id_mismatch && !http_check_is_interim(&this->check)) {
		this->ops->on_response(this->user, &this->response);
		if (this->state != CONNECTION_BUSY)
			return -1;
		if (this->is_head)
			http_check_skip_body(&this->check);
	}
	return http_check_is_done(&this->check) ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	endpoint_connection_t *this = parser->data;

	if (this->id_mismatch)
		return 0;
	this->overhead -= len;
	this->ops->on_body(this->user, at, len);
	return this->state != CONNECTION_BUSY ? -1 : 0;
}

static int on_message_complete(http_parser *parser)
{
	endpoint_connection_t *this = parser->data;

	this->message_complete = true;
	if (this->id_mismatch || http_check_is_interim(&this->check))
		return 0;
	this->response_complete = true;
	if (!is_in_trailer(parser))
		this->keep_alive = http_should_keep_alive(parser) != 0;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void connection_make_idle(endpoint_connection_t *this)
{
	registered_endpoint_t *endpoint = this->endpoint;

	this->state = CONNECTION_IDLE;
	shrink_buffers(this);
	this->idle_deadline =
		(instant_t)uv_now(this->options->loop) * USEC_PER_MSEC + this->idle_timeout;
	uv_timer_stop(&this->timer);
	cds_list_add(&this->link, &endpoint->idle_connections);
	endpoint->idle_connection_count++;
	if (endpoint->idle_connection_count > endpoint->max_idle_connections)
		connection_close(cds_list_entry(
			endpoint->idle_connections.prev, endpoint_connection_t, link));
}

/* Ends the exchange: keeps the connection if it is reusable, and notifies the user. */
static void connection_finish_exchange(endpoint_connection_t *this, bool reusable)
{
	const endpoint_connection_ops_t *ops = this->ops;
	void *user = this->user;

	this->ops = NULL;
	if (reusable && this->keep_alive && registered_endpoint_takes_work(this->endpoint))
		connection_make_idle(this);
	else
		connection_close(this);
	ops->on_end(user);
}

static void begin_response(endpoint_connection_t *this)
{
	http_check_init(&this->check, HTTP_CHECK_RESPONSE);
	this->message_complete = false;
}

static bool has_parser_error(const endpoint_connection_t *this)
{
	return HTTP_PARSER_ERRNO(&this->parser) != HPE_OK;
}

/* Whether the check and the parser differ about where the response ends. */
static bool has_doubtful_end(const endpoint_connection_t *this)
{
	return this->message_complete != http_check_is_done(&this->check);
}

static bool is_malformed(const endpoint_connection_t *this)
{
	return this->check.fault || has_parser_error(this) || has_doubtful_end(this);
}

static connection_failure_t parse_failure(const endpoint_connection_t *this)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&this->parser);

	if (this->overhead > MAX_OVERHEAD)
		return CONNECTION_FAILURE_OVERHEAD;
	if (error == HPE_HEADER_OVERFLOW || error == HPE_CB_header_field ||
		error == HPE_CB_header_value)
		return CONNECTION_FAILURE_HEAD;
	return CONNECTION_FAILURE_MALFORMED;
}

static const char *fault_name(const endpoint_connection_t *this)
{
	if (this->check.fault)
		return http_fault_name(this->check.fault);
	return has_parser_error(this) ? http_errno_name(HTTP_PARSER_ERRNO(&this->parser)) : "end";
}

static void fail_parsing(endpoint_connection_t *this)
{
	connection_failure_t failure = parse_failure(this);

	if (failure == CONNECTION_FAILURE_MALFORMED)
		log_warn("response-malformed", "id=%s endpoint=%s fault=%s", this->id,
			this->endpoint->name, fault_name(this));
	connection_fail(this, failure);
}

/* Handles bytes up to the end of a response; returns how many it used. */
static size_t parse_bytes(endpoint_connection_t *this, const char *data, size_t len)
{
	size_t used = http_check_feed(&this->check, data, len);

	if (this->check.fault)
		return used;
	http_parser_execute(&this->parser, &parser_settings, data, used);
	if (this->state == CONNECTION_BUSY && !is_malformed(this) && this->message_complete &&
		!this->response_complete)
		begin_response(this); /* that was an interim one, or another request's */
	return used;
}

static void process_bytes(endpoint_connection_t *this, const char *data, size_t len)
{
	size_t used = 0;

	if (this->state != CONNECTION_BUSY) {
		connection_close(this); /* unsolicited bytes on an idle connection */
		return;
	}
	this->overhead += len;
	while (used < len && this->state == CONNECTION_BUSY && !this->response_complete &&
		!is_malformed(this))
		used += parse_bytes(this, data + used, len - used);
	if (this->state == CONNECTION_CLOSED)
		return;
	if (is_malformed(this) || (!this->response_complete && this->overhead > MAX_OVERHEAD))
		fail_parsing(this);
	else if (this->response_complete)
		connection_finish_exchange(this, used == len && !this->outgoing);
	else
		update_buffered(this);
}

/* --- end of the connection ---------------------------------------------- */

static void on_end_poll(uv_timer_t *timer);

/*
 * The end of the connection also ends a response without a length, if the endpoint has taken all of
 * the request: it may still reset the connection over the rest.
 */
static void process_end(endpoint_connection_t *this)
{
	int fd;

	if (this->write_error || uv_fileno((const uv_handle_t *)&this->tcp, &fd) ||
		tcp_end_was_reset(fd)) {
		connection_fail(this, this->write_error == UV_ETIMEDOUT ? CONNECTION_FAILURE_SILENT
									: CONNECTION_FAILURE_RESET);
		return;
	}
	if (http_check_ends_by_close(&this->check) && (this->outgoing || tcp_end_is_pending(fd))) {
		uv_timer_start(&this->timer, on_end_poll, END_POLL_MS, 0);
		return;
	}
	http_parser_execute(&this->parser, &parser_settings, NULL, 0);
	if (this->state == CONNECTION_CLOSED)
		return;
	if (this->response_complete)
		connection_finish_exchange(this, false);
	else
		connection_fail(this, CONNECTION_FAILURE_ENDED);
}

static void on_end_poll(uv_timer_t *timer)
{
	process_end(timer->data);
}

static void on_eof(endpoint_connection_t *this)
{
	this->read_ended = true;
	if (this->state == CONNECTION_BUSY)
		process_end(this);
	else
		connection_close(this);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	endpoint_connection_t *this = stream->data;

	if (n > 0)
		process_bytes(this, buffer->base, (size_t)n);
	else if (n == UV_EOF)
		on_eof(this);
	else if (n < 0)
		connection_fail(this,
			n == UV_ETIMEDOUT ? CONNECTION_FAILURE_SILENT : CONNECTION_FAILURE_RESET);
	/* After each read, as one turn of the loop may read more than the pool's limit. */
	buffer_pool_reclaim(this->options->buffers);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* --- sending ---------------------------------------------------------- */

static void on_written(uv_write_t *write, int status)
{
	endpoint_connection_t *this = write->data;

	drop_outgoing(this);
	if (this->state != CONNECTION_BUSY)
		return;
	/* The response may have come before the error, so reading goes on. */
	this->write_error = status;
	if (this->read_ended)
		process_end(this);
}

/* Removes `written` bytes from the start of the buffers; returns how many bytes are left. */
static size_t skip_written(uv_buf_t *buffers, unsigned int count, size_t written)
{
	size_t left = 0;

	for (unsigned int i = 0; i < count; i++) {
		size_t skipped = written < buffers[i].len ? written : buffers[i].len;

		buffers[i].base += skipped;
		buffers[i].len -= skipped;
		written -= skipped;
		left += buffers[i].len;
	}
	return left;
}

static void connection_write(endpoint_connection_t *this)
{
	const request_body_t *body = this->outgoing_body;
	uv_buf_t buffers[] = {uv_buf_init(this->outgoing->str, (unsigned int)this->outgoing->len),
		uv_buf_init(body ? body->str : NULL, body ? (unsigned int)body->len : 0)};
	unsigned int count = body ? 2 : 1;
	uv_stream_t *stream = (uv_stream_t *)&this->tcp;
	int written;

	this->state = CONNECTION_BUSY;
	this->ops->on_sent(this->user);
	written = uv_try_write(stream, buffers, count);
	if (!skip_written(buffers, count, written > 0 ? (size_t)written : 0)) {
		drop_outgoing(this);
		return;
	}
	this->write.data = this;
	if (!buffers[0].len)
		this->write_error = uv_write(&this->write, stream, &buffers[1], 1, on_written);
	else
		this->write_error = uv_write(&this->write, stream, buffers, count, on_written);
	if (this->write_error)
		drop_outgoing(this);
}

static void set_silence_timeout(endpoint_connection_t *this)
{
	unsigned int timeout = this->options->silence_timeout_ms;
	int interval = (int)(timeout / 1000 / (KEEPALIVE_PROBES + 1));
	int probes = KEEPALIVE_PROBES;
	int on = 1;
	int fd;

	if (uv_fileno((uv_handle_t *)&this->tcp, &fd))
		return;
	interval = interval ? interval : 1;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void on_connected(uv_connect_t *connect, int status)
{
	endpoint_connection_t *this = connect->data;

	if (this->state == CONNECTION_CLOSED)
		return;
	uv_timer_stop(&this->timer);
	if (status) {
		connection_fail(this, CONNECTION_FAILURE_NOT_CONNECTED);
		return;
	}
	uv_tcp_nodelay(&this->tcp, 1);
	set_silence_timeout(this);
	uv_read_start((uv_stream_t *)&this->tcp, on_alloc, on_read);
	connection_write(this);
}

static void on_connect_timeout(uv_timer_t *timer)
{
	connection_fail(timer->data, CONNECTION_FAILURE_NOT_CONNECTED);
}

static void connection_begin_exchange(endpoint_connection_t *this,
	const connection_request_t *request, const endpoint_connection_ops_t *ops, void *user)
{
	this->ops = ops;
	this->user = user;
	g_free(this->id);
	this->id = g_strdup(request->id);
	this->is_head = request->is_head;
	this->outgoing = request->head;
	if (request->body && request->body->len)
		this->outgoing_body = request_body_get(request->body);
	this->overhead = 0;
	this->response_complete = false;
	this->write_error = 0;
	this->read_ended = false;
	this->keep_alive = false;
	begin_response(this);
	http_parser_init(&this->parser, HTTP_RESPONSE);
	this->parser.data = this;
}

static endpoint_connection_t *connection_new(
	const endpoint_connection_options_t *options, registered_endpoint_t *endpoint)
{
	endpoint_connection_t *this = g_new0(endpoint_connection_t, 1);

	this->options = options;
	this->endpoint = registered_endpoint_get(endpoint);
	this->buffered.group = &endpoint->buffers;
	this->buffered.reclaim = on_reclaim;
	(*options->open_count)++;
	this->idle_timeout = DEFAULT_IDLE_TIMEOUT;
	this->response.headers = g_string_new(NULL);
	this->header_name = g_string_new(NULL);
	this->header_value = g_string_new(NULL);
	uv_tcp_init(options->loop, &this->tcp);
	uv_timer_init(options->loop, &this->timer);
	this->open_handles = 2;
	this->tcp.data = this;
	this->timer.data = this;
	this->connect.data = this;
	this->state = CONNECTION_CONNECTING;
	return this;
}

static bool connection_connect(endpoint_connection_t *this)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	if (!address_parse(this->endpoint->address, ip, sizeof(ip), &port))
		return false;
	uv_ip4_addr(ip, port, &sin);
	if (uv_tcp_connect(&this->connect, &this->tcp, (struct sockaddr *)&sin, on_connected))
		return false;
	uv_timer_start(&this->timer, on_connect_timeout, this->options->connect_timeout_ms, 0);
	return true;
}

static endpoint_connection_t *take_idle_connection(registered_endpoint_t *endpoint)
{
	endpoint_connection_t *this;

	if (cds_list_empty(&endpoint->idle_connections))
		return NULL;
	this = cds_list_first_entry(&endpoint->idle_connections, endpoint_connection_t, link);
	leave_idle_list(this);
	return this;
}

endpoint_connection_t *endpoint_connection_send(const endpoint_connection_options_t *options,
	registered_endpoint_t *endpoint, const connection_request_t *request,
	const endpoint_connection_ops_t *ops, void *user)
{
	endpoint_connection_t *this;

	endpoint_connection_trim(endpoint, request->now, false);
	this = request->new_connection ? NULL : take_idle_connection(endpoint);
	if (this) {
		this->is_used = true;
		connection_begin_exchange(this, request, ops, user);
		connection_write(this);
		return this;
	}
	this = connection_new(options, endpoint);
	connection_begin_exchange(this, request, ops, user);
	if (connection_connect(this))
		return this;
	connection_close(this);
	return NULL;
}

void endpoint_connection_abort(endpoint_connection_t *this)
{
	connection_close(this);
}

void endpoint_connection_pause(endpoint_connection_t *this, bool paused)
{
	if (this->paused == paused || this->state != CONNECTION_BUSY || this->read_ended)
		return;
	this->paused = paused;
	if (paused)
		uv_read_stop((uv_stream_t *)&this->tcp);
	else
		uv_read_start((uv_stream_t *)&this->tcp, on_alloc, on_read);
}

void endpoint_connection_trim(registered_endpoint_t *endpoint, instant_t now, bool all)
{
	endpoint_connection_t *this;
	endpoint_connection_t *next;

	cds_list_for_each_entry_safe (this, next, &endpoint->idle_connections, link) {
		if (all || this->idle_deadline <= now)
			connection_close(this);
	}
}
