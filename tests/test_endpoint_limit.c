/* threaded: endpoint_limit - an endpoint gets no more requests than the limit that it names */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define REQUESTS 60
#define LIMIT 10 /* requests a second */

/* Header lines that the endpoint adds to its responses. */
typedef struct endpoint_headers {
	pthread_mutex_t lock;
	const char *text;
} endpoint_headers_t;

static void set_headers(endpoint_headers_t *this, const char *text)
{
	pthread_mutex_lock(&this->lock);
	this->text = text;
	pthread_mutex_unlock(&this->lock);
}

static bool respond(void *ctx, int fd, const raw_request_t *request)
{
	endpoint_headers_t *headers = ctx;
	char *text;

	pthread_mutex_lock(&headers->lock);
	text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n%s"
			       "Content-Length: 5\r\n\r\nhello",
		request->id, headers->text);
	pthread_mutex_unlock(&headers->lock);
	raw_write(fd, text);
	g_free(text);
	return true;
}

static unsigned int count_served(fixture_t *f, unsigned int requests)
{
	unsigned int served = 0;

	for (unsigned int i = 0; i < requests; i++)
		served += fixture_is_served(f, "any");
	return served;
}

static fixture_t *start_router(raw_endpoint_t **endpoint, endpoint_headers_t *headers)
{
	fixture_options_t options = {.settings = "", .idle_timeout_ms = 1000};
	fixture_t *f = fixture_new_with(&options);

	fixture_put_config(f, FIXTURE_PUBLIC_ROUTE("any"));
	*endpoint = fixture_add_endpoint(f, respond, headers);
	fixture_wait_ready(f, 1);
	while (!fixture_is_served(f, "any"))
		;
	return f;
}

/* The most that an endpoint may get within a time. */
static unsigned int allowed_within(uint64_t duration)
{
	return (unsigned int)(1.5 * LIMIT * (double)duration / USEC_PER_SEC) + 5;
}

static void test_requests_keep_to_the_limit_that_the_endpoint_names(void **state)
{
	endpoint_headers_t headers = {PTHREAD_MUTEX_INITIALIZER, "Server-Limit: 10\r\n"};
	raw_endpoint_t *endpoint;
	fixture_t *f = start_router(&endpoint, &headers);
	unsigned int before = raw_endpoint_request_count(endpoint);
	instant_t began = clock_now();

	assert_true(count_served(f, REQUESTS) > 0);
	assert_true(raw_endpoint_request_count(endpoint) - before <=
		    allowed_within(clock_now() - began));
	fixture_delete(f);
}

static void test_endpoint_that_no_longer_names_a_limit_gets_all_requests(void **state)
{
	endpoint_headers_t headers = {PTHREAD_MUTEX_INITIALIZER, "Server-Limit: 10\r\n"};
	raw_endpoint_t *endpoint;
	fixture_t *f = start_router(&endpoint, &headers);

	count_served(f, REQUESTS / 4);
	set_headers(&headers, "");
	while (!fixture_is_served(f, "any"))
		;
	assert_int_equal(count_served(f, REQUESTS), REQUESTS);
	fixture_delete(f);
}

/* A header that can't be read neither sets a limit nor ends one. */
static void test_malformed_limit_changes_nothing(void **state)
{
	endpoint_headers_t headers = {PTHREAD_MUTEX_INITIALIZER, "Server-Limit: -3\r\n"};
	raw_endpoint_t *endpoint;
	fixture_t *f = start_router(&endpoint, &headers);
	unsigned int before;
	instant_t began;

	assert_int_equal(count_served(f, REQUESTS), REQUESTS);
	set_headers(&headers, "Server-Limit: 10\r\n");
	assert_true(fixture_is_served(f, "any"));
	set_headers(&headers, "Server-Limit: many\r\n");
	before = raw_endpoint_request_count(endpoint);
	began = clock_now();
	count_served(f, REQUESTS);
	assert_true(raw_endpoint_request_count(endpoint) - before <=
		    allowed_within(clock_now() - began));
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests_keep_to_the_limit_that_the_endpoint_names),
		cmocka_unit_test(test_endpoint_that_no_longer_names_a_limit_gets_all_requests),
		cmocka_unit_test(test_malformed_limit_changes_nothing),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
