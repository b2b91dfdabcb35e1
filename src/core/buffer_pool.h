#ifndef CORE_BUFFER_POOL_H
#define CORE_BUFFER_POOL_H
/*
 * buffer_pool - bounds the bytes that a process buffers for all its exchanges together
 *
 * Every exchange has bounds of its own, but their sum may exceed the process's memory.  A holder
 * reports the bytes that it buffers and belongs to a group: the exchanges with one endpoint, or
 * the callers.  While the sum is above the limit, buffer_pool_reclaim() ends the largest holder
 * of the largest group, so that exchanges with others are not ended for one faulty endpoint.
 * Groups and holders are intrusive; the embedder allocates them.  Sizes are in bytes.
 */
#include <stddef.h>
#include <urcu/list.h>

#include "core/types.h"

typedef struct buffer_group {
	struct cds_list_head link;    /* in the pool's list while the group holds bytes */
	struct cds_list_head holders; /* those that hold bytes */
	size_t held;
} buffer_group_t;

typedef struct buffer_holder {
	struct cds_list_head link; /* in its group's list while it holds bytes */
	buffer_group_t *group;
	size_t held;
	/* Must free what the holder buffers; may free the holder. */
	void (*reclaim)(struct buffer_holder *this);
} buffer_holder_t;

typedef struct buffer_pool {
	size_t limit;
	size_t held;
	size_t peak;
	struct cds_list_head groups; /* those that hold bytes */
} buffer_pool_t;

void buffer_pool_init(buffer_pool_t *this, size_t limit);
void buffer_group_init(buffer_group_t *this);
/* Sets what the holder buffers now; 0 removes it from the pool. */
void buffer_pool_update(buffer_pool_t *this, buffer_holder_t *holder, size_t held);
/*
 * Reclaims holders until the sum is within the limit; returns how many.  To be called where
 * every exchange may end, but not while a holder is in use.
 */
unsigned int buffer_pool_reclaim(buffer_pool_t *this);

#endif
