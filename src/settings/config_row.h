#ifndef SETTINGS_CONFIG_ROW_H
#define SETTINGS_CONFIG_ROW_H
/*
 * config_row - the fleet configuration as a row of the platform's table
 *
 * The row CONFIG_KEY has the current version.  The transaction that writes it
 * also writes a copy under config_history_key().  A writer that got no reply reads
 * that copy: it has the writer's change id if the write took effect.
 */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CONFIG_KEY "fleet/text"
#define CONFIG_HISTORY_PREFIX "fleet/history/"

typedef struct config_row {
	uint64_t number; /* version of the configuration, from 1 */
	char *change;	 /* random id of the change, chosen by its writer */
	char *text;	 /* the configuration document */
} config_row_t;

/* Encodes a row's value as JSON; the caller frees it with g_free(). */
char *config_row_encode(const config_row_t *row);
/*
 * Decodes a row's value; false when invalid.  Free `row` with config_row_clear()
 * in both cases.
 */
bool config_row_decode(const char *value, config_row_t *row);
void config_row_clear(config_row_t *row);
/* Key of the history row of a version; free it with g_free(). */
char *config_history_key(uint64_t version);

#endif
