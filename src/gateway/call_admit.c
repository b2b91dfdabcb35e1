#include "edge/clock.h"
#include "gateway/call.h"
#include "gateway/gateway.h"

#define MIN_TIME_LEFT (5 * USEC_PER_MSEC) /* no endpoint responds in less */

part_verdict_t call_check_parts(call_t *this, instant_t now)
{
	part_block_t block;
	part_verdict_t verdict =
		part_watch_check(this->gateway->part_watch, &this->parts, now, &block);

	if (verdict != PART_BLOCKED)
		return verdict;
	this->reason = block.is_whole ? REASON_REQUEST_BLOCKED : REASON_PROMPT_BLOCKED;
	this->retry_after_s = (double)instant_left(block.until, now) / (double)USEC_PER_SEC;
	return verdict;
}

/* Rejects requests early that can't be completed before the stop or their deadline, or that end
 * endpoints. */
static call_step_t run(call_t *call)
{
	instant_t now = clock_now();

	if (!gateway_accepts_call(call->gateway, now, call->deadline)) {
		call->retry_after_s = STOPPING_RETRY_S;
		call->reason = REASON_STOPPING;
		return STEP_FAIL;
	}
	retry_budget_request(gateway_retry_budget(call->gateway, call->service->id), now);
	if (instant_left(call->deadline, now) < MIN_TIME_LEFT) {
		call->reason = REASON_DEADLINE;
		return STEP_FAIL;
	}
	if (call_check_parts(call, now) == PART_BLOCKED)
		return STEP_FAIL;
	return STEP_NEXT;
}

const call_filter_t call_admit = {"admit", run};
