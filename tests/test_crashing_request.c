/* threaded: crashing_request - a request without a prompt that ends each endpoint which runs it */
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

#define WAIT_MS 10000
#define DOWN_MS 400	  /* after an endpoint has ended */
#define SETTLE_MS 600	  /* in which all routers learn of an end */
#define ENDS_TO_BLOCK 3	  /* endpoints may end under a request before it is refused, ... */
#define MAX_LATER_SENDS 3 /* ... and be reached by it so often after that */
#define BAD_ROUNDS 60	  /* requests that are sent while some endpoints are up */
#define LONG_BODY_SIZE 60000
#define CALLERS 9	   /* that send the request at a time, three at each of three routers */
#define CALLERS_MS 18000   /* for which they do */
#define RUN_MS 60	   /* of a request until its endpoint ends */
#define LONG_DOWN_MS 3200  /* after an end, so that the next round of ends counts as late */
#define ROUND_MS 3600	   /* from one registration of the endpoints to the next */
#define LATE_AFTER_MS 3000 /* after the third end */
#define MAX_TIMES 512

/* An endpoint process that ends when it begins to run a request of workspace w1 with "bad". */
typedef struct crashing_endpoint {
	raw_endpoint_t *endpoint;
	int bad_requests; /* accessed atomically */
	bool runs;	  /* a bad request runs for RUN_MS before it ends the endpoint */
} crashing_endpoint_t;

/* When bad requests reached endpoints and ended them, over all endpoints. */
static struct {
	pthread_mutex_t lock;
	instant_t reached[MAX_TIMES];
	unsigned int reached_count;
	instant_t third_end; /* 0: not yet */
	unsigned int end_count;
} history = {.lock = PTHREAD_MUTEX_INITIALIZER};

static void note_reached(void)
{
	pthread_mutex_lock(&history.lock);
	if (history.reached_count < MAX_TIMES)
		history.reached[history.reached_count++] = clock_now();
	pthread_mutex_unlock(&history.lock);
}

static void note_end(void)
{
	pthread_mutex_lock(&history.lock);
	if (++history.end_count == ENDS_TO_BLOCK)
		history.third_end = clock_now();
	pthread_mutex_unlock(&history.lock);
}

/* Counts bad requests that reached endpoints later than LATE_AFTER_MS after the third end. */
static unsigned int count_late(void)
{
	unsigned int late = 0;

	pthread_mutex_lock(&history.lock);
	assert_true(history.third_end != 0);
	for (unsigned int i = 0; i < history.reached_count; i++)
		late += history.reached[i] > history.third_end + LATE_AFTER_MS * USEC_PER_MSEC;
	print_message("  %u reached endpoints, %u of them late\n", history.reached_count, late);
	pthread_mutex_unlock(&history.lock);
	return late;
}

static bool respond_or_crash(void *ctx, int fd, const raw_request_t *request)
{
	crashing_endpoint_t *this = ctx;
	char *workspace = raw_request_header(request, "Tenant-Id");
	bool bad = workspace && !strcmp(workspace, "w1") && strstr(request->body->str, "bad");

	g_free(workspace);
	if (!bad)
		return fixture_respond_hello(NULL, fd, request);
	__atomic_add_fetch(&this->bad_requests, 1, __ATOMIC_SEQ_CST);
	if (this->runs) {
		note_reached();
		sleep_ms(RUN_MS);
		note_end();
	}
	raw_endpoint_crash(this->endpoint, this->runs ? LONG_DOWN_MS : DOWN_MS);
	return false;
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

static char *send_request(fixture_t *router, const char *path, const char *extra, const char *body)
{
	char *headers = g_strdup_printf("%sConnection: close\r\n", extra);
	char *text = fixture_format_request("POST", path, "id", headers, body);
	char *response = fixture_send_and_read(router, text, WAIT_MS);

	g_free(text);
	g_free(headers);
	return response;
}

/* Sends the request until endpoints would have ended under it many times. */
static void send_bad_requests(fixture_t *router, const char *path, const char *body)
{
	for (unsigned int i = 0; i < BAD_ROUNDS; i++) {
		g_free(send_request(router, path, "", body));
		sleep_ms(100);
	}
}

static void test_request_that_ends_endpoints_is_no_longer_sent(void **state)
{
	crash_fixture_t *f = crash_fixture_new();

	send_bad_requests(f->router, "/status/", "bad");
	assert_in_range(count_bad_requests(f), 1, ENDS_TO_BLOCK + MAX_LATER_SENDS);
	crash_fixture_delete(f);
}

static void test_order_that_ends_endpoints_is_no_longer_sent(void **state)
{
	crash_fixture_t *f = crash_fixture_new();

	send_bad_requests(f->router, "/order/", "bad");
	assert_in_range(count_bad_requests(f), 1, ENDS_TO_BLOCK + MAX_LATER_SENDS);
	crash_fixture_delete(f);
}

/* Its body arrives in chunks, of other sizes each time. */
static void test_chunked_request_counts_as_the_same(void **state)
{
	static const char *const bodies[] = {
		"3\r\nbad\r\n0\r\n\r\n", "1\r\nb\r\n2\r\nad\r\n0\r\n\r\n"};
	crash_fixture_t *f = crash_fixture_new();

	for (unsigned int i = 0; i < BAD_ROUNDS; i++) {
		char *text = g_strdup_printf("POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST
					     "\r\nRequest-Id: id%u\r\n"
					     "Authorization: Bearer k1\r\nConnection: close\r\n"
					     "Transfer-Encoding: chunked\r\n\r\n%s",
			i, bodies[i % 2]);

		g_free(fixture_send_and_read(f->router, text, WAIT_MS));
		g_free(text);
		sleep_ms(100);
	}
	assert_in_range(count_bad_requests(f), 1, ENDS_TO_BLOCK + MAX_LATER_SENDS);
	crash_fixture_delete(f);
}

/* The bodies differ in the last bytes only. */
static void test_long_request_that_ends_endpoints_is_no_longer_sent(void **state)
{
	crash_fixture_t *f = crash_fixture_new();
	char *filler = g_strnfill(LONG_BODY_SIZE, 'x');
	char *bad = g_strconcat(filler, "bad", NULL);
	char *sound = g_strconcat(filler, "good", NULL);
	char *response;

	send_bad_requests(f->router, "/status/", bad);
	assert_in_range(count_bad_requests(f), 1, ENDS_TO_BLOCK + MAX_LATER_SENDS);
	response = send_request(f->router, "/status/", "", sound);
	assert_non_null(strstr(response, "hello"));
	g_free(response);
	g_free(sound);
	g_free(bad);
	g_free(filler);
	crash_fixture_delete(f);
}

/* Its prompt has no part in common with others. */
static void test_prompt_that_ends_endpoints_is_no_longer_sent(void **state)
{
	crash_fixture_t *f = crash_fixture_new();

	for (unsigned int i = 0; i < BAD_ROUNDS; i++) {
		g_free(send_request(f->router, "/draft/", "Prompt-Prefix: a1:100\r\n", "bad"));
		sleep_ms(100);
	}
	assert_in_range(count_bad_requests(f), 1, ENDS_TO_BLOCK + MAX_LATER_SENDS);
	crash_fixture_delete(f);
}

/* The request is known not to run: the caller is told so at once, and when to come back. */
static void test_blocked_request_is_refused_as_not_run(void **state)
{
	crash_fixture_t *f = crash_fixture_new();
	char *response;

	send_bad_requests(f->router, "/status/", "bad");
	response = send_request(f->router, "/status/", "", "bad");
	assert_non_null(strstr(response, "HTTP/1.1 503 "));
	assert_non_null(strstr(response, "Retry-After: "));
	assert_non_null(strstr(response, "request-blocked"));
	g_free(response);
	crash_fixture_delete(f);
}

static bool is_served(fixture_t *router, const char *path, const char *body)
{
	char *response = send_request(router, path, "", body);
	bool served = strstr(response, "hello") != NULL;

	g_free(response);
	return served;
}

/* Sound requests that are sent all the while are lost only where an endpoint ends under them. */
static void test_other_requests_are_served_beside_it(void **state)
{
	crash_fixture_t *f = crash_fixture_new();
	char *response;

	for (unsigned int i = 0; i < BAD_ROUNDS; i++) {
		is_served(f->router, "/status/", "bad");
		is_served(f->router, "/status/", "good");
		is_served(f->router, "/status/?bad", "good");
		sleep_ms(50);
	}
	sleep_ms(DOWN_MS + SETTLE_MS);
	for (unsigned int i = 0; i < 10; i++) {
		assert_false(is_served(f->router, "/status/", "bad"));
		assert_true(is_served(f->router, "/status/", "good"));
		assert_true(is_served(f->router, "/status/?bad", "good"));
		assert_true(is_served(f->router, "/order/", "good"));
	}
	/* The same content of another workspace, under which no endpoint ends. */
	response = fixture_send_and_read(f->router,
		"POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: other\r\n"
		"Authorization: Bearer k2\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbad",
		WAIT_MS);
	assert_non_null(strstr(response, "hello"));
	g_free(response);
	crash_fixture_delete(f);
}

/* Each router gets one of the first requests, and none of those that are sent later is let through.
 */
static void test_ends_at_several_routers_are_added_up(void **state)
{
	crash_fixture_t *f = crash_fixture_new();
	fixture_t *routers[] = {f->router, fixture_new_router("s", f->router->store),
		fixture_new_router("t", f->router->store)};
	fixture_t *late;
	unsigned int before;

	for (unsigned int i = 0; i < 3; i++) {
		fixture_wait_ready(routers[i], FIXTURE_ENDPOINTS);
		assert_true(fixture_wait_metrics(routers[i], "amaranthwall_routers_alive 3\n", ""));
	}
	for (unsigned int i = 0; i < BAD_ROUNDS; i++) {
		is_served(routers[i % 3], "/order/", "bad");
		sleep_ms(100);
	}
	assert_in_range(count_bad_requests(f), 1, ENDS_TO_BLOCK + MAX_LATER_SENDS);
	late = fixture_new_router("u", f->router->store);
	fixture_wait_ready(late, FIXTURE_ENDPOINTS);
	assert_true(fixture_wait_metric(late, "requests_blocked", 1));
	before = count_bad_requests(f);
	for (unsigned int i = 0; i < 3; i++) {
		assert_false(is_served(late, "/order/", "bad"));
		assert_true(is_served(late, "/order/", "good"));
	}
	assert_int_equal(count_bad_requests(f), before);
	fixture_delete(late);
	fixture_delete(routers[2]);
	fixture_delete(routers[1]);
	crash_fixture_delete(f);
}

typedef struct bad_caller {
	fixture_t *router;
	instant_t until;
} bad_caller_t;

/* Registers the endpoints as new starts: earlier failures do not count against them. */
static void register_new_starts(crash_fixture_t *this)
{
	static unsigned long born = 1700000000000;

	born++;
	for (unsigned int i = 0; i < FIXTURE_ENDPOINTS; i++) {
		char *key = g_strdup_printf("i-%u", i);
		char *row = g_strdup_printf("{\"service\":\"shop\",\"address\":\"%s\","
					    "\"version\":\"v1\",\"slots\":8,"
					    "\"state\":\"ready\",\"born\":%lu}",
			raw_endpoint_address(this->endpoints[i].endpoint), born);

		row_store_standin_put(this->router->store, "servers", key, row);
		g_free(row);
		g_free(key);
	}
}

static void *send_bad_orders(void *ctx)
{
	const bad_caller_t *this = ctx;

	while (clock_now() < this->until) {
		is_served(this->router, "/order/", "bad");
		sleep_ms(30);
	}
	return NULL;
}

/* Copies of the request run at all endpoints at once, from all routers, so that the ends come
 * together. */
static void test_copies_sent_at_once_end_few_endpoints_later(void **state)
{
	crash_fixture_t *f = crash_fixture_new();
	fixture_t *routers[] = {f->router, fixture_new_router("s", f->router->store),
		fixture_new_router("t", f->router->store)};
	bad_caller_t callers[CALLERS];
	pthread_t threads[CALLERS];

	for (unsigned int i = 0; i < FIXTURE_ENDPOINTS; i++)
		f->endpoints[i].runs = true;
	for (unsigned int i = 0; i < 3; i++) {
		fixture_wait_ready(routers[i], FIXTURE_ENDPOINTS);
		assert_true(fixture_wait_metrics(routers[i], "amaranthwall_routers_alive 3\n", ""));
	}
	for (unsigned int i = 0; i < CALLERS; i++) {
		callers[i] =
			(bad_caller_t){routers[i % 3], clock_now() + CALLERS_MS * USEC_PER_MSEC};
		pthread_create(&threads[i], NULL, send_bad_orders, &callers[i]);
	}
	while (clock_now() < callers[0].until) {
		sleep_ms(ROUND_MS);
		register_new_starts(f);
	}
	for (unsigned int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	assert_in_range(count_late(), 0, MAX_LATER_SENDS);
	fixture_delete(routers[2]);
	fixture_delete(routers[1]);
	crash_fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_that_ends_endpoints_is_no_longer_sent),
		cmocka_unit_test(test_order_that_ends_endpoints_is_no_longer_sent),
		cmocka_unit_test(test_chunked_request_counts_as_the_same),
		cmocka_unit_test(test_long_request_that_ends_endpoints_is_no_longer_sent),
		cmocka_unit_test(test_prompt_that_ends_endpoints_is_no_longer_sent),
		cmocka_unit_test(test_blocked_request_is_refused_as_not_run),
		cmocka_unit_test(test_other_requests_are_served_beside_it),
		cmocka_unit_test(test_ends_at_several_routers_are_added_up),
		cmocka_unit_test(test_copies_sent_at_once_end_few_endpoints_later),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
