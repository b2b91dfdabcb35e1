#ifndef FILTER_REQUEST_H
#define FILTER_REQUEST_H
/*
 * request - a caller's request and the filters that process it
 *
 * identify -> classify -> admit -> dispatch -> relay -> account.  For each
 * attempt, dispatch runs queue (waits for a slot) and place (looks up the
 * slot's endpoint).  A filter returns REASON_NONE to pass the request on, or
 * the reason why it ends.  A request is run by its connection's thread.
 */
#include <glib.h>
#include <microhttpd.h>

#include "daemon/router.h"
#include "edge/http_exchange.h"

#define REQUEST_ID_SIZE 40

typedef struct request {
	router_t *router;
	struct MHD_Connection *connection;
	int caller_fd; /* the connection's socket, -1 if unknown */
	char id[REQUEST_ID_SIZE];
	const char *method;
	char *path;
	GString *body;
	bool too_large; /* the body exceeds the limit and is incomplete */
	instant_t arrived;

	/* set by identify and classify */
	fleet_config_t *config; /* a reference, kept until the request is deleted */
	const workspace_t *workspace;
	const route_t *route;
	const service_t *service;
	bool is_stream;
	uint32_t hint;		     /* expected cost, in cost units (core/node.h) */
	uint64_t prefix_hash;	     /* of the prompt's first bytes, 0 for none */
	const char *idempotency_key; /* NULL for none */
	instant_t deadline;

	/* set by queue and place */
	ticket_t *ticket; /* NULL while the request holds no slot */
	const endpoint_t *endpoint;

	/* set by dispatch and relay */
	http_exchange_t exchange;
	bool exchange_open;
	unsigned int attempts;
	bool may_have_run;    /* an attempt was sent and got no whole response */
	GString *input;	      /* stream: bytes received after the last whole event */
	GString *output;      /* stream: events to be read by the caller */
	size_t output_offset; /* bytes of `output` already read */
	uint32_t next_event_id;
	unsigned int resumes;
	uint32_t cost;		/* cost units received so far */
	uint32_t reported_cost; /* as last reported to the node thread */
	instant_t reported_at;
	instant_t first_byte_at; /* 0 if no response has begun */
	bool stream_ended;
	uint64_t caller_watch_id; /* 0 for none */
	bool stream_failed;
	bool replayed; /* `response` is the stored one of an earlier attempt */

	/* outcome */
	reason_t reason;
	unsigned int retry_after_s;
	order_response_t response; /* unless streamed */
	bool accounted;
} request_t;

typedef struct filter {
	const char *name;
	reason_t (*run)(request_t *request);
} filter_t;

extern const filter_t identify_filter;
extern const filter_t classify_filter;
extern const filter_t admit_filter;
extern const filter_t queue_filter;
extern const filter_t place_filter;
extern const filter_t dispatch_filter;
extern const filter_t relay_filter;
extern const filter_t account_filter;

request_t *request_new(
	router_t *router, struct MHD_Connection *connection, const char *method, const char *path);
/* Runs the account filter, unless that was done, and frees the request. */
void request_delete(request_t *this);
const char *request_header(request_t *this, const char *name);
/* Runs the filters until the whole response or a stream's first event is there; sets `reason`. */
void request_run(request_t *this);
/* Ends the ticket, if the request holds one, which frees its slot. */
void request_end_ticket(request_t *this, request_end_t kind);
/*
 * How an incomplete response ends the ticket: END_STOPPED if the caller's disconnect made the
 * caller watch cancel the request, which is no failure of the endpoint; otherwise END_BROKEN.
 */
request_end_t request_incomplete_end(const request_t *this);
/*
 * Sends the request to an endpoint, waiting for a slot if it holds none.  Makes further attempts,
 * up to a limit, when an endpoint refuses the request or, if the route is idempotent, fails.
 *   HTTP_OK          the response's head has been read
 *   HTTP_NOT_SENT    no endpoint accepted it; `reason` is set
 *   HTTP_INCOMPLETE  an endpoint failed after bytes may have been sent
 */
http_result_t request_send(request_t *this);
/* Reads the whole response into `response`; HTTP_OK, HTTP_INCOMPLETE or HTTP_TOO_LARGE. */
http_result_t request_receive(request_t *this);
void request_close_exchange(request_t *this);

/* order_run.c: runs non-idempotent requests that have an idempotency key at most once */

/* True if the request must not run twice: its route is not idempotent and it has a key. */
bool request_is_order(const request_t *this);
/*
 * Checks the row before the order waits for a slot.  REASON_NONE if the order may be claimed, or,
 * with `replayed` set, if the response of an earlier attempt was loaded.
 */
reason_t order_precheck(request_t *this);
/* Claims the order, sends it once and records the result; or replays a stored response. */
reason_t order_run(request_t *this);

#endif
