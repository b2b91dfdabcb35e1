#include <string.h>

#include "core/node_internal.h"

static unsigned int kept_idle(const node_t *this, const pool_t *pool, unsigned int owner)
{
	unsigned int slots = 0;

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		if (pool->replicas[i]->owner == owner && !pool->replicas[i]->is_retired)
			slots += pool->replicas[i]->slots;
	}
	return node_standing_slots(this, slots);
}

/* fleet: owners grant to the least served, and lend what nobody asks for. */

static void fleet_pump(node_t *this, pool_t *pool, instant_t now)
{
	router_use_idle(this, pool, now);
	router_ask(this, pool, now);
	owner_pump(this, pool, now);
}

static void fleet_freed(node_t *this, replica_t *replica, instant_t now)
{
	unsigned int idle = pool_idle_of_owner(replica->pool, replica->owner);
	bool keep = !pool_owner_is_contended(replica->pool, replica->owner) &&
		    replica_is_usable(replica, now) &&
		    idle <= kept_idle(this, replica->pool, replica->owner);

	if (keep || !replica_idle(replica))
		router_report(this, replica, now + REPORT_DELAY);
	else
		router_give_back(this, replica, 1, now);
}

/* forward: a request is bound to one owner for good; nothing is lent. */

static unsigned int draw_owner(node_t *this, const pool_t *pool, instant_t now)
{
	unsigned int start = (unsigned int)(node_random(this) % pool->replica_count);

	for (unsigned int k = 0; k < pool->replica_count; k++) {
		replica_t *replica = pool->replicas[(start + k) % pool->replica_count];

		if (replica_is_usable(replica, now))
			return replica->owner;
	}
	return 0;
}

static void bind(node_t *this, node_request_t *request, instant_t now)
{
	const member_t *owner = &this->members.list[request->bound_owner];

	if (request->bound_owner != MEMBER_MAX && member_is_alive(owner) && !owner->stopping)
		return;
	request->bound_owner = draw_owner(this, request->lane->pool, now);
}

static void ask_bound(node_t *this, lane_t *lane, instant_t now)
{
	lane_demand_t *demand = lane_demand(lane, this->allocator, this->options.max_members);

	for (unsigned int i = 0; i < this->members.count; i++)
		memset(demand[i].asked, 0, sizeof(demand[i].asked));
	memset(lane->asked_count, 0, sizeof(lane->asked_count));
	for (int c = 0; c < WORK_CLASSES; c++) {
		node_request_t *request;

		cds_list_for_each_entry (request, &lane->waiting[c], link) {
			bind(this, request, now);
			demand[request->bound_owner].asked[c]++;
			lane->asked_count[c]++;
		}
	}
	for (unsigned int i = 0; i < this->members.count; i++) {
		uint32_t wanted[WORK_CLASSES];

		for (int c = 0; c < WORK_CLASSES; c++)
			wanted[c] = demand[i].asked[c];
		if (!i)
			owner_set_wanted(this, lane, 0, wanted);
		else if (memcmp(demand[i].asked, demand[i].told_asked, sizeof(demand[i].asked)))
			node_send_by(this, i, now + USEC_PER_MSEC);
	}
}

static void forward_pump(node_t *this, pool_t *pool, instant_t now)
{
	lane_t *lane;
	lane_t *after;

	cds_list_for_each_entry_safe (lane, after, &pool->listed, link) {
		if (lane_waiting(lane) || lane->demand)
			ask_bound(this, lane, now);
	}
	owner_pump(this, pool, now);
}

static void forward_freed(node_t *this, replica_t *replica, instant_t now)
{
	if (replica_idle(replica))
		router_give_back(this, replica, replica_idle(replica), now);
}

/* fixed: every router uses an even share of every replica. */

static void start_while(node_t *this, pool_t *pool, instant_t now,
	replica_t *(*choose)(
		node_t *this, pool_t *pool, const node_request_t *request, instant_t now))
{
	while (pool->waiting) {
		work_class_t work_class = WORK_SHORT;
		lane_t *lane = share_next(pool, false, true, &work_class);
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

static void fixed_pump(node_t *this, pool_t *pool, instant_t now)
{
	start_while(this, pool, now, fixed_choose);
}

/* least: the replica that the late load reports show as least loaded. */

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

static void least_pump(node_t *this, pool_t *pool, instant_t now)
{
	start_while(this, pool, now, least_choose);
}

static void local_freed(node_t *this, replica_t *replica, instant_t now)
{
	replica->held = replica->busy;
}

static const policy_ops_t policies[] = {
	{"fleet", fleet_pump, fleet_freed, true, true},
	{"forward", forward_pump, forward_freed, false, true},
	{"fixed", fixed_pump, local_freed, false, false},
	{"least", least_pump, local_freed, false, false},
};

const policy_ops_t *policy_find(const char *name)
{
	for (unsigned int i = 0; name && i < ARRAY_LEN(policies); i++) {
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	}
	return &policies[0];
}
