#ifndef EDGE_HTTP_CALL_H
#define EDGE_HTTP_CALL_H
/*
 * http_call - a whole HTTP exchange with a numeric address, using libcurl
 *
 * Each call opens its own connection and libcurl repeats nothing on a fresh one, so the server
 * receives a request at most once.  A connection that has gone silent without an error is given
 * up after HTTP_CALL_SILENCE_S, also while a response may take longer.  Calls block and must not
 * be made from the node thread or an event loop's thread.
 */
#include <glib.h>
#include <stdbool.h>

#include "core/types.h"

/* Keepalive probes are answered by the other host, however long the response takes. */
#define HTTP_CALL_PROBE_INTERVAL_S 1
#define HTTP_CALL_PROBES 2
#define HTTP_CALL_SILENCE_S (HTTP_CALL_PROBE_INTERVAL_S * (HTTP_CALL_PROBES + 1))

typedef enum http_result {
	HTTP_OK,	 /* the response header or, from http_call(), the whole response was read */
	HTTP_NOT_SENT,	 /* no byte of the request was sent */
	HTTP_INCOMPLETE, /* the request may have been sent; no whole response came */
	HTTP_TOO_LARGE,	 /* the response's head or its body is over its limit */
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
	unsigned int read_timeout_ms; /* for each read of response data */
} http_options_t;

/* Must be called once per process, before the first exchange; ignores SIGPIPE. */
void http_init(void);

/*
 * Performs a complete exchange.  Appends the body, of at most `max_response`
 * bytes, to `response`; `response` and `status` are valid only with HTTP_OK.
 */
http_result_t http_call(
	const http_options_t *options, size_t max_response, GString *response, int *status);
/*
 * Like http_call(); also sets `value` to a copy of the response header `name`, which the caller
 * frees, or to NULL.  It is set for every response whose header was read, whatever the result.
 */
http_result_t http_call_with_header(const http_options_t *options, size_t max_response,
	GString *response, int *status, const char *name, char **value);

#endif
