#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway/call.h"
#include "gateway/gateway.h"

#define FIRST_BYTE_MARGIN_MS 15	   /* part of the route's target left for the network hops */
#define TYPICAL_TIME_QUANTILE 0.85 /* of the times left that callers send */
#define TYPICAL_TIME_STEP 0.02	   /* adjustment per request, relative to the estimate */
#define FIRST_ATTEMPT_RATIO 0.8	   /* least share of the typical time; first attempts vary */

/* Parses a header's number; `fallback` if the header is missing, false if it is malformed. */
static bool read_number(const call_t *call, const char *name, int64_t fallback, int64_t *number)
{
	const char *value = caller_header(call->request, name);
	char *end;

	*number = fallback;
	if (!value)
		return true;
	*number = g_ascii_strtoll(value, &end, 10);
	return end != value && !*end && *number >= 0;
}

/* Reads "PROMPT,OUTPUT" token counts; a length hint overrides the output count. */
static void read_tokens(call_t *call)
{
	const header_names_t *names = call->gateway->header_names;
	const char *usage = caller_header(call->request, names->token_usage);
	int64_t hint = 0;
	unsigned int prompt = 0;
	unsigned int output = 0;

	if (usage && sscanf(usage, "%u,%u", &prompt, &output) < 1)
		prompt = 0;
	call->prompt_tokens = prompt;
	call->output_tokens = output;
	if (read_number(call, names->length_hint, 0, &hint) && hint > 0 && hint < UINT32_MAX)
		call->output_tokens = (uint32_t)hint;
}

/*
 * Reads the parts of the prompt that other requests may share: all but the last
 * one, which is unique to this request.
 */
static void read_shared_parts(call_t *call)
{
	const char *parts = caller_header(call->request, call->gateway->header_names->prompt_parts);
	const char *last = parts ? strrchr(parts, ',') : NULL;

	prompt_chain_t *chain = &call->placement_request.work.chain;
	const char *part = parts;

	while (last && part < last && chain->count < PROMPT_MAX_PARTS) {
		const char *end = memchr(part, ',', (size_t)(last - part));
		const char *colon = memchr(part, ':', (size_t)(last - part));

		if (!colon)
			return;
		/* Hashes all parts up to this one; seeded by service, as caches are per model. */
		chain->hash[chain->count] =
			XXH64(parts, (size_t)(colon - parts), call->service->id) | 1;
		chain->tokens[chain->count++] = (uint32_t)strtoul(colon + 1, NULL, 10);
		part = end ? end + 1 : last;
	}
}

/* Reads the names of the shared parts alone: the same part may follow different ones. */
static void read_part_names(call_t *call)
{
	const char *parts = caller_header(call->request, call->gateway->header_names->prompt_parts);
	const char *last = parts ? strrchr(parts, ',') : NULL;
	const char *part = parts;

	while (last && part < last && call->parts.count < PART_SET_MAX - 1) {
		const char *end = memchr(part, ',', (size_t)(last - part));
		size_t len = strspn(part, " \t");

		part += len;
		len = strcspn(part, ":, \t");
		call->parts.part[call->parts.count++] = XXH64(part, len, 0);
		part = end ? end + 1 : last;
	}
}

/*
 * Detects a caller's retry.  Most callers on a route have the same time left at
 * their first attempt; a caller with clearly less was rejected before and can no
 * longer meet the target.  The typical time left is tracked as a high quantile, which
 * neither a few callers with more time nor many retries shift.
 */
static bool is_caller_retry(const call_t *call, uint64_t left)
{
	double *typical = gateway_typical_time_left(call->gateway, call->route);
	double step = *typical * TYPICAL_TIME_STEP;

	if (*typical <= 0)
		*typical = (double)left;
	else if ((double)left > *typical)
		*typical += step * TYPICAL_TIME_QUANTILE;
	else
		*typical -= step * (1 - TYPICAL_TIME_QUANTILE);
	return (double)left < *typical * FIRST_ATTEMPT_RATIO;
}

/* Hash that is equal for requests with the same host, workspace, method, target and body. */
static uint64_t content_of(const call_t *call)
{
	const caller_request_t *request = call->request;
	uint64_t hash = XXH64(call->route->host, strlen(call->route->host),
		call->workspace ? call->workspace->id : 0);

	hash = XXH64(request->method, strlen(request->method), hash);
	hash = XXH64(request->target->str, request->target->len, hash);
	return XXH64(request->body->str, request->body->len, hash);
}

/* Hash that is equal for all attempts of a caller at the same request. */
static uint32_t fingerprint_of(const call_t *call)
{
	const caller_request_t *request = call->request;
	const char *usage = caller_header(request, call->gateway->header_names->token_usage);
	const char *parts = caller_header(request, call->gateway->header_names->prompt_parts);
	uint64_t hash = XXH64(request->target->str, request->target->len,
		call->workspace ? call->workspace->id : 0);

	if (usage)
		hash = XXH64(usage, strlen(usage), hash);
	if (parts)
		hash = XXH64(parts, strlen(parts), hash);
	return (uint32_t)XXH64(request->body->str, request->body->len, hash);
}

static void fill_placement_request(call_t *call)
{
	placement_request_t *request = &call->placement_request;

	if (call->service->token_memory)
		read_shared_parts(call);
	request->work.prompt = call->prompt_tokens;
	request->work.answer = call->output_tokens;
	request->first_token_deadline = call->arrived + call->route->target_ms * USEC_PER_MSEC;
	request->first_token_deadline -= call->route->target_ms > 2 * FIRST_BYTE_MARGIN_MS
						 ? FIRST_BYTE_MARGIN_MS * USEC_PER_MSEC
						 : 0;
	/* A stream that is taken up goes on, so it does not stand behind those that begin. */
	if (call_takes_up_stream(call))
		return;
	request->request_fingerprint = fingerprint_of(call);
	request->is_late = call->time_left_ms && is_caller_retry(call, call->time_left_ms);
}

static bool set_deadline(call_t *call)
{
	int64_t left;

	if (!read_number(call, call->gateway->header_names->time_left_ms, -1, &left))
		return false;
	call->time_left_ms = left > 0 ? (uint64_t)left : 0;
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

	if (!set_deadline(call) || !read_number(call, call->gateway->header_names->resume_after, -1,
					   &call->resume_after)) {
		call->reason = REASON_BAD_REQUEST;
		return STEP_FAIL;
	}
	call->resumes =
		g_strdup(caller_header(call->request, call->gateway->header_names->resumes));
	call->service = &call->catalog->services[catalog_pick_target(route, g_random_int())];
	call->is_idempotent = route->is_idempotent;
	call->events.last_id = call->resume_after;
	read_tokens(call);
	read_part_names(call);
	call->parts.whole = content_of(call);
	call->parts.part[call->parts.count++] = call->parts.whole;
	fill_placement_request(call);
	return STEP_NEXT;
}

const call_filter_t call_classify = {"classify", run};
