#ifndef DAEMON_NODE_REPORT_H
#define DAEMON_NODE_REPORT_H
/*
 * node_report - the node's status and metrics for operators; called in the node thread
 */
#include <glib.h>

#include "core/node.h"
#include "edge/peer_socket.h"
#include "settings/router_settings.h"

/* Appends JSON members that describe the node. */
void node_report_append_status(const node_t *node, const router_settings_t *settings, GString *out);
/* Appends metrics in the text exposition format. */
void node_report_append_metrics(
	const node_t *node, const peer_socket_stats_t *socket, GString *out);

#endif
