#include "filter/relay.h"

#include <stdlib.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "settings/jsondoc.h"

#define READ_CHUNK 16384
#define PROGRESS_EVENTS 16
#define PROGRESS_TIME (150 * USEC_PER_MSEC)
#define MIN_PACE_COST 8
#define MAX_RESUMES 3
#define RESUME_CONNECT_MS 1000
#define READ_TIMEOUT_MS 60000
#define MAX_EVENT (1U << 20)
#define END_EVENT "data: [DONE]"

/* --- whole answers ---------------------------------------------------- */

static uint32_t completion_tokens(const GString *body)
{
	jsondoc_t *doc = jsondoc_new(body->str, body->len);
	json_value_t *usage = doc->error ? NULL : json_get(doc->root, "usage");
	int64_t tokens = json_get_int(usage, "completion_tokens", 0);

	jsondoc_delete(doc);
	return tokens > 0 && tokens < UINT32_MAX ? (uint32_t)tokens : 1;
}

static http_result_t read_whole(request_t *request, GString *body)
{
	char buffer[READ_CHUNK];
	ssize_t n;

	while ((n = http_exchange_read(&request->exchange, buffer, sizeof(buffer))) > 0) {
		if (body->len + (size_t)n > request->router->settings->max_answer_bytes)
			return HTTP_TOO_LARGE;
		g_string_append_len(body, buffer, n);
	}
	return n < 0 ? HTTP_BROKEN : HTTP_OK;
}

static void report_pace(request_t *request, instant_t began)
{
	uint64_t elapsed = clock_now() - began;

	if (!request->ticket || request->cost < MIN_PACE_COST)
		return;
	decider_progress(request->router->decider, request->ticket, request->cost,
		(double)elapsed / request->cost);
}

http_result_t request_receive(request_t *this)
{
	const char *type = http_exchange_header(&this->exchange, "Content-Type");
	instant_t began = clock_now();
	GString *body = g_string_new(NULL);
	http_result_t result = HTTP_OK;

	order_answer_clear(&this->answer);
	this->answer.status = this->exchange.status;
	this->answer.type = g_strdup(type ? type : "application/octet-stream");
	this->answer.body = body;
	this->first_byte = began;
	result = read_whole(this, body);
	this->cost = this->service->kind == SERVICE_MODEL ? completion_tokens(body) : this->hint;
	if (result == HTTP_OK && this->service->kind == SERVICE_MODEL)
		report_pace(this, this->ticket ? this->arrived : began);
	this->may_have_run |= result != HTTP_OK;
	request_close_exchange(this);
	request_end_ticket(this, result == HTTP_OK ? END_DONE : END_BROKEN);
	return result;
}

/* A repeatable request whose answer broke before its caller saw any of it is sent again. */
static reason_t relay_whole(request_t *request)
{
	http_result_t result = request_receive(request);

	while (result == HTTP_BROKEN && request->route->repeatable &&
		!caller_is_gone(request->caller_fd)) {
		router_count(request->router, COUNT_RETRIES);
		result = request_send(request);
		if (result == HTTP_NOT_SENT)
			return request->reason;
		if (result == HTTP_OK)
			result = request_receive(request);
	}
	if (result == HTTP_OK)
		return REASON_NONE;
	return caller_is_gone(request->caller_fd) ? REASON_CALLER_LEFT : REASON_ENDPOINT_BROKEN;
}

/* --- streams ---------------------------------------------------------- */

static void report_progress(request_t *request, bool at_once)
{
	instant_t now = clock_now();
	uint32_t events = request->cost - request->told_cost;
	uint64_t elapsed = now - request->told_at;

	if (!request->ticket || !events)
		return;
	if (!at_once && events < PROGRESS_EVENTS && elapsed < PROGRESS_TIME)
		return;
	decider_progress(request->router->decider, request->ticket, request->cost,
		request->told_cost ? (double)elapsed / events : 0);
	request->told_cost = request->cost;
	request->told_at = now;
}

/* The number in an event's "id:" line, or -1. */
static int64_t event_number(const char *event)
{
	return g_str_has_prefix(event, "id:") ? strtoll(event + strlen("id:"), NULL, 10) : -1;
}

static bool event_is_ours(request_t *request, const char *event, size_t len)
{
	if (g_strstr_len(event, (gssize)len, request->id))
		return true;
	router_count(request->router, COUNT_CROSSED);
	log_warn("answer-crossed", "id=%s endpoint=%s", request->id, request->endpoint->name);
	return false;
}

/* Passes one whole event on; false when it can't be this stream's next. */
static bool take_event(request_t *request, const char *event, size_t len)
{
	int64_t number = event_number(event);

	if (g_str_has_prefix(event, END_EVENT)) {
		request->stream_ended = true;
		g_string_append_len(request->out, event, (gssize)len);
		g_string_append(request->out, ": outcome=done\n\n");
		return true;
	}
	if (number >= 0 && number != request->next_event)
		return false; /* a gap or a repeat */
	if (!event_is_ours(request, event, len))
		return false;
	g_string_append_len(request->out, event, (gssize)len);
	request->next_event++;
	request->cost++;
	return true;
}

/* Passes on the whole events that have come. */
static bool take_events(request_t *request)
{
	GString *events = request->events;
	size_t at = 0;
	char *end;

	while (!request->stream_ended && (end = strstr(events->str + at, "\n\n"))) {
		size_t len = (size_t)(end - events->str) + 2 - at;

		if (!take_event(request, events->str + at, len))
			return false;
		at += len;
	}
	g_string_erase(events, 0, (gssize)at);
	return events->len < MAX_EVENT;
}

static bool read_some(request_t *request)
{
	char buffer[READ_CHUNK];
	ssize_t n = http_exchange_read(&request->exchange, buffer, sizeof(buffer) - 1);

	if (n <= 0)
		return false;
	buffer[n] = '\0';
	g_string_append_len(request->events, buffer, n);
	return take_events(request);
}

/* Asks the same engine for the rest of the stream, from the next event on. */
static bool resume(request_t *request)
{
	char *path = g_strdup_printf("/v1/streams/%s?from=%u", request->id, request->next_event);
	http_options_t options = {
		.address = request->endpoint->address,
		.method = "GET",
		.path = path,
		.connect_timeout_ms = RESUME_CONNECT_MS,
		.read_timeout_ms = READ_TIMEOUT_MS,
	};
	bool resumed = false;

	request_close_exchange(request);
	g_string_truncate(request->events, 0);
	while (!resumed && request->resumes < MAX_RESUMES && !caller_is_gone(request->caller_fd)) {
		request->resumes++;
		router_count(request->router, COUNT_RESUMES);
		request->exchange_open = true;
		resumed = http_exchange_begin(&request->exchange, &options) == HTTP_OK &&
			  request->exchange.status == 200;
		if (!resumed)
			request_close_exchange(request);
	}
	log_info("stream-resumed", "id=%s endpoint=%s from=%u good=%d", request->id,
		request->endpoint->name, request->next_event, resumed);
	g_free(path);
	return resumed;
}

static void append_failure(request_t *request)
{
	const reason_info_t *info = reason_info(REASON_ENDPOINT_BROKEN);

	request->broken = true;
	request->reason = REASON_CALLER_LEFT;
	if (caller_is_gone(request->caller_fd))
		return;
	g_string_append_printf(request->out,
		"event: error\ndata: {\"type\":\"%s\",\"detail\":\"%s\",\"outcome\":\"%s\","
		"\"request_id\":\"%s\"}\n\n",
		info->name, info->detail, outcome_name(info->outcome), request->id);
	request->reason = REASON_ENDPOINT_BROKEN;
}

/* Fills `out` with at least one event, the end, or the failure. */
static void fill(request_t *request)
{
	g_string_truncate(request->out, 0);
	request->out_at = 0;
	while (!request->out->len && !request->broken) {
		if (read_some(request))
			continue;
		if (request->out->len)
			return; /* pass on what was whole; the failure shows at the next read */
		if (!resume(request)) {
			append_failure(request);
			return;
		}
	}
}

ssize_t relay_read(request_t *request, char *buffer, size_t size)
{
	size_t left;

	if (request->out_at == request->out->len) {
		if (request->broken)
			return -1;
		if (request->stream_ended)
			return 0;
		fill(request);
		if (request->broken && !request->out->len)
			return -1;
		report_progress(request, false);
	}
	left = request->out->len - request->out_at;
	if (left > size)
		left = size;
	memcpy(buffer, request->out->str + request->out_at, left);
	request->out_at += left;
	return (ssize_t)left;
}

/* Waits for the first event, so that what fails before it can be answered in full. */
static reason_t relay_stream(request_t *request)
{
	request->events = g_string_new(NULL);
	request->out = g_string_new(NULL);
	fill(request);
	if (request->broken)
		return request->reason;
	request->first_byte = clock_now();
	request->told_at = request->first_byte;
	report_progress(request, true);
	return REASON_NONE;
}

static reason_t run(request_t *request)
{
	if (request_is_order(request))
		return REASON_NONE; /* received within the order's protocol */
	if (request->is_stream && request->exchange.status == 200)
		return relay_stream(request);
	request->is_stream = false;
	return relay_whole(request);
}

const filter_t relay_filter = {"relay", run};
