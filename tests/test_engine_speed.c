/*
 * engine_speed - estimates of an engine's speed, what owners tell each other of them, and what is
 * decided by them; time is given
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/placement_internal.h"
#include "edge/entry_codec.h"

#define START (100 * USEC_PER_SEC)
#define STEP_US 4000.0
#define SAMPLE_INTERVAL (50 * USEC_PER_MSEC)

static const engine_speed_prior_t prior = {.time = {[ENGINE_SPEED_PREFILL] = 15,
						   [ENGINE_SPEED_STEP] = STEP_US,
						   [ENGINE_SPEED_PLAIN] = 20000}};

static double step_time(const engine_speed_t *speed, instant_t now)
{
	return engine_speed_time(speed, ENGINE_SPEED_STEP, now);
}

static void assert_about(double value, double expected, double tolerance)
{
	assert_true(value >= expected / (1 + tolerance));
	assert_true(value <= expected * (1 + tolerance));
}

/* Records `count` steps that take `time`; returns the time of the last one. */
static instant_t record_steps(engine_speed_t *speed, double time, unsigned int count, instant_t now)
{
	for (unsigned int i = 0; i < count; i++) {
		now += SAMPLE_INTERVAL;
		engine_speed_record(speed, ENGINE_SPEED_STEP, time, 1, now);
	}
	return now;
}

/* --- one engine ------------------------------------------------------------ */

static void test_estimate_converges(void **state)
{
	for (double factor = 0.5; factor <= 4; factor *= 2) {
		engine_speed_t speed;
		instant_t now;

		engine_speed_init(&speed, &prior);
		now = record_steps(&speed, factor * STEP_US, 60, START);
		assert_about(step_time(&speed, now), factor * STEP_US, 0.15);
		assert_about(engine_speed_ratio(&speed, now), factor, 0.15);
	}
}

/* What is known of decoding holds for prefill as well, until prompts tell otherwise. */
static void test_machine_is_as_slow_at_all_that_it_does(void **state)
{
	engine_speed_t speed;
	instant_t now;

	engine_speed_init(&speed, &prior);
	now = record_steps(&speed, 2 * STEP_US, 60, START);
	assert_about(engine_speed_time(&speed, ENGINE_SPEED_PREFILL, now), 30, 0.25);
}

static void test_engine_slow_for_a_moment_is_found_again(void **state)
{
	engine_speed_t speed;
	instant_t now;

	engine_speed_init(&speed, &prior);
	now = record_steps(&speed, STEP_US, 100, START);
	now = record_steps(&speed, 4 * STEP_US, 10, now);
	assert_true(step_time(&speed, now) > 1.8 * STEP_US);
	now += 10 * USEC_PER_SEC;
	assert_about(step_time(&speed, now), STEP_US, 0.25);
}

static void test_estimate_is_forgotten_slowly(void **state)
{
	engine_speed_t speed;
	instant_t now;

	engine_speed_init(&speed, &prior);
	now = record_steps(&speed, 3 * STEP_US, 60, START);
	assert_true(step_time(&speed, now + 5 * USEC_PER_SEC) > 2.4 * STEP_US);
	assert_about(step_time(&speed, now + 600 * USEC_PER_SEC), STEP_US, 0.1);
}

/* A first token behind a long prompt of others, a stream whose caller did not read. */
static void test_outliers_move_the_estimate_little(void **state)
{
	engine_speed_t speed;
	instant_t now = START;

	engine_speed_init(&speed, &prior);
	for (unsigned int i = 0; i < 20; i++) {
		now = record_steps(&speed, STEP_US, 9, now);
		now = record_steps(&speed, 50 * STEP_US, 1, now);
		assert_true(step_time(&speed, now) < 1.5 * STEP_US);
	}
}

static void test_new_engine_is_taken_for_a_median_one(void **state)
{
	engine_speed_t speed;

	engine_speed_init(&speed, &prior);
	assert_about(engine_speed_ratio(&speed, START), 1, 0.001);
	assert_about(step_time(&speed, START), STEP_US, 0.001);
	/* One short time at the start does not make it a magnet. */
	engine_speed_record(&speed, ENGINE_SPEED_STEP, STEP_US / 100, 1, START);
	assert_true(step_time(&speed, START) > 0.8 * STEP_US);
}

static void test_engine_slow_by_fault_is_told_from_one_slow_by_nature(void **state)
{
	engine_speed_t slow;
	engine_speed_t faulty;
	instant_t now;

	engine_speed_init(&slow, &prior);
	engine_speed_init(&faulty, &prior);
	now = record_steps(&slow, 3 * STEP_US, 200, START);
	assert_false(engine_speed_is_degraded(&slow, now));
	now = record_steps(&faulty, STEP_US, 180, START);
	assert_false(engine_speed_is_degraded(&faulty, now));
	now = record_steps(&faulty, 4 * STEP_US, 20, now);
	assert_true(engine_speed_is_degraded(&faulty, now));
	/* It is tried again. */
	assert_false(engine_speed_is_degraded(&faulty, now + 10 * USEC_PER_SEC));
}

static void test_stated_load_counts_against_what_the_machine_states_usually(void **state)
{
	engine_speed_t speed;
	instant_t now = START;

	engine_speed_init(&speed, &prior);
	assert_about(engine_speed_load(&speed, now), 1, 0.001);
	for (unsigned int i = 0; i < 100; i++, now += SAMPLE_INTERVAL)
		engine_speed_record_load(&speed, i % 7 ? 60 : 150, now);
	engine_speed_record_load(&speed, 60, now);
	assert_about(engine_speed_load(&speed, now), 1, 0.15);
	engine_speed_record_load(&speed, 150, now);
	assert_about(engine_speed_load(&speed, now), 2.5, 0.15);
	assert_about(engine_speed_load(&speed, now + 3 * USEC_PER_SEC), 1, 0.05);
	engine_speed_record_load(&speed, 0, now); /* not stated */
	assert_about(engine_speed_load(&speed, now), 2.5, 0.15);
}

/* --- the next owner -------------------------------------------------------- */

static void test_next_owner_gets_the_estimate(void **state)
{
	engine_speed_t before;
	engine_speed_t after;
	engine_speed_report_t report;
	instant_t now;

	engine_speed_init(&before, &prior);
	engine_speed_init(&after, &prior);
	now = record_steps(&before, 3 * STEP_US, 100, START);
	report = engine_speed_report(&before, now);
	engine_speed_restore(&after, &report, now);
	assert_about(step_time(&after, now), step_time(&before, now), 0.1);
}

static void test_older_report_does_not_replace_own_samples(void **state)
{
	engine_speed_report_t report = {
		.time = {[ENGINE_SPEED_STEP] = 9 * STEP_US}, .samples = 100, .age = USEC_PER_SEC};
	engine_speed_t speed;
	instant_t now;

	engine_speed_init(&speed, &prior);
	now = record_steps(&speed, STEP_US, 20, START);
	engine_speed_restore(&speed, &report, now);
	assert_about(step_time(&speed, now), STEP_US, 0.1);
}

static void test_entries_of_speed_are_the_same_after_decoding(void **state)
{
	const message_header_t header = {.from = 7, .incarnation = 1, .seq = 9};
	const engine_state_report_t sent = {UINT64_MAX, 2, 3, 15000, 4000, 77, 123456};
	message_entry_t entries[] = {
		{.kind = ENTRY_END, .ticket = 3, .value = 80, .source = 500000, .pause_ms = 170},
		{.kind = ENTRY_LOAD, .ticket = 4, .value = 5, .source = 250},
		{.kind = ENTRY_ENGINE_STATE, .engine = 9, .engine_state = sent},
	};
	entry_writer_t *writer = entry_writer_new();
	entry_reader_t *reader;
	message_header_t decoded_header;
	message_entry_t entry;
	size_t size;
	const char *bytes;

	entry_writer_begin(writer, &header);
	for (unsigned int i = 0; i < ARRAY_LEN(entries); i++)
		entry_writer_add(writer, &entries[i], START);
	bytes = entry_writer_data(writer, &size);
	reader = entry_reader_new(bytes, size, &decoded_header);
	assert_true(entry_reader_next(reader, &entry, START));
	assert_int_equal(entry.value, 80);
	assert_int_equal(entry.source, 500000);
	assert_int_equal(entry.pause_ms, 170);
	assert_true(entry_reader_next(reader, &entry, START));
	assert_int_equal(entry.source, 250);
	assert_true(entry_reader_next(reader, &entry, START));
	assert_int_equal(entry.engine, 9);
	assert_memory_equal(&entry.engine_state, &sent, sizeof(sent));
	assert_false(entry_reader_next(reader, &entry, START));
	entry_reader_delete(reader);
	entry_writer_delete(writer);
}

/* --- homes of prompt parts -------------------------------------------------- */

#define POOL 7
#define ENGINES 12
#define FAST_ENGINES 3
#define PREFIXES 6000

static id_t32 engine_id(unsigned int i)
{
	return 1000 + 77 * i;
}

static placement_t *placement_with_engines(void)
{
	const placement_options_t options = {.self = 1, .seed = 3};
	placement_engine_t engines[ENGINES];
	placement_t *placement = placement_new(&options, START);

	for (unsigned int i = 0; i < ENGINES; i++)
		engines[i] = (placement_engine_t){
			.id = engine_id(i), .pool = POOL, .limits = {.slots = 8}, .usable = true};
	placement_set_engines(placement, engines, ENGINES, START);
	return placement;
}

static void tell_speed(placement_t *placement, unsigned int i, double factor, instant_t now)
{
	message_entry_t entry = {.kind = ENTRY_ENGINE_STATE,
		.engine = engine_id(i),
		.engine_state = {.prefill_token_ns = (uint32_t)(15000 * factor),
			.decode_step_us = (uint32_t)(STEP_US * factor),
			.speed_samples = 50}};

	placement_handle_entry(placement, 0, &entry, now);
}

/* The engine that has probably cached the prefix. */
static id_t32 home_of(const placement_t *placement, uint64_t prefix)
{
	placement_request_t request = {
		.pool = POOL, .work.chain = {.count = 1, .hash = {prefix}, .tokens = {4000}}};

	return placement_likely_source(placement, &request, 0, START);
}

static void test_fast_engines_are_home_to_more_prompt_parts(void **state)
{
	placement_t *placement = placement_with_engines();
	instant_t now = START;
	unsigned int fast = 0;

	for (unsigned int i = 0; i < ENGINES; i++)
		tell_speed(placement, i, i < FAST_ENGINES ? 0.5 : 1.05, now);
	placement_tick(placement, now + 2 * USEC_PER_SEC);
	for (uint64_t prefix = 1; prefix <= PREFIXES; prefix++) {
		id_t32 home = home_of(placement, 2 * prefix + 1);

		for (unsigned int i = 0; i < FAST_ENGINES; i++)
			fast += home == engine_id(i);
	}
	/* Twice as fast: more than the 3 of 12 of equal engines, and at least 6 of 15. */
	assert_true(fast * 15 >= PREFIXES * 6);
	assert_true(fast * 4 <= PREFIXES * 3);
	placement_delete(placement);
}

static void test_homes_of_engines_that_do_not_differ_stay(void **state)
{
	placement_t *placement = placement_with_engines();
	id_t32 before[PREFIXES];

	for (uint64_t prefix = 0; prefix < PREFIXES; prefix++)
		before[prefix] = home_of(placement, 2 * prefix + 1);
	for (unsigned int i = 0; i < ENGINES; i++)
		tell_speed(placement, i, i % 2 ? 0.9 : 1.1, START);
	placement_tick(placement, START + 2 * USEC_PER_SEC);
	for (uint64_t prefix = 0; prefix < PREFIXES; prefix++)
		assert_int_equal(home_of(placement, 2 * prefix + 1), before[prefix]);
	placement_delete(placement);
}

/* An owner dies: who takes its engines over knows what it had told of them. */
static void test_next_owner_begins_with_what_was_told(void **state)
{
	placement_t *placement = placement_with_engines();
	const message_header_t header = {.from = 2, .incarnation = 1, .seq = 1};
	instant_t now = START;
	unsigned int checked = 0;
	unsigned int slot;
	bool others[ENGINES];

	slot = placement_add_member(placement, 2);
	placement_set_listed(placement, slot, true);
	assert_true(placement_accept_message(placement, &header, &slot, now));
	placement_tick(placement, now);
	for (unsigned int i = 0; i < ENGINES; i++) {
		others[i] = !scheduler_engine(placement->scheduler, engine_id(i));
		if (others[i])
			tell_speed(placement, i, 3, now);
	}
	for (; now < START + 10 * USEC_PER_SEC; now += 20 * USEC_PER_MSEC)
		placement_tick(placement, now);
	for (unsigned int i = 0; i < ENGINES; i++) {
		const engine_t *model = scheduler_engine(placement->scheduler, engine_id(i));

		assert_non_null(model);
		if (!others[i])
			continue;
		assert_about(step_time(&model->speed, now), 3 * STEP_US, 0.2);
		checked++;
	}
	assert_true(checked > 0);
	placement_delete(placement);
}

/* --- plain services ------------------------------------------------------------ */

/*
 * Runs one request at a time, whose responses state a load of `percent`; returns the engine that
 * served the last of `count`.
 */
static id_t32 run_plain_requests(scheduler_t *scheduler, const uint64_t *times,
	unsigned int percent, unsigned int count, instant_t *now)
{
	static uint64_t ticket;
	scheduler_action_t action = {0};

	for (unsigned int i = 0; i < count; i++) {
		slot_request_t request = {.ticket = ++ticket,
			.pool = POOL,
			.workspace = 1,
			.first_token_deadline = *now + USEC_PER_SEC,
			.deadline = *now + USEC_PER_SEC};
		uint64_t time;

		scheduler_request_slot(scheduler, 0, &request, *now);
		scheduler_run(scheduler, *now);
		assert_true(scheduler_next_action(scheduler, &action));
		assert_int_equal(action.kind, SCHEDULER_GRANT);
		time = times[action.engine - 1];
		*now += time;
		scheduler_record_slowness(scheduler, 0, ticket, percent, *now);
		scheduler_record_first_token(scheduler, 0, ticket, time);
		scheduler_first_token(scheduler, 0, ticket, *now);
		scheduler_end(scheduler, 0, ticket, 0, *now);
	}
	return action.engine;
}

/* Of a service without streams, the engine that is fastest now gets the next request. */
static void test_fastest_free_engine_gets_a_plain_request(void **state)
{
	const scheduler_options_t options = {.pool = {.late_wait = 1, .max_backlog = 1}};
	const engine_speed_prior_t median = {.time[ENGINE_SPEED_PLAIN] = 20000};
	uint64_t times[] = {40000, 15000, 40000};
	scheduler_t *scheduler = scheduler_new(&options);
	instant_t now = START;

	for (id_t32 id = 1; id <= 3; id++)
		scheduler_add_engine(scheduler, id, POOL, &(engine_limits_t){.slots = 2});
	scheduler_set_speed_prior(scheduler, POOL, &median, now);
	assert_int_equal(run_plain_requests(scheduler, times, 100, 60, &now), 2);
	/* It turns slow; the others are tried again. */
	times[1] = 90000;
	times[2] = 10000;
	assert_int_equal(run_plain_requests(scheduler, times, 100, 60, &now), 3);
	scheduler_delete(scheduler);
}

/* Two engines are as fast as each other; the machine of one turns to other work. */
static void test_plain_request_avoids_a_machine_that_is_slow_now(void **state)
{
	const scheduler_options_t options = {.pool = {.late_wait = 1, .max_backlog = 1}};
	const engine_speed_prior_t median = {.time[ENGINE_SPEED_PLAIN] = 20000};
	uint64_t times[] = {20000, 20000};
	scheduler_t *scheduler = scheduler_new(&options);
	instant_t now = START;
	id_t32 engine;

	for (id_t32 id = 1; id <= 2; id++)
		scheduler_add_engine(scheduler, id, POOL, &(engine_limits_t){.slots = 2});
	scheduler_set_speed_prior(scheduler, POOL, &median, now);
	engine = run_plain_requests(scheduler, times, 100, 40, &now);
	assert_int_equal(run_plain_requests(scheduler, times, 250, 1, &now), engine);
	assert_int_equal(run_plain_requests(scheduler, times, 100, 1, &now), 3 - engine);
	scheduler_delete(scheduler);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_estimate_converges),
		cmocka_unit_test(test_machine_is_as_slow_at_all_that_it_does),
		cmocka_unit_test(test_engine_slow_for_a_moment_is_found_again),
		cmocka_unit_test(test_estimate_is_forgotten_slowly),
		cmocka_unit_test(test_outliers_move_the_estimate_little),
		cmocka_unit_test(test_new_engine_is_taken_for_a_median_one),
		cmocka_unit_test(test_engine_slow_by_fault_is_told_from_one_slow_by_nature),
		cmocka_unit_test(test_stated_load_counts_against_what_the_machine_states_usually),
		cmocka_unit_test(test_next_owner_gets_the_estimate),
		cmocka_unit_test(test_older_report_does_not_replace_own_samples),
		cmocka_unit_test(test_entries_of_speed_are_the_same_after_decoding),
		cmocka_unit_test(test_fast_engines_are_home_to_more_prompt_parts),
		cmocka_unit_test(test_homes_of_engines_that_do_not_differ_stay),
		cmocka_unit_test(test_next_owner_begins_with_what_was_told),
		cmocka_unit_test(test_fastest_free_engine_gets_a_plain_request),
		cmocka_unit_test(test_plain_request_avoids_a_machine_that_is_slow_now),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
