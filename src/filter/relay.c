#include "filter/relay.h"

#include <stdlib.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "settings/jsondoc.h"

#define READ_CHUNK 16384
/* Progress is reported to the node thread after this many events or this time, if earlier. */
#define PROGRESS_EVENTS 16
#define PROGRESS_TIME (150 * USEC_PER_MSEC)
#define MIN_PACE_COST 8 /* a cheaper response gives no pace */
#define MAX_RESUMES 3	/* reconnects per request, failed ones included */
#define RESUME_CONNECT_MS 1000
#define READ_TIMEOUT_MS 60000
#define MAX_EVENT (1U << 20) /* bytes of one event */
#define END_EVENT "data: [DONE]"

/* --- whole responses -------------------------------------------------- */

/* The number of generated tokens that an engine reports, 1 if it reports none. */
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
	return n < 0 ? HTTP_INCOMPLETE : HTTP_OK;
}

/* Reports the measured pace, in microseconds per cost unit, to the node thread. */
static void report_pace(request_t *request, instant_t started_at)
{
	uint64_t elapsed = clock_now() - started_at;

	if (!request->ticket || request->cost < MIN_PACE_COST)
		return;
	node_thread_report_progress(request->router->node_thread, request->ticket, request->cost,
		(double)elapsed / request->cost);
}

http_result_t request_receive(request_t *this)
{
	const char *type = http_exchange_header(&this->exchange, "Content-Type");
	instant_t started_at = clock_now();
	GString *body = g_string_new(NULL);
	http_result_t result = HTTP_OK;

	order_response_clear(&this->response);
	this->response.status = this->exchange.status;
	this->response.type = g_strdup(type ? type : "application/octet-stream");
	this->response.body = body;
	this->first_byte_at = started_at;
	result = read_whole(this, body);
	this->cost = this->service->kind == SERVICE_MODEL ? completion_tokens(body) : this->hint;
	if (result == HTTP_OK && this->service->kind == SERVICE_MODEL)
		report_pace(this, this->ticket ? this->arrived : started_at);
	this->may_have_run |= result != HTTP_OK;
	request_close_exchange(this);
	request_end_ticket(this, result == HTTP_OK ? END_DONE : request_incomplete_end(this));
	return result;
}

/* An idempotent request whose response broke off is retried: the caller has seen none of it. */
static reason_t relay_whole(request_t *request)
{
	http_result_t result = request_receive(request);

	while (result == HTTP_INCOMPLETE && request->route->is_idempotent &&
		!caller_has_disconnected(request->caller_fd)) {
		router_count(request->router, COUNTER_RETRIES);
		result = request_send(request);
		if (result == HTTP_NOT_SENT)
			return request->reason;
		if (result == HTTP_OK)
			result = request_receive(request);
	}
	if (result == HTTP_OK)
		return REASON_NONE;
	return caller_has_disconnected(request->caller_fd) ? REASON_CALLER_LEFT
							   : REASON_ENDPOINT_BROKEN;
}

/* --- streams ---------------------------------------------------------- */

static void report_progress(request_t *request, bool force)
{
	instant_t now = clock_now();
	uint32_t events = request->cost - request->reported_cost;
	uint64_t elapsed = now - request->reported_at;

	if (!request->ticket || !events)
		return;
	if (!force && events < PROGRESS_EVENTS && elapsed < PROGRESS_TIME)
		return;
	node_thread_report_progress(request->router->node_thread, request->ticket, request->cost,
		request->reported_cost ? (double)elapsed / events : 0);
	request->reported_cost = request->cost;
	request->reported_at = now;
}

/* The event's id if it begins with an "id:" line, or -1. */
static int64_t event_id(const char *event)
{
	return g_str_has_prefix(event, "id:") ? strtoll(event + strlen("id:"), NULL, 10) : -1;
}

/* Every event of a stream contains its request's id. */
static bool event_matches_request(request_t *request, const char *event, size_t len)
{
	if (g_strstr_len(event, (gssize)len, request->id))
		return true;
	router_count(request->router, COUNTER_MISMATCHED_RESPONSES);
	log_warn("answer-crossed", "id=%s endpoint=%s", request->id, request->endpoint->name);
	return false;
}

/* Forwards one whole event; false if it is not the next one of this stream. */
static bool forward_event(request_t *request, const char *event, size_t len)
{
	int64_t id = event_id(event);

	if (g_str_has_prefix(event, END_EVENT)) {
		request->stream_ended = true;
		g_string_append_len(request->output, event, (gssize)len);
		g_string_append(request->output, ": outcome=done\n\n");
		return true;
	}
	if (id >= 0 && id != request->next_event_id)
		return false; /* events are missing or repeated */
	if (!event_matches_request(request, event, len))
		return false;
	g_string_append_len(request->output, event, (gssize)len);
	request->next_event_id++;
	request->cost++;
	return true;
}

/* Forwards the whole events received so far; false if one is wrong or too long. */
static bool forward_events(request_t *request)
{
	GString *input = request->input;
	size_t offset = 0;
	char *end;

	while (!request->stream_ended && (end = strstr(input->str + offset, "\n\n"))) {
		size_t len = (size_t)(end - input->str) + 2 - offset;

		if (!forward_event(request, input->str + offset, len))
			return false;
		offset += len;
	}
	g_string_erase(input, 0, (gssize)offset);
	return input->len < MAX_EVENT;
}

static bool read_some(request_t *request)
{
	char buffer[READ_CHUNK];
	ssize_t n = http_exchange_read(&request->exchange, buffer, sizeof(buffer) - 1);

	if (n <= 0)
		return false;
	buffer[n] = '\0';
	g_string_append_len(request->input, buffer, n);
	return forward_events(request);
}

/* Reconnects to the same engine and requests the stream from the next event on. */
static bool resume(request_t *request)
{
	char *path = g_strdup_printf("/v1/streams/%s?from=%u", request->id, request->next_event_id);
	http_options_t options = {
		.address = request->endpoint->address,
		.method = "GET",
		.path = path,
		.connect_timeout_ms = RESUME_CONNECT_MS,
		.read_timeout_ms = READ_TIMEOUT_MS,
	};
	bool resumed = false;

	request_close_exchange(request);
	g_string_truncate(request->input, 0);
	while (!resumed && request->resumes < MAX_RESUMES &&
		!caller_has_disconnected(request->caller_fd)) {
		request->resumes++;
		router_count(request->router, COUNTER_RESUMES);
		request->exchange_open = true;
		resumed = http_exchange_begin(&request->exchange, &options) == HTTP_OK &&
			  request->exchange.status == 200;
		if (!resumed)
			request_close_exchange(request);
	}
	log_info("stream-resumed", "id=%s endpoint=%s from=%u good=%d", request->id,
		request->endpoint->name, request->next_event_id, resumed);
	g_free(path);
	return resumed;
}

/* Ends the stream with an error event, unless the caller has disconnected. */
static void append_error_event(request_t *request)
{
	const reason_info_t *info = reason_info(REASON_ENDPOINT_BROKEN);

	request->stream_failed = true;
	request->reason = REASON_CALLER_LEFT;
	if (caller_has_disconnected(request->caller_fd))
		return;
	g_string_append_printf(request->output,
		"event: error\ndata: {\"type\":\"%s\",\"detail\":\"%s\",\"outcome\":\"%s\","
		"\"request_id\":\"%s\"}\n\n",
		info->name, info->detail, outcome_name(info->outcome), request->id);
	request->reason = REASON_ENDPOINT_BROKEN;
}

/* Fills `output` with at least one event or the error event; sets `stream_failed` on failure. */
static void fill_output(request_t *request)
{
	g_string_truncate(request->output, 0);
	request->output_offset = 0;
	while (!request->output->len && !request->stream_failed) {
		if (read_some(request))
			continue;
		if (request->output->len)
			return; /* send the whole events first; the next read fails again */
		if (!resume(request)) {
			append_error_event(request);
			return;
		}
	}
}

ssize_t relay_read(request_t *request, char *buffer, size_t size)
{
	size_t available;

	if (request->output_offset == request->output->len) {
		if (request->stream_failed)
			return -1;
		if (request->stream_ended)
			return 0;
		fill_output(request);
		if (request->stream_failed && !request->output->len)
			return -1;
		report_progress(request, false);
	}
	available = request->output->len - request->output_offset;
	if (available > size)
		available = size;
	memcpy(buffer, request->output->str + request->output_offset, available);
	request->output_offset += available;
	return (ssize_t)available;
}

/* Waits for the first event, so that an earlier failure still gets a regular error response. */
static reason_t relay_stream(request_t *request)
{
	request->input = g_string_new(NULL);
	request->output = g_string_new(NULL);
	fill_output(request);
	if (request->stream_failed)
		return request->reason;
	request->first_byte_at = clock_now();
	request->reported_at = request->first_byte_at;
	report_progress(request, true);
	return REASON_NONE;
}

static reason_t run(request_t *request)
{
	if (request_is_order(request))
		return REASON_NONE; /* order_run() has received the response */
	if (request->is_stream && request->exchange.status == 200)
		return relay_stream(request);
	request->is_stream = false;
	return relay_whole(request);
}

const filter_t relay_filter = {"relay", run};
