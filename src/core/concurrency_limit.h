#ifndef CORE_CONCURRENCY_LIMIT_H
#define CORE_CONCURRENCY_LIMIT_H
/*
 * concurrency_limit - adaptive concurrency limit of a replica
 *
 * The limit follows the replica's pace, which is its service time in
 * microseconds per cost unit; lower is faster.  A replica that is slower than
 * the median of its pool by more than the factor LIMIT_PACE_TOLERANCE loses
 * slots in proportion, but always keeps one.  The requests in that last slot
 * serve as probes: the replica counts as slow until a router observes a
 * faster pace.
 */
#include "core/types.h"

#define LIMIT_PACE_TOLERANCE 1.6
#define LIMIT_PACE_TTL (1500 * USEC_PER_MSEC) /* how long `own_pace` is reported */

typedef struct concurrency_limit {
	double pace;	 /* average over all routers' observations, 0: unknown */
	double own_pace; /* average of this router's observations, sent to peers */
	instant_t own_pace_expires_at;
} concurrency_limit_t;

/* Records a pace that this router observed; 0 is ignored. */
void concurrency_limit_observe(concurrency_limit_t *this, double pace, instant_t now);
/* Records a pace that a peer reported; 0 means that it has no recent observation. */
void concurrency_limit_observe_peer(concurrency_limit_t *this, double pace);
/* Returns this router's own average, or 0 if its last observation has expired. */
double concurrency_limit_own_pace(const concurrency_limit_t *this, instant_t now);
/* Returns pace / median, or 1.0 within the tolerance or if the median is unknown. */
double concurrency_limit_slowness(const concurrency_limit_t *this, double median);
/* Returns how many of the replica's `slots` may be used at once, at least 1. */
unsigned int concurrency_limit_slots(
	const concurrency_limit_t *this, unsigned int slots, double median);

#endif
