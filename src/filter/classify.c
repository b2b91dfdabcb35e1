#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "edge/clock.h"
#include "filter/request.h"
#include "settings/jsondoc.h"

#define PREFIX_CHARS 256 /* leading bytes of the prompt that are hashed */
#define DEFAULT_MAX_TOKENS 256
#define DEFAULT_PLAIN_COST 10 /* cost units, for a route that sets no cost */
#define MAX_KEY_CHARS 255
#define DEADLINE_HEADER "X-Deadline-Ms"

/* The content of the last chat message, taken as the prompt. */
static const char *last_message_content(json_value_t *root)
{
	json_value_t *messages = json_get(root, "messages");

	if (!messages || messages->type != JSON_ARRAY || !messages->last)
		return NULL;
	return json_get_string(messages->last, "content", NULL);
}

/* Reads the model, the prompt and the size limit from a chat completion request. */
static reason_t read_chat(request_t *request, json_value_t *root)
{
	const char *model = json_get_string(root, "model", NULL);
	const char *prompt = last_message_content(root);
	int64_t max_tokens = json_get_int(root, "max_tokens", DEFAULT_MAX_TOKENS);
	size_t prefix_len;
	int service;

	if (!model || !prompt || max_tokens < 1 || max_tokens > INT32_MAX)
		return REASON_BAD_REQUEST;
	service = fleet_config_find_service(request->config, model);
	if (service < 0 || request->config->services[service].kind != SERVICE_MODEL)
		return REASON_NO_ROUTE;
	prefix_len = strlen(prompt) < PREFIX_CHARS ? strlen(prompt) : PREFIX_CHARS;
	request->service = &request->config->services[service];
	request->is_stream = json_get_bool(root, "stream", false);
	request->hint = (uint32_t)max_tokens;
	request->prefix_hash = XXH64(prompt, prefix_len, 0);
	return REASON_NONE;
}

static reason_t classify_chat(request_t *request)
{
	jsondoc_t *doc = jsondoc_new(request->body->str, request->body->len);
	reason_t reason = REASON_BAD_REQUEST;

	if (!doc->error && doc->root->type == JSON_OBJECT)
		reason = read_chat(request, doc->root);
	jsondoc_delete(doc);
	return reason;
}

/* Reads the idempotency key as the route's rule requires. */
static reason_t read_key(request_t *request)
{
	const char *key = request_header(request, "Idempotency-Key");

	if (request->route->key == KEY_NONE)
		return REASON_NONE;
	if (!key || !*key)
		return request->route->key == KEY_REQUIRED ? REASON_KEY_REQUIRED : REASON_NONE;
	if (strlen(key) > MAX_KEY_CHARS)
		return REASON_BAD_REQUEST;
	request->idempotency_key = key;
	return REASON_NONE;
}

/* Sets the route's or the default deadline, or the caller's own if that is earlier. */
static reason_t set_deadline(request_t *request)
{
	const char *given = request_header(request, DEADLINE_HEADER);
	uint64_t ms = request->route->deadline_ms;
	char *end = NULL;
	unsigned long wanted = given ? strtoul(given, &end, 10) : 0;

	if (given && (end == given || *end || !wanted || *given == '-'))
		return REASON_BAD_REQUEST;
	if (!ms)
		ms = request->router->settings->default_deadline_ms;
	if (given && wanted < ms)
		ms = wanted;
	request->deadline = request->arrived + ms * USEC_PER_MSEC;
	return REASON_NONE;
}

static reason_t run(request_t *request)
{
	const route_t *route =
		fleet_config_find_route(request->config, request->method, request->path);
	reason_t reason;

	if (request->too_large)
		return REASON_TOO_LARGE;
	if (!route)
		return REASON_NO_ROUTE;
	request->route = route;
	reason = set_deadline(request);
	if (reason != REASON_NONE)
		return reason;
	if (route->service < 0)
		return classify_chat(request);
	request->service = &request->config->services[route->service];
	request->hint = route->cost ? route->cost : DEFAULT_PLAIN_COST;
	return read_key(request);
}

const filter_t classify_filter = {"classify", run};
