/* overload - when a router asks for a pause from new connections; time is given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/overload.h"

#define STEP (100 * USEC_PER_MSEC)
#define START (100 * USEC_PER_SEC)

typedef struct router {
	overload_t overload;
	instant_t now;
} router_t;

static router_t new_router(void)
{
	router_t router = {.now = START};

	overload_init(&router.overload, router.now);
	return router;
}

/* Runs for `ms` with the given percentage of busy time; returns how long it was paused, in ms. */
static unsigned int run(router_t *this, unsigned int ms, unsigned int busy_percent)
{
	unsigned int paused = 0;

	for (unsigned int t = 0; t < ms; t += STEP / USEC_PER_MSEC) {
		this->now += STEP;
		overload_record(&this->overload, STEP * busy_percent / 100, this->now);
		if (overload_is_paused(&this->overload, this->now))
			paused += STEP / USEC_PER_MSEC;
	}
	return paused;
}

static void test_saturated_router_is_paused_within_a_second_and_a_half(void **state)
{
	router_t router = new_router();

	assert_int_equal(run(&router, 10000, 50), 0);
	run(&router, 1500, 100);
	assert_true(overload_is_paused(&router.overload, router.now));
}

static void test_busy_router_with_time_left_is_not_paused(void **state)
{
	router_t router = new_router();

	assert_int_equal(run(&router, 60000, 80), 0);
}

static void test_short_peak_causes_no_pause(void **state)
{
	router_t router = new_router();

	run(&router, 10000, 10);
	for (unsigned int i = 0; i < 20; i++) {
		assert_int_equal(run(&router, 400, 100), 0);
		assert_int_equal(run(&router, 600, 10), 0);
	}
}

static void test_starting_router_is_not_paused(void **state)
{
	router_t router = new_router();

	assert_int_equal(run(&router, 4000, 100), 0);
	assert_int_equal(run(&router, 20000, 10), 0);
}

/* Where all routers are overloaded, pauses would take away those that can serve. */
static void test_overloaded_router_takes_connections_a_third_of_the_time(void **state)
{
	router_t router = new_router();

	run(&router, 10000, 10);
	assert_true(run(&router, 90000, 100) <= 60000 + 1000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_saturated_router_is_paused_within_a_second_and_a_half),
		cmocka_unit_test(test_busy_router_with_time_left_is_not_paused),
		cmocka_unit_test(test_short_peak_causes_no_pause),
		cmocka_unit_test(test_starting_router_is_not_paused),
		cmocka_unit_test(test_overloaded_router_takes_connections_a_third_of_the_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
