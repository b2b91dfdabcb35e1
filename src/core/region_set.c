#include "core/region_set.h"

static bool contains(const region_set_t *this, id_t32 region)
{
	for (unsigned int i = 0; i < this->count; i++) {
		if (this->regions[i] == region)
			return true;
	}
	return false;
}

bool region_set_add(region_set_t *this, id_t32 region)
{
	this->restricted = true;
	if (contains(this, region))
		return true;
	if (this->count == REGION_SET_MAX)
		return false;
	this->regions[this->count++] = region;
	return true;
}

bool region_set_allows(const region_set_t *this, id_t32 region)
{
	return !this->restricted || contains(this, region);
}

void region_set_intersect(region_set_t *this, const region_set_t *other)
{
	region_set_t both = {.restricted = true};

	if (!other->restricted)
		return;
	if (!this->restricted) {
		*this = *other;
		return;
	}
	for (unsigned int i = 0; i < this->count; i++) {
		if (contains(other, this->regions[i]))
			region_set_add(&both, this->regions[i]);
	}
	*this = both;
}
