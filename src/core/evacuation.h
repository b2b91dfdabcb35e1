#ifndef CORE_EVACUATION_H
#define CORE_EVACUATION_H
/*
 * evacuation - the failure domains whose endpoints are sent nothing
 *
 * An operator's statement about a domain has the version of the store's row that it comes from, or
 * of the listing that lacks the row: the domain is not evacuated.  Versions are ordered by the
 * store's era, then by number.  The newest statement about a domain holds, whoever passed it on,
 * and a statement of an older era than the newest known one is never taken.  The first statements
 * of a newer era have to be a full listing.
 *
 * Until the first listing it is not known which domains are evacuated.  Does no I/O.
 */
#include "core/allocator.h"
#include "core/types.h"

typedef struct evacuation_statement {
	id_t32 domain;
	bool evacuated;
	uint64_t era;
	uint64_t number;
} evacuation_statement_t;

typedef enum evacuation_result {
	EVACUATION_OUTDATED,  /* older than, or the same as, what is known */
	EVACUATION_CONFIRMED, /* newer, with the same content */
	EVACUATION_CHANGED,
} evacuation_result_t;

typedef struct evacuations evacuations_t;

/* `allocator`: NULL: allocator_default. */
evacuations_t *evacuations_new(const allocator_t *allocator);
void evacuations_delete(evacuations_t *this);

evacuation_result_t evacuations_apply(evacuations_t *this, const evacuation_statement_t *statement);
/*
 * Applies a full listing of era and number: statements about all domains that have a row.  The
 * other domains are not evacuated, unless a newer statement says so.  Returns whether any domain
 * changed; `on_change` is called with each that did.
 */
bool evacuations_apply_listing(evacuations_t *this, const evacuation_statement_t *listed,
	unsigned int count, uint64_t era, uint64_t number,
	void (*on_change)(void *ctx, const evacuation_statement_t *statement), void *ctx);

/* Whether a listing was applied. */
bool evacuations_are_known(const evacuations_t *this);
bool evacuations_contain(const evacuations_t *this, id_t32 domain);
/* Number of evacuated domains. */
unsigned int evacuations_count(const evacuations_t *this);
/* The era of the newest statement or listing, 0: none. */
uint64_t evacuations_era(const evacuations_t *this);

#endif
