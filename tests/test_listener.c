/* listener - how many callers one turn of the loop accepts */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <unistd.h>

#include "gateway/listener.h"
#include "tests/gateway_fixture.h"

#define CALLERS 200
#define MAX_IN_ONE_TURN 64
#define FIRST_PORT 19000
#define PORTS 500

static const catalog_limits_t limits = {.header_timeout_ms = 60000, .idle_timeout_ms = 60000};

static const catalog_limits_t *get_limits(void *ctx)
{
	return &limits;
}

static void ignore_accepted(void *ctx, uint64_t time_taken)
{
}

/* Listens on a free port and writes the address to `address`. */
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
	listener_t *listener = NULL;

	for (unsigned int i = 0; i < PORTS && !listener; i++) {
		g_snprintf(address, size, "127.0.0.1:%u", FIRST_PORT + i);
		listener = listener_new(&options);
	}
	assert_non_null(listener);
	return listener;
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_turn_accepts_a_bounded_number_of_callers),
		cmocka_unit_test(test_callers_above_a_lower_bound_are_closed_as_others_connect),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
