#ifndef GATEWAY_ROWBOOK_H
#define GATEWAY_ROWBOOK_H
/*
 * rowbook - the newest rows that are known of the store's tables, from the store or a peer
 *
 * Versions come from the store's one counter, so a row that a peer tells is as
 * good as one that was read, and an older one never replaces a newer one.
 */
#include "gateway/store.h"

typedef enum book_table {
	BOOK_CATALOG,
	BOOK_ENDPOINTS,
	BOOK_TABLES,
} book_table_t;

typedef struct rowbook rowbook_t;

rowbook_t *rowbook_new(void);
void rowbook_delete(rowbook_t *this);
/* Copies the row; false when it is not newer than the one known. */
bool rowbook_put(rowbook_t *this, book_table_t table, const store_row_t *row);
/* The highest version of any row of the table, 0 without one. */
uint64_t rowbook_newest(const rowbook_t *this, book_table_t table);
/* Calls `each` for the rows of a version above `after`. */
void rowbook_each_after(const rowbook_t *this, book_table_t table, uint64_t after,
	void (*each)(void *ctx, const store_row_t *row), void *ctx);
/*
 * A whole listing was read at `version`: rows that it does not have are deleted,
 * and handed to `dropped`.
 */
void rowbook_keep_only(rowbook_t *this, book_table_t table, const GArray *rows, uint64_t version,
	void (*dropped)(void *ctx, const store_row_t *row), void *ctx);

#endif
