/* burst - the begin of a burst of one workspace's requests at one router */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/backlog.h"

#define REQUESTS 200

static backlog_entry_t entries[REQUESTS];

/*
 * A workspace that has asked for little sends 900 requests a second from now on.  While the first
 * of them can still be in time, the owners decide, not this router.
 */
static void test_begin_of_a_burst_is_left_to_the_owners(void **state)
{
	backlog_t backlog = {0};
	instant_t now = USEC_PER_SEC;

	backlog_init(&backlog, 1, 2);
	for (unsigned int i = 0; i < REQUESTS; i++) {
		now += USEC_PER_SEC / 900;
		assert_true(backlog_admits(&backlog, now));
		entries[i] = (backlog_entry_t){0};
		backlog_add(&backlog, &entries[i], now);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_begin_of_a_burst_is_left_to_the_owners),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
