#ifndef CORE_PLACEMENT_INTERNAL_H
#define CORE_PLACEMENT_INTERNAL_H
/* placement_internal - the state that the parts of a placement share; not for embedders */
#include "core/placement.h"

#define MAX_POOLS 16
#define NOTE_BATCH 64			  /* by which lists grow */
#define REPEAT_SPAN (200 * USEC_PER_MSEC) /* between two tellings of an ask that waits */
#define FILL_FREE 0.95			  /* up to which an owner surely has a place */

typedef struct engine_view {
	placement_engine_t engine;
	unsigned int owner; /* member slot */
	unsigned int held;  /* running here */
} engine_view_t;

/* How full a member's engines of a pool are, as far as is known here. */
typedef struct pool_fill {
	id_t32 pool;
	scheduler_fill_t fill;
	scheduler_fill_t told; /* of our own, to this member */
} pool_fill_t;

typedef struct member_news {
	bool distrusted; /* did not answer an ask, and was not heard since */
	pool_fill_t fills[MAX_POOLS];
	unsigned int fill_count;
	note_t *notes;
	unsigned int note_first;
	unsigned int note_count;
	unsigned int note_room;
	uint64_t seq;
	instant_t send_at;
	instant_t sent_at;
} member_news_t;

struct placement {
	placement_options_t options;
	const allocator_t *allocator;
	members_t members;
	member_news_t *views; /* by slot */
	scheduler_t *scheduler;
	engine_view_t *engines;
	unsigned int engine_count;
	unsigned int engine_room;
	uint64_t owned_view;
	struct cds_list_head asked;   /* place_request_t: asked or waiting */
	struct cds_list_head running; /* place_request_t: given */
	placement_action_t *actions;
	unsigned int action_first;
	unsigned int action_count;
	unsigned int action_room;
	uint64_t next_ticket;
	uint64_t random;
	instant_t report_at;
	instant_t served_at; /* when to tell what was served */
	bool stopping;
	placement_stats_t stats;
};

/* placement_view.c: engines, their owners, what the members are told */
void placement_push(placement_t *this, const placement_action_t *action);
/* Adds a note to what the member in `slot` hears next. */
void placement_tell(placement_t *this, unsigned int slot, const note_t *note, instant_t now);
/* What is known of a member's engines of the pool; NULL when there are too many pools. */
pool_fill_t *placement_fill_of(member_news_t *view, id_t32 pool);
engine_view_t *placement_find_engine(const placement_t *this, id_t32 id);
/* Tells the engine's owner of a place in use, as often as may be. */
void placement_report(placement_t *this, place_request_t *request, instant_t now);
void placement_report_all(placement_t *this, instant_t now);
/* Works out the owners anew; what runs here is told to new ones. */
void placement_assign_owners(placement_t *this, instant_t now);

/* placement_ask.c: whom to ask */
bool placement_is_askable(const placement_t *this, unsigned int slot);
/* Taken places for each usable one; large where none is usable. */
double placement_fill_at(placement_t *this, unsigned int slot, id_t32 pool, instant_t now);
/* The member in `slot` owns a usable engine of the pool. */
bool placement_owns(const placement_t *this, unsigned int slot, id_t32 pool);
/* The engine where the shared parts were probably read, when it is not `engine`; 0: none. */
id_t32 placement_likely_source(
	const placement_t *this, const place_request_t *request, id_t32 engine);
bool placement_has_usable(const placement_t *this, id_t32 pool);
/* Asks an owner, or the next one. */
void placement_ask(placement_t *this, place_request_t *request, instant_t now);
note_t placement_ask_note(const place_request_t *request);
void placement_start(
	placement_t *this, place_request_t *request, id_t32 engine, unsigned int owner);
void placement_reject(placement_t *this, place_request_t *request, uint32_t retry_after_ms);
void placement_withdraw_at(placement_t *this, unsigned int slot, uint64_t ticket, instant_t now);
/* A given place is used no more. */
void placement_leave(placement_t *this, place_request_t *request);
void placement_unlink(place_request_t *request);

#endif
