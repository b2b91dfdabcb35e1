#include "core/allocator.h"

#include <stdlib.h>
#include <string.h>

static void *default_alloc(void *ctx, size_t size)
{
	void *memory = calloc(1, size);

	if (!memory)
		abort();
	return memory;
}

static void default_free(void *ctx, void *memory)
{
	free(memory);
}

const allocator_t allocator_default = {default_alloc, default_free, NULL};

void *allocator_new(const allocator_t *this, size_t count, size_t size)
{
	return this->alloc(this->ctx, count * size);
}

void allocator_delete(const allocator_t *this, void *memory)
{
	if (memory)
		this->free(this->ctx, memory);
}

void *allocator_grow(
	const allocator_t *this, void *memory, size_t old_count, size_t new_count, size_t size)
{
	void *grown = allocator_new(this, new_count, size);

	if (old_count)
		memcpy(grown, memory, old_count * size);
	allocator_delete(this, memory);
	return grown;
}
