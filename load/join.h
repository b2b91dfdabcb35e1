#ifndef LOAD_JOIN_H
#define LOAD_JOIN_H
/*
 * join - compares the callers' results with the execution logs of the stand-ins
 */
#include "load/record.h"

typedef struct join_report {
	unsigned int executions;
	unsigned int not_run_but_ran;	 /* executed request ids with the outcome "not run" */
	unsigned int doubled_keys;	 /* idempotency keys executed more than once */
	unsigned int done_but_never_ran; /* successful orders whose key was never executed */
} join_report_t;

/* Fetches the logs of `standins` (ip:port, NULL-terminated); false when one cannot be fetched. */
bool join_records(records_t *records, char **standins, join_report_t *report);

#endif
