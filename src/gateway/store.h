#ifndef GATEWAY_STORE_H
#define GATEWAY_STORE_H
/*
 * store - rows that last, kept by the platform, as a table of functions
 *
 * Each call blocks, for at most its timeout, and is made from a worker thread.
 * A table is read whole, then followed from the version that the reading told.
 */
#include <glib.h>

#include "core/types.h"

typedef enum row_result {
	ROWS_GOOD,
	ROWS_CONFLICT, /* a row's version was not the expected one; nothing was written */
	ROWS_GAP,      /* changes since the version are no longer known: read the table anew */
	ROWS_REFUSED,  /* the store answered that it did nothing */
	ROWS_LOST,     /* no answer; a write may have taken effect */
} row_result_t;

typedef struct store_row {
	char *key;
	char *value;
	gsize len;
	uint64_t version;
	bool is_deleted;
} store_row_t;

typedef struct store store_t;

typedef struct store_ops {
	/* Appends all rows of `table` to `rows`; `version` is that of the reading. */
	row_result_t (*list)(store_t *this, const char *table, GArray *rows, uint64_t *version);
	/* Waits up to `wait_ms` for rows that changed after `*version`, and moves that on. */
	row_result_t (*wait)(store_t *this, const char *table, unsigned int wait_ms, GArray *rows,
		uint64_t *version);
	/*
	 * Writes a row whose version must be `expected`, 0: none; or any, with STORE_ANY.
	 * `version` becomes the row's.
	 */
	row_result_t (*put)(store_t *this, const char *table, const store_row_t *row,
		uint64_t expected, uint64_t *version);
	/* Removes a row of that version: a call that comes late does no harm to a newer one. */
	row_result_t (*remove)(store_t *this, const char *table, const char *key, uint64_t version);
	void (*delete)(store_t *this);
} store_ops_t;

#define STORE_ANY UINT64_MAX

struct store {
	const store_ops_t *ops;
};

typedef struct store_options {
	const char *address;
	unsigned int timeout_ms;
} store_options_t;

/* An array of store_row_t that are cleared with it. */
GArray *store_rows_new(void);

#endif
