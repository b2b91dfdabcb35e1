#ifndef CORE_LIMIT_H
#define CORE_LIMIT_H
/*
 * limit - how many requests a replica may run at once, by the pace that routers see
 *
 * Pace is microseconds a cost unit.  A replica slower than its pool's median by
 * LIMIT_TOLERANCE loses slots in proportion, down to one, which probes it.
 * Without fresh observations a bad pace is forgotten after LIMIT_MEMORY.
 */
#include "core/types.h"

#define LIMIT_TOLERANCE 1.6
#define LIMIT_MEMORY (1500 * USEC_PER_MSEC)

typedef struct limit {
	double pace;	  /* 0: unknown */
	double peer_pace; /* the slowest that a peer reported lately */
	instant_t stale_at;
	instant_t peer_stale_at;
} limit_t;

void limit_observe(limit_t *this, double pace, instant_t now);
void limit_observe_peer(limit_t *this, double pace, instant_t now);
/* How much slower than `median`, 1.0 at most the tolerance. */
double limit_slowness(const limit_t *this, double median, instant_t now);
unsigned int limit_slots(const limit_t *this, unsigned int slots, double median, instant_t now);

#endif
