/* threaded: planned_stop - callers that go on sending until the process is gone */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define CALLERS 6
#define RUN_MS 1200 /* of a request at the endpoint */
#define WAIT_MS 4000
#define BODY_PAUSE_MS 300 /* between the two parts of a slow body */
#define SIGNAL_MS 150	  /* after the callers begin: slow bodies are under way */
#define BODY "0123456789"

typedef struct slow_endpoint {
	int reached; /* accessed atomically */
} slow_endpoint_t;

static bool respond_late(void *ctx, int fd, const raw_request_t *request)
{
	slow_endpoint_t *this = ctx;

	__atomic_add_fetch(&this->reached, 1, __ATOMIC_SEQ_CST);
	sleep_ms(RUN_MS);
	return fixture_respond_hello(NULL, fd, request);
}

typedef struct stop_caller {
	fixture_t *router;
	pthread_t thread;
	unsigned int number;
	bool slow_body;
	const bool *gone; /* the router has stopped; accessed atomically */
	int served;
	int refused;
	int unexpected; /* other responses */
} stop_caller_t;

/* A slow body comes in two parts. */
static void send_order(const stop_caller_t *this, int fd, unsigned int number)
{
	char *id = g_strdup_printf("c%u-%u", this->number, number);
	char *text = fixture_format_request("POST", "/order/", id, "Deadline-Ms: 8000\r\n", BODY);
	char *body = strstr(text, BODY);

	if (this->slow_body && body) {
		char *rest = g_strdup(body + 5);

		body[5] = '\0';
		raw_write(fd, text);
		sleep_ms(BODY_PAUSE_MS);
		raw_write(fd, rest);
		g_free(rest);
	} else {
		raw_write(fd, text);
	}
	g_free(text);
	g_free(id);
}

/* Returns whether the connection goes on. */
static bool exchange(stop_caller_t *this, int fd, unsigned int number)
{
	char *response;
	bool goes_on;

	send_order(this, fd, number);
	response = fixture_read_until(fd, "hello", WAIT_MS);
	goes_on = !strstr(response, "Connection: close");
	if (g_str_has_prefix(response, "HTTP/1.1 200") && strstr(response, "hello"))
		this->served++;
	else if (g_str_has_prefix(response, "HTTP/1.1 503") ||
		 g_str_has_prefix(response, "HTTP/1.1 429"))
		this->refused++; /* both say that the request has not run */
	else if (*response)
		this->unexpected++;
	goes_on &= *response && strstr(response, "hello");
	g_free(response);
	return goes_on;
}

/* Uses each connection until it ends, and opens another one until the process is gone. */
static void *send_until_gone(void *ctx)
{
	stop_caller_t *this = ctx;
	unsigned int number = 0;
	int fd;

	while (!__atomic_load_n(this->gone, __ATOMIC_SEQ_CST)) {
		fd = fixture_connect(this->router->caller_address);
		if (fd < 0)
			break;
		while (exchange(this, fd, number++))
			;
		close(fd);
		sleep_ms(20);
	}
	return NULL;
}

/*
 * Every order that has reached the endpoint is answered, also one that came late in the grace, or
 * whose body was still on its way when the stop began; the others were refused.
 */
static void test_no_order_is_cut_in_a_planned_stop(void **state)
{
	slow_endpoint_t endpoint = {0};
	stop_caller_t callers[CALLERS] = {0};
	fixture_t *f = fixture_new();
	bool gone = false;
	int served = 0;
	int refused = 0;

	fixture_add_endpoint(f, respond_late, &endpoint);
	fixture_wait_ready(f, 1);
	for (unsigned int i = 0; i < CALLERS; i++) {
		callers[i] = (stop_caller_t){
			.router = f, .number = i, .slow_body = i % 2, .gone = &gone};
		pthread_create(&callers[i].thread, NULL, send_until_gone, &callers[i]);
	}
	sleep_ms(SIGNAL_MS);
	assert_int_equal(fixture_stop(f), 0);
	__atomic_store_n(&gone, true, __ATOMIC_SEQ_CST);
	for (unsigned int i = 0; i < CALLERS; i++) {
		pthread_join(callers[i].thread, NULL);
		served += callers[i].served;
		refused += callers[i].refused;
		assert_int_equal(callers[i].unexpected, 0);
	}
	assert_true(served > 0);
	assert_true(refused > 0);
	assert_int_equal(served, __atomic_load_n(&endpoint.reached, __ATOMIC_SEQ_CST));
	fixture_delete(f);
}

/* --- requests that still run when the grace ends ------------------------------------------- */

#define LONG_ROUTES                                                                                \
	",{\"name\":\"batch\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/batch/\","               \
	"\"kind\":\"non_idempotent\",\"timeoutMs\":12000,\"maxAttempts\":2,\"service\":\"shop\"}," \
	"{\"name\":\"chat\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/chat/\","                  \
	"\"kind\":\"streaming\",\"timeoutMs\":12000,\"maxAttempts\":2,\"service\":\"shop\"},"      \
	"{\"name\":\"look\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/look/\","                  \
	"\"kind\":\"idempotent\",\"timeoutMs\":12000,\"maxAttempts\":2,\"service\":\"shop\"}"
#define HANG_MS 9000	/* longer than the grace */
#define ANSWER_MS 10000 /* for the answer at the end of the grace */

/* How far the endpoint's answer is when the grace ends; the request's target names it. */
static const char *const begun_answers[] = {
	"",
	"HTTP/1.1 200",
	"HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: begun\r\nContent-Length: 9\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: begun\r\nContent-Length: 9\r\n\r\nbo",
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER
	"Request-Id: begun\r\nContent-Type: text/event-stream\r\n"
	"Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: hello!\n\n\r\n",
};

static bool begin_answer_and_hang(void *ctx, int fd, const raw_request_t *request)
{
	const char *slash = strchr(strchr(request->head, '/') + 1, '/');

	raw_write(fd, begun_answers[strtoul(slash + 1, NULL, 10)]);
	sleep_ms(HANG_MS);
	return false;
}

typedef struct long_caller {
	fixture_t *router;
	pthread_t thread;
	const char *route;
	unsigned int answer; /* index of begun_answers */
	char *response;
} long_caller_t;

static void *ask_and_wait(void *ctx)
{
	long_caller_t *this = ctx;
	char *path = g_strdup_printf("/%s/%u", this->route, this->answer);
	char *text = fixture_format_request("POST", path, "begun", "Deadline-Ms: 12000\r\n", BODY);
	int fd = fixture_connect(this->router->caller_address);

	raw_write(fd, text);
	this->response = fixture_read_until(fd, NULL, ANSWER_MS);
	close(fd);
	g_free(text);
	g_free(path);
	return NULL;
}

static bool has_status(const char *response, const char *status)
{
	return g_str_has_prefix(response, "HTTP/1.1 ") && !strncmp(response + 9, status, 3);
}

static bool denies_run(const char *response)
{
	return has_status(response, "503") || has_status(response, "429") ||
	       has_status(response, "408") || has_status(response, "421");
}

/*
 * Guards against the end of a planned stop telling the callers of orders at work that they have
 * not run: they would send them again.  Requests that may be repeated are told when to.
 */
static void test_orders_at_work_when_the_grace_ends_are_not_reported_as_not_run(void **state)
{
	static const char *const routes[] = {"batch", "chat", "look"};
	long_caller_t callers[ARRAY_LEN(routes) * ARRAY_LEN(begun_answers)];
	fixture_t *f = fixture_new();

	for (unsigned int i = 0; i < 3; i++)
		fixture_add_endpoint(f, begin_answer_and_hang, NULL);
	fixture_wait_ready(f, 3);
	fixture_put_config(f, LONG_ROUTES);
	assert_true(fixture_wait_metric(f, "catalog_version", f->config_version));
	for (unsigned int i = 0; i < ARRAY_LEN(callers); i++) {
		callers[i] = (long_caller_t){.router = f,
			.route = routes[i / ARRAY_LEN(begun_answers)],
			.answer = i % ARRAY_LEN(begun_answers)};
		pthread_create(&callers[i].thread, NULL, ask_and_wait, &callers[i]);
	}
	assert_true(fixture_wait_metric(f, "endpoint_connections", ARRAY_LEN(callers)));
	sleep_ms(SIGNAL_MS);
	assert_int_equal(fixture_stop(f), ARRAY_LEN(callers));
	for (unsigned int i = 0; i < ARRAY_LEN(callers); i++) {
		const long_caller_t *caller = &callers[i];
		bool may_repeat = !strcmp(caller->route, "look");

		pthread_join(caller->thread, NULL);
		if (!may_repeat && denies_run(caller->response))
			fail_msg("/%s/, answer begun with \"%s\": %s", caller->route,
				begun_answers[caller->answer], caller->response);
		if (may_repeat)
			assert_true(has_status(caller->response, "503") &&
				    strstr(caller->response, "Retry-After: "));
		g_free(caller->response);
	}
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_order_is_cut_in_a_planned_stop),
		cmocka_unit_test(
			test_orders_at_work_when_the_grace_ends_are_not_reported_as_not_run),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
