#ifndef GATEWAY_FIRST_TOKEN_HISTOGRAM_H
#define GATEWAY_FIRST_TOKEN_HISTOGRAM_H
/* first_token_histogram - times from a request's arrival to its first token, by size of prompt */
#include <glib.h>

#include "core/types.h"

#define FIRST_TOKEN_SIZES 4   /* classes of prompts */
#define FIRST_TOKEN_BUCKETS 9 /* of delays, without the last one for longer ones */

typedef struct first_token_histogram {
	uint64_t counts[FIRST_TOKEN_SIZES][FIRST_TOKEN_BUCKETS + 1];
	uint64_t sum[FIRST_TOKEN_SIZES]; /* microseconds */
} first_token_histogram_t;

/* `prompt`: its size in tokens; `delay`: microseconds. */
void first_token_histogram_add(first_token_histogram_t *this, uint32_t prompt, uint64_t delay);
void first_token_histogram_write_metrics(const first_token_histogram_t *this, GString *out);

#endif
