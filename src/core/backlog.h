#ifndef CORE_BACKLOG_H
#define CORE_BACKLOG_H
/*
 * backlog - the requests of one workspace that wait at this router for slots of one pool
 *
 * Bounds them to what the owners grant within BACKLOG_MAX_WAIT, so that a workspace that sends
 * more is refused here at once: a refusal by an owner costs messages and comes only when the
 * request can no longer be in time.
 */
#include <urcu/list.h>

#include "core/grant_rate.h"

#define BACKLOG_MAX_WAIT (300 * USEC_PER_MSEC)
/* While none waits longer, the owners' replies may just be on their way. */
#define BACKLOG_MIN_WAIT (50 * USEC_PER_MSEC)
#define BACKLOG_MIN_WAITING 32

typedef struct backlog {
	struct cds_list_head link; /* in the embedder's list */
	id_t32 pool;
	id_t32 workspace;
	struct cds_list_head entries; /* backlog_entry_t, by `since` */
	unsigned int waiting;
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

#endif
