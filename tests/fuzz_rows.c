/*
 * fuzz_rows - libFuzzer target for rows of the store on their way into a router
 *
 * The input is a response of the store, and the values of further rows, which any program may have
 * written.  Reading them must not crash, a row that is listed must have a key, and the rows
 * that follow an odd one must still be applied.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway/origin_rows.h"
#include "gateway/roster.h"
#include "gateway/row_cache.h"
#include "platform/decode.h"
#include "platform/row_store.h"

#define GOOD_ENTRY                                                                                 \
	"{\"service\":\"m\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":2,"                 \
	"\"state\":\"ready\",\"born\":7}"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct router {
	endpoint_registry_t *registry;
	row_cache_t *cache;
	origin_rows_t *origins;
} router_t;

static void ignore_service(void *ctx, id_t32 service)
{
}

/* Returns whether the row is an endpoint's. */
static bool apply_endpoint(router_t *this, const store_row_t *row)
{
	endpoint_registration_t registration = {0};
	bool valid;

	if (!row_cache_put(this->cache, CACHED_ENDPOINTS, row) || row->is_deleted)
		return false;
	valid = decode_endpoint(row->key, row->value, row->len, &registration);
	if (valid)
		endpoint_registry_put(this->registry, &registration, 1);
	endpoint_registration_clear(&registration);
	return valid;
}

static void apply(router_t *this, const store_row_t *row)
{
	roster_entry_t entry;
	jsondoc_t *doc = NULL;
	id_t32 version;

	if (!row->key || !row->value)
		abort();
	apply_endpoint(this, row);
	origin_rows_put(this->origins, row, 1, ignore_service, NULL);
	origin_rows_find(this->origins, 1, 2, &version);
	if (roster_decode(row->value, row->len, row->key, &entry, &doc) &&
		(!entry.address || !entry.public_key || !entry.incarnation))
		abort();
	jsondoc_delete(doc);
}

static void apply_value(router_t *this, const uint8_t *data, size_t size, uint64_t version)
{
	store_row_t row = {
		.key = (char *)"odd",
		.value = g_strndup((const char *)data, size),
		.len = size,
		.version = {1, version},
	};

	apply(this, &row);
	g_free(row.value);
}

static void apply_response(router_t *this, const uint8_t *data, size_t size)
{
	GString *response = g_string_new_len((const char *)data, (gssize)size);
	GArray *rows = store_rows_new();
	row_page_t page = {.version = {.era = 1}};

	row_store_parse(response, rows, &page);
	for (unsigned int i = 0; i < rows->len; i++)
		apply(this, &g_array_index(rows, store_row_t, i));
	g_free(page.last_key);
	g_array_unref(rows);
	g_string_free(response, TRUE);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	endpoint_registry_options_t options = {0};
	router_t router = {endpoint_registry_new(&options), row_cache_new(), origin_rows_new()};
	store_row_t good = {
		.key = (char *)"good",
		.value = (char *)GOOD_ENTRY,
		.len = strlen(GOOD_ENTRY),
		.version = {1, UINT64_MAX},
	};

	apply_value(&router, data, size, 1);
	apply_value(&router, data, size / 2, 2);
	apply_response(&router, data, size);
	if (!apply_endpoint(&router, &good))
		abort();
	origin_rows_delete(router.origins);
	row_cache_delete(router.cache);
	endpoint_registry_delete(router.registry);
	return 0;
}
