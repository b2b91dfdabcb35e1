#ifndef CORE_SCHED_ENGINE_H
#define CORE_SCHED_ENGINE_H
/*
 * sched_engine - an engine as its owner schedules it: what may be sent to it now
 *
 * What fails is probed by few and rests longer each time; what others sent
 * there (another owner beyond a cut) is left room for.
 */
#include "core/engine.h"

/* How the use of a place ended. */
typedef enum slot_result {
	PLACE_DONE,
	PLACE_UNUSED,	 /* nothing was sent */
	PLACE_UNREACHED, /* no connection */
	PLACE_REFUSED,	 /* the engine did not take it */
	PLACE_BROKEN,	 /* it took it, and gave no whole answer */
} place_end_t;

typedef struct sched_pool sched_pool_t;

typedef struct sched_engine {
	struct cds_list_head link; /* in its pool */
	sched_pool_t *pool;
	engine_t model;
	bool usable;	       /* takes new work, as its registration says */
	unsigned int failures; /* in a row */
	double failure_ratio;  /* share of the requests, lately */
	instant_t down_until;
	double external_load; /* requests there that others than this owner sent */
	instant_t external_load_at;
} sched_engine_t;

/* Slots that may be filled now. */
unsigned int sched_engine_usable_slots(const sched_engine_t *this, instant_t now);
/* What it counts as slower by against others, as its requests fail: microseconds. */
uint64_t sched_engine_failure_penalty(const sched_engine_t *this);
void sched_engine_record_success(sched_engine_t *this);
void sched_engine_record_failure(sched_engine_t *this, place_end_t end, instant_t now);
/* The engine told that `load` requests run or wait there. */
void sched_engine_record_load(sched_engine_t *this, unsigned int load, instant_t now);

#endif
