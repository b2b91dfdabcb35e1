#include "load/join.h"

#include <string.h>

#include "edge/http_exchange.h"

#define MAX_LOG_BYTES (256U << 20)

/* Each line holds the request id and the idempotency key, "-" for none. */
static void parse_log(const char *log, GHashTable *ids, GHashTable *keys, join_report_t *report)
{
	char **lines = g_strsplit(log, "\n", -1);

	for (char **line = lines; *line; line++) {
		char **fields = g_strsplit(*line, " ", 2);

		if (fields[0] && fields[1]) {
			unsigned int runs = GPOINTER_TO_UINT(g_hash_table_lookup(keys, fields[1]));

			report->executions++;
			g_hash_table_add(ids, g_strdup(fields[0]));
			if (strcmp(fields[1], "-"))
				g_hash_table_replace(
					keys, g_strdup(fields[1]), GUINT_TO_POINTER(runs + 1));
		}
		g_strfreev(fields);
	}
	g_strfreev(lines);
}

static bool fetch_log(const char *standin, GHashTable *ids, GHashTable *keys, join_report_t *report)
{
	http_options_t options = {.address = standin,
		.method = "GET",
		.path = "/log",
		.connect_timeout_ms = 2000,
		.read_timeout_ms = 10000};
	GString *log = g_string_new(NULL);
	int status = 0;
	bool complete =
		http_call(&options, MAX_LOG_BYTES, log, &status) == HTTP_OK && status == 200;

	if (complete)
		parse_log(log->str, ids, keys, report);
	g_string_free(log, TRUE);
	return complete;
}

bool join_records(records_t *records, char **standins, join_report_t *report)
{
	GHashTable *ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTable *keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	void *runs;
	bool complete = true;

	memset(report, 0, sizeof(*report));
	for (char **s = standins; *s; s++)
		complete &= fetch_log(*s, ids, keys, report);
	for (unsigned int i = 0; i < records->not_run->len; i++)
		report->not_run_but_ran +=
			g_hash_table_contains(ids, g_ptr_array_index(records->not_run, i));
	g_hash_table_iter_init(&iter, keys);
	while (g_hash_table_iter_next(&iter, NULL, &runs))
		report->doubled_keys += GPOINTER_TO_UINT(runs) > 1;
	for (unsigned int i = 0; i < records->list->len; i++) {
		const record_t *r = g_ptr_array_index(records->list, i);

		if (r->key && r->result == RESULT_DONE && !g_hash_table_contains(keys, r->key))
			report->done_but_never_ran++;
	}
	g_hash_table_destroy(ids);
	g_hash_table_destroy(keys);
	return complete;
}
