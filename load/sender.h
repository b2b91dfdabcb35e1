#ifndef LOAD_SENDER_H
#define LOAD_SENDER_H
/*
 * sender - one request as a caller makes it: send, check every byte, retry as told
 */
#include "load/record.h"

typedef struct sender_options {
	char **routers; /* ip:port, NULL at the end */
	unsigned int router_count;
	records_t *records;
	bool obey_retry_after;
} sender_options_t;

typedef struct send_job {
	const sender_options_t *options;
	const load_stream_t *stream;
	instant_t intended;
	unsigned int tokens;
	unsigned int prefix;
	uint64_t number;
	uint32_t seed;
} send_job_t;

/* Sends until there is a final answer, then records it. Takes over `job`. */
void sender_run(send_job_t *job);

#endif
