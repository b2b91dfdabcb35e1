#ifndef DAEMON_SNAPSHOT_H
#define DAEMON_SNAPSHOT_H
/*
 * snapshot - the fleet text in force, read by many threads without a lock
 *
 * A version lower than the one in force is never applied.
 */
#include <pthread.h>

#include "settings/fleet_text.h"

typedef struct snapshot {
	fleet_text_t *current; /* read under RCU */
	pthread_mutex_t writer;
} snapshot_t;

void snapshot_init(snapshot_t *this);
void snapshot_clear(snapshot_t *this);
/* A reference to the text in force, NULL before the first. */
fleet_text_t *snapshot_get(snapshot_t *this);
/* Puts `text` in force, taking over the reference; false when it is not newer. */
bool snapshot_set(snapshot_t *this, fleet_text_t *text);
uint64_t snapshot_version(snapshot_t *this);

#endif
