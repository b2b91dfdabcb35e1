#ifndef DAEMON_ROUTER_H
#define DAEMON_ROUTER_H
/*
 * router - one router process: starts its components and stops them in order
 */
#include <stdatomic.h>

#include "daemon/burn_rate.h"
#include "daemon/caller_watch.h"
#include "daemon/node_thread.h"
#include "daemon/deferred_writer.h"
#include "daemon/snapshot.h"
#include "daemon/platform_watcher.h"

typedef enum router_counter {
	COUNTER_REQUESTS,
	COUNTER_DONE,
	COUNTER_NOT_RUN,
	COUNTER_UNKNOWN,
	COUNTER_RETRIES,
	COUNTER_RESUMES,
	COUNTER_MISMATCHED_RESPONSES,
	COUNTER_CALLERS_DISCONNECTED,
	COUNTER_ORDERS_REPLAYED,
	COUNTER_KINDS,
} router_counter_t;

typedef struct router {
	const router_settings_t *settings;
	uint64_t incarnation;
	platform_t *platform;
	snapshot_t snapshot;
	node_thread_t *node_thread;
	platform_watcher_t *platform_watcher;
	deferred_writer_t *deferred_writer;
	caller_watch_t *caller_watch;
	burn_rate_t *burn_rate;
	order_writer_t order_writer;
	/* The next three are accessed by uatomic operations only. */
	atomic_ulong counters[COUNTER_KINDS];
	atomic_int stopping;
	atomic_int active; /* callers' requests in progress */
	struct caller_server *caller_server;
	struct operator_server *operator_server;
} router_t;

/* Starts all components; on failure logs which address can't be bound and returns NULL. */
router_t *router_new(const router_settings_t *settings);
/*
 * Planned stop: rejects new requests and waits for those in progress and for deferred writes.
 * Returns how many of them were unfinished when their timeouts expired.
 */
unsigned int router_stop(router_t *this);
/* Frees all components. After router_stop() returned more than 0, exit the process instead. */
void router_delete(router_t *this);

void router_count(router_t *this, router_counter_t counter);
bool router_is_stopping(router_t *this);
/* True if a fleet configuration is in force and the router is not stopping. */
bool router_is_ready(router_t *this);
/* The counter's name in the metrics. */
const char *router_counter_name(router_counter_t counter);

#endif
