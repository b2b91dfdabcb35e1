/* streams that pause too long for a prompt that another engine could have read */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/mixed_load.h"

static void test_no_stream_pauses_for_a_prompt_that_another_engine_could_read(void **state)
{
	mixed_tally_t tally = mixed_load_play(
		&(mixed_load_t){.name = "mixed", .digests = 100, .chats = 70, .tags = 165});

	assert_int_equal(tally.paused_in_vain, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_stream_pauses_for_a_prompt_that_another_engine_could_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
