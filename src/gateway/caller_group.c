#include "gateway/caller_group.h"

#define CLOSE_TIMEOUT (2 * USEC_PER_SEC) /* to read the last response and close */
#define CROWDED_NUMERATOR 2 /* crowded: over two thirds of the permitted callers are connected */
#define CROWDED_DENOMINATOR 3

void caller_group_init(caller_group_t *this)
{
	CDS_INIT_LIST_HEAD(&this->callers);
	buffer_group_init(&this->unwritten);
	for (unsigned int i = 0; i < CALLER_WAIT_KINDS; i++)
		CDS_INIT_LIST_HEAD(&this->waits[i]);
}

void caller_group_set_wait(
	caller_group_t *this, caller_wait_t *wait, caller_wait_kind_t kind, instant_t now)
{
	if (wait->kind != CALLER_WAIT_NONE)
		cds_list_del(&wait->link);
	wait->kind = kind;
	wait->since = now;
	if (kind != CALLER_WAIT_NONE)
		cds_list_add_tail(&wait->link, &this->waits[kind]);
}

static caller_wait_t *first_wait(caller_group_t *this, caller_wait_kind_t kind)
{
	if (cds_list_empty(&this->waits[kind]))
		return NULL;
	return cds_list_first_entry(&this->waits[kind], caller_wait_t, link);
}

static instant_t deadline_of(const caller_group_t *this, const caller_wait_t *wait)
{
	const catalog_limits_t *limits = this->limits(this->ctx);
	instant_t idle_until = wait->since + limits->idle_timeout_ms * USEC_PER_MSEC;

	switch (wait->kind) {
	case CALLER_WAIT_IDLE:
		return this->draining ? instant_min(idle_until, this->close_idle_from) : idle_until;
	case CALLER_WAIT_HEAD:
		return wait->since + limits->header_timeout_ms * USEC_PER_MSEC;
	case CALLER_WAIT_BODY:
		return idle_until;
	default:
		return wait->since + CLOSE_TIMEOUT;
	}
}

caller_wait_t *caller_group_next_expired(caller_group_t *this, instant_t now)
{
	for (unsigned int i = 0; i < CALLER_WAIT_KINDS; i++) {
		caller_wait_t *wait = first_wait(this, i);

		if (wait && now >= deadline_of(this, wait))
			return wait;
	}
	return NULL;
}

caller_wait_t *caller_group_least_needed(caller_group_t *this)
{
	caller_wait_t *wait = first_wait(this, CALLER_WAIT_CLOSE);

	if (!wait)
		wait = first_wait(this, CALLER_WAIT_IDLE);
	this->examined += wait != NULL;
	return wait;
}

bool caller_group_is_crowded(const caller_group_t *this)
{
	return this->connected * CROWDED_DENOMINATOR > this->max_callers * CROWDED_NUMERATOR;
}
