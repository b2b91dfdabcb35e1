#ifndef CORE_SCHED_ENGINE_H
#define CORE_SCHED_ENGINE_H
/*
 * sched_engine - an engine as its owner schedules it: how many slots may be used now
 *
 * An engine that fails gets only a few probe requests, and after failed
 * connections none for a delay that grows with each failure.  Slots that are in
 * use by requests of other senders, such as another owner during a network
 * partition, are not used.
 */
#include "core/engine.h"
#include "core/rate_limit.h"
#include "core/warm_up.h"

/* How the use of a granted slot ended. */
typedef enum slot_result {
	SLOT_DONE,
	SLOT_UNUSED,	  /* no request was sent */
	SLOT_UNREACHABLE, /* the connection to the engine failed */
	SLOT_REFUSED,	  /* the engine refused the request */
	SLOT_INCOMPLETE,  /* the engine accepted the request, but its answer was incomplete */
} slot_result_t;

typedef struct sched_pool sched_pool_t;

typedef struct sched_engine {
	struct cds_list_head link; /* in its pool */
	sched_pool_t *pool;
	engine_t model;
	id_t32 version;		    /* of its software */
	id_t32 region;		    /* 0: unknown */
	bool usable;		    /* accepts new requests, according to its registration */
	unsigned int failures;	    /* in a row */
	double failure_ratio;	    /* moving average over requests, 0 to 1 */
	instant_t down_until;	    /* no requests are sent before */
	double external_load;	    /* moving average of the requests that others sent */
	instant_t external_load_at; /* time of its last update */
	rate_limit_t rate_limit;    /* of its requests from all routers */
	warm_up_t warm_up;	    /* its `pace` counts the starts of all routers */
} sched_engine_t;

/* Returns the number of slots that may be in use now, 0 while the engine is down. */
unsigned int sched_engine_usable_slots(const sched_engine_t *this, instant_t now);
/* Returns the time in microseconds that is added to the engine's predictions for its failures. */
uint64_t sched_engine_failure_penalty(const sched_engine_t *this);
void sched_engine_record_success(sched_engine_t *this, instant_t now);
/* Returns whether one more request may start now according to the engine's rates. */
bool sched_engine_may_start(const sched_engine_t *this, instant_t now);
/* Returns the time from which its rates let one more request start. */
instant_t sched_engine_next_start(const sched_engine_t *this, instant_t now);
/* Returns how many requests its rates let start until `until`; UINT32_MAX: any number. */
uint32_t sched_engine_starts_until(const sched_engine_t *this, instant_t until, instant_t now);
/* The engine has shown that it is there: requests may be sent to see whether it can be reached. */
void sched_engine_record_sign(sched_engine_t *this);
void sched_engine_record_failure(sched_engine_t *this, slot_result_t result, instant_t now);
/* Records that the engine reported `load` requests running or queued, whoever sent them. */
void sched_engine_record_load(sched_engine_t *this, unsigned int load, instant_t now);

#endif
