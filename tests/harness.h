#ifndef TESTS_HARNESS_H
#define TESTS_HARNESS_H
/*
 * harness - simulates a fleet of nodes in one process, with simulated time and a given seed
 *
 * Messages between nodes arrive after a delay and may be lost; routers can be
 * partitioned, killed and restarted.  A replica serves one cost unit per millisecond
 * in each slot in use.  Each router always keeps `backlog` requests of each
 * workspace waiting: a new request replaces each one that starts.
 */
#include <glib.h>

#include "core/node.h"

#define HARNESS_ROUTERS 16
#define HARNESS_WORKSPACES 8
#define HARNESS_REPLICAS 8
#define HARNESS_POOL 77
#define HARNESS_STEP (1 * USEC_PER_MSEC) /* simulated time of one step */

typedef struct harness_request {
	node_request_t node_request;
	unsigned int router;
	unsigned int workspace;
	unsigned int replica;
	uint32_t cost;	 /* cost units in all */
	uint32_t served; /* cost units so far */
	instant_t arrived;
} harness_request_t;

typedef struct harness_options {
	unsigned int routers;
	unsigned int replicas;
	unsigned int slots; /* of each replica */
	unsigned int workspaces;
	unsigned int weights[HARNESS_WORKSPACES];
	unsigned int long_cost;	     /* of the pool, as in plan_pool_t */
	unsigned int delay_ms;	     /* from sending a message to its delivery */
	unsigned int lose_per_mille; /* share of the messages that are lost */
	uint32_t seed;
	const char *policy;
} harness_options_t;

typedef struct harness {
	harness_options_t options;
	instant_t now;
	node_t *nodes[HARNESS_ROUTERS];
	bool alive[HARNESS_ROUTERS];
	bool partitioned[HARNESS_ROUTERS][HARNESS_ROUTERS]; /* by sender and receiver */
	uint64_t incarnations[HARNESS_ROUTERS];
	GRand *random;
	GPtrArray *in_flight; /* messages not yet delivered */
	GPtrArray *running;   /* harness_request_t */
	GHashTable *requests; /* set of harness_request_t, waiting or running; owns them */
	unsigned int in_use[HARNESS_REPLICAS];
	unsigned int most_in_use[HARNESS_REPLICAS];
	/* By router and workspace: how many requests to keep waiting, and how many are. */
	unsigned int backlog[HARNESS_ROUTERS][HARNESS_WORKSPACES];
	unsigned int waiting[HARNESS_ROUTERS][HARNESS_WORKSPACES];
	/* The cost of a backlog request is drawn from this range, bounds included. */
	unsigned int cost_min;
	unsigned int cost_max;
	/* Results so far. */
	double served[HARNESS_WORKSPACES]; /* cost units divided by the weight */
	uint64_t served_units;		   /* cost units of all workspaces */
	uint64_t longest_wait_us[HARNESS_WORKSPACES];
	unsigned int started;
	unsigned int rejected;
	uint64_t messages; /* sent, the lost ones included */
	/* How often a router asked for a new connection to another, by both. */
	unsigned int renewed[HARNESS_ROUTERS][HARNESS_ROUTERS];
	unsigned int last_retry_after_s;
} harness_t;

harness_t *harness_new(const harness_options_t *options);
void harness_delete(harness_t *this);
void harness_run(harness_t *this, unsigned int ms);
/* Stops refilling the backlogs and runs until no request is waiting or running. */
void harness_drain(harness_t *this);
/* Stops the router at once; its requests are lost. */
void harness_kill_router(harness_t *this, unsigned int router);
/* Starts the router with a new incarnation and no state. */
void harness_start_router(harness_t *this, unsigned int router);
/* Drops all messages between `router` and the others, or stops dropping them. */
void harness_set_partitioned(harness_t *this, unsigned int router, bool partitioned);
/* Submits one request at `router`; the harness owns the result, which may be freed already. */
harness_request_t *harness_submit(harness_t *this, unsigned int router, unsigned int workspace,
	uint32_t cost, unsigned int deadline_ms);
/*
 * Runs for `ms` and returns the fairness gap: the lead of a workspace over another is the
 * difference of their `served`, and the gap is the largest range over which the lead of
 * any pair varied.  It is sampled every 20 ms.
 */
double harness_measure_fairness_gap(harness_t *this, unsigned int ms);
id_t32 harness_replica_id(unsigned int replica);

#endif
