#ifndef GATEWAY_ENDPOINT_REGISTRY_H
#define GATEWAY_ENDPOINT_REGISTRY_H
/*
 * endpoint_registry - the endpoints that are registered in the store
 *
 * Each start of an endpoint gets an id of its own, so that statistics about an
 * earlier start under the same name are not applied to it.  Only the loop's
 * thread uses the registry.  Endpoints are reference-counted: a removed endpoint
 * is freed when its last user releases it.
 */
#include <glib.h>
#include <urcu/list.h>

#include "core/types.h"

typedef enum endpoint_state {
	ENDPOINT_READY,
	ENDPOINT_DRAINING, /* takes no new calls */
	ENDPOINT_GONE,	   /* removed from the registry */
} endpoint_state_t;

/* An endpoint's registration as decoded from its row; owns its strings. */
typedef struct endpoint_registration {
	char *name;
	char *service;
	char *address; /* ip:port */
	unsigned int slots;
	endpoint_state_t state;
	uint64_t incarnation; /* differs between two starts under the same name */
} endpoint_registration_t;

typedef struct registered_endpoint {
	char *name;
	char *service;
	char *address;
	id_t32 id;
	id_t32 service_id;
	unsigned int slots;
	endpoint_state_t state;
	uint64_t incarnation;
	instant_t remove_at; /* if its row is missing: when it is removed; else 0 */
	unsigned int ref_count;
	struct cds_list_head idle_connections; /* endpoint_connection_t, newest first */
	unsigned int idle_connection_count;
	unsigned int max_idle_connections; /* idle connections that this router may keep */
} registered_endpoint_t;

typedef struct endpoint_registry endpoint_registry_t;

endpoint_registry_t *endpoint_registry_new(void);
void endpoint_registry_delete(endpoint_registry_t *this);

/* Adds or updates an endpoint; true if that changed anything. */
bool endpoint_registry_put(endpoint_registry_t *this, const endpoint_registration_t *registration);
/*
 * Handles a registration that disappeared: marks the endpoint as missing until
 * `remove_at`, or removes it at once if that has passed.  True if it was removed.
 */
bool endpoint_registry_remove(
	endpoint_registry_t *this, const char *name, instant_t remove_at, instant_t now);
/* Removes the missing endpoints whose `remove_at` has passed; true if any was removed. */
bool endpoint_registry_expire(endpoint_registry_t *this, instant_t now);
/* Finds one start of an endpoint by its id; NULL if it was removed. */
registered_endpoint_t *endpoint_registry_find(const endpoint_registry_t *this, id_t32 id);
/* Calls `callback` for every endpoint, missing ones included. */
void endpoint_registry_for_each(endpoint_registry_t *this,
	void (*callback)(void *ctx, registered_endpoint_t *endpoint), void *ctx);
unsigned int endpoint_registry_count(const endpoint_registry_t *this);

/* Take and release a reference; put() accepts NULL. */
registered_endpoint_t *registered_endpoint_get(registered_endpoint_t *this);
void registered_endpoint_put(registered_endpoint_t *this);

/* Frees the strings. */
void endpoint_registration_clear(endpoint_registration_t *this);

#endif
