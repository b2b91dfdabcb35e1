#ifndef LOAD_JOIN_H
#define LOAD_JOIN_H
/*
 * join - what callers were told, against what the stand-ins ran
 */
#include "load/record.h"

typedef struct join_report {
	unsigned int executions;
	unsigned int not_run_but_ran; /* request ids */
	unsigned int doubled_keys;
	unsigned int done_but_never_ran; /* orders */
} join_report_t;

/* Fetches the logs of `standins` (ip:port, NULL at the end); false when one did not answer. */
bool join_records(records_t *records, char **standins, join_report_t *report);

#endif
