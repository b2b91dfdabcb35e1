#ifndef STANDIN_PLATFORM_STANDIN_H
#define STANDIN_PLATFORM_STANDIN_H
/*
 * platform_standin - simulates the platform's table service, object store and instance list
 *
 * All data is in memory.
 *
 * POST /table/transact           conditional writes; 409 if a version differs
 * GET  /table/row?key=KEY
 * GET  /table/scan?prefix=PREFIX
 * PUT, GET /object?key=KEY
 * GET  /instances
 *
 * For tests:
 *
 * POST /control {"down":bool,"slow_ms":N,"lose_per_mille":N,"lag_ms":N,"seed":N}
 *     down            closes each connection without a response
 *     slow_ms         delays each response
 *     lose_per_mille  share of transactions that are processed but get no response
 *     lag_ms          time until an instance's new state shows in the list
 *     seed            restarts the random numbers
 * POST /control/instance {"name":..,"address":..,"state":"live|leaving|gone"}
 * GET  /stats                    number of reads, writes and transactions
 */
#include "standin/server.h"

typedef struct platform_standin platform_standin_t;

/* Listens on `address`; NULL if it can't. */
platform_standin_t *platform_standin_new(const char *address);
void platform_standin_delete(platform_standin_t *this);
const char *platform_standin_address(const platform_standin_t *this);

#endif
