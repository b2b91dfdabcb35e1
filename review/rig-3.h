#ifndef REVIEW_RIG_3_H
#define REVIEW_RIG_3_H
/*
 * rig-3 - what the scripts of review/11 to review/15 share
 *
 * Starts the gateway as deploy/system.toml does (one process a router, its settings file named by
 * the platform's environment variable), beside the project's store stand-in and replicas that a
 * scenario writes.  All addresses are on 127.0.0.1.  Everything that is sent, run and answered
 * goes to record.txt.  A setup that fails ends the process with CASE_CANT_RUN.
 */
#include <stdbool.h>
#include <sys/types.h>

#include "edge/clock.h"
#include "standin/raw_endpoint.h"
#include "standin/row_store_standin.h"

#define CASE_HELD 0
#define CASE_BROKEN 1
#define CASE_CANT_RUN 2

#define RIG_ROUTERS 4
#define RIG_REPLICAS 16
#define RIG_KEY "k1" /* the API key of the workspace w1 */
#define RIG_HOST "shop.example"

typedef struct rig_router {
	pid_t pid; /* 0: not running */
	char name[32];
	char caller_address[32];
	char ready_address[32];
	char *settings_path;
} rig_router_t;

typedef struct rig {
	row_store_standin_t *store;
	const char *store_address; /* where the routers find it */
	rig_router_t routers[RIG_ROUTERS];
	unsigned int router_count;
	raw_endpoint_t *replicas[RIG_REPLICAS];
	unsigned int replica_count;
	unsigned int config_version;
	instant_t began;
	bool trouble; /* false: TROUBLE=0 */
} rig_t;

/* Opens record.txt in the folder `folder`, and the store. */
rig_t *rig_new(const char *folder);
/* Ends all processes and stand-ins that are left, and the process itself with `code`. */
_Noreturn void rig_end(rig_t *this, int code);
/* Writes one line to record.txt, with the time since the start. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
_Noreturn void rig_fail(const char *what);

/* Writes the next version of the configuration; `extra_routes`: JSON, or "". */
void rig_put_config(rig_t *this, const char *extra_routes);
/* Starts a replica of `service` and registers it as ready; returns its index. */
unsigned int rig_add_replica(rig_t *this, const char *service, raw_handler_t handler, void *ctx);
/* Writes the row of a replica in this state. */
void rig_register(rig_t *this, unsigned int replica, const char *service, const char *state);
void rig_unregister(rig_t *this, unsigned int replica);
/* Starts a router and waits until it is ready. */
void rig_start_router(rig_t *this, unsigned int index);
void rig_start_router_process(rig_t *this, unsigned int index);
void rig_wait_ready(rig_t *this, unsigned int index);
void rig_signal(rig_t *this, unsigned int router, int signal_number);
/* Whether the process has ended by now; its status in `status`. */
bool rig_has_ended(rig_t *this, unsigned int router, int *status);

/* Connects like a client behind an Ethernet link whose window is `window` bytes; 0: the usual one.
 */
int rig_connect(const char *address, int window);
void rig_send(int fd, const char *bytes, size_t len);
/* The body's length and what follows the head; false if the head is not there yet. */
bool rig_parse_answer(const GString *answer, unsigned int *status, size_t *body, long *length);

#endif
