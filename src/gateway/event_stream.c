#include "gateway/event_stream.h"

#include <string.h>

#define MAX_ID_DIGITS 18     /* fits an int64_t */
#define MAX_EVENT (1U << 20) /* bytes; a normal event holds a few tokens */
#define EVENT_ID_NONE (-1)
#define EVENT_ID_INVALID (-2)

void event_stream_init(event_stream_t *this)
{
	this->partial = g_string_new(NULL);
	this->last_id = EVENT_ID_NONE;
	this->forwarded = 0;
}

void event_stream_clear(event_stream_t *this)
{
	if (this->partial)
		g_string_free(this->partial, TRUE);
	this->partial = NULL;
}

void event_stream_discard_partial(event_stream_t *this)
{
	g_string_truncate(this->partial, 0);
}

bool event_stream_is_at_boundary(const event_stream_t *this)
{
	return !this->partial->len;
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

event_stream_result_t event_stream_feed(
	event_stream_t *this, const char *data, size_t len, GString *out)
{
	GString *partial = this->partial;
	size_t at = 0;
	size_t size;

	g_string_append_len(partial, data, (gssize)len);
	while ((size = find_event_end(partial->str + at, partial->len - at))) {
		event_stream_result_t result = process_event(this, partial->str + at, size, out);

		if (result != EVENT_STREAM_OK)
			return result;
		at += size;
	}
	g_string_erase(partial, 0, (gssize)at);
	return partial->len > MAX_EVENT ? EVENT_STREAM_TOO_LARGE : EVENT_STREAM_OK;
}
