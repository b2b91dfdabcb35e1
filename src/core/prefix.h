#ifndef CORE_PREFIX_H
#define CORE_PREFIX_H
/*
 * prefix - the prompt prefixes that a replica has probably cached
 *
 * These are the most recent prefixes that this router sent to the replica.  They
 * are only an estimate: engines evict entries on their own, and their cache
 * events arrive late.
 */
#include "core/types.h"

#define PREFIX_HISTORY_SIZE 16

typedef struct prefix_history {
	uint64_t recent[PREFIX_HISTORY_SIZE]; /* ring of hashes; 0: empty */
	unsigned int next;		      /* index in the ring */
} prefix_history_t;

/* Returns whether `prefix` was sent there recently; false for 0, which means no prefix. */
bool prefix_history_contains(const prefix_history_t *this, uint64_t prefix);
/* Adds `prefix` in place of the oldest one, unless it is 0 or already there. */
void prefix_history_add(prefix_history_t *this, uint64_t prefix);

#endif
