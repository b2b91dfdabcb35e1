#ifndef TESTS_HARNESS_H
#define TESTS_HARNESS_H
/*
 * harness - several nodes in one program, with time and seed given
 *
 * Messages are handed over after a delay, may be lost, and routers may be cut
 * off, killed and restarted.  A replica serves one cost unit a millisecond in
 * each slot in use.  Every router keeps the backlogs that a test sets up.
 */
#include <glib.h>

#include "core/node.h"

#define HARNESS_ROUTERS 16
#define HARNESS_WORKSPACES 8
#define HARNESS_REPLICAS 8
#define HARNESS_POOL 77
#define HARNESS_STEP (1 * USEC_PER_MSEC)

typedef struct work {
	node_request_t node;
	unsigned int router;
	unsigned int workspace;
	unsigned int replica;
	uint32_t cost;
	uint32_t served;
	instant_t arrived;
} work_t;

typedef struct harness_options {
	unsigned int routers;
	unsigned int replicas;
	unsigned int slots; /* of each replica */
	unsigned int workspaces;
	unsigned int weights[HARNESS_WORKSPACES];
	unsigned int long_cost;
	unsigned int delay_ms;
	unsigned int lose_per_mille;
	uint32_t seed;
	const char *policy;
} harness_options_t;

typedef struct harness {
	harness_options_t options;
	instant_t now;
	node_t *nodes[HARNESS_ROUTERS];
	bool alive[HARNESS_ROUTERS];
	bool cut[HARNESS_ROUTERS][HARNESS_ROUTERS];
	uint64_t incarnations[HARNESS_ROUTERS];
	GRand *random;
	GPtrArray *mail;
	GPtrArray *running; /* work_t */
	GHashTable *works;  /* all that are not over */
	unsigned int in_use[HARNESS_REPLICAS];
	unsigned int most_in_use[HARNESS_REPLICAS];
	/* by router and workspace: requests kept waiting, and their costs */
	unsigned int backlog[HARNESS_ROUTERS][HARNESS_WORKSPACES];
	unsigned int waiting[HARNESS_ROUTERS][HARNESS_WORKSPACES];
	unsigned int cost_min;
	unsigned int cost_max;
	/* what came of it */
	double served[HARNESS_WORKSPACES]; /* weighted */
	uint64_t served_units;
	uint64_t longest_wait_us[HARNESS_WORKSPACES];
	unsigned int started;
	unsigned int rejected;
	uint64_t messages;
	unsigned int last_retry_after_s;
} harness_t;

harness_t *harness_new(const harness_options_t *options);
void harness_delete(harness_t *this);
void harness_run(harness_t *this, unsigned int ms);
/* Runs until nothing is in progress, with no backlog kept. */
void harness_drain(harness_t *this);
void harness_kill(harness_t *this, unsigned int router);
void harness_start(harness_t *this, unsigned int router);
/* Cuts `router` off from all others, or joins it. */
void harness_cut(harness_t *this, unsigned int router, bool cut);
work_t *harness_arrive(harness_t *this, unsigned int router, unsigned int workspace, uint32_t cost,
	unsigned int deadline_ms);
/* Runs `ms`, and gives the largest change of the lead of any workspace over another. */
double harness_gap(harness_t *this, unsigned int ms);
id_t32 harness_replica_id(unsigned int replica);

#endif
