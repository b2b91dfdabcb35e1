/* scheduler - behaviour under simulated load, and single decisions; time and seeds are given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tests/engine_sim.h"

#define SEEDS 4
#define SCARCE_WORKSPACES 5
#define FAIR_SLACK 3
#define LATE_WAIT (300 * USEC_PER_MSEC)

static const sim_options_t default_options = {
	.engines = 3,
	.slots = 24,
	.step_us = 6000,
	.prefill_tokens_per_ms = 140,
	.late_wait = LATE_WAIT,
};

/* Drafts are long answers to large prompts, labels are short answers to small prompts. */
static const sim_workload_t draft = {6000, 4800, 30, 300, 400, 12000};
static const sim_workload_t label = {1800, 200, 60, 20, 250, 2500};

static sim_t *sim_with_seed(uint32_t seed)
{
	sim_options_t options = default_options;

	options.seed = seed;
	return sim_new(&options);
}

static void offer_mix(sim_t *sim, unsigned int workspaces, double factor)
{
	for (unsigned int w = 0; w < workspaces; w++) {
		sim_offer(sim, w, &draft, 9 * factor / workspaces);
		sim_offer(sim, w, &label, 12 * factor / workspaces);
	}
}

static sim_count_t sum_counts(const sim_t *sim)
{
	sim_count_t sum = {0};

	for (unsigned int w = 0; w < SIM_WORKSPACES; w++) {
		const sim_count_t *count = sim_count(sim, w);

		sum.offered += count->offered;
		sum.timely += count->timely;
		sum.late += count->late;
		sum.refused += count->refused;
		sum.shared_prefill_tokens += count->shared_prefill_tokens;
		if (count->longest_refusal_wait > sum.longest_refusal_wait)
			sum.longest_refusal_wait = count->longest_refusal_wait;
	}
	return sum;
}

/* Below capacity at least 93 % of the requests are in time and none is refused. */
static void test_normal_load_is_served_in_time(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_t *sim = sim_with_seed(seed);
		sim_count_t sum;

		offer_mix(sim, 4, 1);
		sim_run(sim, 20000);
		sum = sum_counts(sim);
		assert_int_equal(sum.refused, 0);
		assert_true(sum.timely * 100 >= sum.offered * 93);
		sim_delete(sim);
	}
}

/*
 * At six times the normal load, which is above the engines' capacity, some requests are
 * refused, and at least four of five requests with a first token are in time.
 */
static void test_overload_leaves_few_served_requests_late(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_t *sim = sim_with_seed(seed);
		sim_count_t sum;

		offer_mix(sim, 4, 6);
		sim_run(sim, 15000);
		sum = sum_counts(sim);
		assert_true(sum.refused > 0);
		assert_true(sum.timely >= 4 * sum.late);
		sim_delete(sim);
	}
}

/* A request that can't be in time is refused soon, not shortly before its deadline. */
static void test_overload_refuses_long_before_the_deadline(void **state)
{
	sim_t *sim = sim_with_seed(5);
	sim_count_t sum;

	offer_mix(sim, 4, 8);
	sim_run(sim, 10000);
	sum = sum_counts(sim);
	assert_true(sum.refused > 100);
	/*
	 * A request waits until its first-token objective and then LATE_WAIT have passed.
	 * The objective of a prompt that is too large for it is replaced by twice the
	 * time to the first token on an idle engine.
	 */
	assert_true(sum.longest_refusal_wait <= LATE_WAIT + 1000 * USEC_PER_MSEC);
	sim_delete(sim);
}

/* The tenth with the largest prompts is served at least half as often as all requests. */
static void test_largest_tenth_is_served_at_least_half_as_often_as_all(void **state)
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

/*
 * One workspace sends sixteen times as much as each of three others, which still get
 * at least 85 % of their requests served.
 */
static void test_flooding_workspace_takes_little_from_three_others(void **state)
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

/*
 * A workspace that was idle gains no credit for that time.  In the second eight
 * seconds after it starts to send, neither it nor the busy workspace is served more than
 * 1.3 times the tokens of the other.
 */
static void test_idle_workspace_gains_no_credit(void **state)
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

/* Number of the workspace's requests that got a first token. */
static unsigned int begun(const sim_t *sim, unsigned int workspace)
{
	return sim_count(sim, workspace)->timely + sim_count(sim, workspace)->late;
}

/*
 * One workspace has used what nobody else wanted when another begins to flood: what it was served
 * before does not count against it.  In the six seconds after, as in any, neither gets less than
 * half of the other.
 */
static void test_workspace_that_begins_to_flood_does_not_lock_out_another(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_t *sim = sim_with_seed(seed);
		unsigned int first;
		unsigned int second;

		sim_offer(sim, 0, &draft, 60);
		sim_offer(sim, 1, &draft, 1);
		sim_run(sim, 20000);
		sim_offer(sim, 1, &draft, 60);
		first = begun(sim, 0);
		second = begun(sim, 1);
		sim_run(sim, 6000);
		first = begun(sim, 0) - first;
		second = begun(sim, 1) - second;
		assert_true(first * 2 >= second);
		assert_true(second * 2 >= first);
		sim_delete(sim);
	}
}

/*
 * The first workspace asks for `before` requests a second, more than anybody else.  Then the
 * engines name a rate and all workspaces want more than there is: in the next six seconds, it gets
 * at least half of what any other gets.
 */
static void check_share_when_engines_become_scarce(uint32_t seed, double before)
{
	unsigned int counts[SCARCE_WORKSPACES];
	sim_t *sim = sim_with_seed(seed);

	sim_offer(sim, 0, &draft, before);
	for (unsigned int w = 1; w < SCARCE_WORKSPACES; w++)
		sim_offer(sim, w, &draft, 2);
	sim_run(sim, 20000);
	for (unsigned int engine = 0; engine < default_options.engines; engine++)
		scheduler_set_rate_limit(
			sim_scheduler(sim), sim_engine_id(engine), 3000, sim_now(sim));
	for (unsigned int w = 0; w < SCARCE_WORKSPACES; w++) {
		counts[w] = begun(sim, w);
		sim_offer(sim, w, &draft, 6);
	}
	sim_run(sim, 6000);
	for (unsigned int w = 1; w < SCARCE_WORKSPACES; w++)
		assert_true(
			(begun(sim, 0) - counts[0] + FAIR_SLACK) * 2 >= begun(sim, w) - counts[w]);
	sim_delete(sim);
}

/* It was served all that it asked for, and nobody else wanted it. */
static void test_workspace_is_not_locked_out_when_the_engines_become_scarce(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		check_share_when_engines_become_scarce(seed, 25);
}

/* It got less than it asked for before, but the others did not. */
static void test_flooding_workspace_is_not_locked_out_when_the_engines_become_scarce(void **state)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		check_share_when_engines_become_scarce(seed, 60);
}

/* While the engines have room, requests with a shared part go to few engines. */
static void test_shared_parts_are_prefilled_on_few_engines(void **state)
{
	sim_t *sim = sim_with_seed(2);
	sim_count_t sum;

	sim_offer(sim, 0, &draft, 12);
	sim_run(sim, 20000);
	sum = sum_counts(sim);
	/* Prefilling each of the 30 parts once on each of the 3 engines would be 90 parts. */
	assert_true(sum.shared_prefill_tokens <= (uint64_t)60 * draft.shared);
	sim_delete(sim);
}

/* An unreachable engine gets an occasional probe, not a share of the requests. */
static void test_unreachable_engine_gets_at_most_20_requests(void **state)
{
	sim_options_t options = default_options;
	sim_t *sim;
	sim_count_t sum;

	options.seed = 4;
	options.unreachable_engine = 2;
	sim = sim_new(&options);
	offer_mix(sim, 2, 1);
	sim_run(sim, 10000);
	sum = sum_counts(sim);
	assert_true(sum.offered - sum.timely - sum.late - sum.refused <= 20);
	sim_delete(sim);
}

/* --- single decisions ----------------------------------------------------- */

static slot_request_t slot_request(uint64_t ticket, instant_t now)
{
	return (slot_request_t){.ticket = ticket,
		.pool = SIM_POOL,
		.workspace = 1,
		.work = {.prompt = 1000, .answer = 100},
		.first_token_deadline = now + 300 * USEC_PER_MSEC,
		.deadline = now + 5 * USEC_PER_SEC};
}

static scheduler_t *scheduler_with_one_engine(unsigned int slots)
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

/* A request whose version has no room at this owner does not hold up those behind it. */
static void test_late_request_bound_to_a_version_blocks_no_others(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(2);
	instant_t now = USEC_PER_SEC;

	scheduler_set_version(this, 100, 1);
	for (uint64_t ticket = 1; ticket <= 2; ticket++) {
		slot_request_t request = slot_request(ticket, now);

		request.is_late = true;
		request.version = ticket == 1 ? 2 : 0;
		scheduler_request_slot(this, 3, &request, now);
	}
	assert_int_equal(count_grants(this, now), 1);
	assert_int_equal(scheduler_waiting(this), 1);
	scheduler_delete(this);
}

/*
 * All routers were restarted, and their callers take up their streams among a flood of new
 * requests.  The slots that become free go to the streams, which wait longer than others.
 */
static void test_stream_that_goes_on_comes_before_new_requests(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(1);
	instant_t now = USEC_PER_SEC;
	scheduler_action_t action;
	slot_request_t request;

	scheduler_set_version(this, 100, 1);
	for (uint64_t ticket = 1; ticket <= 20; ticket++) {
		request = slot_request(ticket, now);
		scheduler_request_slot(this, 3, &request, now);
	}
	assert_int_equal(count_grants(this, now), 1);
	request = slot_request(100, now);
	request.is_late = true;
	request.version = 1;
	scheduler_request_slot(this, 3, &request, now);
	now += LATE_WAIT + USEC_PER_MSEC;
	scheduler_run(this, now); /* the others can no longer be in time, or are refused */
	while (scheduler_next_action(this, &action))
		assert_true(action.ticket != 100);
	request = slot_request(101, now);
	scheduler_request_slot(this, 3, &request, now);
	for (uint64_t ticket = 1; ticket <= 20; ticket++)
		scheduler_end(this, 3, ticket, 100, now);
	scheduler_run(this, now);
	assert_true(scheduler_next_action(this, &action));
	assert_int_equal(action.kind, SCHEDULER_GRANT);
	assert_int_equal(action.ticket, 100);
	scheduler_delete(this);
}

static void test_ended_requests_free_their_slots(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(2);
	instant_t now = USEC_PER_SEC;

	for (uint64_t ticket = 1; ticket <= 4; ticket++) {
		slot_request_t request = slot_request(ticket, now);

		scheduler_request_slot(this, 3, &request, now);
		scheduler_request_slot(this, 3, &request, now); /* a duplicate has no effect */
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

/*
 * The message that request 2 has ended is lost, and its slot stays in use.  Its router's
 * reports of all slots in use no longer contain it, which frees the slot.
 */
static void test_slot_of_lost_end_is_freed_by_reports_without_it(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(2);
	instant_t now = USEC_PER_SEC;
	held_slot_t slot = {.ticket = 1, .engine = 100, .workspace = 1, .prompt = 1000};
	slot_request_t request;

	for (uint64_t ticket = 1; ticket <= 2; ticket++) {
		request = slot_request(ticket, now);
		scheduler_request_slot(this, 3, &request, now);
	}
	assert_int_equal(count_grants(this, now), 2);
	for (int i = 0; i < 3; i++) {
		now += USEC_PER_SEC;
		scheduler_confirm_slot(this, 3, &slot, now);
		scheduler_end_report(this, 3, now);
	}
	assert_int_equal(scheduler_running(this), 1);
	scheduler_delete(this);
}

/* A new owner counts slots that the former owner granted, once a router reports them. */
static void test_slots_granted_by_former_owner_count_as_used(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(2);
	instant_t now = USEC_PER_SEC;
	held_slot_t slot = {.ticket = 9, .engine = 100, .workspace = 1, .prefill_done = true};
	slot_request_t request;

	scheduler_confirm_slot(this, 4, &slot, now);
	for (uint64_t ticket = 1; ticket <= 2; ticket++) {
		request = slot_request(ticket, now);
		scheduler_request_slot(this, 3, &request, now);
	}
	assert_int_equal(count_grants(this, now), 1);
	scheduler_end(this, 4, 9, 10, now);
	assert_int_equal(count_grants(this, now), 1);
	scheduler_delete(this);
}

/*
 * Without an engine to copy from, an uncached prompt counts in full.  A second request
 * with the same shared part counts only its private tokens.
 */
static void test_uncached_prompt_without_copy_source_is_prefilled_whole(void **state)
{
	static engine_t engine;
	engine_work_t work = {.prompt = 8000, .answer = 10, .chain = {1, {77}, {5000}}};
	engine_request_t first = {0};
	engine_request_t second = {0};

	engine_init(&engine, 100, &(engine_limits_t){.slots = 8});
	assert_int_equal(engine_prefill_tokens_with_copy(&engine, &work, UINT32_MAX), 8000);
	engine_begin_request(&engine, &first, &work, UINT32_MAX, USEC_PER_SEC);
	assert_int_equal(first.prefill_tokens, 8000);
	engine_begin_request(&engine, &second, &work, UINT32_MAX, USEC_PER_SEC);
	assert_int_equal(second.prefill_tokens, 3000);
}

/* Copying must save tokens, even for the largest prompt that a caller can claim. */
static void test_copy_is_worthwhile_only_above_the_minimum_of_saved_tokens(void **state)
{
	assert_true(engine_copy_is_worthwhile(ENGINE_COPY_MIN_TOKENS + 1, 1));
	assert_false(engine_copy_is_worthwhile(ENGINE_COPY_MIN_TOKENS, 1));
	assert_false(engine_copy_is_worthwhile(0, 0));
	assert_false(engine_copy_is_worthwhile(UINT32_MAX, UINT32_MAX));
}

/*
 * Prefills in quick succession stall the answers that the engine generates at the same
 * time.  Their starts are spread to keep pauses within the limit.
 */
static void test_prefills_are_spread_to_keep_the_longest_pause(void **state)
{
	engine_limits_t limits = {.slots = 64, .max_event_gap = 250 * USEC_PER_MSEC};
	scheduler_t *this = scheduler_with_one_engine(64);
	held_slot_t slot = {.ticket = 99, .engine = 100, .workspace = 1, .prefill_done = true};
	instant_t now = USEC_PER_SEC;
	uint64_t ticket = 0;
	unsigned int started = 0;

	scheduler_add_engine(this, 100, SIM_POOL, &limits);
	scheduler_confirm_slot(this, 4, &slot, now);
	while (ticket < 40) {
		slot_request_t request = slot_request(++ticket, now);

		request.work.prompt = 3000;
		scheduler_request_slot(this, 3, &request, now);
	}
	/* 40 prompts of 3000 tokens take 30 ms each at the initial estimate of 10 us a token. */
	for (unsigned int ms = 0; ms < 250; ms += 5)
		started += count_grants(this, now + ms * USEC_PER_MSEC);
	assert_in_range(started * 30, 1, 250);
	scheduler_delete(this);
}

/*
 * A refused caller retries through another router.  Its request has the same fingerprint
 * and counts as late, because the time since its first attempt counts.  A new request
 * therefore gets the slot first.
 */
static void test_retry_of_refused_request_counts_as_late(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(1);
	instant_t now = USEC_PER_SEC;
	held_slot_t slot = {.ticket = 9, .engine = 100, .workspace = 1, .prefill_done = true};
	slot_request_t request = slot_request(1, now);
	scheduler_action_t action;

	scheduler_confirm_slot(this, 4, &slot, now);
	request.request_fingerprint = 77;
	scheduler_request_slot(this, 3, &request, now);
	now = request.first_token_deadline;
	assert_int_equal(count_grants(this, now), 0);
	now += LATE_WAIT;
	scheduler_run(this, now);
	assert_true(scheduler_next_action(this, &action));
	assert_int_equal(action.kind, SCHEDULER_REFUSE);

	now += USEC_PER_SEC;
	request = slot_request(2, now);
	request.request_fingerprint = 78;
	scheduler_request_slot(this, 3, &request, now);
	request = slot_request(3, now);
	request.request_fingerprint = 77;
	scheduler_request_slot(this, 5, &request, now);
	scheduler_end(this, 4, 9, 10, now);
	scheduler_run(this, now);
	assert_true(scheduler_next_action(this, &action));
	assert_int_equal(action.kind, SCHEDULER_GRANT);
	assert_int_equal(action.router, 3);
	assert_int_equal(action.ticket, 2);
	scheduler_delete(this);
}

/*
 * In a network partition another owner grants slots of the same engine.  The engine's
 * load reports show this external load, and this owner grants correspondingly less.
 */
static void test_external_load_reduces_grants_until_reports_stop(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(10);
	instant_t now = USEC_PER_SEC;
	slot_request_t request = slot_request(1, now);

	scheduler_request_slot(this, 3, &request, now);
	assert_int_equal(count_grants(this, now), 1);
	for (int i = 0; i < 40; i++)
		scheduler_load_report(this, 3, 1, 7, now);
	for (uint64_t ticket = 2; ticket <= 10; ticket++) {
		request = slot_request(ticket, now);
		request.work.prompt = 10;
		request.first_token_deadline = now + 5 * USEC_PER_SEC;
		scheduler_request_slot(this, 3, &request, now);
	}
	assert_int_equal(count_grants(this, now), 3);
	now += 2 * USEC_PER_SEC; /* the last load report is outdated */
	assert_int_equal(count_grants(this, now), 6);
	scheduler_delete(this);
}

/* The engine that has cached the shared parts is full: another engine copies them from it. */
static void test_full_preferred_engine_becomes_copy_source(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(1);
	instant_t now = USEC_PER_SEC;
	scheduler_action_t action;
	slot_request_t request;

	for (uint64_t ticket = 1; ticket <= 2; ticket++) {
		if (ticket == 2)
			scheduler_add_engine(this, 101, SIM_POOL, &(engine_limits_t){.slots = 1});
		request = slot_request(ticket, now);
		request.work.prompt = 6000;
		request.work.chain = (prompt_chain_t){1, {77}, {5000}};
		scheduler_request_slot(this, 3, &request, now);
		scheduler_run(this, now);
		assert_true(scheduler_next_action(this, &action));
		assert_int_equal(action.kind, SCHEDULER_GRANT);
		assert_int_equal(action.engine, 99 + ticket);
		assert_int_equal(action.source, ticket == 1 ? 0 : 100);
		now += 100 * USEC_PER_MSEC;
	}
	scheduler_delete(this);
}

/* The only engine fails every other request; requests that can be in time still go there. */
static void test_only_engine_is_used_despite_failures(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(4);
	instant_t now = USEC_PER_SEC;

	for (uint64_t ticket = 1; ticket <= 30; ticket++) {
		slot_request_t request = slot_request(ticket, now);

		request.first_token_deadline = now + 120 * USEC_PER_MSEC;
		scheduler_request_slot(this, 3, &request, now);
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

static void test_unusable_engine_gets_no_grants(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(2);
	instant_t now = USEC_PER_SEC;
	slot_request_t request = slot_request(1, now);

	scheduler_set_usable(this, 100, false);
	scheduler_request_slot(this, 3, &request, now);
	assert_int_equal(count_grants(this, now), 0);
	scheduler_remove_engine(this, 100);
	assert_int_equal(count_grants(this, now + 2 * USEC_PER_SEC), 0);
	assert_int_equal(scheduler_waiting(this), 0);
	scheduler_delete(this);
}

/* Requests one slot for each of the workspaces 1 and 2; returns the one that gets it. */
static id_t32 next_served(scheduler_t *this, instant_t now)
{
	scheduler_action_t action;

	for (id_t32 workspace = 1; workspace <= 2; workspace++) {
		slot_request_t request = slot_request(1000 + workspace, now);

		request.workspace = workspace;
		scheduler_request_slot(this, 9, &request, now);
	}
	scheduler_run(this, now);
	assert_true(scheduler_next_action(this, &action));
	assert_int_equal(action.kind, SCHEDULER_GRANT);
	return (id_t32)(action.ticket - 1000);
}

/* Workspace 1 has used the only slot for a run that has begun. */
static scheduler_t *scheduler_with_run(instant_t now)
{
	scheduler_t *this = scheduler_with_one_engine(1);
	slot_request_t request = slot_request(1, now);

	scheduler_request_slot(this, 3, &request, now);
	assert_int_equal(count_grants(this, now), 1);
	scheduler_first_token(this, 3, 1, now);
	return this;
}

/* Engines crash: the workspace that had most runs there must not go before all others after it. */
static void test_run_that_breaks_off_counts_as_served(void **state)
{
	instant_t now = USEC_PER_SEC;
	scheduler_t *this = scheduler_with_run(now);

	scheduler_fail(this, 3, 1, SLOT_INCOMPLETE, now);
	assert_int_equal(next_served(this, now), 2);
	scheduler_delete(this);
}

static void test_run_of_a_dead_router_counts_as_served(void **state)
{
	instant_t now = USEC_PER_SEC;
	scheduler_t *this = scheduler_with_run(now);

	scheduler_forget_router(this, 3, now);
	assert_int_equal(next_served(this, now), 2);
	scheduler_delete(this);
}

/* A slot that another owner granted was not charged here. */
static void test_slot_of_another_owner_is_not_refunded(void **state)
{
	instant_t now = USEC_PER_SEC;
	scheduler_t *this = scheduler_with_run(now);
	held_slot_t slot = {.ticket = 9, .engine = 100, .workspace = 1, .prompt = 5000};

	scheduler_end(this, 3, 1, 100, now);
	scheduler_confirm_slot(this, 4, &slot, now);
	scheduler_withdraw(this, 4, 9, now);
	assert_int_equal(next_served(this, now), 2);
	scheduler_delete(this);
}

/* The charge of a slot that is not used decays, and no more than the rest of it is taken back. */
static void test_refund_of_an_unused_slot_is_no_credit(void **state)
{
	instant_t now = USEC_PER_SEC;
	scheduler_t *this = scheduler_with_run(now);
	slot_request_t request;

	scheduler_end(this, 3, 1, 100, now);
	request = slot_request(2, now);
	request.work.prompt = 10000;
	scheduler_request_slot(this, 3, &request, now);
	assert_int_equal(count_grants(this, now), 1);
	now += 2 * USEC_PER_SEC;
	scheduler_fail(this, 3, 2, SLOT_UNREACHABLE, now);
	assert_int_equal(next_served(this, now + USEC_PER_SEC), 2);
	scheduler_delete(this);
}

/* An engine that can't be reached serves nobody: the workspace keeps its place. */
static void test_start_that_fails_costs_no_tokens(void **state)
{
	instant_t now = USEC_PER_SEC;
	scheduler_t *this = scheduler_with_one_engine(1);
	slot_request_t request = slot_request(1, now);

	scheduler_request_slot(this, 3, &request, now);
	assert_int_equal(count_grants(this, now), 1);
	scheduler_fail(this, 3, 1, SLOT_REFUSED, now);
	now += 100 * USEC_PER_MSEC;
	assert_int_equal(next_served(this, now), 1);
	scheduler_delete(this);
}

static void count_lanes(void *ctx, const lane_report_t *report)
{
	unsigned int *lanes = ctx;

	assert_int_equal(report->counts.granted, report->workspace == 1);
	assert_int_equal(report->counts.refused, report->workspace == 2);
	assert_int_equal(report->timely + report->late, 0);
	(*lanes)++;
}

/* Grants and refusals are reported once, by workspace, and only where requests were refused. */
static void test_grants_and_refusals_are_reported_by_workspace(void **state)
{
	scheduler_t *this = scheduler_with_one_engine(1);
	instant_t now = USEC_PER_SEC;
	slot_request_t request = slot_request(1, now);
	unsigned int lanes = 0;

	scheduler_request_slot(this, 3, &request, now);
	assert_int_equal(count_grants(this, now), 1);
	request = slot_request(2, now);
	request.workspace = 2;
	request.is_late = true;
	scheduler_request_slot(this, 3, &request, now);
	assert_int_equal(count_grants(this, now + LATE_WAIT), 0);
	scheduler_report_lanes(this, now + LATE_WAIT, count_lanes, &lanes);
	assert_int_equal(lanes, 2);
	scheduler_report_lanes(this, now + LATE_WAIT, count_lanes, &lanes);
	assert_int_equal(lanes, 2);
	scheduler_delete(this);
}

/* Returns the free slots of an engine of this rate that has just started a request. */
static unsigned int free_slots_after_start(uint32_t rate)
{
	instant_t now = 10 * USEC_PER_SEC;
	scheduler_t *this = scheduler_with_one_engine(8);
	slot_request_t request = slot_request(1, now);
	slot_usage_t usage;

	scheduler_set_rate_limit(this, 100, rate, now - 9 * USEC_PER_SEC);
	scheduler_request_slot(this, 3, &request, now);
	assert_int_equal(count_grants(this, now), 1);
	usage = scheduler_usage(this, SIM_POOL, now);
	scheduler_delete(this);
	return usage.slots - usage.taken;
}

/*
 * An owner that reported no free slot between two starts would have no requests waiting when the
 * next one is due, and could not choose among them by fair share.  A start that is far away does
 * not count.
 */
static void test_engine_with_rate_limit_is_not_full_between_two_starts(void **state)
{
	assert_in_range(free_slots_after_start(7000), 1, 3);
	assert_int_equal(free_slots_after_start(500), 0);
	assert_int_equal(free_slots_after_start(RATE_NONE), 7);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_normal_load_is_served_in_time),
		cmocka_unit_test(test_overload_leaves_few_served_requests_late),
		cmocka_unit_test(test_overload_refuses_long_before_the_deadline),
		cmocka_unit_test(test_largest_tenth_is_served_at_least_half_as_often_as_all),
		cmocka_unit_test(test_flooding_workspace_takes_little_from_three_others),
		cmocka_unit_test(test_idle_workspace_gains_no_credit),
		cmocka_unit_test(test_workspace_that_begins_to_flood_does_not_lock_out_another),
		cmocka_unit_test(test_workspace_is_not_locked_out_when_the_engines_become_scarce),
		cmocka_unit_test(
			test_flooding_workspace_is_not_locked_out_when_the_engines_become_scarce),
		cmocka_unit_test(test_shared_parts_are_prefilled_on_few_engines),
		cmocka_unit_test(test_unreachable_engine_gets_at_most_20_requests),
		cmocka_unit_test(test_late_request_bound_to_a_version_blocks_no_others),
		cmocka_unit_test(test_stream_that_goes_on_comes_before_new_requests),
		cmocka_unit_test(test_ended_requests_free_their_slots),
		cmocka_unit_test(test_slot_of_lost_end_is_freed_by_reports_without_it),
		cmocka_unit_test(test_slots_granted_by_former_owner_count_as_used),
		cmocka_unit_test(test_uncached_prompt_without_copy_source_is_prefilled_whole),
		cmocka_unit_test(test_copy_is_worthwhile_only_above_the_minimum_of_saved_tokens),
		cmocka_unit_test(test_prefills_are_spread_to_keep_the_longest_pause),
		cmocka_unit_test(test_retry_of_refused_request_counts_as_late),
		cmocka_unit_test(test_external_load_reduces_grants_until_reports_stop),
		cmocka_unit_test(test_full_preferred_engine_becomes_copy_source),
		cmocka_unit_test(test_only_engine_is_used_despite_failures),
		cmocka_unit_test(test_unusable_engine_gets_no_grants),
		cmocka_unit_test(test_run_that_breaks_off_counts_as_served),
		cmocka_unit_test(test_run_of_a_dead_router_counts_as_served),
		cmocka_unit_test(test_slot_of_another_owner_is_not_refunded),
		cmocka_unit_test(test_refund_of_an_unused_slot_is_no_credit),
		cmocka_unit_test(test_start_that_fails_costs_no_tokens),
		cmocka_unit_test(test_grants_and_refusals_are_reported_by_workspace),
		cmocka_unit_test(test_engine_with_rate_limit_is_not_full_between_two_starts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
