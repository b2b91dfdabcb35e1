#ifndef STANDIN_ENGINE_STANDIN_H
#define STANDIN_ENGINE_STANDIN_H
/*
 * engine_standin - simulates a model engine for tests and benchmarks
 *
 * Serves a limited number of requests concurrently, caches prompt prefixes, and can
 * stream, resume and cancel a response.
 *
 * POST /v1/chat/completions      one JSON body, or a stream with "stream":true
 * GET  /v1/streams/ID?from=N     the events of a stream from event N on
 * POST /v1/streams/ID/cancel     ends the response to request ID
 * POST /orders {"fence":N,...}   409 if fencing is on and N is below the highest seen
 * GET  /load, POST /control, GET /log, GET /busy   see replica_standin.h
 */
#include "standin/replica_standin.h"

typedef struct engine_options {
	const char *address;
	exec_log_t *log;
	unsigned int slots;
	unsigned int token_us;	     /* generation time per token */
	unsigned int prefill_us;     /* prefill time per prompt token that is not cached */
	unsigned int cache_prefixes; /* capacity of the prefix cache, 0: no cache */
	unsigned int load_lag_ms;    /* age of the values that GET /load returns */
	bool fencing;
	uint32_t seed; /* of the injected faults */
} engine_options_t;

typedef struct engine_standin engine_standin_t;

/* Listens on options->address; NULL if it can't. `options->log` must outlive the engine. */
engine_standin_t *engine_standin_new(const engine_options_t *options);
void engine_standin_delete(engine_standin_t *this);
const char *engine_standin_address(const engine_standin_t *this);
replica_standin_t *engine_standin_replica(engine_standin_t *this);

#endif
