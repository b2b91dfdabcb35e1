#ifndef CORE_SHARE_H
#define CORE_SHARE_H
/*
 * share - who is next: the lane that has been served least for its weight
 *
 * A lane's level is the cost that the whole fleet has served it, over its
 * weight, plus a lift.  Each router counts only what it served itself; the
 * others' counters arrive in messages.  A lane that wakes from idleness is
 * lifted to the pool's virtual time, so that idleness banks no credit.
 */
#include "core/pool.h"

/* Furthest that a level may be from the virtual time, in long_costs of the pool. */
#define SHARE_MAX_DISTANCE 4
/* Cost units at most that a request is charged before any of it was served. */
#define SHARE_INITIAL_CHARGE_MAX 16

/* What a request of `predicted` cost is charged when it is placed. */
uint32_t share_initial_charge(uint32_t predicted);
/*
 * Where work of a class stands in line, lower first: the lane's level, and for
 * longer work a bounded handicap, so that short work is not stuck behind it.
 */
double share_rank(const lane_t *lane, work_class_t work_class);
double share_level(const lane_t *lane);
/*
 * The lane and class of least rank among those with work: waiting here, or
 * wanted by any router of the slots owned here.  NULL when there is none.
 */
lane_t *share_pick_next(
	const pool_t *pool, bool incoming, bool allow_long, work_class_t *work_class);
/* The lane has work waiting, here or at a peer. */
void share_activate(lane_t *lane);
/* Nothing of it waits any more. */
void share_deactivate(lane_t *lane);
/*
 * Keeps the lane's level within SHARE_MAX_DISTANCE of the pool's virtual time, so
 * that what a partition or a late counter left unequal is made up for only so far.
 */
void share_clamp_level(lane_t *lane);
/* This router serves `cost` more, or less when a prediction is corrected. */
void share_charge(lane_t *lane, int64_t cost);
/* The pool's virtual time follows the lane that is served next. */
void share_advance_virtual_time(lane_t *lane);
/* The counter of the peer in `slot` now stands at `cost`. */
void share_set_peer_served(lane_t *lane, unsigned int member_index, uint64_t cost);
/* The peer in `slot` restarted: its counter begins again at nothing. */
void share_peer_restarted(lane_t *lane, unsigned int member_index);
/* A peer remembers `cost` of this router's earlier incarnations. */
void share_restore_served(lane_t *lane, uint64_t cost);

#endif
