#ifndef CORE_POOL_H
#define CORE_POOL_H
/*
 * pool - the replicas of one service, and what each workspace wants of them
 *
 * A lane is one workspace's line in one pool.  Objects are created when first
 * needed and live as long as the node: what the fleet text drops is retired.
 */
#include <urcu/list.h>

#include "core/allocator.h"
#include "core/limit.h"
#include "core/member.h"
#include "core/message.h"
#include "core/prefix.h"

typedef struct workspace_share {
	id_t32 id;
	unsigned int index;
	unsigned int weight; /* 0: not in the fleet text */
} workspace_share_t;

typedef struct pool pool_t;
typedef struct replica replica_t;

/* What one peer and this router told each other about a lane's service. */
typedef struct lane_peer {
	uint32_t served; /* newest of the peer's counter, modulo 2^32 */
	uint32_t former; /* of the peer's earlier incarnations */
	uint32_t reported_served;
} lane_peer_t;

/* What one peer and this router want of each other for a lane. */
typedef struct lane_demand {
	uint16_t outgoing[WORK_CLASSES]; /* ours, at the peer's slots */
	uint16_t reported_outgoing[WORK_CLASSES];
	uint16_t incoming[WORK_CLASSES]; /* the peer's, at our slots, as reported */
	uint16_t unacked[WORK_CLASSES];	 /* granted to the peer, not acknowledged */
	bool backlogged;		 /* the peer has more waiting, for whatever owner */
	bool reported_backlogged;	 /* likewise of us */
	bool is_in_message;		 /* in the message being read */
} lane_demand_t;

typedef struct lane {
	pool_t *pool;
	workspace_share_t *workspace;
	lane_peer_t *peers;    /* by slot */
	lane_demand_t *demand; /* by slot; NULL until something waits */

	/* share.c */
	uint64_t own_served;	     /* by this router, this incarnation */
	uint64_t own_prior_served;   /* by this router's earlier incarnations */
	uint64_t peers_served;	     /* by all others */
	uint64_t provisional_charge; /* granted to others and not yet reported as served */
	double level_offset;	     /* level given at the last waking */
	bool is_active;

	/* In the pool's list while something of it waits or is still to be told. */
	struct cds_list_head link;
	bool is_pending;

	/* router side */
	struct cds_list_head waiting[WORK_CLASSES];
	unsigned int waiting_count[WORK_CLASSES];
	unsigned int outgoing_count[WORK_CLASSES];
	double mean_cost;	      /* of this workspace's requests here */
	double cost_ratio;	      /* of cost to hint, learnt */
	double drain_rate;	      /* starts a second */
	instant_t drain_interval_end; /* end of the interval in which starts are counted */
	unsigned int drained_count;
	double expected_retries; /* refused callers that were told when to come back */
	instant_t expected_retries_at;

	/* owner side */
	unsigned int incoming_count[WORK_CLASSES]; /* by all routers, less what was granted */
	unsigned int backlogged_routers;
	unsigned int next_router; /* where the next grant starts looking */
} lane_t;

/* What one peer and this router told each other about a pool. */
typedef struct pool_peer {
	unsigned int waiting;  /* at the peer */
	bool contended;	       /* at the slots that the peer owns */
	unsigned int outgoing; /* by us, of the slots that the peer owns */
	bool reported_contended;
	unsigned int incoming; /* by the peer, of our slots */
	unsigned int reported_waiting;
	unsigned int idle;	   /* of our slots, idle at the peer */
	unsigned int unacked_open; /* lent to the peer, not acknowledged */
} pool_peer_t;

struct replica {
	id_t32 id;
	pool_t *pool;
	unsigned int index;
	unsigned int slots;
	bool is_retired;
	bool is_listed_leaving;		  /* by the platform */
	instant_t reported_leaving_until; /* by a peer */
	unsigned int owner;		  /* member slot */
	concurrency_limit_t limit;
	prefix_memory_t prefixes;

	/* router side */
	unsigned int held;
	unsigned int busy;
	unsigned int busy_long;
	bool report_due;      /* the owner has yet to hear of a change */
	bool return_due;      /* and that is a slot given back */
	instant_t down_until; /* refused or broken lately */
	unsigned int failures;

	/* owner side */
	instant_t rebuild_until;   /* grant nothing before, while reports come in */
	hold_entry_t *holds;	   /* as reported, by slot */
	unsigned int granted;	   /* held by all, and granted but not acknowledged */
	unsigned int granted_long; /* of those held, in use by long work */
	unsigned int *unacked;	   /* granted, not acknowledged, by slot */
	unsigned int unacked_long;

	/* last load report, for the policy that chooses by it */
	unsigned int reported_running;
	unsigned int sent_since_report;
};

struct pool {
	id_t32 id;
	unsigned int index;
	unsigned int long_cost;
	unsigned int long_share; /* per cent */
	bool is_retired;
	lane_t **lanes; /* by workspace index; NULL until needed */
	unsigned int lane_capacity;
	replica_t **replicas;
	unsigned int replica_count;
	unsigned int replica_capacity;
	unsigned int waiting; /* here */
	double median_pace;   /* of its replicas, 0 when none is known */
	double virtual_time;  /* level of the lane served last */

	struct cds_list_head pending_lanes;
	unsigned int incoming; /* by all routers, of the slots that this one owns */
	bool is_over_limit;    /* more slots are out than the limits allow */
	bool needs_dispatch;   /* by the message being read */
	pool_peer_t *peers;    /* by slot */
};

void pool_add_replica(pool_t *this, const allocator_t *allocator, replica_t *replica);
/* The lane of `workspace`, made when absent for up to `members` routers. */
lane_t *pool_lane(pool_t *this, const allocator_t *allocator, workspace_share_t *workspace,
	unsigned int members);
/* The lane's demand by member slot, made when absent. */
lane_demand_t *lane_get_demand(lane_t *this, const allocator_t *allocator, unsigned int members);
void pool_clear(pool_t *this, const allocator_t *allocator);
/* Takes new work: listed, not leaving, not failing. */
bool replica_is_usable(const replica_t *this, instant_t now);
/* Has at least one endpoint that is neither retired nor leaving. */
bool pool_has_replica(const pool_t *this, instant_t now);
bool replica_is_leaving(const replica_t *this, instant_t now);
unsigned int replica_idle(const replica_t *this);
/*
 * Does work of other routers wait for slots that this one owns?  Then the
 * router in `slot` may not use again what comes free there.
 */
bool pool_is_contended_for(const pool_t *this, unsigned int member_index);
/* Likewise for this router, at the slots of the owner in `owner`. */
bool pool_owner_is_contended(const pool_t *this, unsigned int owner);
/* Slots of that owner that this router holds and does not use. */
unsigned int pool_idle_of_owner(const pool_t *this, unsigned int owner);
/* Works out the middle pace of the pool's replicas anew. */
void pool_update_pace(pool_t *this);
unsigned int lane_waiting(const lane_t *this);
unsigned int lane_incoming(const lane_t *this);
/* Something of it waits, here or at a peer. */
bool lane_is_backlogged(const lane_t *this);
void lane_add_pending(lane_t *this);
void lane_remove_pending(lane_t *this);

#endif
