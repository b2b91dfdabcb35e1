#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H
/*
 * placement - where a router's requests for model engines go, and who decides
 *
 * Each engine has an owner by rendezvous hashing over the members; the owner
 * runs the scheduler for it.  A request is asked for at the owner of an engine
 * that has probably read its prompt's shared parts, or where there is room.  An
 * owner that does not answer is passed over until it is heard again; with none
 * left, a router starts a bounded number on its own.
 *
 * No I/O, no clock.  Notes are what one router tells another; a lost note costs
 * at most a wait, and full reports every second put right what was lost.
 */
#include "core/member.h"
#include "core/scheduler.h"

typedef enum entry_kind {
	NOTE_ASK,
	NOTE_WAIT, /* the ask is heard and waits */
	NOTE_GRANT,
	NOTE_REFUSE,   /* with when to come back */
	NOTE_NOT_MINE, /* the receiver of the ask does not own engines of the pool */
	NOTE_FULL,     /* it has no room, and another seems to have */
	NOTE_WITHDRAW,
	NOTE_FIRST, /* the first token has come */
	NOTE_LOAD,  /* what the engine told of its load */
	NOTE_FAILED,
	NOTE_END,
	NOTE_HOLD,     /* a place in use, for an owner that may not know it */
	NOTE_REPORTED, /* all places in use were told by HOLD */
	NOTE_NEWS, /* the newest version that the sender knows of a table: not placement's matter */
	NOTE_NEWS_WANTED, /* likewise: rows of the table above a version */
	NOTE_NEWS_PART,	  /* likewise: a piece of a row */
	NOTE_SERVED, /* tokens that the sender's engines served a workspace since its last telling
		      */
	NOTE_FILL,   /* how full the sender's engines of a pool are */
	NOTE_KINDS,
} note_kind_t;

typedef struct message_entry {
	note_kind_t kind;
	uint64_t ticket;
	id_t32 engine;						     /* GRANT, HOLD */
	id_t32 source; /* GRANT: engine to copy shared parts from */ /* GRANT, HOLD */
	id_t32 pool;						     /* ASK, FILL, SERVED */
	id_t32 workspace;					     /* SERVED */
	int32_t tokens;						     /* SERVED */
	uint32_t value; /* retry_after_ms, answer tokens, rows still to come */
	slot_usage_t fill;
	ask_t ask; /* ASK; instants are the receiver's once decoded */
	held_place_t place;
	unsigned int table; /* NEWS, NEWS_WANTED, NEWS_PART */
	uint64_t version;   /* likewise */
	const char *key;    /* NEWS_PART; valid until the next note is read */
	const char *bytes;
	uint32_t size;	 /* of the piece */
	uint32_t offset; /* of the piece in the row */
	uint32_t whole;	 /* size of the row's value */
	bool is_deleted;
} note_t;

typedef enum placement_state {
	PLACE_NONE,
	PLACE_ASKED,   /* no word yet */
	PLACE_WAITING, /* the owner has it */
	PLACE_GIVEN,
} place_state_t;

/* A request, embedded in the embedder's own; the first group is set by it. */
typedef struct placement_request {
	id_t32 pool;
	id_t32 workspace;
	id_t32 avoid;
	uint32_t subject; /* hash over what is asked for, the same when it is asked again */
	engine_work_t work;
	instant_t first_by;
	instant_t deadline;
	bool is_late;

	struct cds_list_head link;
	place_state_t state;
	uint64_t ticket;
	unsigned int owner; /* member slot */
	id_t32 engine;
	id_t32 source;	     /* engine to copy the prompt's shared parts from, 0: none */
	instant_t reply_by;  /* of the owner, while no word has come */
	instant_t resend_at; /* of the ask: its answer may be lost */
	unsigned int asks;
	bool is_read;
	bool on_own; /* started without an owner's word */
} place_request_t;

typedef struct placement_engine {
	id_t32 id;
	id_t32 pool;
	engine_limits_t limits;
	bool usable;
} placement_engine_t;

typedef enum placement_action_kind {
	PLACEMENT_START,
	PLACEMENT_REJECT,
} placement_action_kind_t;

typedef struct placement_action {
	placement_action_kind_t kind;
	place_request_t *request;
	id_t32 engine;
	uint32_t retry_after_ms;
	bool no_engine; /* the pool has none that takes work */
} placement_action_t;

/* What heads each message between routers. */
typedef struct message_header {
	id_t32 from;
	uint64_t incarnation;
	uint64_t seq;
	bool stopping;
} note_head_t;

typedef struct placement_options {
	id_t32 self;
	uint64_t incarnation;
	uint64_t seed;
	scheduler_options_t scheduler;
	const allocator_t *allocator; /* NULL: allocator_default */
} placement_options_t;

typedef struct placement_stats {
	uint64_t asks;
	uint64_t unanswered; /* asks that got no word in time */
	uint64_t on_own;
	uint64_t elsewhere; /* asks answered by NOT_MINE or FULL */
} placement_stats_t;

typedef struct placement placement_t;

placement_t *placement_new(const placement_options_t *options, instant_t now);
void placement_delete(placement_t *this);

/* Adds a router, or finds it; returns its slot. */
unsigned int placement_add_member(placement_t *this, id_t32 id);
/* The roster names the router, or names it no more. */
void placement_set_listed(placement_t *this, unsigned int slot, bool listed);
/* Its connection broke: it is dead soon unless heard again. */
void placement_link_broken(placement_t *this, unsigned int slot, instant_t now);
/* All engines; those that were known and are not named are gone. */
void placement_set_engines(
	placement_t *this, const placement_engine_t *engines, unsigned int count, instant_t now);
/* A planned stop: owns nothing from now on. */
void placement_stop(placement_t *this, instant_t now);

void placement_request(placement_t *this, place_request_t *request, instant_t now);
/* It is not wanted any more, wherever it stands. */
void placement_cancel(placement_t *this, place_request_t *request, instant_t now);
void placement_first_token(placement_t *this, place_request_t *request, instant_t now);
/* The engine told that `load` requests run or wait there. */
void placement_load_report(
	placement_t *this, place_request_t *request, unsigned int load, instant_t now);
/* The place came to nothing. */
void placement_fail(
	placement_t *this, place_request_t *request, place_end_t failure, instant_t now);
void placement_end(placement_t *this, place_request_t *request, uint32_t answer, instant_t now);

/* Takes the head of a message; the notes count only when it gives true. */
bool placement_hear(placement_t *this, const note_head_t *head, unsigned int *slot, instant_t now);
void placement_note(placement_t *this, unsigned int slot, const note_t *note, instant_t now);

/* Does what is due; returns when to call again at the latest. */
instant_t placement_tick(placement_t *this, instant_t now);
bool placement_next_action(placement_t *this, placement_action_t *action);
/* The next member that is owed a message; false when none is. */
bool placement_next_message(
	placement_t *this, unsigned int *slot, note_head_t *head, instant_t now);
/* A message to `slot` is due at once, for what its embedder adds to it. */
void placement_wake(placement_t *this, unsigned int slot, instant_t now);
/* The next note of that message; false at its end. */
bool placement_next_note(placement_t *this, unsigned int slot, note_t *note);

const members_t *placement_members(const placement_t *this);
const scheduler_t *placement_scheduler(const placement_t *this);
const placement_stats_t *placement_stats(const placement_t *this);

#endif
