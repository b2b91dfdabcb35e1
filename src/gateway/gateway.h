#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H
/*
 * gateway - one router's data path on an event loop: its parts, start and planned stop
 *
 * One thread runs the loop, the placement decisions (core/placement) and every
 * connection.  Separate threads read the store (table_watch) and write this
 * router's row of it (roster).
 */
#include <uv.h>

#include "core/buffer_pool.h"
#include "core/overload.h"
#include "gateway/adapter.h"
#include "gateway/call.h"
#include "gateway/evacuation_rows.h"
#include "gateway/first_token_histogram.h"
#include "gateway/gateway_settings.h"
#include "gateway/lane_log.h"
#include "gateway/listener.h"
#include "gateway/loop_watch.h"
#include "gateway/peers.h"
#include "gateway/retry_budget.h"
#include "gateway/roster.h"
#include "gateway/steer_log.h"
#include "gateway/table_watch.h"

#define NOT_READY_RETRY_S 0.5 /* a router that has just started has loaded its catalog by then */
#define STOPPING_RETRY_S 0.1  /* another router can take the retry at once */
#define STORE_RETRY_S 0.5     /* while the store can't be read */
#define REFUSED_RETRY_S 0.2   /* endpoints that refused have free capacity by then */
#define PEER_KEY_SIZE 41      /* bytes of a Z85 key, terminating zero included */
#define PUBLIC_WORKSPACE 1U   /* workspace id of requests on public routes */

/* What one turn of the event loop did, and the time that its parts took in microseconds. */
typedef struct turn_stats {
	unsigned int accepted; /* connections of callers */
	unsigned int requests;
	unsigned int callers_gone; /* during their call */
	uint64_t accept_time;
	uint64_t placement_time; /* messages of peers and the decisions that follow */
} turn_stats_t;

/* Bounds that end an exchange because of what its endpoint has sent. */
typedef enum response_bound {
	BOUND_HEAD,	/* of the response's head */
	BOUND_OVERHEAD, /* of bytes that belong to no body */
	BOUND_EVENT,	/* of one event of a stream */
	BOUND_BODY,	/* of the response's body */
	BOUND_MEMORY,	/* of what all exchanges hold together */
	BOUND_COUNT,
} response_bound_t;

struct gateway {
	const gateway_settings_t *settings;
	const adapter_t *adapter;
	const header_names_t *header_names;
	uv_loop_t loop;
	uv_prepare_t prepare;
	uv_timer_t tick;
	uv_signal_t signals[3];
	loop_watch_t *loop_watch;
	turn_stats_t turn;
	overload_t overload;
	listener_t *callers;
	listener_t *ready;
	listener_t *metrics;
	table_watch_t *catalog_watch;
	table_watch_t *endpoint_watch;
	store_readers_t *store_readers;
	bool reads_store;	       /* follows the tables itself, see store_readers.h */
	store_state_t catalog_state;   /* of the table, by this router's own reads */
	store_state_t endpoints_state; /* likewise */
	store_state_t roster_state;    /* likewise */
	instant_t roster_refresh_at; /* when the roster is listed if unknown peers remain; else 0 */
	bool saw_unknown_peer;	     /* one tried to connect shortly before then */
	instant_t store_reading_due; /* when it is looked at again */
	catalog_t *catalog;
	endpoint_registry_t *endpoint_registry;
	row_cache_t *row_cache;
	evacuations_t *evacuations;
	evacuation_rows_t *evacuation_rows;
	unsigned int applied_router_count; /* fleet size of the last gateway_apply_fleet_size() */
	instant_t endpoints_loaded_at;	   /* the time of the first one, 0: none yet */
	bool endpoints_loaded;	     /* a full listing was received, from the store or a peer */
	instant_t lapse_grace_until; /* endpoints whose rows disappear are kept until then */
	part_watch_t *part_watch;
	origin_lookup_t *origin_lookup;
	origin_fleet_t origin_fleet;
	lane_log_t lane_log;
	steer_log_t steer_log;
	first_token_histogram_t first_tokens;
	instant_t origin_fleet_due; /* when it is looked at again */
	peers_t *peers;
	roster_t *roster;
	table_watch_t *roster_watch;
	char public_key[PEER_KEY_SIZE];
	char secret_key[PEER_KEY_SIZE];
	uint64_t incarnation;
	GHashTable *typical_times_left; /* route name -> double; see gateway_typical_time_left() */
	bool engines_outdated;		/* update_engines() is due */
	endpoint_connection_options_t connection_options;
	unsigned int open_connections; /* to endpoints */
	buffer_pool_t buffers;	       /* parts of responses that are held, of all exchanges */
	request_room_t room;	       /* what the requests of all callers hold */
	uint64_t bounds_exceeded[BOUND_COUNT];
	uint64_t malformed_responses;
	retry_budget_options_t budget_options;
	GHashTable *retry_budgets; /* service id -> retry_budget_t */
	struct cds_list_head calls;
	unsigned int call_count;
	bool stopping;
	instant_t stop_began;
	instant_t stop_at;		 /* when the planned stop ends the calls that still run */
	unsigned int calls_ended;	 /* calls that the planned stop had to end early */
	uint64_t outcomes[REASON_COUNT]; /* finished calls */
	uint64_t store_era;		 /* of the newest listing of the catalog's table */
	uint64_t store_losses;		 /* times that a table watch lost the store */
};

/* Starts all parts; on failure, logs the reason and returns NULL. */
gateway_t *gateway_new(const gateway_settings_t *settings);
/*
 * Runs until a planned stop is complete and this router's roster row is removed.  Returns the
 * number of calls that the stop had to end early.
 */
unsigned int gateway_run(gateway_t *this);
void gateway_delete(gateway_t *this);

/*
 * Whether to accept a call with this deadline.  Late in a planned stop, only calls whose
 * deadline is before the end of the stop are accepted.
 */
bool gateway_accepts_call(const gateway_t *this, instant_t now, instant_t deadline);
/* Number of routers that share the fleet's work, this one included. */
unsigned int gateway_router_count(const gateway_t *this);
/*
 * True once the catalog, the endpoints and the evacuations are loaded, until a planned stop begins;
 * false also while an overloaded router asks for no new connections.
 */
bool gateway_is_ready(const gateway_t *this);
void gateway_add_call(gateway_t *this, call_t *call);
void gateway_remove_call(gateway_t *this, call_t *call);
/* The service's retry budget, created at first use. */
retry_budget_t *gateway_retry_budget(gateway_t *this, id_t32 service);
/*
 * The remaining time that callers on the route typically state with their first attempt, in
 * ms, for the caller to read and update; 0: unknown yet.
 */
double *gateway_typical_time_left(gateway_t *this, const catalog_route_t *route);
void gateway_count_outcome(gateway_t *this, reason_t reason);
/* gateway_roster.c: the rows of the other routers, from the store or from a peer. */
extern const table_watch_ops_t gateway_roster_ops;
void gateway_handle_peer_roster(gateway_t *this, const GArray *rows, store_version_t version);
/*
 * A router that is not in the roster yet may have tried to connect.  Its row arrives in a moment,
 * from the store or from a reader; lists the table only if it does not.
 */
void gateway_update_roster_refresh(gateway_t *this, instant_t now);
/* Whether the version is of a newer era than the table's rows. */
bool gateway_is_newer_era(const gateway_t *this, cached_table_t table, store_version_t version);
/* gateway_store.c: starts to watch the store's tables and adds this router to the roster. */
void gateway_watch_store(gateway_t *this);
/*
 * Adapts to the current number of routers: how often the store is read, and this router's
 * share of the retry allowance and of the endpoints' connections.
 */
void gateway_apply_fleet_size(gateway_t *this);
/* gateway_evacuation.c: logs the evacuations of failure domains and applies them to the endpoints.
 */
evacuation_rows_t *gateway_new_evacuation_rows(gateway_t *this);
/* Follows the store's tables itself or not, as the readers of its failure domain make needful. */
void gateway_update_store_reading(gateway_t *this, instant_t now);
/* Handles a listing of the endpoints' table at once. */
void gateway_handle_endpoint_table(void *ctx, const GArray *rows, store_version_t version);
/*
 * Gives the placement the engines that follow from the catalog and the endpoint registry, if
 * either has changed.
 */
void gateway_update_engines(gateway_t *this);
/* Handles rows that were requested from a peer as if they came from the store. */
void gateway_handle_peer_rows(void *ctx, cached_table_t table, const GArray *rows);
const char *response_bound_name(response_bound_t bound);
/* Answers /metrics with the metrics and every other path with the readiness. */
extern const caller_ops_t gateway_status_ops;
/* Appends metrics in the text exposition format. */
void gateway_write_metrics(const gateway_t *this, GString *out);

#endif
