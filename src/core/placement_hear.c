#include "core/placement_internal.h"

/* --- hearing ----------------------------------------------------------- */

static place_request_t *find_asked(const placement_t *this, unsigned int owner, uint64_t ticket)
{
	place_request_t *request;

	cds_list_for_each_entry (request, &this->asked, link) {
		if (request->ticket == ticket && request->owner == owner)
			return request;
	}
	return NULL;
}

/* An owner that is full, while another has places, names that. */
static bool is_full_alone(placement_t *this, id_t32 pool, instant_t now)
{
	if (placement_fill_at(this, 0, pool, now) < 1)
		return false;
	for (unsigned int slot = 1; slot < this->members.count; slot++) {
		if (placement_is_askable(this, slot) && placement_owns(this, slot, pool) &&
			placement_fill_at(this, slot, pool, now) < FILL_FREE)
			return true;
	}
	return false;
}

static void hear_ask(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	note_t answer = {.kind = NOTE_NOT_MINE, .ticket = note->ask.ticket};

	if (this->stopping || !placement_owns(this, 0, note->ask.pool)) {
		placement_tell(this, slot, &answer, now);
		return;
	}
	if (!note->ask.insists && is_full_alone(this, note->ask.pool, now)) {
		answer.kind = NOTE_FULL;
		placement_tell(this, slot, &answer, now);
		return;
	}
	scheduler_ask(this->scheduler, slot, &note->ask, now);
	answer.kind = NOTE_WAIT;
	placement_tell(this, slot, &answer, now);
}

static void hear_wait(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	place_request_t *request = find_asked(this, slot, note->ticket);

	if (request)
		request->state = PLACE_WAITING;
}

/* The grant was told before. */
static bool is_running(const placement_t *this, unsigned int owner, uint64_t ticket)
{
	const place_request_t *request;

	cds_list_for_each_entry (request, &this->running, link) {
		if (request->ticket == ticket && request->owner == owner)
			return true;
	}
	return false;
}

static void hear_grant(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	place_request_t *request = find_asked(this, slot, note->ticket);

	if (request && placement_find_engine(this, note->engine)) {
		request->source = note->source;
		if (!request->source)
			request->source = placement_likely_source(this, request, note->engine);
		placement_start(this, request, note->engine, slot);
	} else if (!is_running(this, slot, note->ticket))
		placement_withdraw_at(this, slot, note->ticket, now);
}

static void hear_refuse(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	place_request_t *request = find_asked(this, slot, note->ticket);

	if (request)
		placement_reject(this, request, note->value);
}

/* The owner in `slot` has no usable place, or none that is free. */
static void ask_elsewhere(
	placement_t *this, unsigned int slot, uint64_t ticket, bool owns_some, instant_t now)
{
	place_request_t *request = find_asked(this, slot, ticket);
	pool_fill_t *fill;

	if (!request)
		return;
	this->stats.elsewhere++;
	fill = placement_fill_of(&this->views[slot], request->pool);
	if (fill && owns_some)
		fill->fill.taken = fill->fill.slots + 1;
	else if (fill)
		fill->fill = (scheduler_fill_t){0};
	placement_ask(this, request, now);
}

static void hear_not_mine(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	ask_elsewhere(this, slot, note->ticket, false, now);
}

static void hear_full(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	ask_elsewhere(this, slot, note->ticket, true, now);
}

static void hear_withdraw(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	scheduler_withdraw(this->scheduler, slot, note->ticket, now);
}

static void hear_first(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	scheduler_first_token(this->scheduler, slot, note->ticket, now);
}

static void hear_load(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	scheduler_load_report(this->scheduler, slot, note->ticket, note->value, now);
}

static void hear_failed(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	scheduler_fail(this->scheduler, slot, note->ticket, (place_end_t)note->value, now);
}

static void hear_end(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	scheduler_end(this->scheduler, slot, note->ticket, note->value, now);
}

static void hear_hold(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	scheduler_hold(this->scheduler, slot, &note->place, now);
}

static void hear_reported(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	scheduler_end_report(this->scheduler, slot, now);
}

static void hear_served(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	scheduler_hear_served(this->scheduler, note->pool, note->workspace, note->tokens, now);
}

static void hear_fill(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	pool_fill_t *fill = placement_fill_of(&this->views[slot], note->pool);

	if (fill)
		fill->fill = note->fill;
}

static void (*const hear[NOTE_KINDS])(placement_t *, unsigned int, const note_t *, instant_t) = {
	[NOTE_ASK] = hear_ask,
	[NOTE_WAIT] = hear_wait,
	[NOTE_GRANT] = hear_grant,
	[NOTE_REFUSE] = hear_refuse,
	[NOTE_NOT_MINE] = hear_not_mine,
	[NOTE_FULL] = hear_full,
	[NOTE_WITHDRAW] = hear_withdraw,
	[NOTE_FIRST] = hear_first,
	[NOTE_LOAD] = hear_load,
	[NOTE_FAILED] = hear_failed,
	[NOTE_END] = hear_end,
	[NOTE_HOLD] = hear_hold,
	[NOTE_REPORTED] = hear_reported,
	[NOTE_SERVED] = hear_served,
	[NOTE_FILL] = hear_fill,
};

void placement_note(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	if (hear[note->kind])
		hear[note->kind](this, slot, note, now);
}

bool placement_hear(placement_t *this, const note_head_t *head, unsigned int *slot, instant_t now)
{
	int found = members_find(&this->members, head->from);
	hear_result_t result;

	if (found < 1)
		return false;
	*slot = (unsigned int)found;
	result = members_hear(&this->members, *slot, head->incarnation, head->seq, now);
	if (result == HEAR_OLD || result == HEAR_STRANGER)
		return false;
	if (result == HEAR_RESTARTED)
		scheduler_forget_router(this->scheduler, *slot, now);
	members_set_stopping(&this->members, *slot, head->stopping);
	this->views[*slot].distrusted = false;
	return true;
}
