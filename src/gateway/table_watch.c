#include "gateway/table_watch.h"

#include <pthread.h>

#include "edge/clock.h"
#include "edge/log.h"

/*
 * Longest wait of a read that checks the era after a pause.  Only the era tells of a restore during
 * the pause if the store's version has passed the reader's again.
 */
#define RECHECK_WAIT_MS 500
#define DELAY_LOGGED (200 * USEC_PER_MSEC) /* rows that wait longer for the loop are logged */

typedef enum update_kind {
	UPDATE_TABLE,
	UPDATE_ROWS,
	UPDATE_UNREACHABLE,
	UPDATE_PAUSED,
} update_kind_t;

/* What the thread passes to the loop. */
typedef struct update {
	struct cds_list_head link;
	update_kind_t kind;
	GArray *rows; /* UPDATE_TABLE, UPDATE_ROWS */
	store_version_t version;
	uint64_t outage;
	instant_t posted_at;
} update_t;

struct table_watch {
	table_watch_options_t options;
	store_t *store;
	uv_async_t async;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;

	/* Guarded by the lock. */
	struct cds_list_head updates;
	bool stopping;
	bool refresh;
	bool paused;
	unsigned int wait_ms;
	unsigned int pause_ms;
	double recheck_ratio;

	/* Used by the thread only. */
	store_version_t version;     /* of the newest read; number 0: list the full table next */
	uint64_t era;		     /* of the newest response; 0: none yet */
	bool must_recheck;	     /* the next read is a short one */
	instant_t unreachable_since; /* 0: reachable */
	instant_t responded_at;	     /* newest response; 0: none yet */
	unsigned int failures;
};

/* --- loop's thread ---------------------------------------------------- */

static update_t *pop_update(table_watch_t *this)
{
	update_t *update = NULL;

	pthread_mutex_lock(&this->lock);
	if (!cds_list_empty(&this->updates)) {
		update = cds_list_first_entry(&this->updates, update_t, link);
		cds_list_del(&update->link);
	}
	pthread_mutex_unlock(&this->lock);
	return update;
}

static void update_delete(update_t *update)
{
	if (update->rows)
		g_array_unref(update->rows);
	g_free(update);
}

static void log_if_delayed(const table_watch_t *this, const update_t *update)
{
	uint64_t waited = clock_now() - update->posted_at;

	if (waited >= DELAY_LOGGED)
		log_warn("rows-delayed", "table=%s waited_ms=%" G_GUINT64_FORMAT,
			this->options.table, (guint64)(waited / USEC_PER_MSEC));
}

static void on_async(uv_async_t *async)
{
	table_watch_t *this = async->data;
	const table_watch_ops_t *ops = this->options.ops;
	update_t *update;

	while ((update = pop_update(this))) {
		log_if_delayed(this, update);
		switch (update->kind) {
		case UPDATE_TABLE:
			ops->on_table(
				this->options.ctx, update->rows, update->version, update->outage);
			break;
		case UPDATE_ROWS:
			ops->on_rows(this->options.ctx, update->rows);
			break;
		case UPDATE_UNREACHABLE:
			ops->on_unreachable(this->options.ctx);
			break;
		case UPDATE_PAUSED:
			ops->on_paused(this->options.ctx);
			break;
		}
		update_delete(update);
	}
}

/* --- watching thread -------------------------------------------------- */

static void post_update(table_watch_t *this, update_kind_t kind, GArray *rows, uint64_t outage)
{
	update_t *update = g_new0(update_t, 1);

	update->kind = kind;
	update->rows = rows;
	update->version = this->version;
	update->outage = outage;
	update->posted_at = clock_now();
	pthread_mutex_lock(&this->lock);
	cds_list_add_tail(&update->link, &this->updates);
	pthread_mutex_unlock(&this->lock);
	uv_async_send(&this->async);
}

/* False if the thread must exit, which also ends the sleep. */
static bool sleep_unless_stopping(table_watch_t *this, unsigned int ms)
{
	instant_t until = clock_now() + ms * USEC_PER_MSEC;
	bool stopping;

	pthread_mutex_lock(&this->lock);
	while (!this->stopping && cond_wait_until(&this->wake, &this->lock, until))
		;
	stopping = this->stopping;
	pthread_mutex_unlock(&this->lock);
	return !stopping;
}

static bool is_stopping(table_watch_t *this)
{
	return !sleep_unless_stopping(this, 0);
}

/* Time since the newest response, or 0 before the first one. */
static uint64_t silence_ms(const table_watch_t *this)
{
	return this->responded_at ? (clock_now() - this->responded_at) / USEC_PER_MSEC : 0;
}

static void handle_failure(table_watch_t *this, row_result_t result)
{
	unsigned int delay_ms = this->options.retry_ms << (this->failures < 2 ? this->failures : 2);

	this->version.number = 0;
	this->failures++;
	if (!this->unreachable_since) {
		this->unreachable_since = clock_now();
		post_update(this, UPDATE_UNREACHABLE, NULL, 0);
		log_warn("store-lost", "table=%s result=%d silent_ms=%" G_GUINT64_FORMAT,
			this->options.table, (int)result, (guint64)silence_ms(this));
	}
	sleep_unless_stopping(
		this, delay_ms / 2 + (unsigned int)g_random_int_range(0, (gint32)delay_ms / 2));
}

/* True if the store was restored since the last response. */
static bool note_era(table_watch_t *this, uint64_t era)
{
	bool changed = this->era && era != this->era;

	if (changed)
		log_warn("store-era",
			"table=%s era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
			" after_version=%" G_GUINT64_FORMAT,
			this->options.table, (guint64)era, (guint64)this->era,
			(guint64)this->version.number);
	this->era = era;
	return changed;
}

static void read_table(table_watch_t *this)
{
	GArray *rows = store_rows_new();
	store_version_t version = {0};
	row_result_t result =
		this->store->ops->list(this->store, this->options.table, rows, &version);
	uint64_t outage = this->unreachable_since ? clock_now() - this->unreachable_since : 0;

	if (result != ROWS_OK) {
		g_array_unref(rows);
		if (result != ROWS_COMPACTED)
			handle_failure(this, result);
		return;
	}
	if (this->unreachable_since)
		log_notice("store-back", "table=%s outage_ms=%" G_GUINT64_FORMAT,
			this->options.table, (guint64)(outage / USEC_PER_MSEC));
	this->unreachable_since = 0;
	this->responded_at = clock_now();
	this->failures = 0;
	note_era(this, version.era);
	this->version = version;
	post_update(this, UPDATE_TABLE, rows, outage);
}

static void get_intervals(table_watch_t *this, unsigned int *wait_ms, unsigned int *pause_ms)
{
	pthread_mutex_lock(&this->lock);
	*wait_ms = this->wait_ms;
	*pause_ms = this->pause_ms;
	pthread_mutex_unlock(&this->lock);
}

/*
 * Waits of different lengths spread the reads of all routers, which each change aligns, so that
 * one of them soon notices a store that has gone silent or was restored, and tells the others.
 */
static unsigned int choose_wait(table_watch_t *this, unsigned int wait_ms)
{
	unsigned int spread = wait_ms / 2;

	if (this->must_recheck)
		return MIN(wait_ms, RECHECK_WAIT_MS);
	wait_ms += (unsigned int)g_random_int_range(0, (gint32)spread + 1);
	return MIN(wait_ms - spread / 2, TABLE_WATCH_MAX_WAIT_MS);
}

static bool draw_recheck(table_watch_t *this)
{
	double ratio;

	pthread_mutex_lock(&this->lock);
	ratio = this->recheck_ratio;
	pthread_mutex_unlock(&this->lock);
	return g_random_double() < ratio;
}

static void read_changes(table_watch_t *this)
{
	GArray *rows = store_rows_new();
	unsigned int wait_ms;
	unsigned int pause_ms;
	row_result_t result;

	get_intervals(this, &wait_ms, &pause_ms);
	result = this->store->ops->wait(
		this->store, this->options.table, choose_wait(this, wait_ms), rows, &this->version);
	this->must_recheck = false;
	if (result == ROWS_OK)
		this->responded_at = clock_now();
	if (note_era(this, this->version.era)) {
		/* The rows that changed before the response's are unknown, even if it has some. */
		this->version.number = 0;
		g_array_unref(rows);
		return;
	}
	if (result == ROWS_OK && rows->len) {
		post_update(this, UPDATE_ROWS, rows, 0);
		sleep_unless_stopping(this, pause_ms);
		this->must_recheck = draw_recheck(this);
		return;
	}
	g_array_unref(rows);
	if (result == ROWS_COMPACTED) {
		log_notice("store-gap", "table=%s version=%" G_GUINT64_FORMAT, this->options.table,
			(guint64)this->version.number);
		this->version.number = 0;
	} else if (result != ROWS_OK) {
		handle_failure(this, result);
	}
}

static bool take_refresh_request(table_watch_t *this)
{
	bool refresh;

	pthread_mutex_lock(&this->lock);
	refresh = this->refresh;
	this->refresh = false;
	pthread_mutex_unlock(&this->lock);
	return refresh;
}

static bool must_pause(const table_watch_t *this)
{
	return this->paused && !this->stopping && !this->refresh;
}

/* After a pause, the full table is listed: the store may have been restored meanwhile. */
static void wait_while_paused(table_watch_t *this)
{
	bool pauses;

	pthread_mutex_lock(&this->lock);
	pauses = must_pause(this);
	pthread_mutex_unlock(&this->lock);
	if (!pauses)
		return;
	this->version.number = 0;
	post_update(this, UPDATE_PAUSED, NULL, 0);
	pthread_mutex_lock(&this->lock);
	while (must_pause(this))
		cond_wait_until(&this->wake, &this->lock, INSTANT_NEVER);
	pthread_mutex_unlock(&this->lock);
}

static void *run(void *ctx)
{
	table_watch_t *this = ctx;

	while (!is_stopping(this)) {
		wait_while_paused(this);
		if (is_stopping(this))
			break;
		if (take_refresh_request(this))
			this->version.number = 0;
		if (this->version.number)
			read_changes(this);
		else
			read_table(this);
	}
	return NULL;
}

table_watch_t *table_watch_new(const table_watch_options_t *options)
{
	table_watch_t *this = g_new0(table_watch_t, 1);

	this->options = *options;
	this->wait_ms = options->wait_ms;
	this->pause_ms = options->pause_ms;
	this->recheck_ratio = 1;
	this->store = options->adapter->open_store(&options->store);
	CDS_INIT_LIST_HEAD(&this->updates);
	pthread_mutex_init(&this->lock, NULL);
	cond_init(&this->wake);
	uv_async_init(options->loop, &this->async, on_async);
	uv_unref((uv_handle_t *)&this->async);
	this->async.data = this;
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

void table_watch_set_intervals(
	table_watch_t *this, unsigned int wait_ms, unsigned int pause_ms, double recheck_ratio)
{
	pthread_mutex_lock(&this->lock);
	this->wait_ms = wait_ms;
	this->pause_ms = pause_ms;
	this->recheck_ratio = recheck_ratio;
	pthread_mutex_unlock(&this->lock);
}

void table_watch_refresh(table_watch_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->refresh = true;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
}

void table_watch_set_paused(table_watch_t *this, bool paused)
{
	pthread_mutex_lock(&this->lock);
	this->paused = paused;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
}

static void request_stop(table_watch_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->stopping = true;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
}

static void on_closed(uv_handle_t *handle)
{
	table_watch_t *this = handle->data;
	update_t *update;

	while ((update = pop_update(this)))
		update_delete(update);
	this->store->ops->delete (this->store);
	pthread_cond_destroy(&this->wake);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

void table_watch_delete(table_watch_t *this)
{

	if (!this)
		return;
	request_stop(this);
	pthread_join(this->thread, NULL);
	uv_close((uv_handle_t *)&this->async, on_closed);
}
