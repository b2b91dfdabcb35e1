#include "edge/clock.h"
#include "gateway/call.h"
#include "gateway/gateway.h"

#define MIN_TIME_LEFT (5 * USEC_PER_MSEC) /* below which no endpoint could answer */

/* Turns away at once what can't be served. */
static call_step_t run(call_t *call)
{
	instant_t now = clock_now();

	if (!gateway_takes_work(call->gateway, now, call->deadline)) {
		call->retry_after_s = STOPPING_RETRY_S;
		call->reason = REASON_STOPPING;
		return STEP_ANSWER;
	}
	retry_budget_request(gateway_budget(call->gateway, call->service->id), now);
	if (instant_left(call->deadline, now) < MIN_TIME_LEFT) {
		call->reason = REASON_DEADLINE;
		return STEP_ANSWER;
	}
	return STEP_NEXT;
}

const call_filter_t call_admit = {"admit", run};
