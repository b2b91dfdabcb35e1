#include "core/sched_engine.h"

/* Time without requests after a failed connection; doubles with each failure in a row. */
#define INITIAL_DOWN_TIME (250 * USEC_PER_MSEC)
#define MAX_DOWN_DOUBLINGS 4
/* Time without requests after the engine refused one: within it, a running request ends. */
#define REFUSAL_PAUSE (40 * USEC_PER_MSEC)
/* Failures in a row before an engine is only probed; a single one may be chance. */
#define PROBE_FAILURES 2
#define PROBE_SLOTS 2	   /* requests at a time at an engine that is only probed */
#define FAILURE_WEIGHT 0.1 /* of a new sample in the moving average */
#define FAILURE_PENALTY (500.0 * USEC_PER_MSEC) /* for an engine where all requests fail */
/* For one much slower than it used to be: a fault may be the cause.  One always slow has none. */
#define DEGRADED_PENALTY (100 * USEC_PER_MSEC)
#define EXTERNAL_LOAD_WEIGHT 0.2		  /* of a new sample in the moving average */
#define EXTERNAL_LOAD_LIFETIME (1 * USEC_PER_SEC) /* how long a load report stays valid */

static unsigned int recent_external_load(const sched_engine_t *this, instant_t now)
{
	return now < this->external_load_at + EXTERNAL_LOAD_LIFETIME
		       ? (unsigned int)(this->external_load + 0.5)
		       : 0;
}

unsigned int sched_engine_usable_slots(const sched_engine_t *this, instant_t now)
{
	unsigned int external = recent_external_load(this, now);
	unsigned int slots = this->model.limits.slots;

	if (!this->usable || now < this->down_until)
		return 0;
	if (this->failures >= PROBE_FAILURES)
		return PROBE_SLOTS;
	return slots > external ? slots - external : 1;
}

uint64_t sched_engine_failure_penalty(const sched_engine_t *this)
{
	return (uint64_t)(this->failure_ratio * FAILURE_PENALTY) +
	       (this->model.degraded ? DEGRADED_PENALTY : 0);
}

bool sched_engine_may_start(const sched_engine_t *this, instant_t now)
{
	return rate_limit_allows(&this->rate_limit, now) && warm_up_allows(&this->warm_up, now);
}

instant_t sched_engine_next_start(const sched_engine_t *this, instant_t now)
{
	return instant_max(rate_limit_next(&this->rate_limit), warm_up_next(&this->warm_up, now));
}

uint32_t sched_engine_starts_until(const sched_engine_t *this, instant_t until, instant_t now)
{
	uint32_t by_limit = rate_limit_starts_until(&this->rate_limit, until);
	uint32_t by_pace = warm_up_starts_until(&this->warm_up, until, now);

	return by_limit < by_pace ? by_limit : by_pace;
}

void sched_engine_record_success(sched_engine_t *this, instant_t now)
{
	warm_up_reached(&this->warm_up, now);
	this->failures = 0;
	this->failure_ratio *= 1 - FAILURE_WEIGHT;
}

void sched_engine_record_failure(sched_engine_t *this, slot_result_t result, instant_t now)
{
	unsigned int doublings;

	if (result == SLOT_REFUSED) {
		this->down_until = now + REFUSAL_PAUSE;
		return;
	}
	this->failure_ratio += FAILURE_WEIGHT * (1 - this->failure_ratio);
	doublings = this->failures < MAX_DOWN_DOUBLINGS ? this->failures : MAX_DOWN_DOUBLINGS;
	this->failures++;
	if (result != SLOT_UNREACHABLE)
		return;
	this->down_until = now + (INITIAL_DOWN_TIME << doublings);
	warm_up_unreached(&this->warm_up, now);
}

void sched_engine_record_sign(sched_engine_t *this)
{
	this->down_until = 0;
}

void sched_engine_record_load(sched_engine_t *this, unsigned int load, instant_t now)
{
	unsigned int own = this->model.running;
	unsigned int excess = load > own ? load - own : 0;

	if (now >= this->external_load_at + EXTERNAL_LOAD_LIFETIME)
		this->external_load = 0;
	this->external_load += EXTERNAL_LOAD_WEIGHT * (excess - this->external_load);
	this->external_load_at = now;
}
