#include "edge/clock.h"
#include "edge/log.h"
#include "gateway/call.h"
#include "gateway/gateway.h"

static call_step_t run(call_t *call)
{
	const reason_info_t *info = reason_info(call->reason);
	instant_t now = clock_now();
	uint64_t first_byte_delay = call->first_byte ? call->first_byte - call->arrived : 0;

	gateway_count_outcome(call->gateway, call->reason);
	if (call->first_byte && call->placement_request.work.prompt)
		first_token_histogram_add(&call->gateway->first_tokens,
			call->placement_request.work.prompt, first_byte_delay);
	log_info("request",
		"id=%s workspace=%s route=%s endpoint=%s outcome=%s reason=%s status=%u sends=%u "
		"runs=%u asks=%u on_own=%d queued_ms=%" G_GUINT64_FORMAT
		" cost=%u prompt=%u first_ms=%" G_GUINT64_FORMAT " ms=%" G_GUINT64_FORMAT
		" pause_ms=%" G_GUINT64_FORMAT " retry_after=%.3f left_ms=%" G_GUINT64_FORMAT
		" returning=%d resume_after=%" G_GINT64_FORMAT
		" resumes=%s version=%s catalog=%" G_GUINT64_FORMAT
		" content=%016" G_GINT64_MODIFIER "x",
		call->id ? call->id : "-", call->workspace ? call->workspace->name : "-",
		call->route ? call->route->name : "-", call->endpoint ? call->endpoint->name : "-",
		outcome_name(info->outcome), info->name,
		call->reason == REASON_NONE ? call->status : (unsigned int)info->status,
		call->sends, call->runs, call->placement_request.owners_tried,
		call->placement_request.without_grant, (guint64)(call->queue_wait / USEC_PER_MSEC),
		call->cost, call->placement_request.work.prompt,
		(guint64)(first_byte_delay / USEC_PER_MSEC),
		(guint64)((now - call->arrived) / USEC_PER_MSEC),
		(guint64)(call->max_event_gap / USEC_PER_MSEC), call->retry_after_s,
		(guint64)call->time_left_ms, call->placement_request.is_late,
		(gint64)call->resume_after, call->resumes ? call->resumes : "-",
		call->endpoint ? call->endpoint->version : "-",
		call->catalog ? (guint64)call->catalog->version : 0, (guint64)call->parts.whole);
	return STEP_NEXT;
}

const call_filter_t call_account = {"account", run};
