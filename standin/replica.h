#ifndef STANDIN_REPLICA_H
#define STANDIN_REPLICA_H
/*
 * replica - what the engine and the plain service stand-ins share
 *
 * Slots (a request beyond them waits its turn at the endpoint), faults that
 * the tests switch, a load report that lags, and the log of what was run.
 */
#include <pthread.h>
#include "core/types.h"
#include "standin/server.h"

#define LOAD_SAMPLES 64
#define LOAD_SAMPLE_MS 50

typedef struct exec_log exec_log_t;

/* One line "REQUEST-ID KEY" a run, in order. Shared by all replicas of a process. */
exec_log_t *exec_log_new(void);
void exec_log_delete(exec_log_t *this);
void exec_log_add(exec_log_t *this, const char *request_id, const char *key);
/* The process now has `slots` more slots in all. */
void exec_log_add_slots(exec_log_t *this, unsigned int slots);

typedef struct replica_faults {
	unsigned int slow_percent;    /* of the usual time, 100 by default */
	unsigned int cut_per_mille;   /* answers cut in the middle */
	unsigned int cross_per_mille; /* answers bearing another request's id */
	unsigned int drop_per_mille;  /* connections closed before the work is done */
	unsigned int lose_per_mille;  /* connections closed after the work, unanswered */
	bool refuse;		      /* 503 to all */
	uint64_t late_ms;	      /* before the answer begins */
} replica_faults_t;

typedef struct replica {
	exec_log_t *log;
	pthread_mutex_t lock;
	pthread_cond_t freed;
	GRand *random;
	unsigned int slots;
	unsigned int running;
	unsigned int waiting;
	uint64_t served;
	unsigned int load_lag_ms;
	unsigned int samples[LOAD_SAMPLES];
	unsigned int sampled;
	replica_faults_t faults;
} replica_t;

void replica_init(replica_t *this, exec_log_t *log, unsigned int slots, unsigned int load_lag_ms,
	uint32_t seed);
void replica_clear(replica_t *this);
/* Waits for a slot, in the order of coming as far as threads keep it. */
void replica_enter(replica_t *this);
void replica_leave(replica_t *this);
/* Called every LOAD_SAMPLE_MS for the lagging report. */
void replica_sample(replica_t *this);
replica_faults_t replica_get_faults(replica_t *this);
bool replica_draw(replica_t *this, unsigned int per_mille);
/* Answers /control, /load, /log and /busy (slot time of the whole process); false when the path is
 * another. */
bool replica_answer(replica_t *this, server_call_t *call, enum MHD_Result *result);

#endif
