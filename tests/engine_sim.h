#ifndef TESTS_ENGINE_SIM_H
#define TESTS_ENGINE_SIM_H
/*
 * engine_sim - simulates engines and offered load around one scheduler
 *
 * An engine prefills prompts one after another at a fixed rate.  At the same
 * time it generates one token every `step_us` for each request whose prefill is
 * done, and more slowly while it prefills if `interference` says so.  Engines may
 * differ in speed.  Time is simulated and all randomness comes from the seed.  A test sets
 * the offered load, runs the simulation and checks which requests were served
 * in time.
 */
#include <glib.h>

#include "core/scheduler.h"

#define SIM_POOL 7
#define SIM_WORKSPACES 8

typedef struct sim_options {
	unsigned int engines;
	unsigned int slots;
	unsigned int step_us;		    /* duration of one decode step */
	unsigned int prefill_tokens_per_ms; /* of one engine */
	uint32_t seed;
	uint64_t late_wait;		 /* option of the scheduler, microseconds */
	unsigned int unreachable_engine; /* 1 + index of an engine that can't be reached, 0: none */
	const double *slowness; /* for each engine: how many times longer all work takes; NULL: 1 */
	/* Each engine is `noise` times slower in this share of the time, for `noise_ms` at once. */
	double noise; /* 0: never */
	double noise_share;
	unsigned int noise_ms;
	double interference;	   /* how many times longer a step takes beside a prefill, 0: 1 */
	uint64_t max_event_gap;	   /* limit of the engines, microseconds; 0: none */
	unsigned int event_tokens; /* tokens of one event of a stream, 0: 1 */
} sim_options_t;

/* A kind of request; sizes are in tokens. */
typedef struct sim_workload {
	unsigned int prompt; /* mean size of the private part of the prompt */
	unsigned int shared; /* size of the shared part, which comes before the private part */
	unsigned int shared_parts; /* different shared parts, drawn at random; 0: none */
	unsigned int answer;
	unsigned int target_ms; /* objective for the first token */
	unsigned int deadline_ms;
} sim_workload_t;

/* Counts of the requests of one workspace. */
typedef struct sim_count {
	unsigned int offered;
	unsigned int timely; /* first token within the objective */
	unsigned int late;   /* first token after the objective */
	unsigned int refused;
	uint64_t tokens;		/* prompt + 2 * generated tokens, of completed requests */
	uint64_t longest_refusal_wait;	/* longest time from arrival to refusal, microseconds */
	uint64_t shared_prefill_tokens; /* shared tokens that the engine had not cached */
} sim_count_t;

/* What one engine did. */
typedef struct sim_engine_count {
	unsigned int streams;	  /* that ended */
	unsigned int late_pauses; /* those of them with a pause above max_event_gap */
	uint64_t tokens;	  /* prompt + 2 * generated tokens of them */
} sim_engine_count_t;

typedef struct sim sim_t;

sim_t *sim_new(const sim_options_t *options);
void sim_delete(sim_t *this);
scheduler_t *sim_scheduler(sim_t *this);
/* Adds a load of `per_second` requests on average for the workspace to later sim_run() calls. */
void sim_offer(
	sim_t *this, unsigned int workspace, const sim_workload_t *workload, double per_second);
void sim_run(sim_t *this, unsigned int ms);
const sim_count_t *sim_count(const sim_t *this, unsigned int workspace);
/*
 * Returns the share of requests that got a first token, out of those and the refused
 * ones; with `largest_tenth`, only for the tenth of them with the largest prompts.
 */
double sim_served_share(const sim_t *this, bool largest_tenth);
const sim_engine_count_t *sim_engine_count(const sim_t *this, unsigned int index);
instant_t sim_now(const sim_t *this);
/* Id of an engine, from 0. */
id_t32 sim_engine_id(unsigned int index);

#endif
