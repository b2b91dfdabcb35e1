#include "core/stream_origins.h"

#include <urcu/list.h>

#include "core/allocator.h"

#define BUCKETS 4096
#define MAX_VERSIONS 64 /* of all services; beyond that each service counts as mixed */
#define MAX_NOTES 16	/* services; beyond that the oldest note is replaced */

typedef struct entry {
	struct cds_list_head link;    /* in its bucket */
	struct cds_list_head by_age;  /* the oldest first */
	struct cds_list_head unsaved; /* empty: saved, or not to be saved */
	stream_origin_t origin;
	instant_t recorded_at;
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
	struct cds_list_head unsaved;
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
	CDS_INIT_LIST_HEAD(&this->unsaved);
	return this;
}

static void remove_entry(stream_origins_t *this, entry_t *entry)
{
	cds_list_del(&entry->link);
	cds_list_del(&entry->by_age);
	cds_list_del(&entry->unsaved);
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

static void mark_unsaved(stream_origins_t *this, entry_t *entry)
{
	cds_list_del(&entry->unsaved);
	cds_list_add_tail(&entry->unsaved, &this->unsaved);
}

/* The streams so far began while the service had one version. */
static void save_all_of(stream_origins_t *this, id_t32 service)
{
	entry_t *entry;

	cds_list_for_each_entry (entry, &this->by_age, by_age) {
		if (entry->origin.service == service)
			mark_unsaved(this, entry);
	}
}

static void add_version(stream_origins_t *this, const service_version_t *at)
{
	id_t32 other;

	if (this->version_count == MAX_VERSIONS) {
		this->has_too_many_versions = true;
		return;
	}
	if (count_versions(this, at->service, &other) == 1)
		save_all_of(this, at->service);
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
	CDS_INIT_LIST_HEAD(&entry->unsaved);
	this->count++;
	return entry;
}

static entry_t *put_entry(stream_origins_t *this, const stream_origin_t *origin, instant_t now)
{
	entry_t *entry = find_entry(this, origin->service, origin->stream);

	if (!entry)
		entry = add_entry(this, origin);
	entry->origin = *origin;
	entry->recorded_at = now;
	cds_list_del(&entry->by_age);
	cds_list_add_tail(&entry->by_age, &this->by_age);
	return entry;
}

void stream_origins_record(stream_origins_t *this, const stream_origin_t *origin, instant_t now)
{
	entry_t *entry = put_entry(this, origin, now);

	if (stream_origins_service_is_mixed(this, origin->service))
		mark_unsaved(this, entry);
}

void stream_origins_add_saved(stream_origins_t *this, const stream_origin_t *origin, instant_t now)
{
	/* What this router has forwarded itself is at least as new. */
	if (!find_entry(this, origin->service, origin->stream))
		put_entry(this, origin, now);
}

bool stream_origins_find(
	const stream_origins_t *this, id_t32 service, uint64_t stream, id_t32 *version)
{
	const entry_t *entry = find_entry(this, service, stream);

	if (entry)
		*version = entry->origin.version;
	return entry != NULL;
}

bool stream_origins_next_unsaved(stream_origins_t *this, stream_origin_t *origin)
{
	entry_t *entry;

	if (cds_list_empty(&this->unsaved))
		return false;
	entry = cds_list_first_entry(&this->unsaved, entry_t, unsaved);
	*origin = entry->origin;
	cds_list_del(&entry->unsaved);
	CDS_INIT_LIST_HEAD(&entry->unsaved);
	return true;
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
