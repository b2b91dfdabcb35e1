#ifndef DAEMON_TEXT_PLAN_H
#define DAEMON_TEXT_PLAN_H
/* text_plan - what the operators' text says, in the ids that a node works with */
#include "core/node.h"
#include "settings/fleet_text.h"

void text_plan_apply(const fleet_text_t *text, node_t *node, instant_t now);

#endif
