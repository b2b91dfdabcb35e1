#ifndef LOAD_RECORD_H
#define LOAD_RECORD_H
/*
 * record - what came of each request, and the summaries over all of them
 */
#include <pthread.h>
#include "core/types.h"
#include "load/profile.h"

typedef enum load_result {
	RESULT_DONE,
	RESULT_NOT_RUN,
	RESULT_UNKNOWN,
	RESULT_BROKEN, /* marked as incomplete, or no answer at all */
	RESULT_WRONG,  /* ended like a whole answer, but is another one: never allowed */
	RESULT_KINDS,
} load_result_t;

typedef struct record {
	const load_stream_t *stream;
	load_result_t result;
	instant_t intended;
	instant_t first_byte;
	instant_t ended;
	unsigned int cost;
	unsigned int attempts;
	unsigned int refusals; /* answers with Retry-After before the last */
	char *key;
} record_t;

typedef struct records {
	pthread_mutex_t lock;
	GPtrArray *list;      /* record_t */
	GPtrArray *not_run;   /* request ids that were told "not run" */
	GHashTable *statuses; /* "status reason" -> count */
} records_t;

records_t *records_new(void);
void records_delete(records_t *this);
void records_add(records_t *this, record_t *record);
void records_add_not_run(records_t *this, const char *request_id);
void records_count_status(records_t *this, int status, const char *reason);

/* Latencies in milliseconds from the intended time, of requests intended in [from, to). */
typedef struct class_summary {
	unsigned int total;
	unsigned int results[RESULT_KINDS];
	unsigned int refused_then_served;
	double p50_first;
	double p95_first;
	double p99_first;
	double p99_end;
	double tokens_per_second;
} class_summary_t;

void records_summarize(records_t *this, const char *work_class, instant_t from, instant_t to,
	class_summary_t *summary);
/* Prints, for each workspace, its weighted cost served and the part of the time it waited. */
void records_print_shares(records_t *this, const char *model, instant_t from, instant_t to);
/*
 * The largest difference in weighted cost served to two workspaces of `model`
 * over any window in which both had work waiting all the time; and the
 * largest weighted cost of one request.
 */
double records_fairness_gap(
	records_t *this, const char *model, instant_t from, instant_t to, double *largest_cost);

#endif
