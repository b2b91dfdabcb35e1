#ifndef GATEWAY_PEERS_H
#define GATEWAY_PEERS_H
/*
 * peers - exchanges messages with the other routers: connects roster, socket and placement
 *
 * Used by the loop's thread only.
 */
#include <uv.h>

#include "core/origin_keeper.h"
#include "core/part_watch.h"
#include "core/placement.h"
#include "core/store_readers.h"
#include "edge/peer_socket.h"
#include "gateway/row_gossip.h"

typedef struct peers peers_t;

typedef struct peers_options {
	uv_loop_t *loop;
	const char *name;
	const char *failure_domain;
	const char *address;
	const char *public_key;
	const char *secret_key;
	uint64_t incarnation;
	uint64_t seed;
	scheduler_options_t scheduler;
	row_gossip_options_t gossip;
	/* See placement_options_t. */
	void (*on_rate_limit)(void *ctx, id_t32 engine, uint32_t rate, uint32_t before);
	void (*on_warm_up)(void *ctx, id_t32 engine, const warm_up_t *warm_up, instant_t now);
	void (*on_speed)(void *ctx, id_t32 engine, const engine_speed_report_t *speed);
	void *ctx;
	part_watch_t *part_watch;
	origin_keeper_t *origin_keeper;
	store_readers_t *store_readers;
} peers_options_t;

/* Returns NULL if the address can't be bound. */
peers_t *peers_new(const peers_options_t *options);
/* Closes the handles; the memory is freed when the loop runs next. */
void peers_delete(peers_t *this);

placement_t *peers_placement(peers_t *this);
/* See row_gossip_set_only_source(). */
void peers_set_only_source(peers_t *this, bool only_source);
/* Number of links to other routers that were renewed, as they were silent. */
uint64_t peers_links_renewed(const peers_t *this);
/* Handles another router's row of the roster: adds, updates or unlists the peer. */
void peers_handle_row(peers_t *this, const store_row_t *row);
/* Handles all messages that have arrived; has to be called in each turn of the loop. */
void peers_receive(peers_t *this, instant_t now);
/* Runs the placement and sends the messages that are due. */
void peers_step(peers_t *this, instant_t now);
/* True if an unknown peer, whose key is not in the roster, tried to connect since the last call. */
bool peers_saw_unknown_peer(peers_t *this);

#endif
