#ifndef GATEWAY_STEER_LOG_H
#define GATEWAY_STEER_LOG_H
/*
 * steer_log - logs how often this router chose an owner by the size of a prompt
 *
 * Every second in which it did, one line `event=prompt-steered` with counts by reason: `pauses`:
 * streams of another owner's engines would have paused too long; `reading`: another owner's engines
 * read other prompts for long; `redirected`: the owner that was asked said so.
 */
#include "core/placement.h"

typedef struct steer_log {
	instant_t due; /* of the next line */
	/* The counters as of the last line. */
	uint64_t pauses;
	uint64_t reading;
	uint64_t redirected;
} steer_log_t;

void steer_log_tick(steer_log_t *this, const placement_stats_t *stats, instant_t now);

#endif
