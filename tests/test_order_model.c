/*
 * order - model checker for all interleavings of the attempts of one order
 *
 * Attempts run concurrently.  A store call takes effect, takes effect with its
 * reply lost, fails, or takes effect later.  A request that was sent runs at
 * once, later or never.  An attempt may crash at any step.  Each read of a row
 * is explored with the holder alive and with the holder dead, which covers a
 * paused holder and a wrong view of the members.  The number of faults on one
 * path is bounded.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "core/order.h"

#define MAX_ATTEMPTS 3
#define MAX_PENDING 4
#define BODY 99

/* A guard of the protocol that a run of the checker leaves out. */
typedef enum mutation {
	MUTATION_NONE,
	MUTATION_UNCONDITIONAL_WRITES,
	MUTATION_NO_TOMBSTONE,
	MUTATION_TAKE_OVER_FROM_DEAD_HOLDER,
	MUTATION_INCOMPLETE_AS_NOT_SENT,
	MUTATION_LOST_REPLY_AS_WRITTEN,
	MUTATION_COUNT,
} mutation_t;

typedef enum phase {
	PHASE_WAITING,	/* not begun */
	PHASE_ACTING,	/* `action` is next */
	PHASE_ANSWERED, /* the caller has been answered; a write to the store is left to do */
	PHASE_OVER,
} phase_t;

typedef struct attempt {
	order_t order;
	phase_t phase;
	order_action_t action;
	bool ran;
	bool in_transit;       /* the request is in transit and may still run at the endpoint */
	bool answered_not_run; /* the reply to the caller said that the order has not run */
	bool answered_done;    /* the reply to the caller said that the order is done */
	bool crashed;
} attempt_t;

/* A conditional write to the row. */
typedef struct write {
	uint8_t used;
	uint8_t state;
	uint8_t attempt;
	uint8_t expected; /* version of the row that the write requires */
} write_t;

/* One state of the model: the attempts, the row and the network. */
typedef struct model {
	attempt_t attempts[MAX_ATTEMPTS];
	write_t pending[MAX_PENDING]; /* delayed in the network */
	uint8_t row_state;
	uint8_t row_attempt;
	uint8_t row_version;
	uint8_t last_version;
	uint8_t faults_left;
	uint8_t runs; /* of the order at the endpoint */
} model_t;

typedef struct checker {
	GHashTable *visited; /* hashes of the states explored */
	mutation_t mutation;
	unsigned int attempts;
	const char *violation;
	uint64_t states;
} checker_t;

static void explore(checker_t *this, const model_t *model);

/* --- the model --------------------------------------------------------- */

static uint64_t hash_state(const model_t *model)
{
	uint8_t bytes[256] = {0};
	unsigned int n = 0;

	for (int i = 0; i < MAX_ATTEMPTS; i++) {
		const attempt_t *a = &model->attempts[i];
		const uint8_t fields[] = {a->phase, a->action, a->ran, a->in_transit,
			a->answered_not_run, a->answered_done, (uint8_t)a->order.expected,
			a->order.step, (uint8_t)a->order.tries, a->order.reason, a->order.withdraw,
			a->order.finish_later, a->crashed};

		memcpy(bytes + n, fields, sizeof(fields));
		n += sizeof(fields);
	}
	memcpy(bytes + n, model->pending, sizeof(model->pending));
	n += sizeof(model->pending);
	bytes[n++] = model->row_state;
	bytes[n++] = model->row_attempt;
	bytes[n++] = model->row_version;
	bytes[n++] = model->last_version;
	bytes[n++] = model->faults_left;
	bytes[n++] = model->runs;
	return XXH64(bytes, n, 0);
}

static bool apply_write(const checker_t *this, model_t *model, const write_t *write)
{
	if (write->expected != model->row_version &&
		this->mutation != MUTATION_UNCONDITIONAL_WRITES)
		return false;
	model->row_state = write->state;
	model->row_attempt = write->attempt;
	model->row_version = ++model->last_version;
	return true;
}

static order_row_t read_row(const checker_t *this, const model_t *model, bool alive)
{
	order_row_t row = {
		.state = (row_state_t)model->row_state,
		.version = model->row_version,
		.attempt = model->row_attempt,
		.body_hash = BODY,
		.holder_is_alive = alive,
	};

	if (this->mutation == MUTATION_TAKE_OVER_FROM_DEAD_HOLDER && !alive &&
		row.state == ROW_STARTED)
		row.state = ROW_WITHDRAWN;
	return row;
}

static void check_safety(checker_t *this, const model_t *model)
{
	if (model->runs > 1)
		this->violation = "the order ran more than once";
	for (unsigned int i = 0; i < this->attempts; i++) {
		if (model->attempts[i].answered_not_run && model->attempts[i].ran)
			this->violation = "not-run was reported, but the order ran";
		if (model->attempts[i].answered_done && !model->runs)
			this->violation = "done was reported, but the order never ran";
	}
}

/* Once all attempts are over, the row may be left in ROW_STARTED only if its holder crashed. */
static void check_end_state(checker_t *this, const model_t *model)
{
	if (this->mutation != MUTATION_NONE && this->mutation != MUTATION_NO_TOMBSTONE)
		return; /* the other mutations must violate check_safety() */
	if (model->row_state != ROW_STARTED || model->attempts[model->row_attempt - 1].crashed)
		return;
	for (unsigned int i = 0; i < this->attempts; i++) {
		if (model->attempts[i].phase != PHASE_OVER || model->attempts[i].in_transit)
			return;
	}
	for (int p = 0; p < MAX_PENDING; p++) {
		if (model->pending[p].used)
			return;
	}
	this->violation = "the row is left in started, but its holder did not crash";
}

static void run_at_endpoint(model_t *model, attempt_t *a)
{
	a->ran = true;
	model->runs++;
}

/* --- steps of one attempt ---------------------------------------------- */

/* Passes the event to the attempt's order and explores the resulting state. */
static void handle_event(checker_t *this, const model_t *model, unsigned int i, order_event_t event,
	const order_row_t *row)
{
	model_t next = *model;
	attempt_t *a = &next.attempts[i];
	order_row_t assumed_row = {.version = next.row_version};
	outcome_t outcome;

	if (this->mutation == MUTATION_INCOMPLETE_AS_NOT_SENT && event == ORDER_BROKEN)
		event = ORDER_NOT_SENT;
	if (this->mutation == MUTATION_LOST_REPLY_AS_WRITTEN && event == ORDER_REPLY_LOST &&
		a->order.step == STEP_CLAIM) {
		event = ORDER_WRITTEN;
		row = &assumed_row;
	}
	a->action = order_step(&a->order, event, row);
	if (a->action == ORDER_DO_ANSWER || a->action == ORDER_DO_REPLAY) {
		outcome = reason_info(a->order.reason)->outcome;
		a->answered_not_run = outcome == OUTCOME_NOT_RUN;
		a->answered_done = outcome == OUTCOME_DONE;
		a->phase = a->order.withdraw || a->order.finish_later ? PHASE_ANSWERED : PHASE_OVER;
	}
	explore(this, &next);
}

static bool use_fault(model_t *model)
{
	if (!model->faults_left)
		return false;
	model->faults_left--;
	return true;
}

/* Queues the write to take effect later; with `reply_lost` the attempt gets that event. */
static void delay_write(checker_t *this, const model_t *model, unsigned int i, const write_t *write,
	bool reply_lost)
{
	model_t next = *model;

	for (int p = 0; p < MAX_PENDING; p++) {
		if (next.pending[p].used)
			continue;
		next.pending[p] = *write;
		next.pending[p].used = 1;
		if (reply_lost)
			handle_event(this, &next, i, ORDER_REPLY_LOST, NULL);
		else
			explore(this, &next);
		return;
	}
}

/* Writes the row; explores all results of the store call. */
static void step_write(checker_t *this, const model_t *model, unsigned int i, row_state_t state)
{
	const attempt_t *a = &model->attempts[i];
	write_t write = {0, (uint8_t)state, (uint8_t)a->order.attempt, (uint8_t)a->order.expected};
	model_t next = *model;
	bool applied = apply_write(this, &next, &write);
	order_row_t row = {.version = next.row_version};

	handle_event(this, &next, i, applied ? ORDER_WRITTEN : ORDER_CONFLICT, &row);
	if (!use_fault(&next))
		return;
	handle_event(this, &next, i, ORDER_REPLY_LOST, NULL);
	next = *model;
	use_fault(&next);
	handle_event(this, &next, i, ORDER_REPLY_LOST, NULL);
	delay_write(this, &next, i, &write, true);
}

static void step_read(checker_t *this, const model_t *model, unsigned int i)
{
	order_row_t alive = read_row(this, model, true);
	order_row_t dead = read_row(this, model, false);
	model_t next = *model;

	handle_event(this, model, i, ORDER_ROW, &alive);
	handle_event(this, model, i, ORDER_ROW, &dead);
	if (use_fault(&next))
		handle_event(this, &next, i, ORDER_READ_FAILED, NULL);
}

static void step_send(checker_t *this, const model_t *model, unsigned int i)
{
	model_t next = *model;

	handle_event(this, &next, i, ORDER_NOT_SENT, NULL);
	run_at_endpoint(&next, &next.attempts[i]);
	handle_event(this, &next, i, ORDER_ANSWERED, NULL);
	handle_event(this, &next, i, ORDER_BROKEN, NULL);
	next = *model;
	handle_event(this, &next, i, ORDER_BROKEN, NULL);
	next.attempts[i].in_transit = true;
	handle_event(this, &next, i, ORDER_BROKEN, NULL);
}

static void step_withdraw(checker_t *this, const model_t *model, unsigned int i)
{
	order_row_t row = read_row(this, model, true);
	const attempt_t *a = &model->attempts[i];
	model_t next = *model;
	uint64_t expected;
	write_t write;

	if (!order_withdraw(&a->order, &row, &expected) ||
		(this->mutation == MUTATION_NO_TOMBSTONE && row.state == ROW_ABSENT)) {
		next.attempts[i].phase = PHASE_OVER;
		explore(this, &next);
		return;
	}
	write = (write_t){0, ROW_WITHDRAWN, (uint8_t)a->order.attempt, (uint8_t)expected};
	if (apply_write(this, &next, &write))
		next.attempts[i].phase = PHASE_OVER;
	explore(this, &next);
	next = *model;
	if (use_fault(&next))
		delay_write(this, &next, i, &write, false);
}

static void step_finish_later(checker_t *this, const model_t *model, unsigned int i)
{
	const attempt_t *a = &model->attempts[i];
	row_state_t state = a->order.reason == REASON_NONE ? ROW_DONE : ROW_UNKNOWN;
	write_t write = {0, (uint8_t)state, (uint8_t)a->order.attempt, (uint8_t)a->order.expected};
	model_t next = *model;

	apply_write(this, &next, &write);
	next.attempts[i].phase = PHASE_OVER;
	explore(this, &next);
}

static void step_attempt(checker_t *this, const model_t *model, unsigned int i)
{
	const attempt_t *a = &model->attempts[i];

	if (a->phase == PHASE_ANSWERED) {
		if (a->order.withdraw)
			step_withdraw(this, model, i);
		else
			step_finish_later(this, model, i);
		return;
	}
	switch (a->action) {
	case ORDER_DO_CLAIM:
		step_write(this, model, i, ROW_STARTED);
		break;
	case ORDER_DO_READ:
		step_read(this, model, i);
		break;
	case ORDER_DO_SEND:
		step_send(this, model, i);
		break;
	case ORDER_DO_FINISH:
		step_write(this, model, i, ROW_DONE);
		break;
	default:
		step_write(this, model, i, ROW_UNKNOWN);
		break;
	}
}

static void step_crash(checker_t *this, const model_t *model, unsigned int i)
{
	model_t next = *model;

	if (!use_fault(&next))
		return;
	next.attempts[i].phase = PHASE_OVER;
	next.attempts[i].crashed = true;
	explore(this, &next);
}

/* --- exploring --------------------------------------------------------- */

static void apply_pending(checker_t *this, const model_t *model, int p)
{
	model_t next = *model;

	next.pending[p].used = 0;
	apply_write(this, &next, &model->pending[p]);
	memset(&next.pending[p], 0, sizeof(next.pending[p]));
	explore(this, &next);
}

static void run_delayed(checker_t *this, const model_t *model, unsigned int i)
{
	model_t next = *model;

	next.attempts[i].in_transit = false;
	run_at_endpoint(&next, &next.attempts[i]);
	explore(this, &next);
}

static void explore_attempt(checker_t *this, const model_t *model, unsigned int i)
{
	const attempt_t *a = &model->attempts[i];

	if (a->in_transit)
		run_delayed(this, model, i);
	if (a->phase == PHASE_WAITING) {
		model_t next = *model;

		next.attempts[i].phase = PHASE_ACTING;
		handle_event(this, &next, i, ORDER_BEGIN, NULL);
	}
	if (a->phase == PHASE_ACTING || a->phase == PHASE_ANSWERED) {
		step_attempt(this, model, i);
		step_crash(this, model, i);
	}
}

static void explore(checker_t *this, const model_t *model)
{
	uint64_t hash;

	check_safety(this, model);
	check_end_state(this, model);
	if (this->violation)
		return;
	hash = hash_state(model);
	if (g_hash_table_contains(this->visited, &hash))
		return;
	g_hash_table_add(this->visited, g_memdup2(&hash, sizeof(hash)));
	this->states++;
	for (unsigned int i = 0; i < this->attempts && !this->violation; i++)
		explore_attempt(this, model, i);
	for (int p = 0; p < MAX_PENDING && !this->violation; p++) {
		if (model->pending[p].used)
			apply_pending(this, model, p);
	}
}

static const char *run_checker(
	unsigned int attempts, unsigned int faults, mutation_t mutation, uint64_t *states)
{
	checker_t checker = {.mutation = mutation, .attempts = attempts};
	model_t model = {.faults_left = (uint8_t)faults};

	checker.visited = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	for (unsigned int i = 0; i < attempts; i++)
		order_init(&model.attempts[i].order, i + 1, BODY);
	explore(&checker, &model);
	g_hash_table_destroy(checker.visited);
	*states = checker.states;
	return checker.violation;
}

static void expect_no_violation(unsigned int attempts, unsigned int faults)
{
	uint64_t states;
	const char *violation = run_checker(attempts, faults, MUTATION_NONE, &states);

	print_message("  %u attempts, %u faults: %llu states, %s\n", attempts, faults,
		(unsigned long long)states, violation ? violation : "no violation");
	assert_null(violation);
}

static void test_two_attempts_with_5_faults_violate_nothing(void **state)
{
	expect_no_violation(2, 5);
}

static void test_three_attempts_with_3_faults_violate_nothing(void **state)
{
	expect_no_violation(3, 3);
}

/* Shows that the checker works: without any one of the guards it finds a violation. */
static void test_removing_any_guard_causes_a_violation(void **state)
{
	for (int m = MUTATION_NONE + 1; m < MUTATION_COUNT; m++) {
		uint64_t states;
		const char *violation = run_checker(2, 4, (mutation_t)m, &states);

		print_message(
			"  guard %d removed: %s\n", m, violation ? violation : "no violation");
		assert_non_null(violation);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_two_attempts_with_5_faults_violate_nothing),
		cmocka_unit_test(test_three_attempts_with_3_faults_violate_nothing),
		cmocka_unit_test(test_removing_any_guard_causes_a_violation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
