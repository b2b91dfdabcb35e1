#include "gateway/origin_lookup.h"

#include <stdio.h>
#include <urcu/list.h>

#include "edge/clock.h"
#include "edge/log.h"

/* Between two saves; streams that began since the last one are lost with the router. */
#define SAVE_INTERVAL (500 * USEC_PER_MSEC)
#define SAVE_INTERVAL_PER_ROUTER (16 * USEC_PER_MSEC) /* 60 saves a second from all routers */
#define MAX_MIXED_SERVICES 16
#define LINE_MAX_BYTES 40

struct origin_lookup {
	stream_origins_t *origins;
	origin_store_t *store;
	struct cds_list_head asked;   /* origin_query_t that wait for the next read */
	struct cds_list_head reading; /* and for the one that is in progress */
	bool is_reading;
	bool mark_due; /* the mixed services are not saved yet */
	bool was_mixed;
	instant_t save_at;
	instant_t clean_at; /* when rows of earlier runs, or all, are removed; 0: done */
};

/* --- rows --------------------------------------------------------------- */

/* A row has a line for each service with several versions, and one for each stream. */
static void append_mark(GString *text, id_t32 service)
{
	g_string_append_printf(text, "M %08x\n", service);
}

static void append_stream(GString *text, const stream_origin_t *origin)
{
	g_string_append_printf(text, "S %08x %016" G_GINT64_MODIFIER "x %08x\n", origin->service,
		(guint64)origin->stream, origin->version);
}

static void read_line(origin_lookup_t *this, const char *line, instant_t now)
{
	stream_origin_t origin;
	unsigned long long stream;
	id_t32 service;

	if (sscanf(line, "S %8x %16llx %8x", &origin.service, &stream, &origin.version) == 3) {
		origin.stream = stream;
		stream_origins_add_saved(this->origins, &origin, now);
	} else if (sscanf(line, "M %8x", &service) == 1) {
		stream_origins_note_mixed(this->origins, service, now);
	}
}

static void read_row(origin_lookup_t *this, const store_row_t *row, instant_t now)
{
	char *text = g_strndup(row->value ? row->value : "", row->len);
	char **lines = g_strsplit(text, "\n", 0);

	for (char **line = lines; *line; line++)
		read_line(this, *line, now);
	g_strfreev(lines);
	g_free(text);
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

static GString *new_row(const origin_lookup_t *this)
{
	GString *text = g_string_new(NULL);
	id_t32 services[MAX_MIXED_SERVICES];
	unsigned int count =
		stream_origins_mixed_services(this->origins, services, MAX_MIXED_SERVICES);

	for (unsigned int i = 0; i < count; i++)
		append_mark(text, services[i]);
	return text;
}

static void save(origin_lookup_t *this)
{
	GString *text = new_row(this);
	stream_origin_t origin;
	bool has_news = this->mark_due;

	this->mark_due = false;
	while (stream_origins_next_unsaved(this->origins, &origin)) {
		append_stream(text, &origin);
		has_news = true;
		if (text->len + LINE_MAX_BYTES <= ORIGIN_ROW_MAX_BYTES)
			continue;
		origin_store_save(this->store, text);
		text = new_row(this);
		has_news = false;
	}
	if (has_news)
		origin_store_save(this->store, text);
	else
		g_string_free(text, TRUE);
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
	g_free(this);
}
