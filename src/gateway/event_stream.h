#ifndef GATEWAY_EVENT_STREAM_H
#define GATEWAY_EVENT_STREAM_H
/*
 * event_stream - cuts a text/event-stream into whole events and follows their numbers
 *
 * Bytes go in as they come, whole events come out in order.  An event that was
 * passed on before is left out; a gap or a malformed number is an error.
 */
#include <glib.h>

#include "core/types.h"

typedef struct event_stream {
	GString *partial; /* bytes after the last whole event */
	int64_t last;	  /* number of the last event that was passed on, -1: none */
	unsigned int passed;
} event_stream_t;

typedef enum event_result {
	EVENT_STREAM_GOOD,
	EVENT_STREAM_BAD_NUMBER,
	EVENT_STREAM_TOO_LARGE,
} event_result_t;

void event_stream_init(event_stream_t *this);
void event_stream_clear(event_stream_t *this);
/* Appends the whole events within `data` to `out`. */
event_result_t event_stream_feed(event_stream_t *this, const char *data, size_t len, GString *out);
/* Forgets a partial event: its connection broke. */
void event_stream_cut(event_stream_t *this);
/* True when no partial event is left. */
bool event_stream_is_whole(const event_stream_t *this);

#endif
