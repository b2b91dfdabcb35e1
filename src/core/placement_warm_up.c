#include "core/placement_internal.h"

/*
 * Part of its even share of the pace that a router uses without grants.  Owners use all of it, and
 * what others start comes at random beside.
 */
#define WITHOUT_GRANT_PART 0.25
/* Part of its share that an owner on a small side uses: there, requests start without grants, too.
 */
#define MINORITY_PART 0.5
/* How long a statement is told to other routers, once a second, as messages may be lost. */
#define TELL_TIME (4 * USEC_PER_SEC)
/* A router that reads a grant this late sends nothing to a cold engine: others were granted since.
 */
#define MAX_GRANT_AGE (200 * USEC_PER_MSEC)

/* What counts for the engine: its owner also sees when it can't be reached. */
static const warm_up_t *known(const placement_t *this, const engine_state_t *state)
{
	const warm_up_t *owned = NULL;

	if (state->owner == 0)
		owned = scheduler_warm_up(this->scheduler, state->engine.id);
	return owned ? owned : &state->warm_up;
}

static double share_without_grant(const placement_t *this)
{
	unsigned int routers = members_expected(&this->members);

	return WITHOUT_GRANT_PART / (routers ? routers : 1);
}

/* Where this router's starts at the engine lie among those of all routers, 0 to 1. */
static double phase_of(const placement_t *this, const engine_state_t *state)
{
	uint64_t mixed = ((uint64_t)this->options.self << 32 | state->engine.id) + 1;

	mixed = (mixed ^ mixed >> 31) * 0x9e3779b97f4a7c15ULL;
	mixed = (mixed ^ mixed >> 29) * 0xbf58476d1ce4e5b9ULL;
	return (double)(mixed >> 32) / ((double)UINT32_MAX + 1);
}

/* Routers that learn of a cold engine together must not all start a request there at once. */
static void spread_starts(const placement_t *this, engine_state_t *state, instant_t now)
{
	warm_up_spread(&state->warm_up, share_without_grant(this), phase_of(this, state), now);
}

static void tell_all(placement_t *this)
{
	for (unsigned int i = 1; i < this->members.count; i++)
		this->peers[i].engine_told = 0;
}

static void log_change(placement_t *this, engine_state_t *state, instant_t now)
{
	const warm_up_t *warm_up = known(this, state);
	bool cold = warm_up_is_cold(warm_up, now);

	if (state->owner != 0 || cold == state->logged_cold)
		return;
	state->logged_cold = cold;
	if (this->options.on_warm_up)
		this->options.on_warm_up(this->options.ctx, state->engine.id, warm_up, now);
}

/* Returns whether the statement is newer than what was known. */
static bool observe(placement_t *this, engine_state_t *state, const warm_up_statement_t *statement,
	instant_t now)
{
	warm_up_t *owned =
		state->owner == 0 ? scheduler_warm_up(this->scheduler, state->engine.id) : NULL;
	bool was_cold = warm_up_is_cold(&state->warm_up, now);
	bool changed;

	changed = warm_up_observe(&state->warm_up, statement);
	if (owned)
		changed = warm_up_observe(owned, statement);
	if (!was_cold && warm_up_is_cold(&state->warm_up, now))
		spread_starts(this, state, now);
	log_change(this, state, now);
	return changed;
}

void placement_warm_up_report(placement_t *this, const placement_request_t *request,
	uint64_t cold_left, instant_t sent_at, instant_t now)
{
	engine_state_t *state = placement_find_engine(this, request->engine);
	warm_up_statement_t statement = {
		.source = WARM_UP_RESPONSE,
		.cold_until = warm_up_deadline(cold_left, now),
		/* It was made since then; the earlier time is the safe one for the end. */
		.stated_at = cold_left ? now : sent_at,
	};

	if (!state || !observe(this, state, &statement, now))
		return;
	state->heard_at = now;
	tell_all(this);
	if (state->owner && state->owner < this->members.count)
		placement_make_message_due(this, state->owner, now);
}

void placement_handle_warm_up(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	const engine_state_report_t *report = &entry->engine_state;
	engine_state_t *state = placement_find_engine(this, entry->engine);
	warm_up_statement_t statement = {
		.source = WARM_UP_PEER,
		.cold_until = warm_up_deadline(report->cold_left, now),
		.stated_at = now > report->cold_age ? now - report->cold_age : 0,
	};

	if (!state || !report->cold_pace)
		return;
	if (observe(this, state, &statement, now) && state->owner == 0)
		tell_all(this);
}

/* Whether the engine's state is to be told to the peer: an owner tells all, the others the owner.
 */
static bool is_told(
	const placement_t *this, const engine_state_t *state, unsigned int slot, instant_t now)
{
	const warm_up_t *warm_up = known(this, state);

	if (warm_up->pace.rate == RATE_NONE || warm_up->newest.source == WARM_UP_NONE)
		return false;
	if (state->owner == 0)
		return warm_up_is_cold(warm_up, now) || now < warm_up->newest.stated_at + TELL_TIME;
	return state->owner == slot && state->heard_at && now < state->heard_at + TELL_TIME;
}

bool placement_next_warm_up(
	placement_t *this, unsigned int slot, message_entry_t *entry, instant_t now)
{
	peer_state_t *peer = &this->peers[slot];

	while (peer->engine_told < this->engine_count) {
		const engine_state_t *state = &this->engines[peer->engine_told++];
		const warm_up_t *warm_up = known(this, state);

		if (!is_told(this, state, slot, now))
			continue;
		*entry = (message_entry_t){
			.kind = ENTRY_ENGINE_STATE,
			.engine = state->engine.id,
			.engine_state =
				{
					.cold_left = warm_up_left(warm_up, now),
					.cold_age = now - warm_up->newest.stated_at,
					.cold_pace = warm_up->pace.rate,
				},
		};
		return true;
	}
	return false;
}

void placement_tick_warm_up(placement_t *this, instant_t now)
{
	for (unsigned int i = 0; i < this->engine_count; i++)
		log_change(this, &this->engines[i], now);
	tell_all(this);
}

void placement_set_warm_up(placement_t *this, engine_state_t *state,
	const placement_engine_t *engine, bool is_known, instant_t now)
{
	warm_up_statement_t statement = {
		.source = engine->cold_source,
		.cold_until = engine->cold_until,
		.stated_at = engine->cold_stated_at,
	};
	warm_up_t *owned = NULL;
	bool returned = is_known && !state->engine.usable && engine->usable;

	if (is_known && state->owner == 0)
		owned = scheduler_warm_up(this->scheduler, engine->id);
	if (!is_known)
		state->engine.id = engine->id;
	warm_up_configure(&state->warm_up, engine->cold_pace, engine->cold_time, now);
	if (owned)
		warm_up_configure(owned, engine->cold_pace, engine->cold_time, now);
	if (returned) {
		warm_up_returned(&state->warm_up, now);
		spread_starts(this, state, now);
	}
	if (returned && owned)
		warm_up_returned(owned, now);
	if (engine->cold_source == WARM_UP_NONE || !observe(this, state, &statement, now))
		return;
	if (owned && warm_up_is_cold(owned, now))
		scheduler_engine_registered(this->scheduler, engine->id);
}

void placement_keep_warm_up(placement_t *this, engine_state_t *state)
{
	warm_up_t *owned = scheduler_warm_up(this->scheduler, state->engine.id);
	rate_limit_t pace = state->warm_up.pace;

	if (!owned)
		return;
	state->warm_up = *owned;
	state->warm_up.pace = pace; /* counts what this router starts without a grant */
}

void placement_hand_over_warm_up(
	placement_t *this, engine_state_t *state, unsigned int former, instant_t now)
{
	warm_up_t *owned = scheduler_warm_up(this->scheduler, state->engine.id);

	if (state->owner == 0 && owned) {
		*owned = state->warm_up;
		warm_up_configure(owned, state->engine.cold_pace, state->engine.cold_time, now);
		owned->pace.next_at = now;
		if (former != MEMBER_MAX || state->since_start)
			warm_up_assume_used(owned, now);
		if (this->pace_share < 1)
			warm_up_spread(owned, this->pace_share, phase_of(this, state), now);
		log_change(this, state, now);
	} else if (former == 0) {
		state->heard_at = now;
	}
	tell_all(this);
}

/* Routers that lose each other at the same moment each become the owner of the same engines. */
static void spread_owned(placement_t *this, double share, instant_t now)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		const engine_state_t *state = &this->engines[i];
		warm_up_t *owned = scheduler_warm_up(this->scheduler, state->engine.id);

		if (owned)
			warm_up_spread(owned, share, phase_of(this, state), now);
	}
}

/*
 * Each side of a partition has an owner for the engine, and views differ for a while: an owner
 * uses the pace in proportion to the routers that it sees.
 */
void placement_update_pace_share(placement_t *this, instant_t now)
{
	double alive = members_alive(&this->members);
	double expected = members_expected(&this->members);
	double share = alive < expected ? alive / expected : 1;

	if (2 * alive < expected)
		share *= MINORITY_PART;
	if (share < this->pace_share)
		spread_owned(this, share, now);
	this->pace_share = share;
	scheduler_set_pace_share(this->scheduler, share);
}

bool placement_pace_allows(const placement_t *this, const engine_state_t *state, instant_t now)
{
	return warm_up_allows(&state->warm_up, now) && warm_up_allows(known(this, state), now);
}

void placement_count_warm_up(placement_t *this, engine_state_t *state, instant_t now)
{
	warm_up_count(&state->warm_up, share_without_grant(this), now);
}

bool placement_grant_is_too_old(
	const placement_t *this, unsigned int owner, const engine_state_t *state, instant_t now)
{
	uint64_t gap = this->ticked_at ? now - this->ticked_at : 0;

	return owner && instant_max(gap, this->own_delay) > MAX_GRANT_AGE &&
	       warm_up_is_cold(known(this, state), now);
}

unsigned int placement_cold(const placement_t *this, instant_t now)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->engine_count; i++)
		count += warm_up_is_cold(known(this, &this->engines[i]), now);
	return count;
}
