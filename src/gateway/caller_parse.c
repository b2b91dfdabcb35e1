#include <string.h>
#include <strings.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "gateway/caller_internal.h"

#define FIELD_MEMORY 96 /* of a header's name and value beside their bytes, in both lists */
#define LOG_INTERVAL USEC_PER_SEC
#define REFUSED_RETRY "Retry-After: 1\r\n"

static const catalog_limits_t *limits_of(const caller_t *this)
{
	return this->group->limits(this->group->ctx);
}

void caller_send_continue(caller_t *this)
{
	if (this->wants_continue)
		caller_write(this, g_string_new("HTTP/1.1 100 Continue\r\n\r\n"));
	this->wants_continue = false;
}

static int on_message_begin(http_parser *parser)
{
	caller_t *this = parser->data;

	caller_request_clear(this);
	this->request.target = g_string_new(NULL);
	this->request.names = g_ptr_array_new_with_free_func(g_free);
	this->request.values = g_ptr_array_new_with_free_func(g_free);
	this->request.body = request_body_new();
	this->request.began = clock_now();
	if (this->group->room)
		request_room_begin(this->group->room, &this->room, this->request.began);
	this->wants_continue = false;
	caller_set_wait(this, CALLER_WAIT_HEAD);
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
	this->head_memory += len;
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
	this->head_memory += len;
	if (request->names->len == request->values->len) {
		g_ptr_array_add(request->names, g_strndup(at, len));
		this->head_memory += FIELD_MEMORY;
	} else {
		append_to_last(request->names, at, len);
	}
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
	this->head_memory += len;
	if (request->values->len < request->names->len)
		g_ptr_array_add(request->values, g_strndup(at, len));
	else
		append_to_last(request->values, at, len);
	return count_head_bytes(this, len);
}

static void assign_workspace(caller_t *this)
{
	const caller_group_t *group = this->group;

	if (group->room && group->workspace_of)
		request_room_assign(
			group->room, &this->room, group->workspace_of(group->ctx, &this->request));
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
	caller_set_wait(this, CALLER_WAIT_BODY);
	if (parser->upgrade || parser->method == HTTP_CONNECT) {
		this->error_status = 400;
		return -1;
	}
	if (parser->content_length != UINT64_MAX &&
		parser->content_length > limits_of(this)->body_bytes) {
		this->error_status = 413;
		return -1;
	}
	this->length = parser->flags & F_CHUNKED ? UINT64_MAX : parser->content_length;
	if (this->length == UINT64_MAX && !(parser->flags & F_CHUNKED))
		this->length = 0;
	this->body_begun = this->length > 0;
	this->wants_continue = expect && !strcasecmp(expect, "100-continue");
	assign_workspace(this);
	if (this->length <= ROOM_FREE_BYTES || !this->group->room)
		caller_send_continue(this);
	return 0;
}

/* Before it has the room of its whole length, a body has its free bytes. */
static size_t most_body_bytes(const caller_t *this)
{
	if (!this->group->room)
		return limits_of(this)->body_bytes;
	return this->room.reserved ? this->request.body->capacity : ROOM_FREE_BYTES;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	caller_t *this = parser->data;

	if (this->request.body->len + len > limits_of(this)->body_bytes ||
		!request_body_append(this->request.body, at, len, most_body_bytes(this))) {
		this->error_status = 413;
		return -1;
	}
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	caller_t *this = parser->data;

	this->request_complete = true;
	this->body_begun = false;
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

/* --- requests ---------------------------------------------------------- */

void caller_parser_init(caller_t *this)
{
	http_check_init(&this->check, HTTP_CHECK_REQUEST);
	http_parser_init(&this->parser, HTTP_REQUEST);
	this->parser.data = this;
}

/* One line a second at most, however many end. */
static void log_ended(caller_t *this, unsigned int status)
{
	caller_group_t *group = this->group;
	instant_t now = clock_now();

	group->unlogged++;
	if (now < group->log_from)
		return;
	log_notice("body-ended",
		"reason=%s workspace=%08x received=%zu head=%zu room_held=%zu count=%u",
		status == 503 ? "no-room" : "too-slow", this->room.workspace,
		this->request.body ? this->request.body->len : 0, this->head_memory,
		group->room->small_held + group->room->long_held, group->unlogged);
	group->unlogged = 0;
	group->log_from = now + LOG_INTERVAL;
}

void caller_reject_request(caller_t *this)
{
	unsigned int status = this->error_status ? this->error_status : 400;

	log_info("http-request-rejected", "status=%u fault=%s parser=%s", status,
		http_fault_name(this->check.fault),
		http_errno_name(HTTP_PARSER_ERRNO(&this->parser)));
	if (this->group->room && (status == 503 || status == 408))
		log_ended(this, status);
	if (status == 503)
		this->group->refused++;
	this->close_after_response = true;
	caller_send_response(this, status, status == 503 ? REFUSED_RETRY : "", "", 0);
}

/* The body is whole: the room that it did not need is for others. */
static void give_back_room(caller_t *this)
{
	request_body_t *body = this->request.body;

	this->room.is_finished = true;
	caller_pace_stop(&this->pace);
	if (!this->room.reserved)
		return;
	request_body_set_capacity(body, body->len);
	request_room_shrink(this->group->room, &this->room, body->len);
}

static void start_exchange(caller_t *this)
{
	const caller_group_t *group = this->group;

	if (group->room) {
		give_back_room(this);
		caller_update_room(this);
		if (request_room_is_hogged(group->room, this->room.workspace)) {
			this->error_status = 503;
			caller_reject_request(this);
			return;
		}
	}
	this->state = CALLER_RESPONDING;
	caller_set_wait(this, CALLER_WAIT_NONE);
	group->ops->on_request(group->ctx, this, &this->request);
}

static bool has_parser_error(const caller_t *this)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&this->parser);

	return error != HPE_OK && error != HPE_PAUSED;
}

/* Also if the check and the parser differ about where the request ends. */
static bool is_malformed(const caller_t *this)
{
	return this->check.fault || has_parser_error(this) ||
	       this->request_complete != http_check_is_done(&this->check);
}

/* Parses up to the end of a request; returns the number of bytes that were used. */
static size_t parse(caller_t *this, const char *data, size_t len)
{
	size_t used = 0;

	if (http_check_is_done(&this->check))
		http_check_init(&this->check, HTTP_CHECK_REQUEST);
	http_parser_pause(&this->parser, 0);
	while (used < len && this->state != CALLER_CLOSED && !this->request_complete &&
		!is_malformed(this)) {
		size_t sound = http_check_feed(&this->check, data + used, len - used);

		if (!this->check.fault)
			http_parser_execute(&this->parser, &parser_settings, data + used, sound);
		used += sound;
	}
	if (this->state == CALLER_CLOSED)
		return used;
	if (!is_malformed(this))
		return this->request_complete ? used : len;
	this->request_complete = false;
	caller_reject_request(this);
	return len;
}

static void drop_pipelined(caller_t *this)
{
	if (this->pipelined)
		g_string_free(this->pipelined, TRUE);
	this->pipelined = NULL;
	this->pipelined_at = 0;
}

void caller_keep_pipelined(caller_t *this, const char *data, size_t len)
{
	if (!len)
		return;
	if (!this->pipelined)
		this->pipelined = g_string_new(NULL);
	g_string_append_len(this->pipelined, data, (gssize)len);
}

size_t caller_pipelined_bytes(const caller_t *this)
{
	return this->pipelined ? this->pipelined->len - this->pipelined_at : 0;
}

static bool may_feed(caller_t *this)
{
	return this->state == CALLER_READING && caller_pipelined_bytes(this) &&
	       !caller_is_write_blocked(this) && caller_may_take(this);
}

/* One request after the other, without a call within a call for each of them. */
static void feed_pipelined(caller_t *this)
{
	while (may_feed(this)) {
		size_t left = caller_pipelined_bytes(this);

		this->pipelined_at += parse(this, this->pipelined->str + this->pipelined_at,
			left < CALLER_READ_SIZE ? left : CALLER_READ_SIZE);
		if (this->state == CALLER_READING && this->request_complete)
			start_exchange(this);
		else
			caller_update_room(this);
	}
	if (this->state >= CALLER_CLOSING || !caller_pipelined_bytes(this))
		drop_pipelined(this);
}

void caller_feed(caller_t *this, const char *data, size_t len)
{
	size_t used;

	this->is_feeding = true;
	used = parse(this, data, len);
	if (this->state == CALLER_READING && this->request_complete) {
		caller_keep_pipelined(this, data + used, len - used);
		start_exchange(this);
	}
	feed_pipelined(this);
	this->is_feeding = false;
	caller_settle(this);
}

void caller_feed_pipelined(caller_t *this)
{
	if (this->is_feeding || this->state == CALLER_CLOSED)
		return;
	this->is_feeding = true;
	feed_pipelined(this);
	this->is_feeding = false;
	caller_settle(this);
}
