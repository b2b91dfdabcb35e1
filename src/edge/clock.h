#ifndef EDGE_CLOCK_H
#define EDGE_CLOCK_H
/* clock - the only place that reads CLOCK_MONOTONIC */
#include <time.h>

#include "core/types.h"

static inline instant_t clock_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (instant_t)ts.tv_sec * USEC_PER_SEC + (instant_t)ts.tv_nsec / 1000;
}

#endif
