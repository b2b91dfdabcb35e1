#ifndef LOAD_RECORD_H
#define LOAD_RECORD_H
/*
 * record - the result of each request, and summaries over all requests
 */
#include <pthread.h>
#include "core/types.h"
#include "load/profile.h"

typedef enum load_result {
	RESULT_DONE,	/* the expected response, byte for byte */
	RESULT_NOT_RUN, /* the router's outcome says that the request was not executed */
	RESULT_UNKNOWN, /* the router's outcome says that it may have been executed */
	RESULT_BROKEN,	/* no response, or the connection ended before it was complete */
	RESULT_WRONG,	/* complete, but not the expected response: fails the run */
	RESULT_COUNT,
} load_result_t;

typedef struct record {
	const load_stream_t *stream;
	load_result_t result;
	instant_t intended; /* when it was to be sent, from the stream's arrival times */
	instant_t first_byte;
	instant_t ended;
	unsigned int cost; /* tokens, or 1 for a plain service; 0 unless done */
	unsigned int attempts;
	unsigned int rejections; /* responses with the outcome "not run" */
	char *key;		 /* idempotency key, or NULL */
} record_t;

typedef struct records {
	pthread_mutex_t lock;
	GPtrArray *list;      /* record_t */
	GPtrArray *not_run;   /* ids of requests whose outcome was "not run" */
	GHashTable *statuses; /* "status reason" -> count */
} records_t;

records_t *records_new(void);
void records_delete(records_t *this);
/* Takes ownership of `record`. */
void records_add(records_t *this, record_t *record);
void records_add_not_run(records_t *this, const char *request_id);
void records_count_status(records_t *this, int status, const char *reason);

/* Requests intended in [from, to); latencies in milliseconds since the intended time. */
typedef struct class_summary {
	unsigned int total;
	unsigned int results[RESULT_COUNT];
	unsigned int rejected_then_served;
	double p50_first_byte_ms;
	double p95_first_byte_ms;
	double p99_first_byte_ms;
	double p99_end_ms;
	double cost_per_second;
} class_summary_t;

/* Summarizes the requests of `work_class`, NULL for all. */
void records_summarize(records_t *this, const char *work_class, instant_t from, instant_t to,
	class_summary_t *summary);
/*
 * Prints for each workspace the weighted cost it was served, and the share of the time in
 * which it had requests waiting.
 */
void records_print_shares(records_t *this, const char *model, instant_t from, instant_t to);
/*
 * Returns the largest difference in weighted cost served to any two workspaces of
 * `model` over any window in which both had requests waiting all the time.  Sets
 * `largest_cost` to the largest weighted cost of one request.
 */
double records_fairness_gap(
	records_t *this, const char *model, instant_t from, instant_t to, double *largest_cost);

#endif
