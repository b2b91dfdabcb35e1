/* order - the events and actions of the at-most-once protocol, from a table of scenarios */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/order.h"

#define ATTEMPT 7
#define BODY 99
#define MAX_STEPS 10

typedef struct step {
	order_event_t event;
	order_row_t row;
	order_action_t expected;
} step_t;

typedef struct scenario {
	const char *name;
	step_t steps[MAX_STEPS];
	unsigned int count;
	/* Expected fields of the order after the last step. */
	reason_t reason;
	bool withdraw;
	bool finish_later;
} scenario_t;

/* Rows that this attempt and another attempt wrote. */
#define OWN_ROW(s)                                                                                 \
	{                                                                                          \
		.state = (s), .version = 5, .attempt = ATTEMPT, .body_hash = BODY                  \
	}
#define OTHER_ROW(s)                                                                               \
	{                                                                                          \
		.state = (s), .version = 5, .attempt = 8, .body_hash = BODY                        \
	}

static const scenario_t scenarios[] = {
	{"no faults",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_WRITTEN, {.version = 1}, ORDER_DO_SEND},
			{ORDER_ANSWERED, {0}, ORDER_DO_FINISH},
			{ORDER_WRITTEN, {0}, ORDER_DO_ANSWER}},
		4, REASON_NONE, false, false},
	{"reply to the claim lost, claim written",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_REPLY_LOST, {0}, ORDER_DO_READ},
			{ORDER_ROW, OWN_ROW(ROW_STARTED), ORDER_DO_SEND},
			{ORDER_ANSWERED, {0}, ORDER_DO_FINISH},
			{ORDER_WRITTEN, {0}, ORDER_DO_ANSWER}},
		5, REASON_NONE, false, false},
	{"reply to the claim lost, claim not written",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_REPLY_LOST, {0}, ORDER_DO_READ},
			{ORDER_ROW, {0}, ORDER_DO_CLAIM},
			{ORDER_WRITTEN, {.version = 2}, ORDER_DO_SEND}},
		4, REASON_NONE, false, false},
	{"store unreachable: not run, claim withdrawn",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_REPLY_LOST, {0}, ORDER_DO_READ},
			{ORDER_READ_FAILED, {0}, ORDER_DO_READ},
			{ORDER_READ_FAILED, {0}, ORDER_DO_ANSWER}},
		4, REASON_STORE_DOWN, true, false},
	/* The last try of the claim finds out that another attempt's request has run. */
	{"claim lost, unreadable, then done by another attempt: replayed",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_REPLY_LOST, {0}, ORDER_DO_READ},
			{ORDER_READ_FAILED, {0}, ORDER_DO_READ},
			{ORDER_ROW, OTHER_ROW(ROW_DONE), ORDER_DO_REPLAY}},
		4, REASON_NONE, false, false},
	{"claim lost, unreadable, then sent by another attempt: may have run",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_REPLY_LOST, {0}, ORDER_DO_READ},
			{ORDER_READ_FAILED, {0}, ORDER_DO_READ},
			{ORDER_ROW, OTHER_ROW(ROW_UNKNOWN), ORDER_DO_ANSWER}},
		4, REASON_MAY_HAVE_RUN, false, false},
	{"claim lost, unreadable, then withdrawn by another attempt: not run",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_REPLY_LOST, {0}, ORDER_DO_READ},
			{ORDER_READ_FAILED, {0}, ORDER_DO_READ},
			{ORDER_ROW, OTHER_ROW(ROW_WITHDRAWN), ORDER_DO_ANSWER}},
		4, REASON_STORE_DOWN, true, false},
	{"claimed by another attempt, done: replayed",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW, OTHER_ROW(ROW_DONE), ORDER_DO_REPLAY}},
		3, REASON_NONE, false, false},
	{"claimed by another attempt, holder dead: may have run",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW, OTHER_ROW(ROW_STARTED), ORDER_DO_ANSWER}},
		3, REASON_MAY_HAVE_RUN, false, false},
	{"claimed by another attempt, holder alive: in progress",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW,
				{.state = ROW_STARTED,
					.version = 5,
					.attempt = 8,
					.body_hash = BODY,
					.holder_is_alive = true},
				ORDER_DO_ANSWER}},
		3, REASON_IN_PROGRESS, false, false},
	{"withdrawn by another attempt: claimed",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW, OTHER_ROW(ROW_WITHDRAWN), ORDER_DO_CLAIM},
			{ORDER_WRITTEN, {.version = 6}, ORDER_DO_SEND}},
		4, REASON_NONE, false, false},
	{"same key, different body: conflict",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW, {.state = ROW_DONE, .version = 5, .attempt = 8, .body_hash = 1},
				ORDER_DO_ANSWER}},
		3, REASON_KEY_CONFLICT, false, false},
	{"request not sent: claim withdrawn",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_WRITTEN, {.version = 1}, ORDER_DO_SEND},
			{ORDER_NOT_SENT, {0}, ORDER_DO_ANSWER}},
		3, REASON_ENDPOINT_REFUSED, true, false},
	{"connection lost after sending began: may have run",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_WRITTEN, {.version = 1}, ORDER_DO_SEND},
			{ORDER_BROKEN, {0}, ORDER_DO_MARK_UNKNOWN},
			{ORDER_WRITTEN, {0}, ORDER_DO_ANSWER}},
		4, REASON_MAY_HAVE_RUN, false, false},
	{"done, store unreachable: caller answered at once, row written later",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_WRITTEN, {.version = 1}, ORDER_DO_SEND},
			{ORDER_ANSWERED, {0}, ORDER_DO_FINISH},
			{ORDER_REPLY_LOST, {0}, ORDER_DO_FINISH},
			{ORDER_REPLY_LOST, {0}, ORDER_DO_FINISH},
			{ORDER_REPLY_LOST, {0}, ORDER_DO_ANSWER}},
		6, REASON_NONE, false, true},
};

static void run_scenario(const scenario_t *scenario)
{
	order_t order;

	print_message("  %s\n", scenario->name);
	order_init(&order, ATTEMPT, BODY);
	for (unsigned int i = 0; i < scenario->count; i++) {
		const step_t *step = &scenario->steps[i];

		assert_int_equal(order_step(&order, step->event, &step->row), step->expected);
	}
	assert_int_equal(order.reason, scenario->reason);
	assert_int_equal(order.withdraw, scenario->withdraw);
	assert_int_equal(order.finish_later, scenario->finish_later);
}

static void test_events_of_each_scenario_give_the_expected_actions(void **state)
{
	for (unsigned int i = 0; i < ARRAY_LEN(scenarios); i++)
		run_scenario(&scenarios[i]);
}

/*
 * An attempt withdraws its claim by writing `withdrawn`, also where the row is absent:
 * otherwise a delayed claim could still be written.
 */
static void test_withdraw_overwrites_absent_own_and_expected_rows_only(void **state)
{
	const order_row_t absent = {0};
	const order_row_t own = OWN_ROW(ROW_STARTED);
	const order_row_t other = OTHER_ROW(ROW_STARTED);
	const order_row_t withdrawn = OTHER_ROW(ROW_WITHDRAWN);
	uint64_t expected;
	order_t order;

	order_init(&order, ATTEMPT, BODY);
	assert_true(order_withdraw(&order, &absent, &expected));
	assert_int_equal(expected, 0);
	assert_true(order_withdraw(&order, &own, &expected));
	assert_int_equal(expected, 5);
	assert_false(order_withdraw(&order, &other, &expected));
	assert_false(order_withdraw(&order, &withdrawn, &expected));
	/* A delayed claim of this attempt on this version may still be written. */
	order.expected = withdrawn.version;
	assert_true(order_withdraw(&order, &withdrawn, &expected));
	assert_int_equal(expected, withdrawn.version);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_events_of_each_scenario_give_the_expected_actions),
		cmocka_unit_test(test_withdraw_overwrites_absent_own_and_expected_rows_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
