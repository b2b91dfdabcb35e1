#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "cmd/commands.h"
#include "edge/http_exchange.h"
#include "edge/log.h"
#include "gateway/gateway.h"

#define DEFAULT_ADAPTER "rows"

typedef struct arguments {
	const char *settings;
	const char *adapter;
	bool check;
	bool verbose;
} arguments_t;

static const struct argp_option options[] = {
	{"settings", 's', "FILE", 0,
		"settings of this gateway; else the platform's variable names it", 0},
	{"adapter", 'a', "NAME", 0, "platform adapter (" DEFAULT_ADAPTER ")", 0},
	{"check", 'c', 0, 0, "only check the settings", 0},
	{"verbose", 'v', 0, 0, "log each request", 0},
	{0},
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 's':
		arguments->settings = text;
		break;
	case 'a':
		arguments->adapter = text;
		break;
	case 'c':
		arguments->check = true;
		break;
	case 'v':
		arguments->verbose = true;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp parser = {options, parse_option, NULL,
	"Runs one gateway until SIGTERM or SIGINT, which begin a planned stop.", NULL, NULL, NULL};

static int serve(const gateway_settings_t *settings)
{
	gateway_t *gateway;
	unsigned int left;

	http_init();
	log_buffer();
	gateway = gateway_new(settings);
	if (!gateway) {
		log_flush();
		return EXIT_FAILED;
	}
	left = gateway_run(gateway);
	log_flush();
	if (left)
		_exit(EXIT_FAILED);
	gateway_delete(gateway);
	return EXIT_GOOD;
}

int command_gateway(int argc, char **argv)
{
	arguments_t arguments = {.adapter = DEFAULT_ADAPTER};
	const adapter_t *adapter;
	gateway_settings_t *settings;
	faults_t faults;
	int code;

	argp_parse(&parser, argc, argv, 0, NULL, &arguments);
	adapter = adapter_find(arguments.adapter);
	if (!adapter) {
		fprintf(stderr, "there is no adapter \"%s\"\n", arguments.adapter);
		return EXIT_USAGE;
	}
	if (!arguments.settings)
		arguments.settings = getenv(adapter->settings_variable);
	if (!arguments.settings) {
		fprintf(stderr, "--settings FILE is missing, and %s is not set\n",
			adapter->settings_variable);
		return EXIT_USAGE;
	}
	faults_init(&faults, arguments.settings);
	settings = gateway_settings_load(arguments.settings, &faults);
	if (!settings) {
		fputs(faults.text->str, stderr);
		faults_clear(&faults);
		return EXIT_BAD_SETTINGS;
	}
	faults_clear(&faults);
	log_init(settings->name, arguments.verbose);
	code = arguments.check ? EXIT_GOOD : serve(settings);
	gateway_settings_delete(settings);
	return code;
}
