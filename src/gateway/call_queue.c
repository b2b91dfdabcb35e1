#include "edge/clock.h"
#include "gateway/call.h"
#include "gateway/gateway.h"

/* --- plain services: the node chooses an endpoint ----------------------- */

static void enter_node(call_t *call)
{
	node_request_t *node = &call->node;

	node->pool = call->service->id;
	node->workspace = call->workspace ? call->workspace->id : PUBLIC_WORKSPACE;
	node->deadline = call->deadline;
	node->state = REQUEST_NEW;
	node_arrive(call->gateway->node, node, clock_now());
}

static bool is_node_decided(const call_t *call)
{
	return call->node.state != REQUEST_WAITING;
}

static void cancel_node(call_t *call)
{
	node_cancel(call->gateway->node, &call->node, clock_now());
}

static void first_byte_node(call_t *call)
{
}

static void load_node(call_t *call, unsigned int load)
{
	node_load_report(call->gateway->node, call->endpoint->id, load, clock_now());
}

static void end_node(call_t *call, end_kind_t kind)
{
	if (call->node.state == REQUEST_RUNNING)
		node_end(call->gateway->node, &call->node, kind, call->cost, clock_now());
}

static const call_queue_ops_t node_queue = {
	enter_node, is_node_decided, cancel_node, first_byte_node, load_node, end_node};

/* --- model engines: their owners place the work ------------------------- */

static placement_t *placement_of(const call_t *call)
{
	return peers_placement(call->gateway->peers);
}

static void enter_placement(call_t *call)
{
	place_request_t *place = &call->place;

	place->pool = call->service->id;
	place->workspace = call->workspace ? call->workspace->id : PUBLIC_WORKSPACE;
	place->deadline = call->deadline;
	placement_request(placement_of(call), place, clock_now());
}

static bool is_placement_decided(const call_t *call)
{
	return call->place.state == PLACE_NONE || call->place.state == PLACE_GIVEN;
}

static void cancel_placement(call_t *call)
{
	placement_cancel(placement_of(call), &call->place, clock_now());
}

static void first_byte_placement(call_t *call)
{
	placement_first_token(placement_of(call), &call->place, clock_now());
}

static void load_placement(call_t *call, unsigned int load)
{
	placement_load_report(placement_of(call), &call->place, load, clock_now());
}

static void end_placement(call_t *call, end_kind_t kind)
{
	instant_t now = clock_now();

	if (kind == END_REFUSED || kind == END_BROKEN)
		placement_fail(placement_of(call), &call->place, call->failure, now);
	else
		placement_end(placement_of(call), &call->place, call->cost, now);
}

static const call_queue_ops_t placement_queue = {enter_placement, is_placement_decided,
	cancel_placement, first_byte_placement, load_placement, end_placement};

/* --- both --------------------------------------------------------------- */

static call_step_t run(call_t *call)
{
	call->queue = call->service->token_memory ? &placement_queue : &node_queue;
	call->in_queue = true;
	call->undecided = true;
	call->state = CALL_QUEUED;
	call->queue->enter(call);
	return STEP_WAIT;
}

/* False when the call was over before its decision came. */
static bool still_wanted(call_t *this)
{
	this->undecided = false;
	if (this->state != CALL_OVER)
		return true;
	call_leave_queue(this, END_STOPPED);
	call_delete(this);
	return false;
}

void call_start(call_t *this, id_t32 id)
{
	served_endpoint_t *endpoint;

	if (!still_wanted(this))
		return;
	endpoint = directory_find(this->gateway->directory, id);
	if (!endpoint) {
		call_leave_queue(this, END_REFUSED);
		this->retry_after_s = NOT_READY_RETRY_S;
		call_answer(this, call_may_have_run(this) ? REASON_GAVE_UP : REASON_NO_ENDPOINT);
		return;
	}
	this->endpoint = served_endpoint_get(endpoint);
	call_next(this);
}

void call_reject(call_t *this, reason_t reason, double retry_after_s)
{
	this->in_queue = false;
	if (!still_wanted(this))
		return;
	this->retry_after_s = retry_after_s;
	call_answer(this, call_may_have_run(this) ? REASON_GAVE_UP : reason);
}

void call_leave_queue(call_t *this, end_kind_t kind)
{
	if (!this->in_queue || (this->undecided && this->queue->is_decided(this)))
		return;
	this->in_queue = false;
	if (this->queue->is_decided(this))
		this->queue->end(this, kind);
	else
		this->queue->cancel(this);
}

void call_note_first_byte(call_t *this)
{
	this->first_byte = clock_now();
	if (this->in_queue)
		this->queue->first_byte(this);
}

const call_filter_t call_queue = {"queue", run};
