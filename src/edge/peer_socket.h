#ifndef EDGE_PEER_SOCKET_H
#define EDGE_PEER_SOCKET_H
/*
 * peer_socket - messages between routers over ZeroMQ with CURVE
 *
 * Each router binds one PULL socket and connects one PUSH socket to each peer.
 * A key that is not among the peers' is refused, and a message whose `from`
 * is not the owner of the key is dropped by the caller (see `sender`).
 * Nothing is queued for a peer that is not connected; queues are short and
 * never linger.  All calls are made from one thread.
 */
#include "core/types.h"

typedef struct peer_socket peer_socket_t;

typedef struct peer_address {
	id_t32 id;
	const char *address;	/* ip:port */
	const char *public_key; /* Z85 */
} peer_address_t;

typedef struct peer_socket_options {
	const char *bind_address;
	const char *public_key;
	const char *secret_key;
	const peer_address_t *peers; /* may be NULL: see peer_socket_add() */
	unsigned int peer_count;
} peer_socket_options_t;

#define PEER_SOCKET_FDS 2

typedef struct peer_socket_stats {
	uint64_t sent;
	uint64_t sent_bytes; /* payload */
	uint64_t received;
	uint64_t received_bytes;
	uint64_t not_sent; /* no connection, or its queue was full */
	uint64_t refused_keys;
	uint64_t wire_bytes; /* kernel's count over the open connections, both ways, with headers */
	uint64_t wire_segments; /* likewise */
} peer_socket_stats_t;

/* NULL when the address can't be bound. */
peer_socket_t *peer_socket_new(const peer_socket_options_t *options);
void peer_socket_delete(peer_socket_t *this);

/*
 * Adds a peer, or connects anew to one whose address or key changed; returns
 * its index, -1 when the key is none.  Peers of the options have the first indices.
 */
int peer_socket_add(peer_socket_t *this, const peer_address_t *peer);
/* Descriptors that become readable when something may have come. */
void peer_socket_fds(peer_socket_t *this, int fds[PEER_SOCKET_FDS]);
/* `peer` is an index. */
bool peer_socket_send(peer_socket_t *this, unsigned int peer, const char *data, size_t size);
/* The next message, false when none waits; `sender` is who owns its key. */
bool peer_socket_receive(
	peer_socket_t *this, char *buffer, size_t size, size_t *received, id_t32 *sender);
/* A peer whose connection broke since the last call; false when there is none. */
bool peer_socket_next_broken(peer_socket_t *this, unsigned int *peer);
/* Sleeps until a message, `fd` readable, or `timeout` microseconds. */
void peer_socket_wait(peer_socket_t *this, int fd, uint64_t timeout);
/* Stops or resumes the exchange with one peer; for tests of network partitions. */
void peer_socket_cut(peer_socket_t *this, unsigned int peer, bool cut);
/* How often a key that is nobody's was refused. */
uint64_t peer_socket_refused(const peer_socket_t *this);
const peer_socket_stats_t *peer_socket_stats(peer_socket_t *this);
/* Makes a key pair in Z85; each buffer holds 41 bytes. */
bool peer_socket_keygen(char *public_key, char *secret_key);

#endif
