#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "filter/request.h"

#define MAX_ATTEMPTS 4
#define CONNECT_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS 60000
#define MAX_HEADERS 6
#define HTTP_UNAVAILABLE 503

/*
 * True if the thread was suspended until long after the deadline.  No byte of the request has been
 * sent at this point, so it can still be rejected as not run.
 */
static bool is_long_past_deadline(const request_t *request)
{
	const uint64_t grace = USEC_PER_SEC;

	return clock_now() > request->deadline + grace;
}

/* Waits for a slot and looks up its endpoint; on failure, no ticket is held. */
static reason_t get_slot(request_t *request)
{
	reason_t reason = queue_filter.run(request);

	if (reason != REASON_NONE)
		return reason;
	reason = place_filter.run(request);
	if (reason == REASON_NONE && is_long_past_deadline(request)) {
		request->retry_after_s = 1;
		reason = REASON_DEADLINE;
	}
	if (reason != REASON_NONE)
		request_end_ticket(request, END_STOPPED);
	return reason;
}

static http_result_t begin_exchange(request_t *request)
{
	const char *type = request_header(request, "Content-Type");
	const char *accept = request_header(request, "Accept");
	http_header_t headers[MAX_HEADERS] = {{"X-Request-Id", request->id}};
	unsigned int count = 1;
	http_options_t options = {
		.address = request->endpoint->address,
		.method = request->method,
		.path = request->path,
		.headers = headers,
		.body = request->body->str,
		.body_len = request->body->len,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.read_timeout_ms = READ_TIMEOUT_MS,
	};

	if (type)
		headers[count++] = (http_header_t){"Content-Type", type};
	if (accept)
		headers[count++] = (http_header_t){"Accept", accept};
	if (request->idempotency_key)
		headers[count++] = (http_header_t){"Idempotency-Key", request->idempotency_key};
	options.header_count = count;
	request->exchange_open = true;
	return http_exchange_begin(&request->exchange, &options);
}

/* False if the response has the id of another request; a response without an id is accepted. */
static bool response_matches_request(request_t *request)
{
	const char *id = http_exchange_header(&request->exchange, "X-Request-Id");

	if (!id || !strcmp(id, request->id))
		return true;
	router_count(request->router, COUNTER_MISMATCHED_RESPONSES);
	log_warn("answer-crossed", "id=%s endpoint=%s", request->id, request->endpoint->name);
	return false;
}

/* Watches the caller on behalf of the current endpoint; a watch for an earlier one ends. */
static void watch_caller(request_t *request)
{
	caller_watch_t *watch = request->router->caller_watch;

	if (request->caller_watch_id)
		caller_watch_remove(watch, request->caller_watch_id);
	request->caller_watch_id = caller_watch_add(
		watch, request->caller_fd, request->endpoint->address, request->id);
}

/* Sends the request to its endpoint and reads the response's head. */
static http_result_t try_endpoint(request_t *request)
{
	http_result_t result;

	if (request->service->kind == SERVICE_MODEL)
		watch_caller(request);
	result = begin_exchange(request);

	if (result == HTTP_OK && !response_matches_request(request))
		result = HTTP_INCOMPLETE;
	if (result == HTTP_OK && request->route->is_idempotent &&
		request->exchange.status == HTTP_UNAVAILABLE) {
		/*
		 * A 503 is a refusal, so another endpoint may be tried.  Only engines guarantee
		 * that they did not run a request that they refused.
		 */
		request->may_have_run |= request->service->kind != SERVICE_MODEL;
		return HTTP_NOT_SENT;
	}
	request->may_have_run |= result == HTTP_INCOMPLETE;
	return result;
}

static void end_failed_attempt(request_t *request, http_result_t result)
{
	bool is_sent = result != HTTP_NOT_SENT;
	request_end_t end = is_sent ? request_incomplete_end(request) : END_REFUSED;

	if (end != END_STOPPED)
		log_warn("endpoint-failed", "id=%s endpoint=%s sent=%d attempt=%u", request->id,
			request->endpoint->name, is_sent, request->attempts);
	request_end_ticket(request, end);
}

http_result_t request_send(request_t *this)
{
	http_result_t result = HTTP_NOT_SENT;

	while (this->attempts < MAX_ATTEMPTS) {
		if (this->attempts && caller_has_disconnected(this->caller_fd)) {
			this->reason = REASON_CALLER_GONE;
			return HTTP_NOT_SENT;
		}
		if (!this->ticket) {
			this->reason = get_slot(this);
			if (this->reason != REASON_NONE)
				return HTTP_NOT_SENT;
		}
		this->attempts++;
		result = try_endpoint(this);
		if (result == HTTP_OK)
			return result;
		request_close_exchange(this);
		end_failed_attempt(this, result);
		if (result != HTTP_NOT_SENT && !this->route->is_idempotent)
			return result;
		router_count(this->router, COUNTER_RETRIES);
	}
	this->reason = REASON_ENDPOINT_REFUSED;
	return result;
}

static reason_t run(request_t *request)
{
	http_result_t result;

	/* An order gets its slot before its claim, so that it has no row while it waits. */
	request->reason = get_slot(request);
	if (request->reason != REASON_NONE)
		return request->reason;
	if (request_is_order(request))
		return order_run(request);
	result = request_send(request);
	if (result == HTTP_OK)
		return REASON_NONE;
	if (result == HTTP_NOT_SENT)
		return request->reason;
	return REASON_ENDPOINT_BROKEN;
}

const filter_t dispatch_filter = {"dispatch", run};
