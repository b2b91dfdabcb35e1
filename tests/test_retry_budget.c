/* retry_budget - what a fleet of routers may send once more, together */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gateway/retry_budget.h"

#define ROUTERS 62
#define ALLOWANCE 164
#define WINDOW (10 * USEC_PER_SEC)

static unsigned int take_all(retry_budget_t *this, instant_t now)
{
	unsigned int taken = 0;

	while (retry_budget_take(this, now))
		taken++;
	return taken;
}

static void test_fleet_keeps_to_the_allowance(void **state)
{
	retry_budget_options_t options = {.allowance = ALLOWANCE, .routers = 8, .window = WINDOW};
	unsigned int taken = 0;

	options.routers = ROUTERS; /* the roster has been read */
	for (unsigned int i = 0; i < ROUTERS; i++) {
		retry_budget_t budget;

		retry_budget_init(&budget, &options);
		taken += take_all(&budget, WINDOW);
	}
	assert_in_range(taken, 1, ALLOWANCE);
}

static void test_requests_earn_their_share(void **state)
{
	retry_budget_options_t options = {
		.ratio = 0.2, .allowance = 8, .routers = 4, .window = WINDOW};
	retry_budget_t budget;

	retry_budget_init(&budget, &options);
	assert_int_equal(take_all(&budget, WINDOW), 2);
	for (unsigned int i = 0; i < 50; i++)
		retry_budget_request(&budget, WINDOW + i);
	assert_int_equal(take_all(&budget, WINDOW + USEC_PER_SEC), 10);
	assert_int_equal(take_all(&budget, WINDOW + 2 * USEC_PER_SEC), 0);
}

static void test_window_slides(void **state)
{
	retry_budget_options_t options = {.allowance = 3, .routers = 1, .window = WINDOW};
	retry_budget_t budget;

	retry_budget_init(&budget, &options);
	assert_int_equal(take_all(&budget, WINDOW), 3);
	assert_int_equal(take_all(&budget, WINDOW + WINDOW / 2), 0);
	assert_int_equal(take_all(&budget, 2 * WINDOW + WINDOW / 10), 3);
	/* After a long silence nothing of before counts. */
	assert_int_equal(take_all(&budget, 90 * WINDOW), 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fleet_keeps_to_the_allowance),
		cmocka_unit_test(test_requests_earn_their_share),
		cmocka_unit_test(test_window_slides),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
