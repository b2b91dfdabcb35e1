#include "daemon/order_store.h"

#include <string.h>

#include "settings/jsondoc.h"

static const char *const state_names[] = {
	[ROW_ABSENT] = "absent",
	[ROW_STARTED] = "started",
	[ROW_WITHDRAWN] = "withdrawn",
	[ROW_DONE] = "done",
	[ROW_UNKNOWN] = "unknown",
};

char *order_row_key(const char *workspace, const char *key)
{
	char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	char *row = g_strdup_printf("order/%s/%s", workspace, hash);

	g_free(hash);
	return row;
}

static row_state_t parse_state(const char *name)
{
	for (unsigned int i = 0; i < ARRAY_LEN(state_names); i++) {
		if (!strcmp(state_names[i], name))
			return (row_state_t)i;
	}
	return ROW_UNKNOWN; /* written by a newer release: the order must not run again */
}

static uint64_t get_hex(json_value_t *root, const char *key)
{
	return g_ascii_strtoull(json_get_string(root, key, "0"), NULL, 16);
}

static void decode_body(json_value_t *root, order_response_t *response)
{
	const char *encoded = json_get_string(root, "body", NULL);
	guchar *data;
	gsize size = 0;

	response->body = g_string_new(NULL);
	if (!encoded || !*encoded)
		return;
	data = g_base64_decode(encoded, &size);
	g_string_append_len(response->body, (const char *)data, (gssize)size);
	g_free(data);
}

static bool decode(const table_row_t *table_row, order_record_t *record)
{
	jsondoc_t *doc = jsondoc_new(table_row->value, strlen(table_row->value));
	bool valid = !doc->error && doc->root->type == JSON_OBJECT;

	if (valid) {
		record->row.state = parse_state(json_get_string(doc->root, "state", ""));
		record->row.version = table_row->version;
		record->row.attempt = get_hex(doc->root, "attempt");
		record->row.body_hash = get_hex(doc->root, "hash");
		record->holder = g_strdup(json_get_string(doc->root, "holder", ""));
		record->incarnation = get_hex(doc->root, "incarnation");
		record->answer.status = (int)json_get_int(doc->root, "status", 0);
		record->answer.type = g_strdup(json_get_string(doc->root, "type", ""));
		record->object = g_strdup(json_get_string(doc->root, "object", NULL));
		decode_body(doc->root, &record->answer);
	}
	jsondoc_delete(doc);
	return valid;
}

store_result_t order_store_read(platform_t *platform, const char *key, order_record_t *record)
{
	table_row_t row;
	store_result_t result = platform->ops->read(platform, key, &row);

	memset(record, 0, sizeof(*record));
	if (result == STORE_NOT_FOUND)
		return STORE_OK;
	if (result == STORE_OK && !decode(&row, record))
		result = STORE_NO_RESULT;
	table_row_clear(&row);
	return result;
}

store_result_t order_store_fetch(platform_t *platform, order_record_t *record)
{
	if (!record->object)
		return STORE_OK;
	g_string_truncate(record->answer.body, 0);
	return platform->ops->object_get(platform, record->object, record->answer.body);
}

static void append_response(GString *out, const order_response_t *response, const char *object)
{
	g_string_append_printf(out, ",\"status\":%d,\"type\":", response->status);
	json_append_quoted(out, response->type ? response->type : "");
	if (object) {
		g_string_append(out, ",\"object\":");
		json_append_quoted(out, object);
	} else {
		char *encoded =
			g_base64_encode((const guchar *)response->body->str, response->body->len);

		g_string_append_printf(out, ",\"body\":\"%s\"", encoded);
		g_free(encoded);
	}
}

static char *encode(const order_writer_t *writer, const order_t *order, row_state_t state,
	const order_response_t *response, const char *object)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out,
		"{\"state\":\"%s\",\"attempt\":\"%" G_GINT64_MODIFIER
		"x\",\"hash\":\"%" G_GINT64_MODIFIER "x\",\"incarnation\":\"%" G_GINT64_MODIFIER
		"x\",\"holder\":",
		state_names[state], order->attempt, order->body_hash, writer->incarnation);
	json_append_quoted(out, writer->router);
	if (state == ROW_DONE)
		append_response(out, response, object);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

store_result_t order_store_write(const order_writer_t *writer, const char *key,
	const order_t *order, row_state_t state, const order_response_t *response,
	uint64_t expected, uint64_t *version)
{
	platform_t *platform = writer->platform;
	table_write_t write = {.key = key, .expected = expected, .ttl_sec = ORDER_TTL_SEC};
	bool is_large = state == ROW_DONE && response->body->len > ORDER_INLINE_BYTES;
	char *object = NULL;
	char *value = NULL;
	store_result_t result = STORE_OK;

	if (is_large) {
		object = g_strdup_printf("%s/%" G_GINT64_MODIFIER "x", key, order->attempt);
		result = platform->ops->object_put(
			platform, object, response->body->str, response->body->len);
	}
	if (result == STORE_OK) {
		value = encode(writer, order, state, response, object);
		write.value = value;
		result = platform->ops->transact(platform, &write, 1);
		*version = write.version;
	}
	g_free(value);
	g_free(object);
	return result;
}

void order_response_clear(order_response_t *response)
{
	g_free(response->type);
	if (response->body)
		g_string_free(response->body, TRUE);
	memset(response, 0, sizeof(*response));
}

void order_record_clear(order_record_t *record)
{
	g_free(record->holder);
	g_free(record->object);
	order_response_clear(&record->answer);
	memset(record, 0, sizeof(*record));
}
