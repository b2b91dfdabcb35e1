#ifndef GATEWAY_DIRECTORY_H
#define GATEWAY_DIRECTORY_H
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
typedef struct endpoint_entry {
	char *name;
	char *service;
	char *address; /* ip:port */
	unsigned int slots;
	endpoint_state_t state;
	uint64_t incarnation; /* differs between two starts under the same name */
} endpoint_entry_t;

typedef struct served_endpoint {
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
	struct cds_list_head idle_links; /* endpoint_connection_t, newest first */
	unsigned int idle_count;
	unsigned int most_idle; /* idle connections that this router may keep */
} served_endpoint_t;

typedef struct directory directory_t;

directory_t *directory_new(void);
void directory_delete(directory_t *this);

/* Adds or updates an endpoint; true if that changed anything. */
bool directory_put(directory_t *this, const endpoint_entry_t *registration);
/*
 * Handles a registration that disappeared: marks the endpoint as missing until
 * `remove_at`, or removes it at once if that has passed.  True if it was removed.
 */
bool directory_remove(directory_t *this, const char *name, instant_t remove_at, instant_t now);
/* Removes the missing endpoints whose `remove_at` has passed; true if any was removed. */
bool directory_sweep(directory_t *this, instant_t now);
/* Finds one start of an endpoint by its id; NULL if it was removed. */
served_endpoint_t *directory_find(const directory_t *this, id_t32 id);
/* Calls `callback` for every endpoint, missing ones included. */
void directory_each(
	directory_t *this, void (*callback)(void *ctx, served_endpoint_t *endpoint), void *ctx);
unsigned int directory_count(const directory_t *this);

/* Take and release a reference; put() accepts NULL. */
served_endpoint_t *served_endpoint_get(served_endpoint_t *this);
void served_endpoint_put(served_endpoint_t *this);

/* Frees the strings. */
void endpoint_entry_clear(endpoint_entry_t *this);

#endif
