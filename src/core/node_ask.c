#include "core/node_internal.h"

#define ASK_DELAY (1 * USEC_PER_MSEC)
/* A few short requests ask two owners each, for whichever has a free slot first. */
#define FEW_WAITING 2
#define SHORT_ASKS 2
#define MAX_ASKED_PER_LANE 64
#define CONTENDED_PENALTY 4.0

/* What router_ask() weighs for each owner. */
typedef struct owner_view {
	unsigned int slots;
	unsigned int asked;
	bool contended;
} owner_view_t;

static void view_owners(node_t *this, pool_t *pool, owner_view_t *owners, instant_t now)
{
	for (unsigned int i = 0; i < this->members.count; i++)
		owners[i] = (owner_view_t){
			.asked = pool->peers[i].asked,
			.contended = pool_owner_is_contended(pool, i),
		};
	for (unsigned int i = 0; i < pool->replica_count; i++) {
		replica_t *replica = pool->replicas[i];

		if (replica_is_usable(replica, now) &&
			this->members.list[replica->owner].state == MEMBER_ALIVE)
			owners[replica->owner].slots += replica->slots;
	}
}

static double owner_burden(const owner_view_t *owner, unsigned int more)
{
	double burden = (double)(owner->asked + more) / owner->slots;

	return owner->contended ? burden * CONTENDED_PENALTY : burden;
}

/* The owner where one more request would wait least, -1 when there is none. */
static int least_burdened(node_t *this, const owner_view_t *owners)
{
	unsigned int start = (unsigned int)(node_random(this) % this->members.count);
	int best = -1;

	for (unsigned int k = 0; k < this->members.count; k++) {
		unsigned int i = (start + k) % this->members.count;

		if (!owners[i].slots)
			continue;
		if (best < 0 || owner_burden(&owners[i], 1) < owner_burden(&owners[best], 1))
			best = (int)i;
	}
	return best;
}

/* The owner where an ask of the lane is worth least, -1 when it asks nowhere. */
static int most_burdened(
	node_t *this, const lane_t *lane, work_class_t c, const owner_view_t *owners)
{
	int best = -1;

	for (unsigned int i = 0; i < this->members.count; i++) {
		if (!lane->demand[i].asked[c])
			continue;
		if (!owners[i].slots)
			return (int)i;
		if (best < 0 || owner_burden(&owners[i], 0) > owner_burden(&owners[best], 0))
			best = (int)i;
	}
	return best;
}

/* Passes on what changed at the owner in `slot`; the own owner side hears at once. */
static void tell_asked(node_t *this, lane_t *lane, unsigned int slot, instant_t now)
{
	lane_demand_t *demand = &lane->demand[slot];
	uint32_t wanted[WORK_CLASSES];

	for (int c = 0; c < WORK_CLASSES; c++)
		wanted[c] = demand->asked[c];
	if (slot)
		node_send_by(this, slot, now + ASK_DELAY);
	else
		owner_set_wanted(this, lane, 0, wanted);
}

static void count_ask(lane_t *lane, work_class_t c, unsigned int slot, int step)
{
	lane->demand[slot].asked[c] = (uint16_t)(lane->demand[slot].asked[c] + step);
	lane->asked_count[c] += (unsigned int)step;
	lane->pool->peers[slot].asked += (unsigned int)step;
}

static void move_ask(node_t *this, lane_t *lane, work_class_t c, owner_view_t *owners, int slot,
	int step, instant_t now)
{
	count_ask(lane, c, (unsigned int)slot, step);
	owners[slot].asked += (unsigned int)step;
	tell_asked(this, lane, (unsigned int)slot, now);
}

static void ask_for_lane(
	node_t *this, lane_t *lane, work_class_t c, owner_view_t *owners, instant_t now)
{
	unsigned int want = lane->waiting_count[c];
	unsigned int asked;
	int from;
	int to;

	if (c == WORK_SHORT && want <= FEW_WAITING)
		want *= SHORT_ASKS;
	if (want > MAX_ASKED_PER_LANE)
		want = MAX_ASKED_PER_LANE;
	if (!want && !lane->asked_count[c])
		return;
	lane_demand(lane, this->allocator, this->options.max_members);
	asked = lane->asked_count[c];
	for (; asked > want; asked--) {
		from = most_burdened(this, lane, c, owners);
		move_ask(this, lane, c, owners, from, -1, now);
	}
	for (; asked < want; asked++) {
		to = least_burdened(this, owners);
		if (to < 0)
			return;
		move_ask(this, lane, c, owners, to, 1, now);
	}
	/* One step towards an owner that has room, or away from one that is gone. */
	from = most_burdened(this, lane, c, owners);
	to = least_burdened(this, owners);
	if (from < 0 || to < 0 || from == to)
		return;
	if (owners[from].slots && (owners[to].contended || !owners[from].contended))
		return;
	move_ask(this, lane, c, owners, from, -1, now);
	move_ask(this, lane, c, owners, to, 1, now);
}

void router_ask(node_t *this, pool_t *pool, instant_t now)
{
	owner_view_t owners[MEMBER_MAX] = {0};
	lane_t *lane;

	if (cds_list_empty(&pool->listed))
		return;
	view_owners(this, pool, owners, now);
	cds_list_for_each_entry (lane, &pool->listed, link) {
		for (int c = 0; c < WORK_CLASSES; c++)
			ask_for_lane(this, lane, (work_class_t)c, owners, now);
	}
}

/* A grant answers one ask, whether or not something still waits for it. */
void router_settle_ask(node_t *this, lane_t *lane, work_class_t c, unsigned int from, instant_t now)
{
	lane_demand_t *demand = lane_demand(lane, this->allocator, this->options.max_members);

	if (demand[from].asked[c])
		count_ask(lane, c, from, -1);
	if (!from)
		tell_asked(this, lane, 0, now);
}
