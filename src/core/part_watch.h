#ifndef CORE_PART_WATCH_H
#define CORE_PART_WATCH_H
/*
 * part_watch - finds prompt parts and requests that end each endpoint which begins to answer them
 *
 * The parts of a request are the shared parts of its prompt and its content as a whole, the same if
 * the request is repeated.  When an endpoint ends, the embedder records it for all parts of the
 * requests whose answer had just begun there or not begun yet.  An answer that is completed, or
 * goes on for a while, shows that its parts are sound.  A part is blocked when
 * PART_WATCH_BLOCK_COUNT endpoints have ended under it, each after a request that was sent after
 * the end before, with no sound answer since.  If it always came together with another such part,
 * only requests with both are blocked, as either may be the cause.
 *
 * A whole request is in doubt when as many endpoints have ended under it, however close together,
 * or when its block has passed.  The routers send it in turn then, one at a time, until it is
 * blocked or its answer is sound: copies at all routers at once would end as many endpoints.
 *
 * Routers tell each other of ends and of sound answers, so that a part is blocked at all of them.
 * An end is told after a delay, in which common parts are shown to be sound; at once if the request
 * is in doubt.
 *
 * Parts are hashes; endpoints are ids of one start.  The table is bounded, does no I/O and
 * reads no clock.
 */
#include "core/placement.h"

#define PART_WATCH_RECORDS 1024 /* parts; the one with the fewest, then oldest ends is replaced */
#define PART_WATCH_ENDS 8	/* remembered for each part */
#define PART_WATCH_LOG 256	/* entries that wait for the slowest peer; then it gets the table */
#define PART_WATCH_BLOCK_COUNT 3
/* An answer that has gone on for this long is sound. */
#define PART_WATCH_SOUND_AFTER (500 * USEC_PER_MSEC)
#define PART_WATCH_BLOCK_TIME (300 * USEC_PER_SEC) /* doubles each time it is blocked again */
/*
 * A router's turn with a request in doubt.  It sends the request in the first part of it only, so
 * that the next router has been told of an end before its own turn begins.
 */
#define PART_WATCH_TURN (1 * USEC_PER_SEC)
#define PART_WATCH_TURN_OPEN (PART_WATCH_TURN / 2)
#define PART_SET_MAX 17 /* shared prompt parts that are told apart, and the whole */

/* The parts of one request. */
typedef struct part_set {
	uint64_t part[PART_SET_MAX];
	unsigned int count;
	uint64_t whole; /* that of them which stands for the request as a whole; 0: none */
} part_set_t;

typedef enum part_verdict {
	PART_ALLOWED,
	PART_SUSPECT, /* a request with it is not sent a second time */
	PART_BLOCKED,
} part_verdict_t;

typedef struct part_block {
	instant_t until;
	bool is_whole; /* the request as a whole is refused */
} part_block_t;

typedef enum part_event {
	PART_EVENT_END, /* an endpoint ended under the part */
	PART_EVENT_BLOCKED,
	PART_EVENT_SOUND, /* a sound answer cleared what was recorded */
} part_event_t;

typedef struct part_watch_options {
	/* May be NULL.  `ends`: endpoints that have ended under the part so far. */
	void (*on_event)(
		void *ctx, part_event_t event, uint64_t part, bool is_whole, unsigned int ends);
	/* This router's place in the order of the living ones for the part, from 0, and their
	 * number; NULL: there are no others. */
	unsigned int (*place)(void *ctx, uint64_t part, unsigned int *routers);
	void *ctx;
} part_watch_options_t;

typedef struct part_watch part_watch_t;

part_watch_t *part_watch_new(const part_watch_options_t *options);
void part_watch_delete(part_watch_t *this);

/*
 * The endpoint ended, and the answer to a request with the parts, sent there at `sent_at`, had just
 * begun or not begun.
 */
void part_watch_record_end(part_watch_t *this, const part_set_t *parts, id_t32 endpoint,
	instant_t sent_at, instant_t now);
/* The endpoint has responded: if it was taken to have ended just before, it had not. */
void part_watch_record_response(part_watch_t *this, id_t32 endpoint, instant_t now);
/* An answer to a request with the parts was sound. */
void part_watch_record_sound(part_watch_t *this, const part_set_t *parts, instant_t now);
/* A request with the parts is about to be sent: while it is in doubt, no other is. */
void part_watch_record_sent(part_watch_t *this, const part_set_t *parts, instant_t now);
/* Whether a request with these parts may be sent; sets `block` if it is blocked. */
part_verdict_t part_watch_check(
	const part_watch_t *this, const part_set_t *parts, instant_t now, part_block_t *block);
/* Number of blocked prompt parts, or of requests that are blocked as a whole. */
unsigned int part_watch_blocked_count(const part_watch_t *this, bool whole, instant_t now);

/* Does the work that is due; to be called every 100 ms or more often. */
void part_watch_tick(part_watch_t *this, instant_t now);
/* Handles ENTRY_PART_END and ENTRY_PART_SOUND. */
void part_watch_handle_entry(part_watch_t *this, const message_entry_t *entry, instant_t now);
/* The peer in `slot` has restarted or was out of reach: it gets all that is recorded. */
void part_watch_reset_peer(part_watch_t *this, unsigned int slot);
/* Takes the next entry for the peer in `slot`; false when there is none. */
bool part_watch_next_entry(
	part_watch_t *this, unsigned int slot, message_entry_t *entry, instant_t now);
bool part_watch_is_due(const part_watch_t *this, unsigned int slot);

#endif
