#include "edge/clock.h"
#include "gateway/call.h"
#include "gateway/gateway.h"

static call_step_t run(call_t *call)
{
	node_request_t *node = &call->node;

	node->pool = call->service->id;
	node->workspace = call->workspace ? call->workspace->id : PUBLIC_WORKSPACE;
	node->deadline = call->deadline;
	node->state = REQUEST_NEW;
	call->in_node = true;
	call->undecided = true;
	call->state = CALL_QUEUED;
	node_arrive(call->gateway->node, node, clock_now());
	return STEP_WAIT;
}

void call_decided(call_t *this, const node_action_t *action)
{
	served_endpoint_t *endpoint;

	this->undecided = false;
	if (action->kind == ACTION_REJECT)
		this->in_node = false;
	if (this->state == CALL_OVER) {
		call_leave_node(this, END_STOPPED);
		call_delete(this);
		return;
	}
	if (action->kind == ACTION_REJECT) {
		this->retry_after_s = action->retry_after_s;
		if (call_may_have_run(this))
			call_answer(this, REASON_GAVE_UP);
		else
			call_answer(this, action->reason);
		return;
	}
	endpoint = directory_find(this->gateway->directory, action->replica);
	if (!endpoint) {
		call_leave_node(this, END_REFUSED);
		this->retry_after_s = NOT_READY_RETRY_S;
		call_answer(this, this->runs ? REASON_GAVE_UP : REASON_NO_ENDPOINT);
		return;
	}
	this->endpoint = served_endpoint_get(endpoint);
	call_next(this);
}

void call_leave_node(call_t *this, end_kind_t kind)
{
	instant_t now = clock_now();

	if (!this->in_node || (this->undecided && this->node.state != REQUEST_WAITING))
		return;
	this->in_node = false;
	if (this->node.state == REQUEST_WAITING)
		node_cancel(this->gateway->node, &this->node, now);
	else if (this->node.state == REQUEST_RUNNING)
		node_end(this->gateway->node, &this->node, kind, this->cost, now);
}

const call_filter_t call_queue = {"queue", run};
