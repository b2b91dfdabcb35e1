/* origin_keeper - reports of streams, and who saves them; time and messages are simulated */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "core/origin_keeper.h"

#define SERVICE 7U
#define VERSION 3U
#define ROUTERS 60 /* of one failure domain; router 0 is the keeper of all */
#define KEEPER_SLOT 1U
#define TICK (20 * USEC_PER_MSEC)
#define STREAM_TIME (3 * USEC_PER_SEC) /* for which a stream goes on */
#define STREAM_INTERVAL (60 * USEC_PER_MSEC)

typedef struct fleet {
	origin_keeper_t *routers[ROUTERS];
	instant_t now;
	bool is_dead[ROUTERS];
	bool store_is_down;
	bool loses_reports;
	unsigned int writes;
	char rows[ORIGIN_ROWS_MAX][ORIGIN_ROW_MAX_BYTES]; /* as last saved */
	size_t row_sizes[ORIGIN_ROWS_MAX];
} fleet_t;

static fleet_t *fleet_new(void)
{
	fleet_t *this = test_calloc(1, sizeof(*this));

	this->now = 100 * USEC_PER_SEC;
	for (unsigned int i = 0; i < ROUTERS; i++) {
		this->routers[i] = origin_keeper_new(i + 1, this->now - ORIGIN_START_DELAY);
		origin_keeper_set_keeper(this->routers[i], i ? KEEPER_SLOT : 0, this->now);
	}
	return this;
}

static void fleet_delete(fleet_t *this)
{
	for (unsigned int i = 0; i < ROUTERS; i++)
		origin_keeper_delete(this->routers[i]);
	test_free(this);
}

static uint64_t stream_of(unsigned int router, uint64_t number)
{
	return (uint64_t)(router + 1) << 32 | number;
}

/* The streams that began in the last STREAM_TIME, the newest first. */
static void set_own(fleet_t *this, unsigned int router)
{
	stream_origin_t list[STREAM_TIME / STREAM_INTERVAL];
	uint64_t newest = this->now / STREAM_INTERVAL;

	for (unsigned int i = 0; i < ARRAY_LEN(list); i++)
		list[i] = (stream_origin_t){stream_of(router, newest - i), SERVICE, VERSION};
	origin_keeper_set_own(this->routers[router], list, ARRAY_LEN(list), this->now);
}

static void save(fleet_t *this, unsigned int router)
{
	origin_row_t row;

	if (!origin_keeper_begin_save(this->routers[router], ROUTERS, this->now))
		return;
	if (!router)
		memset(this->row_sizes, 0, sizeof(this->row_sizes));
	while (origin_keeper_next_row(this->routers[router], &row)) {
		this->writes++;
		if (this->store_is_down)
			continue;
		if (!router) {
			memcpy(this->rows[row.index], row.bytes, row.size);
			this->row_sizes[row.index] = row.size;
		}
		origin_keeper_row_saved(this->routers[router]);
	}
}

static void exchange(fleet_t *this, unsigned int router)
{
	message_entry_t entry;

	while (origin_keeper_next_entry(this->routers[router], KEEPER_SLOT, &entry, this->now)) {
		if (!this->loses_reports)
			origin_keeper_handle_entry(
				this->routers[0], router + 1, router + 1, &entry, this->now);
	}
	while (origin_keeper_next_entry(this->routers[0], router + 1, &entry, this->now))
		origin_keeper_handle_entry(
			this->routers[router], KEEPER_SLOT, 1, &entry, this->now);
}

static void run(fleet_t *this, uint64_t duration)
{
	instant_t end = this->now + duration;

	for (; this->now < end; this->now += TICK) {
		for (unsigned int i = 0; i < ROUTERS; i++) {
			if (this->is_dead[i])
				continue;
			set_own(this, i);
			origin_keeper_tick(this->routers[i], this->now);
			if (i)
				exchange(this, i);
			save(this, i);
		}
	}
}

static bool is_saved(const fleet_t *this, uint64_t stream)
{
	for (unsigned int row = 0; row < ORIGIN_ROWS_MAX; row++) {
		for (size_t at = 0; at < this->row_sizes[row]; at += STREAM_RECORD_BYTES) {
			if (stream_origin_decode(this->rows[row] + at).stream == stream)
				return true;
		}
	}
	return false;
}

/* Part of the streams in progress that are saved, over all routers. */
static double saved_share(const fleet_t *this)
{
	uint64_t newest = (this->now - TICK) / STREAM_INTERVAL;
	unsigned int saved = 0;
	unsigned int count = 0;

	for (unsigned int router = 0; router < ROUTERS; router++) {
		for (uint64_t i = 0; i < STREAM_TIME / STREAM_INTERVAL; i++, count++)
			saved += is_saved(this, stream_of(router, newest - i));
	}
	return (double)saved / count;
}

/* At whatever moment all routers are killed, most of the streams in progress can go on. */
static void test_most_streams_of_sixty_routers_are_saved_at_any_time(void **state)
{
	fleet_t *fleet = fleet_new();

	run(fleet, 2 * USEC_PER_SEC);
	for (unsigned int i = 0; i < 60; i++) {
		run(fleet, 2 * TICK);
		assert_true(saved_share(fleet) >= 0.7);
	}
	fleet_delete(fleet);
}

/* A row for each router would be 20 writes in this time, 1,200 in all. */
static void test_one_keeper_saves_the_streams_of_sixty_routers_twice_a_second(void **state)
{
	fleet_t *fleet = fleet_new();

	run(fleet, 10 * USEC_PER_SEC);
	assert_in_range(fleet->writes, 10, 21);
	for (unsigned int i = 1; i < ROUTERS; i++)
		assert_false(origin_keeper_keeps_own(fleet->routers[i], fleet->now));
	fleet_delete(fleet);
}

static void test_streams_of_killed_router_stay_saved_until_they_are_too_old(void **state)
{
	fleet_t *fleet = fleet_new();
	uint64_t stream;
	message_entry_t entry = {.kind = ENTRY_STREAMS, .ticket = 1};

	run(fleet, 2 * USEC_PER_SEC);
	stream = stream_of(5, (fleet->now - USEC_PER_SEC) / STREAM_INTERVAL);
	fleet->is_dead[5] = true;
	/* Its next run has no streams yet. */
	origin_keeper_handle_entry(fleet->routers[0], 6, 1000, &entry, fleet->now);
	run(fleet, STREAM_ORIGINS_MEMORY - 2 * USEC_PER_SEC);
	assert_true(is_saved(fleet, stream));
	run(fleet, 4 * USEC_PER_SEC);
	assert_false(is_saved(fleet, stream));
	fleet_delete(fleet);
}

static void test_router_saves_its_streams_itself_while_its_keeper_does_not(void **state)
{
	fleet_t *fleet = fleet_new();

	fleet->store_is_down = true;
	run(fleet, ORIGIN_CONFIRM_TIMEOUT - USEC_PER_SEC);
	for (unsigned int i = 1; i < ROUTERS; i++)
		assert_false(origin_keeper_keeps_own(fleet->routers[i], fleet->now));
	run(fleet, 2 * USEC_PER_SEC);
	for (unsigned int i = 1; i < ROUTERS; i++)
		assert_true(origin_keeper_keeps_own(fleet->routers[i], fleet->now));
	assert_true(fleet->writes >= ROUTERS);
	fleet_delete(fleet);
}

/* The keeper goes on confirming what it saved before it lost the store. */
static void test_router_saves_its_streams_itself_when_its_keeper_loses_the_store(void **state)
{
	fleet_t *fleet = fleet_new();

	run(fleet, 3 * USEC_PER_SEC);
	fleet->store_is_down = true;
	run(fleet, ORIGIN_CONFIRM_TIMEOUT + 2 * USEC_PER_SEC);
	for (unsigned int i = 1; i < ROUTERS; i++)
		assert_true(origin_keeper_keeps_own(fleet->routers[i], fleet->now));
	fleet_delete(fleet);
}

static void test_router_saves_its_streams_itself_until_reports_arrive_again(void **state)
{
	fleet_t *fleet = fleet_new();

	fleet->loses_reports = true;
	run(fleet, ORIGIN_CONFIRM_TIMEOUT + USEC_PER_SEC);
	assert_true(origin_keeper_keeps_own(fleet->routers[1], fleet->now));
	fleet->loses_reports = false;
	run(fleet, 2 * USEC_PER_SEC);
	assert_false(origin_keeper_keeps_own(fleet->routers[1], fleet->now));
	assert_true(saved_share(fleet) >= 0.7);
	fleet_delete(fleet);
}

/* All that is not confirmed is saved by the routers themselves, so nothing may be cut off. */
static void test_report_that_does_not_fit_is_not_confirmed(void **state)
{
	static char bytes[ORIGIN_REPORT_MAX_BYTES];
	unsigned int fitting = ORIGIN_ROWS_MAX * ORIGIN_ROW_MAX_BYTES / ORIGIN_REPORT_MAX_BYTES;
	instant_t now = 100 * USEC_PER_SEC;
	origin_keeper_t *keeper = origin_keeper_new(1, 0);
	message_entry_t entry = {
		.kind = ENTRY_STREAMS, .ticket = 1, .bytes = bytes, .size = sizeof(bytes)};
	origin_row_t row;
	unsigned int rows = 0;

	for (unsigned int slot = 1; slot <= fitting + 1; slot++)
		origin_keeper_handle_entry(keeper, slot, 1, &entry, now);
	assert_true(origin_keeper_begin_save(keeper, ROUTERS, now));
	while (origin_keeper_next_row(keeper, &row)) {
		assert_true(row.index < ORIGIN_ROWS_MAX);
		assert_int_equal(row.size % STREAM_RECORD_BYTES, 0);
		rows++;
	}
	while (rows--)
		origin_keeper_row_saved(keeper);
	for (unsigned int slot = 1; slot <= fitting; slot++)
		assert_true(origin_keeper_next_entry(keeper, slot, &entry, now));
	assert_false(origin_keeper_next_entry(keeper, fitting + 1, &entry, now));
	origin_keeper_delete(keeper);
}

static void test_confirmation_waits_until_every_row_is_written(void **state)
{
	static char bytes[ORIGIN_REPORT_MAX_BYTES];
	instant_t now = 100 * USEC_PER_SEC;
	origin_keeper_t *keeper = origin_keeper_new(1, 0);
	message_entry_t entry = {
		.kind = ENTRY_STREAMS, .ticket = 1, .bytes = bytes, .size = sizeof(bytes)};
	origin_row_t row;

	origin_keeper_handle_entry(keeper, 1, 1, &entry, now);
	origin_keeper_handle_entry(keeper, 2, 1, &entry, now);
	assert_true(origin_keeper_begin_save(keeper, ROUTERS, now));
	while (origin_keeper_next_row(keeper, &row))
		;
	assert_int_equal(row.index, 1);
	origin_keeper_row_saved(keeper);
	assert_false(origin_keeper_next_entry(keeper, 1, &entry, now));
	assert_false(origin_keeper_begin_save(keeper, ROUTERS, now + USEC_PER_SEC));
	origin_keeper_row_saved(keeper);
	assert_true(origin_keeper_next_entry(keeper, 1, &entry, now));
	assert_int_equal(entry.kind, ENTRY_STREAMS_SAVED);
	origin_keeper_delete(keeper);
}

static void test_new_keeper_gets_the_report_at_once(void **state)
{
	fleet_t *fleet = fleet_new();
	message_entry_t entry;

	run(fleet, 2 * USEC_PER_SEC);
	assert_false(origin_keeper_is_due(fleet->routers[1], KEEPER_SLOT + 1, fleet->now));
	origin_keeper_set_keeper(fleet->routers[1], KEEPER_SLOT + 1, fleet->now);
	assert_true(origin_keeper_is_due(fleet->routers[1], KEEPER_SLOT + 1, fleet->now));
	assert_true(
		origin_keeper_next_entry(fleet->routers[1], KEEPER_SLOT + 1, &entry, fleet->now));
	assert_int_equal(entry.kind, ENTRY_STREAMS);
	assert_int_equal(entry.size, STREAM_TIME / STREAM_INTERVAL * STREAM_RECORD_BYTES);
	assert_false(origin_keeper_is_due(fleet->routers[1], KEEPER_SLOT, fleet->now));
	fleet_delete(fleet);
}

/* Its streams do not change, so that there is no other report soon. */
static void test_report_that_was_lost_is_sent_again(void **state)
{
	origin_keeper_t *router = origin_keeper_new(1, 0);
	instant_t now = 100 * USEC_PER_SEC;
	stream_origin_t own = {1, SERVICE, VERSION};
	message_entry_t entry;

	origin_keeper_set_keeper(router, KEEPER_SLOT, now);
	origin_keeper_set_own(router, &own, 1, now);
	assert_true(origin_keeper_next_entry(router, KEEPER_SLOT, &entry, now));
	origin_keeper_reset_peer(router, KEEPER_SLOT + 1);
	assert_false(origin_keeper_is_due(router, KEEPER_SLOT, now + ORIGIN_REPORT_INTERVAL));
	origin_keeper_reset_peer(router, KEEPER_SLOT);
	assert_false(origin_keeper_is_due(router, KEEPER_SLOT, now + ORIGIN_REPORT_INTERVAL - 1));
	now += ORIGIN_REPORT_INTERVAL;
	assert_true(origin_keeper_is_due(router, KEEPER_SLOT, now));
	assert_true(origin_keeper_next_entry(router, KEEPER_SLOT, &entry, now));
	assert_int_equal(entry.kind, ENTRY_STREAMS);
	assert_int_equal(entry.size, STREAM_RECORD_BYTES);
	origin_keeper_delete(router);
}

static void test_confirmation_that_was_lost_is_sent_again(void **state)
{
	char bytes[STREAM_RECORD_BYTES] = {0};
	instant_t now = 100 * USEC_PER_SEC;
	origin_keeper_t *keeper = origin_keeper_new(1, 0);
	message_entry_t entry = {
		.kind = ENTRY_STREAMS, .ticket = 1, .bytes = bytes, .size = sizeof(bytes)};

	origin_keeper_handle_entry(keeper, 1, 1, &entry, now);
	assert_true(origin_keeper_begin_save(keeper, ROUTERS, now));
	origin_keeper_row_saved(keeper);
	assert_true(origin_keeper_next_entry(keeper, 1, &entry, now));
	assert_false(origin_keeper_next_entry(keeper, 1, &entry, now));
	origin_keeper_reset_peer(keeper, 2);
	assert_false(origin_keeper_next_entry(keeper, 1, &entry, now));
	origin_keeper_reset_peer(keeper, 1);
	assert_true(origin_keeper_next_entry(keeper, 1, &entry, now));
	assert_int_equal(entry.kind, ENTRY_STREAMS_SAVED);
	assert_int_equal(entry.ticket, 1);
	origin_keeper_delete(keeper);
}

static void test_router_without_streams_sends_and_saves_nothing(void **state)
{
	origin_keeper_t *router = origin_keeper_new(1, 0);
	instant_t now = 100 * USEC_PER_SEC;

	for (unsigned int keeper = 0; keeper < 2; keeper++) {
		origin_keeper_set_keeper(router, keeper, now);
		for (unsigned int i = 0; i < 1000; i++, now += TICK) {
			origin_keeper_set_own(router, NULL, 0, now);
			origin_keeper_tick(router, now);
			assert_false(origin_keeper_is_due(router, 1, now));
			assert_false(origin_keeper_begin_save(router, 1, now));
		}
	}
	origin_keeper_delete(router);
}

static void test_report_of_odd_size_and_foreign_confirmation_are_ignored(void **state)
{
	char bytes[STREAM_RECORD_BYTES + 1] = {0};
	origin_keeper_t *router = origin_keeper_new(1, 0);
	instant_t now = 100 * USEC_PER_SEC;
	stream_origin_t own = {1, SERVICE, VERSION};
	message_entry_t report = {
		.kind = ENTRY_STREAMS, .ticket = 1, .bytes = bytes, .size = sizeof(bytes)};
	message_entry_t confirmations[] = {
		{.kind = ENTRY_STREAMS_SAVED, .ticket = 1, .version = 99}, /* of another run */
		{.kind = ENTRY_STREAMS_SAVED, .ticket = 2, .version = 1},  /* not sent yet */
	};

	origin_keeper_handle_entry(router, 1, 1, &report, now);
	origin_keeper_set_keeper(router, 1, now);
	assert_false(origin_keeper_begin_save(router, 1, now));
	origin_keeper_set_own(router, &own, 1, now);
	for (unsigned int i = 0; i < ARRAY_LEN(confirmations); i++)
		origin_keeper_handle_entry(router, 1, 5, &confirmations[i], now);
	confirmations[0].version = 1; /* of a router that is not the keeper */
	origin_keeper_handle_entry(router, 2, 5, &confirmations[0], now);
	assert_true(origin_keeper_keeps_own(router, now + ORIGIN_CONFIRM_TIMEOUT));
	origin_keeper_handle_entry(router, 1, 5, &confirmations[0], now);
	assert_false(origin_keeper_keeps_own(router, now + ORIGIN_CONFIRM_TIMEOUT));
	origin_keeper_delete(router);
}

/* Else each router of a fleet that was started at once would save a row of its own first. */
static void test_router_that_has_just_started_waits_for_its_keeper(void **state)
{
	instant_t now = 100 * USEC_PER_SEC;
	origin_keeper_t *router = origin_keeper_new(1, now);
	stream_origin_t own = {1, SERVICE, VERSION};

	origin_keeper_set_own(router, &own, 1, now);
	origin_keeper_tick(router, now);
	assert_false(origin_keeper_begin_save(router, ROUTERS, now + ORIGIN_START_DELAY - 1));
	assert_true(origin_keeper_begin_save(router, ROUTERS, now + ORIGIN_START_DELAY));
	origin_keeper_delete(router);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_most_streams_of_sixty_routers_are_saved_at_any_time),
		cmocka_unit_test(test_one_keeper_saves_the_streams_of_sixty_routers_twice_a_second),
		cmocka_unit_test(test_streams_of_killed_router_stay_saved_until_they_are_too_old),
		cmocka_unit_test(test_router_saves_its_streams_itself_while_its_keeper_does_not),
		cmocka_unit_test(
			test_router_saves_its_streams_itself_when_its_keeper_loses_the_store),
		cmocka_unit_test(test_router_saves_its_streams_itself_until_reports_arrive_again),
		cmocka_unit_test(test_report_that_does_not_fit_is_not_confirmed),
		cmocka_unit_test(test_confirmation_waits_until_every_row_is_written),
		cmocka_unit_test(test_new_keeper_gets_the_report_at_once),
		cmocka_unit_test(test_report_that_was_lost_is_sent_again),
		cmocka_unit_test(test_confirmation_that_was_lost_is_sent_again),
		cmocka_unit_test(test_router_without_streams_sends_and_saves_nothing),
		cmocka_unit_test(test_router_that_has_just_started_waits_for_its_keeper),
		cmocka_unit_test(test_report_of_odd_size_and_foreign_confirmation_are_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
