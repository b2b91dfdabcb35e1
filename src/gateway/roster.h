#ifndef GATEWAY_ROSTER_H
#define GATEWAY_ROSTER_H
/*
 * roster - publishes this router to the others: each router has one row in the store
 *
 * A separate thread writes the row at the start and removes it at a planned
 * stop.  The row contains no heartbeat: peers detect from a router's messages
 * whether it is alive.
 */
#include "gateway/adapter.h"

#define ROSTER_TABLE "routers"

typedef struct roster_entry {
	const char *name;
	const char *failure_domain; /* NULL: a router of an earlier build, which does not say */
	const char *address;	    /* of the peer socket */
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
 * Checks this router's row as the store has it; NULL: the store has none.  Writes
 * the row again if it is missing, malformed or of an earlier incarnation: an
 * earlier process of this router may have written or removed it late.
 */
void roster_check_own_row(roster_t *this, const store_row_t *row);
/* Stops and joins the thread, which tries once to remove the row. */
void roster_delete(roster_t *this);

/*
 * Decodes a row; false if it is malformed.  The entry's strings point into `doc`, which the
 * caller deletes in either case.
 */
bool roster_decode(
	const char *text, gsize len, const char *name, roster_entry_t *entry, jsondoc_t **doc);

#endif
