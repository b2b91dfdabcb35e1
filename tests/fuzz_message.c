/*
 * fuzz_message - libFuzzer target for messages received on the peer socket
 *
 * Decodes the input; a node that knows the sender handles each message that is valid.
 */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "core/node.h"
#include "edge/message_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const plan_pool_t pools[] = {{10, 200, 60}};
	static const plan_replica_t replicas[] = {{100, 10, 4}};
	static const plan_workspace_t workspaces[] = {{20, 1}};
	static const plan_t plan = {1, pools, 1, replicas, 1, workspaces, 1};
	static message_t message;
	node_options_t options = {.self = 1, .incarnation = 1, .seed = 1, .max_members = 4};
	node_action_t action;
	node_t *node;

	if (!message_decode((const char *)data, size, &message))
		return 0;
	node = node_new(&options, 1);
	node_add_peer(node, 2);
	node_set_plan(node, &plan, 1);
	message.from = 2;
	node_handle_message(node, &message, 1000);
	node_tick(node, 2000000);
	while (node_next_action(node, &action))
		;
	node_delete(node);
	return 0;
}
