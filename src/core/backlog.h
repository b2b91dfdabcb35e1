#ifndef CORE_BACKLOG_H
#define CORE_BACKLOG_H
/*
 * backlog - the requests of one workspace that wait at this router for slots of one pool
 *
 * Bounds them, so that most of what the owners would refuse is refused here at once: a refusal
 * by an owner costs messages and comes only when the request can no longer be in time.  The
 * bound grows with grants and shrinks with refusals until the owners refuse about a fifth of
 * what they are asked for, but not below what they grant within BACKLOG_MIN_TIME.
 */
#include <urcu/list.h>

#include "core/grant_rate.h"

/* While none waits longer, the owners' replies may just be on their way. */
#define BACKLOG_MIN_WAIT (100 * USEC_PER_MSEC)
#define BACKLOG_MIN_TIME (300 * USEC_PER_MSEC)
#define BACKLOG_MIN_BOUND 64
#define BACKLOG_MAX_BOUND 4096

typedef struct backlog {
	struct cds_list_head link; /* in the embedder's list */
	id_t32 pool;
	id_t32 workspace;
	struct cds_list_head entries; /* backlog_entry_t, by `since` */
	unsigned int waiting;
	double bound; /* on `waiting` */
	grant_rate_t grants;
} backlog_t;

/* Embedded in each request; zeroed before its first use. */
typedef struct backlog_entry {
	struct cds_list_head link;
	backlog_t *backlog; /* NULL: the request does not wait */
	instant_t since;
} backlog_entry_t;

void backlog_init(backlog_t *this, id_t32 pool, id_t32 workspace);
/* Returns whether one more request may wait. */
bool backlog_admits(const backlog_t *this, instant_t now);
/* Adds a request that waits since `now`; does nothing if it is added already. */
void backlog_add(backlog_t *this, backlog_entry_t *entry, instant_t now);
/* Removes a request that no longer waits; does nothing if it is in no backlog. */
void backlog_remove(backlog_entry_t *entry);
/* Record an owner's decision on a request, before the request is removed. */
void backlog_record_grant(backlog_t *this, instant_t now);
void backlog_record_refusal(backlog_t *this);

#endif
