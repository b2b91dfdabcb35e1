#include "gateway/origin_rows.h"

#include <string.h>

typedef struct saved_row {
	char *bytes;
	gsize size;
	instant_t forget_at;
} saved_row_t;

struct origin_rows {
	GHashTable *rows; /* key -> saved_row_t */
};

static void saved_row_delete(void *item)
{
	saved_row_t *this = item;

	g_free(this->bytes);
	g_free(this);
}

origin_rows_t *origin_rows_new(void)
{
	origin_rows_t *this = g_new0(origin_rows_t, 1);

	this->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, saved_row_delete);
	return this;
}

void origin_rows_delete(origin_rows_t *this)
{
	if (!this)
		return;
	g_hash_table_destroy(this->rows);
	g_free(this);
}

void origin_rows_put(origin_rows_t *this, const store_row_t *row, instant_t now,
	void (*on_mixed)(void *ctx, id_t32 service), void *ctx)
{
	saved_row_t *saved;

	if (row->is_deleted) {
		g_hash_table_remove(this->rows, row->key);
		return;
	}
	saved = g_new0(saved_row_t, 1);
	saved->size = row->len - row->len % STREAM_RECORD_BYTES;
	saved->bytes = g_malloc(saved->size + 1);
	memcpy(saved->bytes, row->value, saved->size);
	saved->forget_at = now + STREAM_ORIGINS_MEMORY;
	g_hash_table_replace(this->rows, g_strdup(row->key), saved);
	for (gsize at = 0; at < saved->size; at += STREAM_RECORD_BYTES) {
		stream_origin_t origin = stream_origin_decode(saved->bytes + at);

		if (!origin.stream)
			on_mixed(ctx, origin.service);
	}
}

static bool find_in_row(const saved_row_t *row, id_t32 service, uint64_t stream, id_t32 *version)
{
	for (gsize at = 0; at < row->size; at += STREAM_RECORD_BYTES) {
		stream_origin_t origin = stream_origin_decode(row->bytes + at);

		if (origin.stream != stream || origin.service != service)
			continue;
		*version = origin.version;
		return true;
	}
	return false;
}

bool origin_rows_find(const origin_rows_t *this, id_t32 service, uint64_t stream, id_t32 *version)
{
	GHashTableIter iter;
	void *row;

	g_hash_table_iter_init(&iter, this->rows);
	while (g_hash_table_iter_next(&iter, NULL, &row)) {
		if (find_in_row(row, service, stream, version))
			return true;
	}
	return false;
}

static gboolean is_too_old(void *key, void *row, void *now)
{
	return *(const instant_t *)now >= ((const saved_row_t *)row)->forget_at;
}

void origin_rows_expire(origin_rows_t *this, instant_t now)
{
	g_hash_table_foreach_remove(this->rows, is_too_old, &now);
}
