#include "core/placement_internal.h"

/* --- lists -------------------------------------------------------------- */

void placement_push_action(placement_t *this, const placement_action_t *action)
{
	if (this->action_count == this->action_capacity) {
		unsigned int capacity = this->action_capacity + LIST_GROWTH;

		this->actions = allocator_grow(this->allocator, this->actions,
			this->action_capacity, capacity, sizeof(*this->actions));
		this->action_capacity = capacity;
	}
	this->actions[this->action_count++] = *action;
}

void placement_queue_entry(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t due)
{
	peer_state_t *peer = &this->peers[slot];

	if (peer->entry_count == peer->entry_capacity) {
		unsigned int capacity = peer->entry_capacity + LIST_GROWTH;

		peer->entries = allocator_grow(this->allocator, peer->entries, peer->entry_capacity,
			capacity, sizeof(*peer->entries));
		peer->entry_capacity = capacity;
	}
	peer->entries[peer->entry_count++] = *entry;
	peer->send_at = instant_min(peer->send_at, due);
}

pool_usage_t *placement_pool_usage(peer_state_t *peer, id_t32 pool)
{
	for (unsigned int i = 0; i < peer->usage_count; i++) {
		if (peer->usages[i].pool == pool)
			return &peer->usages[i];
	}
	if (peer->usage_count == MAX_POOLS)
		return NULL;
	peer->usages[peer->usage_count] = (pool_usage_t){.pool = pool};
	return &peer->usages[peer->usage_count++];
}

engine_state_t *placement_find_engine(const placement_t *this, id_t32 id)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].engine.id == id)
			return &this->engines[i];
	}
	return NULL;
}

/* --- owners ------------------------------------------------------------- */

static void apply_ownership(placement_t *this, engine_state_t *state)
{
	const placement_engine_t *engine = &state->engine;

	if (state->owner == 0) {
		scheduler_add_engine(this->scheduler, engine->id, engine->pool, &engine->limits);
		scheduler_set_version(this->scheduler, engine->id, engine->version);
		scheduler_set_region(this->scheduler, engine->id, engine->region);
		scheduler_set_usable(this->scheduler, engine->id, engine->usable);
	} else {
		scheduler_remove_engine(this->scheduler, engine->id);
	}
}

static held_slot_t held_slot_of(const placement_request_t *request)
{
	return (held_slot_t){
		.ticket = request->ticket,
		.engine = request->engine,
		.workspace = request->workspace,
		.prompt = request->work.prompt,
		.answer = request->work.answer,
		.prefill_done = request->prefill_done,
	};
}

void placement_report_slot(placement_t *this, placement_request_t *request, instant_t now)
{
	const engine_state_t *engine = placement_find_engine(this, request->engine);
	message_entry_t entry = {.kind = ENTRY_HELD_SLOT, .held_slot = held_slot_of(request)};

	if (!engine)
		return;
	request->owner = engine->owner;
	if (engine->owner == 0)
		scheduler_confirm_slot(this->scheduler, 0, &entry.held_slot, now);
	else
		placement_queue_entry(this, engine->owner, &entry, now);
}

void placement_report_all_slots(placement_t *this, instant_t now)
{
	const message_entry_t report_end = {.kind = ENTRY_REPORT_END};
	placement_request_t *request;

	cds_list_for_each_entry (request, &this->running, link)
		placement_report_slot(this, request, now);
	scheduler_end_report(this->scheduler, 0, now);
	for (unsigned int i = 1; i < this->members.count; i++) {
		if (member_is_alive(&this->members.list[i]))
			placement_queue_entry(this, i, &report_end, now);
	}
}

/* Reports the slots in use whose engine got a new owner. */
static void report_moved_slots(placement_t *this, instant_t now)
{
	placement_request_t *request;

	cds_list_for_each_entry (request, &this->running, link) {
		const engine_state_t *engine = placement_find_engine(this, request->engine);

		if (engine && engine->owner != request->owner)
			placement_report_slot(this, request, now);
	}
}

void placement_assign_owners(placement_t *this, instant_t now)
{
	bool changed = false;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		engine_state_t *state = &this->engines[i];
		unsigned int owner = members_owner(&this->members, state->engine.id);
		bool moved = owner != state->owner;
		unsigned int former = state->owner;

		if (moved && former == 0)
			placement_keep_warm_up(this, state);
		state->owner = owner;
		apply_ownership(this, state);
		if (moved) {
			placement_hand_over_rate(this, state, former == 0, now);
			placement_hand_over_warm_up(this, state, former, now);
			placement_take_over_speed(this, state, former == 0, now);
		}
		changed |= moved;
	}
	this->owned_view = this->members.view;
	if (changed)
		report_moved_slots(this, now);
}
