/* threaded: odd_rows - rows of another writer among those of endpoints, routers and streams */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define DEPTH 200000
#define FOLLOW_MS 10000
#define KEY "0123456789012345678901234567890123456789"

static const char *const odd_values[] = {
	"",
	"null",
	"7",
	"[]",
	"{}",
	"{\"service\":",
	"\xff\xfe\x80",
	"9999999999999999999999999999999999999999",
	"{\"service\":\"shop\",\"address\":\"127.0.0.1:70000\",\"slots\":8,\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"address\":\"127.0.0.1:0\",\"slots\":8,\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"address\":\"127.0.0.1:-1\",\"slots\":8,\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"address\":7,\"slots\":8,\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"address\":\"127.0.0.1:80\",\"slots\":4294967304,\"state\":"
	"\"ready\"}",
	"{\"service\":\"shop\",\"address\":\"127.0.0.1:80\",\"slots\":1e99,\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"address\":\"127.0.0.1:80\",\"slots\":8,\"state\":\"odd\"}",
	"{\"service\":\"shop\",\"address\":\"127.0.0.1:80\",\"slots\":8,\"state\":\"ready\","
	"\"born\":-5}",
	"{\"service\":\"shop\",\"address\":\"127.0.0.1:80\",\"slots\":8,\"state\":\"ready\","
	"\"sequence\":\"x\"}",
	"{\"service\":\"shop\",\"service\":\"shop\"}",
	"{\"address\":\"127.0.0.1:70000\",\"public_key\":\"" KEY "\",\"incarnation\":1}",
	"{\"address\":\"127.0.0.1:0\",\"public_key\":\"" KEY "\",\"incarnation\":1}",
	"{\"address\":\"nowhere\",\"public_key\":\"" KEY "\",\"incarnation\":1}",
	"{\"address\":\"127.0.0.1:9\",\"public_key\":\"short\",\"incarnation\":1}",
	"{\"address\":\"127.0.0.1:9\",\"public_key\":[],\"incarnation\":1}",
	"{\"address\":\"127.0.0.1:9\",\"public_key\":\"" KEY "\",\"incarnation\":-1}",
	"{\"address\":\"127.0.0.1:9\",\"public_key\":\"" KEY "\",\"incarnation\":1e40}",
	"{\"address\":\"127.0.0.1:9\",\"public_key\":\"" KEY "\",\"incarnation\":1,"
	"\"failure_domain\":{}}",
};

static const char *const tables[] = {"servers", "routers", "streams", "op"};

static char *nested_deeply(void)
{
	GString *text = g_string_new("{\"service\":\"shop\",\"x\":");

	for (unsigned int i = 0; i < DEPTH; i++)
		g_string_append_c(text, '[');
	return g_string_free(text, FALSE);
}

static char *long_text(void)
{
	GString *text = g_string_new("{\"service\":\"");

	for (unsigned int i = 0; i < 60000; i++)
		g_string_append_c(text, 'x');
	g_string_append(text, "\"}");
	return g_string_free(text, FALSE);
}

static void put_odd_row(row_store_standin_t *store, const char *name, const char *value)
{
	for (unsigned int i = 0; i < ARRAY_LEN(tables); i++)
		row_store_standin_put(store, tables[i], name, value);
}

/* Puts all odd rows into each table, some under odd names. */
static void put_odd_rows(row_store_standin_t *store)
{
	char *nested = nested_deeply();
	char *text = long_text();

	for (unsigned int i = 0; i < ARRAY_LEN(odd_values); i++) {
		char *name = g_strdup_printf("odd-%u", i);

		put_odd_row(store, name, odd_values[i]);
		g_free(name);
	}
	put_odd_row(store, "nested", nested);
	put_odd_row(store, "long", text);
	put_odd_row(store, "", "{}");
	put_odd_row(store, "a b\r\nc=\"d\"", odd_values[9]);
	put_odd_row(store, "\u00e9\u4e2d", odd_values[0]);
	g_free(text);
	g_free(nested);
}

static void expect_served(fixture_t *router, unsigned int endpoints)
{
	char *text = fixture_format_request("GET", "/status/", "id", "Connection: close\r\n", "");
	char *response;

	fixture_wait_ready(router, endpoints);
	for (unsigned int i = 0; i < 3; i++) {
		response = fixture_send_and_read(router, text, FOLLOW_MS);
		if (!strstr(response, "hello"))
			print_message("  response: %s\n", response);
		assert_non_null(strstr(response, "hello"));
		g_free(response);
	}
	g_free(text);
}

/* Changes of the other rows are followed, and the routers count each other only. */
static void expect_followed(fixture_t *first, fixture_t *second, unsigned int endpoints)
{
	char *key = g_strdup_printf("i-%u", endpoints);

	fixture_add_endpoint(first, fixture_respond_hello, NULL);
	expect_served(first, endpoints + 1);
	expect_served(second, endpoints + 1);
	row_store_standin_delete_row(first->store, "servers", key);
	expect_served(first, endpoints);
	expect_served(second, endpoints);
	assert_true(fixture_wait_metric(first, "routers_alive", 2));
	assert_true(fixture_wait_metric(second, "routers_alive", 2));
	assert_true(fixture_wait_metric(first, "routers_listed", 2));
	assert_true(fixture_wait_metric(second, "routers_listed", 2));
	g_free(key);
}

static void test_odd_rows_that_are_there_at_the_start(void **state)
{
	fixture_t *first = fixture_new_router("r", NULL);
	fixture_t *second;

	fixture_add_endpoint(first, fixture_respond_hello, NULL);
	put_odd_rows(first->store);
	second = fixture_new_router("s", first->store);
	expect_served(second, 1);
	expect_followed(first, second, 1);
	fixture_kill_router(first);
	fixture_restart_router(first);
	expect_served(first, 1);
	fixture_delete(second);
	fixture_delete(first);
}

static void test_odd_rows_that_come_while_routers_run(void **state)
{
	fixture_t *first = fixture_new_router("r", NULL);
	fixture_t *second = fixture_new_router("s", first->store);

	fixture_add_endpoint(first, fixture_respond_hello, NULL);
	expect_served(first, 1);
	expect_served(second, 1);
	put_odd_rows(first->store);
	expect_followed(first, second, 1);
	fixture_delete(second);
	fixture_delete(first);
}

static bool has_valid_row(fixture_t *router)
{
	char *row = row_store_standin_get(router->store, ROSTER_TABLE, router->name);
	roster_entry_t entry;
	jsondoc_t *doc = NULL;
	bool valid = row && roster_decode(row, strlen(row), router->name, &entry, &doc);

	jsondoc_delete(doc);
	g_free(row);
	return valid;
}

/* Another writer has replaced the router's own row: it writes it again. */
static void test_own_row_that_was_replaced_by_an_odd_one_is_written_again(void **state)
{
	fixture_t *router = fixture_new_router("r", NULL);
	char *nested = nested_deeply();

	fixture_add_endpoint(router, fixture_respond_hello, NULL);
	expect_served(router, 1);
	for (unsigned int i = 0; i < ARRAY_LEN(odd_values); i += 4) {
		instant_t deadline = clock_now() + FOLLOW_MS * USEC_PER_MSEC;

		row_store_standin_put(router->store, ROSTER_TABLE, "r", i ? odd_values[i] : nested);
		while (!has_valid_row(router) && clock_now() < deadline)
			sleep_ms(10);
		assert_true(has_valid_row(router));
	}
	g_free(nested);
	fixture_delete(router);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_odd_rows_that_are_there_at_the_start),
		cmocka_unit_test(test_odd_rows_that_come_while_routers_run),
		cmocka_unit_test(test_own_row_that_was_replaced_by_an_odd_one_is_written_again),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
