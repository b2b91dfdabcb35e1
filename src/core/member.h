#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H
/*
 * member - which routers are in the fleet, as one router sees it
 *
 * A peer is alive from its first message until it has been silent for
 * MEMBER_DEAD_AFTER, or the platform lists it as gone.  A message older than
 * the newest seen of the same router is dropped, so a delayed one cannot take
 * the view back.  A wrong view costs efficiency, never safety.
 */
#include "core/allocator.h"
#include "core/types.h"

#define MEMBER_MAX 512
#define MEMBER_SUSPECT_AFTER (1200 * USEC_PER_MSEC)
#define MEMBER_BROKEN_DEAD_AFTER (400 * USEC_PER_MSEC) /* once its connection broke */
#define MEMBER_DEAD_AFTER (2500 * USEC_PER_MSEC)

typedef enum member_state {
	MEMBER_UNHEARD,
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* silent for a while: its slots are used in a small fixed share */
	MEMBER_DEAD,
} member_state_t;

typedef struct member {
	id_t32 id;
	member_state_t state;
	uint64_t incarnation;
	uint64_t seq; /* newest message seen */
	instant_t suspect_at;
	instant_t dead_at;
	bool stopping; /* finishes its work and owns nothing */
	bool listed_gone;
} member_t;

typedef enum hear_result {
	HEAR_NEW,	/* in order */
	HEAR_RESTARTED, /* the first of a new incarnation */
	HEAR_OLD,	/* to be dropped */
	HEAR_STRANGER,	/* no such member */
} hear_result_t;

typedef struct members {
	const allocator_t *allocator;
	member_t *list; /* slot 0 is this router */
	unsigned int count;
	uint64_t view;	    /* grows with each change of who is alive */
	unsigned int alive; /* this router included */
	unsigned int listed_gone;
} members_t;

void members_init(members_t *this, const allocator_t *allocator, id_t32 self);
void members_clear(members_t *this);
/* Adds a peer; returns its slot. */
unsigned int members_add(members_t *this, id_t32 id);
/* The slot of `id`, or -1. */
int members_find(const members_t *this, id_t32 id);
hear_result_t members_hear(
	members_t *this, unsigned int slot, uint64_t incarnation, uint64_t seq, instant_t now);
/* The connection to a peer broke: it is suspect, and dead soon unless heard again. */
void members_link_broken(members_t *this, unsigned int slot, instant_t now);
void members_set_stopping(members_t *this, unsigned int slot, bool stopping);
void members_set_listed_gone(members_t *this, unsigned int slot, bool gone);
/* Moves silent peers on; true when the view changed. */
bool members_tick(members_t *this, instant_t now);
bool member_is_alive(const member_t *member);
unsigned int members_alive(const members_t *this);
/* Peers that the platform does not list as gone, this router included. */
unsigned int members_expected(const members_t *this);
/* The slot of the router that owns `replica`, by rendezvous hashing over the view. */
unsigned int members_owner(const members_t *this, id_t32 replica);

#endif
