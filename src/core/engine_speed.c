#include "core/engine_speed.h"

#include <math.h>
#include <string.h>

#define MIN_TIME 0.01 /* microseconds; shorter times are not believed */
/* One sample counts as at most this many times more or less than the estimate, as a logarithm. */
#define MAX_SAMPLE_STEP 0.7
#define RECENT_WEIGHT 0.15
/* The mean over the kinds counts like this many samples of one kind. */
#define MEAN_SAMPLES 20.0
/* The prior counts like this many samples, and the usual value follows at most this slowly. */
#define PRIOR_SAMPLES 4.0
#define MAX_SAMPLES 200.0
/* The recent value returns to the usual one, and samples are forgotten, with these constants. */
#define RECENT_LIFETIME (2.0 * USEC_PER_SEC)
#define SAMPLES_LIFETIME (60.0 * USEC_PER_SEC)
/* The weight of a stated load falls with this constant. */
#define LOAD_LIFETIME (300.0 * USEC_PER_MSEC)
#define MAX_LOAD 20.0
#define FIRST_LOAD_STEP 1.0
#define MAX_LOAD_REPORTS 40.0
/* An engine is degraded when it takes this many times its usual time, known by enough samples. */
#define DEGRADED_RATIO 1.8
#define DEGRADED_MIN_SAMPLES 30.0

static double kept(double lifetime, instant_t since, instant_t now)
{
	return now > since ? exp(-(double)(now - since) / lifetime) : 1;
}

void engine_speed_init(engine_speed_t *this, const engine_speed_prior_t *prior)
{
	memset(this, 0, sizeof(*this));
	this->prior = *prior;
}

void engine_speed_set_prior(engine_speed_t *this, const engine_speed_prior_t *prior)
{
	this->prior.differ = prior->differ;
	for (unsigned int i = 0; i < ENGINE_SPEED_KINDS; i++) {
		speed_estimate_t *estimate = &this->estimates[i];
		double shift;

		if (!prior->time[i])
			continue;
		shift = this->prior.time[i] ? log(this->prior.time[i] / prior->time[i]) : 0;
		this->prior.time[i] = prior->time[i];
		if (!estimate->samples)
			continue;
		estimate->usual += shift;
		estimate->recent += shift;
	}
}

/* --- estimates ------------------------------------------------------------ */

static double samples_now(const speed_estimate_t *this, instant_t now)
{
	return this->samples * kept(SAMPLES_LIFETIME, this->sampled_at, now);
}

static double recent_now(const speed_estimate_t *this, instant_t now)
{
	return this->usual +
	       (this->recent - this->usual) * kept(RECENT_LIFETIME, this->sampled_at, now);
}

static double usual_now(const speed_estimate_t *this, instant_t now)
{
	return this->usual;
}

/*
 * The mean over the kinds by the weight of their samples: a machine that is slow is so at all that
 * it does.  The prior weighs as much as a few samples.
 */
static double mean_now(const engine_speed_t *this,
	double (*value)(const speed_estimate_t *estimate, instant_t now), instant_t now)
{
	double sum = 0;
	double weight = PRIOR_SAMPLES;

	for (unsigned int i = 0; i < ENGINE_SPEED_KINDS; i++) {
		double samples = samples_now(&this->estimates[i], now);

		sum += samples * value(&this->estimates[i], now);
		weight += samples;
	}
	return sum / weight;
}

/* Of one kind; with few samples of it, nearer to the mean over the kinds. */
static double value_now(const engine_speed_t *this, engine_speed_kind_t kind, instant_t now)
{
	const speed_estimate_t *estimate = &this->estimates[kind];
	double samples = samples_now(estimate, now);

	return (samples * recent_now(estimate, now) +
		       MEAN_SAMPLES * mean_now(this, recent_now, now)) /
	       (samples + MEAN_SAMPLES);
}

static double bounded_step(double from, double to)
{
	return fmin(fmax(to - from, -MAX_SAMPLE_STEP), MAX_SAMPLE_STEP);
}

static void add_sample(speed_estimate_t *this, double value, double weight, instant_t now)
{
	double recent = recent_now(this, now);

	this->samples = fmin(samples_now(this, now) + weight, MAX_SAMPLES);
	this->usual += bounded_step(this->usual, value) * weight / this->samples;
	this->recent = this->samples * RECENT_WEIGHT < 1
			       ? this->usual
			       : recent + RECENT_WEIGHT * weight * bounded_step(recent, value);
	this->sampled_at = now;
}

void engine_speed_record(
	engine_speed_t *this, engine_speed_kind_t kind, double time, double weight, instant_t now)
{
	time = fmax(time, MIN_TIME);
	if (!this->prior.time[kind])
		this->prior.time[kind] = time;
	add_sample(&this->estimates[kind], log(time / this->prior.time[kind]), weight, now);
}

void engine_speed_record_load(engine_speed_t *this, unsigned int percent, instant_t now)
{
	double step;

	if (!percent)
		return;
	this->load = log(fmin((double)percent / ENGINE_SPEED_USUAL_LOAD, MAX_LOAD));
	this->load_at = now;
	this->load_reports = fmin(this->load_reports + 1, MAX_LOAD_REPORTS);
	if (this->load_reports == 1)
		this->usual_load = this->load;
	/* Small steps of the same size lead to the median: a machine is slow now and then. */
	step = FIRST_LOAD_STEP / this->load_reports;
	this->usual_load += fmin(fmax(this->load - this->usual_load, -step), step);
}

double engine_speed_time(const engine_speed_t *this, engine_speed_kind_t kind, instant_t now)
{
	return this->prior.time[kind] * exp(value_now(this, kind, now));
}

double engine_speed_load(const engine_speed_t *this, instant_t now)
{
	return exp((this->load - this->usual_load) * kept(LOAD_LIFETIME, this->load_at, now));
}

/* --- comparison ------------------------------------------------------------- */

double engine_speed_ratio(const engine_speed_t *this, instant_t now)
{
	return exp(mean_now(this, recent_now, now));
}

bool engine_speed_is_degraded(const engine_speed_t *this, instant_t now)
{
	double samples = 0;

	for (unsigned int i = 0; i < ENGINE_SPEED_KINDS; i++)
		samples = fmax(samples, samples_now(&this->estimates[i], now));
	return samples >= DEGRADED_MIN_SAMPLES &&
	       mean_now(this, recent_now, now) - mean_now(this, usual_now, now) >
		       log(DEGRADED_RATIO);
}

/* --- from one owner to the next --------------------------------------------- */

engine_speed_report_t engine_speed_report(const engine_speed_t *this, instant_t now)
{
	engine_speed_report_t report = {.age = UINT64_MAX};

	for (unsigned int i = 0; i < ENGINE_SPEED_KINDS; i++) {
		const speed_estimate_t *estimate = &this->estimates[i];

		if (!estimate->samples)
			continue;
		report.time[i] = this->prior.time[i] * exp(estimate->usual);
		report.samples = fmax(report.samples, samples_now(estimate, now));
		report.age = instant_min(report.age, now - estimate->sampled_at);
	}
	return report;
}

void engine_speed_restore(engine_speed_t *this, const engine_speed_report_t *report, instant_t now)
{
	instant_t sampled_at = now > report->age ? now - report->age : 0;

	for (unsigned int i = 0; i < ENGINE_SPEED_KINDS; i++) {
		speed_estimate_t *estimate = &this->estimates[i];

		if (!report->time[i] || (estimate->samples && estimate->sampled_at >= sampled_at))
			continue;
		if (!this->prior.time[i])
			this->prior.time[i] = report->time[i];
		estimate->usual = log(fmax(report->time[i], MIN_TIME) / this->prior.time[i]);
		estimate->recent = estimate->usual;
		estimate->samples = fmin(report->samples, MAX_SAMPLES);
		estimate->sampled_at = sampled_at;
	}
}
