#ifndef CORE_OVERLOAD_H
#define CORE_OVERLOAD_H
/*
 * overload - whether a router should get no new connections for a while
 *
 * A balancer that chooses by caller can send most of the traffic to one router, which then
 * has no processor time left while the others idle.  Such a router asks for a pause from new
 * connections, in which it serves those that it has.  Each router takes connections for a
 * third of the time at least, as pauses help nobody when the whole fleet is overloaded.
 */
#include "core/types.h"

typedef struct overload {
	instant_t window_start;
	uint64_t busy;		   /* in the current window, microseconds */
	unsigned int busy_windows; /* in a row */
	instant_t pause_until;
	instant_t next_pause_from;
} overload_t;

/* Starts to measure; a router that has just started is busy for other reasons, and not paused. */
void overload_init(overload_t *this, instant_t now);
/* Records that the router worked for `busy` microseconds until `now`; true if a pause begins. */
bool overload_record(overload_t *this, uint64_t busy, instant_t now);
/* Returns whether the router should get no new connections. */
bool overload_is_paused(const overload_t *this, instant_t now);

#endif
