#include "core/share.h"

uint32_t share_initial_charge(uint32_t predicted)
{
	return predicted < SHARE_INITIAL_CHARGE_MAX ? predicted : SHARE_INITIAL_CHARGE_MAX;
}

double share_level(const lane_t *lane)
{
	uint64_t served = lane->own_served + lane->own_prior_served + lane->peers_served;
	unsigned int weight = lane->workspace->weight ? lane->workspace->weight : 1;

	return (double)(served + lane->provisional_charge) / weight + lane->level_offset;
}

double share_rank(const lane_t *lane, work_class_t work_class)
{
	static const double handicap[WORK_CLASSES] = {
		[WORK_MEDIUM] = 0.5, /* of the pool's long_cost */
		[WORK_LONG] = 1.0,
	};

	return share_level(lane) + handicap[work_class] * lane->pool->long_cost;
}

lane_t *share_pick_next(
	const pool_t *pool, bool incoming, bool allow_long, work_class_t *work_class)
{
	lane_t *best = NULL;
	double best_rank = 0;
	lane_t *lane;

	cds_list_for_each_entry (lane, &pool->pending_lanes, link) {
		const unsigned int *counts = incoming ? lane->incoming_count : lane->waiting_count;

		for (int c = 0; c < WORK_CLASSES; c++) {
			double rank;

			if (!counts[c] || (c == WORK_LONG && !allow_long))
				continue;
			rank = share_rank(lane, (work_class_t)c);
			if (best && rank >= best_rank)
				continue;
			best = lane;
			best_rank = rank;
			*work_class = (work_class_t)c;
		}
	}
	return best;
}

void share_activate(lane_t *lane)
{
	double lag = lane->pool->virtual_time - share_level(lane);

	lane_add_pending(lane);
	if (lane->is_active)
		return;
	lane->is_active = true;
	if (lag > 0)
		lane->level_offset += lag;
}

void share_deactivate(lane_t *lane)
{
	lane->is_active = false;
}

void share_clamp_level(lane_t *lane)
{
	double limit = (double)SHARE_MAX_DISTANCE * lane->pool->long_cost;
	double ahead = share_level(lane) - lane->pool->virtual_time;

	if (ahead > limit)
		lane->level_offset -= ahead - limit;
	else if (ahead < -limit)
		lane->level_offset -= ahead + limit;
}

void share_charge(lane_t *lane, int64_t cost)
{
	lane_add_pending(lane);
	if (cost < 0 && (uint64_t)-cost > lane->own_served)
		lane->own_served = 0;
	else
		lane->own_served += (uint64_t)cost;
}

void share_advance_virtual_time(lane_t *lane)
{
	double level = share_level(lane);

	if (level > lane->pool->virtual_time)
		lane->pool->virtual_time = level;
}

void share_set_peer_served(lane_t *lane, unsigned int member_index, uint64_t cost)
{
	lane_peer_t *peer = &lane->peers[member_index];
	int32_t step = (int32_t)((uint32_t)cost - peer->served);

	peer->served = (uint32_t)cost;
	if (step < 0 && (uint64_t) - (int64_t)step > lane->peers_served)
		lane->peers_served = 0;
	else
		lane->peers_served += (uint64_t)(int64_t)step;
}

void share_peer_restarted(lane_t *lane, unsigned int member_index)
{
	lane_peer_t *peer = &lane->peers[member_index];

	peer->prior_served += peer->served;
	peer->served = 0;
	peer->reported_served = 0;
}

void share_restore_served(lane_t *lane, uint64_t cost)
{
	if (cost > lane->own_prior_served)
		lane->own_prior_served = cost;
}
