#ifndef GATEWAY_CATALOG_H
#define GATEWAY_CATALOG_H
/*
 * catalog - one version of what the operators want: routes, services, keys, limits
 *
 * Built by a decoder, then immutable and counted by references, so that a call
 * keeps the version that it began with.  Durations are in milliseconds.
 */
#include <glib.h>
#include <urcu/ref.h>

#include "core/types.h"

typedef struct catalog_service {
	char *name;
	id_t32 id;
	unsigned int max_connections;  /* that an endpoint accepts, of all routers; 0: not told */
	uint64_t token_memory;	       /* tokens that an engine keeps; 0: no engine */
	unsigned int event_tokens;     /* in one event of its streams */
	unsigned int longest_pause_ms; /* the shortest of its routes, 0: none tells */
} catalog_service_t;

typedef struct catalog_target {
	unsigned int service; /* index */
	unsigned int weight;
} catalog_target_t;

typedef struct catalog_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	size_t prefix_len;
	bool repeatable; /* may run more than once */
	bool is_stream;
	bool resumable;
	bool is_public; /* needs no key */
	unsigned int timeout_ms;
	unsigned int target_ms;	       /* to the first byte */
	unsigned int longest_pause_ms; /* between two events that are in time, 0: any */
	unsigned int max_attempts;
	catalog_target_t *targets;
	unsigned int target_count;
	unsigned int total_weight;
} catalog_route_t;

typedef struct catalog_workspace {
	char *name;
	id_t32 id;
} catalog_workspace_t;

typedef struct catalog_limits {
	unsigned int header_bytes;
	unsigned int body_bytes;
	unsigned int header_timeout_ms;
	unsigned int idle_timeout_ms;
} catalog_limits_t;

typedef struct catalog {
	struct urcu_ref ref;
	uint64_t version;
	char *source; /* as received, to hand it to peers */
	catalog_service_t *services;
	unsigned int service_count;
	GPtrArray *routes;     /* catalog_route_t */
	GPtrArray *workspaces; /* catalog_workspace_t */
	GHashTable *by_host;   /* lower-case host -> GPtrArray of routes, longest prefix first */
	GHashTable *by_key;    /* key -> catalog_workspace_t */
	bool has_keys;	       /* routes that are not public ask for one */
	catalog_limits_t limits;
} catalog_t;

catalog_t *catalog_new(uint64_t version, const char *source);
catalog_t *catalog_get(catalog_t *this);
void catalog_put(catalog_t *this);

/* Takes the route over; catalog_seal() makes all routes findable, and services know their pauses.
 */
catalog_route_t *catalog_add_route(catalog_t *this);
catalog_workspace_t *catalog_add_workspace(catalog_t *this, const char *name);
void catalog_add_key(catalog_t *this, const char *key, catalog_workspace_t *workspace);
void catalog_seal(catalog_t *this);

/* `host` may carry a port; `path` is the request target as sent. NULL: no route. */
const catalog_route_t *catalog_route(const catalog_t *this, const char *host, const char *path);
const catalog_workspace_t *catalog_identify(const catalog_t *this, const char *key);
int catalog_service(const catalog_t *this, const char *name);
/* One of the route's targets by weight; `draw` is any random number. */
unsigned int catalog_draw_target(const catalog_route_t *route, uint32_t draw);

#endif
