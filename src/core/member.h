#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H
/*
 * member - which routers are in the fleet, as one router sees it
 *
 * A peer is alive from its first message until it has been silent for
 * MEMBER_DEAD_AFTER, or for MEMBER_DISCONNECTED_DEAD_AFTER once its connection
 * was lost.  A peer that the platform lists as gone is no longer expected, but
 * stays alive as long as it sends messages.  A message older than the newest one
 * from the same router is dropped, so a delayed message cannot revert the view.
 * A wrong view costs efficiency, never safety.
 *
 * A member slot is the index of a member in members_t.list.  The parameters called
 * `slot` are member slots.  The node_*.c files call it a member index, since their
 * slots are those of replicas.
 */
#include "core/allocator.h"
#include "core/types.h"

#define MEMBER_MAX 512
#define MEMBER_SUSPECT_AFTER (1200 * USEC_PER_MSEC)
#define MEMBER_DISCONNECTED_DEAD_AFTER (400 * USEC_PER_MSEC) /* after the connection is lost */
#define MEMBER_DEAD_AFTER (2500 * USEC_PER_MSEC)

typedef enum member_state {
	MEMBER_NOT_SEEN, /* no message received yet */
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* silent for a while: others use a small fixed share of its slots */
	MEMBER_DEAD,
} member_state_t;

typedef struct member {
	id_t32 id;
	member_state_t state;
	uint64_t incarnation;
	uint64_t seq; /* sequence number of the newest message */
	instant_t suspect_at;
	instant_t dead_at;
	bool stopping;	  /* finishes its running work and owns nothing */
	bool listed_gone; /* by the platform */
	id_t32 domain;	  /* its failure domain, 0: unknown */
} member_t;

typedef enum message_status {
	MESSAGE_STATUS_NEW,	     /* newer than all before */
	MESSAGE_STATUS_RESTARTED,    /* first message of a new incarnation */
	MESSAGE_STATUS_OUTDATED,     /* not newer than the newest before: drop it */
	MESSAGE_STATUS_UNKNOWN_PEER, /* the sender is not a member */
} message_status_t;

typedef struct members {
	const allocator_t *allocator;
	member_t *list; /* MEMBER_MAX slots; slot 0 is this router */
	unsigned int count;
	uint64_t view; /* version, incremented when a member comes alive, dies, stops or resumes */
	unsigned int alive;	  /* number of members alive, including this router */
	unsigned int listed_gone; /* number of members listed as gone */
} members_t;

void members_init(members_t *this, const allocator_t *allocator, id_t32 self);
void members_clear(members_t *this);
/* Adds a peer unless it is known; returns its member slot, or 0 when there is no room. */
unsigned int members_add(members_t *this, id_t32 id);
/* Returns the member slot of `id`, or -1 when it is unknown. */
int members_find(const members_t *this, id_t32 id);
/* Records a message from the member in `slot`, which is alive from then on unless it is old. */
message_status_t members_record_message(
	members_t *this, unsigned int slot, uint64_t incarnation, uint64_t seq, instant_t now);
/* Records a lost connection: the peer is suspect, and soon dead unless it sends a message. */
void members_connection_lost(members_t *this, unsigned int slot, instant_t now);
void members_set_stopping(members_t *this, unsigned int slot, bool stopping);
void members_set_listed_gone(members_t *this, unsigned int slot, bool gone);
/* Marks silent peers as suspect or dead; returns whether the view changed. */
bool members_tick(members_t *this, instant_t now);
/* Returns whether the member is alive or suspect. */
bool member_is_alive(const member_t *member);
unsigned int members_alive(const members_t *this);
/* Returns the number of members that the platform does not list as gone, including this router. */
unsigned int members_expected(const members_t *this);
void members_set_domain(members_t *this, unsigned int slot, id_t32 domain);
/* Number of living routers of this router's failure domain, this one included. */
unsigned int members_in_own_domain(const members_t *this);
/*
 * Returns the member slot of the router that is responsible for `key` among the living ones of
 * this router's failure domain, by rendezvous hashing; 0, this router, when there is no other.
 */
unsigned int members_keeper(const members_t *this, id_t32 key);
/* Whether the member in `slot` is a living router of this router's failure domain. */
bool members_is_neighbour(const members_t *this, unsigned int slot);
/*
 * Sets, in `chosen`, which routers are the first `per_domain` living ones of their failure domain,
 * in an order that `key` decides.  `chosen` has an element for each member.
 */
void members_choose(const members_t *this, id_t32 key, unsigned int per_domain, bool *chosen);
/* Returns the member slot of the router that owns `replica`, by rendezvous hashing over the view.
 */
unsigned int members_owner(const members_t *this, id_t32 replica);
/*
 * Returns this router's place, from 0, in an order of the living routers that `key` decides, and
 * sets `routers` to their number.
 */
unsigned int members_place(const members_t *this, id_t32 key, unsigned int *routers);

#endif
