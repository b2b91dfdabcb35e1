/* fuzz_decode - no configuration or registration of another writer does harm */
#include <stdlib.h>

#include "platform/decode.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	endpoint_registration_t entry = {0};
	catalog_t *catalog;
	error_list_t faults;

	error_list_init(&faults, "fuzz");
	catalog = decode_catalog(text, size, &faults);
	if (!catalog && !faults.count)
		abort(); /* refused without a reason */
	if (catalog) {
		catalog_route(catalog, "shop.example", "/a/b");
		catalog_find_workspace(catalog, "k");
		for (unsigned int i = 0; i < catalog->routes->len; i++)
			catalog_pick_target(catalog->routes->pdata[i], (uint32_t)size);
	}
	catalog_put(catalog);
	error_list_clear(&faults);
	if (decode_endpoint("e", text, size, &entry) && (!entry.service || !entry.slots))
		abort();
	endpoint_registration_clear(&entry);
	g_free(text);
	return 0;
}
