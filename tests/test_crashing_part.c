/* threaded: crashing_part - requests with a prompt part that ends each endpoint which answers them
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 10000
#define DOWN_MS 1200	   /* after an endpoint has ended */
#define MAX_BAD_REQUESTS 8 /* that may reach endpoints: three more than the five that end them */
#define BAD_ROUNDS 70

/* An endpoint process that ends when it begins to answer a request with the part "bad". */
typedef struct crashing_endpoint {
	raw_endpoint_t *endpoint;
	int bad_requests; /* accessed atomically */
	bool begins;	  /* sends half an event, in a body without length, before it ends */
} crashing_endpoint_t;

static bool respond_or_crash(void *ctx, int fd, const raw_request_t *request)
{
	crashing_endpoint_t *this = ctx;
	char *parts = raw_request_header(request, "Prompt-Prefix");
	bool bad = parts && strstr(parts, "bad:");
	char *text;

	g_free(parts);
	if (bad && this->begins) {
		text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER
				       "Request-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n"
				       "id: 0\ndata: he",
			request->id);
		raw_write(fd, text);
		g_free(text);
	}
	if (bad) {
		__atomic_add_fetch(&this->bad_requests, 1, __ATOMIC_SEQ_CST);
		raw_endpoint_crash(this->endpoint, DOWN_MS);
		return false;
	}
	text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER
			       "Request-Id: %s\r\nContent-Type: text/event-stream\r\n"
			       "Content-Length: 19\r\n\r\nid: 0\ndata: hello\n\n",
		request->id);
	raw_write(fd, text);
	g_free(text);
	return true;
}

typedef struct crash_fixture {
	fixture_t *router;
	crashing_endpoint_t endpoints[FIXTURE_ENDPOINTS];
} crash_fixture_t;

static crash_fixture_t *crash_fixture_new(void)
{
	crash_fixture_t *this = g_new0(crash_fixture_t, 1);

	this->router = fixture_new_router("r", NULL);
	for (unsigned int i = 0; i < FIXTURE_ENDPOINTS; i++) {
		this->endpoints[i].endpoint =
			fixture_add_endpoint(this->router, respond_or_crash, &this->endpoints[i]);
	}
	fixture_wait_ready(this->router, FIXTURE_ENDPOINTS);
	return this;
}

static void crash_fixture_delete(crash_fixture_t *this)
{
	fixture_delete(this->router);
	g_free(this);
}

static unsigned int count_bad_requests(crash_fixture_t *this)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < FIXTURE_ENDPOINTS; i++)
		count += (unsigned int)__atomic_load_n(
			&this->endpoints[i].bad_requests, __ATOMIC_SEQ_CST);
	return count;
}

/* Sends a prompt with these shared parts; each has a last part of its own. */
static char *send_prompt(fixture_t *router, const char *shared_parts)
{
	static unsigned int number;
	char *extra = g_strdup_printf("Prompt-Prefix: %s,%x:10\r\nConnection: close\r\n",
		shared_parts, 0x10000 + number++);
	char *text = fixture_format_request("POST", "/draft/", "id", extra, "x");
	char *response = fixture_send_and_read(router, text, WAIT_MS);

	g_free(text);
	g_free(extra);
	return response;
}

static bool is_served(fixture_t *router, const char *shared_parts)
{
	char *response = send_prompt(router, shared_parts);
	bool served = strstr(response, "data: hello") != NULL;

	g_free(response);
	return served;
}

static bool is_served_soon(fixture_t *router, const char *shared_parts)
{
	instant_t deadline = clock_now() + WAIT_MS * USEC_PER_MSEC;
	bool served = false;

	while (!(served = is_served(router, shared_parts)) && clock_now() < deadline)
		sleep_ms(50);
	return served;
}

/* Sends prompts with the bad part until BAD_ROUNDS are sent, sound ones of the same caller between.
 */
static void send_mixed_prompts(fixture_t *router)
{
	for (unsigned int i = 0; i < BAD_ROUNDS; i++) {
		is_served(router, i % 2 ? "f1:100,bad:50" : "f1:100,c1:20,bad:50");
		is_served(router, "f1:100,c2:50");
		is_served(router, "f1:100,c1:20");
		sleep_ms(100);
	}
}

static void test_part_that_ends_endpoints_is_no_longer_sent(void **state)
{
	crash_fixture_t *f = crash_fixture_new();

	send_mixed_prompts(f->router);
	assert_in_range(count_bad_requests(f), 1, MAX_BAD_REQUESTS);
	crash_fixture_delete(f);
}

static void test_part_that_ends_endpoints_inside_an_event_is_no_longer_sent(void **state)
{
	crash_fixture_t *f = crash_fixture_new();

	for (unsigned int i = 0; i < FIXTURE_ENDPOINTS; i++)
		f->endpoints[i].begins = true;
	send_mixed_prompts(f->router);
	assert_in_range(count_bad_requests(f), 1, MAX_BAD_REQUESTS);
	crash_fixture_delete(f);
}

static void test_prompts_that_share_other_parts_with_it_are_served(void **state)
{
	crash_fixture_t *f = crash_fixture_new();

	send_mixed_prompts(f->router);
	assert_true(is_served_soon(f->router, "f1:100,c1:20"));
	sleep_ms(DOWN_MS);
	for (unsigned int i = 0; i < 10; i++) {
		assert_false(is_served(f->router, "f1:100,bad:50"));
		assert_true(is_served(f->router, "f1:100,c1:20"));
		assert_true(is_served(f->router, "f1:100"));
	}
	crash_fixture_delete(f);
}

/* The request is known not to run: the caller is told so at once, and when to come back. */
static void test_prompt_with_it_is_refused_as_not_run(void **state)
{
	crash_fixture_t *f = crash_fixture_new();
	char *response;

	send_mixed_prompts(f->router);
	response = send_prompt(f->router, "f2:10,bad:50");
	assert_non_null(strstr(response, "HTTP/1.1 503 "));
	assert_non_null(strstr(response, "Retry-After: "));
	g_free(response);
	crash_fixture_delete(f);
}

static void test_other_routers_refuse_it_too(void **state)
{
	crash_fixture_t *f = crash_fixture_new();
	fixture_t *second = fixture_new_router("s", f->router->store);
	fixture_t *late;
	unsigned int before;

	fixture_wait_ready(second, FIXTURE_ENDPOINTS);
	assert_true(fixture_wait_metrics(second, "amaranthwall_routers_alive 2\n", ""));
	assert_true(fixture_wait_metrics(f->router, "amaranthwall_routers_alive 2\n", ""));
	send_mixed_prompts(f->router);
	assert_true(fixture_wait_metrics(second, "amaranthwall_prompt_parts_blocked 1\n", ""));
	before = count_bad_requests(f);
	assert_false(is_served(second, "f1:100,bad:50"));
	late = fixture_new_router("t", f->router->store);
	fixture_wait_ready(late, FIXTURE_ENDPOINTS);
	assert_true(fixture_wait_metrics(late, "amaranthwall_prompt_parts_blocked 1\n", ""));
	assert_false(is_served(late, "f1:100,bad:50"));
	assert_int_equal(count_bad_requests(f), before);
	fixture_delete(late);
	fixture_delete(second);
	crash_fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_part_that_ends_endpoints_is_no_longer_sent),
		cmocka_unit_test(test_part_that_ends_endpoints_inside_an_event_is_no_longer_sent),
		cmocka_unit_test(test_prompts_that_share_other_parts_with_it_are_served),
		cmocka_unit_test(test_prompt_with_it_is_refused_as_not_run),
		cmocka_unit_test(test_other_routers_refuse_it_too),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
