#ifndef GATEWAY_CALLER_GROUP_H
#define GATEWAY_CALLER_GROUP_H
/*
 * caller_group - the callers of one listening address, in the order in which they time out
 *
 * A caller that the gateway waits for is in the list of what it waits for.  All in one list
 * have the same timeout and join it at its end, so the first one is always the next to time
 * out: no operation looks at more callers than it acts on.
 */
#include <urcu/list.h>
#include <uv.h>

#include "core/buffer_pool.h"
#include "core/request_room.h"
#include "core/types.h"
#include "gateway/catalog.h"

typedef struct caller caller_t;
typedef struct caller_ops caller_ops_t;
typedef struct caller_group caller_group_t;
typedef struct caller_request caller_request_t;

typedef enum caller_wait_kind {
	CALLER_WAIT_IDLE,  /* for a request to begin */
	CALLER_WAIT_HEAD,  /* for the rest of a request's head */
	CALLER_WAIT_BODY,  /* for more of a request's body */
	CALLER_WAIT_ROOM,  /* for room for more of a request; nothing is read meanwhile */
	CALLER_WAIT_CLOSE, /* for the caller to close its side */
	CALLER_WAIT_KINDS,
	CALLER_WAIT_NONE = CALLER_WAIT_KINDS, /* a request awaits its response */
} caller_wait_kind_t;

/* Embedded in each caller. */
typedef struct caller_wait {
	struct cds_list_head link; /* unused in CALLER_WAIT_NONE */
	caller_wait_kind_t kind;
	instant_t since;
} caller_wait_t;

/* Embedded in each caller: how much of a body came in the time that is looked at. */
typedef struct caller_pace {
	struct cds_list_head link; /* unless `check_at` is 0 */
	instant_t check_at;
	size_t bytes;
} caller_pace_t;

struct caller_group {
	uv_loop_t *loop;
	const caller_ops_t *ops;
	void *ctx;
	/* Returns the current limits; called for each check, as they may change. */
	const catalog_limits_t *(*limits)(void *ctx);
	unsigned int max_callers;
	struct cds_list_head callers;
	struct cds_list_head waits[CALLER_WAIT_KINDS]; /* caller_wait_t, by `since` */
	unsigned int allocated; /* includes closed callers whose memory is not freed yet */
	unsigned int connected;
	uint64_t examined;    /* callers looked at to make room for others */
	request_room_t *room; /* for requests; NULL: not bounded */
	/* The workspace that a request's head names, 0: none; NULL: all are one. */
	uint32_t (*workspace_of)(void *ctx, const caller_request_t *request);
	uint64_t room_wait;	    /* longest wait for room, microseconds */
	unsigned int body_pace;	    /* least bytes a second of a body; 0: any */
	struct cds_list_head paces; /* caller_pace_t, by `check_at` */
	instant_t log_from;	    /* when an ended request is logged again */
	unsigned int unlogged;	    /* ended requests since the last log line */
	uint64_t refused;	    /* requests for which there was no room */
	uint64_t stalled;	    /* callers closed for others, as their request stood still */
	uint64_t too_slow;	    /* bodies below the least pace */
	buffer_pool_t *buffers;	    /* for what is still to be written; NULL: not bounded */
	buffer_group_t unwritten;   /* of all callers */
	uint64_t reclaimed;	    /* callers closed to keep the process within its memory */
	bool draining;		    /* responses carry "Connection: close" */
	instant_t close_idle_from;  /* while draining, idle callers are closed from this time on */
	/* Called after a closed caller's memory was freed. */
	void (*on_closed)(caller_group_t *group);
};

/* Initializes the lists; the caller sets the other fields. */
void caller_group_init(caller_group_t *this);
/* Starts a new wait, which replaces the caller's present one. */
void caller_group_set_wait(
	caller_group_t *this, caller_wait_t *wait, caller_wait_kind_t kind, instant_t now);
/* Returns the wait of a caller whose time is up, or NULL; it stays first until it is changed. */
caller_wait_t *caller_group_next_expired(caller_group_t *this, instant_t now);
/*
 * Returns the wait of the caller to close to make room for another one: one that only has to
 * close its side, else the one that is idle longest; NULL if all callers have requests.
 */
caller_wait_t *caller_group_least_needed(caller_group_t *this);
/*
 * Returns the wait of the caller to end for another one when all have requests: one whose request
 * has made no progress lately, NULL if there is none.
 */
caller_wait_t *caller_group_least_active(caller_group_t *this, instant_t now);
/* Counts bytes of a body for its pace, which is looked at from the first of them on. */
void caller_group_count_body(
	caller_group_t *this, caller_pace_t *pace, size_t bytes, instant_t now);
void caller_pace_stop(caller_pace_t *pace);
/* Returns a pace that is below the least one, or NULL; it is stopped. */
caller_pace_t *caller_group_next_slow(caller_group_t *this, instant_t now);
/* When true, each response closes its connection, so that new callers find room. */
bool caller_group_is_crowded(const caller_group_t *this);

#endif
