#ifndef CORE_PART_PLACES_H
#define CORE_PART_PLACES_H
/*
 * part_places - on which engine this router last ran a prompt prefix
 *
 * Requests with a shared prefix go to the engines that rank first for it, but under load some run
 * elsewhere.  What this router saw itself tells better than the ranking which engine has the
 * prefix cached, to run the next request there or to copy from it.  Fixed size: the least recently
 * used prefix of a set is forgotten.
 */
#include "core/types.h"

#define PART_PLACES_SETS 512 /* a power of two */
#define PART_PLACES_WAYS 4

typedef struct part_place {
	uint64_t prefix; /* 0: empty */
	id_t32 engine;
	instant_t used_at;
} part_place_t;

typedef struct part_places {
	part_place_t places[PART_PLACES_SETS][PART_PLACES_WAYS];
} part_places_t;

/* Records that a request with the prefix, not 0, runs on the engine. */
void part_places_record(part_places_t *this, uint64_t prefix, id_t32 engine, instant_t now);
/* Returns the engine that ran the prefix last, 0: none, or long ago. */
id_t32 part_places_find(const part_places_t *this, uint64_t prefix, instant_t now);
/* Forgets the prefixes of an engine that has ended. */
void part_places_forget(part_places_t *this, id_t32 engine);

#endif
