#include "daemon/text_plan.h"

void text_plan_apply(const fleet_text_t *text, node_t *node, instant_t now)
{
	plan_pool_t *pools = g_new0(plan_pool_t, text->service_count + 1);
	plan_replica_t *replicas = g_new0(plan_replica_t, text->endpoint_count + 1);
	plan_workspace_t *workspaces = g_new0(plan_workspace_t, text->workspace_count + 1);
	plan_t plan = {text->version, pools, text->service_count, replicas, text->endpoint_count,
		workspaces, text->workspace_count};

	for (unsigned int i = 0; i < text->service_count; i++)
		pools[i] = (plan_pool_t){text->services[i].id, text->services[i].long_cost,
			text->services[i].long_share};
	for (unsigned int i = 0; i < text->endpoint_count; i++)
		replicas[i] = (plan_replica_t){text->endpoints[i].id,
			text->services[text->endpoints[i].service].id, text->endpoints[i].slots};
	for (unsigned int i = 0; i < text->workspace_count; i++)
		workspaces[i] =
			(plan_workspace_t){text->workspaces[i].id, text->workspaces[i].weight};
	node_set_plan(node, &plan, now);
	g_free(pools);
	g_free(replicas);
	g_free(workspaces);
}
