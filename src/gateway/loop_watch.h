#ifndef GATEWAY_LOOP_WATCH_H
#define GATEWAY_LOOP_WATCH_H
/*
 * loop_watch - measures how long each turn of the event loop keeps other events waiting
 *
 * A turn is everything between two waits for events.
 */
#include <glib.h>
#include <uv.h>

#include "core/types.h"

typedef struct loop_watch loop_watch_t;

typedef struct loop_watch_options {
	uv_loop_t *loop; /* not run yet: the measurement has to be enabled before */
	/* Called at the end of each turn; `busy` is its duration in microseconds. */
	void (*on_turn)(void *ctx, uint64_t busy);
	void *ctx;
} loop_watch_options_t;

loop_watch_t *loop_watch_new(const loop_watch_options_t *options);
/* Appends the distribution of the turns' durations in the text exposition format. */
void loop_watch_write_metrics(const loop_watch_t *this, GString *out);
/* Closes the loop's handle; memory is freed when the loop runs the close callback. */
void loop_watch_delete(loop_watch_t *this);

#endif
