#ifndef GATEWAY_DIRECTORY_H
#define GATEWAY_DIRECTORY_H
/*
 * directory - the endpoints that are known
 *
 * Each start of an endpoint has an id of its own, so that nothing known of an
 * earlier one is held against it.  Belongs to the loop's thread; an endpoint that
 * is gone stays until its last user puts it.
 */
#include <glib.h>
#include <urcu/list.h>

#include "core/types.h"

typedef enum endpoint_state {
	ENDPOINT_READY,
	ENDPOINT_DRAINING,
	ENDPOINT_GONE,
} endpoint_state_t;

/* What a registration says, in the decoder's hands. */
typedef struct endpoint_entry {
	char *name;
	char *service;
	char *address; /* ip:port */
	unsigned int slots;
	endpoint_state_t state;
	uint64_t born; /* of this start; another start under the same name knows nothing */
} endpoint_entry_t;

typedef struct served_endpoint {
	char *name;
	char *service;
	char *address;
	id_t32 id;
	id_t32 service_id;
	unsigned int slots;
	endpoint_state_t state;
	uint64_t born;
	instant_t missing_until; /* gone then, unless listed again; 0: not missing */
	unsigned int refs;
	struct cds_list_head idle_links; /* endpoint_connection_t, newest first */
	unsigned int idle_count;
	unsigned int most_idle; /* links that this router may keep */
} served_endpoint_t;

typedef struct directory directory_t;

directory_t *directory_new(void);
void directory_delete(directory_t *this);

/* Takes a registration; true when something changed. */
bool directory_put(directory_t *this, const endpoint_entry_t *entry);
/*
 * The registration is gone: the endpoint is removed at `grace`, or at once when
 * that has passed; true when something changed.
 */
bool directory_remove(directory_t *this, const char *name, instant_t grace, instant_t now);
/* Removes what is still missing when its time is up; true when something changed. */
bool directory_sweep(directory_t *this, instant_t now);
/* The start of an endpoint by its id; NULL when it is gone. */
served_endpoint_t *directory_find(const directory_t *this, id_t32 id);
/* Calls `each` for every endpoint that is not gone. */
void directory_each(
	directory_t *this, void (*each)(void *ctx, served_endpoint_t *endpoint), void *ctx);
unsigned int directory_count(const directory_t *this);

served_endpoint_t *served_endpoint_get(served_endpoint_t *this);
void served_endpoint_put(served_endpoint_t *this);

void endpoint_entry_clear(endpoint_entry_t *this);

#endif
