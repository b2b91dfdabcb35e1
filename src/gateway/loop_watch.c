#include "gateway/loop_watch.h"

#include "edge/clock.h"

#define NSEC_PER_USEC 1000

/* Upper bounds of the histogram's buckets in ms; longer turns are counted in a last one. */
static const unsigned int bounds_ms[] = {1, 5, 20, 50, 100, 200, 500, 1000, 2000, 5000};

struct loop_watch {
	loop_watch_options_t options;
	uv_check_t check;
	instant_t turn_began;
	uint64_t idle_before; /* the loop's total time in waits when the turn began, microseconds */
	uint64_t turns[ARRAY_LEN(bounds_ms) + 1];
	uint64_t busy_total; /* microseconds */
};

static void count_turn(loop_watch_t *this, uint64_t busy)
{
	unsigned int i = 0;

	while (i < ARRAY_LEN(bounds_ms) && busy > bounds_ms[i] * USEC_PER_MSEC)
		i++;
	this->turns[i]++;
	this->busy_total += busy;
}

static void on_check(uv_check_t *check)
{
	loop_watch_t *this = check->data;
	instant_t now = clock_now();
	uint64_t idle = uv_metrics_idle_time(this->options.loop) / NSEC_PER_USEC;
	uint64_t waited = idle - this->idle_before;
	uint64_t busy = now - this->turn_began;

	busy -= waited < busy ? waited : busy;
	count_turn(this, busy);
	this->turn_began = now;
	this->idle_before = idle;
	this->options.on_turn(this->options.ctx, busy);
}

loop_watch_t *loop_watch_new(const loop_watch_options_t *options)
{
	loop_watch_t *this = g_new0(loop_watch_t, 1);

	this->options = *options;
	this->turn_began = clock_now();
	uv_loop_configure(options->loop, UV_METRICS_IDLE_TIME);
	uv_check_init(options->loop, &this->check);
	this->check.data = this;
	uv_check_start(&this->check, on_check);
	return this;
}

void loop_watch_write_metrics(const loop_watch_t *this, GString *out)
{
	uint64_t count = 0;

	for (unsigned int i = 0; i < ARRAY_LEN(bounds_ms); i++) {
		count += this->turns[i];
		g_string_append_printf(out,
			"amaranthwall_loop_turn_seconds_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
			bounds_ms[i] / 1000.0, (guint64)count);
	}
	count += this->turns[ARRAY_LEN(bounds_ms)];
	g_string_append_printf(out,
		"amaranthwall_loop_turn_seconds_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
		"amaranthwall_loop_turn_seconds_sum %.6f\n"
		"amaranthwall_loop_turn_seconds_count %" G_GUINT64_FORMAT "\n",
		(guint64)count, (double)this->busy_total / USEC_PER_SEC, (guint64)count);
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void loop_watch_delete(loop_watch_t *this)
{
	if (this)
		uv_close((uv_handle_t *)&this->check, on_closed);
}
