/* node - the combined decisions of several routers; time and seeds are given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "tests/harness.h"

#define WARM_UP_MS 4000

static const harness_options_t default_options = {
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
 * Returns the bound given in docs/DESIGN.md, "Fair share": 2 (S / W + 1) C + H + E,
 * where S is the number of slots, W the sum of the weights, C the largest cost, H the
 * handicap of long requests, and E the cost served per unit of weight in 1 s, the time
 * that a served counter takes to reach the other routers.
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

/*
 * Sets up uneven backlogs: workspace 0 at all routers, workspace 1 at router 0 only, all
 * others at the last router only.
 */
static void set_uneven_backlogs(harness_t *harness)
{
	unsigned int last = harness->options.routers - 1;

	for (unsigned int r = 0; r <= last; r++)
		harness->backlog[r][0] = 6;
	harness->backlog[0][1] = 20;
	for (unsigned int w = 2; w < harness->options.workspaces; w++)
		harness->backlog[last][w] = 8;
}

/*
 * Returns the largest change of one workspace's lead over another, in weighted cost
 * units.  It must be within the bound for the fleet policy.
 */
static double measure_gap(harness_options_t options, unsigned int ms)
{
	harness_t *harness = harness_new(&options);
	double gap;

	set_uneven_backlogs(harness);
	harness_run(harness, WARM_UP_MS);
	gap = harness_measure_fairness_gap(harness, ms);
	print_message("  %s, %u routers, seed %u, %u s: gap %.0f, bound %.0f\n", options.policy,
		options.routers, options.seed, ms / 1000, gap, fairness_bound(harness));
	if (!g_strcmp0(options.policy, "fleet"))
		assert_true(gap < fairness_bound(harness));
	harness_delete(harness);
	return gap;
}

/* The gap must not grow with time. */
static void test_fairness_gap_is_within_bound_after_10_and_60_s(void **state)
{
	measure_gap(default_options, 10000);
	measure_gap(default_options, 60000);
}

/* The gap must not grow with the number of routers. */
static void test_fairness_gap_is_within_bound_for_2_to_16_routers(void **state)
{
	harness_options_t options = default_options;

	for (options.routers = 2; options.routers <= HARNESS_ROUTERS; options.routers *= 2)
		measure_gap(options, 20000);
	options.routers = 8;
	for (options.seed = 2; options.seed < 6; options.seed++)
		measure_gap(options, 20000);
}

/* Checks that the measurement detects an unfair policy. */
static void test_fairness_gap_of_fixed_policy_is_over_3_times_that_of_fleet(void **state)
{
	harness_options_t options = default_options;

	options.policy = "fixed";
	assert_true(measure_gap(options, 60000) > measure_gap(default_options, 60000) * 3);
}

/* Runs for `ms` and returns the share of the slots' time that was in use. */
static double slot_utilization(harness_t *harness, unsigned int ms)
{
	uint64_t before = harness->served_units;
	double slots = harness->options.replicas * harness->options.slots;

	harness_run(harness, ms);
	return (double)(harness->served_units - before) / ms / slots;
}

static void test_85_percent_of_slots_are_used_while_requests_wait(void **state)
{
	harness_t *harness = harness_new(&default_options);
	double used;

	set_uneven_backlogs(harness);
	harness_run(harness, WARM_UP_MS);
	used = slot_utilization(harness, 20000);
	print_message("  backlog at all routers: slot utilization %.4f\n", used);
	/*
	 * Requests take 5 to 60 ms.  Passing a slot to another router takes two messages of
	 * 2 ms each and 1 ms of batching.
	 */
	assert_true(used > 0.85);
	harness_delete(harness);
	harness = harness_new(&default_options);
	harness->backlog[5][2] = 40;
	harness_run(harness, WARM_UP_MS);
	used = slot_utilization(harness, 20000);
	print_message("  backlog at one router only: slot utilization %.4f\n", used);
	assert_true(used > 0.85);
	harness_delete(harness);
}

static void test_replica_runs_no_more_requests_than_slots(void **state)
{
	harness_options_t options = default_options;

	for (options.seed = 1; options.seed < 6; options.seed++) {
		harness_t *harness = harness_new(&options);

		set_uneven_backlogs(harness);
		harness_run(harness, WARM_UP_MS);
		memset(harness->most_in_use, 0, sizeof(harness->most_in_use));
		harness_run(harness, 20000);
		for (unsigned int i = 0; i < options.replicas; i++)
			assert_true(harness->most_in_use[i] <= options.slots);
		harness_delete(harness);
	}
}

/*
 * While one workspace floods all routers, each request of a small workspace starts
 * within the duration of the largest request plus 1 s.
 */
static void test_small_workspace_is_served_beside_a_flooding_one(void **state)
{
	harness_t *harness = harness_new(&default_options);

	for (unsigned int r = 0; r < default_options.routers; r++)
		harness->backlog[r][0] = 60;
	harness_run(harness, WARM_UP_MS);
	for (int i = 0; i < 20; i++) {
		harness_submit(harness, 3, 4, 20, 60000);
		harness_run(harness, 500);
	}
	print_message("  longest wait of the small workspace: %llu ms\n",
		(unsigned long long)(harness->longest_wait_us[4] / USEC_PER_MSEC));
	assert_true(harness->longest_wait_us[4] < harness->cost_max * USEC_PER_MSEC + USEC_PER_SEC);
	harness_delete(harness);
}

/* After a loss of messages the slots are in use again, and none is granted twice. */
static void test_lost_messages_leak_no_slots(void **state)
{
	harness_options_t options = default_options;
	harness_t *harness;
	double used;

	options.lose_per_mille = 200;
	harness = harness_new(&options);
	set_uneven_backlogs(harness);
	harness_run(harness, 20000);
	harness->options.lose_per_mille = 0;
	harness_run(harness, 2000);
	used = slot_utilization(harness, 10000);
	print_message("  after the loss of 20 %% of the messages: slot utilization %.4f\n", used);
	assert_true(used > 0.85);
	memset(harness->most_in_use, 0, sizeof(harness->most_in_use));
	harness_run(harness, 10000);
	for (unsigned int i = 0; i < options.replicas; i++)
		assert_true(harness->most_in_use[i] <= options.slots);
	harness_drain(harness);
	harness_delete(harness);
}

/* The other routers take over the replicas of routers that were killed. */
static void test_slots_are_used_again_3_s_after_two_routers_are_killed(void **state)
{
	harness_t *harness = harness_new(&default_options);
	double used;

	set_uneven_backlogs(harness);
	harness_run(harness, WARM_UP_MS);
	harness_kill_router(harness, 2);
	harness_kill_router(harness, 4);
	harness_run(harness, 3000);
	used = slot_utilization(harness, 5000);
	print_message(
		"  3 s after two of eight routers were killed: slot utilization %.4f\n", used);
	assert_true(used > 0.85 * 0.9);
	harness_delete(harness);
}

static void collect_level(
	void *ctx, id_t32 pool, id_t32 workspace, double level, unsigned int waiting)
{
	double *levels = ctx;

	levels[workspace % HARNESS_WORKSPACES] = level;
}

/*
 * A router that restarts without state gets the cost that it had served before from
 * the other routers.
 */
static void test_restarted_router_gets_its_served_counters_back(void **state)
{
	harness_t *harness = harness_new(&default_options);
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
	/* 3002 is the id that the harness gives to workspace 2. */
	print_message("  served before the restart %.0f, level after it %.0f\n", total,
		levels[3002 % HARNESS_WORKSPACES]);
	assert_true(levels[3002 % HARNESS_WORKSPACES] > total * 0.9);
	harness_delete(harness);
}

/*
 * In a partition each side considers itself the owner of every replica.  Together they
 * run at most twice as many requests as a replica has slots.
 */
static void check_partition(uint32_t seed)
{
	harness_options_t options = default_options;
	harness_t *harness;
	unsigned int peak = 0;
	double gap;

	options.seed = seed;
	harness = harness_new(&options);
	set_uneven_backlogs(harness);
	harness_run(harness, WARM_UP_MS);
	memset(harness->most_in_use, 0, sizeof(harness->most_in_use));
	harness_set_partitioned(harness, 7, true);
	harness_set_partitioned(harness, 6, true);
	harness_run(harness, 8000);
	for (unsigned int i = 0; i < default_options.replicas; i++)
		peak = MAX(peak, harness->most_in_use[i]);
	print_message("  two routers cut off: at most %u requests on %u slots\n", peak,
		default_options.slots);
	assert_true(peak <= default_options.slots * 2);
	harness_set_partitioned(harness, 7, false);
	harness_set_partitioned(harness, 6, false);
	harness_run(harness, 5000);
	memset(harness->most_in_use, 0, sizeof(harness->most_in_use));
	gap = harness_measure_fairness_gap(harness, 20000);
	print_message("  partition healed: gap %.0f, bound %.0f\n", gap, fairness_bound(harness));
	assert_true(gap < fairness_bound(harness));
	for (unsigned int i = 0; i < default_options.replicas; i++)
		assert_true(harness->most_in_use[i] <= default_options.slots);
	harness_delete(harness);
}

static void test_partition_uses_at_most_twice_the_slots(void **state)
{
	for (uint32_t seed = 1; seed < 5; seed++)
		check_partition(seed);
}

static unsigned int count_renewals(const harness_t *harness)
{
	unsigned int sum = 0;

	for (unsigned int from = 0; from < harness->options.routers; from++) {
		for (unsigned int to = 0; to < harness->options.routers; to++)
			sum += harness->renewed[from][to];
	}
	return sum;
}

/* Router 0 hears router 1, which does not hear it: router 0 must renew its link, no other one. */
static void test_link_silent_in_one_direction_is_renewed(void **state)
{
	harness_t *harness = harness_new(&default_options);

	set_uneven_backlogs(harness);
	harness_run(harness, WARM_UP_MS);
	harness->partitioned[0][1] = true;
	harness_run(harness, (MEMBER_DEAD_AFTER / USEC_PER_MSEC) + 3000);
	assert_int_equal(harness->renewed[0][1], 1);
	harness_run(harness, 30000);
	print_message("  renewed %u times in 33 s of silence\n", harness->renewed[0][1]);
	assert_in_range(harness->renewed[0][1], 2, 10); /* with growing pauses */
	assert_int_equal(count_renewals(harness), harness->renewed[0][1]);
	harness_delete(harness);
}

/* Links that lose no messages stay: after a partition, and when a router restarts. */
static void test_links_that_work_are_not_renewed(void **state)
{
	harness_t *harness = harness_new(&default_options);

	set_uneven_backlogs(harness);
	harness_run(harness, WARM_UP_MS);
	harness_set_partitioned(harness, 7, true);
	harness_run(harness, 8000);
	harness_set_partitioned(harness, 7, false);
	harness_run(harness, 5000);
	harness_kill_router(harness, 3);
	harness_run(harness, 4000);
	harness_start_router(harness, 3);
	harness_run(harness, 5000);
	assert_int_equal(count_renewals(harness), 0);
	harness_delete(harness);
}

/*
 * Only one router is informed that a replica is leaving.  It informs the others, and
 * once the running requests have ended, no router starts one there.
 */
static void test_leaving_replica_gets_no_new_requests(void **state)
{
	harness_t *harness = harness_new(&default_options);
	unsigned int before;

	set_uneven_backlogs(harness);
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

/* A stopping router no longer owns replicas, but its waiting requests are served. */
static void test_planned_stop_serves_waiting_requests(void **state)
{
	harness_t *harness = harness_new(&default_options);
	unsigned int rejected;

	set_uneven_backlogs(harness);
	harness_run(harness, WARM_UP_MS);
	rejected = harness->rejected;
	memset(harness->backlog[7], 0, sizeof(harness->backlog[7]));
	node_stop(harness->nodes[7], harness->now);
	harness_run(harness, 15000);
	for (unsigned int w = 0; w < default_options.workspaces; w++)
		assert_int_equal(harness->waiting[7][w], 0);
	assert_int_equal(node_running(harness->nodes[7]), 0);
	assert_int_equal(harness->rejected, rejected);
	harness_delete(harness);
}

/* A request that can't start in time is rejected at its deadline, with a retry delay. */
static void test_request_past_its_deadline_is_rejected_with_retry_delay(void **state)
{
	harness_options_t options = default_options;
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

/*
 * Part of a flood is rejected on arrival.  A request of another workspace is still
 * served within 1 s.
 */
static void test_flood_is_rejected_at_once_without_delaying_another_workspace(void **state)
{
	harness_t *harness = harness_new(&default_options);
	unsigned int before;

	harness->backlog[0][0] = 10;
	harness_run(harness, WARM_UP_MS);
	for (int i = 0; i < 4000; i++)
		harness_submit(harness, 0, 0, 30, 2000);
	before = harness->rejected;
	print_message("  of 4000 simultaneous requests, %u were rejected on arrival\n", before);
	assert_true(before > 1000);
	harness_submit(harness, 0, 4, 10, 2000);
	harness_run(harness, 1000);
	assert_true(harness->longest_wait_us[4] < USEC_PER_SEC);
	assert_int_equal(harness->waiting[0][4], 0);
	harness_delete(harness);
}

static void test_same_seed_gives_same_decisions(void **state)
{
	unsigned int started[2];
	uint64_t messages[2];

	for (int i = 0; i < 2; i++) {
		harness_t *harness = harness_new(&default_options);

		set_uneven_backlogs(harness);
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
		cmocka_unit_test(test_fairness_gap_is_within_bound_after_10_and_60_s),
		cmocka_unit_test(test_fairness_gap_is_within_bound_for_2_to_16_routers),
		cmocka_unit_test(test_fairness_gap_of_fixed_policy_is_over_3_times_that_of_fleet),
		cmocka_unit_test(test_85_percent_of_slots_are_used_while_requests_wait),
		cmocka_unit_test(test_replica_runs_no_more_requests_than_slots),
		cmocka_unit_test(test_small_workspace_is_served_beside_a_flooding_one),
		cmocka_unit_test(test_lost_messages_leak_no_slots),
		cmocka_unit_test(test_slots_are_used_again_3_s_after_two_routers_are_killed),
		cmocka_unit_test(test_restarted_router_gets_its_served_counters_back),
		cmocka_unit_test(test_partition_uses_at_most_twice_the_slots),
		cmocka_unit_test(test_link_silent_in_one_direction_is_renewed),
		cmocka_unit_test(test_links_that_work_are_not_renewed),
		cmocka_unit_test(test_leaving_replica_gets_no_new_requests),
		cmocka_unit_test(test_planned_stop_serves_waiting_requests),
		cmocka_unit_test(test_request_past_its_deadline_is_rejected_with_retry_delay),
		cmocka_unit_test(test_flood_is_rejected_at_once_without_delaying_another_workspace),
		cmocka_unit_test(test_same_seed_gives_same_decisions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
