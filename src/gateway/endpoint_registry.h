#ifndef GATEWAY_ENDPOINT_REGISTRY_H
#define GATEWAY_ENDPOINT_REGISTRY_H
/*
 * endpoint_registry - the endpoints that are registered in the store
 *
 * Each start of an endpoint gets an id of its own, so that statistics about an
 * earlier start under the same name are not applied to it.  After a restore of the
 * store from an older copy, registrations may be older than what is known: an endpoint
 * that was leaving stays so, an earlier start does not replace a later one, and an
 * endpoint that had left is used only if its registration has not lapsed again after a while.  Only
 * the loop's thread uses the registry.  Endpoints are reference-counted: a removed endpoint is
 * freed when its last user releases it.
 */
#include <glib.h>
#include <urcu/list.h>

#include "core/buffer_pool.h"
#include "core/evacuation.h"
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
	char *address;	      /* ip:port */
	char *version;	      /* of the endpoint's software; empty: not stated */
	char *failure_domain; /* empty: not stated */
	bool cold_stated;     /* the registration says how long the endpoint stays cold */
	uint64_t cold_left;   /* then: microseconds, 0: warm */
	unsigned int slots;
	endpoint_state_t state;
	uint64_t incarnation; /* rises from one start under the same name to the next */
	uint64_t era;	      /* of the store, when it listed the registration */
} endpoint_registration_t;

typedef struct registered_endpoint {
	char *name;
	char *service;
	char *address;
	char *version;
	char *failure_domain; /* empty: not stated */
	id_t32 id;
	id_t32 service_id;
	id_t32 version_id;
	id_t32 domain_id; /* of its failure domain, 0: not stated */
	unsigned int slots;
	endpoint_state_t state;
	uint64_t incarnation;
	uint64_t era;	      /* of its registration */
	bool said_it_leaves;  /* in a response: it stays draining, whatever its row says */
	instant_t remove_at;  /* if its row is missing: when it is removed; else 0 */
	instant_t hold_until; /* if it had left: when it may be used, draining until then; else 0 */
	bool evacuated;	      /* its failure domain is */
	unsigned int ref_count;
	buffer_group_t buffers;		       /* of the exchanges with it */
	struct cds_list_head idle_connections; /* endpoint_connection_t, newest first */
	unsigned int idle_connection_count;
	unsigned int max_idle_connections; /* idle connections that this router may keep */
	uint32_t named_rate;		   /* limit in its newest response, see rate_limit.h */
	bool named_malformed_rate;	   /* its newest response had a limit that can't be read */
	bool named_malformed_cold;	   /* the same of the time for which it stays cold */
	uint64_t cold_left;		   /* microseconds in its newest row that names them */
	instant_t cold_until;		   /* according to that row, 0: warm */
	instant_t cold_stated_at;	   /* when the row was known to say so, 0: not at all */
	instant_t seen_at;		   /* when this start was seen first */
	uint64_t seen_wall_ms;		   /* the same as Unix time */
} registered_endpoint_t;

typedef struct endpoint_registry endpoint_registry_t;

typedef struct endpoint_registry_options {
	uint64_t returned_hold; /* microseconds for which an endpoint that had left is not used */
	const evacuations_t *evacuations; /* NULL: none */
	/* Called when an endpoint is removed, while the registry still holds it; may be NULL. */
	void (*on_removed)(void *ctx, registered_endpoint_t *endpoint);
	void *ctx;
} endpoint_registry_options_t;

endpoint_registry_t *endpoint_registry_new(const endpoint_registry_options_t *options);
void endpoint_registry_delete(endpoint_registry_t *this);

/* Adds or updates an endpoint; true if that changed anything. */
bool endpoint_registry_put(
	endpoint_registry_t *this, const endpoint_registration_t *registration, instant_t now);
/*
 * Handles an endpoint's own statement that it leaves, which holds for this start of it; returns
 * whether that changed anything.
 */
bool endpoint_registry_set_leaving(registered_endpoint_t *endpoint);
/*
 * Marks the endpoints whose failure domains are evacuated now, after a change of the options'
 * evacuations; returns the number of endpoints that this changed.
 */
unsigned int endpoint_registry_apply_evacuations(endpoint_registry_t *this);
typedef enum endpoint_removal {
	ENDPOINT_UNKNOWN, /* not in the registry */
	ENDPOINT_REMOVED,
	ENDPOINT_MISSING, /* is removed later, unless it registers again */
} endpoint_removal_t;

/*
 * Handles a registration that the store no longer lists in `era`: marks the endpoint as missing
 * until `remove_at`, or removes it at once if that has passed.
 */
endpoint_removal_t endpoint_registry_remove(endpoint_registry_t *this, const char *name,
	uint64_t era, instant_t remove_at, instant_t now);
/*
 * Removes the missing endpoints whose `remove_at` has passed, and ends the holds that have
 * passed; true if there was any.
 */
bool endpoint_registry_expire(endpoint_registry_t *this, instant_t now);
/* Finds one start of an endpoint by its id; NULL if it was removed. */
registered_endpoint_t *endpoint_registry_find(const endpoint_registry_t *this, id_t32 id);
/* Calls `callback` for every endpoint, missing ones included. */
void endpoint_registry_for_each(endpoint_registry_t *this,
	void (*callback)(void *ctx, registered_endpoint_t *endpoint), void *ctx);
unsigned int endpoint_registry_count(const endpoint_registry_t *this);
unsigned int endpoint_registry_evacuated_count(const endpoint_registry_t *this);
/* Whether an endpoint of the service would take new work if its domain were not evacuated. */
bool endpoint_registry_is_evacuated(const endpoint_registry_t *this, id_t32 service);

/* Whether new work may be sent to the endpoint. */
bool registered_endpoint_takes_work(const registered_endpoint_t *this);
/* Take and release a reference; put() accepts NULL. */
registered_endpoint_t *registered_endpoint_get(registered_endpoint_t *this);
void registered_endpoint_put(registered_endpoint_t *this);

/* Frees the strings. */
void endpoint_registration_clear(endpoint_registration_t *this);

#endif
