#include "edge/log.h"
#include "gateway/gateway.h"

static void put(GString *out, const char *name, uint64_t value)
{
	g_string_append_printf(
		out, "amaranthwall_%s %" G_GUINT64_FORMAT "\n", name, (guint64)value);
}

void gateway_metrics(const gateway_t *this, GString *out)
{
	const placement_t *placement = peers_placement(this->peers);
	const placement_stats_t *placed = placement_stats(placement);
	const scheduler_stats_t *owned = scheduler_stats(placement_scheduler(placement));

	put(out, "ready", gateway_is_ready(this));
	put(out, "catalog_version", this->catalog ? this->catalog->version : 0);
	put(out, "endpoints", directory_count(this->directory));
	put(out, "callers", listener_callers(this->callers));
	put(out, "endpoint_connections", this->links);
	put(out, "calls_in_progress", this->call_count);
	put(out, "asks_total", placed->asks);
	put(out, "asks_unanswered_total", placed->unanswered);
	put(out, "asks_elsewhere_total", placed->elsewhere);
	put(out, "started_on_own_total", placed->on_own);
	put(out, "owner_waiting", scheduler_waiting(placement_scheduler(placement)));
	put(out, "owner_running", scheduler_running(placement_scheduler(placement)));
	put(out, "owner_asked_total", owned->asked);
	put(out, "owner_granted_total", owned->granted);
	put(out, "owner_granted_late_total", owned->granted_late);
	put(out, "owner_refused_total", owned->refused);
	put(out, "owner_withdrawn_total", owned->withdrawn);
	put(out, "routers_alive", members_alive(placement_members(placement)));
	put(out, "store_losses_total", this->store_losses);
	put(out, "log_lines_dropped_total", log_dropped());
	for (int i = 0; i < REASON_COUNT; i++)
		g_string_append_printf(out,
			"amaranthwall_calls_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
			reason_info((reason_t)i)->name, (guint64)this->outcomes[i]);
}
