#ifndef DAEMON_WATCHER_H
#define DAEMON_WATCHER_H
/*
 * platform_watcher - keeps the fleet configuration and the instance list up to date
 *
 * A thread polls the platform.  To keep the platform's load independent of the
 * fleet's size, each router's polling interval is proportional to the number
 * of routers, and a router that finds a new configuration version reports it
 * to its peers.  A version that a peer reports is fetched at once, from the
 * table or, if the table is unreachable, from a peer.
 */
#include "daemon/decider.h"
#include "daemon/snapshot.h"
#include "edge/platform.h"
#include "settings/text_row.h"

typedef struct platform_watcher watcher_t;

typedef struct platform_watcher_options {
	const router_settings_t *settings;
	platform_t *platform;
	snapshot_t *snapshot;
	decider_t *decider;
} watcher_options_t;

/* Starts the thread; the members of `options` must outlive the watcher. */
watcher_t *watcher_new(const watcher_options_t *options);
void watcher_delete(watcher_t *this);
/* A peer reported that it has configuration `version`: wakes the thread to fetch it. */
void watcher_hear_version(watcher_t *this, uint64_t version);
/* Applies a configuration that the table has accepted, if it is newer than the one in force. */
void watcher_take(watcher_t *this, const text_row_t *row);
/* True if the instance list last showed the endpoint as leaving; for the dependency check. */
bool watcher_is_leaving(watcher_t *this, const char *endpoint);

#endif
