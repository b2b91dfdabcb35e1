#ifndef GATEWAY_CATALOG_H
#define GATEWAY_CATALOG_H
/*
 * catalog - one version of the operators' configuration: routes, services, API keys, limits
 *
 * A decoder builds the catalog; after catalog_seal() it is immutable.  Catalogs
 * are reference-counted, so that a call keeps the version that it began with.
 * Durations are in milliseconds.
 */
#include <glib.h>
#include <urcu/ref.h>

#include "core/rate_limit.h"
#include "core/region_set.h"

typedef struct catalog_service {
	char *name;
	id_t32 id;
	unsigned int max_connections; /* per endpoint, from all routers together; 0: unknown */
	uint64_t token_memory; /* capacity of an engine's KV cache, in tokens; 0: not an engine */
	unsigned int tokens_per_event; /* tokens that one event of a stream carries */
	unsigned int max_event_gap_ms; /* lowest limit among its routes; 0: no limit */
	unsigned int cold_start_ms;    /* for which an endpoint is cold after its start; 0: none */
	uint32_t cold_pace; /* requests that a cold endpoint bears, see rate_limit.h; RATE_NONE: any
			     */
} catalog_service_t;

typedef struct catalog_target {
	unsigned int service; /* index into the catalog's services */
	unsigned int weight;
} catalog_target_t;

typedef struct catalog_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	size_t prefix_len;
	bool is_idempotent; /* may run more than once */
	bool is_stream;
	bool resumable;		 /* a stream that can be resumed after its last event */
	bool is_public;		 /* requires no API key */
	unsigned int timeout_ms; /* for the whole call; 0: only the caller's deadline applies */
	unsigned int target_ms;	 /* target time to the first byte */
	unsigned int max_event_gap_ms; /* longest acceptable time between two events; 0: no limit */
	unsigned int max_attempts;
	region_set_t regions; /* where its requests may run */
	catalog_target_t *targets;
	unsigned int target_count;
	unsigned int total_weight;
} catalog_route_t;

typedef struct catalog_workspace {
	char *name;
	id_t32 id;
	region_set_t regions; /* where its requests may run */
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
	char *source; /* the document from which the catalog was decoded */
	catalog_service_t *services;
	unsigned int service_count;
	GPtrArray *routes;     /* catalog_route_t */
	GPtrArray *workspaces; /* catalog_workspace_t */
	GHashTable *by_host;   /* lower-case host -> GPtrArray of routes, longest prefix first */
	GHashTable *by_key;    /* key -> catalog_workspace_t */
	bool requires_keys;    /* routes that are not public require an API key */
	catalog_limits_t limits;
} catalog_t;

catalog_t *catalog_new(uint64_t version, const char *source);
/* Take and release a reference; both accept NULL. */
catalog_t *catalog_get(catalog_t *this);
void catalog_put(catalog_t *this);

/*
 * Adds a route that the catalog owns; the caller fills it in.  After all routes are added,
 * catalog_seal() indexes them by host and derives the services' event gap limits.
 */
catalog_route_t *catalog_add_route(catalog_t *this);
catalog_workspace_t *catalog_add_workspace(catalog_t *this, const char *name);
void catalog_add_key(catalog_t *this, const char *key, catalog_workspace_t *workspace);
void catalog_seal(catalog_t *this);

/* `host` may include a port; `path` is the request target as sent.  NULL if no route matches. */
const catalog_route_t *catalog_route(const catalog_t *this, const char *host, const char *path);
/* Returns the workspace that the API key belongs to, or NULL. */
const catalog_workspace_t *catalog_find_workspace(const catalog_t *this, const char *key);
/* Returns the service's index, or -1. */
int catalog_find_service(const catalog_t *this, const char *name);
/* Picks one of the route's targets by weight and returns its service; `random` is any number. */
unsigned int catalog_pick_target(const catalog_route_t *route, uint32_t random);

#endif
