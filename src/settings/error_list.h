#ifndef SETTINGS_ERROR_LIST_H
#define SETTINGS_ERROR_LIST_H
/*
 * error_list - list of the errors in a JSON document, so that one check reports all of them
 *
 * Each error is a line "FILE:LINE: key: problem; expected value".
 */
#include "settings/jsondoc.h"

typedef struct error_list {
	const char *file;   /* name for messages, not copied */
	GString *text;	    /* the lines */
	unsigned int count; /* of errors */
} error_list_t;

void error_list_init(error_list_t *this, const char *file);
void error_list_clear(error_list_t *this);
/* Parses a document, which must be a JSON object; on errors adds them and returns NULL. */
jsondoc_t *json_parse_object(error_list_t *errors, const char *text, gsize len);
/* Like json_parse_object() for the contents of the file `path`. */
jsondoc_t *json_load_object(error_list_t *errors, const char *path);
/* Adds one error at a line of the document; `format` must not end in a newline. */
void error_list_add(error_list_t *this, unsigned int line, const char *format, ...)
	G_GNUC_PRINTF(3, 4);
/* Adds an error for each member of `object`, or of objects in it, that was never read. */
void error_list_add_unknown_keys(error_list_t *this, const json_value_t *object);

/*
 * Typed readers of the member `key`.  An absent member gives `fallback`; a
 * member of the wrong type or out of range adds an error and gives `fallback`,
 * too.  A string must not be empty; the one returned belongs to the document.
 */
const char *json_read_string(
	error_list_t *errors, json_value_t *object, const char *key, const char *fallback);
int64_t json_read_int(error_list_t *errors, json_value_t *object, const char *key, int64_t fallback,
	int64_t min, int64_t max);
bool json_read_bool(error_list_t *errors, json_value_t *object, const char *key, bool fallback);
double json_read_number(error_list_t *errors, json_value_t *object, const char *key,
	double fallback, double min, double max);
/*
 * Fallbacks for required members: an absent one is an error.  The value given
 * after an error is then "" or the minimum.
 */
#define JSON_REQUIRED_STRING NULL
#define JSON_REQUIRED_INT INT64_MIN

#endif
