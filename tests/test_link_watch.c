/* link_watch - when a connection must be renewed; time is given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/link_watch.h"

#define ALLOWED (1 * USEC_PER_SEC)
#define START (10 * USEC_PER_SEC)

static void test_confirmed_link_is_not_renewed(void **state)
{
	link_watch_t link = {0};

	for (unsigned int i = 1; i <= 100; i++) {
		instant_t now = START + i * ALLOWED / 2;

		link_watch_sent(&link, i, ALLOWED, now);
		assert_false(link_watch_expire(&link, now));
		link_watch_confirmed(&link, i);
	}
}

/* Later messages do not extend the time that the first unconfirmed one has. */
static void test_silent_link_is_renewed_in_the_time_allowed(void **state)
{
	link_watch_t link = {0};

	for (unsigned int i = 0; i < 10; i++)
		link_watch_sent(&link, 5 + i, ALLOWED, START + i * ALLOWED / 10);
	assert_false(link_watch_expire(&link, START + ALLOWED - 1));
	assert_true(link_watch_expire(&link, START + ALLOWED));
	assert_false(link_watch_expire(&link, START + ALLOWED));
}

/* A confirmation of what was sent before the link fell silent says nothing of later messages. */
static void test_old_confirmation_does_not_count(void **state)
{
	link_watch_t link = {0};

	link_watch_sent(&link, 5, ALLOWED, START);
	link_watch_confirmed(&link, 4);
	assert_true(link_watch_expire(&link, START + ALLOWED));
}

/* A peer that is down for long costs few attempts; one that is back is soon watched closely. */
static void test_time_allowed_grows_until_a_confirmation(void **state)
{
	link_watch_t link = {0};
	unsigned int renewals = 0;
	uint64_t seq = 0;
	instant_t now = START;

	for (; now < START + 100 * ALLOWED; now += ALLOWED / 10) {
		link_watch_sent(&link, ++seq, ALLOWED, now);
		renewals += link_watch_expire(&link, now);
	}
	assert_in_range(renewals, 100 / LINK_WATCH_MAX_FACTOR, 100 / LINK_WATCH_MAX_FACTOR + 4);
	link_watch_sent(&link, ++seq, ALLOWED, now);
	link_watch_confirmed(&link, seq);
	link_watch_sent(&link, ++seq, ALLOWED, now);
	assert_true(link_watch_expire(&link, now + ALLOWED));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_confirmed_link_is_not_renewed),
		cmocka_unit_test(test_silent_link_is_renewed_in_the_time_allowed),
		cmocka_unit_test(test_old_confirmation_does_not_count),
		cmocka_unit_test(test_time_allowed_grows_until_a_confirmation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
