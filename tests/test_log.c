/* log - one event is one line, whatever its values hold */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "edge/log.h"

static char logged[256];

static GLogWriterOutput capture(
	GLogLevelFlags level, const GLogField *fields, gsize count, void *ctx)
{
	for (gsize i = 0; i < count; i++) {
		if (!strcmp(fields[i].key, "MESSAGE"))
			g_strlcpy(logged, fields[i].value, sizeof(logged));
	}
	return G_LOG_WRITER_HANDLED;
}

static void test_value_with_line_breaks_does_not_make_another_line(void **state)
{
	g_log_set_writer_func(capture, NULL, NULL);
	log_warn("row", "name=%s size=%d", "a\r\nts=0 level=notice\tevent=stopped\x7f", 5);
	assert_string_equal(logged, "event=row name=a  ts=0 level=notice event=stopped  size=5");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_value_with_line_breaks_does_not_make_another_line),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
