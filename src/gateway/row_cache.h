#ifndef GATEWAY_ROW_CACHE_H
#define GATEWAY_ROW_CACHE_H
/*
 * row_cache - the newest known rows of the store's tables, from the store or from a peer
 *
 * The store numbers all versions from a single counter.  So a row from a peer is
 * equivalent to one that was read, and an older row never replaces a newer one.
 * All rows of a table are of one era: the first rows of a newer one are a full
 * listing, after which row_cache_delete_missing() removes what is left of the era before.
 * The catalog's row has the operators' version of the catalog instead.
 */
#include "gateway/store.h"

typedef enum cached_table {
	CACHED_CATALOG,
	CACHED_ENDPOINTS,
	CACHED_ROUTERS,
	CACHED_EVACUATIONS, /* see evacuation_rows.h; earlier builds ignore it */
	CACHED_TABLE_COUNT,
} cached_table_t;

typedef struct row_cache row_cache_t;

row_cache_t *row_cache_new(void);
void row_cache_delete(row_cache_t *this);
/* Stores a copy of the row; false if the cached row is as new, or the table is of a newer era. */
bool row_cache_put(row_cache_t *this, cached_table_t table, const store_row_t *row);
/* Highest version of any row of the table, deleted ones included; number 0: no rows. */
store_version_t row_cache_newest_version(const row_cache_t *this, cached_table_t table);
/* Calls `callback` for each row whose version is above `after`. */
void row_cache_for_each_after(const row_cache_t *this, cached_table_t table, store_version_t after,
	void (*callback)(void *ctx, const store_row_t *row), void *ctx);
/*
 * Compares the cache with `rows`, a full listing of the table as of `version`: marks
 * the cached rows that are missing from it as deleted at `version` and calls
 * `on_deleted` for each.  Does not change rows newer than `version`.  Forgets rows that were
 * deleted in an older era.
 */
void row_cache_delete_missing(row_cache_t *this, cached_table_t table, const GArray *rows,
	store_version_t version, void (*on_deleted)(void *ctx, const store_row_t *row), void *ctx);

#endif
