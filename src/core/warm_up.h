#ifndef CORE_WARM_UP_H
#define CORE_WARM_UP_H
/*
 * warm_up - how long an endpoint is cold, and the starts that it bears meanwhile
 *
 * An endpoint that has started a short time ago, or goes cold later, bears only a few starts a
 * second from all routers.  Statements of how long it stays cold come from the endpoint, its
 * registration and other routers, in any order: the newest counts.  Starts are counted while the
 * endpoint is warm, too, so that those of the last second are known when it turns out to be cold.
 */
#include "core/rate_limit.h"

typedef enum warm_up_source {
	WARM_UP_NONE,	  /* nothing is known */
	WARM_UP_STARTED,  /* the endpoint's start, or when it was seen first */
	WARM_UP_ROW,	  /* its registration */
	WARM_UP_RESPONSE, /* a response */
	WARM_UP_PEER,	  /* another router */
	WARM_UP_RETURNED, /* it was away, or out of use: it may have started again */
	WARM_UP_SOURCES,
} warm_up_source_t;

/* How long an endpoint stays cold according to a source. */
typedef struct warm_up_statement {
	warm_up_source_t source;
	instant_t cold_until; /* 0: warm; INSTANT_NEVER: until told otherwise */
	instant_t stated_at;
} warm_up_statement_t;

typedef struct warm_up {
	rate_limit_t pace;  /* of starts while it is cold; RATE_NONE: as many as when warm */
	uint64_t cold_time; /* microseconds for which it is cold after a start, 0: unknown */
	warm_up_statement_t newest;
	/* When it could not be reached, first and last, since it was or said anything; 0: it can.
	 */
	instant_t unreached_since;
	instant_t unreached_at;
} warm_up_t;

void warm_up_init(warm_up_t *this);
/* Sets what the endpoint's service says; a `pace` of 0 or RATE_NONE: any. */
void warm_up_configure(warm_up_t *this, uint32_t pace, uint64_t cold_time, instant_t now);
/* Takes up a statement unless it is older than what is known; returns whether it was. */
bool warm_up_observe(warm_up_t *this, const warm_up_statement_t *statement);
/* The endpoint is in use again, and may have started meanwhile. */
void warm_up_returned(warm_up_t *this, instant_t now);
/*
 * A request did not reach the endpoint, or one did.  An endpoint that was out of reach for a while
 * is cold until it is reached, and for its time then: it may have started again.
 */
void warm_up_unreached(warm_up_t *this, instant_t now);
void warm_up_reached(warm_up_t *this, instant_t now);
bool warm_up_is_cold(const warm_up_t *this, instant_t now);
/* Microseconds until it is warm; UINT64_MAX: until told otherwise. */
uint64_t warm_up_left(const warm_up_t *this, instant_t now);

/* Returns whether a request may start now. */
bool warm_up_allows(const warm_up_t *this, instant_t now);
/* Returns the time from which one more request may start. */
instant_t warm_up_next(const warm_up_t *this, instant_t now);
/* Returns how many requests may start until `until`; UINT32_MAX: any number. */
uint32_t warm_up_starts_until(const warm_up_t *this, instant_t until, instant_t now);
/* Counts a start; the caller uses `share` of the pace, above 0 and at most 1. */
void warm_up_count(warm_up_t *this, double share, instant_t now);
/* Another sender may have used the pace until now. */
void warm_up_assume_used(warm_up_t *this, instant_t now);
/*
 * Spreads the first starts of many senders that use `share` of the pace each: this one waits for
 * the part `phase`, from 0 to 1, of the time between two of its starts.
 */
void warm_up_spread(warm_up_t *this, double share, double phase, instant_t now);

/*
 * Until when an endpoint is cold that does not say so: `age` is the time since its start,
 * UINT64_MAX if it is unknown; `is_new`: it was not there when this router started.  0: warm.
 */
instant_t warm_up_own_time(uint64_t age, bool is_new, uint64_t cold_time, instant_t seen_at);
/*
 * Parses milliseconds, a decimal number that is not negative, to microseconds; more than an hour
 * becomes UINT64_MAX.  False if it is malformed.
 */
bool warm_up_parse_ms(const char *text, uint64_t *left);
/* The same for a number; not negative. */
uint64_t warm_up_from_ms(double ms);
/* For logs. */
const char *warm_up_source_name(warm_up_source_t source);

static inline instant_t warm_up_deadline(uint64_t left, instant_t now)
{
	if (!left)
		return 0;
	return left == UINT64_MAX ? INSTANT_NEVER : now + left;
}

#endif
