#ifndef GATEWAY_STORE_H
#define GATEWAY_STORE_H
/*
 * store - interface to the platform's durable rows
 *
 * Calls block until their timeout at most and are made from worker threads.  A
 * reader lists a table once, then waits for changes after the listing's version.
 */
#include <glib.h>

#include "core/types.h"

typedef enum row_result {
	ROWS_OK,
	ROWS_CONFLICT,	  /* a row's version was not the expected one; nothing was written */
	ROWS_COMPACTED,	  /* changes since the version are not available: list the table again */
	ROWS_REFUSED,	  /* the request was not sent, or the store answered that it did nothing */
	ROWS_TOO_LARGE,	  /* the response, or the table, is larger than any that is of use */
	ROWS_NO_RESPONSE, /* no usable response; a write may have taken effect */
} row_result_t;

/*
 * The store numbers its transactions.  If it is restored from an older copy, its number goes
 * back, the same numbers are given out again, and its era rises.  So versions are ordered by era
 * first.  An era of 0 is unknown.
 */
typedef struct store_version {
	uint64_t era;
	uint64_t number;
} store_version_t;

/* Less than, equal to or greater than 0, as `a` is older than, the same as or newer than `b`. */
static inline int store_version_compare(store_version_t a, store_version_t b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.number > b.number) - (a.number < b.number);
}

typedef struct store_row {
	char *key;
	char *value;
	gsize len;
	store_version_t version;
	bool is_deleted;
} store_row_t;

typedef struct store store_t;

typedef struct store_ops {
	/*
	 * Appends all rows of `table` to `rows`; sets `version` to that of the listing.
	 * ROWS_COMPACTED: the era changed between two parts of the listing.
	 */
	row_result_t (*list)(
		store_t *this, const char *table, GArray *rows, store_version_t *version);
	/*
	 * Waits up to `wait_ms` for rows that changed after `version->number`, and sets `version`
	 * to that of the response.
	 */
	row_result_t (*wait)(store_t *this, const char *table, unsigned int wait_ms, GArray *rows,
		store_version_t *version);
	/*
	 * Writes a row if its current version is `expected`; 0: the row must not exist,
	 * STORE_ANY_VERSION: no condition.  Sets `version` to the new version.
	 */
	row_result_t (*put)(store_t *this, const char *table, const store_row_t *row,
		uint64_t expected, uint64_t *version);
	/* Removes a row only if it has `version`, so that a delayed call keeps newer rows. */
	row_result_t (*remove)(store_t *this, const char *table, const char *key, uint64_t version);
	void (*delete)(store_t *this);
} store_ops_t;

#define STORE_ANY_VERSION UINT64_MAX

struct store {
	const store_ops_t *ops;
};

typedef struct store_options {
	const char *address;
	unsigned int timeout_ms;
} store_options_t;

/* Returns an empty array of store_row_t; freeing it frees the rows' strings. */
GArray *store_rows_new(void);

#endif
