#ifndef GATEWAY_ORIGIN_ROWS_H
#define GATEWAY_ORIGIN_ROWS_H
/*
 * origin_rows - the streams that all routers have saved, as last read from the store
 *
 * The rows are searched as they are: their streams are those in progress, which are few.  A row is
 * forgotten STREAM_ORIGINS_MEMORY after it was read.
 */
#include "core/stream_origins.h"
#include "gateway/store.h"

typedef struct origin_rows origin_rows_t;

origin_rows_t *origin_rows_new(void);
void origin_rows_delete(origin_rows_t *this);

/*
 * Adds a row, or replaces it; `on_mixed` is called with each service of which the row says that it
 * has several versions.
 */
void origin_rows_put(origin_rows_t *this, const store_row_t *row, instant_t now,
	void (*on_mixed)(void *ctx, id_t32 service), void *ctx);
/* Finds the version that began the stream. */
bool origin_rows_find(const origin_rows_t *this, id_t32 service, uint64_t stream, id_t32 *version);
/* Forgets the rows that are too old. */
void origin_rows_expire(origin_rows_t *this, instant_t now);

#endif
