#include "core/placement_internal.h"

/* Between two reports of an unchanged limit to the owner, as one may be lost. */
#define TELL_INTERVAL (500 * USEC_PER_MSEC)
/* Part of its even share of a rate that a router uses without grants: owners use the whole rate. */
#define WITHOUT_GRANT_PART 0.5

static message_entry_t rate_entry(
	const engine_state_t *state, uint32_t rate, instant_t sent_at, instant_t now)
{
	return (message_entry_t){
		.kind = ENTRY_RATE_LIMIT,
		.engine = state->engine.id,
		.value = rate,
		.source = (id_t32)((now - sent_at) / USEC_PER_MSEC),
	};
}

static message_entry_t known_rate_entry(const engine_state_t *state, instant_t now)
{
	return rate_entry(state, state->rate_limit.rate, state->rate_limit.since, now);
}

/* The other routers need it for starts without a grant, and when they become the owner. */
static void announce(placement_t *this, const engine_state_t *state, instant_t now)
{
	message_entry_t entry = known_rate_entry(state, now);

	for (unsigned int i = 1; i < this->members.count; i++) {
		if (member_is_alive(&this->members.list[i]))
			placement_queue_entry(this, i, &entry, INSTANT_NEVER);
	}
}

static void observe(
	placement_t *this, engine_state_t *state, uint32_t rate, instant_t sent_at, instant_t now)
{
	uint32_t before = state->rate_limit.rate;

	if (!rate_limit_observe(&state->rate_limit, rate, sent_at, now) || state->owner != 0)
		return;
	scheduler_set_rate_limit(this->scheduler, state->engine.id, rate, now);
	announce(this, state, now);
	if (this->options.on_rate_limit)
		this->options.on_rate_limit(this->options.ctx, state->engine.id, rate, before);
}

/* The owner judges by itself whether the response is newer than what it knows. */
static void tell_owner(placement_t *this, engine_state_t *state, const message_entry_t *entry,
	bool changed, instant_t now)
{
	if (state->owner == 0 || (!changed && now < state->rate_told_at + TELL_INTERVAL))
		return;
	state->rate_told_at = now;
	placement_queue_entry(this, state->owner, entry, now);
}

void placement_rate_report(placement_t *this, const placement_request_t *request, uint32_t rate,
	instant_t sent_at, instant_t now)
{
	engine_state_t *state = placement_find_engine(this, request->engine);
	message_entry_t entry;
	uint32_t before;

	if (!state)
		return;
	before = state->rate_limit.rate;
	if (rate == RATE_NONE && before == RATE_NONE)
		return;
	entry = rate_entry(state, rate, sent_at, now);
	observe(this, state, rate, sent_at, now);
	tell_owner(this, state, &entry, state->rate_limit.rate != before, now);
}

void placement_handle_rate_limit(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	engine_state_t *state = placement_find_engine(this, entry->engine);
	uint64_t age = entry->source * USEC_PER_MSEC;

	if (state)
		observe(this, state, entry->value, now > age ? now - age : 0, now);
}

void placement_announce_rates(placement_t *this, instant_t now)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].owner == 0 && this->engines[i].rate_limit.rate != RATE_NONE)
			announce(this, &this->engines[i], now);
	}
}

void placement_hand_over_rate(
	placement_t *this, engine_state_t *state, bool was_owner, instant_t now)
{
	message_entry_t entry = known_rate_entry(state, now);
	uint32_t rate = state->rate_limit.rate;

	if (rate == RATE_NONE)
		return;
	if (state->owner == 0)
		scheduler_set_rate_limit(this->scheduler, state->engine.id, rate, now);
	else
		placement_queue_entry(this, state->owner, &entry, was_owner ? now : INSTANT_NEVER);
}

/*
 * Each side of a partition has an owner for the engine.  The smaller sides use the rate in
 * proportion to their routers, so that all together use at most one and a half times the rate.
 */
void placement_update_rate_share(placement_t *this)
{
	double alive = members_alive(&this->members);
	double expected = members_expected(&this->members);

	scheduler_set_rate_share(this->scheduler, 2 * alive > expected ? 1 : alive / expected);
}

void placement_count_rate(placement_t *this, engine_state_t *state, instant_t now)
{
	unsigned int routers = members_expected(&this->members);

	rate_limit_count(&state->rate_limit, WITHOUT_GRANT_PART / (routers ? routers : 1), now);
}

unsigned int placement_rate_limited(const placement_t *this)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->engine_count; i++)
		count += this->engines[i].rate_limit.rate != RATE_NONE;
	return count;
}
