/* threaded: endpoint_leaving - endpoints that say in their responses, not in their rows, that they
 * leave */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 5000
#define ROUNDS 40
#define SETTLE_MS 100 /* in which a router acts on what a response says */

/* How an endpoint responds. */
typedef struct leaving_endpoint {
	raw_endpoint_t *endpoint;
	int leaves;	 /* accessed atomically: it says so in each response */
	bool refuses;	 /* while it leaves: turns requests away */
	bool is_another; /* while it leaves: it is not the one that the request expects */
	int requests;	 /* accessed atomically: since it leaves */
} leaving_endpoint_t;

static bool respond(void *ctx, int fd, const raw_request_t *request)
{
	leaving_endpoint_t *this = ctx;
	bool leaves = __atomic_load_n(&this->leaves, __ATOMIC_SEQ_CST);
	const char *status = "200 OK\r\n" ENDPOINT_MARKER;
	char *text;

	if (leaves)
		__atomic_add_fetch(&this->requests, 1, __ATOMIC_SEQ_CST);
	if (leaves && this->refuses)
		status = "503 Service Unavailable\r\nNot-Executed: 1\r\n";
	if (leaves && this->is_another)
		status = "421 Misdirected Request\r\n";
	text = g_strdup_printf("HTTP/1.1 %sRequest-Id: %s\r\n%sContent-Length: 5\r\n\r\nhello",
		status, request->id, leaves ? "Server-Leaving: 1\r\n" : "");
	raw_write(fd, text);
	g_free(text);
	return true;
}

typedef struct leaving_fixture {
	fixture_t *router;
	leaving_endpoint_t endpoints[FIXTURE_ENDPOINTS];
} leaving_fixture_t;

static leaving_fixture_t *leaving_fixture_new(unsigned int endpoints)
{
	leaving_fixture_t *this = g_new0(leaving_fixture_t, 1);

	this->router = fixture_new_router("r", NULL);
	for (unsigned int i = 0; i < endpoints; i++)
		this->endpoints[i].endpoint =
			fixture_add_endpoint(this->router, respond, &this->endpoints[i]);
	fixture_wait_ready(this->router, endpoints);
	return this;
}

static void leaving_fixture_delete(leaving_fixture_t *this)
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
	bool served = strstr(response, "hello") != NULL && strstr(response, " 200 ") != NULL;

	g_free(response);
	return served;
}

static void set_leaves(leaving_endpoint_t *this)
{
	__atomic_store_n(&this->leaves, true, __ATOMIC_SEQ_CST);
}

static int take_requests(leaving_endpoint_t *this)
{
	return __atomic_exchange_n(&this->requests, 0, __ATOMIC_SEQ_CST);
}

/* Sends requests until the endpoint has had one since it leaves. */
static void wait_until_it_said_so(fixture_t *router, leaving_endpoint_t *this)
{
	for (unsigned int i = 0; i < 10 * ROUNDS && !take_requests(this); i++)
		g_free(send_request(router));
	sleep_ms(SETTLE_MS);
	take_requests(this);
}

static void expect_unused(fixture_t *router, leaving_endpoint_t *this)
{
	for (unsigned int i = 0; i < ROUNDS; i++)
		assert_true(is_served(router));
	assert_int_equal(take_requests(this), 0);
}

static void test_endpoint_that_says_it_leaves_gets_no_requests(void **state)
{
	leaving_fixture_t *f = leaving_fixture_new(3);

	set_leaves(&f->endpoints[0]);
	wait_until_it_said_so(f->router, &f->endpoints[0]);
	expect_unused(f->router, &f->endpoints[0]);
	leaving_fixture_delete(f);
}

static void test_refusal_can_say_so_too(void **state)
{
	leaving_fixture_t *f = leaving_fixture_new(3);

	f->endpoints[0].refuses = true;
	set_leaves(&f->endpoints[0]);
	wait_until_it_said_so(f->router, &f->endpoints[0]);
	expect_unused(f->router, &f->endpoints[0]);
	leaving_fixture_delete(f);
}

/* Its row says "ready" all the while, and is written again. */
static void test_row_of_the_same_start_does_not_make_it_ready(void **state)
{
	leaving_fixture_t *f = leaving_fixture_new(3);

	set_leaves(&f->endpoints[0]);
	wait_until_it_said_so(f->router, &f->endpoints[0]);
	fixture_register_endpoint(f->router, 0, "draining");
	fixture_register_endpoint(f->router, 0, "ready");
	sleep_ms(SETTLE_MS);
	expect_unused(f->router, &f->endpoints[0]);
	leaving_fixture_delete(f);
}

/* Who has its address now has answered; the endpoint itself may go on elsewhere. */
static void test_another_endpoint_does_not_speak_for_it(void **state)
{
	leaving_fixture_t *f = leaving_fixture_new(1);

	f->endpoints[0].is_another = true;
	set_leaves(&f->endpoints[0]);
	g_free(send_request(f->router));
	__atomic_store_n(&f->endpoints[0].leaves, false, __ATOMIC_SEQ_CST);
	for (unsigned int i = 0; i < ROUNDS && !is_served(f->router); i++)
		sleep_ms(SETTLE_MS);
	assert_true(is_served(f->router));
	leaving_fixture_delete(f);
}

static void test_each_router_acts_on_what_it_was_told_itself(void **state)
{
	leaving_fixture_t *f = leaving_fixture_new(3);
	fixture_t *second = fixture_new_router("s", f->router->store);

	fixture_wait_ready(second, 3);
	assert_true(fixture_wait_metrics(second, "amaranthwall_routers_alive 2\n", ""));
	set_leaves(&f->endpoints[0]);
	wait_until_it_said_so(f->router, &f->endpoints[0]);
	wait_until_it_said_so(second, &f->endpoints[0]);
	expect_unused(f->router, &f->endpoints[0]);
	expect_unused(second, &f->endpoints[0]);
	fixture_delete(second);
	leaving_fixture_delete(f);
}

/* No endpoint is left: callers are told at once, and are served when one starts again. */
static void test_callers_are_refused_while_all_endpoints_leave(void **state)
{
	leaving_fixture_t *f = leaving_fixture_new(2);
	char *row;
	char *response;

	for (unsigned int i = 0; i < 2; i++) {
		set_leaves(&f->endpoints[i]);
		wait_until_it_said_so(f->router, &f->endpoints[i]);
	}
	response = send_request(f->router);
	assert_non_null(strstr(response, "HTTP/1.1 503 "));
	assert_non_null(strstr(response, "no-endpoint"));
	g_free(response);
	__atomic_store_n(&f->endpoints[0].leaves, false, __ATOMIC_SEQ_CST);
	row = g_strdup_printf("{\"service\":\"shop\",\"address\":\"%s\",\"version\":\"v1\","
			      "\"slots\":8,\"state\":\"ready\",\"born\":1700000000000}",
		raw_endpoint_address(f->endpoints[0].endpoint));
	row_store_standin_put(f->router->store, "servers", "i-0", row);
	g_free(row);
	sleep_ms(5 * SETTLE_MS);
	assert_true(is_served(f->router));
	leaving_fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endpoint_that_says_it_leaves_gets_no_requests),
		cmocka_unit_test(test_refusal_can_say_so_too),
		cmocka_unit_test(test_row_of_the_same_start_does_not_make_it_ready),
		cmocka_unit_test(test_another_endpoint_does_not_speak_for_it),
		cmocka_unit_test(test_each_router_acts_on_what_it_was_told_itself),
		cmocka_unit_test(test_callers_are_refused_while_all_endpoints_leave),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
