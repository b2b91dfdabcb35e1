#include "core/limit.h"

#define PACE_WEIGHT 0.3

static void blend(double *mean, double pace)
{
	if (pace <= 0)
		return;
	if (*mean <= 0)
		*mean = pace;
	else
		*mean += PACE_WEIGHT * (pace - *mean);
}

void limit_observe(limit_t *this, double pace, instant_t now)
{
	if (pace <= 0)
		return;
	if (now >= this->own_stale_at)
		this->own_pace = 0;
	blend(&this->own_pace, pace);
	blend(&this->pace, pace);
	this->own_stale_at = now + LIMIT_MEMORY;
}

void limit_observe_peer(limit_t *this, double pace)
{
	blend(&this->pace, pace);
}

double limit_own_pace(const limit_t *this, instant_t now)
{
	return now < this->own_stale_at ? this->own_pace : 0;
}

double limit_slowness(const limit_t *this, double median)
{
	if (median <= 0 || this->pace <= median * LIMIT_TOLERANCE)
		return 1.0;
	return this->pace / median;
}

unsigned int limit_slots(const limit_t *this, unsigned int slots, double median)
{
	unsigned int limit = (unsigned int)((double)slots / limit_slowness(this, median));

	return limit ? limit : 1;
}
