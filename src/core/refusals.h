#ifndef CORE_REFUSALS_H
#define CORE_REFUSALS_H
/*
 * refusals - which requests were refused lately
 *
 * A caller that was told to come back sends the same request again, under a new
 * id and by way of another router.  It is known by its subject, a hash over what
 * it asks for.  One that is forgotten, as another took its entry, counts as new.
 */
#include "core/types.h"

#define REFUSALS_ENTRIES 1024 /* some seconds of an owner that refuses 100 a second */

typedef struct refusals {
	struct {
		uint32_t subject;
		instant_t until;
	} entries[REFUSALS_ENTRIES];
} refusals_t;

/* `subject` 0 stands for none, and is not remembered. */
void refusals_note(refusals_t *this, uint32_t subject, instant_t now);
bool refusals_has(const refusals_t *this, uint32_t subject, instant_t now);

#endif
