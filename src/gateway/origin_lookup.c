#include "gateway/origin_lookup.h"

#include <string.h>
#include <urcu/list.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "gateway/origin_rows.h"

#define MAX_MIXED_SERVICES 16
/* Between the beginnings of two reads. */
#define READ_INTERVAL (400 * USEC_PER_MSEC)
/*
 * A stream that is not found is looked for once more: the keeper of the router that forwarded it
 * may not have saved it yet.
 */
#define ASK_AGAIN_DELAY (ORIGIN_SAVE_INTERVAL + 200 * USEC_PER_MSEC)
/* After a start at which all other routers may have started as well, nobody saves anything. */
#define SETTLE_TIME (5 * USEC_PER_SEC)
#define CLEAN_INTERVAL (60 * USEC_PER_SEC)

struct origin_lookup {
	origin_lookup_options_t options;
	stream_origins_t *origins;
	origin_keeper_t *keeper;
	origin_rows_t *rows;
	origin_store_t *store;
	struct cds_list_head asked;   /* origin_query_t that wait for the next read */
	struct cds_list_head reading; /* and for the one that is in progress */
	bool is_reading;
	instant_t read_at; /* the earliest time of the next read */
	instant_t started_at;
	instant_t listed_at; /* when the streams were last listed for the keeper */
	bool kept_own;
	unsigned int keeper_slot; /* as last logged */
	instant_t clean_at;
	bool needs_cleaning; /* there may be rows in the store */
};

/* --- queries ------------------------------------------------------------ */

static bool find(const origin_lookup_t *this, const origin_query_t *query, id_t32 *version)
{
	if (!query->stream)
		return false;
	/* What this router has forwarded itself is at least as new. */
	return stream_origins_find(this->origins, query->service, query->stream, version) ||
	       origin_rows_find(this->rows, query->service, query->stream, version);
}

/* The answer after a read. */
static origin_result_t answer(const origin_lookup_t *this, const origin_query_t *query,
	const origin_read_t *read, id_t32 *version)
{
	if (find(this, query, version))
		return ORIGIN_FOUND;
	if (!read->rows)
		return ORIGIN_UNREADABLE;
	if (!stream_origins_only_version(this->origins, query->service, version))
		return ORIGIN_UNKNOWN;
	/* Without the registrations, there may be another version that this router has missed. */
	return read->endpoints ? ORIGIN_FOUND : ORIGIN_UNREADABLE;
}

static void begin_read(origin_lookup_t *this, instant_t now)
{
	origin_query_t *query;
	origin_query_t *next;
	bool is_due = false;
	bool with_endpoints = false;
	id_t32 version;

	if (this->is_reading || now < this->read_at)
		return;
	cds_list_for_each_entry_safe (query, next, &this->asked, link) {
		if (now < query->ask_again_at)
			continue;
		cds_list_del(&query->link);
		cds_list_add_tail(&query->link, &this->reading);
		is_due = true;
		with_endpoints |=
			stream_origins_only_version(this->origins, query->service, &version);
	}
	if (!is_due)
		return;
	this->is_reading = true;
	this->read_at = now + READ_INTERVAL;
	origin_store_read(this->store, with_endpoints);
}

static void on_mixed(void *ctx, id_t32 service)
{
	origin_lookup_t *this = ctx;

	stream_origins_note_mixed(this->origins, service, clock_now());
}

static bool is_worth_asking_again(
	const origin_lookup_t *this, const origin_query_t *query, instant_t now)
{
	return query->stream && !query->ask_again_at && now >= this->started_at + SETTLE_TIME;
}

static void handle_answer(
	origin_lookup_t *this, origin_query_t *query, const origin_read_t *read, instant_t now)
{
	id_t32 version = 0;
	origin_result_t result = answer(this, query, read, &version);

	cds_list_del(&query->link);
	if (result == ORIGIN_UNKNOWN && is_worth_asking_again(this, query, now)) {
		query->ask_again_at = now + ASK_AGAIN_DELAY;
		cds_list_add_tail(&query->link, &this->asked);
		return;
	}
	query->is_pending = false;
	query->on_origin(query->ctx, result, version);
}

static void on_read(void *ctx, const origin_read_t *read)
{
	origin_lookup_t *this = ctx;
	instant_t now = clock_now();

	for (unsigned int i = 0; read->rows && i < read->rows->len; i++)
		origin_rows_put(this->rows, &g_array_index(read->rows, store_row_t, i), now,
			on_mixed, this);
	if (read->endpoints)
		this->options.on_endpoints(
			this->options.ctx, read->endpoints, read->endpoints_version);
	this->is_reading = false;
	while (!cds_list_empty(&this->reading))
		handle_answer(this, cds_list_first_entry(&this->reading, origin_query_t, link),
			read, now);
	begin_read(this, now);
}

origin_result_t origin_lookup_ask(origin_lookup_t *this, origin_query_t *query, id_t32 *version)
{
	if (find(this, query, version))
		return ORIGIN_FOUND;
	query->is_pending = true;
	query->ask_again_at = 0;
	cds_list_add_tail(&query->link, &this->asked);
	begin_read(this, clock_now());
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

origin_keeper_t *origin_lookup_keeper(origin_lookup_t *this)
{
	return this->keeper;
}

/* --- saving ------------------------------------------------------------- */

static void on_saved(void *ctx)
{
	origin_lookup_t *this = ctx;

	origin_keeper_row_saved(this->keeper);
}

/* Lists the streams that may be taken up, after the services that have several versions. */
static void list_streams(origin_lookup_t *this, instant_t now)
{
	stream_origin_t list[ORIGIN_REPORT_MAX];
	id_t32 services[MAX_MIXED_SERVICES];
	unsigned int count;

	if (now < this->listed_at + ORIGIN_REPORT_INTERVAL)
		return;
	this->listed_at = now;
	count = stream_origins_mixed_services(this->origins, services, MAX_MIXED_SERVICES);
	for (unsigned int i = 0; i < count; i++)
		list[i] = (stream_origin_t){.service = services[i]};
	if (count)
		count += stream_origins_list(
			this->origins, list + count, ORIGIN_REPORT_MAX - count, now);
	origin_keeper_set_own(this->keeper, list, count, now);
}

static void log_keeper(origin_lookup_t *this, unsigned int slot, instant_t now)
{
	bool keeps_own = origin_keeper_keeps_own(this->keeper, now);

	if (slot == this->keeper_slot && keeps_own == this->kept_own)
		return;
	this->keeper_slot = slot;
	this->kept_own = keeps_own;
	log_notice("streams-keeper", "member=%u saves_own=%d", slot, keeps_own);
}

static void save(origin_lookup_t *this, unsigned int routers, instant_t now)
{
	origin_row_t row;

	if (!origin_keeper_begin_save(this->keeper, routers, now))
		return;
	while (origin_keeper_next_row(this->keeper, &row))
		origin_store_save(
			this->store, row.index, g_string_new_len(row.bytes, (gssize)row.size));
}

/* Removes the rows that nobody needs: all of them once each service has had one version for long.
 */
static void remove_old_rows(origin_lookup_t *this, bool is_cleaner, instant_t now)
{
	bool is_mixed = stream_origins_is_mixed(this->origins);

	this->needs_cleaning |= is_mixed;
	if (!is_cleaner || !this->needs_cleaning || now < this->clean_at)
		return;
	this->clean_at = now + CLEAN_INTERVAL;
	this->needs_cleaning = is_mixed;
	origin_store_remove(this->store, is_mixed ? ORIGIN_ROWS_UNCHANGED : ORIGIN_ROWS_ALL);
}

void origin_lookup_tick(origin_lookup_t *this, const origin_fleet_t *fleet, instant_t now)
{
	stream_origins_tick(this->origins, now);
	origin_rows_expire(this->rows, now);
	origin_keeper_set_keeper(this->keeper, fleet->keeper, now);
	list_streams(this, now);
	origin_keeper_tick(this->keeper, now);
	if (stream_origins_is_mixed(this->origins))
		log_keeper(this, fleet->keeper, now);
	save(this, fleet->routers, now);
	begin_read(this, now);
	remove_old_rows(this, fleet->is_cleaner, now);
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
		.on_saved = on_saved,
		.ctx = this,
	};

	this->options = *options;
	CDS_INIT_LIST_HEAD(&this->asked);
	CDS_INIT_LIST_HEAD(&this->reading);
	this->origins = stream_origins_new();
	this->started_at = clock_now();
	this->keeper = origin_keeper_new(options->incarnation, this->started_at);
	this->rows = origin_rows_new();
	this->clean_at = this->started_at + STREAM_ORIGINS_MEMORY;
	this->needs_cleaning = true;
	this->store = origin_store_new(&store_options);
	return this;
}

void origin_lookup_delete(origin_lookup_t *this)
{
	if (!this)
		return;
	origin_store_delete(this->store);
	stream_origins_delete(this->origins);
	origin_keeper_delete(this->keeper);
	origin_rows_delete(this->rows);
	g_free(this);
}
