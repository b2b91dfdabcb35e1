#include "core/refusals.h"

#define MEMORY (10 * USEC_PER_SEC) /* over the longest time after which callers come back */

void refusals_note(refusals_t *this, uint32_t subject, instant_t now)
{
	unsigned int at = subject % REFUSALS_ENTRIES;

	if (!subject)
		return;
	this->entries[at].subject = subject;
	this->entries[at].until = now + MEMORY;
}

bool refusals_has(const refusals_t *this, uint32_t subject, instant_t now)
{
	unsigned int at = subject % REFUSALS_ENTRIES;

	return subject && this->entries[at].subject == subject && now < this->entries[at].until;
}
