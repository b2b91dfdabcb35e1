#include "gateway/row_cache.h"

#include <string.h>

struct row_cache {
	GHashTable *rows[CACHED_TABLE_COUNT]; /* key -> store_row_t */
	store_version_t newest[CACHED_TABLE_COUNT];
};

static void row_delete(void *item)
{
	store_row_t *row = item;

	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

row_cache_t *row_cache_new(void)
{
	row_cache_t *this = g_new0(row_cache_t, 1);

	for (int i = 0; i < CACHED_TABLE_COUNT; i++)
		this->rows[i] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_delete);
	return this;
}

void row_cache_delete(row_cache_t *this)
{
	if (!this)
		return;
	for (int i = 0; i < CACHED_TABLE_COUNT; i++)
		g_hash_table_destroy(this->rows[i]);
	g_free(this);
}

static void advance_newest(row_cache_t *this, cached_table_t table, store_version_t version)
{
	if (store_version_compare(version, this->newest[table]) > 0)
		this->newest[table] = version;
}

bool row_cache_put(row_cache_t *this, cached_table_t table, const store_row_t *row)
{
	store_row_t *cached = g_hash_table_lookup(this->rows[table], row->key);
	store_row_t *copy;

	if (row->version.era < this->newest[table].era)
		return false;
	if (cached && store_version_compare(cached->version, row->version) >= 0)
		return false;
	copy = g_new0(store_row_t, 1);
	copy->key = g_strdup(row->key);
	copy->value = g_malloc(row->len + 1);
	memcpy(copy->value, row->value, row->len);
	copy->value[row->len] = '\0';
	copy->len = row->len;
	copy->version = row->version;
	copy->is_deleted = row->is_deleted;
	g_hash_table_replace(this->rows[table], copy->key, copy);
	advance_newest(this, table, row->version);
	return true;
}

store_version_t row_cache_newest_version(const row_cache_t *this, cached_table_t table)
{
	return this->newest[table];
}

void row_cache_for_each_after(const row_cache_t *this, cached_table_t table, store_version_t after,
	void (*callback)(void *ctx, const store_row_t *row), void *ctx)
{
	GHashTableIter iter;
	void *item;

	g_hash_table_iter_init(&iter, this->rows[table]);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const store_row_t *row = item;

		if (store_version_compare(row->version, after) > 0)
			callback(ctx, row);
	}
}

static GHashTable *collect_keys(const GArray *rows)
{
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

	for (unsigned int i = 0; i < rows->len; i++)
		g_hash_table_add(keys, g_array_index(rows, store_row_t, i).key);
	return keys;
}

void row_cache_delete_missing(row_cache_t *this, cached_table_t table, const GArray *rows,
	store_version_t version, void (*on_deleted)(void *ctx, const store_row_t *row), void *ctx)
{
	GHashTable *listed = collect_keys(rows);
	GHashTableIter iter;
	void *item;

	g_hash_table_iter_init(&iter, this->rows[table]);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		store_row_t *row = item;

		if (store_version_compare(row->version, version) > 0 ||
			g_hash_table_contains(listed, row->key))
			continue;
		if (row->is_deleted) {
			if (row->version.era < version.era)
				g_hash_table_iter_remove(&iter);
			continue;
		}
		row->is_deleted = true;
		row->version = version;
		row->len = 0;
		advance_newest(this, table, version);
		on_deleted(ctx, row);
	}
	g_hash_table_destroy(listed);
}
