#ifndef GATEWAY_CALLER_H
#define GATEWAY_CALLER_H
/*
 * caller - one caller's HTTP connection: reads requests one by one, writes responses
 *
 * Pipelined bytes are buffered up to a limit until the current response is
 * complete.  Reading stops while there is no room for more of the request, see request_room.  A
 * disconnect is detected in every state.  caller_ops_t notifies the
 * user of the connection about each exchange, a request with its response.
 */
#include "gateway/caller_group.h"
#include "gateway/request_body.h"

/* A parsed request; its strings are valid until the exchange ends. */
struct caller_request {
	const char *method;
	bool is_head;
	GString *target;  /* request target as sent */
	GPtrArray *names; /* header names as sent; `values` holds the value of each */
	GPtrArray *values;
	request_body_t *body;
	instant_t began; /* arrival of the first byte */
};

struct caller_ops {
	/*
	 * A complete request, which needs a response.  The handler may pass its own object to
	 * caller_set_exchange(), for the two handlers below to receive.
	 */
	void (*on_request)(void *ctx, caller_t *caller, const caller_request_t *request);
	/* The caller disconnected before its response was complete. */
	void (*on_gone)(void *exchange);
	/* A queued write completed, and caller_is_write_blocked() is false. */
	void (*on_drained)(void *exchange);
};

/* Accepts a connection from `listen_stream`; NULL if that fails or the group is full. */
caller_t *caller_new(caller_group_t *group, uv_stream_t *listen_stream);
/* The caller with this node of its group's list of callers. */
caller_t *caller_of_link(struct cds_list_head *link);
/* The caller with this part of the room for requests. */
caller_t *caller_of_room(room_sender_t *room);
caller_t *caller_of_pace(caller_pace_t *pace);
/* Reads on, as there is room again. */
void caller_resume(caller_t *this);
/* The caller with this wait. */
caller_t *caller_of_wait(caller_wait_t *wait);
/*
 * Closes the connection as its wait took too long; an incomplete request gets status 408, or 503 if
 * it waited for room.
 */
void caller_time_out(caller_t *this);
/* Disconnects a caller that has closed its side behind bytes that are not read for now. */
void caller_check_unread(caller_t *this);
/* Closes the connection, and calls on_gone for its exchange, if any. */
void caller_disconnect(caller_t *this);
/* Returns whether the caller has closed the connection, which the loop may not have noticed yet. */
bool caller_has_left(const caller_t *this);

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
