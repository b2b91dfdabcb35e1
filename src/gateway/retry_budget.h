#ifndef GATEWAY_RETRY_BUDGET_H
#define GATEWAY_RETRY_BUDGET_H
/*
 * retry_budget - how many times requests may be sent once more, over a sliding window
 *
 * Each router spends from its own part: a share of the requests that it took
 * itself, and an even part of the fixed allowance.  So the sum over the fleet
 * holds without a word between routers.
 */
#include "core/types.h"

#define RETRY_BUDGET_SLOTS 20

typedef struct retry_budget_options {
	double ratio;	      /* repeats for each request */
	double allowance;     /* repeats on top, of the whole fleet */
	unsigned int routers; /* that the allowance is parted among; may change */
	uint64_t window;      /* microseconds */
} retry_budget_options_t;

typedef struct retry_budget {
	const retry_budget_options_t *options;
	unsigned int requests[RETRY_BUDGET_SLOTS];
	unsigned int repeats[RETRY_BUDGET_SLOTS];
	uint64_t slot; /* number of the newest slot */
} retry_budget_t;

void retry_budget_init(retry_budget_t *this, const retry_budget_options_t *options);
void retry_budget_request(retry_budget_t *this, instant_t now);
/* Takes one repeat; false when there is none left. */
bool retry_budget_take(retry_budget_t *this, instant_t now);

#endif
