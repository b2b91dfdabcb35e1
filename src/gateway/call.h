#ifndef GATEWAY_CALL_H
#define GATEWAY_CALL_H
/*
 * call - one request on its way through the gateway, as steps of a state machine
 *
 * identify -> classify -> admit -> queue -> dispatch -> relay -> account.  Each
 * filter tells with its step how it goes on: with the next one, later when
 * something has happened, or with an answer.  All of it runs in the loop's
 * thread.
 */
#include "core/placement.h"
#include "core/reason.h"
#include "gateway/caller.h"
#include "gateway/endpoint_link.h"
#include "gateway/event_stream.h"

typedef struct gateway gateway_t;
typedef struct call call_t;

typedef enum call_step {
	STEP_NEXT,
	STEP_WAIT,   /* an event moves it on */
	STEP_ANSWER, /* `reason` is the answer */
} call_step_t;

typedef enum call_state {
	CALL_NEW,
	CALL_QUEUED, /* waits for a slot of an endpoint */
	CALL_SENT,
	CALL_OVER,
} call_state_t;

struct call {
	gateway_t *gateway;
	struct cds_list_head link; /* in the gateway's list */
	caller_t *caller;
	const caller_request_t *request;
	unsigned int filter; /* index of the one that runs or waits */
	call_state_t state;
	reason_t reason;
	double retry_after_s;

	/* identify, classify */
	catalog_t *catalog;
	const catalog_workspace_t *workspace; /* NULL: the route is public */
	const catalog_route_t *route;
	const catalog_service_t *service;
	char *id;
	int64_t resume_after; /* number of the last event that the caller has, -1: none */
	uint32_t prompt_tokens;
	uint32_t answer_tokens; /* as hinted */
	bool repeatable;
	uint64_t time_left; /* as the caller told, ms; 0: it did not */
	instant_t arrived;
	instant_t deadline; /* the caller's or the route's, whichever is first */

	/* queue */
	place_request_t place;
	bool in_queue;	/* a place is asked for, or in use */
	bool undecided; /* the decision is still to come */
	instant_t queued_at;
	uint64_t queued; /* how long it waited for places, microseconds */

	/* dispatch */
	served_endpoint_t *endpoint;
	endpoint_link_t *endpoint_link;
	unsigned int sends;
	unsigned int runs; /* sends that may have run */
	bool sent_now;	   /* bytes of the present attempt have left */

	/* relay */
	unsigned int status;
	GString *headers;
	GString *body; /* of an answer that is kept until it is whole */
	int64_t body_length;
	bool answering; /* the caller has the head */
	bool streaming; /* event by event */
	bool whole;	/* the endpoint's answer was read to its end */
	event_stream_t events;
	instant_t first_byte;
	instant_t events_at;	/* when the last events came, 0: none did */
	uint64_t longest_pause; /* between two events, microseconds */
	uint32_t cost;		/* tokens that were generated */
};

typedef struct call_filter {
	const char *name;
	call_step_t (*run)(call_t *call);
} call_filter_t;

extern const call_filter_t call_identify;
extern const call_filter_t call_classify;
extern const call_filter_t call_admit;
extern const call_filter_t call_queue;
extern const call_filter_t call_dispatch;
extern const call_filter_t call_relay;
extern const call_filter_t call_account;

/* call.c */
call_t *call_new(gateway_t *gateway, caller_t *caller, const caller_request_t *request);
/* Runs filters until one waits or the call is over, which frees it. */
void call_run(call_t *this);
/* The waiting filter is done: goes on with the next one. */
void call_next(call_t *this);
/* Ends with `reason`, from whatever filter. */
void call_answer(call_t *this, reason_t reason);
/* Some endpoint may have begun to work on it. */
bool call_may_have_run(const call_t *this);
/* Goes back to the queue for another attempt. */
void call_again(call_t *this);
/* The caller went away. */
void call_gone(call_t *this);
/* Its time is up. */
void call_expire(call_t *this);

/* Frees a call that is over and that the node has forgotten. */
void call_delete(call_t *this);

/* call_queue.c */
/* The decision: a place at `endpoint`, or none and when to come back. */
void call_start(call_t *this, id_t32 endpoint);
void call_reject(call_t *this, reason_t reason, double retry_after_s);
/*
 * Gives the place up.  A decision that is under way comes first: the call stays
 * until then.
 */
void call_leave_queue(call_t *this, place_end_t end);
/* The endpoint told how many requests it has. */
void call_note_load(call_t *this, unsigned int load);
/* The first byte of the answer has come. */
void call_note_first_byte(call_t *this);

/* call_dispatch.c */
/* The attempt failed: another one, or the answer that is true. */
void call_attempt_failed(call_t *this, place_end_t failure, bool may_have_run);

/* call_relay.c */
extern const endpoint_link_ops_t call_link_ops;
/* What the caller still gets of a stream's answer is kept at a bound. */
void call_drained(call_t *this);
/* Forgets what was read of an answer that the caller has seen nothing of. */
void call_reset_answer(call_t *this);

#endif
