#include "core/reason.h"

static const reason_info_t reasons[REASON_COUNT] = {
	[REASON_NONE] = {"none", "", 200, OUTCOME_DONE, false},
	[REASON_UNAUTHORIZED] = {"unauthorized", "the token names no workspace", 401,
		OUTCOME_NOT_RUN, false},
	[REASON_NO_ROUTE] = {"no-route", "no route matches this method and path", 404,
		OUTCOME_NOT_RUN, false},
	[REASON_BAD_REQUEST] = {"bad-request", "the request is malformed", 400, OUTCOME_NOT_RUN,
		false},
	[REASON_TOO_LARGE] = {"too-large", "the request body is over the limit", 413,
		OUTCOME_NOT_RUN, false},
	[REASON_KEY_REQUIRED] = {"key-required", "this route needs an Idempotency-Key", 400,
		OUTCOME_NOT_RUN, false},
	[REASON_KEY_CONFLICT] = {"key-conflict", "this key was used with another request", 422,
		OUTCOME_NOT_RUN, false},
	[REASON_IN_PROGRESS] = {"in-progress", "an order with this key is in progress", 409,
		OUTCOME_UNKNOWN, true},
	[REASON_MAY_HAVE_RUN] = {"may-have-run", "the request was sent and its end is not known",
		502, OUTCOME_UNKNOWN, false},
	[REASON_OVERLOADED] = {"overloaded",
		"the workspace waits for more than its share can "
		"serve before the deadline",
		429, OUTCOME_NOT_RUN, true},
	[REASON_DEADLINE] = {"deadline", "no capacity came free before the deadline", 503,
		OUTCOME_NOT_RUN, true},
	[REASON_NO_ENDPOINT] = {"no-endpoint", "the service has no endpoint", 503, OUTCOME_NOT_RUN,
		true},
	[REASON_EVACUATED] = {"evacuated",
		"the failure domains of the endpoints that could run it are evacuated", 503,
		OUTCOME_NOT_RUN, true},
	[REASON_NO_REGION] = {"no-endpoint-in-region",
		"the service has no endpoint in the regions where this request may run", 503,
		OUTCOME_NOT_RUN, true},
	[REASON_DEPENDENCY] = {"dependency", "a service that this one depends on has no endpoint",
		503, OUTCOME_NOT_RUN, true},
	[REASON_STORE_DOWN] = {"store-down", "the order could not be recorded", 503,
		OUTCOME_NOT_RUN, true},
	[REASON_STOPPING] = {"stopping", "this router is stopping", 503, OUTCOME_NOT_RUN, true},
	[REASON_NOT_READY] = {"not-ready", "this router has no settings of the fleet yet", 503,
		OUTCOME_NOT_RUN, true},
	[REASON_PROMPT_BLOCKED] = {"prompt-blocked",
		"endpoints failed each time they answered a prompt with one of its parts", 503,
		OUTCOME_NOT_RUN, true},
	[REASON_REQUEST_BLOCKED] = {"request-blocked",
		"endpoints failed each time they began to run this request", 503, OUTCOME_NOT_RUN,
		true},
	[REASON_STREAM_UNKNOWN] = {"stream-unknown",
		"it is not known which software version began the stream: begin it anew", 503,
		OUTCOME_NOT_RUN, true},
	[REASON_STREAM_VERSION_GONE] = {"stream-version-gone",
		"no endpoint of the version that began the stream is left: begin it anew", 503,
		OUTCOME_NOT_RUN, true},
	[REASON_ENDPOINT_REFUSED] = {"endpoint-refused", "no endpoint took the request", 503,
		OUTCOME_NOT_RUN, true},
	[REASON_ENDPOINT_BROKEN] = {"endpoint-broken", "the endpoint failed during the answer", 502,
		OUTCOME_UNKNOWN, false},
	[REASON_CALLER_GONE] = {"caller-gone", "the caller went away", 499, OUTCOME_NOT_RUN, false},
	[REASON_CALLER_LEFT] = {"caller-left", "the caller went away during the answer", 499,
		OUTCOME_UNKNOWN, false},
	[REASON_TIMEOUT] = {"timeout", "the answer was not whole at the deadline", 504,
		OUTCOME_UNKNOWN, false},
	[REASON_GAVE_UP] = {"gave-up",
		"an answer broke, and no capacity came free in time to send the request again", 503,
		OUTCOME_UNKNOWN, true},
};

const reason_info_t *reason_info(reason_t reason)
{
	return &reasons[reason < REASON_COUNT ? reason : REASON_BAD_REQUEST];
}

bool status_means_not_run(unsigned int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

reason_t reason_checked(reason_t reason, run_state_t state)
{
	const reason_info_t *info = reason_info(reason);
	bool claims_not_run = info->outcome == OUTCOME_NOT_RUN;

	if (state == RUN_ONCE)
		claims_not_run |= status_means_not_run((unsigned int)info->status);
	if (state == RUN_NONE || !claims_not_run)
		return reason;
	if (reason == REASON_CALLER_GONE)
		return REASON_CALLER_LEFT;
	return state == RUN_ONCE ? REASON_MAY_HAVE_RUN : REASON_GAVE_UP;
}

const char *outcome_name(outcome_t outcome)
{
	static const char *const names[] = {"done", "not-run", "unknown"};

	return names[outcome];
}
