#include "gateway/caller_group.h"

#define CLOSE_TIMEOUT (2 * USEC_PER_SEC) /* to read the last response and close */
#define STALLED_AFTER USEC_PER_SEC
#define PACE_WINDOW (30 * USEC_PER_SEC)
#define CROWDED_NUMERATOR 2 /* crowded: over two thirds of the permitted callers are connected */
#define CROWDED_DENOMINATOR 3

void caller_group_init(caller_group_t *this)
{
	CDS_INIT_LIST_HEAD(&this->callers);
	CDS_INIT_LIST_HEAD(&this->paces);
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
	case CALLER_WAIT_ROOM:
		return wait->since + this->room_wait;
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

caller_wait_t *caller_group_least_active(caller_group_t *this, instant_t now)
{
	static const caller_wait_kind_t kinds[] = {
		CALLER_WAIT_ROOM, CALLER_WAIT_BODY, CALLER_WAIT_HEAD};

	for (size_t i = 0; i < ARRAY_LEN(kinds); i++) {
		caller_wait_t *wait = first_wait(this, kinds[i]);

		if (wait && now >= wait->since + STALLED_AFTER)
			return wait;
	}
	return NULL;
}

static void start_pace(caller_group_t *this, caller_pace_t *pace, instant_t now)
{
	pace->check_at = now + PACE_WINDOW;
	pace->bytes = 0;
	cds_list_add_tail(&pace->link, &this->paces);
}

void caller_group_count_body(caller_group_t *this, caller_pace_t *pace, size_t bytes, instant_t now)
{
	if (!this->body_pace)
		return;
	if (!pace->check_at)
		start_pace(this, pace, now);
	pace->bytes += bytes;
}

void caller_pace_stop(caller_pace_t *pace)
{
	if (pace->check_at)
		cds_list_del(&pace->link);
	pace->check_at = 0;
}

caller_pace_t *caller_group_next_slow(caller_group_t *this, instant_t now)
{
	size_t least = this->body_pace * (PACE_WINDOW / USEC_PER_SEC);

	while (!cds_list_empty(&this->paces)) {
		caller_pace_t *pace = cds_list_first_entry(&this->paces, caller_pace_t, link);
		bool is_slow = pace->bytes < least;

		if (now < pace->check_at)
			return NULL;
		caller_pace_stop(pace);
		if (is_slow)
			return pace;
		start_pace(this, pace, now);
	}
	return NULL;
}

bool caller_group_is_crowded(const caller_group_t *this)
{
	return this->connected * CROWDED_DENOMINATOR > this->max_callers * CROWDED_NUMERATOR;
}
