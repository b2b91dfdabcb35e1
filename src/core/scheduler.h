#ifndef CORE_SCHEDULER_H
#define CORE_SCHEDULER_H
/*
 * scheduler - grants the slots of the model engines that a router owns
 *
 * Every engine has one owner among the routers.  Routers send the owner a slot
 * request for each request of a caller; the owner replies with a grant, or with
 * a refusal that includes a retry delay.  Waiting requests are ordered by fair
 * share between workspaces.  Within a workspace, requests that can still get
 * their first token in time go first, in newest-first order, so that a
 * peak leaves a few requests late instead of all of them.
 *
 * A scheduler does no I/O and reads no clock: the placement passes in events and
 * the current time, and takes out actions.  A request is identified by its router's
 * member slot and its ticket.  Calls for an unknown one are ignored, apart from
 * scheduler_request_slot() and scheduler_confirm_slot().
 */
#include "core/sched_pool.h"

/* A slot in use, as its router reports it to an owner. */
typedef struct held_slot {
	uint64_t ticket;
	id_t32 engine;
	id_t32 workspace;
	uint32_t prompt;   /* tokens */
	uint32_t answer;   /* predicted tokens */
	bool prefill_done; /* the first token has arrived */
} held_slot_t;

typedef enum scheduler_action_kind {
	SCHEDULER_GRANT,
	SCHEDULER_REFUSE,
} scheduler_action_kind_t;

typedef struct scheduler_action {
	scheduler_action_kind_t kind;
	unsigned int router; /* that sent the slot request */
	uint64_t ticket;
	id_t32 engine;		 /* SCHEDULER_GRANT */
	id_t32 source;		 /* SCHEDULER_GRANT: engine to copy shared parts from, 0: none */
	uint32_t retry_after_ms; /* SCHEDULER_REFUSE */
} scheduler_action_t;

typedef struct scheduler_options {
	sched_pool_options_t pool;
	const allocator_t *allocator; /* NULL: allocator_default */
} scheduler_options_t;

typedef struct scheduler_stats {
	uint64_t slot_requests; /* received, without repeated ones */
	uint64_t granted;
	uint64_t granted_late; /* those of `granted` that counted as late */
	uint64_t refused;
	uint64_t withdrawn;
} scheduler_stats_t;

/* A lane of a pool in which requests were refused since the last report. */
typedef struct lane_report {
	id_t32 pool;
	id_t32 workspace;
	double level;	     /* tokens */
	unsigned int timely; /* requests that wait and can be in time */
	unsigned int late;   /* requests that wait and count as late */
	lane_counts_t counts;
} lane_report_t;

typedef struct scheduler scheduler_t;

scheduler_t *scheduler_new(const scheduler_options_t *options);
void scheduler_delete(scheduler_t *this);

/* Adds an engine that this router owns from now on, or updates its limits. */
void scheduler_add_engine(
	scheduler_t *this, id_t32 engine, id_t32 pool, const engine_limits_t *limits);
/* Removes an engine that this router owns no more, and the records of its requests. */
void scheduler_remove_engine(scheduler_t *this, id_t32 engine);
/* Sets the rate at which the engine takes requests from all routers, RATE_NONE: any. */
void scheduler_set_rate_limit(scheduler_t *this, id_t32 engine, uint32_t rate, instant_t now);
/* Sets the part of the engines' rates that this owner may use, above 0 and at most 1. */
void scheduler_set_rate_share(scheduler_t *this, double share);
/* The same for the pace of engines that are cold. */
void scheduler_set_pace_share(scheduler_t *this, double share);
/* What is known of the cold time of an engine that this router owns; else NULL. */
warm_up_t *scheduler_warm_up(scheduler_t *this, id_t32 engine);
/* Records that the engine has written its registration. */
void scheduler_engine_registered(scheduler_t *this, id_t32 engine);
/* Sets the version of the engine's software: requests that are bound to another do not run on it.
 */
void scheduler_set_version(scheduler_t *this, id_t32 engine, id_t32 version);
/* Sets the region of the engine: requests that may not run there do not.  0: unknown. */
void scheduler_set_region(scheduler_t *this, id_t32 engine, id_t32 region);
/* Sets what to assume of the speed of the pool's engines without samples. */
void scheduler_set_speed_prior(
	scheduler_t *this, id_t32 pool, const engine_speed_prior_t *prior, instant_t now);
/* Takes over what an earlier owner knew of the engine's speed. */
void scheduler_restore_speed(
	scheduler_t *this, id_t32 engine, const engine_speed_report_t *report, instant_t now);
/* Returns the model of an engine that this router owns, or NULL. */
const engine_t *scheduler_engine(const scheduler_t *this, id_t32 engine);
/* Sets whether the engine accepts new requests; running ones continue. */
void scheduler_set_usable(scheduler_t *this, id_t32 engine, bool usable);

/* Queues a slot request; sends the grant again if the request was granted before. */
void scheduler_request_slot(
	scheduler_t *this, unsigned int router, const slot_request_t *request, instant_t now);
/*
 * Removes a request whose slot is no longer wanted, granted or not; it costs no tokens unless its
 * first token has arrived.
 */
void scheduler_withdraw(scheduler_t *this, unsigned int router, uint64_t ticket, instant_t now);
void scheduler_first_token(scheduler_t *this, unsigned int router, uint64_t ticket, instant_t now);
/*
 * What the request's router measured, to be told before the event itself: the time from the grant
 * to the first token; the time from there to the end of a stream of `answer` tokens and its
 * longest pause.  A time of 0 is unknown.
 */
void scheduler_record_first_token(
	scheduler_t *this, unsigned int router, uint64_t ticket, uint64_t delay);
void scheduler_record_stream(scheduler_t *this, unsigned int router, uint64_t ticket,
	uint32_t answer, uint64_t duration, uint64_t pause, instant_t now);
/* Records that work takes `percent` of its usual time on the machine of the request's engine. */
void scheduler_record_slowness(scheduler_t *this, unsigned int router, uint64_t ticket,
	unsigned int percent, instant_t now);
/* Like scheduler_withdraw(), and records the failure of the engine. */
void scheduler_fail(scheduler_t *this, unsigned int router, uint64_t ticket, slot_result_t failure,
	instant_t now);
/* Records that the engine reported `load` requests running or queued, whoever sent them. */
void scheduler_load_report(
	scheduler_t *this, unsigned int router, uint64_t ticket, unsigned int load, instant_t now);
/* Ends a request that succeeded, after `answer` generated tokens. */
void scheduler_end(
	scheduler_t *this, unsigned int router, uint64_t ticket, uint32_t answer, instant_t now);
/*
 * Confirms a slot in use.  Adds it if this owner did not grant it, as a former
 * owner did or the router started the request without a grant.
 */
void scheduler_confirm_slot(
	scheduler_t *this, unsigned int router, const held_slot_t *slot, instant_t now);
/* Ends a report of all slots that the router uses: frees those not confirmed for a while. */
void scheduler_end_report(scheduler_t *this, unsigned int router, instant_t now);
/* Removes all requests of a router that is dead or has restarted. */
void scheduler_forget_router(scheduler_t *this, unsigned int router, instant_t now);

/* Adds tokens that another owner served, to keep the fair share over the whole fleet. */
void scheduler_add_served(
	scheduler_t *this, id_t32 pool, id_t32 workspace, int32_t tokens, instant_t now);
/*
 * Sets the time between two reports of another owner, microseconds: levels decay no faster than
 * these arrive.
 */
void scheduler_set_report_interval(scheduler_t *this, uint64_t interval);
/* Adds tokens of a request that this router started without a grant. */
void scheduler_charge(
	scheduler_t *this, id_t32 pool, id_t32 workspace, double tokens, instant_t now);
/* Takes back what is left of such tokens, charged at `since`: the request did not run. */
void scheduler_refund(scheduler_t *this, id_t32 pool, id_t32 workspace, double tokens,
	instant_t since, instant_t now);
/* Calls `each` for each workspace with tokens served here since the last call. */
void scheduler_report_served(scheduler_t *this,
	void (*each)(void *ctx, id_t32 pool, id_t32 workspace, int32_t tokens), void *ctx);

/*
 * Calls `each` for each lane with requests since the last call, in pools that refused any since
 * then.
 */
void scheduler_report_lanes(scheduler_t *this, instant_t now,
	void (*each)(void *ctx, const lane_report_t *report), void *ctx);

/* Grants and refuses the requests that are due; returns the latest time of the next call. */
instant_t scheduler_run(scheduler_t *this, instant_t now);
bool scheduler_next_action(scheduler_t *this, scheduler_action_t *action);

/* Slot usage of the engines of a pool. */
typedef struct slot_usage {
	unsigned int slots; /* that may be used now */
	unsigned int taken; /* in use, or requested by waiting requests that can be in time */
	/* Until the first of them has read the prompts sent to it; 0: it may begin another. */
	unsigned int reading_ms;
	uint32_t prefill_token_ns; /* of the fastest of them, 0: unknown */
} slot_usage_t;

slot_usage_t scheduler_usage(const scheduler_t *this, id_t32 pool, instant_t now);
unsigned int scheduler_waiting(const scheduler_t *this);
unsigned int scheduler_running(const scheduler_t *this);
const scheduler_stats_t *scheduler_stats(const scheduler_t *this);

#endif
