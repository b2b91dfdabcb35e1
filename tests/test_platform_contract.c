/* threaded: platform - the contract of its interface, against the HTTP stand-in, with faults from a
 * table */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "daemon/order_store.h"
#include "edge/http_exchange.h"
#include "edge/platform.h"
#include "settings/jsondoc.h"
#include "standin/platform_standin.h"

#define TIMEOUT_MS 1000

typedef struct fixture {
	platform_standin_t *standin;
	platform_t *platform;
} fixture_t;

static void control(fixture_t *this, const char *path, const char *body)
{
	GString *answer = g_string_new(NULL);
	http_options_t options = {
		.address = platform_standin_address(this->standin),
		.method = "POST",
		.path = path,
		.body = body,
		.body_len = strlen(body),
		.connect_timeout_ms = TIMEOUT_MS,
		.read_timeout_ms = TIMEOUT_MS,
	};
	int status = 0;

	assert_int_equal(http_call(&options, 4096, answer, &status), HTTP_OK);
	assert_int_equal(status, 200);
	g_string_free(answer, TRUE);
}

static int set_up(void **state)
{
	fixture_t *this = g_new0(fixture_t, 1);
	platform_http_options_t options = {.timeout_ms = TIMEOUT_MS};

	this->standin = platform_standin_new("127.0.0.1:0");
	assert_non_null(this->standin);
	options.address = platform_standin_address(this->standin);
	this->platform = platform_http_new(&options);
	*state = this;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *this = *state;

	platform_delete(this->platform);
	platform_standin_delete(this->standin);
	g_free(this);
	return 0;
}

static store_result_t put(
	fixture_t *this, const char *key, const char *value, uint64_t expected, uint64_t *version)
{
	table_write_t write = {.key = key, .value = value, .expected = expected};
	store_result_t result = this->platform->ops->transact(this->platform, &write, 1);

	if (version)
		*version = write.version;
	return result;
}

static void expect_row(fixture_t *this, const char *key, const char *value, uint64_t version)
{
	table_row_t row;

	assert_int_equal(this->platform->ops->read(this->platform, key, &row), STORE_OK);
	assert_string_equal(row.value, value);
	assert_int_equal(row.version, version);
	table_row_clear(&row);
}

static void test_conditional_writes(void **state)
{
	fixture_t *this = *state;
	uint64_t first;
	uint64_t second;
	table_row_t row;

	assert_int_equal(this->platform->ops->read(this->platform, "k", &row), STORE_ABSENT);
	assert_int_equal(put(this, "k", "a\"\\\n{}", 0, &first), STORE_OK);
	expect_row(this, "k", "a\"\\\n{}", first);
	assert_int_equal(put(this, "k", "b", 0, NULL), STORE_CONFLICT);
	assert_int_equal(put(this, "k", "b", first + 1000, NULL), STORE_CONFLICT);
	expect_row(this, "k", "a\"\\\n{}", first);
	assert_int_equal(put(this, "k", "b", first, &second), STORE_OK);
	assert_true(second > first);
	expect_row(this, "k", "b", second);
}

static void test_a_transaction_is_all_or_nothing(void **state)
{
	fixture_t *this = *state;
	table_write_t writes[] = {
		{.key = "x", .value = "1", .expected = 0},
		{.key = "y", .value = "1", .expected = 77},
	};
	table_row_t row;

	assert_int_equal(this->platform->ops->transact(this->platform, writes, 2), STORE_CONFLICT);
	assert_int_equal(this->platform->ops->read(this->platform, "x", &row), STORE_ABSENT);
	writes[1].expected = 0;
	assert_int_equal(this->platform->ops->transact(this->platform, writes, 2), STORE_OK);
	expect_row(this, "y", "1", writes[1].version);
}

static void test_scan(void **state)
{
	fixture_t *this = *state;
	GArray *rows = table_rows_new();

	put(this, "p/1", "a", 0, NULL);
	put(this, "p/2", "b", 0, NULL);
	put(this, "q/1", "c", 0, NULL);
	assert_int_equal(this->platform->ops->scan(this->platform, "p/", rows), STORE_OK);
	assert_int_equal(rows->len, 2);
	assert_string_equal(g_array_index(rows, table_row_t, 1).key, "p/2");
	g_array_unref(rows);
}

static void test_objects(void **state)
{
	fixture_t *this = *state;
	GString *data = g_string_new(NULL);
	char bytes[] = {'a', 0, 'b', (char)0xff};

	assert_int_equal(this->platform->ops->object_get(this->platform, "o", data), STORE_ABSENT);
	g_string_truncate(data, 0);
	assert_int_equal(this->platform->ops->object_put(this->platform, "o", bytes, sizeof(bytes)),
		STORE_OK);
	assert_int_equal(this->platform->ops->object_get(this->platform, "o", data), STORE_OK);
	assert_int_equal(data->len, sizeof(bytes));
	assert_memory_equal(data->str, bytes, sizeof(bytes));
	g_string_free(data, TRUE);
}

/* A write under a fault: what it reports, and whether it took effect. */
typedef struct fault_case {
	const char *name;
	const char *fault;
	const char *heal;
	store_result_t result;
	bool applied;
} fault_case_t;

static const fault_case_t fault_cases[] = {
	{"down", "{\"down\":true}", "{\"down\":false}", STORE_LOST, false},
	{"reply lost after the write", "{\"lose_per_mille\":1000}", "{\"lose_per_mille\":0}",
		STORE_LOST, true},
	{"slow beyond the timeout", "{\"slow_ms\":1600}", "{\"slow_ms\":0}", STORE_LOST, true},
	{"slow within the timeout", "{\"slow_ms\":200}", "{\"slow_ms\":0}", STORE_OK, true},
};

static void test_writes_under_faults(void **state)
{
	fixture_t *this = *state;

	for (unsigned int i = 0; i < ARRAY_LEN(fault_cases); i++) {
		const fault_case_t *c = &fault_cases[i];
		store_result_t result;
		table_row_t row;

		print_message("  %s\n", c->name);
		control(this, "/control", c->fault);
		assert_int_equal(put(this, c->name, "v", 0, NULL), c->result);
		control(this, "/control", c->heal);
		if (c->applied) /* a slow one lands after its writer gave up */
			g_usleep(1200000);
		result = this->platform->ops->read(this->platform, c->name, &row);
		assert_int_equal(result, c->applied ? STORE_OK : STORE_ABSENT);
		table_row_clear(&row);
	}
}

static void test_reads_under_an_outage(void **state)
{
	fixture_t *this = *state;
	GArray *rows = table_rows_new();
	GArray *instances = instances_new();
	GString *data = g_string_new(NULL);
	table_row_t row;

	control(this, "/control", "{\"down\":true}");
	assert_int_equal(this->platform->ops->read(this->platform, "k", &row), STORE_LOST);
	assert_int_equal(this->platform->ops->scan(this->platform, "", rows), STORE_LOST);
	assert_int_equal(this->platform->ops->instances(this->platform, instances), STORE_LOST);
	assert_int_equal(this->platform->ops->object_get(this->platform, "o", data), STORE_LOST);
	g_array_unref(rows);
	g_array_unref(instances);
	g_string_free(data, TRUE);
}

static instance_state_t listed_state(fixture_t *this, const char *name, bool *there)
{
	GArray *instances = instances_new();
	instance_state_t found = INSTANCE_LIVE;

	assert_int_equal(this->platform->ops->instances(this->platform, instances), STORE_OK);
	*there = false;
	for (unsigned int i = 0; i < instances->len; i++) {
		if (strcmp(g_array_index(instances, instance_t, i).name, name))
			continue;
		*there = true;
		found = g_array_index(instances, instance_t, i).state;
	}
	g_array_unref(instances);
	return found;
}

static void test_the_instance_list_lags(void **state)
{
	fixture_t *this = *state;
	bool there;

	control(this, "/control/instance", "{\"name\":\"i\",\"address\":\"a\",\"state\":\"live\"}");
	assert_int_equal(listed_state(this, "i", &there), INSTANCE_LIVE);
	assert_true(there);
	control(this, "/control", "{\"lag_ms\":100000}");
	control(this, "/control/instance", "{\"name\":\"i\",\"state\":\"leaving\"}");
	assert_int_equal(listed_state(this, "i", &there), INSTANCE_LIVE);
	control(this, "/control", "{\"lag_ms\":0}");
	control(this, "/control/instance", "{\"name\":\"i\",\"state\":\"leaving\"}");
	assert_int_equal(listed_state(this, "i", &there), INSTANCE_LEAVING);
	control(this, "/control/instance", "{\"name\":\"i\",\"state\":\"gone\"}");
	listed_state(this, "i", &there);
	assert_false(there);
}

/* Rows of orders, with a small answer kept in the row and a large one as an object. */
static void test_order_rows(void **state)
{
	fixture_t *this = *state;
	order_writer_t writer = {this->platform, "router-0", 5};
	const size_t sizes[] = {0, 10, ORDER_INLINE_BYTES + 1};
	order_t order;

	order_init(&order, 0x1234, 0x99);
	for (unsigned int i = 0; i < ARRAY_LEN(sizes); i++) {
		order_response_t answer = {200, g_strdup("text/plain"), g_string_new(NULL)};
		char *key = g_strdup_printf("order/w/%u", i);
		order_record_t record;
		uint64_t version;

		while (answer.body->len < sizes[i])
			g_string_append_c(answer.body, (char)(answer.body->len * 7));
		assert_int_equal(order_store_read(this->platform, key, &record), STORE_OK);
		assert_int_equal(record.row.state, ROW_ABSENT);
		order_record_clear(&record);
		assert_int_equal(
			order_store_write(&writer, key, &order, ROW_STARTED, NULL, 0, &version),
			STORE_OK);
		assert_int_equal(order_store_write(&writer, key, &order, ROW_DONE, &answer, version,
					 &version),
			STORE_OK);
		assert_int_equal(order_store_read(this->platform, key, &record), STORE_OK);
		assert_int_equal(record.row.state, ROW_DONE);
		assert_int_equal(record.row.attempt, 0x1234);
		assert_int_equal(record.row.body_hash, 0x99);
		assert_string_equal(record.holder, "router-0");
		assert_int_equal(order_store_fetch(this->platform, &record), STORE_OK);
		assert_true(g_string_equal(record.answer.body, answer.body));
		order_record_clear(&record);
		order_response_clear(&answer);
		g_free(key);
	}
}

static void test_a_foreign_order_row_is_never_run_again(void **state)
{
	fixture_t *this = *state;
	order_record_t record;
	reason_t reason;

	put(this, "order/w/new", "{\"state\":\"of-a-newer-release\",\"hash\":\"0\"}", 0, NULL);
	assert_int_equal(order_store_read(this->platform, "order/w/new", &record), STORE_OK);
	assert_int_equal(order_check_row(&record.row, 0, &reason), ORDER_REFUSE);
	assert_int_equal(reason_info(reason)->outcome, OUTCOME_UNKNOWN);
	order_record_clear(&record);
	put(this, "order/w/bad", "no json", 0, NULL);
	assert_int_equal(order_store_read(this->platform, "order/w/bad", &record), STORE_LOST);
	order_record_clear(&record);
}

#define WRITERS 120

typedef struct writer {
	platform_t *platform;
	unsigned int number;
	store_result_t result;
	uint64_t version;
} writer_t;

/* Every tenth write expects a version that does not stand. */
static void *write_one(void *ctx)
{
	writer_t *this = ctx;
	char *key = g_strdup_printf("batch/%u", this->number);
	table_write_t write = {.key = key, .value = "v", .expected = this->number % 10 ? 0 : 12345};

	this->result = this->platform->ops->transact(this->platform, &write, 1);
	this->version = write.version;
	g_free(key);
	return NULL;
}

static int64_t count_transactions(fixture_t *this)
{
	GString *answer = g_string_new(NULL);
	http_options_t options = {.address = platform_standin_address(this->standin),
		.method = "GET",
		.path = "/stats",
		.connect_timeout_ms = TIMEOUT_MS,
		.read_timeout_ms = TIMEOUT_MS};
	jsondoc_t *doc;
	int64_t count;
	int status = 0;

	assert_int_equal(http_call(&options, 4096, answer, &status), HTTP_OK);
	doc = jsondoc_new(answer->str, answer->len);
	count = json_get_int(doc->root, "transactions", -1);
	jsondoc_delete(doc);
	g_string_free(answer, TRUE);
	return count;
}

/* Many writers at once: each learns what became of its own write. */
static void test_batched_writes(void **state)
{
	fixture_t *this = *state;
	writer_t writers[WRITERS];
	pthread_t threads[WRITERS];

	this->platform = platform_batch_new(this->platform);
	control(this, "/control", "{\"slow_ms\":40}");
	for (unsigned int i = 0; i < WRITERS; i++) {
		writers[i] = (writer_t){.platform = this->platform, .number = i};
		pthread_create(&threads[i], NULL, write_one, &writers[i]);
	}
	for (unsigned int i = 0; i < WRITERS; i++)
		pthread_join(threads[i], NULL);
	control(this, "/control", "{\"slow_ms\":0}");
	for (unsigned int i = 0; i < WRITERS; i++) {
		char *key = g_strdup_printf("batch/%u", i);

		assert_int_equal(writers[i].result, i % 10 ? STORE_OK : STORE_CONFLICT);
		if (i % 10)
			expect_row(this, key, "v", writers[i].version);
		g_free(key);
	}
	print_message("  %u writes, a tenth in conflict: %d transactions\n", WRITERS,
		(int)count_transactions(this));
}

static void test_batched_writes_without_conflict(void **state)
{
	fixture_t *this = *state;
	writer_t writers[WRITERS];
	pthread_t threads[WRITERS];
	int64_t transactions;

	this->platform = platform_batch_new(this->platform);
	control(this, "/control", "{\"slow_ms\":40}");
	for (unsigned int i = 0; i < WRITERS; i++) {
		writers[i] = (writer_t){.platform = this->platform, .number = i * 10 + 1};
		pthread_create(&threads[i], NULL, write_one, &writers[i]);
	}
	for (unsigned int i = 0; i < WRITERS; i++) {
		pthread_join(threads[i], NULL);
		assert_int_equal(writers[i].result, STORE_OK);
	}
	transactions = count_transactions(this);
	print_message("  %u writes: %d transactions\n", WRITERS, (int)transactions);
	assert_true(transactions < WRITERS);
	control(this, "/control", "{\"down\":true}");
	writers[0].number = 5;
	write_one(&writers[0]);
	assert_int_equal(writers[0].result, STORE_LOST);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_conditional_writes, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_a_transaction_is_all_or_nothing, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_scan, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_objects, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_writes_under_faults, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_reads_under_an_outage, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_the_instance_list_lags, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_batched_writes, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_batched_writes_without_conflict, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_order_rows, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_a_foreign_order_row_is_never_run_again, set_up, tear_down),
	};

	http_init();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
