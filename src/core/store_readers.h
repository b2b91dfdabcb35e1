#ifndef CORE_STORE_READERS_H
#define CORE_STORE_READERS_H
/*
 * store_readers - which routers follow the store's tables, and which learn of changes from them
 *
 * If all routers followed the store, each change would cost a call for every router, and as many
 * messages between routers as there are pairs of them.  So a few routers of each failure domain, by
 * rendezvous hashing, are its readers.  They tell the other routers of the domain that they follow
 * the store, and at once of each new version of a table.  A router that has not heard this from any
 * reader for STORE_STATEMENT_LIFE, or hears that its readers have lost the store, reads the store
 * itself.  Routers of earlier builds always read it, and tell nothing.
 *
 * Does no I/O and reads no clock.  Parameters called `slot` are member slots; slot 0 is this
 * router.
 */
#include "core/placement.h"

#define STORE_READERS_PER_DOMAIN 3
/* Between two statements of a reader, unless its state changes. */
#define STORE_STATEMENT_INTERVAL (500 * USEC_PER_MSEC)
#define STORE_STATEMENT_LIFE (1500 * USEC_PER_MSEC)

typedef enum store_state {
	STORE_UNREAD, /* this router has not read all tables yet */
	STORE_FOLLOWED,
	STORE_LOST, /* a table can't be read */
} store_state_t;

typedef struct store_readers store_readers_t;

store_readers_t *store_readers_new(void);
void store_readers_delete(store_readers_t *this);

/* Chooses the readers among the living routers; has to be called after each change of the view. */
void store_readers_choose(store_readers_t *this, const members_t *members);
/* Sets what this router sees of the store. */
void store_readers_set_state(store_readers_t *this, store_state_t state);
/* Whether this router must follow the store itself. */
bool store_readers_must_read(const store_readers_t *this, instant_t now);
/* Whether the readers of this router's domain that it hears have all lost the store. */
bool store_readers_lost_store(const store_readers_t *this, instant_t now);
/* Whether this router tells the member at once of each new version of a table. */
bool store_readers_tells_versions(const store_readers_t *this, unsigned int slot);

/* Whether a statement for the member is due. */
bool store_readers_is_due(const store_readers_t *this, unsigned int slot, instant_t now);
/* Takes the statement for the member; false when none is due. */
bool store_readers_next_entry(
	store_readers_t *this, unsigned int slot, message_entry_t *entry, instant_t now);
/* Handles an ENTRY_STORE_STATE of the member. */
void store_readers_handle_entry(
	store_readers_t *this, unsigned int slot, const message_entry_t *entry, instant_t now);
/* The member has restarted: what it said does not hold any more. */
void store_readers_reset_peer(store_readers_t *this, unsigned int slot);

#endif
