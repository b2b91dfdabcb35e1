#include "gateway/endpoint_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "settings/address.h"

#define READ_SIZE 16384
#define MAX_ANSWER_HEAD 65536
#define IDLE_DEFAULT (4 * USEC_PER_SEC) /* where the endpoint tells no time */
#define IDLE_MARGIN (1 * USEC_PER_SEC)	/* before the endpoint's own timeout */
#define KEEPALIVE_PROBES 2

typedef enum link_state {
	LINK_CONNECTING,
	LINK_BUSY,
	LINK_IDLE,
	LINK_CLOSED,
} link_state_t;

struct endpoint_link {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	uv_write_t write;
	http_parser parser;
	const endpoint_link_options_t *options;
	served_endpoint_t *endpoint;
	struct cds_list_head link; /* in the endpoint's idle list */
	link_state_t state;
	instant_t idle_until;
	uint64_t idle_span;
	const endpoint_link_ops_t *ops;
	void *user;
	char *id;
	bool is_head;
	GString *out;
	/* of the answer that is being read */
	link_answer_t answer;
	GString *name;
	GString *value;
	bool in_value;
	bool foreign; /* bears another request's id */
	bool ended;
	bool keep;
	bool paused;
	int handles;
};

static char read_buffer[READ_SIZE]; /* the loop has one thread, and a read is used up at once */

/* --- closing ---------------------------------------------------------- */

static void on_closed(uv_handle_t *handle)
{
	endpoint_link_t *this = handle->data;

	if (--this->handles)
		return;
	served_endpoint_put(this->endpoint);
	g_string_free(this->answer.headers, TRUE);
	g_string_free(this->name, TRUE);
	g_string_free(this->value, TRUE);
	if (this->out)
		g_string_free(this->out, TRUE);
	g_free(this->id);
	g_free(this);
}

static void leave_idle(endpoint_link_t *this)
{
	cds_list_del(&this->link);
	this->endpoint->idle_count--;
}

static void link_close(endpoint_link_t *this)
{
	if (this->state == LINK_CLOSED)
		return;
	if (this->state == LINK_IDLE)
		leave_idle(this);
	this->state = LINK_CLOSED;
	this->ops = NULL;
	(*this->options->open_count)--;
	uv_close((uv_handle_t *)&this->tcp, on_closed);
	uv_close((uv_handle_t *)&this->timer, on_closed);
}

static void link_fail(endpoint_link_t *this, link_failure_t failure)
{
	const endpoint_link_ops_t *ops = this->ops;
	void *user = this->user;

	link_close(this);
	if (ops)
		ops->on_fail(user, failure);
}

/* --- parsing ---------------------------------------------------------- */

static void note_keep_alive(endpoint_link_t *this, const char *value)
{
	const char *timeout = strstr(value, "timeout=");
	uint64_t seconds = timeout ? g_ascii_strtoull(timeout + 8, NULL, 10) : 0;

	if (!timeout)
		return;
	this->idle_span = seconds * USEC_PER_SEC;
	this->idle_span -= this->idle_span > IDLE_MARGIN ? IDLE_MARGIN : this->idle_span;
}

static void note_load(link_answer_t *answer, const char *value)
{
	unsigned int running;
	unsigned int waiting;
	unsigned int slots;

	if (sscanf(value, "%u,%u,%u", &running, &waiting, &slots) != 3)
		return;
	answer->has_load = true;
	answer->load_running = running;
	answer->load_waiting = waiting;
}

static void take_header(endpoint_link_t *this)
{
	const vocabulary_t *words = this->options->vocabulary;
	link_answer_t *answer = &this->answer;
	const char *name = this->name->str;
	const char *value = this->value->str;

	if (!this->name->len)
		return;
	if (!strcasecmp(name, words->request_id)) {
		answer->has_id = !strcmp(value, this->id);
		this->foreign |= !answer->has_id;
	} else if (!strcasecmp(name, words->signature)) {
		answer->is_signed = true;
	} else if (!strcasecmp(name, words->not_run)) {
		answer->not_run = true;
	} else if (!strcasecmp(name, words->load)) {
		note_load(answer, value);
	} else if (!strcasecmp(name, "Content-Encoding")) {
		answer->is_encoded = strcasecmp(value, "identity") != 0;
	} else if (!strcasecmp(name, "Keep-Alive")) {
		note_keep_alive(this, value);
	}
	if (!vocabulary_is_between_hops(name) && strcasecmp(name, "Proxy-Authenticate"))
		g_string_append_printf(answer->headers, "%s: %s\r\n", name, value);
	g_string_truncate(this->name, 0);
	g_string_truncate(this->value, 0);
}

static int on_message_begin(http_parser *parser)
{
	endpoint_link_t *this = parser->data;
	GString *headers = this->answer.headers;

	if (this->ended || this->state != LINK_BUSY)
		return -1; /* bytes that nobody asked for */
	g_string_truncate(headers, 0);
	this->answer = (link_answer_t){.headers = headers, .length = -1};
	g_string_truncate(this->name, 0);
	g_string_truncate(this->value, 0);
	this->in_value = false;
	this->foreign = false;
	return 0;
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	endpoint_link_t *this = parser->data;

	if (this->in_value)
		take_header(this);
	this->in_value = false;
	g_string_append_len(this->name, at, (gssize)len);
	return this->answer.headers->len > MAX_ANSWER_HEAD;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	endpoint_link_t *this = parser->data;

	this->in_value = true;
	g_string_append_len(this->value, at, (gssize)len);
	return 0;
}

static bool is_interim(const http_parser *parser)
{
	return parser->status_code >= 100 && parser->status_code < 200;
}

static int on_headers_complete(http_parser *parser)
{
	endpoint_link_t *this = parser->data;

	take_header(this);
	this->answer.status = parser->status_code;
	if (parser->content_length != UINT64_MAX && !(parser->flags & F_CHUNKED))
		this->answer.length = (int64_t)parser->content_length;
	if (this->foreign || is_interim(parser))
		return 0;
	this->ops->on_answer(this->user, &this->answer);
	if (this->state != LINK_BUSY)
		return -1;
	return this->is_head ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	endpoint_link_t *this = parser->data;

	if (this->foreign)
		return 0;
	this->ops->on_body(this->user, at, len);
	return this->state != LINK_BUSY ? -1 : 0;
}

static int on_message_complete(http_parser *parser)
{
	endpoint_link_t *this = parser->data;

	if (this->foreign || is_interim(parser))
		return 0;
	this->ended = true;
	this->keep = http_should_keep_alive(parser) != 0;
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

static void link_keep(endpoint_link_t *this)
{
	served_endpoint_t *endpoint = this->endpoint;

	this->state = LINK_IDLE;
	this->idle_until = (instant_t)uv_now(this->options->loop) * USEC_PER_MSEC + this->idle_span;
	uv_timer_stop(&this->timer);
	cds_list_add(&this->link, &endpoint->idle_links);
	endpoint->idle_count++;
	if (endpoint->idle_count > endpoint->most_idle)
		link_close(cds_list_entry(endpoint->idle_links.prev, endpoint_link_t, link));
}

/* The exchange is over: the link is kept when it is clean, and its user is told. */
static void link_settle(endpoint_link_t *this, bool clean)
{
	const endpoint_link_ops_t *ops = this->ops;
	void *user = this->user;

	this->ops = NULL;
	if (clean && this->keep && this->endpoint->state == ENDPOINT_READY)
		link_keep(this);
	else
		link_close(this);
	ops->on_end(user);
}

static void on_bytes(endpoint_link_t *this, const char *data, size_t len)
{
	size_t used;

	if (this->state != LINK_BUSY) {
		link_close(this); /* an idle endpoint has nothing to say */
		return;
	}
	used = http_parser_execute(&this->parser, &parser_settings, data, len);
	if (this->state == LINK_CLOSED)
		return;
	if (this->ended)
		link_settle(this,
			used == len && !this->out && HTTP_PARSER_ERRNO(&this->parser) == HPE_OK);
	else if (HTTP_PARSER_ERRNO(&this->parser) != HPE_OK)
		link_fail(this, LINK_MALFORMED);
}

/* The loop may tell a reset that follows bytes as an end of file: the socket knows. */
static bool was_reset(const endpoint_link_t *this)
{
	char byte;
	int fd;

	if (uv_fileno((const uv_handle_t *)&this->tcp, &fd))
		return true;
	return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0;
}

/* An answer without a length ends with its connection. */
static void on_end_of_bytes(endpoint_link_t *this)
{
	if (this->state == LINK_BUSY && was_reset(this)) {
		link_fail(this, LINK_RESET);
		return;
	}
	if (this->state == LINK_BUSY)
		http_parser_execute(&this->parser, &parser_settings, NULL, 0);
	if (this->state == LINK_CLOSED)
		return;
	if (this->state == LINK_BUSY && this->ended)
		link_settle(this, false);
	else
		link_fail(this, LINK_ENDED);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	endpoint_link_t *this = stream->data;

	if (n > 0)
		on_bytes(this, buffer->base, (size_t)n);
	else if (n == UV_EOF)
		on_end_of_bytes(this);
	else if (n < 0)
		link_fail(this, LINK_RESET);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* --- sending ---------------------------------------------------------- */

static void on_written(uv_write_t *write, int status)
{
	endpoint_link_t *this = write->data;

	/* A refused write shows at the read side too, after an answer that came early. */
	if (this->out)
		g_string_free(this->out, TRUE);
	this->out = NULL;
}

static void link_write(endpoint_link_t *this)
{
	uv_buf_t buffer = uv_buf_init(this->out->str, (unsigned int)this->out->len);
	int written;

	this->state = LINK_BUSY;
	this->ops->on_sent(this->user);
	written = uv_try_write((uv_stream_t *)&this->tcp, &buffer, 1);
	if (written == (int)this->out->len) {
		g_string_free(this->out, TRUE);
		this->out = NULL;
		return;
	}
	if (written > 0) {
		buffer.base += written;
		buffer.len -= (size_t)written;
	}
	this->write.data = this;
	uv_write(&this->write, (uv_stream_t *)&this->tcp, &buffer, 1, on_written);
}

static void set_silence_timeout(endpoint_link_t *this)
{
	unsigned int timeout = this->options->silence_timeout_ms;
	int probe = (int)(timeout / 1000 / (KEEPALIVE_PROBES + 1));
	int probes = KEEPALIVE_PROBES;
	int on = 1;
	int fd;

	if (uv_fileno((uv_handle_t *)&this->tcp, &fd))
		return;
	probe = probe ? probe : 1;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe, sizeof(probe));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe, sizeof(probe));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void on_connected(uv_connect_t *connect, int status)
{
	endpoint_link_t *this = connect->data;

	if (this->state == LINK_CLOSED)
		return;
	uv_timer_stop(&this->timer);
	if (status) {
		link_fail(this, LINK_NOT_CONNECTED);
		return;
	}
	uv_tcp_nodelay(&this->tcp, 1);
	set_silence_timeout(this);
	uv_read_start((uv_stream_t *)&this->tcp, on_alloc, on_read);
	link_write(this);
}

static void on_connect_timeout(uv_timer_t *timer)
{
	link_fail(timer->data, LINK_NOT_CONNECTED);
}

static void link_begin(endpoint_link_t *this, const link_request_t *request,
	const endpoint_link_ops_t *ops, void *user)
{
	this->ops = ops;
	this->user = user;
	g_free(this->id);
	this->id = g_strdup(request->id);
	this->is_head = request->is_head;
	this->out = request->bytes;
	this->ended = false;
	this->keep = false;
	http_parser_init(&this->parser, HTTP_RESPONSE);
	this->parser.data = this;
}

static endpoint_link_t *link_new(
	const endpoint_link_options_t *options, served_endpoint_t *endpoint)
{
	endpoint_link_t *this = g_new0(endpoint_link_t, 1);

	this->options = options;
	this->endpoint = served_endpoint_get(endpoint);
	(*options->open_count)++;
	this->idle_span = IDLE_DEFAULT;
	this->answer.headers = g_string_new(NULL);
	this->name = g_string_new(NULL);
	this->value = g_string_new(NULL);
	uv_tcp_init(options->loop, &this->tcp);
	uv_timer_init(options->loop, &this->timer);
	this->handles = 2;
	this->tcp.data = this;
	this->timer.data = this;
	this->connect.data = this;
	this->state = LINK_CONNECTING;
	return this;
}

static bool link_connect(endpoint_link_t *this)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	if (!address_split(this->endpoint->address, ip, sizeof(ip), &port))
		return false;
	uv_ip4_addr(ip, port, &sin);
	if (uv_tcp_connect(&this->connect, &this->tcp, (struct sockaddr *)&sin, on_connected))
		return false;
	uv_timer_start(&this->timer, on_connect_timeout, this->options->connect_timeout_ms, 0);
	return true;
}

static endpoint_link_t *take_idle(served_endpoint_t *endpoint)
{
	endpoint_link_t *this;

	if (cds_list_empty(&endpoint->idle_links))
		return NULL;
	this = cds_list_first_entry(&endpoint->idle_links, endpoint_link_t, link);
	leave_idle(this);
	return this;
}

endpoint_link_t *endpoint_link_send(const endpoint_link_options_t *options,
	served_endpoint_t *endpoint, const link_request_t *request, const endpoint_link_ops_t *ops,
	void *user)
{
	endpoint_link_t *this;

	endpoint_link_trim(endpoint, request->now, false);
	this = request->fresh ? NULL : take_idle(endpoint);
	if (this) {
		link_begin(this, request, ops, user);
		link_write(this);
		return this;
	}
	this = link_new(options, endpoint);
	link_begin(this, request, ops, user);
	if (link_connect(this))
		return this;
	link_close(this);
	return NULL;
}

void endpoint_link_abort(endpoint_link_t *this)
{
	link_close(this);
}

void endpoint_link_pause(endpoint_link_t *this, bool paused)
{
	if (this->paused == paused || this->state != LINK_BUSY)
		return;
	this->paused = paused;
	if (paused)
		uv_read_stop((uv_stream_t *)&this->tcp);
	else
		uv_read_start((uv_stream_t *)&this->tcp, on_alloc, on_read);
}

void endpoint_link_trim(served_endpoint_t *endpoint, instant_t now, bool all)
{
	endpoint_link_t *this;
	endpoint_link_t *after;

	cds_list_for_each_entry_safe (this, after, &endpoint->idle_links, link) {
		if (all || this->idle_until <= now)
			link_close(this);
	}
}
