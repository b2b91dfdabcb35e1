#include "core/placement_internal.h"
#include "core/prefill_plan.h"

/*
 * Load of an owner that a prompt should rather not be sent to: more than that of each owner with a
 * free slot, less than that of one that is full.
 */
#define LOAD_AVOIDED (UTILIZATION_FREE + 0.01)
#define LOAD_FULL 1.0
#define LONGEST_PREFILL (20.0 * USEC_PER_SEC) /* longer ones count like this one */

/* What the owner last told; of this router's own engines, what is so now. */
static slot_usage_t usage_of(placement_t *this, unsigned int slot, id_t32 pool, instant_t now)
{
	const pool_usage_t *known;
	slot_usage_t usage;

	if (slot == 0)
		return scheduler_usage(this->scheduler, pool, now);
	known = placement_pool_usage(&this->peers[slot], pool);
	if (!known)
		return (slot_usage_t){0};
	usage = known->received;
	usage.reading_ms = (unsigned int)(instant_left(known->reading_until, now) / USEC_PER_MSEC);
	return usage;
}

static uint64_t prefill_at(const slot_usage_t *usage, const engine_work_t *work)
{
	return prefill_plan_duration(prefill_plan_tokens(work), usage->prefill_token_ns);
}

static uint64_t max_event_gap(const placement_t *this, id_t32 pool)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].engine.pool == pool)
			return this->engines[i].engine.limits.max_event_gap;
	}
	return 0;
}

static bool is_bearable(placement_t *this, const slot_usage_t *usage,
	const placement_request_t *request, uint64_t fastest)
{
	return !usage->taken ||
	       prefill_plan_is_bearable(prefill_at(usage, &request->work), fastest,
		       max_event_gap(this, request->pool));
}

bool placement_bears_prompt(placement_t *this, unsigned int slot,
	const placement_request_t *request, uint64_t fastest, instant_t now)
{
	slot_usage_t usage = usage_of(this, slot, request->pool, now);

	return is_bearable(this, &usage, request, fastest);
}

uint64_t placement_fastest_prefill(
	placement_t *this, const placement_request_t *request, instant_t now)
{
	uint64_t fastest = 0;

	for (unsigned int slot = 0; slot < this->members.count; slot++) {
		slot_usage_t usage = usage_of(this, slot, request->pool, now);
		uint64_t prefill = prefill_at(&usage, &request->work);

		if (prefill && (!fastest || prefill < fastest) &&
			placement_accepts_requests(this, slot))
			fastest = prefill;
	}
	return fastest;
}

double placement_steered_load(placement_t *this, unsigned int slot,
	const placement_request_t *request, uint64_t fastest, double load, instant_t now)
{
	slot_usage_t usage = usage_of(this, slot, request->pool, now);
	uint64_t prefill = prefill_at(&usage, &request->work);
	double excess = 0;

	if (!fastest || load >= LOAD_AVOIDED)
		return load;
	if (!is_bearable(this, &usage, request, fastest))
		excess = (double)prefill;
	else if (prefill_plan_goes_elsewhere(prefill, usage.reading_ms * USEC_PER_MSEC))
		excess = usage.reading_ms * (double)USEC_PER_MSEC;
	if (excess <= 0)
		return load;
	if (excess > LONGEST_PREFILL)
		excess = LONGEST_PREFILL;
	return LOAD_AVOIDED + (LOAD_FULL - LOAD_AVOIDED) * excess / (2 * LONGEST_PREFILL);
}

uint32_t placement_reading_wait_ms(placement_t *this, const slot_request_t *request, instant_t now)
{
	slot_usage_t usage = scheduler_usage(this->scheduler, request->pool, now);

	return prefill_plan_goes_elsewhere(prefill_at(&usage, &request->work),
		       usage.reading_ms * USEC_PER_MSEC)
		       ? usage.reading_ms
		       : 0;
}
