#include "core/order.h"

#include <string.h>

void order_init(order_t *this, uint64_t attempt, uint64_t body_hash)
{
	memset(this, 0, sizeof(*this));
	this->attempt = attempt;
	this->body_hash = body_hash;
	this->step = STEP_CLAIM;
}

static order_action_t finish(order_t *this, reason_t reason)
{
	this->step = STEP_ENDED;
	this->reason = reason;
	return ORDER_DO_ANSWER;
}

static order_action_t claim(order_t *this, uint64_t expected)
{
	this->step = STEP_CLAIM;
	this->expected = expected;
	return ORDER_DO_CLAIM;
}

order_verdict_t order_check_row(const order_row_t *row, uint64_t body_hash, reason_t *reason)
{
	*reason = REASON_NONE;
	if (row->state == ROW_ABSENT)
		return ORDER_CLAIMABLE;
	if (row->body_hash != body_hash) {
		*reason = REASON_KEY_CONFLICT;
		return ORDER_REFUSE;
	}
	switch (row->state) {
	case ROW_WITHDRAWN:
		return ORDER_CLAIMABLE;
	case ROW_DONE:
		return ORDER_REPLAY;
	case ROW_STARTED:
		*reason = row->holder_is_alive ? REASON_IN_PROGRESS : REASON_MAY_HAVE_RUN;
		return ORDER_REFUSE;
	default:
		*reason = REASON_MAY_HAVE_RUN;
		return ORDER_REFUSE;
	}
}

/* The store cannot be reached.  Nothing was sent, so the order has not run. */
static order_action_t abandon_claim(order_t *this)
{
	this->withdraw = true;
	return finish(this, REASON_STORE_DOWN);
}

static order_action_t act_on_row(order_t *this, const order_row_t *row)
{
	reason_t reason;

	switch (order_check_row(row, this->body_hash, &reason)) {
	case ORDER_CLAIMABLE:
		if (this->tries >= ORDER_STORE_TRIES)
			return abandon_claim(this);
		return claim(this, row->version);
	case ORDER_REPLAY:
		finish(this, REASON_NONE);
		return ORDER_DO_REPLAY;
	default:
		return finish(this, reason);
	}
}

static order_action_t claim_reply_lost(order_t *this)
{
	if (++this->tries >= ORDER_STORE_TRIES)
		return abandon_claim(this);
	this->step = STEP_CHECK_CLAIM;
	return ORDER_DO_READ;
}

static order_action_t claim_succeeded(order_t *this, uint64_t version)
{
	this->step = STEP_SEND;
	this->expected = version;
	this->tries = 0;
	return ORDER_DO_SEND;
}

static order_action_t step_claim(order_t *this, order_event_t event, const order_row_t *row)
{
	switch (event) {
	case ORDER_BEGIN:
		return claim(this, 0);
	case ORDER_WRITTEN:
		return claim_succeeded(this, row->version);
	case ORDER_CONFLICT:
		this->step = STEP_CHECK_CLAIM;
		return ORDER_DO_READ;
	default:
		return claim_reply_lost(this);
	}
}

static order_action_t step_check_claim(order_t *this, order_event_t event, const order_row_t *row)
{
	if (event != ORDER_ROW)
		return claim_reply_lost(this);
	if (row->state == ROW_STARTED && row->attempt == this->attempt)
		return claim_succeeded(this, row->version);
	this->tries++;
	return act_on_row(this, row);
}

static order_action_t step_send(order_t *this, order_event_t event)
{
	switch (event) {
	case ORDER_ANSWERED:
		this->step = STEP_FINISH;
		return ORDER_DO_FINISH;
	case ORDER_NOT_SENT:
		this->withdraw = true;
		return finish(this, REASON_ENDPOINT_REFUSED);
	default:
		this->step = STEP_FINISH;
		this->reason = REASON_MAY_HAVE_RUN;
		return ORDER_DO_MARK_UNKNOWN;
	}
}

/* The caller gets the result even if it cannot be stored now; it is then written later. */
static order_action_t step_finish(order_t *this, order_event_t event)
{
	if (event != ORDER_WRITTEN && event != ORDER_CONFLICT) {
		if (++this->tries < ORDER_STORE_TRIES)
			return this->reason == REASON_NONE ? ORDER_DO_FINISH
							   : ORDER_DO_MARK_UNKNOWN;
		this->finish_later = true;
	}
	return finish(this, this->reason);
}

order_action_t order_step(order_t *this, order_event_t event, const order_row_t *row)
{
	switch (this->step) {
	case STEP_CLAIM:
		return step_claim(this, event, row);
	case STEP_CHECK_CLAIM:
		return step_check_claim(this, event, row);
	case STEP_SEND:
		return step_send(this, event);
	case STEP_FINISH:
		return step_finish(this, event);
	default:
		return ORDER_DO_ANSWER;
	}
}

bool order_withdraw(const order_t *this, const order_row_t *row, uint64_t *expected)
{
	*expected = row->version;
	if (row->state == ROW_STARTED)
		return row->attempt == this->attempt;
	/*
	 * A delayed claim of this attempt on this very version may still reach the
	 * store.  Writing the row changes its version, so that the claim fails.
	 */
	return row->version == this->expected &&
	       (row->state == ROW_ABSENT || row->state == ROW_WITHDRAWN);
}
