#include "core/prefill_plan.h"

#define NSEC_PER_USEC 1000
/* Waits up to this long cost less than to ask another owner. */
#define MIN_WAIT (10 * USEC_PER_MSEC)
/* A prompt goes elsewhere rather than wait for more than this many times its own prefill. */
#define WAIT_FACTOR 2
/* Longest prefill that streams bear, as a fraction of their longest pause; the rest is for their
 * own steps. */
#define BEARABLE_SHARE 0.6
/* Engines count as the fastest that take up to this many times as long. */
#define FASTEST_MARGIN 1.5
/* A predicted prefill may be too short by this part of it. */
#define ERROR_DIVISOR 8
/* An overdue first token is waited for up to this many times the predicted prefill. */
#define MAX_OVERDUE_FACTOR 3
/* Grants given within this time of each other may reach the engine in another order ... */
#define CROSSING_TIME (10 * USEC_PER_MSEC)
/* ... which matters if the later one is for a prompt that takes longer than this. */
#define CROSSING_MIN_PREFILL (10 * CROSSING_TIME)
/* Copying a token from another engine takes this fraction of the time to read it. */
#define COPY_DIVISOR 4

/* The predicted prefill of the requests that wait for their first token. */
static uint64_t pending_duration(const engine_t *engine)
{
	const engine_request_t *request;
	uint64_t tokens = 0;

	cds_list_for_each_entry (request, &engine->requests, link)
		tokens += request->prefill_done ? 0 : request->prefill_tokens;
	return (uint64_t)(engine->prefill_token_us * (double)tokens);
}

uint64_t prefill_plan_backlog(const engine_t *engine, instant_t now)
{
	uint64_t left = engine_prefill_backlog(engine, now);
	instant_t due = engine->prefill_until + (uint64_t)engine->first_token_us;
	uint64_t overdue = now > due ? now - due : 0;
	uint64_t predicted;

	if (!engine->prefilling)
		return 0;
	predicted = pending_duration(engine);
	if (overdue > MAX_OVERDUE_FACTOR * predicted)
		return 0;
	if (overdue > predicted)
		overdue = predicted;
	return instant_max(instant_max(left, overdue), predicted / ERROR_DIVISOR);
}

uint64_t prefill_plan_reading(const engine_t *engine, uint64_t backlog)
{
	const engine_request_t *request;
	uint32_t tokens = 0;
	uint64_t longest;

	cds_list_for_each_entry (request, &engine->requests, link) {
		if (!request->prefill_done && request->prefill_tokens > tokens)
			tokens = request->prefill_tokens;
	}
	longest = (uint64_t)(engine->prefill_token_us * tokens);
	return backlog < longest ? backlog : longest;
}

uint32_t prefill_plan_token_ns(const engine_t *engine)
{
	return (uint32_t)(engine->prefill_token_us + 0.5) * NSEC_PER_USEC;
}

uint32_t prefill_plan_tokens(const engine_work_t *work)
{
	uint32_t shared = 0;

	for (unsigned int i = 0; i < work->chain.count; i++)
		shared += work->chain.tokens[i];
	if (shared > work->prompt)
		shared = work->prompt;
	return work->prompt - shared +
	       (shared < ENGINE_COPY_MIN_TOKENS ? shared : shared / COPY_DIVISOR);
}

uint64_t prefill_plan_duration(uint32_t tokens, uint32_t token_ns)
{
	return (uint64_t)tokens * token_ns / NSEC_PER_USEC;
}

bool prefill_plan_goes_elsewhere(uint64_t own, uint64_t wait)
{
	return wait > MIN_WAIT && wait > WAIT_FACTOR * own;
}

bool prefill_plan_is_bearable(uint64_t own, uint64_t fastest, uint64_t max_event_gap)
{
	return !max_event_gap || (double)own <= BEARABLE_SHARE * (double)max_event_gap ||
	       (double)own <= FASTEST_MARGIN * (double)fastest;
}

uint64_t prefill_plan_at(const engine_t *engine, const engine_work_t *work, uint32_t source_prefill)
{
	return (uint64_t)(engine->prefill_token_us *
			  engine_prefill_tokens_with_copy(engine, work, source_prefill));
}

/* Whether a prompt sent now may reach the engine before one that was sent there a moment ago. */
static bool may_overtake(const engine_t *engine, instant_t now)
{
	const engine_request_t *latest;

	if (!engine->running)
		return false;
	latest = cds_list_entry(engine->requests.prev, engine_request_t, link);
	return !latest->prefill_done && now < latest->began_at + CROSSING_TIME;
}

bool prefill_plan_suits(const engine_t *engine, const engine_work_t *work, uint32_t source_prefill,
	uint64_t fastest, instant_t now)
{
	uint64_t own = prefill_plan_at(engine, work, source_prefill);
	uint64_t reading = prefill_plan_reading(engine, prefill_plan_backlog(engine, now));

	if (own > CROSSING_MIN_PREFILL && may_overtake(engine, now))
		return false;
	if (prefill_plan_goes_elsewhere(own, reading))
		return false;
	return engine->running == engine->prefilling ||
	       prefill_plan_is_bearable(own, fastest, engine->limits.max_event_gap);
}
