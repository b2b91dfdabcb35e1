#include "gateway/origin_lookup.h"

#include <string.h>
#include <urcu/list.h>

#include "edge/clock.h"
#include "edge/log.h"

/* Between two saves; streams that began since the last one are lost with the router. */
#define SAVE_INTERVAL (500 * USEC_PER_MSEC)
#define SAVE_INTERVAL_PER_ROUTER (16 * USEC_PER_MSEC) /* 60 saves a second from all routers */
#define MAX_MIXED_SERVICES 16
#define SAVES_PER_ROW 8	    /* then the next row of the ring is begun, ... */
#define ROW_MAX_BYTES 32768 /* ... or when the row is as large */

struct origin_lookup {
	stream_origins_t *origins;
	origin_store_t *store;
	struct cds_list_head asked;   /* origin_query_t that wait for the next read */
	struct cds_list_head reading; /* and for the one that is in progress */
	bool is_reading;
	GString *row; /* of the ring: its bytes */
	unsigned int row_index;
	unsigned int row_saves; /* so often saved so far */
	bool mark_due;		/* the mixed services are not saved yet */
	bool was_mixed;
	instant_t save_at;
	instant_t clean_at; /* when rows of earlier runs, or all, are removed; 0: done */
};

/* --- rows --------------------------------------------------------------- */

/*
 * A row is a list of records in little-endian order.  One without a stream says that its service
 * has several versions.
 */
typedef struct saved_record {
	guint64 stream;
	guint32 service;
	guint32 version;
} saved_record_t;

static void append_record(GString *row, const stream_origin_t *origin)
{
	saved_record_t record = {
		.stream = GUINT64_TO_LE(origin->stream),
		.service = GUINT32_TO_LE(origin->service),
		.version = GUINT32_TO_LE(origin->version),
	};

	g_string_append_len(row, (const char *)&record, sizeof(record));
}

static void apply_record(origin_lookup_t *this, const saved_record_t *record, instant_t now)
{
	stream_origin_t origin = {
		.stream = GUINT64_FROM_LE(record->stream),
		.service = GUINT32_FROM_LE(record->service),
		.version = GUINT32_FROM_LE(record->version),
	};

	if (origin.stream)
		stream_origins_add_saved(this->origins, &origin, now);
	else
		stream_origins_note_mixed(this->origins, origin.service, now);
}

static void read_row(origin_lookup_t *this, const store_row_t *row, instant_t now)
{
	saved_record_t record;

	for (size_t at = 0; at + sizeof(record) <= row->len; at += sizeof(record)) {
		memcpy(&record, row->value + at, sizeof(record));
		apply_record(this, &record, now);
	}
}

/* Begins the next row of the ring with the services that have several versions. */
static void begin_row(origin_lookup_t *this)
{
	id_t32 services[MAX_MIXED_SERVICES];
	unsigned int count =
		stream_origins_mixed_services(this->origins, services, MAX_MIXED_SERVICES);

	g_string_truncate(this->row, 0);
	this->row_index = (this->row_index + 1) % ORIGIN_RING_ROWS;
	this->row_saves = 0;
	for (unsigned int i = 0; i < count; i++)
		append_record(this->row, &(stream_origin_t){.service = services[i]});
}

static void save_row(origin_lookup_t *this)
{
	origin_store_save(this->store, this->row_index,
		g_string_new_len(this->row->str, (gssize)this->row->len));
	this->row_saves++;
}

/* --- queries ------------------------------------------------------------ */

static bool find(const origin_lookup_t *this, const origin_query_t *query, id_t32 *version)
{
	return query->stream &&
	       stream_origins_find(this->origins, query->service, query->stream, version);
}

/* The answer after a read. */
static origin_result_t answer(
	const origin_lookup_t *this, const origin_query_t *query, bool was_read, id_t32 *version)
{
	if (find(this, query, version))
		return ORIGIN_FOUND;
	if (!was_read)
		return ORIGIN_UNREADABLE;
	return stream_origins_only_version(this->origins, query->service, version) ? ORIGIN_FOUND
										   : ORIGIN_UNKNOWN;
}

static void begin_read(origin_lookup_t *this)
{
	if (this->is_reading || cds_list_empty(&this->asked))
		return;
	cds_list_splice(&this->asked, &this->reading);
	CDS_INIT_LIST_HEAD(&this->asked);
	this->is_reading = true;
	origin_store_read(this->store);
}

static void on_read(void *ctx, const GArray *rows)
{
	origin_lookup_t *this = ctx;
	instant_t now = clock_now();

	for (unsigned int i = 0; rows && i < rows->len; i++) {
		const store_row_t *row = &g_array_index(rows, store_row_t, i);

		if (!row->is_deleted)
			read_row(this, row, now);
	}
	this->is_reading = false;
	while (!cds_list_empty(&this->reading)) {
		origin_query_t *query = cds_list_first_entry(&this->reading, origin_query_t, link);
		id_t32 version = 0;
		origin_result_t result = answer(this, query, rows != NULL, &version);

		origin_lookup_cancel(query);
		query->on_origin(query->ctx, result, version);
	}
	begin_read(this);
}

origin_result_t origin_lookup_ask(origin_lookup_t *this, origin_query_t *query, id_t32 *version)
{
	if (find(this, query, version))
		return ORIGIN_FOUND;
	query->is_pending = true;
	cds_list_add_tail(&query->link, &this->asked);
	begin_read(this);
	return ORIGIN_PENDING;
}

void origin_lookup_cancel(origin_query_t *query)
{
	if (!query->is_pending)
		return;
	query->is_pending = false;
	cds_list_del(&query->link);
}

stream_origins_t *origin_lookup_origins(origin_lookup_t *this)
{
	return this->origins;
}

/* --- time --------------------------------------------------------------- */

static void save(origin_lookup_t *this)
{
	stream_origin_t origin;
	bool has_news = this->mark_due;

	if (this->mark_due || this->row_saves >= SAVES_PER_ROW)
		begin_row(this);
	this->mark_due = false;
	while (stream_origins_next_unsaved(this->origins, &origin)) {
		append_record(this->row, &origin);
		has_news = true;
		if (this->row->len < ROW_MAX_BYTES)
			continue;
		save_row(this);
		begin_row(this);
		has_news = false;
	}
	if (has_news)
		save_row(this);
}

/* Removes the rows that nobody needs: all of them once each service has had one version for long.
 */
static void remove_old_rows(origin_lookup_t *this, bool is_mixed, instant_t now)
{
	if (!this->clean_at || now < this->clean_at)
		return;
	this->clean_at = 0;
	origin_store_remove(this->store, is_mixed ? ORIGIN_ROWS_OF_EARLIER_RUNS : ORIGIN_ROWS_ALL);
}

void origin_lookup_tick(origin_lookup_t *this, unsigned int routers, instant_t now)
{
	bool is_mixed;

	stream_origins_tick(this->origins, now);
	is_mixed = stream_origins_is_mixed(this->origins);
	if (!this->clean_at && this->was_mixed && !is_mixed)
		this->clean_at = now;
	if (is_mixed && !this->was_mixed) {
		this->mark_due = true;
		this->save_at = now;
	}
	this->was_mixed = is_mixed;
	remove_old_rows(this, is_mixed, now);
	if (now < this->save_at)
		return;
	this->save_at = now + instant_max(SAVE_INTERVAL, routers * SAVE_INTERVAL_PER_ROUTER);
	if (is_mixed)
		save(this);
}

/* --- start and end ------------------------------------------------------ */

origin_lookup_t *origin_lookup_new(const origin_lookup_options_t *options)
{
	origin_lookup_t *this = g_new0(origin_lookup_t, 1);
	origin_store_options_t store_options = {
		.loop = options->loop,
		.adapter = options->adapter,
		.store = options->store,
		.name = options->name,
		.incarnation = options->incarnation,
		.on_read = on_read,
		.ctx = this,
	};

	CDS_INIT_LIST_HEAD(&this->asked);
	CDS_INIT_LIST_HEAD(&this->reading);
	this->row = g_string_new(NULL);
	this->origins = stream_origins_new();
	this->clean_at = clock_now() + STREAM_ORIGINS_MEMORY;
	this->store = origin_store_new(&store_options);
	return this;
}

void origin_lookup_delete(origin_lookup_t *this)
{
	if (!this)
		return;
	origin_store_delete(this->store);
	stream_origins_delete(this->origins);
	g_string_free(this->row, TRUE);
	g_free(this);
}
