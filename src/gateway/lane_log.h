#ifndef GATEWAY_LANE_LOG_H
#define GATEWAY_LANE_LOG_H
/*
 * lane_log - logs what this router, as an owner of endpoints, granted to each workspace
 *
 * Every second one line `event=lane` for each workspace of a service of which requests were refused
 * here in that second.
 */
#include "core/placement.h"
#include "gateway/catalog.h"

typedef struct lane_log {
	instant_t due; /* of the next lines */
} lane_log_t;

/* `catalog` gives the names and may be NULL; ids are logged as numbers then. */
void lane_log_tick(
	lane_log_t *this, placement_t *placement, const catalog_t *catalog, instant_t now);

#endif
