#include "core/share.h"

uint32_t share_placement_charge(uint32_t predicted)
{
	return predicted < SHARE_PLACEMENT_MAX ? predicted : SHARE_PLACEMENT_MAX;
}

double share_level(const lane_t *lane)
{
	uint64_t served = lane->own_served + lane->former_served + lane->remote_served;
	unsigned int weight = lane->workspace->weight ? lane->workspace->weight : 1;

	return (double)(served + lane->provisional) / weight + lane->lift;
}

double share_rank(const lane_t *lane, work_class_t work_class)
{
	static const double handicap[WORK_CLASSES] = {
		[WORK_MEDIUM] = 0.5, /* of the pool's long_cost */
		[WORK_LONG] = 1.0,
	};

	return share_level(lane) + handicap[work_class] * lane->pool->long_cost;
}

lane_t *share_next(const pool_t *pool, bool wanted, bool allow_long, work_class_t *work_class)
{
	lane_t *best = NULL;
	double best_rank = 0;
	lane_t *lane;

	cds_list_for_each_entry (lane, &pool->listed, link) {
		const unsigned int *counts = wanted ? lane->wanted_count : lane->waiting_count;

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

void share_wake(lane_t *lane)
{
	double behind = lane->pool->virtual_time - share_level(lane);

	lane_list(lane);
	if (lane->is_awake)
		return;
	lane->is_awake = true;
	if (behind > 0)
		lane->lift += behind;
}

void share_sleep(lane_t *lane)
{
	lane->is_awake = false;
}

void share_bound(lane_t *lane)
{
	double furthest = (double)SHARE_MEMORY * lane->pool->long_cost;
	double ahead = share_level(lane) - lane->pool->virtual_time;

	if (ahead > furthest)
		lane->lift -= ahead - furthest;
	else if (ahead < -furthest)
		lane->lift -= ahead + furthest;
}

void share_charge(lane_t *lane, int64_t cost)
{
	lane_list(lane);
	if (cost < 0 && (uint64_t)-cost > lane->own_served)
		lane->own_served = 0;
	else
		lane->own_served += (uint64_t)cost;
}

void share_advance(lane_t *lane)
{
	double level = share_level(lane);

	if (level > lane->pool->virtual_time)
		lane->pool->virtual_time = level;
}

void share_hear(lane_t *lane, unsigned int slot, uint64_t cost)
{
	lane_peer_t *peer = &lane->peers[slot];
	int32_t step = (int32_t)((uint32_t)cost - peer->served);

	peer->served = (uint32_t)cost;
	if (step < 0 && (uint64_t) - (int64_t)step > lane->remote_served)
		lane->remote_served = 0;
	else
		lane->remote_served += (uint64_t)(int64_t)step;
}

void share_peer_restarted(lane_t *lane, unsigned int slot)
{
	lane_peer_t *peer = &lane->peers[slot];

	peer->former += peer->served;
	peer->served = 0;
	peer->told_served = 0;
}

void share_former(lane_t *lane, uint64_t cost)
{
	if (cost > lane->former_served)
		lane->former_served = cost;
}
