#ifndef STANDIN_SERVICE_STANDIN_H
#define STANDIN_SERVICE_STANDIN_H
/*
 * service_standin - simulates a plain service for tests and benchmarks
 *
 * Any other method and path is a request that takes work_ms and returns a digest of its
 * body.  GET /load, POST /control, GET /log and GET /busy: see replica_standin.h.
 */
#include "standin/replica_standin.h"

typedef struct service_options {
	const char *address;
	exec_log_t *log;
	unsigned int slots;
	unsigned int work_ms;	  /* service time of a request */
	unsigned int load_lag_ms; /* age of the values that GET /load returns */
	uint32_t seed;		  /* of the injected faults */
} service_options_t;

typedef struct service_standin service_standin_t;

/* Listens on options->address; NULL if it can't. `options->log` must outlive the service. */
service_standin_t *service_standin_new(const service_options_t *options);
void service_standin_delete(service_standin_t *this);
const char *service_standin_address(const service_standin_t *this);
replica_standin_t *service_standin_replica(service_standin_t *this);

#endif
