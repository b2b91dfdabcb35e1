#include "core/warm_up.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Starts of this time count against the pace: an endpoint bears so many within a second. */
#define PACE_WINDOW USEC_PER_SEC
/*
 * An endpoint that is out of reach for so long may start again meanwhile.  Less can be the fault of
 * one router, which fails with all that it was granted before.
 */
#define AWAY_TIME (200 * USEC_PER_MSEC)
#define MAX_COLD_MS 3600000.0

void warm_up_init(warm_up_t *this)
{
	*this = (warm_up_t){0};
	rate_limit_init(&this->pace);
}

static bool has_pace(const warm_up_t *this)
{
	return this->pace.rate != RATE_NONE;
}

void warm_up_configure(warm_up_t *this, uint32_t pace, uint64_t cold_time, instant_t now)
{
	this->cold_time = cold_time;
	rate_limit_set(&this->pace, pace ? pace : RATE_NONE, now);
}

static void set_reached(warm_up_t *this)
{
	this->unreached_since = 0;
	this->unreached_at = 0;
}

bool warm_up_observe(warm_up_t *this, const warm_up_statement_t *statement)
{
	if (statement->source == WARM_UP_NONE || statement->stated_at <= this->newest.stated_at)
		return false;
	this->newest = *statement;
	if (this->unreached_at < statement->stated_at)
		set_reached(this);
	return true;
}

void warm_up_returned(warm_up_t *this, instant_t now)
{
	instant_t until = now + this->cold_time;

	set_reached(this);
	if (!has_pace(this) || !this->cold_time)
		return;
	if (this->newest.source != WARM_UP_RETURNED)
		until = instant_max(until, this->newest.cold_until);
	this->newest = (warm_up_statement_t){WARM_UP_RETURNED, until, now};
}

void warm_up_unreached(warm_up_t *this, instant_t now)
{
	if (!has_pace(this) || !this->cold_time)
		return;
	if (!this->unreached_since)
		this->unreached_since = now;
	this->unreached_at = now;
	if (now >= this->unreached_since + AWAY_TIME)
		this->newest = (warm_up_statement_t){WARM_UP_RETURNED, INSTANT_NEVER, now};
}

void warm_up_reached(warm_up_t *this, instant_t now)
{
	instant_t away_at = this->unreached_at;

	if (away_at && (now >= away_at + AWAY_TIME || away_at >= this->unreached_since + AWAY_TIME))
		warm_up_returned(this, now);
	set_reached(this);
}

bool warm_up_is_cold(const warm_up_t *this, instant_t now)
{
	return has_pace(this) && now < this->newest.cold_until;
}

uint64_t warm_up_left(const warm_up_t *this, instant_t now)
{
	if (!warm_up_is_cold(this, now))
		return 0;
	return this->newest.cold_until == INSTANT_NEVER ? UINT64_MAX
							: this->newest.cold_until - now;
}

bool warm_up_allows(const warm_up_t *this, instant_t now)
{
	return !warm_up_is_cold(this, now) || rate_limit_allows(&this->pace, now);
}

instant_t warm_up_next(const warm_up_t *this, instant_t now)
{
	if (!warm_up_is_cold(this, now))
		return 0;
	return instant_min(rate_limit_next(&this->pace), this->newest.cold_until);
}

uint32_t warm_up_starts_until(const warm_up_t *this, instant_t until, instant_t now)
{
	if (!warm_up_is_cold(this, now) || until >= this->newest.cold_until)
		return UINT32_MAX;
	return rate_limit_starts_until(&this->pace, until);
}

/* A start that lies back by more than the window counts no more. */
static void limit_debt(warm_up_t *this, uint64_t step, instant_t now)
{
	instant_t latest = rate_limit_due_at(now + instant_max(PACE_WINDOW, step));

	this->pace.next_at = instant_min(this->pace.next_at, latest);
}

void warm_up_count(warm_up_t *this, double share, instant_t now)
{
	instant_t due;

	if (!has_pace(this))
		return;
	due = instant_max(this->pace.next_at, now);
	rate_limit_count(&this->pace, share, now);
	limit_debt(this, this->pace.next_at - due, now);
}

void warm_up_assume_used(warm_up_t *this, instant_t now)
{
	if (has_pace(this))
		this->pace.next_at = rate_limit_due_at(now + PACE_WINDOW);
}

void warm_up_spread(warm_up_t *this, double share, double phase, instant_t now)
{
	uint64_t wait;

	if (!has_pace(this))
		return;
	wait = (uint64_t)(phase * (double)rate_limit_interval(this->pace.rate) / share);
	this->pace.next_at = instant_max(this->pace.next_at, rate_limit_due_at(now + wait));
}

instant_t warm_up_own_time(uint64_t age, bool is_new, uint64_t cold_time, instant_t seen_at)
{
	if (age != UINT64_MAX)
		return age < cold_time ? seen_at + cold_time - age : 0;
	return is_new && cold_time ? seen_at + cold_time : 0;
}

uint64_t warm_up_from_ms(double ms)
{
	return ms > MAX_COLD_MS ? UINT64_MAX : (uint64_t)ceil(ms * USEC_PER_MSEC);
}

bool warm_up_parse_ms(const char *text, uint64_t *left)
{
	static const char digits[] = "0123456789.";
	char *end;
	double ms;

	if (strspn(text, digits) != strlen(text))
		return false;
	ms = strtod(text, &end);
	if (end == text || *end)
		return false;
	*left = warm_up_from_ms(ms);
	return true;
}

const char *warm_up_source_name(warm_up_source_t source)
{
	static const char *const names[WARM_UP_SOURCES] = {
		[WARM_UP_NONE] = "none",
		[WARM_UP_STARTED] = "started",
		[WARM_UP_ROW] = "registration",
		[WARM_UP_RESPONSE] = "response",
		[WARM_UP_PEER] = "peer",
		[WARM_UP_RETURNED] = "returned",
	};

	return names[source];
}
