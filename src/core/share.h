#ifndef CORE_SHARE_H
#define CORE_SHARE_H
/*
 * share - weighted fair sharing of a pool's slots among its lanes
 *
 * The lane with the lowest level is served first.  A lane's level is the cost
 * that the whole fleet has served for it, divided by its weight, plus an offset.
 * Each router counts only the cost that it served itself; the counters of the
 * others arrive in messages.  A lane that becomes active after being idle is
 * raised to the pool's virtual time, so that it gains no credit while idle.
 */
#include "core/pool.h"

/* Maximum distance of a level from the virtual time, as a multiple of the pool's long_cost. */
#define SHARE_MAX_DISTANCE 4
/* Maximum cost that a request is charged at its start, before any of it was served. */
#define SHARE_INITIAL_CHARGE_MAX 16

/* Returns what a request of `predicted` cost is charged when it starts. */
uint32_t share_initial_charge(uint32_t predicted);
/*
 * Returns the rank of the lane's work of a class; the lowest rank is served
 * first.  It is the lane's level plus a handicap for medium and long work, which
 * is bounded by long_cost, so that short work does not get stuck behind it.
 */
double share_rank(const lane_t *lane, work_class_t work_class);
/* Returns the lane's level. */
double share_level(const lane_t *lane);
/*
 * Returns the lane of lowest rank and sets `*work_class`; NULL if there is no
 * work.  Considers the demand of all routers for this router's slots if
 * `incoming` is true, otherwise the requests that wait at this router.
 */
lane_t *share_pick_next(
	const pool_t *pool, bool incoming, bool allow_long, work_class_t *work_class);
/* Marks the lane as active: requests wait, here or at a peer. */
void share_activate(lane_t *lane);
/* Marks the lane as idle: no request waits any more. */
void share_deactivate(lane_t *lane);
/*
 * Keeps the lane's level within SHARE_MAX_DISTANCE of the pool's virtual time.
 * This bounds how long the fleet makes up for an imbalance that a partition or
 * a delayed counter has caused.
 */
void share_clamp_level(lane_t *lane);
/* Charges `cost` to the lane; negative to correct a charge that was too high. */
void share_charge(lane_t *lane, int64_t cost);
/* Raises the pool's virtual time to the level of the lane, which is served next. */
void share_advance_virtual_time(lane_t *lane);
/* Sets the counter of a peer to `cost`, as it reported. */
void share_set_peer_served(lane_t *lane, unsigned int member_index, uint64_t cost);
/* Keeps the counter of a peer that restarted as its earlier cost; it counts from 0 again. */
void share_peer_restarted(lane_t *lane, unsigned int member_index);
/* Restores the cost served by this router's earlier incarnations, as a peer reported it. */
void share_restore_served(lane_t *lane, uint64_t cost);

#endif
