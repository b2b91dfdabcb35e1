#include "standin/raw_endpoint.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/clock.h"
#include "standin/server.h"

#define READ_SIZE 4096
#define LISTEN_BACKLOG 128
#define MAX_CONNECTIONS 4096

struct raw_endpoint {
	int fd;
	char address[32];
	raw_handler_t handler;
	void *ctx;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_t threads[MAX_CONNECTIONS];
	int fds[MAX_CONNECTIONS];
	unsigned int connections;
	unsigned int open;
	unsigned int peak_open;
	unsigned int requests;
	unsigned int early_closes;
	bool answers_early;
	bool listens;
	instant_t down_until; /* if it does not listen */
	bool quit;
};

typedef struct connection {
	raw_endpoint_t *endpoint;
	unsigned int number;
	int fd;
} connection_t;

void raw_write(int fd, const char *text)
{
	size_t left = strlen(text);

	while (left) {
		ssize_t n = send(fd, text, left, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		text += n;
		left -= (size_t)n;
	}
}

void raw_reset_connection(int fd)
{
	struct sockaddr unspecified = {.sa_family = AF_UNSPEC};

	if (connect(fd, &unspecified, sizeof(unspecified)))
		abort();
}

void raw_close_connection(int fd)
{
	int null = open("/dev/null", O_RDWR | O_CLOEXEC);

	if (null < 0 || dup2(null, fd) < 0)
		abort();
	close(null);
}

char *raw_request_header(const raw_request_t *request, const char *name)
{
	char **lines = g_strsplit(request->head, "\r\n", 0);
	size_t len = strlen(name);
	char *value = NULL;

	for (char **line = lines; *line && !value; line++) {
		if (!strncasecmp(*line, name, len) && (*line)[len] == ':')
			value = g_strstrip(g_strdup(*line + len + 1));
	}
	g_strfreev(lines);
	return value;
}

static void read_id(raw_request_t *request)
{
	char *id = raw_request_header(request, "Request-Id");

	g_strlcpy(request->id, id ? id : "", sizeof(request->id));
	g_free(id);
}

/*
 * Reads one request from `buffer`, then from the connection; false when the connection has
 * ended. Bytes after the request, or after its head, stay in `buffer`.
 */
static bool read_request(int fd, GString *buffer, bool head_only, raw_request_t *request)
{
	char chunk[READ_SIZE];
	char *end;
	char *length;
	size_t head_size;
	size_t body_size;

	while (!(end = strstr(buffer->str, "\r\n\r\n"))) {
		ssize_t n = read(fd, chunk, sizeof(chunk));

		if (n <= 0)
			return false;
		g_string_append_len(buffer, chunk, n);
	}
	head_size = (size_t)(end - buffer->str) + 4;
	request->head = g_strndup(buffer->str, head_size);
	length = raw_request_header(request, "Content-Length");
	body_size = length && !head_only ? strtoul(length, NULL, 10) : 0;
	g_free(length);
	while (buffer->len < head_size + body_size) {
		ssize_t n = read(fd, chunk, sizeof(chunk));

		if (n <= 0) {
			g_free(request->head);
			return false;
		}
		g_string_append_len(buffer, chunk, n);
	}
	request->body = g_string_new_len(buffer->str + head_size, (gssize)body_size);
	g_string_erase(buffer, 0, (gssize)(head_size + body_size));
	read_id(request);
	return true;
}

static void *serve_connection(void *ctx)
{
	connection_t *this = ctx;
	GString *buffer = g_string_new(NULL);
	raw_request_t request = {.connection = this->number};
	bool open = true;

	while (open && read_request(this->fd, buffer, this->endpoint->answers_early, &request)) {
		pthread_mutex_lock(&this->endpoint->lock);
		request.number = this->endpoint->requests++;
		pthread_mutex_unlock(&this->endpoint->lock);
		open = this->endpoint->handler(this->endpoint->ctx, this->fd, &request);
		g_free(request.head);
		g_string_free(request.body, TRUE);
	}
	shutdown(this->fd, SHUT_RDWR);
	pthread_mutex_lock(&this->endpoint->lock);
	this->endpoint->open--;
	pthread_mutex_unlock(&this->endpoint->lock);
	g_string_free(buffer, TRUE);
	g_free(this);
	return NULL;
}

static void accept_connections(raw_endpoint_t *this)
{
	int fd;

	while ((fd = accept(this->fd, NULL, NULL)) >= 0) {
		connection_t *connection = g_new0(connection_t, 1);

		pthread_mutex_lock(&this->lock);
		g_assert(this->connections < MAX_CONNECTIONS);
		*connection = (connection_t){this, this->connections, fd};
		this->fds[this->connections] = fd;
		this->open++;
		this->peak_open = MAX(this->peak_open, this->open);
		pthread_create(
			&this->threads[this->connections++], NULL, serve_connection, connection);
		pthread_mutex_unlock(&this->lock);
	}
}

/* Listens again if a crashed endpoint is to be there again, or has to end. */
static bool listen_if_due(raw_endpoint_t *this)
{
	bool due;

	pthread_mutex_lock(&this->lock);
	due = this->quit || clock_now() >= this->down_until;
	if (due && !this->quit)
		this->listens = !listen(this->fd, LISTEN_BACKLOG);
	pthread_mutex_unlock(&this->lock);
	return due;
}

static bool has_to_end(raw_endpoint_t *this)
{
	bool quit;

	pthread_mutex_lock(&this->lock);
	quit = this->quit;
	pthread_mutex_unlock(&this->lock);
	return quit;
}

static void *run(void *ctx)
{
	raw_endpoint_t *this = ctx;

	do {
		accept_connections(this);
		while (!listen_if_due(this))
			sleep_ms(2);
	} while (!has_to_end(this));
	return NULL;
}

void raw_endpoint_crash(raw_endpoint_t *this, unsigned int down_ms)
{
	pthread_mutex_lock(&this->lock);
	this->down_until = clock_now() + down_ms * USEC_PER_MSEC;
	/* A second shutdown would stay with the socket, and with what it accepts later. */
	if (this->listens)
		shutdown(this->fd, SHUT_RDWR);
	this->listens = false;
	for (unsigned int i = 0; i < this->connections; i++)
		shutdown(this->fds[i], SHUT_RDWR);
	pthread_mutex_unlock(&this->lock);
}

static int bind_socket(const struct sockaddr_in *sin)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)sin, sizeof(*sin)))
		abort();
	return fd;
}

raw_endpoint_t *raw_endpoint_new(raw_handler_t handler, void *ctx)
{
	raw_endpoint_t *this = g_new0(raw_endpoint_t, 1);
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t size = sizeof(sin);
	int fd;

	this->handler = handler;
	this->ctx = ctx;
	pthread_mutex_init(&this->lock, NULL);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd = bind_socket(&sin);
	getsockname(fd, (struct sockaddr *)&sin, &size);
	/* Only a port that was asked for stays bound while the endpoint is down. */
	this->fd = bind_socket(&sin);
	close(fd);
	if (listen(this->fd, LISTEN_BACKLOG))
		abort();
	this->listens = true;
	g_snprintf(this->address, sizeof(this->address), "127.0.0.1:%u", ntohs(sin.sin_port));
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

void raw_endpoint_answer_early(raw_endpoint_t *this)
{
	this->answers_early = true;
}

void raw_endpoint_delete(raw_endpoint_t *this)
{
	if (!this)
		return;
	pthread_mutex_lock(&this->lock);
	this->quit = true;
	pthread_mutex_unlock(&this->lock);
	shutdown(this->fd, SHUT_RDWR);
	pthread_join(this->thread, NULL);
	close(this->fd);
	for (unsigned int i = 0; i < this->connections; i++) {
		shutdown(this->fds[i], SHUT_RDWR);
		pthread_join(this->threads[i], NULL);
		close(this->fds[i]);
	}
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

const char *raw_endpoint_address(const raw_endpoint_t *this)
{
	return this->address;
}

static unsigned int read_count(raw_endpoint_t *this, const unsigned int *count)
{
	unsigned int value;

	pthread_mutex_lock(&this->lock);
	value = *count;
	pthread_mutex_unlock(&this->lock);
	return value;
}

unsigned int raw_endpoint_request_count(raw_endpoint_t *this)
{
	return read_count(this, &this->requests);
}

unsigned int raw_endpoint_connection_count(raw_endpoint_t *this)
{
	return read_count(this, &this->connections);
}

unsigned int raw_endpoint_peak_connections(raw_endpoint_t *this)
{
	return read_count(this, &this->peak_open);
}

unsigned int raw_endpoint_early_close_count(raw_endpoint_t *this)
{
	return read_count(this, &this->early_closes);
}

void raw_endpoint_count_early_close(raw_endpoint_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->early_closes++;
	pthread_mutex_unlock(&this->lock);
}
