#include <string.h>

#include "core/node_internal.h"

/* Returns how many slots of the owner this router may hold idle in the pool. */
static unsigned int idle_allowance(const node_t *this, const pool_t *pool, unsigned int owner)
{
	unsigned int slots = 0;

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		if (pool->replicas[i]->owner == owner && !pool->replicas[i]->is_retired)
			slots += pool->replicas[i]->slots;
	}
	return node_idle_allowance(this, slots);
}

/* fleet: owners grant slots by fair share, and make open grants of slots without demand. */

static void fleet_dispatch(node_t *this, pool_t *pool, instant_t now)
{
	router_start_on_idle(this, pool, now);
	router_update_demand(this, pool, now);
	owner_dispatch(this, pool, now);
}

static void fleet_slot_freed(node_t *this, replica_t *replica, instant_t now)
{
	unsigned int idle = pool_idle_of_owner(replica->pool, replica->owner);
	bool keep = !pool_owner_is_contended(replica->pool, replica->owner) &&
		    replica_is_usable(replica, now) &&
		    idle <= idle_allowance(this, replica->pool, replica->owner);

	if (keep || !replica_idle(replica))
		router_report(this, replica, now + REPORT_DELAY);
	else
		router_return_slots(this, replica, 1, now);
}

/*
 * forward: each request is bound to one randomly chosen owner for as long as
 * that owner is alive and not stopping; owners make no open grants.
 */

static unsigned int pick_random_owner(node_t *this, const pool_t *pool, instant_t now)
{
	unsigned int start = (unsigned int)(node_random(this) % pool->replica_count);

	for (unsigned int k = 0; k < pool->replica_count; k++) {
		replica_t *replica = pool->replicas[(start + k) % pool->replica_count];

		if (replica_is_usable(replica, now))
			return replica->owner;
	}
	return 0;
}

static void bind_owner(node_t *this, node_request_t *request, instant_t now)
{
	const member_t *owner = &this->members.list[request->bound_owner];

	if (request->bound_owner != MEMBER_MAX && member_is_alive(owner) && !owner->stopping)
		return;
	request->bound_owner = pick_random_owner(this, request->lane->pool, now);
}

static void set_bound_demand(node_t *this, lane_t *lane, instant_t now)
{
	lane_demand_t *demand = lane_get_demand(lane, this->allocator, this->options.max_members);

	for (unsigned int i = 0; i < this->members.count; i++)
		memset(demand[i].outgoing, 0, sizeof(demand[i].outgoing));
	memset(lane->outgoing_count, 0, sizeof(lane->outgoing_count));
	for (int c = 0; c < WORK_CLASSES; c++) {
		node_request_t *request;

		cds_list_for_each_entry (request, &lane->waiting[c], link) {
			bind_owner(this, request, now);
			demand[request->bound_owner].outgoing[c]++;
			lane->outgoing_count[c]++;
		}
	}
	for (unsigned int i = 0; i < this->members.count; i++) {
		uint32_t incoming[WORK_CLASSES];

		for (int c = 0; c < WORK_CLASSES; c++)
			incoming[c] = demand[i].outgoing[c];
		if (!i)
			owner_set_demand(this, lane, 0, incoming);
		else if (memcmp(demand[i].outgoing, demand[i].reported_outgoing,
				 sizeof(demand[i].outgoing)))
			node_schedule_send(this, i, now + USEC_PER_MSEC);
	}
}

static void forward_dispatch(node_t *this, pool_t *pool, instant_t now)
{
	lane_t *lane;
	lane_t *after;

	cds_list_for_each_entry_safe (lane, after, &pool->pending_lanes, link) {
		if (lane_waiting(lane) || lane->demand)
			set_bound_demand(this, lane, now);
	}
	owner_dispatch(this, pool, now);
}

static void forward_slot_freed(node_t *this, replica_t *replica, instant_t now)
{
	if (replica_idle(replica))
		router_return_slots(this, replica, replica_idle(replica), now);
}

/* fixed: each router uses an even share of each replica, without owners. */

static void start_waiting(node_t *this, pool_t *pool, instant_t now,
	replica_t *(*choose)(
		node_t *this, pool_t *pool, const node_request_t *request, instant_t now))
{
	while (pool->waiting) {
		work_class_t work_class = WORK_SHORT;
		lane_t *lane = share_pick_next(pool, false, true, &work_class);
		replica_t *replica;

		if (!lane)
			return;
		replica = choose(this, pool, router_lane_head(lane, work_class), now);
		if (!replica)
			return;
		replica->held++;
		router_start(this, lane, work_class, replica, now);
	}
}

static replica_t *fixed_choose(
	node_t *this, pool_t *pool, const node_request_t *request, instant_t now)
{
	unsigned int alive = members_alive(&this->members);
	replica_t *best = NULL;

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		replica_t *replica = pool->replicas[i];
		unsigned int share = replica->slots / alive;

		if (!replica_is_usable(replica, now) || replica->busy >= (share ? share : 1))
			continue;
		if (!best || best->id == request->avoid ||
			(replica->busy < best->busy && replica->id != request->avoid))
			best = replica;
	}
	return best;
}

static void fixed_dispatch(node_t *this, pool_t *pool, instant_t now)
{
	start_waiting(this, pool, now, fixed_choose);
}

/* least: each router chooses the least loaded replica by load reports, which may be outdated. */

static replica_t *least_choose(
	node_t *this, pool_t *pool, const node_request_t *request, instant_t now)
{
	replica_t *best = NULL;
	double best_load = 0;

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		replica_t *replica = pool->replicas[i];
		unsigned int running = replica->reported_running + replica->sent_since_report;
		double load = (double)running / replica->slots;

		if (!replica_is_usable(replica, now) || running >= replica->slots)
			continue;
		if (replica->id == request->avoid)
			load += 1;
		if (!best || load < best_load) {
			best = replica;
			best_load = load;
		}
	}
	return best;
}

static void least_dispatch(node_t *this, pool_t *pool, instant_t now)
{
	start_waiting(this, pool, now, least_choose);
}

static void local_slot_freed(node_t *this, replica_t *replica, instant_t now)
{
	replica->held = replica->busy;
}

static const policy_ops_t policies[] = {
	{"fleet", fleet_dispatch, fleet_slot_freed, true, true},
	{"forward", forward_dispatch, forward_slot_freed, false, true},
	{"fixed", fixed_dispatch, local_slot_freed, false, false},
	{"least", least_dispatch, local_slot_freed, false, false},
};

const policy_ops_t *policy_find(const char *name)
{
	for (unsigned int i = 0; name && i < ARRAY_LEN(policies); i++) {
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	}
	return &policies[0];
}
