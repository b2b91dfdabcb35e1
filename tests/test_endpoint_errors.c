/* threaded: endpoint_errors - refusals that belong to earlier requests, errors after a stream has
 * begun */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 5000
#define ROUNDS 12
#define LAST_EVENT 3
#define CALLERS 8  /* at a time: as many connections are kept */
#define RUN_MS 100 /* of the first request on a connection */

static char *send_request(fixture_t *router, const char *method, const char *path, const char *id)
{
	char *text = fixture_format_request(method, path, id, "Connection: close\r\n", "");
	char *response = fixture_send_and_read(router, text, WAIT_MS);

	g_free(text);
	return response;
}

/* Reads what an endpoint's thread counts. */
static int load_count(const int *count)
{
	return __atomic_load_n(count, __ATOMIC_SEQ_CST);
}

/* --- refusals ----------------------------------------------------------- */

/* Writes a refusal of another request before each response on a connection but its first. */
typedef struct repeating_endpoint {
	int served[256];    /* requests by connection */
	const char *header; /* of the refusal: the id of its request, or "" */
	bool goes_on;	    /* the real response follows */
	int runs;	    /* accessed atomically */
	int repeated;	    /* accessed atomically: refusals written once more */
} repeating_endpoint_t;

static bool respond_with_earlier_refusal(void *ctx, int fd, const raw_request_t *request)
{
	repeating_endpoint_t *this = ctx;
	bool is_used = this->served[request->connection % 256]++ > 0;
	char *refusal;

	__atomic_add_fetch(&this->runs, 1, __ATOMIC_SEQ_CST);
	if (!is_used) {
		sleep_ms(this->goes_on ? 0 : RUN_MS);
		return fixture_respond_hello(NULL, fd, request);
	}
	__atomic_add_fetch(&this->repeated, 1, __ATOMIC_SEQ_CST);
	refusal = g_strdup_printf("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n%s"
				  "Content-Length: 0\r\n\r\n",
		this->header);
	raw_write(fd, refusal);
	g_free(refusal);
	return this->goes_on ? fixture_respond_hello(NULL, fd, request) : true;
}

/* The refusal has the id of its own request: the response follows, and nothing is sent again. */
static void test_refusal_of_an_earlier_request_is_skipped(void **state)
{
	repeating_endpoint_t endpoint = {.header = "Request-Id: earlier\r\n", .goes_on = true};
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, respond_with_earlier_refusal, &endpoint);
	fixture_wait_ready(f, 1);
	for (unsigned int i = 0; i < ROUNDS; i++) {
		char *response = send_request(f, "GET", "/status/", "mine");

		assert_non_null(strstr(response, "hello"));
		g_free(response);
	}
	assert_true(load_count(&endpoint.repeated) > 0);
	assert_int_equal(load_count(&endpoint.runs), ROUNDS);
	fixture_delete(f);
}

static void *send_one(void *ctx)
{
	g_free(send_request(ctx, "GET", "/status/", "other"));
	return NULL;
}

static void make_used_connections(fixture_t *router)
{
	pthread_t threads[CALLERS];

	for (unsigned int i = 0; i < CALLERS; i++)
		pthread_create(&threads[i], NULL, send_one, router);
	for (unsigned int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
}

/* It has no id, so it can't be told whose it is: the request may have run, and is not called "not
 * run". */
static void test_refusal_without_id_on_a_used_connection_is_not_believed(void **state)
{
	repeating_endpoint_t endpoint = {.header = ""};
	fixture_t *f = fixture_new();
	char *response;
	int runs;

	fixture_add_endpoint(f, respond_with_earlier_refusal, &endpoint);
	fixture_wait_ready(f, 1);
	make_used_connections(f);
	runs = load_count(&endpoint.runs);
	response = send_request(f, "GET", "/status/", "mine");
	assert_true(load_count(&endpoint.repeated) > 0);
	assert_null(strstr(response, "HTTP/1.1 503 "));
	assert_null(strstr(response, "HTTP/1.1 429 "));
	assert_in_range(
		load_count(&endpoint.runs) - runs, 1, 2); /* attempts that the route allows */
	g_free(response);
	fixture_delete(f);
}

/* Orders go on connections of their own, on which no earlier refusal can come. */
static void test_order_is_not_affected_by_an_earlier_refusal(void **state)
{
	repeating_endpoint_t endpoint = {.header = "", .goes_on = true};
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, respond_with_earlier_refusal, &endpoint);
	fixture_wait_ready(f, 1);
	for (unsigned int i = 0; i < ROUNDS; i++) {
		char *response = send_request(f, "POST", "/order/", "mine");

		assert_non_null(strstr(response, "hello"));
		g_free(response);
	}
	assert_int_equal(load_count(&endpoint.runs), ROUNDS);
	fixture_delete(f);
}

/* --- errors after a stream has begun -------------------------------------- */

typedef struct stream_endpoint {
	const char *error; /* response to a stream that is to go on; NULL: it goes on */
	int errors;	   /* accessed atomically */
} stream_endpoint_t;

static void write_events(int fd, const raw_request_t *request, int first, int last)
{
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
		request->id);

	raw_write(fd, head);
	g_free(head);
	for (int i = first; i <= last; i++) {
		char *event = g_strdup_printf("id: %d\ndata: e%d\n\n", i, i);
		char *chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		raw_write(fd, chunk);
		g_free(chunk);
		g_free(event);
	}
	if (last == LAST_EVENT)
		raw_write(fd, "0\r\n\r\n");
}

/* A stream that begins breaks off in the middle of an event. */
static bool break_or_fail(void *ctx, int fd, const raw_request_t *request)
{
	stream_endpoint_t *this = ctx;
	char *last_id = raw_request_header(request, "Last-Event-Id");
	char *text;

	if (!last_id) {
		write_events(fd, request, 0, 1);
		raw_write(fd, "6\r\nid: 2\n\r\n");
		return false;
	}
	g_free(last_id);
	if (!this->error) {
		write_events(fd, request, 2, LAST_EVENT);
		return true;
	}
	__atomic_add_fetch(&this->errors, 1, __ATOMIC_SEQ_CST);
	text = g_strdup_printf(this->error, request->id);
	raw_write(fd, text);
	g_free(text);
	return true;
}

static const char *const errors[] = {
	"HTTP/1.1 500 Internal Server Error\r\n" ENDPOINT_MARKER
	"Request-Id: %s\r\nContent-Length: 4\r\n\r\noops",
	"HTTP/1.1 500 Internal Server Error\r\n" ENDPOINT_MARKER
	"Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n",
	"HTTP/1.1 404 Not Found\r\n" ENDPOINT_MARKER
	"Request-Id: %s\r\nContent-Length: 13\r\n\r\ndata: oops\n\n\n",
	"HTTP/1.1 204 No Content\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
	"Content-Length: 4\r\n\r\noops",
	"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\noops",
	"oops %s\r\n\r\n",
};

/* All endpoints fail to go on: the caller sees its events and a stream that is not complete. */
static void test_error_after_a_stream_has_begun_is_not_part_of_it(void **state)
{
	for (unsigned int i = 0; i < ARRAY_LEN(errors); i++) {
		stream_endpoint_t endpoint = {.error = errors[i]};
		fixture_t *f = fixture_new();
		char *response;

		fixture_add_endpoint(f, break_or_fail, &endpoint);
		fixture_add_endpoint(f, break_or_fail, &endpoint);
		fixture_wait_ready(f, 2);
		response = send_request(f, "POST", "/draft/", "mine");
		assert_true(load_count(&endpoint.errors) > 0);
		assert_non_null(strstr(response, "data: e1\n"));
		assert_null(strstr(response, "oops"));
		assert_null(strstr(strstr(response, "\r\n\r\n"), "HTTP/1.1"));
		assert_null(strstr(response, "\r\n0\r\n"));
		g_free(response);
		fixture_delete(f);
	}
}

/* One refuses to go on, another one does. */
static void test_stream_goes_on_elsewhere_after_a_refusal(void **state)
{
	stream_endpoint_t refusing = {.error = errors[4]};
	stream_endpoint_t sound = {0};
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, break_or_fail, &refusing);
	fixture_add_endpoint(f, break_or_fail, &sound);
	fixture_wait_ready(f, 2);
	for (unsigned int i = 0; i < ROUNDS; i++) {
		char *response = send_request(f, "POST", "/draft/", "mine");

		assert_null(strstr(response, "oops"));
		if (strstr(response, "\r\n0\r\n"))
			assert_non_null(strstr(response, "data: e3\n"));
		g_free(response);
	}
	fixture_delete(f);
}

/* --- statuses that deny a run ----------------------------------------------- */

typedef struct refusing_endpoint {
	unsigned int status;
	const char *headers;
} refusing_endpoint_t;

static bool respond_status(void *ctx, int fd, const raw_request_t *request)
{
	const refusing_endpoint_t *this = ctx;
	char *text = g_strdup_printf("HTTP/1.1 %u X\r\nRequest-Id: %s\r\n%s"
				     "Content-Length: 0\r\n\r\n",
		this->status, request->id, this->headers);

	raw_write(fd, text);
	g_free(text);
	return true;
}

static char *ask_refusing_endpoint(unsigned int status, const char *headers, const char *path)
{
	refusing_endpoint_t endpoint = {status, headers};
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, respond_status, &endpoint);
	fixture_wait_ready(f, 1);
	response = send_request(f, "POST", path, "mine");
	fixture_delete(f);
	return response;
}

/*
 * Guards against passing on an endpoint's status that tells the caller of an order "not run",
 * when the endpoint did not say so: the caller would send the order again.
 */
static void test_status_of_endpoint_denies_no_run_that_it_does_not_deny(void **state)
{
	static const unsigned int statuses[] = {408, 429, 503};
	static const char *const headers[] = {"", ENDPOINT_MARKER, "Retry-After: 1\r\n"};
	static const char *const paths[] = {"/order/1", "/note/1"};

	for (unsigned int i = 0; i < ARRAY_LEN(statuses) * ARRAY_LEN(headers); i++) {
		unsigned int status = statuses[i / ARRAY_LEN(headers)];
		const char *path = paths[i % ARRAY_LEN(paths)];
		char *response =
			ask_refusing_endpoint(status, headers[i % ARRAY_LEN(headers)], path);

		if (!g_str_has_prefix(response, "HTTP/1.1 502 "))
			fail_msg("%s, status %u of the endpoint: %s", path, status, response);
		g_free(response);
	}
}

static void test_endpoint_that_denies_the_run_is_believed(void **state)
{
	char *response = ask_refusing_endpoint(503, "Not-Executed: 1\r\n", "/order/1");

	assert_true(g_str_has_prefix(response, "HTTP/1.1 503 "));
	assert_non_null(strstr(response, "Retry-After: "));
	g_free(response);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusal_of_an_earlier_request_is_skipped),
		cmocka_unit_test(test_refusal_without_id_on_a_used_connection_is_not_believed),
		cmocka_unit_test(test_order_is_not_affected_by_an_earlier_refusal),
		cmocka_unit_test(test_error_after_a_stream_has_begun_is_not_part_of_it),
		cmocka_unit_test(test_stream_goes_on_elsewhere_after_a_refusal),
		cmocka_unit_test(test_status_of_endpoint_denies_no_run_that_it_does_not_deny),
		cmocka_unit_test(test_endpoint_that_denies_the_run_is_believed),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
