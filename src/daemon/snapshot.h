#ifndef DAEMON_SNAPSHOT_H
#define DAEMON_SNAPSHOT_H
/*
 * snapshot - the fleet configuration in force, read by many threads without a lock
 *
 * Readers use RCU and take a reference; writers are serialized by a mutex.  A
 * version that is not above the one in force is never applied.
 */
#include <pthread.h>

#include "settings/fleet_config.h"

typedef struct snapshot {
	fleet_config_t *current; /* protected by RCU for readers, by `writer_lock` for writers */
	pthread_mutex_t writer_lock;
} snapshot_t;

void snapshot_init(snapshot_t *this);
/* Waits for readers that are still in snapshot_get(); no call may follow. */
void snapshot_clear(snapshot_t *this);
/* Returns a new reference to the configuration in force, NULL if there is none yet. */
fleet_config_t *snapshot_get(snapshot_t *this);
/* Puts `config` in force and takes over the reference in any case; false if it is not newer. */
bool snapshot_set(snapshot_t *this, fleet_config_t *config);
/* Version of the configuration in force, 0 if there is none yet. */
uint64_t snapshot_version(snapshot_t *this);

#endif
