#ifndef LOAD_SENDER_H
#define LOAD_SENDER_H
/*
 * sender - one request as a caller makes it: sends it, compares the response byte by byte
 * with the expected one, and retries
 */
#include "load/record.h"

typedef struct sender_options {
	char **routers; /* ip:port, NULL-terminated */
	unsigned int router_count;
	records_t *records;
	bool obey_retry_after; /* wait as long as Retry-After says before a retry */
} sender_options_t;

typedef struct send_job {
	const sender_options_t *options;
	const load_stream_t *stream;
	instant_t intended;  /* when it is to be sent; latencies count from here */
	unsigned int tokens; /* of the response */
	unsigned int prefix; /* number of the shared prompt prefix */
	uint64_t number;     /* within the stream */
	uint32_t seed;
} send_job_t;

/* Sends and retries until the response is final, records the result and frees `job`. */
void sender_run(send_job_t *job);

#endif
