#ifndef CORE_RATE_LIMIT_H
#define CORE_RATE_LIMIT_H
/*
 * rate_limit - the rate of requests that an endpoint takes from all routers, and its use
 *
 * An endpoint names the limit in its responses, which arrive out of order: one whose request was
 * sent before the present limit became known may be older than it, and can lower the limit but
 * not raise it or end it.  Starts are spaced by the rate, and a few may come together; a limit
 * that is new allows no burst.
 *
 * Rates are in thousandths of a request a second.
 */
#include "core/types.h"

#define RATE_NONE UINT32_MAX
#define RATE_PER_SECOND 1000 /* one request a second */
#define RATE_MAX 1000000000U
/* An endpoint that takes hardly any requests is sent one now and then, to learn of a change. */
#define RATE_MAX_INTERVAL (5 * USEC_PER_SEC)

typedef struct rate_limit {
	uint32_t rate;	   /* RATE_NONE: no limit */
	instant_t since;   /* when the limit became known, or was known to be gone */
	instant_t next_at; /* when the next start is due if starts are spaced evenly */
} rate_limit_t;

void rate_limit_init(rate_limit_t *this);
/* Sets the limit. */
void rate_limit_set(rate_limit_t *this, uint32_t rate, instant_t now);
/*
 * Records that a response to a request sent at `sent_at` named `rate`, or none if it is
 * RATE_NONE; returns whether the limit has changed.
 */
bool rate_limit_observe(rate_limit_t *this, uint32_t rate, instant_t sent_at, instant_t now);
/* Returns the time between two starts at an even pace. */
uint64_t rate_limit_interval(uint32_t rate);
/* Returns the `next_at` with which the next request may start at `at`. */
instant_t rate_limit_due_at(instant_t at);
/* Returns the time from which one more request may start. */
instant_t rate_limit_next(const rate_limit_t *this);
/* Returns how many requests may start until `until`; UINT32_MAX: any number. */
uint32_t rate_limit_starts_until(const rate_limit_t *this, instant_t until);
bool rate_limit_allows(const rate_limit_t *this, instant_t now);
/* Counts a start; the caller uses `share` of the rate, above 0 and at most 1. */
void rate_limit_count(rate_limit_t *this, double share, instant_t now);
/*
 * Parses a limit in requests a second, a decimal number that is not negative; false if it is
 * malformed.  Limits above RATE_MAX become RATE_MAX.
 */
bool rate_limit_parse(const char *text, uint32_t *rate);

/* For logs: -1 stands for no limit. */
static inline int64_t rate_limit_signed(uint32_t rate)
{
	return rate == RATE_NONE ? -1 : (int64_t)rate;
}

#endif
