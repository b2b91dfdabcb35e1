#include "core/rate_limit.h"

#include <stdlib.h>
#include <string.h>

/* A start may come this much before it is due, so that slow turns of a loop cost no requests. */
#define BURST_TIME (100 * USEC_PER_MSEC)

void rate_limit_init(rate_limit_t *this)
{
	*this = (rate_limit_t){.rate = RATE_NONE};
}

uint64_t rate_limit_interval(uint32_t rate)
{
	uint64_t interval =
		rate ? (RATE_PER_SECOND * USEC_PER_SEC + rate - 1) / rate : RATE_MAX_INTERVAL;

	return interval < RATE_MAX_INTERVAL ? interval : RATE_MAX_INTERVAL;
}

void rate_limit_set(rate_limit_t *this, uint32_t rate, instant_t now)
{
	instant_t latest = now + BURST_TIME + rate_limit_interval(rate);

	if (rate == this->rate)
		return;
	if (this->rate == RATE_NONE)
		this->next_at = latest;
	this->next_at = instant_min(this->next_at, latest);
	this->rate = rate;
	this->since = now;
}

bool rate_limit_observe(rate_limit_t *this, uint32_t rate, instant_t sent_at, instant_t now)
{
	if (rate == this->rate || (rate > this->rate && sent_at < this->since))
		return false;
	rate_limit_set(this, rate, now);
	return true;
}

instant_t rate_limit_due_at(instant_t at)
{
	return at + BURST_TIME;
}

instant_t rate_limit_next(const rate_limit_t *this)
{
	if (this->rate == RATE_NONE || this->next_at < BURST_TIME)
		return 0;
	return this->next_at - BURST_TIME;
}

uint32_t rate_limit_starts_until(const rate_limit_t *this, instant_t until)
{
	instant_t next = rate_limit_next(this);

	if (this->rate == RATE_NONE)
		return UINT32_MAX;
	return until < next ? 0 : (uint32_t)((until - next) / rate_limit_interval(this->rate)) + 1;
}

bool rate_limit_allows(const rate_limit_t *this, instant_t now)
{
	return now >= rate_limit_next(this);
}

void rate_limit_count(rate_limit_t *this, double share, instant_t now)
{
	if (this->rate == RATE_NONE)
		return;
	this->next_at = instant_max(this->next_at, now);
	this->next_at += (uint64_t)((double)rate_limit_interval(this->rate) / share);
}

bool rate_limit_parse(const char *text, uint32_t *rate)
{
	static const char digits[] = "0123456789.";
	char *end;
	double value;

	if (strspn(text, digits) != strlen(text))
		return false;
	value = strtod(text, &end) * RATE_PER_SECOND;
	if (end == text || *end)
		return false;
	*rate = value < RATE_MAX ? (uint32_t)value : RATE_MAX;
	return true;
}
