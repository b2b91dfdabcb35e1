#ifndef DAEMON_ROUTER_H
#define DAEMON_ROUTER_H
/*
 * router - one router process: its parts, their start and their planned stop
 */
#include "daemon/burn.h"
#include "daemon/cancel_watch.h"
#include "daemon/decider.h"
#include "daemon/settler.h"
#include "daemon/snapshot.h"
#include "daemon/watcher.h"

typedef enum router_counter {
	COUNT_REQUESTS,
	COUNT_DONE,
	COUNT_NOT_RUN,
	COUNT_UNKNOWN,
	COUNT_RETRIES,
	COUNT_RESUMES,
	COUNT_CROSSED,
	COUNT_CALLERS_GONE,
	COUNT_ORDERS_REPLAYED,
	COUNT_KINDS,
} router_counter_t;

typedef struct router {
	const router_settings_t *settings;
	uint64_t incarnation;
	platform_t *platform;
	snapshot_t snapshot;
	decider_t *decider;
	watcher_t *watcher;
	settler_t *settler;
	cancel_watch_t *cancel_watch;
	burn_t *burn;
	order_writer_t writer;
	unsigned long counters[COUNT_KINDS]; /* by uatomic operations only */
	int stopping;			     /* by uatomic operations only */
	int active;			     /* requests in progress, likewise */
	struct accept *accept;
	struct operator_port *operator_port;
} router_t;

/* Starts everything; NULL with a log line saying what failed. */
router_t *router_new(const router_settings_t *settings);
/* Planned stop: takes nothing new, finishes what it has; returns what it had to leave. */
unsigned int router_stop(router_t *this);
void router_delete(router_t *this);

void router_count(router_t *this, router_counter_t counter);
bool router_is_stopping(router_t *this);
/* Has a fleet text and is not stopping. */
bool router_is_ready(router_t *this);
const char *router_counter_name(router_counter_t counter);

#endif
