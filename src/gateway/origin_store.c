#include "gateway/origin_store.h"

#include <pthread.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"

#define RETRY_DELAY (500 * USEC_PER_MSEC)
#define FULL_RESPONSE_ROWS 100 /* a response with fewer is the last one */

struct origin_store {
	origin_store_options_t options;
	store_t *store;
	char *prefix; /* of the keys of this run of the router */
	uv_async_t async;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;

	/* Guarded by the lock. */
	bool quit;
	GString *unsaved[ORIGIN_ROWS_MAX]; /* rows that are to be written; NULL: none */
	bool read_requested;
	bool endpoints_requested;
	bool remove_all;
	bool remove_unchanged;
	GPtrArray *results; /* origin_read_t */
	unsigned int saved; /* rows written, of which the loop does not know yet */

	/* Used by the thread only. */
	store_version_t version; /* of the newest read; number 0: none yet */
	GHashTable *listed;	 /* key -> version of the row at the last removal */
};

/* What the thread is to do next. */
typedef struct work {
	GString *bytes;	  /* row to be written; NULL: none */
	unsigned int row; /* its index */
	bool read;
	bool read_endpoints;
	bool remove_all;
	bool remove_unchanged;
} work_t;

static void read_delete(void *item)
{
	origin_read_t *read = item;

	if (read->rows)
		g_array_unref(read->rows);
	if (read->endpoints)
		g_array_unref(read->endpoints);
	g_free(read);
}

/* --- loop's thread ---------------------------------------------------- */

static void on_async(uv_async_t *async)
{
	origin_store_t *this = async->data;
	GPtrArray *results;
	unsigned int saved;

	pthread_mutex_lock(&this->lock);
	results = this->results;
	this->results = g_ptr_array_new_with_free_func(read_delete);
	saved = this->saved;
	this->saved = 0;
	pthread_mutex_unlock(&this->lock);
	while (saved--)
		this->options.on_saved(this->options.ctx);
	for (unsigned int i = 0; i < results->len; i++)
		this->options.on_read(this->options.ctx, results->pdata[i]);
	g_ptr_array_unref(results);
}

/* Frees the row that was to be written before. */
static void replace_unsaved(GString **unsaved, GString *bytes)
{
	if (*unsaved)
		g_string_free(*unsaved, TRUE);
	*unsaved = bytes;
}

void origin_store_save(origin_store_t *this, unsigned int row, GString *bytes)
{
	pthread_mutex_lock(&this->lock);
	replace_unsaved(&this->unsaved[row], bytes);
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
}

static void request(origin_store_t *this, bool *what)
{
	pthread_mutex_lock(&this->lock);
	*what = true;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
}

void origin_store_read(origin_store_t *this, bool with_endpoints)
{
	if (with_endpoints)
		request(this, &this->endpoints_requested);
	request(this, &this->read_requested);
}

void origin_store_remove(origin_store_t *this, origin_removal_t what)
{
	request(this, what == ORIGIN_ROWS_ALL ? &this->remove_all : &this->remove_unchanged);
}

/* --- thread ------------------------------------------------------------- */

/* Index of a row that is to be written, ORIGIN_ROWS_MAX: none. */
static unsigned int first_unsaved(const origin_store_t *this)
{
	unsigned int row = 0;

	while (row < ORIGIN_ROWS_MAX && !this->unsaved[row])
		row++;
	return row;
}

static bool has_work(const origin_store_t *this, instant_t write_after)
{
	return this->read_requested || this->remove_all || this->remove_unchanged ||
	       (first_unsaved(this) < ORIGIN_ROWS_MAX && clock_now() >= write_after);
}

/* Waits for work; writes only at `write_after` or later.  False if the thread must exit. */
static bool wait_for_work(origin_store_t *this, instant_t write_after, work_t *work)
{
	bool quit;

	pthread_mutex_lock(&this->lock);
	while (!this->quit && !has_work(this, write_after))
		cond_wait_until(&this->wake, &this->lock,
			first_unsaved(this) == ORIGIN_ROWS_MAX ? INSTANT_NEVER : write_after);
	*work = (work_t){
		.row = first_unsaved(this),
		.read = this->read_requested,
		.read_endpoints = this->endpoints_requested,
		.remove_all = this->remove_all,
		.remove_unchanged = this->remove_unchanged,
	};
	if (work->row < ORIGIN_ROWS_MAX && clock_now() >= write_after) {
		work->bytes = this->unsaved[work->row];
		this->unsaved[work->row] = NULL;
	}
	if (this->read_requested)
		this->endpoints_requested = false;
	this->read_requested = this->remove_all = this->remove_unchanged = false;
	quit = this->quit;
	pthread_mutex_unlock(&this->lock);
	return !quit;
}

/* The row is written again, unless it has been replaced meanwhile. */
static void put_back(origin_store_t *this, const work_t *work)
{
	pthread_mutex_lock(&this->lock);
	if (this->unsaved[work->row])
		g_string_free(work->bytes, TRUE);
	else
		this->unsaved[work->row] = work->bytes;
	pthread_mutex_unlock(&this->lock);
}

static void post_saved(origin_store_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->saved++;
	pthread_mutex_unlock(&this->lock);
	uv_async_send(&this->async);
}

/* Returns the earliest time of the next write. */
static instant_t write_row(origin_store_t *this, const work_t *work)
{
	char *key = g_strdup_printf("%s%u", this->prefix, work->row);
	store_row_t row = {.key = key, .value = work->bytes->str, .len = work->bytes->len};
	uint64_t version;
	row_result_t result =
		this->store->ops->put(this->store, ORIGIN_TABLE, &row, STORE_ANY_VERSION, &version);

	g_free(key);
	if (result == ROWS_OK) {
		g_string_free(work->bytes, TRUE);
		post_saved(this);
		return 0;
	}
	log_warn("stream-origins-unsaved", "result=%d bytes=%zu", (int)result,
		(size_t)work->bytes->len);
	put_back(this, work);
	return clock_now() + RETRY_DELAY;
}

/* A response may hold a part of the changes only. */
static row_result_t read_changes(origin_store_t *this, GArray *rows)
{
	row_result_t result;
	unsigned int before;

	do {
		before = rows->len;
		result = this->store->ops->wait(this->store, ORIGIN_TABLE, 0, rows, &this->version);
	} while (result == ROWS_OK && rows->len >= before + FULL_RESPONSE_ROWS);
	return result;
}

/* Reads the rows that are new since the last read. */
static row_result_t read_rows(origin_store_t *this, GArray *rows)
{
	row_result_t result = ROWS_COMPACTED;
	uint64_t era = this->version.era;

	if (this->version.number)
		result = read_changes(this, rows);
	if (result == ROWS_COMPACTED || this->version.era != era) {
		g_array_set_size(rows, 0);
		result = this->store->ops->list(this->store, ORIGIN_TABLE, rows, &this->version);
	}
	if (result != ROWS_OK)
		this->version.number = 0;
	return result;
}

static void post_result(origin_store_t *this, origin_read_t *read)
{
	pthread_mutex_lock(&this->lock);
	g_ptr_array_add(this->results, read);
	pthread_mutex_unlock(&this->lock);
	uv_async_send(&this->async);
}

static GArray *rows_if_read(GArray *rows, row_result_t result, const char *table)
{
	if (result == ROWS_OK)
		return rows;
	log_warn("stream-origins-unread", "table=%s result=%d", table, (int)result);
	g_array_unref(rows);
	return NULL;
}

static void read_and_post(origin_store_t *this, bool with_endpoints)
{
	const char *table = this->options.adapter->endpoint_table;
	origin_read_t *read = g_new0(origin_read_t, 1);
	GArray *rows = store_rows_new();

	read->rows = rows_if_read(rows, read_rows(this, rows), ORIGIN_TABLE);
	if (with_endpoints) {
		rows = store_rows_new();
		read->endpoints = rows_if_read(rows,
			this->store->ops->list(this->store, table, rows, &read->endpoints_version),
			table);
	}
	post_result(this, read);
}

/* Notes the row's version; returns whether it is that of the last removal. */
static bool is_unchanged(origin_store_t *this, const store_row_t *row)
{
	const guint64 *before = g_hash_table_lookup(this->listed, row->key);
	guint64 number = row->version.number;
	bool unchanged = before && *before == number;

	g_hash_table_replace(this->listed, g_strdup(row->key), g_memdup2(&number, sizeof(number)));
	return unchanged;
}

/* A row that can't be removed is left: it is removed with the next ones. */
static void remove_rows(origin_store_t *this, bool all)
{
	GArray *rows = store_rows_new();
	store_version_t version;
	unsigned int removed = 0;

	if (this->store->ops->list(this->store, ORIGIN_TABLE, rows, &version) == ROWS_OK) {
		for (unsigned int i = 0; i < rows->len; i++) {
			const store_row_t *row = &g_array_index(rows, store_row_t, i);

			if (!is_unchanged(this, row) && !all)
				continue;
			removed += this->store->ops->remove(this->store, ORIGIN_TABLE, row->key,
					   row->version.number) == ROWS_OK;
			g_hash_table_remove(this->listed, row->key);
		}
	}
	if (rows->len)
		log_info("stream-origins-removed", "rows=%u of=%u", removed, rows->len);
	g_array_unref(rows);
}

static void *run(void *ctx)
{
	origin_store_t *this = ctx;
	instant_t write_after = 0;
	work_t work;

	while (wait_for_work(this, write_after, &work)) {
		if (work.read)
			read_and_post(this, work.read_endpoints);
		if (work.bytes)
			write_after = write_row(this, &work);
		if (work.remove_all || work.remove_unchanged)
			remove_rows(this, work.remove_all);
	}
	if (work.bytes)
		g_string_free(work.bytes, TRUE);
	return NULL;
}

/* --- start and end ------------------------------------------------------ */

origin_store_t *origin_store_new(const origin_store_options_t *options)
{
	origin_store_t *this = g_new0(origin_store_t, 1);

	this->options = *options;
	this->store = options->adapter->open_store(&options->store);
	this->prefix = g_strdup_printf(
		"%s/%" G_GINT64_MODIFIER "x/", options->name, (guint64)options->incarnation);
	this->results = g_ptr_array_new_with_free_func(read_delete);
	this->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pthread_mutex_init(&this->lock, NULL);
	cond_init(&this->wake);
	uv_async_init(options->loop, &this->async, on_async);
	uv_unref((uv_handle_t *)&this->async);
	this->async.data = this;
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

static void on_closed(uv_handle_t *handle)
{
	origin_store_t *this = handle->data;

	g_ptr_array_unref(this->results);
	for (unsigned int row = 0; row < ORIGIN_ROWS_MAX; row++)
		replace_unsaved(&this->unsaved[row], NULL);
	this->store->ops->delete (this->store);
	pthread_cond_destroy(&this->wake);
	pthread_mutex_destroy(&this->lock);
	g_hash_table_destroy(this->listed);
	g_free(this->prefix);
	g_free(this);
}

void origin_store_delete(origin_store_t *this)
{
	if (!this)
		return;
	pthread_mutex_lock(&this->lock);
	this->quit = true;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
	pthread_join(this->thread, NULL);
	uv_close((uv_handle_t *)&this->async, on_closed);
}
