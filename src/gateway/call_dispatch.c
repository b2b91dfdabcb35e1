#include <string.h>
#include <strings.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "gateway/call.h"
#include "gateway/gateway.h"

#define MAX_SENDS 4			    /* per call, including attempts that did not run */
#define MIN_RETRY_TIME (20 * USEC_PER_MSEC) /* a retry with less time left can't succeed */

/* --- the request sent to the endpoint --------------------------------- */

/* Headers that are hop-by-hop, private to the gateway, or set by it. */
static bool is_replaced_header(const call_t *call, const char *name)
{
	const header_names_t *names = call->gateway->header_names;
	const char *const replaced[] = {"Proxy-Authorization", "Expect", "Authorization",
		"Accept-Encoding", names->time_left_ms, names->workspace, names->expected_endpoint,
		names->resume_after, NULL};

	return header_is_hop_by_hop(name) || header_names_contain(replaced, name) ||
	       header_names_contain(names->withheld, name);
}

/* The caller's "Connection" header lists this header as hop-by-hop. */
static bool is_listed_in_connection(const call_t *call, const char *name)
{
	const char *list = caller_header(call->request, "Connection");
	char **tokens;
	bool found = false;

	if (!list)
		return false;
	tokens = g_strsplit(list, ",", 0);
	for (char **token = tokens; *token && !found; token++)
		found = !strcasecmp(g_strstrip(*token), name);
	g_strfreev(tokens);
	return found;
}

static void add_headers(const call_t *call, GString *out)
{
	const caller_request_t *request = call->request;

	for (unsigned int i = 0; i < request->names->len; i++) {
		const char *name = request->names->pdata[i];

		if (is_replaced_header(call, name) || is_listed_in_connection(call, name))
			continue;
		g_string_append_printf(out, "%s: %s\r\n", name, (char *)request->values->pdata[i]);
	}
}

/* Address to copy the cached shared prompt parts from; NULL: none. */
static const char *copy_source(const call_t *call)
{
	const registered_endpoint_t *source;

	if (!call->gateway->header_names->copy_from || !call->placement_request.source)
		return NULL;
	source = endpoint_registry_find(
		call->gateway->endpoint_registry, call->placement_request.source);
	if (!source || source == call->endpoint || !call_may_use(call, source))
		return NULL;
	return source->address;
}

static GString *build_request(const call_t *call, instant_t now)
{
	const header_names_t *names = call->gateway->header_names;
	const caller_request_t *request = call->request;
	const char *source = copy_source(call);
	GString *out = g_string_sized_new(1024 + request->body->len);

	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", request->method, request->target->str);
	add_headers(call, out);
	if (call->deadline != INSTANT_NEVER)
		g_string_append_printf(out, "%s: %" G_GUINT64_FORMAT "\r\n", names->time_left_ms,
			(guint64)(instant_left(call->deadline, now) / USEC_PER_MSEC));
	if (call->workspace)
		g_string_append_printf(out, "%s: %s\r\n", names->workspace, call->workspace->name);
	if (call->events.last_id >= 0)
		g_string_append_printf(out, "%s: %" G_GINT64_FORMAT "\r\n", names->resume_after,
			(gint64)call->events.last_id);
	g_string_append_printf(out, "%s: %s\r\n", names->expected_endpoint, call->endpoint->name);
	if (source)
		g_string_append_printf(out, "%s: %s\r\n", names->copy_from, source);
	if (request->body->len || (strcmp(request->method, "GET") && !request->is_head))
		g_string_append_printf(out, "Content-Length: %zu\r\n", (size_t)request->body->len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, request->body->str, (gssize)request->body->len);
	return out;
}

/* --- sending ---------------------------------------------------------- */

static call_step_t run(call_t *call)
{
	gateway_t *gateway = call->gateway;
	instant_t now = clock_now();
	connection_request_t request = {
		.id = call->id,
		.is_head = call->request->is_head,
		/* If an idle connection closes now, it is unknown whether the request has run. */
		.new_connection = !call->is_idempotent,
		.now = now,
	};

	if (instant_left(call->deadline, now) == 0) {
		call->reason = call_may_have_run(call) ? REASON_TIMEOUT : REASON_DEADLINE;
		return STEP_FAIL;
	}
	/* It may have been blocked while the call waited for its slot. */
	if (call_check_parts(call, now) == PART_BLOCKED) {
		call_leave_placement(call, SLOT_UNUSED);
		if (call_may_have_run(call))
			call->reason = REASON_ENDPOINT_BROKEN;
		return STEP_FAIL;
	}
	/* A request can wait in the kernel, with its caller's close behind it. */
	if (caller_has_left(call->caller)) {
		call_leave_placement(call, SLOT_UNUSED);
		caller_disconnect(call->caller); /* frees the call */
		return STEP_WAIT;
	}
	request.bytes = build_request(call, now);
	call->state = CALL_SENT;
	call->sends++;
	call_reset_response(call);
	part_watch_record_sent(gateway->part_watch, &call->parts, now);
	call->connection = endpoint_connection_send(
		&gateway->connection_options, call->endpoint, &request, &call_connection_ops, call);
	if (!call->connection) {
		call_attempt_failed(call, SLOT_UNREACHABLE, false);
		return STEP_WAIT;
	}
	return STEP_NEXT;
}

static bool may_retry(call_t *call, bool may_have_run, instant_t now)
{
	bool resumable = call->route->resumable && call->streaming;

	if (may_have_run && !call->is_idempotent)
		return false;
	if (may_have_run && call_check_parts(call, now) != PART_ALLOWED)
		return false;
	if (call->response_started && !resumable)
		return false;
	if (may_have_run && call->runs >= call->route->max_attempts)
		return false;
	if (call->sends >= MAX_SENDS || instant_left(call->deadline, now) < MIN_RETRY_TIME)
		return false;
	return retry_budget_take(gateway_retry_budget(call->gateway, call->service->id), now);
}

/* `answer_ms`: for how long the endpoint had been sending its answer, -1: not at all. */
static void log_attempt(const call_t *call, const char *failure, bool may_have_run, bool retry)
{
	GString *parts = g_string_new(NULL);
	gint64 answer_ms = -1;

	for (unsigned int i = 0; i + 1 < call->parts.count; i++)
		g_string_append_printf(parts, "%s%016" G_GINT64_MODIFIER "x", i ? "," : "",
			(guint64)call->parts.part[i]);
	if (call->answer_began)
		answer_ms = (gint64)((clock_now() - call->answer_began) / USEC_PER_MSEC);
	log_info("attempt-failed",
		"id=%s endpoint=%s version=%s failure=%s may_have_run=%d send=%u again=%d "
		"answer_ms=%" G_GINT64_FORMAT " last_event=%" G_GINT64_FORMAT
		" content=%016" G_GINT64_MODIFIER "x parts=%s",
		call->id, call->endpoint->name, call->endpoint->version, failure, may_have_run,
		call->sends, retry, answer_ms, (gint64)call->events.last_id,
		(guint64)call->parts.whole, parts->str);
	g_string_free(parts, TRUE);
}

void call_attempt_failed(call_t *this, slot_result_t failure, bool may_have_run)
{
	static const char *const names[] = {
		[SLOT_UNREACHABLE] = "unreached",
		[SLOT_REFUSED] = "refused",
		[SLOT_INCOMPLETE] = "broken",
	};
	instant_t now = clock_now();
	bool retry;

	if (may_have_run)
		this->runs++;
	this->request_sent = false;
	this->connection = NULL;
	retry = may_retry(this, may_have_run, now);
	log_attempt(this, names[failure], may_have_run, retry);
	call_leave_placement(this, failure);
	this->placement_request.avoid = this->endpoint->id;
	if (retry) {
		event_stream_discard_partial(&this->events);
		call_requeue(this);
		return;
	}
	this->retry_after_s = REFUSED_RETRY_S;
	call_fail(this, this->runs ? REASON_ENDPOINT_BROKEN : REASON_ENDPOINT_REFUSED);
}

const call_filter_t call_dispatch = {"dispatch", run};
