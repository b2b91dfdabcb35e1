#include <string.h>
#include <xxhash.h>

#include "edge/clock.h"
#include "gateway/call.h"
#include "gateway/gateway.h"

/* Identifies a stream: only the same request of the same caller can name it. */
static uint64_t stream_hash(const call_t *call, const char *id)
{
	return XXH64(id, strlen(id), call->parts.whole) | 1;
}

static call_step_t fail(call_t *call, origin_result_t result)
{
	if (result == ORIGIN_UNREADABLE)
		call->retry_after_s = STORE_RETRY_S;
	call->reason = REASON_STREAM_UNKNOWN;
	return STEP_FAIL;
}

static void on_origin(void *ctx, origin_result_t result, id_t32 version)
{
	call_t *call = ctx;

	if (result == ORIGIN_FOUND) {
		call->placement_request.version = version;
		call_next(call);
		return;
	}
	fail(call, result);
	call_fail(call, call->reason);
}

/* Binds a stream that the caller takes up to the version that began it. */
static call_step_t run(call_t *call)
{
	origin_query_t *query = &call->origin;
	id_t32 version;
	origin_result_t result;

	if (!call_takes_up_stream(call))
		return STEP_NEXT;
	query->service = call->service->id;
	query->stream = call->resumes ? stream_hash(call, call->resumes) : 0;
	query->on_origin = on_origin;
	query->ctx = call;
	result = origin_lookup_ask(call->gateway->origin_lookup, query, &version);
	if (result == ORIGIN_PENDING)
		return STEP_WAIT;
	if (result != ORIGIN_FOUND)
		return fail(call, result);
	call->placement_request.version = version;
	return STEP_NEXT;
}

bool call_takes_up_stream(const call_t *this)
{
	return this->route->is_stream && this->resume_after >= 0;
}

/* Id of the attempt that began the call's stream; NULL if the caller does not name it. */
static const char *stream_id(const call_t *call)
{
	return call_takes_up_stream(call) ? call->resumes : call->id;
}

void call_record_origin(call_t *this)
{
	instant_t now = clock_now();
	const char *id = stream_id(this);
	stream_origin_t origin;

	if (!this->placement_request.version)
		this->placement_request.version = this->endpoint->version_id;
	if (!id || now < this->origin_renew_at)
		return;
	this->origin_renew_at = now + STREAM_ORIGINS_RENEWAL;
	origin = (stream_origin_t){
		.stream = stream_hash(this, id),
		.service = this->service->id,
		.version = this->placement_request.version,
	};
	stream_origins_record(origin_lookup_origins(this->gateway->origin_lookup), &origin, now);
}

void call_complete_origin(call_t *this)
{
	const char *id = stream_id(this);

	if (this->streaming && id)
		stream_origins_complete(origin_lookup_origins(this->gateway->origin_lookup),
			this->service->id, stream_hash(this, id), clock_now());
}

const call_filter_t call_resume = {"resume", run};
