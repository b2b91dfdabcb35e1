#include "edge/clock.h"

#include <time.h>

#define NSEC_PER_USEC 1000

instant_t clock_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (instant_t)ts.tv_sec * USEC_PER_SEC + (instant_t)ts.tv_nsec / NSEC_PER_USEC;
}

void cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attributes);
	pthread_condattr_destroy(&attributes);
}

bool cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex, instant_t deadline)
{
	struct timespec ts = {
		.tv_sec = (time_t)(deadline / USEC_PER_SEC),
		.tv_nsec = (long)(deadline % USEC_PER_SEC) * NSEC_PER_USEC,
	};

	return pthread_cond_timedwait(cond, mutex, &ts) == 0;
}
