#include "core/placement.h"

#include <string.h>

#define NOTE_BATCH 64
#define MAX_NOTES 512 /* in one message */
#define ANSWER_SPAN                                                                                \
	(25 * USEC_PER_MSEC) /* for an owner's first word: ten times a usual round trip */
#define REPEAT_SPAN (200 * USEC_PER_MSEC) /* between two tellings of an ask that waits */
#define FILL_SPACING                                                                               \
	(4 * USEC_PER_MSEC) /* times the routers: between two messages for this alone */
#define SERVED_SPACING (12 * USEC_PER_MSEC) /* times the routers: between two tellings of service  \
					     */
#define MAX_ASKS 3   /* owners that are asked before a router starts work on its own */
#define CANDIDATES 3 /* engines on which a prompt's shared parts may stand */
#define REPORT_INTERVAL (1 * USEC_PER_SEC)
#define HEARTBEAT_FLEET (20 * USEC_PER_MSEC) /* between two heartbeats of a router, to whomever */
#define HEARTBEAT_LEAST (100 * USEC_PER_MSEC)
#define MAX_POOLS 16
#define NO_ENGINE_RETRY_MS 1000 /* a registration takes about a second to arrive */
#define FILL_NONE 1000.0	/* of an owner without a usable engine */
#define FILL_CALM 0.75		/* up to which no owner counts as fuller than another */
#define FILL_FREE 0.95		/* up to which an owner surely has a place */
#define FILL_MARGIN 0.25	/* that an owner may be fuller where the shared parts were read */
#define FILL_RANK 0.05		/* less for each further place where they may have been */
#define OWN_DIVISOR 2		/* of an even share of slots, used without an owner */

typedef struct engine_view {
	placement_engine_t engine;
	unsigned int owner;  /* member slot */
	unsigned int on_own; /* running here without an owner's word */
	unsigned int held;   /* running here, all */
} engine_view_t;

/* How full a member's engines of a pool are, as far as is known here. */
typedef struct pool_fill {
	id_t32 pool;
	scheduler_fill_t fill;
	scheduler_fill_t told; /* of our own, to this member */
} pool_fill_t;

typedef struct member_state_view {
	bool distrusted; /* did not answer an ask, and was not heard since */
	pool_fill_t fills[MAX_POOLS];
	unsigned int fill_count;
	note_t *notes;
	unsigned int note_first;
	unsigned int note_count;
	unsigned int note_room;
	uint64_t seq;
	instant_t send_at;
	instant_t sent_at;
} member_view_state_t;

struct placement {
	placement_options_t options;
	const allocator_t *allocator;
	members_t members;
	member_view_state_t *views; /* by slot */
	scheduler_t *scheduler;
	engine_view_t *engines;
	unsigned int engine_count;
	unsigned int engine_room;
	uint64_t owned_view;
	struct cds_list_head asked;   /* place_request_t: asked or waiting */
	struct cds_list_head running; /* place_request_t: given */
	placement_action_t *actions;
	unsigned int action_first;
	unsigned int action_count;
	unsigned int action_room;
	uint64_t next_ticket;
	uint64_t random;
	instant_t report_at;
	instant_t served_at; /* when to tell what was served */
	bool stopping;
	placement_stats_t stats;
};

/* --- small things ----------------------------------------------------- */

static uint64_t mix(uint64_t a, uint64_t b)
{
	uint64_t h = a * 0x9e3779b97f4a7c15ULL + b;

	h ^= h >> 32;
	h *= 0xd6e8feb86659fd93ULL;
	h ^= h >> 29;
	h *= 0x94d049bb133111ebULL;
	return h ^ (h >> 32);
}

static uint64_t draw(placement_t *this)
{
	this->random = mix(this->random, 0x2545f4914f6cdd1dULL);
	return this->random;
}

static void push_action(placement_t *this, const placement_action_t *action)
{
	if (this->action_count == this->action_room) {
		unsigned int to = this->action_room + NOTE_BATCH;

		this->actions = allocator_grow(this->allocator, this->actions, this->action_room,
			to, sizeof(*this->actions));
		this->action_room = to;
	}
	this->actions[this->action_count++] = *action;
}

bool placement_next_action(placement_t *this, placement_action_t *action)
{
	if (this->action_first == this->action_count) {
		this->action_first = 0;
		this->action_count = 0;
		return false;
	}
	*action = this->actions[this->action_first++];
	return true;
}

static void tell(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	member_view_state_t *view = &this->views[slot];

	if (view->note_count == view->note_room) {
		unsigned int to = view->note_room + NOTE_BATCH;

		view->notes = allocator_grow(
			this->allocator, view->notes, view->note_room, to, sizeof(*view->notes));
		view->note_room = to;
	}
	view->notes[view->note_count++] = *note;
	view->send_at = instant_min(view->send_at, now);
}

static pool_fill_t *fill_of(member_view_state_t *view, id_t32 pool)
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

static engine_view_t *find_engine(const placement_t *this, id_t32 id)
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
		scheduler_own(this->scheduler, engine->id, engine->pool, engine->slots,
			engine->token_memory);
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
static void report(placement_t *this, place_request_t *request, instant_t now)
{
	const engine_view_t *engine = find_engine(this, request->engine);
	note_t note = {.kind = NOTE_HOLD, .place = place_of(request)};

	if (!engine)
		return;
	request->owner = engine->owner;
	if (engine->owner == 0)
		scheduler_hold(this->scheduler, 0, &note.place, now);
	else
		tell(this, engine->owner, &note, now);
}

static void report_all(placement_t *this, instant_t now)
{
	const note_t done = {.kind = NOTE_REPORTED};
	place_request_t *request;

	cds_list_for_each_entry (request, &this->running, link)
		report(this, request, now);
	scheduler_end_report(this->scheduler, 0, now);
	for (unsigned int i = 1; i < this->members.count; i++) {
		if (member_is_alive(&this->members.list[i]))
			tell(this, i, &done, now);
	}
}

/* Works out the owners anew; what runs here is told to new ones. */
static void assign_owners(placement_t *this, instant_t now)
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
		report_all(this, now);
}

/* --- asking ------------------------------------------------------------ */

static bool is_askable(const placement_t *this, unsigned int slot)
{
	const member_t *member = &this->members.list[slot];

	if (slot == 0)
		return !this->stopping;
	return member_is_alive(member) && !member->stopping && !this->views[slot].distrusted;
}

/* Taken places for each usable one; FILL_NONE where none is usable. */
static double fill_at(placement_t *this, unsigned int slot, id_t32 pool, instant_t now)
{
	scheduler_fill_t fill = {0};
	const pool_fill_t *known;

	if (slot == 0) {
		fill = scheduler_fill(this->scheduler, pool, now);
	} else {
		known = fill_of(&this->views[slot], pool);
		if (known)
			fill = known->fill;
	}
	return fill.slots ? (double)fill.taken / fill.slots : FILL_NONE;
}

/* The engines that rank first for the prompt, by rendezvous hashing. */
static unsigned int rank_engines(const placement_t *this, const place_request_t *request,
	uint64_t prefix, unsigned int *best)
{
	uint64_t scores[CANDIDATES];
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		const placement_engine_t *engine = &this->engines[i].engine;
		uint64_t score = mix(prefix, engine->id);
		unsigned int at;

		if (engine->pool != request->pool || !engine->usable)
			continue;
		for (at = count; at && scores[at - 1] < score; at--) {
			if (at < CANDIDATES) {
				scores[at] = scores[at - 1];
				best[at] = best[at - 1];
			}
		}
		if (at < CANDIDATES) {
			scores[at] = score;
			best[at] = i;
			count += count < CANDIDATES;
		}
	}
	return count;
}

static bool owns_engine_of(const placement_t *this, unsigned int slot, id_t32 pool)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].owner == slot && this->engines[i].engine.pool == pool &&
			this->engines[i].engine.usable)
			return true;
	}
	return false;
}

/* The least full owner, -1 when none can be asked. */
static int least_full(placement_t *this, id_t32 pool, instant_t now)
{
	unsigned int start = (unsigned int)(draw(this) % this->members.count);
	int best = -1;
	double best_fill = 0;

	for (unsigned int k = 0; k < this->members.count; k++) {
		unsigned int slot = (start + k) % this->members.count;
		double fill;

		if (!is_askable(this, slot) || !owns_engine_of(this, slot, pool))
			continue;
		fill = fill_at(this, slot, pool, now);
		if (best >= 0 && fill >= best_fill)
			continue;
		best = (int)slot;
		best_fill = fill;
	}
	return best;
}

/*
 * Whom to ask: the least full owner, unless one that has probably read the
 * prompt's shared parts is not much fuller.
 */
static int choose_owner(placement_t *this, const place_request_t *request, instant_t now)
{
	const prompt_chain_t *chain = &request->work.chain;
	uint64_t prefix = chain->count ? chain->hash[chain->count - 1] : 0;
	unsigned int ranked[CANDIDATES];
	unsigned int count = prefix ? rank_engines(this, request, prefix, ranked) : 0;
	int best = least_full(this, request->pool, now);
	double least = best < 0 ? 0 : fill_at(this, (unsigned int)best, request->pool, now);
	double bound = (least < FILL_CALM ? FILL_CALM : least) + FILL_MARGIN;

	if (least < FILL_FREE && bound > FILL_FREE)
		bound = FILL_FREE;
	for (unsigned int i = 0; i < count; i++) {
		unsigned int owner = this->engines[ranked[i]].owner;

		if (is_askable(this, owner) &&
			fill_at(this, owner, request->pool, now) <= bound - i * FILL_RANK)
			return (int)owner;
	}
	return best;
}

static void unlink_request(place_request_t *request)
{
	cds_list_del(&request->link);
	request->state = PLACE_NONE;
}

static void start(placement_t *this, place_request_t *request, id_t32 engine, unsigned int owner)
{
	placement_action_t action = {.kind = PLACEMENT_START, .request = request, .engine = engine};
	engine_view_t *view = find_engine(this, engine);

	if (request->state != PLACE_NONE)
		cds_list_del(&request->link);
	cds_list_add_tail(&request->link, &this->running);
	request->state = PLACE_GIVEN;
	request->engine = engine;
	request->owner = owner;
	if (view)
		view->held++;
	push_action(this, &action);
}

static bool has_usable_engine(const placement_t *this, id_t32 pool)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].engine.pool == pool && this->engines[i].engine.usable)
			return true;
	}
	return false;
}

static void reject(placement_t *this, place_request_t *request, uint32_t retry_after_ms)
{
	placement_action_t action = {
		.kind = PLACEMENT_REJECT, .request = request, .retry_after_ms = retry_after_ms};

	if (request->state != PLACE_NONE)
		unlink_request(request);
	action.no_engine = !has_usable_engine(this, request->pool);
	push_action(this, &action);
}

/* No owner gave word: the engine with the least of ours, within a part of an even share. */
static void start_on_own(placement_t *this, place_request_t *request, instant_t now)
{
	unsigned int routers = members_expected(&this->members);
	engine_view_t *best = NULL;
	unsigned int share;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		engine_view_t *view = &this->engines[i];

		if (view->engine.pool != request->pool || !view->engine.usable ||
			view->engine.id == request->avoid)
			continue;
		if (!best || view->held < best->held)
			best = view;
	}
	share = best ? best->engine.slots / (OWN_DIVISOR * (routers ? routers : 1)) : 0;
	if (!best || best->held > share) {
		reject(this, request, 0);
		return;
	}
	this->stats.on_own++;
	best->on_own++;
	request->on_own = true;
	request->ticket = ++this->next_ticket;
	start(this, request, best->engine.id, best->owner);
	report(this, request, now);
}

static note_t ask_note(const place_request_t *request)
{
	return (note_t){
		.kind = NOTE_ASK,
		.ask =
			{
				.ticket = request->ticket,
				.pool = request->pool,
				.workspace = request->workspace,
				.avoid = request->avoid,
				.work = request->work,
				.first_by = request->first_by,
				.deadline = request->deadline,
				.is_late = request->is_late,
				.insists = request->asks >= MAX_ASKS,
			},
	};
}

static void send_ask(placement_t *this, place_request_t *request, unsigned int owner, instant_t now)
{
	note_t note;
	pool_fill_t *fill;

	request->ticket = ++this->next_ticket;
	request->owner = owner;
	request->repeat_at = now + REPEAT_SPAN;
	note = ask_note(request);
	this->stats.asks++;
	if (owner == 0) {
		request->state = PLACE_WAITING;
		scheduler_ask(this->scheduler, 0, &note.ask, now);
		return;
	}
	request->state = PLACE_ASKED;
	request->answer_by = now + ANSWER_SPAN;
	fill = fill_of(&this->views[owner], request->pool);
	if (fill)
		fill->fill.taken++;
	tell(this, owner, &note, now);
}

static void ask(placement_t *this, place_request_t *request, instant_t now)
{
	int owner = request->asks < MAX_ASKS ? choose_owner(this, request, now) : -1;

	if (request->state != PLACE_NONE)
		unlink_request(request);
	if (owner < 0) {
		start_on_own(this, request, now);
		return;
	}
	request->asks++;
	cds_list_add_tail(&request->link, &this->asked);
	send_ask(this, request, (unsigned int)owner, now);
}

void placement_request(placement_t *this, place_request_t *request, instant_t now)
{
	request->state = PLACE_NONE;
	request->asks = 0;
	request->is_read = false;
	request->on_own = false;
	if (!has_usable_engine(this, request->pool)) {
		reject(this, request, NO_ENGINE_RETRY_MS);
		return;
	}
	ask(this, request, now);
}

static void withdraw_at(placement_t *this, unsigned int slot, uint64_t ticket, instant_t now)
{
	note_t note = {.kind = NOTE_WITHDRAW, .ticket = ticket};

	if (slot == 0)
		scheduler_withdraw(this->scheduler, 0, ticket, now);
	else
		tell(this, slot, &note, now);
}

static void leave_engine(placement_t *this, place_request_t *request)
{
	engine_view_t *view = find_engine(this, request->engine);

	if (view) {
		view->held -= view->held > 0;
		view->on_own -= request->on_own && view->on_own;
	}
	unlink_request(request);
}

void placement_cancel(placement_t *this, place_request_t *request, instant_t now)
{
	if (request->state == PLACE_NONE)
		return;
	withdraw_at(this, request->owner, request->ticket, now);
	if (request->state == PLACE_GIVEN)
		leave_engine(this, request);
	else
		unlink_request(request);
}

static void tell_owner(
	placement_t *this, const place_request_t *request, const note_t *note, instant_t now)
{
	if (request->owner)
		tell(this, request->owner, note, now);
	else
		placement_note(this, 0, note, now);
}

void placement_first_token(placement_t *this, place_request_t *request, instant_t now)
{
	note_t note = {.kind = NOTE_FIRST, .ticket = request->ticket};

	if (request->state != PLACE_GIVEN || request->is_read)
		return;
	request->is_read = true;
	tell_owner(this, request, &note, now);
}

void placement_load_report(
	placement_t *this, place_request_t *request, unsigned int load, instant_t now)
{
	note_t note = {.kind = NOTE_LOAD, .ticket = request->ticket, .value = load};

	if (request->state == PLACE_GIVEN)
		tell_owner(this, request, &note, now);
}

void placement_fail(placement_t *this, place_request_t *request, place_end_t failure, instant_t now)
{
	note_t note = {.kind = NOTE_FAILED, .ticket = request->ticket, .value = failure};

	if (request->state != PLACE_GIVEN)
		return;
	tell_owner(this, request, &note, now);
	leave_engine(this, request);
}

void placement_end(placement_t *this, place_request_t *request, uint32_t answer, instant_t now)
{
	note_t note = {.kind = NOTE_END, .ticket = request->ticket, .value = answer};

	if (request->state != PLACE_GIVEN)
		return;
	tell_owner(this, request, &note, now);
	leave_engine(this, request);
}

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
	if (fill_at(this, 0, pool, now) < 1)
		return false;
	for (unsigned int slot = 1; slot < this->members.count; slot++) {
		if (is_askable(this, slot) && owns_engine_of(this, slot, pool) &&
			fill_at(this, slot, pool, now) < FILL_FREE)
			return true;
	}
	return false;
}

static void hear_ask(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	note_t answer = {.kind = NOTE_NOT_MINE, .ticket = note->ask.ticket};

	if (this->stopping || !owns_engine_of(this, 0, note->ask.pool)) {
		tell(this, slot, &answer, now);
		return;
	}
	if (!note->ask.insists && is_full_alone(this, note->ask.pool, now)) {
		answer.kind = NOTE_FULL;
		tell(this, slot, &answer, now);
		return;
	}
	scheduler_ask(this->scheduler, slot, &note->ask, now);
	answer.kind = NOTE_WAIT;
	tell(this, slot, &answer, now);
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

	if (request && find_engine(this, note->engine))
		start(this, request, note->engine, slot);
	else if (!is_running(this, slot, note->ticket))
		withdraw_at(this, slot, note->ticket, now);
}

static void hear_refuse(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	place_request_t *request = find_asked(this, slot, note->ticket);

	if (request)
		reject(this, request, note->value);
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
	fill = fill_of(&this->views[slot], request->pool);
	if (fill && owns_some)
		fill->fill.taken = fill->fill.slots + 1;
	else if (fill)
		fill->fill = (scheduler_fill_t){0};
	ask(this, request, now);
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
	pool_fill_t *fill = fill_of(&this->views[slot], note->pool);

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

/* --- time -------------------------------------------------------------- */

static void answer_asks(placement_t *this, instant_t now)
{
	scheduler_action_t action;

	while (scheduler_next_action(this->scheduler, &action)) {
		note_t note = {
			.kind = action.kind == SCHEDULER_GRANT ? NOTE_GRANT : NOTE_REFUSE,
			.ticket = action.ticket,
			.engine = action.engine,
			.value = action.retry_after_ms,
		};

		if (action.router)
			tell(this, action.router, &note, now);
		else
			placement_note(this, 0, &note, now);
	}
}

static void repeat_ask(placement_t *this, place_request_t *request, instant_t now)
{
	note_t note = ask_note(request);

	request->repeat_at = now + REPEAT_SPAN;
	tell(this, request->owner, &note, now);
}

/* An owner that gave no word in time is passed over until it is heard again. */
static instant_t check_asked(placement_t *this, instant_t now)
{
	instant_t next = INSTANT_NEVER;
	place_request_t *request;
	place_request_t *after;

	cds_list_for_each_entry_safe (request, after, &this->asked, link) {
		const member_t *owner = &this->members.list[request->owner];
		bool is_silent = request->state == PLACE_ASKED && now >= request->answer_by;
		bool is_lost = request->owner && (!member_is_alive(owner) || owner->stopping ||
							 owner->state == MEMBER_SUSPECT);

		if (is_silent) {
			this->stats.unanswered++;
			this->views[request->owner].distrusted = true;
		}
		if (is_silent || is_lost) {
			withdraw_at(this, request->owner, request->ticket, now);
			ask(this, request, now);
			continue;
		}
		if (request->owner && now >= request->repeat_at)
			repeat_ask(this, request, now);
		if (request->state == PLACE_ASKED)
			next = instant_min(next, request->answer_by);
	}
	return next;
}

static void tick_members(placement_t *this, instant_t now)
{
	bool was_alive[MEMBER_MAX] = {false};

	for (unsigned int i = 1; i < this->members.count; i++)
		was_alive[i] = member_is_alive(&this->members.list[i]);
	members_tick(&this->members, now);
	for (unsigned int i = 1; i < this->members.count; i++) {
		if (was_alive[i] && !member_is_alive(&this->members.list[i]))
			scheduler_forget_router(this->scheduler, i, now);
	}
	if (this->owned_view != this->members.view)
		assign_owners(this, now);
}

static void tell_served(void *ctx, id_t32 pool, id_t32 workspace, int32_t tokens)
{
	placement_t *this = ctx;
	note_t note = {.kind = NOTE_SERVED, .pool = pool, .workspace = workspace, .tokens = tokens};

	for (unsigned int slot = 1; slot < this->members.count; slot++) {
		if (member_is_alive(&this->members.list[slot]))
			tell(this, slot, &note, this->served_at);
	}
}

static void tell_all_served(placement_t *this, instant_t now)
{
	if (now < this->served_at)
		return;
	this->served_at = now + SERVED_SPACING * this->members.count;
	scheduler_tell_served(this->scheduler, tell_served, this);
}

static bool is_full(const scheduler_fill_t *fill)
{
	return fill->taken >= fill->slots;
}

/* Those who would ask in vain, or don't ask though they could, hear of it soon. */
static void announce_fill(placement_t *this, instant_t now)
{
	const member_view_state_t *own = &this->views[0];
	uint64_t spacing = FILL_SPACING * this->members.count;

	for (unsigned int i = 0; i < own->fill_count; i++) {
		id_t32 pool = own->fills[i].pool;
		scheduler_fill_t has = scheduler_fill(this->scheduler, pool, now);

		for (unsigned int slot = 1; slot < this->members.count; slot++) {
			member_view_state_t *view = &this->views[slot];
			const pool_fill_t *fill = fill_of(view, pool);

			if (fill && is_full(&fill->told) != is_full(&has))
				view->send_at = instant_min(view->send_at, view->sent_at + spacing);
		}
	}
}

instant_t placement_tick(placement_t *this, instant_t now)
{
	instant_t next;

	tick_members(this, now);
	if (now >= this->report_at) {
		this->report_at = now + REPORT_INTERVAL;
		report_all(this, now);
	}
	next = check_asked(this, now);
	next = instant_min(next, scheduler_run(this->scheduler, now));
	answer_asks(this, now);
	announce_fill(this, now);
	tell_all_served(this, now);
	return instant_min(next, this->report_at);
}

/* --- messages ---------------------------------------------------------- */

static instant_t heartbeat_interval(const placement_t *this)
{
	instant_t interval = HEARTBEAT_FLEET * this->members.count;

	return interval > HEARTBEAT_LEAST ? interval : HEARTBEAT_LEAST;
}

/* How full our engines are, where that changed since this member heard of it. */
static void add_fills(placement_t *this, unsigned int slot, instant_t now)
{
	member_view_state_t *view = &this->views[slot];
	member_view_state_t *own = &this->views[0];

	for (unsigned int i = 0; i < own->fill_count; i++) {
		note_t note = {.kind = NOTE_FILL, .pool = own->fills[i].pool};
		pool_fill_t *fill = fill_of(view, note.pool);

		note.fill = scheduler_fill(this->scheduler, note.pool, now);
		if (!fill || !memcmp(&fill->told, &note.fill, sizeof(note.fill)))
			continue;
		fill->told = note.fill;
		tell(this, slot, &note, now);
	}
}

bool placement_next_message(placement_t *this, unsigned int *slot, note_head_t *head, instant_t now)
{
	for (unsigned int i = 1; i < this->members.count; i++) {
		member_view_state_t *view = &this->views[i];

		if (now < view->send_at)
			continue;
		add_fills(this, i, now);
		view->sent_at = now;
		view->send_at = now + heartbeat_interval(this);
		*slot = i;
		*head = (note_head_t){
			.from = this->options.self,
			.incarnation = this->options.incarnation,
			.seq = ++view->seq,
			.stopping = this->stopping,
		};
		return true;
	}
	return false;
}

void placement_wake(placement_t *this, unsigned int slot, instant_t now)
{
	this->views[slot].send_at = instant_min(this->views[slot].send_at, now);
}

bool placement_next_note(placement_t *this, unsigned int slot, note_t *note)
{
	member_view_state_t *view = &this->views[slot];

	if (view->note_first == view->note_count) {
		view->note_first = 0;
		view->note_count = 0;
		return false;
	}
	*note = view->notes[view->note_first++];
	return true;
}

/* --- life -------------------------------------------------------------- */

placement_t *placement_new(const placement_options_t *options, instant_t now)
{
	const allocator_t *allocator = options->allocator ? options->allocator : &allocator_default;
	placement_t *this = allocator_new(allocator, 1, sizeof(*this));

	this->options = *options;
	this->allocator = allocator;
	this->random = options->seed;
	this->report_at = now + REPORT_INTERVAL;
	CDS_INIT_LIST_HEAD(&this->asked);
	CDS_INIT_LIST_HEAD(&this->running);
	members_init(&this->members, allocator, options->self);
	this->views = allocator_new(allocator, MEMBER_MAX, sizeof(*this->views));
	this->scheduler = scheduler_new(&options->scheduler);
	return this;
}

void placement_delete(placement_t *this)
{
	if (!this)
		return;
	for (unsigned int i = 0; i < this->members.count; i++)
		allocator_delete(this->allocator, this->views[i].notes);
	scheduler_delete(this->scheduler);
	members_clear(&this->members);
	allocator_delete(this->allocator, this->views);
	allocator_delete(this->allocator, this->engines);
	allocator_delete(this->allocator, this->actions);
	allocator_delete(this->allocator, this);
}

unsigned int placement_add_member(placement_t *this, id_t32 id)
{
	int known = members_find(&this->members, id);

	return known >= 0 ? (unsigned int)known : members_add(&this->members, id);
}

void placement_set_listed(placement_t *this, unsigned int slot, bool listed)
{
	if (slot)
		members_set_listed_gone(&this->members, slot, !listed);
}

void placement_link_broken(placement_t *this, unsigned int slot, instant_t now)
{
	members_link_broken(&this->members, slot, now);
}

void placement_stop(placement_t *this, instant_t now)
{
	this->stopping = true;
	members_set_stopping(&this->members, 0, true);
	for (unsigned int i = 1; i < this->members.count; i++)
		this->views[i].send_at = now;
	assign_owners(this, now);
}

static engine_view_t *engine_for(placement_t *this, const placement_engine_t *engine)
{
	engine_view_t *view = find_engine(this, engine->id);

	if (view)
		return view;
	if (this->engine_count == this->engine_room) {
		unsigned int to = this->engine_room + NOTE_BATCH;

		this->engines = allocator_grow(this->allocator, this->engines, this->engine_room,
			to, sizeof(*this->engines));
		this->engine_room = to;
	}
	view = &this->engines[this->engine_count++];
	*view = (engine_view_t){.owner = MEMBER_MAX};
	return view;
}

static bool is_named(
	const placement_engine_t *engines, unsigned int count, const engine_view_t *view)
{
	for (unsigned int i = 0; i < count; i++) {
		if (engines[i].id == view->engine.id)
			return true;
	}
	return false;
}

void placement_set_engines(
	placement_t *this, const placement_engine_t *engines, unsigned int count, instant_t now)
{
	for (unsigned int i = 0; i < this->engine_count;) {
		if (is_named(engines, count, &this->engines[i])) {
			i++;
			continue;
		}
		scheduler_disown(this->scheduler, this->engines[i].engine.id);
		this->engines[i] = this->engines[--this->engine_count];
	}
	for (unsigned int i = 0; i < count; i++) {
		engine_for(this, &engines[i])->engine = engines[i];
		fill_of(&this->views[0], engines[i].pool);
	}
	assign_owners(this, now);
}

const members_t *placement_members(const placement_t *this)
{
	return &this->members;
}

const scheduler_t *placement_scheduler(const placement_t *this)
{
	return this->scheduler;
}

const placement_stats_t *placement_stats(const placement_t *this)
{
	return &this->stats;
}
