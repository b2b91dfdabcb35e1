/* warm_up - statements in any order, the pace within any second, values that can't be read */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/warm_up.h"

#define NOW (100 * USEC_PER_SEC)
#define PACE 12
#define COLD_TIME (3 * USEC_PER_SEC)
#define MS USEC_PER_MSEC

static warm_up_t make(void)
{
	warm_up_t warm_up;

	warm_up_init(&warm_up);
	warm_up_configure(&warm_up, PACE * RATE_PER_SECOND, COLD_TIME, NOW - USEC_PER_SEC);
	return warm_up;
}

static bool state(warm_up_t *warm_up, uint64_t left, instant_t stated_at)
{
	warm_up_statement_t statement = {WARM_UP_ROW, warm_up_deadline(left, stated_at), stated_at};

	return warm_up_observe(warm_up, &statement);
}

/* Starts as many as are allowed from `from` for `duration`; returns how many. */
static unsigned int start_all(warm_up_t *warm_up, instant_t from, uint64_t duration)
{
	unsigned int started = 0;

	for (instant_t now = from; now < from + duration; now += MS) {
		for (; started < 1000 && warm_up_allows(warm_up, now); started++)
			warm_up_count(warm_up, 1, now);
	}
	return started;
}

static void test_cold_endpoint_gets_its_pace_in_any_second(void **state_)
{
	warm_up_t warm_up = make();

	state(&warm_up, 60 * USEC_PER_SEC, NOW);
	for (unsigned int k = 0; k < 20; k++)
		assert_in_range(start_all(&warm_up, NOW + k * USEC_PER_SEC, USEC_PER_SEC), PACE - 1,
			PACE + 2);
}

/* A pause lets no more than a tenth of a second's starts come together. */
static void test_idle_cold_endpoint_gets_no_burst(void **state_)
{
	warm_up_t warm_up = make();

	state(&warm_up, 60 * USEC_PER_SEC, NOW);
	assert_in_range(start_all(&warm_up, NOW + 30 * USEC_PER_SEC, MS), 1, 3);
}

static void test_starts_of_the_last_second_count_when_it_turns_cold(void **state_)
{
	warm_up_t warm_up = make();

	for (unsigned int i = 0; i < 24; i++)
		warm_up_count(&warm_up, 1, NOW);
	state(&warm_up, 60 * USEC_PER_SEC, NOW + MS);
	assert_int_equal(start_all(&warm_up, NOW + MS, 990 * MS), 0);
	assert_in_range(start_all(&warm_up, NOW + 990 * MS, USEC_PER_SEC), PACE - 1, PACE + 2);
}

static void test_warm_endpoint_gets_any_number(void **state_)
{
	warm_up_t warm_up = make();

	assert_int_equal(start_all(&warm_up, NOW, MS), 1000);
	state(&warm_up, USEC_PER_SEC, NOW + MS);
	assert_true(warm_up_is_cold(&warm_up, NOW + 2 * MS));
	assert_false(warm_up_is_cold(&warm_up, NOW + MS + USEC_PER_SEC));
	assert_true(warm_up_allows(&warm_up, NOW + MS + USEC_PER_SEC));
}

static void test_service_without_a_pace_is_never_cold(void **state_)
{
	const uint32_t none[] = {0, RATE_NONE};

	for (unsigned int i = 0; i < ARRAY_LEN(none); i++) {
		warm_up_t warm_up = make();

		warm_up_configure(&warm_up, none[i], COLD_TIME, NOW);
		state(&warm_up, UINT64_MAX, NOW);
		assert_false(warm_up_is_cold(&warm_up, NOW));
		warm_up_unreached(&warm_up, NOW);
		warm_up_returned(&warm_up, NOW);
		assert_int_equal(start_all(&warm_up, NOW, MS), 1000);
		assert_int_equal(warm_up_starts_until(&warm_up, NOW, NOW), UINT32_MAX);
	}
}

/* All orders of three statements: the newest counts in the end. */
static void test_newest_statement_counts_in_any_order(void **state_)
{
	const unsigned int orders[][3] = {
		{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};
	const uint64_t left[] = {0, 5 * USEC_PER_SEC, 9 * USEC_PER_SEC};

	for (unsigned int newest = 0; newest < 3; newest++) {
		for (unsigned int i = 0; i < ARRAY_LEN(orders); i++) {
			warm_up_t warm_up = make();

			for (unsigned int k = 0; k < 3; k++) {
				unsigned int n = orders[i][k];

				state(&warm_up, left[(n + newest + 1) % 3], NOW + n * MS);
				state(&warm_up, left[(n + newest + 1) % 3], NOW + n * MS);
			}
			assert_int_equal(warm_up_is_cold(&warm_up, NOW + MS), left[newest] > 0);
			if (left[newest])
				assert_int_equal(
					warm_up_left(&warm_up, NOW + 2 * MS), left[newest]);
		}
	}
}

static void test_endpoint_that_was_away_is_cold_until_told_otherwise(void **state_)
{
	warm_up_t warm_up = make();

	state(&warm_up, 0, NOW);
	warm_up_unreached(&warm_up, NOW + MS);
	assert_false(warm_up_is_cold(&warm_up, NOW + MS));
	warm_up_unreached(&warm_up, NOW + 300 * MS);
	assert_true(warm_up_left(&warm_up, NOW + 300 * MS) == UINT64_MAX);
	warm_up_reached(&warm_up, NOW + 60 * USEC_PER_SEC);
	assert_true(warm_up_left(&warm_up, NOW + 60 * USEC_PER_SEC) == COLD_TIME);
	assert_false(state(&warm_up, 0, NOW + MS));
	assert_true(state(&warm_up, 0, NOW + 61 * USEC_PER_SEC));
	assert_false(warm_up_is_cold(&warm_up, NOW + 61 * USEC_PER_SEC));
	warm_up_reached(&warm_up, NOW + 62 * USEC_PER_SEC);
	assert_false(warm_up_is_cold(&warm_up, NOW + 62 * USEC_PER_SEC));
}

static void test_single_failure_says_that_it_was_away_only_if_nothing_else_arrived(void **state_)
{
	warm_up_t warm_up = make();

	state(&warm_up, 0, NOW);
	warm_up_unreached(&warm_up, NOW + MS);
	warm_up_unreached(&warm_up, NOW + 2 * MS);
	warm_up_reached(&warm_up, NOW + 20 * MS);
	assert_false(warm_up_is_cold(&warm_up, NOW + 20 * MS));
	warm_up_unreached(&warm_up, NOW + 30 * MS);
	warm_up_reached(&warm_up, NOW + 5 * USEC_PER_SEC);
	assert_true(warm_up_is_cold(&warm_up, NOW + 5 * USEC_PER_SEC));
}

/* An end that is not known must not become a near one. */
static void test_return_does_not_shorten_the_cold_time(void **state_)
{
	warm_up_t warm_up = make();

	state(&warm_up, UINT64_MAX, NOW);
	warm_up_returned(&warm_up, NOW + MS);
	assert_true(warm_up_left(&warm_up, NOW + MS) == UINT64_MAX);
	state(&warm_up, 0, NOW + 2 * MS);
	assert_false(warm_up_is_cold(&warm_up, NOW + 2 * MS));
}

static void test_new_owner_takes_the_last_second_for_used(void **state_)
{
	warm_up_t warm_up = make();

	state(&warm_up, 60 * USEC_PER_SEC, NOW);
	warm_up_assume_used(&warm_up, NOW);
	assert_int_equal(start_all(&warm_up, NOW, USEC_PER_SEC - MS), 0);
	assert_in_range(start_all(&warm_up, NOW + USEC_PER_SEC, USEC_PER_SEC), PACE - 1, PACE + 2);
}

/* Routers that are cut off from all owners at the same moment, each with its part of the pace. */
static void test_many_senders_with_small_shares_keep_to_the_pace_together(void **state_)
{
	const unsigned int senders = 85;
	const double share = 0.5 / senders;
	unsigned int started = 0;

	for (unsigned int i = 0; i < senders; i++) {
		warm_up_t warm_up = make();

		state(&warm_up, 60 * USEC_PER_SEC, NOW);
		warm_up_spread(&warm_up, share, (double)i / senders, NOW);
		for (instant_t now = NOW; now < NOW + 10 * USEC_PER_SEC; now += MS) {
			if (!warm_up_allows(&warm_up, now))
				continue;
			warm_up_count(&warm_up, share, now);
			started++;
		}
	}
	assert_in_range(started, 5 * PACE - 5, 5 * PACE + 5);
}

static void test_own_time_is_from_the_start_or_the_first_sight(void **state_)
{
	assert_true(warm_up_own_time(USEC_PER_SEC, true, COLD_TIME, NOW) ==
		    NOW + COLD_TIME - USEC_PER_SEC);
	assert_true(warm_up_own_time(USEC_PER_SEC, false, COLD_TIME, NOW) ==
		    NOW + COLD_TIME - USEC_PER_SEC);
	assert_true(warm_up_own_time(COLD_TIME, true, COLD_TIME, NOW) == 0);
	assert_true(warm_up_own_time(UINT64_MAX, true, COLD_TIME, NOW) == NOW + COLD_TIME);
	/* It was there before this router: it has run for long, as far as is known. */
	assert_true(warm_up_own_time(UINT64_MAX, false, COLD_TIME, NOW) == 0);
	assert_true(warm_up_own_time(UINT64_MAX, true, 0, NOW) == 0);
}

static void test_milliseconds_are_parsed(void **state_)
{
	const char *const malformed[] = {
		"", ".", "-1", "soon", "1e3", "0x10", " 5", "5 ", "1.2.3", "nan", "inf", "5,0"};
	uint64_t left = 7;

	for (unsigned int i = 0; i < ARRAY_LEN(malformed); i++)
		assert_false(warm_up_parse_ms(malformed[i], &left));
	assert_int_equal(left, 7);
	assert_true(warm_up_parse_ms("0", &left) && left == 0);
	assert_true(warm_up_parse_ms("2900", &left) && left == 2900 * MS);
	/* What is left of a millisecond still counts. */
	assert_true(warm_up_parse_ms("0.0001", &left) && left == 1);
	assert_true(warm_up_parse_ms("99999999999999999999999999", &left) && left == UINT64_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cold_endpoint_gets_its_pace_in_any_second),
		cmocka_unit_test(test_idle_cold_endpoint_gets_no_burst),
		cmocka_unit_test(test_starts_of_the_last_second_count_when_it_turns_cold),
		cmocka_unit_test(test_warm_endpoint_gets_any_number),
		cmocka_unit_test(test_service_without_a_pace_is_never_cold),
		cmocka_unit_test(test_newest_statement_counts_in_any_order),
		cmocka_unit_test(test_endpoint_that_was_away_is_cold_until_told_otherwise),
		cmocka_unit_test(
			test_single_failure_says_that_it_was_away_only_if_nothing_else_arrived),
		cmocka_unit_test(test_return_does_not_shorten_the_cold_time),
		cmocka_unit_test(test_new_owner_takes_the_last_second_for_used),
		cmocka_unit_test(test_many_senders_with_small_shares_keep_to_the_pace_together),
		cmocka_unit_test(test_own_time_is_from_the_start_or_the_first_sight),
		cmocka_unit_test(test_milliseconds_are_parsed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
