#ifndef CORE_SCHED_POOL_H
#define CORE_SCHED_POOL_H
/*
 * sched_pool - the engines of one service that an owner has, and which request begins next
 *
 * Only choices are made here; the scheduler carries them out.
 */
#include "core/sched_lane.h"

typedef struct sched_pool_options {
	uint64_t late_wait;   /* how long late work may wait for a free place */
	uint64_t max_backlog; /* of an engine's unread prompts, beyond which work waits here */
} sched_pool_options_t;

struct sched_pool {
	struct cds_list_head link;
	id_t32 id;
	const sched_pool_options_t *options;
	struct cds_list_head lanes;   /* sched_lane_t */
	struct cds_list_head engines; /* sched_engine_t */
	unsigned int timely;	      /* records that wait */
	unsigned int late;
	unsigned int granted; /* since `rate_from` */
	instant_t rate_since;
	double grant_rate;	 /* grants a microsecond */
	instant_t last_retry_at; /* the latest moment at which a refused caller was told to come
				    back */
};

/* A request and the engine that it may begin on. */
typedef struct sched_choice {
	sched_record_t *record; /* NULL: none */
	sched_engine_t *engine;
	double level; /* of its lane */
} sched_choice_t;

void sched_pool_init(sched_pool_t *this, id_t32 id, const sched_pool_options_t *options);
/* Puts the record into its lane, among those that can be in time or the late. */
void sched_pool_enqueue(sched_pool_t *this, sched_record_t *record, bool late, instant_t now);
void sched_pool_dequeue(sched_pool_t *this, sched_record_t *record);
/* What begins next; no record when nothing can. */
sched_choice_t sched_pool_next(sched_pool_t *this, instant_t now);
/*
 * Moves what can't be in time any more to the late, and calls `refuse` for the
 * late whose wait is over; `next` is lowered to when this is due again.
 */
void sched_pool_expire(sched_pool_t *this, instant_t now, instant_t *next,
	void (*refuse)(void *ctx, sched_record_t *record), void *ctx);
/* An engine that has read clearly more of the prompt than `engine`, to copy from; 0: none. */
id_t32 sched_pool_copy_source(
	const sched_pool_t *this, const ask_t *request, const sched_engine_t *engine);
/* The shortest span to a first token on any engine that were idle, UINT64_MAX without one. */
uint64_t sched_pool_idle_first_token_delay(const sched_pool_t *this, const ask_t *request);
void sched_pool_count_grant(sched_pool_t *this, instant_t now);
/* In how many ms there will be a place for one more refused caller. */
uint32_t sched_pool_retry_after(sched_pool_t *this, instant_t now);

#endif
