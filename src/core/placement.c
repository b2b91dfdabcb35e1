#include "core/placement_internal.h"

#include <string.h>

/* Spacings are times the routers of the fleet, so that a router's sends don't grow with it. */
#define FILL_SPACING (4 * USEC_PER_MSEC)    /* between two messages for fullness alone */
#define SERVED_SPACING (12 * USEC_PER_MSEC) /* between two tellings of service */
#define HEARTBEAT_FLEET (20 * USEC_PER_MSEC)
#define HEARTBEAT_LEAST (100 * USEC_PER_MSEC) /* not times the routers */
#define REPORT_INTERVAL (1 * USEC_PER_SEC)
#define NO_ENGINE_RETRY_MS 1000 /* a registration takes about a second to arrive */

/* --- requests ---------------------------------------------------------- */

void placement_request(placement_t *this, place_request_t *request, instant_t now)
{
	request->state = PLACE_NONE;
	request->asks = 0;
	request->is_read = false;
	request->on_own = false;
	request->source = 0;
	if (!placement_has_usable(this, request->pool)) {
		placement_reject(this, request, NO_ENGINE_RETRY_MS);
		return;
	}
	placement_ask(this, request, now);
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

void placement_cancel(placement_t *this, place_request_t *request, instant_t now)
{
	if (request->state == PLACE_NONE)
		return;
	placement_withdraw_at(this, request->owner, request->ticket, now);
	if (request->state == PLACE_GIVEN)
		placement_leave(this, request);
	else
		placement_unlink(request);
}

/* Slot 0 is this router itself, and hears it at once. */
static void tell(placement_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	if (slot)
		placement_tell(this, slot, note, now);
	else
		placement_note(this, 0, note, now);
}

void placement_first_token(placement_t *this, place_request_t *request, instant_t now)
{
	note_t note = {.kind = NOTE_FIRST, .ticket = request->ticket};

	if (request->state != PLACE_GIVEN || request->is_read)
		return;
	request->is_read = true;
	tell(this, request->owner, &note, now);
}

void placement_load_report(
	placement_t *this, place_request_t *request, unsigned int load, instant_t now)
{
	note_t note = {.kind = NOTE_LOAD, .ticket = request->ticket, .value = load};

	if (request->state == PLACE_GIVEN)
		tell(this, request->owner, &note, now);
}

void placement_fail(placement_t *this, place_request_t *request, place_end_t failure, instant_t now)
{
	note_t note = {.kind = NOTE_FAILED, .ticket = request->ticket, .value = failure};

	if (request->state != PLACE_GIVEN)
		return;
	tell(this, request->owner, &note, now);
	placement_leave(this, request);
}

void placement_end(placement_t *this, place_request_t *request, uint32_t answer, instant_t now)
{
	note_t note = {.kind = NOTE_END, .ticket = request->ticket, .value = answer};

	if (request->state != PLACE_GIVEN)
		return;
	tell(this, request->owner, &note, now);
	placement_leave(this, request);
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
			.source = action.source,
			.value = action.retry_after_ms,
		};

		tell(this, action.router, &note, now);
	}
}

static void repeat_ask(placement_t *this, place_request_t *request, instant_t now)
{
	note_t note = placement_ask_note(request);

	request->repeat_at = now + REPEAT_SPAN;
	placement_tell(this, request->owner, &note, now);
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
			placement_withdraw_at(this, request->owner, request->ticket, now);
			placement_ask(this, request, now);
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
		placement_assign_owners(this, now);
}

static void tell_served(void *ctx, id_t32 pool, id_t32 workspace, int32_t tokens)
{
	placement_t *this = ctx;
	note_t note = {.kind = NOTE_SERVED, .pool = pool, .workspace = workspace, .tokens = tokens};

	for (unsigned int slot = 1; slot < this->members.count; slot++) {
		if (member_is_alive(&this->members.list[slot]))
			placement_tell(this, slot, &note, this->served_at);
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
	const member_news_t *own = &this->views[0];
	uint64_t spacing = FILL_SPACING * this->members.count;

	for (unsigned int i = 0; i < own->fill_count; i++) {
		id_t32 pool = own->fills[i].pool;
		scheduler_fill_t has = scheduler_fill(this->scheduler, pool, now);

		for (unsigned int slot = 1; slot < this->members.count; slot++) {
			member_news_t *view = &this->views[slot];
			const pool_fill_t *fill = placement_fill_of(view, pool);

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
		placement_report_all(this, now);
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
	member_news_t *view = &this->views[slot];
	member_news_t *own = &this->views[0];

	for (unsigned int i = 0; i < own->fill_count; i++) {
		note_t note = {.kind = NOTE_FILL, .pool = own->fills[i].pool};
		pool_fill_t *fill = placement_fill_of(view, note.pool);

		note.fill = scheduler_fill(this->scheduler, note.pool, now);
		if (!fill || !memcmp(&fill->told, &note.fill, sizeof(note.fill)))
			continue;
		fill->told = note.fill;
		placement_tell(this, slot, &note, now);
	}
}

bool placement_next_message(placement_t *this, unsigned int *slot, note_head_t *head, instant_t now)
{
	for (unsigned int i = 1; i < this->members.count; i++) {
		member_news_t *view = &this->views[i];

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
	member_news_t *view = &this->views[slot];

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
	placement_assign_owners(this, now);
}

static engine_view_t *engine_for(placement_t *this, const placement_engine_t *engine)
{
	engine_view_t *view = placement_find_engine(this, engine->id);

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
		placement_fill_of(&this->views[0], engines[i].pool);
	}
	placement_assign_owners(this, now);
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
