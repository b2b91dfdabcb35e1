#include <string.h>

#include "gateway/gateway.h"

/* For the row of a router that has just started to arrive, and the last part of it. */
#define ROSTER_REFRESH_DELAY (2 * USEC_PER_SEC)
#define ROSTER_REFRESH_WINDOW (500 * USEC_PER_MSEC)

/* Applies the row if it is new; returns whether it is this router's own. */
static bool apply_roster_row(gateway_t *this, const store_row_t *row)
{
	bool is_own = !strcmp(row->key, this->settings->name);

	if (!row_cache_put(this->row_cache, CACHED_ROUTERS, row))
		return is_own;
	if (is_own)
		roster_check_own_row(this->roster, row);
	else
		peers_handle_row(this->peers, row);
	return is_own;
}

/* Returns whether this router's own row is among them. */
static bool apply_roster_rows(gateway_t *this, const GArray *rows)
{
	bool has_own = false;

	for (unsigned int i = 0; i < rows->len; i++)
		has_own |= apply_roster_row(this, &g_array_index(rows, store_row_t, i));
	return has_own;
}

static void on_roster_rows(void *ctx, const GArray *rows)
{
	apply_roster_rows(ctx, rows);
}

static void on_roster_deleted(void *ctx, const store_row_t *row)
{
	gateway_t *this = ctx;

	if (strcmp(row->key, this->settings->name))
		peers_handle_row(this->peers, row);
}

/* Applies all rows of the table as of `version`. */
static void apply_roster_table(gateway_t *this, const GArray *rows, store_version_t version)
{
	bool has_own = apply_roster_rows(this, rows);

	row_cache_delete_missing(
		this->row_cache, CACHED_ROUTERS, rows, version, on_roster_deleted, this);
	if (!has_own)
		roster_check_own_row(this->roster, NULL);
}

static void on_roster_table(void *ctx, const GArray *rows, store_version_t version, uint64_t outage)
{
	gateway_t *this = ctx;

	this->roster_state = STORE_FOLLOWED;
	apply_roster_table(this, rows, version);
}

static void on_roster_unreachable(void *ctx)
{
	gateway_t *this = ctx;

	this->store_losses++;
	this->roster_state = STORE_LOST;
}

static void on_roster_paused(void *ctx)
{
	gateway_t *this = ctx;

	this->roster_state = STORE_UNREAD;
}

const table_watch_ops_t gateway_roster_ops = {
	on_roster_table, on_roster_rows, on_roster_unreachable, on_roster_paused};

void gateway_handle_peer_roster(gateway_t *this, const GArray *rows, store_version_t version)
{
	if (gateway_is_newer_era(this, CACHED_ROUTERS, version))
		apply_roster_table(this, rows, version);
	else
		apply_roster_rows(this, rows);
}

void gateway_update_roster_refresh(gateway_t *this, instant_t now)
{
	bool seen = peers_saw_unknown_peer(this->peers);

	if (!this->roster_refresh_at) {
		this->roster_refresh_at = seen ? now + ROSTER_REFRESH_DELAY : 0;
		this->saw_unknown_peer = false;
		return;
	}
	this->saw_unknown_peer |= seen && now + ROSTER_REFRESH_WINDOW >= this->roster_refresh_at;
	if (now < this->roster_refresh_at)
		return;
	this->roster_refresh_at = 0;
	if (this->saw_unknown_peer)
		table_watch_refresh(this->roster_watch);
}
