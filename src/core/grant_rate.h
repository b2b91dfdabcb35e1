#ifndef CORE_GRANT_RATE_H
#define CORE_GRANT_RATE_H
/*
 * grant_rate - how often slots are granted, and when a refused caller can expect one
 *
 * A zeroed grant_rate_t is ready for use.
 */
#include "core/types.h"

typedef struct grant_rate {
	unsigned int granted; /* since `since` */
	instant_t since;
	double per_us;		 /* moving average, grants per microsecond; 0: unknown */
	instant_t last_retry_at; /* latest time that a refused caller got for its retry */
} grant_rate_t;

void grant_rate_count(grant_rate_t *this, instant_t now);
/* Returns the delay in ms until a slot is expected for one more refused caller. */
uint32_t grant_rate_retry_after(grant_rate_t *this, instant_t now);

#endif
