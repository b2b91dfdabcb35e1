/*
 * micro - CPU time per decision and memory of one node in a fleet of a given size
 *
 * Usage: micro [ROUTERS [WORKSPACES [POOLS [REPLICAS [DECISIONS]]]]].  One node owns
 * its part of the replicas and receives the messages of its peers; a tenth of the
 * workspaces is backlogged.  Prints nanoseconds per call and the bytes that the node
 * has allocated.  Instruction counts under callgrind are the same in every run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/node.h"
#include "edge/clock.h"

#define ROUTER_ID 1
#define POOL_ID 1000000
#define REPLICA_ID 2000000
#define WORKSPACE_ID 3000000
#define SLOTS 8
#define DEADLINE (1000 * USEC_PER_SEC)

static size_t allocated_bytes;

static void *counting_alloc(void *ctx, size_t size)
{
	size_t *block = calloc(1, size + sizeof(size_t) * 2);

	if (!block)
		abort();
	*block = size;
	allocated_bytes += size;
	return block + 2;
}

static void counting_free(void *ctx, void *pointer)
{
	size_t *block = (size_t *)pointer - 2;

	allocated_bytes -= *block;
	free(block);
}

typedef struct sizes {
	unsigned int routers;
	unsigned int workspaces;
	unsigned int pools;
	unsigned int replicas;
	unsigned int decisions;
} sizes_t;

static void set_plan(node_t *node, const sizes_t *sizes)
{
	plan_pool_t *pools = calloc(sizes->pools, sizeof(*pools));
	plan_replica_t *replicas = calloc(sizes->replicas, sizeof(*replicas));
	plan_workspace_t *workspaces = calloc(sizes->workspaces, sizeof(*workspaces));
	plan_t plan = {
		1, pools, sizes->pools, replicas, sizes->replicas, workspaces, sizes->workspaces};

	for (unsigned int i = 0; i < sizes->pools; i++)
		pools[i] = (plan_pool_t){POOL_ID + i, 400, 60};
	for (unsigned int i = 0; i < sizes->replicas; i++)
		replicas[i] = (plan_replica_t){REPLICA_ID + i, POOL_ID + i % sizes->pools, SLOTS};
	for (unsigned int i = 0; i < sizes->workspaces; i++)
		workspaces[i] = (plan_workspace_t){WORKSPACE_ID + i, 1 + i % 4};
	node_set_plan(node, &plan, 1);
	free(pools);
	free(replicas);
	free(workspaces);
}

/* A peer's message: demand of two backlogged workspaces, and the cost it has served them. */
static void fill_message(
	message_t *message, const sizes_t *sizes, unsigned int peer, unsigned int round)
{
	unsigned int backlogged = sizes->workspaces / 10 + 1;

	memset(message, 0, sizeof(*message));
	message->from = ROUTER_ID + peer;
	message->incarnation = 1;
	message->seq = round + 1;
	message->demands.count = 2;
	message->served.count = 2;
	for (unsigned int i = 0; i < 2; i++) {
		unsigned int w = (peer * 2 + i + round) % backlogged * 10 % sizes->workspaces;
		id_t32 pool = POOL_ID + (peer + i) % sizes->pools;

		message->demands.entry[i] =
			(demand_entry_t){pool, WORKSPACE_ID + w, {round % 3, 1, 0}, 1};
		message->served.entry[i] =
			(served_entry_t){pool, WORKSPACE_ID + w, (uint64_t)round * 100};
	}
}

/* Messages that the node built for its peers, and the time that took. */
static uint64_t messages;
static uint64_t message_us;

static void perform_actions(node_t *node)
{
	static message_t message;
	node_action_t action;

	while (node_next_action(node, &action)) {
		instant_t start = clock_now();

		if (action.kind != ACTION_SEND)
			continue;
		node_build_message(node, action.slot, &message, start);
		message_us += clock_now() - start;
		messages++;
	}
}

/* The first message of each peer changes the membership view, so these are timed apart. */
static double time_view_change(node_t *node, const sizes_t *sizes, instant_t now)
{
	static message_t message;
	instant_t start = clock_now();

	for (unsigned int peer = 1; peer < sizes->routers; peer++) {
		fill_message(&message, sizes, peer, 0);
		node_handle_message(node, &message, now);
		perform_actions(node);
	}
	return (double)(clock_now() - start) * 1000 / (sizes->routers - 1);
}

static double time_messages(node_t *node, const sizes_t *sizes, instant_t now)
{
	static message_t message;
	double total = 0;

	for (unsigned int i = 1; i <= sizes->decisions; i++) {
		instant_t start;

		fill_message(&message, sizes, 1 + i % (sizes->routers - 1), i);
		start = clock_now();
		node_handle_message(node, &message, now + i * 100);
		total += (double)(clock_now() - start);
		perform_actions(node);
	}
	return total * 1000 / sizes->decisions;
}

static double time_requests(node_t *node, const sizes_t *sizes, instant_t now)
{
	instant_t start = clock_now();

	for (unsigned int i = 0; i < sizes->decisions; i++) {
		node_request_t request = {
			.pool = POOL_ID + i % sizes->pools,
			.workspace = WORKSPACE_ID + i * 7 % sizes->workspaces,
			.hint = 50,
			.deadline = now + DEADLINE,
		};

		node_submit_request(node, &request, now + i * 100);
		perform_actions(node);
		if (request.state == REQUEST_RUNNING)
			node_end_request(node, &request, END_DONE, 40, now + i * 100);
		else
			node_cancel_request(node, &request, now + i * 100);
		perform_actions(node);
	}
	return (double)(clock_now() - start) * 1000 / sizes->decisions;
}

static double time_ticks(node_t *node, instant_t now, unsigned int count)
{
	double total = 0;

	for (unsigned int i = 0; i < count; i++) {
		instant_t start = clock_now();

		node_tick(node, now + (instant_t)i * 30 * USEC_PER_MSEC);
		total += (double)(clock_now() - start);
		perform_actions(node);
	}
	return total * 1000 / count;
}

int main(int argc, char **argv)
{
	static const allocator_t counting = {counting_alloc, counting_free, NULL};
	sizes_t sizes = {8, 16, 2, 23, 2000};
	unsigned int *arguments[] = {
		&sizes.routers, &sizes.workspaces, &sizes.pools, &sizes.replicas, &sizes.decisions};
	node_options_t options = {
		.self = ROUTER_ID, .incarnation = 1, .seed = 1, .allocator = &counting};
	instant_t now = clock_now();
	node_t *node;
	double view_change_ns;
	double receive_ns;
	double request_ns;
	double tick_ns;

	for (int i = 1; i < argc && i <= (int)ARRAY_LEN(arguments); i++)
		*arguments[i - 1] = (unsigned int)strtoul(argv[i], NULL, 10);
	options.max_members = sizes.routers;
	node = node_new(&options, now);
	for (unsigned int i = 1; i < sizes.routers; i++)
		node_add_peer(node, ROUTER_ID + i);
	set_plan(node, &sizes);
	printf("routers=%u workspaces=%u pools=%u replicas=%u empty_bytes=%zu", sizes.routers,
		sizes.workspaces, sizes.pools, sizes.replicas, allocated_bytes);
	view_change_ns = time_view_change(node, &sizes, now);
	receive_ns = time_messages(node, &sizes, now);
	request_ns = time_requests(node, &sizes, now + USEC_PER_SEC);
	tick_ns = time_ticks(node, now + USEC_PER_SEC + 200 * USEC_PER_MSEC, 20);
	printf(" view_change_ns=%.0f hear_ns=%.0f request_ns=%.0f tick_ns=%.0f message_ns=%.0f "
	       "bytes=%zu\n",
		view_change_ns, receive_ns, request_ns, tick_ns,
		messages ? (double)message_us * 1000 / messages : 0, allocated_bytes);
	node_delete(node);
	return 0;
}
