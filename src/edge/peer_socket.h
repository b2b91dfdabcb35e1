#ifndef EDGE_PEER_SOCKET_H
#define EDGE_PEER_SOCKET_H
/*
 * peer_socket - messages between routers over ZeroMQ with CURVE encryption
 *
 * Each router binds one PULL socket and connects one PUSH socket to each peer.
 * A connection whose key is not that of a known peer is refused.
 * peer_socket_receive() gives the id of the peer that owns the connection's
 * key; the caller must drop a message whose `from` is another id.  Messages to
 * a peer that is not connected are not queued; queues are short, and closing a
 * socket discards what is left in them.  A connection whose bytes stay unacknowledged, or
 * whose keepalive probes stay unanswered, is closed after a few seconds.  All calls must be made
 * from one thread.
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
	const peer_address_t *peers; /* may be NULL; see peer_socket_add() */
	unsigned int peer_count;
} peer_socket_options_t;

#define PEER_SOCKET_FDS 2

typedef struct peer_socket_stats {
	uint64_t sent;
	uint64_t sent_bytes; /* payload */
	uint64_t received;
	uint64_t received_bytes; /* payload */
	uint64_t not_sent;	 /* peer not connected or cut off, or its queue was full */
	uint64_t refused_keys;	 /* connections refused because of an unknown key */
	/* The kernel's TCP counters, summed over the open connections in both directions. */
	uint64_t wire_bytes; /* with an estimate of the IP and TCP headers */
	uint64_t wire_segments;
} peer_socket_stats_t;

/* NULL when the address can't be bound or one of `peers` can't be added. */
peer_socket_t *peer_socket_new(const peer_socket_options_t *options);
void peer_socket_delete(peer_socket_t *this);

/*
 * Adds a peer, or reconnects to one whose address or key changed.  Returns its
 * index; -1 if the key is invalid, the table of peers is full or the address
 * can't be used.  The peers given in the options have the first indices.
 */
int peer_socket_add(peer_socket_t *this, const peer_address_t *peer);
/* Opens a new connection to the peer with index `peer`, and closes the present one. */
bool peer_socket_renew(peer_socket_t *this, unsigned int peer);
/*
 * Gives descriptors for the caller's event loop.  When one becomes readable,
 * peer_socket_receive() must be called until it returns false, since ZeroMQ
 * signals only new events on them.
 */
void peer_socket_fds(peer_socket_t *this, int fds[PEER_SOCKET_FDS]);
/* Sends without blocking to the peer with index `peer`; false when not sent. */
bool peer_socket_send(peer_socket_t *this, unsigned int peer, const char *data, size_t size);
/*
 * Receives the next message, without blocking; false when there is none.
 * `sender` is the id of the peer that owns the connection's key.  Also answers
 * pending key checks of new connections.
 */
bool peer_socket_receive(
	peer_socket_t *this, char *buffer, size_t size, size_t *received, id_t32 *sender);
/*
 * Gives the index of a peer whose outgoing connection was lost and that was not
 * reported since; false when there is none.
 */
bool peer_socket_next_disconnected(peer_socket_t *this, unsigned int *peer);
/* Waits until a message or a key check is pending, `fd` is readable or `timeout` us have passed. */
void peer_socket_wait(peer_socket_t *this, int fd, uint64_t timeout);
/* Drops all messages to and from a peer while `cut` is set; for tests of network partitions. */
void peer_socket_set_cut(peer_socket_t *this, unsigned int peer, bool cut);
/* The counter refused_keys alone, without updating the statistics of connections. */
uint64_t peer_socket_refused_keys(const peer_socket_t *this);
/* Updates and returns the statistics. */
const peer_socket_stats_t *peer_socket_stats(peer_socket_t *this);
/* Generates a key pair in Z85; each buffer must have room for 41 bytes. */
bool peer_socket_keygen(char *public_key, char *secret_key);

#endif
