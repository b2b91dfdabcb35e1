#include "edge/message_codec.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define HEAD_FIELDS 9
#define SECTIONS 7
#define ASK_FIELDS (3 + WORK_CLASSES)
#define HOLD_FIELDS 5
#define GRANT_FIELDS 4
#define SERVED_FIELDS 3
#define POOL_FIELDS 3
#define LEAVING_FIELDS 1

typedef struct output {
	char *buffer;
	size_t used;
} output_t;

static int output_write(void *ctx, const char *data, size_t size)
{
	output_t *this = ctx;

	if (this->used + size > MESSAGE_CODEC_MAX)
		abort(); /* the bounds of message_t keep it below */
	memcpy(this->buffer + this->used, data, size);
	this->used += size;
	return 0;
}

static void pack_numbers(msgpack_packer *packer, const uint64_t *numbers, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++)
		msgpack_pack_uint64(packer, numbers[i]);
}

#define PACK(...)                                                                                  \
	do {                                                                                       \
		const uint64_t numbers[] = {__VA_ARGS__};                                          \
		pack_numbers(packer, numbers, ARRAY_LEN(numbers));                                 \
	} while (0)

static void pack_asks(msgpack_packer *packer, const message_t *m)
{
	msgpack_pack_array(packer, (size_t)m->asks.count * ASK_FIELDS);
	for (unsigned int i = 0; i < m->asks.count; i++) {
		const demand_entry_t *e = &m->asks.entry[i];

		PACK(e->pool, e->workspace);
		for (int c = 0; c < WORK_CLASSES; c++)
			msgpack_pack_uint32(packer, e->waiting[c]);
		PACK(e->backlogged);
	}
}

static void pack_holds(msgpack_packer *packer, const message_t *m)
{
	msgpack_pack_array(packer, (size_t)m->holds.count * HOLD_FIELDS);
	for (unsigned int i = 0; i < m->holds.count; i++) {
		const hold_entry_t *e = &m->holds.entry[i];

		PACK(e->replica, e->held, e->idle, e->held_long, e->pace);
	}
}

static void pack_grants(msgpack_packer *packer, const message_t *m)
{
	msgpack_pack_array(packer, (size_t)m->grants.count * GRANT_FIELDS);
	for (unsigned int i = 0; i < m->grants.count; i++) {
		const grant_entry_t *e = &m->grants.entry[i];

		PACK(e->replica, e->workspace, e->work_class, e->count);
	}
}

static void pack_served(msgpack_packer *packer, const served_entry_t *entries, unsigned int count)
{
	msgpack_pack_array(packer, (size_t)count * SERVED_FIELDS);
	for (unsigned int i = 0; i < count; i++)
		PACK(entries[i].pool, entries[i].workspace, entries[i].cost);
}

static void pack_pools(msgpack_packer *packer, const message_t *m)
{
	msgpack_pack_array(packer, (size_t)m->pools.count * POOL_FIELDS);
	for (unsigned int i = 0; i < m->pools.count; i++) {
		const pool_entry_t *e = &m->pools.entry[i];

		PACK(e->pool, e->waiting, e->contended);
	}
}

static void pack_leaving(msgpack_packer *packer, const message_t *m)
{
	msgpack_pack_array(packer, m->leaving.count);
	for (unsigned int i = 0; i < m->leaving.count; i++)
		msgpack_pack_uint64(packer, m->leaving.entry[i]);
}

size_t message_encode(const message_t *message, char *buffer)
{
	output_t output = {buffer, 0};
	msgpack_packer storage;
	msgpack_packer *packer = &storage;
	const message_t *m = message;

	msgpack_packer_init(packer, &output, output_write);
	msgpack_pack_array(packer, HEAD_FIELDS + SECTIONS);
	PACK(MESSAGE_VERSION, m->from, m->incarnation, m->seq, m->grant_ack, m->ack_incarnation,
		m->grant_seq, m->config_version, m->flags);
	pack_asks(packer, m);
	pack_holds(packer, m);
	pack_grants(packer, m);
	pack_served(packer, m->served.entry, m->served.count);
	pack_served(packer, m->prior_served.entry, m->prior_served.count);
	pack_pools(packer, m);
	pack_leaving(packer, m);
	return output.used;
}

static bool get_number(const msgpack_object *object, uint64_t max, uint64_t *number)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
		return false;
	*number = object->via.u64;
	return true;
}

static bool get_u32(const msgpack_object *object, uint32_t *number)
{
	uint64_t wide;

	if (!get_number(object, UINT32_MAX, &wide))
		return false;
	*number = (uint32_t)wide;
	return true;
}

static bool unpack_head(const msgpack_object *at, message_t *m)
{
	uint64_t version;

	return get_number(&at[0], MESSAGE_VERSION, &version) && version == MESSAGE_VERSION &&
	       get_u32(&at[1], &m->from) && get_number(&at[2], UINT64_MAX, &m->incarnation) &&
	       get_number(&at[3], UINT64_MAX, &m->seq) &&
	       get_number(&at[4], UINT64_MAX, &m->grant_ack) &&
	       get_number(&at[5], UINT64_MAX, &m->ack_incarnation) &&
	       get_number(&at[6], UINT64_MAX, &m->grant_seq) &&
	       get_number(&at[7], UINT64_MAX, &m->config_version) && get_u32(&at[8], &m->flags);
}

/* The number of entries of a section, or -1 when it is no section. */
static int section_count(const msgpack_object *object, unsigned int fields)
{
	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size % fields)
		return -1;
	if (object->via.array.size / fields > MESSAGE_MAX_ENTRIES)
		return -1;
	return (int)(object->via.array.size / fields);
}

typedef bool (*unpack_entry_t)(const msgpack_object *at, void *entry);

static bool unpack_ask(const msgpack_object *at, void *entry)
{
	demand_entry_t *e = entry;

	for (int c = 0; c < WORK_CLASSES; c++) {
		if (!get_u32(&at[2 + c], &e->waiting[c]))
			return false;
	}
	return get_u32(&at[0], &e->pool) && get_u32(&at[1], &e->workspace) &&
	       get_u32(&at[2 + WORK_CLASSES], &e->backlogged);
}

static bool unpack_hold(const msgpack_object *at, void *entry)
{
	hold_entry_t *e = entry;

	return get_u32(&at[0], &e->replica) && get_u32(&at[1], &e->held) &&
	       get_u32(&at[2], &e->idle) && get_u32(&at[3], &e->held_long) &&
	       get_u32(&at[4], &e->pace);
}

static bool unpack_grant(const msgpack_object *at, void *entry)
{
	grant_entry_t *e = entry;

	return get_u32(&at[0], &e->replica) && get_u32(&at[1], &e->workspace) &&
	       get_u32(&at[2], &e->work_class) && e->work_class < WORK_CLASSES &&
	       get_u32(&at[3], &e->count);
}

static bool unpack_served(const msgpack_object *at, void *entry)
{
	served_entry_t *e = entry;

	return get_u32(&at[0], &e->pool) && get_u32(&at[1], &e->workspace) &&
	       get_number(&at[2], UINT64_MAX, &e->cost);
}

static bool unpack_pool(const msgpack_object *at, void *entry)
{
	pool_entry_t *e = entry;

	return get_u32(&at[0], &e->pool) && get_u32(&at[1], &e->waiting) &&
	       get_u32(&at[2], &e->contended);
}

static bool unpack_leaving(const msgpack_object *at, void *entry)
{
	return get_u32(at, entry);
}

static bool unpack_section(const msgpack_object *object, unsigned int fields, void *entries,
	size_t entry_size, unsigned int *count, unpack_entry_t unpack)
{
	int entries_there = section_count(object, fields);

	if (entries_there < 0)
		return false;
	*count = (unsigned int)entries_there;
	for (unsigned int i = 0; i < *count; i++) {
		if (!unpack(&object->via.array.ptr[i * fields], (char *)entries + i * entry_size))
			return false;
	}
	return true;
}

#define UNPACK(object, fields, section, unpack)                                                    \
	unpack_section(object, fields, (section).entry, sizeof((section).entry[0]),                \
		&(section).count, unpack)

static bool unpack_all(const msgpack_object *root, message_t *m)
{
	const msgpack_object *at;

	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != HEAD_FIELDS + SECTIONS)
		return false;
	at = root->via.array.ptr + HEAD_FIELDS;
	return unpack_head(root->via.array.ptr, m) &&
	       UNPACK(&at[0], ASK_FIELDS, m->asks, unpack_ask) &&
	       UNPACK(&at[1], HOLD_FIELDS, m->holds, unpack_hold) &&
	       UNPACK(&at[2], GRANT_FIELDS, m->grants, unpack_grant) &&
	       UNPACK(&at[3], SERVED_FIELDS, m->served, unpack_served) &&
	       UNPACK(&at[4], SERVED_FIELDS, m->prior_served, unpack_served) &&
	       UNPACK(&at[5], POOL_FIELDS, m->pools, unpack_pool) &&
	       UNPACK(&at[6], LEAVING_FIELDS, m->leaving, unpack_leaving);
}

/* Bytes of the item that begins with `head`, or 0 when messages have no such item. */
static size_t item_size(uint8_t head)
{
	if (head <= 0x7f || (head >= 0x90 && head <= 0x9f))
		return 1; /* small number, small array */
	if (head >= 0xcc && head <= 0xcf)
		return 1 + ((size_t)1 << (head - 0xcc)); /* number of 1 to 8 bytes */
	return head == 0xdc ? 3 : 0;			 /* array of up to 65535 */
}

/*
 * Numbers and arrays only, and no array that claims more items than there are
 * bytes: the library makes room for as many as are claimed before it reads them.
 */
static bool is_plain(const uint8_t *data, size_t size)
{
	size_t at = 0;

	while (at < size) {
		size_t item = item_size(data[at]);

		if (!item || at + item > size)
			return false;
		if (data[at] == 0xdc && (size_t)(data[at + 1] << 8 | data[at + 2]) > size)
			return false;
		at += item;
	}
	return true;
}

bool message_decode(const char *data, size_t size, message_t *message)
{
	msgpack_unpacked unpacked;
	size_t used = 0;
	bool good;

	if (size > MESSAGE_CODEC_MAX || !is_plain((const uint8_t *)data, size))
		return false;
	memset(message, 0, sizeof(*message));
	msgpack_unpacked_init(&unpacked);
	good = msgpack_unpack_next(&unpacked, data, size, &used) == MSGPACK_UNPACK_SUCCESS &&
	       used == size && unpack_all(&unpacked.data, message);
	msgpack_unpacked_destroy(&unpacked);
	return good;
}
