/* reason - what a caller is told never denies a run that may have happened */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/reason.h"
#include "core/types.h"

static const run_state_t states[] = {RUN_NONE, RUN_REPEATABLE, RUN_ONCE};

/* Guards against a reason whose outcome says "not run" of a request that may have run. */
static void test_no_reason_denies_a_possible_run(void **state)
{
	for (int reason = 0; reason < REASON_COUNT; reason++) {
		for (unsigned int i = 0; i < ARRAY_LEN(states); i++) {
			const reason_info_t *info =
				reason_info(reason_checked((reason_t)reason, states[i]));

			if (states[i] != RUN_NONE && info->outcome == OUTCOME_NOT_RUN)
				fail_msg("%s in state %u becomes %s", reason_info(reason)->name,
					states[i], info->name);
		}
	}
}

/* Guards against a status that makes callers repeat a request that must not run twice. */
static void test_no_status_lets_a_request_that_runs_once_be_repeated(void **state)
{
	static const unsigned int promises[] = {408, 421, 429, 503};

	for (int reason = 0; reason < REASON_COUNT; reason++) {
		const reason_info_t *info = reason_info(reason_checked((reason_t)reason, RUN_ONCE));

		for (unsigned int i = 0; i < ARRAY_LEN(promises); i++) {
			if ((unsigned int)info->status == promises[i])
				fail_msg("%s becomes %s, %u", reason_info(reason)->name, info->name,
					promises[i]);
		}
	}
	for (unsigned int i = 0; i < ARRAY_LEN(promises); i++)
		assert_true(status_means_not_run(promises[i]));
	assert_false(status_means_not_run(200) || status_means_not_run(500) ||
		     status_means_not_run(502) || status_means_not_run(504));
}

static void test_reasons_that_say_enough_are_kept(void **state)
{
	for (int reason = 0; reason < REASON_COUNT; reason++) {
		const reason_info_t *info = reason_info((reason_t)reason);

		assert_int_equal(reason_checked((reason_t)reason, RUN_NONE), reason);
		if (info->outcome != OUTCOME_NOT_RUN)
			assert_int_equal(reason_checked((reason_t)reason, RUN_REPEATABLE), reason);
	}
	assert_int_equal(reason_checked(REASON_TIMEOUT, RUN_ONCE), REASON_TIMEOUT);
	assert_int_equal(reason_checked(REASON_CALLER_GONE, RUN_ONCE), REASON_CALLER_LEFT);
}

/* A caller that may repeat its request is told when; one that may not gets no such time. */
static void test_time_to_come_back_goes_with_requests_that_may_be_repeated(void **state)
{
	assert_int_equal(reason_checked(REASON_STOPPING, RUN_REPEATABLE), REASON_GAVE_UP);
	assert_true(reason_info(REASON_GAVE_UP)->retry_after);
	for (int reason = 0; reason < REASON_COUNT; reason++) {
		reason_t checked = reason_checked((reason_t)reason, RUN_ONCE);

		/* An order in progress is asked for again by its key, and does not run again. */
		if (checked != REASON_IN_PROGRESS)
			assert_false(reason_info(checked)->retry_after);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_reason_denies_a_possible_run),
		cmocka_unit_test(test_no_status_lets_a_request_that_runs_once_be_repeated),
		cmocka_unit_test(test_reasons_that_say_enough_are_kept),
		cmocka_unit_test(test_time_to_come_back_goes_with_requests_that_may_be_repeated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
