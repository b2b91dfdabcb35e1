#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "cmd/commands.h"
#include "daemon/router.h"
#include "edge/http_exchange.h"
#include "edge/log.h"

typedef struct arguments {
	const char *settings;
	bool check;
	bool verbose;
} arguments_t;

static const struct argp_option options[] = {
	{"settings", 's', "FILE", 0, "settings of this router", 0},
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
	case ARGP_KEY_END:
		if (!arguments->settings)
			argp_error(state, "--settings FILE is missing");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp parser = {options, parse_option, NULL,
	"Runs one router until SIGTERM or SIGINT, which begin a planned stop.", NULL, NULL, NULL};

static int serve(const router_settings_t *settings)
{
	sigset_t stop;
	router_t *router;
	unsigned int left;
	int number;

	sigemptyset(&stop);
	sigaddset(&stop, SIGTERM);
	sigaddset(&stop, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop, NULL);
	http_init();
	router = router_new(settings);
	if (!router)
		return EXIT_FAILED;
	sigwait(&stop, &number);
	left = router_stop(router);
	if (left)
		_exit(EXIT_FAILED); /* threads of what is left may still run */
	router_delete(router);
	return EXIT_GOOD;
}

int command_router(int argc, char **argv)
{
	arguments_t arguments = {0};
	router_settings_t *settings;
	faults_t faults;
	int code;

	argp_parse(&parser, argc, argv, 0, NULL, &arguments);
	faults_init(&faults, arguments.settings);
	settings = router_settings_load(arguments.settings, &faults);
	if (!settings) {
		fputs(faults.text->str, stderr);
		faults_clear(&faults);
		return EXIT_BAD_SETTINGS;
	}
	faults_clear(&faults);
	log_init(settings->name, arguments.verbose);
	code = arguments.check ? EXIT_GOOD : serve(settings);
	router_settings_delete(settings);
	return code;
}
