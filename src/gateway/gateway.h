#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H
/*
 * gateway - one router's data path on an event loop: its parts, start and planned stop
 *
 * One thread runs the loop, the decisions (core/placement) and every connection;
 * the store is read by threads of its own (watch).
 */
#include <uv.h>

#include "gateway/adapter.h"
#include "gateway/call.h"
#include "gateway/gateway_settings.h"
#include "gateway/listener.h"
#include "gateway/peers.h"
#include "gateway/retry_budget.h"
#include "gateway/roster.h"
#include "gateway/watch.h"

#define NOT_READY_RETRY_S 0.5 /* a router that just started has its catalog by then */
#define STOPPING_RETRY_S 0.1  /* another router serves at once */
#define REFUSED_RETRY_S 0.2   /* endpoints that refused have made room by then */
#define PEER_KEY_SIZE 41      /* bytes of a key in Z85, with its end */
#define PUBLIC_WORKSPACE 1U   /* id under which requests without a workspace are counted */

struct gateway {
	const gateway_settings_t *settings;
	const adapter_t *adapter;
	const header_names_t *header_names;
	uv_loop_t loop;
	uv_prepare_t prepare;
	uv_timer_t tick;
	uv_signal_t signals[3];
	listener_t *callers;
	listener_t *ready;
	listener_t *metrics;
	watch_t *catalog_watch;
	watch_t *endpoint_watch;
	catalog_t *catalog;
	directory_t *directory;
	rowbook_t *book;
	unsigned int fitted_routers; /* routers that gateway_fit_fleet() knows of */
	bool directory_known;	     /* a whole listing was read */
	instant_t lapse_grace_until; /* registrations that vanish before it may return */
	peers_t *peers;
	roster_t *roster;
	watch_t *roster_watch;
	char public_key[PEER_KEY_SIZE];
	char secret_key[PEER_KEY_SIZE];
	uint64_t incarnation;
	GHashTable *usual_times; /* route name -> double, ms */
	bool plan_due;
	endpoint_connection_options_t link_options;
	unsigned int links;
	retry_budget_options_t budget_options;
	GHashTable *budgets; /* service id -> retry_budget_t */
	struct cds_list_head calls;
	unsigned int call_count;
	bool stopping;
	instant_t stop_began;
	instant_t stop_at; /* of a planned stop: what still runs is ended then */
	unsigned int left; /* calls that the planned stop had to end */
	uint64_t outcomes[REASON_COUNT];
	uint64_t store_losses;
};

/* Starts everything; NULL with a log line saying what failed. */
gateway_t *gateway_new(const gateway_settings_t *settings);
/* Runs until a planned stop is over and the roster is left; returns the calls that it had to end.
 */
unsigned int gateway_run(gateway_t *this);
void gateway_delete(gateway_t *this);

/* False late in a planned stop for what might not be over in time. */
bool gateway_takes_work(const gateway_t *this, instant_t now, instant_t deadline);
/* Routers that share the fleet's work, this one included. */
unsigned int gateway_routers(const gateway_t *this);
bool gateway_is_ready(const gateway_t *this);
void gateway_add_call(gateway_t *this, call_t *call);
void gateway_drop_call(gateway_t *this, call_t *call);
retry_budget_t *gateway_budget(gateway_t *this, id_t32 service);
/* The time left that callers on the route usually tell of at first, ms; 0: not known yet. */
double *gateway_usual_time(gateway_t *this, const catalog_route_t *route);
void gateway_count_outcome(gateway_t *this, reason_t reason);
/* gateway_news.c: begins to follow the store's tables, and joins the roster. */
void gateway_follow_store(gateway_t *this);
/* Takes over how many routers there are: pace of asking the store, shares of what they share. */
void gateway_fit_fleet(gateway_t *this);
/* A row that a peer told is as good as what the store tells. */
void gateway_take_peer_row(void *ctx, book_table_t table, const store_row_t *row, bool last);
/* Appends metrics in the text exposition format. */
void gateway_metrics(const gateway_t *this, GString *out);

#endif
