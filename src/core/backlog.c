#include "core/backlog.h"

void backlog_init(backlog_t *this, id_t32 pool, id_t32 workspace)
{
	this->pool = pool;
	this->workspace = workspace;
	CDS_INIT_LIST_HEAD(&this->entries);
}

bool backlog_admits(const backlog_t *this, instant_t now)
{
	const backlog_entry_t *oldest;

	if (this->waiting < BACKLOG_MIN_WAITING ||
		this->waiting < this->grants.per_us * BACKLOG_MAX_WAIT)
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
