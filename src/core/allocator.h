#ifndef CORE_ALLOCATOR_H
#define CORE_ALLOCATOR_H
/*
 * allocator - memory allocation functions used by the core
 *
 * `alloc` returns zeroed memory and never NULL: an embedder that can run out
 * of memory must terminate the process or keep a reserve.
 */
#include <stddef.h>

typedef struct allocator {
	void *(*alloc)(void *ctx, size_t size);
	void (*free)(void *ctx, void *memory);
	void *ctx;
} allocator_t;

/* Uses calloc() and free(), and calls abort() when memory runs out. */
extern const allocator_t allocator_default;

/* Returns a zeroed array of `count` elements of `size` bytes. */
void *allocator_new(const allocator_t *this, size_t count, size_t size);
/* Frees `memory`; NULL is ignored. */
void allocator_delete(const allocator_t *this, void *memory);
/*
 * Copies the `old_count` elements of `memory` into a new array of `new_count`
 * elements, zeroes the rest, frees `memory` and returns the new array.
 */
void *allocator_grow(
	const allocator_t *this, void *memory, size_t old_count, size_t new_count, size_t size);

#endif
