/*
 * decode - the numeric fields of the operators' configuration, and the entries of endpoints, at
 * the edges of what the platform or another writer may put there
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "platform/decode.h"
#include "settings/fleet_config.h"

#define CONFIG(version, service, backend, route, limits)                                           \
	"{\"version\":" version ",\n\"services\":[{\"name\":\"m\"" service                         \
	"},{\"name\":\"n\"}],\n"                                                                   \
	"\"routes\":[{\"host\":\"h\",\"prefix\":\"/\",\"kind\":\"streaming\"" route ",\n"          \
	"\"backends\":[{\"service\":\"m\"" backend "},{\"service\":\"n\",\"weight\":1}]}],\n"      \
	"\"limits\":{" limits "}}"

static catalog_t *decode(const char *text, GString *problems)
{
	error_list_t errors;
	catalog_t *catalog;

	error_list_init(&errors, "config");
	catalog = decode_catalog(text, strlen(text), &errors);
	assert_int_equal(catalog == NULL, errors.count > 0);
	g_string_append(problems, errors.text->str);
	error_list_clear(&errors);
	return catalog;
}

typedef struct config_case {
	const char *text;
	const char *problem; /* NULL: the configuration is valid */
	size_t offset;	     /* of the field in `object` */
	enum { SERVICE, ROUTE, LIMITS, VERSION } object;
	uint64_t expected;
} config_case_t;

#define SERVICE_CASE(member, field, expected)                                                      \
	{                                                                                          \
		CONFIG("1", "," member, "", "", ""), NULL, offsetof(catalog_service_t, field),     \
			SERVICE, expected                                                          \
	}
#define ROUTE_CASE(member, field, expected)                                                        \
	{                                                                                          \
		CONFIG("1", "", "", "," member, ""), NULL, offsetof(catalog_route_t, field),       \
			ROUTE, expected                                                            \
	}
#define LIMITS_CASE(member, field, expected)                                                       \
	{                                                                                          \
		CONFIG("1", "", "", "", member), NULL, offsetof(catalog_limits_t, field), LIMITS,  \
			expected                                                                   \
	}
#define INVALID_CASE(text, problem)                                                                \
	{                                                                                          \
		text, problem, 0, VERSION, 0                                                       \
	}

static const config_case_t config_cases[] = {
	SERVICE_CASE("\"maxConns\":90", max_connections, 90),
	SERVICE_CASE("\"maxConns\":9e1", max_connections, 90),
	SERVICE_CASE("\"maxConns\":90.0", max_connections, 90),
	SERVICE_CASE("\"maxConns\":90.9", max_connections, 90),
	SERVICE_CASE("\"maxConns\":0", max_connections, 0),
	SERVICE_CASE("\"maxConns\":null", max_connections, 0),
	SERVICE_CASE("\"maxConns\":4294967295", max_connections, UINT32_MAX),
	SERVICE_CASE("\"maxConns\":1e300", max_connections, UINT32_MAX),
	SERVICE_CASE("\"maxConns\":99999999999999999999", max_connections, UINT32_MAX),
	SERVICE_CASE("\"unknown\":99999999999999999999999999999", max_connections, 0),
	SERVICE_CASE("\"unknown\":1e999", max_connections, 0),
	SERVICE_CASE("\"engine\":{\"stride\":7.5}", tokens_per_event, 7),
	SERVICE_CASE("\"engine\":{}", tokens_per_event, 1),
	SERVICE_CASE("\"engine\":null", tokens_per_event, 1),
	ROUTE_CASE("\"timeoutMs\":12000", timeout_ms, 12000),
	ROUTE_CASE("\"timeoutMs\":1.2E4", timeout_ms, 12000),
	ROUTE_CASE("\"timeoutMs\":0.25", timeout_ms, 1),
	ROUTE_CASE("\"timeoutMs\":0", timeout_ms, 0),
	ROUTE_CASE("\"timeoutMs\":1e99", timeout_ms, UINT32_MAX),
	ROUTE_CASE("\"targetLatencyMs\":300.2", target_ms, 301),
	ROUTE_CASE("\"gapAimMs\":400.0", max_event_gap_ms, 400),
	ROUTE_CASE("\"maxAttempts\":2.0", max_attempts, 2),
	ROUTE_CASE("\"maxAttempts\":0", max_attempts, 1),
	ROUTE_CASE("\"priority\":0.5", max_attempts, 1),
	LIMITS_CASE("\"maxHeaderBytes\":4096.0", header_bytes, 4096),
	LIMITS_CASE("\"maxBodyBytes\":1e6", body_bytes, 1000000),
	LIMITS_CASE("\"headerTimeoutMs\":0.5", header_timeout_ms, 1),
	LIMITS_CASE("\"idleTimeoutMs\":15e3", idle_timeout_ms, 15000),
	LIMITS_CASE("", idle_timeout_ms, 15000),
	{CONFIG("1e3", "", "", "", ""), NULL, 0, VERSION, 1000},
	{CONFIG("7.0", "", "", "", ""), NULL, 0, VERSION, 7},
	{CONFIG("9007199254740993", "", "", "", ""), NULL, 0, VERSION, 9007199254740993},
	INVALID_CASE(CONFIG("7.5", "", "", "", ""), "config:1: version: wrong type"),
	INVALID_CASE(CONFIG("0", "", "", "", ""), "config:1: version: 0 is out of range"),
	INVALID_CASE(CONFIG("-1", "", "", "", ""), "config:1: version: -1 is out of range"),
	INVALID_CASE(CONFIG("\"7\"", "", "", "", ""), "config:1: version: wrong type"),
	INVALID_CASE(CONFIG("1e40", "", "", "", ""), "config:1: version: wrong type"),
	INVALID_CASE("{}", "config:1: version: missing"),
	INVALID_CASE(CONFIG("1", ",\"maxConns\":-1", "", "", ""), "config:2: maxConns: can't be"),
	INVALID_CASE(
		CONFIG("1", ",\"maxConns\":\"9\"", "", "", ""), "config:2: maxConns: can't be"),
	INVALID_CASE(
		CONFIG("1", ",\"maxConns\":1e999", "", "", ""), "config:2: maxConns: can't be"),
	INVALID_CASE(
		CONFIG("1", "", "", ",\"timeoutMs\":true", ""), "config:3: timeoutMs: can't be"),
	INVALID_CASE(CONFIG("1", "", "", ",\"gapAimMs\":-0.5", ""), "config:3: gapAimMs: can't be"),
	INVALID_CASE(CONFIG("1", "", ",\"weight\":-2", "", ""), "config:4: weight: can't be"),
	INVALID_CASE(CONFIG("1", "", ",\"weight\":[]", "", ""), "config:4: weight: can't be"),
	INVALID_CASE(
		CONFIG("1", "", "", "", "\"maxBodyBytes\":{}"), "config:5: maxBodyBytes: can't be"),
};

static uint64_t read_field(const catalog_t *catalog, const config_case_t *test_case)
{
	const char *object;

	switch (test_case->object) {
	case SERVICE:
		object = (const char *)&catalog->services[0];
		break;
	case ROUTE:
		object = catalog->routes->pdata[0];
		break;
	case LIMITS:
		object = (const char *)&catalog->limits;
		break;
	default:
		return catalog->version;
	}
	return *(const unsigned int *)(const void *)(object + test_case->offset);
}

static void test_numbers_of_the_configuration_at_their_edges(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(config_cases); i++) {
		const config_case_t *test_case = &config_cases[i];
		GString *problems = g_string_new(NULL);
		catalog_t *catalog = decode(test_case->text, problems);

		if (!test_case->problem && !catalog)
			fail_msg("%s was refused: %s", test_case->text, problems->str);
		if (test_case->problem && !strstr(problems->str, test_case->problem))
			fail_msg("%s gave \"%s\", expected \"%s\"", test_case->text, problems->str,
				test_case->problem);
		if (catalog && read_field(catalog, test_case) != test_case->expected)
			fail_msg("%s gave %" G_GUINT64_FORMAT, test_case->text,
				(guint64)read_field(catalog, test_case));
		catalog_put(catalog);
		g_string_free(problems, TRUE);
	}
}

typedef struct weight_case {
	const char *backend;
	unsigned int percent; /* of the requests that go to the first service */
} weight_case_t;

static void test_weights_with_fractions_divide_the_requests(void **state)
{
	static const weight_case_t cases[] = {
		{CONFIG("1", "", "", "", ""), 50},
		{CONFIG("1", "", ",\"weight\":3", "", ""), 75},
		{CONFIG("1", "", ",\"weight\":0.25", "", ""), 20},
		{CONFIG("1", "", ",\"weight\":9e0", "", ""), 90},
		{CONFIG("1", "", ",\"weight\":0", "", ""), 0},
		{CONFIG("1", "", ",\"weight\":1e300", "", ""), 100},
		{CONFIG("1", "", ",\"weight\":4294967296", "", ""), 100},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *problems = g_string_new(NULL);
		catalog_t *catalog = decode(cases[i].backend, problems);
		const catalog_route_t *route = catalog->routes->pdata[0];
		unsigned int first = 0;

		for (uint32_t j = 0; j < 100; j++)
			first += !catalog_pick_target(route, j * (route->total_weight / 100));
		assert_int_equal(first, cases[i].percent);
		catalog_put(catalog);
		g_string_free(problems, TRUE);
	}
}

typedef struct regions_case {
	const char *text;
	bool valid;
	bool restricted;
} regions_case_t;

static void test_regions_of_routes_are_a_list_of_names(void **state)
{
#define REGIONS(list) CONFIG("1", "", "", ",\"allowedRegions\":" list, "")
	static const regions_case_t cases[] = {
		{CONFIG("1", "", "", "", ""), true, false},
		{REGIONS("null"), true, false},
		{REGIONS("[]"), true, false},
		{REGIONS("[\"r\"]"), true, true},
		{REGIONS("[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"r\"]"), true, true},
		{REGIONS("[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"r\",\"9\"]"), false, false},
		{REGIONS("\"r\""), false, false},
		{REGIONS("{\"r\":1}"), false, false},
		{REGIONS("[1]"), false, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *problems = g_string_new(NULL);
		catalog_t *catalog = decode(cases[i].text, problems);
		const catalog_route_t *route = catalog ? catalog->routes->pdata[0] : NULL;

		if (cases[i].valid != (catalog != NULL))
			fail_msg("%s gave \"%s\"", cases[i].text, problems->str);
		if (route) {
			assert_int_equal(route->regions.restricted, cases[i].restricted);
			assert_true(region_set_allows(&route->regions, name_id("r")));
			assert_int_equal(region_set_allows(&route->regions, name_id("s")),
				!cases[i].restricted);
		}
		catalog_put(catalog);
		g_string_free(problems, TRUE);
	}
}

typedef struct entry_case {
	const char *name;
	const char *text;
	bool valid;
} entry_case_t;

#define ENTRY(service, address, slots, state, more)                                                \
	"{\"service\":" service ",\"address\":" address ",\"slots\":" slots                        \
	",\"state\":" state more "}"
#define GOOD_ENTRY(more) ENTRY("\"m\"", "\"10.0.0.1:80\"", "8", "\"ready\"", more)
#define ADDRESS_ENTRY(address) ENTRY("\"m\"", address, "8", "\"ready\"", "")
#define SLOTS_ENTRY(slots) ENTRY("\"m\"", "\"10.0.0.1:80\"", slots, "\"ready\"", "")

static const entry_case_t entry_cases[] = {
	{"e", GOOD_ENTRY(""), true},
	{"e",
		GOOD_ENTRY(",\"zone\":\"z\",\"version\":\"v1\",\"coldRemainingMs\":0.5,"
			   "\"sequence\":1e9,\"born\":1764892800000,\"unknown\":[[{}]]"),
		true},
	{"e", GOOD_ENTRY(",\"unknown\":99999999999999999999999999999999999999999"), true},
	{"e", GOOD_ENTRY(",\"born\":1.7648928e12"), true},
	{"e", GOOD_ENTRY(",\"born\":-1"), false},
	{"e", GOOD_ENTRY(",\"born\":0.5"), false},
	{"e", GOOD_ENTRY(",\"born\":99999999999999999999999999999999999999999"), false},
	{"e", GOOD_ENTRY(",\"born\":\"1\""), false},
	{"e", GOOD_ENTRY(",\"version\":7"), false},
	{"e", GOOD_ENTRY(",\"version\":\"v1\\r\\nX: y\""), false},
	{"e", GOOD_ENTRY(",\"zone\":null"), false},
	{"e", GOOD_ENTRY(",\"coldRemainingMs\":\"soon\""), false},
	{"e", GOOD_ENTRY(",\"coldRemainingMs\":-1"), false},
	{"e", GOOD_ENTRY(",\"sequence\":{}"), false},
	{"", GOOD_ENTRY(""), false},
	{"a b", GOOD_ENTRY(""), false},
	{"a\r\nX: y", GOOD_ENTRY(""), false},
	{"e", ENTRY("\"\"", "\"10.0.0.1:80\"", "8", "\"ready\"", ""), false},
	{"e", ENTRY("7", "\"10.0.0.1:80\"", "8", "\"ready\"", ""), false},
	{"e", ENTRY("\"m\"", "\"10.0.0.1:80\"", "8", "\"draining\"", ""), true},
	{"e", ENTRY("\"m\"", "\"10.0.0.1:80\"", "8", "\"waiting\"", ""), false},
	{"e", ENTRY("\"m\"", "\"10.0.0.1:80\"", "8", "1", ""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:1\""), true},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:65535\""), true},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:0\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:65536\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:70000\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:-1\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:+1\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1: 1\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:1x\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1:99999999999999999999\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.1\""), false},
	{"e", ADDRESS_ENTRY("\"10.0.0.256:80\""), false},
	{"e", ADDRESS_ENTRY("\"host:80\""), false},
	{"e", ADDRESS_ENTRY("[\"10.0.0.1:80\"]"), false},
	{"e", SLOTS_ENTRY("1"), true},
	{"e", SLOTS_ENTRY("1e2"), true},
	{"e", SLOTS_ENTRY("8.0"), true},
	{"e", SLOTS_ENTRY("8.5"), false},
	{"e", SLOTS_ENTRY("0"), false},
	{"e", SLOTS_ENTRY("-8"), false},
	{"e", SLOTS_ENTRY("4294967304"), false},
	{"e", SLOTS_ENTRY("1e40"), false},
	{"e", SLOTS_ENTRY("9999999999999999999999999999999999999999"), false},
	{"e", SLOTS_ENTRY("\"8\""), false},
	{"e", SLOTS_ENTRY("null"), false},
	{"e", "{}", false},
	{"e", "", false},
	{"e", "[]", false},
	{"e", "7", false},
	{"e", "{\"service\":\"m\"", false},
	{"e", "\xff\xfe{}", false},
};

static void test_entries_of_another_writer_name_no_endpoint(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(entry_cases); i++) {
		const entry_case_t *test_case = &entry_cases[i];
		endpoint_registration_t registration = {0};
		bool valid = decode_endpoint(
			test_case->name, test_case->text, strlen(test_case->text), &registration);

		if (valid != test_case->valid)
			fail_msg("entry \"%s\" of \"%s\" was %s", test_case->text, test_case->name,
				valid ? "used" : "refused");
		endpoint_registration_clear(&registration);
	}
}

typedef struct cold_case {
	const char *text; /* that follows the other members */
	bool stated;
	uint64_t left; /* microseconds */
} cold_case_t;

static void test_cold_time_of_an_entry(void **state)
{
	static const cold_case_t cases[] = {
		{"", false, 0},
		{",\"coldRemainingMs\":0", true, 0},
		{",\"coldRemainingMs\":2900", true, 2900000},
		{",\"coldRemainingMs\":0.5", true, 500},
		{",\"coldRemainingMs\":1e-9", true, 1},
		{",\"coldRemainingMs\":1e30", true, UINT64_MAX},
		{",\"coldRemainingMs\":99999999999999999999999999", true, UINT64_MAX},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf("{\"service\":\"m\",\"address\":\"10.0.0.1:80\","
					     "\"slots\":8,\"state\":\"ready\"%s}",
			cases[i].text);
		endpoint_registration_t registration = {0};

		assert_true(decode_endpoint("e", text, strlen(text), &registration));
		assert_int_equal(registration.cold_stated, cases[i].stated);
		assert_true(registration.cold_left == cases[i].left);
		endpoint_registration_clear(&registration);
		g_free(text);
	}
}

typedef struct pace_case {
	const char *text;
	unsigned int cold_start_ms;
	uint32_t pace;
} pace_case_t;

/* A configuration that was in force before these fields were read stays in force. */
static void test_cold_time_and_pace_of_a_service(void **state)
{
	static const pace_case_t cases[] = {
		{"", 0, RATE_NONE},
		{",\"coldStartS\":3.0,\"coldPerS\":12.0", 3000, 12000},
		{",\"coldStartS\":0.0015,\"coldPerS\":0.5", 2, 500},
		{",\"coldStartS\":0.0,\"coldPerS\":0.0", 0, RATE_NONE},
		{",\"coldStartS\":null,\"coldPerS\":null", 0, RATE_NONE},
		{",\"coldStartS\":-3,\"coldPerS\":-12", 0, RATE_NONE},
		{",\"coldStartS\":\"3\",\"coldPerS\":[12]", 0, RATE_NONE},
		{",\"coldStartS\":1e30,\"coldPerS\":1e30", 3600000, RATE_MAX},
		{",\"coldPerS\":1e-30", 0, 1},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf(CONFIG("1", "%s", "", "", ""), cases[i].text);
		GString *problems = g_string_new(NULL);
		catalog_t *catalog = decode(text, problems);

		assert_non_null(catalog);
		assert_int_equal(catalog->services[0].cold_start_ms, cases[i].cold_start_ms);
		assert_int_equal(catalog->services[0].cold_pace, cases[i].pace);
		assert_int_equal(catalog->services[1].cold_pace, RATE_NONE);
		catalog_put(catalog);
		g_string_free(problems, TRUE);
		g_free(text);
	}
}

static void test_entry_nested_very_deeply_names_no_endpoint(void **state)
{
	static const char *const brackets[] = {"[", "{\"a\":"};

	for (size_t i = 0; i < G_N_ELEMENTS(brackets); i++) {
		GString *text = g_string_new("{\"service\":\"m\",\"x\":");
		endpoint_registration_t registration = {0};

		for (unsigned int depth = 0; depth < 200000; depth++)
			g_string_append(text, brackets[i]);
		assert_false(decode_endpoint("e", text->str, text->len, &registration));
		g_string_free(text, TRUE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_numbers_of_the_configuration_at_their_edges),
		cmocka_unit_test(test_weights_with_fractions_divide_the_requests),
		cmocka_unit_test(test_regions_of_routes_are_a_list_of_names),
		cmocka_unit_test(test_entries_of_another_writer_name_no_endpoint),
		cmocka_unit_test(test_cold_time_of_an_entry),
		cmocka_unit_test(test_cold_time_and_pace_of_a_service),
		cmocka_unit_test(test_entry_nested_very_deeply_names_no_endpoint),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
