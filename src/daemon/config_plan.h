#ifndef DAEMON_CONFIG_PLAN_H
#define DAEMON_CONFIG_PLAN_H
/*
 * config_plan - translates a fleet configuration into a node's plan, which uses
 * ids instead of names: a service becomes a pool, an endpoint a replica
 */
#include "core/node.h"
#include "settings/fleet_config.h"

/* Builds the plan and passes it to node_set_plan(). Node thread only. */
void config_plan_apply(const fleet_config_t *config, node_t *node, instant_t now);

#endif
