#ifndef CORE_TYPES_H
#define CORE_TYPES_H
/*
 * types - units and small types shared by the modules of the core
 *
 * instant_t is a point on CLOCK_MONOTONIC in microseconds.  The core never
 * reads a clock: callers pass the current time to every function that needs it.
 * Deadlines are instants; only messages between routers carry the time left
 * instead.
 *
 * An id is the 32-bit XXH32 hash of a name.  A fleet configuration in which two
 * names have the same id is rejected, so ids are unique within a configuration.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef uint64_t instant_t;
typedef uint32_t id_t32;

#define USEC_PER_MSEC 1000ULL
#define USEC_PER_SEC 1000000ULL
#define INSTANT_NEVER UINT64_MAX

#define ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

static inline instant_t instant_min(instant_t a, instant_t b)
{
	return a < b ? a : b;
}

static inline instant_t instant_max(instant_t a, instant_t b)
{
	return a > b ? a : b;
}

/* Returns the time left until `deadline`, or 0 when it has passed. */
static inline uint64_t instant_left(instant_t deadline, instant_t now)
{
	return deadline > now ? deadline - now : 0;
}

#endif
