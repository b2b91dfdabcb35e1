#ifndef CORE_POOL_H
#define CORE_POOL_H
/*
 * pool - the replicas of one service, and the demand of each workspace for them
 *
 * A lane is the queue of one workspace in one pool.  Pools, replicas and lanes
 * are created when first needed and live as long as the node.  A pool or replica
 * that is removed from the fleet configuration is only marked as retired.
 *
 * Arrays per router are indexed by member index (member.h); index 0 is this
 * router.  Demand is a number of wanted slots.  `outgoing` is demand of this
 * router at an owner, `incoming` is demand of a router at this owner.
 */
#include <urcu/list.h>

#include "core/allocator.h"
#include "core/concurrency_limit.h"
#include "core/member.h"
#include "core/message.h"
#include "core/prefix.h"

typedef struct workspace_share {
	id_t32 id;
	unsigned int index;  /* into `lanes` of each pool */
	unsigned int weight; /* 0: not in the fleet configuration */
} workspace_share_t;

typedef struct pool pool_t;
typedef struct replica replica_t;

/* A lane's counters of served cost, exchanged with one peer; all modulo 2^32. */
typedef struct lane_peer {
	uint32_t served;	  /* by the peer's current incarnation, as last reported */
	uint32_t prior_served;	  /* by the peer's earlier incarnations */
	uint32_t reported_served; /* last reported to the peer */
} lane_peer_t;

/* A lane's demand, exchanged with one peer. */
typedef struct lane_demand {
	uint16_t outgoing[WORK_CLASSES];	  /* of this router for the peer's slots */
	uint16_t reported_outgoing[WORK_CLASSES]; /* last reported to the peer */
	uint16_t incoming[WORK_CLASSES];	  /* of the peer for this router's slots */
	uint16_t unacked[WORK_CLASSES];		  /* granted to the peer, not acknowledged yet */
	bool backlogged;			  /* the peer has requests waiting, for any owner */
	bool reported_backlogged; /* last reported to the peer: this router has requests waiting */
	bool is_in_message;	  /* the message being handled contains the lane's demand */
} lane_demand_t;

typedef struct lane {
	pool_t *pool;
	workspace_share_t *workspace;
	lane_peer_t *peers;    /* by member index */
	lane_demand_t *demand; /* by member index; NULL until there is demand */

	/* share.c: costs are in cost units */
	uint64_t own_served;	     /* by this incarnation of this router */
	uint64_t own_prior_served;   /* by earlier incarnations of this router */
	uint64_t peers_served;	     /* by all peers */
	uint64_t provisional_charge; /* for grants to peers, until these report the cost */
	double level_offset;	     /* sum of the corrections by activation and clamping */
	bool is_active;		     /* has requests waiting, here or at a peer */

	/* In pool->pending_lanes while the lane is active or has changes to report. */
	struct cds_list_head link;
	bool is_pending;

	/* router side */
	struct cds_list_head waiting[WORK_CLASSES];
	unsigned int waiting_count[WORK_CLASSES];
	unsigned int outgoing_count[WORK_CLASSES]; /* demand at all owners */
	double mean_cost;	       /* moving average over the lane's completed requests */
	double cost_ratio;	       /* moving average of cost / hint */
	double drain_rate;	       /* requests started per second, 0: unknown */
	instant_t drain_interval_end;  /* end of the interval in which starts are counted */
	unsigned int drained_count;    /* requests started in this interval */
	double expected_retries;       /* rejected callers whose retries are still to come */
	instant_t expected_retries_at; /* time of the last update of `expected_retries` */

	/* owner side */
	unsigned int incoming_count[WORK_CLASSES]; /* demand of all routers that is not met yet */
	unsigned int backlogged_routers;	   /* routers that reported a backlog */
	unsigned int next_router; /* member index where the search for the next grant starts */
} lane_t;

/* State of a pool, exchanged with one peer. */
typedef struct pool_peer {
	unsigned int waiting;	       /* requests at the peer */
	bool contended;		       /* others wait for the slots that the peer owns */
	unsigned int outgoing;	       /* demand of this router for the peer's slots */
	bool reported_contended;       /* last reported to the peer */
	unsigned int incoming;	       /* demand of the peer for this router's slots, not met yet */
	unsigned int reported_waiting; /* last reported to the peer */
	unsigned int idle;	       /* slots of this owner that the peer holds idle */
	unsigned int unacked_open;     /* open grants to the peer, not acknowledged yet */
} pool_peer_t;

struct replica {
	id_t32 id;
	pool_t *pool;
	unsigned int index;
	unsigned int slots;
	bool is_retired;
	bool is_listed_leaving;		  /* the platform lists it as leaving */
	instant_t reported_leaving_until; /* expiry of a peer's report that it is leaving */
	unsigned int owner;		  /* member index, MEMBER_MAX: not computed yet */
	concurrency_limit_t limit;
	prefix_history_t prefixes;

	/* router side */
	unsigned int held;	/* slots that this router may use */
	unsigned int busy;	/* slots in use by this router */
	unsigned int busy_long; /* slots in use by this router for long work */
	bool report_due;	/* a change has to be reported to the owner */
	bool return_due;	/* the change includes a returned slot */
	instant_t down_until;	/* out of service until then, after failures */
	unsigned int failures;	/* in a row */

	/* owner side */
	instant_t rebuild_until;   /* no grants before then; a new owner waits for reports */
	hold_entry_t *holds;	   /* last report of each router, by member index */
	unsigned int granted;	   /* slots held by all routers, plus unacknowledged grants */
	unsigned int granted_long; /* held slots in use by long work */
	unsigned int *unacked;	   /* slots granted but not acknowledged yet, by member index */
	unsigned int unacked_long; /* unacknowledged grants for long work */

	/* load reports, for policy "least" */
	unsigned int reported_running;
	unsigned int sent_since_report;
};

struct pool {
	id_t32 id;
	unsigned int index;
	unsigned int long_cost;
	unsigned int long_share; /* percentage of the slots that long work may hold */
	bool is_retired;
	lane_t **lanes; /* by workspace index; NULL until needed */
	unsigned int lane_capacity;
	replica_t **replicas;
	unsigned int replica_count;
	unsigned int replica_capacity;
	unsigned int waiting; /* requests that wait at this router */
	double median_pace;   /* of its replicas, 0: unknown */
	double virtual_time;  /* highest level at which a lane was served (share.h) */

	struct cds_list_head pending_lanes;
	unsigned int incoming; /* demand of all routers for this router's slots, not met yet */
	bool is_over_limit;    /* an owned replica has more slots granted than its limit allows */
	bool needs_dispatch;   /* the message being handled refers to this pool */
	pool_peer_t *peers;    /* by member index */
};

void pool_add_replica(pool_t *this, const allocator_t *allocator, replica_t *replica);
/* Returns the lane of `workspace`; creates it if needed, for up to `members` routers. */
lane_t *pool_lane(pool_t *this, const allocator_t *allocator, workspace_share_t *workspace,
	unsigned int members);
/* Returns the lane's demand array, indexed by member; creates it if needed. */
lane_demand_t *lane_get_demand(lane_t *this, const allocator_t *allocator, unsigned int members);
void pool_clear(pool_t *this, const allocator_t *allocator);
/* Returns true if the replica takes new work: it is not retired, leaving or out of service. */
bool replica_is_usable(const replica_t *this, instant_t now);
/* Returns true if at least one replica is neither retired nor leaving. */
bool pool_has_replica(const pool_t *this, instant_t now);
bool replica_is_leaving(const replica_t *this, instant_t now);
/* Returns the number of slots that this router holds and does not use. */
unsigned int replica_idle(const replica_t *this);
/*
 * Returns true if routers other than the given member wait for slots that this
 * router owns, or if one of its replicas is over its limit.  The member then has
 * to return slots as they become free instead of using them again.
 */
bool pool_is_contended_for(const pool_t *this, unsigned int member_index);
/* Returns true if this router has to return slots to `owner`, for the same reasons. */
bool pool_owner_is_contended(const pool_t *this, unsigned int owner);
/* Returns how many slots of the owner's replicas this router holds and does not use. */
unsigned int pool_idle_of_owner(const pool_t *this, unsigned int owner);
/* Updates the median pace of the pool's replicas. */
void pool_update_pace(pool_t *this);
/* Returns the number of requests that wait in the lane at this router. */
unsigned int lane_waiting(const lane_t *this);
/* Returns the demand of all routers for this router's slots that is not met yet. */
unsigned int lane_incoming(const lane_t *this);
/* Returns true if requests of the lane wait, here or at a peer. */
bool lane_is_backlogged(const lane_t *this);
/* Adds the lane to the pool's pending lanes, or removes it from them. */
void lane_add_pending(lane_t *this);
void lane_remove_pending(lane_t *this);

#endif
