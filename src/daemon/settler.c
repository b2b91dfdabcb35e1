#include "daemon/settler.h"

#include <pthread.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"

#define RETRY_PAUSE (200 * USEC_PER_MSEC)

typedef struct item {
	char *key;
	order_t order;
	order_answer_t answer;
} item_t;

struct settler {
	order_writer_t writer;
	GQueue *items;
	GMutex lock;
	GCond changed;
	bool busy;
	bool quit;
	pthread_t thread;
};

static void item_delete(item_t *item)
{
	g_free(item->key);
	order_answer_clear(&item->answer);
	g_free(item);
}

/* True when nothing is left to take back. */
static bool withdraw(settler_t *this, item_t *item)
{
	order_record_t record;
	uint64_t expected = 0;
	uint64_t version;
	bool over = false;

	if (order_store_read(this->writer.platform, item->key, &record) != STORE_OK)
		goto out;
	if (!order_withdraw(&item->order, &record.row, &expected))
		over = true;
	else
		over = order_store_write(&this->writer, item->key, &item->order, ROW_WITHDRAWN,
			       NULL, expected, &version) == STORE_OK;
out:
	order_record_clear(&record);
	return over;
}

/* True when the end is written, or can't be any more. */
static bool finish(settler_t *this, item_t *item)
{
	row_state_t state = item->order.reason == REASON_NONE ? ROW_DONE : ROW_UNKNOWN;
	uint64_t version;

	return order_store_write(&this->writer, item->key, &item->order, state, &item->answer,
		       item->order.expected, &version) != STORE_LOST;
}

static item_t *next_item(settler_t *this)
{
	item_t *item = NULL;

	g_mutex_lock(&this->lock);
	while (!this->quit && g_queue_is_empty(this->items))
		g_cond_wait(&this->changed, &this->lock);
	if (!this->quit)
		item = g_queue_pop_head(this->items);
	this->busy = item != NULL;
	g_mutex_unlock(&this->lock);
	return item;
}

static void put_back(settler_t *this, item_t *item)
{
	gint64 until = g_get_monotonic_time() + (gint64)RETRY_PAUSE;

	g_mutex_lock(&this->lock);
	g_queue_push_tail(this->items, item);
	while (!this->quit && g_cond_wait_until(&this->changed, &this->lock, until))
		;
	g_mutex_unlock(&this->lock);
}

static void settled(settler_t *this)
{
	g_mutex_lock(&this->lock);
	this->busy = false;
	g_cond_broadcast(&this->changed);
	g_mutex_unlock(&this->lock);
}

static void *run(void *ctx)
{
	settler_t *this = ctx;
	item_t *item;

	while ((item = next_item(this))) {
		bool over = item->order.withdraw ? withdraw(this, item) : finish(this, item);

		if (!over) {
			put_back(this, item);
			continue;
		}
		log_info("order-settled", "key=%s withdrawn=%d", item->key, item->order.withdraw);
		item_delete(item);
		settled(this);
	}
	return NULL;
}

settler_t *settler_new(const order_writer_t *writer)
{
	settler_t *this = g_new0(settler_t, 1);

	this->writer = *writer;
	this->items = g_queue_new();
	g_mutex_init(&this->lock);
	g_cond_init(&this->changed);
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

unsigned int settler_pending(settler_t *this)
{
	unsigned int pending;

	g_mutex_lock(&this->lock);
	pending = g_queue_get_length(this->items) + this->busy;
	g_mutex_unlock(&this->lock);
	return pending;
}

unsigned int settler_delete(settler_t *this, unsigned int timeout_ms)
{
	gint64 until = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	unsigned int left;

	g_mutex_lock(&this->lock);
	while ((this->busy || !g_queue_is_empty(this->items)) &&
		g_cond_wait_until(&this->changed, &this->lock, until))
		;
	this->quit = true;
	g_cond_broadcast(&this->changed);
	g_mutex_unlock(&this->lock);
	pthread_join(this->thread, NULL);
	left = g_queue_get_length(this->items);
	g_queue_free_full(this->items, (GDestroyNotify)item_delete);
	g_cond_clear(&this->changed);
	g_mutex_clear(&this->lock);
	g_free(this);
	return left;
}

void settler_add(settler_t *this, const char *key, const order_t *order, order_answer_t *answer)
{
	item_t *item = g_new0(item_t, 1);

	item->key = g_strdup(key);
	item->order = *order;
	if (answer) {
		item->answer.status = answer->status;
		item->answer.type = g_strdup(answer->type);
		item->answer.body = g_string_new_len(answer->body->str, (gssize)answer->body->len);
	}
	g_mutex_lock(&this->lock);
	g_queue_push_tail(this->items, item);
	g_cond_broadcast(&this->changed);
	g_mutex_unlock(&this->lock);
}
