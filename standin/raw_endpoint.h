#ifndef STANDIN_RAW_ENDPOINT_H
#define STANDIN_RAW_ENDPOINT_H
/*
 * raw_endpoint - an HTTP endpoint whose responses a test writes byte by byte
 *
 * Serves each connection in a thread of its own.  The endpoint reads each request
 * completely and passes it to the test's handler, which writes any bytes to the
 * socket, valid or not.
 */
#include <glib.h>
#include <stdbool.h>

typedef struct raw_endpoint raw_endpoint_t;

typedef struct raw_request {
	char *head; /* request line and headers */
	GString *body;
	char id[64];		 /* value of Request-Id, empty if there is none */
	unsigned int number;	 /* counted from 0 over all connections */
	unsigned int connection; /* number of the connection, from 0 */
} raw_request_t;

/*
 * Responds to one request on the socket `fd`; returns false to close the connection.  The
 * connections' threads call it concurrently; `request` is valid until it returns.
 */
typedef bool (*raw_handler_t)(void *ctx, int fd, const raw_request_t *request);

/* Listens on a free port of 127.0.0.1. */
raw_endpoint_t *raw_endpoint_new(raw_handler_t handler, void *ctx);
/*
 * Calls the handler as soon as a request's head is read; it reads the body, if any, and ends the
 * connection.  To be called before the first request.
 */
void raw_endpoint_answer_early(raw_endpoint_t *this);
/* Closes all connections and joins their threads. */
void raw_endpoint_delete(raw_endpoint_t *this);
const char *raw_endpoint_address(const raw_endpoint_t *this);
/* Number of complete requests received so far, over all connections. */
unsigned int raw_endpoint_request_count(raw_endpoint_t *this);
/* Number of connections accepted so far; more than 4096 fail an assertion. */
unsigned int raw_endpoint_connection_count(raw_endpoint_t *this);
/* The highest number of connections open at the same time so far. */
unsigned int raw_endpoint_peak_connections(raw_endpoint_t *this);
/* Number of connections that the client closed before the response was complete. */
unsigned int raw_endpoint_early_close_count(raw_endpoint_t *this);
/* A handler that sees the client close its connection early calls this to count it. */
void raw_endpoint_count_early_close(raw_endpoint_t *this);
/* Returns a header's value, or NULL if it is absent; the caller frees it. */
char *raw_request_header(const raw_request_t *request, const char *name);
/*
 * Ends the endpoint like a process that crashes: closes all connections and refuses new ones for
 * `down_ms`, after which it is there again at its address.  A handler that calls it returns false.
 */
void raw_endpoint_crash(raw_endpoint_t *this, unsigned int down_ms);
/* Resets the TCP connection, as the kernel does when a process crashes. */
void raw_reset_connection(int fd);
/* Closes the socket under `fd`, which stays in use; what was not read resets the connection. */
void raw_close_connection(int fd);
/* Writes all of `text`; stops without an error if the connection fails. */
void raw_write(int fd, const char *text);

#endif
