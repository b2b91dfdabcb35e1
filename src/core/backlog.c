#include "core/backlog.h"

#define BOUND_GROWTH 1.0    /* with each grant */
#define BOUND_SHRINKAGE 4.0 /* with each refusal by an owner */

void backlog_init(backlog_t *this, id_t32 pool, id_t32 workspace)
{
	this->pool = pool;
	this->workspace = workspace;
	this->bound = BACKLOG_MIN_BOUND;
	CDS_INIT_LIST_HEAD(&this->entries);
}

bool backlog_admits(const backlog_t *this, instant_t now)
{
	const backlog_entry_t *oldest;

	if (this->waiting < this->bound || this->waiting < this->grants.per_us * BACKLOG_MIN_TIME)
		return true;
	oldest = cds_list_first_entry(&this->entries, backlog_entry_t, link);
	return now < oldest->since + BACKLOG_MIN_WAIT;
}

void backlog_add(backlog_t *this, backlog_entry_t *entry, instant_t now)
{
	if (entry->backlog)
		return;
	entry->backlog = this;
	entry->since = now;
	cds_list_add_tail(&entry->link, &this->entries);
	this->waiting++;
}

void backlog_remove(backlog_entry_t *entry)
{
	if (!entry->backlog)
		return;
	cds_list_del(&entry->link);
	entry->backlog->waiting--;
	entry->backlog = NULL;
}

/* A bound that is not reached says nothing of what the owners would grant beyond it. */
void backlog_record_grant(backlog_t *this, instant_t now)
{
	grant_rate_count(&this->grants, now);
	if (this->waiting * 2 >= this->bound && this->bound < BACKLOG_MAX_BOUND)
		this->bound += BOUND_GROWTH;
}

void backlog_record_refusal(backlog_t *this)
{
	if (this->bound > BACKLOG_MIN_BOUND)
		this->bound -= BOUND_SHRINKAGE;
}
