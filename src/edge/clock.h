#ifndef EDGE_CLOCK_H
#define EDGE_CLOCK_H
/* clock - monotonic time and timed waits; no other file reads CLOCK_MONOTONIC */
#include <pthread.h>

#include "core/types.h"

instant_t clock_now(void);
/* Initializes a condition variable whose timed waits use CLOCK_MONOTONIC. */
void cond_init(pthread_cond_t *cond);
/* Waits on a condition from cond_init(); false on timeout at `deadline`. */
bool cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex, instant_t deadline);

#endif
