#ifndef CORE_NODE_H
#define CORE_NODE_H
/*
 * node - one router's decisions: which request starts when, on which replica
 *
 * The embedder feeds events and the time, and drains actions with
 * node_next_action().  A node reads no clock, does no I/O, starts no thread and
 * draws its random numbers from the seed in its options.  All calls are made
 * from one thread.
 *
 * Cost units: about one generated token, or a plain call's hint.
 */
#include <urcu/list.h>

#include "core/allocator.h"
#include "core/member.h"
#include "core/message.h"
#include "core/pool.h"
#include "core/reason.h"

/* What the operators' text says, in ids. Copied by node_set_plan(). */
typedef struct plan_pool {
	id_t32 id;
	unsigned int long_cost;
	unsigned int long_share;
} plan_pool_t;

typedef struct plan_replica {
	id_t32 id;
	id_t32 pool;
	unsigned int slots;
} plan_replica_t;

typedef struct plan_workspace {
	id_t32 id;
	unsigned int weight;
} plan_workspace_t;

typedef struct plan {
	uint64_t version;
	const plan_pool_t *pools;
	unsigned int pool_count;
	const plan_replica_t *replicas;
	unsigned int replica_count;
	const plan_workspace_t *workspaces;
	unsigned int workspace_count;
} plan_t;

typedef enum node_request_state {
	REQUEST_NEW,
	REQUEST_WAITING,
	REQUEST_RUNNING,
	REQUEST_FINISHED,
} node_request_state_t;

/*
 * A request as the node sees it, embedded in the embedder's own.  The first
 * group is set by the embedder before node_arrive(); the rest is the node's.
 * It must stay valid until it is over: rejected, ended or cancelled.
 */
typedef struct node_request {
	id_t32 pool;
	id_t32 workspace;
	uint32_t hint;	    /* rough cost */
	uint64_t prefix;    /* hash of the prompt's prefix, 0 for none */
	instant_t deadline; /* to start by */
	id_t32 avoid;	    /* replica where it failed, taken only when no other is free; 0: none */

	struct cds_list_head link;
	node_request_state_t state;
	lane_t *lane;
	replica_t *replica;
	work_class_t work_class;
	uint32_t charged;
	instant_t arrived;
	unsigned int bound_owner; /* for the forwarding policy */
} node_request_t;

typedef enum end_kind {
	END_DONE,    /* the whole answer came */
	END_REFUSED, /* the replica did not take it */
	END_BROKEN,  /* it failed during the answer */
	END_STOPPED, /* the caller went away, or the router gave up */
} end_kind_t;

typedef enum action_kind {
	ACTION_START,	   /* send `request` to `replica` */
	ACTION_REJECT,	   /* tell the caller `reason` and `retry_after_s` */
	ACTION_SEND,	   /* fetch the message with node_message() and send it to `slot` */
	ACTION_FETCH_TEXT, /* a router has fleet text `version` */
} action_kind_t;

typedef struct node_action {
	action_kind_t kind;
	node_request_t *request;
	id_t32 replica;
	reason_t reason;
	unsigned int retry_after_s;
	unsigned int slot;
	uint64_t version;
} node_action_t;

typedef struct policy_ops policy_ops_t;

typedef struct node_options {
	id_t32 self;
	uint64_t incarnation; /* grows with each start of this router */
	uint64_t seed;
	const char *policy; /* "fleet", "fixed", "least" or "forward" */
	unsigned int max_members;
	const allocator_t *allocator; /* NULL: allocator_default */
} node_options_t;

typedef struct node_stats {
	uint64_t arrived;
	uint64_t started;
	uint64_t rejected;
	uint64_t dropped_messages;
	uint64_t grants_sent;
	uint64_t grants_received;
	uint64_t grants_returned;
} node_stats_t;

typedef struct node node_t;

node_t *node_new(const node_options_t *options, instant_t now);
void node_delete(node_t *this);

/* Takes a newer plan; replicas that it drops get no new work. */
void node_set_plan(node_t *this, const plan_t *plan, instant_t now);
/* Adds a peer; returns its slot, the one that ACTION_SEND names. */
unsigned int node_add_peer(node_t *this, id_t32 peer);
void node_set_listed_gone(node_t *this, id_t32 router, bool gone);
/* The endpoint leaves: no new work from now on; peers are told. */
void node_set_leaving(node_t *this, id_t32 replica, bool leaving, instant_t now);
/* A late load report of an endpoint. */
void node_load_report(node_t *this, id_t32 replica, unsigned int running, instant_t now);
/* Finishes what it has and owns nothing any more. */
void node_stop(node_t *this, instant_t now);

void node_arrive(node_t *this, node_request_t *request, instant_t now);
/* A running request has cost `cost` so far; `pace` in microseconds a unit, 0: unknown. */
void node_progress(
	node_t *this, node_request_t *request, uint32_t cost, double pace, instant_t now);
/* A running request is over. */
void node_end(node_t *this, node_request_t *request, end_kind_t kind, uint32_t cost, instant_t now);
/* A waiting request is no longer wanted. */
void node_cancel(node_t *this, node_request_t *request, instant_t now);

/* Takes a peer's message; false when it was dropped. */
bool node_hear(node_t *this, const message_t *message, instant_t now);
/* The connection to the peer in `slot` broke: unless it is heard again soon, it is gone. */
void node_link_broken(node_t *this, unsigned int member_index, instant_t now);
/* Does what is due; returns when to call again at the latest. */
instant_t node_tick(node_t *this, instant_t now);

/* The next action, false when there is none. */
bool node_next_action(node_t *this, node_action_t *action);
/* The message due to the peer in `slot`; true when another one must follow. */
bool node_message(node_t *this, unsigned int member_index, message_t *message, instant_t now);

unsigned int node_waiting(const node_t *this);
unsigned int node_running(const node_t *this);
const node_stats_t *node_stats(const node_t *this);
const members_t *node_members(const node_t *this);
/* Highest fleet text version that any router has told of. */
uint64_t node_known_version(const node_t *this);
/* Calls `each` for every lane with its level and waiting count. */
void node_each_lane(const node_t *this,
	void (*each)(void *ctx, id_t32 pool, id_t32 workspace, double level, unsigned int waiting),
	void *ctx);

#endif
