/* threaded: gateway - what callers and endpoints see of the data path, against endpoints that
 * misbehave */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define SOON_MS 3000
#define CLOSE "Connection: close\r\n"

/* --- scripts ---------------------------------------------------------- */

static void write_answer(int fd, const char *id, const char *extra, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" STAMP "Request-Id: %s\r\n%s"
				     "Content-Length: %zu\r\n\r\n%s",
		id, extra, strlen(body), body);

	raw_write(fd, text);
	g_free(text);
}

static bool good(void *ctx, int fd, const raw_request_t *request)
{
	write_answer(fd, request->id, "", "hello");
	return true;
}

/* Keeps the request's head for the test. */
static bool keep_head(void *ctx, int fd, const raw_request_t *request)
{
	char **kept = ctx;

	g_free(*kept);
	*kept = g_strdup(request->head);
	write_answer(fd, request->id, "", request->body->str);
	return true;
}

static bool reset_after_reading(void *ctx, int fd, const raw_request_t *request)
{
	raw_reset(fd);
	return false;
}

static bool refuse(void *ctx, int fd, const raw_request_t *request)
{
	raw_write(fd, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
		      "Content-Length: 0\r\n\r\n");
	return true;
}

static bool truncate_answer(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" STAMP "Request-Id: %s\r\n"
				     "Content-Length: 50\r\n\r\nhel",
		request->id);

	raw_write(fd, text);
	g_free(text);
	return false;
}

static bool foreign_first(void *ctx, int fd, const raw_request_t *request)
{
	write_answer(fd, "somebody-else", "", "not yours");
	write_answer(fd, request->id, "", "yours");
	return true;
}

static bool two_answers(void *ctx, int fd, const raw_request_t *request)
{
	write_answer(fd, request->id, "", "first");
	sleep_ms(request->number % 3);
	write_answer(fd, request->id, "", "second");
	return true;
}

static bool no_signature(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				     "Content-Length: 2\r\n\r\nhi",
		request->id);

	raw_write(fd, text);
	g_free(text);
	return true;
}

static bool no_answer_at_all(void *ctx, int fd, const raw_request_t *request)
{
	raw_write(fd, "\x01\x02 what is this\r\n\r\n");
	return true;
}

static bool fails(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf("HTTP/1.1 500 Internal Server Error\r\n" STAMP
				     "Request-Id: %s\r\nContent-Length: 4\r\n\r\noops",
		request->id);

	raw_write(fd, text);
	g_free(text);
	return true;
}

static void write_stream_head(int fd, const char *id)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" STAMP "Request-Id: %s\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
		id);

	raw_write(fd, text);
	g_free(text);
}

static void write_chunk(int fd, const char *data)
{
	char *text = g_strdup_printf("%zx\r\n%s\r\n", strlen(data), data);

	raw_write(fd, text);
	g_free(text);
}

static void write_event(int fd, unsigned int number)
{
	char *event = g_strdup_printf("id: %u\ndata: e%u\n\n", number, number);

	write_chunk(fd, event);
	g_free(event);
}

#define EVENTS 5

/* Sends all events after the caller's last, unless `ctx` says where the first run breaks off. */
static bool stream(void *ctx, int fd, const raw_request_t *request)
{
	const unsigned int *cut = ctx;
	char *last = raw_request_header(request, "Last-Event-Id");
	unsigned int from = last ? (unsigned int)atoi(last) + 1 : 0;

	g_free(last);
	write_stream_head(fd, request->id);
	for (unsigned int i = from; i < EVENTS; i++) {
		if (cut && request->number == 0 && i == *cut) {
			write_chunk(fd, "id: 9\ndata: ha");
			return false;
		}
		write_event(fd, i);
	}
	raw_write(fd, "0\r\n\r\n");
	return true;
}

/* Begins a stream and goes on until the other side closes. */
static bool endless(void *ctx, int fd, const raw_request_t *request)
{
	raw_endpoint_t **self = ctx;
	struct pollfd item = {.fd = fd, .events = POLLIN};

	write_stream_head(fd, request->id);
	write_event(fd, 0);
	if (poll(&item, 1, SOON_MS) == 1)
		raw_endpoint_note_cut(*self);
	return false;
}

/* Reads and never answers, until the other side closes. */
static bool silent(void *ctx, int fd, const raw_request_t *request)
{
	raw_endpoint_t **self = ctx;
	struct pollfd item = {.fd = fd, .events = POLLIN};

	if (poll(&item, 1, 2 * SOON_MS) == 1)
		raw_endpoint_note_cut(*self);
	return false;
}

/* --- helpers ---------------------------------------------------------- */

static char *ask(fixture_t *f, const char *path, const char *id, const char *extra)
{
	char *headers = g_strconcat(extra, CLOSE, NULL);
	char *text = fixture_request("POST", path, id, headers, "body");
	char *answer = fixture_exchange(f, text, 2 * SOON_MS);

	g_free(text);
	g_free(headers);
	return answer;
}

static void assert_has(const char *answer, const char *what)
{
	if (!strstr(answer, what))
		fail_msg("no \"%s\" in:\n%s", what, answer);
}

static void assert_lacks(const char *answer, const char *what)
{
	if (strstr(answer, what))
		fail_msg("\"%s\" in:\n%s", what, answer);
}

static void wait_until_cut(raw_endpoint_t *endpoint, unsigned int cuts)
{
	instant_t until = clock_now() + SOON_MS * USEC_PER_MSEC;

	while (raw_endpoint_cuts(endpoint) < cuts && clock_now() < until)
		sleep_ms(2);
	assert_int_equal(raw_endpoint_cuts(endpoint), cuts);
}

/* --- whole answers ---------------------------------------------------- */

static void test_serves_byte_for_byte(void **state)
{
	fixture_t *f = fixture_new();
	char *head = NULL;
	char *answer;

	fixture_add_endpoint(f, keep_head, &head);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/order/a%20b?q=1&r=%2F", "id1",
		"Deadline-Ms: 1500\r\nTenant-Id: forged\r\nHold: h\r\nExpect-Instance: x\r\n"
		"X-Other: kept\r\n");
	assert_has(answer, "HTTP/1.1 200 OK\r\n");
	assert_has(answer, STAMP);
	assert_has(answer, "Request-Id: id1\r\n");
	assert_has(answer, "\r\n\r\nbody");
	assert_has(head, "POST /order/a%20b?q=1&r=%2F HTTP/1.1\r\n");
	assert_has(head, "Tenant-Id: w1\r\n");
	assert_has(head, "Expect-Instance: i-0\r\n");
	assert_has(head, "X-Other: kept\r\n");
	assert_has(head, "Deadline-Ms: 1");
	assert_lacks(head, "forged");
	assert_lacks(head, "Hold");
	assert_lacks(head, "Bearer");
	assert_lacks(head, "Connection");
	g_free(answer);
	g_free(head);
	fixture_delete(f);
}

static void test_unknown_route_and_key(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	fixture_add_endpoint(f, good, NULL);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/nowhere/", "id1", "");
	assert_has(answer, "HTTP/1.1 404 ");
	g_free(answer);
	answer = fixture_exchange(f,
		"GET /order/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: i\r\n" CLOSE
		"Authorization: Bearer nobody\r\n\r\n",
		SOON_MS);
	assert_has(answer, "HTTP/1.1 401 ");
	g_free(answer);
	assert_int_equal(raw_endpoint_requests(f->endpoints[0]), 0);
	fixture_delete(f);
}

static void test_kept_connections_and_requests_sent_ahead(void **state)
{
	fixture_t *f = fixture_new();
	char *first;
	char *second;
	char *both;
	char *answer;

	fixture_add_endpoint(f, good, NULL);
	fixture_wait_ready(f, 1);
	first = fixture_request("POST", "/status/", "one", "", "x");
	second = fixture_request("POST", "/status/", "two", CLOSE, "y");
	both = g_strconcat(first, second, NULL);
	answer = fixture_exchange(f, both, SOON_MS);
	assert_has(answer, "Request-Id: one\r\n");
	assert_has(strstr(answer, "Request-Id: one"), "Request-Id: two\r\n");
	assert_int_equal(raw_endpoint_connections(f->endpoints[0]), 1);
	g_free(first);
	g_free(second);
	g_free(both);
	g_free(answer);
	fixture_delete(f);
}

/* Each order goes on a new connection: those that it leaves behind are not all kept. */
static void test_endpoint_is_not_filled_with_idle_connections(void **state)
{
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, good, NULL);
	fixture_wait_ready(f, 1);
	for (unsigned int i = 0; i < FIXTURE_MAX_CONNECTIONS + 10; i++)
		g_free(ask(f, "/order/", "i", ""));
	assert_in_range(raw_endpoint_most_open(f->endpoints[0]), 1, FIXTURE_MAX_CONNECTIONS);
	fixture_delete(f);
}

static void test_chunked_body_arrives_whole(void **state)
{
	fixture_t *f = fixture_new();
	char *head = NULL;
	char *answer;

	fixture_add_endpoint(f, keep_head, &head);
	fixture_wait_ready(f, 1);
	answer = fixture_exchange(f,
		"POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: i\r\n" CLOSE
		"Authorization: Bearer k2\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
		SOON_MS);
	assert_has(answer, "\r\n\r\nabcdefg");
	assert_has(head, "Content-Length: 7\r\n");
	assert_has(head, "Tenant-Id: w2\r\n");
	assert_lacks(head, "Transfer-Encoding");
	g_free(answer);
	g_free(head);
	fixture_delete(f);
}

typedef struct malformed {
	const char *text;
	const char *status;
} malformed_t;

static void test_malformed_requests_reach_nobody(void **state)
{
	static const malformed_t cases[] = {
		{"POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: i\r\n"
		 "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"400"},
		{"POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: i\r\n"
		 "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
			"400"},
		{"POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: i\r\n"
		 "Content-Length: 99999999\r\n\r\n",
			"413"},
		{"GET /status/ HTTP/1.1\r\nRequest-Id: i\r\nConnection: close\r\n\r\n", "400"},
		{"garbage\r\n\r\n", "400"},
	};
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, good, NULL);
	fixture_wait_ready(f, 1);
	for (size_t i = 0; i < ARRAY_LEN(cases); i++) {
		char *answer = fixture_exchange(f, cases[i].text, SOON_MS);

		assert_has(answer, cases[i].status);
		g_free(answer);
	}
	assert_int_equal(raw_endpoint_requests(f->endpoints[0]), 0);
	fixture_delete(f);
}

static void test_slow_head_and_idle_connection_are_closed(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	fixture_add_endpoint(f, good, NULL);
	fixture_wait_ready(f, 1);
	answer = fixture_exchange(f, "GET /status/ HTTP/1.1\r\nHost:", 2 * SOON_MS);
	assert_has(answer, "HTTP/1.1 408 ");
	g_free(answer);
	answer = fixture_exchange(f, "", 2 * SOON_MS);
	assert_string_equal(answer, "");
	g_free(answer);
	fixture_delete(f);
}

/* An answer without a length that ends in a reset, its bytes and the reset coming together. */
static bool unframed_reset(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n" STAMP "Request-Id: %s\r\n\r\nhalf of it", request->id);

	raw_write(fd, text);
	raw_reset(fd);
	g_free(text);
	return false;
}

static bool unframed(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n" STAMP "Request-Id: %s\r\n\r\nall of it", request->id);

	raw_write(fd, text);
	g_free(text);
	return false;
}

static void test_answer_without_length(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	fixture_add_endpoint(f, unframed, NULL);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/order/", "id1", "");
	assert_has(answer, "\r\n\r\nall of it");
	assert_has(answer, "Content-Length: 9\r\n");
	g_free(answer);
	fixture_delete(f);
	f = fixture_new();
	fixture_add_endpoint(f, unframed_reset, NULL);
	fixture_wait_ready(f, 1);
	for (unsigned int i = 0; i < 5; i++) {
		answer = ask(f, "/order/", "id1", "");
		assert_lacks(answer, "half of it");
		g_free(answer);
	}
	fixture_delete(f);
}

/* --- endpoints that fail ---------------------------------------------- */

static void test_repeatable_goes_on_elsewhere(void **state)
{
	static const raw_script_t bad[] = {reset_after_reading, refuse, truncate_answer,
		no_signature, no_answer_at_all, fails};

	for (size_t i = 0; i < ARRAY_LEN(bad); i++) {
		fixture_t *f = fixture_new();
		unsigned int served = 0;

		fixture_add_endpoint(f, bad[i], NULL);
		fixture_add_endpoint(f, good, NULL);
		fixture_wait_ready(f, 2);
		for (unsigned int k = 0; k < 6; k++) {
			char *answer = ask(f, "/status/", "id1", "");

			served += strstr(answer, "hello") != NULL;
			g_free(answer);
		}
		assert_true(raw_endpoint_requests(f->endpoints[0]) > 0);
		assert_int_equal(served, 6);
		fixture_delete(f);
	}
}

static void test_order_is_sent_once(void **state)
{
	static const raw_script_t bad[] = {
		reset_after_reading, truncate_answer, no_signature, no_answer_at_all};

	for (size_t i = 0; i < ARRAY_LEN(bad); i++) {
		fixture_t *f = fixture_new();
		char *answer;

		fixture_add_endpoint(f, bad[i], NULL);
		fixture_wait_ready(f, 1);
		answer = ask(f, "/order/", "id1", "");
		assert_has(answer, "HTTP/1.1 502 ");
		assert_lacks(answer, "Retry-After");
		assert_int_equal(raw_endpoint_requests(f->endpoints[0]), 1);
		g_free(answer);
		fixture_delete(f);
	}
}

static void test_order_that_was_refused_is_told_not_run(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	fixture_add_endpoint(f, refuse, NULL);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/order/", "id1", "");
	assert_has(answer, "HTTP/1.1 503 ");
	assert_has(answer, "Retry-After: ");
	g_free(answer);
	fixture_delete(f);
}

static void test_failure_of_the_endpoint_is_passed_on(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	fixture_add_endpoint(f, fails, NULL);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/order/", "id1", "");
	assert_has(answer, "HTTP/1.1 500 ");
	assert_has(answer, STAMP);
	assert_has(answer, "\r\n\r\noops");
	g_free(answer);
	fixture_delete(f);
}

static void test_foreign_answer_is_dropped(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	fixture_add_endpoint(f, foreign_first, NULL);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/order/", "id1", "");
	assert_has(answer, "\r\n\r\nyours");
	assert_lacks(answer, "not yours");
	g_free(answer);
	fixture_delete(f);
}

/* It may come before the next request is sent on the connection, or after. */
static void test_extra_answer_goes_to_nobody(void **state)
{
	static const char *const ids[] = {"id1", "id2", "id3"};
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, two_answers, NULL);
	fixture_wait_ready(f, 1);
	for (size_t i = 0; i < ARRAY_LEN(ids); i++) {
		char *answer = ask(f, "/status/", ids[i], "");

		assert_has(answer, "first");
		assert_lacks(answer, "second");
		g_free(answer);
	}
	fixture_delete(f);
}

static void test_timeout_is_answered_and_passed_on(void **state)
{
	fixture_t *f = fixture_new();
	raw_endpoint_t *endpoint = NULL;
	char *answer;

	endpoint = fixture_add_endpoint(f, silent, &f->endpoints[0]);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/order/", "id1", "Deadline-Ms: 300\r\n");
	assert_has(answer, "HTTP/1.1 504 ");
	wait_until_cut(endpoint, 1);
	g_free(answer);
	fixture_delete(f);
}

static void test_caller_that_leaves_ends_the_work(void **state)
{
	fixture_t *f = fixture_new();
	raw_endpoint_t *endpoint;
	char *text;
	int fd;

	endpoint = fixture_add_endpoint(f, silent, &f->endpoints[0]);
	fixture_wait_ready(f, 1);
	text = fixture_request("POST", "/order/", "id1", "", "x");
	fd = fixture_connect(f->callers);
	raw_write(fd, text);
	while (!raw_endpoint_requests(endpoint))
		sleep_ms(2);
	close(fd);
	wait_until_cut(endpoint, 1);
	g_free(text);
	fixture_delete(f);
}

/* --- streams ---------------------------------------------------------- */

static void test_stream_is_passed_on_event_by_event(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	fixture_add_endpoint(f, stream, NULL);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/note/", "id1", "");
	assert_has(answer, "Transfer-Encoding: chunked\r\n");
	for (unsigned int i = 0; i < EVENTS; i++) {
		char event[32];

		g_snprintf(event, sizeof(event), "id: %u\ndata: e%u\n\n", i, i);
		assert_has(answer, event);
	}
	assert_has(answer, "0\r\n\r\n");
	g_free(answer);
	fixture_delete(f);
}

static void test_cut_stream_resumes_within_the_answer(void **state)
{
	fixture_t *f = fixture_new();
	unsigned int cut = 2;
	char *answer;

	fixture_add_endpoint(f, stream, &cut);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/draft/", "id1", "");
	assert_has(answer, "data: e1\n\n");
	assert_has(strstr(answer, "data: e1\n\n"), "data: e2\n\n");
	assert_has(answer, "data: e4\n\n");
	assert_has(answer, "0\r\n\r\n");
	assert_lacks(answer, "data: ha");
	assert_null(strstr(strstr(answer, "data: e1") + 1, "data: e1"));
	assert_int_equal(raw_endpoint_requests(f->endpoints[0]), 2);
	g_free(answer);
	fixture_delete(f);
}

/* The second run fails before its first event: what the caller has must not look whole. */
static bool cut_then_fail(void *ctx, int fd, const raw_request_t *request)
{
	if (request->number)
		return fails(ctx, fd, request);
	write_stream_head(fd, request->id);
	write_event(fd, 0);
	return false;
}

static void test_resume_that_fails_looks_cut(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	fixture_add_endpoint(f, cut_then_fail, NULL);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/draft/", "id1", "");
	assert_has(answer, "data: e0\n\n");
	assert_lacks(answer, "0\r\n\r\n");
	assert_lacks(answer, "oops");
	assert_int_equal(raw_endpoint_requests(f->endpoints[0]), 2);
	g_free(answer);
	fixture_delete(f);
}

static void test_cut_stream_that_may_not_resume_looks_cut(void **state)
{
	fixture_t *f = fixture_new();
	unsigned int cut = 2;
	char *answer;

	fixture_add_endpoint(f, stream, &cut);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/note/", "id1", "");
	assert_lacks(answer, "0\r\n\r\n");
	assert_lacks(answer, "data: e2");
	assert_int_equal(raw_endpoint_requests(f->endpoints[0]), 1);
	g_free(answer);
	fixture_delete(f);
}

static void test_callers_place_in_a_stream_is_kept(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	fixture_add_endpoint(f, stream, NULL);
	fixture_wait_ready(f, 1);
	answer = ask(f, "/draft/", "id1", "Last-Event-Id: 2\r\n");
	assert_lacks(answer, "data: e2");
	assert_has(answer, "data: e3\n\n");
	assert_has(answer, "data: e4\n\n");
	g_free(answer);
	fixture_delete(f);
}

static void test_caller_that_leaves_a_stream_ends_it(void **state)
{
	fixture_t *f = fixture_new();
	raw_endpoint_t *endpoint;
	char *text;
	char *begun;
	int fd;

	endpoint = fixture_add_endpoint(f, endless, &f->endpoints[0]);
	fixture_wait_ready(f, 1);
	text = fixture_request("POST", "/note/", "id1", "", "x");
	fd = fixture_connect(f->callers);
	raw_write(fd, text);
	begun = fixture_read_until(fd, "data: e0", SOON_MS);
	close(fd);
	wait_until_cut(endpoint, 1);
	g_free(begun);
	g_free(text);
	fixture_delete(f);
}

/* --- the fleet's news ------------------------------------------------- */

static void test_new_configuration_is_in_force(void **state)
{
	fixture_t *f = fixture_new();
	instant_t until;
	bool served = false;

	fixture_add_endpoint(f, good, NULL);
	fixture_wait_ready(f, 1);
	fixture_put_config(f,
		",{\"name\":\"new\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/order/new/\","
		"\"kind\":\"idempotent\",\"timeoutMs\":1000,\"maxAttempts\":1,"
		"\"public\":true,\"service\":\"shop\"}");
	until = clock_now() + SOON_MS * USEC_PER_MSEC;
	while (!served && clock_now() < until) {
		char *answer = fixture_exchange(f,
			"GET /order/new/ HTTP/1.1\r\nHost: " FIXTURE_HOST
			"\r\nRequest-Id: i\r\n" CLOSE "\r\n",
			SOON_MS);

		served = strstr(answer, "hello") != NULL;
		g_free(answer);
	}
	assert_true(served);
	fixture_delete(f);
}

static void wait_for_refusal(fixture_t *f)
{
	instant_t until = clock_now() + 2 * SOON_MS * USEC_PER_MSEC;
	bool refused = false;

	while (!refused && clock_now() < until) {
		char *answer = ask(f, "/status/", "i", "");

		refused = strstr(answer, "HTTP/1.1 503 ") != NULL;
		g_free(answer);
	}
	assert_true(refused);
}

static void test_draining_and_dropped_endpoints_get_no_new_work(void **state)
{
	fixture_t *f = fixture_new();
	unsigned int before;

	fixture_add_endpoint(f, good, NULL);
	fixture_wait_ready(f, 1);
	fixture_register(f, 0, "draining");
	wait_for_refusal(f);
	before = raw_endpoint_requests(f->endpoints[0]);
	g_free(ask(f, "/status/", "i", ""));
	assert_int_equal(raw_endpoint_requests(f->endpoints[0]), before);
	fixture_register(f, 0, "ready");
	fixture_wait_ready(f, 1);
	row_store_standin_drop(f->store, "servers", "i-0");
	wait_for_refusal(f);
	fixture_delete(f);
}

static void test_unreadable_registration_leaves_the_others(void **state)
{
	fixture_t *f = fixture_new();
	char *answer;

	row_store_standin_put(f->store, "servers", "bad-1", "{\"service\":7}");
	row_store_standin_put(f->store, "servers", "bad-2", "\xff\x01 no json");
	fixture_add_endpoint(f, good, NULL);
	row_store_standin_put(f->store, "servers", "bad-3",
		"{\"service\":\"shop\",\"address\":\"1.2.3.4:5\",\"slots\":2,\"state\":\"odd\"}");
	fixture_wait_ready(f, 1);
	answer = ask(f, "/status/", "i", "");
	assert_has(answer, "hello");
	g_free(answer);
	fixture_delete(f);
}

static void test_serves_on_while_the_store_is_away(void **state)
{
	static const store_fault_t faults[] = {STORE_UNAVAILABLE, STORE_SILENT};

	for (size_t i = 0; i < ARRAY_LEN(faults); i++) {
		fixture_t *f = fixture_new();
		char *answer;

		fixture_add_endpoint(f, good, NULL);
		fixture_wait_ready(f, 1);
		row_store_standin_set_fault(f->store, faults[i]);
		sleep_ms(300);
		answer = ask(f, "/order/", "i", "");
		assert_has(answer, "hello");
		g_free(answer);
		row_store_standin_set_fault(f->store, STORE_SERVES);
		fixture_add_endpoint(f, good, NULL);
		fixture_wait_ready(f, 2);
		fixture_delete(f);
	}
}

/* True when the router's own row is in the store, soon. */
static bool is_on_roster(fixture_t *f)
{
	instant_t until = clock_now() + SOON_MS * USEC_PER_MSEC;
	char *row = NULL;
	bool listed;

	while (!(row = row_store_standin_get(f->store, "routers", "r")) && clock_now() < until)
		sleep_ms(5);
	listed = row != NULL;
	g_free(row);
	return listed;
}

/* The row by which routers find this one was removed by a late call of an earlier start. */
static void test_lost_roster_row_is_written_anew(void **state)
{
	fixture_t *f = fixture_new();

	assert_true(is_on_roster(f));
	row_store_standin_drop(f->store, "routers", "r");
	assert_true(is_on_roster(f));
	fixture_delete(f);
}

/* The process ends without waiting for the store's feeds, and nobody has to find out. */
static void test_stopped_router_is_on_the_roster_no_more(void **state)
{
	fixture_t *f = fixture_new();

	assert_true(is_on_roster(f));
	assert_int_equal(fixture_stop(f), 0);
	assert_null(row_store_standin_get(f->store, "routers", "r"));
	fixture_delete(f);
}

static void list_router(fixture_t *f, const char *name, const char *address)
{
	char *row = g_strdup_printf("{\"address\":\"%s\",\"public_key\":\"%s\","
				    "\"incarnation\":1}",
		address, f->gateway->public_key);

	row_store_standin_put(f->store, "routers", name, row);
	g_free(row);
}

/* The fleet's allowance of repeats is parted among those that there are. */
static void test_more_routers_share_the_retry_allowance(void **state)
{
	fixture_t *f = fixture_new();

	list_router(f, "r2", "127.0.0.1:9");
	list_router(f, "r3", "127.0.0.1:9");
	assert_true(fixture_wait_metrics(f, "routers_listed 3\n", "amaranthwall_ready"));
	assert_int_equal(fixture_stop(f), 0);
	assert_int_equal(f->gateway->budget_options.routers, 3);
	fixture_delete(f);
}

static void test_history_that_is_gone_is_read_anew(void **state)
{
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, good, NULL);
	fixture_wait_ready(f, 1);
	row_store_standin_compact(f->store);
	fixture_add_endpoint(f, good, NULL);
	fixture_wait_ready(f, 2);
	fixture_delete(f);
}

/* --- the planned stop -------------------------------------------------- */

static void test_planned_stop_cuts_nothing(void **state)
{
	fixture_t *f = fixture_new();
	char *text;
	char *answer;
	int ready;
	int fd;

	fixture_add_endpoint(f, stream, NULL);
	fixture_wait_ready(f, 1);
	text = fixture_request("POST", "/note/", "id1", "", "x");
	fd = fixture_connect(f->callers);
	raw_write(fd, text);
	answer = fixture_read_until(fd, "0\r\n\r\n", SOON_MS);
	g_free(answer);
	raise(SIGTERM);
	sleep_ms(100);
	ready = fixture_connect(f->ready);
	raw_write(ready, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
	answer = fixture_read_until(ready, "\r\n\r\n", SOON_MS);
	assert_has(answer, "HTTP/1.1 503 ");
	g_free(answer);
	close(ready);
	/* A kept connection still gets its answer, and is told to close. */
	raw_write(fd, text);
	answer = fixture_read_until(fd, "0\r\n\r\n", SOON_MS);
	assert_has(answer, "Connection: close\r\n");
	assert_has(answer, "data: e4\n\n");
	g_free(answer);
	close(fd);
	g_free(text);
	assert_int_equal(fixture_stop(f), 0);
	fixture_delete(f);
}

/*
 * Where most routers of a failure domain are away, the balancer goes on sending
 * callers to one that stops: what is over in time is served.
 */
static void test_stopping_router_takes_what_ends_in_time(void **state)
{
	instant_t began = 100 * USEC_PER_SEC;
	instant_t late = began + 4 * USEC_PER_SEC;
	gateway_t gateway = {
		.stopping = true,
		.stop_began = began,
		.stop_at = began + 7 * USEC_PER_SEC,
	};

	assert_true(gateway_accepts_call(&gateway, began, began + 20 * USEC_PER_SEC));
	assert_true(gateway_accepts_call(&gateway, late, gateway.stop_at - USEC_PER_SEC));
	assert_false(gateway_accepts_call(&gateway, late, gateway.stop_at + 1));
	gateway.stopping = false;
	assert_true(gateway_accepts_call(&gateway, late, late + 20 * USEC_PER_SEC));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_serves_byte_for_byte),
		cmocka_unit_test(test_unknown_route_and_key),
		cmocka_unit_test(test_kept_connections_and_requests_sent_ahead),
		cmocka_unit_test(test_endpoint_is_not_filled_with_idle_connections),
		cmocka_unit_test(test_chunked_body_arrives_whole),
		cmocka_unit_test(test_malformed_requests_reach_nobody),
		cmocka_unit_test(test_slow_head_and_idle_connection_are_closed),
		cmocka_unit_test(test_answer_without_length),
		cmocka_unit_test(test_repeatable_goes_on_elsewhere),
		cmocka_unit_test(test_order_is_sent_once),
		cmocka_unit_test(test_order_that_was_refused_is_told_not_run),
		cmocka_unit_test(test_failure_of_the_endpoint_is_passed_on),
		cmocka_unit_test(test_foreign_answer_is_dropped),
		cmocka_unit_test(test_extra_answer_goes_to_nobody),
		cmocka_unit_test(test_timeout_is_answered_and_passed_on),
		cmocka_unit_test(test_caller_that_leaves_ends_the_work),
		cmocka_unit_test(test_stream_is_passed_on_event_by_event),
		cmocka_unit_test(test_cut_stream_resumes_within_the_answer),
		cmocka_unit_test(test_cut_stream_that_may_not_resume_looks_cut),
		cmocka_unit_test(test_resume_that_fails_looks_cut),
		cmocka_unit_test(test_callers_place_in_a_stream_is_kept),
		cmocka_unit_test(test_caller_that_leaves_a_stream_ends_it),
		cmocka_unit_test(test_new_configuration_is_in_force),
		cmocka_unit_test(test_draining_and_dropped_endpoints_get_no_new_work),
		cmocka_unit_test(test_unreadable_registration_leaves_the_others),
		cmocka_unit_test(test_serves_on_while_the_store_is_away),
		cmocka_unit_test(test_lost_roster_row_is_written_anew),
		cmocka_unit_test(test_stopped_router_is_on_the_roster_no_more),
		cmocka_unit_test(test_more_routers_share_the_retry_allowance),
		cmocka_unit_test(test_history_that_is_gone_is_read_anew),
		cmocka_unit_test(test_planned_stop_cuts_nothing),
		cmocka_unit_test(test_stopping_router_takes_what_ends_in_time),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
