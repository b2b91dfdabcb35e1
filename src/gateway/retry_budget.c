#include "gateway/retry_budget.h"

#include <string.h>

void retry_budget_init(retry_budget_t *this, const retry_budget_options_t *options)
{
	memset(this, 0, sizeof(*this));
	this->options = options;
}

static unsigned int move_to(retry_budget_t *this, instant_t now)
{
	uint64_t slot = now / (this->options->window / RETRY_BUDGET_SLOTS);
	uint64_t steps = slot - this->slot;

	if (steps > RETRY_BUDGET_SLOTS)
		steps = RETRY_BUDGET_SLOTS;
	for (uint64_t i = 0; i < steps; i++) {
		this->requests[(slot - i) % RETRY_BUDGET_SLOTS] = 0;
		this->repeats[(slot - i) % RETRY_BUDGET_SLOTS] = 0;
	}
	this->slot = slot;
	return (unsigned int)(slot % RETRY_BUDGET_SLOTS);
}

void retry_budget_request(retry_budget_t *this, instant_t now)
{
	this->requests[move_to(this, now)]++;
}

bool retry_budget_take(retry_budget_t *this, instant_t now)
{
	unsigned int at = move_to(this, now);
	unsigned int requests = 0;
	unsigned int repeats = 0;

	for (unsigned int i = 0; i < RETRY_BUDGET_SLOTS; i++) {
		requests += this->requests[i];
		repeats += this->repeats[i];
	}
	if (repeats + 1 >
		this->options->ratio * requests + this->options->allowance / this->options->routers)
		return false;
	this->repeats[at]++;
	return true;
}
