#include "core/node.h"

#include <stdlib.h>
#include <string.h>

#include "core/node_internal.h"

#define LANE_CLEANUP_INTERVAL (1 * USEC_PER_SEC)
#define IDLE_ALLOWANCE_DIVISOR 4 /* a router may hold 1/4 of its even share idle */
#define REFRESH_INTERVAL (50 * USEC_PER_MSEC)
#define RECOVERY_DURATION (3 * USEC_PER_SEC) /* for requesting counters after a start */
#define DOWN_BASE_DELAY (250 * USEC_PER_MSEC)
#define DOWN_MAX_DOUBLINGS 5
#define REFUSED_PACE_FACTOR 50 /* a refusal counts as a pace 50 times the median */
#define COST_EWMA_WEIGHT 0.1
#define MIN_COST_RATIO 0.01
#define MAX_COST_RATIO 4.0
#define DEFAULT_MAX_MEMBERS 64

/* --- actions ---------------------------------------------------------- */

void node_push_action(node_t *this, const node_action_t *action)
{
	if (this->action_count == ACTION_RING_SIZE)
		abort(); /* the embedder has not drained the actions */
	this->actions[(this->action_first + this->action_count++) % ACTION_RING_SIZE] = *action;
}

bool node_next_action(node_t *this, node_action_t *action)
{
	if (!this->action_count)
		return false;
	*action = this->actions[this->action_first];
	this->action_first = (this->action_first + 1) % ACTION_RING_SIZE;
	this->action_count--;
	return true;
}

void node_schedule_send(node_t *this, unsigned int member_index, instant_t at)
{
	this->peers[member_index]->send_at = instant_min(this->peers[member_index]->send_at, at);
}

/* xorshift64*.  Decisions depend on this sequence, so one seed always gives the same ones. */
uint64_t node_random(node_t *this)
{
	this->random ^= this->random >> 12;
	this->random ^= this->random << 25;
	this->random ^= this->random >> 27;
	return this->random * 2685821657736338717ULL >> 16;
}

/* --- creation and deletion -------------------------------------------- */

node_t *node_new(const node_options_t *options, instant_t now)
{
	const allocator_t *allocator = options->allocator ? options->allocator : &allocator_default;
	node_t *this = allocator_new(allocator, 1, sizeof(*this));

	this->allocator = allocator;
	this->options = *options;
	if (!this->options.max_members || this->options.max_members > MEMBER_MAX)
		this->options.max_members = DEFAULT_MAX_MEMBERS;
	this->policy = policy_find(options->policy);
	this->random = options->seed ? options->seed : 1;
	this->recovery_until = now + RECOVERY_DURATION;
	members_init(&this->members, allocator, options->self);
	this->peers = allocator_new(allocator, this->options.max_members, sizeof(peer_t *));
	return this;
}

static void replica_delete(const node_t *this, replica_t *replica)
{
	allocator_delete(this->allocator, replica->holds);
	allocator_delete(this->allocator, replica->unacked);
	allocator_delete(this->allocator, replica);
}

void node_delete(node_t *this)
{
	const allocator_t *allocator;

	if (!this)
		return;
	allocator = this->allocator;
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_clear(this->pools[i], allocator);
		allocator_delete(allocator, this->pools[i]);
	}
	for (unsigned int i = 0; i < this->replica_count; i++)
		replica_delete(this, this->replicas[i]);
	for (unsigned int i = 0; i < this->workspace_count; i++)
		allocator_delete(allocator, this->workspaces[i]);
	for (unsigned int i = 1; i < this->members.count; i++)
		allocator_delete(allocator, this->peers[i]);
	allocator_delete(allocator, this->pools);
	allocator_delete(allocator, this->replicas);
	allocator_delete(allocator, this->workspaces);
	allocator_delete(allocator, this->peers);
	members_clear(&this->members);
	allocator_delete(allocator, this);
}

unsigned int node_add_peer(node_t *this, id_t32 peer)
{
	unsigned int member_index;

	if (this->members.count == this->options.max_members)
		abort(); /* the embedder must not add more peers than max_members allows */
	member_index = members_add(&this->members, peer);
	if (!this->peers[member_index])
		this->peers[member_index] = allocator_new(this->allocator, 1, sizeof(peer_t));
	return member_index;
}

/* --- events other than requests --------------------------------------- */

static void dispatch(node_t *this, pool_t *pool, instant_t now)
{
	this->policy->dispatch(this, pool, now);
}

void node_dispatch_all(node_t *this, instant_t now)
{
	for (unsigned int i = 0; i < this->pool_count; i++)
		dispatch(this, this->pools[i], now);
}

void node_set_router_gone(node_t *this, id_t32 router, bool gone)
{
	int member_index = members_find(&this->members, router);

	if (member_index > 0)
		members_set_listed_gone(&this->members, (unsigned int)member_index, gone);
}

void node_set_leaving(node_t *this, id_t32 id, bool leaving, instant_t now)
{
	replica_t *replica = node_find_replica(this, id);

	if (!replica || replica->is_listed_leaving == leaving)
		return;
	replica->is_listed_leaving = leaving;
	for (unsigned int member_index = 1; leaving && member_index < this->members.count;
		member_index++)
		node_schedule_send(this, member_index, now);
	router_return_slots(this, replica, replica_idle(replica), now);
}

void node_report_load(node_t *this, id_t32 id, unsigned int running, instant_t now)
{
	replica_t *replica = node_find_replica(this, id);

	if (!replica)
		return;
	replica->reported_running = running;
	replica->sent_since_report = 0;
	dispatch(this, replica->pool, now);
}

void node_stop(node_t *this, instant_t now)
{
	this->is_stopping = true;
	members_set_stopping(&this->members, 0, true);
	for (unsigned int member_index = 1; member_index < this->members.count; member_index++)
		node_schedule_send(this, member_index, now);
	owner_update_view(this, now);
	node_dispatch_all(this, now);
}

unsigned int node_idle_allowance(const node_t *this, unsigned int slots)
{
	unsigned int allowance = slots / (IDLE_ALLOWANCE_DIVISOR * members_alive(&this->members));

	return allowance ? allowance : 1;
}

unsigned int node_replica_limit(const node_t *this, const replica_t *replica, instant_t now)
{
	unsigned int alive = members_alive(&this->members);
	unsigned int expected = members_expected(&this->members);
	unsigned int limit = concurrency_limit_slots(
		&replica->limit, replica->slots, replica->pool->median_pace);

	/*
	 * At least half of the expected routers are not alive.  They may be on the
	 * other side of a partition, where one of them owns this replica too, so
	 * grant only the alive routers' share.
	 */
	if (alive * 2 <= expected && expected > 1)
		limit = limit * alive / expected;
	return limit ? limit : 1;
}

/* --- requests --------------------------------------------------------- */

void node_submit_request(node_t *this, node_request_t *request, instant_t now)
{
	pool_t *pool = node_find_pool(this, request->pool);
	lane_t *lane = node_find_lane(this, request->pool, request->workspace);

	this->stats.arrived++;
	request->arrived = now;
	request->lane = lane;
	request->bound_owner = MEMBER_MAX;
	if (!lane || !pool_has_replica(pool, now)) {
		router_reject(this, request, REASON_NO_ENDPOINT, 1);
		return;
	}
	if (router_is_overloaded(lane, request, now)) {
		router_reject(this, request, REASON_OVERLOADED, router_retry_after(lane, now));
		return;
	}
	router_enqueue(request);
	dispatch(this, pool, now);
}

void node_report_progress(
	node_t *this, node_request_t *request, uint32_t cost, double pace, instant_t now)
{
	replica_t *replica = request->replica;

	concurrency_limit_observe(&replica->limit, pace, now);
	if (cost > request->charged) {
		share_charge(request->lane, (int64_t)cost - request->charged);
		request->charged = cost;
	}
	if (request->work_class != WORK_LONG && cost > request->lane->pool->long_cost) {
		request->work_class = WORK_LONG;
		replica->busy_long++;
	}
}

static void update_cost_estimates(lane_t *lane, const node_request_t *request, uint32_t cost)
{
	double ratio = request->hint ? (double)cost / request->hint : lane->cost_ratio;

	lane->mean_cost += COST_EWMA_WEIGHT * (cost - lane->mean_cost);
	lane->cost_ratio += COST_EWMA_WEIGHT * (ratio - lane->cost_ratio);
	if (lane->cost_ratio < MIN_COST_RATIO)
		lane->cost_ratio = MIN_COST_RATIO;
	if (lane->cost_ratio > MAX_COST_RATIO)
		lane->cost_ratio = MAX_COST_RATIO;
}

/*
 * Takes a replica out of service after a refusal, and after each failure in a row
 * from the second on; the delay doubles with each failure, up to DOWN_MAX_DOUBLINGS times.
 */
static void update_health(replica_t *replica, request_end_t kind, instant_t now)
{
	unsigned int doublings;

	if (kind == END_DONE)
		replica->failures = 0;
	if (kind != END_REFUSED && kind != END_BROKEN)
		return;
	doublings = replica->failures < DOWN_MAX_DOUBLINGS ? replica->failures : DOWN_MAX_DOUBLINGS;
	replica->failures++;
	if (kind == END_REFUSED || replica->failures > 1)
		replica->down_until = now + (DOWN_BASE_DELAY << doublings);
	if (kind == END_REFUSED)
		concurrency_limit_observe(
			&replica->limit, REFUSED_PACE_FACTOR * replica->pool->median_pace, now);
}

void node_end_request(
	node_t *this, node_request_t *request, request_end_t kind, uint32_t cost, instant_t now)
{
	replica_t *replica = request->replica;
	lane_t *lane = request->lane;

	if (kind == END_REFUSED)
		cost = 0;
	share_charge(lane, (int64_t)cost - request->charged);
	if (kind == END_DONE)
		update_cost_estimates(lane, request, cost);
	update_health(replica, kind, now);
	replica->busy--;
	replica->busy_long -= request->work_class == WORK_LONG;
	this->running--;
	request->state = REQUEST_FINISHED;
	this->policy->slot_freed(this, replica, now);
	dispatch(this, replica->pool, now);
}

void node_cancel_request(node_t *this, node_request_t *request, instant_t now)
{
	if (request->state != REQUEST_WAITING)
		return;
	router_dequeue(request);
	request->state = REQUEST_FINISHED;
	dispatch(this, request->lane->pool, now);
}

/* --- timers ----------------------------------------------------------- */

static bool lane_is_reported(const node_t *this, const lane_t *lane)
{
	for (unsigned int i = 1; i < this->members.count; i++) {
		const lane_demand_t *demand = lane->demand ? &lane->demand[i] : NULL;

		if (!member_is_alive(&this->members.list[i]))
			continue;
		if (lane->peers[i].reported_served != (uint32_t)lane->own_served)
			return false;
		if (demand && (demand->reported_backlogged ||
				      memcmp(demand->outgoing, demand->reported_outgoing,
					      sizeof(demand->outgoing))))
			return false;
	}
	return true;
}

/* Removes the idle lanes whose state all alive peers have been sent. */
static void remove_reported_lanes(node_t *this, pool_t *pool)
{
	lane_t *lane;
	lane_t *after;

	cds_list_for_each_entry_safe (lane, after, &pool->pending_lanes, link) {
		if (!lane->is_active && lane_is_reported(this, lane))
			lane_remove_pending(lane);
	}
}

static void refresh_pool(node_t *this, pool_t *pool, instant_t now)
{
	lane_t *lane;

	pool_update_pace(pool);
	cds_list_for_each_entry (lane, &pool->pending_lanes, link)
		share_clamp_level(lane);
	dispatch(this, pool, now);
}

static void tick_members(node_t *this, instant_t now)
{
	bool was_alive[MEMBER_MAX] = {false};

	for (unsigned int i = 0; i < this->members.count; i++)
		was_alive[i] = member_is_alive(&this->members.list[i]);
	members_tick(&this->members, now);
	for (unsigned int i = 1; i < this->members.count; i++) {
		if (was_alive[i] && !member_is_alive(&this->members.list[i]))
			owner_forget_peer(this, i);
	}
	if (this->owned_view != this->members.view)
		owner_update_view(this, now);
}

static instant_t tick_peers(node_t *this, instant_t now)
{
	instant_t next = INSTANT_NEVER;

	for (unsigned int i = 1; i < this->members.count; i++) {
		node_action_t action = {.kind = ACTION_SEND, .slot = i};
		peer_t *peer = this->peers[i];

		if (peer->send_queued)
			continue;
		if (peer->send_at > now) {
			next = instant_min(next, peer->send_at);
			continue;
		}
		peer->send_queued = true;
		node_push_action(this, &action);
	}
	return next;
}

void node_connection_lost(node_t *this, unsigned int member_index, instant_t now)
{
	members_connection_lost(&this->members, member_index, now);
	node_schedule_send(this, member_index, now);
}

instant_t node_tick(node_t *this, instant_t now)
{
	instant_t next = now + REFRESH_INTERVAL;

	if (now >= this->next_refresh) {
		this->next_refresh = now + REFRESH_INTERVAL;
		tick_members(this, now);
		for (unsigned int i = 0; i < this->pool_count; i++)
			refresh_pool(this, this->pools[i], now);
	}
	if (now >= this->next_lane_cleanup) {
		this->next_lane_cleanup = now + LANE_CLEANUP_INTERVAL;
		for (unsigned int i = 0; i < this->pool_count; i++)
			remove_reported_lanes(this, this->pools[i]);
	}
	for (unsigned int i = 0; i < this->pool_count; i++)
		router_expire(this, this->pools[i], now, &next);
	return instant_min(next, tick_peers(this, now));
}

/* --- inspection ------------------------------------------------------- */

unsigned int node_waiting(const node_t *this)
{
	unsigned int waiting = 0;

	for (unsigned int i = 0; i < this->pool_count; i++)
		waiting += this->pools[i]->waiting;
	return waiting;
}

unsigned int node_running(const node_t *this)
{
	return this->running;
}

const node_stats_t *node_stats(const node_t *this)
{
	return &this->stats;
}

const members_t *node_members(const node_t *this)
{
	return &this->members;
}

uint64_t node_known_version(const node_t *this)
{
	return this->known_version;
}

void node_each_lane(const node_t *this,
	void (*each)(void *ctx, id_t32 pool, id_t32 workspace, double level, unsigned int waiting),
	void *ctx)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		const pool_t *pool = this->pools[i];

		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			const lane_t *lane = pool->lanes[w];

			if (lane)
				each(ctx, pool->id, lane->workspace->id, share_level(lane),
					lane_waiting(lane));
		}
	}
}
