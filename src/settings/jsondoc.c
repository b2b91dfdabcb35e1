#include "settings/jsondoc.h"

#include <errno.h>
#include <math.h>
#include <string.h>
#include <yajl/yajl_parse.h>

#define MANY_KEYS 16			     /* of an object: found by a hash from here on */
#define MAX_EXACT_INTEGER 9007199254740992.0 /* 2^53; doubles above it skip whole numbers */

typedef struct builder {
	jsondoc_t *doc;
	yajl_handle parser;
	const char *text;
	size_t scanned; /* bytes already searched for newlines */
	unsigned int line;
	json_value_t *stack[JSONDOC_MAX_DEPTH];
	GHashTable *keys[JSONDOC_MAX_DEPTH]; /* of an open object with many keys; else NULL */
	unsigned int depth;
	unsigned int value_count;
	char *key;
} builder_t;

static unsigned int builder_line(builder_t *this)
{
	size_t consumed = yajl_get_bytes_consumed(this->parser);

	for (; this->scanned < consumed; this->scanned++)
		this->line += this->text[this->scanned] == '\n';
	return this->line;
}

static int builder_fail(builder_t *this, const char *message, const char *detail)
{
	if (this->doc->error)
		return 0;
	this->doc->error = g_strconcat(message, detail, NULL);
	this->doc->error_line = builder_line(this);
	return 0;
}

static GHashTable *hash_keys(const json_value_t *object)
{
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

	for (const json_value_t *v = object->first; v; v = v->next)
		g_hash_table_add(keys, v->key);
	return keys;
}

/* Whether the innermost object has the key already. */
static bool has_key(builder_t *this, const char *key)
{
	const json_value_t *object = this->stack[this->depth - 1];
	GHashTable **keys = &this->keys[this->depth - 1];

	if (!*keys && object->count >= MANY_KEYS)
		*keys = hash_keys(object);
	if (*keys)
		return g_hash_table_contains(*keys, key);
	for (const json_value_t *v = object->first; v; v = v->next) {
		if (!strcmp(v->key, key))
			return true;
	}
	return false;
}

static void forget_keys(builder_t *this, unsigned int level)
{
	if (this->keys[level])
		g_hash_table_destroy(this->keys[level]);
	this->keys[level] = NULL;
}

static json_value_t *builder_add(builder_t *this, json_type_t type)
{
	json_value_t *value = g_new0(json_value_t, 1);
	json_value_t *parent = this->depth ? this->stack[this->depth - 1] : NULL;

	value->type = type;
	value->line = builder_line(this);
	value->key = this->key;
	this->key = NULL;
	this->value_count++;
	if (value->key && this->keys[this->depth - 1])
		g_hash_table_add(this->keys[this->depth - 1], value->key);
	if (!parent) {
		this->doc->root = value;
		return value;
	}
	if (parent->last)
		parent->last->next = value;
	else
		parent->first = value;
	parent->last = value;
	parent->count++;
	return value;
}

/* What a parser callback that added a value returns: 0 ends the parsing. */
static int check_value_count(builder_t *this)
{
	if (this->value_count > JSONDOC_MAX_VALUES)
		return builder_fail(this, "too many values", "");
	return 1;
}

static int on_null(void *ctx)
{
	builder_add(ctx, JSON_NULL);
	return check_value_count(ctx);
}

static int on_boolean(void *ctx, int value)
{
	builder_add(ctx, JSON_BOOL)->integer = value;
	return check_value_count(ctx);
}

/* Reads a whole number that int64_t holds exactly, however it is written: 8, 8.0 and 80e-1. */
static bool parse_integer(const char *text, double number, int64_t *integer)
{
	if (!strpbrk(text, ".eE")) {
		errno = 0;
		*integer = g_ascii_strtoll(text, NULL, 10);
		return !errno;
	}
	if (fabs(number) > MAX_EXACT_INTEGER || number != trunc(number))
		return false;
	*integer = (int64_t)number;
	return true;
}

/* A number that is too large for a double becomes infinite, so that every range excludes it. */
static int on_number(void *ctx, const char *text, size_t len)
{
	char *copy = g_strndup(text, len);
	double number = g_ascii_strtod(copy, NULL);
	int64_t integer = 0;
	json_type_t type = parse_integer(copy, number, &integer) ? JSON_INTEGER : JSON_NUMBER;
	json_value_t *value = builder_add(ctx, type);

	value->integer = integer;
	value->number = number;
	g_free(copy);
	return check_value_count(ctx);
}

static int on_string(void *ctx, const unsigned char *text, size_t len)
{
	if (memchr(text, 0, len))
		builder_add(ctx, JSON_STRING_WITH_NUL);
	else
		builder_add(ctx, JSON_STRING)->string = g_strndup((const char *)text, len);
	return check_value_count(ctx);
}

static int builder_open(builder_t *this, json_type_t type)
{
	json_value_t *value;

	if (this->depth == JSONDOC_MAX_DEPTH)
		return builder_fail(this, "nested too deeply", "");
	value = builder_add(this, type);
	this->stack[this->depth++] = value;
	return check_value_count(this);
}

static int on_start_map(void *ctx)
{
	return builder_open(ctx, JSON_OBJECT);
}

static int on_start_array(void *ctx)
{
	return builder_open(ctx, JSON_ARRAY);
}

static int on_end_container(void *ctx)
{
	builder_t *this = ctx;

	this->depth--;
	forget_keys(this, this->depth);
	return 1;
}

static int on_map_key(void *ctx, const unsigned char *text, size_t len)
{
	builder_t *this = ctx;

	g_free(this->key);
	this->key = g_strndup((const char *)text, len);
	if (has_key(this, this->key))
		return builder_fail(this, "duplicate key ", this->key);
	return 1;
}

static const yajl_callbacks callbacks = {
	.yajl_null = on_null,
	.yajl_boolean = on_boolean,
	.yajl_number = on_number,
	.yajl_string = on_string,
	.yajl_start_map = on_start_map,
	.yajl_map_key = on_map_key,
	.yajl_end_map = on_end_container,
	.yajl_start_array = on_start_array,
	.yajl_end_array = on_end_container,
};

static void builder_report(builder_t *this)
{
	unsigned char *message;

	if (this->doc->error)
		return;
	message = yajl_get_error(this->parser, 0, NULL, 0);
	g_strstrip((char *)message);
	builder_fail(this, (const char *)message, "");
	yajl_free_error(this->parser, message);
}

jsondoc_t *jsondoc_new(const char *text, size_t len)
{
	jsondoc_t *this = g_new0(jsondoc_t, 1);
	builder_t builder = {.doc = this, .text = text, .line = 1};

	if (!len) {
		this->error = g_strdup("the document is empty");
		this->error_line = 1;
		return this;
	}
	builder.parser = yajl_alloc(&callbacks, NULL, &builder);
	yajl_config(builder.parser, yajl_allow_comments, 1);
	if (yajl_parse(builder.parser, (const unsigned char *)text, len) != yajl_status_ok)
		builder_report(&builder);
	else if (yajl_complete_parse(builder.parser) != yajl_status_ok)
		builder_report(&builder);
	else if (!this->root)
		builder_fail(&builder, "the document is empty", "");
	yajl_free(builder.parser);
	for (unsigned int i = 0; i < JSONDOC_MAX_DEPTH; i++)
		forget_keys(&builder, i);
	g_free(builder.key);
	return this;
}

static void value_delete(json_value_t *this)
{
	while (this) {
		json_value_t *next = this->next;

		value_delete(this->first);
		g_free(this->key);
		g_free(this->string);
		g_free(this);
		this = next;
	}
}

void jsondoc_delete(jsondoc_t *this)
{
	if (!this)
		return;
	value_delete(this->root);
	g_free(this->error);
	g_free(this);
}

json_value_t *json_get(json_value_t *object, const char *key)
{
	if (!object || object->type != JSON_OBJECT)
		return NULL;
	for (json_value_t *v = object->first; v; v = v->next) {
		if (!strcmp(v->key, key)) {
			v->used = true;
			return v;
		}
	}
	return NULL;
}

const char *json_get_string(json_value_t *object, const char *key, const char *fallback)
{
	json_value_t *v = json_get(object, key);

	return v && v->type == JSON_STRING ? v->string : fallback;
}

int64_t json_get_int(json_value_t *object, const char *key, int64_t fallback)
{
	json_value_t *v = json_get(object, key);

	return v && v->type == JSON_INTEGER ? v->integer : fallback;
}

bool json_get_bool(json_value_t *object, const char *key, bool fallback)
{
	json_value_t *v = json_get(object, key);

	return v && v->type == JSON_BOOL ? v->integer != 0 : fallback;
}

void json_append_quoted(GString *out, const char *text)
{
	g_string_append_c(out, '"');
	for (const unsigned char *p = (const unsigned char *)text; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_printf(out, "\\%c", *p);
		else if (*p < 0x20)
			g_string_append_printf(out, "\\u%04x", *p);
		else
			g_string_append_c(out, (char)*p);
	}
	g_string_append_c(out, '"');
}
