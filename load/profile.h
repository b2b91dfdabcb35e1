#ifndef LOAD_PROFILE_H
#define LOAD_PROFILE_H
/*
 * profile - the load to generate: streams of requests, read from JSON with comments
 *
 * {"streams": [{"name", "class" (for the summary; default: the name), "workspace",
 * "token", "weight" (of the workspace), "kind": "stream|whole|order|plain", "model",
 * "path", "rate" (requests/s), "tokens" (median of the response), "sigma" (standard
 * deviation of the logarithm of the tokens), "max_tokens", "prefixes" (number of
 * shared prompt prefixes), "routers": [index..] (default: all), "retries",
 * "deadline_ms", "swing": [{"from_ms", "to_ms", "factor" (of the rate)}..]}]}
 */
#include "settings/error_list.h"

#define MAX_RATE_CHANGES 8

typedef enum load_kind {
	LOAD_STREAM, /* model request, streamed response */
	LOAD_WHOLE,  /* model request, response in one piece */
	LOAD_ORDER,  /* request with an idempotency key to a plain service */
	LOAD_PLAIN,  /* request without a key to a plain service */
} load_kind_t;

/* From `from_ms` until `to_ms` after the start, the rate is multiplied by `factor`. */
typedef struct rate_change {
	unsigned int from_ms;
	unsigned int to_ms;
	double factor;
} rate_change_t;

typedef struct load_stream {
	char *name;
	char *work_class;
	char *workspace;
	char *token;
	load_kind_t kind;
	char *model;
	char *path;
	unsigned int weight;
	double rate;
	double tokens;
	double sigma;
	unsigned int max_tokens;
	unsigned int prefixes;
	unsigned int retries;
	unsigned int deadline_ms;
	unsigned int *routers;
	unsigned int router_count;
	rate_change_t rate_changes[MAX_RATE_CHANGES];
	unsigned int rate_change_count;
} load_stream_t;

typedef struct profile {
	load_stream_t *streams;
	unsigned int count;
} profile_t;

/* Reads the file; NULL with the reasons in `errors`. */
profile_t *profile_load(const char *path, error_list_t *errors);
void profile_delete(profile_t *this);
/* Requests per second, `ms` after the start. */
double load_stream_rate(const load_stream_t *stream, unsigned int ms);

#endif
