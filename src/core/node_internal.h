#ifndef CORE_NODE_INTERNAL_H
#define CORE_NODE_INTERNAL_H
/* node_internal - the state that the parts of a node share; not for embedders */
#include "core/node.h"
#include "core/share.h"

#define GRANT_LOG_SIZE 128
#define ACTION_RING 4096
#define REPORT_DELAY (500 * USEC_PER_MSEC) /* for what an owner need not know soon */

/* A grant that its receiver has not acknowledged. */
typedef struct grant_record {
	uint64_t seq;
	replica_t *replica;
	lane_t *lane; /* NULL: open grant */
	work_class_t work_class;
	unsigned int count;
} grant_record_t;

/* One peer's end of the conversation, by member slot. */
typedef struct peer {
	uint64_t sent_seq;
	uint64_t grant_seq;	 /* newest number given to this peer */
	uint64_t grant_received; /* newest number taken from this peer */
	struct {
		grant_record_t entry[GRANT_LOG_SIZE];
		unsigned int first;
		unsigned int count;
	} grants;
	grant_entry_t pending[MESSAGE_MAX_ENTRIES]; /* granted, not yet sent */
	unsigned int pending_count;
	instant_t send_at; /* when the next message is due at the latest */
	instant_t full_at; /* when a full message is due */
	bool send_queued;
	bool wants_prior_served;
	bool tell_all_served;
} peer_t;

struct policy_ops {
	const char *name;
	/* Starts what can be started in `pool` and asks for what is lacking. */
	void (*dispatch)(node_t *this, pool_t *pool, instant_t now);
	/* A slot of `replica` was freed here. */
	void (*slot_freed)(node_t *this, replica_t *replica, instant_t now);
	/* Owners lend slots that are not asked for. */
	bool grants_idle_slots;
	/* Capacity is handed out by owners. */
	bool has_owners;
};

struct node {
	const allocator_t *allocator;
	node_options_t options;
	const policy_ops_t *policy;
	members_t members;
	uint64_t owned_view; /* the view that owners were worked out from */
	peer_t **peers;	     /* by slot; [0] is NULL */
	pool_t **pools;
	unsigned int pool_count;
	replica_t **replicas; /* sorted by id */
	unsigned int replica_count;
	workspace_share_t **workspaces;
	unsigned int workspace_count;
	uint64_t plan_version;
	uint64_t known_version;
	uint64_t random;
	bool is_stopping;
	instant_t recovery_until;
	unsigned int running;
	instant_t next_refresh;
	instant_t next_lane_cleanup;
	node_stats_t stats;
	node_action_t actions[ACTION_RING];
	unsigned int action_first;
	unsigned int action_count;
};

/* node_plan.c: what the operators' text names */
pool_t *node_find_pool(const node_t *this, id_t32 id);
replica_t *node_find_replica(const node_t *this, id_t32 id);
workspace_share_t *node_find_workspace(const node_t *this, id_t32 id);
/* The lane, or NULL where the plan has no such pool or workspace. */
lane_t *node_find_lane(node_t *this, id_t32 pool, id_t32 workspace);
void node_dispatch_all(node_t *this, instant_t now);
void node_push_action(node_t *this, const node_action_t *action);
/* A message to `slot` is due by `at`. */
void node_schedule_send(node_t *this, unsigned int member_index, instant_t at);
uint64_t node_random(node_t *this);
/* Of an owner's `slots`, how many one router may keep idle ahead of need. */
unsigned int node_idle_allowance(const node_t *this, unsigned int slots);
/* How many slots of `replica` its owner may give out in all. */
unsigned int node_replica_limit(const node_t *this, const replica_t *replica, instant_t now);

/* node_router.c: the side that has requests waiting */
void router_start(
	node_t *this, lane_t *lane, work_class_t work_class, replica_t *replica, instant_t now);
/* The oldest waiting request of the lane and class, or NULL. */
node_request_t *router_lane_head(lane_t *lane, work_class_t work_class);
bool router_long_allowed(const pool_t *pool);
/* Starts waiting requests on slots that are held and not in use. */
void router_start_on_idle(node_t *this, pool_t *pool, instant_t now);
/* node_ask.c: which owners hear of what waits */
/* Spreads the waiting requests over the owners of the pool's replicas. */
void router_update_demand(node_t *this, pool_t *pool, instant_t now);
/* A grant from the owner in `from` answers one ask, whether or not something still waits. */
void router_settle_demand(
	node_t *this, lane_t *lane, work_class_t c, unsigned int from, instant_t now);

void router_return_slots(node_t *this, replica_t *replica, unsigned int count, instant_t now);
/* Gives back the idle slots of replicas that `slot` owns. */
void router_return_idle(node_t *this, pool_t *pool, unsigned int member_index, instant_t now);
void router_accept_grant(
	node_t *this, unsigned int from, const grant_entry_t *grant, instant_t now);
/* Rejects what is past its deadline; `next` is lowered to the earliest one left. */
void router_expire(node_t *this, pool_t *pool, instant_t now, instant_t *next);
void router_enqueue(node_request_t *request);
void router_dequeue(node_request_t *request);
void router_reject(
	node_t *this, node_request_t *request, reason_t reason, unsigned int retry_after_s);
/* Seconds until a refused caller of the lane should come back. */
unsigned int router_retry_after(lane_t *lane, instant_t now);
/* True when the lane's backlog outlasts the request's deadline. */
bool router_is_overloaded(const lane_t *lane, const node_request_t *request, instant_t now);
/* The owner, or this router's own owner side, hears what changed. */
void router_report(node_t *this, replica_t *replica, instant_t at);

/* node_owner.c: the side that hands out slots */
void owner_dispatch(node_t *this, pool_t *pool, instant_t now);
void owner_set_demand(node_t *this, lane_t *lane, unsigned int member_index,
	const uint32_t incoming[WORK_CLASSES]);
/* The router in `slot` has some of the lane waiting, whomever it asks. */
void owner_set_backlogged(lane_t *lane, unsigned int member_index, bool backlogged);
void owner_set_hold(replica_t *replica, unsigned int member_index, const hold_entry_t *hold);
void owner_acknowledge(node_t *this, unsigned int member_index, uint64_t seq);
void owner_forget_peer(node_t *this, unsigned int member_index);
void owner_update_view(node_t *this, instant_t now);

const policy_ops_t *policy_find(const char *name);

#endif
