#include "core/grant_rate.h"

#define RETRY_MIN_MS 400 /* retry delay when no other refused caller is expected back */
#define RETRY_MAX_MS 8000
#define RETRY_GRANT_SHARE 0.25		  /* of the grants, reserved for callers that retry */
#define RATE_WEIGHT 0.3			  /* of a new sample in the moving average */
#define RATE_WINDOW (500 * USEC_PER_MSEC) /* over which the grants of a sample are counted */

void grant_rate_count(grant_rate_t *this, instant_t now)
{
	double rate;

	this->granted++;
	if (!this->since)
		this->since = now;
	if (now < this->since + RATE_WINDOW)
		return;
	rate = (double)this->granted / (double)(now - this->since);
	this->per_us = this->per_us > 0 ? this->per_us + RATE_WEIGHT * (rate - this->per_us) : rate;
	this->granted = 0;
	this->since = now;
}

/* Spreads the retries of refused callers over time, at the rate of the slots reserved for them. */
uint32_t grant_rate_retry_after(grant_rate_t *this, instant_t now)
{
	instant_t first = now + RETRY_MIN_MS * USEC_PER_MSEC;
	double spacing = this->per_us > 0 ? 1 / (this->per_us * RETRY_GRANT_SHARE) : 0;
	uint64_t ms;

	if (this->last_retry_at < first)
		this->last_retry_at = first;
	this->last_retry_at += (uint64_t)spacing;
	ms = (this->last_retry_at - now) / USEC_PER_MSEC;
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)ms;
}
