#ifndef GATEWAY_ROW_GOSSIP_H
#define GATEWAY_ROW_GOSSIP_H
/*
 * row_gossip - exchanges rows of the store between routers
 *
 * A message to a peer contains the newest known version of each table whose
 * version changed since the last message.  If a router is behind a peer's
 * version for a short time, or does not read the store itself, it requests the newer rows from that
 * peer, one peer at a time.  So a
 * router that the store refuses, or that restarted during a store outage, still
 * gets the rows that the others have.  The rows of one request are delivered together, once
 * all have arrived: if they are of a newer era, they are the full table.
 */
#include "core/placement.h"
#include "edge/entry_codec.h"
#include "gateway/row_cache.h"

typedef struct row_gossip row_gossip_t;

typedef struct row_gossip_options {
	const row_cache_t *row_cache;
	id_t32 self; /* of this router */
	/* Called with the rows that a peer has newer versions of, store_row_t, at least one. */
	void (*on_rows)(void *ctx, cached_table_t table, const GArray *rows);
	void *ctx;
} row_gossip_options_t;

row_gossip_t *row_gossip_new(const row_gossip_options_t *options);
void row_gossip_delete(row_gossip_t *this);

/* Whether rows come from peers only, as this router does not read the store; false at first. */
void row_gossip_set_only_source(row_gossip_t *this, bool only_source);
/* Handles a row version, row request or row chunk from the peer in `slot`. */
void row_gossip_handle_entry(
	row_gossip_t *this, unsigned int slot, const message_entry_t *entry, instant_t now);
/* Resets what is known of the peer in `slot`, which has restarted. */
void row_gossip_reset_peer(row_gossip_t *this, unsigned int slot);
/* Tells the peer in `slot` the newest versions again: messages to it were lost. */
void row_gossip_repeat_versions(row_gossip_t *this, unsigned int slot);
/*
 * Adds the versions, requests and rows that are due for the peer in `slot` to the message; true
 * if rows are left for another message.
 */
bool row_gossip_write(row_gossip_t *this, unsigned int slot, entry_writer_t *writer, instant_t now);
/*
 * True if requests or rows are due for the peer in `slot`, or versions that are told `at_once`;
 * else versions go out with the next message.
 */
bool row_gossip_is_due(const row_gossip_t *this, unsigned int slot, bool at_once, instant_t now);

#endif
