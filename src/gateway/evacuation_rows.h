#ifndef GATEWAY_EVACUATION_ROWS_H
#define GATEWAY_EVACUATION_ROWS_H
/*
 * evacuation_rows - the operators' evacuations of failure domains, from the store and from peers
 *
 * The rows are among those of the catalog's table.  They are kept in the row cache under the names
 * of their domains, so that peers tell each other; a row of that cache with an empty key stands for
 * a full listing in its era: a router that has it knows that there are no other evacuations.
 */
#include "core/evacuation.h"
#include "gateway/adapter.h"
#include "gateway/row_cache.h"

typedef struct evacuation_rows evacuation_rows_t;

/* A domain that was evacuated, or is so no more. */
typedef struct evacuation_event {
	const char *domain;
	bool evacuated;
	store_version_t version;
	const char *source; /* "store" or "peer" */
} evacuation_event_t;

typedef struct evacuation_rows_options {
	const adapter_t *adapter;
	row_cache_t *row_cache;
	evacuations_t *evacuations; /* receives the statements */
	/* Called with each change. */
	void (*on_change)(void *ctx, const evacuation_event_t *event);
	void *ctx;
} evacuation_rows_options_t;

evacuation_rows_t *evacuation_rows_new(const evacuation_rows_options_t *options);
void evacuation_rows_delete(evacuation_rows_t *this);

/* Handles a full listing of the catalog's table. */
void evacuation_rows_handle_table(
	evacuation_rows_t *this, const GArray *rows, store_version_t version);
/* Handles rows of the catalog's table that changed. */
void evacuation_rows_handle_changes(evacuation_rows_t *this, const GArray *rows);
/* Handles cached rows of a peer; if they are of a newer era, they are all that it has. */
void evacuation_rows_handle_peer(evacuation_rows_t *this, const GArray *rows);

#endif
