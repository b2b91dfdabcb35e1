#include "tests/engine_sim.h"

#include <stdlib.h>
#include <string.h>

#define STEP_US 1000ULL
#define MAX_OFFERS 16

typedef struct offer {
	unsigned int workspace;
	sim_workload_t workload;
	double per_second;
	double due; /* accumulated fraction of the next request */
} offer_t;

typedef struct job {
	slot_request_t request;
	unsigned int workspace;
	unsigned int shared;
	instant_t arrived;
	instant_t target; /* latest time for a timely first token */
	int engine;
	uint32_t prefill_left; /* tokens */
	uint32_t generated;    /* tokens */
	double last_token_at;  /* time of the latest generated token */
	instant_t began_at;    /* at the engine */
	instant_t first_token_at;
	double event_at; /* time of the latest event */
	double pause;	 /* longest time between two events */
	bool served;	 /* the first token has arrived */
} job_t;

struct sim {
	sim_options_t options;
	scheduler_t *scheduler;
	GRand *random;
	instant_t now;
	uint64_t ticket;
	offer_t offers[MAX_OFFERS];
	unsigned int offer_count;
	GHashTable *jobs;   /* ticket -> job_t */
	GPtrArray *queues;  /* for each engine: jobs in prefill or waiting for it, in order */
	GPtrArray *batches; /* for each engine: jobs that generate tokens */
	GHashTable *caches; /* keys "engine/hash" of the shared parts that an engine has cached */
	sim_count_t counts[SIM_WORKSPACES];
	sim_engine_count_t *engine_counts;
	instant_t *noisy_until; /* of each engine */
	instant_t next_prior_at;
	GArray *prompt_sizes; /* prompt * 2 + served, of jobs with a first token or a refusal */
};

id_t32 sim_engine_id(unsigned int index)
{
	return 100 + index;
}

sim_t *sim_new(const sim_options_t *options)
{
	sim_t *this = g_new0(sim_t, 1);
	scheduler_options_t scheduler = {
		.pool = {.late_wait = options->late_wait, .max_backlog = 60 * USEC_PER_MSEC}};

	this->options = *options;
	this->now = USEC_PER_SEC;
	this->random = g_rand_new_with_seed(options->seed);
	this->scheduler = scheduler_new(&scheduler);
	this->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	this->caches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	this->engine_counts = g_new0(sim_engine_count_t, options->engines);
	this->noisy_until = g_new0(instant_t, options->engines);
	this->queues = g_ptr_array_new();
	this->batches = g_ptr_array_new();
	this->prompt_sizes = g_array_new(FALSE, FALSE, sizeof(unsigned int));
	for (unsigned int i = 0; i < options->engines; i++) {
		scheduler_add_engine(this->scheduler, sim_engine_id(i), SIM_POOL,
			&(engine_limits_t){
				.slots = options->slots, .max_event_gap = options->max_event_gap});
		g_ptr_array_add(this->queues, g_ptr_array_new());
		g_ptr_array_add(this->batches, g_ptr_array_new());
	}
	return this;
}

void sim_delete(sim_t *this)
{
	for (unsigned int i = 0; i < this->options.engines; i++) {
		g_ptr_array_unref(this->queues->pdata[i]);
		g_ptr_array_unref(this->batches->pdata[i]);
	}
	g_ptr_array_unref(this->queues);
	g_ptr_array_unref(this->batches);
	g_hash_table_destroy(this->jobs);
	g_hash_table_destroy(this->caches);
	g_array_unref(this->prompt_sizes);
	scheduler_delete(this->scheduler);
	g_rand_free(this->random);
	g_free(this->engine_counts);
	g_free(this->noisy_until);
	g_free(this);
}

scheduler_t *sim_scheduler(sim_t *this)
{
	return this->scheduler;
}

instant_t sim_now(const sim_t *this)
{
	return this->now;
}

void sim_offer(
	sim_t *this, unsigned int workspace, const sim_workload_t *workload, double per_second)
{
	g_assert(this->offer_count < MAX_OFFERS);
	this->offers[this->offer_count++] = (offer_t){workspace, *workload, per_second, 0};
}

/* Draws a size from a heavy-tailed distribution around `mean`. */
static unsigned int draw_size(sim_t *this, unsigned int mean)
{
	double draw = g_rand_double(this->random);

	return (unsigned int)(mean * 0.35 / (1.05 - draw)) + 1;
}

static void add_job(sim_t *this, const offer_t *offer)
{
	const sim_workload_t *workload = &offer->workload;
	job_t *job = g_new0(job_t, 1);

	job->workspace = offer->workspace;
	job->shared = workload->shared;
	job->arrived = this->now;
	job->target = this->now + workload->target_ms * USEC_PER_MSEC;
	job->engine = -1;
	job->request = (slot_request_t){
		.ticket = ++this->ticket,
		.pool = SIM_POOL,
		.workspace = offer->workspace + 1,
		.first_token_deadline = job->target,
		.deadline = this->now + workload->deadline_ms * USEC_PER_MSEC,
		.work = {.prompt = workload->shared + draw_size(this, workload->prompt),
			.answer = workload->answer},
	};
	if (workload->shared_parts) {
		job->request.work.chain.count = 1;
		job->request.work.chain.hash[0] = (uint64_t)g_rand_int_range(
			this->random, 1, (gint32)workload->shared_parts + 1);
		job->request.work.chain.tokens[0] = workload->shared;
	}
	this->counts[job->workspace].offered++;
	g_hash_table_insert(this->jobs, &job->request.ticket, job);
	scheduler_request_slot(this->scheduler, 0, &job->request, this->now);
}

static void record_prompt_size(sim_t *this, const job_t *job)
{
	unsigned int entry = job->request.work.prompt * 2 + job->served;

	g_array_append_val(this->prompt_sizes, entry);
}

static void refuse_job(sim_t *this, job_t *job)
{
	sim_count_t *count = &this->counts[job->workspace];
	uint64_t waited = this->now - job->arrived;

	count->refused++;
	count->longest_refusal_wait =
		waited > count->longest_refusal_wait ? waited : count->longest_refusal_wait;
	record_prompt_size(this, job);
	g_hash_table_remove(this->jobs, &job->request.ticket);
}

static void begin_prefill(sim_t *this, job_t *job, id_t32 engine)
{
	unsigned int i = engine - sim_engine_id(0);
	const prompt_chain_t *chain = &job->request.work.chain;
	char *key = g_strdup_printf("%u/%" G_GUINT64_FORMAT, i, (guint64)chain->hash[0]);

	job->engine = (int)i;
	job->began_at = this->now;
	job->prefill_left = job->request.work.prompt;
	if (chain->count && g_hash_table_contains(this->caches, key))
		job->prefill_left -= chain->tokens[0];
	else if (chain->count)
		this->counts[job->workspace].shared_prefill_tokens += chain->tokens[0];
	g_hash_table_add(this->caches, key);
	if (this->options.unreachable_engine == i + 1) {
		scheduler_fail(
			this->scheduler, 0, job->request.ticket, SLOT_UNREACHABLE, this->now);
		g_hash_table_remove(this->jobs, &job->request.ticket);
		return;
	}
	g_ptr_array_add(this->queues->pdata[i], job);
}

static void run_scheduler(sim_t *this)
{
	scheduler_action_t action;

	scheduler_run(this->scheduler, this->now);
	while (scheduler_next_action(this->scheduler, &action)) {
		job_t *job = g_hash_table_lookup(this->jobs, &action.ticket);

		if (action.kind == SCHEDULER_GRANT)
			begin_prefill(this, job, action.engine);
		else
			refuse_job(this, job);
	}
}

static double slowness_of(const sim_t *this, unsigned int i)
{
	double slowness = this->options.slowness ? this->options.slowness[i] : 1;

	return this->now < this->noisy_until[i] ? slowness * this->options.noise : slowness;
}

static void draw_noise(sim_t *this, unsigned int i)
{
	double quiet_ms = this->options.noise_ms * (1 / this->options.noise_share - 1);

	if (this->now >= this->noisy_until[i] && g_rand_double(this->random) * quiet_ms < 1)
		this->noisy_until[i] = this->now + this->options.noise_ms * USEC_PER_MSEC;
}

static void finish_prefill(sim_t *this, unsigned int i, job_t *job)
{
	sim_count_t *count = &this->counts[job->workspace];

	if (this->now <= job->target)
		count->timely++;
	else
		count->late++;
	job->served = true;
	job->last_token_at = (double)this->now;
	job->event_at = job->last_token_at;
	job->first_token_at = this->now;
	record_prompt_size(this, job);
	if (this->options.noise > 0)
		scheduler_record_slowness(this->scheduler, 0, job->request.ticket,
			(unsigned int)(slowness_of(this, i) * 100), this->now);
	scheduler_record_first_token(
		this->scheduler, 0, job->request.ticket, this->now - job->began_at);
	scheduler_first_token(this->scheduler, 0, job->request.ticket, this->now);
	g_ptr_array_add(this->batches->pdata[i], job);
}

static void prefill_prompts(sim_t *this, unsigned int i)
{
	GPtrArray *queue = this->queues->pdata[i];
	unsigned int budget =
		(unsigned int)(this->options.prefill_tokens_per_ms / slowness_of(this, i));

	while (queue->len && budget) {
		job_t *job = queue->pdata[0];
		unsigned int step = job->prefill_left < budget ? job->prefill_left : budget;

		job->prefill_left -= step;
		budget -= step;
		if (job->prefill_left)
			return;
		g_ptr_array_remove_index(queue, 0);
		finish_prefill(this, i, job);
	}
}

static double step_of(const sim_t *this, unsigned int i)
{
	const GPtrArray *queue = this->queues->pdata[i];
	double interference =
		queue->len && this->options.interference > 0 ? this->options.interference : 1;

	return this->options.step_us * slowness_of(this, i) * interference;
}

static void add_token(const sim_t *this, job_t *job, double step)
{
	unsigned int event = this->options.event_tokens ? this->options.event_tokens : 1;

	job->generated++;
	job->last_token_at += step;
	if (job->generated % event)
		return;
	job->pause = MAX(job->pause, job->last_token_at - job->event_at);
	job->event_at = job->last_token_at;
}

static void count_stream(sim_t *this, unsigned int i, const job_t *job)
{
	sim_engine_count_t *count = &this->engine_counts[i];

	count->streams++;
	count->tokens += job->request.work.prompt + 2 * job->generated;
	count->late_pauses +=
		this->options.max_event_gap && job->pause > (double)this->options.max_event_gap;
	scheduler_record_stream(this->scheduler, 0, job->request.ticket, job->generated,
		this->now - job->first_token_at, (uint64_t)job->pause, this->now);
}

static void generate_tokens(sim_t *this, unsigned int i)
{
	GPtrArray *batch = this->batches->pdata[i];
	double step = step_of(this, i);

	for (unsigned int k = 0; k < batch->len;) {
		job_t *job = batch->pdata[k];

		while (job->generated < job->request.work.answer &&
			job->last_token_at + step <= (double)this->now)
			add_token(this, job, step);
		if (job->generated < job->request.work.answer) {
			k++;
			continue;
		}
		this->counts[job->workspace].tokens +=
			job->request.work.prompt + 2 * job->generated;
		count_stream(this, i, job);
		scheduler_end(this->scheduler, 0, job->request.ticket, job->generated, this->now);
		g_ptr_array_remove_index(batch, k);
		g_hash_table_remove(this->jobs, &job->request.ticket);
	}
}

static int compare_times(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double median_time(const sim_t *this, engine_speed_kind_t kind)
{
	double *times = g_new0(double, this->options.engines);
	unsigned int count = 0;
	double median;

	for (unsigned int i = 0; i < this->options.engines; i++) {
		const engine_t *model = scheduler_engine(this->scheduler, sim_engine_id(i));
		engine_speed_report_t report = engine_speed_report(&model->speed, this->now);

		if (report.time[kind] > 0)
			times[count++] = report.time[kind];
	}
	qsort(times, count, sizeof(*times), compare_times);
	median = count ? times[count / 2] : 0;
	g_free(times);
	return median;
}

/* As the placement does once a second for engines that differ. */
static void update_prior(sim_t *this)
{
	engine_speed_prior_t prior = {.differ = true};

	if (!this->options.slowness || this->now < this->next_prior_at)
		return;
	this->next_prior_at = this->now + USEC_PER_SEC;
	prior.time[ENGINE_SPEED_PREFILL] = median_time(this, ENGINE_SPEED_PREFILL);
	prior.time[ENGINE_SPEED_STEP] = median_time(this, ENGINE_SPEED_STEP);
	scheduler_set_speed_prior(this->scheduler, SIM_POOL, &prior, this->now);
}

void sim_run(sim_t *this, unsigned int ms)
{
	for (unsigned int step = 0; step < ms; step++) {
		this->now += STEP_US;
		for (unsigned int i = 0; i < this->offer_count; i++) {
			offer_t *offer = &this->offers[i];

			offer->due += offer->per_second / 1000 * 2 * g_rand_double(this->random);
			for (; offer->due >= 1; offer->due -= 1)
				add_job(this, offer);
		}
		for (unsigned int i = 0; i < this->options.engines; i++) {
			if (this->options.noise > 0)
				draw_noise(this, i);
			prefill_prompts(this, i);
			generate_tokens(this, i);
		}
		update_prior(this);
		run_scheduler(this);
	}
}

const sim_engine_count_t *sim_engine_count(const sim_t *this, unsigned int index)
{
	return &this->engine_counts[index];
}

const sim_count_t *sim_count(const sim_t *this, unsigned int workspace)
{
	return &this->counts[workspace];
}

static gint larger_first(gconstpointer a, gconstpointer b)
{
	unsigned int left = *(const unsigned int *)a;
	unsigned int right = *(const unsigned int *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

double sim_served_share(const sim_t *this, bool largest_tenth)
{
	unsigned int count = largest_tenth ? this->prompt_sizes->len / 10 : this->prompt_sizes->len;
	unsigned int served = 0;

	g_array_sort(this->prompt_sizes, larger_first);
	for (unsigned int i = 0; i < count; i++)
		served += g_array_index(this->prompt_sizes, unsigned int, i) & 1;
	return count ? (double)served / count : 0;
}
