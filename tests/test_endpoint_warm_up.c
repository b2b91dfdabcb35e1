/* endpoint_warm_up - rows read twice, late or not at all, and endpoints that are new or return */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gateway/endpoint_warm_up.h"

#define NOW (100 * USEC_PER_SEC)
#define MS USEC_PER_MSEC
#define LOADED_AT (NOW - 50 * USEC_PER_SEC) /* the first list of all endpoints */

static const catalog_service_t service = {.cold_start_ms = 3000, .cold_pace = 12000};

static endpoint_registry_t *registry_new(void)
{
	endpoint_registry_options_t options = {.returned_hold = USEC_PER_SEC};

	return endpoint_registry_new(&options);
}

static bool put(endpoint_registry_t *registry, uint64_t incarnation, int64_t left, instant_t now)
{
	endpoint_registration_t registration = {
		.name = (char *)"e",
		.service = (char *)"m",
		.address = (char *)"10.0.0.1:80",
		.slots = 8,
		.incarnation = incarnation,
		.cold_stated = left >= 0,
		.cold_left = left >= 0 ? (uint64_t)left : 0,
	};

	return endpoint_registry_put(registry, &registration, now);
}

static void keep_engine(void *ctx, registered_endpoint_t *endpoint)
{
	endpoint_warm_up_describe(endpoint, &service, LOADED_AT, ctx);
}

static placement_engine_t engine_of(endpoint_registry_t *registry)
{
	placement_engine_t engine = {0};

	endpoint_registry_for_each(registry, keep_engine, &engine);
	assert_int_equal(engine.cold_pace, service.cold_pace);
	return engine;
}

static void test_same_row_read_again_does_not_put_the_end_off(void **state)
{
	endpoint_registry_t *registry = registry_new();

	assert_true(put(registry, 0, 3000 * MS, NOW));
	assert_false(put(registry, 0, 3000 * MS, NOW + 900 * MS));
	assert_true(engine_of(registry).cold_until == NOW + 3000 * MS);
	assert_true(put(registry, 0, 1500 * MS, NOW + 1600 * MS));
	assert_true(engine_of(registry).cold_until == NOW + 3100 * MS);
	assert_true(put(registry, 0, 0, NOW + 1700 * MS));
	assert_true(engine_of(registry).cold_until == 0);
	assert_false(put(registry, 0, 0, NOW + 1800 * MS));
	endpoint_registry_delete(registry);
}

/* The rows are in order, though what says "warm" may have been written some time ago. */
static void test_later_row_is_a_later_statement(void **state)
{
	endpoint_registry_t *registry = registry_new();
	instant_t before;

	put(registry, 0, UINT64_MAX / 2, NOW);
	before = engine_of(registry).cold_stated_at;
	put(registry, 0, 0, NOW + MS);
	assert_true(engine_of(registry).cold_stated_at > before);
	assert_true(engine_of(registry).cold_stated_at < NOW + MS);
	endpoint_registry_delete(registry);
}

static void test_row_that_says_warm_is_believed_at_the_start_of_a_fleet(void **state)
{
	endpoint_registry_t *registry = registry_new();

	put(registry, 0, 0, LOADED_AT);
	assert_true(engine_of(registry).cold_until == 0);
	put(registry, 0, 0, NOW);
	assert_true(engine_of(registry).cold_until == 0);
	endpoint_registry_delete(registry);
}

static void test_row_that_says_nothing(void **state)
{
	endpoint_registry_t *old = registry_new();
	endpoint_registry_t *added = registry_new();

	put(old, 0, -1, LOADED_AT);
	assert_true(engine_of(old).cold_until == 0);
	put(added, 0, -1, NOW);
	assert_true(engine_of(added).cold_until == NOW + 3000 * MS);
	/* The same start with a row that says something, and another start without. */
	put(added, 0, 0, NOW + MS);
	assert_true(engine_of(added).cold_until == 0);
	put(added, UINT64_MAX, -1, NOW + 2 * MS);
	assert_true(engine_of(added).cold_until == NOW + 3002 * MS);
	assert_int_equal(engine_of(added).cold_source, WARM_UP_STARTED);
	endpoint_registry_delete(added);
	endpoint_registry_delete(old);
}

/* A start a second ago, by the endpoint's clock; one in the future is no statement. */
static void test_start_that_the_row_names(void **state)
{
	uint64_t wall_ms = (uint64_t)(g_get_real_time() / 1000);
	endpoint_registry_t *registry = registry_new();

	put(registry, wall_ms - 1000, -1, NOW);
	assert_in_range(engine_of(registry).cold_until, NOW + 1000 * MS, NOW + 2000 * MS);
	put(registry, wall_ms + 3600000, -1, NOW + MS);
	assert_true(engine_of(registry).cold_until == NOW + 3001 * MS);
	endpoint_registry_delete(registry);
}

static placement_engine_t model_engine(void)
{
	return (placement_engine_t){.id = 7,
		.pool = 3,
		.limits = {.slots = 8},
		.usable = true,
		.cold_pace = service.cold_pace,
		.cold_time = service.cold_start_ms * MS,
		.cold_stated_at = 1,
		.cold_source = WARM_UP_ROW};
}

static void test_engine_that_was_out_of_use_is_cold_until_told_otherwise(void **state)
{
	placement_options_t options = {.self = 1, .incarnation = 1};
	placement_t *placement = placement_new(&options, NOW);
	placement_engine_t engine = model_engine();

	placement_set_engines(placement, &engine, 1, NOW);
	assert_int_equal(placement_cold(placement, NOW), 0);
	engine.usable = false;
	placement_set_engines(placement, &engine, 1, NOW + MS);
	assert_int_equal(placement_cold(placement, NOW + MS), 0);
	engine.usable = true;
	placement_set_engines(placement, &engine, 1, NOW + 2 * MS);
	assert_int_equal(placement_cold(placement, NOW + 2 * MS), 1);
	assert_int_equal(placement_cold(placement, NOW + 2999 * MS), 1);
	assert_int_equal(placement_cold(placement, NOW + 3002 * MS), 0);
	engine.cold_stated_at = NOW + 3 * MS;
	placement_set_engines(placement, &engine, 1, NOW + 3 * MS);
	assert_int_equal(placement_cold(placement, NOW + 3 * MS), 0);
	placement_delete(placement);
}

/* An entry that names no pace, as one that only tells an engine's speed, says nothing of cold. */
static void test_report_without_a_pace_changes_nothing(void **state)
{
	placement_options_t options = {.self = 1, .incarnation = 1};
	placement_t *placement = placement_new(&options, NOW);
	placement_engine_t engine = model_engine();
	message_entry_t entry = {.kind = ENTRY_ENGINE_STATE,
		.engine = 7,
		.engine_state = {.cold_left = 5000 * MS, .cold_age = MS, .speed_samples = 4}};
	unsigned int peer = placement_add_member(placement, 2);

	placement_set_engines(placement, &engine, 1, NOW);
	placement_handle_entry(placement, peer, &entry, NOW);
	assert_int_equal(placement_cold(placement, NOW), 0);
	entry.engine_state.cold_pace = 12000;
	placement_handle_entry(placement, peer, &entry, NOW);
	assert_int_equal(placement_cold(placement, NOW), 1);
	entry.engine_state.cold_left = 0;
	entry.engine_state.cold_age = 2 * MS; /* older */
	placement_handle_entry(placement, peer, &entry, NOW);
	assert_int_equal(placement_cold(placement, NOW), 1);
	entry.engine = 8; /* unknown */
	placement_handle_entry(placement, peer, &entry, NOW);
	placement_delete(placement);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_row_read_again_does_not_put_the_end_off),
		cmocka_unit_test(test_later_row_is_a_later_statement),
		cmocka_unit_test(test_row_that_says_warm_is_believed_at_the_start_of_a_fleet),
		cmocka_unit_test(test_row_that_says_nothing),
		cmocka_unit_test(test_start_that_the_row_names),
		cmocka_unit_test(test_engine_that_was_out_of_use_is_cold_until_told_otherwise),
		cmocka_unit_test(test_report_without_a_pace_changes_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
