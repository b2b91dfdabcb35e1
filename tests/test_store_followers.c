/* threaded: store_followers - routers that learn of the store's rows from the readers of their
 * domain */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <unistd.h>

#include "core/store_readers.h"
#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define ROUTERS 6 /* of one failure domain */
#define WAIT_MS 10000

typedef struct fleet {
	fixture_t *routers[ROUTERS];
	bool is_reader[ROUTERS];
} fleet_t;

static void fleet_init(fleet_t *this)
{
	static const char *const names[ROUTERS] = {"a", "b", "c", "d", "e", "f"};

	for (unsigned int i = 0; i < ROUTERS; i++) {
		this->routers[i] = fixture_new_router(names[i], i ? this->routers[0]->store : NULL);
		fixture_wait_ready(this->routers[i], 0);
	}
	for (unsigned int i = 0; i < ROUTERS; i++)
		assert_true(fixture_wait_metric(this->routers[i], "routers_alive", ROUTERS));
}

static void fleet_clear(fleet_t *this)
{
	for (unsigned int i = ROUTERS; i-- > 0;)
		fixture_delete(this->routers[i]);
}

static bool has_metric(fixture_t *router, const char *line)
{
	char *text = g_strdup_printf(
		"GET /metrics HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nConnection: close\r\n\r\n");
	int fd = fixture_connect(router->ready_address);
	char *response;
	bool found;

	raw_write(fd, text);
	response = fixture_read_until(fd, "reason=", WAIT_MS);
	found = strstr(response, line) != NULL;
	close(fd);
	g_free(response);
	g_free(text);
	return found;
}

/* Waits until this number of the living routers reads the store, and notes which. */
static void wait_for_readers(fleet_t *this, unsigned int expected)
{
	instant_t deadline = clock_now() + WAIT_MS * USEC_PER_MSEC;
	unsigned int count;

	do {
		count = 0;
		for (unsigned int i = 0; i < ROUTERS; i++) {
			fixture_t *router = this->routers[i];

			this->is_reader[i] =
				!router->stopped && has_metric(router, "store_reader 1\n");
			count += this->is_reader[i];
		}
	} while (count != expected && clock_now() < deadline);
	assert_int_equal(count, expected);
}

/* Adds a route; all living routers come to serve it. */
static void check_change_reaches_all(fleet_t *this)
{
	fixture_t *router = this->routers[0];

	fixture_put_config(router, FIXTURE_PUBLIC_ROUTE("added"));
	for (unsigned int i = 0; i < ROUTERS; i++) {
		if (!this->routers[i]->stopped)
			assert_true(fixture_wait_served(this->routers[i], "added", true));
	}
	fixture_put_config(router, "");
	for (unsigned int i = 0; i < ROUTERS; i++) {
		if (!this->routers[i]->stopped)
			assert_true(fixture_wait_served(this->routers[i], "added", false));
	}
}

static void test_three_routers_of_a_domain_read_for_all(void **state)
{
	fleet_t fleet;

	fleet_init(&fleet);
	fixture_add_endpoint(fleet.routers[0], fixture_respond_hello, NULL);
	wait_for_readers(&fleet, STORE_READERS_PER_DOMAIN);
	for (unsigned int i = 0; i < ROUTERS; i++)
		fixture_wait_ready(fleet.routers[i], 1);
	check_change_reaches_all(&fleet);
	row_store_standin_delete_row(fleet.routers[0]->store, "servers", "i-0");
	for (unsigned int i = 0; i < ROUTERS; i++)
		fixture_wait_ready(fleet.routers[i], 0);
	fleet_clear(&fleet);
}

static void test_change_reaches_all_after_the_readers_were_killed(void **state)
{
	fleet_t fleet;

	fleet_init(&fleet);
	fixture_add_endpoint(fleet.routers[0], fixture_respond_hello, NULL);
	wait_for_readers(&fleet, STORE_READERS_PER_DOMAIN);
	for (unsigned int i = 0; i < ROUTERS; i++) {
		if (fleet.is_reader[i])
			fixture_kill_router(fleet.routers[i]);
	}
	check_change_reaches_all(&fleet);
	fleet_clear(&fleet);
}

static void test_change_reaches_all_after_an_outage_of_the_store(void **state)
{
	fleet_t fleet;

	fleet_init(&fleet);
	fixture_add_endpoint(fleet.routers[0], fixture_respond_hello, NULL);
	wait_for_readers(&fleet, STORE_READERS_PER_DOMAIN);
	row_store_standin_set_fault(fleet.routers[0]->store, STORE_FAULT_UNAVAILABLE);
	wait_for_readers(&fleet, ROUTERS);
	row_store_standin_set_fault(fleet.routers[0]->store, STORE_FAULT_NONE);
	check_change_reaches_all(&fleet);
	wait_for_readers(&fleet, STORE_READERS_PER_DOMAIN);
	fleet_clear(&fleet);
}

/* The store goes back to an older copy: what is written then has versions that were used before. */
static void test_change_reaches_all_after_a_restore_of_the_store(void **state)
{
	fleet_t fleet;
	uint64_t version;

	fleet_init(&fleet);
	version = row_store_standin_version(fleet.routers[0]->store);
	fixture_add_endpoint(fleet.routers[0], fixture_respond_hello, NULL);
	wait_for_readers(&fleet, STORE_READERS_PER_DOMAIN);
	for (unsigned int i = 0; i < ROUTERS; i++)
		fixture_wait_ready(fleet.routers[i], 1);
	row_store_standin_restore(fleet.routers[0]->store, version);
	fixture_register_endpoint(fleet.routers[0], 0, "ready");
	check_change_reaches_all(&fleet);
	fleet_clear(&fleet);
}

/* Until the reads that began before have ended, the routers that do not read still seem to. */
static void wait_for_followers(fleet_t *this, const char *table, unsigned int expected)
{
	instant_t deadline = clock_now() + WAIT_MS * USEC_PER_MSEC;
	unsigned int count;

	do {
		g_usleep(USEC_PER_MSEC);
		count = row_store_standin_follower_count(this->routers[0]->store, table);
	} while (count != expected && clock_now() < deadline);
	assert_int_equal(count, expected);
}

static void wait_for_alive(fleet_t *this, unsigned int expected)
{
	for (unsigned int i = 0; i < ROUTERS; i++) {
		if (!this->routers[i]->stopped)
			assert_true(
				fixture_wait_metric(this->routers[i], "routers_alive", expected));
	}
}

/* Each start and stop of a router changes the roster: not every router may read it then. */
static void test_a_change_of_the_roster_wakes_the_readers_only(void **state)
{
	fixture_t *added;
	fleet_t fleet;

	fleet_init(&fleet);
	wait_for_readers(&fleet, STORE_READERS_PER_DOMAIN);
	wait_for_followers(&fleet, "routers", STORE_READERS_PER_DOMAIN);
	added = fixture_new_router("g", fleet.routers[0]->store);
	fixture_wait_ready(added, 0);
	wait_for_alive(&fleet, ROUTERS + 1);
	assert_true(fixture_wait_metric(added, "routers_alive", ROUTERS + 1));
	fixture_delete(added);
	wait_for_followers(&fleet, "routers", STORE_READERS_PER_DOMAIN);
	fleet_clear(&fleet);
}

/* A router that comes back has another key, which the others learn from the readers. */
static void test_restarted_routers_are_found_by_those_that_do_not_read(void **state)
{
	fleet_t fleet;

	fleet_init(&fleet);
	wait_for_readers(&fleet, STORE_READERS_PER_DOMAIN);
	for (unsigned int i = 0; i < ROUTERS; i++) {
		if (!fleet.is_reader[i])
			continue;
		fixture_kill_router(fleet.routers[i]);
		fixture_restart_router(fleet.routers[i]);
	}
	wait_for_alive(&fleet, ROUTERS);
	wait_for_readers(&fleet, STORE_READERS_PER_DOMAIN);
	fleet_clear(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_three_routers_of_a_domain_read_for_all),
		cmocka_unit_test(test_change_reaches_all_after_the_readers_were_killed),
		cmocka_unit_test(test_change_reaches_all_after_an_outage_of_the_store),
		cmocka_unit_test(test_change_reaches_all_after_a_restore_of_the_store),
		cmocka_unit_test(test_a_change_of_the_roster_wakes_the_readers_only),
		cmocka_unit_test(test_restarted_routers_are_found_by_those_that_do_not_read),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
