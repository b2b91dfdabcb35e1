#ifndef DAEMON_DECIDER_H
#define DAEMON_DECIDER_H
/*
 * decider - the one thread that runs a node
 *
 * Request threads hand it tickets and wait on the ticket's eventfd; the peer
 * socket belongs to it.  It never blocks on anything but its own poll.
 */
#include "core/node.h"
#include "edge/peer_socket.h"
#include "settings/fleet_text.h"
#include "settings/router_settings.h"

/* A request's place with the decider. It is the decider's to free once ended. */
typedef struct ticket {
	node_request_t node;
	int decided_fd; /* readable when the fields below are set */
	bool started;
	id_t32 replica;
	reason_t reason;
	unsigned int retry_after_s;
} ticket_t;

typedef struct member_view {
	id_t32 id;
	uint64_t incarnation;
	bool alive;
} member_view_t;

typedef struct decider_options {
	const router_settings_t *settings;
	uint64_t incarnation;
	uint64_t seed;
	/* A router told of fleet text `version`; called in the deciding thread. */
	void (*on_version)(void *ctx, uint64_t version);
	void *ctx;
} decider_options_t;

typedef struct decider decider_t;

decider_t *decider_new(const decider_options_t *options);
/* Ends the thread; every ticket must be over. */
void decider_delete(decider_t *this);

ticket_t *ticket_new(void);
/* Hands over a ticket whose node part is filled in. */
void decider_arrive(decider_t *this, ticket_t *ticket);
/* Asks for a decision at once; one still follows on the eventfd. */
void decider_cancel(decider_t *this, ticket_t *ticket);
void decider_progress(decider_t *this, ticket_t *ticket, uint32_t cost, double pace);
/* Gives the ticket up; it must not be touched afterwards. */
void decider_end(decider_t *this, ticket_t *ticket, end_kind_t kind, uint32_t cost);
/* Gives up a ticket that was rejected. */
void decider_discard(decider_t *this, ticket_t *ticket);

/* Takes a reference of its own. */
void decider_set_text(decider_t *this, fleet_text_t *text);
void decider_set_leaving(decider_t *this, id_t32 replica, bool leaving);
void decider_set_listed_gone(decider_t *this, id_t32 router, bool gone);
void decider_load_report(decider_t *this, id_t32 replica, unsigned int running);
void decider_cut(decider_t *this, id_t32 peer, bool cut);
void decider_stop_planned(decider_t *this);

/* True when the router `id` lives in that incarnation, as far as is known. */
bool decider_is_alive(decider_t *this, id_t32 id, uint64_t incarnation);
/* Appends JSON members that describe the node; waits for the deciding thread. */
void decider_status(decider_t *this, GString *out);
/* Appends metrics in the text exposition format. */
void decider_metrics(decider_t *this, GString *out);

#endif
