/* backlog - how many requests of a workspace may wait at a router; time is given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/backlog.h"

#define MANY 1000

static backlog_entry_t entries[MANY];

static void add_many(backlog_t *this, unsigned int count, instant_t now)
{
	for (unsigned int i = 0; i < count; i++) {
		entries[i] = (backlog_entry_t){0};
		backlog_add(this, &entries[i], now);
	}
}

/* Requests that arrive at once may find free slots: they are not refused before owners can reply.
 */
static void test_burst_is_admitted_until_the_owners_could_have_replied(void **state)
{
	backlog_t backlog;
	instant_t now = USEC_PER_SEC;

	backlog = (backlog_t){0};
	backlog_init(&backlog, 1, 2);
	add_many(&backlog, MANY, now);
	assert_true(backlog_admits(&backlog, now + BACKLOG_MIN_WAIT - 1));
	assert_false(backlog_admits(&backlog, now + BACKLOG_MIN_WAIT));
}

static void test_few_waiting_requests_are_always_admitted(void **state)
{
	backlog_t backlog = {0};
	instant_t now = USEC_PER_SEC;

	backlog_init(&backlog, 1, 2);
	add_many(&backlog, BACKLOG_MIN_BOUND, now);
	backlog_remove(&entries[0]);
	assert_true(backlog_admits(&backlog, now + 60 * USEC_PER_SEC));
}

/* Returns the bound after the owners decided on `count` requests while many wait. */
static double bound_after(unsigned int count, unsigned int refused_percent)
{
	backlog_t backlog = {0};
	instant_t now = USEC_PER_SEC;

	backlog_init(&backlog, 1, 2);
	add_many(&backlog, MANY, now);
	for (unsigned int i = 0; i < count; i++) {
		now += USEC_PER_MSEC;
		if (i % 100 < refused_percent)
			backlog_record_refusal(&backlog);
		else
			backlog_record_grant(&backlog, now);
	}
	return backlog.bound;
}

static void test_bound_grows_while_owners_grant_and_shrinks_when_they_refuse(void **state)
{
	assert_true(bound_after(1000, 0) > 200);
	assert_true(bound_after(1000, 10) > 100);
	assert_true(bound_after(1000, 50) < 2 * BACKLOG_MIN_BOUND);
}

/* A refusal by one owner does not say that the others have no free slots. */
static void test_bound_covers_what_is_granted_in_a_short_time(void **state)
{
	backlog_t backlog = {0};
	instant_t now = USEC_PER_SEC;

	backlog_init(&backlog, 1, 2);
	for (unsigned int i = 0; i < 4000; i++) {
		now += USEC_PER_MSEC;
		backlog_record_grant(&backlog, now);
		backlog_record_refusal(&backlog);
	}
	add_many(&backlog, BACKLOG_MIN_TIME / USEC_PER_MSEC - 10, now);
	now += BACKLOG_MIN_WAIT;
	assert_true(backlog_admits(&backlog, now));
	for (unsigned int i = 0; i < 20; i++) {
		entries[MANY - 1 - i] = (backlog_entry_t){0};
		backlog_add(&backlog, &entries[MANY - 1 - i], now);
	}
	assert_false(backlog_admits(&backlog, now));
}

/* A quiet workspace must not collect a bound that lets a later flood through. */
static void test_bound_that_is_not_reached_does_not_grow(void **state)
{
	backlog_t backlog = {0};
	instant_t now = USEC_PER_SEC;

	backlog_init(&backlog, 1, 2);
	add_many(&backlog, BACKLOG_MIN_BOUND / 2 - 1, now);
	for (unsigned int i = 0; i < 10000; i++)
		backlog_record_grant(&backlog, now + i * USEC_PER_MSEC);
	assert_true(backlog.bound <= BACKLOG_MIN_BOUND);
}

static void test_removing_twice_counts_once(void **state)
{
	backlog_t backlog = {0};

	backlog_init(&backlog, 1, 2);
	add_many(&backlog, 3, 0);
	backlog_add(&backlog, &entries[1], 0);
	backlog_remove(&entries[1]);
	backlog_remove(&entries[1]);
	assert_int_equal(backlog.waiting, 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_burst_is_admitted_until_the_owners_could_have_replied),
		cmocka_unit_test(test_few_waiting_requests_are_always_admitted),
		cmocka_unit_test(test_bound_grows_while_owners_grant_and_shrinks_when_they_refuse),
		cmocka_unit_test(test_bound_covers_what_is_granted_in_a_short_time),
		cmocka_unit_test(test_bound_that_is_not_reached_does_not_grow),
		cmocka_unit_test(test_removing_twice_counts_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
