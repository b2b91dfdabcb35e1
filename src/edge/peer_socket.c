#include "edge/peer_socket.h"

#include <glib.h>
#include <netinet/in.h>
#include <linux/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define QUEUE_LIMIT 64 /* messages queued to each peer */
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 1000
#define CONNECT_TIMEOUT_MS 1000 /* an attempt that gets no answer is repeated */
#define MAX_MESSAGE 65536
#define HANDSHAKE_TIMEOUT_MS 5000
/* Until a connection is closed whose bytes the peer's host does not acknowledge. */
#define SILENCE_TIMEOUT_MS 3000
#define KEEPALIVE_INTERVAL_S 1 /* of probes, after as much time without any segment */
#define KEEPALIVE_PROBES 2
#define KEY_SIZE 32
#define Z85_KEY_SIZE 41
#define ZAP_ENDPOINT "inproc://zeromq.zap.01" /* of the ZeroMQ Authentication Protocol */
#define ZAP_FRAMES 16
#define MAX_ACCEPTED 1024
#define HEADER_BYTES 52 /* IPv4 and TCP headers with the timestamp option */

typedef struct peer_connection {
	peer_address_t address;
	uint8_t key[KEY_SIZE];
	void *push;
	void *monitor;
	int monitor_fd;
	bool monitor_pending;
	int fd;		   /* -1 while not connected */
	bool disconnected; /* not yet returned by peer_socket_next_disconnected() */
	bool cut;	   /* see peer_socket_set_cut() */
} peer_connection_t;

#define MAX_PEERS 1024

struct peer_socket {
	void *context;
	void *pull;
	void *zap;
	void *monitor; /* events of incoming connections */
	/*
	 * ZeroMQ's descriptors of the sockets.  One that is not readable has nothing new: looking
	 * at all of them takes one system call, an attempt to receive takes several each.
	 */
	int pull_fd;
	int zap_fd;
	int monitor_fd;
	/* Not received to the end since the descriptor was readable, or since the start. */
	bool pull_pending;
	bool zap_pending;
	bool monitor_pending;
	int accepted[MAX_ACCEPTED]; /* descriptors of incoming connections */
	unsigned int accepted_count;
	peer_connection_t connections[MAX_PEERS];
	unsigned int count;
	unsigned int monitors; /* opened so far; makes their endpoint names unique */
	char *public_key;
	char *secret_key;
	peer_socket_stats_t stats;
};

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_common_options(void *socket)
{
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, QUEUE_LIMIT);
	set_int(socket, ZMQ_RCVHWM, QUEUE_LIMIT * 4);
	set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	set_int(socket, ZMQ_TCP_MAXRT, SILENCE_TIMEOUT_MS);
	set_int(socket, ZMQ_TCP_KEEPALIVE, 1);
	set_int(socket, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_INTERVAL_S);
	set_int(socket, ZMQ_TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S);
	set_int(socket, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES);
}

static int poll_fd(void *socket)
{
	size_t size = sizeof(int);
	int fd = -1;

	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	return fd;
}

/* Opens a socket that reports when connections of `socket` are opened and closed. */
static void *open_monitor(peer_socket_t *this, void *socket)
{
	char *endpoint = g_strdup_printf("inproc://monitor-%u", this->monitors++);
	void *monitor = zmq_socket(this->context, ZMQ_PAIR);

	set_int(monitor, ZMQ_LINGER, 0);
	zmq_socket_monitor(socket, endpoint,
		ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_CONNECTED | ZMQ_EVENT_ACCEPTED |
			ZMQ_EVENT_DISCONNECTED);
	zmq_connect(monitor, endpoint);
	g_free(endpoint);
	return monitor;
}

static bool bind_pull(peer_socket_t *this, const peer_socket_options_t *options)
{
	char *endpoint = g_strdup_printf("tcp://%s", options->bind_address);
	int64_t max = MAX_MESSAGE;
	bool bound;

	this->pull = zmq_socket(this->context, ZMQ_PULL);
	this->monitor = open_monitor(this, this->pull);
	this->monitor_fd = poll_fd(this->monitor);
	set_common_options(this->pull);
	set_int(this->pull, ZMQ_CURVE_SERVER, 1);
	zmq_setsockopt(this->pull, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	zmq_setsockopt(this->pull, ZMQ_CURVE_SECRETKEY, options->secret_key,
		strlen(options->secret_key) + 1);
	bound = zmq_bind(this->pull, endpoint) == 0;
	g_free(endpoint);
	return bound;
}

static bool open_connection(peer_socket_t *this, peer_connection_t *connection)
{
	char *endpoint = g_strdup_printf("tcp://%s", connection->address.address);
	bool connected;

	connection->push = zmq_socket(this->context, ZMQ_PUSH);
	connection->monitor = open_monitor(this, connection->push);
	connection->monitor_fd = poll_fd(connection->monitor);
	connection->monitor_pending = true;
	connection->fd = -1;
	set_common_options(connection->push);
	set_int(connection->push, ZMQ_IMMEDIATE, 1);
	set_int(connection->push, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int(connection->push, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(connection->push, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	zmq_setsockopt(connection->push, ZMQ_CURVE_SERVERKEY, connection->address.public_key,
		Z85_KEY_SIZE);
	zmq_setsockopt(connection->push, ZMQ_CURVE_PUBLICKEY, this->public_key, Z85_KEY_SIZE);
	zmq_setsockopt(connection->push, ZMQ_CURVE_SECRETKEY, this->secret_key, Z85_KEY_SIZE);
	connected = zmq_connect(connection->push, endpoint) == 0;
	g_free(endpoint);
	return connected;
}

static void close_sockets(peer_connection_t *connection)
{
	if (!connection->push)
		return;
	zmq_socket_monitor(connection->push, NULL, 0);
	zmq_close(connection->push);
	zmq_close(connection->monitor);
}

static void close_connection(peer_connection_t *connection)
{
	close_sockets(connection);
	g_free((char *)connection->address.address);
	g_free((char *)connection->address.public_key);
	memset(connection, 0, sizeof(*connection));
}

static peer_connection_t *find_connection(peer_socket_t *this, id_t32 id)
{
	for (unsigned int i = 0; i < this->count; i++) {
		if (this->connections[i].address.id == id)
			return &this->connections[i];
	}
	return NULL;
}

int peer_socket_add(peer_socket_t *this, const peer_address_t *peer)
{
	peer_connection_t *connection = find_connection(this, peer->id);
	uint8_t key[KEY_SIZE];

	if (strlen(peer->public_key) != Z85_KEY_SIZE - 1 || !zmq_z85_decode(key, peer->public_key))
		return -1;
	if (connection && !strcmp(connection->address.address, peer->address) &&
		!memcmp(connection->key, key, sizeof(key)))
		return (int)(connection - this->connections);
	if (!connection && this->count == MAX_PEERS)
		return -1;
	if (connection)
		close_connection(connection);
	else
		connection = &this->connections[this->count++];
	connection->address =
		(peer_address_t){peer->id, g_strdup(peer->address), g_strdup(peer->public_key)};
	memcpy(connection->key, key, sizeof(key));
	return open_connection(this, connection) ? (int)(connection - this->connections) : -1;
}

bool peer_socket_renew(peer_socket_t *this, unsigned int peer)
{
	peer_connection_t *connection = &this->connections[peer];

	close_sockets(connection);
	connection->disconnected = false;
	return open_connection(this, connection);
}

void peer_socket_fds(peer_socket_t *this, int fds[PEER_SOCKET_FDS])
{
	fds[0] = this->pull_fd;
	fds[1] = this->zap_fd;
}

peer_socket_t *peer_socket_new(const peer_socket_options_t *options)
{
	peer_socket_t *this = g_new0(peer_socket_t, 1);

	this->context = zmq_ctx_new();
	this->zap = zmq_socket(this->context, ZMQ_REP);
	this->public_key = g_strdup(options->public_key);
	this->secret_key = g_strdup(options->secret_key);
	if (zmq_bind(this->zap, ZAP_ENDPOINT) || !bind_pull(this, options))
		goto fail;
	for (unsigned int i = 0; i < options->peer_count; i++) {
		if (peer_socket_add(this, &options->peers[i]) < 0)
			goto fail;
	}
	this->pull_fd = poll_fd(this->pull);
	this->zap_fd = poll_fd(this->zap);
	this->pull_pending = true;
	this->zap_pending = true;
	this->monitor_pending = true;
	return this;
fail:
	peer_socket_delete(this);
	return NULL;
}

void peer_socket_delete(peer_socket_t *this)
{
	if (!this)
		return;
	for (unsigned int i = 0; i < this->count; i++)
		close_connection(&this->connections[i]);
	if (this->pull) {
		zmq_socket_monitor(this->pull, NULL, 0);
		zmq_close(this->pull);
		zmq_close(this->monitor);
	}
	zmq_close(this->zap);
	zmq_ctx_term(this->context);
	g_free(this->public_key);
	g_free(this->secret_key);
	g_free(this);
}

bool peer_socket_send(peer_socket_t *this, unsigned int peer, const char *data, size_t size)
{
	peer_connection_t *connection = &this->connections[peer];

	if (connection->cut || zmq_send(connection->push, data, size, ZMQ_DONTWAIT) < 0) {
		this->stats.not_sent++;
		return false;
	}
	this->stats.sent++;
	this->stats.sent_bytes += size;
	return true;
}

/* Finds the peer whose key is the client key of a ZAP request, its frame 6. */
static const peer_connection_t *find_connection_by_key(
	const peer_socket_t *this, zmq_msg_t *frames, int count)
{
	if (count < 7 || zmq_msg_size(&frames[6]) != KEY_SIZE)
		return NULL;
	for (unsigned int i = 0; i < this->count; i++) {
		if (!memcmp(this->connections[i].key, zmq_msg_data(&frames[6]), KEY_SIZE))
			return &this->connections[i];
	}
	return NULL;
}

static int receive_frames(void *socket, zmq_msg_t *frames)
{
	int count = 0;

	do {
		zmq_msg_init(&frames[count]);
		if (zmq_msg_recv(&frames[count], socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frames[count]);
			return count;
		}
		count++;
	} while (zmq_msg_more(&frames[count - 1]) && count < ZAP_FRAMES);
	return count;
}

static void answer_zap_request(peer_socket_t *this, zmq_msg_t *frames, int count)
{
	const peer_connection_t *connection = find_connection_by_key(this, frames, count);
	char user[16] = "";

	if (connection)
		snprintf(user, sizeof(user), "%u", connection->address.id);
	else
		this->stats.refused_keys++;
	zmq_send(this->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(this->zap, zmq_msg_data(&frames[1]), zmq_msg_size(&frames[1]), ZMQ_SNDMORE);
	/*
	 * 300 (temporary error) makes the peer retry, since its key may be added
	 * later; after 400 it would stop connecting.
	 */
	zmq_send(this->zap, connection ? "200" : "300", 3, ZMQ_SNDMORE);
	zmq_send(this->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(this->zap, user, strlen(user), ZMQ_SNDMORE);
	zmq_send(this->zap, "", 0, 0);
}

/* Authenticates new connections: accepts only the keys of known peers. */
static void answer_zap_requests(peer_socket_t *this)
{
	zmq_msg_t frames[ZAP_FRAMES];
	int count;

	if (!this->zap_pending)
		return;
	this->zap_pending = false;
	while ((count = receive_frames(this->zap, frames)) > 0) {
		if (count >= 2)
			answer_zap_request(this, frames, count);
		for (int i = 0; i < count; i++)
			zmq_msg_close(&frames[i]);
	}
}

/* True also for an unknown sender: its messages are dropped, too. */
static bool is_sender_cut(const peer_socket_t *this, id_t32 sender)
{
	for (unsigned int i = 0; i < this->count; i++) {
		if (this->connections[i].address.id == sender)
			return this->connections[i].cut;
	}
	return true;
}

static void find_pending(peer_socket_t *this)
{
	struct pollfd fds[] = {
		{.fd = this->pull_fd, .events = POLLIN},
		{.fd = this->zap_fd, .events = POLLIN},
	};

	if (poll(fds, ARRAY_LEN(fds), 0) < 1)
		return;
	this->pull_pending |= fds[0].revents != 0;
	this->zap_pending |= fds[1].revents != 0;
}

bool peer_socket_receive(
	peer_socket_t *this, char *buffer, size_t size, size_t *received, id_t32 *sender)
{
	zmq_msg_t frame;
	const char *user;
	bool accepted_message = false;

	if (!this->pull_pending)
		find_pending(this);
	answer_zap_requests(this);
	if (!this->pull_pending)
		return false;
	while (!accepted_message) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, this->pull, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			this->pull_pending = false;
			return false;
		}
		user = zmq_msg_gets(&frame, "User-Id");
		*sender = user ? (id_t32)strtoul(user, NULL, 10) : 0;
		accepted_message = !zmq_msg_more(&frame) && zmq_msg_size(&frame) <= size &&
				   !is_sender_cut(this, *sender);
		if (accepted_message) {
			*received = zmq_msg_size(&frame);
			memcpy(buffer, zmq_msg_data(&frame), *received);
			this->stats.received++;
			this->stats.received_bytes += *received;
		}
		zmq_msg_close(&frame);
	}
	return true;
}

void peer_socket_wait(peer_socket_t *this, int fd, uint64_t timeout)
{
	zmq_pollitem_t items[] = {
		{.socket = this->pull, .events = ZMQ_POLLIN},
		{.socket = this->zap, .events = ZMQ_POLLIN},
		{.fd = fd, .events = ZMQ_POLLIN},
	};

	zmq_poll(items, ARRAY_LEN(items), (long)((timeout + 999) / 1000));
	/* zmq_poll() may have consumed the descriptors' signals. */
	this->pull_pending = true;
	this->zap_pending = true;
}

void peer_socket_set_cut(peer_socket_t *this, unsigned int peer, bool cut)
{
	this->connections[peer].cut = cut;
}

/* Reads a monitor's next event and its descriptor; false when there is none. */
static bool next_event(void *monitor, uint16_t *event, int *fd)
{
	uint8_t head[6];
	uint32_t value;

	if (zmq_recv(monitor, head, sizeof(head), ZMQ_DONTWAIT) != (int)sizeof(head))
		return false;
	zmq_recv(monitor, NULL, 0, ZMQ_DONTWAIT); /* frame with the endpoint address */
	memcpy(event, head, sizeof(*event));
	memcpy(&value, head + sizeof(*event), sizeof(value));
	*fd = (int)value;
	return true;
}

static void update_connection(peer_connection_t *connection)
{
	uint16_t event;
	int fd;

	connection->monitor_pending = false;
	while (next_event(connection->monitor, &event, &fd)) {
		connection->disconnected |= event == ZMQ_EVENT_DISCONNECTED;
		connection->fd = event == ZMQ_EVENT_DISCONNECTED ? -1 : fd;
	}
}

static void remove_accepted(peer_socket_t *this, int fd)
{
	for (unsigned int i = 0; i < this->accepted_count; i++) {
		if (this->accepted[i] == fd)
			this->accepted[i--] = this->accepted[--this->accepted_count];
	}
}

static void update_accepted(peer_socket_t *this)
{
	uint16_t event;
	int fd;

	this->monitor_pending = false;
	while (next_event(this->monitor, &event, &fd)) {
		remove_accepted(this, fd);
		if (event == ZMQ_EVENT_ACCEPTED && this->accepted_count < MAX_ACCEPTED)
			this->accepted[this->accepted_count++] = fd;
	}
}

/* Reads the events of the connections whose monitors have any. */
static void update_connections(peer_socket_t *this)
{
	struct pollfd fds[MAX_PEERS + 1];

	fds[0] = (struct pollfd){.fd = this->monitor_fd, .events = POLLIN};
	for (unsigned int i = 0; i < this->count; i++)
		fds[i + 1] =
			(struct pollfd){.fd = this->connections[i].monitor_fd, .events = POLLIN};
	poll(fds, this->count + 1, 0);
	if (this->monitor_pending || fds[0].revents)
		update_accepted(this);
	for (unsigned int i = 0; i < this->count; i++) {
		if (this->connections[i].monitor_pending || fds[i + 1].revents)
			update_connection(&this->connections[i]);
	}
}

bool peer_socket_next_disconnected(peer_socket_t *this, unsigned int *peer)
{
	update_connections(this);
	for (unsigned int i = 0; i < this->count; i++) {
		if (!this->connections[i].disconnected)
			continue;
		this->connections[i].disconnected = false;
		*peer = i;
		return true;
	}
	return false;
}

/* Adds the kernel's counters of one TCP connection. */
static void add_tcp_info(peer_socket_stats_t *stats, int fd)
{
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);
	uint64_t segments;

	if (fd < 0 || getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size))
		return;
	segments = (uint64_t)info.tcpi_segs_out + info.tcpi_segs_in;
	stats->wire_segments += segments;
	stats->wire_bytes +=
		info.tcpi_bytes_sent + info.tcpi_bytes_received + segments * HEADER_BYTES;
}

const peer_socket_stats_t *peer_socket_stats(peer_socket_t *this)
{
	update_connections(this);
	this->stats.wire_bytes = 0;
	this->stats.wire_segments = 0;
	for (unsigned int i = 0; i < this->accepted_count; i++)
		add_tcp_info(&this->stats, this->accepted[i]);
	for (unsigned int i = 0; i < this->count; i++)
		add_tcp_info(&this->stats, this->connections[i].fd);
	return &this->stats;
}

uint64_t peer_socket_refused_keys(const peer_socket_t *this)
{
	return this->stats.refused_keys;
}

bool peer_socket_keygen(char *public_key, char *secret_key)
{
	return zmq_curve_keypair(public_key, secret_key) == 0;
}
