#ifndef CORE_ORIGIN_KEEPER_H
#define CORE_ORIGIN_KEEPER_H
/*
 * origin_keeper - which router saves the streams of which, and when
 *
 * Each router reports the streams that it lists (stream_origins.h) to one router of its failure
 * domain, its keeper, which saves the reports of all in a few rows of the store.  So the number of
 * calls to the store grows with the failure domains, not with the routers.  The keeper confirms
 * what it has saved.  A router whose reports are not confirmed saves its streams itself: its keeper
 * may be cut off from the store, or of an earlier build.  The reports of a router that died
 * are kept for STREAM_ORIGINS_MEMORY.
 *
 * Does no I/O and reads no clock.  `slot` is a member slot; slot 0 is this router.
 */
#include "core/placement.h"
#include "core/stream_origins.h"

#define ORIGIN_REPORT_MAX 2048 /* streams that one router reports */
#define ORIGIN_REPORT_MAX_BYTES (ORIGIN_REPORT_MAX * STREAM_RECORD_BYTES)
#define ORIGIN_ROW_MAX_BYTES 49152
#define ORIGIN_ROWS_MAX 10 /* of one keeper */
/* Between two reports to the keeper, and between two saves. */
#define ORIGIN_REPORT_INTERVAL (250 * USEC_PER_MSEC)
#define ORIGIN_SAVE_INTERVAL (500 * USEC_PER_MSEC)
/* The same for a router that saves its own streams only: 60 saves a second from all routers. */
#define ORIGIN_SAVE_INTERVAL_PER_ROUTER (16 * USEC_PER_MSEC)
/* After the start, before the first save: a router that has just started does not know its keeper.
 */
#define ORIGIN_START_DELAY (1500 * USEC_PER_MSEC)
/* What has not changed is reported and saved again after this time. */
#define ORIGIN_RENEWAL (10 * USEC_PER_SEC)
/* A report that is not confirmed after this time counts as not saved. */
#define ORIGIN_CONFIRM_TIMEOUT (3 * USEC_PER_SEC)

typedef struct origin_keeper origin_keeper_t;

typedef struct origin_row {
	unsigned int index;
	const char *bytes; /* valid until the next call */
	size_t size;
} origin_row_t;

/* `incarnation` is this router's. */
origin_keeper_t *origin_keeper_new(uint64_t incarnation, instant_t now);
void origin_keeper_delete(origin_keeper_t *this);

/* Replaces the streams that this router lists. */
void origin_keeper_set_own(
	origin_keeper_t *this, const stream_origin_t *list, unsigned int count, instant_t now);
/* Sets the router that keeps this router's streams. */
void origin_keeper_set_keeper(origin_keeper_t *this, unsigned int slot, instant_t now);
/* Whether this router saves its own streams. */
bool origin_keeper_keeps_own(const origin_keeper_t *this, instant_t now);
/* Forgets the reports that are too old; has to be called now and then. */
void origin_keeper_tick(origin_keeper_t *this, instant_t now);

/* Whether an entry for the member is due. */
bool origin_keeper_is_due(const origin_keeper_t *this, unsigned int slot, instant_t now);
/*
 * Takes the next entry for the member; false when there is none.  Its bytes are valid until the
 * next call.
 */
bool origin_keeper_next_entry(
	origin_keeper_t *this, unsigned int slot, message_entry_t *entry, instant_t now);
/*
 * The member has restarted, or messages to it were lost: it gets its report and confirmations
 * again.
 */
void origin_keeper_reset_peer(origin_keeper_t *this, unsigned int slot);
/* Handles ENTRY_STREAMS and ENTRY_STREAMS_SAVED of the member's run `incarnation`. */
void origin_keeper_handle_entry(origin_keeper_t *this, unsigned int slot, uint64_t incarnation,
	const message_entry_t *entry, instant_t now);

/*
 * Begins a save if one is due and the one before has ended; `routers` is the number of those that
 * share the store's capacity.  Then origin_keeper_next_row() gives its rows.
 */
bool origin_keeper_begin_save(origin_keeper_t *this, unsigned int routers, instant_t now);
bool origin_keeper_next_row(origin_keeper_t *this, origin_row_t *row);
/* One row of the save was written; the save ends with the last one. */
void origin_keeper_row_saved(origin_keeper_t *this);

#endif
