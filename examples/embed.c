/*
 * embed - example: two nodes of the coordination library in one program, without I/O
 *
 * One of the nodes owns the only slot, and grants it to the other for the request
 * that arrives there.  The program passes each message to the other node itself and
 * advances a simulated clock.
 */
#include <stdio.h>

#include "core/node.h"

#define REPLICA 100
#define POOL 10
#define WORKSPACE 20
#define STEP (5 * USEC_PER_MSEC)
#define STEPS 400

static const plan_pool_t pools[] = {{POOL, 200, 60}};
static const plan_replica_t replicas[] = {{REPLICA, POOL, 1}};
static const plan_workspace_t workspaces[] = {{WORKSPACE, 1}};
static const plan_t plan = {1, pools, 1, replicas, 1, workspaces, 1};

static node_t *create_node(id_t32 self, id_t32 peer, instant_t now)
{
	node_options_t options = {.self = self, .incarnation = 1, .seed = self, .max_members = 4};
	node_t *node = node_new(&options, now);

	node_add_peer(node, peer);
	node_set_plan(node, &plan, now);
	return node;
}

/* Performs all actions of `node`; true when they started its request. */
static bool perform(node_t *node, node_t *other, instant_t now)
{
	node_action_t action;
	static message_t message;
	bool started = false;

	while (node_next_action(node, &action)) {
		if (action.kind == ACTION_SEND) {
			node_build_message(node, action.slot, &message, now);
			node_handle_message(other, &message, now);
		}
		started |= action.kind == ACTION_START;
	}
	return started;
}

int main(void)
{
	node_request_t requests[2] = {{.pool = POOL, .workspace = WORKSPACE, .hint = 10},
		{.pool = POOL, .workspace = WORKSPACE, .hint = 10}};
	node_t *nodes[2] = {create_node(1, 2, 0), create_node(2, 1, 0)};
	unsigned int started = 0;

	for (unsigned int i = 0; i < STEPS && started < 2; i++) {
		instant_t now = (i + 1) * STEP;

		if (i == STEPS / 2) {
			for (int n = 0; n < 2; n++) {
				requests[n].deadline = now + 10 * USEC_PER_SEC;
				node_submit_request(nodes[n], &requests[n], now);
			}
		}
		for (int n = 0; n < 2; n++) {
			node_tick(nodes[n], now);
			if (!perform(nodes[n], nodes[!n], now))
				continue;
			started++;
			printf("node %d runs its request at %llu ms\n", n + 1,
				(unsigned long long)(now / USEC_PER_MSEC));
			node_end_request(nodes[n], &requests[n], END_DONE, 10, now);
			perform(nodes[n], nodes[!n], now);
		}
	}
	node_delete(nodes[0]);
	node_delete(nodes[1]);
	return started == 2 ? 0 : 1;
}
