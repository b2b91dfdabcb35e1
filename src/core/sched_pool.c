#include "core/sched_pool.h"

#include <math.h>

#define LOOKED_AT 6	   /* newest of a lane, of which the first that fits is taken */
#define LATE_RESERVE 8	   /* a part of an engine's slots, left free by late work */
#define HOME_SLACK 256	   /* tokens more to read, with which an engine still counts as home */
#define HOME_LAG 40000	   /* tokens that a lane may be ahead, to be served where its parts are */
#define STARVING 0.7	   /* of the service of others, below which late work goes first */
#define RETRY_FIRST_MS 400 /* of a refusal, when nobody else was told to come back */
#define RETRY_MOST_MS 8000
#define RETURNING_PART 0.25		 /* of the grants, for those who were told to come back */
#define AVOID_PENALTY (1 * USEC_PER_SEC) /* on the engine where the request failed before */
#define RATE_WEIGHT 0.3
#define RATE_SPAN (500 * USEC_PER_MSEC) /* over which grants are counted */

void sched_pool_init(sched_pool_t *this, id_t32 id, const sched_pool_options_t *options)
{
	this->id = id;
	this->options = options;
	CDS_INIT_LIST_HEAD(&this->lanes);
	CDS_INIT_LIST_HEAD(&this->engines);
}

static void count_waiting(sched_pool_t *this, const sched_record_t *record, int step)
{
	if (record->ask.is_late)
		this->late += (unsigned int)step;
	else
		this->timely += (unsigned int)step;
}

void sched_pool_enqueue(sched_pool_t *this, sched_record_t *record, bool late, instant_t now)
{
	sched_lane_t *lane = record->lane;

	record->ask.is_late = late;
	record->late_until = now + this->options->late_wait;
	cds_list_add_tail(&record->link, late ? &lane->late : &lane->timely);
	count_waiting(this, record, 1);
}

void sched_pool_dequeue(sched_pool_t *this, sched_record_t *record)
{
	cds_list_del(&record->link);
	count_waiting(this, record, -1);
}

/* --- when to come back ------------------------------------------------ */

void sched_pool_count_grant(sched_pool_t *this, instant_t now)
{
	double rate;

	this->granted++;
	if (!this->rate_from)
		this->rate_from = now;
	if (now < this->rate_from + RATE_SPAN)
		return;
	rate = (double)this->granted / (double)(now - this->rate_from);
	this->rate = this->rate > 0 ? this->rate + RATE_WEIGHT * (rate - this->rate) : rate;
	this->granted = 0;
	this->rate_from = now;
}

/* Refused callers are spread over the time in which there will be places for them. */
uint32_t sched_pool_retry_after(sched_pool_t *this, instant_t now)
{
	instant_t first = now + RETRY_FIRST_MS * USEC_PER_MSEC;
	double spacing = this->rate > 0 ? 1 / (this->rate * RETURNING_PART) : 0;
	uint64_t ms;

	if (this->promised < first)
		this->promised = first;
	this->promised += (uint64_t)spacing;
	ms = (this->promised - now) / USEC_PER_MSEC;
	return ms > RETRY_MOST_MS ? RETRY_MOST_MS : (uint32_t)ms;
}

/* --- which engine ------------------------------------------------------ */

/* The engine that has most of the prompt, with room or without; NULL without a usable one. */
static const sched_engine_t *best_read(const sched_pool_t *this, const ask_t *ask)
{
	const sched_engine_t *engine;
	const sched_engine_t *best = NULL;
	uint32_t least = 0;

	cds_list_for_each_entry (engine, &this->engines, link) {
		uint32_t unread = engine_unread(&engine->model, &ask->work);

		if (!engine->usable || (best && unread >= least))
			continue;
		best = engine;
		least = unread;
	}
	return best;
}

id_t32 sched_pool_source(const sched_pool_t *this, const ask_t *ask, const sched_engine_t *engine)
{
	const sched_engine_t *best = best_read(this, ask);
	uint32_t unread = engine_unread(&engine->model, &ask->work);

	if (!best || best == engine ||
		!engine_copy_pays(unread, engine_unread(&best->model, &ask->work)))
		return 0;
	return best->model.id;
}

/* It may begin with a prompt, with `kept` slots left free. */
static bool takes_prompt(
	const sched_pool_t *this, const sched_engine_t *engine, unsigned int kept, instant_t now)
{
	return engine->model.running + kept < sched_engine_slots(engine, now) &&
	       engine_backlog(&engine->model, now) <= this->options->max_backlog &&
	       engine_may_read(&engine->model, now);
}

/* Which engines come into question. */
typedef struct engine_choice {
	unsigned int reserve; /* a part of the slots that is left free, 0: none */
	uint32_t most_unread; /* tokens of the prompt */
	uint32_t elsewhere;   /* tokens that no engine has read */
} engine_choice_t;

static engine_choice_t choice_for(const sched_pool_t *this, const ask_t *ask, unsigned int reserve)
{
	const sched_engine_t *best = best_read(this, ask);

	return (engine_choice_t){
		.reserve = reserve,
		.most_unread = UINT32_MAX,
		.elsewhere = best ? engine_unread(&best->model, &ask->work) : UINT32_MAX,
	};
}

/* The usable engine on which the first token would come soonest; NULL when none has room. */
static sched_engine_t *best_engine(const sched_pool_t *this, const ask_t *ask,
	const engine_choice_t *choice, instant_t now, instant_t *first_at)
{
	sched_engine_t *best = NULL;
	instant_t best_rank = 0;
	sched_engine_t *engine;

	cds_list_for_each_entry (engine, &this->engines, link) {
		const engine_t *model = &engine->model;
		unsigned int kept = choice->reserve ? model->limits.slots / choice->reserve : 0;
		instant_t at;
		instant_t rank;

		if (!engine_has_room(model, &ask->work) || !takes_prompt(this, engine, kept, now))
			continue;
		if (choice->most_unread != UINT32_MAX &&
			engine_unread(model, &ask->work) > choice->most_unread)
			continue;
		at = engine_first_at(model, &ask->work, choice->elsewhere, now);
		rank = at + sched_engine_penalty(engine);
		if (model->id == ask->avoid)
			rank += AVOID_PENALTY;
		if (best && rank >= best_rank)
			continue;
		best = engine;
		best_rank = rank;
		*first_at = at;
	}
	return best;
}

uint64_t sched_pool_alone_span(const sched_pool_t *this, const ask_t *ask)
{
	const sched_engine_t *engine;
	uint64_t least = UINT64_MAX;

	cds_list_for_each_entry (engine, &this->engines, link) {
		uint64_t span = engine_first_alone(&engine->model, &ask->work);

		if (engine->usable && span < least)
			least = span;
	}
	return least;
}

static bool has_free_engine(const sched_pool_t *this, instant_t now)
{
	const sched_engine_t *engine;

	cds_list_for_each_entry (engine, &this->engines, link) {
		if (takes_prompt(this, engine, 0, now))
			return true;
	}
	return false;
}

/* --- which request ----------------------------------------------------- */

/*
 * The newest of the lane that would be in time; NULL when none of those looked
 * at would.  `at_home`: only where most of its shared parts were read.
 */
static sched_record_t *pick_timely(const sched_pool_t *this, sched_lane_t *lane, bool at_home,
	instant_t now, sched_engine_t **engine)
{
	unsigned int looked = 0;
	sched_record_t *record;

	cds_list_for_each_entry_reverse (record, &lane->timely, link) {
		engine_choice_t choice = choice_for(this, &record->ask, 0);
		instant_t first_at;

		if (at_home)
			choice.most_unread = choice.elsewhere + HOME_SLACK;
		*engine = best_engine(this, &record->ask, &choice, now, &first_at);
		if (*engine && first_at <= record->ask.first_by)
			return record;
		if (++looked == LOOKED_AT)
			return NULL;
	}
	return NULL;
}

static double least_level(sched_pool_t *this, instant_t now)
{
	sched_lane_t *lane;
	double least = HUGE_VAL;

	cds_list_for_each_entry (lane, &this->lanes, link) {
		if (!cds_list_empty(&lane->timely) && sched_lane_level(lane, now) < least)
			least = sched_lane_level(lane, now);
	}
	return least;
}

/* Of the least served lane that has one to place, up to `most_level`. */
static sched_choice_t find_timely(
	sched_pool_t *this, bool at_home, double most_level, instant_t now)
{
	sched_choice_t best = {0};
	sched_lane_t *lane;

	cds_list_for_each_entry (lane, &this->lanes, link) {
		double level = sched_lane_level(lane, now);
		sched_engine_t *engine = NULL;
		sched_record_t *record;

		if (cds_list_empty(&lane->timely) || level > most_level ||
			(best.record && level >= best.level))
			continue;
		record = pick_timely(this, lane, at_home, now, &engine);
		if (record)
			best = (sched_choice_t){record, engine, level};
	}
	return best;
}

/*
 * A free slot goes to work whose shared parts its engine has read, if a lane
 * that is little ahead has some; else to the least served.
 */
static sched_choice_t next_timely(sched_pool_t *this, instant_t now)
{
	sched_choice_t found = {0};

	if (this->timely)
		found = find_timely(this, true, least_level(this, now) + HOME_LAG, now);
	if (this->timely && !found.record)
		found = find_timely(this, false, HUGE_VAL, now);
	return found;
}

/* The longest waiting of the least served lane that has late work. */
static sched_choice_t next_late(sched_pool_t *this, instant_t now)
{
	sched_choice_t best = {0};
	engine_choice_t choice;
	sched_lane_t *lane;
	instant_t first_at;

	cds_list_for_each_entry (lane, &this->lanes, link) {
		double level = sched_lane_level(lane, now);

		if (cds_list_empty(&lane->late) || (best.record && level >= best.level))
			continue;
		best.record = cds_list_first_entry(&lane->late, sched_record_t, link);
		best.level = level;
	}
	if (!best.record)
		return best;
	choice = choice_for(this, &best.record->ask, this->timely ? 0 : LATE_RESERVE);
	best.engine = best_engine(this, &best.record->ask, &choice, now, &first_at);
	if (!best.engine)
		best.record = NULL;
	return best;
}

/*
 * Late work goes when nothing timely can, or when its workspace was served so
 * much less that it would starve behind the timely work of others.
 */
sched_choice_t sched_pool_next(sched_pool_t *this, instant_t now)
{
	sched_choice_t timely = {0};
	sched_choice_t late = {0};

	if (!has_free_engine(this, now))
		return timely;
	timely = next_timely(this, now);
	if (this->late)
		late = next_late(this, now);
	if (late.record && (timely.record ? late.level < timely.level * STARVING : !this->timely))
		return late;
	return timely;
}

/* --- time --------------------------------------------------------------- */

/* When the record must begin to be in time. */
static instant_t start_by(const sched_pool_t *this, const sched_record_t *record)
{
	uint64_t span = sched_pool_alone_span(this, &record->ask);

	return record->ask.first_by > span ? record->ask.first_by - span : 0;
}

static void expire_timely(sched_pool_t *this, sched_lane_t *lane, instant_t now, instant_t *next)
{
	sched_record_t *record;
	sched_record_t *after;

	cds_list_for_each_entry_safe (record, after, &lane->timely, link) {
		instant_t until = start_by(this, record);

		if (now < until) {
			*next = instant_min(*next, until);
			continue;
		}
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
			instant_t until = instant_min(record->late_until, record->ask.deadline);

			if (now >= until)
				refuse(ctx, record);
			else
				*next = instant_min(*next, until);
		}
	}
}
