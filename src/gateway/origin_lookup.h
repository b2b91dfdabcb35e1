#ifndef GATEWAY_ORIGIN_LOOKUP_H
#define GATEWAY_ORIGIN_LOOKUP_H
/*
 * origin_lookup - finds the software version that began a stream which a caller takes up
 *
 * Looks first at the streams that this router remembers, then at those that all routers have saved
 * in the store.  A stream that neither has began at the only version of the service, if there has
 * been just one lately; as this router may have missed the endpoints of another, it reads their
 * registrations first.  Used by the loop's thread only.
 */
#include "core/origin_keeper.h"
#include "gateway/origin_store.h"

typedef enum origin_result {
	ORIGIN_FOUND,
	ORIGIN_PENDING,	   /* on_origin() is called later */
	ORIGIN_UNKNOWN,	   /* no router knows, and endpoints have had several versions */
	ORIGIN_UNREADABLE, /* the store could not be asked */
} origin_result_t;

/* A question, embedded in the record of whoever asks. */
typedef struct origin_query {
	/* Set by the user. */
	id_t32 service;
	uint64_t stream; /* 0: the caller did not name it */
	/* Called when the result of a pending query is there. */
	void (*on_origin)(void *ctx, origin_result_t result, id_t32 version);
	void *ctx;
	/* Set by the lookup. */
	struct cds_list_head link;
	bool is_pending;
	instant_t ask_again_at; /* when it is asked once more; 0: it is not yet */
} origin_query_t;

typedef struct origin_lookup origin_lookup_t;

typedef struct origin_lookup_options {
	uv_loop_t *loop;
	const adapter_t *adapter;
	store_options_t store;
	const char *name; /* of the router */
	uint64_t incarnation;
	/*
	 * Called with all registrations of endpoints: stream_origins_set_versions() has to be
	 * called with their versions before it returns.
	 */
	void (*on_endpoints)(void *ctx, const GArray *rows, store_version_t version);
	void *ctx;
} origin_lookup_options_t;

origin_lookup_t *origin_lookup_new(const origin_lookup_options_t *options);
void origin_lookup_delete(origin_lookup_t *this);

/* The streams that this router remembers, and the versions of the services. */
stream_origins_t *origin_lookup_origins(origin_lookup_t *this);
/* Which router saves them. */
origin_keeper_t *origin_lookup_keeper(origin_lookup_t *this);
/* ORIGIN_FOUND sets `version`.  A pending query must stay valid until it is answered or cancelled.
 */
origin_result_t origin_lookup_ask(origin_lookup_t *this, origin_query_t *query, id_t32 *version);
void origin_lookup_cancel(origin_query_t *query);
/* What the other routers do, as far as it concerns the saved streams. */
typedef struct origin_fleet {
	unsigned int routers; /* that share the store's capacity */
	unsigned int keeper;  /* member slot of the router that saves this one's streams */
	bool is_cleaner;      /* this router removes the rows that nobody needs */
} origin_fleet_t;

/* Saves what is due. */
void origin_lookup_tick(origin_lookup_t *this, const origin_fleet_t *fleet, instant_t now);

#endif
