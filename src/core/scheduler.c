#include "core/scheduler.h"

#include <math.h>
#include <string.h>

#include "core/prefill_plan.h"
#include "core/refusal_cache.h"

#define BUCKETS 1024
/*
 * Time constant over which fair share is kept.  Levels of more plentiful seconds must not lock a
 * workspace out for long once slots are scarce.
 */
#define SERVICE_DECAY (1.5 * USEC_PER_SEC)
/*
 * Starts that an engine's rate allows within this time count as free slots, so that enough
 * requests wait at the owner for it to choose by fair share.
 */
#define RATE_QUEUE_TIME (200 * USEC_PER_MSEC)
#define ACTION_GROWTH 256
/*
 * A request whose deadline for the first token can't be met even by an idle engine
 * gets a new one: this many times the delay on an idle engine.
 */
#define OVERSIZED_FACTOR 2
/* How long a slot stays in use without a report: reports come every 1 s, and one may be lost. */
#define REPORT_GRACE (1500 * USEC_PER_MSEC)

struct scheduler {
	scheduler_options_t options;
	const allocator_t *allocator;
	struct cds_list_head pools;
	struct cds_list_head buckets[BUCKETS];
	scheduler_action_t *actions;
	unsigned int action_first;
	unsigned int action_count;
	unsigned int action_capacity;
	unsigned int running;
	instant_t now;	      /* of the current scheduler_run() */
	double rate_share;    /* see scheduler_set_rate_share() */
	double pace_share;    /* the same for the pace of cold engines */
	double service_decay; /* see scheduler_set_report_interval() */
	refusal_cache_t refusals;
	scheduler_stats_t stats;
};

/* --- lookup ------------------------------------------------------------- */

static struct cds_list_head *bucket_for(
	const scheduler_t *this, unsigned int router, uint64_t ticket)
{
	uint64_t hash = (ticket + router * 0x9e3779b97f4a7c15ULL) * 0xff51afd7ed558ccdULL;

	return (struct cds_list_head *)&this->buckets[(hash >> 32) % BUCKETS];
}

static sched_record_t *find_record(const scheduler_t *this, unsigned int router, uint64_t ticket)
{
	sched_record_t *record;

	cds_list_for_each_entry (record, bucket_for(this, router, ticket), bucket) {
		if (record->router == router && record->request.ticket == ticket)
			return record;
	}
	return NULL;
}

static sched_pool_t *find_pool(const scheduler_t *this, id_t32 id)
{
	sched_pool_t *pool;

	cds_list_for_each_entry (pool, &this->pools, link) {
		if (pool->id == id)
			return pool;
	}
	return NULL;
}

static sched_engine_t *find_engine(const scheduler_t *this, id_t32 id)
{
	sched_pool_t *pool;
	sched_engine_t *engine;

	cds_list_for_each_entry (pool, &this->pools, link) {
		cds_list_for_each_entry (engine, &pool->engines, link) {
			if (engine->model.id == id)
				return engine;
		}
	}
	return NULL;
}

static sched_pool_t *get_pool(scheduler_t *this, id_t32 id)
{
	sched_pool_t *pool = find_pool(this, id);

	if (pool)
		return pool;
	pool = allocator_new(this->allocator, 1, sizeof(*pool));
	sched_pool_init(pool, id, &this->options.pool);
	cds_list_add(&pool->link, &this->pools);
	return pool;
}

static sched_lane_t *get_lane(scheduler_t *this, sched_pool_t *pool, id_t32 workspace)
{
	sched_lane_t *lane;

	cds_list_for_each_entry (lane, &pool->lanes, link) {
		if (lane->workspace == workspace)
			return lane;
	}
	lane = allocator_new(this->allocator, 1, sizeof(*lane));
	sched_lane_init(lane, workspace, &this->service_decay);
	cds_list_add_tail(&lane->link, &pool->lanes);
	return lane;
}

/* --- records ------------------------------------------------------------ */

static sched_record_t *record_new(
	scheduler_t *this, unsigned int router, const slot_request_t *request, instant_t now)
{
	sched_record_t *record = allocator_new(this->allocator, 1, sizeof(*record));

	record->router = router;
	record->request = *request;
	cds_list_add(&record->bucket, bucket_for(this, router, request->ticket));
	return record;
}

static void record_delete(scheduler_t *this, sched_record_t *record)
{
	cds_list_del(&record->bucket);
	allocator_delete(this->allocator, record);
}

/* --- actions ------------------------------------------------------------ */

static void push_action(scheduler_t *this, const scheduler_action_t *action)
{
	if (this->action_count == this->action_capacity) {
		unsigned int capacity = this->action_capacity + ACTION_GROWTH;

		this->actions = allocator_grow(this->allocator, this->actions,
			this->action_capacity, capacity, sizeof(*this->actions));
		this->action_capacity = capacity;
	}
	this->actions[this->action_count++] = *action;
}

bool scheduler_next_action(scheduler_t *this, scheduler_action_t *action)
{
	if (this->action_first == this->action_count) {
		this->action_first = 0;
		this->action_count = 0;
		return false;
	}
	*action = this->actions[this->action_first++];
	return true;
}

/* --- replies ------------------------------------------------------------ */

static void refuse_record(void *ctx, sched_record_t *record)
{
	scheduler_t *this = ctx;
	sched_pool_t *pool = find_pool(this, record->request.pool);
	scheduler_action_t action = {
		.kind = SCHEDULER_REFUSE,
		.router = record->router,
		.ticket = record->request.ticket,
		.retry_after_ms = grant_rate_retry_after(&pool->grants, this->now),
	};

	push_action(this, &action);
	refusal_cache_add(&this->refusals, record->request.request_fingerprint, this->now);
	this->stats.refused++;
	record->lane->counts.refused++;
	sched_pool_dequeue(pool, record);
	record_delete(this, record);
}

static void push_grant(scheduler_t *this, const sched_record_t *record)
{
	scheduler_action_t action = {
		.kind = SCHEDULER_GRANT,
		.router = record->router,
		.ticket = record->request.ticket,
		.engine = record->engine->model.id,
		.source = record->source,
	};

	push_action(this, &action);
}

static const engine_t *source_model(const scheduler_t *this, id_t32 source)
{
	return &find_engine(this, source)->model;
}

static void grant_slot(
	scheduler_t *this, sched_pool_t *pool, const sched_choice_t *choice, instant_t now)
{
	sched_record_t *record = choice->record;
	const engine_work_t *work = &record->request.work;

	sched_pool_dequeue(pool, record);
	grant_rate_count(&pool->grants, now);
	rate_limit_count(&choice->engine->rate_limit, this->rate_share, now);
	warm_up_count(&choice->engine->warm_up, this->pace_share, now);
	record->charge = engine_work_cost(&record->request.work);
	sched_lane_charge_local(record->lane, record->charge, now);
	record->source = sched_pool_copy_source(pool, &record->request, choice->engine);
	engine_begin_request(&choice->engine->model, &record->engine_request, work,
		record->source ? engine_prefill_tokens(source_model(this, record->source), work)
			       : UINT32_MAX,
		now);
	record->engine = choice->engine;
	record->confirmed_at = now;
	this->running++;
	this->stats.granted++;
	this->stats.granted_late += record->request.is_late;
	record->lane->counts.granted++;
	record->lane->counts.granted_late += record->request.is_late;
	push_grant(this, record);
}

static void grant_all(scheduler_t *this, sched_pool_t *pool, instant_t now)
{
	sched_choice_t choice;

	while ((choice = sched_pool_next(pool, now)).record)
		grant_slot(this, pool, &choice, now);
}

/* Returns when the next engine that keeps to a rate may start a request. */
static instant_t next_rate_start(const sched_pool_t *pool, instant_t now)
{
	const sched_engine_t *engine;
	instant_t next = INSTANT_NEVER;

	cds_list_for_each_entry (engine, &pool->engines, link) {
		if (engine->usable && !sched_engine_may_start(engine, now))
			next = instant_min(next, sched_engine_next_start(engine, now));
	}
	return next;
}

instant_t scheduler_run(scheduler_t *this, instant_t now)
{
	instant_t next = INSTANT_NEVER;
	sched_pool_t *pool;

	this->now = now;
	cds_list_for_each_entry (pool, &this->pools, link) {
		if (!pool->timely && !pool->late)
			continue;
		grant_all(this, pool, now);
		sched_pool_expire(pool, now, &next, refuse_record, this);
		grant_all(this, pool, now);
		if (pool->timely || pool->late)
			next = instant_min(next, next_rate_start(pool, now));
	}
	return next;
}

/* --- events ------------------------------------------------------------- */

void scheduler_request_slot(
	scheduler_t *this, unsigned int router, const slot_request_t *request, instant_t now)
{
	sched_pool_t *pool = get_pool(this, request->pool);
	sched_record_t *record;
	uint64_t idle_delay;

	record = find_record(this, router, request->ticket);
	if (record) { /* sent again, as the reply may be lost */
		if (record->engine)
			push_grant(this, record);
		return;
	}
	this->stats.slot_requests++;
	record = record_new(this, router, request, now);
	record->lane = get_lane(this, pool, request->workspace);
	record->request.is_late |=
		refusal_cache_contains(&this->refusals, request->request_fingerprint, now);
	idle_delay = sched_pool_idle_first_token_delay(pool, request);
	if (!record->request.is_late && idle_delay != UINT64_MAX &&
		now + idle_delay > request->first_token_deadline)
		record->request.first_token_deadline = now + OVERSIZED_FACTOR * idle_delay;
	sched_pool_enqueue(pool, record, record->request.is_late, now);
}

static void release_record(scheduler_t *this, sched_record_t *record, instant_t now)
{
	engine_end_request(&record->engine->model, &record->engine_request, now);
	this->running--;
	record_delete(this, record);
}

void scheduler_withdraw(scheduler_t *this, unsigned int router, uint64_t ticket, instant_t now)
{
	sched_record_t *record = find_record(this, router, ticket);

	if (!record)
		return;
	this->stats.withdrawn++;
	if (record->engine) {
		/* A run that has begun was served, however it ends. */
		if (!record->engine_request.prefill_done)
			sched_lane_refund(
				record->lane, record->charge, record->engine_request.began_at, now);
		release_record(this, record, now);
		return;
	}
	sched_pool_dequeue(find_pool(this, record->request.pool), record);
	record_delete(this, record);
}

void scheduler_first_token(scheduler_t *this, unsigned int router, uint64_t ticket, instant_t now)
{
	sched_record_t *record = find_record(this, router, ticket);

	if (!record || !record->engine)
		return;
	engine_finish_prefill(&record->engine->model, &record->engine_request, now);
	sched_engine_record_success(record->engine, now);
}

void scheduler_record_first_token(
	scheduler_t *this, unsigned int router, uint64_t ticket, uint64_t delay)
{
	sched_record_t *record = find_record(this, router, ticket);

	if (record && record->engine)
		record->engine_request.reported_delay = delay;
}

void scheduler_record_stream(scheduler_t *this, unsigned int router, uint64_t ticket,
	uint32_t answer, uint64_t duration, uint64_t pause, instant_t now)
{
	sched_record_t *record = find_record(this, router, ticket);

	if (record && record->engine)
		engine_record_stream(&record->engine->model, &record->engine_request, answer,
			duration, pause, now);
}

void scheduler_record_slowness(scheduler_t *this, unsigned int router, uint64_t ticket,
	unsigned int percent, instant_t now)
{
	sched_record_t *record = find_record(this, router, ticket);

	if (record && record->engine)
		engine_record_load(&record->engine->model, percent, now);
}

void scheduler_load_report(
	scheduler_t *this, unsigned int router, uint64_t ticket, unsigned int load, instant_t now)
{
	sched_record_t *record = find_record(this, router, ticket);

	if (record && record->engine)
		sched_engine_record_load(record->engine, load, now);
}

void scheduler_fail(scheduler_t *this, unsigned int router, uint64_t ticket, slot_result_t failure,
	instant_t now)
{
	sched_record_t *record = find_record(this, router, ticket);

	if (record && record->engine)
		sched_engine_record_failure(record->engine, failure, now);
	scheduler_withdraw(this, router, ticket, now);
}

void scheduler_end(
	scheduler_t *this, unsigned int router, uint64_t ticket, uint32_t answer, instant_t now)
{
	sched_record_t *record = find_record(this, router, ticket);

	if (!record || !record->engine)
		return;
	sched_lane_charge_local(
		record->lane, answer_cost((double)answer - record->request.work.answer), now);
	release_record(this, record, now);
}

void scheduler_add_served(
	scheduler_t *this, id_t32 pool, id_t32 workspace, int32_t tokens, instant_t now)
{
	sched_lane_charge(get_lane(this, get_pool(this, pool), workspace), tokens, now);
}

void scheduler_set_report_interval(scheduler_t *this, uint64_t interval)
{
	this->service_decay = fmax(SERVICE_DECAY, (double)interval);
}

void scheduler_charge(
	scheduler_t *this, id_t32 pool, id_t32 workspace, double tokens, instant_t now)
{
	sched_lane_charge_local(get_lane(this, get_pool(this, pool), workspace), tokens, now);
}

void scheduler_refund(scheduler_t *this, id_t32 pool, id_t32 workspace, double tokens,
	instant_t since, instant_t now)
{
	sched_lane_refund(get_lane(this, get_pool(this, pool), workspace), tokens, since, now);
}

void scheduler_report_served(scheduler_t *this,
	void (*each)(void *ctx, id_t32 pool, id_t32 workspace, int32_t tokens), void *ctx)
{
	sched_pool_t *pool;
	sched_lane_t *lane;

	cds_list_for_each_entry (pool, &this->pools, link) {
		cds_list_for_each_entry (lane, &pool->lanes, link) {
			int32_t tokens = (int32_t)lane->unreported;

			if (!tokens)
				continue;
			lane->unreported -= tokens;
			each(ctx, pool->id, lane->workspace, tokens);
		}
	}
}

void scheduler_confirm_slot(
	scheduler_t *this, unsigned int router, const held_slot_t *slot, instant_t now)
{
	sched_engine_t *engine = find_engine(this, slot->engine);
	sched_record_t *record = find_record(this, router, slot->ticket);
	slot_request_t request = {
		.ticket = slot->ticket,
		.workspace = slot->workspace,
		.work = {.prompt = slot->prompt, .answer = slot->answer},
	};

	if (record)
		record->confirmed_at = now;
	if (!engine || record)
		return;
	request.pool = engine->pool->id;
	record = record_new(this, router, &request, now);
	record->lane = get_lane(this, engine->pool, slot->workspace);
	record->engine = engine;
	record->confirmed_at = now;
	this->running++;
	if (!slot->prefill_done)
		warm_up_count(&engine->warm_up, this->pace_share, now);
	engine_begin_request(
		&engine->model, &record->engine_request, &record->request.work, UINT32_MAX, now);
	if (slot->prefill_done)
		engine_finish_prefill(&engine->model, &record->engine_request, now);
}

/* Withdraws the router's granted requests that it last confirmed before `confirmed_before`. */
static void withdraw_unconfirmed(
	scheduler_t *this, unsigned int router, instant_t confirmed_before, instant_t now)
{
	sched_record_t *record;
	sched_record_t *after;

	for (unsigned int i = 0; i < BUCKETS; i++) {
		cds_list_for_each_entry_safe (record, after, &this->buckets[i], bucket) {
			if (record->router == router && record->engine &&
				record->confirmed_at < confirmed_before)
				scheduler_withdraw(this, router, record->request.ticket, now);
		}
	}
}

void scheduler_end_report(scheduler_t *this, unsigned int router, instant_t now)
{
	withdraw_unconfirmed(this, router, now > REPORT_GRACE ? now - REPORT_GRACE : 0, now);
}

void scheduler_forget_router(scheduler_t *this, unsigned int router, instant_t now)
{
	sched_record_t *record;
	sched_record_t *after;

	for (unsigned int i = 0; i < BUCKETS; i++) {
		cds_list_for_each_entry_safe (record, after, &this->buckets[i], bucket) {
			if (record->router == router)
				scheduler_withdraw(this, router, record->request.ticket, now);
		}
	}
}

/* --- reports of lanes --------------------------------------------------- */

static unsigned int list_length(const struct cds_list_head *list)
{
	const struct cds_list_head *link;
	unsigned int length = 0;

	cds_list_for_each (link, list)
		length++;
	return length;
}

static bool has_refused(const sched_pool_t *pool)
{
	const sched_lane_t *lane;

	cds_list_for_each_entry (lane, &pool->lanes, link) {
		if (lane->counts.refused)
			return true;
	}
	return false;
}

static lane_report_t report_of(const sched_pool_t *pool, const sched_lane_t *lane, instant_t now)
{
	return (lane_report_t){
		.pool = pool->id,
		.workspace = lane->workspace,
		.level = sched_lane_level(lane, now),
		.timely = list_length(&lane->timely),
		.late = list_length(&lane->late),
		.counts = lane->counts,
	};
}

void scheduler_report_lanes(scheduler_t *this, instant_t now,
	void (*each)(void *ctx, const lane_report_t *report), void *ctx)
{
	sched_pool_t *pool;
	sched_lane_t *lane;

	cds_list_for_each_entry (pool, &this->pools, link) {
		bool refused = has_refused(pool);

		cds_list_for_each_entry (lane, &pool->lanes, link) {
			lane_report_t report = report_of(pool, lane, now);

			if (refused && (report.timely || report.late || report.counts.granted ||
					       report.counts.refused))
				each(ctx, &report);
			lane->counts = (lane_counts_t){0};
		}
	}
}

/* --- engines ------------------------------------------------------------ */

void scheduler_add_engine(
	scheduler_t *this, id_t32 id, id_t32 pool_id, const engine_limits_t *limits)
{
	sched_engine_t *engine = find_engine(this, id);

	if (engine) {
		engine->model.limits = *limits;
		return;
	}
	engine = allocator_new(this->allocator, 1, sizeof(*engine));
	engine->pool = get_pool(this, pool_id);
	engine->usable = true;
	engine_init(&engine->model, id, limits);
	rate_limit_init(&engine->rate_limit);
	warm_up_init(&engine->warm_up);
	cds_list_add_tail(&engine->link, &engine->pool->engines);
}

void scheduler_remove_engine(scheduler_t *this, id_t32 id)
{
	sched_engine_t *engine = find_engine(this, id);
	sched_record_t *record;
	sched_record_t *after;

	if (!engine)
		return;
	for (unsigned int i = 0; i < BUCKETS; i++) {
		cds_list_for_each_entry_safe (record, after, &this->buckets[i], bucket) {
			if (record->engine != engine)
				continue;
			this->running--;
			record_delete(this, record);
		}
	}
	cds_list_del(&engine->link);
	allocator_delete(this->allocator, engine);
}

void scheduler_set_rate_limit(scheduler_t *this, id_t32 id, uint32_t rate, instant_t now)
{
	sched_engine_t *engine = find_engine(this, id);

	if (engine)
		rate_limit_set(&engine->rate_limit, rate, now);
}

void scheduler_set_rate_share(scheduler_t *this, double share)
{
	this->rate_share = share;
}

void scheduler_set_pace_share(scheduler_t *this, double share)
{
	this->pace_share = share;
}

warm_up_t *scheduler_warm_up(scheduler_t *this, id_t32 id)
{
	sched_engine_t *engine = find_engine(this, id);

	return engine ? &engine->warm_up : NULL;
}

void scheduler_engine_registered(scheduler_t *this, id_t32 id)
{
	sched_engine_t *engine = find_engine(this, id);

	if (engine)
		sched_engine_record_sign(engine);
}

void scheduler_set_version(scheduler_t *this, id_t32 id, id_t32 version)
{
	sched_engine_t *engine = find_engine(this, id);

	if (engine)
		engine->version = version;
}

void scheduler_set_region(scheduler_t *this, id_t32 id, id_t32 region)
{
	sched_engine_t *engine = find_engine(this, id);

	if (engine)
		engine->region = region;
}

void scheduler_set_speed_prior(
	scheduler_t *this, id_t32 id, const engine_speed_prior_t *prior, instant_t now)
{
	sched_pool_t *pool = find_pool(this, id);
	sched_engine_t *engine;

	if (!pool)
		return;
	cds_list_for_each_entry (engine, &pool->engines, link)
		engine_set_speed_prior(&engine->model, prior, now);
}

void scheduler_restore_speed(
	scheduler_t *this, id_t32 id, const engine_speed_report_t *report, instant_t now)
{
	sched_engine_t *engine = find_engine(this, id);

	if (engine)
		engine_restore_speed(&engine->model, report, now);
}

const engine_t *scheduler_engine(const scheduler_t *this, id_t32 id)
{
	const sched_engine_t *engine = find_engine(this, id);

	return engine ? &engine->model : NULL;
}

void scheduler_set_usable(scheduler_t *this, id_t32 id, bool usable)
{
	sched_engine_t *engine = find_engine(this, id);

	if (engine)
		engine->usable = usable;
}

/* --- setup -------------------------------------------------------------- */

scheduler_t *scheduler_new(const scheduler_options_t *options)
{
	const allocator_t *allocator = options->allocator ? options->allocator : &allocator_default;
	scheduler_t *this = allocator_new(allocator, 1, sizeof(*this));

	this->options = *options;
	this->allocator = allocator;
	this->rate_share = 1;
	this->pace_share = 1;
	this->service_decay = SERVICE_DECAY;
	CDS_INIT_LIST_HEAD(&this->pools);
	for (unsigned int i = 0; i < BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&this->buckets[i]);
	return this;
}

static void pool_delete(scheduler_t *this, sched_pool_t *pool)
{
	sched_lane_t *lane;
	sched_lane_t *after;
	sched_engine_t *engine;
	sched_engine_t *next;

	cds_list_for_each_entry_safe (lane, after, &pool->lanes, link)
		allocator_delete(this->allocator, lane);
	cds_list_for_each_entry_safe (engine, next, &pool->engines, link)
		allocator_delete(this->allocator, engine);
	allocator_delete(this->allocator, pool);
}

void scheduler_delete(scheduler_t *this)
{
	sched_record_t *record;
	sched_record_t *after;
	sched_pool_t *pool;
	sched_pool_t *next;

	if (!this)
		return;
	for (unsigned int i = 0; i < BUCKETS; i++) {
		cds_list_for_each_entry_safe (record, after, &this->buckets[i], bucket)
			record_delete(this, record);
	}
	cds_list_for_each_entry_safe (pool, next, &this->pools, link)
		pool_delete(this, pool);
	allocator_delete(this->allocator, this->actions);
	allocator_delete(this->allocator, this);
}

/* --- status ------------------------------------------------------------- */

/* Adds what the engine reads, and its speed, to the usage; it has usable slots. */
static void add_prefill(
	slot_usage_t *usage, const sched_engine_t *engine, uint64_t max_backlog, instant_t now)
{
	uint64_t backlog = prefill_plan_backlog(&engine->model, now);
	uint64_t wait = backlog > max_backlog ? backlog - max_backlog : 0;
	unsigned int reading_ms =
		(unsigned int)(prefill_plan_reading(&engine->model, wait) / USEC_PER_MSEC);
	uint32_t token_ns = prefill_plan_token_ns(&engine->model);

	if (!usage->prefill_token_ns || reading_ms < usage->reading_ms)
		usage->reading_ms = reading_ms;
	if (!usage->prefill_token_ns || token_ns < usage->prefill_token_ns)
		usage->prefill_token_ns = token_ns;
}

slot_usage_t scheduler_usage(const scheduler_t *this, id_t32 id, instant_t now)
{
	const sched_pool_t *pool = find_pool(this, id);
	const sched_engine_t *engine;
	slot_usage_t usage = {0};

	if (!pool)
		return usage;
	cds_list_for_each_entry (engine, &pool->engines, link) {
		unsigned int slots = sched_engine_usable_slots(engine, now);
		unsigned int starts = sched_engine_starts_until(engine, now + RATE_QUEUE_TIME, now);

		if (starts < slots && engine->model.running + starts < slots)
			slots = engine->model.running + starts;
		usage.slots += slots;
		usage.taken += engine->model.running < slots ? engine->model.running : slots;
		if (slots)
			add_prefill(&usage, engine, pool->options->max_backlog, now);
	}
	usage.taken += pool->timely;
	return usage;
}

unsigned int scheduler_waiting(const scheduler_t *this)
{
	const sched_pool_t *pool;
	unsigned int waiting = 0;

	cds_list_for_each_entry (pool, &this->pools, link)
		waiting += pool->timely + pool->late;
	return waiting;
}

unsigned int scheduler_running(const scheduler_t *this)
{
	return this->running;
}

const scheduler_stats_t *scheduler_stats(const scheduler_t *this)
{
	return &this->stats;
}
