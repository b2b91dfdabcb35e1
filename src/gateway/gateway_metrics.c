#include "gateway/gateway.h"

static void put(GString *out, const char *name, uint64_t value)
{
	g_string_append_printf(
		out, "amaranthwall_%s %" G_GUINT64_FORMAT "\n", name, (guint64)value);
}

void gateway_metrics(const gateway_t *this, GString *out)
{
	const node_stats_t *stats = node_stats(this->node);

	put(out, "ready", gateway_is_ready(this));
	put(out, "catalog_version", this->catalog ? this->catalog->version : 0);
	put(out, "endpoints", directory_count(this->directory));
	put(out, "callers", listener_callers(this->callers));
	put(out, "endpoint_connections", this->links);
	put(out, "calls_in_progress", this->call_count);
	put(out, "calls_waiting", node_waiting(this->node));
	put(out, "arrived_total", stats->arrived);
	put(out, "started_total", stats->started);
	put(out, "rejected_total", stats->rejected);
	put(out, "store_losses_total", this->store_losses);
	for (int i = 0; i < REASON_COUNT; i++)
		g_string_append_printf(out,
			"amaranthwall_calls_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
			reason_info((reason_t)i)->name, (guint64)this->outcomes[i]);
}
