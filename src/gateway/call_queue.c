#include "edge/clock.h"
#include "edge/log.h"
#include "gateway/call.h"
#include "gateway/gateway.h"

static placement_t *placement_of(const call_t *call)
{
	return peers_placement(call->gateway->peers);
}

/* Route and workspace both bind.  Where no regions are known, neither does. */
static region_set_t allowed_regions(const call_t *call)
{
	region_set_t regions = {0};

	if (!g_hash_table_size(call->gateway->settings->regions))
		return regions;
	regions = call->route->regions;
	if (call->workspace)
		region_set_intersect(&regions, &call->workspace->regions);
	return regions;
}

bool call_may_use(const call_t *this, const registered_endpoint_t *endpoint)
{
	id_t32 region = gateway_settings_region(this->gateway->settings, endpoint->failure_domain);

	return registered_endpoint_takes_work(endpoint) &&
	       region_set_allows(&this->placement_request.regions, region);
}

/* Requests a slot from the owners of the service's endpoints. */
static call_step_t run(call_t *call)
{
	placement_request_t *request = &call->placement_request;

	request->pool = call->service->id;
	request->regions = allowed_regions(call);
	request->workspace = call->workspace ? call->workspace->id : PUBLIC_WORKSPACE;
	request->deadline = call->deadline;
	request->was_started = call->sends > 0 || call_takes_up_stream(call);
	call->in_placement = true;
	call->decision_pending = true;
	call->state = CALL_QUEUED;
	call->queued_at = clock_now();
	placement_request(placement_of(call), request, call->queued_at);
	return STEP_WAIT;
}

/* Ends the wait; returns false, with the call freed, if the call was over before the decision. */
static bool record_decision(call_t *this)
{
	this->decision_pending = false;
	this->queue_wait += clock_now() - this->queued_at;
	if (this->state != CALL_OVER)
		return true;
	call_leave_placement(this, SLOT_UNUSED);
	call_delete(this);
	return false;
}

void call_on_slot_granted(call_t *this, id_t32 id)
{
	registered_endpoint_t *endpoint;

	if (!record_decision(this))
		return;
	endpoint = endpoint_registry_find(this->gateway->endpoint_registry, id);
	if (!endpoint || !call_may_use(this, endpoint)) {
		/* The registry has changed since the placement was told of the engines. */
		log_info("grant-outdated", "id=%s endpoint=%s", this->id,
			endpoint ? endpoint->name : "-");
		call_leave_placement(this, SLOT_UNUSED);
		this->placement_request.avoid = id;
		call_requeue(this);
		return;
	}
	this->endpoint = registered_endpoint_get(endpoint);
	call_next(this);
}

void call_on_slot_rejected(call_t *this, reason_t reason, double retry_after_s)
{
	this->in_placement = false;
	if (!record_decision(this))
		return;
	this->retry_after_s = retry_after_s;
	call_fail(this, reason);
}

static bool is_placement_decided(const call_t *call)
{
	return call->placement_request.state == PLACEMENT_NONE ||
	       call->placement_request.state == PLACEMENT_GRANTED;
}

void call_leave_placement(call_t *this, slot_result_t result)
{
	instant_t now = clock_now();

	if (!this->in_placement || (this->decision_pending && is_placement_decided(this)))
		return;
	this->in_placement = false;
	this->placement_request.longest_pause = this->max_event_gap;
	if (result == SLOT_DONE && this->placement_request.state == PLACEMENT_GRANTED)
		placement_end(placement_of(this), &this->placement_request, this->cost, now);
	else if (result == SLOT_UNUSED || this->placement_request.state != PLACEMENT_GRANTED)
		placement_cancel(placement_of(this), &this->placement_request, now);
	else
		placement_fail(placement_of(this), &this->placement_request, result, now);
}

void call_report_load(call_t *this, unsigned int load, unsigned int slowness)
{
	if (this->in_placement)
		placement_slowness_report(
			placement_of(this), &this->placement_request, load, slowness, clock_now());
}

void call_report_rate_limit(call_t *this, uint32_t rate)
{
	if (this->in_placement)
		placement_rate_report(placement_of(this), &this->placement_request, rate,
			this->sent_at, clock_now());
}

void call_report_pause(call_t *this, double seconds)
{
	placement_pause_engine(placement_of(this), this->endpoint->id,
		clock_now() + (uint64_t)(seconds * (double)USEC_PER_SEC));
}

void call_report_first_byte(call_t *this)
{
	this->first_byte = clock_now();
	if (this->in_placement)
		placement_first_token(
			placement_of(this), &this->placement_request, this->first_byte);
}

const call_filter_t call_queue = {"queue", run};
