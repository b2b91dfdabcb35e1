/* threaded: endpoint_pause - endpoints that turn requests away and want no others for a while */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 5000
#define PAUSE_S 3
#define REACTION_MS 500 /* after a refusal, in which requests may still arrive */
#define MARGIN_MS 300	/* before the end of the pause */
#define MAX_IN_PAUSE 2	/* requests that may arrive between the two */
#define CALLERS 14	/* more than one endpoint has slots, so that the router looks for others */
#define RUN_MS 20

/* An endpoint that is busy from its first request on. */
typedef struct busy_endpoint {
	raw_endpoint_t *endpoint;
	const char *retry_after; /* value of its header; NULL: it is not busy */
	instant_t refused_at;	 /* the first time; accessed atomically */
	int in_pause;		 /* requests within the pause; accessed atomically */
	int after;		 /* requests after it; accessed atomically */
} busy_endpoint_t;

static void count_request(busy_endpoint_t *this)
{
	instant_t refused_at = __atomic_load_n(&this->refused_at, __ATOMIC_SEQ_CST);
	instant_t now = clock_now();

	if (!refused_at)
		__atomic_store_n(&this->refused_at, now, __ATOMIC_SEQ_CST);
	else if (now >= refused_at + PAUSE_S * USEC_PER_SEC)
		__atomic_add_fetch(&this->after, 1, __ATOMIC_SEQ_CST);
	else if (now >= refused_at + REACTION_MS * USEC_PER_MSEC)
		__atomic_add_fetch(&this->in_pause, 1, __ATOMIC_SEQ_CST);
}

static bool respond(void *ctx, int fd, const raw_request_t *request)
{
	busy_endpoint_t *this = ctx;
	char *text;

	if (this->retry_after)
		count_request(this);
	if (!this->retry_after || __atomic_load_n(&this->after, __ATOMIC_SEQ_CST)) {
		sleep_ms(RUN_MS);
		return fixture_respond_hello(NULL, fd, request);
	}
	text = g_strdup_printf("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
			       "Request-Id: %s\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
		request->id, this->retry_after);
	raw_write(fd, text);
	g_free(text);
	return true;
}

typedef struct busy_fixture {
	fixture_t *router;
	busy_endpoint_t endpoints[FIXTURE_ENDPOINTS];
} busy_fixture_t;

/* Starts `count` endpoints, of which the first `busy` ones name `retry_after`. */
static busy_fixture_t *busy_fixture_new(
	unsigned int count, unsigned int busy, const char *retry_after)
{
	busy_fixture_t *this = g_new0(busy_fixture_t, 1);

	this->router = fixture_new_router("r", NULL);
	for (unsigned int i = 0; i < count; i++) {
		this->endpoints[i].retry_after = i < busy ? retry_after : NULL;
		this->endpoints[i].endpoint =
			fixture_add_endpoint(this->router, respond, &this->endpoints[i]);
	}
	fixture_wait_ready(this->router, count);
	return this;
}

static void busy_fixture_delete(busy_fixture_t *this)
{
	fixture_delete(this->router);
	g_free(this);
}

static char *send_request(fixture_t *router)
{
	char *text = fixture_format_request("GET", "/status/", "id", "Connection: close\r\n", "");
	char *response = fixture_send_and_read(router, text, WAIT_MS);

	g_free(text);
	return response;
}

static bool is_served(fixture_t *router)
{
	char *response = send_request(router);
	bool served = strstr(response, "hello") != NULL;

	g_free(response);
	return served;
}

typedef struct load {
	fixture_t *router;
	instant_t until;
	unsigned int served; /* accessed atomically */
} load_t;

static void *send_until(void *ctx)
{
	load_t *load = ctx;

	while (clock_now() < load->until) {
		if (is_served(load->router))
			__atomic_add_fetch(&load->served, 1, __ATOMIC_SEQ_CST);
	}
	return NULL;
}

/* Sends requests from all callers at a time for `ms`; returns how many were served. */
static unsigned int run_load(fixture_t *router, unsigned int ms)
{
	load_t load = {.router = router, .until = clock_now() + ms * USEC_PER_MSEC};
	pthread_t threads[CALLERS];

	for (unsigned int i = 0; i < CALLERS; i++)
		pthread_create(&threads[i], NULL, send_until, &load);
	for (unsigned int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	return load.served;
}

static void expect_pause_kept(busy_endpoint_t *this)
{
	assert_true(__atomic_load_n(&this->refused_at, __ATOMIC_SEQ_CST) != 0);
	assert_in_range(__atomic_load_n(&this->in_pause, __ATOMIC_SEQ_CST), 0, MAX_IN_PAUSE);
}

static void test_endpoint_gets_nothing_for_as_long_as_it_asked(void **state)
{
	busy_fixture_t *f = busy_fixture_new(2, 1, "3");

	assert_true(run_load(f->router, PAUSE_S * 1000 - MARGIN_MS) > 0);
	expect_pause_kept(&f->endpoints[0]);
	run_load(f->router, 2 * PAUSE_S * 1000);
	assert_true(__atomic_load_n(&f->endpoints[0].after, __ATOMIC_SEQ_CST) > 0);
	busy_fixture_delete(f);
}

static void test_several_endpoints_at_once(void **state)
{
	busy_fixture_t *f = busy_fixture_new(3, 2, "3.0");

	run_load(f->router, PAUSE_S * 1000 - MARGIN_MS);
	expect_pause_kept(&f->endpoints[0]);
	expect_pause_kept(&f->endpoints[1]);
	busy_fixture_delete(f);
}

/* The request has not run: its caller is told so at once, and when an endpoint takes others. */
static void test_callers_are_told_when_to_come_back_if_all_endpoints_are_busy(void **state)
{
	busy_fixture_t *f = busy_fixture_new(2, 2, "3");
	const char *retry_after;
	char *response;
	instant_t began;

	run_load(f->router, 2 * REACTION_MS);
	began = clock_now();
	response = send_request(f->router);
	assert_true(clock_now() - began < USEC_PER_SEC);
	assert_true(strstr(response, "HTTP/1.1 429 ") || strstr(response, "HTTP/1.1 503 "));
	retry_after = strstr(response, "Retry-After: ");
	assert_non_null(retry_after);
	assert_true(atof(retry_after + strlen("Retry-After: ")) > 0.5);
	assert_true(atof(retry_after + strlen("Retry-After: ")) <= PAUSE_S);
	g_free(response);
	expect_pause_kept(&f->endpoints[0]);
	expect_pause_kept(&f->endpoints[1]);
	busy_fixture_delete(f);
}

/* The router that owns the endpoint was told nothing: its grants for it are not used. */
static void test_router_keeps_the_pause_beside_another_one(void **state)
{
	busy_fixture_t *f = busy_fixture_new(2, 1, "3");
	fixture_t *second = fixture_new_router("s", f->router->store);

	fixture_wait_ready(second, 2);
	assert_true(fixture_wait_metrics(second, "amaranthwall_routers_alive 2\n", ""));
	assert_true(run_load(f->router, PAUSE_S * 1000 - MARGIN_MS) > 0);
	expect_pause_kept(&f->endpoints[0]);
	fixture_delete(second);
	busy_fixture_delete(f);
}

/* A value that can't be read, or that would keep it out of use for good. */
static void test_malformed_values_do_not_keep_an_endpoint_out_of_use(void **state)
{
	static const char *const values[] = {"soon", "-5", "1e30", "Fri, 04 Dec 2026 22:00:00 GMT"};

	for (unsigned int i = 0; i < ARRAY_LEN(values); i++) {
		busy_fixture_t *f = busy_fixture_new(1, 1, values[i]);

		g_free(send_request(f->router));
		f->endpoints[0].retry_after = NULL;
		for (unsigned int k = 0; k < 40 && !is_served(f->router); k++)
			sleep_ms(50);
		assert_true(is_served(f->router));
		busy_fixture_delete(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endpoint_gets_nothing_for_as_long_as_it_asked),
		cmocka_unit_test(test_several_endpoints_at_once),
		cmocka_unit_test(test_callers_are_told_when_to_come_back_if_all_endpoints_are_busy),
		cmocka_unit_test(test_router_keeps_the_pause_beside_another_one),
		cmocka_unit_test(test_malformed_values_do_not_keep_an_endpoint_out_of_use),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
