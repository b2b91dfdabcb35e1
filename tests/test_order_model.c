/*
 * order - every interleaving of attempts of one order, checked
 *
 * Attempts run side by side; each store call may apply, apply with its reply
 * lost, fail, or land later; each send may run at once, late, or never; any
 * attempt may crash at any step; whether a holder lives is answered both ways
 * at every read, so a paused holder and a wrong member view are covered.
 * The number of faults on one path is bounded.
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

typedef enum mutation {
	MUTATION_NONE,
	MUTATION_UNCONDITIONAL_WRITES,
	MUTATION_NO_TOMBSTONE,
	MUTATION_DEAD_HOLDERS_ARE_TAKEN_OVER,
	MUTATION_BROKEN_COUNTS_AS_NOT_SENT,
	MUTATION_CLAIM_NOT_READ_BACK,
	MUTATION_COUNT,
} mutation_t;

typedef enum phase {
	PHASE_WAITING, /* not begun */
	PHASE_ACTING,  /* `action` is next */
	PHASE_TOLD,    /* the caller has its answer; background work may follow */
	PHASE_OVER,
} phase_t;

typedef struct attempt {
	order_t order;
	phase_t phase;
	order_action_t action;
	bool ran;
	bool will_run; /* bytes are under way to the endpoint */
	bool told_not_run;
	bool told_done;
	bool crashed;
} attempt_t;

typedef struct write {
	uint8_t used;
	uint8_t state;
	uint8_t attempt;
	uint8_t expected;
} write_t;

typedef struct world {
	attempt_t attempts[MAX_ATTEMPTS];
	write_t pending[MAX_PENDING]; /* delayed in the network */
	uint8_t row_state;
	uint8_t row_attempt;
	uint8_t row_version;
	uint8_t last_version;
	uint8_t faults_left;
	uint8_t runs;
} world_t;

typedef struct checker {
	GHashTable *seen;
	mutation_t mutation;
	unsigned int attempts;
	const char *violation;
	uint64_t states;
} checker_t;

static void explore(checker_t *this, const world_t *world);

/* --- the world -------------------------------------------------------- */

static uint64_t fingerprint(const world_t *w)
{
	uint8_t bytes[256] = {0};
	unsigned int n = 0;

	for (int i = 0; i < MAX_ATTEMPTS; i++) {
		const attempt_t *a = &w->attempts[i];
		const uint8_t fields[] = {a->phase, a->action, a->ran, a->will_run, a->told_not_run,
			a->told_done, (uint8_t)a->order.expected, a->order.step,
			(uint8_t)a->order.tries, a->order.reason, a->order.withdraw,
			a->order.finish_later, a->crashed};

		memcpy(bytes + n, fields, sizeof(fields));
		n += sizeof(fields);
	}
	memcpy(bytes + n, w->pending, sizeof(w->pending));
	n += sizeof(w->pending);
	bytes[n++] = w->row_state;
	bytes[n++] = w->row_attempt;
	bytes[n++] = w->row_version;
	bytes[n++] = w->last_version;
	bytes[n++] = w->faults_left;
	bytes[n++] = w->runs;
	return XXH64(bytes, n, 0);
}

static bool apply_write(const checker_t *this, world_t *w, const write_t *write)
{
	if (write->expected != w->row_version && this->mutation != MUTATION_UNCONDITIONAL_WRITES)
		return false;
	w->row_state = write->state;
	w->row_attempt = write->attempt;
	w->row_version = ++w->last_version;
	return true;
}

static order_row_t read_row(const checker_t *this, const world_t *w, bool alive)
{
	order_row_t row = {
		.state = (row_state_t)w->row_state,
		.version = w->row_version,
		.attempt = w->row_attempt,
		.body_hash = BODY,
		.holder_is_alive = alive,
	};

	if (this->mutation == MUTATION_DEAD_HOLDERS_ARE_TAKEN_OVER && !alive &&
		row.state == ROW_STARTED)
		row.state = ROW_WITHDRAWN;
	return row;
}

static void check(checker_t *this, const world_t *w)
{
	if (w->runs > 1)
		this->violation = "the order ran twice";
	for (unsigned int i = 0; i < this->attempts; i++) {
		if (w->attempts[i].told_not_run && w->attempts[i].ran)
			this->violation = "told not run, and it ran";
		if (w->attempts[i].told_done && !w->runs)
			this->violation = "told done, and it never ran";
	}
}

/* When all is over, a key may be stuck only where its holder crashed. */
static void check_end(checker_t *this, const world_t *w)
{
	if (this->mutation != MUTATION_NONE && this->mutation != MUTATION_NO_TOMBSTONE)
		return; /* the other mutations are to be seen breaking the other promises */
	if (w->row_state != ROW_STARTED || w->attempts[w->row_attempt - 1].crashed)
		return;
	for (unsigned int i = 0; i < this->attempts; i++) {
		if (w->attempts[i].phase != PHASE_OVER || w->attempts[i].will_run)
			return;
	}
	for (int p = 0; p < MAX_PENDING; p++) {
		if (w->pending[p].used)
			return;
	}
	this->violation = "the key is stuck, and nobody crashed";
}

static void run_at_endpoint(world_t *w, attempt_t *a)
{
	a->ran = true;
	w->runs++;
}

/* --- steps of one attempt ---------------------------------------------- */

static void feed(checker_t *this, const world_t *world, unsigned int i, order_event_t event,
	const order_row_t *row)
{
	world_t w = *world;
	attempt_t *a = &w.attempts[i];
	order_row_t believed = {.version = w.row_version};
	outcome_t outcome;

	if (this->mutation == MUTATION_BROKEN_COUNTS_AS_NOT_SENT && event == ORDER_BROKEN)
		event = ORDER_NOT_SENT;
	if (this->mutation == MUTATION_CLAIM_NOT_READ_BACK && event == ORDER_REPLY_LOST &&
		a->order.step == STEP_CLAIM) {
		event = ORDER_WRITTEN;
		row = &believed;
	}
	a->action = order_step(&a->order, event, row);
	if (a->action == ORDER_DO_ANSWER || a->action == ORDER_DO_REPLAY) {
		outcome = reason_info(a->order.reason)->outcome;
		a->told_not_run = outcome == OUTCOME_NOT_RUN;
		a->told_done = outcome == OUTCOME_DONE;
		a->phase = a->order.withdraw || a->order.finish_later ? PHASE_TOLD : PHASE_OVER;
	}
	explore(this, &w);
}

static bool spend_fault(world_t *w)
{
	if (!w->faults_left)
		return false;
	w->faults_left--;
	return true;
}

static void delay_write(
	checker_t *this, const world_t *world, unsigned int i, const write_t *write, bool feeds)
{
	world_t w = *world;

	for (int p = 0; p < MAX_PENDING; p++) {
		if (w.pending[p].used)
			continue;
		w.pending[p] = *write;
		w.pending[p].used = 1;
		if (feeds)
			feed(this, &w, i, ORDER_REPLY_LOST, NULL);
		else
			explore(this, &w);
		return;
	}
}

static void step_write(checker_t *this, const world_t *world, unsigned int i, row_state_t state)
{
	const attempt_t *a = &world->attempts[i];
	write_t write = {0, (uint8_t)state, (uint8_t)a->order.attempt, (uint8_t)a->order.expected};
	world_t w = *world;
	bool applied = apply_write(this, &w, &write);
	order_row_t row = {.version = w.row_version};

	feed(this, &w, i, applied ? ORDER_WRITTEN : ORDER_CONFLICT, &row);
	if (!spend_fault(&w))
		return;
	feed(this, &w, i, ORDER_REPLY_LOST, NULL);
	w = *world;
	spend_fault(&w);
	feed(this, &w, i, ORDER_REPLY_LOST, NULL);
	delay_write(this, &w, i, &write, true);
}

static void step_read(checker_t *this, const world_t *world, unsigned int i)
{
	order_row_t alive = read_row(this, world, true);
	order_row_t dead = read_row(this, world, false);
	world_t w = *world;

	feed(this, world, i, ORDER_ROW, &alive);
	feed(this, world, i, ORDER_ROW, &dead);
	if (spend_fault(&w))
		feed(this, &w, i, ORDER_READ_FAILED, NULL);
}

static void step_send(checker_t *this, const world_t *world, unsigned int i)
{
	world_t w = *world;

	feed(this, &w, i, ORDER_NOT_SENT, NULL);
	run_at_endpoint(&w, &w.attempts[i]);
	feed(this, &w, i, ORDER_ANSWERED, NULL);
	feed(this, &w, i, ORDER_BROKEN, NULL);
	w = *world;
	feed(this, &w, i, ORDER_BROKEN, NULL);
	w.attempts[i].will_run = true;
	feed(this, &w, i, ORDER_BROKEN, NULL);
}

static void step_withdraw(checker_t *this, const world_t *world, unsigned int i)
{
	order_row_t row = read_row(this, world, true);
	const attempt_t *a = &world->attempts[i];
	world_t w = *world;
	uint64_t expected;
	write_t write;

	if (!order_withdraw(&a->order, &row, &expected) ||
		(this->mutation == MUTATION_NO_TOMBSTONE && row.state == ROW_ABSENT)) {
		w.attempts[i].phase = PHASE_OVER;
		explore(this, &w);
		return;
	}
	write = (write_t){0, ROW_WITHDRAWN, (uint8_t)a->order.attempt, (uint8_t)expected};
	if (apply_write(this, &w, &write))
		w.attempts[i].phase = PHASE_OVER;
	explore(this, &w);
	w = *world;
	if (spend_fault(&w))
		delay_write(this, &w, i, &write, false);
}

static void step_finish_later(checker_t *this, const world_t *world, unsigned int i)
{
	const attempt_t *a = &world->attempts[i];
	row_state_t state = a->order.reason == REASON_NONE ? ROW_DONE : ROW_UNKNOWN;
	write_t write = {0, (uint8_t)state, (uint8_t)a->order.attempt, (uint8_t)a->order.expected};
	world_t w = *world;

	apply_write(this, &w, &write);
	w.attempts[i].phase = PHASE_OVER;
	explore(this, &w);
}

static void step_attempt(checker_t *this, const world_t *world, unsigned int i)
{
	const attempt_t *a = &world->attempts[i];

	if (a->phase == PHASE_TOLD) {
		if (a->order.withdraw)
			step_withdraw(this, world, i);
		else
			step_finish_later(this, world, i);
		return;
	}
	switch (a->action) {
	case ORDER_DO_CLAIM:
		step_write(this, world, i, ROW_STARTED);
		break;
	case ORDER_DO_READ:
		step_read(this, world, i);
		break;
	case ORDER_DO_SEND:
		step_send(this, world, i);
		break;
	case ORDER_DO_FINISH:
		step_write(this, world, i, ROW_DONE);
		break;
	default:
		step_write(this, world, i, ROW_UNKNOWN);
		break;
	}
}

static void step_crash(checker_t *this, const world_t *world, unsigned int i)
{
	world_t w = *world;

	if (!spend_fault(&w))
		return;
	w.attempts[i].phase = PHASE_OVER;
	w.attempts[i].crashed = true;
	explore(this, &w);
}

/* --- exploring --------------------------------------------------------- */

static void land_pending(checker_t *this, const world_t *world, int p)
{
	world_t w = *world;

	w.pending[p].used = 0;
	apply_write(this, &w, &world->pending[p]);
	memset(&w.pending[p], 0, sizeof(w.pending[p]));
	explore(this, &w);
}

static void run_late(checker_t *this, const world_t *world, unsigned int i)
{
	world_t w = *world;

	w.attempts[i].will_run = false;
	run_at_endpoint(&w, &w.attempts[i]);
	explore(this, &w);
}

static void explore_attempt(checker_t *this, const world_t *world, unsigned int i)
{
	const attempt_t *a = &world->attempts[i];

	if (a->will_run)
		run_late(this, world, i);
	if (a->phase == PHASE_WAITING) {
		world_t w = *world;

		w.attempts[i].phase = PHASE_ACTING;
		feed(this, &w, i, ORDER_BEGIN, NULL);
	}
	if (a->phase == PHASE_ACTING || a->phase == PHASE_TOLD) {
		step_attempt(this, world, i);
		step_crash(this, world, i);
	}
}

static void explore(checker_t *this, const world_t *world)
{
	uint64_t print;

	check(this, world);
	check_end(this, world);
	if (this->violation)
		return;
	print = fingerprint(world);
	if (g_hash_table_contains(this->seen, &print))
		return;
	g_hash_table_add(this->seen, g_memdup2(&print, sizeof(print)));
	this->states++;
	for (unsigned int i = 0; i < this->attempts && !this->violation; i++)
		explore_attempt(this, world, i);
	for (int p = 0; p < MAX_PENDING && !this->violation; p++) {
		if (world->pending[p].used)
			land_pending(this, world, p);
	}
}

static const char *run_checker(
	unsigned int attempts, unsigned int faults, mutation_t mutation, uint64_t *states)
{
	checker_t checker = {.mutation = mutation, .attempts = attempts};
	world_t world = {.faults_left = (uint8_t)faults};

	checker.seen = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	for (unsigned int i = 0; i < attempts; i++)
		order_init(&world.attempts[i].order, i + 1, BODY);
	explore(&checker, &world);
	g_hash_table_destroy(checker.seen);
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

static void test_two_attempts(void **state)
{
	expect_no_violation(2, 5);
}

static void test_three_attempts(void **state)
{
	expect_no_violation(3, 3);
}

/* The check has teeth: with one guard taken away it finds a violation. */
static void test_each_guard_is_needed(void **state)
{
	for (int m = MUTATION_NONE + 1; m < MUTATION_COUNT; m++) {
		uint64_t states;
		const char *violation = run_checker(2, 4, (mutation_t)m, &states);

		print_message(
			"  guard %d taken away: %s\n", m, violation ? violation : "nothing found");
		assert_non_null(violation);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_two_attempts),
		cmocka_unit_test(test_three_attempts),
		cmocka_unit_test(test_each_guard_is_needed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
