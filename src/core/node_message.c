#include <string.h>

#include "core/node_internal.h"

#define HEARTBEAT_INTERVAL (1 * USEC_PER_SEC)
#define FULL_INTERVAL                                                                              \
	(900 * USEC_PER_MSEC)		/* below the heartbeat interval: each heartbeat is full */
#define LEAVING_TTL (30 * USEC_PER_SEC) /* how long a peer's report of a leaving replica counts */
#define ACK_DELAY (500 * USEC_PER_MSEC)
/* A peer that reports us as unheard gets our next heartbeat within this time if it arrives. */
#define LINK_CONFIRM_TIME (1500 * USEC_PER_MSEC)

/* --- building a message ----------------------------------------------- */

#define SECTION_IS_FULL(section) ((section)->count == MESSAGE_MAX_ENTRIES)

static void write_demand(lane_t *lane, unsigned int member_index, message_t *message)
{
	lane_demand_t *demand = lane->demand ? &lane->demand[member_index] : NULL;
	bool full = message->flags & MESSAGE_FULL;
	bool backlogged = lane_waiting(lane) > 0;
	demand_entry_t *entry;

	if (!demand)
		return;
	if (!full && backlogged == demand->reported_backlogged &&
		!memcmp(demand->outgoing, demand->reported_outgoing, sizeof(demand->outgoing)))
		return;
	if (SECTION_IS_FULL(&message->demands)) {
		message->flags &= ~(uint32_t)MESSAGE_FULL;
		return;
	}
	entry = &message->demands.entry[message->demands.count++];
	entry->pool = lane->pool->id;
	entry->workspace = lane->workspace->id;
	for (int c = 0; c < WORK_CLASSES; c++)
		entry->waiting[c] = demand->outgoing[c];
	entry->backlogged = backlogged;
	memcpy(demand->reported_outgoing, demand->outgoing, sizeof(demand->outgoing));
	demand->reported_backlogged = backlogged;
}

static void write_served(lane_t *lane, unsigned int member_index, message_t *message)
{
	lane_peer_t *peer = &lane->peers[member_index];

	if (peer->reported_served == (uint32_t)lane->own_served ||
		SECTION_IS_FULL(&message->served))
		return;
	message->served.entry[message->served.count++] =
		(served_entry_t){lane->pool->id, lane->workspace->id, lane->own_served};
	peer->reported_served = (uint32_t)lane->own_served;
}

static void write_pool(pool_t *pool, unsigned int member_index, message_t *message)
{
	pool_peer_t *peer = &pool->peers[member_index];
	bool contended = pool_is_contended_for(pool, member_index);
	bool required = (message->flags & MESSAGE_FULL) && (contended || pool->waiting);

	if (!required && peer->reported_contended == contended &&
		!peer->reported_waiting == !pool->waiting)
		return;
	if (SECTION_IS_FULL(&message->pools))
		return;
	message->pools.entry[message->pools.count++] =
		(pool_entry_t){pool->id, pool->waiting, contended};
	peer->reported_contended = contended;
	peer->reported_waiting = pool->waiting;
}

static void write_holds(node_t *this, unsigned int member_index, message_t *message, instant_t now)
{
	bool full = message->flags & MESSAGE_FULL;

	for (unsigned int i = 0; i < this->replica_count; i++) {
		replica_t *replica = this->replicas[i];

		if (replica->owner != member_index ||
			!(replica->report_due || (full && replica->held)))
			continue;
		if (SECTION_IS_FULL(&message->holds)) {
			message->flags &= ~(uint32_t)MESSAGE_FULL;
			return;
		}
		replica->report_due = false;
		replica->return_due = false;
		message->holds.entry[message->holds.count++] = (hold_entry_t){
			.replica = replica->id,
			.held = replica->held,
			.idle = replica_idle(replica),
			.held_long = replica->busy_long,
			.pace = (uint32_t)concurrency_limit_own_pace(&replica->limit, now),
		};
	}
}

static void write_prior_served(node_t *this, unsigned int member_index, message_t *message)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			lane_t *lane = pool->lanes[w];

			if (!lane || !lane->peers[member_index].prior_served ||
				SECTION_IS_FULL(&message->prior_served))
				continue;
			message->prior_served.entry[message->prior_served.count++] =
				(served_entry_t){pool->id, lane->workspace->id,
					lane->peers[member_index].prior_served};
		}
	}
}

static void write_leaving(node_t *this, message_t *message)
{
	for (unsigned int i = 0; i < this->replica_count; i++) {
		if (this->replicas[i]->is_listed_leaving && !SECTION_IS_FULL(&message->leaving))
			message->leaving.entry[message->leaving.count++] = this->replicas[i]->id;
	}
}

static void write_header(node_t *this, unsigned int member_index, message_t *message, instant_t now)
{
	peer_t *peer = this->peers[member_index];

	message->from = this->options.self;
	message->incarnation = this->options.incarnation;
	message->seq = ++peer->sent_seq;
	message->grant_ack = peer->grant_received;
	message->ack_incarnation = this->members.list[member_index].incarnation;
	message->grant_seq = peer->grant_seq;
	message->config_version = this->plan_version;
	if (this->is_stopping)
		message->flags |= MESSAGE_STOPPING;
	if (this->members.list[member_index].state == MEMBER_DEAD)
		message->flags |= MESSAGE_UNHEARD;
	if (now < this->recovery_until)
		message->flags |= MESSAGE_RESTARTED;
	if (now >= peer->full_at) {
		message->flags |= MESSAGE_FULL;
		peer->full_at = now + FULL_INTERVAL;
	}
}

static void add_served_lanes(node_t *this)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			if (pool->lanes[w] && pool->lanes[w]->own_served)
				lane_add_pending(pool->lanes[w]);
		}
	}
}

bool node_build_message(node_t *this, unsigned int member_index, message_t *message, instant_t now)
{
	peer_t *peer = this->peers[member_index];
	bool more;

	memset(message, 0, sizeof(*message));
	if (peer->report_all_served)
		add_served_lanes(this);
	peer->report_all_served = false;
	write_header(this, member_index, message, now);
	memcpy(message->grants.entry, peer->pending, peer->pending_count * sizeof(grant_entry_t));
	message->grants.count = peer->pending_count;
	peer->pending_count = 0;
	for (unsigned int i = 0; i < this->pool_count; i++) {
		lane_t *lane;

		write_pool(this->pools[i], member_index, message);
		cds_list_for_each_entry (lane, &this->pools[i]->pending_lanes, link) {
			write_demand(lane, member_index, message);
			write_served(lane, member_index, message);
		}
	}
	write_holds(this, member_index, message, now);
	write_leaving(this, message);
	if (peer->wants_prior_served)
		write_prior_served(this, member_index, message);
	peer->wants_prior_served = false;
	peer->send_queued = false;
	more = SECTION_IS_FULL(&message->demands) || SECTION_IS_FULL(&message->served) ||
	       SECTION_IS_FULL(&message->holds);
	peer->send_at = more ? now : now + HEARTBEAT_INTERVAL;
	return more;
}

/* --- handling a message ----------------------------------------------- */

static void peer_restarted(node_t *this, unsigned int member_index)
{
	peer_t *peer = this->peers[member_index];

	owner_forget_peer(this, member_index);
	peer->link = (link_watch_t){0};
	peer->grant_received = 0;
	peer->report_all_served = true;
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			lane_t *lane = pool->lanes[w];

			if (!lane)
				continue;
			share_peer_restarted(lane, member_index);
			if (lane->demand)
				memset(lane->demand[member_index].reported_outgoing, 0,
					sizeof(lane->demand[member_index].reported_outgoing));
		}
	}
	for (unsigned int i = 0; i < this->replica_count; i++)
		this->replicas[i]->report_due |= this->replicas[i]->owner == member_index;
}

/*
 * Clears the peer's holds and pool state before its full message is applied,
 * since what a full message leaves out is 0.
 */
static void clear_reported_state(node_t *this, unsigned int member_index)
{
	static const hold_entry_t no_hold;

	for (unsigned int i = 0; i < this->replica_count; i++)
		owner_set_hold(this->replicas[i], member_index, &no_hold);
	for (unsigned int i = 0; i < this->pool_count; i++) {
		this->pools[i]->peers[member_index].contended = false;
		this->pools[i]->peers[member_index].waiting = 0;
	}
}

/*
 * Clears the peer's demand for lanes that its full message leaves out.  This
 * runs after the message's demand was applied.  If all demand were cleared
 * before, a lane could look idle for a moment; when it became active again, it
 * would be raised to the pool's virtual time and lose its turn.
 */
static void clear_missing_demand(node_t *this, unsigned int member_index)
{
	static const uint32_t none[WORK_CLASSES];

	for (unsigned int i = 0; i < this->pool_count; i++) {
		lane_t *lane;
		lane_t *after;

		cds_list_for_each_entry_safe (lane, after, &this->pools[i]->pending_lanes, link) {
			if (!lane->demand || lane->demand[member_index].is_in_message)
				continue;
			owner_set_demand(this, lane, member_index, none);
			owner_set_backlogged(lane, member_index, false);
		}
	}
}

/*
 * Marks everything to be sent to a peer again: while it was silent, this
 * router's messages to it may have been lost as well.
 */
static void peer_rejoined(node_t *this, unsigned int member_index)
{
	this->peers[member_index]->report_all_served = true;
	this->peers[member_index]->full_at = 0;
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		pool->peers[member_index].reported_contended =
			!pool_is_contended_for(pool, member_index);
		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			if (pool->lanes[w])
				pool->lanes[w]->peers[member_index].reported_served =
					~(uint32_t)pool->lanes[w]->own_served;
		}
	}
}

static void handle_holds(node_t *this, unsigned int member_index, const message_t *message)
{
	for (unsigned int i = 0; i < message->holds.count; i++) {
		const hold_entry_t *hold = &message->holds.entry[i];
		replica_t *replica = node_find_replica(this, hold->replica);

		if (!replica || replica->owner)
			continue;
		owner_set_hold(replica, member_index, hold);
		replica->pool->needs_dispatch = true;
		concurrency_limit_observe_peer(&replica->limit, hold->pace);
	}
}

static void handle_demand(node_t *this, unsigned int member_index, const message_t *message)
{
	for (unsigned int i = 0; i < message->demands.count; i++) {
		const demand_entry_t *entry = &message->demands.entry[i];
		lane_t *lane = node_find_lane(this, entry->pool, entry->workspace);

		if (!lane)
			continue;
		owner_set_demand(this, lane, member_index, entry->waiting);
		owner_set_backlogged(lane, member_index, entry->backlogged);
		lane->demand[member_index].is_in_message = true;
		lane->pool->needs_dispatch = true;
	}
	if (message->flags & MESSAGE_FULL)
		clear_missing_demand(this, member_index);
	for (unsigned int i = 0; i < message->demands.count; i++) {
		const demand_entry_t *entry = &message->demands.entry[i];
		lane_t *lane = node_find_lane(this, entry->pool, entry->workspace);

		if (lane)
			lane->demand[member_index].is_in_message = false;
	}
}

static void handle_counters(node_t *this, unsigned int member_index, const message_t *message)
{
	for (unsigned int i = 0; i < message->served.count; i++) {
		const served_entry_t *served = &message->served.entry[i];
		lane_t *lane = node_find_lane(this, served->pool, served->workspace);

		if (lane)
			share_set_peer_served(lane, member_index, served->cost);
	}
	for (unsigned int i = 0; i < message->prior_served.count; i++) {
		const served_entry_t *prior_served = &message->prior_served.entry[i];
		lane_t *lane = node_find_lane(this, prior_served->pool, prior_served->workspace);

		if (lane)
			share_restore_served(lane, prior_served->cost);
	}
}

static void handle_pools(node_t *this, unsigned int member_index, const message_t *message)
{
	for (unsigned int i = 0; i < message->pools.count; i++) {
		const pool_entry_t *entry = &message->pools.entry[i];
		pool_t *pool = node_find_pool(this, entry->pool);

		if (!pool)
			continue;
		pool->needs_dispatch = true;
		pool->peers[member_index].waiting = entry->waiting;
		pool->peers[member_index].contended = entry->contended != 0;
	}
}

/*
 * Returns idle slots to an owner for whose slots other routers wait.  Called
 * after the dispatch, so only slots that no request here could use are returned.
 */
static void return_contended_slots(node_t *this, unsigned int member_index, instant_t now)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		if (this->pools[i]->peers[member_index].contended)
			router_return_idle(this, this->pools[i], member_index, now);
	}
}

static void handle_leaving(node_t *this, const message_t *message, instant_t now)
{
	for (unsigned int i = 0; i < message->leaving.count; i++) {
		replica_t *replica = node_find_replica(this, message->leaving.entry[i]);

		if (!replica)
			continue;
		replica->pool->needs_dispatch = true;
		replica->reported_leaving_until = now + LEAVING_TTL;
		router_return_slots(this, replica, replica_idle(replica), now);
	}
}

static void handle_config_version(node_t *this, unsigned int member_index, const message_t *message)
{
	node_action_t action = {.kind = ACTION_FETCH_CONFIG,
		.slot = member_index,
		.version = message->config_version};

	if (message->config_version <= this->known_version)
		return;
	this->known_version = message->config_version;
	node_push_action(this, &action);
}

static void handle_grant(
	node_t *this, unsigned int member_index, const grant_entry_t *grant, instant_t now)
{
	replica_t *replica = node_find_replica(this, grant->replica);

	if (replica)
		replica->pool->needs_dispatch = true;
	router_accept_grant(this, member_index, grant, now);
}

static void handle_grants(
	node_t *this, unsigned int member_index, const message_t *message, instant_t now)
{
	peer_t *peer = this->peers[member_index];

	for (unsigned int i = 0; i < message->grants.count; i++)
		handle_grant(this, member_index, &message->grants.entry[i], now);
	if (message->grant_seq > peer->grant_received) {
		peer->grant_received = message->grant_seq;
		node_schedule_send(this, member_index, now + ACK_DELAY);
	}
}

/* Dispatches only the pools that the message refers to, as nothing changed for the others. */
static void dispatch_marked_pools(node_t *this, instant_t now)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		if (!pool->needs_dispatch)
			continue;
		pool->needs_dispatch = false;
		this->policy->dispatch(this, pool, now);
	}
}

/* A peer that refers to an earlier incarnation of this router has not been sent much yet. */
static void check_link(
	node_t *this, unsigned int member_index, const message_t *message, instant_t now)
{
	node_action_t action = {.kind = ACTION_RENEW_LINK, .slot = member_index};
	link_watch_t *link = &this->peers[member_index]->link;

	if (message->ack_incarnation != this->options.incarnation)
		return;
	if (!(message->flags & MESSAGE_UNHEARD)) {
		link_watch_confirmed(link, message->seq);
		return;
	}
	link_watch_sent(link, message->seq, LINK_CONFIRM_TIME, now);
	if (link_watch_expire(link, now))
		node_push_action(this, &action);
}

bool node_handle_message(node_t *this, const message_t *message, instant_t now)
{
	int member_index = members_find(&this->members, message->from);
	unsigned int from = (unsigned int)member_index;
	message_status_t result = MESSAGE_STATUS_UNKNOWN_PEER;
	bool was_alive = member_index > 0 && member_is_alive(&this->members.list[from]);

	if (member_index > 0)
		result = members_record_message(
			&this->members, from, message->incarnation, message->seq, now);
	if (result == MESSAGE_STATUS_UNKNOWN_PEER || result == MESSAGE_STATUS_OUTDATED) {
		this->stats.dropped_messages++;
		return false;
	}
	if (result == MESSAGE_STATUS_RESTARTED)
		peer_restarted(this, from);
	if (!was_alive)
		peer_rejoined(this, from);
	check_link(this, from, message, now);
	members_set_stopping(&this->members, from, message->flags & MESSAGE_STOPPING);
	if (message->flags & MESSAGE_RESTARTED)
		this->peers[from]->wants_prior_served = true;
	if (this->owned_view != this->members.view)
		owner_update_view(this, now);
	if (message->ack_incarnation == this->options.incarnation)
		owner_acknowledge(this, from, message->grant_ack);
	if (message->flags & MESSAGE_FULL)
		clear_reported_state(this, from);
	handle_holds(this, from, message);
	handle_demand(this, from, message);
	handle_counters(this, from, message);
	handle_pools(this, from, message);
	handle_leaving(this, message, now);
	handle_config_version(this, from, message);
	handle_grants(this, from, message, now);
	dispatch_marked_pools(this, now);
	return_contended_slots(this, from, now);
	return true;
}
