#ifndef DAEMON_SETTLER_H
#define DAEMON_SETTLER_H
/*
 * settler - finishes in the background what the store would not take at once
 *
 * Withdraws claims whose callers were told "not run", and writes ends that
 * their callers have already been told.  Only the attempt's own router does
 * so; when that router dies first, others read the row as "may have run".
 */
#include "daemon/order_store.h"

typedef struct settler settler_t;

settler_t *settler_new(const order_writer_t *writer);
/* Waits up to `timeout_ms` for what is left, then ends; returns what was left. */
unsigned int settler_delete(settler_t *this, unsigned int timeout_ms);
/* Takes a copy of the order, and the answer's content out of `answer` (may be NULL). */
void settler_add(settler_t *this, const char *key, const order_t *order, order_answer_t *answer);
unsigned int settler_pending(settler_t *this);

#endif
