#ifndef SETTINGS_TEXT_ROW_H
#define SETTINGS_TEXT_ROW_H
/*
 * config_row - the fleet configuration as a row of the platform's table
 *
 * The row TEXT_KEY has the current version.  The transaction that writes it
 * also writes a copy under text_history_key().  A writer that got no reply reads
 * that copy: it has the writer's change id if the write took effect.
 */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define TEXT_KEY "fleet/text"
#define TEXT_HISTORY_PREFIX "fleet/history/"

typedef struct config_row {
	uint64_t number; /* version of the configuration, from 1 */
	char *change;	 /* random id of the change, chosen by its writer */
	char *text;	 /* the configuration document */
} text_row_t;

/* Encodes a row's value as JSON; the caller frees it with g_free(). */
char *text_row_encode(const text_row_t *row);
/*
 * Decodes a row's value; false when invalid.  Free `row` with text_row_clear()
 * in both cases.
 */
bool text_row_decode(const char *value, text_row_t *row);
void text_row_clear(text_row_t *row);
/* Key of the history row of a version; free it with g_free(). */
char *text_history_key(uint64_t version);

#endif
