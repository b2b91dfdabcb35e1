#include "core/link_watch.h"

void link_watch_sent(link_watch_t *this, uint64_t seq, uint64_t allowed, instant_t now)
{
	if (this->awaited)
		return;
	this->awaited = seq;
	this->confirm_by = now + allowed * (this->factor ? this->factor : 1);
}

void link_watch_confirmed(link_watch_t *this, uint64_t seq)
{
	if (!this->awaited || seq < this->awaited)
		return;
	this->awaited = 0;
	this->factor = 1;
}

bool link_watch_expire(link_watch_t *this, instant_t now)
{
	if (!this->awaited || now < this->confirm_by)
		return false;
	this->awaited = 0;
	this->factor = this->factor ? 2 * this->factor : 2;
	if (this->factor > LINK_WATCH_MAX_FACTOR)
		this->factor = LINK_WATCH_MAX_FACTOR;
	return true;
}
