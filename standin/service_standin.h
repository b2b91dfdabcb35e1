#ifndef STANDIN_SERVICE_STANDIN_H
#define STANDIN_SERVICE_STANDIN_H
/*
 * service_standin - a plain service: any method and path; each call takes work_ms
 *
 * GET /load, POST /control, GET /log as in replica.h.
 */
#include "standin/replica.h"

typedef struct service_options {
	const char *address;
	exec_log_t *log;
	unsigned int slots;
	unsigned int work_ms;
	unsigned int load_lag_ms;
	uint32_t seed;
} service_options_t;

typedef struct service_standin service_standin_t;

service_standin_t *service_standin_new(const service_options_t *options);
void service_standin_delete(service_standin_t *this);
const char *service_standin_address(const service_standin_t *this);
replica_t *service_standin_replica(service_standin_t *this);

#endif
