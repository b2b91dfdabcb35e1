/*
 * fuzz_text - libFuzzer target for the fleet configuration
 *
 * Parses the input as the operators' document and as the row in which the store keeps it.
 * The same JSON parser reads requests of callers and responses of engines and the platform.
 */
#include <stddef.h>
#include <stdint.h>

#include "settings/fleet_config.h"
#include "settings/config_row.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	fleet_config_t *config;
	config_row_t row;
	error_list_t errors;

	error_list_init(&errors, "fuzz");
	config = fleet_config_new(text, 1, &errors);
	if (config)
		fleet_config_find_route(config, "GET", text);
	fleet_config_put(config);
	error_list_clear(&errors);
	config_row_decode(text, &row);
	config_row_clear(&row);
	g_free(text);
	return 0;
}
