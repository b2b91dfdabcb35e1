/*
 * cold endpoints - a whole fleet keeps to the pace of cold engines: a failure domain that returns
 * at once, owners that change, messages lost, late and twice, routers cut from owners
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/fleet_sim.h"

#define ROUTERS 24
#define ENGINES 16
#define RETURNING 4 /* engines of a failure domain */
#define SLOTS 24
#define PREFILL_TOKENS_PER_MS 112
#define PACE 12
#define COLD_MS 3000
#define SEEDS 8
#define LOAD (ENGINES * 70.0) /* requests a second: more than the engines bear when cold */
#define ROW_MS 300

static const fleet_workload_t question = {900, 200, 60, 60, 300, 4000};

static fleet_sim_t *fleet(uint32_t seed, unsigned int slots, bool tells_cold)
{
	fleet_options_t options = {.routers = ROUTERS,
		.engines = ENGINES,
		.slots = slots,
		.seed = seed,
		.prefill_tokens_per_ms = PREFILL_TOKENS_PER_MS};
	fleet_cold_options_t cold = {PACE, COLD_MS, tells_cold};
	fleet_sim_t *sim = fleet_sim_new(&options);

	fleet_sim_set_cold_options(sim, &cold);
	for (unsigned int w = 0; w < 8; w++) {
		fleet_offer_t offer = {.workspace = w,
			.workload = &question,
			.per_second = LOAD / 8,
			.first_router = 3 * w,
			.routers = 6,
			.from_ms = 500,
			.until_ms = 30000};

		fleet_sim_offer(sim, &offer);
	}
	return sim;
}

/* What cold engines got is close to what they bear, so that nothing is held back needlessly. */
static void assert_used(const fleet_sim_t *sim, unsigned int engines, double least)
{
	unsigned int borne = engines * PACE * COLD_MS / 1000;

	assert_true(fleet_sim_arrivals_while_cold(sim) >= least * borne);
}

static void assert_kept(const fleet_sim_t *sim)
{
	print_message("peak %u of cold engines in a second, %u requests, %u ends\n",
		fleet_sim_peak_while_cold(sim), fleet_sim_arrivals_while_cold(sim),
		fleet_sim_overruns(sim));
	assert_int_equal(fleet_sim_overruns(sim), 0);
}

/* The engines are down for two seconds, and routers read at different times that they are back. */
static fleet_sim_t *domain_returns(uint32_t seed, unsigned int row_ms)
{
	fleet_sim_t *sim = fleet(seed, SLOTS, true);

	fleet_sim_run(sim, 3000);
	fleet_sim_crash(sim, 0, RETURNING);
	fleet_sim_run(sim, 2000);
	fleet_sim_turn_cold(sim, 0, RETURNING, row_ms);
	return sim;
}

static void test_whole_domain_that_returns_at_once(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = domain_returns(seed, ROW_MS);

		fleet_sim_run(sim, COLD_MS + 500);
		assert_kept(sim);
		assert_used(sim, RETURNING, 0.5);
		fleet_sim_delete(sim);
	}
}

/* No row says that the engines are cold, and no response: they were away. */
static void test_domain_that_was_away_and_says_nothing(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = fleet(seed, SLOTS, false);

		fleet_sim_run(sim, 3000);
		fleet_sim_crash(sim, 0, RETURNING);
		fleet_sim_run(sim, 2000);
		fleet_sim_turn_cold(sim, 0, RETURNING, 0);
		fleet_sim_run(sim, COLD_MS + 500);
		assert_kept(sim);
		fleet_sim_delete(sim);
	}
}

/* Streams run, and the engines are busy: only rows tell at once, responses a little later. */
static void test_engines_that_go_cold_under_load(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = fleet(seed, SLOTS, true);

		for (unsigned int k = 0; k < 3; k++) {
			fleet_sim_run(sim, 3000);
			fleet_sim_turn_cold(sim, 0, ENGINES, 50);
			fleet_sim_run(sim, COLD_MS);
		}
		assert_kept(sim);
		assert_used(sim, 3 * ENGINES, 0.5);
		fleet_sim_delete(sim);
	}
}

static void test_messages_are_lost_late_and_twice(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = domain_returns(seed, ROW_MS);

		fleet_sim_disturb(sim, 100);
		fleet_sim_run(sim, COLD_MS + 500);
		assert_kept(sim);
		assert_used(sim, RETURNING, 0.3);
		fleet_sim_delete(sim);
	}
}

/* Owners of cold engines are killed one after the other, and come back. */
static void test_owners_change_during_the_cold_time(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = domain_returns(seed, ROW_MS);

		for (unsigned int i = 0; i < ROUTERS; i += 3) {
			fleet_sim_restart_routers(sim, i, 3);
			fleet_sim_run(sim, COLD_MS * 3 / ROUTERS);
		}
		assert_kept(sim);
		fleet_sim_delete(sim);
	}
}

/* Two thirds of the routers start again just as the engines come back. */
static void test_routers_restart_as_the_domain_returns(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = domain_returns(seed, ROW_MS);

		fleet_sim_run(sim, 400);
		fleet_sim_restart_routers(sim, 0, ROUTERS * 2 / 3);
		fleet_sim_run(sim, COLD_MS);
		assert_kept(sim);
		fleet_sim_delete(sim);
	}
}

static void test_partition_during_the_cold_time(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = domain_returns(seed, ROW_MS);

		fleet_sim_run(sim, 300);
		fleet_sim_split(sim, ROUTERS * (seed % 2 ? 1 : 2) / 4);
		fleet_sim_run(sim, 1200);
		fleet_sim_split(sim, 0);
		fleet_sim_run(sim, COLD_MS - 1500);
		assert_kept(sim);
		fleet_sim_delete(sim);
	}
}

/* The two sides exist before the engines return: each has an owner for them. */
static void test_domain_returns_in_a_partition(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = fleet(seed, SLOTS, true);

		fleet_sim_run(sim, 2000);
		fleet_sim_split(sim, ROUTERS / 2);
		fleet_sim_crash(sim, 0, RETURNING);
		fleet_sim_run(sim, 3000);
		fleet_sim_turn_cold(sim, 0, RETURNING, ROW_MS);
		fleet_sim_run(sim, COLD_MS);
		assert_kept(sim);
		fleet_sim_delete(sim);
	}
}

/* No router reaches another: nearly all requests start without a grant. */
static void test_routers_cut_from_all_owners(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = domain_returns(seed, ROW_MS);

		fleet_sim_run(sim, 200);
		fleet_sim_cut(sim, true);
		fleet_sim_run(sim, COLD_MS);
		assert_kept(sim);
		fleet_sim_delete(sim);
	}
}

/* A router that stands still has grants in its hands, and sends as it wakes. */
static void test_slow_routers_send_no_old_grants_to_cold_engines(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		fleet_sim_t *sim = domain_returns(seed, ROW_MS);

		fleet_sim_slow_routers(sim, 0, ROUTERS / 2, 900);
		fleet_sim_run(sim, COLD_MS + 500);
		assert_kept(sim);
		fleet_sim_delete(sim);
	}
}

/* Engines that are not cold take what the cold ones can't. */
static void test_fleet_serves_on_beside_cold_engines(void **state)
{
	fleet_sim_t *sim = fleet(1, SLOTS, true);
	uint64_t warm;
	uint64_t before;

	fleet_sim_run(sim, 2000);
	before = fleet_sim_runs(sim);
	fleet_sim_run(sim, COLD_MS);
	warm = fleet_sim_runs(sim) - before;
	fleet_sim_turn_cold(sim, 0, RETURNING, ROW_MS);
	fleet_sim_run(sim, COLD_MS);
	assert_true(fleet_sim_runs(sim) - before - warm >= warm * (ENGINES - RETURNING) / ENGINES);
	fleet_sim_delete(sim);
}

/* Requests refused, and those that waited past their objective, in the seconds from 3 to 4. */
static double late_per_refusal(const fleet_sim_t *sim)
{
	unsigned int refused = 0;
	unsigned int past_target = 0;

	for (unsigned int w = 0; w < 8; w++) {
		for (unsigned int s = 3; s < 5; s++) {
			refused += fleet_sim_count(sim, w, s)->refused;
			past_target += fleet_sim_count(sim, w, s)->past_target;
		}
	}
	print_message("refused %u, past their objective %u\n", refused, past_target);
	assert_true(refused > LOAD);
	return (double)past_target / refused;
}

/* All are cold: what can't be served is told as soon as where the slots are too few. */
static void test_requests_beyond_the_pace_are_refused_as_those_beyond_the_slots(void **state)
{
	fleet_sim_t *cold = fleet(1, SLOTS, true);
	fleet_sim_t *small = fleet(1, SLOTS / 6, true);

	fleet_sim_run(cold, 2000);
	fleet_sim_turn_cold(cold, 0, ENGINES, 50);
	fleet_sim_run(cold, COLD_MS);
	fleet_sim_run(small, 2000 + COLD_MS);
	assert_true(late_per_refusal(cold) < 1.25 * late_per_refusal(small));
	fleet_sim_delete(small);
	fleet_sim_delete(cold);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_domain_that_returns_at_once),
		cmocka_unit_test(test_domain_that_was_away_and_says_nothing),
		cmocka_unit_test(test_engines_that_go_cold_under_load),
		cmocka_unit_test(test_messages_are_lost_late_and_twice),
		cmocka_unit_test(test_owners_change_during_the_cold_time),
		cmocka_unit_test(test_routers_restart_as_the_domain_returns),
		cmocka_unit_test(test_partition_during_the_cold_time),
		cmocka_unit_test(test_domain_returns_in_a_partition),
		cmocka_unit_test(test_routers_cut_from_all_owners),
		cmocka_unit_test(test_slow_routers_send_no_old_grants_to_cold_engines),
		cmocka_unit_test(test_fleet_serves_on_beside_cold_engines),
		cmocka_unit_test(
			test_requests_beyond_the_pace_are_refused_as_those_beyond_the_slots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
