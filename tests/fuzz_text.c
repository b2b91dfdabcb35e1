/*
 * fuzz_text - libFuzzer target for the fleet configuration
 *
 * Parses the input as the operators' document and as the row in which the store keeps it.
 * The same JSON parser reads requests of callers and responses of engines and the platform.
 */
#include <stddef.h>
#include <stdint.h>

#include "settings/fleet_text.h"
#include "settings/text_row.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	fleet_text_t *config;
	text_row_t row;
	faults_t errors;

	faults_init(&errors, "fuzz");
	config = fleet_text_new(text, 1, &errors);
	if (config)
		fleet_text_route(config, "GET", text);
	fleet_text_put(config);
	faults_clear(&errors);
	text_row_decode(text, &row);
	text_row_clear(&row);
	g_free(text);
	return 0;
}
