/* retry_budget - the limit on retries of one router and of a fleet */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gateway/retry_budget.h"

#define ROUTERS 62
#define ALLOWANCE 164
#define WINDOW (10 * USEC_PER_SEC)

static unsigned int spend_all(retry_budget_t *this, instant_t now)
{
	unsigned int spent = 0;

	while (retry_budget_take(this, now))
		spent++;
	return spent;
}

/*
 * The settings give an expected number of routers.  If the budgets were divided by this number
 * in a larger fleet, all routers together would exceed the fleet's allowance.
 */
static void test_budgets_of_all_routers_stay_within_fleet_allowance(void **state)
{
	retry_budget_options_t options = {.allowance = ALLOWANCE, .routers = 8, .window = WINDOW};
	unsigned int spent = 0;

	options.routers = ROUTERS; /* as after reading the roster: more than the 8 expected */
	for (unsigned int i = 0; i < ROUTERS; i++) {
		retry_budget_t budget;

		retry_budget_init(&budget, &options);
		spent += spend_all(&budget, WINDOW);
	}
	assert_in_range(spent, 1, ALLOWANCE);
}

static void test_budget_is_allowance_share_plus_ratio_of_requests(void **state)
{
	retry_budget_options_t options = {
		.ratio = 0.2, .allowance = 8, .routers = 4, .window = WINDOW};
	retry_budget_t budget;

	retry_budget_init(&budget, &options);
	assert_int_equal(spend_all(&budget, WINDOW), 2);
	for (unsigned int i = 0; i < 50; i++)
		retry_budget_request(&budget, WINDOW + i);
	assert_int_equal(spend_all(&budget, WINDOW + USEC_PER_SEC), 10);
	assert_int_equal(spend_all(&budget, WINDOW + 2 * USEC_PER_SEC), 0);
}

static void test_retries_outside_window_are_not_counted(void **state)
{
	retry_budget_options_t options = {.allowance = 3, .routers = 1, .window = WINDOW};
	retry_budget_t budget;

	retry_budget_init(&budget, &options);
	assert_int_equal(spend_all(&budget, WINDOW), 3);
	assert_int_equal(spend_all(&budget, WINDOW + WINDOW / 2), 0);
	assert_int_equal(spend_all(&budget, 2 * WINDOW + WINDOW / 10), 3);
	/* After a gap of many windows, no earlier retry counts. */
	assert_int_equal(spend_all(&budget, 90 * WINDOW), 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_budgets_of_all_routers_stay_within_fleet_allowance),
		cmocka_unit_test(test_budget_is_allowance_share_plus_ratio_of_requests),
		cmocka_unit_test(test_retries_outside_window_are_not_counted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
