/* node - the decisions of several routers together, with time and seed given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "tests/harness.h"

#define WARM_UP_MS 4000

static const harness_options_t usual = {
	.routers = 8,
	.replicas = 4,
	.slots = 4,
	.workspaces = 6,
	.weights = {4, 2, 1, 1, 1, 1},
	.long_cost = 100,
	.delay_ms = 2,
	.seed = 1,
	.policy = "fleet",
};

/*
 * The bound of docs/DESIGN.md, "Fair share": 2 (S / W + 1) C + H + E, with S
 * slots, W the sum of weights, C the largest cost, H the handicap of longer
 * work and E what is served a weight unit while a counter is under way (1 s).
 */
static double fairness_bound(const harness_t *harness)
{
	const harness_options_t *o = &harness->options;
	double slots = o->replicas * o->slots;
	double weights = 0;

	for (unsigned int w = 0; w < o->workspaces; w++)
		weights += o->weights[w];
	return 2 * (slots / weights + 1) * harness->cost_max + o->long_cost +
	       1000 * slots / weights;
}

/* Workspace 0 is on all routers, the small ones together on the last. */
static void spread_unevenly(harness_t *harness)
{
	unsigned int last = harness->options.routers - 1;

	for (unsigned int r = 0; r <= last; r++)
		harness->backlog[r][0] = 6;
	harness->backlog[0][1] = 20;
	for (unsigned int w = 2; w < harness->options.workspaces; w++)
		harness->backlog[last][w] = 8;
}

static double gap_of(harness_options_t options, unsigned int ms)
{
	harness_t *harness = harness_new(&options);
	double gap;

	spread_unevenly(harness);
	harness_run(harness, WARM_UP_MS);
	gap = harness_measure_fairness_gap(harness, ms);
	print_message("  %s, %u routers, seed %u, %u s: gap %.0f, bound %.0f\n", options.policy,
		options.routers, options.seed, ms / 1000, gap, fairness_bound(harness));
	if (!g_strcmp0(options.policy, "fleet"))
		assert_true(gap < fairness_bound(harness));
	harness_delete(harness);
	return gap;
}

static void test_gap_does_not_grow_with_time(void **state)
{
	gap_of(usual, 10000);
	gap_of(usual, 60000);
}

static void test_gap_does_not_grow_with_routers(void **state)
{
	harness_options_t options = usual;

	for (options.routers = 2; options.routers <= HARNESS_ROUTERS; options.routers *= 2)
		gap_of(options, 20000);
	options.routers = 8;
	for (options.seed = 2; options.seed < 6; options.seed++)
		gap_of(options, 20000);
}

static void test_the_check_tells_an_unfair_policy(void **state)
{
	harness_options_t options = usual;

	options.policy = "fixed";
	assert_true(gap_of(options, 60000) > gap_of(usual, 60000) * 3);
}

static double utilisation(harness_t *harness, unsigned int ms)
{
	uint64_t before = harness->served_units;
	double slots = harness->options.replicas * harness->options.slots;

	harness_run(harness, ms);
	return (double)(harness->served_units - before) / ms / slots;
}

static void test_no_slot_idles_while_work_waits(void **state)
{
	harness_t *harness = harness_new(&usual);
	double used;

	spread_unevenly(harness);
	harness_run(harness, WARM_UP_MS);
	used = utilisation(harness, 20000);
	print_message("  backlog everywhere: %.4f of the slots in use\n", used);
	/* Costs of 5 to 60 ms and a hand-over of two messages of 2 ms and 1 ms of batching. */
	assert_true(used > 0.85);
	harness_delete(harness);
	harness = harness_new(&usual);
	harness->backlog[5][2] = 40;
	harness_run(harness, WARM_UP_MS);
	used = utilisation(harness, 20000);
	print_message("  backlog at one router only: %.4f\n", used);
	assert_true(used > 0.85);
	harness_delete(harness);
}

static void test_no_slot_is_used_twice(void **state)
{
	harness_options_t options = usual;

	for (options.seed = 1; options.seed < 6; options.seed++) {
		harness_t *harness = harness_new(&options);

		spread_unevenly(harness);
		harness_run(harness, WARM_UP_MS);
		memset(harness->most_in_use, 0, sizeof(harness->most_in_use));
		harness_run(harness, 20000);
		for (unsigned int i = 0; i < options.replicas; i++)
			assert_true(harness->most_in_use[i] <= options.slots);
		harness_delete(harness);
	}
}

/* A small workspace beside one that floods: its first slot within one largest cost and a second. */
static void test_no_workspace_starves(void **state)
{
	harness_t *harness = harness_new(&usual);

	for (unsigned int r = 0; r < usual.routers; r++)
		harness->backlog[r][0] = 60;
	harness_run(harness, WARM_UP_MS);
	for (int i = 0; i < 20; i++) {
		harness_submit(harness, 3, 4, 20, 60000);
		harness_run(harness, 500);
	}
	print_message("  longest wait of the small one: %llu ms\n",
		(unsigned long long)(harness->longest_wait_us[4] / USEC_PER_MSEC));
	assert_true(harness->longest_wait_us[4] < harness->cost_max * USEC_PER_MSEC + USEC_PER_SEC);
	harness_delete(harness);
}

static void test_lost_messages_leak_no_slot(void **state)
{
	harness_options_t options = usual;
	harness_t *harness;
	double used;

	options.lose_per_mille = 200;
	harness = harness_new(&options);
	spread_unevenly(harness);
	harness_run(harness, 20000);
	harness->options.lose_per_mille = 0;
	harness_run(harness, 2000);
	used = utilisation(harness, 10000);
	print_message("  after a fifth of the messages was lost: %.4f\n", used);
	assert_true(used > 0.85);
	memset(harness->most_in_use, 0, sizeof(harness->most_in_use));
	harness_run(harness, 10000);
	for (unsigned int i = 0; i < options.replicas; i++)
		assert_true(harness->most_in_use[i] <= options.slots);
	harness_drain(harness);
	harness_delete(harness);
}

static void test_killed_router_is_replaced(void **state)
{
	harness_t *harness = harness_new(&usual);
	double used;

	spread_unevenly(harness);
	harness_run(harness, WARM_UP_MS);
	harness_kill_router(harness, 2);
	harness_kill_router(harness, 4);
	harness_run(harness, 3000);
	used = utilisation(harness, 5000);
	print_message("  3 s after two of eight were killed: %.4f\n", used);
	assert_true(used > 0.85 * 0.9);
	harness_delete(harness);
}

static void collect_level(
	void *ctx, id_t32 pool, id_t32 workspace, double level, unsigned int waiting)
{
	double *levels = ctx;

	levels[workspace % HARNESS_WORKSPACES] = level;
}

/* A router that restarts with nothing gets back what it had served itself. */
static void test_counters_come_back(void **state)
{
	harness_t *harness = harness_new(&usual);
	double levels[HARNESS_WORKSPACES] = {0};
	double total;

	harness->backlog[3][2] = 20;
	harness_run(harness, WARM_UP_MS);
	harness_kill_router(harness, 3);
	harness_run(harness, 500);
	harness_start_router(harness, 3);
	total = harness->served[2];
	harness_run(harness, 3000);
	node_each_lane(harness->nodes[3], collect_level, levels);
	print_message("  served before the restart %.0f, level after it %.0f\n", total,
		levels[3002 % HARNESS_WORKSPACES]);
	assert_true(levels[3002 % HARNESS_WORKSPACES] > total * 0.9);
	harness_delete(harness);
}

/* Both halves of a split own every replica in their own view; what runs stays bounded. */
static void split_and_heal(uint32_t seed)
{
	harness_options_t options = usual;
	harness_t *harness;
	unsigned int most = 0;
	double gap;

	options.seed = seed;
	harness = harness_new(&options);
	spread_unevenly(harness);
	harness_run(harness, WARM_UP_MS);
	memset(harness->most_in_use, 0, sizeof(harness->most_in_use));
	harness_set_partitioned(harness, 7, true);
	harness_set_partitioned(harness, 6, true);
	harness_run(harness, 8000);
	for (unsigned int i = 0; i < usual.replicas; i++)
		most = MAX(most, harness->most_in_use[i]);
	print_message("  two cut off: at most %u in use of %u slots\n", most, usual.slots);
	assert_true(most <= usual.slots * 2);
	harness_set_partitioned(harness, 7, false);
	harness_set_partitioned(harness, 6, false);
	harness_run(harness, 5000);
	memset(harness->most_in_use, 0, sizeof(harness->most_in_use));
	gap = harness_measure_fairness_gap(harness, 20000);
	print_message("  healed: gap %.0f, bound %.0f\n", gap, fairness_bound(harness));
	assert_true(gap < fairness_bound(harness));
	for (unsigned int i = 0; i < usual.replicas; i++)
		assert_true(harness->most_in_use[i] <= usual.slots);
	harness_delete(harness);
}

static void test_partition_over_admits_a_bounded_amount(void **state)
{
	for (uint32_t seed = 1; seed < 5; seed++)
		split_and_heal(seed);
}

/* One router hears that an endpoint leaves; a moment later nobody sends it work. */
static void test_leaving_replica_gets_no_new_work(void **state)
{
	harness_t *harness = harness_new(&usual);
	unsigned int before;

	spread_unevenly(harness);
	harness_run(harness, WARM_UP_MS);
	node_set_leaving(harness->nodes[1], harness_replica_id(0), true, harness->now);
	harness_run(harness, 20 + harness->cost_max);
	before = harness->in_use[0];
	assert_int_equal(before, 0);
	memset(harness->most_in_use, 0, sizeof(harness->most_in_use));
	harness_run(harness, 20000);
	assert_int_equal(harness->most_in_use[0], 0);
	harness_delete(harness);
}

/* A stopping router owns nothing, and what waits there is still served. */
static void test_planned_stop_serves_what_waits(void **state)
{
	harness_t *harness = harness_new(&usual);
	unsigned int rejected;

	spread_unevenly(harness);
	harness_run(harness, WARM_UP_MS);
	rejected = harness->rejected;
	memset(harness->backlog[7], 0, sizeof(harness->backlog[7]));
	node_stop(harness->nodes[7], harness->now);
	harness_run(harness, 15000);
	for (unsigned int w = 0; w < usual.workspaces; w++)
		assert_int_equal(harness->waiting[7][w], 0);
	assert_int_equal(node_running(harness->nodes[7]), 0);
	assert_int_equal(harness->rejected, rejected);
	harness_delete(harness);
}

/* What can't start in time is told so at its deadline, with when to come back. */
static void test_giving_up(void **state)
{
	harness_options_t options = usual;
	harness_t *harness;

	options.replicas = 1;
	options.slots = 1;
	harness = harness_new(&options);
	harness->cost_min = 2000;
	harness->cost_max = 2000;
	harness->backlog[0][0] = 1;
	harness_run(harness, 3000);
	harness_submit(harness, 1, 1, 10, 300);
	harness_run(harness, 305);
	assert_int_equal(harness->rejected, 1);
	assert_true(harness->last_retry_after_s >= 1);
	harness_delete(harness);
}

/* A flood is refused at once, and only its own workspace is. */
static void test_flood_is_refused_at_once(void **state)
{
	harness_t *harness = harness_new(&usual);
	unsigned int before;

	harness->backlog[0][0] = 10;
	harness_run(harness, WARM_UP_MS);
	for (int i = 0; i < 4000; i++)
		harness_submit(harness, 0, 0, 30, 2000);
	before = harness->rejected;
	print_message("  of 4000 at once, %u were refused at once\n", before);
	assert_true(before > 1000);
	harness_submit(harness, 0, 4, 10, 2000);
	harness_run(harness, 1000);
	assert_true(harness->longest_wait_us[4] < USEC_PER_SEC);
	assert_int_equal(harness->waiting[0][4], 0);
	harness_delete(harness);
}

static void test_same_seed_same_decisions(void **state)
{
	unsigned int started[2];
	uint64_t messages[2];

	for (int i = 0; i < 2; i++) {
		harness_t *harness = harness_new(&usual);

		spread_unevenly(harness);
		harness_run(harness, 8000);
		started[i] = harness->started;
		messages[i] = harness->messages;
		harness_delete(harness);
	}
	assert_int_equal(started[0], started[1]);
	assert_int_equal(messages[0], messages[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gap_does_not_grow_with_time),
		cmocka_unit_test(test_gap_does_not_grow_with_routers),
		cmocka_unit_test(test_the_check_tells_an_unfair_policy),
		cmocka_unit_test(test_no_slot_idles_while_work_waits),
		cmocka_unit_test(test_no_slot_is_used_twice),
		cmocka_unit_test(test_no_workspace_starves),
		cmocka_unit_test(test_lost_messages_leak_no_slot),
		cmocka_unit_test(test_killed_router_is_replaced),
		cmocka_unit_test(test_counters_come_back),
		cmocka_unit_test(test_partition_over_admits_a_bounded_amount),
		cmocka_unit_test(test_leaving_replica_gets_no_new_work),
		cmocka_unit_test(test_planned_stop_serves_what_waits),
		cmocka_unit_test(test_giving_up),
		cmocka_unit_test(test_flood_is_refused_at_once),
		cmocka_unit_test(test_same_seed_same_decisions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
