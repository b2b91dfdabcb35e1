/* settings and fleet text - what is rejected, where, and that all faults are told at once */
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

#define GOOD_SETTINGS                                                                              \
	"{\n\"name\":\"r\", // a comment\n\"failure_domain\":\"a\",\n"                             \
	"\"caller_address\":\"127.0.0.1:1\",\n\"operator_address\":\"127.0.0.1:2\",\n"             \
	"\"peer_address\":\"127.0.0.1:3\",\n\"platform_address\":\"127.0.0.1:4\",\n"               \
	"\"operator_token\":\"t\",\n\"public_key\":\"" KEY "\",\n\"secret_key\":\"" KEY "\""

typedef struct bad_text {
	const char *text;
	const char *fault; /* stands in what is printed */
} bad_text_t;

static const bad_text_t bad_settings[] = {
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

static char *check_settings(const char *text)
{
	char path[] = "/tmp/amaranthwall-settings-XXXXXX";
	int fd = mkstemp(path);
	router_settings_t *settings;
	error_list_t faults;
	char *out;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	error_list_init(&faults, "file");
	settings = router_settings_load(path, &faults);
	assert_int_equal(settings == NULL, faults.count > 0);
	router_settings_delete(settings);
	out = g_strdup(faults.text->str);
	error_list_clear(&faults);
	unlink(path);
	return out;
}

static void test_bad_settings(void **state)
{
	char *out = check_settings(GOOD_SETTINGS "}");

	assert_string_equal(out, "");
	g_free(out);
	for (unsigned int i = 0; i < ARRAY_LEN(bad_settings); i++) {
		out = check_settings(bad_settings[i].text);
		if (!strstr(out, bad_settings[i].fault))
			fail_msg("no \"%s\" in: %s", bad_settings[i].fault, out);
		g_free(out);
	}
}

#define SERVICES                                                                                   \
	"\"services\":[{\"name\":\"m\",\"kind\":\"model\"},{\"name\":\"s\",\"kind\":\"plain\"}]"
#define ENDPOINTS "\"endpoints\":[{\"name\":\"m-0\",\"service\":\"m\",\"address\":\"127.0.0.1:1\"}]"
#define WORKSPACES "\"workspaces\":[{\"name\":\"w\",\"tokens\":[\"" HASH "\"]}]"
#define ROUTES "\"routes\":[{\"path\":\"/o\",\"service\":\"s\"}]"

static const bad_text_t bad_texts[] = {
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

static char *check_text(const char *source, unsigned int *count)
{
	fleet_config_t *text;
	error_list_t faults;
	char *out;

	error_list_init(&faults, "text");
	text = fleet_config_new(source, 1, &faults);
	assert_int_equal(text == NULL, faults.count > 0);
	fleet_config_put(text);
	out = g_strdup(faults.text->str);
	*count = faults.count;
	error_list_clear(&faults);
	return out;
}

static void test_bad_texts(void **state)
{
	unsigned int count;
	char *out = check_text("{" SERVICES "," ENDPOINTS "," WORKSPACES "," ROUTES "}", &count);

	assert_string_equal(out, "");
	g_free(out);
	for (unsigned int i = 0; i < ARRAY_LEN(bad_texts); i++) {
		out = check_text(bad_texts[i].text, &count);
		if (!strstr(out, bad_texts[i].fault))
			fail_msg("no \"%s\" in: %s", bad_texts[i].fault, out);
		g_free(out);
	}
}

static void test_all_faults_are_told_at_once(void **state)
{
	unsigned int count;
	char *out = check_text("{\"services\":[{\"name\":\"a\",\"kind\":\"x\"}],\"endpoints\":[{}],"
			       "\"workspaces\":[{\"weight\":0}],\"routes\":[{}]}",
		&count);

	assert_true(count >= 8);
	g_free(out);
}

static void test_identify_and_route(void **state)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, "secret", -1);
	char *source = g_strdup_printf(
		"{" SERVICES "," ENDPOINTS
		",\"workspaces\":[{\"name\":\"w\",\"tokens\":[\"sha256:%s\"]}],"
		"\"routes\":[{\"path\":\"/o\",\"method\":\"POST\",\"service\":\"s\"},"
		"{\"path\":\"/p/*\",\"service\":\"s\"}]}",
		hex);
	error_list_t faults;
	fleet_config_t *text;

	error_list_init(&faults, "text");
	text = fleet_config_new(source, 1, &faults);
	assert_non_null(text);
	assert_string_equal(fleet_config_find_workspace(text, "secret")->name, "w");
	assert_null(fleet_config_find_workspace(text, "Secret"));
	assert_null(fleet_config_find_workspace(text, ""));
	assert_non_null(fleet_config_find_route(text, "POST", "/o"));
	assert_null(fleet_config_find_route(text, "GET", "/o"));
	assert_null(fleet_config_find_route(text, "POST", "/o/"));
	assert_non_null(fleet_config_find_route(text, "GET", "/p/x/y"));
	fleet_config_put(text);
	error_list_clear(&faults);
	g_free(source);
	g_free(hex);
}

static void test_text_row(void **state)
{
	config_row_t row = {7, (char *)"change", (char *)"{\"a\":\"b\\n\"}\n"};
	char *value = config_row_encode(&row);
	config_row_t back;

	assert_true(config_row_decode(value, &back));
	assert_int_equal(back.number, 7);
	assert_string_equal(back.text, row.text);
	config_row_clear(&back);
	g_free(value);
	assert_false(config_row_decode("{}", &back));
	config_row_clear(&back);
	assert_false(config_row_decode("nonsense", &back));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bad_settings),
		cmocka_unit_test(test_bad_texts),
		cmocka_unit_test(test_all_faults_are_told_at_once),
		cmocka_unit_test(test_identify_and_route),
		cmocka_unit_test(test_text_row),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
