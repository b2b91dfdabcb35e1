#include "gateway/watch.h"

#include <pthread.h>

#include "edge/clock.h"
#include "edge/log.h"

typedef struct reading {
	struct cds_list_head link;
	GArray *rows; /* NULL: the store was lost */
	bool is_whole;
	uint64_t version;
	uint64_t outage;
} reading_t;

struct watch {
	watch_options_t options;
	store_t *store;
	uv_async_t async;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct cds_list_head readings;
	bool quit;
	bool refresh;
	unsigned int wait_ms; /* by the lock, as is the next */
	unsigned int pause_ms;
	uint64_t version;
	instant_t lost_at; /* 0: within reach */
	unsigned int failures;
};

/* --- in the loop ------------------------------------------------------ */

static reading_t *take_reading(watch_t *this)
{
	reading_t *reading = NULL;

	pthread_mutex_lock(&this->lock);
	if (!cds_list_empty(&this->readings)) {
		reading = cds_list_first_entry(&this->readings, reading_t, link);
		cds_list_del(&reading->link);
	}
	pthread_mutex_unlock(&this->lock);
	return reading;
}

static void reading_delete(reading_t *reading)
{
	if (reading->rows)
		g_array_unref(reading->rows);
	g_free(reading);
}

static void on_async(uv_async_t *async)
{
	watch_t *this = async->data;
	const watch_ops_t *ops = this->options.ops;
	reading_t *reading;

	while ((reading = take_reading(this))) {
		if (!reading->rows)
			ops->on_lost(this->options.ctx);
		else if (reading->is_whole)
			ops->on_table(this->options.ctx, reading->rows, reading->version,
				reading->outage);
		else
			ops->on_rows(this->options.ctx, reading->rows);
		reading_delete(reading);
	}
}

/* --- in the thread ---------------------------------------------------- */

static void post(watch_t *this, GArray *rows, bool is_whole, uint64_t outage)
{
	reading_t *reading = g_new0(reading_t, 1);

	reading->rows = rows;
	reading->is_whole = is_whole;
	reading->version = this->version;
	reading->outage = outage;
	pthread_mutex_lock(&this->lock);
	cds_list_add_tail(&reading->link, &this->readings);
	pthread_mutex_unlock(&this->lock);
	uv_async_send(&this->async);
}

static bool pause_for(watch_t *this, unsigned int ms)
{
	instant_t until = clock_now() + ms * USEC_PER_MSEC;
	bool quit;

	pthread_mutex_lock(&this->lock);
	while (!this->quit && cond_wait_until(&this->wake, &this->lock, until))
		;
	quit = this->quit;
	pthread_mutex_unlock(&this->lock);
	return !quit;
}

static bool must_quit(watch_t *this)
{
	return !pause_for(this, 0);
}

static void note_failure(watch_t *this, row_result_t result)
{
	unsigned int ms = this->options.retry_ms << (this->failures < 2 ? this->failures : 2);

	this->version = 0;
	this->failures++;
	if (!this->lost_at) {
		this->lost_at = clock_now();
		post(this, NULL, false, 0);
		log_warn("store-lost", "table=%s result=%d", this->options.table, (int)result);
	}
	pause_for(this, ms / 2 + (unsigned int)g_random_int_range(0, (gint32)ms / 2));
}

static void read_whole(watch_t *this)
{
	GArray *rows = store_rows_new();
	uint64_t version = 0;
	row_result_t result =
		this->store->ops->list(this->store, this->options.table, rows, &version);
	uint64_t outage = this->lost_at ? clock_now() - this->lost_at : 0;

	if (result != ROWS_GOOD) {
		g_array_unref(rows);
		note_failure(this, result);
		return;
	}
	if (this->lost_at)
		log_notice("store-back", "table=%s outage_ms=%" G_GUINT64_FORMAT,
			this->options.table, (guint64)(outage / USEC_PER_MSEC));
	this->lost_at = 0;
	this->failures = 0;
	this->version = version;
	post(this, rows, true, outage);
}

static void get_pace(watch_t *this, unsigned int *wait_ms, unsigned int *pause_ms)
{
	pthread_mutex_lock(&this->lock);
	*wait_ms = this->wait_ms;
	*pause_ms = this->pause_ms;
	pthread_mutex_unlock(&this->lock);
}

static void follow(watch_t *this)
{
	GArray *rows = store_rows_new();
	unsigned int wait_ms;
	unsigned int pause_ms;
	row_result_t result;

	get_pace(this, &wait_ms, &pause_ms);
	result = this->store->ops->wait(
		this->store, this->options.table, wait_ms, rows, &this->version);

	if (result == ROWS_GOOD && rows->len) {
		post(this, rows, false, 0);
		pause_for(this, pause_ms);
		return;
	}
	g_array_unref(rows);
	if (result == ROWS_GAP) {
		log_notice("store-gap", "table=%s version=%" G_GUINT64_FORMAT, this->options.table,
			(guint64)this->version);
		this->version = 0;
	} else if (result != ROWS_GOOD) {
		note_failure(this, result);
	}
}

static bool take_refresh(watch_t *this)
{
	bool refresh;

	pthread_mutex_lock(&this->lock);
	refresh = this->refresh;
	this->refresh = false;
	pthread_mutex_unlock(&this->lock);
	return refresh;
}

static void *run(void *ctx)
{
	watch_t *this = ctx;

	while (!must_quit(this)) {
		if (take_refresh(this))
			this->version = 0;
		if (this->version)
			follow(this);
		else
			read_whole(this);
	}
	return NULL;
}

watch_t *watch_new(const watch_options_t *options)
{
	watch_t *this = g_new0(watch_t, 1);

	this->options = *options;
	this->wait_ms = options->wait_ms;
	this->pause_ms = options->pause_ms;
	this->store = options->adapter->open_store(&options->store);
	CDS_INIT_LIST_HEAD(&this->readings);
	pthread_mutex_init(&this->lock, NULL);
	cond_init(&this->wake);
	uv_async_init(options->loop, &this->async, on_async);
	uv_unref((uv_handle_t *)&this->async);
	this->async.data = this;
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

void watch_set_pace(watch_t *this, unsigned int wait_ms, unsigned int pause_ms)
{
	pthread_mutex_lock(&this->lock);
	this->wait_ms = wait_ms;
	this->pause_ms = pause_ms;
	pthread_mutex_unlock(&this->lock);
}

void watch_refresh(watch_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->refresh = true;
	pthread_mutex_unlock(&this->lock);
}

static void watch_stop(watch_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->quit = true;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
}

static void on_closed(uv_handle_t *handle)
{
	watch_t *this = handle->data;
	reading_t *reading;

	while ((reading = take_reading(this)))
		reading_delete(reading);
	this->store->ops->delete (this->store);
	pthread_cond_destroy(&this->wake);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

void watch_delete(watch_t *this)
{

	if (!this)
		return;
	watch_stop(this);
	pthread_join(this->thread, NULL);
	uv_close((uv_handle_t *)&this->async, on_closed);
}
