#ifndef EDGE_CLOCK_H
#define EDGE_CLOCK_H
/* clock - the only place that reads CLOCK_MONOTONIC, and waits by it */
#include <pthread.h>

#include "core/types.h"

instant_t clock_now(void);
/* A condition whose cond_wait_until() goes by CLOCK_MONOTONIC. */
void cond_init(pthread_cond_t *cond);
/* False when `until` has passed. */
bool cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex, instant_t until);

#endif
