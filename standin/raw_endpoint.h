#ifndef STANDIN_RAW_ENDPOINT_H
#define STANDIN_RAW_ENDPOINT_H
/*
 * raw_endpoint - an endpoint that answers byte for byte as a test says, right or wrong
 *
 * A thread a connection; each request that was read whole is kept, and handed
 * to the script, which writes what it likes.
 */
#include <glib.h>
#include <stdbool.h>

typedef struct raw_endpoint raw_endpoint_t;

typedef struct raw_request {
	char *head; /* request line and headers */
	GString *body;
	char id[64];
	unsigned int number;	 /* from 0, over all connections */
	unsigned int connection; /* from 0 */
} raw_request_t;

/* Answers one request; false closes the connection. */
typedef bool (*raw_script_t)(void *ctx, int fd, const raw_request_t *request);

raw_endpoint_t *raw_endpoint_new(raw_script_t script, void *ctx);
void raw_endpoint_delete(raw_endpoint_t *this);
const char *raw_endpoint_address(const raw_endpoint_t *this);
unsigned int raw_endpoint_requests(raw_endpoint_t *this);
unsigned int raw_endpoint_connections(raw_endpoint_t *this);
/* The most connections that were open at a time. */
unsigned int raw_endpoint_most_open(raw_endpoint_t *this);
/* Connections that the other side closed while a request was being answered. */
unsigned int raw_endpoint_cuts(raw_endpoint_t *this);
void raw_endpoint_note_cut(raw_endpoint_t *this);
/* A header of the request, or NULL; to be freed. */
char *raw_request_header(const raw_request_t *request, const char *name);
/* Resets the connection, as a crash does. */
void raw_reset(int fd);
/* Writes all of `text`. */
void raw_write(int fd, const char *text);

#endif
