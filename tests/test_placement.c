/*
 * placement - several routers together, with lost messages, network partitions and routers
 * that freeze, restart or stop; time and seeds are given
 */
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
#define STEP_US (1 * USEC_PER_MSEC)
#define DELAY_STEPS 2
#define LATE_WAIT (300 * USEC_PER_MSEC)
/* From the start of a request to its end; its first token arrives after a tenth of this. */
#define RUN_DURATION (400 * USEC_PER_MSEC)

/* A message in transit. */
typedef struct queued_message {
	unsigned int to;
	unsigned int from;
	instant_t due;
	char *bytes;
	size_t size;
} queued_message_t;

typedef struct job {
	placement_request_t request;
	unsigned int router;
	instant_t arrived;
	instant_t started_at;
	bool over; /* rejected, ended or cancelled */
	bool responded;
} job_t;

/* Several routers in one program, and the network between them. */
typedef struct fleet {
	placement_t *placements[ROUTERS];
	bool frozen[ROUTERS];	  /* the router does not run, messages to it wait */
	unsigned int slow_router; /* runs only every `slow_ms`, if that is not 0 */
	unsigned int slow_ms;
	bool cut[ROUTERS][ROUTERS]; /* from one router to another: messages are lost */
	unsigned int lose_per_mille;
	uint64_t objective;	       /* of the requests, until their first token */
	id_t32 version;		       /* that the requests are bound to; 0: any */
	bool ignore_versions[ROUTERS]; /* the router gives all engines the same one */
	instant_t now;
	GQueue messages; /* queued_message_t in transit */
	GPtrArray *jobs;
	GRand *random;
	entry_writer_t *writer;
	uint64_t incarnation;
	unsigned int started;
	int64_t reported_tokens; /* as served, by router 0 to router 1 */
	unsigned int rejected;
	unsigned int in_use[ENGINES];
	unsigned int peak_in_use[ENGINES];
	uint32_t named_rate[ENGINES]; /* that the engine names in its responses */
	GArray *starts[ENGINES];      /* instant_t, of all requests that the engine got */
	uint64_t longest_wait;	      /* from arrival to start or rejection, microseconds */
} fleet_t;

static id_t32 router_id(unsigned int i)
{
	return 1000 + i;
}

static id_t32 engine_id(unsigned int i)
{
	return 200 + i;
}

/* Half of the engines have version 1, the others 2. */
static id_t32 engine_version(unsigned int i)
{
	return 1 + i % 2;
}

/* Tells router `i` of all engines; `unusable` is the index of one that accepts no requests. */
static void set_engines(fleet_t *this, unsigned int i, unsigned int unusable)
{
	placement_engine_t engines[ENGINES];

	for (unsigned int k = 0; k < ENGINES; k++)
		engines[k] = (placement_engine_t){.id = engine_id(k),
			.pool = POOL,
			.limits = {.slots = SLOTS},
			.version = this->ignore_versions[i] ? 0 : engine_version(k),
			.usable = k != unusable};
	placement_set_engines(this->placements[i], engines, ENGINES, this->now);
}

static void start_router(fleet_t *this, unsigned int i)
{
	placement_options_t options = {
		.self = router_id(i),
		.incarnation = ++this->incarnation,
		.seed = 77 + i,
		.scheduler = {.pool = {.late_wait = LATE_WAIT, .max_backlog = 60 * USEC_PER_MSEC}},
	};

	this->placements[i] = placement_new(&options, this->now);
	for (unsigned int k = 0; k < ROUTERS; k++) {
		if (k != i)
			placement_add_member(this->placements[i], router_id(k));
	}
	set_engines(this, i, ENGINES);
}

static fleet_t *fleet_new(uint32_t seed)
{
	fleet_t *this = g_new0(fleet_t, 1);

	this->now = USEC_PER_SEC;
	this->objective = 300 * USEC_PER_MSEC;
	this->random = g_rand_new_with_seed(seed);
	this->jobs = g_ptr_array_new_with_free_func(g_free);
	this->writer = entry_writer_new();
	g_queue_init(&this->messages);
	for (unsigned int k = 0; k < ENGINES; k++) {
		this->named_rate[k] = RATE_NONE;
		this->starts[k] = g_array_new(FALSE, FALSE, sizeof(instant_t));
	}
	for (unsigned int i = 0; i < ROUTERS; i++)
		start_router(this, i);
	return this;
}

static void queued_message_delete(void *item)
{
	queued_message_t *message = item;

	g_free(message->bytes);
	g_free(message);
}

static void fleet_delete(fleet_t *this)
{
	for (unsigned int i = 0; i < ROUTERS; i++)
		placement_delete(this->placements[i]);
	for (unsigned int k = 0; k < ENGINES; k++)
		g_array_unref(this->starts[k]);
	g_queue_clear_full(&this->messages, queued_message_delete);
	g_ptr_array_unref(this->jobs);
	entry_writer_delete(this->writer);
	g_rand_free(this->random);
	g_free(this);
}

static void send_message(
	fleet_t *this, unsigned int from, unsigned int slot, const message_header_t *header)
{
	const members_t *members = placement_members(this->placements[from]);
	queued_message_t *message = g_new0(queued_message_t, 1);
	const char *bytes;
	message_entry_t entry;

	entry_writer_begin(this->writer, header);
	while (placement_next_entry(this->placements[from], slot, &entry)) {
		if (entry.kind == ENTRY_SERVED_TOKENS && from == 0 &&
			members->list[slot].id == router_id(1))
			this->reported_tokens += entry.tokens;
		entry_writer_add(this->writer, &entry, this->now);
	}
	if (placement_next_receipt(this->placements[from], slot, &entry, this->now))
		entry_writer_add(this->writer, &entry, this->now);
	bytes = entry_writer_data(this->writer, &message->size);
	message->bytes = g_memdup2(bytes, message->size);
	message->from = from;
	message->to = members->list[slot].id - router_id(0);
	message->due = this->now + DELAY_STEPS * STEP_US;
	if (this->cut[from][message->to] ||
		(unsigned int)g_rand_int_range(this->random, 0, 1000) < this->lose_per_mille)
		queued_message_delete(message);
	else
		g_queue_push_tail(&this->messages, message);
}

static void receive_message(fleet_t *this, const queued_message_t *message)
{
	placement_t *placement = this->placements[message->to];
	message_header_t header;
	entry_reader_t *reader = entry_reader_new(message->bytes, message->size, &header);
	unsigned int slot;
	message_entry_t entry;

	assert_non_null(reader);
	if (placement_accept_message(placement, &header, &slot, this->now)) {
		while (entry_reader_next(reader, &entry, this->now))
			placement_handle_entry(placement, slot, &entry, this->now);
	}
	entry_reader_delete(reader);
}

static void deliver_due_messages(fleet_t *this)
{
	unsigned int count = this->messages.length;

	for (unsigned int i = 0; i < count; i++) {
		queued_message_t *message = g_queue_pop_head(&this->messages);

		if (message->due > this->now || this->frozen[message->to]) {
			g_queue_push_tail(&this->messages, message);
			continue;
		}
		receive_message(this, message);
		queued_message_delete(message);
	}
}

static void handle_actions(fleet_t *this, unsigned int i)
{
	placement_action_t action;

	while (placement_next_action(this->placements[i], &action)) {
		job_t *job = caa_container_of(action.request, job_t, request);
		uint64_t wait = this->now - job->arrived;

		this->longest_wait = wait > this->longest_wait ? wait : this->longest_wait;
		if (action.kind == PLACEMENT_REJECT) {
			/* Every caller is told when to come back. */
			assert_true(action.retry_after_ms > 0);
			this->rejected++;
			job->over = true;
			continue;
		}
		this->started++;
		job->started_at = this->now;
		g_array_append_val(this->starts[action.engine - engine_id(0)], this->now);
		this->in_use[action.engine - engine_id(0)]++;
		if (this->in_use[action.engine - engine_id(0)] >
			this->peak_in_use[action.engine - engine_id(0)])
			this->peak_in_use[action.engine - engine_id(0)]++;
	}
}

/* The head of the response arrives, with the first token. */
static void respond(fleet_t *this, job_t *job)
{
	placement_t *placement = this->placements[job->router];

	if (!job->responded)
		placement_rate_report(placement, &job->request,
			this->named_rate[job->request.engine - engine_id(0)], job->started_at,
			this->now);
	job->responded = true;
	placement_first_token(placement, &job->request, this->now);
}

static void finish_jobs(fleet_t *this)
{
	for (unsigned int i = 0; i < this->jobs->len; i++) {
		job_t *job = this->jobs->pdata[i];

		if (job->over || !job->started_at || this->frozen[job->router])
			continue;
		if (this->now >= job->started_at + RUN_DURATION / 10)
			respond(this, job);
		if (this->now < job->started_at + RUN_DURATION)
			continue;
		placement_end(this->placements[job->router], &job->request, 50, this->now);
		this->in_use[job->request.engine - engine_id(0)]--;
		job->over = true;
	}
}

static void fleet_run(fleet_t *this, unsigned int ms)
{
	for (unsigned int k = 0; k < ms; k++) {
		this->now += STEP_US;
		if (this->slow_ms)
			this->frozen[this->slow_router] = this->now / STEP_US % this->slow_ms != 0;
		deliver_due_messages(this);
		finish_jobs(this);
		for (unsigned int i = 0; i < ROUTERS; i++) {
			message_header_t header;
			unsigned int slot;

			if (this->frozen[i])
				continue;
			placement_tick(this->placements[i], this->now);
			handle_actions(this, i);
			while (placement_next_message(
				this->placements[i], &slot, &header, this->now))
				send_message(this, i, slot, &header);
		}
	}
}

static job_t *request_slot_for(fleet_t *this, unsigned int router, id_t32 workspace)
{
	job_t *job = g_new0(job_t, 1);

	job->router = router;
	job->arrived = this->now;
	job->request = (placement_request_t){
		.pool = POOL,
		.workspace = workspace,
		.work = {.prompt = 500, .answer = 50},
		.version = this->version,
		.first_token_deadline = this->now + this->objective,
		.deadline = this->now + 5 * USEC_PER_SEC,
	};
	job->request.work.chain.count = 1;
	job->request.work.chain.hash[0] = g_rand_int(this->random) | 1U;
	g_ptr_array_add(this->jobs, job);
	placement_request(this->placements[router], &job->request, this->now);
	return job;
}

static job_t *request_slot(fleet_t *this, unsigned int router)
{
	return request_slot_for(this, router, 1);
}

/* Runs for `ms`; every `interval` ms each router that is not frozen gets one request. */
static void fleet_load(fleet_t *this, unsigned int ms, unsigned int interval)
{
	for (unsigned int t = 0; t < ms; t += interval) {
		for (unsigned int i = 0; i < ROUTERS; i++) {
			if (!this->frozen[i])
				request_slot(this, i);
		}
		fleet_run(this, interval);
	}
}

static void set_cut_off(fleet_t *this, unsigned int router, bool on)
{
	for (unsigned int k = 0; k < ROUTERS; k++) {
		if (k == router)
			continue;
		this->cut[router][k] = on;
		this->cut[k][router] = on;
	}
}

static unsigned int peak_in_use(const fleet_t *this)
{
	unsigned int peak = 0;

	for (unsigned int i = 0; i < ENGINES; i++)
		peak = this->peak_in_use[i] > peak ? this->peak_in_use[i] : peak;
	return peak;
}

static unsigned int slots_held_at_owners(const fleet_t *this)
{
	unsigned int held = 0;

	for (unsigned int i = 0; i < ROUTERS; i++)
		held += scheduler_running(placement_scheduler(this->placements[i]));
	return held;
}

/*
 * When all routers agree on the owners, every request is served within 30 ms, and no
 * engine gets more requests than it has slots.
 */
static void test_all_requests_of_normal_load_are_served_within_the_slots(void **state)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		fleet_t *f = fleet_new(seed);

		fleet_run(f, 500);
		fleet_load(f, 4000, 60);
		fleet_run(f, 2000);
		assert_int_equal(f->rejected, 0);
		assert_int_equal(f->started, f->jobs->len);
		assert_true(peak_in_use(f) <= SLOTS);
		assert_int_equal(slots_held_at_owners(f), 0);
		if (f->longest_wait > 30 * USEC_PER_MSEC)
			fail_msg("longest wait %u us", (unsigned int)f->longest_wait);
		fleet_delete(f);
	}
}

/*
 * A frozen owner does not reply.  Each router waits for it for a short time and then
 * uses other owners, so that no request waits longer than 120 ms.
 */
static void test_frozen_owner_delays_no_request_beyond_120_ms(void **state)
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
	assert_int_equal(slots_held_at_owners(f), 0);
	fleet_delete(f);
}

/* Ends the router and its requests, and starts it without state. */
static void restart_router(fleet_t *this, unsigned int router)
{
	for (unsigned int i = 0; i < this->jobs->len; i++) {
		job_t *job = this->jobs->pdata[i];

		if (job->router == router && !job->over) {
			if (job->started_at)
				this->in_use[job->request.engine - engine_id(0)]--;
			job->over = true;
		}
	}
	placement_delete(this->placements[router]);
	start_router(this, router);
}

/*
 * A router restarts without state.  The owners free the slots of its former requests,
 * and it learns from the other routers which slots of its own engines are in use.
 */
static void test_restarted_router_leaves_no_slots_in_use(void **state)
{
	fleet_t *f = fleet_new(2);

	fleet_run(f, 500);
	fleet_load(f, 1000, 60);
	restart_router(f, 1);
	fleet_load(f, 2000, 60);
	fleet_run(f, 3000);
	assert_int_equal(slots_held_at_owners(f), 0);
	fleet_delete(f);
}

/* A router that is cut off from all others starts a bounded number of requests without a grant. */
static void test_cut_off_router_uses_at_most_twice_the_slots(void **state)
{
	fleet_t *f = fleet_new(3);

	fleet_run(f, 500);
	set_cut_off(f, 0, true);
	fleet_load(f, 4000, 60);
	assert_true(peak_in_use(f) <= 2 * SLOTS);
	set_cut_off(f, 0, false);
	fleet_run(f, 3000);
	fleet_load(f, 1000, 60);
	fleet_run(f, 4000);
	assert_int_equal(slots_held_at_owners(f), 0);
	fleet_delete(f);
}

/* With a tenth of the messages lost, every request is started or rejected and no slot leaks. */
static void test_lost_messages_leave_no_slots_in_use(void **state)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		fleet_t *f = fleet_new(seed);

		fleet_run(f, 500);
		f->lose_per_mille = 100;
		fleet_load(f, 3000, 60);
		f->lose_per_mille = 0;
		fleet_run(f, 5500);
		assert_int_equal(f->started + f->rejected, f->jobs->len);
		assert_int_equal(slots_held_at_owners(f), 0);
		fleet_delete(f);
	}
}

/* A message that is delivered a second time, or late, changes nothing. */
static void test_duplicate_and_late_messages_are_ignored(void **state)
{
	fleet_t *f = fleet_new(5);
	GPtrArray *copies = g_ptr_array_new();

	fleet_run(f, 500);
	for (unsigned int t = 0; t < 20; t++) {
		for (unsigned int i = 0; i < ROUTERS; i++)
			request_slot(f, i);
		fleet_run(f, 1);
		for (GList *item = f->messages.head; item; item = item->next) {
			queued_message_t *copy = g_memdup2(item->data, sizeof(queued_message_t));

			copy->bytes = g_memdup2(copy->bytes, copy->size);
			g_ptr_array_add(copies, copy);
		}
	}
	fleet_run(f, 3000);
	assert_int_equal(slots_held_at_owners(f), 0);
	for (unsigned int i = 0; i < copies->len; i++) {
		receive_message(f, copies->pdata[i]);
		queued_message_delete(copies->pdata[i]);
	}
	assert_int_equal(slots_held_at_owners(f), 0);
	fleet_run(f, 100);
	assert_int_equal(f->started + f->rejected, f->jobs->len);
	g_ptr_array_unref(copies);
	fleet_delete(f);
}

/* In a planned stop other owners take over the engines, and no request is rejected. */
static void test_stopping_owner_hands_over_its_engines(void **state)
{
	fleet_t *f = fleet_new(6);

	fleet_run(f, 500);
	placement_stop(f->placements[3], f->now);
	fleet_run(f, 20);
	fleet_load(f, 2000, 60);
	fleet_run(f, 1000);
	assert_int_equal(f->rejected, 0);
	assert_int_equal(scheduler_running(placement_scheduler(f->placements[3])), 0);
	assert_true(peak_in_use(f) <= SLOTS);
	fleet_delete(f);
}

/*
 * A caller that disconnects while its request waits or shortly after it started leaves
 * no slot in use.
 */
static void test_cancelled_requests_leave_no_slots_in_use(void **state)
{
	fleet_t *f = fleet_new(7);

	fleet_run(f, 500);
	for (unsigned int t = 0; t < 200; t++) {
		job_t *job = request_slot(f, t % ROUTERS);

		fleet_run(f, t % 8);
		if (job->started_at)
			f->in_use[job->request.engine - engine_id(0)]--;
		placement_cancel(f->placements[job->router], &job->request, f->now);
		job->over = true;
	}
	fleet_run(f, 3000);
	assert_int_equal(slots_held_at_owners(f), 0);
	fleet_delete(f);
}

/*
 * An owner may learn late that an engine leaves.  A router that knows it uses no grant for that
 * engine, and its requests start elsewhere.
 */
static void test_grant_for_leaving_engine_is_not_used(void **state)
{
	for (unsigned int leaving = 0; leaving < ENGINES; leaving++) {
		fleet_t *f = fleet_new(8);

		fleet_run(f, 500);
		set_engines(f, 0, leaving);
		fleet_load(f, 2000, 60);
		fleet_run(f, 2000);
		assert_int_equal(f->rejected, 0);
		assert_int_equal(f->started, f->jobs->len);
		assert_int_equal(slots_held_at_owners(f), 0);
		for (unsigned int i = 0; i < f->jobs->len; i++) {
			const job_t *job = f->jobs->pdata[i];

			if (job->router == 0)
				assert_int_not_equal(job->request.engine, engine_id(leaving));
		}
		fleet_delete(f);
	}
}

static void check_versions(const fleet_t *this)
{
	for (unsigned int i = 0; i < this->jobs->len; i++) {
		const job_t *job = this->jobs->pdata[i];

		if (job->started_at && job->request.version)
			assert_int_equal(engine_version(job->request.engine - engine_id(0)),
				job->request.version);
	}
}

/* Streams that are taken up, beside requests that may start anywhere. */
static void test_request_bound_to_a_version_starts_on_an_engine_of_it(void **state)
{
	fleet_t *f = fleet_new(10);

	fleet_run(f, 500);
	for (unsigned int i = 0; i < 60; i++) {
		f->version = i % 3; /* 0: any */
		fleet_load(f, 60, 60);
	}
	fleet_run(f, 2000);
	assert_int_equal(f->rejected, 0);
	assert_int_equal(f->started, f->jobs->len);
	assert_int_equal(slots_held_at_owners(f), 0);
	check_versions(f);
	fleet_delete(f);
}

/* Owners whose build knows no versions grant any engine. */
static void test_grant_of_another_version_is_declined(void **state)
{
	fleet_t *f = fleet_new(11);

	for (unsigned int i = 1; i < ROUTERS; i++) {
		f->ignore_versions[i] = true;
		set_engines(f, i, ENGINES);
	}
	fleet_run(f, 500);
	f->version = 2;
	for (unsigned int i = 0; i < 40; i++) {
		request_slot(f, 0);
		fleet_run(f, 60);
	}
	fleet_run(f, 2000);
	assert_true(f->started > f->jobs->len / 2);
	assert_int_equal(f->started + f->rejected, f->jobs->len);
	assert_int_equal(slots_held_at_owners(f), 0);
	check_versions(f);
	fleet_delete(f);
}

/* It is refused at once, not at its deadline. */
static void test_request_bound_to_a_version_without_engines_is_rejected_at_once(void **state)
{
	fleet_t *f = fleet_new(12);

	fleet_run(f, 500);
	f->version = 3;
	fleet_load(f, 60, 60);
	assert_int_equal(f->rejected, f->jobs->len);
	assert_true(f->longest_wait <= STEP_US);
	fleet_delete(f);
}

/*
 * One workspace sends eight times what the engines can serve to one router.  The router refuses
 * most of it by itself, and all slots stay in use.
 */
static void test_flood_at_one_router_is_refused_without_asking_owners(void **state)
{
	const unsigned int capacity_per_s = ENGINES * SLOTS * 1000 / (RUN_DURATION / USEC_PER_MSEC);
	const unsigned int seconds = 5;
	fleet_t *f = fleet_new(9);
	const placement_stats_t *stats = placement_stats(f->placements[0]);

	fleet_run(f, 500);
	for (unsigned int ms = 0; ms < seconds * 1000; ms++) {
		request_slot(f, 0);
		fleet_run(f, 1);
	}
	assert_true(stats->slot_requests < f->jobs->len / 2);
	assert_true(f->started >= capacity_per_s * seconds * 9 / 10);
	fleet_run(f, 2000);
	assert_int_equal(f->started + f->rejected, f->jobs->len);
	assert_int_equal(slots_held_at_owners(f), 0);
	fleet_delete(f);
}

/*
 * A router that runs only every 60 ms gets each reply late.  It does not give up on owners that
 * have replied, which would send each request to several of them.
 */
static void test_slow_router_does_not_take_its_owners_for_silent(void **state)
{
	fleet_t *f = fleet_new(11);
	const placement_stats_t *stats = placement_stats(f->placements[0]);

	f->slow_router = 0;
	f->slow_ms = 60;
	fleet_run(f, 1000);
	for (unsigned int t = 0; t < 60; t++) {
		request_slot(f, 0);
		fleet_run(f, 60);
	}
	fleet_run(f, 1000);
	assert_int_equal(stats->unanswered, 0);
	assert_int_equal(stats->without_grant, 0);
	assert_int_equal(f->started, f->jobs->len);
	fleet_delete(f);
}

/* A workspace whose callers use the flooded router too gets all that it asks for. */
static void test_flood_leaves_slots_to_other_workspace_at_the_same_router(void **state)
{
	fleet_t *f = fleet_new(10);
	unsigned int served = 0;
	unsigned int asked = 0;

	fleet_run(f, 500);
	for (unsigned int ms = 0; ms < 5000; ms++) {
		request_slot(f, 0);
		if (ms % 50 == 0)
			request_slot_for(f, 0, 2);
		fleet_run(f, 1);
	}
	for (unsigned int i = 0; i < f->jobs->len; i++) {
		const job_t *job = f->jobs->pdata[i];

		asked += job->request.workspace == 2;
		served += job->request.workspace == 2 && job->started_at;
	}
	assert_true(served * 100 >= asked * 95);
	fleet_delete(f);
}

/*
 * A workspace floods through all routers.  Another one, whose callers all use one router, asks in
 * bursts for less than its share: the owners would grant all of it in time.
 */
static void test_bursts_at_one_router_get_their_share_beside_a_spread_flood(void **state)
{
	fleet_t *f = fleet_new(12);
	unsigned int served = 0;
	unsigned int asked = 0;

	f->objective = 1000 * USEC_PER_MSEC;
	fleet_run(f, 500);
	for (unsigned int ms = 0; ms < 12000; ms++) {
		if (ms % 16 == 0) {
			for (unsigned int i = 0; i < ROUTERS; i++)
				request_slot_for(f, i, 1);
		}
		if (ms % 2000 < 90)
			request_slot_for(f, 0, 2);
		fleet_run(f, 1);
	}
	fleet_run(f, 2000);
	for (unsigned int i = 0; i < f->jobs->len; i++) {
		const job_t *job = f->jobs->pdata[i];

		asked += job->request.workspace == 2;
		served += job->request.workspace == 2 && job->started_at;
	}
	assert_true(served * 100 >= asked * 90);
	fleet_delete(f);
}

/* Returns how many links router `i` has to renew, and renews them. */
static unsigned int renew_links(fleet_t *this, unsigned int i)
{
	unsigned int count = 0;
	unsigned int slot;

	while (placement_next_silent_link(this->placements[i], &slot, this->now))
		count++;
	return count;
}

/* Losses, a router that is slow and one that is frozen for a while are no silent links. */
static void test_links_that_work_are_not_renewed(void **state)
{
	fleet_t *f = fleet_new(21);
	unsigned int renewed = 0;

	f->lose_per_mille = 50;
	f->slow_router = 1;
	f->slow_ms = 300;
	for (unsigned int ms = 0; ms < 10000; ms += 50) {
		fleet_load(f, 50, 50);
		for (unsigned int i = 0; i < ROUTERS; i++)
			renewed += f->frozen[i] ? 0 : renew_links(f, i);
	}
	assert_int_equal(renewed, 0);
	fleet_delete(f);
}

/*
 * The sender of the silent direction hears the other side all the while.  That one gets no
 * confirmations either, and so may renew its own direction, too.
 */
static void test_link_silent_in_one_direction_is_renewed_by_its_sender(void **state)
{
	fleet_t *f = fleet_new(22);

	fleet_load(f, 1000, 50);
	f->cut[0][1] = true;
	fleet_load(f, 2500, 50);
	assert_int_equal(renew_links(f, 0), 1);
	renew_links(f, 1);
	for (unsigned int i = 2; i < ROUTERS; i++)
		assert_int_equal(renew_links(f, i), 0);
	f->cut[0][1] = false;
	fleet_load(f, 5000, 50);
	for (unsigned int i = 0; i < ROUTERS; i++)
		assert_int_equal(renew_links(f, i), 0);
	fleet_delete(f);
}

/* Peers go on confirming messages of the earlier incarnation, which had higher numbers. */
static void test_link_that_is_silent_from_a_restart_on_is_renewed(void **state)
{
	fleet_t *f = fleet_new(23);

	fleet_run(f, 3000);
	placement_delete(f->placements[0]);
	start_router(f, 0);
	f->cut[0][1] = true;
	fleet_run(f, 3000);
	assert_int_equal(renew_links(f, 0), 1);
	fleet_delete(f);
}

/* --- rate limits of engines --------------------------------------------- */

#define LIMITED_ENGINES 4
#define LIMIT 10 /* requests a second */
#define WINDOW (4 * USEC_PER_SEC)
#define LEARN_TIME (3 * USEC_PER_SEC)

static void name_rates(fleet_t *this, uint32_t rate)
{
	for (unsigned int k = 0; k < LIMITED_ENGINES; k++)
		this->named_rate[k] = rate;
}

static unsigned int starts_between(
	const fleet_t *this, unsigned int engine, instant_t from, instant_t until)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->starts[engine]->len; i++) {
		instant_t at = g_array_index(this->starts[engine], instant_t, i);

		count += at >= from && at < until;
	}
	return count;
}

/* Checks the users' rule in each window between two moments. */
static void assert_limit_holds(const fleet_t *this, instant_t from, instant_t until)
{
	for (unsigned int k = 0; k < LIMITED_ENGINES; k++) {
		for (instant_t at = from; at + WINDOW <= until; at += 50 * USEC_PER_MSEC)
			assert_true(starts_between(this, k, at, at + WINDOW) <=
				    1.5 * LIMIT * WINDOW / USEC_PER_SEC + 5);
	}
}

/* More than the engines take in all, through all routers; the limit is used up as well. */
static void test_rate_limit_holds_over_all_routers(void **state)
{
	for (uint32_t seed = 31; seed <= 33; seed++) {
		fleet_t *f = fleet_new(seed);
		instant_t named_at;

		fleet_load(f, 2000, 25);
		name_rates(f, LIMIT * 1000);
		named_at = f->now;
		fleet_load(f, 15000, 25);
		assert_limit_holds(f, named_at + LEARN_TIME, f->now);
		for (unsigned int k = 0; k < LIMITED_ENGINES; k++)
			assert_true(starts_between(f, k, named_at + LEARN_TIME, f->now) >=
				    0.9 * LIMIT * 12);
		fleet_delete(f);
	}
}

/* Each change gives some engines another owner, which must neither start anew nor add to it. */
static void test_rate_limit_holds_while_owners_change(void **state)
{
	for (uint32_t seed = 41; seed <= 43; seed++) {
		fleet_t *f = fleet_new(seed);
		instant_t named_at;

		fleet_load(f, 2000, 25);
		name_rates(f, LIMIT * 1000);
		named_at = f->now;
		fleet_load(f, 4000, 25);
		for (unsigned int i = 0; i < ROUTERS; i++) {
			restart_router(f, i);
			fleet_load(f, 1500, 25);
		}
		f->frozen[2] = true;
		fleet_load(f, 4000, 25);
		f->frozen[2] = false;
		fleet_load(f, 2000, 25);
		f->lose_per_mille = 50;
		fleet_load(f, 4000, 25);
		assert_limit_holds(f, named_at + LEARN_TIME, f->now);
		fleet_delete(f);
	}
}

/* Both sides have an owner for each engine, and know the limit. */
static void test_rate_limit_holds_on_both_sides_of_a_partition(void **state)
{
	fleet_t *f = fleet_new(51);
	instant_t named_at;

	fleet_load(f, 2000, 25);
	name_rates(f, LIMIT * 1000);
	named_at = f->now;
	fleet_load(f, 4000, 25);
	set_cut_off(f, 0, true);
	set_cut_off(f, 1, true);
	fleet_load(f, 8000, 25);
	assert_limit_holds(f, named_at + LEARN_TIME, f->now);
	set_cut_off(f, 0, false);
	set_cut_off(f, 1, false);
	fleet_load(f, 4000, 25);
	assert_limit_holds(f, named_at + LEARN_TIME, f->now);
	fleet_delete(f);
}

static unsigned int limited_engines_known(const fleet_t *this)
{
	unsigned int most = 0;

	for (unsigned int i = 0; i < ROUTERS; i++) {
		unsigned int known = placement_rate_limited(this->placements[i]);

		most = known > most ? known : most;
	}
	return most;
}

/* Lowered, raised, and no longer named, with messages lost. */
static void test_changes_of_the_rate_limit_are_followed(void **state)
{
	fleet_t *f = fleet_new(61);
	instant_t at;

	f->lose_per_mille = 50;
	name_rates(f, 2 * LIMIT * 1000);
	fleet_load(f, 6000, 25);
	name_rates(f, LIMIT * 1000);
	at = f->now;
	fleet_load(f, 8000, 25);
	assert_limit_holds(f, at + LEARN_TIME, f->now);
	name_rates(f, 15 * 1000);
	fleet_load(f, 3000, 25);
	at = f->now;
	fleet_load(f, 6000, 25);
	for (unsigned int k = 0; k < LIMITED_ENGINES; k++)
		assert_true(starts_between(f, k, at, f->now) >= 0.9 * 15 * 6);
	name_rates(f, RATE_NONE);
	fleet_load(f, 3000, 25);
	assert_int_equal(limited_engines_known(f), 0);
	fleet_delete(f);
}

/*
 * Between two starts of an engine, owners must let some requests wait, or whoever comes first gets
 * the next start: a workspace that floods through all routers but one, which another one uses.
 */
static void test_rate_limited_engines_serve_by_fair_share(void **state)
{
	fleet_t *f = fleet_new(81);
	unsigned int served = 0;
	unsigned int asked = 0;

	for (unsigned int k = 0; k < ENGINES; k++)
		f->named_rate[k] = LIMIT * 1000;
	fleet_load(f, 3000, 25);
	for (unsigned int ms = 0; ms < 12000; ms++) {
		if (ms % 10 == 0) {
			for (unsigned int i = 1; i < ROUTERS; i++)
				request_slot_for(f, i, 1);
		}
		if (ms % 50 == 0)
			request_slot_for(f, 0, 2);
		fleet_run(f, 1);
	}
	for (unsigned int i = 0; i < f->jobs->len; i++) {
		const job_t *job = f->jobs->pdata[i];

		asked += job->request.workspace == 2;
		served += job->request.workspace == 2 && job->started_at;
	}
	assert_true(served * 100 >= asked * 80);
	fleet_delete(f);
}

/* Every engine takes hardly anything: what can't be served is told soon, not at its deadline. */
static void test_requests_beyond_the_rate_limit_of_all_engines_are_rejected_soon(void **state)
{
	fleet_t *f = fleet_new(71);

	for (unsigned int k = 0; k < ENGINES; k++)
		f->named_rate[k] = 1000;
	fleet_load(f, 4000, 25);
	f->longest_wait = 0;
	fleet_load(f, 4000, 25);
	/* Late requests wait for LATE_WAIT more; an owner may have to be asked first. */
	assert_in_range(f->longest_wait, 0, f->objective + LATE_WAIT + 100 * USEC_PER_MSEC);
	fleet_delete(f);
}

#define MANY_MEMBERS 50

static void receive_heartbeats(
	placement_t *placement, unsigned int first, uint64_t seq, instant_t now)
{
	for (unsigned int i = first; i <= MANY_MEMBERS; i++) {
		message_header_t header = {.from = router_id(i), .incarnation = 1, .seq = seq};
		unsigned int slot;

		placement_accept_message(placement, &header, &slot, now);
	}
}

/* Takes all messages that are due; returns the number of ENTRY_REPORT_END in them. */
static unsigned int take_report_ends(placement_t *placement, instant_t now)
{
	unsigned int count = 0;
	message_header_t header;
	message_entry_t entry;
	unsigned int slot;

	while (placement_next_message(placement, &slot, &header, now)) {
		while (placement_next_entry(placement, slot, &entry))
			count += entry.kind == ENTRY_REPORT_END;
	}
	return count;
}

/*
 * When many routers die or return, each change of owners would cause a message from every router
 * to every other.
 */
static void test_death_of_a_member_causes_no_message_to_every_other(void **state)
{
	instant_t now = USEC_PER_SEC;
	placement_options_t options = {.self = router_id(0), .incarnation = 1, .seed = 1};
	placement_t *placement = placement_new(&options, now);
	placement_engine_t engines[ENGINES];
	unsigned int report_ends = 0;

	for (unsigned int i = 1; i <= MANY_MEMBERS; i++)
		placement_add_member(placement, router_id(i));
	receive_heartbeats(placement, 1, 1, now);
	for (unsigned int k = 0; k < ENGINES; k++)
		engines[k] = (placement_engine_t){.id = engine_id(k),
			.pool = POOL,
			.limits = {.slots = SLOTS},
			.usable = true};
	placement_set_engines(placement, engines, ENGINES, now);
	placement_tick(placement, now);
	take_report_ends(placement, now);
	/* The first half of the members falls silent and dies 2.5 s later. */
	for (unsigned int ms = 1; ms <= 3500; ms++) {
		now += STEP_US;
		if (ms % 100 == 0)
			receive_heartbeats(placement, MANY_MEMBERS / 2, ms, now);
		placement_tick(placement, now);
		report_ends += take_report_ends(placement, now);
	}
	assert_true(report_ends <= 3 * MANY_MEMBERS);
	placement_delete(placement);
}

/*
 * A router that hears no owner starts requests on its own.  They count for their workspace's share
 * like those that an owner has granted.
 */
static void test_start_without_a_grant_counts_as_served(void **state)
{
	fleet_t *f = fleet_new(1);

	fleet_run(f, 500);
	for (unsigned int k = 1; k < ROUTERS; k++)
		f->cut[k][0] = true;
	for (unsigned int i = 0; i < 40; i++) {
		request_slot(f, 0);
		fleet_run(f, 10);
	}
	fleet_run(f, 200);
	assert_true(placement_stats(f->placements[0])->without_grant > 0);
	assert_int_equal(f->reported_tokens, f->started * (500 + 2 * 50));
	fleet_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_requests_of_normal_load_are_served_within_the_slots),
		cmocka_unit_test(test_frozen_owner_delays_no_request_beyond_120_ms),
		cmocka_unit_test(test_restarted_router_leaves_no_slots_in_use),
		cmocka_unit_test(test_cut_off_router_uses_at_most_twice_the_slots),
		cmocka_unit_test(test_lost_messages_leave_no_slots_in_use),
		cmocka_unit_test(test_duplicate_and_late_messages_are_ignored),
		cmocka_unit_test(test_stopping_owner_hands_over_its_engines),
		cmocka_unit_test(test_cancelled_requests_leave_no_slots_in_use),
		cmocka_unit_test(test_bursts_at_one_router_get_their_share_beside_a_spread_flood),
		cmocka_unit_test(test_death_of_a_member_causes_no_message_to_every_other),
		cmocka_unit_test(test_rate_limit_holds_over_all_routers),
		cmocka_unit_test(test_rate_limit_holds_while_owners_change),
		cmocka_unit_test(test_rate_limit_holds_on_both_sides_of_a_partition),
		cmocka_unit_test(test_changes_of_the_rate_limit_are_followed),
		cmocka_unit_test(test_rate_limited_engines_serve_by_fair_share),
		cmocka_unit_test(
			test_requests_beyond_the_rate_limit_of_all_engines_are_rejected_soon),
		cmocka_unit_test(test_links_that_work_are_not_renewed),
		cmocka_unit_test(test_link_silent_in_one_direction_is_renewed_by_its_sender),
		cmocka_unit_test(test_link_that_is_silent_from_a_restart_on_is_renewed),
		cmocka_unit_test(test_grant_for_leaving_engine_is_not_used),
		cmocka_unit_test(test_request_bound_to_a_version_starts_on_an_engine_of_it),
		cmocka_unit_test(test_grant_of_another_version_is_declined),
		cmocka_unit_test(
			test_request_bound_to_a_version_without_engines_is_rejected_at_once),
		cmocka_unit_test(test_flood_at_one_router_is_refused_without_asking_owners),
		cmocka_unit_test(test_slow_router_does_not_take_its_owners_for_silent),
		cmocka_unit_test(test_flood_leaves_slots_to_other_workspace_at_the_same_router),
		cmocka_unit_test(test_start_without_a_grant_counts_as_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
