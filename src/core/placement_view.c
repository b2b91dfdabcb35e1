#include "core/placement_internal.h"

/* --- small things ----------------------------------------------------- */

void placement_push(placement_t *this, const placement_action_t *action)
{
	if (this->action_count == this->action_room) {
		unsigned int to = this->action_room + NOTE_BATCH;

		this->actions = allocator_grow(this->allocator, this->actions, this->action_room,
			to, sizeof(*this->actions));
		this->action_room = to;
	}
	this->actions[this->action_count++] = *action;
}

void placement_tell(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	member_news_t *view = &this->views[slot];

	if (view->note_count == view->note_room) {
		unsigned int to = view->note_room + NOTE_BATCH;

		view->notes = allocator_grow(
			this->allocator, view->notes, view->note_room, to, sizeof(*view->notes));
		view->note_room = to;
	}
	view->notes[view->note_count++] = *note;
	view->send_at = instant_min(view->send_at, now);
}

pool_fill_t *placement_fill_of(member_news_t *view, id_t32 pool)
{
	for (unsigned int i = 0; i < view->fill_count; i++) {
		if (view->fills[i].pool == pool)
			return &view->fills[i];
	}
	if (view->fill_count == MAX_POOLS)
		return NULL;
	view->fills[view->fill_count] = (pool_fill_t){.pool = pool};
	return &view->fills[view->fill_count++];
}

engine_view_t *placement_find_engine(const placement_t *this, id_t32 id)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].engine.id == id)
			return &this->engines[i];
	}
	return NULL;
}

/* --- owners ------------------------------------------------------------ */

static void take_over(placement_t *this, engine_view_t *view)
{
	const placement_engine_t *engine = &view->engine;

	if (view->owner == 0) {
		scheduler_own(this->scheduler, engine->id, engine->pool, &engine->limits);
		scheduler_set_usable(this->scheduler, engine->id, engine->usable);
	} else {
		scheduler_disown(this->scheduler, engine->id);
	}
}

static held_place_t place_of(const place_request_t *request)
{
	return (held_place_t){
		.ticket = request->ticket,
		.engine = request->engine,
		.workspace = request->workspace,
		.prompt = request->work.prompt,
		.answer = request->work.answer,
		.is_read = request->is_read,
	};
}

/* Tells the engine's owner of a place in use, as often as may be. */
void placement_report(placement_t *this, place_request_t *request, instant_t now)
{
	const engine_view_t *engine = placement_find_engine(this, request->engine);
	note_t note = {.kind = NOTE_HOLD, .place = place_of(request)};

	if (!engine)
		return;
	request->owner = engine->owner;
	if (engine->owner == 0)
		scheduler_hold(this->scheduler, 0, &note.place, now);
	else
		placement_tell(this, engine->owner, &note, now);
}

void placement_report_all(placement_t *this, instant_t now)
{
	const note_t done = {.kind = NOTE_REPORTED};
	place_request_t *request;

	cds_list_for_each_entry (request, &this->running, link)
		placement_report(this, request, now);
	scheduler_end_report(this->scheduler, 0, now);
	for (unsigned int i = 1; i < this->members.count; i++) {
		if (member_is_alive(&this->members.list[i]))
			placement_tell(this, i, &done, now);
	}
}

/* Works out the owners anew; what runs here is told to new ones. */
void placement_assign_owners(placement_t *this, instant_t now)
{
	bool changed = false;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		engine_view_t *view = &this->engines[i];
		unsigned int owner = members_owner(&this->members, view->engine.id);

		changed |= owner != view->owner;
		view->owner = owner;
		take_over(this, view);
	}
	this->owned_view = this->members.view;
	if (changed)
		placement_report_all(this, now);
}
