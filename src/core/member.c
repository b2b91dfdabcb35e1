#include "core/member.h"

#include <string.h>
#include <xxhash.h>

void members_init(members_t *this, const allocator_t *allocator, id_t32 self)
{
	memset(this, 0, sizeof(*this));
	this->allocator = allocator;
	this->list = allocator_new(allocator, MEMBER_MAX, sizeof(member_t));
	this->list[0].id = self;
	this->list[0].state = MEMBER_ALIVE;
	this->list[0].dead_at = INSTANT_NEVER;
	this->list[0].suspect_at = INSTANT_NEVER;
	this->count = 1;
	this->view = 1;
	this->alive = 1;
}

void members_clear(members_t *this)
{
	allocator_delete(this->allocator, this->list);
}

unsigned int members_add(members_t *this, id_t32 id)
{
	int slot = members_find(this, id);

	if (slot >= 0 || this->count == MEMBER_MAX)
		return slot >= 0 ? (unsigned int)slot : 0;
	this->list[this->count].id = id;
	this->list[this->count].state = MEMBER_NOT_SEEN;
	return this->count++;
}

int members_find(const members_t *this, id_t32 id)
{
	for (unsigned int i = 0; i < this->count; i++) {
		if (this->list[i].id == id)
			return (int)i;
	}
	return -1;
}

bool member_is_alive(const member_t *member)
{
	return member->state == MEMBER_ALIVE || member->state == MEMBER_SUSPECT;
}

message_status_t members_record_message(
	members_t *this, unsigned int slot, uint64_t incarnation, uint64_t seq, instant_t now)
{
	member_t *member = &this->list[slot];
	bool restarted = incarnation > member->incarnation;

	if (incarnation < member->incarnation)
		return MESSAGE_STATUS_OUTDATED;
	if (!restarted && seq <= member->seq)
		return MESSAGE_STATUS_OUTDATED;
	if (!member_is_alive(member)) {
		this->view++;
		this->alive++;
	}
	if (restarted)
		member->stopping = false;
	member->incarnation = incarnation;
	member->seq = seq;
	member->state = MEMBER_ALIVE;
	member->suspect_at = now + MEMBER_SUSPECT_AFTER;
	member->dead_at = now + MEMBER_DEAD_AFTER;
	return restarted ? MESSAGE_STATUS_RESTARTED : MESSAGE_STATUS_NEW;
}

void members_connection_lost(members_t *this, unsigned int slot, instant_t now)
{
	member_t *member = &this->list[slot];

	member->suspect_at = instant_min(member->suspect_at, now);
	member->dead_at = instant_min(member->dead_at, now + MEMBER_DISCONNECTED_DEAD_AFTER);
}

void members_set_stopping(members_t *this, unsigned int slot, bool stopping)
{
	if (this->list[slot].stopping == stopping)
		return;
	this->list[slot].stopping = stopping;
	this->view++;
}

void members_set_listed_gone(members_t *this, unsigned int slot, bool gone)
{
	this->listed_gone += gone - this->list[slot].listed_gone;
	this->list[slot].listed_gone = gone;
}

bool members_tick(members_t *this, instant_t now)
{
	uint64_t before = this->view;

	for (unsigned int i = 1; i < this->count; i++) {
		member_t *member = &this->list[i];

		if (member->state == MEMBER_ALIVE && now >= member->suspect_at)
			member->state = MEMBER_SUSPECT;
		if (member->state == MEMBER_SUSPECT && now >= member->dead_at) {
			member->state = MEMBER_DEAD;
			this->view++;
			this->alive--;
		}
	}
	return this->view != before;
}

unsigned int members_alive(const members_t *this)
{
	return this->alive;
}

unsigned int members_expected(const members_t *this)
{
	return this->count - this->listed_gone;
}

static uint64_t weight_for(const member_t *member, id_t32 key)
{
	id_t32 pair[2] = {member->id, key};

	return XXH64(pair, sizeof(pair), 0);
}

static bool is_eligible(const member_t *member)
{
	return member_is_alive(member) && !member->stopping;
}

static bool is_in_own_domain(const members_t *this, const member_t *member)
{
	return is_eligible(member) && member->domain == this->list[0].domain;
}

/* Rendezvous hashing over the routers that are eligible; slot 0 if none is. */
static unsigned int responsible_for(const members_t *this, id_t32 key, bool in_own_domain)
{
	unsigned int best = 0;
	uint64_t best_weight = 0;

	for (unsigned int i = 0; i < this->count; i++) {
		const member_t *member = &this->list[i];
		uint64_t weight;

		if (in_own_domain ? !is_in_own_domain(this, member) : !is_eligible(member))
			continue;
		weight = weight_for(member, key);
		if (weight >= best_weight) {
			best_weight = weight;
			best = i;
		}
	}
	return best;
}

unsigned int members_owner(const members_t *this, id_t32 replica)
{
	return responsible_for(this, replica, false);
}

unsigned int members_keeper(const members_t *this, id_t32 key)
{
	return responsible_for(this, key, true);
}

void members_set_domain(members_t *this, unsigned int slot, id_t32 domain)
{
	this->list[slot].domain = domain;
}

unsigned int members_in_own_domain(const members_t *this)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->count; i++)
		count += i == 0 || is_in_own_domain(this, &this->list[i]);
	return count;
}

bool members_is_neighbour(const members_t *this, unsigned int slot)
{
	return is_in_own_domain(this, &this->list[slot]);
}

void members_choose(const members_t *this, id_t32 key, unsigned int per_domain, bool *chosen)
{
	uint64_t weights[MEMBER_MAX];

	for (unsigned int i = 0; i < this->count; i++)
		weights[i] = weight_for(&this->list[i], key);
	for (unsigned int i = 0; i < this->count; i++) {
		const member_t *member = &this->list[i];
		unsigned int place = 0;

		for (unsigned int k = 0; k < this->count; k++)
			place += this->list[k].domain == member->domain &&
				 is_eligible(&this->list[k]) && weights[k] > weights[i];
		chosen[i] = is_eligible(member) && place < per_domain;
	}
}

unsigned int members_place(const members_t *this, id_t32 key, unsigned int *routers)
{
	uint64_t own = weight_for(&this->list[0], key);
	unsigned int place = 0;

	*routers = 1;
	for (unsigned int i = 1; i < this->count; i++) {
		const member_t *member = &this->list[i];

		if (!is_eligible(member))
			continue;
		(*routers)++;
		place += weight_for(member, key) > own;
	}
	return place;
}
