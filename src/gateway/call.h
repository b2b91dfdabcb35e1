#ifndef GATEWAY_CALL_H
#define GATEWAY_CALL_H
/*
 * call - state machine that takes one request through the gateway's filters
 *
 * identify -> classify -> admit -> resume -> queue -> dispatch -> relay -> account.  The
 * step that a filter returns selects what follows: the next filter, a wait for
 * an event, or an error response.  call_delete() runs account, however the call
 * ended.  All filters run on the event loop's thread.
 */
#include "core/part_watch.h"
#include "core/placement.h"
#include "core/reason.h"
#include "gateway/caller.h"
#include "gateway/endpoint_connection.h"
#include "gateway/event_stream.h"
#include "gateway/origin_lookup.h"

typedef struct gateway gateway_t;
typedef struct call call_t;

typedef enum call_step {
	STEP_NEXT,
	STEP_WAIT, /* an event handler continues the call */
	STEP_FAIL, /* call_fail() ends the call with `reason` */
} call_step_t;

typedef enum call_state {
	CALL_NEW,
	CALL_QUEUED, /* waits for an endpoint's slot */
	CALL_SENT,
	CALL_OVER, /* freed once the placement has no pending decision for it */
} call_state_t;

struct call {
	gateway_t *gateway;
	struct cds_list_head link; /* in the gateway's list of calls */
	caller_t *caller;
	const caller_request_t *request;
	unsigned int filter; /* index of the filter that runs or waits */
	call_state_t state;
	reason_t reason;
	double retry_after_s;

	/* identify, classify */
	catalog_t *catalog;
	const catalog_workspace_t *workspace; /* NULL: public route, or a catalog without keys */
	const catalog_route_t *route;
	const catalog_service_t *service;
	char *id;
	/* Shared prompt parts, without the parts before them, and the content of the request. */
	part_set_t parts;
	int64_t resume_after; /* id of the last event that the caller received, -1: none */
	char *resumes;	      /* id of the attempt that brought the first event; NULL: not stated */
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* estimate from the request's headers */
	bool is_idempotent;
	uint64_t time_left_ms; /* from the caller's header, ms; 0: none given */
	instant_t arrived;
	instant_t deadline; /* the caller's or the route's, whichever is earlier */

	/* resume */
	origin_query_t origin;
	instant_t
		origin_renew_at; /* when the stream is to be recorded again; 0: not recorded yet */

	/* queue */
	placement_request_t placement_request;
	bool in_placement;     /* `placement_request` waits for a slot or holds one */
	bool decision_pending; /* call_on_slot_granted() or call_on_slot_rejected() is still to be
				  called */
	instant_t queued_at;
	uint64_t queue_wait; /* total wait for slots over all attempts, microseconds */

	/* dispatch */
	registered_endpoint_t *endpoint;
	endpoint_connection_t *connection;
	unsigned int sends;	/* attempts so far */
	unsigned int runs;	/* attempts that the endpoint may have executed */
	instant_t sent_at;	/* the current attempt */
	bool request_sent;	/* the current attempt has begun to write its request */
	instant_t answer_began; /* first body bytes of the current attempt, 0: none yet */
	bool answer_is_sound;	/* the part watch knows of the current attempt's answer */

	/* relay */
	unsigned int status;
	GString *headers;
	GString *body;		/* response body, buffered until complete or too large */
	int64_t body_length;	/* -1: unknown */
	bool ends_by_close;	/* the body has neither a length nor chunks */
	uint64_t body_bytes;	/* received in the current attempt */
	bool response_started;	/* the head was sent to the caller */
	bool streaming;		/* the body is forwarded event by event */
	bool response_complete; /* the endpoint's response was read to its end */
	event_stream_t events;
	instant_t first_byte;	 /* when the response began, 0: not yet */
	instant_t last_event_at; /* when events last arrived, 0: none yet */
	uint64_t max_event_gap;	 /* longest time between two events, microseconds */
	uint32_t cost;		 /* tokens generated */
};

typedef struct call_filter {
	const char *name;
	call_step_t (*run)(call_t *call);
} call_filter_t;

extern const call_filter_t call_identify;
extern const call_filter_t call_classify;
extern const call_filter_t call_admit;
extern const call_filter_t call_resume;
extern const call_filter_t call_queue;
extern const call_filter_t call_dispatch;
extern const call_filter_t call_relay;
extern const call_filter_t call_account;

/* call.c */
call_t *call_new(gateway_t *gateway, caller_t *caller, const caller_request_t *request);
/* Runs filters until one waits or the call ends; ending frees it. */
void call_run(call_t *this);
/* Continues with the filter after the one that waited. */
void call_next(call_t *this);
/*
 * Ends the call with `reason`, whichever filter it is in; may free it.  If the request may have
 * run, the caller gets a reason that does not deny it; see reason_checked().
 */
void call_fail(call_t *this, reason_t reason);
/* True when an endpoint may have begun to execute the request. */
bool call_may_have_run(const call_t *this);
/* Returns the call to the queue filter for another attempt. */
void call_requeue(call_t *this);
/* Handles a caller that disconnected before its response was complete. */
void call_on_caller_gone(call_t *this);
/* Ends a call whose deadline has passed. */
void call_expire(call_t *this);

/* Frees a call that is over and that the placement no longer refers to; logs its outcome. */
void call_delete(call_t *this);

/* call_admit.c */
/* Whether the call may be sent; sets its reason and its retry delay if it is blocked. */
part_verdict_t call_check_parts(call_t *this, instant_t now);

/* call_resume.c */
/* Whether the call may run at the endpoint, and its prompt be copied from it. */
bool call_may_use(const call_t *this, const registered_endpoint_t *endpoint);
/* Whether the caller takes up a stream that has broken off. */
bool call_takes_up_stream(const call_t *this);
/*
 * Records the version that began the stream, and binds further attempts to it; to be called for
 * each event that is forwarded.
 */
void call_record_origin(call_t *this);
/* Notes that the stream was forwarded to its end. */
void call_complete_origin(call_t *this);

/* call_queue.c */
/* Handles the placement's decision: a slot at `endpoint`, or a refusal with a retry delay. */
void call_on_slot_granted(call_t *this, id_t32 endpoint);
void call_on_slot_rejected(call_t *this, reason_t reason, double retry_after_s);
/*
 * Withdraws the slot request or releases the slot.  Does nothing while a decision
 * is on its way: the call stays allocated until that has arrived.
 */
void call_leave_placement(call_t *this, slot_result_t result);
/*
 * Reports to the placement how many requests the endpoint runs and queues, and how long work takes
 * on its machine, in percent of the usual time or 0.
 */
void call_report_load(call_t *this, unsigned int load, unsigned int slowness);
/* Reports the rate limit that the endpoint named, RATE_NONE: none. */
void call_report_rate_limit(call_t *this, uint32_t rate);
/* Reports that the endpoint wants no requests from this router for so long. */
void call_report_pause(call_t *this, double seconds);
/* Reports the arrival of the response's first byte to the placement. */
void call_report_first_byte(call_t *this);

/* call_dispatch.c */
/*
 * Handles a failed attempt: retries it, or ends the call with a reason that tells
 * whether the request may have run.
 */
void call_attempt_failed(call_t *this, slot_result_t failure, bool may_have_run);

/* call_relay.c */
extern const endpoint_connection_ops_t call_connection_ops;
/* Resumes reading the endpoint once the caller's write queue has drained. */
void call_on_caller_drained(call_t *this);
/* Discards response data of the last attempt that was not forwarded to the caller. */
void call_reset_response(call_t *this);
/* Frees the part of the response body that is buffered. */
void call_discard_body(call_t *this);

#endif
