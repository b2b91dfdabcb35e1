#ifndef SETTINGS_FLEET_TEXT_H
#define SETTINGS_FLEET_TEXT_H
/*
 * fleet_text - the operators' one text: services, endpoints, workspaces, routes
 *
 * Immutable once read and counted by references, so that a request keeps the
 * text that it began with.  Every name has a 32-bit id (types.h).
 */
#include <urcu/ref.h>

#include "core/types.h"
#include "settings/faults.h"

typedef enum service_kind {
	SERVICE_MODEL,
	SERVICE_PLAIN,
} service_kind_t;

typedef struct endpoint {
	char *name;
	char *address;
	char *failure_domain;
	id_t32 id;
	unsigned int service; /* index */
	unsigned int slots;   /* requests that it may run at once */
	bool fencing;	      /* refuses orders with an old fencing number */
} endpoint_t;

typedef struct service {
	char *name;
	id_t32 id;
	service_kind_t kind;
	unsigned int *depends_on; /* indices */
	unsigned int depends_count;
	unsigned int long_cost;	 /* a request predicted above this is long */
	unsigned int long_share; /* per cent of slots that long requests may hold */
} service_t;

typedef struct workspace {
	char *name;
	id_t32 id;
	unsigned int weight;
	char **tokens; /* "sha256:" and 64 hex digits, NULL at the end */
} workspace_t;

typedef enum key_rule {
	KEY_NONE,
	KEY_OPTIONAL,
	KEY_REQUIRED,
} key_rule_t;

typedef struct route {
	char *method; /* "*" for any */
	char *path;   /* prefix when it ends in '*' */
	int service;  /* index, or -1: the body's "model" names it */
	bool repeatable;
	key_rule_t key;
	unsigned int deadline_ms;   /* to the first byte */
	unsigned int cost;	    /* hint in cost units; 0: from max_tokens */
	unsigned int first_byte_ms; /* objective */
	double success;		    /* objective, share of requests, 0 to 1 */
} route_t;

typedef struct fleet_text {
	struct urcu_ref ref;
	uint64_t version;
	char *source;
	service_t *services;
	unsigned int service_count;
	endpoint_t *endpoints;
	unsigned int endpoint_count;
	workspace_t *workspaces;
	unsigned int workspace_count;
	route_t *routes;
	unsigned int route_count;
	GHashTable *by_token; /* token hash -> workspace_t */
} fleet_text_t;

/* Reads and checks `source`; NULL with every fault named. Begins with one reference. */
fleet_text_t *fleet_text_new(const char *source, uint64_t version, faults_t *faults);
fleet_text_t *fleet_text_get(fleet_text_t *this);
void fleet_text_put(fleet_text_t *this);

/* The workspace that owns `token` in clear, or NULL. */
const workspace_t *fleet_text_identify(const fleet_text_t *this, const char *token);
const route_t *fleet_text_route(const fleet_text_t *this, const char *method, const char *path);
int fleet_text_service(const fleet_text_t *this, const char *name);
id_t32 name_id(const char *name);

#endif
