/* request_room - who gets the memory for requests, and who is ended for it; time is given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "core/request_room.h"

#define SENDERS 64
#define LIMIT (3U << 20)      /* 1 MiB for all requests, 2 MiB for long bodies */
#define LONG_BODY (512 << 10) /* four of them fill the room */
#define SECOND USEC_PER_SEC

static request_room_t room;
static room_sender_t senders[SENDERS];
static unsigned int resumed[SENDERS];
static unsigned int ended[SENDERS];

static void on_resume(room_sender_t *sender)
{
	resumed[sender - senders]++;
}

static void on_end(room_sender_t *sender)
{
	ended[sender - senders]++;
}

static const room_ops_t ops = {on_resume, on_end};

static int reset(void **state)
{
	request_room_init(&room, &ops, LIMIT);
	for (unsigned int i = 0; i < SENDERS; i++)
		room_sender_init(&senders[i]);
	memset(resumed, 0, sizeof(resumed));
	memset(ended, 0, sizeof(ended));
	return 0;
}

static bool reserve(unsigned int sender, uint32_t workspace, instant_t now)
{
	request_room_begin(&room, &senders[sender], now);
	request_room_assign(&room, &senders[sender], workspace);
	return request_room_reserve(&room, &senders[sender], LONG_BODY, now);
}

static void test_bodies_beyond_the_room_wait_and_follow(void **state)
{
	for (unsigned int i = 0; i < 4; i++)
		assert_true(reserve(i, 1 + i, 0));
	assert_false(reserve(4, 5, 0));
	assert_true(room.long_held <= room.long_limit);
	request_room_step(&room, 1);
	assert_int_equal(resumed[4], 0);
	request_room_leave(&room, &senders[0]);
	request_room_step(&room, 2);
	assert_int_equal(resumed[4], 1);
	assert_int_equal(senders[4].reserved, LONG_BODY);
}

static void test_one_workspace_leaves_room_for_others(void **state)
{
	for (unsigned int i = 0; i < 3; i++)
		assert_true(reserve(i, 1, 0));
	assert_false(reserve(3, 1, 0));
	request_room_step(&room, 1);
	assert_int_equal(resumed[3], 0);
	/* Behind one that waits for its own share, and let in before it. */
	reserve(4, 2, 1);
	request_room_step(&room, 2);
	assert_int_equal(senders[4].reserved, LONG_BODY);
	assert_int_equal(resumed[3], 0);
}

static void test_workspace_that_holds_least_comes_first(void **state)
{
	reserve(0, 1, 0);
	reserve(1, 1, 0);
	reserve(2, 2, 0);
	reserve(3, 3, 0);
	assert_false(reserve(4, 2, 1));
	assert_false(reserve(5, 4, 2));
	request_room_leave(&room, &senders[0]);
	request_room_step(&room, 3);
	assert_int_equal(resumed[5], 1);
	assert_int_equal(resumed[4], 0);
}

static void test_a_body_larger_than_all_room_is_let_in_alone(void **state)
{
	request_room_begin(&room, &senders[0], 0);
	assert_true(request_room_reserve(&room, &senders[0], 2 * LIMIT, 0));
	assert_false(reserve(1, 2, 0));
	request_room_leave(&room, &senders[0]);
	request_room_step(&room, 1);
	assert_int_equal(resumed[1], 1);
}

/* The slowest makes room for one that waits; one that is at work at an endpoint is not ended. */
static void test_least_progress_for_its_bytes_is_ended(void **state)
{
	for (unsigned int i = 0; i < 4; i++)
		reserve(i, 1 + i, 0);
	senders[0].is_finished = true;
	for (instant_t now = 0; now <= 3 * SECOND; now += SECOND / 10) {
		room_sender_progress(&senders[1], 10000, now);
		room_sender_progress(&senders[2], 10, now);
		room_sender_progress(&senders[3], 10000, now);
	}
	reserve(4, 5, 3 * SECOND);
	request_room_step(&room, 3 * SECOND);
	assert_int_equal(ended[2], 0); /* not at once */
	request_room_step(&room, 4 * SECOND);
	assert_int_equal(ended[2], 1);
	assert_int_equal(ended[0] + ended[1] + ended[3], 0);
	assert_int_equal(resumed[4], 1);
}

static void test_nobody_is_ended_while_nobody_waits(void **state)
{
	for (unsigned int i = 0; i < 4; i++)
		reserve(i, 1 + i, 0);
	request_room_step(&room, 1000 * SECOND);
	for (unsigned int i = 0; i < 4; i++)
		assert_int_equal(ended[i], 0);
}

/* Unfinished heads take all the room: a newcomer is read after a short while all the same. */
static void test_unfinished_heads_make_room_for_a_newcomer(void **state)
{
	for (unsigned int i = 0; i < 32; i++) {
		request_room_begin(&room, &senders[i], 0);
		request_room_hold(&room, &senders[i], 32768);
	}
	request_room_begin(&room, &senders[40], 2 * SECOND);
	assert_false(request_room_may_read(&room, &senders[40], 2 * SECOND));
	request_room_step(&room, 2 * SECOND);
	assert_int_equal(resumed[40], 0);
	request_room_step(&room, 2 * SECOND + SECOND / 5);
	assert_int_equal(resumed[40], 1);
	assert_int_equal(ended[0], 1);
	assert_int_equal(ended[40], 0);
	assert_true(room.small_held < room.small_limit);
}

static void test_workspace_with_most_requests_is_refused_when_room_is_short(void **state)
{
	for (unsigned int i = 0; i < 26; i++) {
		request_room_begin(&room, &senders[i], 0);
		request_room_assign(&room, &senders[i], i < 20 ? 1 : 2);
		request_room_hold(&room, &senders[i], 32768);
	}
	assert_true(request_room_is_hogged(&room, 1));
	assert_false(request_room_is_hogged(&room, 2));
	for (unsigned int i = 0; i < 4; i++)
		request_room_leave(&room, &senders[i]);
	assert_false(request_room_is_hogged(&room, 1));
}

static void test_all_is_given_back(void **state)
{
	for (unsigned int i = 0; i < SENDERS; i++) {
		reserve(i, i, 0);
		request_room_hold(&room, &senders[i], 100 + i);
		if (i % 2)
			request_room_shrink(&room, &senders[i], 7);
	}
	for (unsigned int i = 0; i < SENDERS; i++)
		request_room_leave(&room, &senders[i]);
	request_room_step(&room, SECOND);
	assert_int_equal(room.small_held + room.long_held, 0);
	for (unsigned int i = 0; i < ROOM_SHARES; i++)
		assert_int_equal(room.small_by[i] + room.long_by[i], 0);
	assert_true(cds_list_empty(&room.senders) && cds_list_empty(&room.long_waits));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_bodies_beyond_the_room_wait_and_follow, reset),
		cmocka_unit_test_setup(test_one_workspace_leaves_room_for_others, reset),
		cmocka_unit_test_setup(test_workspace_that_holds_least_comes_first, reset),
		cmocka_unit_test_setup(test_a_body_larger_than_all_room_is_let_in_alone, reset),
		cmocka_unit_test_setup(test_least_progress_for_its_bytes_is_ended, reset),
		cmocka_unit_test_setup(test_nobody_is_ended_while_nobody_waits, reset),
		cmocka_unit_test_setup(test_unfinished_heads_make_room_for_a_newcomer, reset),
		cmocka_unit_test_setup(
			test_workspace_with_most_requests_is_refused_when_room_is_short, reset),
		cmocka_unit_test_setup(test_all_is_given_back, reset),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
