/* libFuzzer target: JSON from operators, callers, engines and the platform */
#include <stddef.h>
#include <stdint.h>

#include "settings/fleet_config.h"
#include "settings/config_row.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	fleet_config_t *fleet;
	config_row_t row;
	error_list_t faults;

	error_list_init(&faults, "fuzz");
	fleet = fleet_config_new(text, 1, &faults);
	if (fleet)
		fleet_config_find_route(fleet, "GET", text);
	fleet_config_put(fleet);
	error_list_clear(&faults);
	config_row_decode(text, &row);
	config_row_clear(&row);
	g_free(text);
	return 0;
}
