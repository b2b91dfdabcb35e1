#include "load/sender.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/http_exchange.h"
#include "settings/jsondoc.h"
#include "standin/standin_response.h"

#define READ_CHUNK 8192
#define CONNECT_MS 1000
#define READ_MS 90000
#define LOST_PAUSE_MS 50
#define ORDER_RETRY_MS 200
#define PREFIX_CHARS 256
#define MAX_HEADERS 6

/* One attempt's answer. */
typedef struct attempt {
	int status;
	char outcome[16];
	char reason[40];
	char request_id[64];
	unsigned int retry_after_s;
	bool whole; /* the connection gave a proper end */
	GString *body;
	instant_t first_byte;
} attempt_t;

static char *prompt_text(const send_job_t *job)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "%s shared prefix %u ", job->stream->workspace, job->prefix);
	while (job->stream->prefixes && out->len < PREFIX_CHARS)
		g_string_append(out, "catalogue of elastic, buckles and feed ");
	g_string_append_printf(out, "request %s-%" G_GUINT64_FORMAT " tokens=%u", job->stream->name,
		job->number, job->tokens);
	return g_string_free(out, FALSE);
}

static GString *request_body(const send_job_t *job, const char *prompt)
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

static void read_problem(attempt_t *attempt)
{
	jsondoc_t *doc = jsondoc_new(attempt->body->str, attempt->body->len);

	if (!doc->error)
		g_strlcpy(attempt->reason, json_get_string(doc->root, "type", ""),
			sizeof(attempt->reason));
	jsondoc_delete(doc);
}

static void read_head(attempt_t *attempt, http_exchange_t *exchange)
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
	char id[32]; /* a router draws its own; a stand-in called directly needs one */
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
		.connect_timeout_ms = CONNECT_MS,
		.read_timeout_ms = READ_MS,
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
		read_head(attempt, &exchange);
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
		read_problem(attempt);
}

/* The text of a stream's events put together; false without a proper end. */
static bool stream_text(const GString *body, GString *text)
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

static bool whole_text(const GString *body, GString *text)
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

/* Compares the answer byte by byte with what this very request must give. */
static bool answer_is_right(
	const send_job_t *job, const char *prompt, const GString *sent, const attempt_t *attempt)
{
	bool model = job->stream->kind < LOAD_ORDER;
	GString *expected =
		model ? standin_response_model_text(prompt, job->stream->max_tokens)
		      : standin_response_plain_body(job->stream->path, sent->str, sent->len);
	GString *got = g_string_new(NULL);
	bool ended = true;
	bool right;

	if (job->stream->kind == LOAD_STREAM)
		ended = stream_text(attempt->body, got);
	else if (model)
		ended = whole_text(attempt->body, got);
	else
		g_string_append_len(got, attempt->body->str, (gssize)attempt->body->len);
	right = ended && g_string_equal(expected, got);
	g_string_free(expected, TRUE);
	g_string_free(got, TRUE);
	return right;
}

static load_result_t judge(
	const send_job_t *job, const char *prompt, const GString *sent, const attempt_t *attempt)
{
	if (!attempt->whole)
		return RESULT_BROKEN;
	if (!strcmp(attempt->outcome, "not-run"))
		return RESULT_NOT_RUN;
	if (!strcmp(attempt->outcome, "unknown"))
		return RESULT_UNKNOWN;
	if (strstr(attempt->body->str, "event: error\n"))
		return RESULT_WRONG; /* the failure was said, yet the end was proper */
	return answer_is_right(job, prompt, sent, attempt) ? RESULT_DONE : RESULT_WRONG;
}

static const char *pick_router(const send_job_t *job, GRand *random)
{
	const load_stream_t *stream = job->stream;
	unsigned int at;

	if (stream->router_count)
		at = stream->routers[(unsigned int)g_rand_int_range(
			random, 0, (gint32)stream->router_count)];
	else
		at = (unsigned int)g_rand_int_range(random, 0, (gint32)job->options->router_count);
	return job->options->routers[at % job->options->router_count];
}

/* How long to wait before trying again, or -1 when the answer is final. */
static int64_t retry_pause_ms(const send_job_t *job, const attempt_t *attempt, load_result_t result)
{
	if (result == RESULT_BROKEN)
		return LOST_PAUSE_MS;
	if (result == RESULT_NOT_RUN && attempt->retry_after_s)
		return job->options->obey_retry_after ? (int64_t)attempt->retry_after_s * 1000
						      : ORDER_RETRY_MS;
	if (result == RESULT_UNKNOWN && !strcmp(attempt->reason, "in-progress"))
		return ORDER_RETRY_MS;
	return -1;
}

static void note_attempt(const send_job_t *job, const attempt_t *attempt, load_result_t result)
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
	char *prompt = prompt_text(job);
	GString *body = request_body(job, prompt);
	char *key = NULL;

	if (job->stream->kind == LOAD_ORDER)
		key = g_strdup_printf(
			"%s-%u-%" G_GUINT64_FORMAT, job->stream->name, job->seed, job->number);
	record->stream = job->stream;
	record->intended = job->intended;
	for (;;) {
		int64_t pause_ms;
		attempt_t attempt;

		send_once(job, pick_router(job, random), key, body, &attempt);
		record->attempts++;
		record->result = judge(job, prompt, body, &attempt);
		record->first_byte = attempt.first_byte;
		record->ended = clock_now();
		note_attempt(job, &attempt, record->result);
		if (record->result == RESULT_WRONG)
			fprintf(stderr, "wrong answer id=%s status=%d: %.200s\n",
				attempt.request_id, attempt.status, attempt.body->str);
		pause_ms = retry_pause_ms(job, &attempt, record->result);
		record->refusals += record->result == RESULT_NOT_RUN;
		g_string_free(attempt.body, TRUE);
		/* A router that takes no connection is passed over, as a balancer would. */
		if (pause_ms < 0 ||
			record->attempts > job->stream->retries + (attempt.status ? 0 : 20))
			break;
		g_usleep((gulong)pause_ms * 1000);
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
