#include "edge/note_codec.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define WIRE_VERSION 2
#define HEAD_FIELDS 5
#define MAX_FIELDS 24
#define NOTE_MOST_BYTES 400 /* of the largest note */
#define NEVER_US INT64_MAX
/* First bytes of msgpack's values. */
#define WIRE_SMALL 0x80
#define WIRE_LIST 0x90
#define WIRE_NIL 0xc0
#define WIRE_BYTES 0xc4
#define WIRE_INTEGERS 0xcc
#define WIRE_LIST_16 0xdc
#define WIRE_NEGATIVE 0xe0

struct note_writer {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
};

struct note_reader {
	const char *data;
	size_t size;
	size_t at;
	msgpack_unpacked unpacked;
	msgpack_unpacked key;
	msgpack_unpacked piece;
};

/* A note as numbers: the kind first, then its fields. */
typedef struct fields {
	int64_t value[MAX_FIELDS];
	unsigned int count;
	unsigned int next;
} fields_t;

/* --- writing ----------------------------------------------------------- */

note_writer_t *note_writer_new(void)
{
	note_writer_t *this = calloc(1, sizeof(*this));

	if (!this)
		abort();
	msgpack_sbuffer_init(&this->buffer);
	msgpack_packer_init(&this->packer, &this->buffer, msgpack_sbuffer_write);
	return this;
}

void note_writer_delete(note_writer_t *this)
{
	if (!this)
		return;
	msgpack_sbuffer_destroy(&this->buffer);
	free(this);
}

static void write_fields(note_writer_t *this, const fields_t *fields)
{
	msgpack_pack_array(&this->packer, fields->count);
	for (unsigned int i = 0; i < fields->count; i++)
		msgpack_pack_int64(&this->packer, fields->value[i]);
}

void note_writer_begin(note_writer_t *this, const message_header_t *head)
{
	fields_t fields = {
		.value = {WIRE_VERSION, head->from, (int64_t)head->incarnation, (int64_t)head->seq,
			head->stopping},
		.count = HEAD_FIELDS,
	};

	msgpack_sbuffer_clear(&this->buffer);
	write_fields(this, &fields);
}

static void put(fields_t *this, int64_t value)
{
	this->value[this->count++] = value;
}

static int64_t span_left(instant_t at, instant_t now)
{
	return at == INSTANT_NEVER ? NEVER_US : (int64_t)instant_left(at, now);
}

static void put_ask(fields_t *fields, const slot_request_t *ask, instant_t now)
{
	put(fields, (int64_t)ask->ticket);
	put(fields, ask->pool);
	put(fields, ask->workspace);
	put(fields, ask->avoid);
	put(fields, ask->request_fingerprint);
	put(fields, span_left(ask->first_token_deadline, now));
	put(fields, span_left(ask->deadline, now));
	put(fields, ask->is_late + 2 * ask->must_queue);
	put(fields, ask->work.prompt);
	put(fields, ask->work.answer);
	for (unsigned int i = 0; i < ask->work.chain.count; i++) {
		put(fields, (int64_t)ask->work.chain.hash[i]);
		put(fields, ask->work.chain.tokens[i]);
	}
}

static void put_place(fields_t *fields, const held_slot_t *place)
{
	put(fields, (int64_t)place->ticket);
	put(fields, place->engine);
	put(fields, place->workspace);
	put(fields, place->prompt);
	put(fields, place->answer);
	put(fields, place->prefill_done);
}

static void put_piece(fields_t *fields, const message_entry_t *note)
{
	put(fields, note->table);
	put(fields, (int64_t)note->version);
	put(fields, note->offset);
	put(fields, note->whole);
	put(fields, note->is_deleted);
	put(fields, note->value);
}

static void write_bytes(note_writer_t *this, const char *bytes, size_t size)
{
	msgpack_pack_bin(&this->packer, size);
	msgpack_pack_bin_body(&this->packer, bytes, size);
}

void note_writer_add(note_writer_t *this, const message_entry_t *note, instant_t now)
{
	fields_t fields = {.value = {note->kind}, .count = 1};

	switch (note->kind) {
	case ENTRY_SLOT_REQUEST:
		put_ask(&fields, &note->ask, now);
		break;
	case ENTRY_HELD_SLOT:
		put_place(&fields, &note->place);
		break;
	case ENTRY_SERVED_TOKENS:
		put(&fields, note->pool);
		put(&fields, note->workspace);
		put(&fields, note->tokens);
		break;
	case ENTRY_SLOT_USAGE:
		put(&fields, note->pool);
		put(&fields, note->fill.slots);
		put(&fields, note->fill.taken);
		break;
	case ENTRY_ROW_VERSION:
	case ENTRY_ROW_REQUEST:
		put(&fields, note->table);
		put(&fields, (int64_t)note->version);
		break;
	case ENTRY_ROW_CHUNK:
		put_piece(&fields, note);
		write_fields(this, &fields);
		write_bytes(this, note->key, strlen(note->key) + 1);
		write_bytes(this, note->bytes, note->size);
		return;
	default:
		put(&fields, (int64_t)note->ticket);
		put(&fields, note->engine);
		put(&fields, note->value);
		put(&fields, note->source);
		break;
	}
	write_fields(this, &fields);
}

bool note_writer_is_full(const note_writer_t *this)
{
	return note_writer_room(this) < NOTE_MOST_BYTES;
}

size_t note_writer_room(const note_writer_t *this)
{
	return this->buffer.size < NOTE_MESSAGE_MAX ? NOTE_MESSAGE_MAX - this->buffer.size : 0;
}

const char *note_writer_bytes(const note_writer_t *this, size_t *size)
{
	*size = this->buffer.size;
	return this->buffer.data;
}

/* --- reading ------------------------------------------------------------ */

static uint8_t next_byte(const note_reader_t *this)
{
	return this->at < this->size ? (uint8_t)this->data[this->at] : WIRE_NIL;
}

/* The head of a list; -1 when it is none, or claims more fields than any note has. */
static int read_list_head(note_reader_t *this)
{
	uint8_t byte = next_byte(this);

	if (byte >= WIRE_LIST && byte < WIRE_LIST + 16) {
		this->at++;
		return byte - WIRE_LIST;
	}
	if (byte != WIRE_LIST_16 || this->size - this->at < 3)
		return -1;
	this->at += 3;
	return (uint8_t)this->data[this->at - 2] << 8 | (uint8_t)this->data[this->at - 1];
}

static bool is_integer(uint8_t byte)
{
	return byte < WIRE_SMALL || byte >= WIRE_NEGATIVE ||
	       (byte >= WIRE_INTEGERS && byte < WIRE_INTEGERS + 8);
}

static bool unpack(note_reader_t *this, msgpack_unpacked *unpacked)
{
	return msgpack_unpack_next(unpacked, this->data, this->size, &this->at) ==
	       MSGPACK_UNPACK_SUCCESS;
}

/* Value by value: the library would take the memory that a list only claims. */
static bool read_fields(note_reader_t *this, fields_t *fields)
{
	int count = read_list_head(this);

	*fields = (fields_t){0};
	if (count < 1 || count > MAX_FIELDS)
		return false;
	for (int i = 0; i < count; i++) {
		if (!is_integer(next_byte(this)) || !unpack(this, &this->unpacked))
			return false;
		fields->value[fields->count++] = this->unpacked.data.via.i64;
	}
	return true;
}

note_reader_t *note_reader_new(const char *data, size_t size, message_header_t *head)
{
	note_reader_t *this = calloc(1, sizeof(*this));
	fields_t fields;

	if (!this)
		abort();
	this->data = data;
	this->size = size;
	msgpack_unpacked_init(&this->unpacked);
	msgpack_unpacked_init(&this->key);
	msgpack_unpacked_init(&this->piece);
	if (!read_fields(this, &fields) || fields.count != HEAD_FIELDS ||
		fields.value[0] != WIRE_VERSION) {
		note_reader_delete(this);
		return NULL;
	}
	*head = (message_header_t){
		.from = (id_t32)fields.value[1],
		.incarnation = (uint64_t)fields.value[2],
		.seq = (uint64_t)fields.value[3],
		.stopping = fields.value[4] != 0,
	};
	return this;
}

static int64_t get(fields_t *this)
{
	return this->next < this->count ? this->value[this->next++] : 0;
}

static instant_t instant_of(int64_t left, instant_t now)
{
	if (left == NEVER_US)
		return INSTANT_NEVER;
	return now + (left > 0 ? (uint64_t)left : 0);
}

static bool get_ask(fields_t *fields, slot_request_t *ask, instant_t now)
{
	unsigned int parts;
	int64_t flags;

	ask->ticket = (uint64_t)get(fields);
	ask->pool = (id_t32)get(fields);
	ask->workspace = (id_t32)get(fields);
	ask->avoid = (id_t32)get(fields);
	ask->request_fingerprint = (uint32_t)get(fields);
	ask->first_token_deadline = instant_of(get(fields), now);
	ask->deadline = instant_of(get(fields), now);
	flags = get(fields);
	ask->is_late = flags & 1;
	ask->must_queue = flags & 2;
	ask->work.prompt = (uint32_t)get(fields);
	ask->work.answer = (uint32_t)get(fields);
	parts = (fields->count - fields->next) / 2;
	if (parts > PROMPT_MAX_PARTS)
		return false;
	ask->work.chain.count = parts;
	for (unsigned int i = 0; i < parts; i++) {
		ask->work.chain.hash[i] = (uint64_t)get(fields);
		ask->work.chain.tokens[i] = (uint32_t)get(fields);
	}
	return true;
}

static void get_place(fields_t *fields, held_slot_t *place)
{
	place->ticket = (uint64_t)get(fields);
	place->engine = (id_t32)get(fields);
	place->workspace = (id_t32)get(fields);
	place->prompt = (uint32_t)get(fields);
	place->answer = (uint32_t)get(fields);
	place->prefill_done = get(fields) != 0;
}

/* Bytes within the message's own memory; false when the next value is none. */
static bool read_bytes(
	note_reader_t *this, msgpack_unpacked *unpacked, const char **bytes, uint32_t *size)
{
	uint8_t byte = next_byte(this);

	if (byte < WIRE_BYTES || byte >= WIRE_BYTES + 3 || !unpack(this, unpacked))
		return false;
	*bytes = unpacked->data.via.bin.ptr;
	*size = unpacked->data.via.bin.size;
	return true;
}

static bool get_piece(note_reader_t *this, fields_t *fields, message_entry_t *note)
{
	uint32_t key_size;

	note->table = (unsigned int)get(fields);
	note->version = (uint64_t)get(fields);
	note->offset = (uint32_t)get(fields);
	note->whole = (uint32_t)get(fields);
	note->is_deleted = get(fields) != 0;
	note->value = (uint32_t)get(fields);
	if (!read_bytes(this, &this->key, &note->key, &key_size) ||
		!read_bytes(this, &this->piece, &note->bytes, &note->size))
		return false;
	if (!key_size || note->key[key_size - 1] || strlen(note->key) + 1 != key_size)
		return false;
	return note->offset <= note->whole && note->size <= note->whole - note->offset;
}

bool note_reader_next(note_reader_t *this, message_entry_t *note, instant_t now)
{
	fields_t fields;
	int64_t kind;

	if (this->at >= this->size || !read_fields(this, &fields))
		return false;
	kind = get(&fields);
	if (kind < 0 || kind >= ENTRY_KINDS)
		return false;
	*note = (message_entry_t){.kind = (entry_kind_t)kind};
	switch (note->kind) {
	case ENTRY_SLOT_REQUEST:
		return get_ask(&fields, &note->ask, now);
	case ENTRY_HELD_SLOT:
		get_place(&fields, &note->place);
		return true;
	case ENTRY_SERVED_TOKENS:
		note->pool = (id_t32)get(&fields);
		note->workspace = (id_t32)get(&fields);
		note->tokens = (int32_t)get(&fields);
		return true;
	case ENTRY_SLOT_USAGE:
		note->pool = (id_t32)get(&fields);
		note->fill.slots = (unsigned int)get(&fields);
		note->fill.taken = (unsigned int)get(&fields);
		return true;
	case ENTRY_ROW_VERSION:
	case ENTRY_ROW_REQUEST:
		note->table = (unsigned int)get(&fields);
		note->version = (uint64_t)get(&fields);
		return true;
	case ENTRY_ROW_CHUNK:
		return get_piece(this, &fields, note);
	default:
		note->ticket = (uint64_t)get(&fields);
		note->engine = (id_t32)get(&fields);
		note->value = (uint32_t)get(&fields);
		note->source = (id_t32)get(&fields);
		return true;
	}
}

void note_reader_delete(note_reader_t *this)
{
	msgpack_unpacked_destroy(&this->unpacked);
	msgpack_unpacked_destroy(&this->key);
	msgpack_unpacked_destroy(&this->piece);
	free(this);
}
