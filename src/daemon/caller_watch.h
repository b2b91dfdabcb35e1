#ifndef DAEMON_CALLER_WATCH_H
#define DAEMON_CALLER_WATCH_H
/*
 * caller_watch - cancels requests at the engine when their caller disconnects
 *
 * A thread polls the callers' sockets.  When one hangs up, the thread asks the
 * engine to cancel the request, which also ends the HTTP exchange that the
 * request thread is blocked on.
 */
#include "core/types.h"

typedef struct caller_watch caller_watch_t;

caller_watch_t *caller_watch_new(void);
void caller_watch_delete(caller_watch_t *this);
/* Watches `caller_fd`; `endpoint` is an ip:port. The strings are copied. Returns the id to pass to
 * caller_watch_remove(). */
uint64_t caller_watch_add(
	caller_watch_t *this, int caller_fd, const char *endpoint, const char *request_id);
/* Ends the watch; true if it found the caller disconnected. */
bool caller_watch_remove(caller_watch_t *this, uint64_t id);
/* Checks one caller's socket without blocking. */
bool caller_has_disconnected(int fd);

#endif
