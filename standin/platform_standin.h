#ifndef STANDIN_PLATFORM_STANDIN_H
#define STANDIN_PLATFORM_STANDIN_H
/*
 * platform_standin - table service, object store and instance list in memory
 *
 * POST /table/transact, GET /table/row?key=, GET /table/scan?prefix=,
 * PUT and GET /object?key=, GET /instances; and for the tests
 * POST /control {"down":bool,"slow_ms":N,"lose_per_mille":N,"lag_ms":N,"seed":N}
 * POST /control/instance {"name":..,"address":..,"state":"live|leaving|gone"}
 * GET /stats (reads, writes).
 */
#include "standin/server.h"

typedef struct platform_standin platform_standin_t;

platform_standin_t *platform_standin_new(const char *address);
void platform_standin_delete(platform_standin_t *this);
const char *platform_standin_address(const platform_standin_t *this);

#endif
