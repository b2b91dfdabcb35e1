#ifndef SETTINGS_JSONDOC_H
#define SETTINGS_JSONDOC_H
/*
 * jsondoc - a JSON document with comments that remembers the line of each value
 *
 * Built on yajl's callbacks.  Duplicate keys are an error.  Nesting is limited
 * to JSONDOC_MAX_DEPTH.  A value is owned by its document.
 */
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define JSONDOC_MAX_DEPTH 32

typedef enum json_type {
	JSON_NULL,
	JSON_BOOL,
	JSON_INTEGER,
	JSON_NUMBER,
	JSON_STRING,
	JSON_ARRAY,
	JSON_OBJECT,
} json_type_t;

typedef struct json_value json_value_t;
struct json_value {
	json_type_t type;
	unsigned int line;
	char *key; /* NULL outside objects */
	int64_t integer;
	double number;
	char *string;
	json_value_t *first; /* children */
	json_value_t *last;
	json_value_t *next; /* sibling */
	unsigned int count;
	bool used; /* set by readers; unread keys are reported as unknown */
};

typedef struct jsondoc {
	json_value_t *root;
	char *error; /* NULL when the text was read */
	unsigned int error_line;
} jsondoc_t;

/* Parses `len` bytes.  Always returns a document; see its error. */
jsondoc_t *jsondoc_new(const char *text, size_t len);
void jsondoc_delete(jsondoc_t *this);

/* The member `key` of an object, marked as used; NULL when absent. */
json_value_t *json_get(json_value_t *object, const char *key);
/* The member as text or number; `fallback` when absent or of another type. */
const char *json_get_string(json_value_t *object, const char *key, const char *fallback);
int64_t json_get_int(json_value_t *object, const char *key, int64_t fallback);
bool json_get_bool(json_value_t *object, const char *key, bool fallback);

/* Appends `text` to `out` as a quoted JSON string. */
void json_quote(GString *out, const char *text);

#endif
