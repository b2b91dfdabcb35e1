/* unequal_engines - engines that differ in speed, under simulated load; time and seeds are given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/engine_sim.h"

#define SIM_ENGINES 12
#define SIM_FAST 3
#define SIM_SEEDS 8
#define GAP_LIMIT (400 * USEC_PER_MSEC)

/* A quarter of the engines is more than twice as fast as the others. */
static const double slowness[SIM_ENGINES] = {
	0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2};

static const sim_workload_t digest = {6600, 0, 0, 380, 800, 15000};
static const sim_workload_t chat = {800, 0, 0, 290, 400, 12000};

static sim_t *unequal_sim(uint32_t seed)
{
	const sim_options_t options = {
		.engines = SIM_ENGINES,
		.slots = 16,
		.step_us = 3900,
		.prefill_tokens_per_ms = 66,
		.seed = seed,
		.late_wait = 80 * USEC_PER_MSEC,
		.slowness = slowness,
		.noise = 2.5,
		.noise_share = 0.15,
		.noise_ms = 600,
		.interference = 9,
		.max_event_gap = GAP_LIMIT,
		.event_tokens = 8,
	};
	sim_t *sim = sim_new(&options);

	sim_offer(sim, 0, &digest, 30);
	sim_offer(sim, 1, &chat, 50);
	return sim;
}

/* Work follows speed: a fast engine serves at least as many more tokens as it is faster. */
static void test_work_follows_the_speed_of_engines(void **state)
{
	for (uint32_t seed = 1; seed <= SIM_SEEDS; seed++) {
		sim_t *sim = unequal_sim(seed);
		double fast = 0;
		double slow = 0;

		sim_run(sim, 20000);
		for (unsigned int i = 0; i < SIM_ENGINES; i++)
			*(slowness[i] < 1 ? &fast : &slow) +=
				(double)sim_engine_count(sim, i)->tokens;
		fast /= SIM_FAST;
		slow /= SIM_ENGINES - SIM_FAST;
		print_message(
			"seed %u: tokens of fast engines / of slow ones %.2f\n", seed, fast / slow);
		assert_true(fast * slowness[0] >= slow * slowness[1]);
		sim_delete(sim);
	}
}

/*
 * Three of 100 streams may have too long a pause.  Machines turn slow at any moment, and what runs
 * there already is late then.
 */
static void test_pauses_stay_in_bounds(void **state)
{
	unsigned int streams = 0;
	unsigned int late = 0;
	unsigned int offered = 0;
	unsigned int timely = 0;

	for (uint32_t seed = 1; seed <= SIM_SEEDS; seed++) {
		sim_t *sim = unequal_sim(seed);

		sim_run(sim, 20000);
		for (unsigned int i = 0; i < SIM_ENGINES; i++) {
			streams += sim_engine_count(sim, i)->streams;
			late += sim_engine_count(sim, i)->late_pauses;
		}
		for (unsigned int w = 0; w < 2; w++) {
			offered += sim_count(sim, w)->offered;
			timely += sim_count(sim, w)->timely;
		}
		sim_delete(sim);
	}
	print_message("offered %u timely %u, of %u streams %u late by a pause\n", offered, timely,
		streams, late);
	assert_true(late * 100 <= streams * 3);
	assert_true(timely * 100 >= offered * 95);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_work_follows_the_speed_of_engines),
		cmocka_unit_test(test_pauses_stay_in_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
