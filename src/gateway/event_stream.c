#include "gateway/event_stream.h"

#include <string.h>

#define MAX_ID_DIGITS 18     /* fits an int64_t */
#define MAX_EVENT (1U << 20) /* bytes; a normal event holds a few tokens */
#define EVENT_ID_NONE (-1)
#define EVENT_ID_INVALID (-2)

void event_stream_init(event_stream_t *this)
{
	this->partial = NULL;
	this->last_id = EVENT_ID_NONE;
	this->forwarded = 0;
}

void event_stream_clear(event_stream_t *this)
{
	event_stream_discard_partial(this);
}

void event_stream_discard_partial(event_stream_t *this)
{
	if (this->partial)
		g_string_free(this->partial, TRUE);
	this->partial = NULL;
}

size_t event_stream_held(const event_stream_t *this)
{
	return this->partial ? this->partial->allocated_len : 0;
}

bool event_stream_is_at_boundary(const event_stream_t *this)
{
	return !this->partial;
}

/* Parses a decimal id, with leading spaces allowed; EVENT_ID_INVALID if it is anything else. */
static int64_t parse_id(const char *at, const char *end)
{
	int64_t id = 0;

	while (at < end && *at == ' ')
		at++;
	if (at == end || end - at > MAX_ID_DIGITS)
		return EVENT_ID_INVALID;
	for (; at < end; at++) {
		if (*at < '0' || *at > '9')
			return EVENT_ID_INVALID;
		id = id * 10 + (*at - '0');
	}
	return id;
}

/* The id in the event's "id:" line; EVENT_ID_NONE without one. */
static int64_t event_id(const char *event, size_t len)
{
	const char *line = event;
	const char *end = event + len;

	while (line < end) {
		const char *newline = memchr(line, '\n', (size_t)(end - line));

		if (!newline)
			break;
		if (newline - line >= 3 && !strncmp(line, "id:", 3))
			return parse_id(line + 3, newline);
		line = newline + 1;
	}
	return EVENT_ID_NONE;
}

static event_stream_result_t process_event(
	event_stream_t *this, const char *event, size_t len, GString *out)
{
	int64_t id = event_id(event, len);

	if (id == EVENT_ID_INVALID)
		return EVENT_STREAM_BAD_ID;
	if (id >= 0 && this->last_id >= 0 && id <= this->last_id)
		return EVENT_STREAM_OK; /* forwarded before the stream was resumed */
	if (id >= 0 && this->last_id >= 0 && id != this->last_id + 1)
		return EVENT_STREAM_BAD_ID;
	if (id >= 0)
		this->last_id = id;
	g_string_append_len(out, event, (gssize)len);
	this->forwarded++;
	return EVENT_STREAM_OK;
}

/* Offset of the end of the first event in `data`; 0 if the event is incomplete. */
static size_t find_event_end(const char *data, size_t len)
{
	const char *end = memmem(data, len, "\n\n", 2);

	return end ? (size_t)(end - data) + 2 : 0;
}

/* How many bytes of `data` complete the partial event; 0 if they do not. */
static size_t find_partial_end(const GString *partial, const char *data, size_t len)
{
	if (len && *data == '\n' && partial->str[partial->len - 1] == '\n')
		return 1;
	return find_event_end(data, len);
}

static event_stream_result_t extend_partial(event_stream_t *this, const char *data, size_t len)
{
	if (!len)
		return EVENT_STREAM_OK;
	if (!this->partial)
		this->partial = g_string_new(NULL);
	g_string_append_len(this->partial, data, (gssize)len);
	return this->partial->len > MAX_EVENT ? EVENT_STREAM_TOO_LARGE : EVENT_STREAM_OK;
}

static event_stream_result_t complete_partial(
	event_stream_t *this, const char *data, size_t len, GString *out)
{
	event_stream_result_t result;

	g_string_append_len(this->partial, data, (gssize)len);
	result = process_event(this, this->partial->str, this->partial->len, out);
	event_stream_discard_partial(this);
	return result;
}

event_stream_result_t event_stream_feed(
	event_stream_t *this, const char *data, size_t len, GString *out)
{
	event_stream_result_t result = EVENT_STREAM_OK;
	size_t at = 0;
	size_t size;

	if (this->partial) {
		at = find_partial_end(this->partial, data, len);
		if (!at)
			return extend_partial(this, data, len);
		result = complete_partial(this, data, at, out);
	}
	while (result == EVENT_STREAM_OK && (size = find_event_end(data + at, len - at))) {
		result = process_event(this, data + at, size, out);
		at += size;
	}
	return result == EVENT_STREAM_OK ? extend_partial(this, data + at, len - at) : result;
}
