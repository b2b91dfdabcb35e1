#ifndef CORE_PLACEMENT_INTERNAL_H
#define CORE_PLACEMENT_INTERNAL_H
/* placement_internal - state shared by placement.c and placement_*.c; `slot` is a member slot */
#include "core/link_watch.h"
#include "core/part_places.h"
#include "core/placement.h"

#define MAX_POOLS 16
#define BACKLOG_BUCKETS 256
#define TICKET_BUCKETS 1024
#define MAX_MEDIAN_ENGINES 512 /* of which the median is taken */
#define LIST_GROWTH 64	       /* elements added to a list that is full */
/* Interval at which a router repeats a slot request that waits at its owner. */
#define RESEND_INTERVAL (200 * USEC_PER_MSEC)
/* Up to this reported utilization, an owner is assumed to have a free slot. */
#define UTILIZATION_FREE 0.95

typedef struct engine_state {
	placement_engine_t engine;
	unsigned int owner;	   /* member slot */
	unsigned int running_here; /* requests of this router that run on the engine */
	/* As known here; its starts are those without a grant. */
	rate_limit_t rate_limit;
	/* Cold time as known here; the starts at its pace are those without a grant. */
	warm_up_t warm_up;
	instant_t heard_at;	/* when this router itself learnt of the cold time, for its owner */
	bool logged_cold;	/* as this router, its owner, has last logged */
	bool since_start;	/* it was there when this router started */
	instant_t rate_told_at; /* when the owner was last told of the limit; 0: not yet */
	instant_t paused_until; /* this router sends it nothing before */
	engine_speed_report_t speed; /* as its owner has told, so that all routers agree on it */
	instant_t speed_at;	     /* when it did, 0: not yet */
	uint64_t speed_serial;	     /* of our report of it to the others, 0: none */
	double weight;		     /* its share of the prompt parts, 1: that of a median engine */
} engine_state_t;

/* Slot usage of a member's engines of a pool. */
typedef struct pool_usage {
	id_t32 pool;
	slot_usage_t received;	 /* as last received, plus the requests sent to the member since */
	instant_t reading_until; /* according to `received` or a reply */
	slot_usage_t sent;	 /* of our own engines, as last sent to the member */
} pool_usage_t;

/* What this router knows of a member, and the entries of the next message to it. */
typedef struct peer_state {
	bool unresponsive;    /* did not reply to a slot request, and has sent no message since */
	uint64_t reply_delay; /* recent time from a slot request to its reply, microseconds */
	pool_usage_t usages[MAX_POOLS];
	unsigned int usage_count;
	message_entry_t *entries;
	unsigned int entry_first; /* first entry that is not sent yet */
	unsigned int entry_count;
	unsigned int entry_capacity;
	uint64_t seq;	   /* of the last message sent */
	instant_t send_at; /* when the next message is due */
	instant_t sent_at;
	link_watch_t link;	  /* whether our messages arrive */
	uint64_t receipt_seq;	  /* newest message of the peer that we have confirmed */
	instant_t receipt_at;	  /* when the next confirmation may be sent */
	unsigned int engine_told; /* engines whose state was told in this round of reports */
	uint64_t speed_serial;	  /* newest report of an engine's speed that the peer was sent */
} peer_state_t;

/* A prompt as the choice of its owner sees it; see prefill_plan.h. */
typedef struct steering {
	id_t32 pool;
	uint32_t tokens;	/* to be read */
	uint64_t fastest;	/* shortest prefill at an owner that accepts requests, 0: unknown */
	uint64_t max_event_gap; /* of the pool's streams, 0: any */
	bool avoids_pauses;	/* an owner with a free slot was avoided for its streams, ... */
	bool avoids_reading;	/* ... or for the prompts that it reads */
} steering_t;

struct placement {
	placement_options_t options;
	const allocator_t *allocator;
	members_t members;
	peer_state_t *peers; /* by member slot; `usages` of slot 0 lists the pools of all engines */
	scheduler_t *scheduler;
	engine_state_t *engines;
	unsigned int engine_count;
	unsigned int engine_capacity;
	uint64_t owned_view;	      /* members_t.view that the engines' owners are based on */
	struct cds_list_head pending; /* placement_request_t: sent to an owner, or queued there */
	struct cds_list_head tickets[TICKET_BUCKETS]; /* pending and running requests */
	instant_t next_pending_check;
	instant_t ticked_at;
	uint64_t own_delay; /* recent time for which this router has kept replies waiting */
	struct cds_list_head backlogs[BACKLOG_BUCKETS];
	struct cds_list_head running; /* placement_request_t: granted, or started without a grant */
	placement_action_t *actions;
	unsigned int action_first;
	unsigned int action_count;
	unsigned int action_capacity;
	uint64_t next_ticket;
	uint64_t random;
	part_places_t places;		 /* of the prompt parts of this router's requests */
	instant_t next_report_at;	 /* of all slots in use */
	instant_t next_served_report_at; /* of the tokens served */
	double pace_share;     /* of the pace of cold engines that this router uses as an owner */
	bool has_engines;      /* engines were set before */
	uint64_t speed_serial; /* of the newest report of a speed */
	bool speeds_differ;    /* engine_state_t.weight is not 1 everywhere */
	bool stopping;
	placement_stats_t stats;
};

/* placement_owners.c: engines, their owners, and the entries queued for members */
void placement_push_action(placement_t *this, const placement_action_t *action);
/* Queues an entry for the member in `slot`; its next message is due at `due` at the latest. */
void placement_queue_entry(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t due);
/* Finds or adds the usage of the member's engines of the pool; NULL with too many pools. */
pool_usage_t *placement_pool_usage(peer_state_t *peer, id_t32 pool);
/* Returns NULL when the engine is unknown. */
engine_state_t *placement_find_engine(const placement_t *this, id_t32 id);
/* Reports a slot in use to the engine's owner.  Repeated reports do no harm. */
void placement_report_slot(placement_t *this, placement_request_t *request, instant_t now);
/* Reports all slots in use, so that the owners can free those that are no longer in use. */
void placement_report_all_slots(placement_t *this, instant_t now);
/* Recomputes the owners of the engines; reports the slots in use to new owners. */
void placement_assign_owners(placement_t *this, instant_t now);

/* placement_rate.c: rate limits of engines */
/* Handles an ENTRY_RATE_LIMIT, of the engine's owner or for it. */
void placement_handle_rate_limit(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now);
/* Tells the other routers of the limits of the engines that this router owns. */
void placement_announce_rates(placement_t *this, instant_t now);
/* Gives the engine's new owner the limit; `was_owner`: this router was the owner. */
void placement_hand_over_rate(
	placement_t *this, engine_state_t *state, bool was_owner, instant_t now);
/* Limits the use of rates while this router may be on one side of a partition. */
void placement_update_rate_share(placement_t *this);
/* Counts a start without a grant, of which a router uses a part of its even share of the rate. */
void placement_count_rate(placement_t *this, engine_state_t *state, instant_t now);

/* placement_steer.c: owners by what they read, and how fast */
steering_t placement_steering(
	const placement_t *this, const placement_request_t *request, instant_t now);
/*
 * Returns `load`, the owner's, or more if it should be asked only when no other owner has a free
 * slot: it reads for much longer than the prompt takes, or its streams would pause too long.
 */
double placement_steered_load(const placement_t *this, unsigned int slot, steering_t *steering,
	double load, instant_t now);
/* Returns whether the owner's engines read the prompt without too long pauses of their streams. */
bool placement_bears_prompt(
	const placement_t *this, unsigned int slot, const steering_t *steering, instant_t now);
/* Counts the choice of an owner if others were avoided; `lowest`: the least load of all. */
void placement_count_steered(placement_t *this, const steering_t *steering, double lowest);
/* Returns how long, in ms, the prompt would wait for others that our engines read; 0: not much. */
uint32_t placement_reading_wait_ms(
	const placement_t *this, const slot_request_t *request, instant_t now);

/* placement_warm_up.c: engines that are cold */
/* Handles an ENTRY_ENGINE_STATE, of the engine's owner or for it, as far as it states that. */
void placement_handle_warm_up(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now);
/* See placement_next_engine_state(). */
bool placement_next_warm_up(
	placement_t *this, unsigned int slot, message_entry_t *entry, instant_t now);
/* Begins a round of reports to the other routers. */
void placement_tick_warm_up(placement_t *this, instant_t now);
/* Takes up what a registration says, before it replaces `state->engine`. */
void placement_set_warm_up(placement_t *this, engine_state_t *state,
	const placement_engine_t *engine, bool is_known, instant_t now);
/* Keeps what the scheduler knows of an engine that this router owns no longer. */
void placement_keep_warm_up(placement_t *this, engine_state_t *state);
/* The engine has a new owner; `former`: the one before, MEMBER_MAX: none. */
void placement_hand_over_warm_up(
	placement_t *this, engine_state_t *state, unsigned int former, instant_t now);
void placement_update_pace_share(placement_t *this, instant_t now);
/* Returns whether a request may start at the engine without a grant, according to its pace. */
bool placement_pace_allows(const placement_t *this, const engine_state_t *state, instant_t now);
/* Counts a start without a grant. */
void placement_count_warm_up(placement_t *this, engine_state_t *state, instant_t now);
/* Whether a grant may have been read so late that it adds to later starts at a cold engine. */
bool placement_grant_is_too_old(
	const placement_t *this, unsigned int owner, const engine_state_t *state, instant_t now);

/* placement_speed.c: speeds of engines */
/* Handles an ENTRY_ENGINE_STATE, as far as it states a speed. */
void placement_handle_speed(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now);
/* See placement_next_engine_state(). */
bool placement_next_speed(
	placement_t *this, unsigned int slot, message_entry_t *entry, instant_t now);
/* Notes what this router's engines need; recomputes the medians and the engines' weights. */
void placement_update_speeds(placement_t *this, instant_t now);
/* Gives the engine's new owner its speed; `was_owner`: this router was the owner. */
void placement_take_over_speed(
	placement_t *this, engine_state_t *state, bool was_owner, instant_t now);

/* placement_request.c: slot requests and the choice of their owner */
bool placement_accepts_requests(const placement_t *this, unsigned int slot);
/* Returns the slots taken per usable slot; a large number where none is usable. */
double placement_utilization(placement_t *this, unsigned int slot, id_t32 pool, instant_t now);
/* What an engine must have for a request. */
typedef struct engine_need {
	id_t32 pool;
	id_t32 version;		     /* 0: any */
	const region_set_t *regions; /* NULL: any */
} engine_need_t;

/* Returns whether the member in `slot` owns a usable engine that meets the need. */
bool placement_owns(const placement_t *this, unsigned int slot, const engine_need_t *need);
/*
 * Returns the engine that has probably cached the shared parts of the prompt; 0
 * when there is none or it is `engine` itself.
 */
id_t32 placement_likely_source(
	const placement_t *this, const placement_request_t *request, id_t32 engine, instant_t now);
bool placement_has_usable_engine(const placement_t *this, const placement_request_t *request);
/* Returns whether the engine accepts new requests and meets the need. */
bool placement_engine_fits(const placement_engine_t *engine, const engine_need_t *need);
/* Returns whether this router may send the request to the engine now. */
bool placement_may_use(
	const engine_state_t *state, const placement_request_t *request, instant_t now);
/* Record that the request's owner has replied, or that it did not in time. */
void placement_record_reply(placement_t *this, const placement_request_t *request, instant_t now);
void placement_record_timeout(placement_t *this, const placement_request_t *request);
/* Sends a slot request to an owner, or to the next one if it was sent before. */
void placement_send_request(placement_t *this, placement_request_t *request, instant_t now);
/* Returns the message entry of the slot request. */
message_entry_t placement_request_entry(
	const placement_t *this, const placement_request_t *request, instant_t now);
/* Starts the request on `engine`, as granted by the member in slot `owner`. */
void placement_start(placement_t *this, placement_request_t *request, id_t32 engine,
	unsigned int owner, instant_t now);
void placement_reject(placement_t *this, placement_request_t *request, uint32_t retry_after_ms);
void placement_withdraw(placement_t *this, unsigned int slot, uint64_t ticket, instant_t now);
/* Ends the use of a granted slot at this router. */
void placement_release_slot(placement_t *this, placement_request_t *request);
/* Returns the backlog of the request's workspace and pool, created at first use. */
backlog_t *placement_backlog(placement_t *this, const placement_request_t *request);
/* Returns the pending or running request with this ticket at this owner, or NULL. */
placement_request_t *placement_find_request(
	const placement_t *this, unsigned int owner, uint64_t ticket);
/* Removes the request from its list. */
void placement_unlink(placement_request_t *request);

#endif
