#include "settings/error_list.h"

#include <stdarg.h>

void error_list_init(error_list_t *this, const char *file)
{
	this->file = file;
	this->text = g_string_new(NULL);
	this->count = 0;
}

void error_list_clear(error_list_t *this)
{
	g_string_free(this->text, TRUE);
	this->text = NULL;
}

void error_list_add(error_list_t *this, unsigned int line, const char *format, ...)
{
	va_list args;

	g_string_append_printf(this->text, "%s:%u: ", this->file, line);
	va_start(args, format);
	g_string_append_vprintf(this->text, format, args);
	va_end(args);
	g_string_append_c(this->text, '\n');
	this->count++;
}

void error_list_add_unknown_keys(error_list_t *this, const json_value_t *object)
{
	for (const json_value_t *v = object->first; v; v = v->next) {
		if (object->type == JSON_OBJECT && !v->used)
			error_list_add(this, v->line, "%s: unknown key", v->key);
		else
			error_list_add_unknown_keys(this, v);
	}
}

static bool check_member(error_list_t *errors, json_value_t *object, const char *key,
	json_value_t *v, bool required, bool valid, const char *expected)
{
	if (!v && required)
		error_list_add(errors, object->line, "%s: missing; give %s", key, expected);
	else if (v && !valid)
		error_list_add(errors, v->line, "%s: wrong type; give %s", key, expected);
	return v && valid;
}

const char *json_read_string(
	error_list_t *errors, json_value_t *object, const char *key, const char *fallback)
{
	json_value_t *v = json_get(object, key);
	bool valid = v && v->type == JSON_STRING && v->string[0];

	if (!check_member(errors, object, key, v, !fallback, valid, "a non-empty string"))
		return fallback ? fallback : "";
	return v->string;
}

int64_t json_read_int(error_list_t *errors, json_value_t *object, const char *key, int64_t fallback,
	int64_t min, int64_t max)
{
	json_value_t *v = json_get(object, key);
	bool required = fallback == JSON_REQUIRED_INT;
	int64_t substitute = required ? min : fallback;

	if (!check_member(errors, object, key, v, required, v && v->type == JSON_INTEGER,
		    "a whole number"))
		return substitute;
	if (v->integer < min || v->integer > max) {
		error_list_add(errors, v->line,
			"%s: %" G_GINT64_FORMAT " is out of range; give %" G_GINT64_FORMAT
			" to %" G_GINT64_FORMAT,
			key, v->integer, min, max);
		return substitute;
	}
	return v->integer;
}

bool json_read_bool(error_list_t *errors, json_value_t *object, const char *key, bool fallback)
{
	json_value_t *v = json_get(object, key);

	if (!check_member(
		    errors, object, key, v, false, v && v->type == JSON_BOOL, "true or false"))
		return fallback;
	return v->integer != 0;
}

double json_read_number(error_list_t *errors, json_value_t *object, const char *key,
	double fallback, double min, double max)
{
	json_value_t *v = json_get(object, key);
	bool valid = v && (v->type == JSON_NUMBER || v->type == JSON_INTEGER);

	if (!check_member(errors, object, key, v, false, valid, "a number"))
		return fallback;
	if (v->number < min || v->number > max) {
		error_list_add(errors, v->line, "%s: %g is out of range; give %g to %g", key,
			v->number, min, max);
		return fallback;
	}
	return v->number;
}

jsondoc_t *json_parse_object(error_list_t *errors, const char *text, gsize len)
{
	jsondoc_t *doc = jsondoc_new(text, len);

	if (!doc->error && doc->root->type == JSON_OBJECT)
		return doc;
	error_list_add(errors, doc->error ? doc->error_line : 1, "%s",
		doc->error ? doc->error : "give one object {...}");
	jsondoc_delete(doc);
	return NULL;
}

jsondoc_t *json_load_object(error_list_t *errors, const char *path)
{
	jsondoc_t *doc;
	GError *error = NULL;
	char *text = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		error_list_add(errors, 0, "%s", error->message);
		g_error_free(error);
		return NULL;
	}
	doc = json_parse_object(errors, text, len);
	g_free(text);
	return doc;
}
