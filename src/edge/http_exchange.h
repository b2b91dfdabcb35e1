#ifndef EDGE_HTTP_EXCHANGE_H
#define EDGE_HTTP_EXCHANGE_H
/*
 * http_exchange - one HTTP request to one numeric address, over neon
 *
 * Each exchange opens its own connection and neon's silent repeat is switched
 * off, so a request is received at most once.  All calls block; none may be
 * made from the deciding thread.
 */
#include <glib.h>
#include <neon/ne_request.h>
#include <neon/ne_session.h>

#include "core/types.h"

typedef enum http_result {
	HTTP_OK,       /* an answer began, or all of it was read */
	HTTP_NOT_SENT, /* no byte of the request has left */
	HTTP_BROKEN,   /* bytes may have left; no whole answer */
	HTTP_TOO_LARGE,
} http_result_t;

typedef struct http_header {
	const char *name;
	const char *value;
} http_header_t;

typedef struct http_options {
	const char *address; /* ip:port */
	const char *method;
	const char *path;
	const http_header_t *headers; /* may be NULL */
	unsigned int header_count;
	const char *body;
	size_t body_len;
	unsigned int connect_timeout_ms;
	unsigned int read_timeout_ms; /* between two pieces of the answer */
} http_options_t;

typedef struct http_exchange {
	ne_session *session;
	ne_request *request;
	bool connected;
	int status;
} http_exchange_t;

/* Once per process, before the first exchange. */
void http_init(void);

/* Sends the request and reads the answer's head. Delete it whatever the result. */
http_result_t http_exchange_begin(http_exchange_t *this, const http_options_t *options);
/* Reads a piece: > 0 bytes, 0 at the whole end, < 0 when broken. */
ssize_t http_exchange_read(http_exchange_t *this, char *buffer, size_t size);
const char *http_exchange_header(http_exchange_t *this, const char *name);
void http_exchange_delete(http_exchange_t *this);

/* A whole exchange; `answer` (appended to) and `status` are valid with HTTP_OK. */
http_result_t http_call(
	const http_options_t *options, size_t max_answer, GString *answer, int *status);

#endif
