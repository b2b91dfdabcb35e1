#ifndef CORE_SCHEDULER_H
#define CORE_SCHEDULER_H
/*
 * scheduler - the owner's side of admission to model engines
 *
 * Every engine has one owner among the routers.  Routers ask it for a place for
 * each request; it answers with a grant, or with a refusal that says when to
 * come back.  What waits is ordered by fair share between workspaces; within
 * one, what can still have its first token in time goes first, the newest
 * foremost, so that a crest leaves few late instead of all.
 *
 * No I/O, no clock: events and the time go in, actions come out.
 */
#include "core/sched_pool.h"

/* A place in use, told again by its router to a new owner. */
typedef struct held_slot {
	uint64_t ticket;
	id_t32 engine;
	id_t32 workspace;
	uint32_t prompt;
	uint32_t answer;
	bool is_read;
} held_place_t;

typedef enum scheduler_action_kind {
	SCHEDULER_GRANT,
	SCHEDULER_REFUSE,
} scheduler_action_kind_t;

typedef struct scheduler_action {
	scheduler_action_kind_t kind;
	unsigned int router; /* who asked */
	uint64_t ticket;
	id_t32 engine;
	id_t32 source; /* of a grant: engine to copy the prompt's shared parts from, 0: none */
	uint32_t retry_after_ms;
} scheduler_action_t;

typedef struct scheduler_options {
	sched_pool_options_t pool;
	const allocator_t *allocator; /* NULL: allocator_default */
} scheduler_options_t;

typedef struct scheduler_stats {
	uint64_t asked;
	uint64_t granted;
	uint64_t granted_late;
	uint64_t refused;
	uint64_t withdrawn;
} scheduler_stats_t;

typedef struct scheduler scheduler_t;

scheduler_t *scheduler_new(const scheduler_options_t *options);
void scheduler_delete(scheduler_t *this);

/* Owns the engine from now on, or learns its new limits. */
void scheduler_own(scheduler_t *this, id_t32 engine, id_t32 pool, const engine_limits_t *limits);
/* Owns it no more; what runs there is forgotten. */
void scheduler_disown(scheduler_t *this, id_t32 engine);
/* It takes no new work, or does again; what runs there goes on. */
void scheduler_set_usable(scheduler_t *this, id_t32 engine, bool usable);

void scheduler_ask(scheduler_t *this, unsigned int router, const ask_t *request, instant_t now);
/* The place is not wanted any more, granted or not. */
void scheduler_withdraw(scheduler_t *this, unsigned int router, uint64_t ticket, instant_t now);
void scheduler_first_token(scheduler_t *this, unsigned int router, uint64_t ticket, instant_t now);
/* The place came to nothing: the workspace is not charged, and the engine is watched. */
void scheduler_fail(scheduler_t *this, unsigned int router, uint64_t ticket, place_end_t failure,
	instant_t now);
/* What the engine told of itself: requests that run or wait there, whoever sent them. */
void scheduler_load_report(
	scheduler_t *this, unsigned int router, uint64_t ticket, unsigned int load, instant_t now);
/* The request is over, after `answer` tokens. */
void scheduler_end(
	scheduler_t *this, unsigned int router, uint64_t ticket, uint32_t answer, instant_t now);
/* A place that a former owner granted. */
void scheduler_hold(
	scheduler_t *this, unsigned int router, const held_place_t *slot, instant_t now);
/* A whole report of the router's places ends: those not told of for a while are free. */
void scheduler_end_report(scheduler_t *this, unsigned int router, instant_t now);
/* The router is gone, or began anew: its places are free. */
void scheduler_forget_router(scheduler_t *this, unsigned int router, instant_t now);

/* Another owner served the workspace: fair share is kept over the whole fleet. */
void scheduler_add_served(
	scheduler_t *this, id_t32 pool, id_t32 workspace, int32_t tokens, instant_t now);
/* Calls `each` for what was served here since the last call. */
void scheduler_report_served(scheduler_t *this,
	void (*each)(void *ctx, id_t32 pool, id_t32 workspace, int32_t tokens), void *ctx);

/* Grants and refuses what is due; returns when to call again at the latest. */
instant_t scheduler_run(scheduler_t *this, instant_t now);
bool scheduler_next_action(scheduler_t *this, scheduler_action_t *action);

/* How full the engines of a pool are. */
typedef struct slot_usage {
	unsigned int slots; /* that may be used now */
	unsigned int taken; /* in use, or asked for by work that can be in time */
} slot_usage_t;

slot_usage_t scheduler_usage(const scheduler_t *this, id_t32 pool, instant_t now);
unsigned int scheduler_waiting(const scheduler_t *this);
unsigned int scheduler_running(const scheduler_t *this);
const scheduler_stats_t *scheduler_stats(const scheduler_t *this);

#endif
