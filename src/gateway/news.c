#include "gateway/news.h"

#include <string.h>

#define ASK_AFTER (400 * USEC_PER_MSEC) /* the store's own news usually comes first */
#define ASK_AGAIN (1 * USEC_PER_SEC)	/* when no answer came */
#define PIECE_SIZE 16384

/* A row under way to or from a peer, piece by piece. */
typedef struct transfer {
	book_table_t table;
	store_row_t row;
	uint32_t done;
} transfer_t;

typedef struct peer_news {
	uint64_t told[BOOK_TABLES];  /* newest version that we told of */
	uint64_t heard[BOOK_TABLES]; /* that the peer told of */
	instant_t ask_at[BOOK_TABLES];
	GQueue sending; /* transfer_t */
	transfer_t receiving;
} peer_news_t;

struct news {
	news_options_t options;
	peer_news_t peers[MEMBER_MAX];
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

news_t *news_new(const news_options_t *options)
{
	news_t *this = g_new0(news_t, 1);

	this->options = *options;
	for (unsigned int i = 0; i < MEMBER_MAX; i++)
		g_queue_init(&this->peers[i].sending);
	return this;
}

void news_forget(news_t *this, unsigned int slot)
{
	peer_news_t *peer = &this->peers[slot];

	g_queue_clear_full(&peer->sending, transfer_delete);
	transfer_clear(&peer->receiving);
	memset(peer, 0, sizeof(*peer));
	g_queue_init(&peer->sending);
}

void news_delete(news_t *this)
{
	if (!this)
		return;
	for (unsigned int i = 0; i < MEMBER_MAX; i++)
		news_forget(this, i);
	g_free(this);
}

/* --- hearing ------------------------------------------------------------ */

static bool is_behind(const news_t *this, const peer_news_t *peer, book_table_t table)
{
	return peer->heard[table] > rowbook_newest(this->options.book, table);
}

static void hear_version(news_t *this, peer_news_t *peer, const note_t *note, instant_t now)
{
	bool has_none = !rowbook_newest(this->options.book, note->table);

	peer->heard[note->table] = note->version;
	if (is_behind(this, peer, note->table) && !peer->ask_at[note->table])
		peer->ask_at[note->table] = has_none ? now : now + ASK_AFTER;
}

typedef struct sending {
	peer_news_t *peer;
	book_table_t table;
} sending_t;

static void send_row(void *ctx, const store_row_t *row)
{
	sending_t *sending = ctx;
	transfer_t *transfer = g_new0(transfer_t, 1);

	transfer->table = sending->table;
	transfer->row = *row;
	transfer->row.key = g_strdup(row->key);
	transfer->row.value = g_malloc(row->len + 1);
	memcpy(transfer->row.value, row->value, row->len);
	g_queue_push_tail(&sending->peer->sending, transfer);
}

static void hear_wanted(news_t *this, peer_news_t *peer, const note_t *note)
{
	sending_t sending = {peer, note->table};

	if (!g_queue_is_empty(&peer->sending))
		return; /* what it wanted before is still under way */
	rowbook_each_after(this->options.book, note->table, note->version, send_row, &sending);
}

static void hear_piece(news_t *this, peer_news_t *peer, const note_t *note)
{
	transfer_t *transfer = &peer->receiving;

	if (!note->offset) {
		transfer_clear(transfer);
		transfer->table = note->table;
		transfer->row.key = g_strdup(note->key);
		transfer->row.value = g_malloc0((gsize)note->whole + 1);
		transfer->row.len = note->whole;
		transfer->row.version = note->version;
		transfer->row.is_deleted = note->is_deleted;
	}
	if (!transfer->row.key || strcmp(transfer->row.key, note->key) ||
		transfer->row.version != note->version || transfer->done != note->offset ||
		transfer->row.len != note->whole)
		return; /* a piece is missing: it is asked for again */
	memcpy(transfer->row.value + note->offset, note->bytes, note->size);
	transfer->done += note->size;
	if (transfer->done < note->whole)
		return;
	this->options.on_row(this->options.ctx, transfer->table, &transfer->row, note->value == 0);
	transfer_clear(transfer);
}

void news_hear(news_t *this, unsigned int slot, const note_t *note, instant_t now)
{
	peer_news_t *peer = &this->peers[slot];

	if (note->table >= BOOK_TABLES)
		return;
	if (note->kind == NOTE_NEWS)
		hear_version(this, peer, note, now);
	else if (note->kind == NOTE_NEWS_WANTED)
		hear_wanted(this, peer, note);
	else if (note->kind == NOTE_NEWS_PART)
		hear_piece(this, peer, note);
}

/* --- telling ------------------------------------------------------------ */

static bool is_ask_due(
	const news_t *this, const peer_news_t *peer, book_table_t table, instant_t now)
{
	return peer->ask_at[table] && now >= peer->ask_at[table] && is_behind(this, peer, table);
}

bool news_is_due(const news_t *this, unsigned int slot, instant_t now)
{
	const peer_news_t *peer = &this->peers[slot];

	if (!g_queue_is_empty((GQueue *)&peer->sending))
		return true;
	for (int i = 0; i < BOOK_TABLES; i++) {
		if (peer->told[i] != rowbook_newest(this->options.book, (book_table_t)i) ||
			is_ask_due(this, peer, (book_table_t)i, now))
			return true;
	}
	return false;
}

static void write_versions(news_t *this, peer_news_t *peer, note_writer_t *writer, instant_t now)
{
	for (unsigned int i = 0; i < BOOK_TABLES; i++) {
		uint64_t newest = rowbook_newest(this->options.book, (book_table_t)i);
		note_t note = {.kind = NOTE_NEWS, .table = i, .version = newest};

		if (peer->told[i] != newest)
			note_writer_add(writer, &note, now);
		peer->told[i] = newest;
		note.kind = NOTE_NEWS_WANTED;
		if (is_ask_due(this, peer, (book_table_t)i, now)) {
			note_writer_add(writer, &note, now);
			peer->ask_at[i] = now + ASK_AGAIN;
		} else if (!is_behind(this, peer, (book_table_t)i)) {
			peer->ask_at[i] = 0;
		}
	}
}

static bool write_piece(
	transfer_t *transfer, unsigned int to_come, note_writer_t *writer, instant_t now)
{
	uint32_t left = (uint32_t)transfer->row.len - transfer->done;
	note_t note = {
		.kind = NOTE_NEWS_PART,
		.table = transfer->table,
		.version = transfer->row.version,
		.key = transfer->row.key,
		.bytes = transfer->row.value + transfer->done,
		.size = left < PIECE_SIZE ? left : PIECE_SIZE,
		.offset = transfer->done,
		.whole = (uint32_t)transfer->row.len,
		.is_deleted = transfer->row.is_deleted,
		.value = to_come,
	};

	note_writer_add(writer, &note, now);
	transfer->done += note.size;
	return transfer->done == transfer->row.len;
}

bool news_write(news_t *this, unsigned int slot, note_writer_t *writer, instant_t now)
{
	peer_news_t *peer = &this->peers[slot];

	write_versions(this, peer, writer, now);
	while (!g_queue_is_empty(&peer->sending)) {
		transfer_t *transfer = g_queue_peek_head(&peer->sending);

		if (note_writer_room(writer) < 2 * PIECE_SIZE)
			return true;
		if (write_piece(transfer, peer->sending.length - 1, writer, now))
			transfer_delete(g_queue_pop_head(&peer->sending));
	}
	return false;
}
