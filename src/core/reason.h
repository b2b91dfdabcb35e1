#ifndef CORE_REASON_H
#define CORE_REASON_H
#include <stdbool.h>
/*
 * reason - why a request ended, and the response that its caller gets
 *
 * outcome_t is reported to the caller and says whether the request ran:
 *   OUTCOME_DONE     it ran, and the complete response follows
 *   OUTCOME_NOT_RUN  it did not run and never will
 *   OUTCOME_UNKNOWN  it may have run, so a retry may run it a second time
 */

typedef enum outcome {
	OUTCOME_DONE,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
} outcome_t;

typedef enum reason {
	REASON_NONE,
	REASON_UNAUTHORIZED,
	REASON_NO_ROUTE,
	REASON_BAD_REQUEST,
	REASON_TOO_LARGE,
	REASON_KEY_REQUIRED,
	REASON_KEY_CONFLICT,
	REASON_IN_PROGRESS,
	REASON_MAY_HAVE_RUN,
	REASON_OVERLOADED,
	REASON_DEADLINE,
	REASON_NO_ENDPOINT,
	REASON_EVACUATED, /* the endpoints that could run it are in evacuated failure domains */
	REASON_NO_REGION, /* no endpoint is in a region where it may run */
	REASON_DEPENDENCY,
	REASON_STORE_DOWN,
	REASON_STOPPING,
	REASON_NOT_READY,
	REASON_ENDPOINT_REFUSED,
	REASON_ENDPOINT_BROKEN,
	REASON_CALLER_GONE, /* the caller disconnected before the request was sent */
	REASON_CALLER_LEFT, /* the caller disconnected after the request was sent */
	REASON_GAVE_UP,	    /* a response was interrupted, and no capacity for a retry was found */
	REASON_PROMPT_BLOCKED,	/* endpoints end when they answer prompts with one of its parts */
	REASON_REQUEST_BLOCKED, /* endpoints end when they begin to run the same request */
	REASON_STREAM_UNKNOWN,	/* it is not known which software version began the stream */
	REASON_STREAM_VERSION_GONE, /* no endpoint of that version takes requests */
	REASON_TIMEOUT,		    /* the deadline passed after the request was sent */
	REASON_COUNT,
} reason_t;

typedef struct reason_info {
	const char *name;   /* identifier for programs */
	const char *detail; /* explanation for people */
	int status;	    /* HTTP status code */
	outcome_t outcome;
	bool retry_after; /* the response has a Retry-After header */
} reason_info_t;

/* What is known of the runs of a request when it ends. */
typedef enum run_state {
	RUN_NONE,	/* no endpoint has begun to run it */
	RUN_REPEATABLE, /* it may have run, and may run again */
	RUN_ONCE,	/* it may have run, and must not run again */
} run_state_t;

/* True if callers take the status for a promise: the request has not run and never will. */
bool status_means_not_run(unsigned int status);
/*
 * Returns the reason to report for a request that ends because of `reason`: itself, or one
 * whose outcome and status say no more than is known of the request's runs.
 */
reason_t reason_checked(reason_t reason, run_state_t state);

/* Returns the properties of `reason`, those of REASON_BAD_REQUEST if out of range; never NULL. */
const reason_info_t *reason_info(reason_t reason);
const char *outcome_name(outcome_t outcome);

#endif
