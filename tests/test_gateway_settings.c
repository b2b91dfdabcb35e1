/*
 * gateway settings - each numeric setting at its edges, in every spelling that JSON has for a
 * number; a value that can't be used gives an error with file, line and name
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "core/types.h"
#include "gateway/gateway_settings.h"
#include "settings/fleet_config.h"

/* Valid settings without the closing brace; a test adds line 5. */
#define GOOD_SETTINGS                                                                              \
	"{\"name\":\"r\",\"failure_domain\":\"z\",\n\"adapter\":\"rows\",\n"                       \
	"\"caller_address\":\"127.0.0.1:1\",\"ready_address\":\"127.0.0.1:2\",\n"                  \
	"\"peer_address\":\"127.0.0.1:3\",\"store_address\":\"127.0.0.1:4\",\n"

typedef struct number_setting {
	const char *key;
	size_t offset;
	bool may_have_fraction;
	const char *lowest;
	const char *highest;
	const char *too_low;
	const char *too_high;
} number_setting_t;

#define SETTING(name, may_have_fraction, lowest, highest, too_low, too_high)                       \
	{                                                                                          \
#name, offsetof(gateway_settings_t, name), may_have_fraction, lowest, highest,     \
			too_low, too_high                                                          \
	}

static const number_setting_t number_settings[] = {
	SETTING(memory_mb, true, "16", "1048576", "15.9", "1048576.5"),
	SETTING(descriptors, false, "128", "1048576", "127", "1048577"),
	SETTING(max_response_bytes, false, "1024", "1073741824", "1023", "1073741825"),
	SETTING(stop_grace_s, true, "0.1", "600", "0.09", "600.1"),
	SETTING(lapse_grace_ms, false, "0", "60000", "-1", "60001"),
	SETTING(retry_ratio, true, "0", "10", "-0.1", "10.1"),
	SETTING(returned_hold_ms, false, "0", "60000", "-1", "60001"),
	SETTING(retry_allowance, true, "0", "1000000", "-0.1", "1000000.5"),
	SETTING(retry_window_s, true, "0.1", "600", "0.09", "600.1"),
	SETTING(expected_routers, false, "1", "10000", "0", "10001"),
	SETTING(late_wait_ms, false, "0", "60000", "-1", "60001"),
	SETTING(engine_backlog_ms, false, "1", "10000", "0", "10001"),
	SETTING(store_wait_ms, false, "100", "30000", "99", "30001"),
	SETTING(roster_wait_ms, false, "100", "30000", "99", "30001"),
	SETTING(store_timeout_ms, false, "100", "30000", "99", "30001"),
	SETTING(store_retry_ms, false, "10", "10000", "9", "10001"),
	SETTING(store_pause_ms, false, "0", "5000", "-1", "5001"),
	SETTING(connect_timeout_ms, false, "10", "60000", "9", "60001"),
	SETTING(silence_timeout_ms, false, "100", "600000", "99", "600001"),
};

/* Loads the settings with `line` added; appends the errors, one a line, to `out`. */
static gateway_settings_t *load(const char *line, GString *out)
{
	char path[] = "/tmp/amaranthwall-settings-XXXXXX";
	char *source = g_strconcat(GOOD_SETTINGS, line, "}", NULL);
	int fd = mkstemp(path);
	gateway_settings_t *settings;
	error_list_t errors;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, source, strlen(source)), (ssize_t)strlen(source));
	close(fd);
	error_list_init(&errors, "file");
	settings = gateway_settings_load(path, &errors);
	assert_int_equal(settings == NULL, errors.count > 0);
	g_string_append(out, errors.text->str);
	error_list_clear(&errors);
	unlink(path);
	g_free(source);
	return settings;
}

static double value_of(const gateway_settings_t *settings, const number_setting_t *setting)
{
	const void *field = (const char *)settings + setting->offset;

	return setting->may_have_fraction ? *(const double *)field : *(const unsigned int *)field;
}

static void assert_accepted(const number_setting_t *setting, const char *text, double expected)
{
	GString *errors = g_string_new(NULL);
	char *line = g_strdup_printf("\"%s\":%s", setting->key, text);
	gateway_settings_t *settings = load(line, errors);

	if (!settings)
		fail_msg("%s was refused: %s", line, errors->str);
	assert_float_equal(value_of(settings, setting), expected, 1e-9);
	gateway_settings_delete(settings);
	g_string_free(errors, TRUE);
	g_free(line);
}

static void assert_refused(const char *key, const char *text, const char *problem)
{
	GString *errors = g_string_new(NULL);
	char *line = g_strdup_printf("\"%s\":%s", key, text);
	char *expected = g_strdup_printf("file:5: %s: %s", key, problem);
	gateway_settings_t *settings = load(line, errors);

	if (settings || !strstr(errors->str, expected))
		fail_msg("%s gave \"%s\", expected \"%s\"", line, errors->str, expected);
	g_string_free(errors, TRUE);
	g_free(expected);
	g_free(line);
}

static void test_each_number_is_accepted_within_its_limits_only(void **state)
{
	for (size_t i = 0; i < ARRAY_LEN(number_settings); i++) {
		const number_setting_t *setting = &number_settings[i];

		assert_accepted(setting, setting->lowest, g_ascii_strtod(setting->lowest, NULL));
		assert_accepted(setting, setting->highest, g_ascii_strtod(setting->highest, NULL));
		assert_refused(setting->key, setting->too_low, setting->too_low);
		assert_refused(setting->key, setting->too_high, "");
		assert_refused(setting->key, "1e400", "");
		assert_refused(setting->key, "-1e400", "");
		assert_refused(setting->key, "9999999999999999999999999999999999999999", "");
	}
}

static void test_whole_number_may_be_written_with_exponent_or_zero_fraction(void **state)
{
	static const char *const spellings[] = {"200", "200.0", "2e2", "2.0E+2", "20000e-2"};

	for (size_t i = 0; i < ARRAY_LEN(number_settings); i++) {
		const number_setting_t *setting = &number_settings[i];

		if (g_ascii_strtod(setting->lowest, NULL) > 200 ||
			g_ascii_strtod(setting->highest, NULL) < 200)
			continue;
		for (size_t j = 0; j < ARRAY_LEN(spellings); j++)
			assert_accepted(setting, spellings[j], 200);
	}
}

static void test_fraction_is_accepted_where_the_setting_is_no_count(void **state)
{
	for (size_t i = 0; i < ARRAY_LEN(number_settings); i++) {
		const number_setting_t *setting = &number_settings[i];
		double fraction = g_ascii_strtod(setting->lowest, NULL) + 0.25;
		char text[G_ASCII_DTOSTR_BUF_SIZE];

		g_ascii_dtostr(text, sizeof(text), fraction);
		if (setting->may_have_fraction)
			assert_accepted(setting, text, fraction);
		else
			assert_refused(setting->key, text, "wrong type; give a whole number");
	}
}

static void test_value_of_another_type_is_refused(void **state)
{
	static const char *const values[] = {"true", "false", "null", "\"8\"", "[8]", "{}"};

	for (size_t i = 0; i < ARRAY_LEN(number_settings); i++) {
		for (size_t j = 0; j < ARRAY_LEN(values); j++)
			assert_refused(number_settings[i].key, values[j], "wrong type; give a");
	}
}

static void test_regions_are_names_by_failure_domain(void **state)
{
	static const char *const lines[] = {
		"\"regions\":{\"a\":\"r\",\"b\":\"s\"}", "\"regions\":{}", "\"memory_mb\":64"};

	for (size_t i = 0; i < ARRAY_LEN(lines); i++) {
		GString *errors = g_string_new(NULL);
		gateway_settings_t *settings = load(lines[i], errors);

		assert_string_equal(errors->str, "");
		assert_int_equal(gateway_settings_region(settings, "a"), i ? 0 : name_id("r"));
		assert_int_equal(gateway_settings_region(settings, "b"), i ? 0 : name_id("s"));
		assert_int_equal(gateway_settings_region(settings, ""), 0);
		gateway_settings_delete(settings);
		g_string_free(errors, TRUE);
	}
	assert_refused("regions", "[\"r\"]", "not an object");
	assert_refused("regions", "\"r\"", "not an object");
	assert_refused("regions", "null", "not an object");
}

static void test_unknown_setting_is_refused(void **state)
{
	assert_refused("retry_alowance", "1", "unknown key");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_number_is_accepted_within_its_limits_only),
		cmocka_unit_test(test_whole_number_may_be_written_with_exponent_or_zero_fraction),
		cmocka_unit_test(test_fraction_is_accepted_where_the_setting_is_no_count),
		cmocka_unit_test(test_value_of_another_type_is_refused),
		cmocka_unit_test(test_regions_are_names_by_failure_domain),
		cmocka_unit_test(test_unknown_setting_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
