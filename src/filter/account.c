#include "edge/clock.h"
#include "edge/log.h"
#include "filter/request.h"

static router_counter_t outcome_counter(outcome_t outcome)
{
	switch (outcome) {
	case OUTCOME_DONE:
		return COUNTER_DONE;
	case OUTCOME_NOT_RUN:
		return COUNTER_NOT_RUN;
	default:
		return COUNTER_UNKNOWN;
	}
}

/* Errors and disconnects of the caller spend no error budget; server errors and overload do. */
static bool spends_budget(reason_t reason)
{
	int status = reason_info(reason)->status;

	return status >= 500 || reason == REASON_OVERLOADED;
}

static void record_burn_rate(request_t *request)
{
	burn_rate_sample_t sample;
	uint64_t first_byte_delay;

	if (!request->service || !request->workspace || !request->route ||
		request->reason == REASON_CALLER_GONE || request->reason == REASON_CALLER_LEFT)
		return;
	first_byte_delay = request->first_byte_at ? request->first_byte_at - request->arrived : 0;
	sample = (burn_rate_sample_t){
		.service = request->service->name,
		.workspace = request->workspace->name,
		.success = request->route->success,
		.failed = spends_budget(request->reason),
		.late = first_byte_delay > request->route->first_byte_ms * USEC_PER_MSEC,
	};
	burn_rate_record(request->router->burn_rate, &sample, clock_now());
}

static void end_ticket(request_t *request)
{
	if (request->is_stream && request->stream_ended)
		request_end_ticket(request, END_DONE);
	else
		request_end_ticket(request,
			request->stream_failed ? request_incomplete_end(request) : END_STOPPED);
}

static reason_t run(request_t *request)
{
	const reason_info_t *info = reason_info(request->reason);

	if (request->accounted)
		return REASON_NONE;
	request->accounted = true;
	if (request->is_stream && request->reason == REASON_NONE && !request->stream_ended) {
		request->reason = REASON_CALLER_LEFT;
		info = reason_info(request->reason);
	}
	end_ticket(request);
	if (request->caller_watch_id &&
		caller_watch_remove(request->router->caller_watch, request->caller_watch_id))
		router_count(request->router, COUNTER_CALLERS_DISCONNECTED);
	router_count(request->router, COUNTER_REQUESTS);
	router_count(request->router, outcome_counter(info->outcome));
	record_burn_rate(request);
	log_info("request",
		"id=%s workspace=%s service=%s endpoint=%s outcome=%s reason=%s cost=%u "
		"ms=%" G_GUINT64_FORMAT,
		request->id, request->workspace ? request->workspace->name : "-",
		request->service ? request->service->name : "-",
		request->endpoint ? request->endpoint->name : "-", outcome_name(info->outcome),
		info->name, request->cost,
		(guint64)((clock_now() - request->arrived) / USEC_PER_MSEC));
	return REASON_NONE;
}

const filter_t account_filter = {"account", run};
