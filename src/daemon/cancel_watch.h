#ifndef DAEMON_CANCEL_WATCH_H
#define DAEMON_CANCEL_WATCH_H
/*
 * cancel_watch - tells the engine when a caller went away before its answer
 *
 * A thread polls the callers' sockets; where one hangs up, the engine is asked
 * to cancel, which ends the exchange that the request thread waits for.
 */
#include "core/types.h"

typedef struct cancel_watch cancel_watch_t;

cancel_watch_t *cancel_watch_new(void);
void cancel_watch_delete(cancel_watch_t *this);
/* Watches `caller_fd`; the texts are copied. Returns a number for the removal. */
uint64_t cancel_watch_add(
	cancel_watch_t *this, int caller_fd, const char *endpoint, const char *request_id);
/* True when the caller had gone. */
bool cancel_watch_remove(cancel_watch_t *this, uint64_t number);
bool caller_is_gone(int fd);

#endif
