#ifndef GATEWAY_TABLE_WATCH_H
#define GATEWAY_TABLE_WATCH_H
/*
 * table_watch - follows one table of the store in a separate thread
 *
 * The callbacks run in the loop's thread.  They receive the full table first and
 * after each gap, outage or restore of the store, and changed rows from then on.  A short pause
 * after each response with changes batches the changes that follow.
 */
#include <uv.h>

#include "gateway/adapter.h"

typedef struct table_watch table_watch_t;

typedef struct table_watch_ops {
	/*
	 * All rows of the table as of `version`, which may be of a newer era than the rows before;
	 * `outage` is the time in microseconds for
	 * which the store was unreachable before, or 0.
	 */
	void (*on_table)(void *ctx, const GArray *rows, store_version_t version, uint64_t outage);
	/* Rows that changed. */
	void (*on_rows)(void *ctx, const GArray *rows);
	/* The store became unreachable. */
	void (*on_unreachable)(void *ctx);
	/* Nothing is read from now on, until the next on_table(); NULL if it is never paused. */
	void (*on_paused)(void *ctx);
} table_watch_ops_t;

#define TABLE_WATCH_MAX_WAIT_MS 30000 /* longest wait that the store allows */

typedef struct table_watch_options {
	uv_loop_t *loop;
	const adapter_t *adapter;
	store_options_t store;
	const char *table;
	unsigned int wait_ms;  /* how long a read waits for changes, on average */
	unsigned int retry_ms; /* first delay after a failure; doubles twice */
	unsigned int pause_ms; /* after a read that returned changes */
	const table_watch_ops_t *ops;
	void *ctx;
} table_watch_options_t;

table_watch_t *table_watch_new(const table_watch_options_t *options);
/*
 * Changes the options' `wait_ms` and `pause_ms` from the next read on.  A share `recheck_ratio` of
 * the pauses, at first all, is followed by a short read, which notices a restore of the store
 * during the pause.
 */
void table_watch_set_intervals(
	table_watch_t *this, unsigned int wait_ms, unsigned int pause_ms, double recheck_ratio);
/* Lists the full table again once the running read has returned. */
void table_watch_refresh(table_watch_t *this);
/*
 * While it is paused, nothing is read after the running read has returned, but for what
 * table_watch_refresh() requests.  After the pause, the full table is listed.
 */
void table_watch_set_paused(table_watch_t *this, bool paused);
/* Joins the thread; the memory is freed when the loop runs next. */
void table_watch_delete(table_watch_t *this);

#endif
