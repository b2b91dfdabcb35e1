/* order - the at-most-once protocol, step by step, from a table */
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

typedef struct script {
	const char *name;
	step_t steps[MAX_STEPS];
	unsigned int count;
	reason_t reason;
	bool withdraw;
	bool finish_later;
} script_t;

#define OWN(s)                                                                                     \
	{                                                                                          \
		.state = (s), .version = 5, .attempt = ATTEMPT, .body_hash = BODY                  \
	}
#define OTHER(s)                                                                                   \
	{                                                                                          \
		.state = (s), .version = 5, .attempt = 8, .body_hash = BODY                        \
	}

static const script_t scripts[] = {
	{"plain",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_WRITTEN, {.version = 1}, ORDER_DO_SEND},
			{ORDER_ANSWERED, {0}, ORDER_DO_FINISH},
			{ORDER_WRITTEN, {0}, ORDER_DO_ANSWER}},
		4, REASON_NONE, false, false},
	{"claim's reply lost, it had landed",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_REPLY_LOST, {0}, ORDER_DO_READ},
			{ORDER_ROW, OWN(ROW_STARTED), ORDER_DO_SEND},
			{ORDER_ANSWERED, {0}, ORDER_DO_FINISH},
			{ORDER_WRITTEN, {0}, ORDER_DO_ANSWER}},
		5, REASON_NONE, false, false},
	{"claim's reply lost, it had not landed",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_REPLY_LOST, {0}, ORDER_DO_READ},
			{ORDER_ROW, {0}, ORDER_DO_CLAIM},
			{ORDER_WRITTEN, {.version = 2}, ORDER_DO_SEND}},
		4, REASON_NONE, false, false},
	{"store gone: not run, and taken back",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_REPLY_LOST, {0}, ORDER_DO_READ},
			{ORDER_READ_FAILED, {0}, ORDER_DO_READ},
			{ORDER_READ_FAILED, {0}, ORDER_DO_ANSWER}},
		4, REASON_STORE_DOWN, true, false},
	{"another's, done",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW, OTHER(ROW_DONE), ORDER_DO_REPLAY}},
		3, REASON_NONE, false, false},
	{"another's, its holder dead",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW, OTHER(ROW_STARTED), ORDER_DO_ANSWER}},
		3, REASON_MAY_HAVE_RUN, false, false},
	{"another's, its holder alive",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW,
				{.state = ROW_STARTED,
					.version = 5,
					.attempt = 8,
					.body_hash = BODY,
					.holder_is_alive = true},
				ORDER_DO_ANSWER}},
		3, REASON_IN_PROGRESS, false, false},
	{"withdrawn by another: claimed",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW, OTHER(ROW_WITHDRAWN), ORDER_DO_CLAIM},
			{ORDER_WRITTEN, {.version = 6}, ORDER_DO_SEND}},
		4, REASON_NONE, false, false},
	{"another body",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_CONFLICT, {0}, ORDER_DO_READ},
			{ORDER_ROW, {.state = ROW_DONE, .version = 5, .attempt = 8, .body_hash = 1},
				ORDER_DO_ANSWER}},
		3, REASON_KEY_CONFLICT, false, false},
	{"no byte left: taken back",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_WRITTEN, {.version = 1}, ORDER_DO_SEND},
			{ORDER_NOT_SENT, {0}, ORDER_DO_ANSWER}},
		3, REASON_ENDPOINT_REFUSED, true, false},
	{"broken after a byte: unknown",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_WRITTEN, {.version = 1}, ORDER_DO_SEND},
			{ORDER_BROKEN, {0}, ORDER_DO_MARK_UNKNOWN},
			{ORDER_WRITTEN, {0}, ORDER_DO_ANSWER}},
		4, REASON_MAY_HAVE_RUN, false, false},
	{"done, but the store is gone: told now, written later",
		{{ORDER_BEGIN, {0}, ORDER_DO_CLAIM}, {ORDER_WRITTEN, {.version = 1}, ORDER_DO_SEND},
			{ORDER_ANSWERED, {0}, ORDER_DO_FINISH},
			{ORDER_REPLY_LOST, {0}, ORDER_DO_FINISH},
			{ORDER_REPLY_LOST, {0}, ORDER_DO_FINISH},
			{ORDER_REPLY_LOST, {0}, ORDER_DO_ANSWER}},
		6, REASON_NONE, false, true},
};

static void run_script(const script_t *script)
{
	order_t order;

	print_message("  %s\n", script->name);
	order_init(&order, ATTEMPT, BODY);
	for (unsigned int i = 0; i < script->count; i++) {
		const step_t *step = &script->steps[i];

		assert_int_equal(order_step(&order, step->event, &step->row), step->expected);
	}
	assert_int_equal(order.reason, script->reason);
	assert_int_equal(order.withdraw, script->withdraw);
	assert_int_equal(order.finish_later, script->finish_later);
}

static void test_scripts(void **state)
{
	for (unsigned int i = 0; i < ARRAY_LEN(scripts); i++)
		run_script(&scripts[i]);
}

static void test_withdraw_leaves_a_tombstone(void **state)
{
	const order_row_t absent = {0};
	const order_row_t own = OWN(ROW_STARTED);
	const order_row_t other = OTHER(ROW_STARTED);
	const order_row_t withdrawn = OTHER(ROW_WITHDRAWN);
	uint64_t expected;
	order_t order;

	order_init(&order, ATTEMPT, BODY);
	assert_true(order_withdraw(&order, &absent, &expected));
	assert_int_equal(expected, 0);
	assert_true(order_withdraw(&order, &own, &expected));
	assert_int_equal(expected, 5);
	assert_false(order_withdraw(&order, &other, &expected));
	assert_false(order_withdraw(&order, &withdrawn, &expected));
	order.expected = withdrawn.version; /* our claim on it may still land */
	assert_true(order_withdraw(&order, &withdrawn, &expected));
	assert_int_equal(expected, withdrawn.version);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scripts),
		cmocka_unit_test(test_withdraw_leaves_a_tombstone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
