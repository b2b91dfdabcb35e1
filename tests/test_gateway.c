/* threaded: gateway - the data path as callers and endpoints see it, with endpoints that
 * misbehave */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define TIMEOUT_MS 3000
#define CONNECTION_CLOSE "Connection: close\r\n"

/* --- endpoint handlers ------------------------------------------------ */

static void write_response(int fd, const char *id, const char *extra, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n%s"
				     "Content-Length: %zu\r\n\r\n%s",
		id, extra, strlen(body), body);

	raw_write(fd, text);
	g_free(text);
}

static bool respond_hello(void *ctx, int fd, const raw_request_t *request)
{
	write_response(fd, request->id, "", "hello");
	return true;
}

/* Saves the head of the last request in the char * that `ctx` points to. */
static bool save_head_and_echo_body(void *ctx, int fd, const raw_request_t *request)
{
	char **saved_head = ctx;

	g_free(*saved_head);
	*saved_head = g_strdup(request->head);
	write_response(fd, request->id, "", request->body->str);
	return true;
}

static bool reset_after_request(void *ctx, int fd, const raw_request_t *request)
{
	raw_reset_connection(fd);
	return false;
}

static bool respond_not_executed(void *ctx, int fd, const raw_request_t *request)
{
	raw_write(fd, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
		      "Content-Length: 0\r\n\r\n");
	return true;
}

static bool respond_truncated(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
				     "Content-Length: 50\r\n\r\nhel",
		request->id);

	raw_write(fd, text);
	g_free(text);
	return false;
}

static bool respond_with_other_id_first(void *ctx, int fd, const raw_request_t *request)
{
	write_response(fd, "somebody-else", "", "not yours");
	write_response(fd, request->id, "", "yours");
	return true;
}

static bool respond_twice(void *ctx, int fd, const raw_request_t *request)
{
	write_response(fd, request->id, "", "first");
	sleep_ms(request->number % 3);
	write_response(fd, request->id, "", "second");
	return true;
}

static bool respond_without_marker(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				     "Content-Length: 2\r\n\r\nhi",
		request->id);

	raw_write(fd, text);
	g_free(text);
	return true;
}

static bool respond_with_garbage(void *ctx, int fd, const raw_request_t *request)
{
	raw_write(fd, "\x01\x02 what is this\r\n\r\n");
	return true;
}

static bool respond_500(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf("HTTP/1.1 500 Internal Server Error\r\n" ENDPOINT_MARKER
				     "Request-Id: %s\r\nContent-Length: 4\r\n\r\noops",
		request->id);

	raw_write(fd, text);
	g_free(text);
	return true;
}

static void write_stream_head(int fd, const char *id)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
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

/*
 * Streams the events after Last-Event-Id, from 0 without that header.  If `ctx` is not NULL, the
 * response to the endpoint's first request breaks off inside the event with the number that it
 * points to.  The incomplete event has id 9: a gateway that took this id as received would skip
 * the remaining events.
 */
static bool stream_events(void *ctx, int fd, const raw_request_t *request)
{
	const unsigned int *break_at = ctx;
	char *last_id = raw_request_header(request, "Last-Event-Id");
	unsigned int from = last_id ? (unsigned int)atoi(last_id) + 1 : 0;

	g_free(last_id);
	write_stream_head(fd, request->id);
	for (unsigned int i = from; i < EVENTS; i++) {
		if (break_at && request->number == 0 && i == *break_at) {
			write_chunk(fd, "id: 9\ndata: ha");
			return false;
		}
		write_event(fd, i);
	}
	raw_write(fd, "0\r\n\r\n");
	return true;
}

/*
 * Sends one event and leaves the stream open; counts an early close when the gateway closes it.
 * `ctx` is the address of the fixture's pointer to this endpoint, which is set only after its
 * start.
 */
static bool stream_until_closed(void *ctx, int fd, const raw_request_t *request)
{
	raw_endpoint_t **endpoint = ctx;
	struct pollfd pfd = {.fd = fd, .events = POLLIN};

	write_stream_head(fd, request->id);
	write_event(fd, 0);
	if (poll(&pfd, 1, TIMEOUT_MS) == 1)
		raw_endpoint_count_early_close(*endpoint);
	return false;
}

/*
 * Never responds; counts an early close when the gateway closes the connection.  `ctx` as in
 * stream_until_closed().
 */
static bool hang_until_closed(void *ctx, int fd, const raw_request_t *request)
{
	raw_endpoint_t **endpoint = ctx;
	struct pollfd pfd = {.fd = fd, .events = POLLIN};

	if (poll(&pfd, 1, 2 * TIMEOUT_MS) == 1)
		raw_endpoint_count_early_close(*endpoint);
	return false;
}

/* Bytes without end; the counters are updated by the endpoint's threads. */
typedef struct endless {
	const char *start;
	const char *repeated;
	size_t longest; /* bytes written on one connection until the gateway closed it */
} endless_t;

#define ENDLESS_BLOCK 65536

/* Writes `start` and then `repeated` until the gateway closes the connection. */
static bool write_without_end(void *ctx, int fd, const raw_request_t *request)
{
	endless_t *endless = ctx;
	GString *block = g_string_new(NULL);
	size_t written = 0;
	ssize_t n;

	raw_write(fd, endless->start);
	while (block->len < ENDLESS_BLOCK)
		g_string_append(block, endless->repeated);
	while ((n = send(fd, block->str, block->len, MSG_NOSIGNAL)) > 0)
		written += (size_t)n;
	if (written > __atomic_load_n(&endless->longest, __ATOMIC_RELAXED))
		__atomic_store_n(&endless->longest, written, __ATOMIC_RELAXED);
	g_string_free(block, TRUE);
	return false;
}

/* --- helpers ---------------------------------------------------------- */

static char *post(fixture_t *f, const char *path, const char *id, const char *extra)
{
	char *headers = g_strconcat(extra, CONNECTION_CLOSE, NULL);
	char *text = fixture_format_request("POST", path, id, headers, "body");
	char *response = fixture_send_and_read(f, text, 2 * TIMEOUT_MS);

	g_free(text);
	g_free(headers);
	return response;
}

static void assert_contains(const char *response, const char *text)
{
	if (!strstr(response, text))
		fail_msg("no \"%s\" in:\n%s", text, response);
}

static void assert_not_contains(const char *response, const char *text)
{
	if (strstr(response, text))
		fail_msg("\"%s\" in:\n%s", text, response);
}

/* Waits until the gateway has closed `count` connections before their response was complete. */
static void wait_for_early_closes(raw_endpoint_t *endpoint, unsigned int count)
{
	instant_t deadline = clock_now() + TIMEOUT_MS * USEC_PER_MSEC;

	while (raw_endpoint_early_close_count(endpoint) < count && clock_now() < deadline)
		sleep_ms(2);
	assert_int_equal(raw_endpoint_early_close_count(endpoint), count);
}

/* --- complete responses ----------------------------------------------- */

static void test_target_and_body_are_unchanged_and_reserved_headers_replaced(void **state)
{
	fixture_t *f = fixture_new();
	char *head = NULL;
	char *response;

	fixture_add_endpoint(f, save_head_and_echo_body, &head);
	fixture_wait_ready(f, 1);
	response = post(f, "/order/a%20b?q=1&r=%2F", "id1",
		"Deadline-Ms: 1500\r\nTenant-Id: forged\r\nHold: h\r\nExpect-Instance: x\r\n"
		"X-Other: kept\r\n");
	assert_contains(response, "HTTP/1.1 200 OK\r\n");
	assert_contains(response, ENDPOINT_MARKER);
	assert_contains(response, "Request-Id: id1\r\n");
	assert_contains(response, "\r\n\r\nbody");
	assert_contains(head, "POST /order/a%20b?q=1&r=%2F HTTP/1.1\r\n");
	assert_contains(head, "Tenant-Id: w1\r\n");
	assert_contains(head, "Expect-Instance: i-0\r\n");
	assert_contains(head, "X-Other: kept\r\n");
	assert_contains(head, "Deadline-Ms: 1");
	assert_not_contains(head, "forged");
	assert_not_contains(head, "Hold");
	assert_not_contains(head, "Bearer");
	assert_not_contains(head, "Connection");
	g_free(response);
	g_free(head);
	fixture_delete(f);
}

static void test_unknown_route_gets_404_and_unknown_key_gets_401(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 1);
	response = post(f, "/nowhere/", "id1", "");
	assert_contains(response, "HTTP/1.1 404 ");
	g_free(response);
	response = fixture_send_and_read(f,
		"GET /order/ HTTP/1.1\r\nHost: " FIXTURE_HOST
		"\r\nRequest-Id: i\r\n" CONNECTION_CLOSE "Authorization: Bearer nobody\r\n\r\n",
		TIMEOUT_MS);
	assert_contains(response, "HTTP/1.1 401 ");
	g_free(response);
	assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), 0);
	fixture_delete(f);
}

static void test_pipelined_requests_share_one_endpoint_connection(void **state)
{
	fixture_t *f = fixture_new();
	char *first;
	char *second;
	char *pipelined;
	char *response;

	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 1);
	first = fixture_format_request("POST", "/status/", "one", "", "x");
	second = fixture_format_request("POST", "/status/", "two", CONNECTION_CLOSE, "y");
	pipelined = g_strconcat(first, second, NULL);
	response = fixture_send_and_read(f, pipelined, TIMEOUT_MS);
	assert_contains(response, "Request-Id: one\r\n");
	assert_contains(strstr(response, "Request-Id: one"), "Request-Id: two\r\n");
	assert_int_equal(raw_endpoint_connection_count(f->endpoints[0]), 1);
	g_free(first);
	g_free(second);
	g_free(pipelined);
	g_free(response);
	fixture_delete(f);
}

/*
 * An order is sent on a new connection, since an idle one may be about to close.  Each order
 * thus adds an idle connection; if the gateway kept them all, they would fill the endpoint's
 * connection limit.
 */
static void test_orders_do_not_exceed_endpoint_connection_limit(void **state)
{
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 1);
	for (unsigned int i = 0; i < FIXTURE_MAX_CONNECTIONS + 10; i++)
		g_free(post(f, "/order/", "i", ""));
	assert_in_range(raw_endpoint_peak_connections(f->endpoints[0]), 1, FIXTURE_MAX_CONNECTIONS);
	fixture_delete(f);
}

static void test_chunked_request_body_is_forwarded_with_length(void **state)
{
	fixture_t *f = fixture_new();
	char *head = NULL;
	char *response;

	fixture_add_endpoint(f, save_head_and_echo_body, &head);
	fixture_wait_ready(f, 1);
	response = fixture_send_and_read(f,
		"POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST
		"\r\nRequest-Id: i\r\n" CONNECTION_CLOSE
		"Authorization: Bearer k2\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
		TIMEOUT_MS);
	assert_contains(response, "\r\n\r\nabcdefg");
	assert_contains(head, "Content-Length: 7\r\n");
	assert_contains(head, "Tenant-Id: w2\r\n");
	assert_not_contains(head, "Transfer-Encoding");
	g_free(response);
	g_free(head);
	fixture_delete(f);
}

typedef struct malformed_case {
	const char *text;
	const char *status;
} malformed_case_t;

static void test_malformed_requests_are_rejected_and_not_forwarded(void **state)
{
	static const malformed_case_t cases[] = {
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

	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 1);
	for (size_t i = 0; i < ARRAY_LEN(cases); i++) {
		char *response = fixture_send_and_read(f, cases[i].text, TIMEOUT_MS);

		assert_contains(response, cases[i].status);
		g_free(response);
	}
	assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), 0);
	fixture_delete(f);
}

static void test_incomplete_head_gets_408_and_idle_connection_is_closed(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 1);
	response = fixture_send_and_read(f, "GET /status/ HTTP/1.1\r\nHost:", 2 * TIMEOUT_MS);
	assert_contains(response, "HTTP/1.1 408 ");
	g_free(response);
	response = fixture_send_and_read(f, "", 2 * TIMEOUT_MS);
	assert_string_equal(response, "");
	g_free(response);
	fixture_delete(f);
}

#define MAX_CALLERS 64 /* of a gateway with the least number of descriptors */

/* A full gateway closes the caller that is idle longest, and finds it without looking at all. */
static void test_accepting_at_the_limit_does_not_examine_all_callers(void **state)
{
	fixture_options_t options = {.settings = ",\"descriptors\":128", .idle_timeout_ms = 60000};
	fixture_t *f = fixture_new_with(&options);
	int callers[MAX_CALLERS + 1];
	char byte;

	fixture_wait_ready(f, 0);
	for (unsigned int i = 0; i < MAX_CALLERS; i++)
		callers[i] = fixture_connect(f->caller_address);
	assert_true(fixture_wait_metrics(
		f, "amaranthwall_callers 64\n", "amaranthwall_callers_examined_total 0\n"));
	callers[MAX_CALLERS] = fixture_connect(f->caller_address);
	assert_int_equal(recv(callers[0], &byte, sizeof(byte), 0), 0);
	assert_true(fixture_wait_metrics(
		f, "amaranthwall_callers 64\n", "amaranthwall_callers_examined_total 1\n"));
	for (unsigned int i = 0; i <= MAX_CALLERS; i++)
		close(callers[i]);
	fixture_delete(f);
}

#define ENDLESS_OK "HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: id1\r\n"
/* Far above what the gateway reads and the sockets buffer, far below what two seconds bring. */
#define ENDLESS_MAX_BYTES (32U << 20)

/* Bytes that never become a response are cut off, and another endpoint serves the request. */
static void test_endless_bytes_before_a_body_end_the_attempt(void **state)
{
	static const endless_t cases[] = {
		{.start = "", .repeated = "x"},
		{.start = "", .repeated = "\r\n"},
		{.start = "", .repeated = "HTTP/1.1 100 Continue\r\n\r\n"},
		{.start = "HTTP/1.1 200 ", .repeated = "x"},
		{.start = "HTTP/1.1 200 OK\r\n", .repeated = "X-A: b\r\n"},
		{.start = "HTTP/1.1 200 OK\r\nX-", .repeated = "a"},
		{.start = "HTTP/1.1 200 OK\r\nX-A: ", .repeated = "b"},
		{.start = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", .repeated = "x"},
		{.start = ENDLESS_OK "Transfer-Encoding: chunked\r\n\r\n5;", .repeated = "x"},
		{.start = ENDLESS_OK "Transfer-Encoding: chunked\r\n\r\n0\r\n",
			.repeated = "X-A: b\r\n"},
	};

	for (size_t i = 0; i < ARRAY_LEN(cases); i++) {
		endless_t endless = cases[i];
		fixture_t *f = fixture_new();

		fixture_add_endpoint(f, write_without_end, &endless);
		fixture_add_endpoint(f, respond_hello, NULL);
		fixture_wait_ready(f, 2);
		for (unsigned int k = 0; k < 8 && !raw_endpoint_request_count(f->endpoints[0]);
			k++) {
			char *response = post(f, "/status/", "id1", "");

			assert_contains(response, "hello");
			g_free(response);
		}
		assert_true(raw_endpoint_request_count(f->endpoints[0]) > 0);
		fixture_delete(f);
		assert_true(endless.longest < ENDLESS_MAX_BYTES);
	}
}

/* A body that never ends is cut off at a limit, and its caller can tell that it is not whole. */
static void test_endless_body_is_cut_off_at_the_limit(void **state)
{
	static const endless_t cases[] = {
		{.start = ENDLESS_OK "\r\n", .repeated = "x"},
		{.start = ENDLESS_OK "Content-Length: 99999999999\r\n\r\n", .repeated = "x"},
		{.start = ENDLESS_OK "Transfer-Encoding: chunked\r\n\r\n",
			.repeated = "5\r\nhello\r\n"},
		{.start = ENDLESS_OK "Content-Type: text/event-stream\r\n\r\n",
			.repeated = "data: x\n\n"},
		{.start = ENDLESS_OK "Content-Type: text/event-stream\r\n\r\n", .repeated = "x"},
	};
	fixture_options_t options = {
		.settings = ",\"max_response_bytes\":1000000", .idle_timeout_ms = 1000};

	for (size_t i = 0; i < 2 * ARRAY_LEN(cases); i++) {
		endless_t endless = cases[i / 2];
		fixture_t *f = fixture_new_with(&options);
		char *response;

		fixture_add_endpoint(f, write_without_end, &endless);
		fixture_wait_ready(f, 1);
		response = post(f, i % 2 ? "/note/" : "/order/", "id1", "");
		assert_true(strlen(response) < 2000000);
		assert_not_contains(response, "\r\n0\r\n\r\n");
		g_free(response);
		fixture_delete(f);
		assert_true(endless.longest < ENDLESS_MAX_BYTES);
	}
}

/*
 * A response without a length whose last bytes and reset arrive together: the gateway must not
 * take the reset for the regular end of the response.
 */
static bool respond_without_length_and_reset(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER
				     "Request-Id: %s\r\n\r\nhalf of it",
		request->id);

	raw_write(fd, text);
	raw_reset_connection(fd);
	g_free(text);
	return false;
}

static bool respond_without_length(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER
				     "Request-Id: %s\r\n\r\nall of it",
		request->id);

	raw_write(fd, text);
	g_free(text);
	return false;
}

static void test_response_without_length_is_served_after_close_but_not_after_reset(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, respond_without_length, NULL);
	fixture_wait_ready(f, 1);
	response = post(f, "/order/", "id1", "");
	assert_contains(response, "\r\n\r\nall of it");
	assert_contains(response, "Content-Length: 9\r\n");
	g_free(response);
	fixture_delete(f);
	f = fixture_new();
	fixture_add_endpoint(f, respond_without_length_and_reset, NULL);
	fixture_wait_ready(f, 1);
	for (unsigned int i = 0; i < 5; i++) {
		response = post(f, "/order/", "id1", "");
		assert_not_contains(response, "half of it");
		g_free(response);
	}
	fixture_delete(f);
}

/* --- failing endpoints ------------------------------------------------ */

static void test_failed_idempotent_request_is_retried_on_other_endpoint(void **state)
{
	static const raw_handler_t failing_handlers[] = {reset_after_request, respond_not_executed,
		respond_truncated, respond_without_marker, respond_with_garbage, respond_500};

	for (size_t i = 0; i < ARRAY_LEN(failing_handlers); i++) {
		fixture_t *f = fixture_new();
		unsigned int served = 0;

		fixture_add_endpoint(f, failing_handlers[i], NULL);
		fixture_add_endpoint(f, respond_hello, NULL);
		fixture_wait_ready(f, 2);
		for (unsigned int k = 0; k < 6; k++) {
			char *response = post(f, "/status/", "id1", "");

			served += strstr(response, "hello") != NULL;
			g_free(response);
		}
		assert_true(raw_endpoint_request_count(f->endpoints[0]) > 0);
		assert_int_equal(served, 6);
		fixture_delete(f);
	}
}

static void test_order_that_may_have_run_gets_502_and_is_not_retried(void **state)
{
	static const raw_handler_t failing_handlers[] = {reset_after_request, respond_truncated,
		respond_without_marker, respond_with_garbage};

	for (size_t i = 0; i < ARRAY_LEN(failing_handlers); i++) {
		fixture_t *f = fixture_new();
		char *response;

		fixture_add_endpoint(f, failing_handlers[i], NULL);
		fixture_wait_ready(f, 1);
		response = post(f, "/order/", "id1", "");
		assert_contains(response, "HTTP/1.1 502 ");
		assert_not_contains(response, "Retry-After");
		assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), 1);
		g_free(response);
		fixture_delete(f);
	}
}

static void test_order_refused_by_endpoint_gets_503_with_retry_after(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, respond_not_executed, NULL);
	fixture_wait_ready(f, 1);
	response = post(f, "/order/", "id1", "");
	assert_contains(response, "HTTP/1.1 503 ");
	assert_contains(response, "Retry-After: ");
	g_free(response);
	fixture_delete(f);
}

static void test_endpoint_response_500_is_forwarded(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, respond_500, NULL);
	fixture_wait_ready(f, 1);
	response = post(f, "/order/", "id1", "");
	assert_contains(response, "HTTP/1.1 500 ");
	assert_contains(response, ENDPOINT_MARKER);
	assert_contains(response, "\r\n\r\noops");
	g_free(response);
	fixture_delete(f);
}

static void test_response_with_other_request_id_is_discarded(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, respond_with_other_id_first, NULL);
	fixture_wait_ready(f, 1);
	response = post(f, "/order/", "id1", "");
	assert_contains(response, "\r\n\r\nyours");
	assert_not_contains(response, "not yours");
	g_free(response);
	fixture_delete(f);
}

/*
 * The second response may arrive before or after the gateway sends the next request on the same
 * connection; in neither case may it be taken for the response to that request.
 */
static void test_second_response_to_one_request_is_discarded(void **state)
{
	static const char *const ids[] = {"id1", "id2", "id3"};
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, respond_twice, NULL);
	fixture_wait_ready(f, 1);
	for (size_t i = 0; i < ARRAY_LEN(ids); i++) {
		char *response = post(f, "/status/", ids[i], "");

		assert_contains(response, "first");
		assert_not_contains(response, "second");
		g_free(response);
	}
	fixture_delete(f);
}

static void test_expired_deadline_gets_504_and_closes_endpoint_connection(void **state)
{
	fixture_t *f = fixture_new();
	raw_endpoint_t *endpoint = NULL;
	char *response;

	endpoint = fixture_add_endpoint(f, hang_until_closed, &f->endpoints[0]);
	fixture_wait_ready(f, 1);
	response = post(f, "/order/", "id1", "Deadline-Ms: 300\r\n");
	assert_contains(response, "HTTP/1.1 504 ");
	wait_for_early_closes(endpoint, 1);
	g_free(response);
	fixture_delete(f);
}

static void test_caller_disconnect_closes_endpoint_connection(void **state)
{
	fixture_t *f = fixture_new();
	raw_endpoint_t *endpoint;
	char *text;
	int fd;

	endpoint = fixture_add_endpoint(f, hang_until_closed, &f->endpoints[0]);
	fixture_wait_ready(f, 1);
	text = fixture_format_request("POST", "/order/", "id1", "", "x");
	fd = fixture_connect(f->caller_address);
	raw_write(fd, text);
	while (!raw_endpoint_request_count(endpoint))
		sleep_ms(2);
	close(fd);
	wait_for_early_closes(endpoint, 1);
	g_free(text);
	fixture_delete(f);
}

/* --- streams ---------------------------------------------------------- */

/* Sends a request and closes the connection; both arrive in one segment. */
static void send_and_leave(fixture_t *f, const char *text)
{
	int fd = fixture_connect(f->caller_address);
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_CORK, &on, sizeof(on));
	raw_write(fd, text);
	close(fd);
}

/*
 * The request of a caller that has left is read before its close is.  An idle connection to the
 * endpoint would take the request at once.
 */
static void test_request_of_caller_that_has_left_is_not_sent(void **state)
{
	fixture_t *f = fixture_new();
	char *text = fixture_format_request("GET", "/status/", "left", "", "");
	const unsigned int rounds = 10;
	char gone[64];

	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 1);
	for (unsigned int i = 1; i <= rounds; i++) {
		char *response = post(f, "/status/", "stays", "");

		assert_contains(response, "hello");
		g_free(response);
		send_and_leave(f, text);
		g_snprintf(gone, sizeof(gone), "reason=\"caller-gone\"} %u\n", i);
		assert_true(fixture_wait_metrics(f, gone, ""));
	}
	assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), rounds);
	g_free(text);
	fixture_delete(f);
}

static void test_stream_forwards_all_events(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, stream_events, NULL);
	fixture_wait_ready(f, 1);
	response = post(f, "/note/", "id1", "");
	assert_contains(response, "Transfer-Encoding: chunked\r\n");
	for (unsigned int i = 0; i < EVENTS; i++) {
		char event[32];

		g_snprintf(event, sizeof(event), "id: %u\ndata: e%u\n\n", i, i);
		assert_contains(response, event);
	}
	assert_contains(response, "0\r\n\r\n");
	g_free(response);
	fixture_delete(f);
}

static void test_broken_resumable_stream_continues_in_same_response(void **state)
{
	fixture_t *f = fixture_new();
	unsigned int break_at = 2;
	char *response;

	fixture_add_endpoint(f, stream_events, &break_at);
	fixture_wait_ready(f, 1);
	response = post(f, "/draft/", "id1", "");
	assert_contains(response, "data: e1\n\n");
	assert_contains(strstr(response, "data: e1\n\n"), "data: e2\n\n");
	assert_contains(response, "data: e4\n\n");
	assert_contains(response, "0\r\n\r\n");
	assert_not_contains(response, "data: ha");
	assert_null(strstr(strstr(response, "data: e1") + 1, "data: e1"));
	assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), 2);
	g_free(response);
	fixture_delete(f);
}

/*
 * Streams events in a body with neither a length nor chunks, which ends with the connection; the
 * first response ends after half of an event if `ctx` is not NULL.
 */
static bool stream_until_close(void *ctx, int fd, const raw_request_t *request)
{
	char *last_id = raw_request_header(request, "Last-Event-Id");
	unsigned int from = last_id ? (unsigned int)atoi(last_id) + 1 : 0;
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
				     "Content-Type: text/event-stream\r\n\r\n",
		request->id);

	g_free(last_id);
	raw_write(fd, head);
	g_free(head);
	for (unsigned int i = from; i < EVENTS; i++) {
		char event[32];

		g_snprintf(event, sizeof(event), "id: %u\ndata: e%u\n\n", i, i);
		if (ctx && !request->number && i == 2)
			event[8] = '\0';
		raw_write(fd, event);
		if (ctx && !request->number && i == 2)
			return false;
	}
	return false;
}

static void test_stream_without_length_is_complete_when_its_connection_ends(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, stream_until_close, NULL);
	fixture_wait_ready(f, 1);
	response = post(f, "/note/", "id1", "");
	assert_contains(response, "data: e0\n\n");
	assert_contains(response, "data: e4\n\n");
	assert_contains(response, "0\r\n\r\n");
	g_free(response);
	fixture_delete(f);
}

/* A stream that can be resumed goes on at another endpoint; another one must not look complete. */
static void test_stream_without_length_that_ends_inside_an_event_is_broken_off(void **state)
{
	static const char *const paths[] = {"/draft/", "/note/"};
	int breaks = 1;

	for (unsigned int i = 0; i < ARRAY_LEN(paths); i++) {
		fixture_t *f = fixture_new();
		char *response;

		fixture_add_endpoint(f, stream_until_close, &breaks);
		fixture_wait_ready(f, 1);
		response = post(f, paths[i], "id1", "");
		assert_contains(response, "data: e1\n\n");
		assert_int_equal(!!strstr(response, "0\r\n\r\n"), i == 0);
		assert_int_equal(!!strstr(response, "data: e4\n\n"), i == 0);
		assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), i == 0 ? 2 : 1);
		g_free(response);
		fixture_delete(f);
	}
}

/*
 * Breaks off a stream after its first event and responds 500 to the attempt to resume it.  The
 * caller must be able to tell that the response is incomplete.
 */
static bool break_stream_then_respond_500(void *ctx, int fd, const raw_request_t *request)
{
	if (request->number)
		return respond_500(ctx, fd, request);
	write_stream_head(fd, request->id);
	write_event(fd, 0);
	return false;
}

static void test_failed_resume_ends_response_truncated(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, break_stream_then_respond_500, NULL);
	fixture_wait_ready(f, 1);
	response = post(f, "/draft/", "id1", "");
	assert_contains(response, "data: e0\n\n");
	assert_not_contains(response, "0\r\n\r\n");
	assert_not_contains(response, "oops");
	assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), 2);
	g_free(response);
	fixture_delete(f);
}

static void test_broken_stream_without_resume_ends_truncated(void **state)
{
	fixture_t *f = fixture_new();
	unsigned int break_at = 2;
	char *response;

	fixture_add_endpoint(f, stream_events, &break_at);
	fixture_wait_ready(f, 1);
	response = post(f, "/note/", "id1", "");
	assert_not_contains(response, "0\r\n\r\n");
	assert_not_contains(response, "data: e2");
	assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), 1);
	g_free(response);
	fixture_delete(f);
}

static void test_last_event_id_of_caller_is_forwarded(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, stream_events, NULL);
	fixture_wait_ready(f, 1);
	response = post(f, "/draft/", "id1", "Last-Event-Id: 2\r\n");
	assert_not_contains(response, "data: e2");
	assert_contains(response, "data: e3\n\n");
	assert_contains(response, "data: e4\n\n");
	g_free(response);
	fixture_delete(f);
}

static void test_caller_disconnect_ends_stream(void **state)
{
	fixture_t *f = fixture_new();
	raw_endpoint_t *endpoint;
	char *text;
	char *received;
	int fd;

	endpoint = fixture_add_endpoint(f, stream_until_closed, &f->endpoints[0]);
	fixture_wait_ready(f, 1);
	text = fixture_format_request("POST", "/note/", "id1", "", "x");
	fd = fixture_connect(f->caller_address);
	raw_write(fd, text);
	received = fixture_read_until(fd, "data: e0", TIMEOUT_MS);
	close(fd);
	wait_for_early_closes(endpoint, 1);
	g_free(received);
	g_free(text);
	fixture_delete(f);
}

/* --- changes in the store --------------------------------------------- */

static void test_route_of_new_configuration_is_served(void **state)
{
	fixture_t *f = fixture_new();
	instant_t deadline;
	bool served = false;

	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 1);
	fixture_put_config(f,
		",{\"name\":\"new\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/order/new/\","
		"\"kind\":\"idempotent\",\"timeoutMs\":1000,\"maxAttempts\":1,"
		"\"public\":true,\"service\":\"shop\"}");
	deadline = clock_now() + TIMEOUT_MS * USEC_PER_MSEC;
	while (!served && clock_now() < deadline) {
		char *response = fixture_send_and_read(f,
			"GET /order/new/ HTTP/1.1\r\nHost: " FIXTURE_HOST
			"\r\nRequest-Id: i\r\n" CONNECTION_CLOSE "\r\n",
			TIMEOUT_MS);

		served = strstr(response, "hello") != NULL;
		g_free(response);
	}
	assert_true(served);
	fixture_delete(f);
}

static void wait_for_503(fixture_t *f)
{
	instant_t deadline = clock_now() + 2 * TIMEOUT_MS * USEC_PER_MSEC;
	bool rejected = false;

	while (!rejected && clock_now() < deadline) {
		char *response = post(f, "/status/", "i", "");

		rejected = strstr(response, "HTTP/1.1 503 ") != NULL;
		g_free(response);
	}
	assert_true(rejected);
}

/* An endpoint that leaves without notice may keep its side of a connection open. */
static void test_idle_connections_to_removed_endpoint_are_closed(void **state)
{
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, fixture_respond_hello, NULL);
	fixture_put_config(f, FIXTURE_PUBLIC_ROUTE("any"));
	assert_true(fixture_wait_served(f, "any", true));
	assert_true(fixture_wait_metric(f, "endpoint_connections", 1));
	row_store_standin_delete_row(f->store, "servers", "i-0");
	assert_true(fixture_wait_metric(f, "endpoints", 0));
	assert_true(fixture_wait_metric(f, "endpoint_connections", 0));
	fixture_delete(f);
}

static void test_draining_or_unregistered_endpoint_gets_no_requests(void **state)
{
	fixture_t *f = fixture_new();
	unsigned int before;

	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 1);
	fixture_register_endpoint(f, 0, "draining");
	wait_for_503(f);
	before = raw_endpoint_request_count(f->endpoints[0]);
	g_free(post(f, "/status/", "i", ""));
	assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), before);
	fixture_register_endpoint(f, 0, "ready");
	fixture_wait_ready(f, 1);
	row_store_standin_delete_row(f->store, "servers", "i-0");
	wait_for_503(f);
	fixture_delete(f);
}

static void test_malformed_registrations_do_not_affect_valid_one(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	row_store_standin_put(f->store, "servers", "bad-1", "{\"service\":7}");
	row_store_standin_put(f->store, "servers", "bad-2", "\xff\x01 no json");
	fixture_add_endpoint(f, respond_hello, NULL);
	row_store_standin_put(f->store, "servers", "bad-3",
		"{\"service\":\"shop\",\"address\":\"1.2.3.4:5\",\"slots\":2,\"state\":\"odd\"}");
	fixture_wait_ready(f, 1);
	response = post(f, "/status/", "i", "");
	assert_contains(response, "hello");
	g_free(response);
	fixture_delete(f);
}

static void test_requests_are_served_during_store_outage(void **state)
{
	static const store_fault_t faults[] = {STORE_FAULT_UNAVAILABLE, STORE_FAULT_HANG};

	for (size_t i = 0; i < ARRAY_LEN(faults); i++) {
		fixture_t *f = fixture_new();
		char *response;

		fixture_add_endpoint(f, respond_hello, NULL);
		fixture_wait_ready(f, 1);
		row_store_standin_set_fault(f->store, faults[i]);
		sleep_ms(300);
		response = post(f, "/order/", "i", "");
		assert_contains(response, "hello");
		g_free(response);
		row_store_standin_set_fault(f->store, STORE_FAULT_NONE);
		fixture_add_endpoint(f, respond_hello, NULL);
		fixture_wait_ready(f, 2);
		fixture_delete(f);
	}
}

/* Waits for the router's own row in the store; false on timeout. */
static bool wait_for_roster_row(fixture_t *f)
{
	instant_t deadline = clock_now() + TIMEOUT_MS * USEC_PER_MSEC;
	char *row = NULL;
	bool found;

	while (!(row = row_store_standin_get(f->store, "routers", "r")) && clock_now() < deadline)
		sleep_ms(5);
	found = row != NULL;
	g_free(row);
	return found;
}

/* An earlier process of the same router may remove the row late, after the new one wrote it. */
static void test_removed_roster_row_is_rewritten(void **state)
{
	fixture_t *f = fixture_new();

	assert_true(wait_for_roster_row(f));
	row_store_standin_delete_row(f->store, "routers", "r");
	assert_true(wait_for_roster_row(f));
	fixture_delete(f);
}

/*
 * The process exits right after gateway_run(), since closing its feeds from the store may take
 * longer than the stop may.  The row must be removed by then, so that peers need not detect the
 * router's end by themselves.
 */
static void test_planned_stop_removes_roster_row(void **state)
{
	fixture_t *f = fixture_new();

	assert_true(wait_for_roster_row(f));
	assert_int_equal(fixture_stop(f), 0);
	assert_null(row_store_standin_get(f->store, "routers", "r"));
	fixture_delete(f);
}

static void put_roster_row(fixture_t *f, const char *name, const char *address)
{
	char *row = g_strdup_printf("{\"address\":\"%s\",\"public_key\":\"%s\","
				    "\"incarnation\":1}",
		address, f->gateway->public_key);

	row_store_standin_put(f->store, "routers", name, row);
	g_free(row);
}

/* The fleet's retry allowance is divided by the number of routers in the store. */
static void test_listed_routers_divide_retry_allowance(void **state)
{
	fixture_t *f = fixture_new();

	put_roster_row(f, "r2", "127.0.0.1:9");
	put_roster_row(f, "r3", "127.0.0.1:9");
	assert_true(fixture_wait_metrics(f, "routers_listed 3\n", "amaranthwall_ready"));
	assert_int_equal(fixture_stop(f), 0);
	assert_int_equal(f->gateway->budget_options.routers, 3);
	fixture_delete(f);
}

static void test_compacted_store_history_does_not_hide_new_endpoint(void **state)
{
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 1);
	row_store_standin_compact(f->store);
	fixture_add_endpoint(f, respond_hello, NULL);
	fixture_wait_ready(f, 2);
	fixture_delete(f);
}

/* --- planned stop ----------------------------------------------------- */

static void test_planned_stop_still_serves_open_connection(void **state)
{
	fixture_t *f = fixture_new();
	char *text;
	char *response;
	int ready_fd;
	int fd;

	fixture_add_endpoint(f, stream_events, NULL);
	fixture_wait_ready(f, 1);
	text = fixture_format_request("POST", "/note/", "id1", "", "x");
	fd = fixture_connect(f->caller_address);
	raw_write(fd, text);
	response = fixture_read_until(fd, "0\r\n\r\n", TIMEOUT_MS);
	g_free(response);
	raise(SIGTERM);
	sleep_ms(100);
	ready_fd = fixture_connect(f->ready_address);
	raw_write(ready_fd, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
	response = fixture_read_until(ready_fd, "\r\n\r\n", TIMEOUT_MS);
	assert_contains(response, "HTTP/1.1 503 ");
	g_free(response);
	close(ready_fd);
	/* A kept-alive connection still gets a response, which announces its close. */
	raw_write(fd, text);
	response = fixture_read_until(fd, "0\r\n\r\n", TIMEOUT_MS);
	assert_contains(response, "Connection: close\r\n");
	assert_contains(response, "data: e4\n\n");
	g_free(response);
	close(fd);
	g_free(text);
	assert_int_equal(fixture_stop(f), 0);
	fixture_delete(f);
}

/*
 * If most routers of a failure domain are down, the load balancer continues to send callers to
 * a router that is stopping.  The router serves the calls that can end in time: late in its stop,
 * only those whose deadline is before the end of the stop.
 */
static void test_stopping_router_accepts_only_calls_that_end_before_stop(void **state)
{
	instant_t stop_began = 100 * USEC_PER_SEC;
	instant_t late_in_stop = stop_began + 4 * USEC_PER_SEC;
	gateway_t gateway = {
		.stopping = true,
		.stop_began = stop_began,
		.stop_at = stop_began + 7 * USEC_PER_SEC,
	};

	assert_true(gateway_accepts_call(&gateway, stop_began, stop_began + 20 * USEC_PER_SEC));
	assert_true(gateway_accepts_call(&gateway, late_in_stop, gateway.stop_at - USEC_PER_SEC));
	assert_false(gateway_accepts_call(&gateway, late_in_stop, gateway.stop_at + 1));
	gateway.stopping = false;
	assert_true(gateway_accepts_call(&gateway, late_in_stop, late_in_stop + 20 * USEC_PER_SEC));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_target_and_body_are_unchanged_and_reserved_headers_replaced),
		cmocka_unit_test(test_unknown_route_gets_404_and_unknown_key_gets_401),
		cmocka_unit_test(test_pipelined_requests_share_one_endpoint_connection),
		cmocka_unit_test(test_orders_do_not_exceed_endpoint_connection_limit),
		cmocka_unit_test(test_chunked_request_body_is_forwarded_with_length),
		cmocka_unit_test(test_malformed_requests_are_rejected_and_not_forwarded),
		cmocka_unit_test(test_incomplete_head_gets_408_and_idle_connection_is_closed),
		cmocka_unit_test(test_accepting_at_the_limit_does_not_examine_all_callers),
		cmocka_unit_test(test_endless_bytes_before_a_body_end_the_attempt),
		cmocka_unit_test(test_endless_body_is_cut_off_at_the_limit),
		cmocka_unit_test(
			test_response_without_length_is_served_after_close_but_not_after_reset),
		cmocka_unit_test(test_failed_idempotent_request_is_retried_on_other_endpoint),
		cmocka_unit_test(test_order_that_may_have_run_gets_502_and_is_not_retried),
		cmocka_unit_test(test_order_refused_by_endpoint_gets_503_with_retry_after),
		cmocka_unit_test(test_endpoint_response_500_is_forwarded),
		cmocka_unit_test(test_response_with_other_request_id_is_discarded),
		cmocka_unit_test(test_second_response_to_one_request_is_discarded),
		cmocka_unit_test(test_expired_deadline_gets_504_and_closes_endpoint_connection),
		cmocka_unit_test(test_caller_disconnect_closes_endpoint_connection),
		cmocka_unit_test(test_request_of_caller_that_has_left_is_not_sent),
		cmocka_unit_test(test_stream_forwards_all_events),
		cmocka_unit_test(test_broken_resumable_stream_continues_in_same_response),
		cmocka_unit_test(test_broken_stream_without_resume_ends_truncated),
		cmocka_unit_test(test_stream_without_length_is_complete_when_its_connection_ends),
		cmocka_unit_test(
			test_stream_without_length_that_ends_inside_an_event_is_broken_off),
		cmocka_unit_test(test_failed_resume_ends_response_truncated),
		cmocka_unit_test(test_last_event_id_of_caller_is_forwarded),
		cmocka_unit_test(test_caller_disconnect_ends_stream),
		cmocka_unit_test(test_route_of_new_configuration_is_served),
		cmocka_unit_test(test_draining_or_unregistered_endpoint_gets_no_requests),
		cmocka_unit_test(test_idle_connections_to_removed_endpoint_are_closed),
		cmocka_unit_test(test_malformed_registrations_do_not_affect_valid_one),
		cmocka_unit_test(test_requests_are_served_during_store_outage),
		cmocka_unit_test(test_removed_roster_row_is_rewritten),
		cmocka_unit_test(test_planned_stop_removes_roster_row),
		cmocka_unit_test(test_listed_routers_divide_retry_allowance),
		cmocka_unit_test(test_compacted_store_history_does_not_hide_new_endpoint),
		cmocka_unit_test(test_planned_stop_still_serves_open_connection),
		cmocka_unit_test(test_stopping_router_accepts_only_calls_that_end_before_stop),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
