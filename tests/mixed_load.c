#include "tests/mixed_load.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#define SEEDS 9
#define MAX_LOSS_BESIDE_LONG 0.05 /* a twentieth */
#define SLOTS 16
#define PREFILL_TOKENS_PER_MS 66
#define CHUNK_TOKENS 2048
#define MAX_EVENT_GAP_MS 400
#define WORKSPACES 12
#define BEGIN_MS 1000
#define LEARNT_MS 9000
#define CRASH_MS 11000
#define RETURN_MS 12000
#define UNTIL_MS 19000
#define DRAIN_MS 3000

static const fleet_workload_t digest = {12000, 5382, 60, 384, 800, 15000};
static const fleet_workload_t chat = {826, 198, 60, 288, 400, 12000};
static const fleet_workload_t tag = {2368, 568, 60, 24, 400, 3000};
static const fleet_workload_t alike = {
	.prompt = 1600, .answer = 100, .target_ms = 400, .deadline_ms = 3000};

static bool is_in_aim(const fleet_result_t *result)
{
	return !result->is_refused && result->is_in_time &&
	       result->longest_pause <= MAX_EVENT_GAP_MS * USEC_PER_MSEC;
}

static void add(mixed_count_t *count, const fleet_result_t *result)
{
	bool in_aim = is_in_aim(result);

	count->offered++;
	count->served += !result->is_refused;
	count->in_aim += in_aim;
	count->late += !result->is_refused && !result->is_in_time;
	count->paused += !result->is_refused && result->is_in_time && !in_aim;
}

static void on_result(void *ctx, const fleet_result_t *result)
{
	mixed_tally_t *tally = ctx;

	if (!tally->counts)
		return;
	tally->paused_in_vain += result->paused_in_vain;
	if (result->workload == &alike)
		add(&tally->alike, result);
	if (result->workload == &digest)
		g_array_append_val(tally->sizes, *result);
	if (result->prompt >= MIXED_LONG_PROMPT)
		add(&tally->long_ones, result);
	if (result->prompt < MIXED_SHORT_PROMPT && !result->is_refused)
		add(result->beside_long ? &tally->beside : &tally->apart, result);
}

static gint larger_first(gconstpointer a, gconstpointer b)
{
	unsigned int left = ((const fleet_result_t *)a)->prompt;
	unsigned int right = ((const fleet_result_t *)b)->prompt;

	return left < right ? 1 : left > right ? -1 : 0;
}

static void count_by_size(mixed_tally_t *tally)
{
	g_array_sort(tally->sizes, larger_first);
	for (unsigned int i = 0; i < tally->sizes->len; i++) {
		const fleet_result_t *result = &g_array_index(tally->sizes, fleet_result_t, i);

		add(&tally->digests, result);
		if (i < tally->sizes->len / 10)
			add(&tally->largest, result);
		else if (i < tally->sizes->len * 3 / 10)
			add(&tally->large, result);
	}
	g_array_unref(tally->sizes);
	tally->sizes = NULL;
}

double mixed_ratio(unsigned int part, unsigned int whole)
{
	return whole ? (double)part / whole : 1;
}

static void set_speeds(double *speeds, uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);

	for (unsigned int i = 0; i < MIXED_ENGINES; i++)
		speeds[i] = i % 4 == 0 ? g_rand_double_range(random, 0.9, 1.1)
				       : g_rand_double_range(random, 0.33, 0.5);
	g_rand_free(random);
}

static void offer(fleet_sim_t *sim, const fleet_workload_t *workload, double per_second)
{
	for (unsigned int w = 0; w < WORKSPACES && per_second > 0; w++)
		fleet_sim_offer(sim, &(fleet_offer_t){w, workload, per_second / WORKSPACES, 0,
					     MIXED_ROUTERS, BEGIN_MS, UNTIL_MS});
}

static uint64_t steered(fleet_sim_t *sim)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < MIXED_ROUTERS; i++) {
		const placement_stats_t *stats = placement_stats(fleet_sim_placement(sim, i));

		sum += stats->steered_pauses + stats->steered_reading + stats->redirected_reading;
	}
	return sum;
}

static void play_seed(const mixed_load_t *load, uint32_t seed, mixed_tally_t *tally)
{
	double speeds[MIXED_ENGINES];
	fleet_options_t options = {
		.routers = MIXED_ROUTERS,
		.engines = load->engines ? load->engines : MIXED_ENGINES,
		.slots = SLOTS,
		.seed = seed,
		.prefill_tokens_per_ms = PREFILL_TOKENS_PER_MS,
		.speeds = load->equal_speeds ? NULL : speeds,
		.chunk_tokens = CHUNK_TOKENS,
		.max_event_gap_ms = MAX_EVENT_GAP_MS,
		.long_prompt = MIXED_LONG_PROMPT,
		.fixed_sizes = load->all_alike > 0,
		.on_result = on_result,
		.ctx = tally,
	};
	fleet_sim_t *sim;

	set_speeds(speeds, seed);
	tally->counts = false;
	sim = fleet_sim_new(&options);
	offer(sim, &digest, load->digests);
	offer(sim, &chat, load->chats);
	offer(sim, &tag, load->tags);
	offer(sim, &alike, load->all_alike);
	fleet_sim_run(sim, LEARNT_MS);
	tally->counts = true;
	fleet_sim_run(sim, CRASH_MS - LEARNT_MS);
	fleet_sim_crash(sim, 0, load->cold);
	fleet_sim_run(sim, RETURN_MS - CRASH_MS);
	fleet_sim_start_engines(sim, 0, load->cold);
	fleet_sim_run(sim, UNTIL_MS + DRAIN_MS - RETURN_MS);
	tally->steered += steered(sim);
	tally->counts = false;
	fleet_sim_delete(sim);
}

static void print_count(const char *name, const mixed_count_t *count)
{
	if (count->offered)
		printf("  %-8s %5u served %.3f in aim %.3f late %.3f paused %.3f\n", name,
			count->offered, mixed_ratio(count->served, count->offered),
			mixed_ratio(count->in_aim, count->offered),
			mixed_ratio(count->late, count->offered),
			mixed_ratio(count->paused, count->offered));
}

mixed_tally_t mixed_load_play(const mixed_load_t *load)
{
	mixed_tally_t tally = {.sizes = g_array_new(FALSE, FALSE, sizeof(fleet_result_t))};

	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		play_seed(load, seed, &tally);
	count_by_size(&tally);
	printf("%s: steered %" G_GUINT64_FORMAT ", streams paused in vain %u\n", load->name,
		(guint64)tally.steered, tally.paused_in_vain);
	print_count("beside", &tally.beside);
	print_count("apart", &tally.apart);
	print_count("alike", &tally.alike);
	print_count("long", &tally.long_ones);
	print_count("digests", &tally.digests);
	print_count("largest", &tally.largest);
	print_count("large", &tally.large);
	return tally;
}

/* --- what callers get ------------------------------------------------------ */

static double share_in_aim(const mixed_count_t *count)
{
	return mixed_ratio(count->in_aim, count->offered);
}

static void assert_at_least(const char *what, double share, double least)
{
	if (share < least)
		fail_msg("%s: %.3f in aim, not %.3f", what, share, least);
}

void mixed_load_check(const mixed_load_t *load, mixed_before_t before)
{
	mixed_tally_t tally = mixed_load_play(load);
	double short_ones = mixed_ratio(tally.beside.in_aim + tally.apart.in_aim,
		tally.beside.offered + tally.apart.offered);

	assert_at_least("short prompts beside long ones", share_in_aim(&tally.beside),
		share_in_aim(&tally.apart) - MAX_LOSS_BESIDE_LONG);
	assert_at_least("short prompts", short_ones, before.short_ones);
	assert_at_least("long prompts", share_in_aim(&tally.long_ones), before.long_ones);
	assert_at_least("the largest tenth", share_in_aim(&tally.largest),
		share_in_aim(&tally.digests) / 2);
	assert_at_least(
		"the fifth below", share_in_aim(&tally.large), share_in_aim(&tally.digests) / 2);
}
