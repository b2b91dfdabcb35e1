#ifndef CORE_ORDER_H
#define CORE_ORDER_H
/*
 * order - protocol that runs a non-idempotent request at most once
 *
 * An order_t drives one attempt of one caller.  It receives events and returns
 * the next action; the embedder performs the action and passes its result in as
 * the next event.  This file does no I/O, so that tests/test_order_model.c can
 * enumerate every interleaving of attempts, crashes and lost replies.
 *
 * The store has one row per (workspace, key), in one of these states:
 *   absent     no attempt has claimed the order
 *   started    an attempt has claimed it; its request may be sent at any time
 *   withdrawn  the attempt that claimed it sent no byte and never will
 *   done       the order ran; the row contains the response
 *   unknown    the request was sent, but its result is unknown
 * Each write is conditional on the row version that was read before.
 */
#include "core/reason.h"
#include "core/types.h"

typedef enum row_state {
	ROW_ABSENT,
	ROW_STARTED,
	ROW_WITHDRAWN,
	ROW_DONE,
	ROW_UNKNOWN,
} row_state_t;

/* The part of a row that the protocol needs. */
typedef struct order_row {
	row_state_t state;
	uint64_t version;     /* 0 when absent */
	uint64_t attempt;     /* the attempt that wrote the row */
	uint64_t body_hash;   /* hash of the request body */
	bool holder_is_alive; /* ROW_STARTED: the router of `attempt` is alive in the member view */
} order_row_t;

typedef enum order_event {
	ORDER_BEGIN,	   /* first event of an attempt */
	ORDER_WRITTEN,	   /* the conditional write succeeded */
	ORDER_CONFLICT,	   /* the conditional write failed: the row has another version */
	ORDER_REPLY_LOST,  /* the conditional write may or may not have succeeded */
	ORDER_ROW,	   /* the read returned the row */
	ORDER_READ_FAILED, /* the read returned nothing */
	ORDER_NOT_SENT,	   /* no byte of the request was sent, and none will be */
	ORDER_ANSWERED,	   /* the complete response was received */
	ORDER_BROKEN,	   /* bytes may have been sent, but the response is incomplete */
} order_event_t;

typedef enum order_action {
	ORDER_DO_CLAIM,	       /* write `started` if the row version is `expected` */
	ORDER_DO_READ,	       /* read the row */
	ORDER_DO_SEND,	       /* send the request once */
	ORDER_DO_FINISH,       /* write `done` with the response if the row version is `expected` */
	ORDER_DO_MARK_UNKNOWN, /* write `unknown` if the row version is `expected` */
	ORDER_DO_ANSWER, /* respond with `reason`; then act on `withdraw` and `finish_later` */
	ORDER_DO_REPLAY, /* respond with the response stored in the row */
} order_action_t;

typedef enum order_step {
	STEP_CLAIM,
	STEP_CHECK_CLAIM,
	STEP_SEND,
	STEP_FINISH,
	STEP_ENDED,
} order_step_t;

typedef struct order {
	uint64_t attempt;
	uint64_t body_hash;
	uint64_t expected; /* row version that the next write is conditional on */
	order_step_t step;
	unsigned int tries; /* failed store calls in the current step */
	reason_t reason;
	/*
	 * The caller was answered, but the attempt's `started` may be in the row
	 * or may still be written.  The embedder has to retry order_withdraw()
	 * and the write that it requires until the claim is withdrawn.
	 */
	bool withdraw;
	/* The caller got the result, but it still has to be written to the store. */
	bool finish_later;
} order_t;

#define ORDER_STORE_TRIES 3

typedef enum order_verdict {
	ORDER_CLAIMABLE, /* the order may be claimed at the row's version */
	ORDER_REPLAY,	 /* the order ran: respond with the stored response */
	ORDER_REFUSE,	 /* respond with `*reason` */
} order_verdict_t;

/* Decides how to treat a request with this body hash, given a row of another attempt. */
order_verdict_t order_check_row(const order_row_t *row, uint64_t body_hash, reason_t *reason);

void order_init(order_t *this, uint64_t attempt, uint64_t body_hash);

/*
 * Returns the action that follows `event`.  `row` is the row that was read, or
 * for ORDER_WRITTEN has the version that was written; other events need none.
 */
order_action_t order_step(order_t *this, order_event_t event, const order_row_t *row);

/*
 * Decides how to withdraw the claim, given the row just read.  Returns true if
 * `withdrawn` has to be written, on condition that the row version is
 * `*expected`; returns false if the claim can no longer take effect.
 */
bool order_withdraw(const order_t *this, const order_row_t *row, uint64_t *expected);

#endif
