#ifndef CORE_TYPES_H
#define CORE_TYPES_H
/*
 * types - units and small types shared by the coordination parts
 *
 * instant_t is a point on CLOCK_MONOTONIC in microseconds.  The core never
 * reads a clock: every call that needs the time is given it.  Deadlines are
 * instants; only the wire carries time left.
 *
 * An id is the 32-bit XXH32 of a name.  The fleet text is rejected when two
 * of its names share an id, so within one text ids are unique.
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

/* Time left until `deadline`, 0 when it has passed. */
static inline uint64_t instant_left(instant_t deadline, instant_t now)
{
	return deadline > now ? deadline - now : 0;
}

#endif
