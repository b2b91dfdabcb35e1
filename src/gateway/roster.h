#ifndef GATEWAY_ROSTER_H
#define GATEWAY_ROSTER_H
/*
 * roster - how routers find one another: each keeps one row of its own in the store
 *
 * The row is written at the start and removed at a planned stop, by a thread of
 * its own; it holds no heartbeat.  Whether a router lives, its peers see.
 */
#include "gateway/adapter.h"

#define ROSTER_TABLE "routers"

typedef struct roster_entry {
	const char *name;
	const char *address; /* of the socket between routers */
	const char *public_key;
	uint64_t incarnation;
} roster_entry_t;

typedef struct roster roster_t;

typedef struct roster_options {
	const adapter_t *adapter;
	store_options_t store;
	roster_entry_t self;
} roster_options_t;

roster_t *roster_new(const roster_options_t *options);
/*
 * Looks at the own row as the store has it, NULL: it has none.  A row of an
 * earlier start, or one that was removed late by it, is written anew.
 */
void roster_check(roster_t *this, const store_row_t *row);
/* Removes the row, if the store answers at once. */
void roster_delete(roster_t *this);

/* Reads a row; the strings are the document's, which the caller deletes. False: no entry. */
bool roster_decode(
	const char *text, gsize len, const char *name, roster_entry_t *entry, jsondoc_t **doc);

#endif
