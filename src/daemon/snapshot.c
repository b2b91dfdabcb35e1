#include "daemon/snapshot.h"

#include <urcu/urcu-bp.h>

#include "settings/tsan_annotations.h"

void snapshot_init(snapshot_t *this)
{
	this->current = NULL;
	pthread_mutex_init(&this->writer_lock, NULL);
}

void snapshot_clear(snapshot_t *this)
{
	urcu_bp_synchronize_rcu();
	TSAN_ACQUIRE(this);
	fleet_config_put(this->current);
	pthread_mutex_destroy(&this->writer_lock);
}

fleet_config_t *snapshot_get(snapshot_t *this)
{
	fleet_config_t *config;

	urcu_bp_read_lock();
	config = rcu_dereference(this->current);
	if (config) {
		TSAN_ACQUIRE(config);
		fleet_config_get(config);
	}
	TSAN_RELEASE(this);
	urcu_bp_read_unlock();
	return config;
}

bool snapshot_set(snapshot_t *this, fleet_config_t *config)
{
	fleet_config_t *previous;

	pthread_mutex_lock(&this->writer_lock);
	previous = this->current;
	if (previous && previous->version >= config->version) {
		pthread_mutex_unlock(&this->writer_lock);
		fleet_config_put(config);
		return false;
	}
	TSAN_RELEASE(config);
	rcu_set_pointer(&this->current, config);
	pthread_mutex_unlock(&this->writer_lock);
	urcu_bp_synchronize_rcu();
	TSAN_ACQUIRE(this);
	fleet_config_put(previous);
	return true;
}

uint64_t snapshot_version(snapshot_t *this)
{
	fleet_config_t *config = snapshot_get(this);
	uint64_t version = config ? config->version : 0;

	fleet_config_put(config);
	return version;
}
