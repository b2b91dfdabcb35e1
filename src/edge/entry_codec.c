#include "edge/entry_codec.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define WIRE_VERSION 2
#define HEADER_FIELDS 5
#define MAX_FIELDS 24
#define NEVER_US INT64_MAX /* encodes INSTANT_NEVER */
/* First bytes of msgpack values. */
#define TAG_FIXINT_END 0x80 /* smaller bytes are integers from 0 to 127 */
#define TAG_FIXARRAY 0x90   /* to 0x9f: arrays of 0 to 15 elements */
#define TAG_NIL 0xc0
#define TAG_BIN_8 0xc4	/* then bin 16 and bin 32 */
#define TAG_UINT_8 0xcc /* first of the 8 sized integer types, up to int 64 */
#define TAG_ARRAY_16 0xdc
#define TAG_NEGATIVE_FIXINT 0xe0 /* to 0xff: integers from -32 to -1 */

struct entry_writer {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
};

struct entry_reader {
	const char *data;
	size_t size;
	size_t at;
	msgpack_unpacked unpacked;
	msgpack_unpacked key;
	msgpack_unpacked chunk;
};

/* An entry as numbers: its kind, then its fields. */
typedef struct fields {
	int64_t value[MAX_FIELDS];
	unsigned int count;
	unsigned int next;
} fields_t;

/* --- encoding ---------------------------------------------------------- */

entry_writer_t *entry_writer_new(void)
{
	entry_writer_t *this = calloc(1, sizeof(*this));

	if (!this)
		abort();
	msgpack_sbuffer_init(&this->buffer);
	msgpack_packer_init(&this->packer, &this->buffer, msgpack_sbuffer_write);
	return this;
}

void entry_writer_delete(entry_writer_t *this)
{
	if (!this)
		return;
	msgpack_sbuffer_destroy(&this->buffer);
	free(this);
}

static void write_fields(entry_writer_t *this, const fields_t *fields)
{
	msgpack_pack_array(&this->packer, fields->count);
	for (unsigned int i = 0; i < fields->count; i++)
		msgpack_pack_int64(&this->packer, fields->value[i]);
}

void entry_writer_begin(entry_writer_t *this, const message_header_t *header)
{
	fields_t fields = {
		.value = {WIRE_VERSION, header->from, (int64_t)header->incarnation,
			(int64_t)header->seq, header->stopping},
		.count = HEADER_FIELDS,
	};

	msgpack_sbuffer_clear(&this->buffer);
	write_fields(this, &fields);
}

static void put_field(fields_t *this, int64_t value)
{
	this->value[this->count++] = value;
}

static int64_t time_left(instant_t at, instant_t now)
{
	return at == INSTANT_NEVER ? NEVER_US : (int64_t)instant_left(at, now);
}

static int64_t put_duration(uint64_t duration)
{
	return duration < NEVER_US ? (int64_t)duration : NEVER_US;
}

/*
 * The fields of a slot request that have 32 bits at most carry a region each in their upper half,
 * which routers of earlier builds do not read.  The last of them is the version, after the parts.
 */
static const unsigned int region_fields[] = {2, 3, 4, 5, 8, 9, 10};

_Static_assert(REGION_SET_MAX == ARRAY_LEN(region_fields) + 1, "a field for each region");

#define FLAG_LATE 1
#define FLAG_MUST_QUEUE 2
#define FLAG_RESTRICTED 4 /* to the regions that the request names */
#define REGION_SHIFT 32

static int64_t request_flags(const slot_request_t *request)
{
	return (request->is_late ? FLAG_LATE : 0) | (request->must_queue ? FLAG_MUST_QUEUE : 0) |
	       (request->regions.restricted ? FLAG_RESTRICTED : 0);
}

static int64_t with_region(int64_t field, id_t32 region)
{
	return (int64_t)((uint64_t)field | (uint64_t)region << REGION_SHIFT);
}

static void put_regions(fields_t *fields, const region_set_t *regions)
{
	for (unsigned int i = 0; i < regions->count; i++) {
		unsigned int at =
			i < ARRAY_LEN(region_fields) ? region_fields[i] : fields->count - 1;

		fields->value[at] = with_region(fields->value[at], regions->regions[i]);
	}
}

static void put_slot_request(fields_t *fields, const slot_request_t *request, instant_t now)
{
	put_field(fields, (int64_t)request->ticket);
	put_field(fields, request->pool);
	put_field(fields, request->workspace);
	put_field(fields, request->avoid);
	put_field(fields, request->request_fingerprint);
	put_field(fields, time_left(request->first_token_deadline, now));
	put_field(fields, time_left(request->deadline, now));
	put_field(fields, request_flags(request));
	put_field(fields, request->work.prompt);
	put_field(fields, request->work.answer);
	for (unsigned int i = 0; i < request->work.chain.count; i++) {
		put_field(fields, (int64_t)request->work.chain.hash[i]);
		put_field(fields, request->work.chain.tokens[i]);
	}
	/* One field more than pairs: routers of earlier builds do not read it. */
	if (request->version || request->regions.restricted)
		put_field(fields, request->version);
	put_regions(fields, &request->regions);
}

static void put_held_slot(fields_t *fields, const held_slot_t *slot)
{
	put_field(fields, (int64_t)slot->ticket);
	put_field(fields, slot->engine);
	put_field(fields, slot->workspace);
	put_field(fields, slot->prompt);
	put_field(fields, slot->answer);
	put_field(fields, slot->prefill_done);
}

static void put_row_chunk(fields_t *fields, const message_entry_t *entry)
{
	put_field(fields, entry->table);
	put_field(fields, (int64_t)entry->version);
	put_field(fields, entry->offset);
	put_field(fields, entry->total_size);
	put_field(fields, entry->is_deleted);
	put_field(fields, entry->value);
	put_field(fields, (int64_t)entry->era);
	put_field(fields, entry->row_count);
}

static void put_engine_state(fields_t *fields, const message_entry_t *entry)
{
	const engine_state_report_t *state = &entry->engine_state;

	put_field(fields, entry->engine);
	put_field(fields, put_duration(state->cold_left));
	put_field(fields, put_duration(state->cold_age));
	put_field(fields, state->cold_pace);
	put_field(fields, state->prefill_token_ns);
	put_field(fields, state->decode_step_us);
	put_field(fields, state->speed_samples);
	put_field(fields, put_duration(state->speed_age));
}

/* Fields that routers of earlier versions neither send nor read. */
static void put_late_fields(fields_t *fields, const message_entry_t *entry)
{
	if (entry->kind == ENTRY_END)
		put_field(fields, entry->pause_ms);
	if (entry->kind != ENTRY_PART_END)
		return;
	put_field(fields, entry->occasions);
	put_field(fields, entry->is_whole);
}

static void write_bytes(entry_writer_t *this, const char *bytes, size_t size)
{
	msgpack_pack_bin(&this->packer, size);
	msgpack_pack_bin_body(&this->packer, bytes, size);
}

void entry_writer_add(entry_writer_t *this, const message_entry_t *entry, instant_t now)
{
	fields_t fields = {.value = {entry->kind}, .count = 1};

	switch (entry->kind) {
	case ENTRY_SLOT_REQUEST:
		put_slot_request(&fields, &entry->slot_request, now);
		break;
	case ENTRY_HELD_SLOT:
		put_held_slot(&fields, &entry->held_slot);
		break;
	case ENTRY_SERVED_TOKENS:
		put_field(&fields, entry->pool);
		put_field(&fields, entry->workspace);
		put_field(&fields, entry->tokens);
		break;
	case ENTRY_SLOT_USAGE:
		put_field(&fields, entry->pool);
		put_field(&fields, entry->usage.slots);
		put_field(&fields, entry->usage.taken);
		put_field(&fields, entry->usage.reading_ms);
		put_field(&fields, entry->usage.prefill_token_ns);
		break;
	case ENTRY_ENGINE_STATE:
		put_engine_state(&fields, entry);
		break;
	case ENTRY_RECEIPT:
	case ENTRY_STREAMS_SAVED:
		put_field(&fields, (int64_t)entry->ticket);
		put_field(&fields, (int64_t)entry->version);
		break;
	case ENTRY_STREAMS:
		put_field(&fields, (int64_t)entry->ticket);
		write_fields(this, &fields);
		write_bytes(this, entry->bytes, entry->size);
		return;
	case ENTRY_ROW_VERSION:
	case ENTRY_ROW_REQUEST:
		put_field(&fields, entry->table);
		put_field(&fields, (int64_t)entry->version);
		put_field(&fields, (int64_t)entry->era);
		break;
	case ENTRY_ROW_CHUNK:
		put_row_chunk(&fields, entry);
		write_fields(this, &fields);
		write_bytes(this, entry->key, strlen(entry->key) + 1);
		write_bytes(this, entry->bytes, entry->size);
		return;
	default:
		put_field(&fields, (int64_t)entry->ticket);
		put_field(&fields, entry->engine);
		put_field(&fields, entry->value);
		put_field(&fields, entry->source);
		put_late_fields(&fields, entry);
		break;
	}
	write_fields(this, &fields);
}

bool entry_writer_is_full(const entry_writer_t *this)
{
	return entry_writer_bytes_left(this) < ENTRY_MAX_BYTES;
}

size_t entry_writer_bytes_left(const entry_writer_t *this)
{
	return this->buffer.size < ENTRY_CODEC_MAX_BYTES ? ENTRY_CODEC_MAX_BYTES - this->buffer.size
							 : 0;
}

const char *entry_writer_data(const entry_writer_t *this, size_t *size)
{
	*size = this->buffer.size;
	return this->buffer.data;
}

/* --- decoding ----------------------------------------------------------- */

static uint8_t next_byte(const entry_reader_t *this)
{
	return this->at < this->size ? (uint8_t)this->data[this->at] : TAG_NIL;
}

/* Reads an array header; returns the element count, -1 if the next value is not an array. */
static int read_array_header(entry_reader_t *this)
{
	uint8_t byte = next_byte(this);

	if (byte >= TAG_FIXARRAY && byte < TAG_FIXARRAY + 16) {
		this->at++;
		return byte - TAG_FIXARRAY;
	}
	if (byte != TAG_ARRAY_16 || this->size - this->at < 3)
		return -1;
	this->at += 3;
	return (uint8_t)this->data[this->at - 2] << 8 | (uint8_t)this->data[this->at - 1];
}

static bool is_integer(uint8_t byte)
{
	return byte < TAG_FIXINT_END || byte >= TAG_NEGATIVE_FIXINT ||
	       (byte >= TAG_UINT_8 && byte < TAG_UINT_8 + 8);
}

static bool unpack(entry_reader_t *this, msgpack_unpacked *unpacked)
{
	return msgpack_unpack_next(unpacked, this->data, this->size, &this->at) ==
	       MSGPACK_UNPACK_SUCCESS;
}

/*
 * Unpacks the numbers one by one: given the whole array, msgpack would allocate
 * as many elements as its header claims, whether or not they follow.
 */
static bool read_fields(entry_reader_t *this, fields_t *fields)
{
	int count = read_array_header(this);

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

entry_reader_t *entry_reader_new(const char *data, size_t size, message_header_t *header)
{
	entry_reader_t *this = calloc(1, sizeof(*this));
	fields_t fields;

	if (!this)
		abort();
	this->data = data;
	this->size = size;
	msgpack_unpacked_init(&this->unpacked);
	msgpack_unpacked_init(&this->key);
	msgpack_unpacked_init(&this->chunk);
	if (!read_fields(this, &fields) || fields.count != HEADER_FIELDS ||
		fields.value[0] != WIRE_VERSION) {
		entry_reader_delete(this);
		return NULL;
	}
	*header = (message_header_t){
		.from = (id_t32)fields.value[1],
		.incarnation = (uint64_t)fields.value[2],
		.seq = (uint64_t)fields.value[3],
		.stopping = fields.value[4] != 0,
	};
	return this;
}

/* Returns the next field; 0 after the last one. */
static int64_t get_field(fields_t *this)
{
	return this->next < this->count ? this->value[this->next++] : 0;
}

static instant_t instant_from_time_left(int64_t left, instant_t now)
{
	if (left == NEVER_US)
		return INSTANT_NEVER;
	return now + (left > 0 ? (uint64_t)left : 0);
}

static void add_region(region_set_t *regions, int64_t field)
{
	id_t32 region = (id_t32)((uint64_t)field >> REGION_SHIFT);

	if (region)
		region_set_add(regions, region);
}

static void get_regions(const fields_t *fields, region_set_t *regions)
{
	*regions = (region_set_t){.restricted = true};
	for (unsigned int i = 0; i < ARRAY_LEN(region_fields); i++)
		add_region(regions, fields->value[region_fields[i]]);
	add_region(regions, fields->value[fields->count - 1]);
}

static bool get_slot_request(fields_t *fields, slot_request_t *request, instant_t now)
{
	unsigned int parts;
	int64_t flags;

	request->ticket = (uint64_t)get_field(fields);
	request->pool = (id_t32)get_field(fields);
	request->workspace = (id_t32)get_field(fields);
	request->avoid = (id_t32)get_field(fields);
	request->request_fingerprint = (uint32_t)get_field(fields);
	request->first_token_deadline = instant_from_time_left(get_field(fields), now);
	request->deadline = instant_from_time_left(get_field(fields), now);
	flags = get_field(fields);
	request->is_late = flags & FLAG_LATE;
	request->must_queue = flags & FLAG_MUST_QUEUE;
	request->work.prompt = (uint32_t)get_field(fields);
	request->work.answer = (uint32_t)get_field(fields);
	parts = (fields->count - fields->next) / 2;
	if (parts > PROMPT_MAX_PARTS)
		return false;
	request->work.chain.count = parts;
	for (unsigned int i = 0; i < parts; i++) {
		request->work.chain.hash[i] = (uint64_t)get_field(fields);
		request->work.chain.tokens[i] = (uint32_t)get_field(fields);
	}
	request->version = (id_t32)get_field(fields);
	if (flags & FLAG_RESTRICTED)
		get_regions(fields, &request->regions);
	return true;
}

static void get_held_slot(fields_t *fields, held_slot_t *slot)
{
	slot->ticket = (uint64_t)get_field(fields);
	slot->engine = (id_t32)get_field(fields);
	slot->workspace = (id_t32)get_field(fields);
	slot->prompt = (uint32_t)get_field(fields);
	slot->answer = (uint32_t)get_field(fields);
	slot->prefill_done = get_field(fields) != 0;
}

/* Reads a binary value as a pointer into the message; false if the next value is not binary. */
static bool read_bytes(
	entry_reader_t *this, msgpack_unpacked *unpacked, const char **bytes, uint32_t *size)
{
	uint8_t byte = next_byte(this);

	if (byte < TAG_BIN_8 || byte >= TAG_BIN_8 + 3 || !unpack(this, unpacked))
		return false;
	*bytes = unpacked->data.via.bin.ptr;
	*size = unpacked->data.via.bin.size;
	return true;
}

static bool get_row_chunk(entry_reader_t *this, fields_t *fields, message_entry_t *entry)
{
	uint32_t key_size;

	entry->table = (unsigned int)get_field(fields);
	entry->version = (uint64_t)get_field(fields);
	entry->offset = (uint32_t)get_field(fields);
	entry->total_size = (uint32_t)get_field(fields);
	entry->is_deleted = get_field(fields) != 0;
	entry->value = (uint32_t)get_field(fields);
	entry->era = (uint64_t)get_field(fields);
	entry->row_count = (uint32_t)get_field(fields);
	if (!read_bytes(this, &this->key, &entry->key, &key_size) ||
		!read_bytes(this, &this->chunk, &entry->bytes, &entry->size))
		return false;
	if (!key_size || entry->key[key_size - 1] || strlen(entry->key) + 1 != key_size)
		return false;
	return entry->offset <= entry->total_size &&
	       entry->size <= entry->total_size - entry->offset;
}

static uint64_t get_duration(fields_t *fields)
{
	int64_t duration = get_field(fields);

	if (duration == NEVER_US)
		return UINT64_MAX;
	return duration > 0 ? (uint64_t)duration : 0;
}

static void get_engine_state(fields_t *fields, message_entry_t *entry)
{
	engine_state_report_t *state = &entry->engine_state;

	entry->engine = (id_t32)get_field(fields);
	state->cold_left = get_duration(fields);
	state->cold_age = get_duration(fields);
	state->cold_pace = (uint32_t)get_field(fields);
	state->prefill_token_ns = (uint32_t)get_field(fields);
	state->decode_step_us = (uint32_t)get_field(fields);
	state->speed_samples = (uint32_t)get_field(fields);
	state->speed_age = get_duration(fields);
}

bool entry_reader_next(entry_reader_t *this, message_entry_t *entry, instant_t now)
{
	fields_t fields;
	int64_t kind;

	if (this->at >= this->size || !read_fields(this, &fields))
		return false;
	kind = get_field(&fields);
	if (kind < 0 || kind >= ENTRY_KINDS)
		return false;
	*entry = (message_entry_t){.kind = (entry_kind_t)kind};
	switch (entry->kind) {
	case ENTRY_SLOT_REQUEST:
		return get_slot_request(&fields, &entry->slot_request, now);
	case ENTRY_HELD_SLOT:
		get_held_slot(&fields, &entry->held_slot);
		return true;
	case ENTRY_SERVED_TOKENS:
		entry->pool = (id_t32)get_field(&fields);
		entry->workspace = (id_t32)get_field(&fields);
		entry->tokens = (int32_t)get_field(&fields);
		return true;
	case ENTRY_SLOT_USAGE:
		entry->pool = (id_t32)get_field(&fields);
		entry->usage.slots = (unsigned int)get_field(&fields);
		entry->usage.taken = (unsigned int)get_field(&fields);
		entry->usage.reading_ms = (unsigned int)get_field(&fields);
		entry->usage.prefill_token_ns = (uint32_t)get_field(&fields);
		return true;
	case ENTRY_ENGINE_STATE:
		get_engine_state(&fields, entry);
		return true;
	case ENTRY_RECEIPT:
	case ENTRY_STREAMS_SAVED:
		entry->ticket = (uint64_t)get_field(&fields);
		entry->version = (uint64_t)get_field(&fields);
		return true;
	case ENTRY_STREAMS:
		entry->ticket = (uint64_t)get_field(&fields);
		return read_bytes(this, &this->chunk, &entry->bytes, &entry->size);
	case ENTRY_ROW_VERSION:
	case ENTRY_ROW_REQUEST:
		entry->table = (unsigned int)get_field(&fields);
		entry->version = (uint64_t)get_field(&fields);
		entry->era = (uint64_t)get_field(&fields);
		return true;
	case ENTRY_ROW_CHUNK:
		return get_row_chunk(this, &fields, entry);
	default:
		entry->ticket = (uint64_t)get_field(&fields);
		entry->engine = (id_t32)get_field(&fields);
		entry->value = (uint32_t)get_field(&fields);
		entry->source = (id_t32)get_field(&fields);
		if (entry->kind == ENTRY_END) {
			entry->pause_ms = (uint32_t)get_field(&fields);
			return true;
		}
		entry->occasions = (uint32_t)get_field(&fields);
		entry->is_whole = get_field(&fields) != 0;
		return true;
	}
}

void entry_reader_delete(entry_reader_t *this)
{
	msgpack_unpacked_destroy(&this->unpacked);
	msgpack_unpacked_destroy(&this->key);
	msgpack_unpacked_destroy(&this->chunk);
	free(this);
}
