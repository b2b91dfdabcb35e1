#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "gateway/call.h"
#include "gateway/gateway.h"

#define MAX_KEPT_BODY                                                                              \
	262144 /* bytes of an answer that is kept until whole; beyond, it is passed on */

/* --- the head --------------------------------------------------------- */

static void on_sent(void *user)
{
	call_t *call = user;

	call->sent_now = true;
}

static bool is_success(unsigned int status)
{
	return status >= 200 && status < 300;
}

/* A success that is not the endpoint's own, or not for this request. */
static bool is_dubious(const link_answer_t *answer)
{
	return is_success(answer->status) &&
	       (!answer->is_signed || !answer->has_id || answer->is_encoded);
}

static void note_load(call_t *call, const link_answer_t *answer)
{
	if (answer->has_load)
		call_note_load(call, answer->load_running + answer->load_waiting);
}

static void break_off(call_t *call, place_end_t failure, bool may_have_run)
{
	endpoint_link_abort(call->endpoint_link);
	call_attempt_failed(call, failure, may_have_run);
}

static void on_answer(void *user, const link_answer_t *answer)
{
	call_t *call = user;

	note_load(call, answer);
	call->status = answer->status;
	call->body_length = answer->length;
	if (answer->not_run || answer->status == 421) {
		break_off(call, answer->not_run ? PLACE_REFUSED : PLACE_UNREACHED, false);
		return;
	}
	/* Where the caller has the head of a success already, another status is no part of it. */
	if (is_dubious(answer) || (call->answering && answer->status != 200)) {
		break_off(call, PLACE_BROKEN, true);
		return;
	}
	call->streaming = call->route->is_stream && answer->status == 200;
	if (call->answering)
		return; /* goes on where the last attempt broke off */
	g_string_assign(call->headers, answer->headers->str);
}

/* --- the body --------------------------------------------------------- */

static void begin_answer(call_t *call)
{
	if (call->answering)
		return;
	call->answering = true;
	call_note_first_byte(call);
	caller_begin(call->caller, call->status, call->headers->str,
		call->streaming ? -1 : call->body_length);
}

static void pass_on(call_t *call, const char *data, size_t len)
{
	begin_answer(call);
	caller_piece(call->caller, data, len);
	if (caller_is_choked(call->caller) && call->endpoint_link)
		endpoint_link_pause(call->endpoint_link, true);
}

static void note_pause(call_t *call)
{
	instant_t now = clock_now();
	uint64_t pause = call->events_at ? now - call->events_at : 0;

	if (pause > call->longest_pause)
		call->longest_pause = pause;
	call->events_at = now;
}

static void take_events(call_t *call, const char *data, size_t len)
{
	GString *out = g_string_sized_new(len);
	unsigned int before = call->events.passed;
	event_result_t result = event_stream_feed(&call->events, data, len, out);

	if (call->events.passed > before)
		note_pause(call);
	if (out->len)
		pass_on(call, out->str, out->len);
	g_string_free(out, TRUE);
	call->cost += (call->events.passed - before) * call->service->event_tokens;
	if (result == EVENT_STREAM_GOOD)
		return;
	log_warn("events-malformed", "id=%s endpoint=%s after=%" G_GINT64_FORMAT, call->id,
		call->endpoint->name, (gint64)call->events.last);
	break_off(call, PLACE_BROKEN, true);
}

static void on_body(void *user, const char *data, size_t len)
{
	call_t *call = user;

	if (call->streaming) {
		take_events(call, data, len);
		return;
	}
	if (call->answering) {
		pass_on(call, data, len);
		return;
	}
	if (!call->body)
		call->body = g_string_sized_new(len);
	g_string_append_len(call->body, data, (gssize)len);
	if (call->body->len <= MAX_KEPT_BODY)
		return;
	pass_on(call, call->body->str, call->body->len);
	g_string_truncate(call->body, 0);
}

void call_reset_answer(call_t *this)
{
	this->streaming = this->answering && this->streaming;
	this->whole = false;
	if (this->body)
		g_string_truncate(this->body, 0);
}

void call_drained(call_t *this)
{
	if (this->endpoint_link)
		endpoint_link_pause(this->endpoint_link, false);
}

/* --- the end ---------------------------------------------------------- */

static bool is_failure_worth_retrying(const call_t *call)
{
	return call->repeatable && !call->answering && call->status >= 500 &&
	       call->runs + 1 < call->route->max_attempts &&
	       instant_left(call->deadline, clock_now()) > 0;
}

static void on_end(void *user)
{
	call_t *call = user;

	call->endpoint_link = NULL;
	if ((call->streaming && !event_stream_is_whole(&call->events)) ||
		is_failure_worth_retrying(call)) {
		call_attempt_failed(call, PLACE_BROKEN, true);
		return;
	}
	call->whole = true;
	call_run(call);
}

static void on_fail(void *user, link_failure_t failure)
{
	static const char *const names[] = {"not-connected", "reset", "ended", "malformed"};
	call_t *call = user;
	bool may_have_run = call->sent_now;

	log_info("link-failed", "id=%s endpoint=%s failure=%s", call->id, call->endpoint->name,
		names[failure]);
	call_attempt_failed(call, may_have_run ? PLACE_BROKEN : PLACE_UNREACHED, may_have_run);
}

const endpoint_link_ops_t call_link_ops = {
	.on_sent = on_sent,
	.on_answer = on_answer,
	.on_body = on_body,
	.on_end = on_end,
	.on_fail = on_fail,
};

/* Waits for the endpoint's answer; then gives what is left of it to the caller. */
static call_step_t run(call_t *call)
{
	if (!call->whole)
		return STEP_WAIT;
	call->runs++;
	if (!call->answering && call->status < 500)
		call_note_first_byte(call);
	call_leave_queue(call, call->status < 500 ? PLACE_DONE : PLACE_BROKEN);
	if (call->request->is_head)
		begin_answer(call);
	if (call->answering) {
		caller_finish(call->caller);
	} else {
		caller_answer(call->caller, call->status, call->headers->str,
			call->body ? call->body->str : "", call->body ? call->body->len : 0);
	}
	call->caller = NULL;
	return STEP_NEXT;
}

const call_filter_t call_relay = {"relay", run};
