#include "gateway/gateway.h"

#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"

#define REFERENCE_FLEET_SIZE 8 /* routers for which the settings' waits and pauses are chosen */
#define MAX_PAUSE_MS 800       /* well below the time within which a change must take effect */
#define READING_CHECK_INTERVAL (100 * USEC_PER_MSEC) /* of gateway_update_store_reading() */

/* True if the row is the document of the catalog in force. */
static bool is_current_catalog(const gateway_t *this, const store_row_t *row)
{
	const char *source = this->catalog ? this->catalog->source : NULL;

	return source && strlen(source) == row->len && !memcmp(source, row->value, row->len);
}

static void replace_catalog(gateway_t *this, catalog_t *catalog, const store_row_t *row)
{
	store_row_t cached = *row;

	log_notice("catalog-applied",
		"version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
		" routes=%u services=%u workspaces=%u era=%" G_GUINT64_FORMAT
		" row_version=%" G_GUINT64_FORMAT,
		(guint64)catalog->version, this->catalog ? (guint64)this->catalog->version : 0,
		catalog->routes->len, catalog->service_count, catalog->workspaces->len,
		(guint64)row->version.era, (guint64)row->version.number);
	catalog_put(this->catalog);
	this->catalog = catalog;
	this->engines_outdated = true;
	cached.version = (store_version_t){.number = catalog->version};
	row_cache_put(this->row_cache, CACHED_CATALOG, &cached);
}

/*
 * The operators' own version decides, not the row's: the store may have gone back to an older
 * row, which must not replace a catalog that the operators were told is in force.
 */
static void apply_catalog_row(gateway_t *this, const store_row_t *row)
{
	error_list_t errors;
	catalog_t *catalog;

	if (row->is_deleted || strcmp(row->key, this->adapter->catalog_key) ||
		is_current_catalog(this, row))
		return;
	error_list_init(&errors, "catalog");
	catalog = this->adapter->decode_catalog(row->value, row->len, &errors);
	if (!catalog) {
		log_warn("catalog-refused",
			"row_version=%" G_GUINT64_FORMAT " faults=%u first=\"%s\"",
			(guint64)row->version.number, errors.count, errors.text->str);
	} else if (this->catalog && catalog->version <= this->catalog->version) {
		log_notice("catalog-older",
			"version=%" G_GUINT64_FORMAT " in_force=%" G_GUINT64_FORMAT
			" era=%" G_GUINT64_FORMAT " row_version=%" G_GUINT64_FORMAT,
			(guint64)catalog->version, (guint64)this->catalog->version,
			(guint64)row->version.era, (guint64)row->version.number);
		catalog_put(catalog);
	} else {
		replace_catalog(this, catalog, row);
	}
	error_list_clear(&errors);
}

static void apply_catalog_rows(gateway_t *this, const GArray *rows)
{
	for (unsigned int i = 0; i < rows->len; i++)
		apply_catalog_row(this, &g_array_index(rows, store_row_t, i));
}

static void on_catalog_rows(void *ctx, const GArray *rows)
{
	gateway_t *this = ctx;

	apply_catalog_rows(this, rows);
	evacuation_rows_handle_changes(this->evacuation_rows, rows);
}

static void on_catalog_table(
	void *ctx, const GArray *rows, store_version_t version, uint64_t outage)
{
	gateway_t *this = ctx;

	this->store_era = version.era;
	this->catalog_state = STORE_FOLLOWED;
	apply_catalog_rows(this, rows);
	evacuation_rows_handle_table(this->evacuation_rows, rows, version);
}

static void on_catalog_unreachable(void *ctx)
{
	gateway_t *this = ctx;

	this->store_losses++;
	this->catalog_state = STORE_LOST;
}

static void on_catalog_paused(void *ctx)
{
	gateway_t *this = ctx;

	this->catalog_state = STORE_UNREAD;
}

static const table_watch_ops_t catalog_ops = {
	on_catalog_table, on_catalog_rows, on_catalog_unreachable, on_catalog_paused};

/* Returns whether the endpoint was removed at once. */
static bool apply_deleted_endpoint(gateway_t *this, const store_row_t *row, instant_t now)
{
	instant_t remove_at = this->lapse_grace_until;
	endpoint_removal_t result = endpoint_registry_remove(
		this->endpoint_registry, row->key, row->version.era, remove_at, now);
	uint64_t grace = result == ENDPOINT_MISSING ? remove_at - now : 0;

	if (result != ENDPOINT_UNKNOWN)
		log_notice("endpoint-unlisted",
			"endpoint=%s grace_ms=%" G_GUINT64_FORMAT " era=%" G_GUINT64_FORMAT
			" row_version=%" G_GUINT64_FORMAT,
			row->key, (guint64)(grace / USEC_PER_MSEC), (guint64)row->version.era,
			(guint64)row->version.number);
	return result == ENDPOINT_REMOVED;
}

static bool apply_listed_endpoint(gateway_t *this, const store_row_t *row, instant_t now)
{
	endpoint_registration_t registration = {0};
	bool changed;

	if (!this->adapter->decode_endpoint(row->key, row->value, row->len, &registration)) {
		log_warn("endpoint-row-malformed", "endpoint=%s row_version=%" G_GUINT64_FORMAT,
			row->key, (guint64)row->version.number);
		return false;
	}
	registration.era = row->version.era;
	changed = endpoint_registry_put(this->endpoint_registry, &registration, now);
	if (changed)
		log_notice("endpoint-changed",
			"endpoint=%s service=%s address=%s state=%d version=%s "
			"era=%" G_GUINT64_FORMAT " row_version=%" G_GUINT64_FORMAT,
			row->key, registration.service, registration.address, registration.state,
			registration.version, (guint64)row->version.era,
			(guint64)row->version.number);
	endpoint_registration_clear(&registration);
	return changed;
}

static void apply_endpoint_row(gateway_t *this, const store_row_t *row, instant_t now)
{
	this->engines_outdated |= row->is_deleted ? apply_deleted_endpoint(this, row, now)
						  : apply_listed_endpoint(this, row, now);
}

static void on_endpoint_rows(void *ctx, const GArray *rows)
{
	gateway_t *this = ctx;
	instant_t now = clock_now();

	for (unsigned int i = 0; i < rows->len; i++) {
		const store_row_t *row = &g_array_index(rows, store_row_t, i);

		if (row_cache_put(this->row_cache, CACHED_ENDPOINTS, row))
			apply_endpoint_row(this, row, now);
	}
}

static void on_endpoint_deleted(void *ctx, const store_row_t *row)
{
	apply_endpoint_row(ctx, row, clock_now());
}

/*
 * After a store outage, or a restore from a copy that lacks the newest registrations, endpoints
 * that are missing are kept for a grace period, in which they can register again.
 */
static void begin_lapse_grace(gateway_t *this)
{
	if (this->endpoints_loaded)
		this->lapse_grace_until =
			clock_now() + this->settings->lapse_grace_ms * USEC_PER_MSEC;
}

bool gateway_is_newer_era(const gateway_t *this, cached_table_t table, store_version_t version)
{
	return version.era > row_cache_newest_version(this->row_cache, table).era;
}

static void note_endpoints_loaded(gateway_t *this)
{
	if (!this->endpoints_loaded)
		this->endpoints_loaded_at = clock_now();
	this->endpoints_loaded = true;
}

/* Applies all rows of the table as of `version`. */
static void apply_endpoint_table(gateway_t *this, const GArray *rows, store_version_t version)
{
	if (gateway_is_newer_era(this, CACHED_ENDPOINTS, version))
		begin_lapse_grace(this);
	on_endpoint_rows(this, rows);
	row_cache_delete_missing(
		this->row_cache, CACHED_ENDPOINTS, rows, version, on_endpoint_deleted, this);
	note_endpoints_loaded(this);
}

static void on_endpoint_table(
	void *ctx, const GArray *rows, store_version_t version, uint64_t outage)
{
	gateway_t *this = ctx;

	if (outage)
		begin_lapse_grace(this);
	this->endpoints_state = STORE_FOLLOWED;
	apply_endpoint_table(this, rows, version);
}

static void on_endpoints_unreachable(void *ctx)
{
	gateway_t *this = ctx;

	this->store_losses++;
	this->endpoints_state = STORE_LOST;
}

void gateway_handle_endpoint_table(void *ctx, const GArray *rows, store_version_t version)
{
	gateway_t *this = ctx;

	apply_endpoint_table(this, rows, version);
	gateway_update_engines(this);
}

static store_version_t highest_version(const GArray *rows)
{
	store_version_t highest = {0};

	for (unsigned int i = 0; i < rows->len; i++) {
		store_version_t version = g_array_index(rows, store_row_t, i).version;

		if (store_version_compare(version, highest) > 0)
			highest = version;
	}
	return highest;
}

static void handle_peer_endpoints(gateway_t *this, const GArray *rows, store_version_t version)
{
	if (gateway_is_newer_era(this, CACHED_ENDPOINTS, version))
		apply_endpoint_table(this, rows, version);
	else
		on_endpoint_rows(this, rows);
	note_endpoints_loaded(this);
}

/* --- peers -------------------------------------------------------------- */

/* Rows from peers carry the store's version, so they are applied like rows from the store. */
void gateway_handle_peer_rows(void *ctx, cached_table_t table, const GArray *rows)
{
	gateway_t *this = ctx;
	store_version_t version = highest_version(rows);
	store_version_t known = row_cache_newest_version(this->row_cache, table);

	log_notice("rows-from-peer",
		"table=%d rows=%u era=%" G_GUINT64_FORMAT " row_version=%" G_GUINT64_FORMAT,
		(int)table, rows->len, (guint64)version.era, (guint64)version.number);
	if (table == CACHED_CATALOG)
		apply_catalog_rows(this, rows);
	else if (table == CACHED_ENDPOINTS)
		handle_peer_endpoints(this, rows, version);
	else if (table == CACHED_EVACUATIONS)
		evacuation_rows_handle_peer(this->evacuation_rows, rows);
	else
		gateway_handle_peer_roster(this, rows, version);
	/* A watch that the store has left waiting lists its table anew.  The roster can wait. */
	if (table != CACHED_ROUTERS && this->reads_store &&
		store_version_compare(version, known) > 0)
		table_watch_refresh(
			table == CACHED_ENDPOINTS ? this->endpoint_watch : this->catalog_watch);
}

static void on_endpoints_paused(void *ctx)
{
	gateway_t *this = ctx;

	this->endpoints_state = STORE_UNREAD;
}

static const table_watch_ops_t endpoint_ops = {
	on_endpoint_table, on_endpoint_rows, on_endpoints_unreachable, on_endpoints_paused};

static table_watch_t *watch_table(
	gateway_t *this, const char *table, unsigned int wait_ms, const table_watch_ops_t *ops)
{
	const gateway_settings_t *settings = this->settings;
	table_watch_options_t options = {
		.loop = &this->loop,
		.adapter = this->adapter,
		.store = {settings->store_address, settings->store_timeout_ms},
		.table = table,
		.wait_ms = wait_ms,
		.retry_ms = settings->store_retry_ms,
		.pause_ms = settings->store_pause_ms,
		.ops = ops,
		.ctx = this,
	};

	return table_watch_new(&options);
}

static unsigned int min_uint(unsigned int value, unsigned int max)
{
	return value < max ? value : max;
}

/* Waits and pauses grow with the fleet, so that the load on the store does not. */
void gateway_apply_fleet_size(gateway_t *this)
{
	const gateway_settings_t *settings = this->settings;
	unsigned int routers = gateway_router_count(this);
	unsigned int scale = (routers + REFERENCE_FLEET_SIZE - 1) / REFERENCE_FLEET_SIZE;
	unsigned int wait_ms = min_uint(settings->store_wait_ms * scale, TABLE_WATCH_MAX_WAIT_MS);
	unsigned int pause_ms = min_uint(settings->store_pause_ms * scale, MAX_PAUSE_MS);

	if (routers == this->applied_router_count)
		return;
	this->applied_router_count = routers;
	this->engines_outdated = true; /* updates the idle connection limits too */
	this->budget_options.routers = MAX(routers, settings->expected_routers);
	table_watch_set_intervals(this->catalog_watch, wait_ms, pause_ms, 1.0 / scale);
	table_watch_set_intervals(this->endpoint_watch, wait_ms, pause_ms, 1.0 / scale);
	table_watch_set_intervals(this->roster_watch,
		min_uint(settings->roster_wait_ms * scale, TABLE_WATCH_MAX_WAIT_MS), pause_ms,
		1.0 / scale);
}

static store_state_t store_state(const gateway_t *this)
{
	const store_state_t states[] = {
		this->catalog_state, this->endpoints_state, this->roster_state};
	store_state_t state = STORE_FOLLOWED;

	for (size_t i = 0; i < ARRAY_LEN(states); i++) {
		if (states[i] == STORE_LOST)
			return STORE_LOST;
		if (states[i] == STORE_UNREAD)
			state = STORE_UNREAD;
	}
	return state;
}

static void set_reads_store(gateway_t *this, bool reads)
{
	log_notice("store-reading", "reads=%d", reads);
	this->reads_store = reads;
	table_watch_set_paused(this->catalog_watch, !reads);
	table_watch_set_paused(this->endpoint_watch, !reads);
	table_watch_set_paused(this->roster_watch, !reads);
	peers_set_only_source(this->peers, !reads);
}

void gateway_update_store_reading(gateway_t *this, instant_t now)
{
	bool reads;

	gateway_update_roster_refresh(this, now);
	if (now < this->store_reading_due)
		return;
	this->store_reading_due = now + READING_CHECK_INTERVAL;
	reads = store_readers_must_read(this->store_readers, now);
	if (reads != this->reads_store)
		set_reads_store(this, reads);
	store_readers_set_state(this->store_readers, reads ? store_state(this) : STORE_UNREAD);
	if (store_readers_lost_store(this->store_readers, now))
		begin_lapse_grace(this);
}

void gateway_watch_store(gateway_t *this)
{
	const gateway_settings_t *settings = this->settings;
	const adapter_t *adapter = this->adapter;
	roster_options_t options = {
		.adapter = adapter,
		.store = {settings->store_address, settings->store_timeout_ms},
		.self = {settings->name, settings->failure_domain, settings->peer_address,
			this->public_key, this->incarnation},
	};

	this->reads_store = true;
	this->roster = roster_new(&options);
	this->roster_watch =
		watch_table(this, ROSTER_TABLE, settings->roster_wait_ms, &gateway_roster_ops);
	this->catalog_watch =
		watch_table(this, adapter->catalog_table, settings->store_wait_ms, &catalog_ops);
	this->endpoint_watch =
		watch_table(this, adapter->endpoint_table, settings->store_wait_ms, &endpoint_ops);
}
