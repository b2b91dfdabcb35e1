#ifndef DAEMON_WATCHER_H
#define DAEMON_WATCHER_H
/*
 * watcher - keeps the fleet text and the instance list up to date
 *
 * A thread reads the platform at a rate that does not grow with the fleet:
 * each router's interval is proportional to the number of routers, and what
 * one learns the others hear from it.  A version heard from a peer is fetched
 * at once, from the table or, when that is out of reach, from a peer.
 */
#include "daemon/decider.h"
#include "daemon/snapshot.h"
#include "edge/platform.h"
#include "settings/text_row.h"

typedef struct watcher watcher_t;

typedef struct watcher_options {
	const router_settings_t *settings;
	platform_t *platform;
	snapshot_t *snapshot;
	decider_t *decider;
} watcher_options_t;

watcher_t *watcher_new(const watcher_options_t *options);
void watcher_delete(watcher_t *this);
/* A peer has text `version`. */
void watcher_hear_version(watcher_t *this, uint64_t version);
/* A text that the table accepted, from whoever saw that. */
void watcher_take(watcher_t *this, const text_row_t *row);
/* Names of endpoints that the list last showed as leaving or gone, for the dependency check. */
bool watcher_is_leaving(watcher_t *this, const char *endpoint);

#endif
