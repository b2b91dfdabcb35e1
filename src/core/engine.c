#include "core/engine.h"

#include <string.h>

#define FIRST_TOKEN_US 10.0 /* prompt token, until learnt: a hundred in a millisecond */
#define FIRST_BASE_US 30000.0
#define MIN_TOKEN_US 1.0
#define MAX_TOKEN_US 1000.0
#define PACE_WEIGHT 0.15
#define BASE_WEIGHT 0.05
#define PACE_SAMPLE 1500 /* unread tokens from which on a sample tells the pace of reading */
#define BASE_SAMPLE 300	 /* and up to which it tells the rest */
#define COPY_QUICKER 4	 /* times, that a token is copied from another engine rather than read */
#define OWN_HASH_STEP 0x9e3779b97f4a7c16ULL /* even: shared parts have odd hashes */
#define READING_PART 0.44 /* of the longest pause: the rest is for steps and one more prompt */
#define MEMORY_MARGIN 16  /* a sixteenth of the memory is left to the engine's own blocks */

void engine_init(engine_t *this, id_t32 id, const engine_limits_t *limits)
{
	memset(this, 0, sizeof(*this));
	this->id = id;
	this->limits = *limits;
	this->token_us = FIRST_TOKEN_US;
	this->first_us = FIRST_BASE_US;
	CDS_INIT_LIST_HEAD(&this->runs);
}

/* --- the prompt cache -------------------------------------------------- */

static const cached_chain_t *set_of(const engine_t *this, uint64_t hash)
{
	return this->cache[hash & (ENGINE_CACHE_SETS - 1)];
}

static bool has_chain(const engine_t *this, uint64_t hash)
{
	const cached_chain_t *set = set_of(this, hash);

	for (unsigned int i = 0; i < ENGINE_CACHE_WAYS; i++) {
		if (set[i].hash == hash)
			return true;
	}
	return false;
}

static void forget(engine_t *this, cached_chain_t *chain)
{
	this->cache_tokens -= chain->tokens;
	*chain = (cached_chain_t){0};
}

static void forget_oldest(engine_t *this)
{
	cached_chain_t *all = &this->cache[0][0];
	cached_chain_t *oldest = NULL;

	for (unsigned int i = 0; i < ENGINE_CACHE_SETS * ENGINE_CACHE_WAYS; i++) {
		if (all[i].hash && (!oldest || all[i].used < oldest->used))
			oldest = &all[i];
	}
	if (oldest)
		forget(this, oldest);
}

/* What running requests hold drives out what was used longest ago. */
static void fit_cache(engine_t *this)
{
	uint64_t room = this->limits.token_memory > this->memory
				? this->limits.token_memory - this->memory
				: 0;

	while (this->limits.token_memory && this->cache_tokens > room)
		forget_oldest(this);
}

/* The place of the chain in its set, or the one that it takes over. */
static cached_chain_t *place_for(engine_t *this, uint64_t hash)
{
	cached_chain_t *set = this->cache[hash & (ENGINE_CACHE_SETS - 1)];
	cached_chain_t *place = &set[0];

	for (unsigned int i = 0; i < ENGINE_CACHE_WAYS; i++) {
		if (set[i].hash == hash)
			return &set[i];
		if (set[i].used < place->used)
			place = &set[i];
	}
	return place;
}

static void remember(engine_t *this, uint64_t hash, uint32_t tokens, instant_t now)
{
	cached_chain_t *place = place_for(this, hash);

	if (place->hash != hash) {
		forget(this, place);
		*place = (cached_chain_t){.hash = hash, .tokens = tokens};
		this->cache_tokens += tokens;
	}
	place->used = now;
	fit_cache(this);
}

uint32_t engine_unread(const engine_t *this, const engine_work_t *work)
{
	uint32_t unread = work->prompt;

	for (unsigned int i = 0; i < work->chain.count; i++) {
		if (!has_chain(this, work->chain.hash[i]))
			break;
		unread -= work->chain.tokens[i] < unread ? work->chain.tokens[i] : unread;
	}
	return unread;
}

bool engine_copy_pays(uint32_t unread, uint32_t elsewhere)
{
	return unread >= COPY_LEAST && unread - COPY_LEAST >= elsewhere;
}

uint32_t engine_unread_with_copy(
	const engine_t *this, const engine_work_t *work, uint32_t elsewhere)
{
	uint32_t unread = engine_unread(this, work);

	if (!engine_copy_pays(unread, elsewhere))
		return unread;
	return elsewhere + (unread - elsewhere) / COPY_QUICKER;
}

/* --- prediction ------------------------------------------------------- */

uint64_t engine_backlog(const engine_t *this, instant_t now)
{
	return this->unread_runs ? instant_left(this->reads_until, now) : 0;
}

uint64_t engine_first_alone(const engine_t *this, const engine_work_t *work)
{
	return (uint64_t)(this->first_us + this->token_us * engine_unread(this, work));
}

instant_t engine_first_at(
	const engine_t *this, const engine_work_t *work, uint32_t elsewhere, instant_t now)
{
	uint32_t unread = engine_unread_with_copy(this, work, elsewhere);

	return now + engine_backlog(this, now) +
	       (uint64_t)(this->first_us + this->token_us * unread);
}

static uint32_t memory_of(const engine_work_t *work)
{
	return work->prompt + work->answer;
}

bool engine_may_read(const engine_t *this, instant_t now)
{
	uint64_t window = this->limits.longest_pause;
	uint64_t reading = 0;

	if (!window || this->running == this->unread_runs)
		return true;
	for (unsigned int i = 0; i < ENGINE_READINGS; i++) {
		if (now < this->readings[i].at + window)
			reading += this->readings[i].span;
	}
	return (double)reading <= READING_PART * (double)window;
}

bool engine_has_room(const engine_t *this, const engine_work_t *work)
{
	uint64_t usable = this->limits.token_memory - this->limits.token_memory / MEMORY_MARGIN;

	if (this->running >= this->limits.slots)
		return false;
	return !this->limits.token_memory || !this->running ||
	       this->memory + memory_of(work) <= usable;
}

/* --- what happens ------------------------------------------------------ */

static void note_reading(engine_t *this, instant_t at, uint64_t span)
{
	this->readings[this->next_reading] = (engine_reading_t){at, span};
	this->next_reading = (this->next_reading + 1) % ENGINE_READINGS;
}

void engine_begin(engine_t *this, engine_run_t *run, const engine_work_t *work, uint32_t elsewhere,
	instant_t now)
{
	instant_t from = now + engine_backlog(this, now);
	uint64_t span;

	run->unread = engine_unread_with_copy(this, work, elsewhere);
	run->memory = memory_of(work);
	run->own = run->memory;
	run->began = now;
	run->is_read = false;
	cds_list_add_tail(&run->link, &this->runs);
	this->running++;
	this->unread_runs++;
	this->memory += run->memory;
	span = (uint64_t)(this->token_us * run->unread);
	this->reads_until = from + span;
	note_reading(this, from, span);
	for (unsigned int i = 0; i < work->chain.count; i++) {
		remember(this, work->chain.hash[i], work->chain.tokens[i], now);
		run->own -= work->chain.tokens[i] < run->own ? work->chain.tokens[i] : run->own;
	}
}

static void blend(double *mean, double sample, double weight)
{
	*mean += weight * (sample - *mean);
}

/* The time since reading could begin: its own start, or the end of what came before. */
static void learn(engine_t *this, const engine_run_t *run, instant_t now)
{
	instant_t from = run->began > this->read_at ? run->began : this->read_at;
	double span = (double)(now - from);

	if (run->unread >= PACE_SAMPLE && span > this->first_us)
		blend(&this->token_us, (span - this->first_us) / run->unread, PACE_WEIGHT);
	else if (run->unread <= BASE_SAMPLE && this->unread_runs == 1)
		blend(&this->first_us, span, BASE_WEIGHT);
	if (this->token_us < MIN_TOKEN_US)
		this->token_us = MIN_TOKEN_US;
	if (this->token_us > MAX_TOKEN_US)
		this->token_us = MAX_TOKEN_US;
}

static void predict_reading(engine_t *this, instant_t now)
{
	const engine_run_t *run;
	uint64_t unread = 0;

	cds_list_for_each_entry (run, &this->runs, link)
		unread += run->is_read ? 0 : run->unread;
	this->reads_until = now + (uint64_t)(this->token_us * (double)unread);
}

void engine_read(engine_t *this, engine_run_t *run, instant_t now)
{
	if (run->is_read)
		return;
	learn(this, run, now);
	run->is_read = true;
	this->unread_runs--;
	this->read_at = now;
	predict_reading(this, now);
}

void engine_end(engine_t *this, engine_run_t *run, instant_t now)
{
	cds_list_del(&run->link);
	this->running--;
	this->memory -= run->memory;
	/* What it read and made stays, of no use to others, until it is driven out. */
	remember(this, ++this->ended * OWN_HASH_STEP, run->own, now);
	if (run->is_read)
		return;
	this->unread_runs--;
	predict_reading(this, now);
}
