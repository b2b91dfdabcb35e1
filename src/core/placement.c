#include "core/placement_internal.h"

#include <limits.h>
#include <string.h>

/*
 * Intervals between sends to one peer.  They are multiplied by the number of
 * routers, so that the rate at which a router sends doesn't grow with the fleet.
 */
#define USAGE_INTERVAL (4 * USEC_PER_MSEC)	/* minimum, before a message for slot usage alone */
#define SERVED_INTERVAL (12 * USEC_PER_MSEC)	/* between reports of served tokens */
#define HEARTBEAT_INTERVAL (20 * USEC_PER_MSEC) /* maximum, when there is nothing else to send */

/* Lower bound of the heartbeat interval, not multiplied by the number of routers. */
#define HEARTBEAT_MIN_INTERVAL (100 * USEC_PER_MSEC)

/* Between two confirmations of a peer's messages, which go out with other messages. */
#define RECEIPT_INTERVAL (400 * USEC_PER_MSEC)
/* Time allowed for a confirmation beyond two heartbeats. */
#define RECEIPT_TIMEOUT (1 * USEC_PER_SEC)

/* Ticks are at most this far apart, unless the embedder is slow. */
#define TICK_INTERVAL (20 * USEC_PER_MSEC)
#define OWN_DELAY_DECAY 16 /* part by which the delay shrinks with each tick */
/* Between two walks over the pending requests for owners that are lost. */
#define PENDING_CHECK_INTERVAL (10 * USEC_PER_MSEC)
#define REPORT_INTERVAL (1 * USEC_PER_SEC)
#define NO_ENGINE_RETRY_MS 1000 /* a new registration arrives within about 1 s */

/* --- requests ----------------------------------------------------------- */

void placement_request(placement_t *this, placement_request_t *request, instant_t now)
{
	backlog_t *backlog = placement_backlog(this, request);

	request->state = PLACEMENT_NONE;
	request->owners_tried = 0;
	request->prefill_done = false;
	request->without_grant = false;
	request->longest_pause = 0;
	request->was_held_up = false;
	request->source = 0;
	if (!placement_has_usable_engine(this, request)) {
		placement_reject(this, request, NO_ENGINE_RETRY_MS);
		return;
	}
	if (!request->was_started && !backlog_admits(backlog, now)) {
		this->stats.refused++;
		placement_reject(this, request, grant_rate_retry_after(&backlog->grants, now));
		return;
	}
	placement_send_request(this, request, now);
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

/* A request that was started without a grant has not run: its owner did not charge it. */
static void refund_unused(placement_t *this, const placement_request_t *request, instant_t now)
{
	if (request->without_grant && !request->prefill_done)
		scheduler_refund(this->scheduler, request->pool, request->workspace,
			engine_work_cost(&request->work), request->started_at, now);
}

void placement_cancel(placement_t *this, placement_request_t *request, instant_t now)
{
	if (request->state == PLACEMENT_NONE)
		return;
	if (request->state == PLACEMENT_GRANTED)
		refund_unused(this, request, now);
	placement_withdraw(this, request->owner, request->ticket, now);
	if (request->state == PLACEMENT_GRANTED)
		placement_release_slot(this, request);
	else
		placement_unlink(request);
}

/* Member slot 0 is this router itself, which handles the entry at once. */
static void send_entry(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	if (slot)
		placement_queue_entry(this, slot, entry, now);
	else
		placement_handle_entry(this, 0, entry, now);
}

/* Microseconds, as much as an entry can hold. */
static uint32_t duration_entry(instant_t since, instant_t now)
{
	uint64_t duration = instant_left(now, since);

	return duration < UINT32_MAX ? (uint32_t)duration : UINT32_MAX;
}

void placement_first_token(placement_t *this, placement_request_t *request, instant_t now)
{
	message_entry_t entry = {.kind = ENTRY_FIRST_TOKEN, .ticket = request->ticket};

	if (request->state != PLACEMENT_GRANTED || request->prefill_done)
		return;
	request->prefill_done = true;
	request->first_token_at = now;
	entry.source = duration_entry(request->started_at, now);
	send_entry(this, request->owner, &entry, now);
}

void placement_load_report(
	placement_t *this, placement_request_t *request, unsigned int load, instant_t now)
{
	placement_slowness_report(this, request, load, 0, now);
}

void placement_slowness_report(placement_t *this, placement_request_t *request, unsigned int load,
	unsigned int percent, instant_t now)
{
	message_entry_t entry = {
		.kind = ENTRY_LOAD, .ticket = request->ticket, .value = load, .source = percent};

	if (request->state == PLACEMENT_GRANTED)
		send_entry(this, request->owner, &entry, now);
}

void placement_pause_engine(placement_t *this, id_t32 engine, instant_t until)
{
	engine_state_t *state = placement_find_engine(this, engine);

	if (state)
		state->paused_until = instant_max(state->paused_until, until);
}

void placement_fail(
	placement_t *this, placement_request_t *request, slot_result_t failure, instant_t now)
{
	message_entry_t entry = {
		.kind = ENTRY_FAILURE, .ticket = request->ticket, .value = failure};

	if (request->state != PLACEMENT_GRANTED)
		return;
	refund_unused(this, request, now);
	send_entry(this, request->owner, &entry, now);
	placement_release_slot(this, request);
}

void placement_end(placement_t *this, placement_request_t *request, uint32_t answer, instant_t now)
{
	message_entry_t entry = {.kind = ENTRY_END, .ticket = request->ticket, .value = answer};

	if (request->state != PLACEMENT_GRANTED)
		return;
	/* What an earlier engine has answered tells nothing of this one. */
	if (request->prefill_done && !request->was_started && !request->was_held_up) {
		entry.source = duration_entry(request->first_token_at, now);
		entry.pause_ms = (uint32_t)(request->longest_pause / USEC_PER_MSEC);
	}
	send_entry(this, request->owner, &entry, now);
	placement_release_slot(this, request);
}

/* --- time --------------------------------------------------------------- */

static void send_decisions(placement_t *this, instant_t now)
{
	scheduler_action_t action;

	while (scheduler_next_action(this->scheduler, &action)) {
		message_entry_t entry = {
			.kind = action.kind == SCHEDULER_GRANT ? ENTRY_GRANT : ENTRY_REFUSAL,
			.ticket = action.ticket,
			.engine = action.engine,
			.source = action.source,
			.value = action.retry_after_ms,
		};

		send_entry(this, action.router, &entry, now);
	}
}

static void resend_request(placement_t *this, placement_request_t *request, instant_t now)
{
	message_entry_t entry = placement_request_entry(this, request, now);

	request->resend_at = now + RESEND_INTERVAL;
	placement_queue_entry(this, request->owner, &entry, now);
}

/*
 * Walks over all pending requests, unless that was done a short time ago and no reply is due.
 * Sends a pending request to another owner when its owner is lost or did not
 * reply in time; an owner that did not reply is skipped until it sends a message.
 * Returns the earliest time at which another reply is due.
 */
static instant_t check_pending(placement_t *this, instant_t now)
{
	instant_t next = now + PENDING_CHECK_INTERVAL;
	placement_request_t *request;
	placement_request_t *after;

	if (now < this->next_pending_check)
		return this->next_pending_check;
	this->next_pending_check = next;
	cds_list_for_each_entry_safe (request, after, &this->pending, link) {
		const member_t *owner = &this->members.list[request->owner];
		bool timed_out = request->state == PLACEMENT_REQUESTED && now >= request->reply_by;
		bool owner_lost = request->owner && (!member_is_alive(owner) || owner->stopping ||
							    owner->state == MEMBER_SUSPECT);

		if (timed_out)
			placement_record_timeout(this, request);
		if (timed_out || owner_lost) {
			placement_withdraw(this, request->owner, request->ticket, now);
			placement_send_request(this, request, now);
			continue;
		}
		if (request->owner && now >= request->resend_at)
			resend_request(this, request, now);
		if (request->state == PLACEMENT_REQUESTED)
			next = instant_min(next, request->reply_by);
	}
	this->next_pending_check = instant_min(this->next_pending_check, next);
	return this->next_pending_check;
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
	placement_update_rate_share(this);
	placement_update_pace_share(this, now);
}

/* The entries are due at the time of the next report, but go out with any earlier message. */
static void report_served(void *ctx, id_t32 pool, id_t32 workspace, int32_t tokens)
{
	placement_t *this = ctx;
	message_entry_t entry = {.kind = ENTRY_SERVED_TOKENS,
		.pool = pool,
		.workspace = workspace,
		.tokens = tokens};

	for (unsigned int slot = 1; slot < this->members.count; slot++) {
		if (member_is_alive(&this->members.list[slot]))
			placement_queue_entry(this, slot, &entry, this->next_served_report_at);
	}
}

static void report_all_served(placement_t *this, instant_t now)
{
	uint64_t interval = SERVED_INTERVAL * this->members.count;

	if (now < this->next_served_report_at)
		return;
	this->next_served_report_at = now + interval;
	scheduler_set_report_interval(this->scheduler, interval);
	scheduler_report_served(this->scheduler, report_served, this);
}

static bool is_full(const slot_usage_t *usage)
{
	return usage->taken >= usage->slots;
}

/*
 * Sends the next message earlier to each peer that has an outdated report of
 * whether our engines are full: the peer would send requests that find no free
 * slot, or none although slots are free.
 */
static void schedule_usage_reports(placement_t *this, instant_t now)
{
	const peer_state_t *own = &this->peers[0];
	uint64_t interval = USAGE_INTERVAL * this->members.count;

	for (unsigned int i = 0; i < own->usage_count; i++) {
		id_t32 pool = own->usages[i].pool;
		slot_usage_t current = scheduler_usage(this->scheduler, pool, now);

		for (unsigned int slot = 1; slot < this->members.count; slot++) {
			peer_state_t *peer = &this->peers[slot];
			const pool_usage_t *usage = placement_pool_usage(peer, pool);

			if (usage && is_full(&usage->sent) != is_full(&current))
				peer->send_at =
					instant_min(peer->send_at, peer->sent_at + interval);
		}
	}
}

/* A router that is slow itself must not take its owners for silent. */
static void measure_own_delay(placement_t *this, instant_t now)
{
	uint64_t gap = this->ticked_at ? now - this->ticked_at : 0;
	uint64_t delay = gap > TICK_INTERVAL ? gap - TICK_INTERVAL : 0;

	this->ticked_at = now;
	this->own_delay -= this->own_delay / OWN_DELAY_DECAY;
	if (delay > this->own_delay)
		this->own_delay = delay;
}

instant_t placement_tick(placement_t *this, instant_t now)
{
	instant_t next;

	measure_own_delay(this, now);
	tick_members(this, now);
	if (now >= this->next_report_at) {
		this->next_report_at = now + REPORT_INTERVAL;
		placement_report_all_slots(this, now);
		placement_announce_rates(this, now);
		placement_tick_warm_up(this, now);
		placement_update_speeds(this, now);
	}
	next = check_pending(this, now);
	next = instant_min(next, scheduler_run(this->scheduler, now));
	send_decisions(this, now);
	schedule_usage_reports(this, now);
	report_all_served(this, now);
	return instant_min(next, this->next_report_at);
}

/* --- messages ----------------------------------------------------------- */

static instant_t heartbeat_interval(const placement_t *this)
{
	instant_t interval = HEARTBEAT_INTERVAL * this->members.count;

	return interval > HEARTBEAT_MIN_INTERVAL ? interval : HEARTBEAT_MIN_INTERVAL;
}

/* Queues the slot usage of our engines where it differs from the last report to the peer. */
static void queue_usage(placement_t *this, unsigned int slot, instant_t now)
{
	peer_state_t *peer = &this->peers[slot];
	peer_state_t *own = &this->peers[0];

	for (unsigned int i = 0; i < own->usage_count; i++) {
		message_entry_t entry = {.kind = ENTRY_SLOT_USAGE, .pool = own->usages[i].pool};
		pool_usage_t *usage = placement_pool_usage(peer, entry.pool);

		entry.usage = scheduler_usage(this->scheduler, entry.pool, now);
		if (!usage || !memcmp(&usage->sent, &entry.usage, sizeof(entry.usage)))
			continue;
		usage->sent = entry.usage;
		placement_queue_entry(this, slot, &entry, now);
	}
}

bool placement_next_message(
	placement_t *this, unsigned int *slot, message_header_t *header, instant_t now)
{
	for (unsigned int i = 1; i < this->members.count; i++) {
		peer_state_t *peer = &this->peers[i];

		if (now < peer->send_at)
			continue;
		queue_usage(this, i, now);
		peer->sent_at = now;
		peer->send_at = now + heartbeat_interval(this);
		*slot = i;
		*header = (message_header_t){
			.from = this->options.self,
			.incarnation = this->options.incarnation,
			.seq = ++peer->seq,
			.stopping = this->stopping,
		};
		link_watch_sent(&peer->link, header->seq,
			RECEIPT_TIMEOUT + 2 * heartbeat_interval(this), now);
		return true;
	}
	return false;
}

void placement_make_message_due(placement_t *this, unsigned int slot, instant_t now)
{
	this->peers[slot].send_at = instant_min(this->peers[slot].send_at, now);
}

bool placement_next_entry(placement_t *this, unsigned int slot, message_entry_t *entry)
{
	peer_state_t *peer = &this->peers[slot];

	if (peer->entry_first == peer->entry_count) {
		peer->entry_first = 0;
		peer->entry_count = 0;
		return false;
	}
	*entry = peer->entries[peer->entry_first++];
	return true;
}

bool placement_next_engine_state(
	placement_t *this, unsigned int slot, message_entry_t *entry, instant_t now)
{
	return placement_next_warm_up(this, slot, entry, now) ||
	       placement_next_speed(this, slot, entry, now);
}

bool placement_next_receipt(
	placement_t *this, unsigned int slot, message_entry_t *entry, instant_t now)
{
	const member_t *member = &this->members.list[slot];
	peer_state_t *peer = &this->peers[slot];

	if (now < peer->receipt_at || member->seq == peer->receipt_seq)
		return false;
	peer->receipt_at = now + RECEIPT_INTERVAL;
	peer->receipt_seq = member->seq;
	*entry = (message_entry_t){
		.kind = ENTRY_RECEIPT, .ticket = member->seq, .version = member->incarnation};
	return true;
}

bool placement_next_silent_link(placement_t *this, unsigned int *slot, instant_t now)
{
	/* Confirmations may have arrived while this router was slow, and wait to be read. */
	instant_t expired = now > this->own_delay ? now - this->own_delay : 0;

	for (unsigned int i = 1; i < this->members.count; i++) {
		if (this->members.list[i].listed_gone ||
			!link_watch_expire(&this->peers[i].link, expired))
			continue;
		*slot = i;
		return true;
	}
	return false;
}

void placement_repeat_reports(placement_t *this, unsigned int slot)
{
	peer_state_t *peer = &this->peers[slot];

	peer->speed_serial = 0;
	for (unsigned int i = 0; i < peer->usage_count; i++)
		peer->usages[i].sent = (slot_usage_t){.slots = UINT_MAX};
}

/* --- setup -------------------------------------------------------------- */

placement_t *placement_new(const placement_options_t *options, instant_t now)
{
	const allocator_t *allocator = options->allocator ? options->allocator : &allocator_default;
	placement_t *this = allocator_new(allocator, 1, sizeof(*this));

	this->options = *options;
	this->allocator = allocator;
	this->random = options->seed;
	this->next_report_at = now + REPORT_INTERVAL;
	this->pace_share = 1;
	CDS_INIT_LIST_HEAD(&this->pending);
	CDS_INIT_LIST_HEAD(&this->running);
	for (unsigned int i = 0; i < TICKET_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&this->tickets[i]);
	for (unsigned int i = 0; i < BACKLOG_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&this->backlogs[i]);
	members_init(&this->members, allocator, options->self);
	members_set_domain(&this->members, 0, options->domain);
	this->peers = allocator_new(allocator, MEMBER_MAX, sizeof(*this->peers));
	this->scheduler = scheduler_new(&options->scheduler);
	return this;
}

static void delete_backlogs(placement_t *this)
{
	backlog_t *backlog;
	backlog_t *next;

	for (unsigned int i = 0; i < BACKLOG_BUCKETS; i++) {
		cds_list_for_each_entry_safe (backlog, next, &this->backlogs[i], link)
			allocator_delete(this->allocator, backlog);
	}
}

void placement_delete(placement_t *this)
{
	if (!this)
		return;
	delete_backlogs(this);
	for (unsigned int i = 0; i < this->members.count; i++)
		allocator_delete(this->allocator, this->peers[i].entries);
	scheduler_delete(this->scheduler);
	members_clear(&this->members);
	allocator_delete(this->allocator, this->peers);
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

void placement_set_domain(placement_t *this, unsigned int slot, id_t32 domain)
{
	if (slot)
		members_set_domain(&this->members, slot, domain);
}

void placement_connection_lost(placement_t *this, unsigned int slot, instant_t now)
{
	members_connection_lost(&this->members, slot, now);
}

void placement_stop(placement_t *this, instant_t now)
{
	this->stopping = true;
	members_set_stopping(&this->members, 0, true);
	for (unsigned int i = 1; i < this->members.count; i++)
		this->peers[i].send_at = now;
	placement_assign_owners(this, now);
}

static engine_state_t *get_engine(placement_t *this, const placement_engine_t *engine)
{
	engine_state_t *state = placement_find_engine(this, engine->id);

	if (state)
		return state;
	if (this->engine_count == this->engine_capacity) {
		unsigned int capacity = this->engine_capacity + LIST_GROWTH;

		this->engines = allocator_grow(this->allocator, this->engines,
			this->engine_capacity, capacity, sizeof(*this->engines));
		this->engine_capacity = capacity;
	}
	state = &this->engines[this->engine_count++];
	*state = (engine_state_t){.owner = MEMBER_MAX, .weight = 1};
	rate_limit_init(&state->rate_limit);
	warm_up_init(&state->warm_up);
	return state;
}

static bool is_listed(
	const placement_engine_t *engines, unsigned int count, const engine_state_t *state)
{
	for (unsigned int i = 0; i < count; i++) {
		if (engines[i].id == state->engine.id)
			return true;
	}
	return false;
}

static void set_engine(placement_t *this, const placement_engine_t *engine, instant_t now)
{
	bool is_known = placement_find_engine(this, engine->id) != NULL;
	engine_state_t *state = get_engine(this, engine);

	placement_set_warm_up(this, state, engine, is_known, now);
	state->engine = *engine;
	if (!is_known)
		state->since_start = !this->has_engines;
}

void placement_set_engines(
	placement_t *this, const placement_engine_t *engines, unsigned int count, instant_t now)
{
	for (unsigned int i = 0; i < this->engine_count;) {
		if (is_listed(engines, count, &this->engines[i])) {
			i++;
			continue;
		}
		scheduler_remove_engine(this->scheduler, this->engines[i].engine.id);
		part_places_forget(&this->places, this->engines[i].engine.id);
		this->engines[i] = this->engines[--this->engine_count];
	}
	for (unsigned int i = 0; i < count; i++) {
		set_engine(this, &engines[i], now);
		placement_pool_usage(&this->peers[0], engines[i].pool);
	}
	this->has_engines |= count > 0;
	placement_assign_owners(this, now);
}

void placement_report_lanes(placement_t *this, instant_t now,
	void (*each)(void *ctx, const lane_report_t *report), void *ctx)
{
	scheduler_report_lanes(this->scheduler, now, each, ctx);
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
