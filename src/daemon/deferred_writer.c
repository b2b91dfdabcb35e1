#include "daemon/deferred_writer.h"

#include <pthread.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"

#define RETRY_DELAY (200 * USEC_PER_MSEC)

typedef struct pending_write {
	char *key;
	order_t order;
	order_response_t response;
} pending_write_t;

struct deferred_writer {
	order_writer_t writer;
	GQueue *queue;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	bool busy; /* from taking a write off the queue until it succeeds, retry delays included */
	bool quit;
	pthread_t thread;
};

static void pending_write_delete(pending_write_t *pending)
{
	g_free(pending->key);
	order_response_clear(&pending->response);
	g_free(pending);
}

/* Withdraws the claim. True when done, or when the row no longer holds a claim of this attempt. */
static bool withdraw(deferred_writer_t *this, pending_write_t *pending)
{
	order_record_t record;
	uint64_t expected = 0;
	uint64_t version;
	bool done = false;

	if (order_store_read(this->writer.platform, pending->key, &record) != STORE_OK)
		goto out;
	if (!order_withdraw(&pending->order, &record.row, &expected))
		done = true;
	else
		done = order_store_write(&this->writer, pending->key, &pending->order,
			       ROW_WITHDRAWN, NULL, expected, &version) == STORE_OK;
out:
	order_record_clear(&record);
	return done;
}

/*
 * Writes the result. True also when the row's version has changed, by another writer or by an
 * earlier try whose reply was lost: the result can't be written any more.
 */
static bool write_result(deferred_writer_t *this, pending_write_t *pending)
{
	row_state_t state = pending->order.reason == REASON_NONE ? ROW_DONE : ROW_UNKNOWN;
	uint64_t version;

	return order_store_write(&this->writer, pending->key, &pending->order, state,
		       &pending->response, pending->order.expected, &version) != STORE_NO_RESULT;
}

/* Waits for a write and takes it off the queue; NULL when the thread must end. */
static pending_write_t *next_write(deferred_writer_t *this)
{
	pending_write_t *pending = NULL;

	pthread_mutex_lock(&this->lock);
	while (!this->quit && g_queue_is_empty(this->queue))
		pthread_cond_wait(&this->changed, &this->lock);
	if (!this->quit)
		pending = g_queue_pop_head(this->queue);
	this->busy = pending != NULL;
	pthread_mutex_unlock(&this->lock);
	return pending;
}

/* Queues a failed write again, then waits out the retry delay. */
static void retry_later(deferred_writer_t *this, pending_write_t *pending)
{
	instant_t deadline = clock_now() + RETRY_DELAY;

	pthread_mutex_lock(&this->lock);
	g_queue_push_tail(this->queue, pending);
	while (!this->quit && cond_wait_until(&this->changed, &this->lock, deadline))
		;
	pthread_mutex_unlock(&this->lock);
}

static void mark_idle(deferred_writer_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->busy = false;
	pthread_cond_broadcast(&this->changed);
	pthread_mutex_unlock(&this->lock);
}

static void *run(void *ctx)
{
	deferred_writer_t *this = ctx;
	pending_write_t *pending;

	while ((pending = next_write(this))) {
		bool done = pending->order.withdraw ? withdraw(this, pending)
						    : write_result(this, pending);

		if (!done) {
			retry_later(this, pending);
			continue;
		}
		log_info("order-settled", "key=%s withdrawn=%d", pending->key,
			pending->order.withdraw);
		pending_write_delete(pending);
		mark_idle(this);
	}
	return NULL;
}

deferred_writer_t *deferred_writer_new(const order_writer_t *writer)
{
	deferred_writer_t *this = g_new0(deferred_writer_t, 1);

	this->writer = *writer;
	this->queue = g_queue_new();
	pthread_mutex_init(&this->lock, NULL);
	cond_init(&this->changed);
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

unsigned int deferred_writer_pending(deferred_writer_t *this)
{
	unsigned int pending;

	pthread_mutex_lock(&this->lock);
	pending = g_queue_get_length(this->queue) + this->busy;
	pthread_mutex_unlock(&this->lock);
	return pending;
}

unsigned int deferred_writer_delete(deferred_writer_t *this, unsigned int timeout_ms)
{
	instant_t deadline = clock_now() + timeout_ms * USEC_PER_MSEC;
	unsigned int remaining;

	pthread_mutex_lock(&this->lock);
	while ((this->busy || !g_queue_is_empty(this->queue)) &&
		cond_wait_until(&this->changed, &this->lock, deadline))
		;
	this->quit = true;
	pthread_cond_broadcast(&this->changed);
	pthread_mutex_unlock(&this->lock);
	pthread_join(this->thread, NULL);
	remaining = g_queue_get_length(this->queue);
	g_queue_free_full(this->queue, (GDestroyNotify)pending_write_delete);
	pthread_cond_destroy(&this->changed);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
	return remaining;
}

void deferred_writer_add(
	deferred_writer_t *this, const char *key, const order_t *order, order_response_t *response)
{
	pending_write_t *pending = g_new0(pending_write_t, 1);

	pending->key = g_strdup(key);
	pending->order = *order;
	if (response) {
		pending->response.status = response->status;
		pending->response.type = g_strdup(response->type);
		pending->response.body =
			g_string_new_len(response->body->str, (gssize)response->body->len);
	}
	pthread_mutex_lock(&this->lock);
	g_queue_push_tail(this->queue, pending);
	pthread_cond_broadcast(&this->changed);
	pthread_mutex_unlock(&this->lock);
}
