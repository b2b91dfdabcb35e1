#ifndef GATEWAY_EVENT_STREAM_H
#define GATEWAY_EVENT_STREAM_H
/*
 * event_stream - splits a text/event-stream into events and checks their ids
 *
 * Input arrives in arbitrary pieces; output is complete events in order.  The work for a piece
 * grows with its size, not with what has arrived of an event.  Events
 * that were forwarded before are skipped, so that a resumed stream continues
 * without duplicates.  A gap in the ids or a malformed id is an error.
 */
#include <glib.h>

#include "core/types.h"

typedef struct event_stream {
	GString *partial;	/* bytes after the last complete event; NULL: none */
	int64_t last_id;	/* of the last event forwarded, -1: none */
	unsigned int forwarded; /* number of events */
} event_stream_t;

typedef enum event_stream_result {
	EVENT_STREAM_OK,
	EVENT_STREAM_BAD_ID,
	EVENT_STREAM_TOO_LARGE,
} event_stream_result_t;

void event_stream_init(event_stream_t *this);
void event_stream_clear(event_stream_t *this);
/* Appends the events that `data` completes to `out`. */
event_stream_result_t event_stream_feed(
	event_stream_t *this, const char *data, size_t len, GString *out);
/* Discards a partial event after its connection failed. */
void event_stream_discard_partial(event_stream_t *this);
/* Bytes of memory that the partial event takes. */
size_t event_stream_held(const event_stream_t *this);
/* True when the input so far ends with a complete event. */
bool event_stream_is_at_boundary(const event_stream_t *this);

#endif
