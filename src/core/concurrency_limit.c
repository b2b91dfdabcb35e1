#include "core/concurrency_limit.h"

#define PACE_EWMA_WEIGHT 0.3

static void update_ewma(double *mean, double pace)
{
	if (pace <= 0)
		return;
	if (*mean <= 0)
		*mean = pace;
	else
		*mean += PACE_EWMA_WEIGHT * (pace - *mean);
}

void concurrency_limit_observe(concurrency_limit_t *this, double pace, instant_t now)
{
	if (pace <= 0)
		return;
	if (now >= this->own_pace_expires_at)
		this->own_pace = 0;
	update_ewma(&this->own_pace, pace);
	update_ewma(&this->pace, pace);
	this->own_pace_expires_at = now + LIMIT_PACE_TTL;
}

void concurrency_limit_observe_peer(concurrency_limit_t *this, double pace)
{
	update_ewma(&this->pace, pace);
}

double concurrency_limit_own_pace(const concurrency_limit_t *this, instant_t now)
{
	return now < this->own_pace_expires_at ? this->own_pace : 0;
}

double concurrency_limit_slowness(const concurrency_limit_t *this, double median)
{
	if (median <= 0 || this->pace <= median * LIMIT_PACE_TOLERANCE)
		return 1.0;
	return this->pace / median;
}

unsigned int concurrency_limit_slots(
	const concurrency_limit_t *this, unsigned int slots, double median)
{
	unsigned int limit =
		(unsigned int)((double)slots / concurrency_limit_slowness(this, median));

	return limit ? limit : 1;
}
