#ifndef DAEMON_CANCEL_WATCH_H
#define DAEMON_CANCEL_WATCH_H
/*
 * caller_watch - cancels requests at the engine when their caller disconnects
 *
 * A thread polls the callers' sockets.  When one hangs up, the thread asks the
 * engine to cancel the request, which also ends the HTTP exchange that the
 * request thread is blocked on.
 */
#include "core/types.h"

typedef struct cancel_watch cancel_watch_t;

cancel_watch_t *cancel_watch_new(void);
void cancel_watch_delete(cancel_watch_t *this);
/* Watches `caller_fd`; `endpoint` is an ip:port. The strings are copied. Returns the id to pass to
 * cancel_watch_remove(). */
uint64_t cancel_watch_add(
	cancel_watch_t *this, int caller_fd, const char *endpoint, const char *request_id);
/* Ends the watch; true if it found the caller disconnected. */
bool cancel_watch_remove(cancel_watch_t *this, uint64_t id);
/* Checks one caller's socket without blocking. */
bool caller_is_gone(int fd);

#endif
