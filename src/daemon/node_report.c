#include "daemon/node_report.h"

#include "edge/metrics.h"

static const char *member_state_name(const member_t *member)
{
	static const char *const names[] = {"unheard", "alive", "suspect", "dead"};

	return names[member->state];
}

static void append_lane(
	void *ctx, id_t32 pool, id_t32 workspace, double level, unsigned int waiting)
{
	GString *out = ctx;

	g_string_append_printf(out,
		"%s{\"pool\":%u,\"workspace\":%u,\"level\":%.1f,\"waiting\":%u}",
		out->str[out->len - 1] == '[' ? "" : ",", pool, workspace, level, waiting);
}

void node_report_append_status(const node_t *node, const router_settings_t *settings, GString *out)
{
	const members_t *members = node_members(node);

	g_string_append_printf(out,
		"\"waiting\":%u,\"running\":%u,\"known_version\":%" G_GUINT64_FORMAT
		",\"members\":[",
		node_waiting(node), node_running(node), node_known_version(node));
	for (unsigned int i = 1; i < members->count; i++)
		g_string_append_printf(out, "%s{\"name\":\"%s\",\"state\":\"%s\"}",
			i > 1 ? "," : "", settings->peers[i - 1].name,
			member_state_name(&members->list[i]));
	g_string_append(out, "],\"lanes\":[");
	node_each_lane(node, append_lane, out);
	g_string_append_c(out, ']');
}

void node_report_append_metrics(const node_t *node, const peer_socket_stats_t *socket, GString *out)
{
	const node_stats_t *stats = node_stats(node);

	metrics_append(out, "requests_arrived_total", stats->arrived);
	metrics_append(out, "requests_started_total", stats->started);
	metrics_append(out, "requests_rejected_total", stats->rejected);
	metrics_append(out, "requests_waiting", node_waiting(node));
	metrics_append(out, "requests_running", node_running(node));
	metrics_append(out, "grants_sent_total", stats->grants_sent);
	metrics_append(out, "grants_received_total", stats->grants_received);
	metrics_append(out, "grants_returned_total", stats->grants_returned);
	metrics_append(out, "members_alive", members_alive(node_members(node)));
	metrics_append(out, "peer_messages_sent_total", socket->sent);
	metrics_append(out, "peer_messages_received_total", socket->received);
	metrics_append(out, "peer_bytes_sent_total", socket->sent_bytes);
	metrics_append(out, "peer_bytes_received_total", socket->received_bytes);
	metrics_append(out, "peer_wire_bytes_total", socket->wire_bytes);
	metrics_append(out, "peer_wire_segments_total", socket->wire_segments);
	metrics_append(out, "peer_messages_not_sent_total", socket->not_sent);
	metrics_append(out, "peer_keys_refused_total", socket->refused_keys);
	metrics_append(out, "peer_messages_old_total", stats->dropped_messages);
}
