#ifndef CORE_REQUEST_ROOM_H
#define CORE_REQUEST_ROOM_H
/*
 * request_room - shares out the memory for the requests of all callers
 *
 * A part is for what every request needs: its head, the first ROOM_FREE_BYTES of its body, what is
 * pipelined behind it.  The rest is for long bodies: one that grows beyond its free bytes first
 * gets the room of its whole length, or of the longest body if it tells none.  So each body that
 * was let in can be read to its end, and those that wait for room hold no more than their free
 * bytes.
 *
 * A sender asks before it reads, and stops reading if there is no room.  Room goes to the workspace
 * that holds least, and among its senders to the one that waits longest; no workspace takes all.
 * While senders wait, those that are unfinished and make least progress for their bytes are ended.
 * The embedder lets a sender wait for a bounded time and refuses it then.  All storage is
 * intrusive; time is passed in; sizes are in bytes.
 */
#include <urcu/list.h>

#include "core/types.h"

#define ROOM_FREE_BYTES 32768
#define ROOM_SHARES 64 /* workspaces whose number has the same remainder share one share */

typedef enum room_wait {
	ROOM_WAIT_NONE,
	ROOM_WAIT_SMALL, /* for free bytes */
	ROOM_WAIT_LONG,	 /* for the room of a long body */
} room_wait_t;

typedef struct room_sender room_sender_t;

typedef struct room_ops {
	/* There is room: the sender may read, and asks again before it does. */
	void (*resume)(room_sender_t *sender);
	/* The sender is ended for others; it must free what it holds. */
	void (*end)(room_sender_t *sender);
} room_ops_t;

struct room_sender {
	struct cds_list_head link;	/* among those that hold something */
	struct cds_list_head wait_link; /* among those that wait */
	uint32_t workspace;		/* set before the first request for a long body's room */
	size_t small;			/* held of the part for all requests */
	size_t reserved;		/* of the part for long bodies; 0: none */
	size_t wanted;			/* while it waits for a long body's room */
	room_wait_t wait;
	instant_t wait_since;
	bool is_finished; /* the request is whole: it is not ended any more */
	instant_t began;
	/* Progress: bytes since `window_at`, and the pace of the window before it. */
	instant_t window_at;
	size_t window_bytes;
	uint64_t last_pace; /* bytes a second */
};

typedef struct request_room {
	const room_ops_t *ops;
	size_t small_limit;
	size_t small_held;
	size_t long_limit;
	size_t long_held;
	size_t small_by[ROOM_SHARES];
	size_t long_by[ROOM_SHARES];
	struct cds_list_head senders;
	struct cds_list_head small_waits; /* by `wait_since` */
	struct cds_list_head long_waits;
	instant_t granted_at; /* when room for a long body was granted last */
	size_t peak;	      /* most that was held of both */
	uint64_t waits;
	uint64_t ended;
} request_room_t;

/* `limit` is the memory for all requests. */
void request_room_init(request_room_t *this, const room_ops_t *ops, size_t limit);
void room_sender_init(room_sender_t *this);
/* A request begins or has ended; what the sender holds of it is told by the functions below. */
void request_room_begin(request_room_t *this, room_sender_t *sender, instant_t now);
/* Sets what the sender holds of the part for all requests. */
void request_room_hold(request_room_t *this, room_sender_t *sender, size_t small);
/* Counts bytes that the sender has sent. */
void room_sender_progress(room_sender_t *sender, size_t bytes, instant_t now);
/* Tells the sender's workspace, which is 0 before. */
void request_room_assign(request_room_t *this, room_sender_t *sender, uint32_t workspace);
/* Whether the sender may read on; if not, it waits until ops->resume. */
bool request_room_may_read(request_room_t *this, room_sender_t *sender, instant_t now);
/* Whether there is room to spare, for bytes behind an unanswered request. */
bool request_room_has_spare(const request_room_t *this);
/* Gets the room of a body with `wanted` bytes; if there is none, it waits until ops->resume. */
bool request_room_reserve(
	request_room_t *this, room_sender_t *sender, size_t wanted, instant_t now);
/* Gives back all but `used` bytes of the sender's room for a long body. */
void request_room_shrink(request_room_t *this, room_sender_t *sender, size_t used);
/*
 * True if the part for all requests is nearly used up and this workspace holds most of it, so that
 * its further requests are to be refused.
 */
bool request_room_is_hogged(const request_room_t *this, uint32_t workspace);
void request_room_stop_wait(request_room_t *this, room_sender_t *sender);
/* Gives back all and ends the wait. */
void request_room_leave(request_room_t *this, room_sender_t *sender);
/* Lets in who waits, and ends who stands in the way; to be called in each turn of the loop. */
void request_room_step(request_room_t *this, instant_t now);
/* Bytes a second that the sender has sent lately. */
uint64_t room_sender_pace(const room_sender_t *sender, instant_t now);

#endif
