#ifndef SETTINGS_JSONDOC_H
#define SETTINGS_JSONDOC_H
/*
 * jsondoc - tree of a JSON document, with the line number of each value
 *
 * Parsed by yajl.  Comments are allowed; duplicate keys, nesting deeper than
 * JSONDOC_MAX_DEPTH and more values than JSONDOC_MAX_VALUES are errors.  A string with a NUL byte
 * has a type of its own, so that it does no harm where nobody reads it.  Values belong to their
 * document.
 */
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define JSONDOC_MAX_DEPTH 32
#define JSONDOC_MAX_VALUES 200000 /* some 24 MB of memory */

typedef enum json_type {
	JSON_NULL,
	JSON_BOOL,
	JSON_INTEGER, /* a whole number in the range of int64_t, also when written 8.0 or 1e3 */
	JSON_NUMBER,  /* any other number */
	JSON_STRING,
	JSON_STRING_WITH_NUL, /* has no `string` */
	JSON_ARRAY,
	JSON_OBJECT,
} json_type_t;

typedef struct json_value json_value_t;
struct json_value {
	json_type_t type;
	unsigned int line;
	char *key;	     /* NULL outside objects */
	int64_t integer;     /* JSON_INTEGER, JSON_BOOL */
	double number;	     /* JSON_NUMBER, JSON_INTEGER */
	char *string;	     /* JSON_STRING */
	json_value_t *first; /* child */
	json_value_t *last;  /* child */
	json_value_t *next;  /* sibling */
	unsigned int count;  /* of children */
	bool used;	     /* set by json_get(); other keys are reported as unknown */
};

typedef struct jsondoc {
	json_value_t *root;
	char *error; /* NULL when the document is valid */
	unsigned int error_line;
} jsondoc_t;

/* Parses `len` bytes.  Never returns NULL; check `error` before using `root`. */
jsondoc_t *jsondoc_new(const char *text, size_t len);
void jsondoc_delete(jsondoc_t *this);

/* Gets the member `key` of an object and marks it as used; NULL when absent or no object. */
json_value_t *json_get(json_value_t *object, const char *key);
/* Get a member's value; `fallback` when it is absent or of another type. */
const char *json_get_string(json_value_t *object, const char *key, const char *fallback);
int64_t json_get_int(json_value_t *object, const char *key, int64_t fallback);
bool json_get_bool(json_value_t *object, const char *key, bool fallback);

/* Appends `text` to `out` as a quoted JSON string. */
void json_append_quoted(GString *out, const char *text);

#endif
