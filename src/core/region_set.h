#ifndef CORE_REGION_SET_H
#define CORE_REGION_SET_H
/*
 * region_set - the regions in which a request may run
 *
 * A set without members that is not `restricted` allows every region; one that is restricted
 * allows only its members, none if it has none.
 */
#include "core/types.h"

#define REGION_SET_MAX 8 /* members; a set that would have more keeps its first */

typedef struct region_set {
	bool restricted;
	unsigned int count;
	id_t32 regions[REGION_SET_MAX];
} region_set_t;

/* Adds a region; the set is restricted from then on.  False if there is no room. */
bool region_set_add(region_set_t *this, id_t32 region);
/* Whether a request may run in the region; 0, an unknown one, only where nothing is restricted. */
bool region_set_allows(const region_set_t *this, id_t32 region);
/* Sets `this` to what both sets allow. */
void region_set_intersect(region_set_t *this, const region_set_t *other);

#endif
