#include "core/prefix.h"

bool prefix_history_contains(const prefix_history_t *this, uint64_t prefix)
{
	if (!prefix)
		return false;
	for (unsigned int i = 0; i < PREFIX_HISTORY_SIZE; i++) {
		if (this->recent[i] == prefix)
			return true;
	}
	return false;
}

void prefix_history_add(prefix_history_t *this, uint64_t prefix)
{
	if (!prefix || prefix_history_contains(this, prefix))
		return;
	this->recent[this->next] = prefix;
	this->next = (this->next + 1) % PREFIX_HISTORY_SIZE;
}
