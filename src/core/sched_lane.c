#include "core/sched_lane.h"

#include <math.h>

#define CONTENTION_TIME                                                                            \
	(1 * USEC_PER_SEC) /* after the last request that could not start in time                  \
			    */
#define ANSWER_WEIGHT 2	   /* cost of a generated token, in prompt tokens */

void sched_lane_init(sched_lane_t *this, id_t32 workspace, const double *decay)
{
	this->workspace = workspace;
	this->decay = decay;
	CDS_INIT_LIST_HEAD(&this->timely);
	CDS_INIT_LIST_HEAD(&this->late);
}

static double decayed(const sched_lane_t *this, double tokens, instant_t since, instant_t now)
{
	return tokens * exp(-(double)(now - since) / *this->decay);
}

double sched_lane_level(const sched_lane_t *this, instant_t now)
{
	return decayed(this, this->served, this->served_at, now);
}

void sched_lane_charge(sched_lane_t *this, double tokens, instant_t now)
{
	this->served = sched_lane_level(this, now) + tokens;
	if (this->served < 0)
		this->served = 0;
	this->served_at = now;
}

bool sched_lane_is_contended(const sched_lane_t *this, instant_t now)
{
	return now < this->contended_until;
}

void sched_lane_set_contended(sched_lane_t *this, instant_t now)
{
	this->contended_until = now + CONTENTION_TIME;
}

void sched_lane_limit_level(sched_lane_t *this, double least, double most, instant_t now)
{
	double level = sched_lane_level(this, now);

	this->counts.raised += level < least;
	this->served = fmax(least, fmin(most, level));
	this->served_at = now;
}

void sched_lane_charge_local(sched_lane_t *this, double tokens, instant_t now)
{
	sched_lane_charge(this, tokens, now);
	this->unreported += tokens;
}

void sched_lane_refund(sched_lane_t *this, double tokens, instant_t since, instant_t now)
{
	sched_lane_charge_local(this, -decayed(this, tokens, since, now), now);
}

double answer_cost(double answer)
{
	return ANSWER_WEIGHT * answer;
}

double engine_work_cost(const engine_work_t *work)
{
	return work->prompt + answer_cost(work->answer);
}
