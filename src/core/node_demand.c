#include "core/node_internal.h"

#define DEMAND_DELAY (1 * USEC_PER_MSEC) /* batches changes of demand into one message */
/*
 * Demand for a few short requests is sent to two owners per request, so that
 * the request starts on the first slot that either of them grants.
 */
#define DUPLICATE_MAX_WAITING 2
#define DUPLICATE_OWNERS 2
#define MAX_DEMAND_PER_LANE 64
#define CONTENDED_LOAD_FACTOR 4.0

/* Load of one owner, as far as this router knows. */
typedef struct owner_load {
	unsigned int slots;    /* of its usable replicas */
	unsigned int outgoing; /* demand that this router has at the owner */
	bool contended;
} owner_load_t;

static void collect_owner_loads(node_t *this, pool_t *pool, owner_load_t *owners, instant_t now)
{
	for (unsigned int i = 0; i < this->members.count; i++)
		owners[i] = (owner_load_t){
			.outgoing = pool->peers[i].outgoing,
			.contended = pool_owner_is_contended(pool, i),
		};
	for (unsigned int i = 0; i < pool->replica_count; i++) {
		replica_t *replica = pool->replicas[i];

		if (replica_is_usable(replica, now) &&
			this->members.list[replica->owner].state == MEMBER_ALIVE)
			owners[replica->owner].slots += replica->slots;
	}
}

/* Returns the owner's load per slot with `more` additional requests. */
static double relative_load(const owner_load_t *owner, unsigned int more)
{
	double load = (double)(owner->outgoing + more) / owner->slots;

	return owner->contended ? load * CONTENDED_LOAD_FACTOR : load;
}

/* Returns the owner with the lowest load after one more request, or -1 if none has slots. */
static int least_loaded_owner(node_t *this, const owner_load_t *owners)
{
	unsigned int start = (unsigned int)(node_random(this) % this->members.count);
	int best = -1;

	for (unsigned int k = 0; k < this->members.count; k++) {
		unsigned int i = (start + k) % this->members.count;

		if (!owners[i].slots)
			continue;
		if (best < 0 || relative_load(&owners[i], 1) < relative_load(&owners[best], 1))
			best = (int)i;
	}
	return best;
}

/*
 * Returns the owner with the highest load among those where the lane has
 * demand; an owner without slots comes first.  -1 if the lane has no demand.
 */
static int most_loaded_owner(
	node_t *this, const lane_t *lane, work_class_t c, const owner_load_t *owners)
{
	int best = -1;

	for (unsigned int i = 0; i < this->members.count; i++) {
		if (!lane->demand[i].outgoing[c])
			continue;
		if (!owners[i].slots)
			return (int)i;
		if (best < 0 || relative_load(&owners[i], 0) > relative_load(&owners[best], 0))
			best = (int)i;
	}
	return best;
}

/* Sends changed demand to the owner; if this router is the owner, applies it at once. */
static void report_demand(node_t *this, lane_t *lane, unsigned int member_index, instant_t now)
{
	lane_demand_t *demand = &lane->demand[member_index];
	uint32_t incoming[WORK_CLASSES];

	for (int c = 0; c < WORK_CLASSES; c++)
		incoming[c] = demand->outgoing[c];
	if (member_index)
		node_schedule_send(this, member_index, now + DEMAND_DELAY);
	else
		owner_set_demand(this, lane, 0, incoming);
}

static void count_outgoing(lane_t *lane, work_class_t c, unsigned int member_index, int step)
{
	lane->demand[member_index].outgoing[c] =
		(uint16_t)(lane->demand[member_index].outgoing[c] + step);
	lane->outgoing_count[c] += (unsigned int)step;
	lane->pool->peers[member_index].outgoing += (unsigned int)step;
}

static void change_demand(node_t *this, lane_t *lane, work_class_t c, owner_load_t *owners,
	int member_index, int step, instant_t now)
{
	count_outgoing(lane, c, (unsigned int)member_index, step);
	owners[member_index].outgoing += (unsigned int)step;
	report_demand(this, lane, (unsigned int)member_index, now);
}

static void update_lane_demand(
	node_t *this, lane_t *lane, work_class_t c, owner_load_t *owners, instant_t now)
{
	unsigned int want = lane->waiting_count[c];
	unsigned int outgoing;
	int from;
	int to;

	if (c == WORK_SHORT && want <= DUPLICATE_MAX_WAITING)
		want *= DUPLICATE_OWNERS;
	if (want > MAX_DEMAND_PER_LANE)
		want = MAX_DEMAND_PER_LANE;
	if (!want && !lane->outgoing_count[c])
		return;
	lane_get_demand(lane, this->allocator, this->options.max_members);
	outgoing = lane->outgoing_count[c];
	for (; outgoing > want; outgoing--) {
		from = most_loaded_owner(this, lane, c, owners);
		change_demand(this, lane, c, owners, from, -1, now);
	}
	for (; outgoing < want; outgoing++) {
		to = least_loaded_owner(this, owners);
		if (to < 0)
			return;
		change_demand(this, lane, c, owners, to, 1, now);
	}
	/*
	 * Move one unit from a contended owner to one that is not contended, or away
	 * from an owner without slots.
	 */
	from = most_loaded_owner(this, lane, c, owners);
	to = least_loaded_owner(this, owners);
	if (from < 0 || to < 0 || from == to)
		return;
	if (owners[from].slots && (owners[to].contended || !owners[from].contended))
		return;
	change_demand(this, lane, c, owners, from, -1, now);
	change_demand(this, lane, c, owners, to, 1, now);
}

void router_update_demand(node_t *this, pool_t *pool, instant_t now)
{
	owner_load_t owners[MEMBER_MAX] = {0};
	lane_t *lane;

	if (cds_list_empty(&pool->pending_lanes))
		return;
	collect_owner_loads(this, pool, owners, now);
	cds_list_for_each_entry (lane, &pool->pending_lanes, link) {
		for (int c = 0; c < WORK_CLASSES; c++)
			update_lane_demand(this, lane, (work_class_t)c, owners, now);
	}
}

void router_decrement_demand(
	node_t *this, lane_t *lane, work_class_t c, unsigned int from, instant_t now)
{
	lane_demand_t *demand = lane_get_demand(lane, this->allocator, this->options.max_members);

	if (demand[from].outgoing[c])
		count_outgoing(lane, c, from, -1);
	if (!from)
		report_demand(this, lane, 0, now);
}
