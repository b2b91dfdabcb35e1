#ifndef STANDIN_SILENT_PROXY_H
#define STANDIN_SILENT_PROXY_H
/*
 * silent_proxy - forwards TCP connections, and makes open ones go silent without closing them
 *
 * The bytes of a silent connection are read and dropped, so that neither side sees an error.
 * All functions may be called from any thread.
 */
#include <stdbool.h>

typedef struct silent_proxy silent_proxy_t;

/* Which bytes of the connections that are open now are dropped from now on. */
typedef enum silent_direction {
	SILENT_TO_TARGET = 1,
	SILENT_FROM_TARGET = 2,
	SILENT_BOTH = 3,
} silent_direction_t;

/* Listens on a free port and connects to `target` (ip:port); aborts if it can't listen. */
silent_proxy_t *silent_proxy_new(const char *target);
/* The same, but listens on `address` (ip:port). */
silent_proxy_t *silent_proxy_new_at(const char *address, const char *target);
void silent_proxy_delete(silent_proxy_t *this);
const char *silent_proxy_address(const silent_proxy_t *this);
/* Silences the connections that are open on return; connections that are opened later work. */
void silent_proxy_silence(silent_proxy_t *this, silent_direction_t direction);
/* Bytes that were forwarded to the target so far. */
unsigned long silent_proxy_forwarded(silent_proxy_t *this);

#endif
