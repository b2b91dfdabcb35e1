#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "cmd/commands.h"
#include "edge/http_exchange.h"
#include "edge/log.h"
#include "gateway/gateway.h"

typedef struct arguments {
	const char *settings;
	bool check;
	bool verbose;
} arguments_t;

static const struct argp_option options[] = {
	{"settings", 's', "FILE", 0,
		"settings of this gateway; else the platform's variable names it", 0},
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
	arguments_t arguments = {0};
	gateway_settings_t *settings;
	faults_t faults;
	int code;

	argp_parse(&parser, argc, argv, 0, NULL, &arguments);
	if (!arguments.settings)
		arguments.settings = adapter_settings_path();
	if (!arguments.settings) {
		fputs("--settings FILE is missing, and the platform names none\n", stderr);
		return EXIT_USAGE;
	}
	faults_init(&faults, arguments.settings);
	settings = gateway_settings_load(arguments.settings, &faults);
	if (settings && !adapter_find(settings->adapter)) {
		faults_add(&faults, 0, "adapter: there is none named \"%s\"", settings->adapter);
		gateway_settings_delete(settings);
		settings = NULL;
	}
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
