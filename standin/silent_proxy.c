#include "standin/silent_proxy.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "settings/address.h"

#define BUFFER_SIZE 16384
#define LISTEN_BACKLOG 128
#define POLL_MS 10 /* between two looks for a silence that was requested */

typedef struct proxied_connection {
	int fds[2]; /* of the client and of the target; -1: closed */
	int silent; /* silent_direction_t, or 0 */
} proxied_connection_t;

struct silent_proxy {
	int fd;
	char address[32];
	char *target;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t silence_applied;
	/* Guarded by the lock. */
	int silence_requested;	 /* silent_direction_t, or 0 */
	unsigned long forwarded; /* bytes to the target */
	bool quit;
	GArray *connections; /* proxied_connection_t; of the thread alone */
};

static struct sockaddr_in parse_address(const char *address)
{
	struct sockaddr_in result = {.sin_family = AF_INET};
	char ip[INET_ADDRSTRLEN];
	uint16_t port = 0;

	if (!address_parse(address, ip, sizeof(ip), &port))
		abort();
	inet_pton(AF_INET, ip, &result.sin_addr);
	result.sin_port = htons(port);
	return result;
}

static void close_connection(const proxied_connection_t *connection)
{
	for (unsigned int side = 0; side < 2; side++) {
		if (connection->fds[side] >= 0)
			close(connection->fds[side]);
	}
}

static void accept_connection(silent_proxy_t *this)
{
	struct sockaddr_in target = parse_address(this->target);
	proxied_connection_t connection = {
		.fds = {accept(this->fd, NULL, NULL), socket(AF_INET, SOCK_STREAM, 0)},
	};

	if (connection.fds[0] < 0 ||
		connect(connection.fds[1], (struct sockaddr *)&target, sizeof(target))) {
		close_connection(&connection);
		return;
	}
	g_array_append_val(this->connections, connection);
}

static bool send_all(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t n = send(fd, data, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		size -= (size_t)n;
	}
	return true;
}

/* Forwards what can be read from one side; false when the connection has ended. */
static bool forward(silent_proxy_t *this, proxied_connection_t *connection, unsigned int side)
{
	int drops = side == 0 ? SILENT_TO_TARGET : SILENT_FROM_TARGET;
	char buffer[BUFFER_SIZE];
	ssize_t size = recv(connection->fds[side], buffer, sizeof(buffer), 0);

	if (size <= 0 && !(connection->silent & drops))
		return false;
	if (size <= 0) {
		/* The other side of a silent connection does not learn of its end. */
		close(connection->fds[side]);
		connection->fds[side] = -1;
	}
	if (connection->silent & drops)
		return true;
	if (side == 0) {
		pthread_mutex_lock(&this->lock);
		this->forwarded += (unsigned long)size;
		pthread_mutex_unlock(&this->lock);
	}
	return send_all(connection->fds[!side], buffer, (size_t)size);
}

static bool apply_requests(silent_proxy_t *this)
{
	int silence;
	bool quit;

	pthread_mutex_lock(&this->lock);
	silence = this->silence_requested;
	for (unsigned int i = 0; i < this->connections->len; i++)
		g_array_index(this->connections, proxied_connection_t, i).silent |= silence;
	this->silence_requested = 0;
	pthread_cond_broadcast(&this->silence_applied);
	quit = this->quit;
	pthread_mutex_unlock(&this->lock);
	return !quit;
}

static void wait_and_forward(silent_proxy_t *this)
{
	unsigned int count = this->connections->len;
	struct pollfd *fds = g_new0(struct pollfd, 2 * count + 1);

	fds[2 * count] = (struct pollfd){.fd = this->fd, .events = POLLIN};
	for (unsigned int i = 0; i < 2 * count; i++) {
		const proxied_connection_t *connection =
			&g_array_index(this->connections, proxied_connection_t, i / 2);

		fds[i] = (struct pollfd){.fd = connection->fds[i % 2], .events = POLLIN};
	}
	poll(fds, 2 * count + 1, POLL_MS);
	if (fds[2 * count].revents)
		accept_connection(this);
	/* From the end, as removing a connection moves those behind it. */
	for (unsigned int i = count; i-- > 0;) {
		proxied_connection_t *connection =
			&g_array_index(this->connections, proxied_connection_t, i);

		if ((fds[2 * i].revents && !forward(this, connection, 0)) ||
			(fds[2 * i + 1].revents && !forward(this, connection, 1))) {
			close_connection(connection);
			g_array_remove_index(this->connections, i);
		}
	}
	g_free(fds);
}

static void *run(void *ctx)
{
	silent_proxy_t *this = ctx;

	while (apply_requests(this))
		wait_and_forward(this);
	return NULL;
}

silent_proxy_t *silent_proxy_new(const char *target)
{
	return silent_proxy_new_at("127.0.0.1:0", target);
}

silent_proxy_t *silent_proxy_new_at(const char *listen_address, const char *target)
{
	silent_proxy_t *this = g_new0(silent_proxy_t, 1);
	struct sockaddr_in address = parse_address(listen_address);
	socklen_t size = sizeof(address);
	int reuse = 1;

	this->target = g_strdup(target);
	this->connections = g_array_new(FALSE, FALSE, sizeof(proxied_connection_t));
	this->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	if (bind(this->fd, (struct sockaddr *)&address, sizeof(address)) ||
		listen(this->fd, LISTEN_BACKLOG) ||
		getsockname(this->fd, (struct sockaddr *)&address, &size))
		abort();
	g_snprintf(this->address, sizeof(this->address), "127.0.0.1:%u", ntohs(address.sin_port));
	pthread_mutex_init(&this->lock, NULL);
	pthread_cond_init(&this->silence_applied, NULL);
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

void silent_proxy_delete(silent_proxy_t *this)
{
	if (!this)
		return;
	pthread_mutex_lock(&this->lock);
	this->quit = true;
	pthread_mutex_unlock(&this->lock);
	pthread_join(this->thread, NULL);
	for (unsigned int i = 0; i < this->connections->len; i++)
		close_connection(&g_array_index(this->connections, proxied_connection_t, i));
	close(this->fd);
	g_array_free(this->connections, TRUE);
	pthread_cond_destroy(&this->silence_applied);
	pthread_mutex_destroy(&this->lock);
	g_free(this->target);
	g_free(this);
}

const char *silent_proxy_address(const silent_proxy_t *this)
{
	return this->address;
}

void silent_proxy_silence(silent_proxy_t *this, silent_direction_t direction)
{
	pthread_mutex_lock(&this->lock);
	this->silence_requested |= (int)direction;
	while (this->silence_requested)
		pthread_cond_wait(&this->silence_applied, &this->lock);
	pthread_mutex_unlock(&this->lock);
}

unsigned long silent_proxy_forwarded(silent_proxy_t *this)
{
	unsigned long forwarded;

	pthread_mutex_lock(&this->lock);
	forwarded = this->forwarded;
	pthread_mutex_unlock(&this->lock);
	return forwarded;
}
