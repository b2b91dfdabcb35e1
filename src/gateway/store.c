#include "gateway/store.h"

static void row_clear(void *item)
{
	store_row_t *row = item;

	g_free(row->key);
	g_free(row->value);
}

GArray *store_rows_new(void)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(store_row_t));

	g_array_set_clear_func(rows, row_clear);
	return rows;
}
