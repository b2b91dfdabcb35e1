/*
 * settings and fleet configuration - valid and invalid documents; all errors of a document
 * are reported at once, with line numbers
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
#include "settings/fleet_config.h"
#include "settings/router_settings.h"
#include "settings/config_row.h"

#define KEY "0123456789012345678901234567890123456789"
#define HASH "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/* Valid settings without the closing brace, so that a test can append keys. */
#define GOOD_SETTINGS                                                                              \
	"{\n\"name\":\"r\", // a comment\n\"failure_domain\":\"a\",\n"                             \
	"\"caller_address\":\"127.0.0.1:1\",\n\"operator_address\":\"127.0.0.1:2\",\n"             \
	"\"peer_address\":\"127.0.0.1:3\",\n\"platform_address\":\"127.0.0.1:4\",\n"               \
	"\"operator_token\":\"t\",\n\"public_key\":\"" KEY "\",\n\"secret_key\":\"" KEY "\""

typedef struct invalid_document {
	const char *source;
	const char *expected_error; /* part of the reported errors */
} invalid_document_t;

static const invalid_document_t invalid_settings[] = {
	{"", "empty"},
	{"[]", "give one object"},
	{"{\"name\":", "file:1: "},
	{GOOD_SETTINGS ",\n\"nmae\":\"x\"}", ":11: nmae: unknown key"},
	{GOOD_SETTINGS ",\n\"name\":\"x\"}", ":11: duplicate key name"},
	{GOOD_SETTINGS ",\n\"max_connections\":0}",
		":11: max_connections: 0 is out of range; give 1 to"},
	{GOOD_SETTINGS ",\n\"max_connections\":\"many\"}", "wrong type; give a whole number"},
	{GOOD_SETTINGS ",\n\"policy\":\"best\"}", "give fleet, fixed, least or forward"},
	{GOOD_SETTINGS ",\n\"peers\":[{\"name\":\"p\"}]}", "address: missing"},
	{GOOD_SETTINGS ",\n\"peers\":{}}", "peers: wrong type; give a list"},
	{"{}", "secret_key: missing"},
};

/* Returns the errors found in the settings, one per line; empty when they are valid. */
static char *settings_errors(const char *source)
{
	char path[] = "/tmp/amaranthwall-settings-XXXXXX";
	int fd = mkstemp(path);
	router_settings_t *settings;
	error_list_t errors;
	char *out;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, source, strlen(source)), (ssize_t)strlen(source));
	close(fd);
	error_list_init(&errors, "file");
	settings = router_settings_load(path, &errors);
	assert_int_equal(settings == NULL, errors.count > 0);
	router_settings_delete(settings);
	out = g_strdup(errors.text->str);
	error_list_clear(&errors);
	unlink(path);
	return out;
}

static void test_invalid_settings_give_the_expected_errors(void **state)
{
	char *out = settings_errors(GOOD_SETTINGS "}");

	assert_string_equal(out, "");
	g_free(out);
	for (unsigned int i = 0; i < ARRAY_LEN(invalid_settings); i++) {
		out = settings_errors(invalid_settings[i].source);
		if (!strstr(out, invalid_settings[i].expected_error))
			fail_msg("expected \"%s\" in the errors: %s",
				invalid_settings[i].expected_error, out);
		g_free(out);
	}
}

#define SERVICES                                                                                   \
	"\"services\":[{\"name\":\"m\",\"kind\":\"model\"},{\"name\":\"s\",\"kind\":\"plain\"}]"
#define ENDPOINTS "\"endpoints\":[{\"name\":\"m-0\",\"service\":\"m\",\"address\":\"127.0.0.1:1\"}]"
#define WORKSPACES "\"workspaces\":[{\"name\":\"w\",\"tokens\":[\"" HASH "\"]}]"
#define ROUTES "\"routes\":[{\"path\":\"/o\",\"service\":\"s\"}]"

static const invalid_document_t invalid_configs[] = {
	{"{}", "services: give a list"},
	{"{\"services\":[{\"name\":\"a\",\"kind\":\"plain\",\"depends_on\":[\"b\"]},"
	 "{\"name\":\"b\",\"kind\":\"plain\",\"depends_on\":[\"a\"]}]," ENDPOINTS "," WORKSPACES
	 "," ROUTES "}",
		"on a cycle of services"},
	{"{\"services\":[{\"name\":\"m\",\"kind\":\"model\",\"depends_on\":[\"x\"]}]," ENDPOINTS
	 "," WORKSPACES "," ROUTES "}",
		"no service is named \"x\""},
	{"{\"services\":[{\"name\":\"m\",\"kind\":\"modle\"}]," ENDPOINTS "," WORKSPACES "," ROUTES
	 "}",
		"give model or plain"},
	{"{" SERVICES
	 ",\"endpoints\":[{\"name\":\"e\",\"service\":\"m\",\"address\":\"host:1\"}]," WORKSPACES
	 "," ROUTES "}",
		"\"host:1\" is no address"},
	{"{" SERVICES ",\"endpoints\":[{\"name\":\"m\",\"service\":\"m\",\"address\":\"127.0.0.1:"
	 "1\"}]," WORKSPACES "," ROUTES "}",
		"are the same or share an id"},
	{"{" SERVICES "," ENDPOINTS
	 ",\"workspaces\":[{\"name\":\"w\",\"weight\":0,\"tokens\":[\"" HASH "\"]}]," ROUTES "}",
		"weight: 0 is out of range"},
	{"{" SERVICES "," ENDPOINTS
	 ",\"workspaces\":[{\"name\":\"w\",\"tokens\":[\"in-clear\"]}]," ROUTES "}",
		"never the token itself"},
	{"{" SERVICES "," ENDPOINTS ",\"workspaces\":[{\"name\":\"w\",\"tokens\":[\"" HASH
	 "\",\"" HASH "\"]}]," ROUTES "}",
		"this token stands twice"},
	{"{" SERVICES "," ENDPOINTS "," WORKSPACES
	 ",\"routes\":[{\"path\":\"o\",\"service\":\"s\"}]}",
		"must begin with /"},
	{"{" SERVICES "," ENDPOINTS "," WORKSPACES
	 ",\"routes\":[{\"path\":\"/o\",\"service\":\"m\"}]}",
		"is a model; give \"by-model\""},
	{"{" SERVICES "," ENDPOINTS "," WORKSPACES "," ROUTES ",\"extra\":1}",
		"extra: unknown key"},
	{"{" SERVICES "," ENDPOINTS "," WORKSPACES
	 ",\"routes\":[{\"path\":\"/o\",\"service\":\"s\","
	 "\"key\":\"maybe\"}]}",
		"give required, optional or none"},
};

/* Like settings_errors(), for a fleet configuration; sets `count` to the number of errors. */
static char *config_errors(const char *source, unsigned int *count)
{
	fleet_config_t *config;
	error_list_t errors;
	char *out;

	error_list_init(&errors, "config");
	config = fleet_config_new(source, 1, &errors);
	assert_int_equal(config == NULL, errors.count > 0);
	fleet_config_put(config);
	out = g_strdup(errors.text->str);
	*count = errors.count;
	error_list_clear(&errors);
	return out;
}

static void test_invalid_configs_give_the_expected_errors(void **state)
{
	unsigned int count;
	char *out = config_errors("{" SERVICES "," ENDPOINTS "," WORKSPACES "," ROUTES "}", &count);

	assert_string_equal(out, "");
	g_free(out);
	for (unsigned int i = 0; i < ARRAY_LEN(invalid_configs); i++) {
		out = config_errors(invalid_configs[i].source, &count);
		if (!strstr(out, invalid_configs[i].expected_error))
			fail_msg("expected \"%s\" in the errors: %s",
				invalid_configs[i].expected_error, out);
		g_free(out);
	}
}

static void test_config_with_several_errors_reports_at_least_8(void **state)
{
	unsigned int count;
	char *out =
		config_errors("{\"services\":[{\"name\":\"a\",\"kind\":\"x\"}],\"endpoints\":[{}],"
			      "\"workspaces\":[{\"weight\":0}],\"routes\":[{}]}",
			&count);

	assert_true(count >= 8);
	g_free(out);
}

static void test_token_finds_its_workspace_and_path_its_route(void **state)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, "secret", -1);
	char *source = g_strdup_printf(
		"{" SERVICES "," ENDPOINTS
		",\"workspaces\":[{\"name\":\"w\",\"tokens\":[\"sha256:%s\"]}],"
		"\"routes\":[{\"path\":\"/o\",\"method\":\"POST\",\"service\":\"s\"},"
		"{\"path\":\"/p/*\",\"service\":\"s\"}]}",
		hex);
	error_list_t errors;
	fleet_config_t *config;

	error_list_init(&errors, "config");
	config = fleet_config_new(source, 1, &errors);
	assert_non_null(config);
	assert_string_equal(fleet_config_find_workspace(config, "secret")->name, "w");
	assert_null(fleet_config_find_workspace(config, "Secret"));
	assert_null(fleet_config_find_workspace(config, ""));
	assert_non_null(fleet_config_find_route(config, "POST", "/o"));
	assert_null(fleet_config_find_route(config, "GET", "/o"));
	assert_null(fleet_config_find_route(config, "POST", "/o/"));
	assert_non_null(fleet_config_find_route(config, "GET", "/p/x/y"));
	fleet_config_put(config);
	error_list_clear(&errors);
	g_free(source);
	g_free(hex);
}

static void test_config_row_round_trip_and_rejection_of_invalid_rows(void **state)
{
	config_row_t row = {7, (char *)"change", (char *)"{\"a\":\"b\\n\"}\n"};
	char *value = config_row_encode(&row);
	config_row_t decoded;

	assert_true(config_row_decode(value, &decoded));
	assert_int_equal(decoded.number, 7);
	assert_string_equal(decoded.text, row.text);
	config_row_clear(&decoded);
	g_free(value);
	assert_false(config_row_decode("{}", &decoded));
	config_row_clear(&decoded);
	assert_false(config_row_decode("nonsense", &decoded));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_settings_give_the_expected_errors),
		cmocka_unit_test(test_invalid_configs_give_the_expected_errors),
		cmocka_unit_test(test_config_with_several_errors_reports_at_least_8),
		cmocka_unit_test(test_token_finds_its_workspace_and_path_its_route),
		cmocka_unit_test(test_config_row_round_trip_and_rejection_of_invalid_rows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
