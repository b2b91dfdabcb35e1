#include "core/buffer_pool.h"

void buffer_pool_init(buffer_pool_t *this, size_t limit)
{
	this->limit = limit;
	this->held = 0;
	this->peak = 0;
	CDS_INIT_LIST_HEAD(&this->groups);
}

void buffer_group_init(buffer_group_t *this)
{
	CDS_INIT_LIST_HEAD(&this->holders);
	this->held = 0;
}

/* Adds or removes a list's node as its bytes become more than 0 or 0 again. */
static void update_link(
	struct cds_list_head *link, struct cds_list_head *list, size_t before, size_t held)
{
	if (!before && held)
		cds_list_add_tail(link, list);
	else if (before && !held)
		cds_list_del(link);
}

void buffer_pool_update(buffer_pool_t *this, buffer_holder_t *holder, size_t held)
{
	buffer_group_t *group = holder->group;
	size_t before = group->held;

	if (held == holder->held)
		return;
	update_link(&holder->link, &group->holders, holder->held, held);
	group->held += held - holder->held;
	this->held += held - holder->held;
	holder->held = held;
	update_link(&group->link, &this->groups, before, group->held);
	if (this->held > this->peak)
		this->peak = this->held;
}

static buffer_group_t *largest_group(buffer_pool_t *this)
{
	buffer_group_t *largest = NULL;
	buffer_group_t *group;

	cds_list_for_each_entry (group, &this->groups, link) {
		if (!largest || group->held > largest->held)
			largest = group;
	}
	return largest;
}

static buffer_holder_t *largest_holder(buffer_group_t *group)
{
	buffer_holder_t *largest = NULL;
	buffer_holder_t *holder;

	cds_list_for_each_entry (holder, &group->holders, link) {
		if (!largest || holder->held > largest->held)
			largest = holder;
	}
	return largest;
}

unsigned int buffer_pool_reclaim(buffer_pool_t *this)
{
	unsigned int reclaimed = 0;

	while (this->held > this->limit) {
		buffer_holder_t *holder = largest_holder(largest_group(this));

		/* Before the handler, which may free the holder. */
		buffer_pool_update(this, holder, 0);
		holder->reclaim(holder);
		reclaimed++;
	}
	return reclaimed;
}
