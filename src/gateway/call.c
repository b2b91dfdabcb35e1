#include "gateway/call.h"

#include <string.h>

#include "edge/clock.h"
#include "gateway/gateway.h"

static const call_filter_t *const pipeline[] = {
	&call_identify,
	&call_classify,
	&call_admit,
	&call_resume,
	&call_queue,
	&call_dispatch,
	&call_relay,
};

#define QUEUE_FILTER_INDEX 4 /* of call_queue in the pipeline */

call_t *call_new(gateway_t *gateway, caller_t *caller, const caller_request_t *request)
{
	call_t *this = g_new0(call_t, 1);

	this->gateway = gateway;
	this->caller = caller;
	this->request = request;
	this->arrived = request->began;
	this->deadline = INSTANT_NEVER;
	this->resume_after = -1;
	this->headers = g_string_new(NULL);
	event_stream_init(&this->events);
	caller_set_exchange(caller, this);
	gateway_add_call(gateway, this);
	return this;
}

void call_delete(call_t *this)
{
	gateway_remove_call(this->gateway, this);
	origin_lookup_cancel(&this->origin);
	call_account.run(this);
	event_stream_clear(&this->events);
	call_discard_body(this);
	g_string_free(this->headers, TRUE);
	g_free(this->id);
	g_free(this->resumes);
	registered_endpoint_put(this->endpoint);
	catalog_put(this->catalog);
	g_free(this);
}

static void stop_attempt(call_t *this)
{
	if (this->connection)
		endpoint_connection_abort(this->connection);
	this->connection = NULL;
	call_leave_placement(this, SLOT_DONE);
}

/* The id is as long as the caller's headers may be. */
static void send_error(call_t *this)
{
	const reason_info_t *info = reason_info(this->reason);
	GString *headers = g_string_new(NULL);

	g_string_append_printf(headers, "%s: %s\r\n", this->gateway->header_names->request_id,
		this->id ? this->id : "-");
	if (info->retry_after && this->retry_after_s > 0)
		g_string_append_printf(headers, "Retry-After: %.3f\r\n", this->retry_after_s);
	caller_send_response(this->caller, (unsigned int)info->status, headers->str, info->name,
		strlen(info->name));
	g_string_free(headers, TRUE);
}

static run_state_t run_state(const call_t *call)
{
	if (!call_may_have_run(call))
		return RUN_NONE;
	return call->is_idempotent ? RUN_REPEATABLE : RUN_ONCE;
}

void call_fail(call_t *this, reason_t reason)
{
	caller_t *caller = this->caller;

	if (this->state == CALL_OVER)
		return;
	this->reason = reason_checked(reason, run_state(this));
	stop_attempt(this);
	this->state = CALL_OVER;
	if (caller && this->response_started)
		caller_abort(caller);
	else if (caller)
		send_error(this);
	this->caller = NULL;
	if (!this->in_placement)
		call_delete(this);
}

bool call_may_have_run(const call_t *this)
{
	return this->runs || this->request_sent;
}

void call_on_caller_gone(call_t *this)
{
	if (this->state == CALL_OVER)
		return;
	this->caller = NULL;
	call_fail(this, REASON_CALLER_GONE);
}

void call_expire(call_t *this)
{
	if (call_may_have_run(this))
		call_fail(this, REASON_TIMEOUT);
	else
		call_fail(this, REASON_DEADLINE);
}

void call_run(call_t *this)
{
	while (this->filter < ARRAY_LEN(pipeline)) {
		switch (pipeline[this->filter]->run(this)) {
		case STEP_NEXT:
			this->filter++;
			break;
		case STEP_WAIT:
			return;
		case STEP_FAIL:
			call_fail(this, this->reason);
			return;
		}
	}
	/* The relay filter has sent the complete response. */
	this->state = CALL_OVER;
	call_delete(this);
}

void call_next(call_t *this)
{
	this->filter++;
	call_run(this);
}

void call_requeue(call_t *this)
{
	registered_endpoint_put(this->endpoint);
	this->endpoint = NULL;
	this->filter = QUEUE_FILTER_INDEX;
	call_run(this);
}
