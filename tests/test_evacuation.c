/* evacuation - which failure domains are evacuated, and how endpoints come back from it */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>

#include "core/evacuation.h"
#include "gateway/endpoint_registry.h"
#include "settings/fleet_config.h"

#define EAST name_id("east")
#define WEST name_id("west")

/* --- decision ----------------------------------------------------------- */

static unsigned int changes;

static void count_change(void *ctx, const evacuation_statement_t *statement)
{
	changes++;
}

static evacuation_result_t state(
	evacuations_t *this, id_t32 domain, bool evacuated, uint64_t era, uint64_t number)
{
	evacuation_statement_t statement = {domain, evacuated, era, number};

	return evacuations_apply(this, &statement);
}

/* A listing with one evacuated domain; 0: none. */
static bool list(evacuations_t *this, id_t32 domain, uint64_t row, uint64_t era, uint64_t number)
{
	evacuation_statement_t statement = {domain, true, era, row};

	changes = 0;
	return evacuations_apply_listing(
		this, &statement, domain ? 1 : 0, era, number, count_change, NULL);
}

static void test_nothing_is_known_before_a_listing(void **state_)
{
	evacuations_t *this = evacuations_new(NULL);

	assert_false(evacuations_are_known(this));
	assert_false(evacuations_contain(this, EAST));
	assert_false(list(this, 0, 0, 1, 5));
	assert_true(evacuations_are_known(this));
	evacuations_delete(this);
}

static void test_evacuation_is_set_repeated_and_taken_back(void **state_)
{
	evacuations_t *this = evacuations_new(NULL);

	list(this, 0, 0, 1, 5);
	assert_int_equal(state(this, EAST, true, 1, 6), EVACUATION_CHANGED);
	assert_int_equal(state(this, EAST, true, 1, 6), EVACUATION_OUTDATED);
	assert_int_equal(state(this, EAST, true, 1, 7), EVACUATION_CONFIRMED);
	assert_true(evacuations_contain(this, EAST));
	assert_false(evacuations_contain(this, WEST));
	assert_int_equal(state(this, EAST, false, 1, 8), EVACUATION_CHANGED);
	assert_false(evacuations_contain(this, EAST));
	assert_int_equal(state(this, EAST, true, 1, 7), EVACUATION_OUTDATED);
	assert_false(evacuations_contain(this, EAST));
	evacuations_delete(this);
}

static void test_listing_without_the_row_lifts_it_unless_the_row_is_newer(void **state_)
{
	evacuations_t *this = evacuations_new(NULL);

	list(this, EAST, 4, 1, 5);
	assert_true(evacuations_contain(this, EAST));
	assert_int_equal(state(this, WEST, true, 1, 9), EVACUATION_CHANGED);
	assert_true(list(this, 0, 0, 1, 8));
	assert_int_equal(changes, 1);
	assert_false(evacuations_contain(this, EAST));
	assert_true(evacuations_contain(this, WEST));
	assert_true(list(this, 0, 0, 1, 10));
	assert_int_equal(evacuations_count(this), 0);
	evacuations_delete(this);
}

/* The store was restored from a copy in which the domain is not evacuated. */
static void test_listing_of_a_newer_era_replaces_what_is_known(void **state_)
{
	evacuations_t *this = evacuations_new(NULL);

	list(this, EAST, 40, 1, 50);
	assert_true(list(this, WEST, 7, 2, 8));
	assert_false(evacuations_contain(this, EAST));
	assert_true(evacuations_contain(this, WEST));
	/* A peer that has not heard of the restore. */
	assert_int_equal(state(this, EAST, true, 1, 60), EVACUATION_OUTDATED);
	assert_int_equal(state(this, name_id("north"), true, 1, 60), EVACUATION_OUTDATED);
	assert_false(list(this, EAST, 40, 1, 70));
	assert_false(evacuations_contain(this, EAST));
	assert_true(evacuations_contain(this, WEST));
	evacuations_delete(this);
}

/* Whatever the order in which peers pass statements on, the newest about each domain holds. */
static void test_statements_in_any_order_end_the_same(void **state_)
{
	static const bool evacuated[] = {true, false, true, true, false, false, true, false};
	unsigned int seed = 1;

	for (unsigned int round = 0; round < 200; round++) {
		evacuations_t *this = evacuations_new(NULL);
		unsigned int order[2 * ARRAY_LEN(evacuated)];

		list(this, 0, 0, 1, 1);
		for (unsigned int i = 0; i < ARRAY_LEN(order); i++)
			order[i] = i;
		for (unsigned int i = ARRAY_LEN(order) - 1; i; i--) {
			unsigned int j = (unsigned int)rand_r(&seed) % (i + 1);
			unsigned int other = order[i];

			order[i] = order[j];
			order[j] = other;
		}
		for (unsigned int i = 0; i < ARRAY_LEN(order); i++) {
			unsigned int number = order[i] / 2;
			bool is_east = order[i] % 2;

			state(this, is_east ? EAST : WEST, evacuated[number] == is_east, 1,
				2 + number);
		}
		assert_false(evacuations_contain(this, EAST));
		assert_true(evacuations_contain(this, WEST));
		evacuations_delete(this);
	}
}

/* --- return ------------------------------------------------------------- */

static bool register_cold(endpoint_registry_t *registry, uint64_t left, instant_t now)
{
	endpoint_registration_t registration = {
		.name = "i-0",
		.service = "shop",
		.address = "127.0.0.1:9",
		.version = "v1",
		.failure_domain = "east",
		.cold_stated = true,
		.cold_left = left,
		.slots = 8,
		.state = ENDPOINT_READY,
	};

	return endpoint_registry_put(registry, &registration, now);
}

static void keep_endpoint(void *ctx, registered_endpoint_t *endpoint)
{
	*(registered_endpoint_t **)ctx = endpoint;
}

/* That it counts as cold then: test_engine_that_was_out_of_use_is_cold_until_told_otherwise. */
static void test_endpoint_takes_work_again_after_the_evacuation(void **state_)
{
	evacuations_t *this = evacuations_new(NULL);
	endpoint_registry_options_t options = {.evacuations = this};
	endpoint_registry_t *registry = endpoint_registry_new(&options);
	registered_endpoint_t *endpoint = NULL;
	instant_t now = 100 * USEC_PER_SEC;

	register_cold(registry, 0, now);
	endpoint_registry_for_each(registry, keep_endpoint, &endpoint);
	state(this, EAST, true, 1, 6);
	assert_int_equal(endpoint_registry_apply_evacuations(registry), 1);
	assert_false(registered_endpoint_takes_work(endpoint));
	register_cold(registry, USEC_PER_SEC, now);
	assert_false(registered_endpoint_takes_work(endpoint));
	state(this, EAST, false, 1, 7);
	assert_int_equal(endpoint_registry_apply_evacuations(registry), 1);
	assert_true(registered_endpoint_takes_work(endpoint));
	assert_int_equal(endpoint_registry_apply_evacuations(registry), 0);
	endpoint_registry_delete(registry);
	evacuations_delete(this);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_is_known_before_a_listing),
		cmocka_unit_test(test_evacuation_is_set_repeated_and_taken_back),
		cmocka_unit_test(test_listing_without_the_row_lifts_it_unless_the_row_is_newer),
		cmocka_unit_test(test_listing_of_a_newer_era_replaces_what_is_known),
		cmocka_unit_test(test_statements_in_any_order_end_the_same),
		cmocka_unit_test(test_endpoint_takes_work_again_after_the_evacuation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
