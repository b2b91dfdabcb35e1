#include "edge/platform.h"

#include <string.h>

#include "edge/http_call.h"
#include "settings/jsondoc.h"

#define MAX_RESPONSE (64U << 20)
#define HTTP_CONFLICT 409
#define HTTP_NOT_FOUND 404

typedef struct platform_http {
	platform_t base;
	char *address;
	unsigned int timeout_ms;
} platform_http_t;

/*
 * Performs one exchange.  409 and 404 become STORE_CONFLICT and STORE_NOT_FOUND,
 * any other complete response below 500 STORE_OK, and all else STORE_NO_RESULT.
 */
static store_result_t call(platform_http_t *this, const char *method, const char *path,
	const char *body, size_t len, GString *response, int *status)
{
	http_options_t options = {
		.address = this->address,
		.method = method,
		.path = path,
		.body = body,
		.body_len = len,
		.connect_timeout_ms = this->timeout_ms,
		.read_timeout_ms = this->timeout_ms,
	};

	if (http_call(&options, MAX_RESPONSE, response, status) != HTTP_OK || *status >= 500)
		return STORE_NO_RESULT;
	if (*status == HTTP_CONFLICT)
		return STORE_CONFLICT;
	return *status == HTTP_NOT_FOUND ? STORE_NOT_FOUND : STORE_OK;
}

static char *key_path(const char *base, const char *key)
{
	char *escaped = g_uri_escape_string(key, NULL, FALSE);
	char *path = g_strconcat(base, escaped, NULL);

	g_free(escaped);
	return path;
}

static GString *transaction_json(const table_write_t *writes, unsigned int count)
{
	GString *out = g_string_new("{\"ops\":[");

	for (unsigned int i = 0; i < count; i++) {
		g_string_append(out, i ? ",{\"key\":" : "{\"key\":");
		json_append_quoted(out, writes[i].key);
		g_string_append(out, ",\"value\":");
		json_append_quoted(out, writes[i].value);
		g_string_append_printf(out, ",\"expected\":%" G_GUINT64_FORMAT ",\"ttl_s\":%u}",
			writes[i].expected, writes[i].ttl_sec);
	}
	g_string_append(out, "]}");
	return out;
}

static store_result_t read_versions(
	const GString *response, table_write_t *writes, unsigned int count)
{
	jsondoc_t *doc = jsondoc_new(response->str, response->len);
	json_value_t *versions = doc->error ? NULL : json_get(doc->root, "versions");
	json_value_t *v = versions && versions->type == JSON_ARRAY ? versions->first : NULL;
	unsigned int i = 0;

	for (; v && i < count; v = v->next, i++)
		writes[i].version = (uint64_t)v->integer;
	jsondoc_delete(doc);
	return i == count ? STORE_OK : STORE_NO_RESULT;
}

static store_result_t http_transact(platform_t *base, table_write_t *writes, unsigned int count)
{
	platform_http_t *this = (platform_http_t *)base;
	GString *body = transaction_json(writes, count);
	GString *response = g_string_new(NULL);
	int status = 0;
	store_result_t result =
		call(this, "POST", "/table/transact", body->str, body->len, response, &status);

	if (result == STORE_OK)
		result = read_versions(response, writes, count);
	g_string_free(body, TRUE);
	g_string_free(response, TRUE);
	return result;
}

static void read_row(json_value_t *v, table_row_t *row)
{
	row->key = g_strdup(json_get_string(v, "key", ""));
	row->value = g_strdup(json_get_string(v, "value", ""));
	row->version = (uint64_t)json_get_int(v, "version", 0);
}

static store_result_t http_read(platform_t *base, const char *key, table_row_t *row)
{
	platform_http_t *this = (platform_http_t *)base;
	GString *response = g_string_new(NULL);
	char *path = key_path("/table/row?key=", key);
	int status = 0;
	store_result_t result = call(this, "GET", path, NULL, 0, response, &status);
	jsondoc_t *doc = NULL;

	memset(row, 0, sizeof(*row));
	if (result != STORE_OK)
		goto out;
	doc = jsondoc_new(response->str, response->len);
	if (doc->error)
		result = STORE_NO_RESULT;
	else
		read_row(doc->root, row);
out:
	jsondoc_delete(doc);
	g_free(path);
	g_string_free(response, TRUE);
	return result;
}

typedef void (*read_element_t)(json_value_t *v, GArray *out);

static void read_row_element(json_value_t *v, GArray *out)
{
	table_row_t row;

	read_row(v, &row);
	g_array_append_val(out, row);
}

static void read_instance_element(json_value_t *v, GArray *out)
{
	instance_t instance = {
		.name = g_strdup(json_get_string(v, "name", "")),
		.address = g_strdup(json_get_string(v, "address", "")),
		.state = strcmp(json_get_string(v, "state", "live"), "leaving") ? INSTANCE_LIVE
										: INSTANCE_LEAVING,
	};

	g_array_append_val(out, instance);
}

static store_result_t read_list(platform_http_t *this, const char *path, const char *member,
	GArray *out, read_element_t read)
{
	GString *response = g_string_new(NULL);
	int status = 0;
	store_result_t result = call(this, "GET", path, NULL, 0, response, &status);
	jsondoc_t *doc = result == STORE_OK ? jsondoc_new(response->str, response->len) : NULL;
	json_value_t *list = doc && !doc->error ? json_get(doc->root, member) : NULL;

	if (result == STORE_OK && (!list || list->type != JSON_ARRAY))
		result = STORE_NO_RESULT;
	for (json_value_t *v = result == STORE_OK ? list->first : NULL; v; v = v->next)
		read(v, out);
	jsondoc_delete(doc);
	g_string_free(response, TRUE);
	return result;
}

static store_result_t http_scan(platform_t *base, const char *prefix, GArray *rows)
{
	char *path = key_path("/table/scan?prefix=", prefix);
	store_result_t result =
		read_list((platform_http_t *)base, path, "rows", rows, read_row_element);

	g_free(path);
	return result;
}

static store_result_t http_instances(platform_t *base, GArray *instances)
{
	return read_list((platform_http_t *)base, "/instances", "instances", instances,
		read_instance_element);
}

static store_result_t object_call(platform_t *base, const char *method, const char *key,
	const char *data, size_t len, GString *response)
{
	char *path = key_path("/object?key=", key);
	int status = 0;
	store_result_t result =
		call((platform_http_t *)base, method, path, data, len, response, &status);

	g_free(path);
	return result;
}

static store_result_t http_object_put(
	platform_t *base, const char *key, const char *data, size_t len)
{
	GString *response = g_string_new(NULL);
	store_result_t result = object_call(base, "PUT", key, data, len, response);

	g_string_free(response, TRUE);
	return result;
}

static store_result_t http_object_get(platform_t *base, const char *key, GString *data)
{
	return object_call(base, "GET", key, NULL, 0, data);
}

static void http_delete(platform_t *base)
{
	platform_http_t *this = (platform_http_t *)base;

	g_free(this->address);
	g_free(this);
}

static const platform_ops_t http_ops = {
	.transact = http_transact,
	.read = http_read,
	.scan = http_scan,
	.object_put = http_object_put,
	.object_get = http_object_get,
	.instances = http_instances,
	.delete = http_delete,
};

platform_t *platform_http_new(const platform_http_options_t *options)
{
	platform_http_t *this = g_new0(platform_http_t, 1);

	this->base.ops = &http_ops;
	this->address = g_strdup(options->address);
	this->timeout_ms = options->timeout_ms;
	return &this->base;
}

void platform_delete(platform_t *this)
{
	if (this)
		this->ops->delete (this);
}

void table_row_clear(table_row_t *row)
{
	g_free(row->key);
	g_free(row->value);
	memset(row, 0, sizeof(*row));
}

static void instance_clear(instance_t *instance)
{
	g_free(instance->name);
	g_free(instance->address);
}

static GArray *array_with_clear_func(size_t size, GDestroyNotify clear)
{
	GArray *array = g_array_new(FALSE, TRUE, (guint)size);

	g_array_set_clear_func(array, clear);
	return array;
}

GArray *table_rows_new(void)
{
	return array_with_clear_func(sizeof(table_row_t), (GDestroyNotify)table_row_clear);
}

GArray *instances_new(void)
{
	return array_with_clear_func(sizeof(instance_t), (GDestroyNotify)instance_clear);
}
