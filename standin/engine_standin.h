#ifndef STANDIN_ENGINE_STANDIN_H
#define STANDIN_ENGINE_STANDIN_H
/*
 * engine_standin - a model engine: batches, caches prefixes, streams, resumes, cancels
 *
 * POST /v1/chat/completions      whole, or streamed with "stream":true
 * GET  /v1/streams/ID?from=N     the rest of a stream from event N
 * POST /v1/streams/ID/cancel
 * POST /orders {"fence":N,...}   409 for an old number where fencing is on
 * GET  /load, POST /control, GET /log (replica.h)
 */
#include "standin/replica.h"

typedef struct engine_options {
	const char *address;
	exec_log_t *log;
	unsigned int slots;
	unsigned int token_us;	 /* between two tokens of a stream */
	unsigned int prefill_us; /* for each prompt token that is not cached */
	unsigned int cache_prefixes;
	unsigned int load_lag_ms;
	bool fencing;
	uint32_t seed;
} engine_options_t;

typedef struct engine_standin engine_standin_t;

engine_standin_t *engine_standin_new(const engine_options_t *options);
void engine_standin_delete(engine_standin_t *this);
const char *engine_standin_address(const engine_standin_t *this);
replica_t *engine_standin_replica(engine_standin_t *this);

#endif
