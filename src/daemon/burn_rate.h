#ifndef DAEMON_BURN_RATE_H
#define DAEMON_BURN_RATE_H
/*
 * burn_rate - how fast each service and workspace spends its error budget
 *
 * Each route has two objectives: requests succeed, and the first byte of the
 * response arrives in time.  Requests are counted per minute for the last hour
 * and per hour for the last three days.  A burn rate of 1.0 spends the budget
 * exactly over the objective's period.  Thread-safe.
 */
#include <glib.h>

#include "core/types.h"

typedef struct burn_rate burn_rate_t;

typedef struct burn_rate_sample {
	const char *service;
	const char *workspace;
	double success; /* objective: share of requests that succeed, 0 to 1 */
	bool failed;
	bool late; /* the first byte came later than the route's objective */
} burn_rate_sample_t;

burn_rate_t *burn_rate_new(void);
void burn_rate_delete(burn_rate_t *this);
/* Counts one finished request. */
void burn_rate_record(burn_rate_t *this, const burn_rate_sample_t *sample, instant_t now);
/*
 * Appends a JSON list with the request counts of each window.  These are counts, not rates, so
 * that a reader can add them up over all routers.
 */
void burn_rate_append_json(burn_rate_t *this, GString *out, instant_t now);

#endif
