#ifndef TESTS_ENGINE_SIM_H
#define TESTS_ENGINE_SIM_H
/*
 * engine_sim - load patterns played against one scheduler, with time and seed given
 *
 * The engines read prompts one after another at a fixed pace and generate one
 * token a step for all that run; what a test does is offer work and look at who
 * was served in time.
 */
#include <glib.h>

#include "core/scheduler.h"

#define SIM_POOL 7
#define SIM_WORKSPACES 8

typedef struct sim_options {
	unsigned int engines;
	unsigned int slots;
	unsigned int step_us;	  /* a generated token of each that runs */
	unsigned int read_per_ms; /* prompt tokens */
	uint32_t seed;
	uint64_t late_wait;
	unsigned int broken_engine; /* 1 + index of one that answers nobody, 0: none */
} sim_options_t;

typedef struct sim_kind {
	unsigned int prompt;
	unsigned int shared; /* of it, in one part drawn from `things` */
	unsigned int things;
	unsigned int answer;
	unsigned int target_ms;
	unsigned int deadline_ms;
} sim_kind_t;

typedef struct sim_count {
	unsigned int offered;
	unsigned int timely; /* first token within the objective */
	unsigned int late;
	unsigned int refused;
	uint64_t tokens;	  /* of those that were served */
	uint64_t longest_refusal; /* how long a refused one was held at most */
	uint64_t read_again;	  /* shared tokens that an engine had to read */
} sim_count_t;

typedef struct sim sim_t;

sim_t *sim_new(const sim_options_t *options);
void sim_delete(sim_t *this);
scheduler_t *sim_scheduler(sim_t *this);
/* Offers `per_second` requests of `kind` for the workspace during the next sim_run()s. */
void sim_offer(sim_t *this, unsigned int workspace, const sim_kind_t *kind, double per_second);
void sim_run(sim_t *this, unsigned int ms);
const sim_count_t *sim_count(const sim_t *this, unsigned int workspace);
/* By the size of the prompt: the largest tenth of what was offered, and all of it. */
double sim_served_share(const sim_t *this, bool largest_tenth);
instant_t sim_now(const sim_t *this);

#endif
