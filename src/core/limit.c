#include "core/limit.h"

#define PACE_WEIGHT 0.3

static void observe(double *mean, instant_t *stale_at, double pace, instant_t now)
{
	if (pace <= 0)
		return;
	if (*mean <= 0 || now >= *stale_at)
		*mean = pace;
	else
		*mean += PACE_WEIGHT * (pace - *mean);
	*stale_at = now + LIMIT_MEMORY;
}

void limit_observe(limit_t *this, double pace, instant_t now)
{
	observe(&this->pace, &this->stale_at, pace, now);
}

void limit_observe_peer(limit_t *this, double pace, instant_t now)
{
	observe(&this->peer_pace, &this->peer_stale_at, pace, now);
}

double limit_slowness(const limit_t *this, double median, instant_t now)
{
	double own = now < this->stale_at ? this->pace : 0;
	double peer = now < this->peer_stale_at ? this->peer_pace : 0;
	double pace = own > peer ? own : peer;

	if (median <= 0 || pace <= median * LIMIT_TOLERANCE)
		return 1.0;
	return pace / median;
}

unsigned int limit_slots(const limit_t *this, unsigned int slots, double median, instant_t now)
{
	double slowness = limit_slowness(this, median, now);
	unsigned int limit = (unsigned int)((double)slots / slowness);

	return limit ? limit : 1;
}
