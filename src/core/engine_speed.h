#ifndef CORE_ENGINE_SPEED_H
#define CORE_ENGINE_SPEED_H
/*
 * engine_speed - how fast one engine prefills, decodes and serves plain requests, as its owner sees
 *
 * Three figures are estimated from what requests took: the time to prefill a prompt token, the time
 * of a decode step, and the time of a plain request.  Each keeps a recent value and the engine's
 * usual one.  Without samples the recent value returns to the usual one within seconds and the
 * usual one to the prior within a minute, so that an engine that was slow for a moment is tried
 * again.  The prior is what the pool's engines need in the median: a new engine gets as much work
 * as the others, not more.  One sample moves an estimate by a bounded part, however far off it is.
 *
 * Beside these stands what the engine's machine says of itself: how long work takes there now.  It
 * changes many times a second.  What counts is its ratio to what the same machine says usually, as
 * how fast the machine is by itself is in the estimates already; the ratio fades with its age.
 *
 * Times are in microseconds.
 */
#include "core/types.h"

#define ENGINE_SPEED_USUAL_LOAD 100 /* percent */
/* From this ratio of their speeds on, two engines count as different. */
#define ENGINE_SPEED_MIN_RATIO 1.4

typedef enum engine_speed_kind {
	ENGINE_SPEED_PREFILL, /* a prompt token */
	ENGINE_SPEED_STEP,    /* a decode step */
	ENGINE_SPEED_PLAIN,   /* a request without a stream */
	ENGINE_SPEED_KINDS,
} engine_speed_kind_t;

/* One estimate, as natural logarithms of the ratio to the prior. */
typedef struct speed_estimate {
	double recent;
	double usual;
	double samples; /* that `usual` is based on, forgotten with time */
	instant_t sampled_at;
} speed_estimate_t;

typedef struct engine_speed_prior {
	double time[ENGINE_SPEED_KINDS]; /* 0: unknown */
	bool differ;			 /* some engines of the pool differ from the median */
} engine_speed_prior_t;

typedef struct engine_speed {
	engine_speed_prior_t prior;
	speed_estimate_t estimates[ENGINE_SPEED_KINDS];
	double load;	     /* that its machine stated last, as a natural logarithm */
	double usual_load;   /* that it states mostly, likewise */
	double load_reports; /* how many stated it so far, up to a limit */
	instant_t load_at;
} engine_speed_t;

/* What one owner tells the next; a time of 0 is unknown. */
typedef struct engine_speed_report {
	double time[ENGINE_SPEED_KINDS];
	double samples;
	uint64_t age; /* of the latest sample */
} engine_speed_report_t;

void engine_speed_init(engine_speed_t *this, const engine_speed_prior_t *prior);
/* Sets what to assume without samples; keeps the estimates. */
void engine_speed_set_prior(engine_speed_t *this, const engine_speed_prior_t *prior);
/*
 * Records that a unit took `time` on a machine as loaded as usual; the sample counts by its weight,
 * above 0 and at most 1.
 */
void engine_speed_record(
	engine_speed_t *this, engine_speed_kind_t kind, double time, double weight, instant_t now);
/* Records that the machine says that work takes `percent` of some nominal time. */
void engine_speed_record_load(engine_speed_t *this, unsigned int percent, instant_t now);

/* Returns the time of a unit while the machine is as loaded as usual. */
double engine_speed_time(const engine_speed_t *this, engine_speed_kind_t kind, instant_t now);
/* Returns how much longer work takes now than usually on this machine; 1: nothing recent known. */
double engine_speed_load(const engine_speed_t *this, instant_t now);
/*
 * Returns the engine's time in relation to the prior, over prefill and decoding or over plain
 * requests, whichever has samples: 2 is half as fast as the pool's median.
 */
double engine_speed_ratio(const engine_speed_t *this, instant_t now);
/* Returns whether the engine is much slower than it used to be, as from a fault. */
bool engine_speed_is_degraded(const engine_speed_t *this, instant_t now);

/* What the next owner needs, and taking it over: samples of one's own that are newer stay. */
engine_speed_report_t engine_speed_report(const engine_speed_t *this, instant_t now);
void engine_speed_restore(engine_speed_t *this, const engine_speed_report_t *report, instant_t now);

#endif
