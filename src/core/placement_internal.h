#ifndef CORE_PLACEMENT_INTERNAL_H
#define CORE_PLACEMENT_INTERNAL_H
/* placement_internal - the state that the parts of a placement share; not for embedders */
#include "core/placement.h"

#define MAX_POOLS 16
#define LIST_GROWTH 64			      /* by which lists grow */
#define RESEND_INTERVAL (200 * USEC_PER_MSEC) /* between two tellings of an ask that waits */
#define UTILIZATION_FREE 0.95		      /* up to which an owner surely has a place */

typedef struct engine_state {
	placement_engine_t engine;
	unsigned int owner;	   /* member slot */
	unsigned int running_here; /* running here */
} engine_state_t;

/* How full a member's engines of a pool are, as far as is known here. */
typedef struct pool_usage {
	id_t32 pool;
	slot_usage_t usage;
	slot_usage_t reported; /* of our own, to this member */
} pool_usage_t;

typedef struct peer_state {
	bool unresponsive; /* did not answer an ask, and was not heard since */
	pool_usage_t usages[MAX_POOLS];
	unsigned int usage_count;
	note_t *notes;
	unsigned int entry_first;
	unsigned int entry_count;
	unsigned int entry_capacity;
	uint64_t seq;
	instant_t send_at;
	instant_t sent_at;
} peer_state_t;

struct placement {
	placement_options_t options;
	const allocator_t *allocator;
	members_t members;
	peer_state_t *peers; /* by slot */
	scheduler_t *scheduler;
	engine_state_t *engines;
	unsigned int engine_count;
	unsigned int engine_capacity;
	uint64_t owned_view;
	struct cds_list_head pending; /* place_request_t: asked or waiting */
	struct cds_list_head running; /* place_request_t: given */
	placement_action_t *actions;
	unsigned int action_first;
	unsigned int action_count;
	unsigned int action_capacity;
	uint64_t next_ticket;
	uint64_t random;
	instant_t next_report_at;
	instant_t next_served_report_at; /* when to tell what was served */
	bool stopping;
	placement_stats_t stats;
};

/* placement_view.c: engines, their owners, what the members are told */
void placement_push_action(placement_t *this, const placement_action_t *action);
/* Adds a note to what the member in `slot` hears next. */
void placement_queue_entry(placement_t *this, unsigned int slot, const note_t *note, instant_t now);
/* What is known of a member's engines of the pool; NULL when there are too many pools. */
pool_usage_t *placement_pool_usage(peer_state_t *peer, id_t32 pool);
engine_state_t *placement_find_engine(const placement_t *this, id_t32 id);
/* Tells the engine's owner of a place in use, as often as may be. */
void placement_report_slot(placement_t *this, place_request_t *request, instant_t now);
void placement_report_all_slots(placement_t *this, instant_t now);
/* Works out the owners anew; what runs here is told to new ones. */
void placement_assign_owners(placement_t *this, instant_t now);

/* placement_ask.c: whom to ask */
bool placement_accepts_requests(const placement_t *this, unsigned int slot);
/* Taken places for each usable one; large where none is usable. */
double placement_utilization(placement_t *this, unsigned int slot, id_t32 pool, instant_t now);
/* The member in `slot` owns a usable engine of the pool. */
bool placement_owns(const placement_t *this, unsigned int slot, id_t32 pool);
/* The engine where the shared parts were probably read, when it is not `engine`; 0: none. */
id_t32 placement_likely_source(
	const placement_t *this, const place_request_t *request, id_t32 engine);
bool placement_has_usable_engine(const placement_t *this, id_t32 pool);
/* Asks an owner, or the next one. */
void placement_send_request(placement_t *this, place_request_t *request, instant_t now);
note_t placement_request_entry(const place_request_t *request);
void placement_start(
	placement_t *this, place_request_t *request, id_t32 engine, unsigned int owner);
void placement_reject(placement_t *this, place_request_t *request, uint32_t retry_after_ms);
void placement_withdraw(placement_t *this, unsigned int slot, uint64_t ticket, instant_t now);
/* A given place is used no more. */
void placement_release_slot(placement_t *this, place_request_t *request);
void placement_unlink(place_request_t *request);

#endif
