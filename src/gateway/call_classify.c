#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway/call.h"
#include "gateway/gateway.h"

#define PROMPT_TOKENS_PER_UNIT 32 /* an engine reads so many in the time of one generated token */
#define PLAIN_COST 10		  /* cost units of a call that is no generation */

/* The number in a header, `fallback` without one; false when it is none. */
static bool read_number(const call_t *call, const char *name, int64_t fallback, int64_t *number)
{
	const char *text = caller_header(call->request, name);
	char *end;

	*number = fallback;
	if (!text)
		return true;
	*number = g_ascii_strtoll(text, &end, 10);
	return end != text && !*end && *number >= 0;
}

/* "PROMPT,ANSWER" */
static void read_tokens(call_t *call)
{
	const vocabulary_t *words = call->gateway->vocabulary;
	const char *usage = caller_header(call->request, words->token_usage);
	int64_t hint = 0;
	unsigned int prompt = 0;
	unsigned int answer = 0;

	if (usage && sscanf(usage, "%u,%u", &prompt, &answer) < 1)
		prompt = 0;
	call->prompt_tokens = prompt;
	call->answer_tokens = answer;
	if (read_number(call, words->length_hint, 0, &hint) && hint > 0 && hint < UINT32_MAX)
		call->answer_tokens = (uint32_t)hint;
}

/*
 * The parts of a prompt that others share: all but the last, which is the
 * request's own.  The hash of the chain names what an engine may have cached.
 */
static void read_prefix(call_t *call)
{
	const char *parts =
		caller_header(call->request, call->gateway->vocabulary->prompt_parts);
	const char *last = parts ? strrchr(parts, ',') : NULL;

	if (last)
		call->node.prefix = XXH64(parts, (size_t)(last - parts), 0);
}

static bool set_deadline(call_t *call)
{
	int64_t left;

	if (!read_number(call, call->gateway->vocabulary->time_left_ms, -1, &left))
		return false;
	if (left >= 0)
		call->deadline = call->arrived + (uint64_t)left * USEC_PER_MSEC;
	if (call->route->timeout_ms)
		call->deadline = instant_min(call->deadline,
			call->arrived + call->route->timeout_ms * USEC_PER_MSEC);
	return true;
}

static call_step_t run(call_t *call)
{
	const catalog_route_t *route = call->route;

	if (!set_deadline(call) || !read_number(call, call->gateway->vocabulary->resume_after, -1,
					   &call->resume_after)) {
		call->reason = REASON_BAD_REQUEST;
		return STEP_ANSWER;
	}
	call->service = &call->catalog->services[catalog_draw_target(route, g_random_int())];
	call->repeatable = route->repeatable;
	call->events.last = call->resume_after;
	read_tokens(call);
	read_prefix(call);
	if (call->service->token_memory)
		call->node.hint = call->answer_tokens + call->prompt_tokens / PROMPT_TOKENS_PER_UNIT;
	if (!call->node.hint)
		call->node.hint = PLAIN_COST;
	return STEP_NEXT;
}

const call_filter_t call_classify = {"classify", run};
