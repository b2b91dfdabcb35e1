#include <poll.h>
#include <string.h>

#include "edge/clock.h"
#include "gateway/caller_internal.h"

#define MAX_PIPELINED_BYTES 65536 /* buffered during a response before reading stops */

static _Thread_local char read_buffer[CALLER_READ_SIZE];

/* --- room for what is read ---------------------------------------------- */

void caller_update_room(caller_t *this)
{
	const request_body_t *body = this->request.body;
	size_t held = this->head_memory;

	if (!this->group->room || this->state == CALLER_CLOSED)
		return;
	if (body && !this->room.reserved)
		held += body->capacity;
	if (this->pipelined)
		held += this->pipelined->allocated_len;
	request_room_hold(this->group->room, &this->room, held);
}

/* Whether the next read may bring more of the body than its free bytes. */
static bool needs_long_room(const caller_t *this)
{
	if (!this->body_begun || this->room.reserved)
		return false;
	if (this->length != UINT64_MAX)
		return this->length > ROOM_FREE_BYTES;
	return this->request.body->len + CALLER_READ_SIZE > ROOM_FREE_BYTES;
}

static size_t body_room(const caller_t *this)
{
	if (this->length != UINT64_MAX)
		return this->length;
	return this->group->limits(this->group->ctx)->body_bytes;
}

/* The body moves to its own room. */
static void take_long_room(caller_t *this)
{
	request_body_t *body = this->request.body;

	if (!this->body_begun || !this->room.reserved || body->capacity >= this->room.reserved)
		return;
	request_body_set_capacity(body, this->room.reserved);
	caller_update_room(this);
	caller_send_continue(this);
}

static void wait_for_room(caller_t *this)
{
	caller_pace_stop(&this->pace);
	if (this->wait.kind != CALLER_WAIT_ROOM)
		caller_set_wait(this, CALLER_WAIT_ROOM);
}

bool caller_may_take(caller_t *this)
{
	request_room_t *room = this->group->room;
	instant_t now;
	bool may;

	if (!room || this->state != CALLER_READING)
		return true;
	now = clock_now();
	if (needs_long_room(this))
		may = request_room_reserve(room, &this->room, body_room(this), now);
	else
		may = this->room.reserved || request_room_may_read(room, &this->room, now);
	if (may)
		take_long_room(this);
	else
		wait_for_room(this);
	return may;
}

/* Behind an unanswered request; what ends the connection is read in any case. */
static bool may_read_ahead(const caller_t *this)
{
	return !this->group->room || request_room_has_spare(this->group->room) ||
	       caller_has_left(this);
}

/* --- reading ------------------------------------------------------------- */

static void on_progress(caller_t *this, size_t len)
{
	caller_group_t *group = this->group;
	instant_t now;

	if (!this->body_begun)
		return;
	now = clock_now();
	if (group->room)
		room_sender_progress(&this->room, len, now);
	caller_group_set_wait(group, &this->wait, CALLER_WAIT_BODY, now);
	caller_group_count_body(group, &this->pace, len, now);
}

/* After bytes were parsed: goes on with reading, or stops it for what is not parsed yet. */
void caller_settle(caller_t *this)
{
	size_t pipelined = caller_pipelined_bytes(this);

	caller_update_room(this);
	if (this->state == CALLER_CLOSED || this->state == CALLER_CLOSING)
		return;
	if (this->state == CALLER_READING ? pipelined > 0 : pipelined > MAX_PIPELINED_BYTES)
		caller_stop_reading(this);
	else if (!this->is_reading)
		caller_start_reading(this);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	caller_t *this = stream->data;

	if (n == UV_ENOBUFS) {
		caller_stop_reading(this);
		return;
	}
	if (n < 0) {
		caller_disconnect(this);
		return;
	}
	if (n == 0)
		return; /* no data; the parser would take it as end of file */
	if (this->state == CALLER_READING) {
		caller_feed(this, buffer->base, (size_t)n);
		if (this->state == CALLER_READING)
			on_progress(this, (size_t)n);
	} else if (this->state == CALLER_RESPONDING) {
		caller_keep_pipelined(this, buffer->base, (size_t)n);
		caller_settle(this);
	}
}

/* Without a buffer, nothing is read: on_read() is told so. */
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	caller_t *this = handle->data;
	bool may_read =
		this->state == CALLER_RESPONDING ? may_read_ahead(this) : caller_may_take(this);

	*buffer = uv_buf_init(read_buffer, may_read ? sizeof(read_buffer) : 0);
}

void caller_start_reading(caller_t *this)
{
	this->is_reading = true;
	uv_read_start((uv_stream_t *)&this->tcp, on_alloc, on_read);
}

void caller_stop_reading(caller_t *this)
{
	this->is_reading = false;
	uv_read_stop((uv_stream_t *)&this->tcp);
}

void caller_check_unread(caller_t *this)
{
	struct pollfd state = {.events = POLLRDHUP};

	if (this->is_reading || this->state != CALLER_RESPONDING ||
		uv_fileno((const uv_handle_t *)&this->tcp, &state.fd))
		return;
	if (poll(&state, 1, 0) > 0)
		caller_disconnect(this);
}
