#include "daemon/snapshot.h"

#include <urcu/urcu-bp.h>

#include "settings/handover.h"

void snapshot_init(snapshot_t *this)
{
	this->current = NULL;
	pthread_mutex_init(&this->writer, NULL);
}

void snapshot_clear(snapshot_t *this)
{
	urcu_bp_synchronize_rcu();
	HANDOVER_ACQUIRE(this);
	fleet_text_put(this->current);
	pthread_mutex_destroy(&this->writer);
}

fleet_text_t *snapshot_get(snapshot_t *this)
{
	fleet_text_t *text;

	urcu_bp_read_lock();
	text = rcu_dereference(this->current);
	if (text) {
		HANDOVER_ACQUIRE(text);
		fleet_text_get(text);
	}
	HANDOVER_RELEASE(this);
	urcu_bp_read_unlock();
	return text;
}

bool snapshot_set(snapshot_t *this, fleet_text_t *text)
{
	fleet_text_t *before;

	pthread_mutex_lock(&this->writer);
	before = this->current;
	if (before && before->version >= text->version) {
		pthread_mutex_unlock(&this->writer);
		fleet_text_put(text);
		return false;
	}
	HANDOVER_RELEASE(text);
	rcu_set_pointer(&this->current, text);
	pthread_mutex_unlock(&this->writer);
	urcu_bp_synchronize_rcu();
	HANDOVER_ACQUIRE(this);
	fleet_text_put(before);
	return true;
}

uint64_t snapshot_version(snapshot_t *this)
{
	fleet_text_t *text = snapshot_get(this);
	uint64_t version = text ? text->version : 0;

	fleet_text_put(text);
	return version;
}
