#include "core/placement_internal.h"

/* --- entries from other routers ----------------------------------------- */

static placement_request_t *find_pending(
	const placement_t *this, unsigned int owner, uint64_t ticket)
{
	placement_request_t *request = placement_find_request(this, owner, ticket);

	return request && request->state != PLACEMENT_GRANTED ? request : NULL;
}

/* Like find_pending(), for the request that an entry replies to. */
static placement_request_t *find_replied(
	placement_t *this, unsigned int owner, uint64_t ticket, instant_t now)
{
	placement_request_t *request = find_pending(this, owner, ticket);

	if (request && request->state == PLACEMENT_REQUESTED)
		placement_record_reply(this, request, now);
	return request;
}

/* Returns whether another owner of engines of the pool probably has a free slot. */
static bool has_free_owner(placement_t *this, const slot_request_t *request, instant_t now)
{
	id_t32 pool = request->pool;
	engine_need_t need = {pool, request->version, &request->regions};

	for (unsigned int slot = 1; slot < this->members.count; slot++) {
		if (placement_accepts_requests(this, slot) && placement_owns(this, slot, &need) &&
			placement_utilization(this, slot, pool, now) < UTILIZATION_FREE)
			return true;
	}
	return false;
}

/*
 * Returns whether another owner should be asked: our engines of the pool are full, or read other
 * prompts for `wait_ms`, which is set.
 */
static bool should_redirect(
	placement_t *this, const slot_request_t *request, uint32_t *wait_ms, instant_t now)
{
	if (request->must_queue)
		return false;
	*wait_ms = placement_utilization(this, 0, request->pool, now) < 1
			   ? placement_reading_wait_ms(this, request, now)
			   : 0;
	if (!*wait_ms && placement_utilization(this, 0, request->pool, now) < 1)
		return false;
	return has_free_owner(this, request, now);
}

static void handle_slot_request(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	const slot_request_t *request = &entry->slot_request;
	engine_need_t need = {request->pool, request->version, &request->regions};
	message_entry_t reply = {.kind = ENTRY_NOT_OWNER, .ticket = request->ticket};
	uint32_t wait_ms = 0;

	if (this->stopping || !placement_owns(this, 0, &need)) {
		placement_queue_entry(this, slot, &reply, now);
		return;
	}
	if (should_redirect(this, &entry->slot_request, &wait_ms, now)) {
		reply.kind = ENTRY_FULL;
		reply.value = wait_ms;
		placement_queue_entry(this, slot, &reply, now);
		return;
	}
	scheduler_request_slot(this->scheduler, slot, &entry->slot_request, now);
	reply.kind = ENTRY_QUEUED;
	placement_queue_entry(this, slot, &reply, now);
}

static void handle_queued(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	placement_request_t *request = find_replied(this, slot, entry->ticket, now);

	if (request)
		request->state = PLACEMENT_QUEUED;
}

/* Returns whether the request runs already, because an earlier copy of the grant arrived. */
static bool is_running(const placement_t *this, unsigned int owner, uint64_t ticket)
{
	const placement_request_t *request = placement_find_request(this, owner, ticket);

	return request && request->state == PLACEMENT_GRANTED;
}

/*
 * Sends the request to another owner: its present one has no free slot, or no usable engine, or
 * reads other prompts for `reading_ms`.
 */
static void try_next_owner(placement_t *this, placement_request_t *request, bool owns_engines,
	uint32_t reading_ms, instant_t now)
{
	pool_usage_t *usage = placement_pool_usage(&this->peers[request->owner], request->pool);

	this->stats.redirected++;
	this->stats.redirected_reading += reading_ms > 0;
	if (usage && reading_ms)
		usage->reading_until = now + reading_ms * USEC_PER_MSEC;
	else if (usage && owns_engines)
		usage->received.taken = usage->received.slots + 1;
	else if (usage)
		usage->received = (slot_usage_t){0};
	placement_send_request(this, request, now);
}

/* An owner of an earlier build does not know that a request is bound to a version or to regions. */
static bool is_usable(
	const placement_t *this, const placement_request_t *request, id_t32 engine, instant_t now)
{
	const engine_state_t *state = placement_find_engine(this, engine);

	return state && placement_may_use(state, request, now) &&
	       !placement_grant_is_too_old(this, request->owner, state, now);
}

/* The owner may not know yet that the engine leaves, or that it wants nothing from us now. */
static void decline_grant(
	placement_t *this, placement_request_t *request, id_t32 engine, instant_t now)
{
	this->stats.declined++;
	placement_withdraw(this, request->owner, request->ticket, now);
	request->avoid = engine;
	try_next_owner(this, request, true, 0, now);
}

static void handle_grant(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	placement_request_t *request = find_replied(this, slot, entry->ticket, now);

	if (request && is_usable(this, request, entry->engine, now)) {
		request->source = entry->source;
		if (!request->source)
			request->source =
				placement_likely_source(this, request, entry->engine, now);
		placement_start(this, request, entry->engine, slot, now);
	} else if (request) {
		decline_grant(this, request, entry->engine, now);
	} else if (!is_running(this, slot, entry->ticket)) {
		placement_withdraw(this, slot, entry->ticket, now);
	}
}

static void handle_refusal(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	placement_request_t *request = find_replied(this, slot, entry->ticket, now);

	if (!request)
		return;
	backlog_record_refusal(placement_backlog(this, request));
	placement_reject(this, request, entry->value);
}

static void handle_not_owner(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	placement_request_t *request = find_replied(this, slot, entry->ticket, now);

	if (request)
		try_next_owner(this, request, false, 0, now);
}

static void handle_full(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	placement_request_t *request = find_replied(this, slot, entry->ticket, now);

	if (request)
		try_next_owner(this, request, true, entry->value, now);
}

static void handle_withdrawal(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	scheduler_withdraw(this->scheduler, slot, entry->ticket, now);
}

static void handle_first_token(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	scheduler_record_first_token(this->scheduler, slot, entry->ticket, entry->source);
	scheduler_first_token(this->scheduler, slot, entry->ticket, now);
}

static void handle_load(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	if (entry->source)
		scheduler_record_slowness(this->scheduler, slot, entry->ticket, entry->source, now);
	scheduler_load_report(this->scheduler, slot, entry->ticket, entry->value, now);
}

static void handle_failure(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	scheduler_fail(this->scheduler, slot, entry->ticket, (slot_result_t)entry->value, now);
}

static void handle_end(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	scheduler_record_stream(this->scheduler, slot, entry->ticket, entry->value, entry->source,
		entry->pause_ms * USEC_PER_MSEC, now);
	scheduler_end(this->scheduler, slot, entry->ticket, entry->value, now);
}

static void handle_held_slot(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	scheduler_confirm_slot(this->scheduler, slot, &entry->held_slot, now);
}

static void handle_report_end(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	scheduler_end_report(this->scheduler, slot, now);
}

static void handle_served_tokens(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	scheduler_add_served(this->scheduler, entry->pool, entry->workspace, entry->tokens, now);
}

static void handle_slot_usage(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	pool_usage_t *usage = placement_pool_usage(&this->peers[slot], entry->pool);

	if (!usage)
		return;
	usage->received = entry->usage;
	usage->reading_until = now + entry->usage.reading_ms * USEC_PER_MSEC;
}

static void handle_receipt(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	/* After a restart, peers go on confirming messages of the earlier incarnation. */
	if (entry->version == this->options.incarnation)
		link_watch_confirmed(&this->peers[slot].link, entry->ticket);
}

static void handle_engine_state(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	placement_handle_warm_up(this, slot, entry, now);
	placement_handle_speed(this, slot, entry, now);
}

static void (*const handlers[ENTRY_KINDS])(
	placement_t *, unsigned int, const message_entry_t *, instant_t) = {
	[ENTRY_SLOT_REQUEST] = handle_slot_request,
	[ENTRY_QUEUED] = handle_queued,
	[ENTRY_GRANT] = handle_grant,
	[ENTRY_REFUSAL] = handle_refusal,
	[ENTRY_NOT_OWNER] = handle_not_owner,
	[ENTRY_FULL] = handle_full,
	[ENTRY_WITHDRAWAL] = handle_withdrawal,
	[ENTRY_FIRST_TOKEN] = handle_first_token,
	[ENTRY_LOAD] = handle_load,
	[ENTRY_FAILURE] = handle_failure,
	[ENTRY_END] = handle_end,
	[ENTRY_HELD_SLOT] = handle_held_slot,
	[ENTRY_REPORT_END] = handle_report_end,
	[ENTRY_SERVED_TOKENS] = handle_served_tokens,
	[ENTRY_SLOT_USAGE] = handle_slot_usage,
	[ENTRY_RECEIPT] = handle_receipt,
	[ENTRY_RATE_LIMIT] = placement_handle_rate_limit,
	[ENTRY_ENGINE_STATE] = handle_engine_state,
};

void placement_handle_entry(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	if (handlers[entry->kind])
		handlers[entry->kind](this, slot, entry, now);
}

bool placement_accept_message(
	placement_t *this, const message_header_t *header, unsigned int *slot, instant_t now)
{
	int found = members_find(&this->members, header->from);
	message_status_t result;

	if (found < 1)
		return false;
	*slot = (unsigned int)found;
	result = members_record_message(
		&this->members, *slot, header->incarnation, header->seq, now);
	if (result == MESSAGE_STATUS_OUTDATED || result == MESSAGE_STATUS_UNKNOWN_PEER)
		return false;
	if (result == MESSAGE_STATUS_RESTARTED)
		scheduler_forget_router(this->scheduler, *slot, now);
	if (result == MESSAGE_STATUS_RESTARTED)
		this->peers[*slot].speed_serial = 0;
	members_set_stopping(&this->members, *slot, header->stopping);
	this->peers[*slot].unresponsive = false;
	return true;
}
