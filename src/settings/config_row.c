#include "settings/config_row.h"

#include <string.h>

#include "settings/jsondoc.h"

char *config_row_encode(const config_row_t *row)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "{\"number\":%" G_GUINT64_FORMAT ",\"change\":", row->number);
	json_append_quoted(out, row->change);
	g_string_append(out, ",\"text\":");
	json_append_quoted(out, row->text);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

bool config_row_decode(const char *value, config_row_t *row)
{
	jsondoc_t *doc = jsondoc_new(value, strlen(value));
	bool valid = !doc->error && doc->root->type == JSON_OBJECT;

	memset(row, 0, sizeof(*row));
	if (valid) {
		row->number = (uint64_t)json_get_int(doc->root, "number", 0);
		row->change = g_strdup(json_get_string(doc->root, "change", ""));
		row->text = g_strdup(json_get_string(doc->root, "text", ""));
	}
	jsondoc_delete(doc);
	return valid && row->number;
}

void config_row_clear(config_row_t *row)
{
	g_free(row->change);
	g_free(row->text);
	memset(row, 0, sizeof(*row));
}

char *config_history_key(uint64_t version)
{
	return g_strdup_printf(CONFIG_HISTORY_PREFIX "%012" G_GUINT64_FORMAT, version);
}
