#ifndef GATEWAY_ENDPOINT_LINK_H
#define GATEWAY_ENDPOINT_LINK_H
/*
 * endpoint_link - one connection to an endpoint, which carries one exchange at a time
 *
 * A link goes back to its endpoint's idle list only when its last answer was
 * whole, ours, and followed by nothing, and the oldest idle one goes when there
 * are more than the router's share of what the endpoint accepts.  Answers that bear the id of
 * another request are read and dropped.  The user hears of an exchange through endpoint_link_ops_t;
 * after on_end or on_fail the link is no longer the user's.
 */
#include <http_parser.h>
#include <uv.h>

#include "gateway/directory.h"
#include "gateway/vocabulary.h"

typedef enum link_failure {
	LINK_NOT_CONNECTED, /* no byte of the request has left */
	LINK_RESET,	    /* broken, or silent for too long */
	LINK_ENDED,	    /* closed before the whole answer */
	LINK_MALFORMED,	    /* bytes that are no answer */
} link_failure_t;

typedef struct link_answer {
	unsigned int status;
	GString *headers; /* "Name: value\r\n" each, those between the hops left out */
	bool has_id;	  /* it bears the request's id */
	bool is_signed;
	bool not_run;
	bool has_load;
	unsigned int load_running;
	unsigned int load_waiting;
	bool is_encoded; /* the body is not the endpoint's plain one */
	int64_t length;	 /* of the body, -1: not told */
} link_answer_t;

typedef struct endpoint_link endpoint_link_t;

typedef struct endpoint_link_ops {
	void (*on_sent)(void *user); /* the request has left for the endpoint */
	void (*on_answer)(void *user, const link_answer_t *answer);
	void (*on_body)(void *user, const char *data, size_t len);
	void (*on_end)(void *user);
	void (*on_fail)(void *user, link_failure_t failure);
} endpoint_link_ops_t;

typedef struct endpoint_link_options {
	uv_loop_t *loop;
	const vocabulary_t *vocabulary;
	unsigned int connect_timeout_ms;
	unsigned int
		silence_timeout_ms; /* unacknowledged bytes, and probes while nothing is sent */
	unsigned int *open_count;   /* kept at the number of links */
} endpoint_link_options_t;

typedef struct link_request {
	const char *id; /* what the answer must bear */
	bool is_head;
	GString *bytes; /* the whole request; taken over */
	bool fresh;	/* only on a new connection */
	instant_t now;
} link_request_t;

/* Sends the request; NULL when no connection can be had at all (nothing was sent). */
endpoint_link_t *endpoint_link_send(const endpoint_link_options_t *options,
	served_endpoint_t *endpoint, const link_request_t *request, const endpoint_link_ops_t *ops,
	void *user);
/* Gives the exchange up: the connection is closed, and no call follows. */
void endpoint_link_abort(endpoint_link_t *this);
/* Stops and resumes reading, for a caller that reads slowly. */
void endpoint_link_pause(endpoint_link_t *this, bool paused);
/* Closes idle links of the endpoint that have been idle for too long, or all. */
void endpoint_link_trim(served_endpoint_t *endpoint, instant_t now, bool all);

#endif
