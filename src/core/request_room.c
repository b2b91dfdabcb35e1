#include "core/request_room.h"

#define SMALL_DIVISOR 3 /* part of the memory that is for what every request needs */
#define READ_STEP 16384 /* one read of a sender */
/* One workspace gets at most this part of the room for long bodies. */
#define SHARE_NUMERATOR 3
#define SHARE_DENOMINATOR 4
#define PACE_WINDOW USEC_PER_SEC
#define SMALL_PATIENCE (100 * USEC_PER_MSEC) /* waits before others are ended for it */
#define LONG_PATIENCE USEC_PER_SEC

void request_room_init(request_room_t *this, const room_ops_t *ops, size_t limit)
{
	*this = (request_room_t){.ops = ops, .small_limit = limit / SMALL_DIVISOR};
	this->long_limit = limit - this->small_limit;
	CDS_INIT_LIST_HEAD(&this->senders);
	CDS_INIT_LIST_HEAD(&this->small_waits);
	CDS_INIT_LIST_HEAD(&this->long_waits);
}

void room_sender_init(room_sender_t *this)
{
	*this = (room_sender_t){.wait = ROOM_WAIT_NONE};
}

static unsigned int share_of(uint32_t workspace)
{
	return workspace % ROOM_SHARES;
}

/* --- what is held ------------------------------------------------------ */

static bool holds_something(const room_sender_t *sender)
{
	return sender->small || sender->reserved;
}

static void set_held(request_room_t *this, room_sender_t *sender, size_t small, size_t reserved)
{
	unsigned int share = share_of(sender->workspace);
	bool held = holds_something(sender);

	this->small_held += small - sender->small;
	this->small_by[share] += small - sender->small;
	this->long_held += reserved - sender->reserved;
	this->long_by[share] += reserved - sender->reserved;
	sender->small = small;
	sender->reserved = reserved;
	if (!held && holds_something(sender))
		cds_list_add_tail(&sender->link, &this->senders);
	else if (held && !holds_something(sender))
		cds_list_del(&sender->link);
	if (this->small_held + this->long_held > this->peak)
		this->peak = this->small_held + this->long_held;
}

void request_room_begin(request_room_t *this, room_sender_t *sender, instant_t now)
{
	request_room_assign(this, sender, 0);
	sender->is_finished = false;
	sender->began = now;
	sender->window_at = now;
	sender->window_bytes = 0;
	sender->last_pace = 0;
}

void request_room_hold(request_room_t *this, room_sender_t *sender, size_t small)
{
	if (small != sender->small)
		set_held(this, sender, small, sender->reserved);
}

void request_room_assign(request_room_t *this, room_sender_t *sender, uint32_t workspace)
{
	unsigned int before = share_of(sender->workspace);
	unsigned int after = share_of(workspace);

	this->small_by[before] -= sender->small;
	this->long_by[before] -= sender->reserved;
	this->small_by[after] += sender->small;
	this->long_by[after] += sender->reserved;
	sender->workspace = workspace;
}

void request_room_shrink(request_room_t *this, room_sender_t *sender, size_t used)
{
	if (used < sender->reserved)
		set_held(this, sender, sender->small, used);
}

bool request_room_has_spare(const request_room_t *this)
{
	return this->small_held < this->small_limit / 2;
}

bool request_room_is_hogged(const request_room_t *this, uint32_t workspace)
{
	return this->small_held > this->small_limit / SHARE_DENOMINATOR * SHARE_NUMERATOR &&
	       this->small_by[share_of(workspace)] > this->small_held / 2;
}

/* --- progress ---------------------------------------------------------- */

void room_sender_progress(room_sender_t *sender, size_t bytes, instant_t now)
{
	if (now >= sender->window_at + PACE_WINDOW) {
		sender->last_pace = room_sender_pace(sender, now);
		sender->window_at = now;
		sender->window_bytes = 0;
	}
	sender->window_bytes += bytes;
}

uint64_t room_sender_pace(const room_sender_t *sender, instant_t now)
{
	if (now < sender->window_at + PACE_WINDOW)
		return sender->last_pace;
	return sender->window_bytes * USEC_PER_SEC / (now - sender->window_at);
}

/* Unfinished, and there for long enough to be judged. */
static bool may_end(const room_sender_t *sender, instant_t now)
{
	return !sender->is_finished && now >= sender->began + PACE_WINDOW;
}

/* Whether `a` makes less progress for its bytes than `b`. */
static bool is_slower(
	const room_sender_t *a, size_t held_a, const room_sender_t *b, size_t held_b, instant_t now)
{
	double pace_a = (double)(room_sender_pace(a, now) + 1) / (double)held_a;
	double pace_b = (double)(room_sender_pace(b, now) + 1) / (double)held_b;

	return pace_a < pace_b || (!(pace_b < pace_a) && a->began < b->began);
}

static room_sender_t *slowest_long(request_room_t *this, instant_t now)
{
	room_sender_t *slowest = NULL;
	room_sender_t *sender;

	cds_list_for_each_entry (sender, &this->senders, link) {
		if (!sender->reserved || !may_end(sender, now))
			continue;
		if (!slowest ||
			is_slower(sender, sender->reserved, slowest, slowest->reserved, now))
			slowest = sender;
	}
	return slowest;
}

static room_sender_t *slowest_small(request_room_t *this, instant_t now)
{
	room_sender_t *slowest = NULL;
	room_sender_t *sender;

	cds_list_for_each_entry (sender, &this->senders, link) {
		if (!sender->small || !may_end(sender, now))
			continue;
		if (!slowest || is_slower(sender, sender->small, slowest, slowest->small, now))
			slowest = sender;
	}
	return slowest;
}

static void end_sender(request_room_t *this, room_sender_t *sender)
{
	this->ended++;
	request_room_leave(this, sender);
	this->ops->end(sender);
}

/* --- waits ------------------------------------------------------------- */

static void start_wait(request_room_t *this, room_sender_t *sender, room_wait_t wait, instant_t now)
{
	if (sender->wait == wait)
		return;
	request_room_stop_wait(this, sender);
	sender->wait = wait;
	sender->wait_since = now;
	this->waits++;
	cds_list_add_tail(&sender->wait_link,
		wait == ROOM_WAIT_SMALL ? &this->small_waits : &this->long_waits);
}

void request_room_stop_wait(request_room_t *this, room_sender_t *sender)
{
	if (sender->wait != ROOM_WAIT_NONE)
		cds_list_del(&sender->wait_link);
	sender->wait = ROOM_WAIT_NONE;
}

void request_room_leave(request_room_t *this, room_sender_t *sender)
{
	request_room_stop_wait(this, sender);
	if (holds_something(sender))
		set_held(this, sender, 0, 0);
}

bool request_room_may_read(request_room_t *this, room_sender_t *sender, instant_t now)
{
	if (this->small_held < this->small_limit)
		return true;
	start_wait(this, sender, ROOM_WAIT_SMALL, now);
	return false;
}

/* A body that is larger than all room is let in when it is alone. */
static bool fits(const request_room_t *this, const room_sender_t *sender, size_t wanted)
{
	return !this->long_held || this->long_held + wanted <= this->long_limit;
}

static bool is_within_share(const request_room_t *this, const room_sender_t *sender, size_t wanted)
{
	size_t held = this->long_by[share_of(sender->workspace)];

	return !held || held + wanted <= this->long_limit / SHARE_DENOMINATOR * SHARE_NUMERATOR;
}

bool request_room_reserve(request_room_t *this, room_sender_t *sender, size_t wanted, instant_t now)
{
	bool is_first = cds_list_empty(&this->long_waits);

	if (sender->reserved)
		return true;
	sender->wanted = wanted;
	if (is_first && fits(this, sender, wanted) && is_within_share(this, sender, wanted)) {
		set_held(this, sender, sender->small, wanted);
		return true;
	}
	start_wait(this, sender, ROOM_WAIT_LONG, now);
	return false;
}

/* The one whose workspace holds least; NULL if no workspace may have more. */
static room_sender_t *next_long(request_room_t *this)
{
	room_sender_t *next = NULL;
	room_sender_t *sender;
	size_t least = SIZE_MAX;

	cds_list_for_each_entry (sender, &this->long_waits, wait_link) {
		size_t held = this->long_by[share_of(sender->workspace)];

		if (held < least && is_within_share(this, sender, sender->wanted)) {
			next = sender;
			least = held;
		}
	}
	return next;
}

static bool grant_long(request_room_t *this, instant_t now)
{
	room_sender_t *sender = next_long(this);

	if (!sender || !fits(this, sender, sender->wanted))
		return false;
	request_room_stop_wait(this, sender);
	set_held(this, sender, sender->small, sender->wanted);
	sender->began = now;
	sender->window_at = now;
	sender->window_bytes = 0;
	this->granted_at = now;
	this->ops->resume(sender);
	return true;
}

static void step_long(request_room_t *this, instant_t now)
{
	room_sender_t *first;
	room_sender_t *slowest;

	while (grant_long(this, now))
		;
	if (cds_list_empty(&this->long_waits))
		return;
	first = cds_list_first_entry(&this->long_waits, room_sender_t, wait_link);
	if (now < instant_max(first->wait_since, this->granted_at) + LONG_PATIENCE)
		return;
	slowest = slowest_long(this, now);
	if (slowest)
		end_sender(this, slowest);
	while (grant_long(this, now))
		;
}

static void make_small_room(request_room_t *this, instant_t now)
{
	size_t target = this->small_limit - this->small_limit / 8;

	while (this->small_held > target) {
		room_sender_t *slowest = slowest_small(this, now);

		if (!slowest)
			return;
		end_sender(this, slowest);
	}
}

static void step_small(request_room_t *this, instant_t now)
{
	room_sender_t *first;
	size_t room;

	if (cds_list_empty(&this->small_waits))
		return;
	first = cds_list_first_entry(&this->small_waits, room_sender_t, wait_link);
	if (this->small_held >= this->small_limit && now >= first->wait_since + SMALL_PATIENCE)
		make_small_room(this, now);
	/* As many as may fill the room with one read. */
	for (room = this->small_held; room < this->small_limit; room += READ_STEP) {
		if (cds_list_empty(&this->small_waits))
			return;
		first = cds_list_first_entry(&this->small_waits, room_sender_t, wait_link);
		request_room_stop_wait(this, first);
		this->ops->resume(first);
	}
}

void request_room_step(request_room_t *this, instant_t now)
{
	step_long(this, now);
	step_small(this, now);
}
