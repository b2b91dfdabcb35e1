#include "gateway/event_stream.h"

#include <string.h>

#define MAX_DIGITS 18	     /* of an event's number */
#define MAX_EVENT (1U << 20) /* bytes; an event holds a few tokens */

void event_stream_init(event_stream_t *this)
{
	this->partial = g_string_new(NULL);
	this->last = -1;
	this->passed = 0;
}

void event_stream_clear(event_stream_t *this)
{
	if (this->partial)
		g_string_free(this->partial, TRUE);
	this->partial = NULL;
}

void event_stream_cut(event_stream_t *this)
{
	g_string_truncate(this->partial, 0);
}

bool event_stream_is_whole(const event_stream_t *this)
{
	return !this->partial->len;
}

/* The digits between `at` and `end`, blanks before them left out; -2 when there is more or less. */
static int64_t parse_number(const char *at, const char *end)
{
	int64_t number = 0;

	while (at < end && *at == ' ')
		at++;
	if (at == end || end - at > MAX_DIGITS)
		return -2;
	for (; at < end; at++) {
		if (*at < '0' || *at > '9')
			return -2;
		number = number * 10 + (*at - '0');
	}
	return number;
}

/* The number in the event's "id:" line; -1 without one, -2 when it is no number. */
static int64_t event_number(const char *event, size_t len)
{
	const char *line = event;
	const char *end = event + len;

	while (line < end) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));

		if (!stop)
			break;
		if (stop - line >= 3 && !strncmp(line, "id:", 3))
			return parse_number(line + 3, stop);
		line = stop + 1;
	}
	return -1;
}

static event_result_t take(event_stream_t *this, const char *event, size_t len, GString *out)
{
	int64_t number = event_number(event, len);

	if (number == -2)
		return EVENT_STREAM_BAD_NUMBER;
	if (number >= 0 && this->last >= 0 && number <= this->last)
		return EVENT_STREAM_GOOD;
	if (number >= 0 && this->last >= 0 && number != this->last + 1)
		return EVENT_STREAM_BAD_NUMBER;
	if (number >= 0)
		this->last = number;
	g_string_append_len(out, event, (gssize)len);
	this->passed++;
	return EVENT_STREAM_GOOD;
}

/* Where the first event in `data` ends, 0 when it is not whole. */
static size_t event_end(const char *data, size_t len)
{
	const char *end = memmem(data, len, "\n\n", 2);

	return end ? (size_t)(end - data) + 2 : 0;
}

event_result_t event_stream_feed(event_stream_t *this, const char *data, size_t len, GString *out)
{
	GString *partial = this->partial;
	size_t at = 0;
	size_t size;

	g_string_append_len(partial, data, (gssize)len);
	while ((size = event_end(partial->str + at, partial->len - at))) {
		event_result_t result = take(this, partial->str + at, size, out);

		if (result != EVENT_STREAM_GOOD)
			return result;
		at += size;
	}
	g_string_erase(partial, 0, (gssize)at);
	return partial->len > MAX_EVENT ? EVENT_STREAM_TOO_LARGE : EVENT_STREAM_GOOD;
}
