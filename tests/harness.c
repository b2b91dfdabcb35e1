#include "tests/harness.h"

#include <string.h>

#define FIRST_ROUTER_ID 1000
#define FIRST_REPLICA_ID 2000
#define FIRST_WORKSPACE_ID 3000
#define BACKLOG_DEADLINE_MS 600000
#define PROGRESS_REPORT_UNITS 16 /* cost units between two progress reports of a request */
#define GAP_SAMPLE_MS 20

typedef struct delivery {
	message_t message;
	unsigned int to; /* router index */
	instant_t due;
} delivery_t;

id_t32 harness_replica_id(unsigned int replica)
{
	return FIRST_REPLICA_ID + replica;
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
		workspaces[i] =
			(plan_workspace_t){FIRST_WORKSPACE_ID + i, this->options.weights[i]};
	node_set_plan(node, &plan, this->now);
}

void harness_start_router(harness_t *this, unsigned int router)
{
	node_options_t options = {
		.self = FIRST_ROUTER_ID + router,
		.incarnation = ++this->incarnations[router],
		.seed = this->options.seed * 100 + router + 1,
		.policy = this->options.policy,
		.max_members = HARNESS_ROUTERS + 1,
	};

	this->nodes[router] = node_new(&options, this->now);
	for (unsigned int i = 0; i < this->options.routers; i++) {
		if (i != router)
			node_add_peer(this->nodes[router], FIRST_ROUTER_ID + i);
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
	this->in_flight = g_ptr_array_new_with_free_func(g_free);
	this->running = g_ptr_array_new();
	this->requests = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	this->cost_min = 5;
	this->cost_max = 60;
	for (unsigned int i = 0; i < options->routers; i++)
		harness_start_router(this, i);
	return this;
}

/* Frees the slots of the requests that the router had running. */
static void remove_running(harness_t *this, unsigned int router)
{
	for (unsigned int i = this->running->len; i-- > 0;) {
		harness_request_t *request = g_ptr_array_index(this->running, i);

		if (request->router != router)
			continue;
		this->in_use[request->replica]--;
		g_ptr_array_remove_index_fast(this->running, i);
	}
}

static gboolean is_of_router(void *key, void *value, void *router)
{
	return ((harness_request_t *)key)->router == GPOINTER_TO_UINT(router);
}

void harness_kill_router(harness_t *this, unsigned int router)
{
	remove_running(this, router);
	node_delete(this->nodes[router]);
	g_hash_table_foreach_remove(this->requests, is_of_router, GUINT_TO_POINTER(router));
	this->nodes[router] = NULL;
	this->alive[router] = false;
	memset(this->waiting[router], 0, sizeof(this->waiting[router]));
}

void harness_delete(harness_t *this)
{
	memset(this->backlog, 0, sizeof(this->backlog));
	for (unsigned int i = 0; i < this->options.routers; i++) {
		if (this->alive[i])
			harness_kill_router(this, i);
	}
	g_ptr_array_unref(this->in_flight);
	g_ptr_array_unref(this->running);
	g_hash_table_destroy(this->requests);
	g_rand_free(this->random);
	g_free(this);
}

void harness_set_partitioned(harness_t *this, unsigned int router, bool partitioned)
{
	for (unsigned int i = 0; i < this->options.routers; i++) {
		if (i == router)
			continue;
		this->partitioned[router][i] = partitioned;
		this->partitioned[i][router] = partitioned;
	}
}

/*
 * Converts a member slot of router `self`'s node to a router index.  Slot 0 is the node
 * itself; its peers follow in the order of their index, with `self` left out.
 */
static unsigned int router_of_slot(unsigned int self, unsigned int slot)
{
	return slot <= self ? slot - 1 : slot;
}

static void send_message(harness_t *this, unsigned int from, unsigned int slot)
{
	unsigned int to = router_of_slot(from, slot);
	delivery_t *delivery = g_new0(delivery_t, 1);

	node_build_message(this->nodes[from], slot, &delivery->message, this->now);
	delivery->to = to;
	delivery->due = this->now + this->options.delay_ms * USEC_PER_MSEC;
	this->messages++;
	if (this->partitioned[from][to] || (unsigned int)g_rand_int_range(this->random, 0, 1000) <
						   this->options.lose_per_mille)
		g_free(delivery);
	else
		g_ptr_array_add(this->in_flight, delivery);
}

static harness_request_t *harness_request_of(node_request_t *request)
{
	return caa_container_of(request, harness_request_t, node_request);
}

static void start_request(harness_t *this, harness_request_t *request, id_t32 replica)
{
	uint64_t waited = this->now - request->arrived;

	request->replica = replica - FIRST_REPLICA_ID;
	this->waiting[request->router][request->workspace]--;
	this->started++;
	if (waited > this->longest_wait_us[request->workspace])
		this->longest_wait_us[request->workspace] = waited;
	if (++this->in_use[request->replica] > this->most_in_use[request->replica])
		this->most_in_use[request->replica] = this->in_use[request->replica];
	g_ptr_array_add(this->running, request);
}

static void perform_actions(harness_t *this, unsigned int router)
{
	node_action_t action;

	while (node_next_action(this->nodes[router], &action)) {
		switch (action.kind) {
		case ACTION_START:
			start_request(this, harness_request_of(action.request), action.replica);
			break;
		case ACTION_REJECT:
			this->rejected++;
			this->last_retry_after_s = action.retry_after_s;
			this->waiting[router][harness_request_of(action.request)->workspace]--;
			g_hash_table_remove(this->requests, harness_request_of(action.request));
			break;
		case ACTION_SEND:
			send_message(this, router, action.slot);
			break;
		case ACTION_RENEW_LINK:
			this->renewed[router][router_of_slot(router, action.slot)]++;
			break;
		case ACTION_FETCH_CONFIG:
			break;
		}
	}
}

harness_request_t *harness_submit(harness_t *this, unsigned int router, unsigned int workspace,
	uint32_t cost, unsigned int deadline_ms)
{
	harness_request_t *request = g_new0(harness_request_t, 1);

	request->node_request.pool = HARNESS_POOL;
	request->node_request.workspace = FIRST_WORKSPACE_ID + workspace;
	request->node_request.hint = this->cost_max;
	request->node_request.deadline = this->now + deadline_ms * USEC_PER_MSEC;
	request->router = router;
	request->workspace = workspace;
	request->cost = cost;
	request->arrived = this->now;
	g_hash_table_add(this->requests, request);
	this->waiting[router][workspace]++;
	node_submit_request(this->nodes[router], &request->node_request, this->now);
	perform_actions(this, router);
	return request;
}

static void refill_backlogs(harness_t *this, unsigned int router)
{
	for (unsigned int w = 0; w < this->options.workspaces; w++) {
		while (this->waiting[router][w] < this->backlog[router][w])
			harness_submit(this, router, w,
				(uint32_t)g_rand_int_range(this->random, (gint32)this->cost_min,
					(gint32)this->cost_max + 1),
				BACKLOG_DEADLINE_MS);
	}
}

static void deliver_messages(harness_t *this)
{
	for (unsigned int i = 0; i < this->in_flight->len;) {
		delivery_t *delivery = g_ptr_array_index(this->in_flight, i);

		if (delivery->due > this->now) {
			i++;
			continue;
		}
		if (this->alive[delivery->to]) {
			node_handle_message(
				this->nodes[delivery->to], &delivery->message, this->now);
			perform_actions(this, delivery->to);
		}
		g_ptr_array_remove_index(this->in_flight, i);
	}
}

/* Serves one millisecond: one cost unit of each running request. */
static void serve_running(harness_t *this)
{
	for (unsigned int i = this->running->len; i-- > 0;) {
		harness_request_t *request = g_ptr_array_index(this->running, i);
		node_t *node = this->nodes[request->router];

		request->served++;
		this->served[request->workspace] += 1.0 / this->options.weights[request->workspace];
		this->served_units++;
		if (request->served % PROGRESS_REPORT_UNITS == 0)
			node_report_progress(
				node, &request->node_request, request->served, 1000, this->now);
		if (request->served < request->cost)
			continue;
		this->in_use[request->replica]--;
		node_end_request(node, &request->node_request, END_DONE, request->cost, this->now);
		perform_actions(this, request->router);
		g_hash_table_remove(this->requests, request);
		g_ptr_array_remove_index_fast(this->running, i);
	}
}

static void step(harness_t *this)
{
	this->now += HARNESS_STEP;
	deliver_messages(this);
	serve_running(this);
	for (unsigned int i = 0; i < this->options.routers; i++) {
		if (!this->alive[i])
			continue;
		refill_backlogs(this, i);
		node_tick(this->nodes[i], this->now);
		perform_actions(this, i);
	}
}

void harness_run(harness_t *this, unsigned int ms)
{
	for (unsigned int i = 0; i < ms; i++)
		step(this);
}

static unsigned int unfinished_requests(const harness_t *this)
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
	while (unfinished_requests(this))
		step(this);
}

double harness_measure_fairness_gap(harness_t *this, unsigned int ms)
{
	unsigned int n = this->options.workspaces;
	double lowest_lead[HARNESS_WORKSPACES][HARNESS_WORKSPACES] = {0};
	double highest_lead[HARNESS_WORKSPACES][HARNESS_WORKSPACES] = {0};
	double served_before[HARNESS_WORKSPACES];
	double gap = 0;

	memcpy(served_before, this->served, sizeof(served_before));
	for (unsigned int t = 0; t < ms; t += GAP_SAMPLE_MS) {
		harness_run(this, GAP_SAMPLE_MS);
		for (unsigned int a = 0; a < n; a++) {
			for (unsigned int b = 0; b < a; b++) {
				double lead = this->served[a] - served_before[a] - this->served[b] +
					      served_before[b];

				lowest_lead[a][b] = MIN(lead, lowest_lead[a][b]);
				highest_lead[a][b] = MAX(lead, highest_lead[a][b]);
				gap = MAX(gap, highest_lead[a][b] - lowest_lead[a][b]);
			}
		}
	}
	return gap;
}
