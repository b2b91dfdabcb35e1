#include "load/sender.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/http_exchange.h"
#include "settings/jsondoc.h"
#include "standin/standin_response.h"

#define READ_CHUNK 8192
#define CONNECT_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS 90000
#define BROKEN_RETRY_MS 50
#define DEFAULT_RETRY_MS 200
#define PREFIX_CHARS 256
#define MAX_HEADERS 6

/* The response to one attempt. */
typedef struct attempt {
	int status; /* 0: no response header */
	char outcome[16];
	char reason[40];
	char request_id[64];
	unsigned int retry_after_s;
	bool whole; /* the body was received up to its regular end */
	GString *body;
	instant_t first_byte;
} attempt_t;

static char *create_prompt(const send_job_t *job)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "%s shared prefix %u ", job->stream->workspace, job->prefix);
	while (job->stream->prefixes && out->len < PREFIX_CHARS)
		g_string_append(out, "catalogue of elastic, buckles and feed ");
	g_string_append_printf(out, "request %s-%" G_GUINT64_FORMAT " tokens=%u", job->stream->name,
		job->number, job->tokens);
	return g_string_free(out, FALSE);
}

static GString *create_body(const send_job_t *job, const char *prompt)
{
	GString *out = g_string_new(NULL);

	if (job->stream->kind >= LOAD_ORDER) {
		g_string_printf(out, "{\"item\":\"%s\"}", prompt);
		return out;
	}
	g_string_printf(out,
		"{\"model\":\"%s\",\"max_tokens\":%u,\"stream\":%s,\"messages\":[{\"role\":"
		"\"user\","
		"\"content\":\"%s\"}]}",
		job->stream->model, job->stream->max_tokens,
		job->stream->kind == LOAD_STREAM ? "true" : "false", prompt);
	return out;
}

static void parse_problem(attempt_t *attempt)
{
	jsondoc_t *doc = jsondoc_new(attempt->body->str, attempt->body->len);

	if (!doc->error)
		g_strlcpy(attempt->reason, json_get_string(doc->root, "type", ""),
			sizeof(attempt->reason));
	jsondoc_delete(doc);
}

static void read_headers(attempt_t *attempt, http_exchange_t *exchange)
{
	const char *outcome = http_exchange_header(exchange, "Amaranthwall-Outcome");
	const char *id = http_exchange_header(exchange, "X-Request-Id");
	const char *retry = http_exchange_header(exchange, "Retry-After");

	attempt->status = exchange->status;
	g_strlcpy(attempt->outcome, outcome ? outcome : "", sizeof(attempt->outcome));
	g_strlcpy(attempt->request_id, id ? id : "", sizeof(attempt->request_id));
	attempt->retry_after_s = retry ? (unsigned int)strtoul(retry, NULL, 10) : 0;
}

static void send_once(const send_job_t *job, const char *router, const char *key,
	const GString *body, attempt_t *attempt)
{
	char deadline[16];
	char id[32]; /* for a stand-in that is called directly; a router draws its own */
	char *bearer = g_strconcat("Bearer ", job->stream->token, NULL);
	http_header_t headers[MAX_HEADERS] = {{"Authorization", bearer},
		{"Content-Type", "application/json"}, {"X-Request-Id", id}};
	http_exchange_t exchange;
	http_options_t options = {
		.address = router,
		.method = "POST",
		.path = job->stream->path,
		.headers = headers,
		.header_count = 3,
		.body = body->str,
		.body_len = body->len,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.read_timeout_ms = READ_TIMEOUT_MS,
	};
	char buffer[READ_CHUNK];
	ssize_t n = -1;

	if (key)
		headers[options.header_count++] = (http_header_t){"Idempotency-Key", key};
	if (job->stream->deadline_ms) {
		g_snprintf(deadline, sizeof(deadline), "%u", job->stream->deadline_ms);
		headers[options.header_count++] = (http_header_t){"X-Deadline-Ms", deadline};
	}
	g_snprintf(id, sizeof(id), "load-%08x-%" G_GUINT64_FORMAT, job->seed, job->number);
	memset(attempt, 0, sizeof(*attempt));
	attempt->body = g_string_new(NULL);
	if (http_exchange_begin(&exchange, &options) == HTTP_OK) {
		read_headers(attempt, &exchange);
		while ((n = http_exchange_read(&exchange, buffer, sizeof(buffer))) > 0) {
			if (!attempt->first_byte)
				attempt->first_byte = clock_now();
			g_string_append_len(attempt->body, buffer, n);
		}
	}
	attempt->whole = n == 0;
	http_exchange_delete(&exchange);
	g_free(bearer);
	if (attempt->whole && attempt->status != 200)
		parse_problem(attempt);
}

/* Joins the texts of a stream's events; false without the final [DONE] event. */
static bool parse_stream_response(const GString *body, GString *text)
{
	static const char mark[] = "\"content\":\"";
	const char *at = body->str;

	while ((at = strstr(at, mark))) {
		const char *end;

		at += strlen(mark);
		end = strchr(at, '"');
		if (!end)
			return false;
		g_string_append_len(text, at, end - at);
		at = end;
	}
	return strstr(body->str, "data: [DONE]\n\n") != NULL;
}

static bool parse_whole_response(const GString *body, GString *text)
{
	jsondoc_t *doc = jsondoc_new(body->str, body->len);
	json_value_t *choices = doc->error ? NULL : json_get(doc->root, "choices");
	json_value_t *message =
		choices && choices->first ? json_get(choices->first, "message") : NULL;
	const char *content = json_get_string(message, "content", NULL);

	if (content)
		g_string_append(text, content);
	jsondoc_delete(doc);
	return content != NULL;
}

/* Compares the response byte by byte with the one that this request must get. */
static bool response_matches(
	const send_job_t *job, const char *prompt, const GString *sent, const attempt_t *attempt)
{
	bool model = job->stream->kind < LOAD_ORDER;
	GString *expected =
		model ? standin_response_model_text(prompt, job->stream->max_tokens)
		      : standin_response_plain_body(job->stream->path, sent->str, sent->len);
	GString *got = g_string_new(NULL);
	bool ended = true;
	bool matches;

	if (job->stream->kind == LOAD_STREAM)
		ended = parse_stream_response(attempt->body, got);
	else if (model)
		ended = parse_whole_response(attempt->body, got);
	else
		g_string_append_len(got, attempt->body->str, (gssize)attempt->body->len);
	matches = ended && g_string_equal(expected, got);
	g_string_free(expected, TRUE);
	g_string_free(got, TRUE);
	return matches;
}

static load_result_t classify_response(
	const send_job_t *job, const char *prompt, const GString *sent, const attempt_t *attempt)
{
	if (!attempt->whole)
		return RESULT_BROKEN;
	if (!strcmp(attempt->outcome, "not-run"))
		return RESULT_NOT_RUN;
	if (!strcmp(attempt->outcome, "unknown"))
		return RESULT_UNKNOWN;
	if (strstr(attempt->body->str, "event: error\n"))
		return RESULT_WRONG; /* reports an error, but ended as if complete */
	return response_matches(job, prompt, sent, attempt) ? RESULT_DONE : RESULT_WRONG;
}

static const char *pick_router(const send_job_t *job, GRand *random)
{
	const load_stream_t *stream = job->stream;
	unsigned int index;

	if (stream->router_count)
		index = stream->routers[(unsigned int)g_rand_int_range(
			random, 0, (gint32)stream->router_count)];
	else
		index = (unsigned int)g_rand_int_range(
			random, 0, (gint32)job->options->router_count);
	return job->options->routers[index % job->options->router_count];
}

/* Returns the delay before the next attempt, or -1 when the response is final. */
static int64_t retry_delay_ms(const send_job_t *job, const attempt_t *attempt, load_result_t result)
{
	if (result == RESULT_BROKEN)
		return BROKEN_RETRY_MS;
	if (result == RESULT_NOT_RUN && attempt->retry_after_s)
		return job->options->obey_retry_after ? (int64_t)attempt->retry_after_s * 1000
						      : DEFAULT_RETRY_MS;
	if (result == RESULT_UNKNOWN && !strcmp(attempt->reason, "in-progress"))
		return DEFAULT_RETRY_MS;
	return -1;
}

static void record_attempt(const send_job_t *job, const attempt_t *attempt, load_result_t result)
{
	if (result == RESULT_NOT_RUN && attempt->request_id[0])
		records_add_not_run(job->options->records, attempt->request_id);
	records_count_status(
		job->options->records, attempt->status, attempt->whole ? attempt->reason : "(cut)");
}

void sender_run(send_job_t *job)
{
	record_t *record = g_new0(record_t, 1);
	GRand *random = g_rand_new_with_seed(job->seed);
	char *prompt = create_prompt(job);
	GString *body = create_body(job, prompt);
	char *key = NULL;

	if (job->stream->kind == LOAD_ORDER)
		key = g_strdup_printf(
			"%s-%u-%" G_GUINT64_FORMAT, job->stream->name, job->seed, job->number);
	record->stream = job->stream;
	record->intended = job->intended;
	for (;;) {
		int64_t delay_ms;
		attempt_t attempt;

		send_once(job, pick_router(job, random), key, body, &attempt);
		record->attempts++;
		record->result = classify_response(job, prompt, body, &attempt);
		record->first_byte = attempt.first_byte;
		record->ended = clock_now();
		record_attempt(job, &attempt, record->result);
		if (record->result == RESULT_WRONG)
			fprintf(stderr, "wrong response id=%s status=%d: %.200s\n",
				attempt.request_id, attempt.status, attempt.body->str);
		delay_ms = retry_delay_ms(job, &attempt, record->result);
		record->rejections += record->result == RESULT_NOT_RUN;
		g_string_free(attempt.body, TRUE);
		/*
		 * After an attempt without a response header 20 more attempts are allowed:
		 * a load balancer in front of the routers would skip an unreachable one.
		 */
		if (delay_ms < 0 ||
			record->attempts > job->stream->retries + (attempt.status ? 0 : 20))
			break;
		g_usleep((gulong)delay_ms * 1000);
	}
	if (record->result == RESULT_DONE)
		record->cost = job->stream->kind >= LOAD_ORDER ? 1 : job->tokens;
	record->key = key;
	records_add(job->options->records, record);
	g_string_free(body, TRUE);
	g_free(prompt);
	g_rand_free(random);
	g_free(job);
}
