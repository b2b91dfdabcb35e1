#include "core/store_readers.h"

#define READERS_KEY 2U /* chooses the readers */

typedef struct reader_peer {
	bool is_neighbour; /* a living router of this router's failure domain */
	bool is_reader;
	instant_t heard_at; /* its newest statement, 0: none */
	store_state_t heard;
	instant_t told_at; /* our newest statement to it, 0: none */
	store_state_t told;
} reader_peer_t;

struct store_readers {
	store_state_t state;
	unsigned int count; /* of members */
	uint64_t view;	    /* members_t.view that the readers were chosen by; 0: none yet */
	reader_peer_t peers[MEMBER_MAX];
};

store_readers_t *store_readers_new(void)
{
	return allocator_new(&allocator_default, 1, sizeof(store_readers_t));
}

void store_readers_delete(store_readers_t *this)
{
	allocator_delete(&allocator_default, this);
}

void store_readers_choose(store_readers_t *this, const members_t *members)
{
	bool chosen[MEMBER_MAX];

	if (this->view == members->view)
		return;
	this->view = members->view;
	this->count = members->count;
	members_choose(members, READERS_KEY, STORE_READERS_PER_DOMAIN, chosen);
	for (unsigned int slot = 0; slot < members->count; slot++) {
		this->peers[slot].is_reader = chosen[slot];
		this->peers[slot].is_neighbour = slot && members_is_neighbour(members, slot);
	}
}

void store_readers_set_state(store_readers_t *this, store_state_t state)
{
	this->state = state;
}

static bool has_said(const reader_peer_t *peer, store_state_t state, instant_t now)
{
	return peer->is_neighbour && peer->heard_at &&
	       now < peer->heard_at + STORE_STATEMENT_LIFE && peer->heard == state;
}

static bool any_neighbour_has_said(const store_readers_t *this, store_state_t state, instant_t now)
{
	for (unsigned int slot = 1; slot < this->count; slot++) {
		if (has_said(&this->peers[slot], state, now))
			return true;
	}
	return false;
}

bool store_readers_must_read(const store_readers_t *this, instant_t now)
{
	return !this->view || this->peers[0].is_reader ||
	       !any_neighbour_has_said(this, STORE_FOLLOWED, now);
}

bool store_readers_lost_store(const store_readers_t *this, instant_t now)
{
	return any_neighbour_has_said(this, STORE_LOST, now) &&
	       !any_neighbour_has_said(this, STORE_FOLLOWED, now);
}

bool store_readers_tells_versions(const store_readers_t *this, unsigned int slot)
{
	const reader_peer_t *peer = &this->peers[slot];

	return !this->view || (this->peers[0].is_reader && (peer->is_neighbour || peer->is_reader));
}

/* --- statements --------------------------------------------------------- */

bool store_readers_is_due(const store_readers_t *this, unsigned int slot, instant_t now)
{
	const reader_peer_t *peer = &this->peers[slot];

	if (this->state == STORE_UNREAD || !this->peers[0].is_reader || !peer->is_neighbour ||
		peer->is_reader)
		return false;
	return !peer->told_at || peer->told != this->state ||
	       now >= peer->told_at + STORE_STATEMENT_INTERVAL;
}

bool store_readers_next_entry(
	store_readers_t *this, unsigned int slot, message_entry_t *entry, instant_t now)
{
	reader_peer_t *peer = &this->peers[slot];

	if (!store_readers_is_due(this, slot, now))
		return false;
	peer->told_at = now;
	peer->told = this->state;
	*entry = (message_entry_t){.kind = ENTRY_STORE_STATE, .value = this->state};
	return true;
}

void store_readers_handle_entry(
	store_readers_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	reader_peer_t *peer = &this->peers[slot];

	if (entry->value != STORE_FOLLOWED && entry->value != STORE_LOST)
		return;
	peer->heard_at = now;
	peer->heard = (store_state_t)entry->value;
}

void store_readers_reset_peer(store_readers_t *this, unsigned int slot)
{
	this->peers[slot].heard_at = 0;
	this->peers[slot].told_at = 0;
}
