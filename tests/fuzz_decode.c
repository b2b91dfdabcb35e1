/*
 * fuzz_decode - libFuzzer target for the platform's configuration and endpoint registrations
 *
 * Other programs write these documents. Decoding any bytes must not crash, must give
 * a reason when it rejects a configuration, and must not accept an endpoint without
 * a service or slots.
 */
#include <stdlib.h>

#include "platform/decode.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	endpoint_registration_t registration = {0};
	catalog_t *catalog;
	error_list_t errors;

	error_list_init(&errors, "fuzz");
	catalog = decode_catalog(text, size, &errors);
	if (!catalog && !errors.count)
		abort(); /* rejected without a reason */
	if (catalog) {
		catalog_route(catalog, "shop.example", "/a/b");
		catalog_find_workspace(catalog, "k");
		for (unsigned int i = 0; i < catalog->routes->len; i++)
			catalog_pick_target(catalog->routes->pdata[i], (uint32_t)size);
	}
	catalog_put(catalog);
	error_list_clear(&errors);
	if (decode_endpoint("e", text, size, &registration) &&
		(!registration.service || !registration.slots))
		abort();
	endpoint_registration_clear(&registration);
	g_free(text);
	return 0;
}
