#include "tests/engine_sim.h"

#include <string.h>

#define STEP 1000ULL
#define MAX_OFFERS 16

typedef struct offer {
	unsigned int workspace;
	sim_kind_t kind;
	double per_second;
	double due;
} offer_t;

typedef struct job {
	slot_request_t ask;
	unsigned int workspace;
	unsigned int shared;
	instant_t arrived;
	instant_t target;
	int engine;
	uint32_t unread;
	uint32_t made;
	double next_token;
	bool served;
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
	GPtrArray *queues;  /* of each engine: jobs that are being read, in order */
	GPtrArray *batches; /* of each engine: jobs that generate */
	GHashTable *caches; /* "engine/hash" that were read */
	sim_count_t counts[SIM_WORKSPACES];
	GArray *sizes; /* prompt * 2 + served, of those that ended */
};

static id_t32 engine_id(unsigned int i)
{
	return 100 + i;
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
	this->queues = g_ptr_array_new();
	this->batches = g_ptr_array_new();
	this->sizes = g_array_new(FALSE, FALSE, sizeof(unsigned int));
	for (unsigned int i = 0; i < options->engines; i++) {
		scheduler_add_engine(this->scheduler, engine_id(i), SIM_POOL,
			&(engine_limits_t){.slots = options->slots});
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
	g_array_unref(this->sizes);
	scheduler_delete(this->scheduler);
	g_rand_free(this->random);
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

void sim_offer(sim_t *this, unsigned int workspace, const sim_kind_t *kind, double per_second)
{
	g_assert(this->offer_count < MAX_OFFERS);
	this->offers[this->offer_count++] = (offer_t){workspace, *kind, per_second, 0};
}

/* Spread around the mean with a heavy tail. */
static unsigned int draw_size(sim_t *this, unsigned int mean)
{
	double draw = g_rand_double(this->random);

	return (unsigned int)(mean * 0.35 / (1.05 - draw)) + 1;
}

static void arrive(sim_t *this, const offer_t *offer)
{
	const sim_kind_t *kind = &offer->kind;
	job_t *job = g_new0(job_t, 1);

	job->workspace = offer->workspace;
	job->shared = kind->shared;
	job->arrived = this->now;
	job->target = this->now + kind->target_ms * USEC_PER_MSEC;
	job->engine = -1;
	job->ask = (slot_request_t){
		.ticket = ++this->ticket,
		.pool = SIM_POOL,
		.workspace = offer->workspace + 1,
		.first_token_deadline = job->target,
		.deadline = this->now + kind->deadline_ms * USEC_PER_MSEC,
		.work = {.prompt = kind->shared + draw_size(this, kind->prompt),
			.answer = kind->answer},
	};
	if (kind->things) {
		job->ask.work.chain.count = 1;
		job->ask.work.chain.hash[0] =
			(uint64_t)g_rand_int_range(this->random, 1, (gint32)kind->things + 1);
		job->ask.work.chain.tokens[0] = kind->shared;
	}
	this->counts[job->workspace].offered++;
	g_hash_table_insert(this->jobs, &job->ask.ticket, job);
	scheduler_request_slot(this->scheduler, 0, &job->ask, this->now);
}

static void note_size(sim_t *this, const job_t *job)
{
	unsigned int entry = job->ask.work.prompt * 2 + job->served;

	g_array_append_val(this->sizes, entry);
}

static void refuse(sim_t *this, job_t *job)
{
	sim_count_t *count = &this->counts[job->workspace];
	uint64_t held = this->now - job->arrived;

	count->refused++;
	count->longest_refusal = held > count->longest_refusal ? held : count->longest_refusal;
	note_size(this, job);
	g_hash_table_remove(this->jobs, &job->ask.ticket);
}

static void begin(sim_t *this, job_t *job, id_t32 engine)
{
	unsigned int i = engine - engine_id(0);
	const prompt_chain_t *chain = &job->ask.work.chain;
	char *key = g_strdup_printf("%u/%" G_GUINT64_FORMAT, i, (guint64)chain->hash[0]);

	job->engine = (int)i;
	job->unread = job->ask.work.prompt;
	if (chain->count && g_hash_table_contains(this->caches, key))
		job->unread -= chain->tokens[0];
	else if (chain->count)
		this->counts[job->workspace].read_again += chain->tokens[0];
	g_hash_table_add(this->caches, key);
	if (this->options.broken_engine == i + 1) {
		scheduler_fail(this->scheduler, 0, job->ask.ticket, SLOT_UNREACHABLE, this->now);
		g_hash_table_remove(this->jobs, &job->ask.ticket);
		return;
	}
	g_ptr_array_add(this->queues->pdata[i], job);
}

static void decide(sim_t *this)
{
	scheduler_action_t action;

	scheduler_run(this->scheduler, this->now);
	while (scheduler_next_action(this->scheduler, &action)) {
		job_t *job = g_hash_table_lookup(this->jobs, &action.ticket);

		if (action.kind == SCHEDULER_GRANT)
			begin(this, job, action.engine);
		else
			refuse(this, job);
	}
}

static void first_token(sim_t *this, unsigned int i, job_t *job)
{
	sim_count_t *count = &this->counts[job->workspace];

	if (this->now <= job->target)
		count->timely++;
	else
		count->late++;
	job->served = true;
	job->next_token = (double)this->now;
	note_size(this, job);
	scheduler_first_token(this->scheduler, 0, job->ask.ticket, this->now);
	g_ptr_array_add(this->batches->pdata[i], job);
}

static void read_prompts(sim_t *this, unsigned int i)
{
	GPtrArray *queue = this->queues->pdata[i];
	unsigned int room = this->options.read_per_ms;

	while (queue->len && room) {
		job_t *job = queue->pdata[0];
		unsigned int step = job->unread < room ? job->unread : room;

		job->unread -= step;
		room -= step;
		if (job->unread)
			return;
		g_ptr_array_remove_index(queue, 0);
		first_token(this, i, job);
	}
}

static void generate(sim_t *this, unsigned int i)
{
	GPtrArray *batch = this->batches->pdata[i];

	for (unsigned int k = 0; k < batch->len;) {
		job_t *job = batch->pdata[k];

		while (job->made < job->ask.work.answer &&
			job->next_token + this->options.step_us <= (double)this->now) {
			job->made++;
			job->next_token += this->options.step_us;
		}
		if (job->made < job->ask.work.answer) {
			k++;
			continue;
		}
		this->counts[job->workspace].tokens += job->ask.work.prompt + 2 * job->made;
		scheduler_end(this->scheduler, 0, job->ask.ticket, job->made, this->now);
		g_ptr_array_remove_index(batch, k);
		g_hash_table_remove(this->jobs, &job->ask.ticket);
	}
}

void sim_run(sim_t *this, unsigned int ms)
{
	for (unsigned int step = 0; step < ms; step++) {
		this->now += STEP;
		for (unsigned int i = 0; i < this->offer_count; i++) {
			offer_t *offer = &this->offers[i];

			offer->due += offer->per_second / 1000 * 2 * g_rand_double(this->random);
			for (; offer->due >= 1; offer->due -= 1)
				arrive(this, offer);
		}
		for (unsigned int i = 0; i < this->options.engines; i++) {
			read_prompts(this, i);
			generate(this, i);
		}
		decide(this);
	}
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
	unsigned int count = largest_tenth ? this->sizes->len / 10 : this->sizes->len;
	unsigned int served = 0;

	g_array_sort(this->sizes, larger_first);
	for (unsigned int i = 0; i < count; i++)
		served += g_array_index(this->sizes, unsigned int, i) & 1;
	return count ? (double)served / count : 0;
}
