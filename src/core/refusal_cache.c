#include "core/refusal_cache.h"

#define REFUSAL_LIFETIME (10 * USEC_PER_SEC) /* longer than the largest retry delay */

void refusal_cache_add(refusal_cache_t *this, uint32_t fingerprint, instant_t now)
{
	unsigned int index = fingerprint % REFUSAL_CACHE_ENTRIES;

	if (!fingerprint)
		return;
	this->entries[index].fingerprint = fingerprint;
	this->entries[index].expires_at = now + REFUSAL_LIFETIME;
}

bool refusal_cache_contains(const refusal_cache_t *this, uint32_t fingerprint, instant_t now)
{
	unsigned int index = fingerprint % REFUSAL_CACHE_ENTRIES;

	return fingerprint && this->entries[index].fingerprint == fingerprint &&
	       now < this->entries[index].expires_at;
}
