#ifndef DAEMON_NODE_THREAD_H
#define DAEMON_NODE_THREAD_H
/*
 * node_thread - the thread that runs this router's node
 *
 * Request threads submit tickets and wait on the ticket's eventfd for the
 * decision.  The thread owns the node and the peer socket, and blocks only in
 * its own poll.  All functions here may be called from any thread.
 */
#include "core/node.h"
#include "edge/peer_socket.h"
#include "settings/fleet_config.h"
#include "settings/router_settings.h"

/*
 * A request that was submitted to the node thread, and the decision on it.  The node thread frees
 * the ticket after node_thread_end() or node_thread_discard().
 */
typedef struct ticket {
	node_request_t node;
	int decided_fd; /* eventfd, readable once the fields below are set */
	bool started;	/* false: rejected or cancelled, see `reason` */
	id_t32 replica; /* where to send the request if started */
	reason_t reason;
	unsigned int retry_after_s;
} ticket_t;

/* A router as the node's membership view last showed it. */
typedef struct member_view {
	id_t32 id;
	uint64_t incarnation;
	bool alive;
} member_view_t;

typedef struct node_thread_options {
	const router_settings_t *settings;
	uint64_t incarnation;
	uint64_t seed;
	/* Called in the node thread when a peer reports fleet configuration `version`. */
	void (*on_peer_version)(void *ctx, uint64_t version);
	void *ctx;
} node_thread_options_t;

typedef struct node_thread node_thread_t;

node_thread_t *node_thread_new(const node_thread_options_t *options);
/* Ends the thread; every ticket must have been ended or discarded. */
void node_thread_delete(node_thread_t *this);

ticket_t *ticket_new(void);
/* Submits a ticket whose pool, workspace, hint, prefix and deadline are set in `node`. */
void node_thread_submit(node_thread_t *this, ticket_t *ticket);
/* Cancels a waiting request; the eventfd still signals, with this or an earlier decision. */
void node_thread_cancel(node_thread_t *this, ticket_t *ticket);
/* A running request has cost `cost` so far; `pace` is in microseconds per unit, 0 if unknown. */
void node_thread_report_progress(node_thread_t *this, ticket_t *ticket, uint32_t cost, double pace);
/* Ends a started request and frees the ticket, which must not be used afterwards. */
void node_thread_end(node_thread_t *this, ticket_t *ticket, request_end_t kind, uint32_t cost);
/* Frees the ticket of a rejected or cancelled request. */
void node_thread_discard(node_thread_t *this, ticket_t *ticket);

/* Takes its own reference to the configuration. */
void node_thread_set_config(node_thread_t *this, fleet_config_t *config);
/* Marks an endpoint as leaving: it gets no new requests. */
void node_thread_set_leaving(node_thread_t *this, id_t32 replica, bool leaving);
/* Reports to the node whether the platform's instance list has dropped the router. */
void node_thread_set_unlisted(node_thread_t *this, id_t32 router, bool unlisted);
/* Reports how many requests a replica said it was running. */
void node_thread_report_load(node_thread_t *this, id_t32 replica, unsigned int running);
/* Stops or resumes the exchange with a peer, for failure drills; peer 0 means all. */
void node_thread_cut_peer(node_thread_t *this, id_t32 peer, bool cut);
/* Starts a planned stop: the node gives up what it owns and finishes its requests. */
void node_thread_drain(node_thread_t *this);

/* True if the membership view shows the router alive and in this incarnation. */
bool node_thread_router_is_alive(node_thread_t *this, id_t32 id, uint64_t incarnation);
/* Appends JSON members that describe the node; waits for the node thread to write them. */
void node_thread_append_status(node_thread_t *this, GString *out);
/* Appends metrics in the text exposition format; waits for the node thread to write them. */
void node_thread_append_metrics(node_thread_t *this, GString *out);

#endif
