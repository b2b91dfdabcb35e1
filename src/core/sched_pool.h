#ifndef CORE_SCHED_POOL_H
#define CORE_SCHED_POOL_H
/*
 * sched_pool - the engines of one service that an owner has, and the choice of the next request
 *
 * A pool only makes choices; the scheduler carries them out.
 */
#include "core/grant_rate.h"
#include "core/sched_lane.h"

typedef struct sched_pool_options {
	uint64_t late_wait;   /* how long a late request may wait for a free slot */
	uint64_t max_backlog; /* prefill backlog of an engine above which requests wait here */
} sched_pool_options_t;

struct sched_pool {
	struct cds_list_head link;
	id_t32 id;
	const sched_pool_options_t *options;
	struct cds_list_head lanes;   /* sched_lane_t */
	struct cds_list_head engines; /* sched_engine_t */
	unsigned int timely;	      /* requests that wait and can be in time */
	unsigned int late;	      /* requests that wait and count as late */
	unsigned int started;	      /* of both: streams that go on */
	grant_rate_t grants;
};

/* A request and the engine on which it can start. */
typedef struct sched_choice {
	sched_record_t *record; /* NULL: none */
	sched_engine_t *engine;
	double level; /* of the request's lane */
} sched_choice_t;

void sched_pool_init(sched_pool_t *this, id_t32 id, const sched_pool_options_t *options);
/* Adds the record to its lane, to the late requests or to the timely ones. */
void sched_pool_enqueue(sched_pool_t *this, sched_record_t *record, bool late, instant_t now);
void sched_pool_dequeue(sched_pool_t *this, sched_record_t *record);
/* Returns the request to start next; its record is NULL when none can start. */
sched_choice_t sched_pool_next(sched_pool_t *this, instant_t now);
/*
 * Moves requests that can no longer be in time to the late ones, and calls
 * `refuse` for late requests that have waited too long.  Lowers `next` to the
 * time at which this is due again.
 */
void sched_pool_expire(sched_pool_t *this, instant_t now, instant_t *next,
	void (*refuse)(void *ctx, sched_record_t *record), void *ctx);
/*
 * Returns the engine to copy shared parts of the prompt from to `engine`; 0 when
 * no engine has cached enough more of the prompt to make copying worth it.
 */
id_t32 sched_pool_copy_source(
	const sched_pool_t *this, const slot_request_t *request, const sched_engine_t *engine);
/* Returns the shortest time to the first token if all engines were idle; UINT64_MAX without any. */
uint64_t sched_pool_idle_first_token_delay(const sched_pool_t *this, const slot_request_t *request);

#endif
