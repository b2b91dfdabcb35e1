#include "tests/harness.h"

#include <string.h>

#define ROUTER_ID 1000
#define REPLICA_ID 2000
#define WORKSPACE_ID 3000
#define DEADLINE_MS 600000
#define PROGRESS_UNITS 16
#define GAP_STEP_MS 20

typedef struct mail {
	message_t message;
	unsigned int to;
	instant_t due;
} mail_t;

id_t32 harness_replica_id(unsigned int replica)
{
	return REPLICA_ID + replica;
}

static void set_plan(harness_t *this, node_t *node)
{
	plan_pool_t pool = {HARNESS_POOL, this->options.long_cost, 60};
	plan_replica_t replicas[HARNESS_REPLICAS];
	plan_workspace_t workspaces[HARNESS_WORKSPACES];
	plan_t plan = {1, &pool, 1, replicas, this->options.replicas, workspaces,
		this->options.workspaces};

	for (unsigned int i = 0; i < this->options.replicas; i++)
		replicas[i] =
			(plan_replica_t){harness_replica_id(i), HARNESS_POOL, this->options.slots};
	for (unsigned int i = 0; i < this->options.workspaces; i++)
		workspaces[i] = (plan_workspace_t){WORKSPACE_ID + i, this->options.weights[i]};
	node_set_plan(node, &plan, this->now);
}

void harness_start(harness_t *this, unsigned int router)
{
	node_options_t options = {
		.self = ROUTER_ID + router,
		.incarnation = ++this->incarnations[router],
		.seed = this->options.seed * 100 + router + 1,
		.policy = this->options.policy,
		.max_members = HARNESS_ROUTERS + 1,
	};

	this->nodes[router] = node_new(&options, this->now);
	for (unsigned int i = 0; i < this->options.routers; i++) {
		if (i != router)
			node_add_peer(this->nodes[router], ROUTER_ID + i);
	}
	set_plan(this, this->nodes[router]);
	this->alive[router] = true;
}

harness_t *harness_new(const harness_options_t *options)
{
	harness_t *this = g_new0(harness_t, 1);

	this->options = *options;
	this->now = USEC_PER_SEC;
	this->random = g_rand_new_with_seed(options->seed);
	this->mail = g_ptr_array_new_with_free_func(g_free);
	this->running = g_ptr_array_new();
	this->works = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	this->cost_min = 5;
	this->cost_max = 60;
	for (unsigned int i = 0; i < options->routers; i++)
		harness_start(this, i);
	return this;
}

/* Works of a killed router end with it. */
static void drop_running(harness_t *this, unsigned int router)
{
	for (unsigned int i = this->running->len; i-- > 0;) {
		work_t *work = g_ptr_array_index(this->running, i);

		if (work->router != router)
			continue;
		this->in_use[work->replica]--;
		g_ptr_array_remove_index_fast(this->running, i);
	}
}

static gboolean is_of_router(void *key, void *value, void *router)
{
	return ((work_t *)key)->router == GPOINTER_TO_UINT(router);
}

void harness_kill(harness_t *this, unsigned int router)
{
	drop_running(this, router);
	node_delete(this->nodes[router]);
	g_hash_table_foreach_remove(this->works, is_of_router, GUINT_TO_POINTER(router));
	this->nodes[router] = NULL;
	this->alive[router] = false;
	memset(this->waiting[router], 0, sizeof(this->waiting[router]));
}

void harness_delete(harness_t *this)
{
	memset(this->backlog, 0, sizeof(this->backlog));
	for (unsigned int i = 0; i < this->options.routers; i++) {
		if (this->alive[i])
			harness_kill(this, i);
	}
	g_ptr_array_unref(this->mail);
	g_ptr_array_unref(this->running);
	g_hash_table_destroy(this->works);
	g_rand_free(this->random);
	g_free(this);
}

void harness_cut(harness_t *this, unsigned int router, bool cut)
{
	for (unsigned int i = 0; i < this->options.routers; i++) {
		if (i == router)
			continue;
		this->cut[router][i] = cut;
		this->cut[i][router] = cut;
	}
}

/* The router behind the slot of another's node: peers are added in order, without itself. */
static unsigned int router_at(unsigned int self, unsigned int slot)
{
	return slot <= self ? slot - 1 : slot;
}

static void post(harness_t *this, unsigned int from, unsigned int slot)
{
	unsigned int to = router_at(from, slot);
	mail_t *mail = g_new0(mail_t, 1);

	node_build_message(this->nodes[from], slot, &mail->message, this->now);
	mail->to = to;
	mail->due = this->now + this->options.delay_ms * USEC_PER_MSEC;
	this->messages++;
	if (this->cut[from][to] || (unsigned int)g_rand_int_range(this->random, 0, 1000) <
					   this->options.lose_per_mille)
		g_free(mail);
	else
		g_ptr_array_add(this->mail, mail);
}

static work_t *work_of(node_request_t *request)
{
	return caa_container_of(request, work_t, node);
}

static void start_work(harness_t *this, work_t *work, id_t32 replica)
{
	uint64_t waited = this->now - work->arrived;

	work->replica = replica - REPLICA_ID;
	this->waiting[work->router][work->workspace]--;
	this->started++;
	if (waited > this->longest_wait_us[work->workspace])
		this->longest_wait_us[work->workspace] = waited;
	if (++this->in_use[work->replica] > this->most_in_use[work->replica])
		this->most_in_use[work->replica] = this->in_use[work->replica];
	g_ptr_array_add(this->running, work);
}

static void drain_actions(harness_t *this, unsigned int router)
{
	node_action_t action;

	while (node_next_action(this->nodes[router], &action)) {
		switch (action.kind) {
		case ACTION_START:
			start_work(this, work_of(action.request), action.replica);
			break;
		case ACTION_REJECT:
			this->rejected++;
			this->last_retry_after_s = action.retry_after_s;
			this->waiting[router][work_of(action.request)->workspace]--;
			g_hash_table_remove(this->works, work_of(action.request));
			break;
		case ACTION_SEND:
			post(this, router, action.slot);
			break;
		case ACTION_FETCH_CONFIG:
			break;
		}
	}
}

work_t *harness_arrive(harness_t *this, unsigned int router, unsigned int workspace, uint32_t cost,
	unsigned int deadline_ms)
{
	work_t *work = g_new0(work_t, 1);

	work->node.pool = HARNESS_POOL;
	work->node.workspace = WORKSPACE_ID + workspace;
	work->node.hint = this->cost_max;
	work->node.deadline = this->now + deadline_ms * USEC_PER_MSEC;
	work->router = router;
	work->workspace = workspace;
	work->cost = cost;
	work->arrived = this->now;
	g_hash_table_add(this->works, work);
	this->waiting[router][workspace]++;
	node_submit_request(this->nodes[router], &work->node, this->now);
	drain_actions(this, router);
	return work;
}

static void keep_backlogs(harness_t *this, unsigned int router)
{
	for (unsigned int w = 0; w < this->options.workspaces; w++) {
		while (this->waiting[router][w] < this->backlog[router][w])
			harness_arrive(this, router, w,
				(uint32_t)g_rand_int_range(this->random, (gint32)this->cost_min,
					(gint32)this->cost_max + 1),
				DEADLINE_MS);
	}
}

static void deliver(harness_t *this)
{
	for (unsigned int i = 0; i < this->mail->len;) {
		mail_t *mail = g_ptr_array_index(this->mail, i);

		if (mail->due > this->now) {
			i++;
			continue;
		}
		if (this->alive[mail->to]) {
			node_handle_message(this->nodes[mail->to], &mail->message, this->now);
			drain_actions(this, mail->to);
		}
		g_ptr_array_remove_index(this->mail, i);
	}
}

/* One millisecond of service: a unit for each work under way. */
static void serve(harness_t *this)
{
	for (unsigned int i = this->running->len; i-- > 0;) {
		work_t *work = g_ptr_array_index(this->running, i);
		node_t *node = this->nodes[work->router];

		work->served++;
		this->served[work->workspace] += 1.0 / this->options.weights[work->workspace];
		this->served_units++;
		if (work->served % PROGRESS_UNITS == 0)
			node_report_progress(node, &work->node, work->served, 1000, this->now);
		if (work->served < work->cost)
			continue;
		this->in_use[work->replica]--;
		node_end_request(node, &work->node, END_DONE, work->cost, this->now);
		drain_actions(this, work->router);
		g_hash_table_remove(this->works, work);
		g_ptr_array_remove_index_fast(this->running, i);
	}
}

static void step(harness_t *this)
{
	this->now += HARNESS_STEP;
	deliver(this);
	serve(this);
	for (unsigned int i = 0; i < this->options.routers; i++) {
		if (!this->alive[i])
			continue;
		keep_backlogs(this, i);
		node_tick(this->nodes[i], this->now);
		drain_actions(this, i);
	}
}

void harness_run(harness_t *this, unsigned int ms)
{
	for (unsigned int i = 0; i < ms; i++)
		step(this);
}

static unsigned int total_waiting(const harness_t *this)
{
	unsigned int total = this->running->len;

	for (unsigned int r = 0; r < this->options.routers; r++) {
		for (unsigned int w = 0; w < this->options.workspaces; w++)
			total += this->waiting[r][w];
	}
	return total;
}

void harness_drain(harness_t *this)
{
	memset(this->backlog, 0, sizeof(this->backlog));
	while (total_waiting(this))
		step(this);
}

double harness_gap(harness_t *this, unsigned int ms)
{
	unsigned int n = this->options.workspaces;
	double low[HARNESS_WORKSPACES][HARNESS_WORKSPACES] = {0};
	double high[HARNESS_WORKSPACES][HARNESS_WORKSPACES] = {0};
	double from[HARNESS_WORKSPACES];
	double gap = 0;

	memcpy(from, this->served, sizeof(from));
	for (unsigned int t = 0; t < ms; t += GAP_STEP_MS) {
		harness_run(this, GAP_STEP_MS);
		for (unsigned int a = 0; a < n; a++) {
			for (unsigned int b = 0; b < a; b++) {
				double lead = this->served[a] - from[a] - this->served[b] + from[b];

				low[a][b] = lead < low[a][b] ? lead : low[a][b];
				high[a][b] = lead > high[a][b] ? lead : high[a][b];
				gap = MAX(gap, high[a][b] - low[a][b]);
			}
		}
	}
	return gap;
}
