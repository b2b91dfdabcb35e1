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
	pthread_mutex_t lock;
	pthread_cond_t changed;
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

	pthread_mutex_lock(&this->lock);
	while (!this->quit && g_queue_is_empty(this->items))
		pthread_cond_wait(&this->changed, &this->lock);
	if (!this->quit)
		item = g_queue_pop_head(this->items);
	this->busy = item != NULL;
	pthread_mutex_unlock(&this->lock);
	return item;
}

static void put_back(settler_t *this, item_t *item)
{
	instant_t until = clock_now() + RETRY_PAUSE;

	pthread_mutex_lock(&this->lock);
	g_queue_push_tail(this->items, item);
	while (!this->quit && cond_wait_until(&this->changed, &this->lock, until))
		;
	pthread_mutex_unlock(&this->lock);
}

static void settled(settler_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->busy = false;
	pthread_cond_broadcast(&this->changed);
	pthread_mutex_unlock(&this->lock);
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
	pthread_mutex_init(&this->lock, NULL);
	cond_init(&this->changed);
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

unsigned int settler_pending(settler_t *this)
{
	unsigned int pending;

	pthread_mutex_lock(&this->lock);
	pending = g_queue_get_length(this->items) + this->busy;
	pthread_mutex_unlock(&this->lock);
	return pending;
}

unsigned int settler_delete(settler_t *this, unsigned int timeout_ms)
{
	instant_t until = clock_now() + timeout_ms * USEC_PER_MSEC;
	unsigned int left;

	pthread_mutex_lock(&this->lock);
	while ((this->busy || !g_queue_is_empty(this->items)) &&
		cond_wait_until(&this->changed, &this->lock, until))
		;
	this->quit = true;
	pthread_cond_broadcast(&this->changed);
	pthread_mutex_unlock(&this->lock);
	pthread_join(this->thread, NULL);
	left = g_queue_get_length(this->items);
	g_queue_free_full(this->items, (GDestroyNotify)item_delete);
	pthread_cond_destroy(&this->changed);
	pthread_mutex_destroy(&this->lock);
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
	pthread_mutex_lock(&this->lock);
	g_queue_push_tail(this->items, item);
	pthread_cond_broadcast(&this->changed);
	pthread_mutex_unlock(&this->lock);
}
