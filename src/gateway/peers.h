#ifndef GATEWAY_PEERS_H
#define GATEWAY_PEERS_H
/*
 * peers - the gateway's talk with the other routers: roster, socket, placement
 *
 * Belongs to the loop's thread.
 */
#include <uv.h>

#include "core/placement.h"
#include "edge/peer_socket.h"
#include "gateway/news.h"

typedef struct peers peers_t;

typedef struct peers_options {
	uv_loop_t *loop;
	const char *name;
	const char *address;
	const char *public_key;
	const char *secret_key;
	uint64_t incarnation;
	uint64_t seed;
	scheduler_options_t scheduler;
	news_options_t news;
} peers_options_t;

/* NULL when the address can't be bound. */
peers_t *peers_new(const peers_options_t *options);
/* Closes its handles; the memory goes when the loop has run once more. */
void peers_delete(peers_t *this);

placement_t *peers_placement(peers_t *this);
/* Another router's row of the roster. */
void peers_take_row(peers_t *this, const store_row_t *row);
/* Takes what came, decides, and sends what is due. */
void peers_step(peers_t *this, instant_t now);
/* A router whose key the roster does not have yet tried to connect, since the last call. */
bool peers_saw_stranger(peers_t *this);

#endif
