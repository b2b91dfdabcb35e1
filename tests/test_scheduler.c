/* scheduler - the load patterns that its decisions answer, with time and seed given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/engine_sim.h"

#define SEEDS 4
#define LATE_WAIT (300 * USEC_PER_MSEC)

static const sim_options_t site = {
	.engines = 3,
	.slots = 24,
	.step_us = 6000,
	.read_per_ms = 140,
	.late_wait = LATE_WAIT,
};

/* Long drafts over shared catalogues, quick answers, short labels. */
static const sim_kind_t draft = {6000, 4800, 30, 300, 400, 12000};
static const sim_kind_t label = {1800, 200, 60, 20, 250, 2500};

static sim_t *sim_with_seed(uint32_t seed)
{
	sim_options_t options = site;

	options.seed = seed;
	return sim_new(&options);
}

static void offer_mix(sim_t *sim, unsigned int workspaces, double times)
{
	for (unsigned int w = 0; w < workspaces; w++) {
		sim_offer(sim, w, &draft, 9 * times / workspaces);
		sim_offer(sim, w, &label, 12 * times / workspaces);
	}
}

static sim_count_t sum_of(const sim_t *sim)
{
	sim_count_t sum = {0};

	for (unsigned int w = 0; w < SIM_WORKSPACES; w++) {
		const sim_count_t *count = sim_count(sim, w);

		sum.offered += count->offered;
		sum.timely += count->timely;
		sum.late += count->late;
		sum.refused += count->refused;
		sum.read_again += count->read_again;
		if (count->longest_refusal > sum.longest_refusal)
			sum.longest_refusal = count->longest_refusal;
	}
	return sum;
}

/* In the calm nearly all are in time, and nobody is refused. */
static void test_calm_is_served_in_time(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_t *sim = sim_with_seed(seed);
		sim_count_t sum;

		offer_mix(sim, 4, 1);
		sim_run(sim, 20000);
		sum = sum_of(sim);
		assert_int_equal(sum.refused, 0);
		assert_true(sum.timely * 100 >= sum.offered * 93);
		sim_delete(sim);
	}
}

/* Twice what the engines can do: those that are served are served in time. */
static void test_crest_leaves_few_late(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_t *sim = sim_with_seed(seed);
		sim_count_t sum;

		offer_mix(sim, 4, 6);
		sim_run(sim, 15000);
		sum = sum_of(sim);
		assert_true(sum.refused > 0);
		assert_true(sum.timely >= 4 * sum.late);
		sim_delete(sim);
	}
}

/* What is refused is refused as soon as it can't be in time, not near its deadline. */
static void test_refusals_come_early(void **state)
{
	sim_t *sim = sim_with_seed(5);
	sim_count_t sum;

	offer_mix(sim, 4, 8);
	sim_run(sim, 10000);
	sum = sum_of(sim);
	assert_true(sum.refused > 100);
	/* The largest prompt may wait for twice its own span, the rest for their objective. */
	assert_true(sum.longest_refusal <= LATE_WAIT + 1000 * USEC_PER_MSEC);
	sim_delete(sim);
}

/* The largest tenth is served at least half as often as all. */
static void test_largest_are_served(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_t *sim = sim_with_seed(seed);

		sim_offer(sim, 0, &draft, 40);
		sim_offer(sim, 1, &draft, 40);
		sim_run(sim, 20000);
		assert_true(sim_served_share(sim, true) * 2 >= sim_served_share(sim, false));
		sim_delete(sim);
	}
}

/* One workspace sends eight times as much as each of three others: they lose little. */
static void test_flood_keeps_to_its_share(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_t *sim = sim_with_seed(seed);
		uint64_t flood;

		sim_offer(sim, 0, &draft, 80);
		for (unsigned int w = 1; w <= 3; w++)
			sim_offer(sim, w, &draft, 5);
		sim_run(sim, 20000);
		flood = sim_count(sim, 0)->tokens;
		for (unsigned int w = 1; w <= 3; w++) {
			const sim_count_t *count = sim_count(sim, w);

			assert_true((count->timely + count->late) * 100 >= count->offered * 85);
			assert_true(count->tokens < flood);
		}
		sim_delete(sim);
	}
}

/* A workspace that was idle banks nothing: from its return it has its share, not more. */
static void test_idleness_banks_nothing(void **state)
{
	sim_t *sim = sim_with_seed(3);
	uint64_t first;
	uint64_t second;

	sim_offer(sim, 0, &draft, 60);
	sim_run(sim, 20000);
	sim_offer(sim, 1, &draft, 60);
	sim_run(sim, 8000);
	first = sim_count(sim, 0)->tokens;
	second = sim_count(sim, 1)->tokens;
	sim_run(sim, 8000);
	first = sim_count(sim, 0)->tokens - first;
	second = sim_count(sim, 1)->tokens - second;
	assert_true(second * 10 <= first * 13);
	assert_true(first * 10 <= second * 13);
	sim_delete(sim);
}

/* Shared parts are read by few engines, as long as those have room. */
static void test_shared_parts_stay_where_they_were_read(void **state)
{
	sim_t *sim = sim_with_seed(2);
	sim_count_t sum;

	sim_offer(sim, 0, &draft, 12);
	sim_run(sim, 20000);
	sum = sum_of(sim);
	/* Read once on each engine at most would be 30 * 3 parts. */
	assert_true(sum.read_again <= (uint64_t)60 * draft.shared);
	sim_delete(sim);
}

/* An engine that answers nobody gets a probe now and then, not a share of the work. */
static void test_dead_engine_is_passed_over(void **state)
{
	sim_options_t options = site;
	sim_t *sim;
	sim_count_t sum;

	options.seed = 4;
	options.broken_engine = 2;
	sim = sim_new(&options);
	offer_mix(sim, 2, 1);
	sim_run(sim, 10000);
	sum = sum_of(sim);
	assert_true(sum.offered - sum.timely - sum.late - sum.refused <= 20);
	sim_delete(sim);
}

/* --- single steps ------------------------------------------------------- */

static slot_request_t plain_ask(uint64_t ticket, instant_t now)
{
	return (slot_request_t){.ticket = ticket,
		.pool = SIM_POOL,
		.workspace = 1,
		.work = {.prompt = 1000, .answer = 100},
		.first_token_deadline = now + 300 * USEC_PER_MSEC,
		.deadline = now + 5 * USEC_PER_SEC};
}

static scheduler_t *one_engine(unsigned int slots)
{
	scheduler_options_t options = {
		.pool = {.late_wait = LATE_WAIT, .max_backlog = 60 * USEC_PER_MSEC}};
	scheduler_t *this = scheduler_new(&options);

	scheduler_add_engine(this, 100, SIM_POOL, &(engine_limits_t){.slots = slots});
	return this;
}

static unsigned int count_grants(scheduler_t *this, instant_t now)
{
	scheduler_action_t action;
	unsigned int grants = 0;

	scheduler_run(this, now);
	while (scheduler_next_action(this, &action))
		grants += action.kind == SCHEDULER_GRANT;
	return grants;
}

static void test_places_come_back(void **state)
{
	scheduler_t *this = one_engine(2);
	instant_t now = USEC_PER_SEC;

	for (uint64_t ticket = 1; ticket <= 4; ticket++) {
		slot_request_t ask = plain_ask(ticket, now);

		scheduler_request_slot(this, 3, &ask, now);
		scheduler_request_slot(this, 3, &ask, now); /* a repeat does no harm */
	}
	assert_int_equal(count_grants(this, now), 2);
	assert_int_equal(scheduler_waiting(this), 2);
	now += 50 * USEC_PER_MSEC;
	for (uint64_t ticket = 1; ticket <= 4; ticket++)
		scheduler_first_token(this, 3, ticket, now);
	for (uint64_t ticket = 1; ticket <= 4; ticket++)
		scheduler_end(this, 3, ticket, 100, now);
	assert_int_equal(scheduler_running(this), 0);
	assert_int_equal(count_grants(this, now), 2);
	scheduler_forget_router(this, 3, now);
	assert_int_equal(scheduler_running(this), 0);
	assert_int_equal(scheduler_waiting(this), 0);
	scheduler_delete(this);
}

/* The end of a request was not heard: the next whole report frees its place. */
static void test_lost_end_is_put_right_by_a_report(void **state)
{
	scheduler_t *this = one_engine(2);
	instant_t now = USEC_PER_SEC;
	held_slot_t place = {.ticket = 1, .engine = 100, .workspace = 1, .prompt = 1000};
	slot_request_t ask;

	for (uint64_t ticket = 1; ticket <= 2; ticket++) {
		ask = plain_ask(ticket, now);
		scheduler_request_slot(this, 3, &ask, now);
	}
	assert_int_equal(count_grants(this, now), 2);
	for (int i = 0; i < 3; i++) {
		now += USEC_PER_SEC;
		scheduler_confirm_slot(this, 3, &place, now);
		scheduler_end_report(this, 3, now);
	}
	assert_int_equal(scheduler_running(this), 1);
	scheduler_delete(this);
}

/* A new owner counts what its predecessor granted. */
static void test_held_places_count(void **state)
{
	scheduler_t *this = one_engine(2);
	instant_t now = USEC_PER_SEC;
	held_slot_t place = {.ticket = 9, .engine = 100, .workspace = 1, .prefill_done = true};
	slot_request_t ask;

	scheduler_confirm_slot(this, 4, &place, now);
	for (uint64_t ticket = 1; ticket <= 2; ticket++) {
		ask = plain_ask(ticket, now);
		scheduler_request_slot(this, 3, &ask, now);
	}
	assert_int_equal(count_grants(this, now), 1);
	scheduler_end(this, 4, 9, 10, now);
	assert_int_equal(count_grants(this, now), 1);
	scheduler_delete(this);
}

/* What nobody has to be copied from is read whole, and reckoned so. */
static void test_whole_prompt_is_read_without_a_source(void **state)
{
	static engine_t engine;
	engine_work_t work = {.prompt = 8000, .answer = 10, .chain = {1, {77}, {5000}}};
	engine_request_t first = {0};
	engine_request_t second = {0};

	engine_init(&engine, 100, &(engine_limits_t){.slots = 8});
	assert_int_equal(engine_prefill_tokens_with_copy(&engine, &work, UINT32_MAX), 8000);
	engine_begin_request(&engine, &first, &work, UINT32_MAX, USEC_PER_SEC);
	assert_int_equal(first.unread, 8000);
	engine_begin_request(&engine, &second, &work, UINT32_MAX, USEC_PER_SEC);
	assert_int_equal(second.unread, 3000);
}

/* However large a prompt its caller tells of, copying has to spare something. */
static void test_copying_has_to_pay(void **state)
{
	assert_true(engine_copy_is_worthwhile(ENGINE_COPY_MIN_TOKENS + 1, 1));
	assert_false(engine_copy_is_worthwhile(ENGINE_COPY_MIN_TOKENS, 1));
	assert_false(engine_copy_is_worthwhile(0, 0));
	assert_false(engine_copy_is_worthwhile(UINT32_MAX, UINT32_MAX));
}

/* Prompts that come close together stall what is generated beside them: they are spread. */
static void test_prompts_are_spread_over_the_longest_pause(void **state)
{
	engine_limits_t limits = {.slots = 64, .longest_pause = 250 * USEC_PER_MSEC};
	scheduler_t *this = one_engine(64);
	held_slot_t place = {.ticket = 99, .engine = 100, .workspace = 1, .prefill_done = true};
	instant_t now = USEC_PER_SEC;
	uint64_t ticket = 0;
	unsigned int begun = 0;

	scheduler_add_engine(this, 100, SIM_POOL, &limits);
	scheduler_confirm_slot(this, 4, &place, now);
	while (ticket < 40) {
		slot_request_t ask = plain_ask(++ticket, now);

		ask.work.prompt = 3000;
		scheduler_request_slot(this, 3, &ask, now);
	}
	/* 40 prompts of 3000 tokens, at 10 us a token as long as nothing else is learnt. */
	for (unsigned int ms = 0; ms < 250; ms += 5)
		begun += count_grants(this, now + ms * USEC_PER_MSEC);
	assert_in_range(begun * 30, 1, 250);
	scheduler_delete(this);
}

/*
 * A caller that was refused comes back by way of another router.  Its first
 * attempt is what its time counts from, so it stands behind one that is new.
 */
static void test_refused_request_comes_back_as_late(void **state)
{
	scheduler_t *this = one_engine(1);
	instant_t now = USEC_PER_SEC;
	held_slot_t place = {.ticket = 9, .engine = 100, .workspace = 1, .prefill_done = true};
	slot_request_t ask = plain_ask(1, now);
	scheduler_action_t action;

	scheduler_confirm_slot(this, 4, &place, now);
	ask.request_fingerprint = 77;
	scheduler_request_slot(this, 3, &ask, now);
	now = ask.first_token_deadline;
	assert_int_equal(count_grants(this, now), 0);
	now += LATE_WAIT;
	scheduler_run(this, now);
	assert_true(scheduler_next_action(this, &action));
	assert_int_equal(action.kind, SCHEDULER_REFUSE);

	now += USEC_PER_SEC;
	ask = plain_ask(2, now);
	ask.request_fingerprint = 78;
	scheduler_request_slot(this, 3, &ask, now);
	ask = plain_ask(3, now);
	ask.request_fingerprint = 77;
	scheduler_request_slot(this, 5, &ask, now);
	scheduler_end(this, 4, 9, 10, now);
	scheduler_run(this, now);
	assert_true(scheduler_next_action(this, &action));
	assert_int_equal(action.kind, SCHEDULER_GRANT);
	assert_int_equal(action.router, 3);
	assert_int_equal(action.ticket, 2);
	scheduler_delete(this);
}

/* Another owner, beyond a cut, fills the same engine: its reports show it. */
static void test_foreign_load_is_left_room(void **state)
{
	scheduler_t *this = one_engine(10);
	instant_t now = USEC_PER_SEC;
	slot_request_t ask = plain_ask(1, now);

	scheduler_request_slot(this, 3, &ask, now);
	assert_int_equal(count_grants(this, now), 1);
	for (int i = 0; i < 40; i++)
		scheduler_load_report(this, 3, 1, 7, now);
	for (uint64_t ticket = 2; ticket <= 10; ticket++) {
		ask = plain_ask(ticket, now);
		ask.work.prompt = 10;
		ask.first_token_deadline = now + 5 * USEC_PER_SEC;
		scheduler_request_slot(this, 3, &ask, now);
	}
	assert_int_equal(count_grants(this, now), 3);
	now += 2 * USEC_PER_SEC; /* no report since */
	assert_int_equal(count_grants(this, now), 6);
	scheduler_delete(this);
}

/* The engine that read the shared parts is full: another copies them from it. */
static void test_shared_parts_are_copied(void **state)
{
	scheduler_t *this = one_engine(1);
	instant_t now = USEC_PER_SEC;
	scheduler_action_t action;
	slot_request_t ask;

	for (uint64_t ticket = 1; ticket <= 2; ticket++) {
		if (ticket == 2)
			scheduler_add_engine(this, 101, SIM_POOL, &(engine_limits_t){.slots = 1});
		ask = plain_ask(ticket, now);
		ask.work.prompt = 6000;
		ask.work.chain = (prompt_chain_t){1, {77}, {5000}};
		scheduler_request_slot(this, 3, &ask, now);
		scheduler_run(this, now);
		assert_true(scheduler_next_action(this, &action));
		assert_int_equal(action.kind, SCHEDULER_GRANT);
		assert_int_equal(action.engine, 99 + ticket);
		assert_int_equal(action.source, ticket == 1 ? 0 : 100);
		now += 100 * USEC_PER_MSEC;
	}
	scheduler_delete(this);
}

/* The only engine fails now and then: what can be in time still goes there. */
static void test_only_engine_is_used_though_it_fails(void **state)
{
	scheduler_t *this = one_engine(4);
	instant_t now = USEC_PER_SEC;

	for (uint64_t ticket = 1; ticket <= 30; ticket++) {
		slot_request_t ask = plain_ask(ticket, now);

		ask.first_token_deadline = now + 120 * USEC_PER_MSEC;
		scheduler_request_slot(this, 3, &ask, now);
		assert_int_equal(count_grants(this, now), 1);
		now += 30 * USEC_PER_MSEC;
		if (ticket % 2) {
			scheduler_fail(this, 3, ticket, SLOT_INCOMPLETE, now);
			continue;
		}
		scheduler_first_token(this, 3, ticket, now);
		scheduler_end(this, 3, ticket, 1, now);
	}
	scheduler_delete(this);
}

static void test_leaving_engine_gets_nothing_new(void **state)
{
	scheduler_t *this = one_engine(2);
	instant_t now = USEC_PER_SEC;
	slot_request_t ask = plain_ask(1, now);

	scheduler_set_usable(this, 100, false);
	scheduler_request_slot(this, 3, &ask, now);
	assert_int_equal(count_grants(this, now), 0);
	scheduler_remove_engine(this, 100);
	assert_int_equal(count_grants(this, now + 2 * USEC_PER_SEC), 0);
	assert_int_equal(scheduler_waiting(this), 0);
	scheduler_delete(this);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calm_is_served_in_time),
		cmocka_unit_test(test_crest_leaves_few_late),
		cmocka_unit_test(test_refusals_come_early),
		cmocka_unit_test(test_largest_are_served),
		cmocka_unit_test(test_flood_keeps_to_its_share),
		cmocka_unit_test(test_idleness_banks_nothing),
		cmocka_unit_test(test_shared_parts_stay_where_they_were_read),
		cmocka_unit_test(test_dead_engine_is_passed_over),
		cmocka_unit_test(test_places_come_back),
		cmocka_unit_test(test_lost_end_is_put_right_by_a_report),
		cmocka_unit_test(test_held_places_count),
		cmocka_unit_test(test_whole_prompt_is_read_without_a_source),
		cmocka_unit_test(test_copying_has_to_pay),
		cmocka_unit_test(test_prompts_are_spread_over_the_longest_pause),
		cmocka_unit_test(test_refused_request_comes_back_as_late),
		cmocka_unit_test(test_foreign_load_is_left_room),
		cmocka_unit_test(test_shared_parts_are_copied),
		cmocka_unit_test(test_only_engine_is_used_though_it_fails),
		cmocka_unit_test(test_leaving_engine_gets_nothing_new),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
