/* part_watch - which prompt parts are blocked after ends of endpoints; time is given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/part_watch.h"

#define MS USEC_PER_MSEC
#define BAD 0xbadULL
#define COMPANION 0xc0ULL
#define COMMON 0xf1ULL
#define PEER 1U

static part_watch_t *watch_new(void)
{
	static const part_watch_options_t options = {0};

	return part_watch_new(&options);
}

static void record_end(
	part_watch_t *this, uint64_t part, id_t32 endpoint, instant_t sent_at, instant_t now)
{
	const part_set_t parts = {.part = {part}, .count = 1};

	part_watch_record_end(this, &parts, endpoint, sent_at, now);
}

static void record_sound(part_watch_t *this, uint64_t part, instant_t now)
{
	const part_set_t parts = {.part = {part}, .count = 1};

	part_watch_record_sound(this, &parts, now);
}

/* The verdict on a prompt with these parts; sets `until` to the end of the block. */
static part_verdict_t check_until(
	part_watch_t *this, uint64_t first, uint64_t second, instant_t now, instant_t *until)
{
	const part_set_t parts = {.part = {first, second}, .count = second ? 2 : 1};
	part_block_t block;
	part_verdict_t verdict = part_watch_check(this, &parts, now, &block);

	*until = block.until;
	return verdict;
}

static part_verdict_t check(part_watch_t *this, uint64_t first, uint64_t second, instant_t now)
{
	instant_t until;

	return check_until(this, first, second, now, &until);
}

/* Sends a prompt with the part to each of `count` endpoints, one after the other's end. */
static instant_t end_endpoints(part_watch_t *this, uint64_t part, unsigned int count, instant_t at)
{
	for (unsigned int i = 0; i < count; i++, at += 50 * MS)
		record_end(this, part, 100 + i, at, at + 40 * MS);
	return at;
}

/* Hands the entries of one watch to another; returns their number. */
static unsigned int deliver(part_watch_t *from, part_watch_t *to, instant_t now)
{
	message_entry_t entry;
	unsigned int count = 0;

	for (; part_watch_next_entry(from, PEER, &entry, now); count++)
		part_watch_handle_entry(to, &entry, now);
	return count;
}

static void test_part_is_blocked_after_three_ends(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = end_endpoints(watch, BAD, 2, USEC_PER_SEC);

	assert_int_equal(check(watch, COMMON, BAD, now), PART_SUSPECT);
	record_end(watch, BAD, 200, now, now + MS);
	assert_int_equal(check(watch, COMMON, BAD, now + MS), PART_BLOCKED);
	assert_int_equal(check(watch, COMMON, 0, now + MS), PART_ALLOWED);
	assert_int_equal(part_watch_blocked_count(watch, false, now + MS), 1);
	part_watch_delete(watch);
}

/* An endpoint that is back after its end counts again, one end that breaks two prompts only once.
 */
static void test_same_endpoint_counts_again_only_after_it_was_back(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = USEC_PER_SEC;

	for (unsigned int i = 0; i < 4; i++)
		record_end(watch, BAD, 100, now + i * MS, now + i * MS);
	assert_int_equal(check(watch, BAD, 0, now + 10 * MS), PART_ALLOWED);
	record_end(watch, BAD, 100, now + 2000 * MS, now + 2050 * MS);
	record_end(watch, BAD, 100, now + 4000 * MS, now + 4050 * MS);
	assert_int_equal(check(watch, BAD, 0, now + 4060 * MS), PART_BLOCKED);
	part_watch_delete(watch);
}

static void test_sound_answer_clears_a_part(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = end_endpoints(watch, COMMON, 2, USEC_PER_SEC);

	record_sound(watch, COMMON, now);
	now = end_endpoints(watch, COMMON, 2, now + 2000 * MS);
	assert_int_equal(check(watch, COMMON, 0, now), PART_SUSPECT);
	record_sound(watch, COMMON, now);
	assert_int_equal(check(watch, COMMON, 0, now), PART_ALLOWED);
	part_watch_delete(watch);
}

/* A crash of a whole failure domain: all prompts had been sent before the first end. */
static void test_endpoints_that_end_together_block_nothing(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = USEC_PER_SEC;

	for (unsigned int i = 0; i < 8; i++)
		record_end(watch, COMMON, 100 + i, now - 20 * MS, now + i * 10 * MS);
	assert_int_equal(check(watch, COMMON, 0, now + 100 * MS), PART_ALLOWED);
	part_watch_delete(watch);
}

/* Either of two parts may be the cause, so prompts with one of them show which it is. */
static void test_only_prompts_with_both_parts_are_blocked_until_one_is_sound(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = USEC_PER_SEC;

	end_endpoints(watch, BAD, 3, now);
	now = end_endpoints(watch, COMPANION, 3, now);
	assert_int_equal(check(watch, COMPANION, BAD, now), PART_BLOCKED);
	assert_int_not_equal(check(watch, COMPANION, COMMON, now), PART_BLOCKED);
	assert_int_not_equal(check(watch, BAD, COMMON, now), PART_BLOCKED);
	record_sound(watch, COMPANION, now);
	assert_int_equal(check(watch, COMPANION, COMMON, now), PART_ALLOWED);
	assert_int_equal(check(watch, BAD, COMMON, now), PART_BLOCKED);
	part_watch_delete(watch);
}

/* An endpoint at its connection limit resets a connection and goes on to respond. */
static void test_endpoint_that_goes_on_to_respond_has_not_ended(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = end_endpoints(watch, BAD, 3, USEC_PER_SEC);

	assert_int_equal(check(watch, BAD, 0, now), PART_BLOCKED);
	part_watch_record_response(watch, 101, now + 200 * MS);
	assert_int_not_equal(check(watch, BAD, 0, now + 200 * MS), PART_BLOCKED);
	part_watch_delete(watch);
}

/* The endpoint is back under the same id: that does not undo its end. */
static void test_endpoint_that_is_back_has_ended(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = end_endpoints(watch, BAD, 3, USEC_PER_SEC);

	part_watch_record_response(watch, 101, now + 2000 * MS);
	assert_int_equal(check(watch, BAD, 0, now + 2000 * MS), PART_BLOCKED);
	part_watch_delete(watch);
}

static void test_block_ends_and_the_next_end_blocks_for_longer(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = end_endpoints(watch, BAD, 3, USEC_PER_SEC);
	instant_t first;
	instant_t second;

	check_until(watch, BAD, 0, now, &first);
	part_watch_tick(watch, first);
	assert_int_equal(check(watch, BAD, 0, first), PART_SUSPECT);
	record_end(watch, BAD, 300, first, first + MS);
	assert_int_equal(check_until(watch, BAD, 0, first + MS, &second), PART_BLOCKED);
	assert_true(second - first > 3 * PART_WATCH_BLOCK_TIME / 2);
	part_watch_delete(watch);
}

static void test_peers_are_told_of_ends_after_a_delay_and_of_sound_answers(void **state)
{
	part_watch_t *watch = watch_new();
	part_watch_t *peer = watch_new();
	instant_t now = end_endpoints(watch, BAD, 3, USEC_PER_SEC);

	part_watch_tick(watch, now);
	assert_int_equal(deliver(watch, peer, now), 0);
	now += 300 * MS;
	part_watch_tick(watch, now);
	assert_true(part_watch_is_due(watch, PEER));
	assert_int_equal(deliver(watch, peer, now), 3);
	assert_int_equal(check(peer, BAD, 0, now), PART_BLOCKED);
	record_sound(watch, BAD, now);
	assert_int_equal(deliver(watch, peer, now), 1);
	assert_int_equal(check(peer, BAD, 0, now), PART_ALLOWED);
	part_watch_delete(peer);
	part_watch_delete(watch);
}

/* Common parts are shown to be sound at once: no message is spent on them. */
static void test_parts_that_are_soon_sound_are_not_told(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = end_endpoints(watch, COMMON, 2, USEC_PER_SEC);

	record_sound(watch, COMMON, now);
	part_watch_tick(watch, now + 500 * MS);
	assert_false(part_watch_is_due(watch, PEER));
	part_watch_delete(watch);
}

static void test_peer_that_was_out_of_reach_gets_everything(void **state)
{
	part_watch_t *watch = watch_new();
	part_watch_t *peer = watch_new();
	instant_t now = end_endpoints(watch, BAD, 3, USEC_PER_SEC) + 300 * MS;

	part_watch_tick(watch, now);
	deliver(watch, watch, now); /* lost */
	part_watch_reset_peer(watch, PEER);
	assert_int_equal(deliver(watch, peer, now + USEC_PER_SEC), 3);
	assert_int_equal(check(peer, BAD, 0, now + USEC_PER_SEC), PART_BLOCKED);
	part_watch_delete(peer);
	part_watch_delete(watch);
}

static void test_table_is_bounded_and_keeps_blocked_parts(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = end_endpoints(watch, BAD, 3, USEC_PER_SEC);

	for (unsigned int i = 0; i < 3 * PART_WATCH_RECORDS; i++, now += MS)
		record_end(watch, 0x10000 + i, 500, now, now);
	assert_int_equal(check(watch, BAD, 0, now), PART_BLOCKED);
	part_watch_tick(watch, now);
	part_watch_delete(watch);
}

/* Each prompt was sent after the end before, but the news of the ends took different times. */
static void test_ends_told_with_different_delays_count_as_the_teller_counts(void **state)
{
	part_watch_t *watch = watch_new();
	part_watch_t *peer = watch_new();
	instant_t now = USEC_PER_SEC;

	for (unsigned int i = 0; i < 3; i++, now += 5 * MS) {
		message_entry_t entry;

		record_end(watch, BAD, 100 + i, now, now + 4 * MS);
		part_watch_tick(watch, now + 300 * MS);
		assert_true(part_watch_next_entry(watch, PEER, &entry, now + 300 * MS));
		part_watch_handle_entry(peer, &entry, now + 400 * MS - i * 3 * MS);
	}
	assert_int_equal(check(watch, BAD, 0, now), PART_BLOCKED);
	assert_int_equal(check(peer, BAD, 0, now + 400 * MS), PART_BLOCKED);
	part_watch_delete(peer);
	part_watch_delete(watch);
}

/* --- requests as a whole ------------------------------------------------ */

static const part_set_t bad_request = {.part = {BAD}, .count = 1, .whole = BAD};
static const part_set_t sound_request = {.part = {COMMON}, .count = 1, .whole = COMMON};

typedef struct turn_ctx {
	unsigned int place;
	unsigned int routers;
} turn_ctx_t;

static unsigned int fixed_place(void *ctx, uint64_t part, unsigned int *routers)
{
	const turn_ctx_t *this = ctx;

	*routers = this->routers;
	return this->place;
}

static part_watch_t *watch_new_with_place(turn_ctx_t *ctx)
{
	const part_watch_options_t options = {.place = fixed_place, .ctx = ctx};

	return part_watch_new(&options);
}

static part_verdict_t check_request(part_watch_t *this, const part_set_t *request, instant_t now)
{
	part_block_t block;

	return part_watch_check(this, request, now, &block);
}

/* Endpoints end at once, each under a copy of the request that was sent before. */
static void end_endpoints_together(
	part_watch_t *this, const part_set_t *request, unsigned int count, instant_t at)
{
	for (unsigned int i = 0; i < count; i++)
		part_watch_record_end(this, request, 100 + i, at - 60 * MS, at + i * MS);
}

static void test_request_is_blocked_after_three_ends_in_turn(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = USEC_PER_SEC;
	part_block_t block;

	for (unsigned int i = 0; i < 3; i++, now += 50 * MS)
		part_watch_record_end(watch, &bad_request, 100 + i, now, now + 40 * MS);
	assert_int_equal(part_watch_check(watch, &bad_request, now, &block), PART_BLOCKED);
	assert_true(block.is_whole);
	assert_int_equal(part_watch_blocked_count(watch, true, now), 1);
	assert_int_equal(part_watch_blocked_count(watch, false, now), 0);
	part_watch_delete(watch);
}

static void test_request_in_doubt_is_sent_one_at_a_time(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = 10 * USEC_PER_SEC;

	end_endpoints_together(watch, &bad_request, 4, now);
	now += USEC_PER_SEC;
	assert_int_equal(check_request(watch, &bad_request, now), PART_SUSPECT);
	part_watch_record_sent(watch, &bad_request, now);
	assert_int_equal(check_request(watch, &bad_request, now + MS), PART_BLOCKED);
	part_watch_record_end(watch, &bad_request, 200, now, now + 60 * MS);
	assert_int_equal(check_request(watch, &bad_request, now + 61 * MS), PART_SUSPECT);
	part_watch_record_end(watch, &bad_request, 201, now + 61 * MS, now + 120 * MS);
	assert_int_equal(check_request(watch, &bad_request, now + 121 * MS), PART_BLOCKED);
	assert_int_equal(check_request(watch, &bad_request, now + 60 * USEC_PER_SEC), PART_BLOCKED);
	part_watch_delete(watch);
}

/* A popular request was at many endpoints of a failure domain that lost power. */
static void test_sound_answer_ends_doubt_at_all_routers(void **state)
{
	turn_ctx_t elsewhere = {.place = 1, .routers = 8};
	part_watch_t *watch = watch_new();
	part_watch_t *peer = watch_new_with_place(&elsewhere);
	instant_t now = 10 * USEC_PER_SEC;

	end_endpoints_together(watch, &sound_request, 4, now);
	now += 300 * MS;
	part_watch_tick(watch, now);
	assert_int_equal(deliver(watch, peer, now), 4);
	assert_int_equal(check_request(peer, &sound_request, now), PART_BLOCKED);
	assert_int_equal(check_request(watch, &sound_request, now), PART_SUSPECT);
	part_watch_record_sound(watch, &sound_request, now);
	assert_int_equal(deliver(watch, peer, now), 1);
	assert_int_equal(check_request(peer, &sound_request, now), PART_ALLOWED);
	part_watch_delete(peer);
	part_watch_delete(watch);
}

/* Each router gets its turn, so that none of its callers is refused for good. */
static void test_routers_take_turns_with_a_request_in_doubt(void **state)
{
	turn_ctx_t places[] = {{0, 3}, {1, 3}, {2, 3}};
	part_watch_t *watches[3];
	unsigned int turns[3] = {0};
	instant_t start = 10 * USEC_PER_SEC;

	for (unsigned int i = 0; i < 3; i++) {
		watches[i] = watch_new_with_place(&places[i]);
		end_endpoints_together(watches[i], &bad_request, 4, start);
	}
	for (instant_t now = start + 10 * MS; now < start + 9 * USEC_PER_SEC; now += 100 * MS) {
		unsigned int open = 0;

		for (unsigned int i = 0; i < 3; i++) {
			bool allowed = check_request(watches[i], &bad_request, now) != PART_BLOCKED;

			open += allowed;
			turns[i] += allowed;
		}
		assert_int_equal(open, (now - start) % PART_WATCH_TURN < PART_WATCH_TURN_OPEN);
	}
	for (unsigned int i = 0; i < 3; i++) {
		assert_in_range(turns[i], 14, 16);
		part_watch_delete(watches[i]);
	}
}

/* Routers whose callers repeat a bad request all the time. */
typedef struct repeating_fleet {
	turn_ctx_t places[3];
	part_watch_t *watches[3];
	instant_t sent_at[3]; /* the request that runs; 0: none */
	id_t32 next_endpoint;
	unsigned int sends;
} repeating_fleet_t;

static void repeating_fleet_init(repeating_fleet_t *this, instant_t start)
{
	*this = (repeating_fleet_t){.places = {{0, 3}, {1, 3}, {2, 3}}, .next_endpoint = 1000};
	for (unsigned int i = 0; i < 3; i++) {
		this->watches[i] = watch_new_with_place(&this->places[i]);
		end_endpoints_together(this->watches[i], &bad_request, 4, start);
	}
}

static void repeating_fleet_clear(repeating_fleet_t *this)
{
	for (unsigned int i = 0; i < 3; i++)
		part_watch_delete(this->watches[i]);
}

/* Sends the request if it may be sent; it ends its endpoint after 60 ms. */
static void repeat_request(repeating_fleet_t *this, unsigned int router, instant_t now)
{
	part_watch_t *watch = this->watches[router];

	part_watch_tick(watch, now);
	if (this->sent_at[router] && now >= this->sent_at[router] + 60 * MS) {
		part_watch_record_end(
			watch, &bad_request, this->next_endpoint++, this->sent_at[router], now);
		this->sent_at[router] = 0;
	}
	if (this->sent_at[router] || check_request(watch, &bad_request, now) == PART_BLOCKED)
		return;
	part_watch_record_sent(watch, &bad_request, now);
	this->sent_at[router] = now;
	this->sends++;
}

static void exchange_news(repeating_fleet_t *this, instant_t now)
{
	message_entry_t entry;

	for (unsigned int from = 0; from < 3; from++) {
		for (unsigned int to = 0; to < 3; to++) {
			while (to != from &&
				part_watch_next_entry(this->watches[from], to + 1, &entry, now))
				part_watch_handle_entry(this->watches[to], &entry, now);
		}
	}
}

/* Returns how many endpoints end if they are back from `back` on, and news go out each `interval`.
 */
static unsigned int count_ends(instant_t start, instant_t back, uint64_t interval)
{
	repeating_fleet_t fleet;

	repeating_fleet_init(&fleet, start);
	for (instant_t now = start + 10 * MS; now < back + 8 * PART_WATCH_TURN; now += 10 * MS) {
		for (unsigned int i = 0; i < 3 && now >= back; i++)
			repeat_request(&fleet, i, now);
		if (now % interval == 0)
			exchange_news(&fleet, now);
	}
	repeating_fleet_clear(&fleet);
	return fleet.sends;
}

/* No more endpoints end than are needed to block the request, at whatever moment they are back. */
static void test_request_in_doubt_ends_two_endpoints_whenever_they_come_back(void **state)
{
	instant_t start = 10 * USEC_PER_SEC;

	for (instant_t back = start; back < start + 3 * PART_WATCH_TURN; back += 50 * MS)
		assert_int_equal(count_ends(start, back, 100 * MS), PART_WATCH_BLOCK_COUNT - 1);
}

static void test_request_in_doubt_ends_three_endpoints_if_news_take_a_second(void **state)
{
	instant_t start = 10 * USEC_PER_SEC;

	for (instant_t back = start; back < start + 3 * PART_WATCH_TURN; back += 50 * MS)
		assert_in_range(count_ends(start, back, USEC_PER_SEC), 2, 3);
}

static void test_refused_turn_tells_when_the_next_one_begins(void **state)
{
	turn_ctx_t last = {.place = 2, .routers = 3};
	part_watch_t *watch = watch_new_with_place(&last);
	instant_t now = 10 * USEC_PER_SEC;
	part_block_t block;

	end_endpoints_together(watch, &bad_request, 4, now);
	now += 500 * MS;
	assert_int_equal(part_watch_check(watch, &bad_request, now, &block), PART_BLOCKED);
	assert_int_not_equal(check_request(watch, &bad_request, block.until), PART_BLOCKED);
	assert_in_range(block.until - now, 1, 3 * PART_WATCH_TURN);
	part_watch_delete(watch);
}

static void test_request_is_in_doubt_after_its_block(void **state)
{
	turn_ctx_t second = {.place = 1, .routers = 2};
	part_watch_t *watch = watch_new_with_place(&second);
	instant_t now = USEC_PER_SEC;
	part_block_t block;

	for (unsigned int i = 0; i < 3; i++, now += 50 * MS)
		part_watch_record_end(watch, &bad_request, 100 + i, now, now + 40 * MS);
	part_watch_check(watch, &bad_request, now, &block);
	now = block.until;
	part_watch_tick(watch, now);
	assert_int_equal(part_watch_check(watch, &bad_request, now, &block), PART_BLOCKED);
	assert_in_range(block.until - now, 1, 2 * PART_WATCH_TURN);
	now = block.until;
	assert_int_equal(check_request(watch, &bad_request, now), PART_SUSPECT);
	part_watch_record_end(watch, &bad_request, 300, now, now + MS);
	assert_int_equal(check_request(watch, &bad_request, now + 60 * USEC_PER_SEC), PART_BLOCKED);
	part_watch_delete(watch);
}

/* It was at each of the endpoints by chance: what ended them has ended another one without it. */
static void test_request_beside_the_one_that_ends_endpoints_is_allowed(void **state)
{
	part_watch_t *watch = watch_new();
	instant_t now = USEC_PER_SEC;

	for (unsigned int i = 0; i < 4; i++, now += 50 * MS) {
		part_watch_record_end(watch, &bad_request, 100 + i, now, now + 40 * MS);
		if (i)
			part_watch_record_end(watch, &sound_request, 100 + i, now, now + 40 * MS);
	}
	assert_int_equal(check_request(watch, &bad_request, now), PART_BLOCKED);
	assert_int_not_equal(check_request(watch, &sound_request, now), PART_BLOCKED);
	part_watch_delete(watch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_part_is_blocked_after_three_ends),
		cmocka_unit_test(test_same_endpoint_counts_again_only_after_it_was_back),
		cmocka_unit_test(test_sound_answer_clears_a_part),
		cmocka_unit_test(test_endpoints_that_end_together_block_nothing),
		cmocka_unit_test(test_only_prompts_with_both_parts_are_blocked_until_one_is_sound),
		cmocka_unit_test(test_endpoint_that_goes_on_to_respond_has_not_ended),
		cmocka_unit_test(test_endpoint_that_is_back_has_ended),
		cmocka_unit_test(test_block_ends_and_the_next_end_blocks_for_longer),
		cmocka_unit_test(test_peers_are_told_of_ends_after_a_delay_and_of_sound_answers),
		cmocka_unit_test(test_parts_that_are_soon_sound_are_not_told),
		cmocka_unit_test(test_peer_that_was_out_of_reach_gets_everything),
		cmocka_unit_test(test_table_is_bounded_and_keeps_blocked_parts),
		cmocka_unit_test(test_ends_told_with_different_delays_count_as_the_teller_counts),
		cmocka_unit_test(test_request_is_blocked_after_three_ends_in_turn),
		cmocka_unit_test(test_request_in_doubt_is_sent_one_at_a_time),
		cmocka_unit_test(test_sound_answer_ends_doubt_at_all_routers),
		cmocka_unit_test(test_routers_take_turns_with_a_request_in_doubt),
		cmocka_unit_test(test_request_in_doubt_ends_two_endpoints_whenever_they_come_back),
		cmocka_unit_test(test_request_in_doubt_ends_three_endpoints_if_news_take_a_second),
		cmocka_unit_test(test_refused_turn_tells_when_the_next_one_begins),
		cmocka_unit_test(test_request_is_in_doubt_after_its_block),
		cmocka_unit_test(test_request_beside_the_one_that_ends_endpoints_is_allowed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
