#ifndef CORE_MESSAGE_H
#define CORE_MESSAGE_H
/*
 * message - the decoded message that one router's node sends to another's
 *
 * The messages of a placement are not of this type: see message_header_t and
 * message_entry_t in placement.h.
 *
 * Counts are absolute ("I hold 3"), not increments ("one more"), and each peer
 * gets a full message once a second.  The effect of a lost or duplicated
 * message therefore lasts no longer than that.  Grants are the exception: they
 * are increments, and the owner keeps each one until the receiver acknowledges
 * its number.  Each section holds at most MESSAGE_MAX_ENTRIES entries; the
 * rest goes into the next message.  Costs are in cost units (node.h).
 */
#include "core/types.h"

#define MESSAGE_VERSION 1
#define MESSAGE_MAX_ENTRIES 128

typedef enum message_flag {
	MESSAGE_STOPPING = 1 << 0, /* the sender no longer owns any replica */
	/* `demands`, `holds` and `pools` are complete: an absent entry means a count of 0. */
	MESSAGE_FULL = 1 << 2,
	/* The sender restarted and requests the counters of its earlier incarnations. */
	MESSAGE_RESTARTED = 1 << 1,
	/* The sender counts the receiver as dead: it gets none of the receiver's messages. */
	MESSAGE_UNHEARD = 1 << 3,
} message_flag_t;

typedef enum work_class {
	WORK_SHORT,
	WORK_MEDIUM,
	WORK_LONG, /* may hold only the pool's long_share of the slots */
	WORK_CLASSES,
} work_class_t;

/* Demand: how many slots of the receiver's replicas the sender wants for a workspace. */
typedef struct demand_entry {
	id_t32 pool;
	id_t32 workspace;
	uint32_t waiting[WORK_CLASSES]; /* wanted slots by class of work */
	uint32_t backlogged; /* boolean: the sender has requests waiting, for any owner */
} demand_entry_t;

/* Slots of one of the receiver's replicas that the sender holds. */
typedef struct hold_entry {
	id_t32 replica;
	uint32_t held;
	uint32_t idle;	    /* part of `held` that is not in use */
	uint32_t held_long; /* part of `held` that runs long work */
	uint32_t pace;	    /* microseconds per cost unit, observed by the sender; 0: unknown */
} hold_entry_t;

/* Slots of one of the sender's replicas that the receiver may use from now on. */
typedef struct grant_entry {
	id_t32 replica;
	id_t32 workspace; /* 0: an open grant, usable for any workspace */
	uint32_t work_class;
	uint32_t count;
} grant_entry_t;

/* Total cost served for a workspace by one router; in `served`, by the sender since its start. */
typedef struct served_entry {
	id_t32 pool;
	id_t32 workspace;
	uint64_t cost;
} served_entry_t;

typedef struct pool_entry {
	id_t32 pool;
	uint32_t waiting;   /* requests that wait at the sender, for any owner */
	uint32_t contended; /* boolean: work waits for the sender's slots, so return idle ones */
} pool_entry_t;

/* A list of entries in a message. */
#define MESSAGE_SECTION(type, name)                                                                \
	struct {                                                                                   \
		type entry[MESSAGE_MAX_ENTRIES];                                                   \
		unsigned int count;                                                                \
	} name

typedef struct message {
	id_t32 from;
	uint64_t incarnation;
	uint64_t seq;
	uint64_t grant_ack;	  /* number of the newest grant received from the receiver */
	uint64_t ack_incarnation; /* incarnation of the receiver that `grant_ack` refers to */
	uint64_t grant_seq;	  /* number of the newest grant sent to the receiver */
	uint64_t config_version;  /* version of the fleet configuration that the sender uses */
	uint32_t flags;
	MESSAGE_SECTION(demand_entry_t, demands);
	MESSAGE_SECTION(hold_entry_t, holds);
	MESSAGE_SECTION(grant_entry_t, grants);
	MESSAGE_SECTION(served_entry_t, served);
	MESSAGE_SECTION(
		served_entry_t, prior_served); /* served by the receiver's earlier incarnations */
	MESSAGE_SECTION(pool_entry_t, pools);
	MESSAGE_SECTION(id_t32, leaving); /* replicas that must get no new work */
} message_t;

#endif
