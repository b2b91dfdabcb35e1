#include "core/engine.h"

#include <string.h>

/* Estimates until first tokens were observed: 100 prompt tokens per millisecond, plus 30 ms. */
#define INITIAL_PREFILL_TOKEN_US 10.0
#define INITIAL_FIRST_TOKEN_US 30000.0
#define MIN_PREFILL_TOKEN_US 1.0
#define MAX_PREFILL_TOKEN_US 1000.0
/* Weights of a new sample in the moving averages. */
#define PREFILL_WEIGHT 0.15
#define FIRST_TOKEN_WEIGHT 0.05
/* Streams with at least this many tokens tell the time of a decode step. */
#define STEP_SAMPLE_MIN_TOKENS 32
/* Samples of fewer tokens than these count less. */
#define STEP_SAMPLE_FULL_TOKENS 256.0
#define PREFILL_SAMPLE_FULL_TOKENS 16384.0
/* Decoding takes at least this part of the stream's time; the rest is prefill beside it. */
#define STEP_SAMPLE_MIN_PART 0.25
/* Samples with at least this many prefill tokens update the time per prompt token, ... */
#define PREFILL_SAMPLE_MIN_TOKENS 1500
/* ... and samples with at most this many update the rest of the time to the first token. */
#define FIRST_TOKEN_SAMPLE_MAX_TOKENS 300
#define COPY_SPEEDUP 4 /* copying a token from another engine is 4 times as fast as prefill */
/* Even, so that the hashes of private tokens never match those of shared parts, which are odd. */
#define PRIVATE_HASH_STEP 0x9e3779b97f4a7c16ULL
/* Share of the longest pause for prefill; the rest is for decode steps and one more prompt. */
#define PREFILL_SHARE 0.44
/* Where engines differ in speed, each has a share of its own within these bounds. */
#define MIN_PREFILL_SHARE 0.15
#define MAX_PREFILL_SHARE 1.0
/* With each stream that kept its pauses, and with a longer pause: balanced at 3 in 100 streams. */
#define SHARE_GROWTH 1.005
#define SHARE_CUT 0.84
#define MEMORY_RESERVE_DIVISOR 16 /* 1/16 of the memory is left for the engine's own blocks */

void engine_init(engine_t *this, id_t32 id, const engine_limits_t *limits)
{
	memset(this, 0, sizeof(*this));
	this->id = id;
	this->limits = *limits;
	this->prefill_share = PREFILL_SHARE;
	engine_speed_init(&this->speed,
		&(engine_speed_prior_t){.time[ENGINE_SPEED_PREFILL] = INITIAL_PREFILL_TOKEN_US});
	this->prefill_mean_us = INITIAL_PREFILL_TOKEN_US;
	this->prefill_token_us = INITIAL_PREFILL_TOKEN_US;
	this->first_token_us = INITIAL_FIRST_TOKEN_US;
	CDS_INIT_LIST_HEAD(&this->requests);
}

/* --- the prompt cache --------------------------------------------------- */

static const cached_prefix_t *cache_set(const engine_t *this, uint64_t hash)
{
	return this->cache[hash & (ENGINE_CACHE_SETS - 1)];
}

static bool is_cached(const engine_t *this, uint64_t hash)
{
	const cached_prefix_t *set = cache_set(this, hash);

	for (unsigned int i = 0; i < ENGINE_CACHE_WAYS; i++) {
		if (set[i].hash == hash)
			return true;
	}
	return false;
}

static void evict(engine_t *this, cached_prefix_t *prefix)
{
	this->cache_tokens -= prefix->tokens;
	*prefix = (cached_prefix_t){0};
}

static void evict_oldest(engine_t *this)
{
	cached_prefix_t *all = &this->cache[0][0];
	cached_prefix_t *oldest = NULL;

	for (unsigned int i = 0; i < ENGINE_CACHE_SETS * ENGINE_CACHE_WAYS; i++) {
		if (all[i].hash && (!oldest || all[i].last_used < oldest->last_used))
			oldest = &all[i];
	}
	if (oldest)
		evict(this, oldest);
}

/* Evicts the least recently used entries that no longer fit beside the running requests. */
static void fit_cache(engine_t *this)
{
	uint64_t room = this->limits.token_memory > this->memory_tokens
				? this->limits.token_memory - this->memory_tokens
				: 0;

	while (this->limits.token_memory && this->cache_tokens > room)
		evict_oldest(this);
}

/* Returns the cache entry of `hash`, or the least recently used entry of its set. */
static cached_prefix_t *entry_for(engine_t *this, uint64_t hash)
{
	cached_prefix_t *set = this->cache[hash & (ENGINE_CACHE_SETS - 1)];
	cached_prefix_t *entry = &set[0];

	for (unsigned int i = 0; i < ENGINE_CACHE_WAYS; i++) {
		if (set[i].hash == hash)
			return &set[i];
		if (set[i].last_used < entry->last_used)
			entry = &set[i];
	}
	return entry;
}

static void cache_prefix(engine_t *this, uint64_t hash, uint32_t tokens, instant_t now)
{
	cached_prefix_t *entry = entry_for(this, hash);

	if (entry->hash != hash) {
		evict(this, entry);
		*entry = (cached_prefix_t){.hash = hash, .tokens = tokens};
		this->cache_tokens += tokens;
	}
	entry->last_used = now;
	fit_cache(this);
}

uint32_t engine_prefill_tokens(const engine_t *this, const engine_work_t *work)
{
	uint32_t prefill = work->prompt;

	for (unsigned int i = 0; i < work->chain.count; i++) {
		if (!is_cached(this, work->chain.hash[i]))
			break;
		prefill -= work->chain.tokens[i] < prefill ? work->chain.tokens[i] : prefill;
	}
	return prefill;
}

bool engine_copy_is_worthwhile(uint32_t prefill, uint32_t source_prefill)
{
	return prefill >= ENGINE_COPY_MIN_TOKENS &&
	       prefill - ENGINE_COPY_MIN_TOKENS >= source_prefill;
}

uint32_t engine_prefill_tokens_with_copy(
	const engine_t *this, const engine_work_t *work, uint32_t source_prefill)
{
	uint32_t prefill = engine_prefill_tokens(this, work);

	if (!engine_copy_is_worthwhile(prefill, source_prefill))
		return prefill;
	return source_prefill + (prefill - source_prefill) / COPY_SPEEDUP;
}

/* --- prediction --------------------------------------------------------- */

/* How much longer work takes now than usually, as far as the engine's speed is looked at. */
static double load_now(const engine_t *this, instant_t now)
{
	return this->speed.prior.differ ? engine_speed_load(&this->speed, now) : 1;
}

uint64_t engine_prefill_backlog(const engine_t *this, instant_t now)
{
	return this->prefilling ? instant_left(this->prefill_until, now) : 0;
}

uint64_t engine_idle_first_token_delay(const engine_t *this, const engine_work_t *work)
{
	return (uint64_t)(this->first_token_us +
			  this->prefill_token_us * engine_prefill_tokens(this, work));
}

/* Beyond prefill; a plain request has no more than that. */
static double first_token_us(const engine_t *this, const engine_work_t *work, instant_t now)
{
	double plain;

	if (work->prompt)
		return this->first_token_us;
	plain = engine_speed_time(&this->speed, ENGINE_SPEED_PLAIN, now);
	return plain > 0 ? plain : this->first_token_us;
}

instant_t engine_first_token_at(
	const engine_t *this, const engine_work_t *work, uint32_t source_prefill, instant_t now)
{
	uint32_t prefill = engine_prefill_tokens_with_copy(this, work, source_prefill);
	double load = work->prompt ? load_now(this, now) : engine_speed_load(&this->speed, now);

	return now + engine_prefill_backlog(this, now) +
	       (uint64_t)(load *
			  (first_token_us(this, work, now) + this->prefill_token_us * prefill));
}

static uint32_t total_tokens(const engine_work_t *work)
{
	return work->prompt + work->answer;
}

bool engine_can_prefill(const engine_t *this, instant_t now)
{
	uint64_t window = this->limits.max_event_gap;
	uint64_t busy = 0;

	if (!window || this->running == this->prefilling)
		return true;
	for (unsigned int i = 0; i < ENGINE_TRACKED_PREFILLS; i++) {
		if (now < this->prefills[i].start + window)
			busy += this->prefills[i].duration;
	}
	return load_now(this, now) * (double)busy <= this->prefill_share * (double)window;
}

bool engine_has_room(const engine_t *this, const engine_work_t *work)
{
	uint64_t usable =
		this->limits.token_memory - this->limits.token_memory / MEMORY_RESERVE_DIVISOR;

	if (this->running >= this->limits.slots)
		return false;
	return !this->limits.token_memory || !this->running ||
	       this->memory_tokens + total_tokens(work) <= usable;
}

/* --- requests ----------------------------------------------------------- */

static void record_prefill(engine_t *this, instant_t start, uint64_t duration)
{
	this->prefills[this->next_prefill] = (engine_prefill_t){start, duration};
	this->next_prefill = (this->next_prefill + 1) % ENGINE_TRACKED_PREFILLS;
}

void engine_begin_request(engine_t *this, engine_request_t *request, const engine_work_t *work,
	uint32_t source_prefill, instant_t now)
{
	instant_t start = now + engine_prefill_backlog(this, now);
	uint64_t duration;

	request->prefill_tokens = engine_prefill_tokens_with_copy(this, work, source_prefill);
	request->memory_tokens = total_tokens(work);
	request->private_tokens = request->memory_tokens;
	request->began_at = now;
	request->reported_delay = 0;
	request->prefill_done = false;
	cds_list_add_tail(&request->link, &this->requests);
	this->running++;
	this->prefilling++;
	this->memory_tokens += request->memory_tokens;
	duration = (uint64_t)(this->prefill_token_us * request->prefill_tokens);
	this->prefill_until = start + (uint64_t)(load_now(this, now) * (double)duration);
	this->prefill_total += duration;
	record_prefill(this, start, duration);
	for (unsigned int i = 0; i < work->chain.count; i++) {
		cache_prefix(this, work->chain.hash[i], work->chain.tokens[i], now);
		request->private_tokens -= work->chain.tokens[i] < request->private_tokens
						   ? work->chain.tokens[i]
						   : request->private_tokens;
	}
}

static void update_mean(double *mean, double sample, double weight)
{
	*mean += weight * (sample - *mean);
}

/*
 * Takes over the estimates.  Those of `speed` tell engines of one pool apart; without the delays
 * elsewhere they are lower than the moving average, which serves where the engines do not differ.
 */
static void update_speed(engine_t *this, instant_t now)
{
	double time = this->speed.prior.differ
			      ? engine_speed_time(&this->speed, ENGINE_SPEED_PREFILL, now)
			      : this->prefill_mean_us;

	this->degraded = engine_speed_is_degraded(&this->speed, now);
	if (time < MIN_PREFILL_TOKEN_US)
		time = MIN_PREFILL_TOKEN_US;
	this->prefill_token_us = time < MAX_PREFILL_TOKEN_US ? time : MAX_PREFILL_TOKEN_US;
}

/*
 * Returns the time between the earliest possible start of the prefill and the first token.
 * Prefill starts when the request begins, or at the previous first token if that is later, as the
 * engine processes prompts one after another.
 */
static double time_to_first_token(const engine_t *this, instant_t began_at, instant_t now)
{
	return (double)(now - instant_max(began_at, this->last_first_token_at));
}

static void update_means(engine_t *this, const engine_request_t *request, instant_t now)
{
	double duration = time_to_first_token(this, request->began_at, now);

	if (request->prefill_tokens >= PREFILL_SAMPLE_MIN_TOKENS && duration > this->first_token_us)
		update_mean(&this->prefill_mean_us,
			(duration - this->first_token_us) / request->prefill_tokens,
			PREFILL_WEIGHT);
	else if (request->prefill_tokens <= FIRST_TOKEN_SAMPLE_MAX_TOKENS && this->prefilling == 1)
		update_mean(&this->first_token_us, duration, FIRST_TOKEN_WEIGHT);
	if (this->prefill_mean_us < MIN_PREFILL_TOKEN_US)
		this->prefill_mean_us = MIN_PREFILL_TOKEN_US;
	if (this->prefill_mean_us > MAX_PREFILL_TOKEN_US)
		this->prefill_mean_us = MAX_PREFILL_TOKEN_US;
}

/* Of a long request more is known than of a short one, whose delays elsewhere weigh more. */
static double sample_weight(uint32_t tokens, double full)
{
	return tokens < full ? tokens / full : 1;
}

/* Records what the request's router measured, on a machine as loaded as usual. */
static void record_first_token(engine_t *this, const engine_request_t *request, instant_t now)
{
	instant_t began_at = request->reported_delay && request->reported_delay < now
				     ? now - request->reported_delay
				     : request->began_at;
	double duration = time_to_first_token(this, instant_min(began_at, now), now) /
			  engine_speed_load(&this->speed, now);
	double prefill = duration - this->first_token_us;

	if (!request->memory_tokens)
		engine_speed_record(&this->speed, ENGINE_SPEED_PLAIN, duration, 1, now);
	else if (request->prefill_tokens >= PREFILL_SAMPLE_MIN_TOKENS && prefill > 0)
		engine_speed_record(&this->speed, ENGINE_SPEED_PREFILL,
			prefill / request->prefill_tokens,
			sample_weight(request->prefill_tokens, PREFILL_SAMPLE_FULL_TOKENS), now);
}

/*
 * An engine that is fast may prefill for longer beside its streams than one that is slow, before
 * their pauses become too long: the share grows while they do not, and falls when one did.
 */
static void adapt_share(engine_t *this, uint64_t pause, instant_t now)
{
	if (!this->speed.prior.differ) {
		this->prefill_share = PREFILL_SHARE;
		return;
	}
	if (pause <= this->limits.max_event_gap) {
		this->prefill_share *= SHARE_GROWTH;
	} else if (now >= this->pause_counts_at) {
		this->prefill_share *= SHARE_CUT;
		this->pause_counts_at = now + this->limits.max_event_gap;
	}
	if (this->prefill_share > MAX_PREFILL_SHARE)
		this->prefill_share = MAX_PREFILL_SHARE;
	if (this->prefill_share < MIN_PREFILL_SHARE)
		this->prefill_share = MIN_PREFILL_SHARE;
}

void engine_record_stream(engine_t *this, const engine_request_t *request, uint32_t answer,
	uint64_t duration, uint64_t pause, instant_t now)
{
	double beside = (double)(this->prefill_total - request->prefill_before);
	double decoding = (double)duration - beside;

	if (this->limits.max_event_gap && answer && duration)
		adapt_share(this, pause, now);
	if (!request->prefill_done || answer < STEP_SAMPLE_MIN_TOKENS || !duration)
		return;
	if (decoding < STEP_SAMPLE_MIN_PART * (double)duration)
		decoding = STEP_SAMPLE_MIN_PART * (double)duration;
	engine_speed_record(&this->speed, ENGINE_SPEED_STEP, decoding / answer,
		sample_weight(answer, STEP_SAMPLE_FULL_TOKENS), now);
	update_speed(this, now);
}

void engine_record_load(engine_t *this, unsigned int percent, instant_t now)
{
	engine_speed_record_load(&this->speed, percent, now);
}

void engine_set_speed_prior(engine_t *this, const engine_speed_prior_t *prior, instant_t now)
{
	engine_speed_set_prior(&this->speed, prior);
	update_speed(this, now);
}

void engine_restore_speed(engine_t *this, const engine_speed_report_t *report, instant_t now)
{
	engine_speed_restore(&this->speed, report, now);
	update_speed(this, now);
}

static void update_prefill_until(engine_t *this, instant_t now)
{
	const engine_request_t *request;
	uint64_t tokens = 0;

	cds_list_for_each_entry (request, &this->requests, link)
		tokens += request->prefill_done ? 0 : request->prefill_tokens;
	this->prefill_until = now + (uint64_t)(this->prefill_token_us * (double)tokens);
}

void engine_finish_prefill(engine_t *this, engine_request_t *request, instant_t now)
{
	if (request->prefill_done)
		return;
	record_first_token(this, request, now);
	update_means(this, request, now);
	update_speed(this, now);
	request->prefill_done = true;
	request->prefill_before = this->prefill_total;
	this->prefilling--;
	this->last_first_token_at = now;
	update_prefill_until(this, now);
}

void engine_end_request(engine_t *this, engine_request_t *request, instant_t now)
{
	cds_list_del(&request->link);
	this->running--;
	this->memory_tokens -= request->memory_tokens;
	/* Private tokens take up cache until evicted, though no other request can use them. */
	cache_prefix(this, ++this->ended * PRIVATE_HASH_STEP, request->private_tokens, now);
	if (request->prefill_done)
		return;
	this->prefilling--;
	update_prefill_until(this, now);
}
