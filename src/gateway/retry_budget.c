#include "gateway/retry_budget.h"

#include <string.h>

void retry_budget_init(retry_budget_t *this, const retry_budget_options_t *options)
{
	memset(this, 0, sizeof(*this));
	this->options = options;
}

/* Clears the buckets that have expired; returns the index of the current one. */
static unsigned int advance_window(retry_budget_t *this, instant_t now)
{
	uint64_t bucket = now / (this->options->window / RETRY_BUDGET_BUCKETS);
	uint64_t steps = bucket - this->bucket;

	if (steps > RETRY_BUDGET_BUCKETS)
		steps = RETRY_BUDGET_BUCKETS;
	for (uint64_t i = 0; i < steps; i++) {
		this->requests[(bucket - i) % RETRY_BUDGET_BUCKETS] = 0;
		this->retries[(bucket - i) % RETRY_BUDGET_BUCKETS] = 0;
	}
	this->bucket = bucket;
	return (unsigned int)(bucket % RETRY_BUDGET_BUCKETS);
}

void retry_budget_request(retry_budget_t *this, instant_t now)
{
	this->requests[advance_window(this, now)]++;
}

bool retry_budget_take(retry_budget_t *this, instant_t now)
{
	unsigned int newest = advance_window(this, now);
	unsigned int requests = 0;
	unsigned int retries = 0;

	for (unsigned int i = 0; i < RETRY_BUDGET_BUCKETS; i++) {
		requests += this->requests[i];
		retries += this->retries[i];
	}
	if (retries + 1 >
		this->options->ratio * requests + this->options->allowance / this->options->routers)
		return false;
	this->retries[newest]++;
	return true;
}
