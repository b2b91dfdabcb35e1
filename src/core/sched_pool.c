#include "core/sched_pool.h"

#include <math.h>

#include "core/prefill_plan.h"

#define MAX_CANDIDATES 6       /* newest requests of a lane that are tried for a free slot */
#define LATE_RESERVE_DIVISOR 8 /* late requests leave 1/8 of an engine's slots free */
/* An engine counts as preferred with up to this many prefill tokens more than the best one. */
#define PREFERRED_SLACK 256
/* Tokens by which a lane may be above the lowest level and still go first at preferred engines. */
#define PREFERRED_MAX_LEAD 40000
/* A late request goes first when its lane's level is below this fraction of the timely one's. */
#define STARVATION_RATIO 0.7
/*
 * Tokens below the mean of those that get less than they ask for at which a lane starts at least
 * that begins to get less, too: so a workspace that asks for little goes first.
 */
#define CONTENTION_MAX_LEAD 40000
/* A stream that goes on may wait longer for a slot than other late requests: it comes first. */
#define STARTED_WAIT_FACTOR 4
#define MAX_STARTED_CANDIDATES 16	 /* streams that go on, tried for a free slot */
#define AVOID_PENALTY (1 * USEC_PER_SEC) /* on the engine where the request failed before */

void sched_pool_init(sched_pool_t *this, id_t32 id, const sched_pool_options_t *options)
{
	this->id = id;
	this->options = options;
	CDS_INIT_LIST_HEAD(&this->lanes);
	CDS_INIT_LIST_HEAD(&this->engines);
}

/* A request that is bound to a version goes on with a stream that its caller has a part of. */
static bool is_started(const sched_record_t *record)
{
	return record->request.version != 0;
}

static void count_waiting(sched_pool_t *this, const sched_record_t *record, int step)
{
	if (is_started(record))
		this->started += (unsigned int)step;
	if (record->request.is_late)
		this->late += (unsigned int)step;
	else
		this->timely += (unsigned int)step;
}

void sched_pool_enqueue(sched_pool_t *this, sched_record_t *record, bool late, instant_t now)
{
	sched_lane_t *lane = record->lane;

	record->request.is_late = late;
	record->late_expires_at =
		now + this->options->late_wait * (is_started(record) ? STARTED_WAIT_FACTOR : 1);
	cds_list_add_tail(&record->link, late ? &lane->late : &lane->timely);
	count_waiting(this, record, 1);
}

void sched_pool_dequeue(sched_pool_t *this, sched_record_t *record)
{
	cds_list_del(&record->link);
	count_waiting(this, record, -1);
}

/* --- choice of the engine ----------------------------------------------- */

/* Whether the engine has the version that the request is bound to, and is where it may run. */
static bool may_run(const sched_engine_t *engine, const slot_request_t *request)
{
	return (!request->version || engine->version == request->version) &&
	       region_set_allows(&request->regions, engine->region);
}

/* Whether there may be engines with room that can't run the request. */
static bool is_bound(const slot_request_t *request)
{
	return request->version || request->regions.restricted;
}

/* Returns the usable engine that has most of the prompt cached, even if it has no room, or NULL. */
static const sched_engine_t *preferred_engine(
	const sched_pool_t *this, const slot_request_t *request)
{
	const sched_engine_t *engine;
	const sched_engine_t *best = NULL;
	uint32_t least = 0;

	cds_list_for_each_entry (engine, &this->engines, link) {
		uint32_t prefill = engine_prefill_tokens(&engine->model, &request->work);

		if (!engine->usable || (best && prefill >= least) ||
			!region_set_allows(&request->regions, engine->region))
			continue;
		best = engine;
		least = prefill;
	}
	return best;
}

id_t32 sched_pool_copy_source(
	const sched_pool_t *this, const slot_request_t *request, const sched_engine_t *engine)
{
	const sched_engine_t *best = preferred_engine(this, request);
	uint32_t prefill = engine_prefill_tokens(&engine->model, &request->work);

	if (!best || best == engine ||
		!engine_copy_is_worthwhile(
			prefill, engine_prefill_tokens(&best->model, &request->work)))
		return 0;
	return best->model.id;
}

/* Returns whether the engine can start a prefill now and leave `reserved` slots free. */
static bool can_take_prompt(const sched_pool_t *this, const sched_engine_t *engine,
	unsigned int reserved, instant_t now)
{
	return engine->model.running + reserved < sched_engine_usable_slots(engine, now) &&
	       sched_engine_may_start(engine, now) &&
	       engine_prefill_backlog(&engine->model, now) <= this->options->max_backlog &&
	       engine_can_prefill(&engine->model, now);
}

/* Conditions that an engine must meet, and the source that prompts are copied from. */
typedef struct engine_filter {
	unsigned int reserve_divisor; /* leaves this fraction of the slots free, 0: none */
	uint32_t max_prefill;	      /* most prefill tokens, UINT32_MAX: any */
	uint32_t source_prefill;      /* prefill tokens at the preferred engine */
	uint64_t fastest;	      /* shortest prefill at an engine that may be used */
} engine_filter_t;

static engine_filter_t filter_for(const sched_pool_t *this, const slot_request_t *request,
	unsigned int reserve_divisor, instant_t now)
{
	const sched_engine_t *best = preferred_engine(this, request);

	engine_filter_t filter = {
		.reserve_divisor = reserve_divisor,
		.max_prefill = UINT32_MAX,
		.source_prefill =
			best ? engine_prefill_tokens(&best->model, &request->work) : UINT32_MAX,
		.fastest = UINT64_MAX,
	};
	const sched_engine_t *engine;

	cds_list_for_each_entry (engine, &this->engines, link) {
		uint64_t prefill =
			prefill_plan_at(&engine->model, &request->work, filter.source_prefill);

		if (prefill < filter.fastest && may_run(engine, request) &&
			sched_engine_usable_slots(engine, now))
			filter.fastest = prefill;
	}
	return filter;
}

/* Returns the engine where the first token is expected soonest; NULL when none has room. */
static sched_engine_t *best_engine(const sched_pool_t *this, const slot_request_t *request,
	const engine_filter_t *filter, instant_t now, instant_t *first_token_at)
{
	sched_engine_t *best = NULL;
	instant_t best_rank = 0;
	sched_engine_t *engine;

	cds_list_for_each_entry (engine, &this->engines, link) {
		const engine_t *model = &engine->model;
		unsigned int reserved =
			filter->reserve_divisor ? model->limits.slots / filter->reserve_divisor : 0;
		instant_t expected_at;
		instant_t rank;

		if (!may_run(engine, request) || !engine_has_room(model, &request->work) ||
			!can_take_prompt(this, engine, reserved, now) ||
			!prefill_plan_suits(model, &request->work, filter->source_prefill,
				request->is_late ? PREFILL_PLAN_ANY : filter->fastest, now))
			continue;
		if (filter->max_prefill != UINT32_MAX &&
			engine_prefill_tokens(model, &request->work) > filter->max_prefill)
			continue;
		expected_at =
			engine_first_token_at(model, &request->work, filter->source_prefill, now);
		rank = expected_at + sched_engine_failure_penalty(engine);
		if (model->id == request->avoid)
			rank += AVOID_PENALTY;
		if (best && rank >= best_rank)
			continue;
		best = engine;
		best_rank = rank;
		*first_token_at = expected_at;
	}
	return best;
}

uint64_t sched_pool_idle_first_token_delay(const sched_pool_t *this, const slot_request_t *request)
{
	const sched_engine_t *engine;
	uint64_t least = UINT64_MAX;

	cds_list_for_each_entry (engine, &this->engines, link) {
		uint64_t delay = engine_idle_first_token_delay(&engine->model, &request->work);

		if (engine->usable && may_run(engine, request) && delay < least)
			least = delay;
	}
	return least;
}

static bool has_free_engine(const sched_pool_t *this, instant_t now)
{
	const sched_engine_t *engine;

	cds_list_for_each_entry (engine, &this->engines, link) {
		if (can_take_prompt(this, engine, 0, now))
			return true;
	}
	return false;
}

/* --- choice of the request ---------------------------------------------- */

/*
 * Returns the newest request of the lane that would be in time on some engine;
 * NULL when none of the examined ones would.  With `preferred_only`, only engines
 * are used that have about as much of the prompt cached as the preferred one.
 */
static sched_record_t *pick_timely(const sched_pool_t *this, sched_lane_t *lane,
	bool preferred_only, instant_t now, sched_engine_t **engine)
{
	unsigned int examined = 0;
	sched_record_t *record;

	cds_list_for_each_entry_reverse (record, &lane->timely, link) {
		engine_filter_t filter = filter_for(this, &record->request, 0, now);
		instant_t first_token_at;

		if (preferred_only)
			filter.max_prefill = filter.source_prefill + PREFERRED_SLACK;
		*engine = best_engine(this, &record->request, &filter, now, &first_token_at);
		if (*engine && first_token_at <= record->request.first_token_deadline)
			return record;
		if (++examined == MAX_CANDIDATES)
			return NULL;
	}
	return NULL;
}

static double lowest_level(sched_pool_t *this, instant_t now)
{
	sched_lane_t *lane;
	double lowest = HUGE_VAL;

	cds_list_for_each_entry (lane, &this->lanes, link) {
		if (!cds_list_empty(&lane->timely) && sched_lane_level(lane, now) < lowest)
			lowest = sched_lane_level(lane, now);
	}
	return lowest;
}

/*
 * Chooses a timely request that can start now, from the lane with the lowest level
 * that has one; lanes above `max_level` are left out.
 */
static sched_choice_t find_timely(
	sched_pool_t *this, bool preferred_only, double max_level, instant_t now)
{
	sched_choice_t best = {0};
	sched_lane_t *lane;

	cds_list_for_each_entry (lane, &this->lanes, link) {
		double level = sched_lane_level(lane, now);
		sched_engine_t *engine = NULL;
		sched_record_t *record;

		if (cds_list_empty(&lane->timely) || level > max_level ||
			(best.record && level >= best.level))
			continue;
		record = pick_timely(this, lane, preferred_only, now, &engine);
		if (record)
			best = (sched_choice_t){record, engine, level};
	}
	return best;
}

/*
 * A free slot goes first to a request for which its engine is preferred, if the
 * level of the request's lane is at most PREFERRED_MAX_LEAD above the lowest one;
 * else to the lane with the lowest level that has a request that can start.
 */
static sched_choice_t next_timely(sched_pool_t *this, instant_t now)
{
	sched_choice_t found = {0};

	if (this->timely)
		found = find_timely(this, true, lowest_level(this, now) + PREFERRED_MAX_LEAD, now);
	if (this->timely && !found.record)
		found = find_timely(this, false, HUGE_VAL, now);
	return found;
}

/*
 * The late request of the lane that has waited longest; one that is bound to a version only if it
 * can start now, as the others would wait behind it; NULL: none.
 */
static sched_record_t *first_late(const sched_pool_t *this, const sched_lane_t *lane, instant_t now)
{
	sched_record_t *record;

	cds_list_for_each_entry (record, &lane->late, link) {
		engine_filter_t filter;
		instant_t first_token_at;

		if (!is_bound(&record->request))
			return record;
		filter = filter_for(this, &record->request, 0, now);
		if (best_engine(this, &record->request, &filter, now, &first_token_at))
			return record;
	}
	return NULL;
}

/*
 * Chooses the request that has waited longest of the lane with the lowest level
 * that has late requests.
 */
static sched_choice_t next_late(sched_pool_t *this, instant_t now)
{
	sched_choice_t best = {0};
	engine_filter_t filter;
	sched_lane_t *lane;
	instant_t first_token_at;

	cds_list_for_each_entry (lane, &this->lanes, link) {
		double level = sched_lane_level(lane, now);
		sched_record_t *record;

		if (best.record && level >= best.level)
			continue;
		record = first_late(this, lane, now);
		if (record)
			best = (sched_choice_t){.record = record, .level = level};
	}
	if (!best.record)
		return best;
	filter = filter_for(
		this, &best.record->request, this->timely ? 0 : LATE_RESERVE_DIVISOR, now);
	best.engine = best_engine(this, &best.record->request, &filter, now, &first_token_at);
	if (!best.engine)
		best.record = NULL;
	return best;
}

/* The first stream of the list that can go on now; lowers `left`, the number that may be tried. */
static sched_record_t *first_started(const sched_pool_t *this, const struct cds_list_head *list,
	instant_t now, sched_engine_t **engine, unsigned int *left)
{
	sched_record_t *record;

	cds_list_for_each_entry (record, list, link) {
		engine_filter_t filter;
		instant_t first_token_at;

		if (!is_started(record) || !*left)
			continue;
		(*left)--;
		filter = filter_for(this, &record->request, 0, now);
		*engine = best_engine(this, &record->request, &filter, now, &first_token_at);
		if (*engine)
			return record;
	}
	return NULL;
}

/* Chooses a stream that can go on now, of the lane with the lowest level that has one. */
static sched_choice_t next_started(sched_pool_t *this, instant_t now)
{
	unsigned int left = MAX_STARTED_CANDIDATES;
	sched_choice_t best = {0};
	sched_lane_t *lane;

	cds_list_for_each_entry (lane, &this->lanes, link) {
		double level = sched_lane_level(lane, now);
		sched_engine_t *engine = NULL;
		sched_record_t *record;

		if (best.record && level >= best.level)
			continue;
		record = first_started(this, &lane->timely, now, &engine, &left);
		if (!record)
			record = first_started(this, &lane->late, now, &engine, &left);
		if (record)
			best = (sched_choice_t){record, engine, level};
	}
	return best;
}

/*
 * A stream that goes on comes first.  A late request starts when no timely one waits, or when its
 * workspace was served so much less that it would starve behind the timely requests of others.
 */
sched_choice_t sched_pool_next(sched_pool_t *this, instant_t now)
{
	sched_choice_t timely = {0};
	sched_choice_t late = {0};

	if (!has_free_engine(this, now))
		return timely;
	if (this->started) {
		sched_choice_t started = next_started(this, now);

		if (started.record)
			return started;
	}
	timely = next_timely(this, now);
	if (this->late)
		late = next_late(this, now);
	if (late.record &&
		(timely.record ? late.level < timely.level * STARVATION_RATIO : !this->timely))
		return late;
	return timely;
}

/* --- contention --------------------------------------------------------- */

/* The levels of the lanes that get less than they ask for. */
typedef struct level_range {
	unsigned int lanes;
	double mean;
	double highest;
} level_range_t;

static level_range_t find_contended_levels(const sched_pool_t *this, instant_t now)
{
	level_range_t range = {0};
	const sched_lane_t *lane;

	cds_list_for_each_entry (lane, &this->lanes, link) {
		double level = sched_lane_level(lane, now);

		if (!sched_lane_is_contended(lane, now))
			continue;
		range.mean = (range.mean * range.lanes + level) / (range.lanes + 1);
		range.highest = fmax(range.highest, level);
		range.lanes++;
	}
	return range;
}

/* What the workspaces were served until now was wanted by nobody else. */
static void reset_levels(sched_pool_t *this, instant_t now)
{
	sched_lane_t *lane;

	cds_list_for_each_entry (lane, &this->lanes, link)
		sched_lane_limit_level(lane, 0, 0, now);
}

/*
 * A request of the lane could not start in time.  Without the limits a lane far below the others
 * would be served alone until it reaches them, and one far above would wait until it has decayed.
 */
static void note_contention(sched_pool_t *this, sched_lane_t *lane, instant_t now)
{
	level_range_t range = find_contended_levels(this, now);

	if (!range.lanes)
		reset_levels(this, now);
	else if (!sched_lane_is_contended(lane, now))
		sched_lane_limit_level(
			lane, fmax(range.mean - CONTENTION_MAX_LEAD, 0), range.highest, now);
	sched_lane_set_contended(lane, now);
}

/* --- time --------------------------------------------------------------- */

/* Returns when the request must start at the latest to be in time on an idle engine. */
static instant_t latest_start(const sched_pool_t *this, const sched_record_t *record)
{
	uint64_t delay = sched_pool_idle_first_token_delay(this, &record->request);

	return record->request.first_token_deadline > delay
		       ? record->request.first_token_deadline - delay
		       : 0;
}

static void expire_timely(sched_pool_t *this, sched_lane_t *lane, instant_t now, instant_t *next)
{
	sched_record_t *record;
	sched_record_t *after;

	cds_list_for_each_entry_safe (record, after, &lane->timely, link) {
		instant_t until = latest_start(this, record);

		if (now < until) {
			*next = instant_min(*next, until);
			continue;
		}
		note_contention(this, lane, now);
		sched_pool_dequeue(this, record);
		sched_pool_enqueue(this, record, true, now);
	}
}

void sched_pool_expire(sched_pool_t *this, instant_t now, instant_t *next,
	void (*refuse)(void *ctx, sched_record_t *record), void *ctx)
{
	sched_record_t *record;
	sched_record_t *after;
	sched_lane_t *lane;

	cds_list_for_each_entry (lane, &this->lanes, link) {
		expire_timely(this, lane, now, next);
		cds_list_for_each_entry_safe (record, after, &lane->late, link) {
			instant_t until =
				instant_min(record->late_expires_at, record->request.deadline);

			if (now >= until)
				refuse(ctx, record);
			else
				*next = instant_min(*next, until);
		}
	}
}
