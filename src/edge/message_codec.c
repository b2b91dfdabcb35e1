#include "edge/message_codec.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_FIELDS 9
#define SECTIONS 7
#define DEMAND_FIELDS (3 + WORK_CLASSES)
#define HELD_SLOT_FIELDS 5
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

	if (this->used + size > MESSAGE_CODEC_MAX_BYTES)
		abort(); /* unreachable: the section limits keep messages smaller */
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

static void pack_demand(msgpack_packer *packer, const message_t *m)
{
	msgpack_pack_array(packer, (size_t)m->demands.count * DEMAND_FIELDS);
	for (unsigned int i = 0; i < m->demands.count; i++) {
		const demand_entry_t *e = &m->demands.entry[i];

		PACK(e->pool, e->workspace);
		for (int c = 0; c < WORK_CLASSES; c++)
			msgpack_pack_uint32(packer, e->waiting[c]);
		PACK(e->backlogged);
	}
}

static void pack_held_slots(msgpack_packer *packer, const message_t *m)
{
	msgpack_pack_array(packer, (size_t)m->holds.count * HELD_SLOT_FIELDS);
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
	msgpack_pack_array(packer, HEADER_FIELDS + SECTIONS);
	PACK(MESSAGE_VERSION, m->from, m->incarnation, m->seq, m->grant_ack, m->ack_incarnation,
		m->grant_seq, m->config_version, m->flags);
	pack_demand(packer, m);
	pack_held_slots(packer, m);
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

static bool unpack_header(const msgpack_object *at, message_t *m)
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

/* Returns a section's number of entries; -1 if `object` is not a valid section. */
static int section_count(const msgpack_object *object, unsigned int fields)
{
	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size % fields)
		return -1;
	if (object->via.array.size / fields > MESSAGE_MAX_ENTRIES)
		return -1;
	return (int)(object->via.array.size / fields);
}

typedef bool (*unpack_entry_t)(const msgpack_object *at, void *entry);

static bool unpack_demand(const msgpack_object *at, void *entry)
{
	demand_entry_t *e = entry;

	for (int c = 0; c < WORK_CLASSES; c++) {
		if (!get_u32(&at[2 + c], &e->waiting[c]))
			return false;
	}
	return get_u32(&at[0], &e->pool) && get_u32(&at[1], &e->workspace) &&
	       get_u32(&at[2 + WORK_CLASSES], &e->backlogged);
}

static bool unpack_held_slots(const msgpack_object *at, void *entry)
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
	int entry_count = section_count(object, fields);

	if (entry_count < 0)
		return false;
	*count = (unsigned int)entry_count;
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

	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != HEADER_FIELDS + SECTIONS)
		return false;
	at = root->via.array.ptr + HEADER_FIELDS;
	return unpack_header(root->via.array.ptr, m) &&
	       UNPACK(&at[0], DEMAND_FIELDS, m->demands, unpack_demand) &&
	       UNPACK(&at[1], HELD_SLOT_FIELDS, m->holds, unpack_held_slots) &&
	       UNPACK(&at[2], GRANT_FIELDS, m->grants, unpack_grant) &&
	       UNPACK(&at[3], SERVED_FIELDS, m->served, unpack_served) &&
	       UNPACK(&at[4], SERVED_FIELDS, m->prior_served, unpack_served) &&
	       UNPACK(&at[5], POOL_FIELDS, m->pools, unpack_pool) &&
	       UNPACK(&at[6], LEAVING_FIELDS, m->leaving, unpack_leaving);
}

/*
 * Returns the size in bytes of the number or array header that starts with
 * `tag`; 0 for msgpack types that messages do not contain.
 */
static size_t value_size(uint8_t tag)
{
	if (tag <= 0x7f || (tag >= 0x90 && tag <= 0x9f))
		return 1; /* number below 128, array of up to 15 elements */
	if (tag >= 0xcc && tag <= 0xcf)
		return 1 + ((size_t)1 << (tag - 0xcc)); /* number of 1 to 8 bytes */
	return tag == 0xdc ? 3 : 0;			/* array of up to 65535 elements */
}

/*
 * Accepts only numbers and arrays, and no array header that claims more
 * elements than the message has bytes: msgpack allocates the claimed number of
 * elements before it reads them.
 */
static bool is_safe_to_unpack(const uint8_t *data, size_t size)
{
	size_t at = 0;

	while (at < size) {
		size_t value = value_size(data[at]);

		if (!value || at + value > size)
			return false;
		if (data[at] == 0xdc && (size_t)(data[at + 1] << 8 | data[at + 2]) > size)
			return false;
		at += value;
	}
	return true;
}

bool message_decode(const char *data, size_t size, message_t *message)
{
	msgpack_unpacked unpacked;
	size_t used = 0;
	bool valid;

	if (size > MESSAGE_CODEC_MAX_BYTES || !is_safe_to_unpack((const uint8_t *)data, size))
		return false;
	memset(message, 0, sizeof(*message));
	msgpack_unpacked_init(&unpacked);
	valid = msgpack_unpack_next(&unpacked, data, size, &used) == MSGPACK_UNPACK_SUCCESS &&
		used == size && unpack_all(&unpacked.data, message);
	msgpack_unpacked_destroy(&unpacked);
	return valid;
}
