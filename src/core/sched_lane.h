#ifndef CORE_SCHED_LANE_H
#define CORE_SCHED_LANE_H
/*
 * sched_lane - one workspace's requests that wait at an owner, and its service
 *
 * The level is what the whole fleet served the workspace lately, in tokens;
 * what lies some seconds back counts less and less, so that idleness banks
 * nothing.
 */
#include "core/sched_engine.h"

/* A request that asks for a place. */
typedef struct slot_request {
	uint64_t ticket; /* the asking router's own number */
	id_t32 pool;
	id_t32 workspace;
	id_t32 avoid;	  /* engine on which it failed, 0: none */
	uint32_t subject; /* by which it is known when it comes back, 0: none */
	engine_work_t work;
	instant_t first_by; /* its first token is in time until then */
	instant_t deadline;
	bool is_late; /* it can't be in time any more */
	bool insists; /* no other owner has room: it is to wait here */
} ask_t;

typedef struct sched_lane sched_lane_t;

/* A request that waits, or has a place. */
typedef struct sched_record {
	struct cds_list_head bucket; /* of the scheduler's hash */
	struct cds_list_head link;   /* in its lane while it waits */
	unsigned int router;
	ask_t request;
	instant_t late_expires_at;
	instant_t confirmed_at; /* when its router last told that it has the place */
	sched_lane_t *lane;
	sched_engine_t *engine; /* NULL while it waits */
	id_t32 source;		/* engine to copy the prompt's shared parts from, 0: none */
	engine_run_t run;
} sched_record_t;

struct sched_lane {
	struct cds_list_head link; /* in its pool */
	id_t32 workspace;
	double served;	   /* tokens, of all owners, as of `served_at` */
	double unreported; /* served here, not told to the other owners */
	instant_t served_at;
	struct cds_list_head timely; /* sched_record_t, the oldest first */
	struct cds_list_head late;
};

void sched_lane_init(sched_lane_t *this, id_t32 workspace);
double sched_lane_level(const sched_lane_t *this, instant_t now);
/* The workspace was served, here or by another owner; negative: less than was reckoned. */
void sched_lane_charge(sched_lane_t *this, double tokens, instant_t now);
/* Likewise by this owner: the others are to hear of it. */
void sched_lane_charge_local(sched_lane_t *this, double tokens, instant_t now);
/* Tokens that a request is reckoned to take. */
double slot_request_cost(const ask_t *request);
/* Tokens that `answer` generated ones count as. */
double answer_cost(double answer);

#endif
