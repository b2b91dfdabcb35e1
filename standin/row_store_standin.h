#ifndef STANDIN_ROW_STORE_STANDIN_H
#define STANDIN_ROW_STORE_STANDIN_H
/*
 * row_store_standin - the platform's metadata store: rows, their feed, conditional writes
 *
 * Speaks the platform's own names.  The faults may be switched at any moment.
 */
#include <stdbool.h>
#include <stdint.h>

#include "standin/server.h"

typedef struct row_store_standin row_store_standin_t;

typedef enum store_fault {
	STORE_SERVES,
	STORE_UNAVAILABLE, /* 503: nothing was done */
	STORE_SILENT,	   /* no answer, for as long as the fault lasts */
	STORE_LOSES,	   /* writes are done and not answered */
} store_fault_t;

row_store_standin_t *row_store_standin_new(const char *address);
void row_store_standin_delete(row_store_standin_t *this);
const char *row_store_standin_address(const row_store_standin_t *this);

void row_store_standin_put(
	row_store_standin_t *this, const char *table, const char *key, const char *value);
void row_store_standin_drop(row_store_standin_t *this, const char *table, const char *key);
/* The row's value, to be freed; NULL when there is none. */
char *row_store_standin_get(row_store_standin_t *this, const char *table, const char *key);
void row_store_standin_set_fault(row_store_standin_t *this, store_fault_t fault);
/* Forgets its history: feeds from before get 410. */
void row_store_standin_compact(row_store_standin_t *this);
unsigned int row_store_standin_calls(row_store_standin_t *this);

#endif
