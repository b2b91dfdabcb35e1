#include "core/placement_internal.h"
#include "core/prefill_plan.h"

/*
 * Load of an owner that a prompt should rather not be sent to: more than that of each owner with a
 * free slot, less than that of one that is full.
 */
#define LOAD_AVOIDED (UTILIZATION_FREE + 0.01)
#define LOAD_AVOIDED_MOST 0.99
#define LONGEST_COST (20.0 * USEC_PER_SEC) /* higher costs count like this one */

/* What the owner last told; of this router's own engines, what is so now. */
static slot_usage_t usage_of(const placement_t *this, unsigned int slot, id_t32 pool, instant_t now)
{
	const peer_state_t *peer = &this->peers[slot];

	if (slot == 0)
		return scheduler_usage(this->scheduler, pool, now);
	for (unsigned int i = 0; i < peer->usage_count; i++) {
		slot_usage_t usage = peer->usages[i].received;

		if (peer->usages[i].pool != pool)
			continue;
		usage.reading_ms = (unsigned int)(instant_left(peer->usages[i].reading_until, now) /
						  USEC_PER_MSEC);
		return usage;
	}
	return (slot_usage_t){0};
}

static uint64_t prefill_at(const slot_usage_t *usage, const steering_t *steering)
{
	return prefill_plan_duration(steering->tokens, usage->prefill_token_ns);
}

static uint64_t max_event_gap(const placement_t *this, id_t32 pool)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].engine.pool == pool)
			return this->engines[i].engine.limits.max_event_gap;
	}
	return 0;
}

steering_t placement_steering(
	const placement_t *this, const placement_request_t *request, instant_t now)
{
	steering_t steering = {
		.pool = request->pool,
		.tokens = prefill_plan_tokens(&request->work),
		.max_event_gap = max_event_gap(this, request->pool),
	};

	for (unsigned int slot = 0; slot < this->members.count; slot++) {
		slot_usage_t usage;
		uint64_t prefill;

		if (!placement_accepts_requests(this, slot))
			continue;
		usage = usage_of(this, slot, request->pool, now);
		prefill = prefill_at(&usage, &steering);
		if (prefill && (!steering.fastest || prefill < steering.fastest))
			steering.fastest = prefill;
	}
	return steering;
}

static bool is_bearable(const slot_usage_t *usage, const steering_t *steering)
{
	return !usage->taken || prefill_plan_is_bearable(prefill_at(usage, steering),
					steering->fastest, steering->max_event_gap);
}

bool placement_bears_prompt(
	const placement_t *this, unsigned int slot, const steering_t *steering, instant_t now)
{
	slot_usage_t usage = usage_of(this, slot, steering->pool, now);

	return is_bearable(&usage, steering);
}

double placement_steered_load(const placement_t *this, unsigned int slot, steering_t *steering,
	double load, instant_t now)
{
	slot_usage_t usage = usage_of(this, slot, steering->pool, now);
	uint64_t prefill = prefill_at(&usage, steering);
	uint64_t wait = usage.reading_ms * USEC_PER_MSEC;
	double cost;

	if (!steering->fastest || load >= LOAD_AVOIDED)
		return load;
	if (!is_bearable(&usage, steering)) {
		steering->avoids_pauses = true;
		cost = (double)prefill;
	} else if (prefill_plan_goes_elsewhere(prefill, wait)) {
		steering->avoids_reading = true;
		cost = (double)wait;
	} else {
		return load;
	}
	if (cost > LONGEST_COST)
		cost = LONGEST_COST;
	return LOAD_AVOIDED + (LOAD_AVOIDED_MOST - LOAD_AVOIDED) * cost / LONGEST_COST;
}

void placement_count_steered(placement_t *this, const steering_t *steering, double lowest)
{
	if (lowest >= LOAD_AVOIDED)
		return;
	this->stats.steered_pauses += steering->avoids_pauses;
	this->stats.steered_reading += steering->avoids_reading;
}

uint32_t placement_reading_wait_ms(
	const placement_t *this, const slot_request_t *request, instant_t now)
{
	slot_usage_t usage = scheduler_usage(this->scheduler, request->pool, now);
	uint64_t own =
		prefill_plan_duration(prefill_plan_tokens(&request->work), usage.prefill_token_ns);

	return prefill_plan_goes_elsewhere(own, usage.reading_ms * USEC_PER_MSEC) ? usage.reading_ms
										  : 0;
}
