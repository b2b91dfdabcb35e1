#include "edge/platform.h"

#include <pthread.h>
#include <stdlib.h>
#include <urcu/list.h>

#define MAX_BATCH 64
#define MAX_LEADERS 4 /* transactions under way at a time */

/* One caller's write, on its stack while it waits. */
typedef struct item {
	struct cds_list_head link;
	table_write_t *write;
	store_result_t result;
	bool done;
	bool alone; /* the batch met a conflict: try this one by itself */
} item_t;

typedef struct platform_batch {
	platform_t base;
	platform_t *inner;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct cds_list_head queue;
	unsigned int leaders;
} platform_batch_t;

static unsigned int take_batch(platform_batch_t *this, item_t *items[MAX_BATCH])
{
	unsigned int count = 0;
	item_t *item;
	item_t *after;

	cds_list_for_each_entry_safe (item, after, &this->queue, link) {
		if (count == MAX_BATCH)
			break;
		cds_list_del(&item->link);
		items[count++] = item;
	}
	return count;
}

static void finish_batch(item_t *items[MAX_BATCH], const table_write_t *writes, unsigned int count,
	store_result_t result)
{
	for (unsigned int i = 0; i < count; i++) {
		items[i]->write->version = writes[i].version;
		items[i]->result = result;
		items[i]->alone = result == STORE_CONFLICT && count > 1;
		items[i]->done = true;
	}
}

/* Writes what waits in one transaction; called and left with the lock held. */
static void lead(platform_batch_t *this)
{
	table_write_t writes[MAX_BATCH];
	item_t *items[MAX_BATCH];
	unsigned int count = take_batch(this, items);
	store_result_t result;

	this->leaders++;
	pthread_mutex_unlock(&this->lock);
	for (unsigned int i = 0; i < count; i++)
		writes[i] = *items[i]->write;
	result = this->inner->ops->transact(this->inner, writes, count);
	pthread_mutex_lock(&this->lock);
	this->leaders--;
	finish_batch(items, writes, count, result);
	pthread_cond_broadcast(&this->changed);
}

static store_result_t batch_transact(platform_t *base, table_write_t *writes, unsigned int count)
{
	platform_batch_t *this = (platform_batch_t *)base;
	item_t item = {.write = writes};

	if (count != 1)
		return this->inner->ops->transact(this->inner, writes, count);
	pthread_mutex_lock(&this->lock);
	cds_list_add_tail(&item.link, &this->queue);
	while (!item.done) {
		if (this->leaders < MAX_LEADERS && !cds_list_empty(&this->queue))
			lead(this);
		else
			pthread_cond_wait(&this->changed, &this->lock);
	}
	pthread_mutex_unlock(&this->lock);
	if (item.alone)
		return this->inner->ops->transact(this->inner, writes, 1);
	return item.result;
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
