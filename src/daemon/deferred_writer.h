#ifndef DAEMON_DEFERRED_WRITER_H
#define DAEMON_DEFERRED_WRITER_H
/*
 * deferred_writer - retries order rows that the store did not accept in time
 *
 * When the store is unreachable, a caller gets its response before the order's
 * row is up to date.  A background thread then withdraws the claim of an order
 * that was reported as not run, or writes the result that was reported.  Only
 * the router that made the attempt does so; if it dies first, the other
 * routers treat the row as "may have run".
 */
#include "daemon/order_store.h"

typedef struct deferred_writer deferred_writer_t;

/* Starts the thread; `writer` is copied. */
deferred_writer_t *deferred_writer_new(const order_writer_t *writer);
/* Waits up to `timeout_ms` for pending writes, then ends the thread; returns how many remain. */
unsigned int deferred_writer_delete(deferred_writer_t *this, unsigned int timeout_ms);
/*
 * Queues a withdrawal if `order->withdraw`, else a write of the result with `response`, which may
 * be NULL for a withdrawal only.  All arguments are copied.
 */
void deferred_writer_add(
	deferred_writer_t *this, const char *key, const order_t *order, order_response_t *response);
/* Number of writes that are queued or in progress. */
unsigned int deferred_writer_pending(deferred_writer_t *this);

#endif
