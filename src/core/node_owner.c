#include "core/node_internal.h"

#include <string.h>

#define REBUILD_TIME (400 * USEC_PER_MSEC)
#define LEND_RESERVE_DIVISOR 4 /* of the slots, kept back from lending */
#define CLEAR_DELAY (5 * USEC_PER_MSEC)

static unsigned int free_slots(const node_t *this, const replica_t *replica, instant_t now)
{
	unsigned int limit;

	if (replica->owner || now < replica->rebuild_until || !replica_is_usable(replica, now))
		return 0;
	limit = node_replica_limit(this, replica, now);
	return limit > replica->out ? limit - replica->out : 0;
}

static replica_t *freest(const node_t *this, const pool_t *pool, instant_t now)
{
	replica_t *best = NULL;
	double best_room = 0;

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		replica_t *replica = pool->replicas[i];
		double room = (double)free_slots(this, replica, now) / replica->slots;

		if (room > best_room) {
			best = replica;
			best_room = room;
		}
	}
	return best;
}

typedef struct owned {
	unsigned int slots;
	unsigned int free;
	unsigned int out_long;
} owned_t;

static owned_t count_owned(const node_t *this, const pool_t *pool, instant_t now)
{
	owned_t owned = {0};

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		const replica_t *replica = pool->replicas[i];

		if (replica->owner || !replica_is_usable(replica, now))
			continue;
		owned.slots += replica->slots;
		owned.free += free_slots(this, replica, now);
		owned.out_long += replica->unseen_long + replica->out_long;
	}
	return owned;
}

static bool long_allowed(const pool_t *pool, const owned_t *owned)
{
	return owned->out_long == 0 || owned->out_long * 100 < owned->slots * pool->long_share;
}

static unsigned int still_wanted(const lane_demand_t *demand, work_class_t c)
{
	return demand->wanted[c] > demand->unseen[c] ? demand->wanted[c] - demand->unseen[c] : 0;
}

/* Changes the demand of one router and keeps the lane's sum in step. */
static void adjust(lane_t *lane, unsigned int slot, work_class_t c, int wanted, int unseen)
{
	lane_demand_t *demand = &lane->demand[slot];
	unsigned int before;
	unsigned int step;

	before = still_wanted(demand, c);
	demand->wanted[c] = (uint16_t)(demand->wanted[c] + wanted);
	demand->unseen[c] = (uint16_t)(demand->unseen[c] + unseen);
	step = still_wanted(demand, c) - before; /* modulo 2^32 when it falls */
	lane->wanted_count[c] += step;
	lane->pool->peers[slot].wanted += step;
	lane->pool->wanted += step;
	if (lane_is_backlogged(lane))
		share_wake(lane);
	else
		share_sleep(lane);
}

void owner_set_wanted(
	node_t *this, lane_t *lane, unsigned int slot, const uint32_t wanted[WORK_CLASSES])
{
	lane_demand_t *demand = lane_demand(lane, this->allocator, this->options.max_members);

	for (int c = 0; c < WORK_CLASSES; c++) {
		int capped = wanted[c] > UINT16_MAX ? UINT16_MAX : (int)wanted[c];

		adjust(lane, slot, (work_class_t)c, capped - demand[slot].wanted[c], 0);
	}
}

void owner_set_backlogged(lane_t *lane, unsigned int slot, bool backlogged)
{
	lane_demand_t *demand = &lane->demand[slot];

	if (demand->backlogged == backlogged)
		return;
	demand->backlogged = backlogged;
	lane->backlogged_routers += backlogged ? 1 : -1U;
	if (lane_is_backlogged(lane))
		share_wake(lane);
	else
		share_sleep(lane);
}

void owner_set_hold(replica_t *replica, unsigned int slot, const hold_entry_t *hold)
{
	hold_entry_t *before = &replica->holds[slot];

	replica->out += hold->held - before->held;
	replica->out_long += hold->held_long - before->held_long;
	if (!replica->owner)
		replica->pool->peers[slot].idle += hold->idle - before->idle;
	*before = *hold;
}

/* Counts `step` slots as granted to the router in `slot`, not acknowledged. */
static void count_unseen(replica_t *replica, unsigned int slot, int step)
{
	replica->unseen[slot] += (unsigned int)step;
	replica->out += (unsigned int)step;
}

static int next_router(node_t *this, lane_t *lane, work_class_t c)
{
	unsigned int count = this->members.count;

	for (unsigned int k = 0; k < count; k++) {
		unsigned int slot = (lane->next_router + k) % count;

		if (!still_wanted(&lane->demand[slot], c))
			continue;
		lane->next_router = (slot + 1) % count;
		return (int)slot;
	}
	return -1;
}

/* Remembers a grant until it is acknowledged. */
static void log_grant(peer_t *peer, const grant_record_t *record)
{
	unsigned int at = (peer->grants.first + peer->grants.count) % GRANT_LOG_SIZE;

	peer->grants.entry[at] = *record;
	peer->grants.count++;
}

static bool has_room(const peer_t *peer)
{
	return peer->grants.count < GRANT_LOG_SIZE && peer->pending_count < MESSAGE_MAX_ENTRIES;
}

static void give(node_t *this, unsigned int slot, replica_t *replica, lane_t *lane,
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
	peer_t *peer = this->peers[slot];

	this->stats.grants_sent++;
	if (!slot) {
		router_take_grant(this, 0, &grant, now);
		return;
	}
	record.seq = ++peer->grant_seq;
	log_grant(peer, &record);
	peer->pending[peer->pending_count++] = grant;
	count_unseen(replica, slot, 1);
	if (lane) {
		replica->unseen_long += work_class == WORK_LONG;
		lane->provisional += share_placement_charge((uint32_t)lane->mean_cost);
		adjust(lane, slot, work_class, 0, 1);
	} else {
		replica->pool->peers[slot].unseen_open++;
	}
	node_send_by(this, slot, now);
}

static void forget_grant(unsigned int slot, const grant_record_t *record)
{
	replica_t *replica = record->replica;
	lane_t *lane = record->lane;
	uint32_t charge;

	if (replica->unseen[slot])
		count_unseen(replica, slot, -1);
	if (!lane) {
		pool_peer_t *peer = &replica->pool->peers[slot];

		peer->unseen_open -= peer->unseen_open > 0;
		return;
	}
	if (record->work_class == WORK_LONG && replica->unseen_long)
		replica->unseen_long--;
	charge = share_placement_charge((uint32_t)lane->mean_cost);
	lane->provisional -= charge < lane->provisional ? charge : lane->provisional;
	if (lane->demand[slot].unseen[record->work_class])
		adjust(lane, slot, record->work_class, 0, -1);
}

void owner_acknowledge(node_t *this, unsigned int slot, uint64_t seq)
{
	peer_t *peer = this->peers[slot];

	while (peer->grants.count) {
		grant_record_t *record = &peer->grants.entry[peer->grants.first];

		if (record->seq > seq)
			return;
		forget_grant(slot, record);
		peer->grants.first = (peer->grants.first + 1) % GRANT_LOG_SIZE;
		peer->grants.count--;
	}
}

/* What the peer told and was told; what is asked of it is taken back by router_ask(). */
static void forget_pool_peer(pool_peer_t *peer)
{
	peer->waiting = 0;
	peer->contended = false;
	peer->told_contended = false;
	peer->told_waiting = 0;
	peer->unseen_open = 0;
}

void owner_forget(node_t *this, unsigned int slot)
{
	static const uint32_t none[WORK_CLASSES];
	static const hold_entry_t no_hold;

	owner_acknowledge(this, slot, UINT64_MAX);
	this->peers[slot]->pending_count = 0;
	for (unsigned int i = 0; i < this->replica_count; i++) {
		owner_set_hold(this->replicas[i], slot, &no_hold);
		count_unseen(this->replicas[i], slot, -(int)this->replicas[i]->unseen[slot]);
	}
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			if (pool->lanes[w] && pool->lanes[w]->demand) {
				owner_set_wanted(this, pool->lanes[w], slot, none);
				owner_set_backlogged(pool->lanes[w], slot, false);
			}
		}
		forget_pool_peer(&pool->peers[slot]);
	}
}

static void grant_wanted(node_t *this, pool_t *pool, instant_t now)
{
	for (;;) {
		owned_t owned = count_owned(this, pool, now);
		work_class_t work_class = WORK_SHORT;
		replica_t *replica = freest(this, pool, now);
		lane_t *lane;
		int slot;

		if (!replica)
			return;
		lane = share_next(pool, true, long_allowed(pool, &owned), &work_class);
		if (!lane)
			return;
		slot = next_router(this, lane, work_class);
		if (slot < 0 || (slot && !has_room(this->peers[slot])))
			return;
		share_advance(lane);
		give(this, (unsigned int)slot, replica, lane, work_class, now);
	}
}

static unsigned int lent_to(const pool_t *pool, unsigned int slot)
{
	return pool->peers[slot].unseen_open + pool->peers[slot].idle;
}

/* Slots that nobody asks for stand ready at the routers, so that a request need not ask. */
static void lend(node_t *this, pool_t *pool, instant_t now)
{
	owned_t owned = count_owned(this, pool, now);
	unsigned int allowance = node_standing_slots(this, owned.slots);
	unsigned int reserve = owned.slots / LEND_RESERVE_DIVISOR;

	for (unsigned int slot = 0; slot < this->members.count; slot++) {
		const member_t *member = &this->members.list[slot];

		if (!member_is_alive(member) || member->stopping)
			continue;
		for (unsigned int lent = lent_to(pool, slot); lent < allowance; lent++) {
			replica_t *replica = owned.free > reserve ? freest(this, pool, now) : NULL;

			if (!replica || (slot && !has_room(this->peers[slot])))
				return;
			give(this, slot, replica, NULL, WORK_SHORT, now);
			owned.free--;
		}
	}
}

/* Routers hear when others begin and cease to wait for slots that this one owns. */
static void tell_contended(node_t *this, pool_t *pool, instant_t now)
{
	for (unsigned int slot = 1; slot < this->members.count; slot++) {
		bool contended = pool_is_contended_for(pool, slot);

		if (pool->peers[slot].told_contended == contended ||
			!member_is_alive(&this->members.list[slot]))
			continue;
		node_send_by(this, slot, contended ? now : now + CLEAR_DELAY);
	}
	if (pool_is_contended_for(pool, 0))
		router_give_back_idle(this, pool, 0, now);
}

/* More slots of a replica are out than its limit allows: those that come free are wanted back. */
static bool is_overdrawn(const node_t *this, const pool_t *pool, instant_t now)
{
	for (unsigned int i = 0; i < pool->replica_count; i++) {
		const replica_t *replica = pool->replicas[i];

		if (!replica->owner && replica->out > node_replica_limit(this, replica, now))
			return true;
	}
	return false;
}

void owner_pump(node_t *this, pool_t *pool, instant_t now)
{
	if (!this->policy->has_owners)
		return;
	grant_wanted(this, pool, now);
	pool->is_overdrawn = is_overdrawn(this, pool, now);
	tell_contended(this, pool, now);
	if (pool->wanted)
		grant_wanted(this, pool, now);
	else if (!pool->is_overdrawn && this->policy->lends)
		lend(this, pool, now);
}

/* What was known of the replica's slots is forgotten with the owner. */
static void change_owner(node_t *this, replica_t *replica, unsigned int owner)
{
	static const hold_entry_t no_hold;

	for (unsigned int slot = 0; slot < this->members.count; slot++)
		owner_set_hold(replica, slot, &no_hold);
	replica->owner = owner;
}

/* Works out the owners anew; what changes hands is reported and rebuilt. */
void owner_view_changed(node_t *this, instant_t now)
{
	for (unsigned int i = 0; i < this->replica_count; i++) {
		replica_t *replica = this->replicas[i];
		unsigned int owner = members_owner(&this->members, replica->id);

		if (owner == replica->owner)
			continue;
		change_owner(this, replica, owner);
		replica->rebuild_until = now + REBUILD_TIME;
		router_report(this, replica, now);
	}
	this->owned_view = this->members.view;
}
