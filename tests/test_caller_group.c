/* caller_group - which caller times out next, and which one makes room; time is given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gateway/caller_group.h"

#define SECOND USEC_PER_SEC
#define CALLERS 1000

static const catalog_limits_t limits = {
	.header_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

static const catalog_limits_t *get_limits(void *ctx)
{
	return &limits;
}

static caller_wait_t waits[CALLERS];

static caller_group_t new_group(void)
{
	return (caller_group_t){.limits = get_limits, .max_callers = CALLERS};
}

/* All callers are idle, one more after each second. */
static void fill_group(caller_group_t *group)
{
	caller_group_init(group);
	for (unsigned int i = 0; i < CALLERS; i++) {
		waits[i].kind = CALLER_WAIT_NONE;
		caller_group_set_wait(group, &waits[i], CALLER_WAIT_IDLE, i * SECOND);
	}
}

static void test_longest_idle_makes_room_and_is_found_at_once(void **state)
{
	caller_group_t group = new_group();

	fill_group(&group);
	assert_ptr_equal(caller_group_least_needed(&group), &waits[0]);
	caller_group_set_wait(&group, &waits[0], CALLER_WAIT_IDLE, CALLERS * SECOND);
	assert_ptr_equal(caller_group_least_needed(&group), &waits[1]);
	caller_group_set_wait(&group, &waits[1], CALLER_WAIT_NONE, CALLERS * SECOND);
	assert_ptr_equal(caller_group_least_needed(&group), &waits[2]);
	assert_int_equal(group.examined, 3);
}

static void test_closing_caller_makes_room_before_idle_ones(void **state)
{
	caller_group_t group = new_group();

	fill_group(&group);
	caller_group_set_wait(&group, &waits[7], CALLER_WAIT_CLOSE, CALLERS * SECOND);
	assert_ptr_equal(caller_group_least_needed(&group), &waits[7]);
}

static void test_callers_with_requests_make_no_room(void **state)
{
	caller_group_t group = new_group();

	caller_group_init(&group);
	for (unsigned int i = 0; i < 3; i++)
		waits[i].kind = CALLER_WAIT_NONE;
	caller_group_set_wait(&group, &waits[0], CALLER_WAIT_HEAD, 0);
	caller_group_set_wait(&group, &waits[1], CALLER_WAIT_BODY, 0);
	caller_group_set_wait(&group, &waits[2], CALLER_WAIT_NONE, 0);
	assert_null(caller_group_least_needed(&group));
}

static void test_each_wait_has_its_own_timeout(void **state)
{
	static const struct {
		caller_wait_kind_t kind;
		uint64_t timeout;
	} cases[] = {
		{CALLER_WAIT_IDLE, 15 * SECOND},
		{CALLER_WAIT_HEAD, 3 * SECOND},
		{CALLER_WAIT_BODY, 15 * SECOND},
		{CALLER_WAIT_CLOSE, 2 * SECOND},
	};

	for (size_t i = 0; i < ARRAY_LEN(cases); i++) {
		caller_group_t group = new_group();
		caller_wait_t wait = {.kind = CALLER_WAIT_NONE};

		caller_group_init(&group);
		caller_group_set_wait(&group, &wait, cases[i].kind, SECOND);
		assert_null(caller_group_next_expired(&group, SECOND + cases[i].timeout - 1));
		assert_ptr_equal(
			caller_group_next_expired(&group, SECOND + cases[i].timeout), &wait);
	}
}

static void test_wait_for_body_begins_anew_with_each_piece(void **state)
{
	caller_group_t group = new_group();
	caller_wait_t wait = {.kind = CALLER_WAIT_NONE};

	caller_group_init(&group);
	caller_group_set_wait(&group, &wait, CALLER_WAIT_BODY, 0);
	caller_group_set_wait(&group, &wait, CALLER_WAIT_BODY, 10 * SECOND);
	assert_null(caller_group_next_expired(&group, 24 * SECOND));
	assert_ptr_equal(caller_group_next_expired(&group, 25 * SECOND), &wait);
}

static void test_draining_closes_idle_callers_only(void **state)
{
	caller_group_t group = new_group();
	caller_wait_t idle = {.kind = CALLER_WAIT_NONE};
	caller_wait_t head = {.kind = CALLER_WAIT_NONE};

	caller_group_init(&group);
	caller_group_set_wait(&group, &idle, CALLER_WAIT_IDLE, 0);
	caller_group_set_wait(&group, &head, CALLER_WAIT_HEAD, 0);
	group.draining = true;
	group.close_idle_from = SECOND;
	assert_null(caller_group_next_expired(&group, SECOND - 1));
	assert_ptr_equal(caller_group_next_expired(&group, SECOND), &idle);
	caller_group_set_wait(&group, &idle, CALLER_WAIT_NONE, SECOND);
	assert_null(caller_group_next_expired(&group, SECOND));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_idle_makes_room_and_is_found_at_once),
		cmocka_unit_test(test_closing_caller_makes_room_before_idle_ones),
		cmocka_unit_test(test_callers_with_requests_make_no_room),
		cmocka_unit_test(test_each_wait_has_its_own_timeout),
		cmocka_unit_test(test_wait_for_body_begins_anew_with_each_piece),
		cmocka_unit_test(test_draining_closes_idle_callers_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
