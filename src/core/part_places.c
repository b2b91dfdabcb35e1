#include "core/part_places.h"

#define PLACE_LIFE (10 * USEC_PER_SEC) /* later the engine has probably evicted the prefix */

static unsigned int set_of(uint64_t prefix)
{
	return (unsigned int)(prefix >> 32) & (PART_PLACES_SETS - 1);
}

/* Returns the place of the prefix, or the least recently used one of its set. */
static part_place_t *place_for(part_places_t *this, uint64_t prefix)
{
	part_place_t *set = this->places[set_of(prefix)];
	part_place_t *oldest = &set[0];

	for (unsigned int i = 0; i < PART_PLACES_WAYS; i++) {
		if (set[i].prefix == prefix)
			return &set[i];
		if (set[i].used_at < oldest->used_at)
			oldest = &set[i];
	}
	return oldest;
}

void part_places_record(part_places_t *this, uint64_t prefix, id_t32 engine, instant_t now)
{
	*place_for(this, prefix) =
		(part_place_t){.prefix = prefix, .engine = engine, .used_at = now};
}

id_t32 part_places_find(const part_places_t *this, uint64_t prefix, instant_t now)
{
	const part_place_t *set = this->places[set_of(prefix)];

	for (unsigned int i = 0; i < PART_PLACES_WAYS; i++) {
		if (set[i].prefix == prefix)
			return now < set[i].used_at + PLACE_LIFE ? set[i].engine : 0;
	}
	return 0;
}

void part_places_forget(part_places_t *this, id_t32 engine)
{
	for (unsigned int i = 0; i < PART_PLACES_SETS; i++) {
		for (unsigned int j = 0; j < PART_PLACES_WAYS; j++) {
			if (this->places[i][j].engine == engine)
				this->places[i][j] = (part_place_t){0};
		}
	}
}
