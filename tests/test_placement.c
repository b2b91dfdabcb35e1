/* placement - routers and owners that fall silent, restart, are cut apart; time and seed given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "core/placement.h"
#include "edge/entry_codec.h"

#define ROUTERS 5
#define ENGINES 6
#define SLOTS 8
#define POOL 7
#define STEP (1 * USEC_PER_MSEC)
#define DELAY_STEPS 2
#define RUN_SPAN (400 * USEC_PER_MSEC)

typedef struct letter {
	unsigned int to;
	unsigned int from;
	instant_t at;
	char *bytes;
	size_t size;
} letter_t;

typedef struct job {
	placement_request_t request;
	unsigned int router;
	instant_t arrived;
	instant_t began;
	bool over;
} job_t;

/* Several routers in one program, with a network that a test may cut. */
typedef struct fleet {
	placement_t *nodes[ROUTERS];
	bool frozen[ROUTERS];
	bool cut[ROUTERS][ROUTERS];
	unsigned int lose_per_mille;
	instant_t now;
	GQueue mail;
	GPtrArray *jobs;
	GRand *random;
	entry_writer_t *writer;
	uint64_t incarnation;
	unsigned int started;
	unsigned int rejected;
	unsigned int in_use[ENGINES];
	unsigned int most_in_use[ENGINES];
	uint64_t longest_wait;
} fleet_t;

static id_t32 router_id(unsigned int i)
{
	return 1000 + i;
}

static id_t32 engine_id(unsigned int i)
{
	return 200 + i;
}

static void start_router(fleet_t *this, unsigned int i)
{
	placement_engine_t engines[ENGINES];
	placement_options_t options = {
		.self = router_id(i),
		.incarnation = ++this->incarnation,
		.seed = 77 + i,
		.scheduler = {.pool = {.late_wait = 300 * USEC_PER_MSEC,
				      .max_backlog = 60 * USEC_PER_MSEC}},
	};

	this->nodes[i] = placement_new(&options, this->now);
	for (unsigned int k = 0; k < ROUTERS; k++) {
		if (k != i)
			placement_add_member(this->nodes[i], router_id(k));
	}
	for (unsigned int k = 0; k < ENGINES; k++)
		engines[k] = (placement_engine_t){.id = engine_id(k),
			.pool = POOL,
			.limits = {.slots = SLOTS},
			.usable = true};
	placement_set_engines(this->nodes[i], engines, ENGINES, this->now);
}

static fleet_t *fleet_new(uint32_t seed)
{
	fleet_t *this = g_new0(fleet_t, 1);

	this->now = USEC_PER_SEC;
	this->random = g_rand_new_with_seed(seed);
	this->jobs = g_ptr_array_new_with_free_func(g_free);
	this->writer = entry_writer_new();
	g_queue_init(&this->mail);
	for (unsigned int i = 0; i < ROUTERS; i++)
		start_router(this, i);
	return this;
}

static void letter_delete(void *item)
{
	letter_t *letter = item;

	g_free(letter->bytes);
	g_free(letter);
}

static void fleet_delete(fleet_t *this)
{
	for (unsigned int i = 0; i < ROUTERS; i++)
		placement_delete(this->nodes[i]);
	g_queue_clear_full(&this->mail, letter_delete);
	g_ptr_array_unref(this->jobs);
	entry_writer_delete(this->writer);
	g_rand_free(this->random);
	g_free(this);
}

static void post(fleet_t *this, unsigned int from, unsigned int slot, const message_header_t *head)
{
	const members_t *members = placement_members(this->nodes[from]);
	letter_t *letter = g_new0(letter_t, 1);
	const char *bytes;
	message_entry_t note;

	entry_writer_begin(this->writer, head);
	while (placement_next_entry(this->nodes[from], slot, &note))
		entry_writer_add(this->writer, &note, this->now);
	bytes = entry_writer_data(this->writer, &letter->size);
	letter->bytes = g_memdup2(bytes, letter->size);
	letter->from = from;
	letter->to = members->list[slot].id - router_id(0);
	letter->at = this->now + DELAY_STEPS * STEP;
	if (this->cut[from][letter->to] ||
		(unsigned int)g_rand_int_range(this->random, 0, 1000) < this->lose_per_mille)
		letter_delete(letter);
	else
		g_queue_push_tail(&this->mail, letter);
}

static void deliver(fleet_t *this, const letter_t *letter)
{
	placement_t *node = this->nodes[letter->to];
	message_header_t head;
	entry_reader_t *reader = entry_reader_new(letter->bytes, letter->size, &head);
	unsigned int slot;
	message_entry_t note;

	assert_non_null(reader);
	if (placement_accept_message(node, &head, &slot, this->now)) {
		while (entry_reader_next(reader, &note, this->now))
			placement_handle_entry(node, slot, &note, this->now);
	}
	entry_reader_delete(reader);
}

static void deliver_due(fleet_t *this)
{
	unsigned int count = this->mail.length;

	for (unsigned int i = 0; i < count; i++) {
		letter_t *letter = g_queue_pop_head(&this->mail);

		if (letter->at > this->now || this->frozen[letter->to]) {
			g_queue_push_tail(&this->mail, letter);
			continue;
		}
		deliver(this, letter);
		letter_delete(letter);
	}
}

static void act(fleet_t *this, unsigned int i)
{
	placement_action_t action;

	while (placement_next_action(this->nodes[i], &action)) {
		job_t *job = caa_container_of(action.request, job_t, request);
		uint64_t wait = this->now - job->arrived;

		this->longest_wait = wait > this->longest_wait ? wait : this->longest_wait;
		if (action.kind == PLACEMENT_REJECT) {
			this->rejected++;
			job->over = true;
			continue;
		}
		this->started++;
		job->began = this->now;
		this->in_use[action.engine - engine_id(0)]++;
		if (this->in_use[action.engine - engine_id(0)] >
			this->most_in_use[action.engine - engine_id(0)])
			this->most_in_use[action.engine - engine_id(0)]++;
	}
}

static void finish_jobs(fleet_t *this)
{
	for (unsigned int i = 0; i < this->jobs->len; i++) {
		job_t *job = this->jobs->pdata[i];

		if (job->over || !job->began || this->frozen[job->router])
			continue;
		if (this->now >= job->began + RUN_SPAN / 10)
			placement_first_token(this->nodes[job->router], &job->request, this->now);
		if (this->now < job->began + RUN_SPAN)
			continue;
		placement_end(this->nodes[job->router], &job->request, 50, this->now);
		this->in_use[job->request.engine - engine_id(0)]--;
		job->over = true;
	}
}

static void fleet_run(fleet_t *this, unsigned int ms)
{
	for (unsigned int k = 0; k < ms; k++) {
		this->now += STEP;
		deliver_due(this);
		finish_jobs(this);
		for (unsigned int i = 0; i < ROUTERS; i++) {
			message_header_t head;
			unsigned int slot;

			if (this->frozen[i])
				continue;
			placement_tick(this->nodes[i], this->now);
			act(this, i);
			while (placement_next_message(this->nodes[i], &slot, &head, this->now))
				post(this, i, slot, &head);
		}
	}
}

static job_t *arrive(fleet_t *this, unsigned int router)
{
	job_t *job = g_new0(job_t, 1);

	job->router = router;
	job->arrived = this->now;
	job->request = (placement_request_t){
		.pool = POOL,
		.workspace = 1,
		.work = {.prompt = 500, .answer = 50},
		.first_token_deadline = this->now + 300 * USEC_PER_MSEC,
		.deadline = this->now + 5 * USEC_PER_SEC,
	};
	job->request.work.chain.count = 1;
	job->request.work.chain.hash[0] = g_rand_int(this->random) | 1U;
	g_ptr_array_add(this->jobs, job);
	placement_request(this->nodes[router], &job->request, this->now);
	return job;
}

/* Offers one request a router each `every` ms. */
static void fleet_load(fleet_t *this, unsigned int ms, unsigned int every)
{
	for (unsigned int t = 0; t < ms; t += every) {
		for (unsigned int i = 0; i < ROUTERS; i++) {
			if (!this->frozen[i])
				arrive(this, i);
		}
		fleet_run(this, every);
	}
}

static void cut(fleet_t *this, unsigned int router, bool on)
{
	for (unsigned int k = 0; k < ROUTERS; k++) {
		if (k == router)
			continue;
		this->cut[router][k] = on;
		this->cut[k][router] = on;
	}
}

static unsigned int most_in_use(const fleet_t *this)
{
	unsigned int most = 0;

	for (unsigned int i = 0; i < ENGINES; i++)
		most = this->most_in_use[i] > most ? this->most_in_use[i] : most;
	return most;
}

static unsigned int held_by_owners(const fleet_t *this)
{
	unsigned int held = 0;

	for (unsigned int i = 0; i < ROUTERS; i++)
		held += scheduler_running(placement_scheduler(this->nodes[i]));
	return held;
}

/* Everybody sees the same owners, all is served, no engine gets more than its slots. */
static void test_calm_fleet_serves_within_the_slots(void **state)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		fleet_t *f = fleet_new(seed);

		fleet_run(f, 500);
		fleet_load(f, 4000, 60);
		fleet_run(f, 2000);
		assert_int_equal(f->rejected, 0);
		assert_int_equal(f->started, f->jobs->len);
		assert_true(most_in_use(f) <= SLOTS);
		assert_int_equal(held_by_owners(f), 0);
		if (f->longest_wait > 30 * USEC_PER_MSEC)
			fail_msg("longest wait %u us", (unsigned int)f->longest_wait);
		fleet_delete(f);
	}
}

/* A frozen owner costs one short wait, and then is passed over. */
static void test_frozen_owner_is_passed_over(void **state)
{
	fleet_t *f = fleet_new(1);

	fleet_run(f, 500);
	f->frozen[2] = true;
	fleet_load(f, 3000, 60);
	fleet_run(f, 1000);
	assert_int_equal(f->rejected, 0);
	assert_true(f->longest_wait <= 120 * USEC_PER_MSEC);
	f->frozen[2] = false;
	fleet_run(f, 1500);
	fleet_load(f, 1000, 60);
	fleet_run(f, 2500);
	assert_int_equal(f->rejected, 0);
	assert_int_equal(held_by_owners(f), 0);
	fleet_delete(f);
}

/* A router restarts: what it ran is free again, what it owned is known anew. */
static void test_restarted_router_is_counted_anew(void **state)
{
	fleet_t *f = fleet_new(2);

	fleet_run(f, 500);
	fleet_load(f, 1000, 60);
	for (unsigned int i = 0; i < f->jobs->len; i++) {
		job_t *job = f->jobs->pdata[i];

		if (job->router == 1 && !job->over) {
			if (job->began)
				f->in_use[job->request.engine - engine_id(0)]--;
			job->over = true;
		}
	}
	placement_delete(f->nodes[1]);
	start_router(f, 1);
	fleet_load(f, 2000, 60);
	fleet_run(f, 3000);
	assert_int_equal(held_by_owners(f), 0);
	fleet_delete(f);
}

/* Cut off from all, a router starts a bounded number by itself. */
static void test_cut_router_serves_a_bounded_part(void **state)
{
	fleet_t *f = fleet_new(3);

	fleet_run(f, 500);
	cut(f, 0, true);
	fleet_load(f, 4000, 60);
	assert_true(most_in_use(f) <= 2 * SLOTS);
	cut(f, 0, false);
	fleet_run(f, 3000);
	fleet_load(f, 1000, 60);
	fleet_run(f, 4000);
	assert_int_equal(held_by_owners(f), 0);
	fleet_delete(f);
}

/* With a tenth of the messages lost all are decided, and no place stays lost. */
static void test_lost_messages_do_no_lasting_harm(void **state)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		fleet_t *f = fleet_new(seed);

		fleet_run(f, 500);
		f->lose_per_mille = 100;
		fleet_load(f, 3000, 60);
		f->lose_per_mille = 0;
		fleet_run(f, 5500);
		assert_int_equal(f->started + f->rejected, f->jobs->len);
		assert_int_equal(held_by_owners(f), 0);
		fleet_delete(f);
	}
}

/* A message that is delivered twice, or late, changes nothing. */
static void test_replayed_messages_are_dropped(void **state)
{
	fleet_t *f = fleet_new(5);
	GPtrArray *kept = g_ptr_array_new();

	fleet_run(f, 500);
	for (unsigned int t = 0; t < 20; t++) {
		for (unsigned int i = 0; i < ROUTERS; i++)
			arrive(f, i);
		fleet_run(f, 1);
		for (GList *item = f->mail.head; item; item = item->next) {
			letter_t *copy = g_memdup2(item->data, sizeof(letter_t));

			copy->bytes = g_memdup2(copy->bytes, copy->size);
			g_ptr_array_add(kept, copy);
		}
	}
	fleet_run(f, 3000);
	assert_int_equal(held_by_owners(f), 0);
	for (unsigned int i = 0; i < kept->len; i++) {
		deliver(f, kept->pdata[i]);
		letter_delete(kept->pdata[i]);
	}
	assert_int_equal(held_by_owners(f), 0);
	fleet_run(f, 100);
	assert_int_equal(f->started + f->rejected, f->jobs->len);
	g_ptr_array_unref(kept);
	fleet_delete(f);
}

/* A planned stop hands its engines over: what others ask is served on. */
static void test_stopping_owner_hands_over(void **state)
{
	fleet_t *f = fleet_new(6);

	fleet_run(f, 500);
	placement_stop(f->nodes[3], f->now);
	fleet_run(f, 20);
	fleet_load(f, 2000, 60);
	fleet_run(f, 1000);
	assert_int_equal(f->rejected, 0);
	assert_int_equal(scheduler_running(placement_scheduler(f->nodes[3])), 0);
	assert_true(most_in_use(f) <= SLOTS);
	fleet_delete(f);
}

/* A caller that leaves while it waits, or at once after, frees its place. */
static void test_cancelled_requests_leave_nothing(void **state)
{
	fleet_t *f = fleet_new(7);

	fleet_run(f, 500);
	for (unsigned int t = 0; t < 200; t++) {
		job_t *job = arrive(f, t % ROUTERS);

		fleet_run(f, t % 8);
		if (job->began)
			f->in_use[job->request.engine - engine_id(0)]--;
		placement_cancel(f->nodes[job->router], &job->request, f->now);
		job->over = true;
	}
	fleet_run(f, 3000);
	assert_int_equal(held_by_owners(f), 0);
	fleet_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calm_fleet_serves_within_the_slots),
		cmocka_unit_test(test_frozen_owner_is_passed_over),
		cmocka_unit_test(test_restarted_router_is_counted_anew),
		cmocka_unit_test(test_cut_router_serves_a_bounded_part),
		cmocka_unit_test(test_lost_messages_do_no_lasting_harm),
		cmocka_unit_test(test_replayed_messages_are_dropped),
		cmocka_unit_test(test_stopping_owner_hands_over),
		cmocka_unit_test(test_cancelled_requests_leave_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
