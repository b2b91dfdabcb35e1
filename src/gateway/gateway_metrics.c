#include "edge/log.h"
#include "edge/metrics.h"
#include "gateway/gateway.h"

void gateway_write_metrics(const gateway_t *this, GString *out)
{
	const placement_t *placement = peers_placement(this->peers);
	const placement_stats_t *placement_counters = placement_stats(placement);
	const scheduler_stats_t *scheduler_counters =
		scheduler_stats(placement_scheduler(placement));

	metrics_put(out, "ready", gateway_is_ready(this));
	metrics_put(out, "catalog_version", this->catalog ? this->catalog->version : 0);
	metrics_put(out, "endpoints", endpoint_registry_count(this->endpoint_registry));
	metrics_put(out, "callers", listener_caller_count(this->callers));
	metrics_put(out, "endpoint_connections", this->open_connections);
	metrics_put(out, "calls_in_progress", this->call_count);
	metrics_put(out, "asks_total", placement_counters->asks);
	metrics_put(out, "asks_unanswered_total", placement_counters->unanswered);
	metrics_put(out, "asks_elsewhere_total", placement_counters->redirected);
	metrics_put(out, "started_on_own_total", placement_counters->without_grant);
	metrics_put(out, "owner_waiting", scheduler_waiting(placement_scheduler(placement)));
	metrics_put(out, "owner_running", scheduler_running(placement_scheduler(placement)));
	metrics_put(out, "owner_asked_total", scheduler_counters->asked);
	metrics_put(out, "owner_granted_total", scheduler_counters->granted);
	metrics_put(out, "owner_granted_late_total", scheduler_counters->granted_late);
	metrics_put(out, "owner_refused_total", scheduler_counters->refused);
	metrics_put(out, "owner_withdrawn_total", scheduler_counters->withdrawn);
	metrics_put(out, "routers_alive", members_alive(placement_members(placement)));
	metrics_put(out, "routers_listed", gateway_router_count(this));
	metrics_put(out, "store_losses_total", this->store_losses);
	metrics_put(out, "log_lines_dropped_total", log_dropped());
	for (int i = 0; i < REASON_COUNT; i++)
		g_string_append_printf(out,
			"amaranthwall_calls_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
			reason_info((reason_t)i)->name, (guint64)this->outcomes[i]);
}
