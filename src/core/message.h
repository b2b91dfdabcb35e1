#ifndef CORE_MESSAGE_H
#define CORE_MESSAGE_H
/*
 * message - what one router tells another, as a typed struct
 *
 * Counts are absolute ("I hold 3"), never steps ("one more"), and a full message
 * goes to each peer once a second, so that a lost or repeated one does no harm
 * for longer.  A grant is
 * the exception; the owner keeps it until the receiver acknowledges its number.
 * Each section has a bound; what does not fit goes into the next message.
 * Costs are in cost units (node.h).
 */
#include "core/types.h"

#define MESSAGE_VERSION 1
#define MESSAGE_MAX_ENTRIES 128

typedef enum message_flag {
	MESSAGE_STOPPING = 1 << 0, /* the sender owns nothing any more */
	MESSAGE_FULL = 1 << 2, /* asks, holds and pools are complete: what is not there is none */
	MESSAGE_RESTARTED = 1 << 1, /* the sender asks for its former counters */
} message_flag_t;

typedef enum work_class {
	WORK_SHORT,
	WORK_MEDIUM,
	WORK_LONG, /* may hold only a part of the slots */
	WORK_CLASSES,
} work_class_t;

/* Requests of one workspace that wait at the sender for the receiver's slots. */
typedef struct ask_entry {
	id_t32 pool;
	id_t32 workspace;
	uint32_t waiting[WORK_CLASSES];
	uint32_t backlogged; /* it has some waiting, for whatever owner */
} ask_entry_t;

/* Slots of the receiver's replica that the sender has. */
typedef struct hold_entry {
	id_t32 replica;
	uint32_t held;
	uint32_t idle;	    /* of `held`, not in use */
	uint32_t held_long; /* of `held`, in use by long work */
	uint32_t pace;	    /* microseconds a cost unit that the sender sees */
} hold_entry_t;

typedef struct grant_entry {
	id_t32 replica;
	id_t32 workspace; /* 0: for whichever waits at the receiver */
	uint32_t work_class;
	uint32_t count;
} grant_entry_t;

/* Cost that the sender has served, over its life. */
typedef struct served_entry {
	id_t32 pool;
	id_t32 workspace;
	uint64_t cost;
} served_entry_t;

typedef struct pool_entry {
	id_t32 pool;
	uint32_t waiting;   /* requests that wait at the sender, for any owner */
	uint32_t contended; /* work waits for the sender's slots: give back idle ones */
} pool_entry_t;

#define MESSAGE_SECTION(type, name)                                                                \
	struct {                                                                                   \
		type entry[MESSAGE_MAX_ENTRIES];                                                   \
		unsigned int count;                                                                \
	} name

typedef struct message {
	id_t32 from;
	uint64_t incarnation;
	uint64_t seq;
	uint64_t grant_ack;	  /* newest grant number seen from the receiver */
	uint64_t ack_incarnation; /* whose grants are acknowledged */
	uint64_t grant_seq;	  /* number of the newest grant sent to the receiver */
	uint64_t text_version;
	uint32_t flags;
	MESSAGE_SECTION(ask_entry_t, asks);
	MESSAGE_SECTION(hold_entry_t, holds);
	MESSAGE_SECTION(grant_entry_t, grants);
	MESSAGE_SECTION(served_entry_t, served);
	MESSAGE_SECTION(served_entry_t, former); /* of the receiver's earlier incarnations */
	MESSAGE_SECTION(pool_entry_t, pools);
	MESSAGE_SECTION(id_t32, leaving); /* endpoints that must get no new work */
} message_t;

#endif
