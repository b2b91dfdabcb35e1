#include "edge/platform.h"

#include <pthread.h>
#include <stdlib.h>
#include <urcu/list.h>

#define MAX_BATCH 64
#define MAX_TRANSACTIONS 4 /* in progress at a time */

/* One caller's write; allocated on the caller's stack while it waits. */
typedef struct pending_write {
	struct cds_list_head link;
	table_write_t *write;
	store_result_t result;
	bool done;
	bool retry_alone; /* the batch ended in a conflict: retry this write alone */
} pending_write_t;

typedef struct platform_batch {
	platform_t base;
	platform_t *inner;
	pthread_mutex_t lock;
	pthread_cond_t changed; /* a transaction ended */
	struct cds_list_head queue;
	unsigned int transactions; /* in progress */
} platform_batch_t;

static unsigned int take_batch(platform_batch_t *this, pending_write_t *batch[MAX_BATCH])
{
	unsigned int count = 0;
	pending_write_t *pending;
	pending_write_t *next;

	cds_list_for_each_entry_safe (pending, next, &this->queue, link) {
		if (count == MAX_BATCH)
			break;
		cds_list_del(&pending->link);
		batch[count++] = pending;
	}
	return count;
}

static void finish_batch(pending_write_t *batch[MAX_BATCH], const table_write_t *writes,
	unsigned int count, store_result_t result)
{
	for (unsigned int i = 0; i < count; i++) {
		batch[i]->write->version = writes[i].version;
		batch[i]->result = result;
		batch[i]->retry_alone = result == STORE_CONFLICT && count > 1;
		batch[i]->done = true;
	}
}

/*
 * Sends queued writes, up to MAX_BATCH, in one transaction.  Called with the
 * lock held, which is released during the transaction.
 */
static void send_batch(platform_batch_t *this)
{
	table_write_t writes[MAX_BATCH];
	pending_write_t *batch[MAX_BATCH];
	unsigned int count = take_batch(this, batch);
	store_result_t result;

	this->transactions++;
	pthread_mutex_unlock(&this->lock);
	for (unsigned int i = 0; i < count; i++)
		writes[i] = *batch[i]->write;
	result = this->inner->ops->transact(this->inner, writes, count);
	pthread_mutex_lock(&this->lock);
	this->transactions--;
	finish_batch(batch, writes, count, result);
	pthread_cond_broadcast(&this->changed);
}

static store_result_t batch_transact(platform_t *base, table_write_t *writes, unsigned int count)
{
	platform_batch_t *this = (platform_batch_t *)base;
	pending_write_t pending = {.write = writes};

	if (count != 1)
		return this->inner->ops->transact(this->inner, writes, count);
	pthread_mutex_lock(&this->lock);
	cds_list_add_tail(&pending.link, &this->queue);
	while (!pending.done) {
		if (this->transactions < MAX_TRANSACTIONS && !cds_list_empty(&this->queue))
			send_batch(this);
		else
			pthread_cond_wait(&this->changed, &this->lock);
	}
	pthread_mutex_unlock(&this->lock);
	if (pending.retry_alone)
		return this->inner->ops->transact(this->inner, writes, 1);
	return pending.result;
}

static store_result_t batch_read(platform_t *base, const char *key, table_row_t *row)
{
	platform_t *inner = ((platform_batch_t *)base)->inner;

	return inner->ops->read(inner, key, row);
}

static store_result_t batch_scan(platform_t *base, const char *prefix, GArray *rows)
{
	platform_t *inner = ((platform_batch_t *)base)->inner;

	return inner->ops->scan(inner, prefix, rows);
}

static store_result_t batch_object_put(
	platform_t *base, const char *key, const char *data, size_t len)
{
	platform_t *inner = ((platform_batch_t *)base)->inner;

	return inner->ops->object_put(inner, key, data, len);
}

static store_result_t batch_object_get(platform_t *base, const char *key, GString *data)
{
	platform_t *inner = ((platform_batch_t *)base)->inner;

	return inner->ops->object_get(inner, key, data);
}

static store_result_t batch_instances(platform_t *base, GArray *instances)
{
	platform_t *inner = ((platform_batch_t *)base)->inner;

	return inner->ops->instances(inner, instances);
}

static void batch_delete(platform_t *base)
{
	platform_batch_t *this = (platform_batch_t *)base;

	platform_delete(this->inner);
	pthread_cond_destroy(&this->changed);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

static const platform_ops_t batch_ops = {
	.transact = batch_transact,
	.read = batch_read,
	.scan = batch_scan,
	.object_put = batch_object_put,
	.object_get = batch_object_get,
	.instances = batch_instances,
	.delete = batch_delete,
};

platform_t *platform_batch_new(platform_t *inner)
{
	platform_batch_t *this = g_new0(platform_batch_t, 1);

	this->base.ops = &batch_ops;
	this->inner = inner;
	pthread_mutex_init(&this->lock, NULL);
	pthread_cond_init(&this->changed, NULL);
	CDS_INIT_LIST_HEAD(&this->queue);
	return &this->base;
}
