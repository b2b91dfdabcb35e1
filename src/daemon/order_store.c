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

char *order_key(const char *workspace, const char *key)
{
	char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	char *row = g_strdup_printf("order/%s/%s", workspace, hash);

	g_free(hash);
	return row;
}

static row_state_t state_of(const char *name)
{
	for (unsigned int i = 0; i < ARRAY_LEN(state_names); i++) {
		if (!strcmp(state_names[i], name))
			return (row_state_t)i;
	}
	return ROW_UNKNOWN; /* a newer release's state: don't run it again */
}

static uint64_t hex_number(json_value_t *root, const char *key)
{
	return g_ascii_strtoull(json_get_string(root, key, "0"), NULL, 16);
}

static void decode_body(json_value_t *root, order_answer_t *answer)
{
	const char *text = json_get_string(root, "body", NULL);
	guchar *data;
	gsize size = 0;

	answer->body = g_string_new(NULL);
	if (!text || !*text)
		return;
	data = g_base64_decode(text, &size);
	g_string_append_len(answer->body, (const char *)data, (gssize)size);
	g_free(data);
}

static bool decode(const table_row_t *table_row, order_record_t *record)
{
	jsondoc_t *doc = jsondoc_new(table_row->value, strlen(table_row->value));
	bool good = !doc->error && doc->root->type == JSON_OBJECT;

	if (good) {
		record->row.state = state_of(json_get_string(doc->root, "state", ""));
		record->row.version = table_row->version;
		record->row.attempt = hex_number(doc->root, "attempt");
		record->row.body_hash = hex_number(doc->root, "hash");
		record->holder = g_strdup(json_get_string(doc->root, "holder", ""));
		record->incarnation = hex_number(doc->root, "incarnation");
		record->answer.status = (int)json_get_int(doc->root, "status", 0);
		record->answer.type = g_strdup(json_get_string(doc->root, "type", ""));
		record->object = g_strdup(json_get_string(doc->root, "object", NULL));
		decode_body(doc->root, &record->answer);
	}
	jsondoc_delete(doc);
	return good;
}

store_result_t order_store_read(platform_t *platform, const char *key, order_record_t *record)
{
	table_row_t row;
	store_result_t result = platform->ops->read(platform, key, &row);

	memset(record, 0, sizeof(*record));
	if (result == STORE_ABSENT)
		return STORE_OK;
	if (result == STORE_OK && !decode(&row, record))
		result = STORE_LOST;
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

static void append_answer(GString *out, const order_answer_t *answer, const char *object)
{
	g_string_append_printf(out, ",\"status\":%d,\"type\":", answer->status);
	json_quote(out, answer->type ? answer->type : "");
	if (object) {
		g_string_append(out, ",\"object\":");
		json_quote(out, object);
	} else {
		char *text = g_base64_encode((const guchar *)answer->body->str, answer->body->len);

		g_string_append_printf(out, ",\"body\":\"%s\"", text);
		g_free(text);
	}
}

static char *encode(const order_writer_t *writer, const order_t *order, row_state_t state,
	const order_answer_t *answer, const char *object)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out,
		"{\"state\":\"%s\",\"attempt\":\"%" G_GINT64_MODIFIER
		"x\",\"hash\":\"%" G_GINT64_MODIFIER "x\",\"incarnation\":\"%" G_GINT64_MODIFIER
		"x\",\"holder\":",
		state_names[state], order->attempt, order->body_hash, writer->incarnation);
	json_quote(out, writer->router);
	if (state == ROW_DONE)
		append_answer(out, answer, object);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

store_result_t order_store_write(const order_writer_t *writer, const char *key,
	const order_t *order, row_state_t state, const order_answer_t *answer, uint64_t expected,
	uint64_t *version)
{
	platform_t *platform = writer->platform;
	table_write_t write = {.key = key, .expected = expected, .ttl_sec = ORDER_KEPT_SEC};
	bool large = state == ROW_DONE && answer->body->len > ORDER_INLINE_BYTES;
	char *object = NULL;
	char *value = NULL;
	store_result_t result = STORE_OK;

	if (large) {
		object = g_strdup_printf("%s/%" G_GINT64_MODIFIER "x", key, order->attempt);
		result = platform->ops->object_put(
			platform, object, answer->body->str, answer->body->len);
	}
	if (result == STORE_OK) {
		value = encode(writer, order, state, answer, object);
		write.value = value;
		result = platform->ops->transact(platform, &write, 1);
		*version = write.version;
	}
	g_free(value);
	g_free(object);
	return result;
}

void order_answer_clear(order_answer_t *answer)
{
	g_free(answer->type);
	if (answer->body)
		g_string_free(answer->body, TRUE);
	memset(answer, 0, sizeof(*answer));
}

void order_record_clear(order_record_t *record)
{
	g_free(record->holder);
	g_free(record->object);
	order_answer_clear(&record->answer);
	memset(record, 0, sizeof(*record));
}
