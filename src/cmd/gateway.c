#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "cmd/commands.h"
#include "cmd/daemon_arguments.h"
#include "edge/http_exchange.h"
#include "edge/log.h"
#include "gateway/gateway.h"

static const daemon_arguments_options_t options = {
	.doc = "Runs one gateway.  SIGTERM and SIGINT begin a planned stop.",
	.settings_doc = "settings of this gateway; default: the file that the platform's "
			"environment variable names",
};

#define LARGE_ALLOCATION (128 << 10) /* bytes from which memory goes back to the system at once */

static int serve(const gateway_settings_t *settings)
{
	gateway_t *gateway;
	unsigned int left;

	/* By default, the allocator raises it as large blocks are freed, and keeps those that
	 * follow. */
	mallopt(M_MMAP_THRESHOLD, LARGE_ALLOCATION);
	http_init();
	log_enable_buffer();
	gateway = gateway_new(settings);
	if (!gateway) {
		log_flush();
		return EXIT_FAILED;
	}
	left = gateway_run(gateway);
	log_flush();
	/* Joins no threads: one may wait for a feed of the store longer than the stop may take. */
	_exit(left ? EXIT_FAILED : EXIT_OK);
}

int command_gateway(int argc, char **argv)
{
	daemon_arguments_t arguments = {0};
	gateway_settings_t *settings;
	error_list_t errors;
	int code;

	daemon_arguments_parse(&arguments, &options, argc, argv);
	if (!arguments.settings)
		arguments.settings = adapter_settings_path();
	if (!arguments.settings) {
		fputs("--settings FILE is missing and the platform's environment variable is not "
		      "set\n",
			stderr);
		return EXIT_USAGE;
	}
	error_list_init(&errors, arguments.settings);
	settings = gateway_settings_load(arguments.settings, &errors);
	if (settings && !adapter_find(settings->adapter)) {
		error_list_add(&errors, 0, "adapter: \"%s\" is unknown", settings->adapter);
		gateway_settings_delete(settings);
		settings = NULL;
	}
	if (!settings) {
		fputs(errors.text->str, stderr);
		error_list_clear(&errors);
		return EXIT_BAD_SETTINGS;
	}
	error_list_clear(&errors);
	log_init(settings->name, arguments.verbose);
	code = arguments.check ? EXIT_OK : serve(settings);
	gateway_settings_delete(settings);
	return code;
}
