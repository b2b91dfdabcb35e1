#include <string.h>
#include <xxhash.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "filter/request.h"

/* One attempt of an order: the state that the order protocol's actions work on. */
typedef struct order_attempt {
	request_t *request;
	order_t order;
	char *row_key;
	order_record_t record;
} order_attempt_t;

bool request_is_order(const request_t *this)
{
	return !this->route->is_idempotent && this->idempotency_key;
}

/* The path is included, so that a key can't be reused for another path. */
static uint64_t body_hash(const request_t *request)
{
	uint64_t seed = XXH64(request->path, strlen(request->path), 0);

	return XXH64(request->body->str, request->body->len, seed);
}

/* Reads the row and looks up whether the router that holds it is alive. */
static store_result_t read_record(request_t *request, const char *key, order_record_t *record)
{
	store_result_t result = order_store_read(request->router->platform, key, record);

	if (result == STORE_OK && record->holder)
		record->row.holder_is_alive = node_thread_router_is_alive(
			request->router->node_thread, name_id(record->holder), record->incarnation);
	return result;
}

/* Moves the record's stored response to the request. */
static reason_t replay(request_t *request, order_record_t *record)
{
	if (order_store_fetch(request->router->platform, record) != STORE_OK) {
		/* The order has run, but its stored response can't be read now: retry later. */
		request->retry_after_s = 1;
		return REASON_IN_PROGRESS;
	}
	order_response_clear(&request->response);
	request->response = record->answer;
	record->answer = (order_response_t){0};
	request->replayed = true;
	router_count(request->router, COUNTER_ORDERS_REPLAYED);
	return REASON_NONE;
}

reason_t order_precheck(request_t *request)
{
	char *key = order_row_key(request->workspace->name, request->idempotency_key);
	order_record_t record;
	reason_t reason = REASON_STORE_DOWN;

	if (read_record(request, key, &record) == STORE_OK) {
		order_verdict_t verdict = order_check_row(&record.row, body_hash(request), &reason);

		if (verdict == ORDER_REPLAY)
			reason = replay(request, &record);
	}
	order_record_clear(&record);
	g_free(key);
	return reason;
}

static order_event_t write_row(order_attempt_t *this, row_state_t state)
{
	request_t *request = this->request;
	uint64_t version = 0;
	store_result_t result = order_store_write(&request->router->order_writer, this->row_key,
		&this->order, state, &request->response, this->order.expected, &version);

	this->record.row = (order_row_t){.state = state, .version = version};
	if (result == STORE_OK)
		return ORDER_WRITTEN;
	return result == STORE_CONFLICT ? ORDER_CONFLICT : ORDER_REPLY_LOST;
}

static order_event_t read_row(order_attempt_t *this)
{
	order_record_clear(&this->record);
	if (read_record(this->request, this->row_key, &this->record) != STORE_OK)
		return ORDER_READ_FAILED;
	return ORDER_ROW;
}

/* Sends the request and receives the whole response. */
static order_event_t send_order(order_attempt_t *this)
{
	request_t *request = this->request;
	http_result_t result = HTTP_NOT_SENT;

	/*
	 * The thread was suspended after the claim, until long after the deadline.  No byte has
	 * been sent, so the order can still be reported as not run.
	 */
	if (clock_now() > request->deadline + USEC_PER_SEC) {
		request->reason = REASON_DEADLINE;
		return ORDER_NOT_SENT;
	}
	result = request_send(request);
	if (result == HTTP_OK)
		result = request_receive(request);
	if (result == HTTP_OK)
		return ORDER_ANSWERED;
	return result == HTTP_NOT_SENT ? ORDER_NOT_SENT : ORDER_BROKEN;
}

static order_event_t perform(order_attempt_t *this, order_action_t action)
{
	switch (action) {
	case ORDER_DO_CLAIM:
		return write_row(this, ROW_STARTED);
	case ORDER_DO_READ:
		return read_row(this);
	case ORDER_DO_SEND:
		return send_order(this);
	case ORDER_DO_FINISH:
		return write_row(this, ROW_DONE);
	default:
		return write_row(this, ROW_UNKNOWN);
	}
}

reason_t order_run(request_t *request)
{
	order_attempt_t this = {.request = request};
	order_action_t action;
	reason_t reason;

	this.row_key = order_row_key(request->workspace->name, request->idempotency_key);
	order_init(
		&this.order, ((uint64_t)g_random_int() << 32) | g_random_int(), body_hash(request));
	action = order_step(&this.order, ORDER_BEGIN, NULL);
	while (action != ORDER_DO_ANSWER && action != ORDER_DO_REPLAY) {
		order_event_t event = perform(&this, action);

		action = order_step(&this.order, event, &this.record.row);
	}
	reason = this.order.reason;
	if (action == ORDER_DO_REPLAY)
		reason = replay(request, &this.record);
	if (this.order.withdraw || this.order.finish_later)
		deferred_writer_add(request->router->deferred_writer, this.row_key, &this.order,
			this.order.withdraw ? NULL : &request->response);
	if (reason == REASON_ENDPOINT_REFUSED && request->reason != REASON_NONE)
		reason = request->reason; /* the specific reason why nothing was sent */
	request_end_ticket(request, END_STOPPED);
	order_record_clear(&this.record);
	g_free(this.row_key);
	return reason;
}
