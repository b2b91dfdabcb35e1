#ifndef GATEWAY_RETRY_BUDGET_H
#define GATEWAY_RETRY_BUDGET_H
/*
 * retry_budget - limits the number of retries in a sliding window
 *
 * Each router spends from its own budget: a ratio of the requests that it received
 * itself, plus an equal part of the fleet's fixed allowance.  The fleet's total thus
 * holds without communication between routers.
 */
#include "core/types.h"

#define RETRY_BUDGET_BUCKETS 20

typedef struct retry_budget_options {
	double ratio;	      /* retries per request */
	double allowance;     /* additional retries per window, for the whole fleet */
	unsigned int routers; /* number of routers that share the allowance; may change */
	uint64_t window;      /* microseconds */
} retry_budget_options_t;

typedef struct retry_budget {
	const retry_budget_options_t *options;
	unsigned int requests[RETRY_BUDGET_BUCKETS];
	unsigned int retries[RETRY_BUDGET_BUCKETS];
	uint64_t bucket; /* number of the newest bucket, counted from instant 0 */
} retry_budget_t;

/* `options` must outlive the budget. */
void retry_budget_init(retry_budget_t *this, const retry_budget_options_t *options);
/* Counts a new request. */
void retry_budget_request(retry_budget_t *this, instant_t now);
/* Spends one retry; false when the budget is exhausted. */
bool retry_budget_take(retry_budget_t *this, instant_t now);

#endif
