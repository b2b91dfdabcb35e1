#ifndef GATEWAY_CALLER_H
#define GATEWAY_CALLER_H
/*
 * caller - one caller's HTTP connection: reads requests one by one, writes responses
 *
 * Pipelined bytes are buffered up to a limit until the current response is
 * complete.  A disconnect is detected in every state.  caller_ops_t notifies the
 * user of the connection about each exchange, a request with its response.
 */
#include <urcu/list.h>
#include <uv.h>

#include "gateway/catalog.h"

typedef struct caller caller_t;

/* A parsed request; its strings are valid until the exchange ends. */
typedef struct caller_request {
	const char *method;
	bool is_head;
	GString *target;  /* request target as sent */
	GPtrArray *names; /* header names as sent; `values` holds the value of each */
	GPtrArray *values;
	GString *body;
	instant_t began; /* arrival of the first byte */
} caller_request_t;

typedef struct caller_ops {
	/*
	 * A complete request, which needs a response.  The handler may pass its own object to
	 * caller_set_exchange(), for the two handlers below to receive.
	 */
	void (*on_request)(void *ctx, caller_t *caller, const caller_request_t *request);
	/* The caller disconnected before its response was complete. */
	void (*on_gone)(void *exchange);
	/* A queued write completed, and caller_is_write_blocked() is false. */
	void (*on_drained)(void *exchange);
} caller_ops_t;

/* State shared by the callers of one listening address. */
typedef struct caller_group caller_group_t;
struct caller_group {
	uv_loop_t *loop;
	const caller_ops_t *ops;
	void *ctx;
	/* Returns the current limits; called for each check, as they may change. */
	const catalog_limits_t *(*limits)(void *ctx);
	unsigned int max_callers;
	struct cds_list_head callers;
	unsigned int allocated; /* includes closed callers whose memory is not freed yet */
	unsigned int connected;
	bool draining;		   /* responses carry "Connection: close" */
	instant_t close_idle_from; /* while draining, idle callers are closed from this time on */
	/* Called after a closed caller's memory was freed. */
	void (*on_closed)(caller_group_t *group);
};

/* Accepts a connection from `listen_stream`; NULL if that fails or the group is full. */
caller_t *caller_new(caller_group_t *group, uv_stream_t *listen_stream);
/* The caller that contains the list node. */
caller_t *caller_of_link(struct cds_list_head *link);
/*
 * Start of the idle time: 0, as if idle longest, when the connection is being closed;
 * INSTANT_NEVER while a request is read or answered.
 */
instant_t caller_idle_since(const caller_t *this);
/*
 * Closes the connection if its idle, drain or closing time is up.  A request that
 * stays incomplete for too long gets status 408.
 */
void caller_check_timeouts(caller_t *this, instant_t now);
/* Closes the connection, and calls on_gone for its exchange, if any. */
void caller_disconnect(caller_t *this);

/* Value of the first header with that name, in any case; NULL if there is none. */
const char *caller_header(const caller_request_t *request, const char *name);
void caller_set_exchange(caller_t *this, void *exchange);

/* Sends a complete response; `headers` are lines that end in CRLF. */
void caller_send_response(caller_t *this, unsigned int status, const char *headers,
	const char *body, size_t body_len);
/* Sends a response in pieces: head, body pieces, end.  `length` -1: unknown. */
void caller_send_head(caller_t *this, unsigned int status, const char *headers, int64_t length);
void caller_send_body(caller_t *this, const char *data, size_t len);
void caller_finish_response(caller_t *this);
/* Resets the connection, so that a truncated response can't pass for a complete one. */
void caller_abort(caller_t *this);
/* True while the unwritten bytes exceed the limit. */
bool caller_is_write_blocked(const caller_t *this);

#endif
