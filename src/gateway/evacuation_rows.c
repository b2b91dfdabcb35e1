#include "gateway/evacuation_rows.h"

#include <string.h>

#include "settings/fleet_config.h"

#define LISTING_KEY ""	 /* of the cached row that stands for a full listing */
#define LISTING_NUMBER 1 /* its version: the same at all routers, and below those of other rows */

struct evacuation_rows {
	evacuation_rows_options_t options;
	const char *source; /* of the rows that are being handled */
};

evacuation_rows_t *evacuation_rows_new(const evacuation_rows_options_t *options)
{
	evacuation_rows_t *this = g_new0(evacuation_rows_t, 1);

	this->options = *options;
	return this;
}

void evacuation_rows_delete(evacuation_rows_t *this)
{
	g_free(this);
}

/* Whatever the row's value, its key names the domain; NULL: it names none. */
static const char *domain_of_key(const evacuation_rows_t *this, const char *key)
{
	const char *prefix = this->options.adapter->evacuation_prefix;
	size_t len = strlen(prefix);

	return !strncmp(key, prefix, len) && key[len] ? key + len : NULL;
}

static void append_row(GArray *rows, const char *domain, store_version_t version, bool is_deleted)
{
	store_row_t row = {
		.key = g_strdup(domain),
		.value = g_strdup(""),
		.version = version,
		.is_deleted = is_deleted,
	};

	g_array_append_val(rows, row);
}

/* Returns the rows that name a domain, under its name and without their values. */
static GArray *select_rows(const evacuation_rows_t *this, const GArray *rows)
{
	GArray *selected = store_rows_new();

	for (unsigned int i = 0; i < rows->len; i++) {
		const store_row_t *row = &g_array_index(rows, store_row_t, i);
		const char *domain = domain_of_key(this, row->key);

		if (domain)
			append_row(selected, domain, row->version, row->is_deleted);
	}
	return selected;
}

static bool stands_for_listing(const store_row_t *row)
{
	return !strcmp(row->key, LISTING_KEY);
}

static evacuation_statement_t statement_of(const store_row_t *row)
{
	return (evacuation_statement_t){
		.domain = name_id(row->key),
		.evacuated = !row->is_deleted,
		.era = row->version.era,
		.number = row->version.number,
	};
}

static void report(
	const evacuation_rows_t *this, const char *domain, const evacuation_statement_t *statement)
{
	evacuation_event_t event = {
		.domain = domain,
		.evacuated = statement->evacuated,
		.version = {statement->era, statement->number},
		.source = this->source,
	};

	this->options.on_change(this->options.ctx, &event);
}

typedef struct name_search {
	id_t32 id;
	const char *name;
} name_search_t;

static void match_name(void *ctx, const store_row_t *row)
{
	name_search_t *search = ctx;

	if (name_id(row->key) == search->id)
		search->name = row->key;
}

/* The rows are in the cache before their statements are applied. */
static void on_listing_change(void *ctx, const evacuation_statement_t *statement)
{
	evacuation_rows_t *this = ctx;
	name_search_t search = {statement->domain, "-"};

	row_cache_for_each_after(this->options.row_cache, CACHED_EVACUATIONS, (store_version_t){0},
		match_name, &search);
	report(this, search.name, statement);
}

static void cache_rows(evacuation_rows_t *this, const GArray *rows)
{
	for (unsigned int i = 0; i < rows->len; i++)
		row_cache_put(this->options.row_cache, CACHED_EVACUATIONS,
			&g_array_index(rows, store_row_t, i));
}

static void ignore_row(void *ctx, const store_row_t *row)
{
}

/* `rows`: all domains that have a row, and the row that stands for the listing. */
static void apply_listing(evacuation_rows_t *this, const GArray *rows, store_version_t version)
{
	GArray *listed = g_array_new(FALSE, FALSE, sizeof(evacuation_statement_t));

	for (unsigned int i = 0; i < rows->len; i++) {
		const store_row_t *row = &g_array_index(rows, store_row_t, i);
		evacuation_statement_t statement = statement_of(row);

		if (!stands_for_listing(row))
			g_array_append_val(listed, statement);
	}
	cache_rows(this, rows);
	row_cache_delete_missing(
		this->options.row_cache, CACHED_EVACUATIONS, rows, version, ignore_row, NULL);
	evacuations_apply_listing(this->options.evacuations,
		(const evacuation_statement_t *)(void *)listed->data, listed->len, version.era,
		version.number, on_listing_change, this);
	g_array_free(listed, TRUE);
}

static void apply_rows(evacuation_rows_t *this, const GArray *rows)
{
	cache_rows(this, rows);
	for (unsigned int i = 0; i < rows->len; i++) {
		const store_row_t *row = &g_array_index(rows, store_row_t, i);
		evacuation_statement_t statement = statement_of(row);

		if (!stands_for_listing(row) && evacuations_apply(this->options.evacuations,
							&statement) == EVACUATION_CHANGED)
			report(this, row->key, &statement);
	}
}

void evacuation_rows_handle_table(
	evacuation_rows_t *this, const GArray *rows, store_version_t version)
{
	GArray *selected = select_rows(this, rows);
	store_version_t listing = {version.era, LISTING_NUMBER};

	append_row(selected, LISTING_KEY, listing, false);
	this->source = "store";
	if (version.era >= evacuations_era(this->options.evacuations))
		apply_listing(this, selected, version);
	g_array_unref(selected);
}

void evacuation_rows_handle_changes(evacuation_rows_t *this, const GArray *rows)
{
	GArray *selected = select_rows(this, rows);

	this->source = "store";
	apply_rows(this, selected);
	g_array_unref(selected);
}

static store_version_t newest_of(const GArray *rows)
{
	store_version_t newest = {0};

	for (unsigned int i = 0; i < rows->len; i++) {
		store_version_t version = g_array_index(rows, store_row_t, i).version;

		if (store_version_compare(version, newest) > 0)
			newest = version;
	}
	return newest;
}

void evacuation_rows_handle_peer(evacuation_rows_t *this, const GArray *rows)
{
	store_version_t version = newest_of(rows);
	const evacuations_t *evacuations = this->options.evacuations;

	this->source = "peer";
	if (!evacuations_are_known(evacuations) || version.era > evacuations_era(evacuations))
		apply_listing(this, rows, version);
	else
		apply_rows(this, rows);
}
