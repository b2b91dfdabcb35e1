#ifndef TESTS_FLEET_SIM_H
#define TESTS_FLEET_SIM_H
/*
 * fleet_sim - simulates a fleet of routers with their placements, engines and callers
 *
 * Messages between routers arrive after a delay.  An engine prefills prompts one after another and
 * generates answers beside.  A refused caller comes back once, when it was told to.  Time is
 * simulated, and all randomness comes from the seed.
 *
 * Tokens are counted by workspace and second: those asked for when a request arrives, those got
 * when its run begins at an engine.  fleet_sim_unfair() checks them against the rule of fair
 * sharing.
 */
#include <glib.h>

#include "core/placement.h"

#define FLEET_POOL 7
#define FLEET_WORKSPACES 32
#define FLEET_SECONDS 40
#define FLEET_FAIR_WINDOW 6 /* seconds in which a workspace must get half of its share */

typedef struct fleet_cold_options {
	unsigned int per_second; /* requests that a cold engine bears; 0: any number */
	unsigned int ms;	 /* for which an engine is cold */
	bool is_told;		 /* engines say in responses how long they stay cold */
} fleet_cold_options_t;

/* A kind of request; sizes are mean numbers of tokens. */
typedef struct fleet_workload {
	unsigned int prompt;
	unsigned int shared;	   /* part of the prompt that other requests have too */
	unsigned int shared_parts; /* different ones of each workspace */
	unsigned int answer;
	unsigned int target_ms; /* objective for the first token */
	unsigned int deadline_ms;
} fleet_workload_t;

/* How an attempt of a request ended. */
typedef struct fleet_result {
	const fleet_workload_t *workload;
	unsigned int prompt; /* tokens */
	bool is_refused;
	bool is_in_time;  /* its first token came within the objective */
	bool beside_long; /* a long prompt was being read at its engine when it was sent there */
	uint64_t longest_pause; /* between two events of its stream, microseconds */
	bool paused_in_vain; /* by a prompt that another engine could have read in shorter pauses */
} fleet_result_t;

typedef struct fleet_options {
	unsigned int routers;
	unsigned int engines;
	unsigned int slots; /* of an engine */
	uint32_t seed;
	unsigned int prefill_tokens_per_ms; /* of an engine */
	/*
	 * The rest may be 0.  Speed of each engine, 1: as above; the tokens that an engine reads
	 * between two steps of its streams, 0: streams go on beside; the longest pause.
	 */
	const double *speeds;
	unsigned int chunk_tokens;
	unsigned int max_event_gap_ms;
	unsigned int long_prompt; /* tokens; see fleet_result_t */
	bool fixed_sizes;	  /* all requests of a workload have its mean sizes */
	void (*on_result)(void *ctx, const fleet_result_t *result);
	void *ctx;
} fleet_options_t;

/* Requests of a workspace that arrive at `routers` routers, from number `first_router` on. */
typedef struct fleet_offer {
	unsigned int workspace;
	const fleet_workload_t *workload;
	double per_second;
	unsigned int first_router;
	unsigned int routers;
	unsigned int from_ms; /* since the start of the simulation */
	unsigned int until_ms;
} fleet_offer_t;

typedef struct fleet_count {
	double asked;		  /* tokens */
	double got;		  /* tokens */
	unsigned int refused;	  /* requests */
	unsigned int past_target; /* requests that were still waiting after their objective */
} fleet_count_t;

typedef struct fleet_sim fleet_sim_t;

fleet_sim_t *fleet_sim_new(const fleet_options_t *options);
void fleet_sim_delete(fleet_sim_t *this);
void fleet_sim_offer(fleet_sim_t *this, const fleet_offer_t *offer);
void fleet_sim_run(fleet_sim_t *this, unsigned int ms);
/* Ends all runs at engines `first` to `first + count - 1`, which can't be reached until started. */
void fleet_sim_crash(fleet_sim_t *this, unsigned int first, unsigned int count);
void fleet_sim_start_engines(fleet_sim_t *this, unsigned int first, unsigned int count);
/* Routers `first` to `first + count - 1` take `ms` for each turn of their loop; 0: no time. */
void fleet_sim_slow_routers(
	fleet_sim_t *this, unsigned int first, unsigned int count, unsigned int ms);
/* Before the first fleet_sim_run(): what the engines' service says of cold ones. */
void fleet_sim_set_cold_options(fleet_sim_t *this, const fleet_cold_options_t *options);
/*
 * Engines `first` to `first + count - 1` are cold from now on, and can be reached.  Each router
 * reads that in their rows at a time of its own within `row_ms`; 0: no router does.
 */
void fleet_sim_turn_cold(
	fleet_sim_t *this, unsigned int first, unsigned int count, unsigned int row_ms);
/* Times that a cold engine got half as many requests again as it bears, and five, in a second. */
unsigned int fleet_sim_overruns(const fleet_sim_t *this);
/* Most requests that a cold engine got in a second; all that cold engines got. */
unsigned int fleet_sim_peak_while_cold(const fleet_sim_t *this);
unsigned int fleet_sim_arrivals_while_cold(const fleet_sim_t *this);
/* Kills the routers with all their requests, and starts them again. */
void fleet_sim_restart_routers(fleet_sim_t *this, unsigned int first, unsigned int count);
/* Drops messages between the routers below number `routers` and the others; 0: none. */
void fleet_sim_split(fleet_sim_t *this, unsigned int routers);
/* Loses so many of a thousand messages, brings as many twice, and as many late. */
void fleet_sim_disturb(fleet_sim_t *this, unsigned int per_mille);
/* Drops all messages between routers, or stops dropping them. */
void fleet_sim_cut(fleet_sim_t *this, bool cut);
/* Most runs without a grant that there were at a time, at all engines together. */
unsigned int fleet_sim_peak_without_grant(const fleet_sim_t *this);
const fleet_count_t *fleet_sim_count(
	const fleet_sim_t *this, unsigned int workspace, unsigned int second);
placement_t *fleet_sim_placement(fleet_sim_t *this, unsigned int router);
/* Messages and slot requests that the routers have sent. */
uint64_t fleet_sim_messages(const fleet_sim_t *this);
uint64_t fleet_sim_slot_requests(const fleet_sim_t *this);
/* Requests that were started without a grant of an owner. */
uint64_t fleet_sim_without_grant(const fleet_sim_t *this);
/* Requests that have arrived, retries included, and the runs that have begun. */
uint64_t fleet_sim_requests(const fleet_sim_t *this);
uint64_t fleet_sim_runs(const fleet_sim_t *this);
/*
 * Returns the number of windows and workspaces from second `from` up to `until` in which a
 * workspace had a request that was refused, or waited past its objective, in each second, and got
 * less than half of what it asked for or the best served one got, whichever is less, second by
 * second, less three of its largest requests.  Prints each of them.
 */
unsigned int fleet_sim_unfair(const fleet_sim_t *this, unsigned int from, unsigned int until);

#endif
