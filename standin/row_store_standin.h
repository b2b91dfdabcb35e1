#ifndef STANDIN_ROW_STORE_STANDIN_H
#define STANDIN_ROW_STORE_STANDIN_H
/*
 * row_store_standin - simulates the platform's metadata store
 *
 * Serves reads (/rows-get), long polls for changed rows (/rows-feed) and conditional
 * writes (/rows-tx) with the paths and field names of the platform's protocol.  All
 * functions may be called from any thread, so a test can change the fault at any time.
 */
#include <stdbool.h>
#include <stdint.h>

#include "standin/server.h"

typedef struct row_store_standin row_store_standin_t;

typedef enum store_fault {
	STORE_FAULT_NONE,	 /* no fault */
	STORE_FAULT_UNAVAILABLE, /* responds 503 and executes nothing */
	STORE_FAULT_HANG,	 /* sends no response while the fault lasts */
	STORE_FAULT_LOST_REPLY,	 /* executes a write, then closes the connection without a response
				  */
} store_fault_t;

/* Listens on `address`; NULL if it can't. */
row_store_standin_t *row_store_standin_new(const char *address);
void row_store_standin_delete(row_store_standin_t *this);
const char *row_store_standin_address(const row_store_standin_t *this);
/* A second address of the same store, which row_store_standin_set_refusing() affects alone. */
const char *row_store_standin_second_address(const row_store_standin_t *this);
/* Whether requests to the second address get 503. */
void row_store_standin_set_refusing(row_store_standin_t *this, bool refusing);
/*
 * Whether reads of all tables but this one get 503 at the second address; NULL: none do.  To be
 * called while nobody reads there.
 */
void row_store_standin_show_only(row_store_standin_t *this, const char *table);

/* Inserts or replaces a row; `value` is plain text, stored as base64. */
void row_store_standin_put(
	row_store_standin_t *this, const char *table, const char *key, const char *value);
/* Deletes a row. */
void row_store_standin_delete_row(row_store_standin_t *this, const char *table, const char *key);
/* Returns the row's decoded value, which the caller frees; NULL if there is no such row. */
char *row_store_standin_get(row_store_standin_t *this, const char *table, const char *key);
void row_store_standin_set_fault(row_store_standin_t *this, store_fault_t fault);
/* Discards the history: a feed that starts at an earlier version gets 410. */
void row_store_standin_compact(row_store_standin_t *this);
/* Version of the newest write. */
uint64_t row_store_standin_version(row_store_standin_t *this);
/*
 * Goes back to the rows as of `version`, as after a restore from a backup: what was written since
 * is lost, its versions are given out again, a feed from a lost version gets 410, and the era
 * rises.  Connections that wait for rows are closed.
 */
void row_store_standin_restore(row_store_standin_t *this, uint64_t version);
/* Number of reads that wait for a change of the table now. */
unsigned int row_store_standin_follower_count(row_store_standin_t *this, const char *table);
/* Number of HTTP requests received so far. */
unsigned int row_store_standin_request_count(row_store_standin_t *this);

#endif
