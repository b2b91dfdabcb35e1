#include "gateway/gateway.h"

#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"

#define PACE_ROUTERS 8	   /* fleet for which the settings' waits and pauses are meant */
#define MOST_WAIT_MS 30000 /* that the store lets a read wait */
#define MOST_PAUSE_MS 800  /* well within the time in which news must be in force */

static void take_catalog(gateway_t *this, const store_row_t *row)
{
	faults_t faults;
	catalog_t *catalog;

	if (row->is_deleted || strcmp(row->key, this->adapter->catalog_key))
		return;
	faults_init(&faults, "catalog");
	catalog = this->adapter->decode_catalog(row->value, row->len, &faults);
	if (!catalog) {
		log_warn("catalog-refused",
			"row_version=%" G_GUINT64_FORMAT " faults=%u first=\"%s\"",
			(guint64)row->version, faults.count, faults.text->str);
	} else if (this->catalog && catalog->version <= this->catalog->version) {
		catalog_put(catalog);
	} else {
		log_notice("catalog-applied",
			"version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
			" routes=%u services=%u workspaces=%u",
			(guint64)catalog->version,
			this->catalog ? (guint64)this->catalog->version : 0, catalog->routes->len,
			catalog->service_count, catalog->workspaces->len);
		catalog_put(this->catalog);
		this->catalog = catalog;
		this->plan_due = true;
	}
	faults_clear(&faults);
}

static void on_catalog_rows(void *ctx, const GArray *rows)
{
	gateway_t *this = ctx;

	for (unsigned int i = 0; i < rows->len; i++) {
		const store_row_t *row = &g_array_index(rows, store_row_t, i);

		if (rowbook_put(this->book, BOOK_CATALOG, row))
			take_catalog(this, row);
	}
}

static void on_catalog_table(void *ctx, const GArray *rows, uint64_t version, uint64_t outage)
{
	on_catalog_rows(ctx, rows);
}

static void on_store_lost(void *ctx)
{
	gateway_t *this = ctx;

	this->store_losses++;
}

static const watch_ops_t catalog_ops = {on_catalog_table, on_catalog_rows, on_store_lost};

static void take_endpoint(gateway_t *this, const store_row_t *row, instant_t now)
{
	endpoint_entry_t entry = {0};
	bool changed;

	if (row->is_deleted) {
		changed = directory_remove(this->directory, row->key, this->lapse_grace_until, now);
	} else if (this->adapter->decode_endpoint(row->key, row->value, row->len, &entry)) {
		changed = directory_put(this->directory, &entry);
	} else {
		log_warn("endpoint-unreadable", "endpoint=%s row_version=%" G_GUINT64_FORMAT,
			row->key, (guint64)row->version);
		return;
	}
	if (changed)
		log_notice("endpoint-changed",
			"endpoint=%s service=%s address=%s state=%d gone=%d "
			"row_version=%" G_GUINT64_FORMAT,
			row->key, entry.service ? entry.service : "-",
			entry.address ? entry.address : "-", entry.state, row->is_deleted,
			(guint64)row->version);
	this->plan_due |= changed;
	endpoint_entry_clear(&entry);
}

static void on_endpoint_rows(void *ctx, const GArray *rows)
{
	gateway_t *this = ctx;
	instant_t now = clock_now();

	for (unsigned int i = 0; i < rows->len; i++) {
		const store_row_t *row = &g_array_index(rows, store_row_t, i);

		if (rowbook_put(this->book, BOOK_ENDPOINTS, row))
			take_endpoint(this, row, now);
	}
}

static void drop_endpoint(void *ctx, const store_row_t *row)
{
	take_endpoint(ctx, row, clock_now());
}

/* Registrations may have lapsed while the store was away: they have a while to return. */
static void on_endpoint_table(void *ctx, const GArray *rows, uint64_t version, uint64_t outage)
{
	gateway_t *this = ctx;

	if (outage && this->directory_known)
		this->lapse_grace_until =
			clock_now() + this->settings->lapse_grace_ms * USEC_PER_MSEC;
	on_endpoint_rows(ctx, rows);
	rowbook_keep_only(this->book, BOOK_ENDPOINTS, rows, version, drop_endpoint, this);
	this->directory_known = true;
}

/* What a peer tells is as good as what the store tells. */
void gateway_take_peer_row(void *ctx, book_table_t table, const store_row_t *row, bool last)
{
	gateway_t *this = ctx;

	this->directory_known |= table == BOOK_ENDPOINTS && last;
	if (!rowbook_put(this->book, table, row))
		return;
	log_notice("row-from-peer", "table=%d key=%s row_version=%" G_GUINT64_FORMAT, (int)table,
		row->key, (guint64)row->version);
	if (table == BOOK_CATALOG)
		take_catalog(this, row);
	else
		take_endpoint(this, row, clock_now());
	watch_refresh(table == BOOK_CATALOG ? this->catalog_watch : this->endpoint_watch);
}

static const watch_ops_t endpoint_ops = {on_endpoint_table, on_endpoint_rows, on_store_lost};

/* True when the own row was among them. */
static bool take_roster(gateway_t *this, const GArray *rows)
{
	bool has_own = false;

	for (unsigned int i = 0; i < rows->len; i++) {
		const store_row_t *row = &g_array_index(rows, store_row_t, i);

		if (strcmp(row->key, this->settings->name)) {
			peers_take_row(this->peers, row);
			continue;
		}
		has_own = true;
		roster_check(this->roster, row);
	}
	return has_own;
}

static void on_roster_rows(void *ctx, const GArray *rows)
{
	take_roster(ctx, rows);
}

static void on_roster_table(void *ctx, const GArray *rows, uint64_t version, uint64_t outage)
{
	gateway_t *this = ctx;

	if (!take_roster(this, rows))
		roster_check(this->roster, NULL);
}

static const watch_ops_t roster_ops = {on_roster_table, on_roster_rows, on_store_lost};

static watch_t *follow(
	gateway_t *this, const char *table, unsigned int wait_ms, const watch_ops_t *ops)
{
	const gateway_settings_t *settings = this->settings;
	watch_options_t options = {
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

	return watch_new(&options);
}

static unsigned int at_most(unsigned int value, unsigned int most)
{
	return value < most ? value : most;
}

void gateway_fit_fleet(gateway_t *this)
{
	const gateway_settings_t *settings = this->settings;
	unsigned int routers = gateway_routers(this);
	unsigned int times = (routers + PACE_ROUTERS - 1) / PACE_ROUTERS;
	unsigned int wait_ms = at_most(settings->store_wait_ms * times, MOST_WAIT_MS);
	unsigned int pause_ms = at_most(settings->store_pause_ms * times, MOST_PAUSE_MS);

	if (routers == this->fitted_routers)
		return;
	this->fitted_routers = routers;
	this->plan_due = true; /* shares of the endpoints' connections depend on it */
	this->budget_options.routers = MAX(routers, settings->expected_routers);
	watch_set_pace(this->catalog_watch, wait_ms, pause_ms);
	watch_set_pace(this->endpoint_watch, wait_ms, pause_ms);
	watch_set_pace(this->roster_watch, at_most(settings->roster_wait_ms * times, MOST_WAIT_MS),
		pause_ms);
}

void gateway_follow_store(gateway_t *this)
{
	const gateway_settings_t *settings = this->settings;
	const adapter_t *adapter = this->adapter;
	roster_options_t options = {
		.adapter = adapter,
		.store = {settings->store_address, settings->store_timeout_ms},
		.self = {settings->name, settings->peer_address, this->public_key,
			this->incarnation},
	};

	this->roster = roster_new(&options);
	this->roster_watch = follow(this, ROSTER_TABLE, settings->roster_wait_ms, &roster_ops);
	this->catalog_watch =
		follow(this, adapter->catalog_table, settings->store_wait_ms, &catalog_ops);
	this->endpoint_watch =
		follow(this, adapter->endpoint_table, settings->store_wait_ms, &endpoint_ops);
}
