#include "gateway/caller_internal.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "edge/clock.h"
#include "edge/log.h"

#define WRITE_HIGH_WATER 131072 /* pending bytes above which reading the endpoint stops */
#define CHUNK_HEAD_SIZE 16

void caller_set_wait(caller_t *this, caller_wait_kind_t kind)
{
	caller_group_set_wait(this->group, &this->wait, kind, clock_now());
}

/* --- closing ---------------------------------------------------------- */

void caller_request_clear(caller_t *this)
{
	caller_request_t *request = &this->request;

	if (request->target)
		g_string_free(request->target, TRUE);
	request_body_put(request->body);
	if (request->names)
		g_ptr_array_unref(request->names);
	if (request->values)
		g_ptr_array_unref(request->values);
	memset(request, 0, sizeof(*request));
	this->head_memory = 0;
	this->body_begun = false;
}

static void on_closed(uv_handle_t *handle)
{
	caller_t *this = handle->data;
	caller_group_t *group = this->group;

	caller_request_clear(this);
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
	if (this->group->room)
		request_room_leave(this->group->room, &this->room);
	caller_pace_stop(&this->pace);
	this->state = CALLER_CLOSED;
	this->group->connected--;
	cds_list_del(&this->link);
	caller_set_wait(this, CALLER_WAIT_NONE);
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
	caller_set_wait(this, CALLER_WAIT_CLOSE);
	if (!this->is_reading)
		caller_start_reading(this); /* what comes is dropped, up to the caller's close */
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
	else if (!caller_is_write_blocked(this))
		caller_feed_pipelined(this);
}

/* Takes ownership of `bytes`. */
void caller_write(caller_t *this, GString *bytes)
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

/* Returns to reading; caller_feed_pipelined() has to follow. */
static void finish_exchange(caller_t *this)
{
	this->exchange = NULL;
	caller_request_clear(this);
	if (this->group->room)
		request_room_leave(this->group->room, &this->room);
	caller_update_room(this);
	caller_pace_stop(&this->pace);
	this->request_complete = false;
	this->head_sent = false;
	if (this->close_after_response) {
		caller_shutdown(this);
		return;
	}
	this->state = CALLER_READING;
	caller_set_wait(this, CALLER_WAIT_IDLE);
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
	caller_feed_pipelined(this);
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
	caller_feed_pipelined(this);
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
	caller_parser_init(this);
	room_sender_init(&this->room);
	group->allocated++;
	group->connected++;
	cds_list_add_tail(&this->link, &group->callers);
	caller_set_wait(this, CALLER_WAIT_IDLE);
	if (uv_accept(listen_stream, (uv_stream_t *)&this->tcp) ||
		group->connected > group->max_callers) {
		caller_close(this);
		return NULL;
	}
	uv_tcp_nodelay(&this->tcp, 1);
	caller_start_reading(this);
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

caller_t *caller_of_room(room_sender_t *room)
{
	return caa_container_of(room, caller_t, room);
}

caller_t *caller_of_pace(caller_pace_t *pace)
{
	return caa_container_of(pace, caller_t, pace);
}

void caller_resume(caller_t *this)
{
	if (this->state != CALLER_READING)
		return;
	if (this->body_begun)
		caller_set_wait(this, CALLER_WAIT_BODY);
	else if (this->request.body)
		caller_set_wait(this, CALLER_WAIT_HEAD);
	else
		caller_set_wait(this, CALLER_WAIT_IDLE);
	caller_feed_pipelined(this);
}

/* What was read has not run, and says so: it waited for room, or did not come to its end. */
void caller_time_out(caller_t *this)
{
	switch (this->wait.kind) {
	case CALLER_WAIT_ROOM:
		this->error_status = 503;
		caller_reject_request(this);
		break;
	case CALLER_WAIT_HEAD:
	case CALLER_WAIT_BODY:
		this->error_status = 408;
		caller_reject_request(this);
		break;
	default:
		caller_disconnect(this);
	}
}
