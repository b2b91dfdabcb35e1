#include "daemon/config_plan.h"

void config_plan_apply(const fleet_config_t *config, node_t *node, instant_t now)
{
	plan_pool_t *pools = g_new0(plan_pool_t, config->service_count + 1);
	plan_replica_t *replicas = g_new0(plan_replica_t, config->endpoint_count + 1);
	plan_workspace_t *workspaces = g_new0(plan_workspace_t, config->workspace_count + 1);
	plan_t plan = {config->version, pools, config->service_count, replicas,
		config->endpoint_count, workspaces, config->workspace_count};

	for (unsigned int i = 0; i < config->service_count; i++)
		pools[i] = (plan_pool_t){config->services[i].id, config->services[i].long_cost,
			config->services[i].long_share};
	for (unsigned int i = 0; i < config->endpoint_count; i++)
		replicas[i] = (plan_replica_t){config->endpoints[i].id,
			config->services[config->endpoints[i].service].id,
			config->endpoints[i].slots};
	for (unsigned int i = 0; i < config->workspace_count; i++)
		workspaces[i] =
			(plan_workspace_t){config->workspaces[i].id, config->workspaces[i].weight};
	node_set_plan(node, &plan, now);
	g_free(pools);
	g_free(replicas);
	g_free(workspaces);
}
