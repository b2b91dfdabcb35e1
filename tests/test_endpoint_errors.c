/* threaded: endpoint_errors - refusals that belong to earlier requests */
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
#define CALLERS 8  /* at a time: as many connections are kept */
#define RUN_MS 100 /* of the first request on a connection */

static char *send_request(fixture_t *router, const char *method, const char *path, const char *id)
{
	char *text = fixture_format_request(method, path, id, "Connection: close\r\n", "");
	char *response = fixture_send_and_read(router, text, WAIT_MS);

	g_free(text);
	return response;
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
	assert_true(endpoint.repeated > 0);
	assert_int_equal(endpoint.runs, ROUNDS);
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
	runs = endpoint.runs;
	response = send_request(f, "GET", "/status/", "mine");
	assert_true(endpoint.repeated > 0);
	assert_null(strstr(response, "HTTP/1.1 503 "));
	assert_null(strstr(response, "HTTP/1.1 429 "));
	assert_in_range(endpoint.runs - runs, 1, 2); /* attempts that the route allows */
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
	assert_int_equal(endpoint.runs, ROUNDS);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusal_of_an_earlier_request_is_skipped),
		cmocka_unit_test(test_refusal_without_id_on_a_used_connection_is_not_believed),
		cmocka_unit_test(test_order_is_not_affected_by_an_earlier_refusal),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
