#include "core/scheduler.h"

#include <math.h>
#include <string.h>

#define BUCKETS 1024
#define ACTION_BATCH 256
#define SERVICE_MEMORY (4.0 * USEC_PER_SEC) /* over which fair share is kept */
#define ANSWER_WEIGHT 2			    /* a generated token counts as so many that were read */
#define LOOKED_AT 6	   /* newest of a lane, of which the first that fits is taken */
#define OUTSIZED_FACTOR 2  /* times its span on an idle engine, for what never could be in time */
#define LATE_RESERVE 8	   /* a part of an engine's slots, left free by late work */
#define HOME_SLACK 256	   /* tokens more to read, with which an engine still counts as home */
#define HOME_LAG 40000	   /* tokens that a lane may be ahead, to be served where its parts are */
#define STARVING 0.7	   /* of the service of others, below which late work goes first */
#define RETRY_FIRST_MS 400 /* of a refusal, when nobody else was told to come back */
#define RETRY_MOST_MS 8000
#define RETURNING_PART 0.25		 /* of the grants, for those who were told to come back */
#define DOWN_FIRST (250 * USEC_PER_MSEC) /* doubles with each failure in a row */
#define DOWN_DOUBLINGS 4
#define FULL_PAUSE (40 * USEC_PER_MSEC) /* of an engine that refused: some request ends within it  \
					 */
#define PROBES 2			/* at once, at an engine that failed last */
#define FAILING_WEIGHT 0.1
#define FAILING_PENALTY                                                                            \
	(500.0 * USEC_PER_MSEC) /* on the first token, at an engine that always fails */
#define FOREIGN_WEIGHT 0.2
#define FOREIGN_MEMORY (1 * USEC_PER_SEC) /* a report of foreign load is believed so long */
#define RATE_WEIGHT 0.3
#define REPORT_GRACE                                                                               \
	(1500 * USEC_PER_MSEC) /* a place not told of for longer is free: one report may be lost   \
				*/
#define RATE_SPAN (500 * USEC_PER_MSEC)

typedef struct record record_t;
typedef struct sched_lane sched_lane_t;
typedef struct pool_state pool_state_t;

/* One workspace's line at one pool. */
struct sched_lane {
	struct cds_list_head link;
	id_t32 workspace;
	double served; /* tokens, of all owners, as of `served_at` */
	double untold; /* served here, not told to the other owners */
	instant_t served_at;
	struct cds_list_head timely; /* record_t, the oldest first */
	struct cds_list_head late;
};

struct record {
	struct cds_list_head bucket;
	struct cds_list_head link; /* in its lane while it waits */
	unsigned int router;
	ask_t ask;
	instant_t arrived;
	instant_t late_until;
	instant_t told_at; /* when its router last told that it has the place */
	sched_lane_t *lane;
	struct engine_state *engine; /* NULL while it waits */
	engine_run_t run;
};

typedef struct engine_state {
	struct cds_list_head link;
	pool_state_t *pool;
	engine_t model;
	bool usable;
	unsigned int failures; /* in a row */
	double failing;	       /* share of the requests, lately */
	instant_t down_until;
	double foreign; /* requests there that others than this owner sent */
	instant_t foreign_at;
} engine_state_t;

struct pool_state {
	struct cds_list_head link;
	id_t32 id;
	struct cds_list_head lanes;
	struct cds_list_head engines;
	unsigned int timely;
	unsigned int late;
	unsigned int granted; /* since `rate_from` */
	instant_t rate_from;
	double rate;	    /* grants a microsecond */
	instant_t promised; /* the latest moment at which a refused caller was told to come back */
};

struct scheduler {
	scheduler_options_t options;
	const allocator_t *allocator;
	struct cds_list_head pools;
	struct cds_list_head buckets[BUCKETS];
	scheduler_action_t *actions;
	unsigned int action_first;
	unsigned int action_count;
	unsigned int action_room;
	unsigned int running;
	scheduler_stats_t stats;
};

/* --- finding ---------------------------------------------------------- */

static struct cds_list_head *bucket_of(
	const scheduler_t *this, unsigned int router, uint64_t ticket)
{
	uint64_t mixed = (ticket + router * 0x9e3779b97f4a7c15ULL) * 0xff51afd7ed558ccdULL;

	return (struct cds_list_head *)&this->buckets[(mixed >> 32) % BUCKETS];
}

static record_t *find(const scheduler_t *this, unsigned int router, uint64_t ticket)
{
	record_t *record;

	cds_list_for_each_entry (record, bucket_of(this, router, ticket), bucket) {
		if (record->router == router && record->ask.ticket == ticket)
			return record;
	}
	return NULL;
}

static pool_state_t *find_pool(const scheduler_t *this, id_t32 id)
{
	pool_state_t *pool;

	cds_list_for_each_entry (pool, &this->pools, link) {
		if (pool->id == id)
			return pool;
	}
	return NULL;
}

static engine_state_t *find_engine(const scheduler_t *this, id_t32 id)
{
	pool_state_t *pool;
	engine_state_t *engine;

	cds_list_for_each_entry (pool, &this->pools, link) {
		cds_list_for_each_entry (engine, &pool->engines, link) {
			if (engine->model.id == id)
				return engine;
		}
	}
	return NULL;
}

static pool_state_t *pool_for(scheduler_t *this, id_t32 id)
{
	pool_state_t *pool = find_pool(this, id);

	if (pool)
		return pool;
	pool = allocator_new(this->allocator, 1, sizeof(*pool));
	pool->id = id;
	CDS_INIT_LIST_HEAD(&pool->lanes);
	CDS_INIT_LIST_HEAD(&pool->engines);
	cds_list_add(&pool->link, &this->pools);
	return pool;
}

static sched_lane_t *lane_for(scheduler_t *this, pool_state_t *pool, id_t32 workspace)
{
	sched_lane_t *lane;

	cds_list_for_each_entry (lane, &pool->lanes, link) {
		if (lane->workspace == workspace)
			return lane;
	}
	lane = allocator_new(this->allocator, 1, sizeof(*lane));
	lane->workspace = workspace;
	CDS_INIT_LIST_HEAD(&lane->timely);
	CDS_INIT_LIST_HEAD(&lane->late);
	cds_list_add_tail(&lane->link, &pool->lanes);
	return lane;
}

/* --- records ---------------------------------------------------------- */

static record_t *record_new(scheduler_t *this, unsigned int router, const ask_t *ask, instant_t now)
{
	record_t *record = allocator_new(this->allocator, 1, sizeof(*record));

	record->router = router;
	record->ask = *ask;
	record->arrived = now;
	cds_list_add(&record->bucket, bucket_of(this, router, ask->ticket));
	return record;
}

static void record_delete(scheduler_t *this, record_t *record)
{
	cds_list_del(&record->bucket);
	allocator_delete(this->allocator, record);
}

static void enqueue(record_t *record, bool late)
{
	record->ask.is_late = late;
	cds_list_add_tail(&record->link, late ? &record->lane->late : &record->lane->timely);
}

/* --- actions ---------------------------------------------------------- */

static void push(scheduler_t *this, const scheduler_action_t *action)
{
	if (this->action_count == this->action_room) {
		unsigned int to = this->action_room + ACTION_BATCH;

		this->actions = allocator_grow(this->allocator, this->actions, this->action_room,
			to, sizeof(*this->actions));
		this->action_room = to;
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

/* --- fair share ------------------------------------------------------- */

static double lane_level(const sched_lane_t *lane, instant_t now)
{
	return lane->served * exp(-(double)(now - lane->served_at) / SERVICE_MEMORY);
}

static void lane_charge(sched_lane_t *lane, double tokens, instant_t now)
{
	lane->served = lane_level(lane, now) + tokens;
	if (lane->served < 0)
		lane->served = 0;
	lane->served_at = now;
}

/* Tokens served here: the other owners are to hear of them. */
static void lane_serve(sched_lane_t *lane, double tokens, instant_t now)
{
	lane_charge(lane, tokens, now);
	lane->untold += tokens;
}

static double cost_of(const ask_t *ask)
{
	return ask->work.prompt + (double)ANSWER_WEIGHT * ask->work.answer;
}

/* --- when to come back ------------------------------------------------ */

static void count_grant(pool_state_t *pool, instant_t now)
{
	double rate;

	pool->granted++;
	if (!pool->rate_from)
		pool->rate_from = now;
	if (now < pool->rate_from + RATE_SPAN)
		return;
	rate = (double)pool->granted / (double)(now - pool->rate_from);
	pool->rate = pool->rate > 0 ? pool->rate + RATE_WEIGHT * (rate - pool->rate) : rate;
	pool->granted = 0;
	pool->rate_from = now;
}

/* Refused callers are spread over the time in which there will be places for them. */
static uint32_t retry_after(pool_state_t *pool, instant_t now)
{
	instant_t first = now + RETRY_FIRST_MS * USEC_PER_MSEC;
	double spacing = pool->rate > 0 ? 1 / (pool->rate * RETURNING_PART) : 0;
	uint64_t ms;

	if (pool->promised < first)
		pool->promised = first;
	pool->promised += (uint64_t)spacing;
	ms = (pool->promised - now) / USEC_PER_MSEC;
	return ms > RETRY_MOST_MS ? RETRY_MOST_MS : (uint32_t)ms;
}

static void count_waiting(pool_state_t *pool, const record_t *record, int step)
{
	if (record->ask.is_late)
		pool->late += (unsigned int)step;
	else
		pool->timely += (unsigned int)step;
}

static void refuse(scheduler_t *this, pool_state_t *pool, record_t *record, instant_t now)
{
	scheduler_action_t action = {
		.kind = SCHEDULER_REFUSE,
		.router = record->router,
		.ticket = record->ask.ticket,
		.retry_after_ms = retry_after(pool, now),
	};

	push(this, &action);
	this->stats.refused++;
	count_waiting(pool, record, -1);
	cds_list_del(&record->link);
	record_delete(this, record);
}

/* --- placing ---------------------------------------------------------- */

static unsigned int foreign_load(const engine_state_t *engine, instant_t now)
{
	return now < engine->foreign_at + FOREIGN_MEMORY ? (unsigned int)(engine->foreign + 0.5)
							 : 0;
}

/* Slots that this owner may fill. */
static unsigned int usable_slots(const engine_state_t *engine, instant_t now)
{
	unsigned int foreign = foreign_load(engine, now);
	unsigned int slots = engine->model.slots;

	if (!engine->usable || now < engine->down_until)
		return 0;
	if (engine->failures)
		return PROBES;
	return slots > foreign ? slots - foreign : 1;
}

/* What the engine that has most of the prompt would have to read, with room or without. */
static uint32_t least_unread(const pool_state_t *pool, const ask_t *ask)
{
	const engine_state_t *engine;
	uint32_t least = UINT32_MAX;

	cds_list_for_each_entry (engine, &pool->engines, link) {
		uint32_t unread = engine_unread(&engine->model, &ask->work);

		if (engine->usable && unread < least)
			least = unread;
	}
	return least;
}

/* Which engines come into question. */
typedef struct engine_choice {
	unsigned int reserve; /* a part of the slots that is left free, 0: none */
	uint32_t most_unread; /* tokens of the prompt */
} engine_choice_t;

static const engine_choice_t any_engine = {0, UINT32_MAX};
static const engine_choice_t late_engine = {LATE_RESERVE, UINT32_MAX};

/* The usable engine on which the first token would come soonest; NULL when none has room. */
static engine_state_t *best_engine(const scheduler_t *this, const pool_state_t *pool,
	const ask_t *ask, const engine_choice_t *choice, instant_t now, instant_t *first_at)
{
	engine_state_t *best = NULL;
	engine_state_t *engine;

	cds_list_for_each_entry (engine, &pool->engines, link) {
		const engine_t *model = &engine->model;
		unsigned int kept = choice->reserve ? model->slots / choice->reserve : 0;
		instant_t at;

		if (!engine_has_room(model, &ask->work) ||
			model->running + kept >= usable_slots(engine, now))
			continue;
		if (engine_backlog(model, now) > this->options.max_backlog)
			continue;
		if (choice->most_unread != UINT32_MAX &&
			engine_unread(model, &ask->work) > choice->most_unread)
			continue;
		at = engine_first_at(model, &ask->work, now);
		at += (instant_t)(engine->failing * FAILING_PENALTY);
		if (model->id == ask->avoid)
			at += 1 * USEC_PER_SEC;
		if (best && at >= *first_at)
			continue;
		best = engine;
		*first_at = at;
	}
	return best;
}

/* The shortest span to a first token on any engine of the pool that were idle. */
static uint64_t alone_span(const pool_state_t *pool, const ask_t *ask)
{
	const engine_state_t *engine;
	uint64_t least = UINT64_MAX;

	cds_list_for_each_entry (engine, &pool->engines, link) {
		uint64_t span = engine_first_alone(&engine->model, &ask->work);

		if (engine->usable && span < least)
			least = span;
	}
	return least;
}

static void push_grant(scheduler_t *this, const record_t *record)
{
	scheduler_action_t action = {
		.kind = SCHEDULER_GRANT,
		.router = record->router,
		.ticket = record->ask.ticket,
		.engine = record->engine->model.id,
	};

	push(this, &action);
}

static void grant(scheduler_t *this, pool_state_t *pool, record_t *record, engine_state_t *engine,
	instant_t now)
{
	record->engine = engine;
	push_grant(this, record);
	this->stats.granted++;
	this->stats.granted_late += record->ask.is_late;
	count_waiting(pool, record, -1);
	count_grant(pool, now);
	cds_list_del(&record->link);
	lane_serve(record->lane, cost_of(&record->ask), now);
	record->told_at = now;
	this->running++;
	engine_begin(&engine->model, &record->run, &record->ask.work, now);
}

/*
 * The newest of the lane that would be in time; NULL when none of those looked
 * at would.  `at_home`: only where most of its shared parts were read.
 */
static record_t *pick_timely(const scheduler_t *this, const pool_state_t *pool, sched_lane_t *lane,
	bool at_home, instant_t now, engine_state_t **engine)
{
	unsigned int looked = 0;
	record_t *record;

	cds_list_for_each_entry_reverse(record, &lane->timely, link)
	{
		engine_choice_t choice = any_engine;
		instant_t first_at;

		if (at_home)
			choice.most_unread = least_unread(pool, &record->ask) + HOME_SLACK;
		*engine = best_engine(this, pool, &record->ask, &choice, now, &first_at);
		if (*engine && first_at <= record->ask.first_by)
			return record;
		if (++looked == LOOKED_AT)
			return NULL;
	}
	return NULL;
}

static bool has_free_engine(const scheduler_t *this, const pool_state_t *pool, instant_t now)
{
	const engine_state_t *engine;

	cds_list_for_each_entry (engine, &pool->engines, link) {
		if (engine->model.running < usable_slots(engine, now) &&
			engine_backlog(&engine->model, now) <= this->options.max_backlog)
			return true;
	}
	return false;
}

static double least_level(pool_state_t *pool, instant_t now)
{
	sched_lane_t *lane;
	double least = HUGE_VAL;

	cds_list_for_each_entry (lane, &pool->lanes, link) {
		if (!cds_list_empty(&lane->timely) && lane_level(lane, now) < least)
			least = lane_level(lane, now);
	}
	return least;
}

/* A request and the engine that it may begin on. */
typedef struct candidate {
	record_t *record; /* NULL: none */
	engine_state_t *engine;
	double level; /* of its lane */
} candidate_t;

/* Of the least served lane that has one to place, up to `most_level`. */
static candidate_t find_timely(
	const scheduler_t *this, pool_state_t *pool, bool at_home, double most_level, instant_t now)
{
	candidate_t best = {0};
	sched_lane_t *lane;

	cds_list_for_each_entry (lane, &pool->lanes, link) {
		double level = lane_level(lane, now);
		engine_state_t *engine = NULL;
		record_t *record;

		if (cds_list_empty(&lane->timely) || level > most_level ||
			(best.record && level >= best.level))
			continue;
		record = pick_timely(this, pool, lane, at_home, now, &engine);
		if (record)
			best = (candidate_t){record, engine, level};
	}
	return best;
}

/*
 * A free slot goes to work whose shared parts its engine has read, if a lane
 * that is little ahead has some; else to the least served.
 */
static candidate_t next_timely(const scheduler_t *this, pool_state_t *pool, instant_t now)
{
	candidate_t found = {0};

	if (pool->timely)
		found = find_timely(this, pool, true, least_level(pool, now) + HOME_LAG, now);
	if (pool->timely && !found.record)
		found = find_timely(this, pool, false, HUGE_VAL, now);
	return found;
}

/* The longest waiting of the least served lane that has late work. */
static candidate_t next_late(const scheduler_t *this, pool_state_t *pool, instant_t now)
{
	candidate_t best = {0};
	sched_lane_t *lane;
	instant_t first_at;

	cds_list_for_each_entry (lane, &pool->lanes, link) {
		double level = lane_level(lane, now);

		if (cds_list_empty(&lane->late) || (best.record && level >= best.level))
			continue;
		best.record = cds_list_first_entry(&lane->late, record_t, link);
		best.level = level;
	}
	if (!best.record)
		return best;
	best.engine = best_engine(this, pool, &best.record->ask,
		pool->timely ? &any_engine : &late_engine, now, &first_at);
	if (!best.engine)
		best.record = NULL;
	return best;
}

/*
 * Late work goes when nothing timely can, or when its workspace was served so
 * much less that it would starve behind the timely work of others.
 */
static bool grant_next(scheduler_t *this, pool_state_t *pool, instant_t now)
{
	candidate_t timely;
	candidate_t late;

	if (!has_free_engine(this, pool, now))
		return false;
	timely = next_timely(this, pool, now);
	late = pool->late ? next_late(this, pool, now) : (candidate_t){0};
	if (late.record && (timely.record ? late.level < timely.level * STARVING : !pool->timely))
		grant(this, pool, late.record, late.engine, now);
	else if (timely.record)
		grant(this, pool, timely.record, timely.engine, now);
	else
		return false;
	return true;
}

/* What can't be in time any more joins the late; the late are refused when their wait is over. */
static void expire(scheduler_t *this, pool_state_t *pool, instant_t now, instant_t *next)
{
	record_t *record;
	record_t *after;
	sched_lane_t *lane;

	cds_list_for_each_entry (lane, &pool->lanes, link) {
		cds_list_for_each_entry_safe (record, after, &lane->timely, link) {
			uint64_t span = alone_span(pool, &record->ask);
			instant_t start_by =
				record->ask.first_by > span ? record->ask.first_by - span : 0;

			if (now < start_by) {
				*next = instant_min(*next, start_by);
				continue;
			}
			count_waiting(pool, record, -1);
			cds_list_del(&record->link);
			record->late_until = now + this->options.late_wait;
			enqueue(record, true);
			count_waiting(pool, record, 1);
		}
		cds_list_for_each_entry_safe (record, after, &lane->late, link) {
			instant_t until = instant_min(record->late_until, record->ask.deadline);

			if (now >= until)
				refuse(this, pool, record, now);
			else
				*next = instant_min(*next, until);
		}
	}
}

instant_t scheduler_run(scheduler_t *this, instant_t now)
{
	instant_t next = INSTANT_NEVER;
	pool_state_t *pool;

	cds_list_for_each_entry (pool, &this->pools, link) {
		if (!pool->timely && !pool->late)
			continue;
		while (grant_next(this, pool, now))
			;
		expire(this, pool, now, &next);
		while (grant_next(this, pool, now))
			;
	}
	return next;
}

/* --- events ----------------------------------------------------------- */

void scheduler_ask(scheduler_t *this, unsigned int router, const ask_t *ask, instant_t now)
{
	pool_state_t *pool = pool_for(this, ask->pool);
	record_t *record;
	uint64_t alone;

	record = find(this, router, ask->ticket);
	if (record) { /* told again: the answer may be lost */
		if (record->engine)
			push_grant(this, record);
		return;
	}
	this->stats.asked++;
	record = record_new(this, router, ask, now);
	record->lane = lane_for(this, pool, ask->workspace);
	alone = alone_span(pool, ask);
	if (!ask->is_late && alone != UINT64_MAX && now + alone > ask->first_by)
		record->ask.first_by = now + OUTSIZED_FACTOR * alone;
	record->late_until = now + this->options.late_wait;
	enqueue(record, ask->is_late);
	count_waiting(pool, record, 1);
}

static void release(scheduler_t *this, record_t *record, instant_t now)
{
	engine_end(&record->engine->model, &record->run, now);
	this->running--;
	record_delete(this, record);
}

void scheduler_withdraw(scheduler_t *this, unsigned int router, uint64_t ticket, instant_t now)
{
	record_t *record = find(this, router, ticket);

	if (!record)
		return;
	this->stats.withdrawn++;
	if (record->engine) {
		lane_serve(record->lane, -cost_of(&record->ask), now);
		release(this, record, now);
		return;
	}
	count_waiting(find_pool(this, record->ask.pool), record, -1);
	cds_list_del(&record->link);
	record_delete(this, record);
}

void scheduler_first_token(scheduler_t *this, unsigned int router, uint64_t ticket, instant_t now)
{
	record_t *record = find(this, router, ticket);

	if (!record || !record->engine)
		return;
	engine_read(&record->engine->model, &record->run, now);
	record->engine->failures = 0;
	record->engine->failing *= 1 - FAILING_WEIGHT;
}

void scheduler_load_report(
	scheduler_t *this, unsigned int router, uint64_t ticket, unsigned int load, instant_t now)
{
	record_t *record = find(this, router, ticket);
	engine_state_t *engine = record ? record->engine : NULL;
	unsigned int known;

	if (!engine)
		return;
	known = engine->model.running;
	if (now >= engine->foreign_at + FOREIGN_MEMORY)
		engine->foreign = 0;
	engine->foreign += FOREIGN_WEIGHT * ((load > known ? load - known : 0) - engine->foreign);
	engine->foreign_at = now;
}

static void note_failure(engine_state_t *engine, place_end_t failure, instant_t now)
{
	unsigned int doublings;

	if (failure == PLACE_REFUSED) {
		engine->down_until = now + FULL_PAUSE;
		return;
	}
	engine->failing += FAILING_WEIGHT * (1 - engine->failing);
	doublings = engine->failures < DOWN_DOUBLINGS ? engine->failures : DOWN_DOUBLINGS;
	engine->failures++;
	if (failure == PLACE_UNREACHED || engine->failures > 1)
		engine->down_until = now + (DOWN_FIRST << doublings);
}

void scheduler_fail(
	scheduler_t *this, unsigned int router, uint64_t ticket, place_end_t failure, instant_t now)
{
	record_t *record = find(this, router, ticket);

	if (record && record->engine)
		note_failure(record->engine, failure, now);
	scheduler_withdraw(this, router, ticket, now);
}

void scheduler_end(
	scheduler_t *this, unsigned int router, uint64_t ticket, uint32_t answer, instant_t now)
{
	record_t *record = find(this, router, ticket);

	if (!record || !record->engine)
		return;
	lane_serve(record->lane, (double)ANSWER_WEIGHT * ((double)answer - record->ask.work.answer),
		now);
	release(this, record, now);
}

void scheduler_hear_served(
	scheduler_t *this, id_t32 pool, id_t32 workspace, int32_t tokens, instant_t now)
{
	lane_charge(lane_for(this, pool_for(this, pool), workspace), tokens, now);
}

void scheduler_tell_served(scheduler_t *this,
	void (*each)(void *ctx, id_t32 pool, id_t32 workspace, int32_t tokens), void *ctx)
{
	pool_state_t *pool;
	sched_lane_t *lane;

	cds_list_for_each_entry (pool, &this->pools, link) {
		cds_list_for_each_entry (lane, &pool->lanes, link) {
			int32_t tokens = (int32_t)lane->untold;

			if (!tokens)
				continue;
			lane->untold -= tokens;
			each(ctx, pool->id, lane->workspace, tokens);
		}
	}
}

void scheduler_hold(
	scheduler_t *this, unsigned int router, const held_place_t *place, instant_t now)
{
	engine_state_t *engine = find_engine(this, place->engine);
	record_t *record = find(this, router, place->ticket);
	ask_t ask = {
		.ticket = place->ticket,
		.workspace = place->workspace,
		.work = {.prompt = place->prompt, .answer = place->answer},
	};

	if (record)
		record->told_at = now;
	if (!engine || record)
		return;
	ask.pool = engine->pool->id;
	record = record_new(this, router, &ask, now);
	record->lane = lane_for(this, engine->pool, place->workspace);
	record->engine = engine;
	record->told_at = now;
	this->running++;
	engine_begin(&engine->model, &record->run, &record->ask.work, now);
	if (place->is_read)
		engine_read(&engine->model, &record->run, now);
}

/* Withdraws the router's places of which it last told before `told_before`. */
static void withdraw_untold(
	scheduler_t *this, unsigned int router, instant_t told_before, instant_t now)
{
	record_t *record;
	record_t *after;

	for (unsigned int i = 0; i < BUCKETS; i++) {
		cds_list_for_each_entry_safe (record, after, &this->buckets[i], bucket) {
			if (record->router == router && record->engine &&
				record->told_at < told_before)
				scheduler_withdraw(this, router, record->ask.ticket, now);
		}
	}
}

void scheduler_end_report(scheduler_t *this, unsigned int router, instant_t now)
{
	withdraw_untold(this, router, now > REPORT_GRACE ? now - REPORT_GRACE : 0, now);
}

void scheduler_forget_router(scheduler_t *this, unsigned int router, instant_t now)
{
	record_t *record;
	record_t *after;

	for (unsigned int i = 0; i < BUCKETS; i++) {
		cds_list_for_each_entry_safe (record, after, &this->buckets[i], bucket) {
			if (record->router == router)
				scheduler_withdraw(this, router, record->ask.ticket, now);
		}
	}
}

/* --- engines ---------------------------------------------------------- */

bool scheduler_owns(const scheduler_t *this, id_t32 engine)
{
	return find_engine(this, engine) != NULL;
}

void scheduler_own(
	scheduler_t *this, id_t32 id, id_t32 pool_id, unsigned int slots, uint64_t token_memory)
{
	engine_state_t *engine = find_engine(this, id);

	if (engine) {
		engine->model.slots = slots;
		engine->model.token_memory = token_memory;
		return;
	}
	engine = allocator_new(this->allocator, 1, sizeof(*engine));
	engine->pool = pool_for(this, pool_id);
	engine->usable = true;
	engine_init(&engine->model, id, slots, token_memory);
	cds_list_add_tail(&engine->link, &engine->pool->engines);
}

void scheduler_disown(scheduler_t *this, id_t32 id)
{
	engine_state_t *engine = find_engine(this, id);
	record_t *record;
	record_t *after;

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

void scheduler_set_usable(scheduler_t *this, id_t32 id, bool usable)
{
	engine_state_t *engine = find_engine(this, id);

	if (engine)
		engine->usable = usable;
}

/* --- life ------------------------------------------------------------- */

scheduler_t *scheduler_new(const scheduler_options_t *options)
{
	const allocator_t *allocator = options->allocator ? options->allocator : &allocator_default;
	scheduler_t *this = allocator_new(allocator, 1, sizeof(*this));

	this->options = *options;
	this->allocator = allocator;
	CDS_INIT_LIST_HEAD(&this->pools);
	for (unsigned int i = 0; i < BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&this->buckets[i]);
	return this;
}

static void pool_delete(scheduler_t *this, pool_state_t *pool)
{
	sched_lane_t *lane;
	sched_lane_t *after;
	engine_state_t *engine;
	engine_state_t *next;

	cds_list_for_each_entry_safe (lane, after, &pool->lanes, link)
		allocator_delete(this->allocator, lane);
	cds_list_for_each_entry_safe (engine, next, &pool->engines, link)
		allocator_delete(this->allocator, engine);
	allocator_delete(this->allocator, pool);
}

void scheduler_delete(scheduler_t *this)
{
	record_t *record;
	record_t *after;
	pool_state_t *pool;
	pool_state_t *next;

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

/* --- looking in ------------------------------------------------------- */

scheduler_fill_t scheduler_fill(const scheduler_t *this, id_t32 id, instant_t now)
{
	const pool_state_t *pool = find_pool(this, id);
	const engine_state_t *engine;
	scheduler_fill_t fill = {0};

	if (!pool)
		return fill;
	cds_list_for_each_entry (engine, &pool->engines, link) {
		unsigned int slots = usable_slots(engine, now);

		fill.slots += slots;
		fill.taken += engine->model.running < slots ? engine->model.running : slots;
	}
	fill.taken += pool->timely;
	return fill;
}

unsigned int scheduler_waiting(const scheduler_t *this)
{
	const pool_state_t *pool;
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
