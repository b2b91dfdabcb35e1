#ifndef GATEWAY_ENDPOINT_CONNECTION_H
#define GATEWAY_ENDPOINT_CONNECTION_H
/*
 * endpoint_connection - one connection to an endpoint, which carries one exchange at a time
 *
 * A connection returns to its endpoint's idle list only if its last response was
 * complete, had the request's id, and was followed by no further bytes.  The oldest
 * idle connection is closed when the list exceeds this router's share of the
 * connections that the endpoint accepts.  Responses with the id of another request
 * are read and discarded.  What an exchange holds of its response is bounded by itself, and
 * together with all others by the buffer pool.  endpoint_connection_ops_t reports an exchange's
 * progress to the user, who must not use the connection after on_end or on_fail.
 */
#include <http_parser.h>
#include <uv.h>

#include "gateway/connection_response.h"
#include "gateway/endpoint_registry.h"
#include "gateway/request_body.h"

typedef enum connection_failure {
	CONNECTION_FAILURE_NOT_CONNECTED, /* no byte of the request was sent */
	CONNECTION_FAILURE_RESET,
	CONNECTION_FAILURE_SILENT,    /* no acknowledgement for too long */
	CONNECTION_FAILURE_ENDED,     /* closed before the response was complete */
	CONNECTION_FAILURE_MALFORMED, /* not a valid HTTP response */
	CONNECTION_FAILURE_HEAD,      /* the response's head is over its bound */
	CONNECTION_FAILURE_OVERHEAD,  /* too many bytes that belong to no body */
	CONNECTION_FAILURE_MEMORY,    /* ended to keep the process within its memory */
} connection_failure_t;

typedef struct endpoint_connection endpoint_connection_t;

typedef struct endpoint_connection_ops {
	void (*on_sent)(void *user); /* the request is about to be written */
	/* The response's head is complete; its body follows. */
	void (*on_response)(void *user, const connection_response_t *response);
	void (*on_body)(void *user, const char *data, size_t len);
	void (*on_end)(void *user); /* the response is complete */
	void (*on_fail)(void *user, connection_failure_t failure);
	/* Bytes of the response that the user holds for now. */
	size_t (*held)(const void *user);
} endpoint_connection_ops_t;

typedef struct endpoint_connection_options {
	uv_loop_t *loop;
	const header_names_t *header_names;
	unsigned int connect_timeout_ms;
	unsigned int silence_timeout_ms; /* for unacknowledged bytes and keepalive probes */
	unsigned int *open_count;	 /* updated to the number of open connections */
	buffer_pool_t *buffers;		 /* for what the exchanges hold of their responses */
} endpoint_connection_options_t;

typedef struct connection_request {
	const char *id; /* id that the response must carry */
	bool is_head;
	GString *head;	      /* of the request; ownership passes */
	request_body_t *body; /* the connection holds a reference until it is written */
	bool new_connection;  /* don't reuse an idle connection */
	instant_t now;
} connection_request_t;

/* Sends the request; NULL, with nothing sent, if no connection could be started. */
endpoint_connection_t *endpoint_connection_send(const endpoint_connection_options_t *options,
	registered_endpoint_t *endpoint, const connection_request_t *request,
	const endpoint_connection_ops_t *ops, void *user);
/* Aborts the exchange and closes the connection; no callback follows. */
void endpoint_connection_abort(endpoint_connection_t *this);
/* Stops or resumes reading, as backpressure from a slow caller. */
void endpoint_connection_pause(endpoint_connection_t *this, bool paused);
/* Closes the endpoint's idle connections whose time is up, or all of them. */
void endpoint_connection_trim(registered_endpoint_t *endpoint, instant_t now, bool all);

#endif
