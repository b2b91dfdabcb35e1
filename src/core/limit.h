#ifndef CORE_LIMIT_H
#define CORE_LIMIT_H
/*
 * limit - how many requests a replica may run at once, by the pace that routers see
 *
 * Pace is microseconds a cost unit.  A replica slower than its pool's median by
 * LIMIT_PACE_TOLERANCE loses slots in proportion, down to one.  What runs in that
 * one probes it: a slow replica stays so until somebody sees it quick again.
 */
#include "core/types.h"

#define LIMIT_PACE_TOLERANCE 1.6
#define LIMIT_PACE_TTL (1500 * USEC_PER_MSEC)

typedef struct limit {
	double pace;	 /* as seen by all, 0: unknown */
	double own_pace; /* as seen here, for telling others */
	instant_t own_pace_expires_at;
} concurrency_limit_t;

void concurrency_limit_observe(concurrency_limit_t *this, double pace, instant_t now);
/* A peer sees `pace`, 0 when it saw none lately. */
void concurrency_limit_observe_peer(concurrency_limit_t *this, double pace);
/* What was seen here lately, 0 for nothing. */
double concurrency_limit_own_pace(const concurrency_limit_t *this, instant_t now);
/* How much slower than `median`; 1.0 within the tolerance. */
double concurrency_limit_slowness(const concurrency_limit_t *this, double median);
unsigned int concurrency_limit_slots(
	const concurrency_limit_t *this, unsigned int slots, double median);

#endif
