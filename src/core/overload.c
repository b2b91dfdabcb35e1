#include "core/overload.h"

#define WINDOW (500 * USEC_PER_MSEC)
#define BUSY_SHARE 0.9 /* of a window, from which on it counts as busy */
#define BUSY_WINDOWS 2 /* in a row, before a pause */
#define START_GRACE (5 * USEC_PER_SEC)
#define PAUSE (6 * USEC_PER_SEC) /* a balancer needs up to 2 s to notice each of its ends */
#define BETWEEN_PAUSES (3 * USEC_PER_SEC)

void overload_init(overload_t *this, instant_t now)
{
	*this = (overload_t){.window_start = now, .next_pause_from = now + START_GRACE};
}

bool overload_record(overload_t *this, uint64_t busy, instant_t now)
{
	uint64_t elapsed = now - this->window_start;

	this->busy += busy;
	if (elapsed < WINDOW)
		return false;
	if (this->busy >= elapsed * BUSY_SHARE)
		this->busy_windows++;
	else
		this->busy_windows = 0;
	this->busy = 0;
	this->window_start = now;
	if (this->busy_windows < BUSY_WINDOWS || now < this->next_pause_from)
		return false;
	this->busy_windows = 0;
	this->pause_until = now + PAUSE;
	this->next_pause_from = this->pause_until + BETWEEN_PAUSES;
	return true;
}

bool overload_is_paused(const overload_t *this, instant_t now)
{
	return now < this->pause_until;
}
