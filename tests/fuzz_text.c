/* libFuzzer target: JSON from operators, callers, engines and the platform */
#include <stddef.h>
#include <stdint.h>

#include "settings/fleet_text.h"
#include "settings/text_row.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	fleet_text_t *fleet;
	text_row_t row;
	faults_t faults;

	faults_init(&faults, "fuzz");
	fleet = fleet_text_new(text, 1, &faults);
	if (fleet)
		fleet_text_route(fleet, "GET", text);
	fleet_text_put(fleet);
	faults_clear(&faults);
	text_row_decode(text, &row);
	text_row_clear(&row);
	g_free(text);
	return 0;
}
