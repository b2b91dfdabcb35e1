#include "core/node_internal.h"

#define IDLE_USED_UP_DELAY (5 * USEC_PER_MSEC) /* report delay once no slot is idle */
#define RETURN_DELAY (20 * USEC_PER_MSEC)
#define SHORT_DIVISOR 5 /* work that costs up to long_cost / 5 is short */
#define MAX_WAITING_PER_LANE 4096
#define FALLBACK_SHARE_DIVISOR 2 /* half of an even share may be used while the owner is silent */
#define DRAIN_INTERVAL (1 * USEC_PER_SEC)
#define DRAIN_EWMA_WEIGHT 0.5
#define MIN_WAITING_FOR_OVERLOAD 4
#define MAX_RETRY_AFTER_S 120

node_request_t *router_lane_head(lane_t *lane, work_class_t work_class)
{
	if (cds_list_empty(&lane->waiting[work_class]))
		return NULL;
	return cds_list_first_entry(&lane->waiting[work_class], node_request_t, link);
}

bool router_long_allowed(const pool_t *pool)
{
	unsigned int held = 0;
	unsigned int busy_long = 0;

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		held += pool->replicas[i]->held;
		busy_long += pool->replicas[i]->busy_long;
	}
	return busy_long == 0 || busy_long * 100 < held * pool->long_share;
}

static void count_drained(lane_t *lane, instant_t now)
{
	double seconds;

	lane->drained_count++;
	if (!lane->drain_interval_end) {
		lane->drain_interval_end = now + DRAIN_INTERVAL;
		return;
	}
	if (now < lane->drain_interval_end)
		return;
	seconds = (double)(now - lane->drain_interval_end + DRAIN_INTERVAL) / USEC_PER_SEC;
	if (lane->drain_rate > 0)
		lane->drain_rate +=
			DRAIN_EWMA_WEIGHT * (lane->drained_count / seconds - lane->drain_rate);
	else
		lane->drain_rate = lane->drained_count / seconds;
	lane->drained_count = 0;
	lane->drain_interval_end = now + DRAIN_INTERVAL;
}

static uint32_t predict_cost(const lane_t *lane, const node_request_t *request)
{
	double cost = request->hint ? request->hint * lane->cost_ratio : lane->mean_cost;

	return cost < 1 ? 1 : (uint32_t)cost;
}

static work_class_t classify(const pool_t *pool, uint32_t predicted)
{
	if (predicted > pool->long_cost)
		return WORK_LONG;
	return predicted > pool->long_cost / SHORT_DIVISOR ? WORK_MEDIUM : WORK_SHORT;
}

void router_enqueue(node_request_t *request)
{
	lane_t *lane = request->lane;
	uint32_t predicted = predict_cost(lane, request);

	request->work_class = classify(lane->pool, predicted);
	request->state = REQUEST_WAITING;
	cds_list_add_tail(&request->link, &lane->waiting[request->work_class]);
	lane->waiting_count[request->work_class]++;
	lane->pool->waiting++;
	share_activate(lane);
}

void router_dequeue(node_request_t *request)
{
	lane_t *lane = request->lane;

	cds_list_del(&request->link);
	lane->waiting_count[request->work_class]--;
	lane->pool->waiting--;
	if (!lane_is_backlogged(lane))
		share_deactivate(lane);
}

void router_reject(
	node_t *this, node_request_t *request, reason_t reason, unsigned int retry_after_s)
{
	node_action_t action = {
		.kind = ACTION_REJECT,
		.request = request,
		.reason = reason,
		.retry_after_s = retry_after_s,
	};

	request->state = REQUEST_FINISHED;
	this->stats.rejected++;
	node_push_action(this, &action);
}

void router_start(
	node_t *this, lane_t *lane, work_class_t work_class, replica_t *replica, instant_t now)
{
	node_request_t *request = router_lane_head(lane, work_class);
	node_action_t action = {
		.kind = ACTION_START,
		.request = request,
		.replica = replica->id,
	};

	share_advance_virtual_time(lane);
	router_dequeue(request);
	request->charged = share_initial_charge(predict_cost(lane, request));
	request->replica = replica;
	request->state = REQUEST_RUNNING;
	share_charge(lane, request->charged);
	count_drained(lane, now);
	replica->busy++;
	replica->busy_long += work_class == WORK_LONG;
	replica->sent_since_report++;
	prefix_history_add(&replica->prefixes, request->prefix);
	this->running++;
	this->stats.started++;
	node_push_action(this, &action);
}

/*
 * Rates a replica with idle slots; higher is better.  A replica of normal pace
 * scores 1 and a slow one less, a cached prefix adds 0.5 and each idle slot 0.01.
 */
static double idle_score(const replica_t *replica, uint64_t prefix, double median)
{
	double score = 1.0 / concurrency_limit_slowness(&replica->limit, median);

	if (prefix_history_contains(&replica->prefixes, prefix))
		score += 0.5;
	return score + 0.01 * replica_idle(replica);
}

/* While the owner is silent, this router may use a small fixed share without a grant. */
static void take_fallback_share(node_t *this, replica_t *replica)
{
	const member_t *owner = &this->members.list[replica->owner];
	unsigned int share;

	if (owner->state != MEMBER_SUSPECT)
		return;
	share = replica->slots / (FALLBACK_SHARE_DIVISOR * members_expected(&this->members));
	if (!share)
		share = 1;
	if (replica->held < share)
		replica->held = share;
}

static replica_t *find_idle_replica(
	node_t *this, pool_t *pool, const node_request_t *request, instant_t now)
{
	double median = pool->median_pace;
	replica_t *best = NULL;
	double best_score = 0;

	for (unsigned int i = 0; i < pool->replica_count; i++) {
		replica_t *replica = pool->replicas[i];
		double score;

		if (!replica_is_usable(replica, now))
			continue;
		take_fallback_share(this, replica);
		if (!replica_idle(replica))
			continue;
		score = idle_score(replica, request->prefix, median);
		if (replica->id == request->avoid)
			score = 0;
		if (!best || score > best_score) {
			best = replica;
			best_score = score;
		}
	}
	return best;
}

/*
 * Once this router holds no idle slot of the owner any more, the owner has to
 * learn of it soon, because it then makes further open grants.
 */
static uint64_t report_delay(const replica_t *replica)
{
	return pool_idle_of_owner(replica->pool, replica->owner) ? REPORT_DELAY
								 : IDLE_USED_UP_DELAY;
}

void router_start_on_idle(node_t *this, pool_t *pool, instant_t now)
{
	while (pool->waiting) {
		work_class_t work_class = WORK_SHORT;
		lane_t *lane = share_pick_next(pool, false, router_long_allowed(pool), &work_class);
		replica_t *replica;

		if (!lane)
			return;
		replica = find_idle_replica(this, pool, router_lane_head(lane, work_class), now);
		if (!replica)
			return;
		router_start(this, lane, work_class, replica, now);
		router_report(this, replica, now + report_delay(replica));
	}
}

void router_report(node_t *this, replica_t *replica, instant_t at)
{
	hold_entry_t hold = {
		.replica = replica->id,
		.held = replica->held,
		.idle = replica_idle(replica),
		.held_long = replica->busy_long,
	};

	if (!this->policy->has_owners)
		return;
	if (replica->owner == 0) {
		owner_set_hold(replica, 0, &hold);
		return;
	}
	replica->report_due = true;
	node_schedule_send(this, replica->owner, at);
}

void router_return_slots(node_t *this, replica_t *replica, unsigned int count, instant_t now)
{
	bool contended = pool_owner_is_contended(replica->pool, replica->owner);

	if (!count)
		return;
	replica->held -= count;
	replica->return_due = replica->owner != 0;
	this->stats.grants_returned += count;
	router_report(this, replica, contended ? now : now + RETURN_DELAY);
}

void router_return_idle(node_t *this, pool_t *pool, unsigned int member_index, instant_t now)
{
	for (unsigned int i = 0; i < pool->replica_count; i++) {
		replica_t *replica = pool->replicas[i];

		if (replica->owner != member_index)
			continue;
		router_return_slots(this, replica, replica_idle(replica), now);
		/* A slot that was returned shortly before has to be reported at once, too. */
		if (member_index && replica->return_due)
			node_schedule_send(this, member_index, now);
	}
}

void router_accept_grant(node_t *this, unsigned int from, const grant_entry_t *grant, instant_t now)
{
	replica_t *replica = node_find_replica(this, grant->replica);
	work_class_t work_class = (work_class_t)grant->work_class;
	lane_t *lane;

	if (!replica || grant->count > replica->slots)
		return; /* invalid: no owner grants more slots than the replica has */
	replica->held += grant->count;
	this->stats.grants_received += grant->count;
	router_report(this, replica, now + REPORT_DELAY);
	lane = grant->workspace ? node_find_lane(this, replica->pool->id, grant->workspace) : NULL;
	for (unsigned int i = 0; lane && i < grant->count; i++) {
		router_decrement_demand(this, lane, work_class, from, now);
		if (router_lane_head(lane, work_class) && replica_is_usable(replica, now))
			router_start(this, lane, work_class, replica, now);
	}
}

/*
 * Predicts from the lane's drain rate whether the request would start after its
 * deadline.  While the rate is unknown, only MAX_WAITING_PER_LANE applies.
 */
bool router_is_overloaded(const lane_t *lane, const node_request_t *request, instant_t now)
{
	unsigned int waiting = lane_waiting(lane);
	double seconds_left = (double)instant_left(request->deadline, now) / USEC_PER_SEC;

	if (waiting >= MAX_WAITING_PER_LANE)
		return true;
	if (lane->drain_rate <= 0 || waiting < MIN_WAITING_FOR_OVERLOAD)
		return false;
	return waiting / lane->drain_rate > seconds_left;
}

/*
 * Each rejected caller counts as a part of the backlog that drains at the lane's
 * rate, so that later callers get a longer delay and retries spread over time.
 */
unsigned int router_retry_after(lane_t *lane, instant_t now)
{
	double rate = lane->drain_rate > 0 ? lane->drain_rate : 1.0;
	double drained = (double)instant_left(now, lane->expected_retries_at) / USEC_PER_SEC * rate;
	double seconds;

	lane->expected_retries =
		lane->expected_retries > drained ? lane->expected_retries - drained : 0;
	lane->expected_retries += 1;
	lane->expected_retries_at = now;
	seconds = (lane_waiting(lane) / 2.0 + lane->expected_retries) / rate;
	if (seconds > MAX_RETRY_AFTER_S)
		return MAX_RETRY_AFTER_S;
	return (unsigned int)seconds + 1;
}

/* Moves medium work to the short class; done once half the time to its deadline has passed. */
static void promote(node_request_t *request)
{
	lane_t *lane = request->lane;

	cds_list_del(&request->link);
	lane->waiting_count[request->work_class]--;
	request->work_class = WORK_SHORT;
	lane->waiting_count[WORK_SHORT]++;
	cds_list_add_tail(&request->link, &lane->waiting[WORK_SHORT]);
}

static instant_t promotion_time(const node_request_t *request)
{
	return request->arrived + (request->deadline - request->arrived) / 2;
}

/* Rejects or promotes one waiting request if due; returns when to check it again. */
static instant_t check_deadline(node_t *this, node_request_t *request, instant_t now)
{
	if (request->deadline <= now) {
		router_dequeue(request);
		router_reject(
			this, request, REASON_DEADLINE, router_retry_after(request->lane, now));
		return INSTANT_NEVER;
	}
	if (request->work_class == WORK_MEDIUM && promotion_time(request) <= now)
		promote(request);
	return request->deadline;
}

void router_expire(node_t *this, pool_t *pool, instant_t now, instant_t *next)
{
	lane_t *lane;

	cds_list_for_each_entry (lane, &pool->pending_lanes, link) {
		for (int c = WORK_CLASSES - 1; c >= 0; c--) {
			node_request_t *request;
			node_request_t *after;

			cds_list_for_each_entry_safe (request, after, &lane->waiting[c], link)
				*next = instant_min(*next, check_deadline(this, request, now));
		}
	}
}
