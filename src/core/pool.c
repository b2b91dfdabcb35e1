#include "core/pool.h"

#include <string.h>

#define INITIAL_COST 50.0
#define MEDIAN_SAMPLES 64

void pool_add_replica(pool_t *this, const allocator_t *allocator, replica_t *replica)
{
	if (this->replica_count == this->replica_capacity) {
		unsigned int to = this->replica_capacity ? this->replica_capacity * 2 : 8;

		this->replicas = allocator_grow(
			allocator, this->replicas, this->replica_count, to, sizeof(replica_t *));
		this->replica_capacity = to;
	}
	replica->pool = this;
	this->replicas[this->replica_count++] = replica;
}

static lane_t *lane_new(pool_t *pool, const allocator_t *allocator, workspace_share_t *workspace,
	unsigned int members)
{
	lane_t *this = allocator_new(allocator, 1, sizeof(*this));

	this->pool = pool;
	this->workspace = workspace;
	this->mean_cost = INITIAL_COST;
	this->cost_ratio = 1.0;
	for (int c = 0; c < WORK_CLASSES; c++)
		CDS_INIT_LIST_HEAD(&this->waiting[c]);
	this->peers = allocator_new(allocator, members, sizeof(*this->peers));
	return this;
}

lane_demand_t *lane_get_demand(lane_t *this, const allocator_t *allocator, unsigned int members)
{
	if (!this->demand)
		this->demand = allocator_new(allocator, members, sizeof(*this->demand));
	return this->demand;
}

static void lane_delete(lane_t *this, const allocator_t *allocator)
{
	allocator_delete(allocator, this->peers);
	allocator_delete(allocator, this->demand);
	allocator_delete(allocator, this);
}

lane_t *pool_lane(pool_t *this, const allocator_t *allocator, workspace_share_t *workspace,
	unsigned int members)
{
	unsigned int index = workspace->index;

	if (index >= this->lane_capacity) {
		unsigned int to = index + 16;

		this->lanes = allocator_grow(
			allocator, this->lanes, this->lane_capacity, to, sizeof(lane_t *));
		this->lane_capacity = to;
	}
	if (!this->lanes[index])
		this->lanes[index] = lane_new(this, allocator, workspace, members);
	return this->lanes[index];
}

void pool_clear(pool_t *this, const allocator_t *allocator)
{
	for (unsigned int i = 0; i < this->lane_capacity; i++) {
		if (this->lanes[i])
			lane_delete(this->lanes[i], allocator);
	}
	allocator_delete(allocator, this->lanes);
	allocator_delete(allocator, this->replicas);
	allocator_delete(allocator, this->peers);
}

bool replica_is_usable(const replica_t *this, instant_t now)
{
	return !this->is_retired && !replica_is_leaving(this, now) && now >= this->down_until;
}

bool replica_is_leaving(const replica_t *this, instant_t now)
{
	return this->is_listed_leaving || now < this->reported_leaving_until;
}

bool pool_has_replica(const pool_t *this, instant_t now)
{
	for (unsigned int i = 0; i < this->replica_count; i++) {
		if (!this->replicas[i]->is_retired && !replica_is_leaving(this->replicas[i], now))
			return true;
	}
	return false;
}

unsigned int replica_idle(const replica_t *this)
{
	return this->held > this->busy ? this->held - this->busy : 0;
}

void pool_update_pace(pool_t *this)
{
	double sorted[MEDIAN_SAMPLES];
	unsigned int n = 0;

	for (unsigned int i = 0; i < this->replica_count && n < MEDIAN_SAMPLES; i++) {
		double pace = this->replicas[i]->limit.pace;
		unsigned int at = n;

		if (pace <= 0 || this->replicas[i]->is_retired)
			continue;
		for (; at && sorted[at - 1] > pace; at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = pace;
		n++;
	}
	this->median_pace = n ? sorted[(n - 1) / 2] : 0;
}

static unsigned int sum_classes(const unsigned int counts[WORK_CLASSES])
{
	unsigned int sum = 0;

	for (int c = 0; c < WORK_CLASSES; c++)
		sum += counts[c];
	return sum;
}

unsigned int lane_waiting(const lane_t *this)
{
	return sum_classes(this->waiting_count);
}

unsigned int lane_incoming(const lane_t *this)
{
	return sum_classes(this->incoming_count);
}

bool lane_is_backlogged(const lane_t *this)
{
	return lane_waiting(this) || lane_incoming(this) || this->backlogged_routers;
}

void lane_add_pending(lane_t *this)
{
	if (this->is_pending)
		return;
	this->is_pending = true;
	cds_list_add_tail(&this->link, &this->pool->pending_lanes);
}

void lane_remove_pending(lane_t *this)
{
	if (!this->is_pending)
		return;
	this->is_pending = false;
	cds_list_del(&this->link);
}

bool pool_is_contended_for(const pool_t *this, unsigned int member_index)
{
	return this->is_over_limit || this->incoming > this->peers[member_index].incoming;
}

bool pool_owner_is_contended(const pool_t *this, unsigned int owner)
{
	return owner ? this->peers[owner].contended : pool_is_contended_for(this, 0);
}

unsigned int pool_idle_of_owner(const pool_t *this, unsigned int owner)
{
	unsigned int idle = 0;

	for (unsigned int i = 0; i < this->replica_count; i++) {
		if (this->replicas[i]->owner == owner)
			idle += replica_idle(this->replicas[i]);
	}
	return idle;
}
