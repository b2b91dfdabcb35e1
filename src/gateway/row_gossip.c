#include "gateway/row_gossip.h"

#include <string.h>

#include "edge/log.h"

#define REQUEST_DELAY (400 * USEC_PER_MSEC) /* the store usually delivers the rows within it */
/* After a request without an answer, until the next request to this or another peer. */
#define REQUEST_RETRY_DELAY (1 * USEC_PER_SEC)
/*
 * The same if rows come from peers only.  Several tell of a version at the same time: delays that
 * differ from peer to peer spread the requests of all routers over them.
 */
#define ONLY_SOURCE_MAX_DELAY (60 * USEC_PER_MSEC)
#define ONLY_SOURCE_RETRY_DELAY (400 * USEC_PER_MSEC)
#define SPREAD_FACTOR 0x9e3779b97f4a7c15ULL
#define CHUNK_SIZE 16384
#define MAX_ROW_BYTES (1U << 20)   /* the store's rows have 64 kB */
#define MAX_ROWS_BYTES (16U << 20) /* of the rows of one request */

/* A row that is being sent to or received from a peer in chunks. */
typedef struct transfer {
	cached_table_t table;
	store_row_t row;
	uint32_t bytes_done;
	uint32_t row_count; /* rows that are sent for the same request */
} transfer_t;

typedef struct peer_gossip {
	store_version_t sent_version[CACHED_TABLE_COUNT]; /* newest version sent to the peer */
	store_version_t
		received_version[CACHED_TABLE_COUNT]; /* newest version that the peer sent */
	instant_t request_at[CACHED_TABLE_COUNT]; /* when to request rows; 0: no request is due */
	GQueue send_queue;			  /* transfer_t, of one request */
	/* Requests that wait until the rows of the one before are sent. */
	bool is_asked[CACHED_TABLE_COUNT];
	store_version_t asked_after[CACHED_TABLE_COUNT];
	transfer_t receiving;
	cached_table_t received_table;
	GArray *received_rows; /* complete rows of the request that is being answered */
	size_t received_bytes; /* of their values */
} peer_gossip_t;

struct row_gossip {
	row_gossip_options_t options;
	bool only_source; /* rows come from peers only */
	/* Until then the peer that was asked for rows has time to send them; 0: none was asked. */
	instant_t answer_by[CACHED_TABLE_COUNT];
	peer_gossip_t peers[MEMBER_MAX];
};

static void transfer_clear(transfer_t *this)
{
	g_free(this->row.key);
	g_free(this->row.value);
	memset(this, 0, sizeof(*this));
}

static void transfer_delete(void *item)
{
	transfer_clear(item);
	g_free(item);
}

static void peer_init(peer_gossip_t *peer)
{
	memset(peer, 0, sizeof(*peer));
	g_queue_init(&peer->send_queue);
	peer->received_rows = store_rows_new();
}

static void peer_clear(peer_gossip_t *peer)
{
	g_queue_clear_full(&peer->send_queue, transfer_delete);
	transfer_clear(&peer->receiving);
	g_array_unref(peer->received_rows);
}

row_gossip_t *row_gossip_new(const row_gossip_options_t *options)
{
	row_gossip_t *this = g_new0(row_gossip_t, 1);

	this->options = *options;
	for (unsigned int i = 0; i < MEMBER_MAX; i++)
		peer_init(&this->peers[i]);
	return this;
}

void row_gossip_reset_peer(row_gossip_t *this, unsigned int slot)
{
	peer_gossip_t *peer = &this->peers[slot];

	peer_clear(peer);
	peer_init(peer);
}

void row_gossip_repeat_versions(row_gossip_t *this, unsigned int slot)
{
	memset(this->peers[slot].sent_version, 0, sizeof(this->peers[slot].sent_version));
}

void row_gossip_set_only_source(row_gossip_t *this, bool only_source)
{
	this->only_source = only_source;
}

void row_gossip_delete(row_gossip_t *this)
{
	if (!this)
		return;
	for (unsigned int i = 0; i < MEMBER_MAX; i++)
		peer_clear(&this->peers[i]);
	g_free(this);
}

/* --- receiving ---------------------------------------------------------- */

static store_version_t newest_version(const row_gossip_t *this, cached_table_t table)
{
	return row_cache_newest_version(this->options.row_cache, table);
}

static bool is_behind(const row_gossip_t *this, const peer_gossip_t *peer, cached_table_t table)
{
	return store_version_compare(peer->received_version[table], newest_version(this, table)) >
	       0;
}

static store_version_t entry_version(const message_entry_t *entry)
{
	return (store_version_t){entry->era, entry->version};
}

/* How long the store, or another peer, has to deliver rows that the peer has. */
static uint64_t request_delay(
	const row_gossip_t *this, const peer_gossip_t *peer, cached_table_t table)
{
	uint64_t slot = (uint64_t)(peer - this->peers);
	uint64_t spread = ((this->options.self + slot) * SPREAD_FACTOR) >> 32;

	/* A router without any rows does not wait for the store. */
	if (!newest_version(this, table).number)
		return 0;
	return this->only_source ? spread % ONLY_SOURCE_MAX_DELAY : REQUEST_DELAY;
}

static uint64_t retry_delay(const row_gossip_t *this)
{
	return this->only_source ? ONLY_SOURCE_RETRY_DELAY : REQUEST_RETRY_DELAY;
}

static void handle_version(
	row_gossip_t *this, peer_gossip_t *peer, const message_entry_t *entry, instant_t now)
{
	peer->received_version[entry->table] = entry_version(entry);
	if (is_behind(this, peer, entry->table) && !peer->request_at[entry->table])
		peer->request_at[entry->table] = now + request_delay(this, peer, entry->table);
}

typedef struct queue_context {
	peer_gossip_t *peer;
	cached_table_t table;
} queue_context_t;

static void queue_row(void *ctx, const store_row_t *row)
{
	queue_context_t *context = ctx;
	transfer_t *transfer = g_new0(transfer_t, 1);

	transfer->table = context->table;
	transfer->row = *row;
	transfer->row.key = g_strdup(row->key);
	transfer->row.value = g_malloc(row->len + 1);
	memcpy(transfer->row.value, row->value, row->len);
	g_queue_push_tail(&context->peer->send_queue, transfer);
}

static void queue_rows(row_gossip_t *this, peer_gossip_t *peer, cached_table_t table)
{
	queue_context_t context = {peer, table};

	peer->is_asked[table] = false;
	row_cache_for_each_after(
		this->options.row_cache, table, peer->asked_after[table], queue_row, &context);
	for (GList *link = peer->send_queue.head; link; link = link->next)
		((transfer_t *)link->data)->row_count = peer->send_queue.length;
}

/* Queues the rows of the next request, unless those of the last one are still being sent. */
static void queue_next_request(row_gossip_t *this, peer_gossip_t *peer)
{
	for (unsigned int i = 0; i < CACHED_TABLE_COUNT && g_queue_is_empty(&peer->send_queue);
		i++) {
		if (peer->is_asked[i])
			queue_rows(this, peer, (cached_table_t)i);
	}
}

static void handle_request(row_gossip_t *this, peer_gossip_t *peer, const message_entry_t *entry)
{
	const transfer_t *sending = g_queue_peek_head(&peer->send_queue);

	if (sending && sending->table == entry->table)
		return; /* the peer repeats its request */
	peer->is_asked[entry->table] = true;
	peer->asked_after[entry->table] = entry_version(entry);
	queue_next_request(this, peer);
}

static void forget_received(peer_gossip_t *peer)
{
	g_array_set_size(peer->received_rows, 0);
	peer->received_bytes = 0;
}

/*
 * Adds the complete row to those that have arrived of the same request, and delivers them with
 * the last one.  If a row was lost, the others are discarded, and the request is repeated.
 */
static void collect_row(row_gossip_t *this, peer_gossip_t *peer, unsigned int rows_left)
{
	transfer_t *transfer = &peer->receiving;
	GArray *rows = peer->received_rows;

	if (rows_left + 1 == transfer->row_count || peer->received_table != transfer->table)
		forget_received(peer);
	peer->received_table = transfer->table;
	peer->received_bytes += transfer->row.len;
	g_array_append_val(rows, transfer->row);
	transfer->row = (store_row_t){0};
	if (rows->len + rows_left != transfer->row_count) {
		log_notice("peer-rows-incomplete", "table=%d rows=%u left=%u of=%u",
			(int)transfer->table, rows->len, rows_left, transfer->row_count);
		forget_received(peer);
	} else if (peer->received_bytes > MAX_ROWS_BYTES) {
		log_warn("peer-rows-too-large", "table=%d rows=%u bytes=%zu", (int)transfer->table,
			rows->len, peer->received_bytes);
		forget_received(peer);
	}
	if (rows_left || !rows->len)
		return;
	this->answer_by[transfer->table] = 0;
	this->options.on_rows(this->options.ctx, transfer->table, rows);
	forget_received(peer);
}

static void handle_chunk(row_gossip_t *this, peer_gossip_t *peer, const message_entry_t *entry)
{
	transfer_t *transfer = &peer->receiving;

	if (entry->total_size > MAX_ROW_BYTES) {
		if (!entry->offset)
			log_warn("peer-row-too-large", "table=%u key=%s bytes=%u", entry->table,
				entry->key, entry->total_size);
		return;
	}
	if (!entry->offset) {
		transfer_clear(transfer);
		transfer->table = entry->table;
		transfer->row.key = g_strdup(entry->key);
		transfer->row.value = g_malloc0((gsize)entry->total_size + 1);
		transfer->row.len = entry->total_size;
		transfer->row.version = entry_version(entry);
		transfer->row_count = entry->row_count;
		transfer->row.is_deleted = entry->is_deleted;
	}
	if (!transfer->row.key || strcmp(transfer->row.key, entry->key) ||
		store_version_compare(transfer->row.version, entry_version(entry)) ||
		transfer->bytes_done != entry->offset || transfer->row.len != entry->total_size)
		return; /* a chunk was lost: the row is requested again */
	memcpy(transfer->row.value + entry->offset, entry->bytes, entry->size);
	transfer->bytes_done += entry->size;
	if (transfer->bytes_done < entry->total_size)
		return;
	collect_row(this, peer, entry->value);
	transfer_clear(transfer);
}

void row_gossip_handle_entry(
	row_gossip_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	peer_gossip_t *peer = &this->peers[slot];

	if (entry->table >= CACHED_TABLE_COUNT)
		return;
	if (entry->kind == ENTRY_ROW_VERSION)
		handle_version(this, peer, entry, now);
	else if (entry->kind == ENTRY_ROW_REQUEST)
		handle_request(this, peer, entry);
	else if (entry->kind == ENTRY_ROW_CHUNK)
		handle_chunk(this, peer, entry);
}

/* --- sending ------------------------------------------------------------ */

static bool is_request_due(
	const row_gossip_t *this, const peer_gossip_t *peer, cached_table_t table, instant_t now)
{
	return peer->request_at[table] && now >= peer->request_at[table] &&
	       now >= this->answer_by[table] && is_behind(this, peer, table);
}

bool row_gossip_is_due(const row_gossip_t *this, unsigned int slot, bool at_once, instant_t now)
{
	const peer_gossip_t *peer = &this->peers[slot];

	if (!g_queue_is_empty((GQueue *)&peer->send_queue))
		return true;
	for (int i = 0; i < CACHED_TABLE_COUNT; i++) {
		cached_table_t table = (cached_table_t)i;

		if (is_request_due(this, peer, table, now))
			return true;
		if (at_once &&
			store_version_compare(peer->sent_version[i], newest_version(this, table)))
			return true;
	}
	return false;
}

static void write_versions(
	row_gossip_t *this, peer_gossip_t *peer, entry_writer_t *writer, instant_t now)
{
	for (unsigned int i = 0; i < CACHED_TABLE_COUNT; i++) {
		store_version_t newest = newest_version(this, (cached_table_t)i);
		message_entry_t entry = {
			.kind = ENTRY_ROW_VERSION,
			.table = i,
			.version = newest.number,
			.era = newest.era,
		};

		if (store_version_compare(peer->sent_version[i], newest))
			entry_writer_add(writer, &entry, now);
		peer->sent_version[i] = newest;
		entry.kind = ENTRY_ROW_REQUEST;
		if (is_request_due(this, peer, (cached_table_t)i, now)) {
			entry_writer_add(writer, &entry, now);
			peer->request_at[i] = now + retry_delay(this);
			this->answer_by[i] = now + retry_delay(this);
		} else if (!is_behind(this, peer, (cached_table_t)i)) {
			peer->request_at[i] = 0;
		}
	}
}

static bool write_chunk(
	transfer_t *transfer, unsigned int rows_left, entry_writer_t *writer, instant_t now)
{
	uint32_t bytes_left = (uint32_t)transfer->row.len - transfer->bytes_done;
	message_entry_t entry = {
		.kind = ENTRY_ROW_CHUNK,
		.table = transfer->table,
		.version = transfer->row.version.number,
		.era = transfer->row.version.era,
		.key = transfer->row.key,
		.bytes = transfer->row.value + transfer->bytes_done,
		.size = bytes_left < CHUNK_SIZE ? bytes_left : CHUNK_SIZE,
		.offset = transfer->bytes_done,
		.total_size = (uint32_t)transfer->row.len,
		.is_deleted = transfer->row.is_deleted,
		.value = rows_left,
		.row_count = transfer->row_count,
	};

	entry_writer_add(writer, &entry, now);
	transfer->bytes_done += entry.size;
	return transfer->bytes_done == transfer->row.len;
}

bool row_gossip_write(row_gossip_t *this, unsigned int slot, entry_writer_t *writer, instant_t now)
{
	peer_gossip_t *peer = &this->peers[slot];

	write_versions(this, peer, writer, now);
	while (!g_queue_is_empty(&peer->send_queue)) {
		transfer_t *transfer = g_queue_peek_head(&peer->send_queue);

		if (entry_writer_bytes_left(writer) < 2 * CHUNK_SIZE)
			return true;
		if (write_chunk(transfer, peer->send_queue.length - 1, writer, now))
			transfer_delete(g_queue_pop_head(&peer->send_queue));
		queue_next_request(this, peer);
	}
	return false;
}
