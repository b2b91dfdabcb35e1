#ifndef DAEMON_BURN_H
#define DAEMON_BURN_H
/*
 * burn - how fast each service and workspace spends its error budget
 *
 * Two objectives for each route: that requests succeed, and that the first
 * byte comes in time.  Minutes are kept for an hour, hours for three days.
 * Burn 1.0 spends the budget exactly over the objective's period.
 */
#include <glib.h>

#include "core/types.h"

typedef struct burn burn_t;

typedef struct burn_sample {
	const char *service;
	const char *workspace;
	double success; /* objective, 0 to 1 */
	bool failed;
	bool late;
} burn_sample_t;

burn_t *burn_new(void);
void burn_delete(burn_t *this);
void burn_record(burn_t *this, const burn_sample_t *sample, instant_t now);
/* Appends a JSON list with the raw counts of each window, to be added up over routers. */
void burn_json(burn_t *this, GString *out, instant_t now);

#endif
