#ifndef GATEWAY_ORIGIN_STORE_H
#define GATEWAY_ORIGIN_STORE_H
/*
 * origin_store - writes rows with the streams that routers have forwarded to the store, and reads
 * those of all routers
 *
 * A row may be written again with other contents.  A separate thread makes the calls.  The rows of
 * a router that was restarted have other keys than those before.
 */
#include <uv.h>

#include "core/origin_keeper.h"
#include "gateway/adapter.h"

#define ORIGIN_TABLE "streams"

typedef struct origin_store origin_store_t;

/* What a read brought; its rows are store_row_t. */
typedef struct origin_read {
	GArray *rows;	   /* new since the read before; NULL: the store could not be read */
	GArray *endpoints; /* all registrations; NULL: not asked for, or not read */
	store_version_t endpoints_version;
} origin_read_t;

typedef struct origin_store_options {
	uv_loop_t *loop;
	const adapter_t *adapter;
	store_options_t store;
	const char *name; /* of the router */
	uint64_t incarnation;
	/* Called on the loop's thread when a read has ended. */
	void (*on_read)(void *ctx, const origin_read_t *read);
	/* Called on the loop's thread for each row that was written. */
	void (*on_saved)(void *ctx);
	void *ctx;
} origin_store_options_t;

typedef enum origin_removal {
	ORIGIN_ROWS_ALL,
	ORIGIN_ROWS_UNCHANGED, /* since the last removal */
} origin_removal_t;

origin_store_t *origin_store_new(const origin_store_options_t *options);
/* Stops and joins the thread; rows that are not written yet are lost. */
void origin_store_delete(origin_store_t *this);

/*
 * Writes the row with this index, below ORIGIN_ROWS_MAX; takes ownership of `bytes`.  A write that
 * fails is repeated.
 */
void origin_store_save(origin_store_t *this, unsigned int row, GString *bytes);
/* Begins a read, after the one that is in progress; of the endpoints' registrations too if asked.
 */
void origin_store_read(origin_store_t *this, bool with_endpoints);
/* Removes rows that are no longer needed. */
void origin_store_remove(origin_store_t *this, origin_removal_t what);

#endif
