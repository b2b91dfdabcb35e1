#ifndef DAEMON_PLATFORM_WATCHER_H
#define DAEMON_PLATFORM_WATCHER_H
/*
 * platform_watcher - keeps the fleet configuration and the instance list up to date
 *
 * A thread polls the platform.  To keep the platform's load independent of the
 * fleet's size, each router's polling interval is proportional to the number
 * of routers, and a router that finds a new configuration version reports it
 * to its peers.  A version that a peer reports is fetched at once, from the
 * table or, if the table is unreachable, from a peer.
 */
#include "daemon/node_thread.h"
#include "daemon/snapshot.h"
#include "edge/platform.h"
#include "settings/config_row.h"

typedef struct platform_watcher platform_watcher_t;

typedef struct platform_watcher_options {
	const router_settings_t *settings;
	platform_t *platform;
	snapshot_t *snapshot;
	node_thread_t *node_thread;
} platform_watcher_options_t;

/* Starts the thread; the members of `options` must outlive the watcher. */
platform_watcher_t *platform_watcher_new(const platform_watcher_options_t *options);
void platform_watcher_delete(platform_watcher_t *this);
/* A peer reported that it has configuration `version`: wakes the thread to fetch it. */
void platform_watcher_on_peer_version(platform_watcher_t *this, uint64_t version);
/* Applies a configuration that the table has accepted, if it is newer than the one in force. */
void platform_watcher_apply_accepted(platform_watcher_t *this, const config_row_t *row);
/* True if the instance list last showed the endpoint as leaving; for the dependency check. */
bool platform_watcher_is_leaving(platform_watcher_t *this, const char *endpoint);

#endif
