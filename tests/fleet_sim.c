#include "tests/fleet_sim.h"

#include <stdio.h>
#include <string.h>

#define STEP_US (1 * USEC_PER_MSEC)
#define MESSAGE_DELAY (2 * USEC_PER_MSEC)
#define TICK_INTERVAL (20 * USEC_PER_MSEC) /* between two ticks of a router without messages */
#define MAX_OFFERS 160
#define LATE_WAIT (80 * USEC_PER_MSEC)
#define MAX_BACKLOG (15 * USEC_PER_MSEC)
#define MAX_EVENT_GAP (300 * USEC_PER_MSEC)
#define TOKEN_MEMORY 714611
#define DECODE_STEP_US 4500.0
#define FIRST_TOKEN_US 26000
#define ANSWER_WEIGHT 2	   /* tokens that a generated token counts for */
#define LARGEST_REQUESTS 3 /* of slack that the rule gives */
#define ROUTER_ID_STEP 7919
#define ATTEMPTS 2 /* of a caller */
#define EVENT_TOKENS 8
#define COPY_SPEEDUP 4	    /* as fast as reading */
#define LATE_MESSAGE_MS 400 /* most that a late message takes */

typedef struct fleet_message {
	unsigned int to;
	instant_t due;
	message_header_t header;
	GArray *entries; /* message_entry_t */
} fleet_message_t;

typedef enum job_state {
	JOB_WAITING,
	JOB_PREFILLING,
	JOB_GENERATING,
} job_state_t;

typedef struct job {
	placement_request_t request;
	const fleet_workload_t *workload;
	unsigned int router;
	unsigned int workspace;
	unsigned int attempts;
	instant_t target;
	instant_t deadline;
	job_state_t state;
	bool past_target;
	unsigned int engine; /* index, of one that runs */
	uint32_t prefill_left;
	instant_t ends_at; /* of JOB_GENERATING */
	/* The rest with engines that read in chunks. */
	double tokens_left;
	double event_tokens; /* since the latest event */
	instant_t event_at;
	bool read_in_vain; /* another engine could read the prompt in shorter pauses */
	fleet_result_t result;
} job_t;

typedef struct sim_router {
	placement_t *placement;
	instant_t ticked_at;
	bool due;	      /* has something to do before the next tick */
	unsigned int turn_ms; /* duration of a turn of its loop, in which it reads no messages */
	GQueue inbox;	      /* fleet_message_t */
	uint64_t incarnation;
	placement_engine_t *engines; /* as the router knows them */
	instant_t *row_due;	     /* by engine: when its row is read; 0: never */
} sim_router_t;

typedef struct sim_engine {
	bool is_down;
	GQueue prefilling; /* job_t */
	GPtrArray *generating;
	GHashTable *cached; /* hashes of shared parts */
	double chunk_left;  /* fraction of a token */
	instant_t cold_until;
	GQueue arrivals; /* instant_t in microseconds, of the last second while cold */
} sim_engine_t;

typedef struct sim_offer {
	fleet_offer_t offer;
	double due; /* fraction of the next request */
} sim_offer_t;

struct fleet_sim {
	fleet_options_t options;
	fleet_cold_options_t cold;
	instant_t began;
	instant_t now;
	GRand *random;
	sim_router_t *routers;
	sim_engine_t *engines;
	sim_offer_t offers[MAX_OFFERS];
	unsigned int offer_count;
	GQueue messages;      /* fleet_message_t, by `due` */
	GHashTable *jobs;     /* set of job_t */
	GSequence *returning; /* job_t that are refused, by when they come back */
	fleet_count_t counts[FLEET_WORKSPACES][FLEET_SECONDS];
	double largest[FLEET_WORKSPACES];
	bool cut;
	unsigned int split;	/* see fleet_sim_split() */
	unsigned int disturbed; /* see fleet_sim_disturb() */
	unsigned int overruns;
	unsigned int cold_peak;
	unsigned int cold_arrivals;
	unsigned int without_grant; /* runs now */
	unsigned int peak_without_grant;
	uint64_t message_count;
	uint64_t request_count;
	uint64_t run_count;
};

static id_t32 router_id(unsigned int i)
{
	return 1000 + i * ROUTER_ID_STEP;
}

static id_t32 engine_id(unsigned int i)
{
	return 200 + i;
}

static unsigned int engine_index(id_t32 id)
{
	return id - engine_id(0);
}

static double tokens_of(const job_t *job)
{
	return job->request.work.prompt + ANSWER_WEIGHT * (double)job->request.work.answer;
}

static fleet_count_t *count_now(fleet_sim_t *this, unsigned int workspace)
{
	unsigned int second = (unsigned int)((this->now - this->began) / USEC_PER_SEC);

	return &this->counts[workspace][second < FLEET_SECONDS ? second : FLEET_SECONDS - 1];
}

/* --- setup -------------------------------------------------------------- */

static uint64_t max_event_gap(const fleet_sim_t *this)
{
	return this->options.max_event_gap_ms ? this->options.max_event_gap_ms * USEC_PER_MSEC
					      : MAX_EVENT_GAP;
}

static void set_engines(fleet_sim_t *this, unsigned int router)
{
	placement_set_engines(this->routers[router].placement, this->routers[router].engines,
		this->options.engines, this->now);
}

static void fill_engines(fleet_sim_t *this, sim_router_t *router)
{
	for (unsigned int i = 0; i < this->options.engines; i++)
		router->engines[i] = (placement_engine_t){.id = engine_id(i),
			.pool = FLEET_POOL,
			.limits = {.slots = this->options.slots,
				.token_memory = TOKEN_MEMORY,
				.max_event_gap = max_event_gap(this)},
			.cold_pace = this->cold.per_second * RATE_PER_SECOND,
			.cold_time = this->cold.ms * USEC_PER_MSEC,
			.usable = true};
}

static void start_router(fleet_sim_t *this, unsigned int i)
{
	placement_options_t options = {
		.self = router_id(i),
		.domain = 1 + i % 3,
		.incarnation = ++this->routers[i].incarnation,
		.seed = this->options.seed + i,
		.scheduler = {.pool = {.late_wait = LATE_WAIT, .max_backlog = MAX_BACKLOG}},
	};
	placement_t *placement = placement_new(&options, this->now);

	for (unsigned int k = 0; k < this->options.routers; k++) {
		if (k == i)
			continue;
		placement_set_domain(
			placement, placement_add_member(placement, router_id(k)), 1 + k % 3);
	}
	this->routers[i].placement = placement;
	set_engines(this, i);
}

fleet_sim_t *fleet_sim_new(const fleet_options_t *options)
{
	fleet_sim_t *this = g_new0(fleet_sim_t, 1);

	this->options = *options;
	this->began = this->now = 10 * USEC_PER_SEC;
	this->random = g_rand_new_with_seed(options->seed);
	this->jobs = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	this->returning = g_sequence_new(NULL);
	this->engines = g_new0(sim_engine_t, options->engines);
	for (unsigned int i = 0; i < options->engines; i++) {
		this->engines[i].generating = g_ptr_array_new();
		this->engines[i].cached =
			g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	}
	this->routers = g_new0(sim_router_t, options->routers);
	for (unsigned int i = 0; i < options->routers; i++) {
		this->routers[i].engines = g_new0(placement_engine_t, options->engines);
		this->routers[i].row_due = g_new0(instant_t, options->engines);
		fill_engines(this, &this->routers[i]);
		start_router(this, i);
	}
	return this;
}

void fleet_sim_set_cold_options(fleet_sim_t *this, const fleet_cold_options_t *options)
{
	this->cold = *options;
	for (unsigned int i = 0; i < this->options.routers; i++) {
		fill_engines(this, &this->routers[i]);
		set_engines(this, i);
	}
}

static void message_delete(void *item)
{
	fleet_message_t *message = item;

	g_array_unref(message->entries);
	g_free(message);
}

static void fleet_router_clear(sim_router_t *this)
{
	g_queue_clear_full(&this->inbox, message_delete);
	g_free(this->engines);
	g_free(this->row_due);
}

void fleet_sim_delete(fleet_sim_t *this)
{
	for (unsigned int i = 0; i < this->options.routers; i++)
		placement_delete(this->routers[i].placement);
	for (unsigned int i = 0; i < this->options.routers; i++)
		fleet_router_clear(&this->routers[i]);
	for (unsigned int i = 0; i < this->options.engines; i++) {
		g_queue_clear(&this->engines[i].prefilling);
		g_queue_clear_full(&this->engines[i].arrivals, g_free);
		g_ptr_array_unref(this->engines[i].generating);
		g_hash_table_destroy(this->engines[i].cached);
	}
	g_queue_clear_full(&this->messages, message_delete);
	g_sequence_free(this->returning);
	g_hash_table_destroy(this->jobs);
	g_rand_free(this->random);
	g_free(this->routers);
	g_free(this->engines);
	g_free(this);
}

void fleet_sim_offer(fleet_sim_t *this, const fleet_offer_t *offer)
{
	g_assert(this->offer_count < MAX_OFFERS);
	this->offers[this->offer_count++] = (sim_offer_t){.offer = *offer};
}

/* --- requests ----------------------------------------------------------- */

static void send_job(fleet_sim_t *this, job_t *job)
{
	sim_router_t *router = &this->routers[job->router];

	job->attempts++;
	job->state = JOB_WAITING;
	job->past_target = false;
	job->result = (fleet_result_t){0};
	job->target = this->now + job->workload->target_ms * USEC_PER_MSEC;
	job->request.first_token_deadline = job->target - 15 * USEC_PER_MSEC;
	job->request.deadline = job->deadline;
	job->request.avoid = 0;
	this->request_count++;
	count_now(this, job->workspace)->asked += tokens_of(job);
	router->due = true;
	placement_request(router->placement, &job->request, this->now);
}

/* Draws a size around `mean`; one in ten is over twice as large. */
static uint32_t draw_size(fleet_sim_t *this, unsigned int mean)
{
	return (uint32_t)(mean * 0.35 / (1.05 - g_rand_double(this->random))) + 1;
}

static void add_job(fleet_sim_t *this, const fleet_offer_t *offer)
{
	const fleet_workload_t *workload = offer->workload;
	job_t *job = g_new0(job_t, 1);
	engine_work_t *work = &job->request.work;

	job->workload = workload;
	job->workspace = offer->workspace;
	job->router = (offer->first_router + (unsigned int)g_rand_int_range(
						     this->random, 0, (gint32)offer->routers)) %
		      this->options.routers;
	job->deadline = this->now + workload->deadline_ms * USEC_PER_MSEC;
	job->request.pool = FLEET_POOL;
	job->request.workspace = 1 + offer->workspace;
	job->request.request_fingerprint = g_rand_int(this->random) | 1U;
	work->prompt = workload->prompt;
	work->answer = workload->answer;
	if (!this->options.fixed_sizes) {
		work->prompt =
			workload->shared + draw_size(this, workload->prompt - workload->shared);
		work->answer = draw_size(this, workload->answer);
	}
	if (workload->shared) {
		work->chain.count = 1;
		work->chain.tokens[0] = workload->shared;
		work->chain.hash[0] =
			(offer->workspace * 100000ULL + (uint64_t)g_rand_int_range(this->random, 0,
								(gint32)workload->shared_parts)) *
				0x9e3779b97f4a7c15ULL |
			1;
	}
	this->largest[job->workspace] = MAX(this->largest[job->workspace], tokens_of(job));
	g_hash_table_add(this->jobs, job);
	send_job(this, job);
}

static void offer_requests(fleet_sim_t *this)
{
	unsigned int ms = (unsigned int)((this->now - this->began) / USEC_PER_MSEC);

	for (unsigned int i = 0; i < this->offer_count; i++) {
		sim_offer_t *offer = &this->offers[i];

		if (ms < offer->offer.from_ms || ms >= offer->offer.until_ms)
			continue;
		offer->due += offer->offer.per_second / 1000 * 2 * g_rand_double(this->random);
		for (; offer->due >= 1; offer->due -= 1)
			add_job(this, &offer->offer);
	}
}

static void report_result(fleet_sim_t *this, const job_t *job)
{
	fleet_result_t result = job->result;

	result.workload = job->workload;
	result.prompt = job->request.work.prompt;
	if (this->options.on_result)
		this->options.on_result(this->options.ctx, &result);
}

static gint sooner(gconstpointer a, gconstpointer b, gpointer data)
{
	instant_t left = ((const job_t *)a)->ends_at;
	instant_t right = ((const job_t *)b)->ends_at;

	return left < right ? -1 : left > right;
}

/* The caller comes back when it was told to, unless its deadline is before that. */
static void refuse_job(fleet_sim_t *this, job_t *job, uint32_t retry_after_ms)
{
	count_now(this, job->workspace)->refused++;
	job->result.is_refused = true;
	report_result(this, job);
	job->ends_at = this->now + retry_after_ms * USEC_PER_MSEC;
	if (job->attempts < ATTEMPTS && job->ends_at < job->deadline)
		g_sequence_insert_sorted(this->returning, job, sooner, NULL);
	else
		g_hash_table_remove(this->jobs, job);
}

static void send_returning(fleet_sim_t *this)
{
	GSequenceIter *first = g_sequence_get_begin_iter(this->returning);

	while (!g_sequence_iter_is_end(first)) {
		job_t *job = g_sequence_get(first);

		if (job->ends_at > this->now)
			return;
		g_sequence_remove(first);
		send_job(this, job);
		first = g_sequence_get_begin_iter(this->returning);
	}
}

/* --- engines ------------------------------------------------------------ */

/* Tokens that the engine reads in a microsecond. */
static double reading_speed(const fleet_sim_t *this, const sim_engine_t *engine)
{
	const double *speeds = this->options.speeds;
	double speed = speeds ? speeds[engine - this->engines] : 1;

	return speed * this->options.prefill_tokens_per_ms / (double)USEC_PER_MSEC;
}

/* Duration of one step of the engine's streams. */
static double step_us(const fleet_sim_t *this, const sim_engine_t *engine)
{
	const double *speeds = this->options.speeds;

	return DECODE_STEP_US / (speeds ? speeds[engine - this->engines] : 1);
}

/* Pause of a stream while the engine reads that many tokens. */
static double pause_for(const fleet_sim_t *this, const sim_engine_t *engine, uint32_t tokens)
{
	return tokens / reading_speed(this, engine) + EVENT_TOKENS * step_us(this, engine);
}

static bool reads_long_prompt(const fleet_sim_t *this, const sim_engine_t *engine)
{
	for (const GList *i = engine->prefilling.head; i; i = i->next) {
		const job_t *job = i->data;

		if (job->request.work.prompt >= this->options.long_prompt)
			return true;
	}
	return false;
}

/*
 * Whether the job's engine takes longer for its prompt alone than streams may pause, while another
 * engine that has half of its slots free and reads nothing reads all of it in half of that time.
 */
static bool is_read_in_vain(const fleet_sim_t *this, const job_t *job)
{
	double limit = (double)max_event_gap(this);

	if (job->prefill_left / reading_speed(this, &this->engines[job->engine]) <= limit)
		return false;
	for (unsigned int i = 0; i < this->options.engines; i++) {
		const sim_engine_t *other = &this->engines[i];

		if (!other->prefilling.length &&
			other->generating->len <= this->options.slots / 2 &&
			pause_for(this, other, job->request.work.prompt) <= limit / 2)
			return true;
	}
	return false;
}

/* Whether the engine that the shared part is to be copied from has it. */
static bool can_copy(const fleet_sim_t *this, const job_t *job)
{
	const engine_work_t *work = &job->request.work;

	return job->request.source &&
	       g_hash_table_contains(this->engines[engine_index(job->request.source)].cached,
		       &work->chain.hash[0]);
}

/* Counts a request at a cold engine, which ends under too many of them. */
static void count_arrival(fleet_sim_t *this, unsigned int index)
{
	sim_engine_t *engine = &this->engines[index];
	instant_t *arrival;

	if (this->now >= engine->cold_until)
		return;
	this->cold_arrivals++;
	g_queue_push_tail(&engine->arrivals, g_memdup2(&this->now, sizeof(this->now)));
	while ((arrival = g_queue_peek_head(&engine->arrivals)) &&
		*arrival + USEC_PER_SEC <= this->now)
		g_free(g_queue_pop_head(&engine->arrivals));
	this->cold_peak = MAX(this->cold_peak, engine->arrivals.length);
	if (engine->arrivals.length <= this->cold.per_second * 3 / 2 + 5)
		return;
	this->overruns++;
	g_queue_clear_full(&engine->arrivals, g_free);
}

static void begin_run(fleet_sim_t *this, job_t *job, id_t32 id)
{
	sim_engine_t *engine = &this->engines[engine_index(id)];
	const prompt_chain_t *chain = &job->request.work.chain;

	if (engine->is_down) {
		placement_fail(this->routers[job->router].placement, &job->request,
			SLOT_UNREACHABLE, this->now);
		job->request.avoid = id;
		job->request.was_started = true;
		placement_request(this->routers[job->router].placement, &job->request, this->now);
		return;
	}
	count_arrival(this, engine_index(id));
	this->run_count++;
	this->without_grant += job->request.without_grant;
	this->peak_without_grant = MAX(this->peak_without_grant, this->without_grant);
	count_now(this, job->workspace)->got += tokens_of(job);
	job->engine = engine_index(id);
	job->state = JOB_PREFILLING;
	job->prefill_left = job->request.work.prompt;
	if (chain->count && g_hash_table_contains(engine->cached, &chain->hash[0]))
		job->prefill_left -= chain->tokens[0];
	else if (chain->count && this->options.chunk_tokens && can_copy(this, job))
		job->prefill_left -= chain->tokens[0] - chain->tokens[0] / COPY_SPEEDUP;
	if (chain->count)
		g_hash_table_add(
			engine->cached, g_memdup2(&chain->hash[0], sizeof(chain->hash[0])));
	job->result.beside_long = reads_long_prompt(this, engine);
	job->read_in_vain = is_read_in_vain(this, job);
	g_queue_push_tail(&engine->prefilling, job);
}

static void finish_prefill(fleet_sim_t *this, sim_engine_t *engine, job_t *job)
{
	job->state = JOB_GENERATING;
	job->ends_at =
		this->now + FIRST_TOKEN_US + (uint64_t)(job->request.work.answer * DECODE_STEP_US);
	job->tokens_left = job->request.work.answer;
	job->event_at = this->now;
	job->event_tokens = 0;
	job->result.is_in_time = this->now <= job->target;
	placement_first_token(this->routers[job->router].placement, &job->request, this->now);
	if (this->cold.is_told)
		placement_warm_up_report(this->routers[job->router].placement, &job->request,
			instant_left(engine->cold_until, this->now), this->now, this->now);
	this->routers[job->router].due = true;
	g_ptr_array_add(engine->generating, job);
}

static void end_job(fleet_sim_t *this, job_t *job)
{
	this->without_grant -= job->request.without_grant;
	report_result(this, job);
	placement_end(this->routers[job->router].placement, &job->request, job->request.work.answer,
		this->now);
	this->routers[job->router].due = true;
	g_hash_table_remove(this->jobs, job);
}

static void generate(fleet_sim_t *this, const sim_engine_t *engine, job_t *job, double steps)
{
	const job_t *reading = g_queue_peek_head((GQueue *)&engine->prefilling);
	uint64_t pause = this->now - job->event_at;

	job->result.longest_pause = MAX(job->result.longest_pause, pause);
	if (pause > max_event_gap(this) && reading && reading->read_in_vain)
		job->result.paused_in_vain = true;
	job->tokens_left -= steps;
	job->event_tokens += steps;
	if (job->event_tokens < EVENT_TOKENS)
		return;
	job->event_tokens -= EVENT_TOKENS;
	job->event_at = this->now;
}

/* An engine that reads a chunk between two steps of its streams. */
static void run_chunked_engine(fleet_sim_t *this, sim_engine_t *engine)
{
	double step = step_us(this, engine);
	double speed = reading_speed(this, engine);
	double chunk = engine->prefilling.length ? this->options.chunk_tokens / speed : 0;
	double steps = (double)STEP_US / (step + chunk);
	double budget = engine->chunk_left;
	job_t *job;

	if (engine->prefilling.length)
		budget += engine->generating->len ? steps * this->options.chunk_tokens
						  : speed * (double)STEP_US;
	for (unsigned int i = 0; i < engine->generating->len;) {
		job = engine->generating->pdata[i];
		generate(this, engine, job, steps);
		if (job->tokens_left > 0) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(engine->generating, i);
		end_job(this, job);
	}
	while ((job = g_queue_peek_head(&engine->prefilling)) && budget >= job->prefill_left) {
		budget -= job->prefill_left;
		g_queue_pop_head(&engine->prefilling);
		finish_prefill(this, engine, job);
	}
	if (job) {
		job->prefill_left -= (uint32_t)budget;
		budget -= (uint32_t)budget;
	}
	engine->chunk_left = job ? budget : 0;
}

static void run_engine(fleet_sim_t *this, sim_engine_t *engine)
{
	unsigned int budget = this->options.prefill_tokens_per_ms;
	job_t *job;

	while (budget && (job = g_queue_peek_head(&engine->prefilling))) {
		unsigned int step = MIN(job->prefill_left, budget);

		job->prefill_left -= step;
		budget -= step;
		if (job->prefill_left)
			break;
		g_queue_pop_head(&engine->prefilling);
		finish_prefill(this, engine, job);
	}
	for (unsigned int i = 0; i < engine->generating->len;) {
		job = engine->generating->pdata[i];
		if (job->ends_at > this->now) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(engine->generating, i);
		end_job(this, job);
	}
}

static void break_off(fleet_sim_t *this, job_t *job)
{
	this->without_grant -= job->request.without_grant;
	placement_fail(
		this->routers[job->router].placement, &job->request, SLOT_INCOMPLETE, this->now);
	this->routers[job->router].due = true;
	g_hash_table_remove(this->jobs, job);
}

void fleet_sim_crash(fleet_sim_t *this, unsigned int first, unsigned int count)
{
	for (unsigned int i = first; i < first + count; i++) {
		sim_engine_t *engine = &this->engines[i];
		job_t *job;

		engine->is_down = true;
		g_hash_table_remove_all(engine->cached);
		while ((job = g_queue_pop_head(&engine->prefilling)))
			break_off(this, job);
		while (engine->generating->len)
			break_off(this, g_ptr_array_remove_index_fast(engine->generating, 0));
	}
}

void fleet_sim_turn_cold(
	fleet_sim_t *this, unsigned int first, unsigned int count, unsigned int row_ms)
{
	for (unsigned int i = first; i < first + count; i++) {
		this->engines[i].is_down = false;
		this->engines[i].cold_until = this->now + this->cold.ms * USEC_PER_MSEC;
		g_queue_clear_full(&this->engines[i].arrivals, g_free);
		for (unsigned int r = 0; row_ms && r < this->options.routers; r++)
			this->routers[r].row_due[i] =
				this->now + USEC_PER_MSEC * (uint64_t)g_rand_int_range(this->random,
								    0, (gint32)row_ms);
	}
}

static void end_jobs_of(fleet_sim_t *this, unsigned int router)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, this->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		job_t *job = key;
		sim_engine_t *engine = &this->engines[job->engine];

		if (job->router != router || job->request.state == PLACEMENT_NONE)
			continue;
		if (job->state == JOB_PREFILLING)
			g_queue_remove(&engine->prefilling, job);
		if (job->state == JOB_GENERATING)
			g_ptr_array_remove_fast(engine->generating, job);
		if (job->state != JOB_WAITING)
			this->without_grant -= job->request.without_grant;
		g_hash_table_iter_remove(&iter);
	}
}

void fleet_sim_restart_routers(fleet_sim_t *this, unsigned int first, unsigned int count)
{
	for (unsigned int i = first; i < first + count; i++) {
		end_jobs_of(this, i);
		placement_delete(this->routers[i].placement);
		g_queue_clear_full(&this->routers[i].inbox, message_delete);
		start_router(this, i);
	}
}

void fleet_sim_slow_routers(
	fleet_sim_t *this, unsigned int first, unsigned int count, unsigned int ms)
{
	for (unsigned int i = first; i < first + count; i++)
		this->routers[i].turn_ms = ms;
}

void fleet_sim_start_engines(fleet_sim_t *this, unsigned int first, unsigned int count)
{
	for (unsigned int i = first; i < first + count; i++)
		this->engines[i].is_down = false;
}

/* --- routers ------------------------------------------------------------ */

static void handle_actions(fleet_sim_t *this, sim_router_t *router)
{
	placement_action_t action;

	while (placement_next_action(router->placement, &action)) {
		job_t *job = caa_container_of(action.request, job_t, request);

		if (action.kind == PLACEMENT_START)
			begin_run(this, job, action.engine);
		else
			refuse_job(this, job, action.retry_after_ms);
	}
}

static unsigned int router_index(id_t32 id)
{
	return (id - router_id(0)) / ROUTER_ID_STEP;
}

static bool is_split(const fleet_sim_t *this, const placement_t *from, unsigned int to)
{
	unsigned int sender = router_index(placement_members(from)->list[0].id);

	return this->split && (sender < this->split) != (to < this->split);
}

static bool is_disturbed(fleet_sim_t *this)
{
	return this->disturbed && g_rand_int_range(this->random, 0, 1000) < (gint32)this->disturbed;
}

static gint due_sooner(gconstpointer a, gconstpointer b, gpointer data)
{
	instant_t left = ((const fleet_message_t *)a)->due;
	instant_t right = ((const fleet_message_t *)b)->due;

	return left < right ? -1 : left > right;
}

/* Entries that are sent as durations count from the time of sending, also in a late message. */
static void send_disturbed(fleet_sim_t *this, fleet_message_t *message)
{
	if (!this->disturbed) {
		g_queue_push_tail(&this->messages, message);
		return;
	}
	if (is_disturbed(this)) {
		fleet_message_t *copy = g_memdup2(message, sizeof(*message));

		g_array_ref(copy->entries);
		g_queue_insert_sorted(&this->messages, copy, due_sooner, NULL);
	}
	if (is_disturbed(this))
		message->due += (uint64_t)g_rand_int_range(this->random, 1, LATE_MESSAGE_MS) *
				USEC_PER_MSEC;
	g_queue_insert_sorted(&this->messages, message, due_sooner, NULL);
}

static void send_message(
	fleet_sim_t *this, placement_t *from, unsigned int slot, const message_header_t *header)
{
	fleet_message_t *message = g_new0(fleet_message_t, 1);
	message_entry_t entry;

	message->to = router_index(placement_members(from)->list[slot].id);
	message->due = this->now + MESSAGE_DELAY;
	message->header = *header;
	message->entries = g_array_new(FALSE, FALSE, sizeof(entry));
	while (placement_next_entry(from, slot, &entry))
		g_array_append_val(message->entries, entry);
	if (placement_next_receipt(from, slot, &entry, this->now))
		g_array_append_val(message->entries, entry);
	while (placement_next_engine_state(from, slot, &entry, this->now))
		g_array_append_val(message->entries, entry);
	this->message_count++;
	if (this->cut || is_split(this, from, message->to) || is_disturbed(this))
		message_delete(message);
	else
		send_disturbed(this, message);
}

static void read_messages(fleet_sim_t *this, sim_router_t *router)
{
	fleet_message_t *message;

	while ((message = g_queue_pop_head(&router->inbox))) {
		unsigned int slot;

		if (placement_accept_message(
			    router->placement, &message->header, &slot, this->now)) {
			for (unsigned int i = 0; i < message->entries->len; i++)
				placement_handle_entry(router->placement, slot,
					&g_array_index(message->entries, message_entry_t, i),
					this->now);
		}
		message_delete(message);
	}
}

static void read_rows(fleet_sim_t *this, sim_router_t *router)
{
	bool changed = false;

	for (unsigned int i = 0; i < this->options.engines; i++) {
		if (!router->row_due[i] || this->now < router->row_due[i])
			continue;
		router->row_due[i] = 0;
		router->engines[i].cold_until = this->engines[i].cold_until;
		router->engines[i].cold_stated_at = this->now;
		router->engines[i].cold_source = WARM_UP_ROW;
		changed = true;
	}
	if (changed)
		set_engines(this, (unsigned int)(router - this->routers));
}

static void run_router(fleet_sim_t *this, sim_router_t *router)
{
	message_header_t header;
	unsigned int slot;

	if (this->now < router->ticked_at + router->turn_ms * USEC_PER_MSEC)
		return;
	if (!router->due && this->now < router->ticked_at + TICK_INTERVAL)
		return;
	router->due = false;
	router->ticked_at = this->now;
	read_rows(this, router);
	read_messages(this, router);
	placement_tick(router->placement, this->now);
	handle_actions(this, router);
	while (placement_next_message(router->placement, &slot, &header, this->now))
		send_message(this, router->placement, slot, &header);
}

static void deliver_messages(fleet_sim_t *this)
{
	fleet_message_t *message;

	while ((message = g_queue_peek_head(&this->messages)) && message->due <= this->now) {
		sim_router_t *to = &this->routers[message->to];

		g_queue_pop_head(&this->messages);
		g_queue_push_tail(&to->inbox, message);
		to->due = true;
	}
}

static void note_past_target(fleet_sim_t *this)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, this->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		job_t *job = key;

		if (job->state != JOB_WAITING || job->past_target || this->now <= job->target ||
			job->request.state == PLACEMENT_NONE)
			continue;
		job->past_target = true;
		count_now(this, job->workspace)->past_target++;
	}
}

void fleet_sim_run(fleet_sim_t *this, unsigned int ms)
{
	for (unsigned int k = 0; k < ms; k++) {
		this->now += STEP_US;
		deliver_messages(this);
		for (unsigned int i = 0; i < this->options.engines; i++)
			if (this->options.chunk_tokens)
				run_chunked_engine(this, &this->engines[i]);
			else
				run_engine(this, &this->engines[i]);
		send_returning(this);
		offer_requests(this);
		for (unsigned int i = 0; i < this->options.routers; i++)
			run_router(this, &this->routers[i]);
		if (k % 100 == 0)
			note_past_target(this);
	}
}

/* --- results ------------------------------------------------------------ */

const fleet_count_t *fleet_sim_count(
	const fleet_sim_t *this, unsigned int workspace, unsigned int second)
{
	return &this->counts[workspace][second];
}

placement_t *fleet_sim_placement(fleet_sim_t *this, unsigned int router)
{
	return this->routers[router].placement;
}

uint64_t fleet_sim_messages(const fleet_sim_t *this)
{
	return this->message_count;
}

uint64_t fleet_sim_slot_requests(const fleet_sim_t *this)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < this->options.routers; i++)
		sum += placement_stats(this->routers[i].placement)->slot_requests;
	return sum;
}

void fleet_sim_cut(fleet_sim_t *this, bool cut)
{
	this->cut = cut;
}

void fleet_sim_split(fleet_sim_t *this, unsigned int routers)
{
	this->split = routers;
}

void fleet_sim_disturb(fleet_sim_t *this, unsigned int per_mille)
{
	this->disturbed = per_mille;
}

unsigned int fleet_sim_overruns(const fleet_sim_t *this)
{
	return this->overruns;
}

unsigned int fleet_sim_peak_while_cold(const fleet_sim_t *this)
{
	return this->cold_peak;
}

unsigned int fleet_sim_arrivals_while_cold(const fleet_sim_t *this)
{
	return this->cold_arrivals;
}

unsigned int fleet_sim_peak_without_grant(const fleet_sim_t *this)
{
	return this->peak_without_grant;
}

uint64_t fleet_sim_without_grant(const fleet_sim_t *this)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < this->options.routers; i++)
		sum += placement_stats(this->routers[i].placement)->without_grant;
	return sum;
}

uint64_t fleet_sim_requests(const fleet_sim_t *this)
{
	return this->request_count;
}

uint64_t fleet_sim_runs(const fleet_sim_t *this)
{
	return this->run_count;
}

static double got_in_window(const fleet_sim_t *this, unsigned int workspace, unsigned int from)
{
	double got = 0;

	for (unsigned int s = from; s < from + FLEET_FAIR_WINDOW; s++)
		got += this->counts[workspace][s].got;
	return got;
}

static unsigned int best_served(const fleet_sim_t *this, unsigned int from)
{
	unsigned int best = 0;

	for (unsigned int w = 1; w < FLEET_WORKSPACES; w++) {
		if (got_in_window(this, w, from) > got_in_window(this, best, from))
			best = w;
	}
	return best;
}

static bool waited_all_through(const fleet_sim_t *this, unsigned int workspace, unsigned int from)
{
	for (unsigned int s = from; s < from + FLEET_FAIR_WINDOW; s++) {
		const fleet_count_t *count = &this->counts[workspace][s];

		if (!count->refused && !count->past_target)
			return false;
	}
	return true;
}

static bool is_unfair(const fleet_sim_t *this, unsigned int workspace, unsigned int from)
{
	unsigned int best = best_served(this, from);
	double got = got_in_window(this, workspace, from);
	double asked = 0;
	double due = 0;

	if (!waited_all_through(this, workspace, from))
		return false;
	for (unsigned int s = from; s < from + FLEET_FAIR_WINDOW; s++) {
		asked += this->counts[workspace][s].asked;
		due += MIN(this->counts[workspace][s].asked, this->counts[best][s].got);
	}
	if (got >= due / 2 - LARGEST_REQUESTS * this->largest[workspace])
		return false;
	printf("from %u s: workspace %u asked for %.0f tokens, got %.0f; workspace %u got %.0f\n",
		from, workspace, asked, got, best, got_in_window(this, best, from));
	return true;
}

unsigned int fleet_sim_unfair(const fleet_sim_t *this, unsigned int from, unsigned int until)
{
	unsigned int unfair = 0;

	for (unsigned int s = from; s + FLEET_FAIR_WINDOW <= until; s++) {
		for (unsigned int w = 0; w < FLEET_WORKSPACES; w++)
			unfair += is_unfair(this, w, s);
	}
	return unfair;
}
