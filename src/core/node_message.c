#include <string.h>

#include "core/node_internal.h"

#define HEARTBEAT (1 * USEC_PER_SEC)
#define FULL_INTERVAL (900 * USEC_PER_MSEC)
#define LEAVING_REMEMBERED (30 * USEC_PER_SEC)
#define ACK_DELAY (500 * USEC_PER_MSEC)

/* --- writing ---------------------------------------------------------- */

#define SECTION_FULL(section) ((section)->count == MESSAGE_MAX_ENTRIES)

static void write_asks(lane_t *lane, unsigned int slot, message_t *message)
{
	lane_demand_t *demand = lane->demand ? &lane->demand[slot] : NULL;
	bool full = message->flags & MESSAGE_FULL;
	bool backlogged = lane_waiting(lane) > 0;
	ask_entry_t *ask;

	if (!demand)
		return;
	if (!full && backlogged == demand->told_backlogged &&
		!memcmp(demand->asked, demand->told_asked, sizeof(demand->asked)))
		return;
	if (SECTION_FULL(&message->asks)) {
		message->flags &= ~(uint32_t)MESSAGE_FULL;
		return;
	}
	ask = &message->asks.entry[message->asks.count++];
	ask->pool = lane->pool->id;
	ask->workspace = lane->workspace->id;
	for (int c = 0; c < WORK_CLASSES; c++)
		ask->waiting[c] = demand->asked[c];
	ask->backlogged = backlogged;
	memcpy(demand->told_asked, demand->asked, sizeof(demand->asked));
	demand->told_backlogged = backlogged;
}

static void write_served(lane_t *lane, unsigned int slot, message_t *message)
{
	lane_peer_t *peer = &lane->peers[slot];

	if (peer->told_served == (uint32_t)lane->own_served || SECTION_FULL(&message->served))
		return;
	message->served.entry[message->served.count++] =
		(served_entry_t){lane->pool->id, lane->workspace->id, lane->own_served};
	peer->told_served = (uint32_t)lane->own_served;
}

static void write_pool(pool_t *pool, unsigned int slot, message_t *message)
{
	pool_peer_t *peer = &pool->peers[slot];
	bool contended = pool_is_contended_for(pool, slot);
	bool tell = (message->flags & MESSAGE_FULL) && (contended || pool->waiting);

	if (!tell && peer->told_contended == contended && !peer->told_waiting == !pool->waiting)
		return;
	if (SECTION_FULL(&message->pools))
		return;
	message->pools.entry[message->pools.count++] =
		(pool_entry_t){pool->id, pool->waiting, contended};
	peer->told_contended = contended;
	peer->told_waiting = pool->waiting;
}

static void write_holds(node_t *this, unsigned int slot, message_t *message, instant_t now)
{
	bool full = message->flags & MESSAGE_FULL;

	for (unsigned int i = 0; i < this->replica_count; i++) {
		replica_t *replica = this->replicas[i];

		if (replica->owner != slot || !(replica->report_due || (full && replica->held)))
			continue;
		if (SECTION_FULL(&message->holds)) {
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
			.pace = (uint32_t)limit_own_pace(&replica->limit, now),
		};
	}
}

static void write_former(node_t *this, unsigned int slot, message_t *message)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			lane_t *lane = pool->lanes[w];

			if (!lane || !lane->peers[slot].former || SECTION_FULL(&message->former))
				continue;
			message->former.entry[message->former.count++] = (served_entry_t){
				pool->id, lane->workspace->id, lane->peers[slot].former};
		}
	}
}

static void write_leaving(node_t *this, message_t *message)
{
	for (unsigned int i = 0; i < this->replica_count; i++) {
		if (this->replicas[i]->is_listed_leaving && !SECTION_FULL(&message->leaving))
			message->leaving.entry[message->leaving.count++] = this->replicas[i]->id;
	}
}

static void write_head(node_t *this, unsigned int slot, message_t *message, instant_t now)
{
	peer_t *peer = this->peers[slot];

	message->from = this->options.self;
	message->incarnation = this->options.incarnation;
	message->seq = ++peer->sent_seq;
	message->grant_ack = peer->grant_received;
	message->ack_incarnation = this->members.list[slot].incarnation;
	message->grant_seq = peer->grant_seq;
	message->text_version = this->plan_version;
	if (this->is_stopping)
		message->flags |= MESSAGE_STOPPING;
	if (now < this->former_until)
		message->flags |= MESSAGE_RESTARTED;
	if (now >= peer->full_at) {
		message->flags |= MESSAGE_FULL;
		peer->full_at = now + FULL_INTERVAL;
	}
}

static void list_served(node_t *this)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			if (pool->lanes[w] && pool->lanes[w]->own_served)
				lane_list(pool->lanes[w]);
		}
	}
}

bool node_message(node_t *this, unsigned int slot, message_t *message, instant_t now)
{
	peer_t *peer = this->peers[slot];
	bool more;

	memset(message, 0, sizeof(*message));
	if (peer->tell_all_served)
		list_served(this);
	peer->tell_all_served = false;
	write_head(this, slot, message, now);
	memcpy(message->grants.entry, peer->pending, peer->pending_count * sizeof(grant_entry_t));
	message->grants.count = peer->pending_count;
	peer->pending_count = 0;
	for (unsigned int i = 0; i < this->pool_count; i++) {
		lane_t *lane;

		write_pool(this->pools[i], slot, message);
		cds_list_for_each_entry (lane, &this->pools[i]->listed, link) {
			write_asks(lane, slot, message);
			write_served(lane, slot, message);
		}
	}
	write_holds(this, slot, message, now);
	write_leaving(this, message);
	if (peer->wants_former)
		write_former(this, slot, message);
	peer->wants_former = false;
	peer->send_queued = false;
	more = SECTION_FULL(&message->asks) || SECTION_FULL(&message->served) ||
	       SECTION_FULL(&message->holds);
	peer->send_at = more ? now : now + HEARTBEAT;
	return more;
}

/* --- reading ---------------------------------------------------------- */

static void peer_restarted(node_t *this, unsigned int slot)
{
	peer_t *peer = this->peers[slot];

	owner_forget(this, slot);
	peer->grant_received = 0;
	peer->tell_all_served = true;
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			lane_t *lane = pool->lanes[w];

			if (!lane)
				continue;
			share_peer_restarted(lane, slot);
			if (lane->demand)
				memset(lane->demand[slot].told_asked, 0,
					sizeof(lane->demand[slot].told_asked));
		}
	}
	for (unsigned int i = 0; i < this->replica_count; i++)
		this->replicas[i]->report_due |= this->replicas[i]->owner == slot;
}

/* The peer holds nothing, and waits at no pool, but what its full message names. */
static void forget_reported(node_t *this, unsigned int slot)
{
	static const hold_entry_t no_hold;

	for (unsigned int i = 0; i < this->replica_count; i++)
		owner_set_hold(this->replicas[i], slot, &no_hold);
	for (unsigned int i = 0; i < this->pool_count; i++) {
		this->pools[i]->peers[slot].contended = false;
		this->pools[i]->peers[slot].waiting = 0;
	}
}

/* Likewise for what it asks, once that was read: a lane must not seem idle meanwhile. */
static void forget_unmentioned(node_t *this, unsigned int slot)
{
	static const uint32_t none[WORK_CLASSES];

	for (unsigned int i = 0; i < this->pool_count; i++) {
		lane_t *lane;
		lane_t *after;

		cds_list_for_each_entry_safe (lane, after, &this->pools[i]->listed, link) {
			if (!lane->demand || lane->demand[slot].mentioned)
				continue;
			owner_set_wanted(this, lane, slot, none);
			owner_set_backlogged(lane, slot, false);
		}
	}
}

/* After a silence nobody knows what got through: tell it all again. */
static void peer_rejoined(node_t *this, unsigned int slot)
{
	this->peers[slot]->tell_all_served = true;
	this->peers[slot]->full_at = 0;
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		pool->peers[slot].told_contended = !pool_is_contended_for(pool, slot);
		for (unsigned int w = 0; w < pool->lane_capacity; w++) {
			if (pool->lanes[w])
				pool->lanes[w]->peers[slot].told_served =
					~(uint32_t)pool->lanes[w]->own_served;
		}
	}
}

static void read_holds(node_t *this, unsigned int slot, const message_t *message)
{
	for (unsigned int i = 0; i < message->holds.count; i++) {
		const hold_entry_t *hold = &message->holds.entry[i];
		replica_t *replica = node_find_replica(this, hold->replica);

		if (!replica || replica->owner)
			continue;
		owner_set_hold(replica, slot, hold);
		replica->pool->is_touched = true;
		limit_observe_peer(&replica->limit, hold->pace);
	}
}

static void read_asks(node_t *this, unsigned int slot, const message_t *message)
{
	for (unsigned int i = 0; i < message->asks.count; i++) {
		const ask_entry_t *ask = &message->asks.entry[i];
		lane_t *lane = node_find_lane(this, ask->pool, ask->workspace);

		if (!lane)
			continue;
		owner_set_wanted(this, lane, slot, ask->waiting);
		owner_set_backlogged(lane, slot, ask->backlogged);
		lane->demand[slot].mentioned = true;
		lane->pool->is_touched = true;
	}
	if (message->flags & MESSAGE_FULL)
		forget_unmentioned(this, slot);
	for (unsigned int i = 0; i < message->asks.count; i++) {
		const ask_entry_t *ask = &message->asks.entry[i];
		lane_t *lane = node_find_lane(this, ask->pool, ask->workspace);

		if (lane)
			lane->demand[slot].mentioned = false;
	}
}

static void read_counters(node_t *this, unsigned int slot, const message_t *message)
{
	for (unsigned int i = 0; i < message->served.count; i++) {
		const served_entry_t *served = &message->served.entry[i];
		lane_t *lane = node_find_lane(this, served->pool, served->workspace);

		if (lane)
			share_hear(lane, slot, served->cost);
	}
	for (unsigned int i = 0; i < message->former.count; i++) {
		const served_entry_t *former = &message->former.entry[i];
		lane_t *lane = node_find_lane(this, former->pool, former->workspace);

		if (lane)
			share_former(lane, former->cost);
	}
}

static void read_pools(node_t *this, unsigned int slot, const message_t *message)
{
	for (unsigned int i = 0; i < message->pools.count; i++) {
		const pool_entry_t *entry = &message->pools.entry[i];
		pool_t *pool = node_find_pool(this, entry->pool);

		if (!pool)
			continue;
		pool->is_touched = true;
		pool->peers[slot].waiting = entry->waiting;
		pool->peers[slot].contended = entry->contended != 0;
	}
}

/* Idle slots of an owner whose slots others wait for go back, once used here in vain. */
static void return_contended(node_t *this, unsigned int slot, instant_t now)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		if (this->pools[i]->peers[slot].contended)
			router_give_back_idle(this, this->pools[i], slot, now);
	}
}

static void read_leaving(node_t *this, const message_t *message, instant_t now)
{
	for (unsigned int i = 0; i < message->leaving.count; i++) {
		replica_t *replica = node_find_replica(this, message->leaving.entry[i]);

		if (!replica)
			continue;
		replica->pool->is_touched = true;
		replica->heard_leaving_until = now + LEAVING_REMEMBERED;
		router_give_back(this, replica, replica_idle(replica), now);
	}
}

static void read_version(node_t *this, unsigned int slot, const message_t *message)
{
	node_action_t action = {
		.kind = ACTION_FETCH_TEXT, .slot = slot, .version = message->text_version};

	if (message->text_version <= this->known_version)
		return;
	this->known_version = message->text_version;
	node_push(this, &action);
}

static void take_grant(node_t *this, unsigned int slot, const grant_entry_t *grant, instant_t now)
{
	replica_t *replica = node_find_replica(this, grant->replica);

	if (replica)
		replica->pool->is_touched = true;
	router_take_grant(this, slot, grant, now);
}

static void read_grants(node_t *this, unsigned int slot, const message_t *message, instant_t now)
{
	peer_t *peer = this->peers[slot];

	for (unsigned int i = 0; i < message->grants.count; i++)
		take_grant(this, slot, &message->grants.entry[i], now);
	if (message->grant_seq > peer->grant_received) {
		peer->grant_received = message->grant_seq;
		node_send_by(this, slot, now + ACK_DELAY);
	}
}

/* Pools that the message said nothing about have nothing new to decide. */
static void pump_touched(node_t *this, instant_t now)
{
	for (unsigned int i = 0; i < this->pool_count; i++) {
		pool_t *pool = this->pools[i];

		if (!pool->is_touched)
			continue;
		pool->is_touched = false;
		this->policy->pump(this, pool, now);
	}
}

bool node_hear(node_t *this, const message_t *message, instant_t now)
{
	int slot = members_find(&this->members, message->from);
	unsigned int from = (unsigned int)slot;
	message_status_t heard = MESSAGE_STATUS_UNKNOWN_PEER;
	bool was_alive = slot > 0 && member_is_alive(&this->members.list[from]);

	if (slot > 0)
		heard = members_record_message(
			&this->members, from, message->incarnation, message->seq, now);
	if (heard == MESSAGE_STATUS_UNKNOWN_PEER || heard == MESSAGE_STATUS_OUTDATED) {
		this->stats.dropped_messages++;
		return false;
	}
	if (heard == MESSAGE_STATUS_RESTARTED)
		peer_restarted(this, from);
	if (!was_alive)
		peer_rejoined(this, from);
	members_set_stopping(&this->members, from, message->flags & MESSAGE_STOPPING);
	if (message->flags & MESSAGE_RESTARTED)
		this->peers[from]->wants_former = true;
	if (this->owned_view != this->members.view)
		owner_view_changed(this, now);
	if (message->ack_incarnation == this->options.incarnation)
		owner_acknowledge(this, from, message->grant_ack);
	if (message->flags & MESSAGE_FULL)
		forget_reported(this, from);
	read_holds(this, from, message);
	read_asks(this, from, message);
	read_counters(this, from, message);
	read_pools(this, from, message);
	read_leaving(this, message, now);
	read_version(this, from, message);
	read_grants(this, from, message, now);
	pump_touched(this, now);
	return_contended(this, from, now);
	return true;
}
