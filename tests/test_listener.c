/* listener - how many callers one turn of the loop accepts, and which are closed */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "gateway/listener.h"
#include "tests/gateway_fixture.h"

#define CALLERS 200
#define MAX_IN_ONE_TURN 64
#define FIRST_PORT 19000
#define PORTS 500

static const catalog_limits_t limits = {
	.header_bytes = 4096, .header_timeout_ms = 60000, .idle_timeout_ms = 60000};

static const catalog_limits_t *get_limits(void *ctx)
{
	return &limits;
}

static void ignore_accepted(void *ctx, uint64_t time_taken)
{
}

/* Listens on a free port and writes the address to `address`, the one in the options. */
static listener_t *new_listener_with(const listener_options_t *options, char *address, size_t size)
{
	listener_t *listener = NULL;

	for (unsigned int i = 0; i < PORTS && !listener; i++) {
		g_snprintf(address, size, "127.0.0.1:%u", FIRST_PORT + i);
		listener = listener_new(options);
	}
	assert_non_null(listener);
	return listener;
}

static listener_t *new_listener(uv_loop_t *loop, char *address, size_t size)
{
	static const caller_ops_t ops;
	listener_options_t options = {
		.loop = loop,
		.address = address,
		.ops = &ops,
		.limits = get_limits,
		.on_accepted = ignore_accepted,
		.max_callers = 2 * CALLERS,
	};

	return new_listener_with(&options, address, size);
}

/* Calls in progress would wait while a flood of connections is accepted. */
static void test_one_turn_accepts_a_bounded_number_of_callers(void **state)
{
	uv_loop_t loop;
	char address[32];
	listener_t *listener;
	int callers[CALLERS];
	unsigned int before = 0;

	uv_loop_init(&loop);
	listener = new_listener(&loop, address, sizeof(address));
	for (unsigned int i = 0; i < CALLERS; i++)
		callers[i] = fixture_connect(address);
	for (unsigned int turn = 0; listener_caller_count(listener) < CALLERS; turn++) {
		assert_true(turn <= CALLERS);
		listener_begin_turn(listener);
		uv_run(&loop, UV_RUN_NOWAIT);
		assert_true(listener_caller_count(listener) - before <= MAX_IN_ONE_TURN);
		before = listener_caller_count(listener);
	}
	for (unsigned int i = 0; i < CALLERS; i++)
		close(callers[i]);
	listener_delete(listener);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

static void run_turns(uv_loop_t *loop, listener_t *listener, unsigned int turns)
{
	while (turns--) {
		listener_begin_turn(listener);
		uv_run(loop, UV_RUN_NOWAIT);
	}
}

/* The bound falls while connections to endpoints are open: descriptors must not run out. */
static void test_callers_above_a_lower_bound_are_closed_as_others_connect(void **state)
{
	uv_loop_t loop;
	char address[32];
	listener_t *listener;
	int callers[2 * CALLERS];

	uv_loop_init(&loop);
	listener = new_listener(&loop, address, sizeof(address));
	for (unsigned int i = 0; i < CALLERS; i++)
		callers[i] = fixture_connect(address);
	run_turns(&loop, listener, CALLERS);
	assert_int_equal(listener_caller_count(listener), CALLERS);
	listener_set_max_callers(listener, CALLERS / 2);
	for (unsigned int i = CALLERS; i < 2 * CALLERS; i++)
		callers[i] = fixture_connect(address);
	run_turns(&loop, listener, 2 * CALLERS);
	assert_int_equal(listener_caller_count(listener), CALLERS / 2);
	for (unsigned int i = 0; i < 2 * CALLERS; i++)
		close(callers[i]);
	listener_delete(listener);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

#define LARGE_BODY (8U << 20) /* more than the sockets take */
#define POOL_LIMIT (1U << 20)
#define READERS 3

typedef struct responses {
	char *large;
	unsigned int done;
} responses_t;

/* A request for /large gets a large response, any other one a small one. */
static void respond(void *ctx, caller_t *caller, const caller_request_t *request)
{
	responses_t *this = ctx;

	if (strcmp(request->target->str, "/large"))
		caller_send_response(caller, 200, "", "small", 5);
	else
		caller_send_response(caller, 200, "", this->large, LARGE_BODY);
	this->done++;
}

static void ignore_event(void *exchange)
{
}

static int request_from(const char *address, const char *path)
{
	char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
	int fd = fixture_connect(address);

	raw_write(fd, text);
	g_free(text);
	return fd;
}

/*
 * Guards against responses that callers do not read and that fill the memory: the connection of
 * the caller with most unread is closed, also after its response is complete.
 */
static void test_caller_that_does_not_read_is_closed_when_memory_is_short(void **state)
{
	static const caller_ops_t ops = {respond, ignore_event, ignore_event};
	responses_t responses = {.large = g_strnfill(LARGE_BODY, 'x')};
	buffer_pool_t pool;
	uv_loop_t loop;
	char address[32];
	listener_options_t options = {
		.loop = &loop,
		.address = address,
		.ops = &ops,
		.ctx = &responses,
		.limits = get_limits,
		.on_accepted = ignore_accepted,
		.max_callers = 2 * CALLERS,
		.buffers = &pool,
	};
	listener_t *listener;
	int fds[READERS + 1];

	buffer_pool_init(&pool, POOL_LIMIT);
	uv_loop_init(&loop);
	listener = new_listener_with(&options, address, sizeof(address));
	fds[READERS] = request_from(address, "/large");
	for (unsigned int i = 0; i < READERS; i++)
		fds[i] = request_from(address, "/small");
	while (responses.done <= READERS)
		run_turns(&loop, listener, 1);
	assert_true(pool.held > POOL_LIMIT);
	assert_int_equal(buffer_pool_reclaim(&pool), 1);
	assert_int_equal(pool.held, 0);
	run_turns(&loop, listener, 4);
	assert_int_equal(listener_callers_reclaimed(listener), 1);
	assert_int_equal(listener_caller_count(listener), READERS);
	for (unsigned int i = 0; i <= READERS; i++)
		close(fds[i]);
	listener_delete(listener);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	g_free(responses.large);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_turn_accepts_a_bounded_number_of_callers),
		cmocka_unit_test(test_callers_above_a_lower_bound_are_closed_as_others_connect),
		cmocka_unit_test(test_caller_that_does_not_read_is_closed_when_memory_is_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
