#ifndef CORE_ALLOCATOR_H
#define CORE_ALLOCATOR_H
/*
 * allocator - where the coordination parts get their memory
 *
 * `alloc` returns zeroed memory and does not return NULL: an embedder that can
 * run out must end the process or arrange for a reserve.
 */
#include <stddef.h>

typedef struct allocator {
	void *(*alloc)(void *ctx, size_t size);
	void (*free)(void *ctx, void *memory);
	void *ctx;
} allocator_t;

/* calloc() and free(); abort() when memory runs out. */
extern const allocator_t allocator_default;

void *allocator_new(const allocator_t *this, size_t count, size_t size);
void allocator_delete(const allocator_t *this, void *memory);
/* A zero-filled copy with room for `to` elements of the `from` in `memory`, which is freed. */
void *allocator_grow(const allocator_t *this, void *memory, size_t from, size_t to, size_t size);

#endif
