#ifndef GATEWAY_ORIGIN_STORE_H
#define GATEWAY_ORIGIN_STORE_H
/*
 * origin_store - saves in the store which streams a router has forwarded, and reads what all have
 * saved
 *
 * A router's rows are a ring; a row may be saved again with more in it.  A separate thread makes
 * the calls.  The rows of a router that was restarted have other keys than those before.
 */
#include <uv.h>

#include "core/types.h"
#include "gateway/adapter.h"

#define ORIGIN_TABLE "streams"
#define ORIGIN_RING_ROWS 10

typedef struct origin_store origin_store_t;

typedef struct origin_store_options {
	uv_loop_t *loop;
	const adapter_t *adapter;
	store_options_t store;
	const char *name; /* of the router */
	uint64_t incarnation;
	/*
	 * Called on the loop's thread when a read has ended, with the rows that are new since the
	 * read before (store_row_t); `rows` is NULL if the store could not be read.
	 */
	void (*on_read)(void *ctx, const GArray *rows);
	void *ctx;
} origin_store_options_t;

typedef enum origin_rows {
	ORIGIN_ROWS_ALL,
	ORIGIN_ROWS_OF_EARLIER_RUNS, /* of this router */
} origin_rows_t;

origin_store_t *origin_store_new(const origin_store_options_t *options);
/* Stops and joins the thread; rows that are not written yet are lost. */
void origin_store_delete(origin_store_t *this);

/* Writes the row with this index; takes ownership of `bytes`.  A write that fails is repeated. */
void origin_store_save(origin_store_t *this, unsigned int row, GString *bytes);
/* Begins a read, after the one that is in progress. */
void origin_store_read(origin_store_t *this);
/* Removes rows that are no longer needed. */
void origin_store_remove(origin_store_t *this, origin_rows_t rows);

#endif
