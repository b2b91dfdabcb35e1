#ifndef SETTINGS_FLEET_CONFIG_H
#define SETTINGS_FLEET_CONFIG_H
/*
 * fleet_config - the operators' fleet configuration: services, endpoints, workspaces, routes
 *
 * Immutable and reference counted, so that a request keeps the version of the
 * configuration with which it started.  Every name has a 32-bit id (core/types.h).
 */

#include "core/types.h"
#include "settings/error_list.h"

typedef enum service_kind {
	SERVICE_MODEL, /* model engines; a request names the model in its body */
	SERVICE_PLAIN, /* other HTTP services */
} service_kind_t;

typedef struct endpoint {
	char *name;
	char *address;
	char *failure_domain;
	id_t32 id;
	unsigned int service; /* index in fleet_config_t.services */
	unsigned int slots;   /* requests that may run at the same time */
	bool fencing;	      /* rejects orders with an outdated fencing number */
} endpoint_t;

typedef struct service {
	char *name;
	id_t32 id;
	service_kind_t kind;
	unsigned int *depends_on; /* indices in fleet_config_t.services */
	unsigned int dependency_count;
	unsigned int long_cost;	 /* requests with a higher predicted cost are long */
	unsigned int long_share; /* percentage of the slots that long requests may hold */
} service_t;

typedef struct workspace {
	char *name;
	id_t32 id;
	unsigned int weight;
	char **tokens; /* "sha256:" and 64 hex digits each; NULL-terminated */
} workspace_t;

/* Whether a request must have an Idempotency-Key header. */
typedef enum key_rule {
	KEY_NONE, /* the header is ignored */
	KEY_OPTIONAL,
	KEY_REQUIRED,
} key_rule_t;

typedef struct route {
	char *method;	    /* "*" for any */
	char *path;	    /* a prefix if it ends in '*' */
	int service;	    /* index in fleet_config_t.services; -1: given by "model" in the body */
	bool is_idempotent; /* may be retried after it was sent */
	key_rule_t key;
	unsigned int deadline_ms;   /* from arrival to the first byte; 0: default_deadline_ms */
	unsigned int cost;	    /* predicted cost units; 0: a default; unused for models */
	unsigned int first_byte_ms; /* objective: time to the first byte */
	double success;		    /* objective: share of requests that succeed, 0 to 1 */
} route_t;

typedef struct fleet_config {
	gint ref_count; /* accessed atomically */
	uint64_t version;
	char *source; /* the JSON document */
	service_t *services;
	unsigned int service_count;
	endpoint_t *endpoints;
	unsigned int endpoint_count;
	workspace_t *workspaces;
	unsigned int workspace_count;
	route_t *routes;
	unsigned int route_count;
	GHashTable *workspaces_by_token; /* token's hash -> workspace_t */
} fleet_config_t;

/*
 * Parses and checks `source`.  Returns a configuration with one reference, or
 * NULL with all errors found added to `errors`.
 */
fleet_config_t *fleet_config_new(const char *source, uint64_t version, error_list_t *errors);
/* Takes and drops a reference; the last put deletes the configuration. */
fleet_config_t *fleet_config_get(fleet_config_t *this);
void fleet_config_put(fleet_config_t *this);

/* Finds the workspace of a plain-text token; NULL if none has it. */
const workspace_t *fleet_config_find_workspace(const fleet_config_t *this, const char *token);
/* Finds the first route that matches; NULL if none does. */
const route_t *fleet_config_find_route(
	const fleet_config_t *this, const char *method, const char *path);
/* Returns the index of a service; -1 if there is none of that name. */
int fleet_config_find_service(const fleet_config_t *this, const char *name);
/* Returns the id of a name; never 0. */
id_t32 name_id(const char *name);

#endif
