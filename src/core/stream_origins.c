#include "core/stream_origins.h"

#include <endian.h>
#include <string.h>
#include <urcu/list.h>

#include "core/allocator.h"

#define BUCKETS 4096
#define MAX_VERSIONS 64 /* of all services; beyond that each service counts as mixed */
#define MAX_NOTES 16	/* services; beyond that the oldest note is replaced */

typedef struct entry {
	struct cds_list_head link;   /* in its bucket */
	struct cds_list_head by_age; /* the oldest first */
	struct cds_list_head open;   /* that may be taken up, the oldest first */
	stream_origin_t origin;
	instant_t recorded_at;
	instant_t completed_at; /* INSTANT_NEVER: it goes on, or broke off */
} entry_t;

typedef struct known_version {
	service_version_t at;
	bool is_present;
	instant_t left_at; /* if it is not present */
} known_version_t;

/* Routers have saved streams of the service. */
typedef struct mixed_note {
	id_t32 service; /* 0: unused */
	instant_t until;
} mixed_note_t;

struct stream_origins {
	struct cds_list_head buckets[BUCKETS];
	struct cds_list_head by_age;
	struct cds_list_head open;
	unsigned int count;
	known_version_t versions[MAX_VERSIONS];
	unsigned int version_count;
	bool has_too_many_versions;
	mixed_note_t notes[MAX_NOTES];
};

stream_origins_t *stream_origins_new(void)
{
	stream_origins_t *this = allocator_new(&allocator_default, 1, sizeof(*this));

	for (unsigned int i = 0; i < BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&this->buckets[i]);
	CDS_INIT_LIST_HEAD(&this->by_age);
	CDS_INIT_LIST_HEAD(&this->open);
	return this;
}

static void remove_entry(stream_origins_t *this, entry_t *entry)
{
	cds_list_del(&entry->link);
	cds_list_del(&entry->by_age);
	cds_list_del(&entry->open);
	allocator_delete(&allocator_default, entry);
	this->count--;
}

void stream_origins_delete(stream_origins_t *this)
{
	if (!this)
		return;
	while (!cds_list_empty(&this->by_age))
		remove_entry(this, cds_list_first_entry(&this->by_age, entry_t, by_age));
	allocator_delete(&allocator_default, this);
}

/* --- records ------------------------------------------------------------ */

typedef struct record {
	uint64_t stream;
	uint32_t service;
	uint32_t version;
} record_t;

void stream_origin_encode(const stream_origin_t *this, char *record)
{
	record_t value = {
		.stream = htole64(this->stream),
		.service = htole32(this->service),
		.version = htole32(this->version),
	};

	memcpy(record, &value, sizeof(value));
}

stream_origin_t stream_origin_decode(const char *record)
{
	record_t value;

	memcpy(&value, record, sizeof(value));
	return (stream_origin_t){
		.stream = le64toh(value.stream),
		.service = le32toh(value.service),
		.version = le32toh(value.version),
	};
}

/* --- versions ----------------------------------------------------------- */

static bool is_same(const service_version_t *a, const service_version_t *b)
{
	return a->service == b->service && a->version == b->version;
}

static known_version_t *find_version(stream_origins_t *this, const service_version_t *at)
{
	for (unsigned int i = 0; i < this->version_count; i++) {
		if (is_same(&this->versions[i].at, at))
			return &this->versions[i];
	}
	return NULL;
}

static unsigned int count_versions(const stream_origins_t *this, id_t32 service, id_t32 *last)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->version_count; i++) {
		if (this->versions[i].at.service != service)
			continue;
		*last = this->versions[i].at.version;
		count++;
	}
	return count;
}

static void add_version(stream_origins_t *this, const service_version_t *at)
{
	if (this->version_count == MAX_VERSIONS) {
		this->has_too_many_versions = true;
		return;
	}
	this->versions[this->version_count++] = (known_version_t){.at = *at, .is_present = true};
}

static bool contains(const service_version_t *list, unsigned int count, const service_version_t *at)
{
	for (unsigned int i = 0; i < count; i++) {
		if (is_same(&list[i], at))
			return true;
	}
	return false;
}

void stream_origins_set_versions(
	stream_origins_t *this, const service_version_t *list, unsigned int count, instant_t now)
{
	for (unsigned int i = 0; i < this->version_count; i++) {
		known_version_t *known = &this->versions[i];
		bool is_present = contains(list, count, &known->at);

		if (known->is_present && !is_present)
			known->left_at = now;
		known->is_present = is_present;
	}
	for (unsigned int i = 0; i < count; i++) {
		if (!find_version(this, &list[i]))
			add_version(this, &list[i]);
	}
}

void stream_origins_note_mixed(stream_origins_t *this, id_t32 service, instant_t now)
{
	mixed_note_t *oldest = &this->notes[0];

	for (unsigned int i = 0; i < MAX_NOTES; i++) {
		mixed_note_t *note = &this->notes[i];

		if (note->service == service) {
			oldest = note;
			break;
		}
		if (note->until < oldest->until)
			oldest = note;
	}
	*oldest = (mixed_note_t){service, now + STREAM_ORIGINS_MEMORY};
}

static bool has_note(const stream_origins_t *this, id_t32 service)
{
	for (unsigned int i = 0; i < MAX_NOTES; i++) {
		if (this->notes[i].service == service)
			return true;
	}
	return false;
}

bool stream_origins_only_version(const stream_origins_t *this, id_t32 service, id_t32 *version)
{
	return !this->has_too_many_versions && !has_note(this, service) &&
	       count_versions(this, service, version) == 1;
}

bool stream_origins_service_is_mixed(const stream_origins_t *this, id_t32 service)
{
	id_t32 version;

	return this->has_too_many_versions || count_versions(this, service, &version) > 1;
}

unsigned int stream_origins_mixed_services(
	const stream_origins_t *this, id_t32 *services, unsigned int max)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->version_count && count < max; i++) {
		id_t32 service = this->versions[i].at.service;
		bool is_listed = false;

		for (unsigned int j = 0; j < count; j++)
			is_listed |= services[j] == service;
		if (!is_listed && stream_origins_service_is_mixed(this, service))
			services[count++] = service;
	}
	return count;
}

bool stream_origins_is_mixed(const stream_origins_t *this)
{
	id_t32 service;

	return stream_origins_mixed_services(this, &service, 1) > 0;
}

/* --- streams ------------------------------------------------------------ */

static struct cds_list_head *bucket_of(const stream_origins_t *this, uint64_t stream)
{
	return (struct cds_list_head *)&this->buckets[stream % BUCKETS];
}

static entry_t *find_entry(const stream_origins_t *this, id_t32 service, uint64_t stream)
{
	entry_t *entry;

	cds_list_for_each_entry (entry, bucket_of(this, stream), link) {
		if (entry->origin.stream == stream && entry->origin.service == service)
			return entry;
	}
	return NULL;
}

static entry_t *add_entry(stream_origins_t *this, const stream_origin_t *origin)
{
	entry_t *entry;

	if (this->count == STREAM_ORIGINS_MAX)
		remove_entry(this, cds_list_first_entry(&this->by_age, entry_t, by_age));
	entry = allocator_new(&allocator_default, 1, sizeof(*entry));
	cds_list_add(&entry->link, bucket_of(this, origin->stream));
	CDS_INIT_LIST_HEAD(&entry->by_age);
	CDS_INIT_LIST_HEAD(&entry->open);
	this->count++;
	return entry;
}

static void move_to_end(struct cds_list_head *link, struct cds_list_head *list)
{
	cds_list_del(link);
	cds_list_add_tail(link, list);
}

void stream_origins_record(stream_origins_t *this, const stream_origin_t *origin, instant_t now)
{
	entry_t *entry = find_entry(this, origin->service, origin->stream);

	if (!entry)
		entry = add_entry(this, origin);
	entry->origin = *origin;
	entry->recorded_at = now;
	entry->completed_at = INSTANT_NEVER;
	move_to_end(&entry->by_age, &this->by_age);
	move_to_end(&entry->open, &this->open);
}

void stream_origins_complete(stream_origins_t *this, id_t32 service, uint64_t stream, instant_t now)
{
	entry_t *entry = find_entry(this, service, stream);

	if (entry)
		entry->completed_at = now;
}

static bool is_open(const entry_t *entry, instant_t now)
{
	return entry->completed_at == INSTANT_NEVER ||
	       now < entry->completed_at + STREAM_ORIGINS_COMPLETE_MEMORY;
}

unsigned int stream_origins_list(
	const stream_origins_t *this, stream_origin_t *list, unsigned int max, instant_t now)
{
	unsigned int count = 0;
	const entry_t *entry;

	cds_list_for_each_entry_reverse (entry, &this->open, open) {
		if (count == max)
			break;
		if (is_open(entry, now) &&
			stream_origins_service_is_mixed(this, entry->origin.service))
			list[count++] = entry->origin;
	}
	return count;
}

bool stream_origins_find(
	const stream_origins_t *this, id_t32 service, uint64_t stream, id_t32 *version)
{
	const entry_t *entry = find_entry(this, service, stream);

	if (entry)
		*version = entry->origin.version;
	return entry != NULL;
}

/* A stream that was forwarded to its end, and is not to be listed any more; NULL: none. */
static entry_t *find_closed(const stream_origins_t *this, instant_t now)
{
	entry_t *entry;

	cds_list_for_each_entry (entry, &this->open, open) {
		if (!is_open(entry, now))
			return entry;
	}
	return NULL;
}

/* The streams stay remembered. */
static void unlist_closed(stream_origins_t *this, instant_t now)
{
	entry_t *entry;

	while ((entry = find_closed(this, now))) {
		cds_list_del(&entry->open);
		CDS_INIT_LIST_HEAD(&entry->open);
	}
}

static void forget_notes(stream_origins_t *this, instant_t now)
{
	for (unsigned int i = 0; i < MAX_NOTES; i++) {
		if (now >= this->notes[i].until)
			this->notes[i] = (mixed_note_t){0};
	}
}

void stream_origins_tick(stream_origins_t *this, instant_t now)
{
	forget_notes(this, now);
	unlist_closed(this, now);
	while (!cds_list_empty(&this->by_age)) {
		entry_t *oldest = cds_list_first_entry(&this->by_age, entry_t, by_age);

		if (now < oldest->recorded_at + STREAM_ORIGINS_MEMORY)
			break;
		remove_entry(this, oldest);
	}
	for (unsigned int i = this->version_count; i-- > 0;) {
		const known_version_t *known = &this->versions[i];

		if (known->is_present || now < known->left_at + STREAM_ORIGINS_MEMORY)
			continue;
		this->versions[i] = this->versions[--this->version_count];
		this->has_too_many_versions = false;
	}
}

unsigned int stream_origins_count(const stream_origins_t *this)
{
	return this->count;
}
