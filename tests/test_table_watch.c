/* threaded: table_watch - pauses of a watch that follows a table of the store */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <unistd.h>

#include "edge/clock.h"
#include "edge/http_exchange.h"
#include "edge/log.h"
#include "gateway/table_watch.h"
#include "standin/row_store_standin.h"

#define WAIT_MS 10000
#define QUIET_MS 300 /* in which a watch that is not paused would read */
#define TABLE "servers"

typedef struct watch_fixture {
	uv_loop_t loop;
	uv_timer_t timer; /* wakes the loop */
	row_store_standin_t *store;
	table_watch_t *watch;
	unsigned int tables;
	unsigned int rows;
	unsigned int pauses;
} watch_fixture_t;

static void on_table(void *ctx, const GArray *rows, store_version_t version, uint64_t outage)
{
	watch_fixture_t *this = ctx;

	this->tables++;
}

static void on_rows(void *ctx, const GArray *rows)
{
	watch_fixture_t *this = ctx;

	this->rows += rows->len;
}

static void on_unreachable(void *ctx)
{
}

static void on_paused(void *ctx)
{
	watch_fixture_t *this = ctx;

	this->pauses++;
}

static const table_watch_ops_t ops = {on_table, on_rows, on_unreachable, on_paused};

static void on_timer(uv_timer_t *timer)
{
}

static void watch_fixture_init(watch_fixture_t *this, unsigned int wait_ms)
{
	*this = (watch_fixture_t){0};
	http_init();
	uv_loop_init(&this->loop);
	uv_timer_init(&this->loop, &this->timer);
	uv_timer_start(&this->timer, on_timer, 5, 5);
	this->store = row_store_standin_new("127.0.0.1:0");
	table_watch_options_t options = {
		.loop = &this->loop,
		.adapter = adapter_find("rows"),
		.store = {row_store_standin_address(this->store), WAIT_MS},
		.table = TABLE,
		.wait_ms = wait_ms,
		.retry_ms = 50,
		.ops = &ops,
		.ctx = this,
	};
	row_store_standin_put(this->store, TABLE, "first", "{}");
	this->watch = table_watch_new(&options);
}

static void watch_fixture_clear(watch_fixture_t *this)
{
	table_watch_delete(this->watch);
	uv_close((uv_handle_t *)&this->timer, NULL);
	uv_run(&this->loop, UV_RUN_DEFAULT);
	uv_loop_close(&this->loop);
	row_store_standin_delete(this->store);
}

/* Runs the loop until the counter has this value. */
static void wait_for(watch_fixture_t *this, const unsigned int *counter, unsigned int value)
{
	instant_t deadline = clock_now() + WAIT_MS * USEC_PER_MSEC;

	while (*counter != value && clock_now() < deadline)
		uv_run(&this->loop, UV_RUN_ONCE);
	assert_int_equal(*counter, value);
}

static void run_for(watch_fixture_t *this, unsigned int ms)
{
	instant_t end = clock_now() + ms * USEC_PER_MSEC;

	while (clock_now() < end)
		uv_run(&this->loop, UV_RUN_ONCE);
}

static void test_paused_watch_reads_nothing_and_then_lists_the_table(void **state)
{
	watch_fixture_t f;
	unsigned int requests;

	watch_fixture_init(&f, 20);
	wait_for(&f, &f.tables, 1);
	table_watch_set_paused(f.watch, true);
	wait_for(&f, &f.pauses, 1);
	requests = row_store_standin_request_count(f.store);
	row_store_standin_put(f.store, TABLE, "second", "{}");
	run_for(&f, QUIET_MS);
	assert_int_equal(row_store_standin_request_count(f.store), requests);
	assert_int_equal(f.rows, 0);
	table_watch_set_paused(f.watch, false);
	wait_for(&f, &f.tables, 2);
	row_store_standin_put(f.store, TABLE, "third", "{}");
	wait_for(&f, &f.rows, 1);
	assert_int_equal(f.pauses, 1);
	watch_fixture_clear(&f);
}

static void test_paused_watch_lists_the_table_on_request(void **state)
{
	watch_fixture_t f;

	watch_fixture_init(&f, 20);
	wait_for(&f, &f.tables, 1);
	table_watch_set_paused(f.watch, true);
	wait_for(&f, &f.pauses, 1);
	table_watch_refresh(f.watch);
	wait_for(&f, &f.tables, 2);
	wait_for(&f, &f.pauses, 2);
	watch_fixture_clear(&f);
}

/* The read that runs meanwhile goes on, so that nothing was missed. */
static void test_pause_that_ends_before_the_running_read_is_none(void **state)
{
	watch_fixture_t f;

	watch_fixture_init(&f, WAIT_MS);
	wait_for(&f, &f.tables, 1);
	run_for(&f, QUIET_MS);
	table_watch_set_paused(f.watch, true);
	table_watch_set_paused(f.watch, false);
	row_store_standin_put(f.store, TABLE, "second", "{}");
	wait_for(&f, &f.rows, 1);
	assert_int_equal(f.tables, 1);
	assert_int_equal(f.pauses, 0);
	watch_fixture_clear(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_paused_watch_reads_nothing_and_then_lists_the_table),
		cmocka_unit_test(test_paused_watch_lists_the_table_on_request),
		cmocka_unit_test(test_pause_that_ends_before_the_running_read_is_none),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
