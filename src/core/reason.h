#ifndef CORE_REASON_H
#define CORE_REASON_H
#include <stdbool.h>
/*
 * reason - why a request ended, and what its caller is told
 *
 * outcome_t is what a caller may rely on:
 *   OUTCOME_DONE     it ran and the whole answer follows
 *   OUTCOME_NOT_RUN  it did not run and never will
 *   OUTCOME_UNKNOWN  it may have run; do not repeat it blindly
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
	REASON_DEPENDENCY,
	REASON_STORE_DOWN,
	REASON_STOPPING,
	REASON_NOT_READY,
	REASON_ENDPOINT_REFUSED,
	REASON_ENDPOINT_BROKEN,
	REASON_CALLER_GONE, /* before anything was sent */
	REASON_CALLER_LEFT, /* after it was sent */
	REASON_GAVE_UP,
	REASON_TIMEOUT, /* after it was sent */
	REASON_COUNT,
} reason_t;

typedef struct reason_info {
	const char *name;
	const char *detail;
	int status;
	outcome_t outcome;
	bool retry_after;
} reason_info_t;

/* The row of the table for `reason`; never NULL. */
const reason_info_t *reason_info(reason_t reason);
const char *outcome_name(outcome_t outcome);

#endif
