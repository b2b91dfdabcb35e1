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
	add_many(&backlog, BACKLOG_MIN_WAITING, now);
	backlog_remove(&entries[0]);
	assert_true(backlog_admits(&backlog, now + 60 * USEC_PER_SEC));
}

/* With 1000 grants per second, as many may wait as are granted within BACKLOG_MAX_WAIT. */
static void test_bound_follows_the_rate_of_grants(void **state)
{
	backlog_t backlog = {0};
	instant_t now = USEC_PER_SEC;
	unsigned int bound = BACKLOG_MAX_WAIT / USEC_PER_MSEC;

	backlog_init(&backlog, 1, 2);
	for (unsigned int i = 0; i < 4000; i++) {
		now += USEC_PER_MSEC;
		grant_rate_count(&backlog.grants, now);
	}
	add_many(&backlog, bound + 10, now);
	now += BACKLOG_MIN_WAIT;
	assert_false(backlog_admits(&backlog, now));
	for (unsigned int i = 0; i < 20; i++)
		backlog_remove(&entries[i]);
	assert_true(backlog_admits(&backlog, now));
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
		cmocka_unit_test(test_bound_follows_the_rate_of_grants),
		cmocka_unit_test(test_removing_twice_counts_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
