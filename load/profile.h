#ifndef LOAD_PROFILE_H
#define LOAD_PROFILE_H
/*
 * profile - what load to make, read from JSON with comments
 *
 * {"streams": [{"name", "class", "workspace", "token", "weight", "kind":
 * "stream|whole|order|plain", "model", "path", "rate" (a second), "tokens"
 * (median), "sigma" (of the logarithm), "max_tokens", "prefixes", "routers":
 * [index..], "retries", "deadline_ms",
 * "swing": [{"from_ms", "to_ms", "factor"}..]}]}
 */
#include "settings/error_list.h"

#define MAX_SWINGS 8

typedef enum load_kind {
	LOAD_STREAM,
	LOAD_WHOLE,
	LOAD_ORDER,
	LOAD_PLAIN,
} load_kind_t;

typedef struct swing {
	unsigned int from_ms;
	unsigned int to_ms;
	double factor;
} swing_t;

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
	swing_t swings[MAX_SWINGS];
	unsigned int swing_count;
} load_stream_t;

typedef struct profile {
	load_stream_t *streams;
	unsigned int count;
} profile_t;

profile_t *profile_load(const char *path, error_list_t *faults);
void profile_delete(profile_t *this);
/* Requests a second at `ms` after the start. */
double load_stream_rate(const load_stream_t *stream, unsigned int ms);

#endif
