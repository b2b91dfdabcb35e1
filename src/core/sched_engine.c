#include "core/sched_engine.h"

#define DOWN_FIRST (250 * USEC_PER_MSEC) /* doubles with each failure in a row */
#define DOWN_DOUBLINGS 4
#define FULL_PAUSE (40 * USEC_PER_MSEC) /* after a refusal: a request ends within it */
#define PROBED_FROM 2 /* failures in a row: one alone may be any request's bad luck */
#define PROBES 2      /* at once, at an engine that failed so often */
#define FAILING_WEIGHT 0.1
#define FAILING_PENALTY (500.0 * USEC_PER_MSEC) /* on an engine where all requests fail */
#define FOREIGN_WEIGHT 0.2
#define FOREIGN_MEMORY (1 * USEC_PER_SEC) /* that a report of foreign load is believed */

static unsigned int foreign_load(const sched_engine_t *this, instant_t now)
{
	return now < this->foreign_at + FOREIGN_MEMORY ? (unsigned int)(this->foreign + 0.5) : 0;
}

unsigned int sched_engine_slots(const sched_engine_t *this, instant_t now)
{
	unsigned int foreign = foreign_load(this, now);
	unsigned int slots = this->model.limits.slots;

	if (!this->usable || now < this->down_until)
		return 0;
	if (this->failures >= PROBED_FROM)
		return PROBES;
	return slots > foreign ? slots - foreign : 1;
}

uint64_t sched_engine_penalty(const sched_engine_t *this)
{
	return (uint64_t)(this->failing * FAILING_PENALTY);
}

void sched_engine_note_good(sched_engine_t *this)
{
	this->failures = 0;
	this->failing *= 1 - FAILING_WEIGHT;
}

void sched_engine_note_failure(sched_engine_t *this, place_end_t end, instant_t now)
{
	unsigned int doublings;

	if (end == PLACE_REFUSED) {
		this->down_until = now + FULL_PAUSE;
		return;
	}
	this->failing += FAILING_WEIGHT * (1 - this->failing);
	doublings = this->failures < DOWN_DOUBLINGS ? this->failures : DOWN_DOUBLINGS;
	this->failures++;
	if (end == PLACE_UNREACHED)
		this->down_until = now + (DOWN_FIRST << doublings);
}

void sched_engine_note_load(sched_engine_t *this, unsigned int load, instant_t now)
{
	unsigned int known = this->model.running;
	unsigned int seen = load > known ? load - known : 0;

	if (now >= this->foreign_at + FOREIGN_MEMORY)
		this->foreign = 0;
	this->foreign += FOREIGN_WEIGHT * (seen - this->foreign);
	this->foreign_at = now;
}
