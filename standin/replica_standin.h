#ifndef STANDIN_REPLICA_STANDIN_H
#define STANDIN_REPLICA_STANDIN_H
/*
 * replica_standin - common part of engine_standin and service_standin
 *
 * Limits the concurrent requests to the number of slots and queues further ones,
 * injects the faults that a test sets, reports a delayed load, and logs the
 * requests that were executed.
 *
 * POST /control {"slow_percent":N,...}   sets members of replica_faults_t; returns {}
 * GET  /load   {"running":N,"slots":N,"served":N,"now":N}: `running` counts the running and
 *              waiting requests load_lag_ms ago, `now` those running at present
 * GET  /log    the execution log of all replicas of the process
 * GET  /busy   {"busy_us":N,"slots":N,"running":N}: slot time used so far, slots and
 *              running requests of all replicas of the process
 */
#include <pthread.h>
#include "core/types.h"
#include "standin/server.h"

#define LOAD_SAMPLES 64 /* GET /load reports 0 if it is to lag by as many intervals or more */
#define LOAD_SAMPLE_MS 50

typedef struct exec_log exec_log_t;

/*
 * Execution log, shared by all replicas of a process: one line "REQUEST-ID KEY" for each
 * execution, in order, "-" for an absent value.  Also adds up the slot time used.
 */
exec_log_t *exec_log_new(void);
void exec_log_delete(exec_log_t *this);
void exec_log_append(exec_log_t *this, const char *request_id, const char *key);
/* Adds the slots of a replica to the total of the process. */
void exec_log_add_slots(exec_log_t *this, unsigned int slots);

typedef struct replica_faults {
	unsigned int slow_percent;    /* service time relative to normal, 100 by default */
	unsigned int cut_per_mille;   /* share of responses cut off half-way; engines only */
	unsigned int cross_per_mille; /* share of responses with a wrong request id */
	unsigned int drop_per_mille;  /* connections closed before execution */
	unsigned int lose_per_mille;  /* connections closed after execution; services only */
	bool refuse;		      /* respond 503 to all requests */
	uint64_t late_ms;	      /* extra delay before the response begins */
} replica_faults_t;

typedef struct replica_standin {
	exec_log_t *log;
	pthread_mutex_t lock;
	pthread_cond_t slot_freed;
	GRand *random;
	unsigned int slots;
	unsigned int running;
	unsigned int waiting;
	uint64_t served; /* requests that got a slot so far */
	unsigned int load_lag_ms;
	unsigned int samples[LOAD_SAMPLES]; /* ring buffer: running plus waiting requests */
	unsigned int sample_count;	    /* samples taken so far */
	replica_faults_t faults;
} replica_standin_t;

void replica_standin_init(replica_standin_t *this, exec_log_t *log, unsigned int slots,
	unsigned int load_lag_ms, uint32_t seed);
void replica_standin_clear(replica_standin_t *this);
/* Blocks until a slot is free. Waiting threads usually, not always, get one in order of arrival. */
void replica_standin_acquire_slot(replica_standin_t *this);
void replica_standin_release_slot(replica_standin_t *this);
/* Records the load for GET /load; to be called every LOAD_SAMPLE_MS. */
void replica_standin_sample_load(replica_standin_t *this);
replica_faults_t replica_standin_get_faults(replica_standin_t *this);
/* Returns true with a probability of `per_mille` / 1000. */
bool replica_standin_draw_fault(replica_standin_t *this, unsigned int per_mille);
/* Responds to /control, /load, /log and /busy; returns false for any other path. */
bool replica_standin_handle(
	replica_standin_t *this, server_request_t *request, enum MHD_Result *result);

#endif
