#ifndef CORE_ORDER_H
#define CORE_ORDER_H
/*
 * order - the protocol that runs a non-idempotent request at most once
 *
 * One order_t drives one attempt of one caller.  It is fed events and answers
 * with the next action; whoever embeds it performs that action and feeds back
 * what came of it.  Nothing here does I/O, so every interleaving of attempts,
 * crashes and lost replies can be enumerated (tests/test_order_model.c).
 *
 * The row of the table, one per (workspace, key), holds one of
 *   absent     nobody has claimed the order
 *   started    one attempt claimed it; its bytes may leave at any time
 *   withdrawn  the attempt that claimed it sent no byte and never will
 *   done       it ran; the answer is kept
 *   unknown    it was sent and its end could not be learnt
 * All writes are conditional on the version that was read.
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

/* What one attempt needs to know of the row. */
typedef struct order_row {
	row_state_t state;
	uint64_t version;     /* 0 when absent */
	uint64_t attempt;     /* who wrote it */
	uint64_t body_hash;   /* of the request */
	bool holder_is_alive; /* by the member view, for ROW_STARTED */
} order_row_t;

typedef enum order_event {
	ORDER_BEGIN,
	ORDER_WRITTEN,	  /* the conditional write took effect */
	ORDER_CONFLICT,	  /* it did not: the version differs */
	ORDER_REPLY_LOST, /* it may or may not have */
	ORDER_ROW,	  /* a read returned the row */
	ORDER_READ_FAILED,
	ORDER_NOT_SENT, /* no byte has left and none will */
	ORDER_ANSWERED, /* the whole answer is here */
	ORDER_BROKEN,	/* bytes may have left, no whole answer */
} order_event_t;

typedef enum order_action {
	ORDER_DO_CLAIM, /* write `started` if the version is `expected` */
	ORDER_DO_READ,
	ORDER_DO_SEND,	 /* send the request once */
	ORDER_DO_FINISH, /* write `done` if the version is `expected` */
	ORDER_DO_SETTLE, /* write `unknown` if the version is `expected` */
	ORDER_DO_ANSWER, /* tell the caller `reason`; then see `withdraw` */
	ORDER_DO_REPLAY, /* give the caller the answer kept in the row */
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
	uint64_t expected; /* version that the next write is conditional on */
	order_step_t step;
	unsigned int tries; /* of the present store step */
	reason_t reason;
	/*
	 * The answer was given while our `started` may stand or may still
	 * land: order_withdraw() must be repeated until it succeeds.
	 */
	bool withdraw;
	/* The end was told to the caller and is still to be written. */
	bool finish_later;
} order_t;

#define ORDER_STORE_TRIES 3

typedef enum order_verdict {
	ORDER_CLAIMABLE, /* nobody holds it: it may be claimed at the row's version */
	ORDER_REPLAY,	 /* it ran: give the caller the answer kept */
	ORDER_REFUSE,	 /* tell the caller `reason` */
} order_verdict_t;

/* What a caller with this body may expect of a row that another attempt wrote. */
order_verdict_t order_judge(const order_row_t *row, uint64_t body_hash, reason_t *reason);

void order_init(order_t *this, uint64_t attempt, uint64_t body_hash);

/* The action that follows `event`; `row` only with ORDER_ROW and ORDER_CONFLICT. */
order_action_t order_step(order_t *this, order_event_t event, const order_row_t *row);

/*
 * What to write to take back the claim, given the row just read: true with
 * `*expected` set when `withdrawn` must be written if the version is
 * `*expected`, false when nothing is left to take back.
 */
bool order_withdraw(const order_t *this, const order_row_t *row, uint64_t *expected);

#endif
