#ifndef CORE_NODE_INTERNAL_H
#define CORE_NODE_INTERNAL_H
/* node_internal - private state and functions shared by node.c, node_*.c and policy.c */
#include "core/link_watch.h"
#include "core/node.h"
#include "core/share.h"

#define MAX_UNACKED_GRANTS 128
#define ACTION_RING_SIZE 4096
#define REPORT_DELAY (500 * USEC_PER_MSEC) /* for changes that are not urgent for the owner */

/* A grant that the receiver has not acknowledged yet. */
typedef struct grant_record {
	uint64_t seq;
	replica_t *replica;
	lane_t *lane; /* NULL: open grant */
	work_class_t work_class;
	unsigned int count;
} grant_record_t;

/* Message state for one peer. */
typedef struct peer {
	uint64_t sent_seq;	 /* sequence number of the last message to this peer */
	uint64_t grant_seq;	 /* number of the last grant to this peer */
	uint64_t grant_received; /* number of the last grant from this peer */
	struct {
		grant_record_t entry[MAX_UNACKED_GRANTS];
		unsigned int first;
		unsigned int count;
	} grants; /* ring of unacknowledged grants to this peer, oldest first */
	grant_entry_t pending[MESSAGE_MAX_ENTRIES]; /* grants for the next message */
	unsigned int pending_count;
	instant_t send_at;	 /* when the next message is due */
	instant_t full_at;	 /* from when on the next message is a full one */
	bool send_queued;	 /* an ACTION_SEND for this peer is in the action queue */
	bool wants_prior_served; /* it restarted and requests its earlier counters */
	bool report_all_served;	 /* send all served counters again */
	link_watch_t link;	 /* whether our messages arrive */
} peer_t;

struct policy_ops {
	const char *name;
	/* Starts waiting requests of `pool` and requests slots for the others. */
	void (*dispatch)(node_t *this, pool_t *pool, instant_t now);
	/* Called when a request of this router on `replica` has ended. */
	void (*slot_freed)(node_t *this, replica_t *replica, instant_t now);
	/* Owners make open grants of slots for which there is no demand. */
	bool makes_open_grants;
	/* Each replica has an owner that grants its slots. */
	bool has_owners;
};

struct node {
	const allocator_t *allocator;
	node_options_t options;
	const policy_ops_t *policy;
	members_t members;
	uint64_t owned_view; /* value of members.view for which the owners were computed */
	peer_t **peers;	     /* by member index; [0], this router, is NULL */
	pool_t **pools;
	unsigned int pool_count;
	replica_t **replicas; /* sorted by id */
	unsigned int replica_count;
	workspace_share_t **workspaces;
	unsigned int workspace_count;
	uint64_t plan_version;
	uint64_t known_version; /* highest plan version that any router is known to have */
	uint64_t random;	/* state of the random number generator */
	bool is_stopping;
	instant_t recovery_until; /* until then, old counters are requested from peers */
	unsigned int running;
	instant_t next_refresh;
	instant_t next_lane_cleanup;
	node_stats_t stats;
	node_action_t actions[ACTION_RING_SIZE];
	unsigned int action_first;
	unsigned int action_count;
};

/* node_plan.c: lookup of the plan's objects; NULL if the plan never had the id */
pool_t *node_find_pool(const node_t *this, id_t32 id);
replica_t *node_find_replica(const node_t *this, id_t32 id);
workspace_share_t *node_find_workspace(const node_t *this, id_t32 id);
/* Returns the lane, creating it if needed; NULL if the pool or workspace is not found. */
lane_t *node_find_lane(node_t *this, id_t32 pool, id_t32 workspace);

/* node.c */
void node_dispatch_all(node_t *this, instant_t now);
/* Queues an action; aborts if the embedder has not drained the queue. */
void node_push_action(node_t *this, const node_action_t *action);
/* Makes a message to the peer due at `at`, unless one is due earlier. */
void node_schedule_send(node_t *this, unsigned int member_index, instant_t at);
uint64_t node_random(node_t *this);
/* Returns how many of an owner's `slots` one router may hold idle. */
unsigned int node_idle_allowance(const node_t *this, unsigned int slots);
/* Returns how many slots of `replica` its owner may have granted at a time. */
unsigned int node_replica_limit(const node_t *this, const replica_t *replica, instant_t now);

/* node_router.c: the router side, which queues requests and uses granted slots */
/* Starts the oldest waiting request of the lane and class on `replica`. */
void router_start(
	node_t *this, lane_t *lane, work_class_t work_class, replica_t *replica, instant_t now);
/* Returns the oldest waiting request of the lane and class, or NULL. */
node_request_t *router_lane_head(lane_t *lane, work_class_t work_class);
/* Returns true if one more long request keeps this router within the pool's long_share. */
bool router_long_allowed(const pool_t *pool);
/* Starts waiting requests on slots that this router holds idle. */
void router_start_on_idle(node_t *this, pool_t *pool, instant_t now);

/* node_demand.c: demand, the number of slots that this router wants from each owner */
/* Distributes the pool's waiting requests over the owners of its replicas. */
void router_update_demand(node_t *this, pool_t *pool, instant_t now);
/*
 * Takes one unit off the demand at owner `from`, which has granted a slot.
 * Applies also if no request of the lane is waiting any more.
 */
void router_decrement_demand(
	node_t *this, lane_t *lane, work_class_t c, unsigned int from, instant_t now);

/* node_router.c */
/* Returns `count` idle slots of `replica` to its owner. */
void router_return_slots(node_t *this, replica_t *replica, unsigned int count, instant_t now);
/* Returns the idle slots of all replicas of the pool that the given member owns. */
void router_return_idle(node_t *this, pool_t *pool, unsigned int member_index, instant_t now);
/* Adds granted slots to those held and starts waiting requests of the grant's lane on them. */
void router_accept_grant(
	node_t *this, unsigned int from, const grant_entry_t *grant, instant_t now);
/* Rejects expired requests; lowers `*next` to the earliest deadline that remains. */
void router_expire(node_t *this, pool_t *pool, instant_t now, instant_t *next);
void router_enqueue(node_request_t *request);
void router_dequeue(node_request_t *request);
void router_reject(
	node_t *this, node_request_t *request, reason_t reason, unsigned int retry_after_s);
/* Returns the number of seconds after which a rejected caller should retry. */
unsigned int router_retry_after(lane_t *lane, instant_t now);
/* Returns true if the lane's backlog will not drain before the request's deadline. */
bool router_is_overloaded(const lane_t *lane, const node_request_t *request, instant_t now);
/* Reports this router's slots of `replica` to the owner by `at`; at once if it is the owner. */
void router_report(node_t *this, replica_t *replica, instant_t at);

/* node_owner.c: the owner side, which grants the slots of owned replicas */
/* Grants slots of the pool's owned replicas to the routers that want them. */
void owner_dispatch(node_t *this, pool_t *pool, instant_t now);
/* Sets how many slots a router wants for the lane, by class. */
void owner_set_demand(node_t *this, lane_t *lane, unsigned int member_index,
	const uint32_t incoming[WORK_CLASSES]);
/* Sets whether a router has requests of the lane waiting, for any owner. */
void owner_set_backlogged(lane_t *lane, unsigned int member_index, bool backlogged);
/* Sets how many slots of `replica` a router holds. */
void owner_set_hold(replica_t *replica, unsigned int member_index, const hold_entry_t *hold);
/* Drops the records of grants to a peer up to number `seq`, which it has received. */
void owner_acknowledge(node_t *this, unsigned int member_index, uint64_t seq);
/* Clears the grants, holds and demand of a peer that died or restarted. */
void owner_forget_peer(node_t *this, unsigned int member_index);
/* Computes the owners of all replicas from the current member view. */
void owner_update_view(node_t *this, instant_t now);

/* policy.c: returns the policy called `name`, or "fleet" if there is none. */
const policy_ops_t *policy_find(const char *name);

#endif
