/* long and short prompts on engines of equal speed, where steering has little to gain */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/mixed_load.h"

static void test_engines_of_equal_speed(void **state)
{
	mixed_load_check(&(mixed_load_t){.name = "equal speeds",
				 .digests = 100,
				 .chats = 70,
				 .tags = 165,
				 .equal_speeds = true},
		(mixed_before_t){0.994, 0.990});
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_engines_of_equal_speed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
