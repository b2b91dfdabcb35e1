#include <string.h>

#include "core/node_internal.h"

/* --- lookup ----------------------------------------------------------- */

pool_t *node_find_pool(const node_t *this, id_t32 id)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		if (this->pools[i]->id == id)
			return this->pools[i];
	}
	return NULL;
}

/* Returns the position of `id` in the sorted list of replicas, or where to insert it. */
static unsigned int replica_position(const node_t *this, id_t32 id)
{
	unsigned int low = 0;
	unsigned int high = this->replica_count;

	while (low < high) {
		unsigned int middle = (low + high) / 2;

		if (this->replicas[middle]->id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

replica_t *node_find_replica(const node_t *this, id_t32 id)
{
	unsigned int at = replica_position(this, id);

	if (at < this->replica_count && this->replicas[at]->id == id)
		return this->replicas[at];
	return NULL;
}

static unsigned int workspace_position(const node_t *this, id_t32 id)
{
	unsigned int low = 0;
	unsigned int high = this->workspace_count;

	while (low < high) {
		unsigned int middle = (low + high) / 2;

		if (this->workspaces[middle]->id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

workspace_share_t *node_find_workspace(const node_t *this, id_t32 id)
{
	unsigned int at = workspace_position(this, id);

	if (at < this->workspace_count && this->workspaces[at]->id == id)
		return this->workspaces[at];
	return NULL;
}

lane_t *node_find_lane(node_t *this, id_t32 pool_id, id_t32 workspace_id)
{
	pool_t *pool = node_find_pool(this, pool_id);
	workspace_share_t *workspace = node_find_workspace(this, workspace_id);

	if (!pool || !workspace)
		return NULL;
	return pool_lane(pool, this->allocator, workspace, this->options.max_members);
}

/* --- the plan --------------------------------------------------------- */

/* Inserts `item` at position `at` of a list of pointers; returns the reallocated list. */
static void *insert_at(
	const node_t *this, void *list, unsigned int count, unsigned int at, void *item)
{
	void **grown =
		allocator_grow(this->allocator, list, count, (size_t)count + 1, sizeof(void *));

	memmove(grown + at + 1, grown + at, (count - at) * sizeof(void *));
	grown[at] = item;
	return grown;
}

static void set_workspace(node_t *this, const plan_workspace_t *plan)
{
	workspace_share_t *workspace = node_find_workspace(this, plan->id);

	if (!workspace) {
		workspace = allocator_new(this->allocator, 1, sizeof(*workspace));
		workspace->id = plan->id;
		workspace->index = this->workspace_count;
		this->workspaces = insert_at(this, this->workspaces, this->workspace_count,
			workspace_position(this, plan->id), workspace);
		this->workspace_count++;
	}
	workspace->weight = plan->weight;
}

static void set_pool(node_t *this, const plan_pool_t *plan)
{
	pool_t *pool = node_find_pool(this, plan->id);

	if (!pool) {
		pool = allocator_new(this->allocator, 1, sizeof(*pool));
		pool->id = plan->id;
		CDS_INIT_LIST_HEAD(&pool->pending_lanes);
		pool->peers = allocator_new(
			this->allocator, this->options.max_members, sizeof(*pool->peers));
		this->pools =
			insert_at(this, this->pools, this->pool_count, this->pool_count, pool);
		this->pool_count++;
	}
	pool->long_cost = plan->long_cost;
	pool->long_share = plan->long_share;
	pool->is_retired = false;
}

static replica_t *replica_new(node_t *this, id_t32 id)
{
	replica_t *replica = allocator_new(this->allocator, 1, sizeof(*replica));

	replica->id = id;
	replica->holds =
		allocator_new(this->allocator, this->options.max_members, sizeof(*replica->holds));
	replica->unacked = allocator_new(
		this->allocator, this->options.max_members, sizeof(*replica->unacked));
	replica->owner = MEMBER_MAX;
	return replica;
}

static void set_replica(node_t *this, const plan_replica_t *plan)
{
	replica_t *replica = node_find_replica(this, plan->id);
	pool_t *pool = node_find_pool(this, plan->pool);

	if (!pool)
		return;
	if (!replica) {
		replica = replica_new(this, plan->id);
		this->replicas = insert_at(this, this->replicas, this->replica_count,
			replica_position(this, plan->id), replica);
		this->replica_count++;
		pool_add_replica(pool, this->allocator, replica);
	}
	replica->slots = plan->slots;
	replica->is_retired = false;
}

void node_set_plan(node_t *this, const plan_t *plan, instant_t now)
{
	if (plan->version < this->plan_version)
		return;
	for (unsigned int i = 0; i < this->pool_count; i++)
		this->pools[i]->is_retired = true;
	for (unsigned int i = 0; i < this->replica_count; i++)
		this->replicas[i]->is_retired = true;
	for (unsigned int i = 0; i < this->workspace_count; i++)
		this->workspaces[i]->weight = 0;
	for (unsigned int i = 0; i < plan->workspace_count; i++)
		set_workspace(this, &plan->workspaces[i]);
	for (unsigned int i = 0; i < plan->pool_count; i++)
		set_pool(this, &plan->pools[i]);
	for (unsigned int i = 0; i < plan->replica_count; i++)
		set_replica(this, &plan->replicas[i]);
	this->plan_version = plan->version;
	if (plan->version > this->known_version)
		this->known_version = plan->version;
	owner_update_view(this, now);
	node_dispatch_all(this, now);
}
