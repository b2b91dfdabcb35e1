#include "core/node_internal.h"

#include <string.h>

#define REBUILD_DURATION (400 * USEC_PER_MSEC) /* a new owner waits for reports this long */
#define OPEN_GRANT_RESERVE_DIVISOR 4	       /* open grants leave 1/4 of the slots free */
#define CONTENTION_END_DELAY (5 * USEC_PER_MSEC)

static unsigned int free_slots(const node_t *this, const replica_t *replica, instant_t now)
{
	unsigned int limit;

	if (replica->owner || now < replica->rebuild_until || !replica_is_usable(replica, now))
		return 0;
	limit = node_replica_limit(this, replica, now);
	return limit > replica->granted ? limit - replica->granted : 0;
}

/* Returns the owned replica with the highest ratio of free slots, NULL if none is free. */
static replica_t *find_freest_replica(const node_t *this, const pool_t *pool, instant_t now)
{
	replica_t *best = NULL;
	double best_ratio = 0;

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		replica_t *replica = pool->replicas[i];
		double free_ratio = (double)free_slots(this, replica, now) / replica->slots;

		if (free_ratio > best_ratio) {
			best = replica;
			best_ratio = free_ratio;
		}
	}
	return best;
}

typedef struct owned_slots {
	unsigned int slots;
	unsigned int free;
	unsigned int granted_long;
} owned_slots_t;

static owned_slots_t count_owned(const node_t *this, const pool_t *pool, instant_t now)
{
	owned_slots_t owned = {0};

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		const replica_t *replica = pool->replicas[i];

		if (replica->owner || !replica_is_usable(replica, now))
			continue;
		owned.slots += replica->slots;
		owned.free += free_slots(this, replica, now);
		owned.granted_long += replica->unacked_long + replica->granted_long;
	}
	return owned;
}

static bool long_allowed(const pool_t *pool, const owned_slots_t *owned)
{
	return owned->granted_long == 0 ||
	       owned->granted_long * 100 < owned->slots * pool->long_share;
}

/* Returns the router's demand less the grants for it that it has not acknowledged. */
static unsigned int unmet_demand(const lane_demand_t *demand, work_class_t c)
{
	return demand->incoming[c] > demand->unacked[c] ? demand->incoming[c] - demand->unacked[c]
							: 0;
}

/* Adds to the demand and to the unacknowledged grants of one router, and updates the sums. */
static void adjust_demand(lane_t *lane, unsigned int member_index, work_class_t c,
	int incoming_step, int unacked_step)
{
	lane_demand_t *demand = &lane->demand[member_index];
	unsigned int before;
	unsigned int step;

	before = unmet_demand(demand, c);
	demand->incoming[c] = (uint16_t)(demand->incoming[c] + incoming_step);
	demand->unacked[c] = (uint16_t)(demand->unacked[c] + unacked_step);
	step = unmet_demand(demand, c) - before; /* wraps around if negative, as the sums do */
	lane->incoming_count[c] += step;
	lane->pool->peers[member_index].incoming += step;
	lane->pool->incoming += step;
	if (lane_is_backlogged(lane))
		share_activate(lane);
	else
		share_deactivate(lane);
}

void owner_set_demand(node_t *this, lane_t *lane, unsigned int member_index,
	const uint32_t incoming[WORK_CLASSES])
{
	lane_demand_t *demand = lane_get_demand(lane, this->allocator, this->options.max_members);

	for (int c = 0; c < WORK_CLASSES; c++) {
		int capped = incoming[c] > UINT16_MAX ? UINT16_MAX : (int)incoming[c];

		adjust_demand(lane, member_index, (work_class_t)c,
			capped - demand[member_index].incoming[c], 0);
	}
}

void owner_set_backlogged(lane_t *lane, unsigned int member_index, bool backlogged)
{
	lane_demand_t *demand = &lane->demand[member_index];

	if (demand->backlogged == backlogged)
		return;
	demand->backlogged = backlogged;
	lane->backlogged_routers += backlogged ? 1 : -1U;
	if (lane_is_backlogged(lane))
		share_activate(lane);
	else
		share_deactivate(lane);
}

void owner_set_hold(replica_t *replica, unsigned int member_index, const hold_entry_t *hold)
{
	hold_entry_t *before = &replica->holds[member_index];

	replica->granted += hold->held - before->held;
	replica->granted_long += hold->held_long - before->held_long;
	if (!replica->owner)
		replica->pool->peers[member_index].idle += hold->idle - before->idle;
	*before = *hold;
}

/* Adds `step`, which may be negative, to the router's unacknowledged slots of `replica`. */
static void count_unacked(replica_t *replica, unsigned int member_index, int step)
{
	replica->unacked[member_index] += (unsigned int)step;
	replica->granted += (unsigned int)step;
}

/* Picks the next router with unmet demand in round-robin order, -1 if there is none. */
static int next_router(node_t *this, lane_t *lane, work_class_t c)
{
	unsigned int count = this->members.count;

	for (unsigned int k = 0; k < count; k++) {
		unsigned int member_index = (lane->next_router + k) % count;

		if (!unmet_demand(&lane->demand[member_index], c))
			continue;
		lane->next_router = (member_index + 1) % count;
		return (int)member_index;
	}
	return -1;
}

/* Records a grant until the peer acknowledges it. */
static void record_grant(peer_t *peer, const grant_record_t *record)
{
	unsigned int at = (peer->grants.first + peer->grants.count) % MAX_UNACKED_GRANTS;

	peer->grants.entry[at] = *record;
	peer->grants.count++;
}

static bool can_send_grant(const peer_t *peer)
{
	return peer->grants.count < MAX_UNACKED_GRANTS && peer->pending_count < MESSAGE_MAX_ENTRIES;
}

/* Grants one slot to a router, for `lane` or, if that is NULL, as an open grant. */
static void send_grant(node_t *this, unsigned int member_index, replica_t *replica, lane_t *lane,
	work_class_t work_class, instant_t now)
{
	grant_entry_t grant = {
		.replica = replica->id,
		.workspace = lane ? lane->workspace->id : 0,
		.work_class = work_class,
		.count = 1,
	};
	grant_record_t record = {
		.replica = replica, .lane = lane, .work_class = work_class, .count = 1};
	peer_t *peer = this->peers[member_index];

	this->stats.grants_sent++;
	if (!member_index) {
		router_accept_grant(this, 0, &grant, now);
		return;
	}
	record.seq = ++peer->grant_seq;
	record_grant(peer, &record);
	peer->pending[peer->pending_count++] = grant;
	count_unacked(replica, member_index, 1);
	if (lane) {
		replica->unacked_long += work_class == WORK_LONG;
		lane->provisional_charge += share_initial_charge((uint32_t)lane->mean_cost);
		adjust_demand(lane, member_index, work_class, 0, 1);
	} else {
		replica->pool->peers[member_index].unacked_open++;
	}
	node_schedule_send(this, member_index, now);
}

/* Undoes what send_grant() counted, once the peer reports the slot itself or is gone. */
static void forget_grant(unsigned int member_index, const grant_record_t *record)
{
	replica_t *replica = record->replica;
	lane_t *lane = record->lane;
	uint32_t charge;

	if (replica->unacked[member_index])
		count_unacked(replica, member_index, -1);
	if (!lane) {
		pool_peer_t *peer = &replica->pool->peers[member_index];

		peer->unacked_open -= peer->unacked_open > 0;
		return;
	}
	if (record->work_class == WORK_LONG && replica->unacked_long)
		replica->unacked_long--;
	charge = share_initial_charge((uint32_t)lane->mean_cost);
	lane->provisional_charge -=
		charge < lane->provisional_charge ? charge : lane->provisional_charge;
	if (lane->demand[member_index].unacked[record->work_class])
		adjust_demand(lane, member_index, record->work_class, 0, -1);
}

void owner_acknowledge(node_t *this, unsigned int member_index, uint64_t seq)
{
	peer_t *peer = this->peers[member_index];

	while (peer->grants.count) {
		grant_record_t *record = &peer->grants.entry[peer->grants.first];

		if (record->seq > seq)
			return;
		forget_grant(member_index, record);
		peer->grants.first = (peer->grants.first + 1) % MAX_UNACKED_GRANTS;
		peer->grants.count--;
	}
}

/*
 * Clears what the peer reported and what was reported to it.  `outgoing` stays:
 * router_update_demand() moves that demand to other owners.
 */
static void forget_pool_peer(pool_peer_t *peer)
{
	peer->waiting = 0;
	peer->contended = false;
	peer->reported_contended = false;
	peer->reported_waiting = 0;
	peer->unacked_open = 0;
}

void owner_forget_peer(node_t *this, unsigned int member_index)
{
	static const uint32_t none[WORK_CLASSES];
	static const hold_entry_t no_hold;

	owner_acknowledge(this, member_index, UINT64_MAX);
	this->peers[member_index]->pending_count = 0;
	for (unsigned int i = 0; i < this->replica_count; i++) {
		owner_set_hold(this->replicas[i], member_index, &no_hold);
		count_unacked(this->replicas[i], member_index,
			-(int)this->replicas[i]->unacked[member_index]);
	}
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			if (pool->lanes[w] && pool->lanes[w]->demand) {
				owner_set_demand(this, pool->lanes[w], member_index, none);
				owner_set_backlogged(pool->lanes[w], member_index, false);
			}
		}
		forget_pool_peer(&pool->peers[member_index]);
	}
}

static void grant_requested_slots(node_t *this, pool_t *pool, instant_t now)
{
	for (;;) {
		owned_slots_t owned = count_owned(this, pool, now);
		work_class_t work_class = WORK_SHORT;
		replica_t *replica = find_freest_replica(this, pool, now);
		lane_t *lane;
		int member_index;

		if (!replica)
			return;
		lane = share_pick_next(pool, true, long_allowed(pool, &owned), &work_class);
		if (!lane)
			return;
		member_index = next_router(this, lane, work_class);
		if (member_index < 0 ||
			(member_index && !can_send_grant(this->peers[member_index])))
			return;
		share_advance_virtual_time(lane);
		send_grant(this, (unsigned int)member_index, replica, lane, work_class, now);
	}
}

/* Returns how many slots a router holds idle or is about to receive as open grants. */
static unsigned int open_grants_of(const pool_t *pool, unsigned int member_index)
{
	return pool->peers[member_index].unacked_open + pool->peers[member_index].idle;
}

/*
 * Grants slots for which there is no demand to the routers in advance, so that
 * a request can start there without a message to the owner and back.
 */
static void send_open_grants(node_t *this, pool_t *pool, instant_t now)
{
	owned_slots_t owned = count_owned(this, pool, now);
	unsigned int allowance = node_idle_allowance(this, owned.slots);
	unsigned int reserve = owned.slots / OPEN_GRANT_RESERVE_DIVISOR;

	for (unsigned int member_index = 0; member_index < this->members.count; member_index++) {
		const member_t *member = &this->members.list[member_index];

		if (!member_is_alive(member) || member->stopping)
			continue;
		for (unsigned int count = open_grants_of(pool, member_index); count < allowance;
			count++) {
			replica_t *replica =
				owned.free > reserve ? find_freest_replica(this, pool, now) : NULL;

			if (!replica ||
				(member_index && !can_send_grant(this->peers[member_index])))
				return;
			send_grant(this, member_index, replica, NULL, WORK_SHORT, now);
			owned.free--;
		}
	}
}

/* Reports to each router when others start or stop waiting for slots that this router owns. */
static void report_contention(node_t *this, pool_t *pool, instant_t now)
{
	for (unsigned int member_index = 1; member_index < this->members.count; member_index++) {
		bool contended = pool_is_contended_for(pool, member_index);

		if (pool->peers[member_index].reported_contended == contended ||
			!member_is_alive(&this->members.list[member_index]))
			continue;
		node_schedule_send(
			this, member_index, contended ? now : now + CONTENTION_END_DELAY);
	}
	if (pool_is_contended_for(pool, 0))
		router_return_idle(this, pool, 0, now);
}

/*
 * Returns true if more slots of a replica are granted than its limit allows, so
 * that routers have to return slots as they become free.
 */
static bool is_over_limit(const node_t *this, const pool_t *pool, instant_t now)
{
	for (unsigned int i = 0; i < pool->replica_count; i++) {
		const replica_t *replica = pool->replicas[i];

		if (!replica->owner && replica->granted > node_replica_limit(this, replica, now))
			return true;
	}
	return false;
}

void owner_dispatch(node_t *this, pool_t *pool, instant_t now)
{
	if (!this->policy->has_owners)
		return;
	grant_requested_slots(this, pool, now);
	pool->is_over_limit = is_over_limit(this, pool, now);
	report_contention(this, pool, now);
	if (pool->incoming)
		grant_requested_slots(this, pool, now);
	else if (!pool->is_over_limit && this->policy->makes_open_grants)
		send_open_grants(this, pool, now);
}

/* Sets the owner and clears what routers reported to this one about the replica's slots. */
static void change_owner(node_t *this, replica_t *replica, unsigned int owner)
{
	static const hold_entry_t no_hold;

	for (unsigned int member_index = 0; member_index < this->members.count; member_index++)
		owner_set_hold(replica, member_index, &no_hold);
	replica->owner = owner;
}

/*
 * For each replica that changes its owner, this router reports what it holds to
 * the new owner.  The new owner waits for REBUILD_DURATION before it grants any
 * slot, so that the reports of all routers can arrive first.
 */
void owner_update_view(node_t *this, instant_t now)
{
	for (unsigned int i = 0; i < this->replica_count; i++) {
		replica_t *replica = this->replicas[i];
		unsigned int owner = members_owner(&this->members, replica->id);

		if (owner == replica->owner)
			continue;
		change_owner(this, replica, owner);
		replica->rebuild_until = now + REBUILD_DURATION;
		router_report(this, replica, now);
	}
	this->owned_view = this->members.view;
}
