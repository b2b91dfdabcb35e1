#ifndef CORE_SCHED_LANE_H
#define CORE_SCHED_LANE_H
/*
 * sched_lane - the requests of one workspace that wait at an owner, and its share of service
 *
 * The level of a lane is the number of tokens that the whole fleet served to
 * the workspace recently.  It decays exponentially within seconds, so that
 * a workspace can't save up credit while it is idle.  What a workspace was served while nobody
 * else wanted it does not count against it either: all levels start anew when the first lane begins
 * to get less than it asks for, and one that joins later starts near the levels of those that do.
 */
#include "core/region_set.h"
#include "core/sched_engine.h"

/* A request for a slot, as a router sends it to an owner. */
typedef struct slot_request {
	uint64_t ticket; /* chosen by the requesting router, unique at that router */
	id_t32 pool;
	id_t32 workspace;
	id_t32 avoid;		      /* engine on which the request failed before, 0: none */
	uint32_t request_fingerprint; /* by which a retry is recognized, 0: none */
	engine_work_t work;
	instant_t first_token_deadline; /* latest time for the first token */
	instant_t deadline;
	id_t32 version;	      /* of the engine's software that it is bound to, 0: any */
	region_set_t regions; /* where it may run */
	bool is_late;	      /* counts as unable to meet first_token_deadline */
	bool must_queue;      /* no other owner has room: queue the request, don't redirect it */
} slot_request_t;

typedef struct sched_lane sched_lane_t;

/* What became of a lane's requests at this owner since the last report. */
typedef struct lane_counts {
	unsigned int granted;
	unsigned int granted_late; /* those of `granted` that counted as late */
	unsigned int refused;
	unsigned int raised; /* times that the level was raised to those of other lanes */
} lane_counts_t;

/* A request that waits or has a slot. */
typedef struct sched_record {
	struct cds_list_head bucket; /* of the scheduler's hash table */
	struct cds_list_head link;   /* in its lane while it waits */
	unsigned int router;	     /* that sent the request */
	slot_request_t request;
	instant_t late_expires_at; /* when it is refused if it is late and still waits */
	instant_t confirmed_at;	   /* when its router last reported that it uses the slot */
	sched_lane_t *lane;
	sched_engine_t *engine; /* NULL while it waits */
	id_t32 source;		/* engine to copy the shared parts of the prompt from, 0: none */
	double charge;		/* tokens that its lane was charged here for the grant */
	engine_request_t engine_request;
} sched_record_t;

struct sched_lane {
	struct cds_list_head link; /* in its pool */
	id_t32 workspace;
	const double *decay;
	double served;	   /* tokens by all owners, decayed up to `served_at` */
	double unreported; /* tokens served here, not yet reported to the other owners */
	instant_t served_at;
	instant_t contended_until; /* it gets less than it asks for, or did so shortly before */
	lane_counts_t counts;
	struct cds_list_head timely; /* sched_record_t that can be in time, the oldest first */
	struct cds_list_head late;   /* sched_record_t, the longest waiting first */
};

/* `decay`: time constant of the level in microseconds; valid as long as the lane. */
void sched_lane_init(sched_lane_t *this, id_t32 workspace, const double *decay);
double sched_lane_level(const sched_lane_t *this, instant_t now);
/* Adds tokens that any owner served; negative to correct an estimate that was too high. */
void sched_lane_charge(sched_lane_t *this, double tokens, instant_t now);
/* Like sched_lane_charge(), for tokens served by this owner, which it reports to the others. */
void sched_lane_charge_local(sched_lane_t *this, double tokens, instant_t now);
/* Takes back what is left of a charge of this owner that was made at `since`. */
void sched_lane_refund(sched_lane_t *this, double tokens, instant_t since, instant_t now);
bool sched_lane_is_contended(const sched_lane_t *this, instant_t now);
/* Notes that a request of the lane could not start in time. */
void sched_lane_set_contended(sched_lane_t *this, instant_t now);
void sched_lane_limit_level(sched_lane_t *this, double least, double most, instant_t now);
/* Returns the estimated cost of a request in tokens. */
double engine_work_cost(const engine_work_t *work);
/* Returns the cost of `answer` generated tokens. */
double answer_cost(double answer);

#endif
