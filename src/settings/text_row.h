#ifndef SETTINGS_TEXT_ROW_H
#define SETTINGS_TEXT_ROW_H
/*
 * text_row - the fleet text as a row of the table
 *
 * The current text stands under TEXT_KEY; each accepted one also under
 * TEXT_HISTORY_PREFIX and its number, written in the same transaction.  The
 * change number tells a writer whose reply was lost whether its write won.
 */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define TEXT_KEY "fleet/text"
#define TEXT_HISTORY_PREFIX "fleet/history/"

typedef struct text_row {
	uint64_t number; /* version of the text */
	char *change;	 /* drawn by the writer */
	char *text;
} text_row_t;

char *text_row_encode(const text_row_t *row);
bool text_row_decode(const char *value, text_row_t *row);
void text_row_clear(text_row_t *row);
char *text_history_key(uint64_t number);

#endif
