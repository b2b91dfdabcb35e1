/* rate_limit - limits that rise, fall and end, answers out of order, malformed ones; time is given
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/rate_limit.h"

#define START (100 * USEC_PER_SEC)
#define STEP (1 * USEC_PER_MSEC)
#define PER_SECOND 1000U /* in units of a rate */

/* Starts whatever the limit allows from `from` on; returns the number of starts. */
static unsigned int run(rate_limit_t *limit, double share, instant_t from, uint64_t duration)
{
	unsigned int count = 0;

	for (instant_t now = from; now < from + duration; now += STEP) {
		while (rate_limit_allows(limit, now) && count < 1000000) {
			rate_limit_count(limit, share, now);
			count++;
		}
	}
	return count;
}

static void test_starts_keep_to_the_rate(void **state)
{
	static const uint32_t rates[] = {300, 1000, 9400, 50000, 700000};

	for (unsigned int i = 0; i < ARRAY_LEN(rates); i++) {
		rate_limit_t limit;
		unsigned int expected = rates[i] * 20 / PER_SECOND;

		rate_limit_init(&limit);
		rate_limit_set(&limit, rates[i], START);
		assert_in_range(run(&limit, 1, START, 20 * USEC_PER_SEC),
			expected - expected / 50 - 1, expected + 1);
	}
}

/* A router that has just restarted learns the limit, and must not start with a burst. */
static void test_new_limit_allows_no_burst(void **state)
{
	rate_limit_t limit;

	rate_limit_init(&limit);
	rate_limit_set(&limit, 10 * PER_SECOND, START);
	assert_int_equal(run(&limit, 1, START, 50 * USEC_PER_MSEC), 0);
}

static void test_burst_after_idleness_is_a_tenth_of_a_second(void **state)
{
	rate_limit_t limit;

	rate_limit_init(&limit);
	rate_limit_set(&limit, 100 * PER_SECOND, START);
	assert_in_range(run(&limit, 1, START + 60 * USEC_PER_SEC, STEP), 10, 11);
}

static void test_share_divides_the_rate(void **state)
{
	rate_limit_t limit;

	rate_limit_init(&limit);
	rate_limit_set(&limit, 40 * PER_SECOND, START);
	assert_in_range(run(&limit, 0.25, START, 10 * USEC_PER_SEC), 97, 102);
}

/* An endpoint that takes none is asked now and then, as it tells of a change only when asked. */
static void test_limit_of_zero_leaves_a_request_now_and_then(void **state)
{
	rate_limit_t limit;

	rate_limit_init(&limit);
	rate_limit_set(&limit, 0, START);
	assert_in_range(run(&limit, 1, START, 20 * USEC_PER_SEC), 3, 4);
}

static void test_raised_limit_does_not_wait_for_the_old_interval(void **state)
{
	rate_limit_t limit;

	rate_limit_init(&limit);
	rate_limit_set(&limit, 0, START);
	assert_true(rate_limit_observe(
		&limit, 50 * PER_SECOND, START + USEC_PER_SEC, START + USEC_PER_SEC));
	assert_in_range(run(&limit, 1, START + USEC_PER_SEC, USEC_PER_SEC), 47, 52);
}

static void test_no_limit_allows_everything(void **state)
{
	rate_limit_t limit;

	rate_limit_init(&limit);
	assert_int_equal(run(&limit, 1, START, STEP), 1000000);
	rate_limit_set(&limit, PER_SECOND, START);
	rate_limit_set(&limit, RATE_NONE, START + STEP);
	assert_true(rate_limit_allows(&limit, START + STEP));
}

/* A response that an old connection still brings may have been made before the newest one. */
static void test_older_response_can_lower_the_limit_but_not_raise_or_end_it(void **state)
{
	rate_limit_t limit;

	rate_limit_init(&limit);
	assert_true(rate_limit_observe(&limit, 10 * PER_SECOND, START - 100, START));
	assert_false(rate_limit_observe(&limit, 20 * PER_SECOND, START - 50, START + 50));
	assert_false(rate_limit_observe(&limit, RATE_NONE, START - 50, START + 50));
	assert_int_equal(limit.rate, 10 * PER_SECOND);
	assert_true(rate_limit_observe(&limit, 5 * PER_SECOND, START - 50, START + 60));
	assert_int_equal(limit.rate, 5 * PER_SECOND);
}

/* Responses that repeat the limit must not make those that follow look older than it. */
static void test_newer_response_raises_and_ends_the_limit(void **state)
{
	rate_limit_t limit;

	rate_limit_init(&limit);
	rate_limit_observe(&limit, 10 * PER_SECOND, START - 100, START);
	assert_false(rate_limit_observe(&limit, 10 * PER_SECOND, START + 10, START + 1000));
	assert_true(rate_limit_observe(&limit, 20 * PER_SECOND, START + 20, START + 1010));
	assert_int_equal(limit.rate, 20 * PER_SECOND);
	assert_true(rate_limit_observe(&limit, RATE_NONE, START + 1020, START + 2000));
	assert_int_equal(limit.rate, RATE_NONE);
}

static void test_decimal_numbers_are_parsed(void **state)
{
	uint32_t rate = 0;

	assert_true(rate_limit_parse("9.4", &rate));
	assert_int_equal(rate, 9400);
	assert_true(rate_limit_parse("0", &rate));
	assert_int_equal(rate, 0);
	assert_true(rate_limit_parse("120", &rate));
	assert_int_equal(rate, 120 * PER_SECOND);
	assert_true(rate_limit_parse("99999999999999999999999", &rate));
	assert_int_equal(rate, RATE_MAX);
}

static void test_malformed_limits_are_rejected(void **state)
{
	static const char *const texts[] = {"", " ", ".", "-1", "+5", "1e3", "0x10", "nan", "inf",
		"1,5", "1.2.3", "5/s", "5 6"};
	uint32_t rate = 7;

	for (unsigned int i = 0; i < ARRAY_LEN(texts); i++)
		assert_false(rate_limit_parse(texts[i], &rate));
	assert_int_equal(rate, 7);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_starts_keep_to_the_rate),
		cmocka_unit_test(test_new_limit_allows_no_burst),
		cmocka_unit_test(test_burst_after_idleness_is_a_tenth_of_a_second),
		cmocka_unit_test(test_share_divides_the_rate),
		cmocka_unit_test(test_limit_of_zero_leaves_a_request_now_and_then),
		cmocka_unit_test(test_raised_limit_does_not_wait_for_the_old_interval),
		cmocka_unit_test(test_no_limit_allows_everything),
		cmocka_unit_test(test_older_response_can_lower_the_limit_but_not_raise_or_end_it),
		cmocka_unit_test(test_newer_response_raises_and_ends_the_limit),
		cmocka_unit_test(test_decimal_numbers_are_parsed),
		cmocka_unit_test(test_malformed_limits_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
