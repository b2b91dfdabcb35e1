#ifndef FILTER_REQUEST_H
#define FILTER_REQUEST_H
/*
 * request - one caller's request on its way through the filters
 *
 * accept -> identify -> classify -> admit -> queue -> place -> dispatch ->
 * relay -> account.  Each filter is a table of functions; it returns
 * REASON_NONE to pass the request on, or why it ends.  A request is run by one
 * thread, its connection's.
 */
#include <glib.h>
#include <microhttpd.h>

#include "daemon/router.h"
#include "edge/http_exchange.h"

#define REQUEST_ID_SIZE 40

typedef struct request {
	router_t *router;
	struct MHD_Connection *connection;
	int caller_fd;
	char id[REQUEST_ID_SIZE];
	const char *method;
	char *path;
	GString *body;
	bool too_large;
	instant_t arrived;

	/* identify, classify */
	fleet_text_t *text;
	const workspace_t *workspace;
	const route_t *route;
	const service_t *service;
	bool is_stream;
	uint32_t hint;
	uint64_t prefix;
	const char *key; /* Idempotency-Key, NULL for none */
	instant_t deadline;

	/* queue, place */
	ticket_t *ticket; /* NULL once it was handed back */
	const endpoint_t *endpoint;

	/* dispatch, relay */
	http_exchange_t exchange;
	bool exchange_open;
	unsigned int attempts;
	bool may_have_run; /* an attempt was sent and brought no whole answer */
	GString *events;   /* of a stream, not yet whole */
	GString *out;	   /* of a stream, to be read by the caller */
	size_t out_at;
	uint32_t next_event;
	unsigned int resumes;
	uint32_t cost;
	uint32_t told_cost;
	instant_t told_at;
	instant_t first_byte;
	bool stream_ended;
	uint64_t watch;
	bool broken;
	bool replayed;

	/* account */
	reason_t reason;
	unsigned int retry_after_s;
	order_answer_t answer;
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
/* Accounts for the request if that was not done, and frees it. */
void request_delete(request_t *this);
const char *request_header(request_t *this, const char *name);
/* Runs the filters up to the answer or the stream; sets `reason`. */
void request_run(request_t *this);
/* Hands the ticket back. */
void request_end_ticket(request_t *this, end_kind_t kind);
/* Queue, place and dispatch again after an endpoint did not take it; HTTP_OK with an answer's head.
 */
http_result_t request_send(request_t *this);
/* Reads the whole answer into `answer`; HTTP_OK, HTTP_BROKEN or HTTP_TOO_LARGE. */
http_result_t request_receive(request_t *this);
void request_close_exchange(request_t *this);

/* order_run.c: the at-most-once protocol around the sending */
bool request_is_order(const request_t *this);
reason_t order_run_check(request_t *this);
reason_t order_run(request_t *this);

#endif
