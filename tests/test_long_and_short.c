/*
 * long and short prompts on the same engines: who is served in time, over a fleet of eighty routers
 * and ninety engines of unequal speed
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/prefill_plan.h"
#include "tests/mixed_load.h"

static void test_mixed_prompts_with_a_heavy_tail(void **state)
{
	mixed_load_check(&(mixed_load_t){.name = "mixed", .digests = 100, .chats = 70, .tags = 165},
		(mixed_before_t){0.766, 0.514});
}

static void test_few_prompts(void **state)
{
	mixed_load_check(&(mixed_load_t){.name = "few", .digests = 60, .chats = 42, .tags = 100},
		(mixed_before_t){0.830, 0.582});
}

static void test_flood_of_long_prompts(void **state)
{
	mixed_load_check(
		&(mixed_load_t){
			.name = "flood of long ones", .digests = 220, .chats = 30, .tags = 60},
		(mixed_before_t){0.625, 0.351});
}

static void test_flood_of_short_prompts(void **state)
{
	mixed_load_check(
		&(mixed_load_t){
			.name = "flood of short ones", .digests = 20, .chats = 250, .tags = 600},
		(mixed_before_t){0.837, 0.533});
}

static void test_one_long_prompt_for_each_short_one(void **state)
{
	mixed_load_check(&(mixed_load_t){.name = "one for one", .digests = 100, .chats = 100},
		(mixed_before_t){0.672, 0.550});
}

static void test_engines_that_come_back_with_empty_caches(void **state)
{
	mixed_load_check(&(mixed_load_t){.name = "empty caches",
				 .digests = 100,
				 .chats = 70,
				 .tags = 165,
				 .cold = 20},
		(mixed_before_t){0.743, 0.496});
}

static void test_one_engine_left_or_hardly_any_load_changes_nothing(void **state)
{
	mixed_tally_t one = mixed_load_play(&(mixed_load_t){
		.name = "one engine", .digests = 0.5, .chats = 1, .tags = 2, .engines = 1});
	mixed_tally_t idle = mixed_load_play(
		&(mixed_load_t){.name = "hardly any", .digests = 0.2, .chats = 0.1, .tags = 0.2});

	assert_int_equal(one.steered, 0);
	assert_int_equal(idle.steered, 0);
}

static void test_prompts_all_alike_are_not_steered(void **state)
{
	mixed_tally_t equal = mixed_load_play(
		&(mixed_load_t){.name = "alike", .all_alike = 400, .equal_speeds = true});
	mixed_tally_t unequal =
		mixed_load_play(&(mixed_load_t){.name = "alike, unequal speeds", .all_alike = 400});

	assert_int_equal(equal.steered, 0);
	assert_int_equal(unequal.steered, 0);
}

/* --- decisions ---------------------------------------------------------- */

static engine_t *new_engine(double token_us)
{
	engine_t *engine = test_calloc(1, sizeof(*engine));

	engine_init(
		engine, 1, &(engine_limits_t){.slots = 16, .max_event_gap = 400 * USEC_PER_MSEC});
	engine->prefill_token_us = token_us;
	return engine;
}

static void test_long_prompt_is_read_until_its_first_token_has_come(void **state)
{
	engine_t *engine = new_engine(10);
	engine_request_t request = {0};
	instant_t now = USEC_PER_SEC;
	instant_t due;

	assert_int_equal(prefill_plan_backlog(engine, now), 0);
	engine_begin_request(engine, &request, &(engine_work_t){.prompt = 40000}, UINT32_MAX, now);
	assert_int_equal(prefill_plan_backlog(engine, now), 400 * USEC_PER_MSEC);
	due = engine->prefill_until + (uint64_t)engine->first_token_us;
	assert_int_equal(prefill_plan_backlog(engine, due), 50 * USEC_PER_MSEC);
	assert_int_equal(
		prefill_plan_backlog(engine, due + 300 * USEC_PER_MSEC), 300 * USEC_PER_MSEC);
	assert_int_equal(
		prefill_plan_backlog(engine, due + 600 * USEC_PER_MSEC), 400 * USEC_PER_MSEC);
	/* The news of the first token is lost. */
	assert_int_equal(prefill_plan_backlog(engine, due + 1300 * USEC_PER_MSEC), 0);
	engine_finish_prefill(engine, &request, due + 100 * USEC_PER_MSEC);
	assert_int_equal(prefill_plan_backlog(engine, due + 100 * USEC_PER_MSEC), 0);
	engine_end_request(engine, &request, due + 200 * USEC_PER_MSEC);
	test_free(engine);
}

static void test_streams_bear_what_fits_into_their_pause(void **state)
{
	const uint64_t gap = 400 * USEC_PER_MSEC;

	assert_true(prefill_plan_is_bearable(200 * USEC_PER_MSEC, USEC_PER_MSEC, gap));
	assert_false(prefill_plan_is_bearable(390 * USEC_PER_MSEC, USEC_PER_MSEC, gap));
	assert_true(prefill_plan_is_bearable(390 * USEC_PER_MSEC, USEC_PER_MSEC, 0));
	/* Nobody reads it much faster. */
	assert_true(prefill_plan_is_bearable(900 * USEC_PER_MSEC, 850 * USEC_PER_MSEC, gap));
}

static void test_only_shorter_prompts_go_elsewhere(void **state)
{
	assert_true(prefill_plan_goes_elsewhere(10 * USEC_PER_MSEC, 200 * USEC_PER_MSEC));
	assert_false(prefill_plan_goes_elsewhere(150 * USEC_PER_MSEC, 200 * USEC_PER_MSEC));
	assert_false(prefill_plan_goes_elsewhere(0, 2 * USEC_PER_MSEC));
}

static void test_long_prompt_does_not_overtake_one_on_its_way(void **state)
{
	engine_t *engine = new_engine(10);
	engine_request_t request = {0};
	engine_work_t large = {.prompt = 40000};
	engine_work_t small = {.prompt = 400};
	instant_t now = USEC_PER_SEC;

	engine_begin_request(engine, &request, &small, UINT32_MAX, now);
	assert_false(prefill_plan_suits(
		engine, &large, UINT32_MAX, PREFILL_PLAN_ANY, now + USEC_PER_MSEC));
	assert_true(prefill_plan_suits(
		engine, &small, UINT32_MAX, PREFILL_PLAN_ANY, now + USEC_PER_MSEC));
	assert_true(prefill_plan_suits(
		engine, &large, UINT32_MAX, PREFILL_PLAN_ANY, now + 20 * USEC_PER_MSEC));
	engine_end_request(engine, &request, now + 20 * USEC_PER_MSEC);
	test_free(engine);
}

static void test_shared_parts_count_as_copied(void **state)
{
	engine_work_t work = {.prompt = 10000, .chain = {.count = 1, .tokens = {4000}}};

	assert_int_equal(prefill_plan_tokens(&work), 6000 + 1000);
	work.chain.tokens[0] = 400; /* too few to copy */
	assert_int_equal(prefill_plan_tokens(&work), 10000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_prompt_is_read_until_its_first_token_has_come),
		cmocka_unit_test(test_streams_bear_what_fits_into_their_pause),
		cmocka_unit_test(test_only_shorter_prompts_go_elsewhere),
		cmocka_unit_test(test_long_prompt_does_not_overtake_one_on_its_way),
		cmocka_unit_test(test_shared_parts_count_as_copied),
		cmocka_unit_test(test_mixed_prompts_with_a_heavy_tail),
		cmocka_unit_test(test_few_prompts),
		cmocka_unit_test(test_flood_of_long_prompts),
		cmocka_unit_test(test_flood_of_short_prompts),
		cmocka_unit_test(test_one_long_prompt_for_each_short_one),
		cmocka_unit_test(test_engines_that_come_back_with_empty_caches),
		cmocka_unit_test(test_one_engine_left_or_hardly_any_load_changes_nothing),
		cmocka_unit_test(test_prompts_all_alike_are_not_steered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
