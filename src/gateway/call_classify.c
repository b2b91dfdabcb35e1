#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway/call.h"
#include "gateway/gateway.h"

#define FIRST_MARGIN_MS 15 /* of the objective, for the ways to the caller and to the endpoint */
#define USUAL_QUANTILE 0.85
#define USUAL_STEP 0.02
#define FIRST_ATTEMPT_FROM 0.8 /* of the usual time left; first attempts differ by some */

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
 * request's own.
 */
static void read_prefix(call_t *call)
{
	const char *parts = caller_header(call->request, call->gateway->vocabulary->prompt_parts);
	const char *last = parts ? strrchr(parts, ',') : NULL;

	prompt_chain_t *chain = &call->place.work.chain;
	const char *part = parts;

	while (last && part < last && chain->count < ENGINE_MAX_PARTS) {
		const char *end = memchr(part, ',', (size_t)(last - part));
		const char *colon = memchr(part, ':', (size_t)(last - part));

		if (!colon)
			return;
		/* The chain up to here, and the model whose weights read it. */
		chain->hash[chain->count] =
			XXH64(parts, (size_t)(colon - parts), call->service->id) | 1;
		chain->tokens[chain->count++] = (uint32_t)strtoul(colon + 1, NULL, 10);
		part = end ? end + 1 : last;
	}
}

/*
 * Most callers on a route have the same time left at their first attempt; one
 * with clearly less was refused before, and can't be in time any more.  The
 * usual time is a high quantile: few with more don't move it, nor do many that
 * come back.
 */
static bool is_returning(const call_t *call, uint64_t left)
{
	double *usual = gateway_usual_time(call->gateway, call->route);
	double step = *usual * USUAL_STEP;

	if (*usual <= 0)
		*usual = (double)left;
	else if ((double)left > *usual)
		*usual += step * USUAL_QUANTILE;
	else
		*usual -= step * (1 - USUAL_QUANTILE);
	return (double)left < *usual * FIRST_ATTEMPT_FROM;
}

/* The same for each attempt of a caller at the same thing. */
static uint32_t subject_of(const call_t *call)
{
	const caller_request_t *request = call->request;
	const char *usage = caller_header(request, call->gateway->vocabulary->token_usage);
	const char *parts = caller_header(request, call->gateway->vocabulary->prompt_parts);
	uint64_t hash = XXH64(request->target->str, request->target->len,
		call->workspace ? call->workspace->id : 0);

	if (usage)
		hash = XXH64(usage, strlen(usage), hash);
	if (parts)
		hash = XXH64(parts, strlen(parts), hash);
	return (uint32_t)XXH64(request->body->str, request->body->len, hash);
}

static void set_place(call_t *call)
{
	place_request_t *place = &call->place;

	if (call->service->token_memory)
		read_prefix(call);
	place->subject = subject_of(call);
	place->work.prompt = call->prompt_tokens;
	place->work.answer = call->answer_tokens;
	place->first_by = call->arrived + call->route->target_ms * USEC_PER_MSEC;
	place->first_by -=
		call->route->target_ms > 2 * FIRST_MARGIN_MS ? FIRST_MARGIN_MS * USEC_PER_MSEC : 0;
	place->is_late = call->time_left && is_returning(call, call->time_left);
}

static bool set_deadline(call_t *call)
{
	int64_t left;

	if (!read_number(call, call->gateway->vocabulary->time_left_ms, -1, &left))
		return false;
	call->time_left = left > 0 ? (uint64_t)left : 0;
	if (left >= 0)
		call->deadline = call->arrived + (uint64_t)left * USEC_PER_MSEC;
	if (call->route->timeout_ms)
		call->deadline = instant_min(
			call->deadline, call->arrived + call->route->timeout_ms * USEC_PER_MSEC);
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
	set_place(call);
	return STEP_NEXT;
}

const call_filter_t call_classify = {"classify", run};
