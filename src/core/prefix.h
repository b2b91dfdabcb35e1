#ifndef CORE_PREFIX_H
#define CORE_PREFIX_H
/*
 * prefix - which prompt prefixes a replica has probably cached
 *
 * The most recent ones that this router sent there.  A guess: engines evict by
 * themselves and their cache events come late.
 */
#include "core/types.h"

#define PREFIX_MEMORY 16

typedef struct prefix_memory {
	uint64_t recent[PREFIX_MEMORY]; /* ring; 0: none */
	unsigned int next;
} prefix_memory_t;

bool prefix_memory_has(const prefix_memory_t *this, uint64_t prefix);
void prefix_memory_add(prefix_memory_t *this, uint64_t prefix);

#endif
