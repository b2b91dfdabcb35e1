#ifndef CORE_REFUSAL_CACHE_H
#define CORE_REFUSAL_CACHE_H
/*
 * refusal_cache - the requests that were refused recently
 *
 * A refused caller sends the same request again later, with a new id and through
 * another router.  The request is recognized by its fingerprint, a hash over its
 * content.  A request whose entry was overwritten by another request counts as new.
 */
#include "core/types.h"

/* Lasts for several seconds at an owner that refuses 100 requests per second. */
#define REFUSAL_CACHE_ENTRIES 1024

typedef struct refusal_cache {
	struct {
		uint32_t fingerprint;
		instant_t expires_at;
	} entries[REFUSAL_CACHE_ENTRIES];
} refusal_cache_t;

/* Adds a refused request; fingerprint 0 means none and is ignored. */
void refusal_cache_add(refusal_cache_t *this, uint32_t fingerprint, instant_t now);
/* Returns whether the request was refused recently; false for fingerprint 0. */
bool refusal_cache_contains(const refusal_cache_t *this, uint32_t fingerprint, instant_t now);

#endif
