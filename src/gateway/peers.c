#include "gateway/peers.h"

#include <glib.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "edge/entry_codec.h"
#include "gateway/roster.h"
#include "settings/fleet_config.h"

/* Between two checks for lost and silent links. */
#define LINK_CHECK_INTERVAL (50 * USEC_PER_MSEC)

struct peers {
	peers_options_t options;
	placement_t *placement;
	peer_socket_t *socket;
	entry_writer_t *writer;
	row_gossip_t *gossip;
	uint64_t refused_keys; /* the socket's count at the last peers_saw_unknown_peer() */
	uv_poll_t polls[PEER_SOCKET_FDS];
	unsigned int open_polls;
	int socket_index[MEMBER_MAX]; /* index in the peer socket by member slot; -1: none */
	uint64_t incarnations[MEMBER_MAX];
	member_state_t states[MEMBER_MAX]; /* as last logged, by member slot */
	instant_t heard_at[MEMBER_MAX];	   /* newest message from the member; 0: none */
	bool lost[MEMBER_MAX]; /* messages to the member were lost since the last one sent */
	instant_t next_link_check;
	uint64_t links_renewed;
	char buffer[ENTRY_CODEC_MAX_BYTES];
};

static void handle_message(peers_t *this, size_t size, id_t32 sender, instant_t now)
{
	message_header_t header;
	entry_reader_t *reader = entry_reader_new(this->buffer, size, &header);
	unsigned int slot;
	message_entry_t entry;

	if (!reader) {
		log_warn("peer-message-malformed", "from=%u bytes=%zu", sender, size);
		return;
	}
	if (header.from != sender)
		log_warn("peer-message-forged", "from=%u claims=%u", sender, header.from);
	else if (placement_accept_message(this->placement, &header, &slot, now)) {
		if (header.incarnation != this->incarnations[slot]) {
			row_gossip_reset_peer(this->gossip, slot);
			part_watch_reset_peer(this->options.part_watch, slot);
			origin_keeper_reset_peer(this->options.origin_keeper, slot);
			store_readers_reset_peer(this->options.store_readers, slot);
		}
		this->incarnations[slot] = header.incarnation;
		this->heard_at[slot] = now;
		while (entry_reader_next(reader, &entry, now)) {
			if (entry.kind == ENTRY_ROW_VERSION || entry.kind == ENTRY_ROW_REQUEST ||
				entry.kind == ENTRY_ROW_CHUNK)
				row_gossip_handle_entry(this->gossip, slot, &entry, now);
			else if (entry.kind == ENTRY_PART_END || entry.kind == ENTRY_PART_SOUND)
				part_watch_handle_entry(this->options.part_watch, &entry, now);
			else if (entry.kind == ENTRY_STREAMS || entry.kind == ENTRY_STREAMS_SAVED)
				origin_keeper_handle_entry(this->options.origin_keeper, slot,
					header.incarnation, &entry, now);
			else if (entry.kind == ENTRY_STORE_STATE)
				store_readers_handle_entry(
					this->options.store_readers, slot, &entry, now);
			else
				placement_handle_entry(this->placement, slot, &entry, now);
		}
	}
	entry_reader_delete(reader);
}

void peers_receive(peers_t *this, instant_t now)
{
	id_t32 sender;
	size_t size;

	while (peer_socket_receive(
		this->socket, this->buffer, sizeof(this->buffer), &size, &sender))
		handle_message(this, size, sender, now);
}

static void report_lost_connections(peers_t *this, instant_t now)
{
	unsigned int index;

	while (peer_socket_next_disconnected(this->socket, &index)) {
		for (unsigned int slot = 1; slot < MEMBER_MAX; slot++) {
			if (this->socket_index[slot] != (int)index)
				continue;
			placement_connection_lost(this->placement, slot, now);
			this->lost[slot] = true;
		}
	}
}

static uint64_t silence_ms(const peers_t *this, unsigned int slot, instant_t now)
{
	instant_t heard_at = this->heard_at[slot] ? this->heard_at[slot] : now;

	return (now - heard_at) / USEC_PER_MSEC;
}

static void renew_silent_links(peers_t *this, instant_t now)
{
	unsigned int slot;

	while (placement_next_silent_link(this->placement, &slot, now)) {
		if (this->socket_index[slot] < 0)
			continue;
		log_warn("peer-link-renewed", "peer=%u silent_ms=%" G_GUINT64_FORMAT,
			placement_members(this->placement)->list[slot].id,
			(guint64)silence_ms(this, slot, now));
		peer_socket_renew(this->socket, (unsigned int)this->socket_index[slot]);
		this->lost[slot] = true;
		this->links_renewed++;
	}
}

static void check_links(peers_t *this, instant_t now)
{
	if (now < this->next_link_check)
		return;
	this->next_link_check = now + LINK_CHECK_INTERVAL;
	report_lost_connections(this, now);
	renew_silent_links(this, now);
}

/* What is told only when it changes was lost with the earlier messages. */
static void repeat_lost(peers_t *this, unsigned int slot)
{
	row_gossip_repeat_versions(this->gossip, slot);
	part_watch_reset_peer(this->options.part_watch, slot);
	origin_keeper_reset_peer(this->options.origin_keeper, slot);
	placement_repeat_reports(this->placement, slot);
	this->lost[slot] = false;
}

/* They come last, as routers of earlier builds do not read on after them. */
static void write_last_entries(peers_t *this, unsigned int slot, instant_t now)
{
	origin_keeper_t *keeper = this->options.origin_keeper;
	message_entry_t entry;

	while (entry_writer_bytes_left(this->writer) >= ORIGIN_REPORT_MAX_BYTES + ENTRY_MAX_BYTES &&
		origin_keeper_next_entry(keeper, slot, &entry, now))
		entry_writer_add(this->writer, &entry, now);
	if (!entry_writer_is_full(this->writer) &&
		store_readers_next_entry(this->options.store_readers, slot, &entry, now))
		entry_writer_add(this->writer, &entry, now);
	while (!entry_writer_is_full(this->writer) &&
		placement_next_engine_state(this->placement, slot, &entry, now))
		entry_writer_add(this->writer, &entry, now);
}

static void send_message(
	peers_t *this, unsigned int slot, const message_header_t *header, instant_t now)
{
	const char *bytes;
	size_t size;
	message_entry_t entry;

	if (this->lost[slot])
		repeat_lost(this, slot);
	entry_writer_begin(this->writer, header);
	while (!entry_writer_is_full(this->writer) &&
		placement_next_entry(this->placement, slot, &entry))
		entry_writer_add(this->writer, &entry, now);
	if (row_gossip_write(this->gossip, slot, this->writer, now))
		placement_make_message_due(this->placement, slot, now);
	while (!entry_writer_is_full(this->writer) &&
		part_watch_next_entry(this->options.part_watch, slot, &entry, now))
		entry_writer_add(this->writer, &entry, now);
	if (!entry_writer_is_full(this->writer) &&
		placement_next_receipt(this->placement, slot, &entry, now))
		entry_writer_add(this->writer, &entry, now);
	write_last_entries(this, slot, now);
	bytes = entry_writer_data(this->writer, &size);
	if (this->socket_index[slot] >= 0)
		this->lost[slot] = !peer_socket_send(
			this->socket, (unsigned int)this->socket_index[slot], bytes, size);
}

static void log_state(const peers_t *this, unsigned int slot, const member_t *member, instant_t now)
{
	static const char *const names[] = {
		[MEMBER_NOT_SEEN] = "not-seen",
		[MEMBER_ALIVE] = "alive",
		[MEMBER_SUSPECT] = "suspect",
		[MEMBER_DEAD] = "dead",
	};

	log_notice("peer-state", "peer=%u state=%s before=%s silent_ms=%" G_GUINT64_FORMAT,
		member->id, names[member->state], names[this->states[slot]],
		(guint64)silence_ms(this, slot, now));
}

/* Notes a change of the member's state; returns whether it is alive. */
static bool check_state(peers_t *this, unsigned int slot, instant_t now)
{
	const member_t *member = &placement_members(this->placement)->list[slot];
	bool alive = member_is_alive(member);
	bool was_alive = this->states[slot] == MEMBER_ALIVE || this->states[slot] == MEMBER_SUSPECT;

	/* Messages to a peer that was out of reach were lost. */
	if (alive && !was_alive)
		part_watch_reset_peer(this->options.part_watch, slot);
	if (member->state != this->states[slot])
		log_state(this, slot, member, now);
	this->states[slot] = member->state;
	return alive;
}

static void wake_for_gossip(peers_t *this, instant_t now)
{
	const members_t *members = placement_members(this->placement);
	store_readers_t *readers = this->options.store_readers;

	store_readers_choose(readers, members);
	for (unsigned int slot = 1; slot < members->count; slot++) {
		bool at_once = store_readers_tells_versions(readers, slot);

		if (check_state(this, slot, now) &&
			(row_gossip_is_due(this->gossip, slot, at_once, now) ||
				store_readers_is_due(readers, slot, now) ||
				part_watch_is_due(this->options.part_watch, slot) ||
				origin_keeper_is_due(this->options.origin_keeper, slot, now)))
			placement_make_message_due(this->placement, slot, now);
	}
}

bool peers_saw_unknown_peer(peers_t *this)
{
	uint64_t refused_total = peer_socket_refused_keys(this->socket);
	bool seen = refused_total != this->refused_keys;

	this->refused_keys = refused_total;
	return seen;
}

void peers_step(peers_t *this, instant_t now)
{
	message_header_t header;
	unsigned int slot;

	check_links(this, now);
	wake_for_gossip(this, now);
	placement_tick(this->placement, now);
	while (placement_next_message(this->placement, &slot, &header, now))
		send_message(this, slot, &header, now);
}

/* Only wakes the loop: the next peers_receive() reads the messages. */
static void on_readable(uv_poll_t *poll, int status, int events)
{
}

void peers_set_only_source(peers_t *this, bool only_source)
{
	row_gossip_set_only_source(this->gossip, only_source);
}

uint64_t peers_links_renewed(const peers_t *this)
{
	return this->links_renewed;
}

placement_t *peers_placement(peers_t *this)
{
	return this->placement;
}

static void add_peer(peers_t *this, const roster_entry_t *entry)
{
	peer_address_t address = {name_id(entry->name), entry->address, entry->public_key};
	unsigned int slot = placement_add_member(this->placement, address.id);

	if (!slot)
		return;
	this->socket_index[slot] = peer_socket_add(this->socket, &address);
	placement_set_listed(this->placement, slot, true);
	placement_set_domain(
		this->placement, slot, entry->failure_domain ? name_id(entry->failure_domain) : 0);
	log_notice("peer-listed", "peer=%s address=%s incarnation=%" G_GUINT64_FORMAT " link=%d",
		entry->name, entry->address, (guint64)entry->incarnation, this->socket_index[slot]);
}

static void unlist_peer(peers_t *this, const char *name)
{
	int slot = members_find(placement_members(this->placement), name_id(name));

	if (slot < 1)
		return;
	placement_set_listed(this->placement, (unsigned int)slot, false);
	log_notice("peer-unlisted", "peer=%s", name);
}

void peers_handle_row(peers_t *this, const store_row_t *row)
{
	roster_entry_t entry;
	jsondoc_t *doc = NULL;

	if (row->is_deleted) {
		unlist_peer(this, row->key);
		return;
	}
	if (roster_decode(row->value, row->len, row->key, &entry, &doc))
		add_peer(this, &entry);
	else
		log_warn("peer-row-malformed", "peer=%s", row->key);
	jsondoc_delete(doc);
}

static void poll_socket(peers_t *this)
{
	int fds[PEER_SOCKET_FDS];

	peer_socket_fds(this->socket, fds);
	for (unsigned int i = 0; i < PEER_SOCKET_FDS; i++) {
		uv_poll_init(this->options.loop, &this->polls[i], fds[i]);
		this->polls[i].data = this;
		uv_poll_start(&this->polls[i], UV_READABLE, on_readable);
		this->open_polls++;
	}
}

peers_t *peers_new(const peers_options_t *options)
{
	peers_t *this = g_new0(peers_t, 1);
	peer_socket_options_t socket_options = {
		.bind_address = options->address,
		.public_key = options->public_key,
		.secret_key = options->secret_key,
	};
	placement_options_t placement_options = {
		.self = name_id(options->name),
		.domain = name_id(options->failure_domain),
		.incarnation = options->incarnation,
		.seed = options->seed,
		.scheduler = options->scheduler,
		.on_rate_limit = options->on_rate_limit,
		.on_warm_up = options->on_warm_up,
		.on_speed = options->on_speed,
		.ctx = options->ctx,
	};

	this->options = *options;
	for (unsigned int i = 0; i < MEMBER_MAX; i++)
		this->socket_index[i] = -1;
	this->socket = peer_socket_new(&socket_options);
	if (!this->socket) {
		g_free(this);
		return NULL;
	}
	this->placement = placement_new(&placement_options, clock_now());
	this->writer = entry_writer_new();
	this->gossip = row_gossip_new(&options->gossip);
	poll_socket(this);
	return this;
}

static void on_closed(uv_handle_t *handle)
{
	peers_t *this = handle->data;

	if (--this->open_polls)
		return;
	peer_socket_delete(this->socket);
	placement_delete(this->placement);
	entry_writer_delete(this->writer);
	row_gossip_delete(this->gossip);
	g_free(this);
}

void peers_delete(peers_t *this)
{
	if (!this)
		return;
	for (unsigned int i = 0; i < PEER_SOCKET_FDS; i++)
		uv_close((uv_handle_t *)&this->polls[i], on_closed);
}
