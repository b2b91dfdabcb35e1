#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "cmd/commands.h"
#include "cmd/daemon_arguments.h"
#include "daemon/router.h"
#include "edge/http_exchange.h"
#include "edge/log.h"

static const daemon_arguments_options_t options = {
	.doc = "Runs one router.  SIGTERM and SIGINT begin a planned stop.",
	.settings_doc = "settings of this router",
	.needs_settings = true,
};

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
		_exit(EXIT_FAILED); /* threads of unfinished requests may still use the router */
	router_delete(router);
	return EXIT_OK;
}

int command_router(int argc, char **argv)
{
	daemon_arguments_t arguments = {0};
	router_settings_t *settings;
	error_list_t errors;
	int code;

	daemon_arguments_parse(&arguments, &options, argc, argv);
	error_list_init(&errors, arguments.settings);
	settings = router_settings_load(arguments.settings, &errors);
	if (!settings) {
		fputs(errors.text->str, stderr);
		error_list_clear(&errors);
		return EXIT_BAD_SETTINGS;
	}
	error_list_clear(&errors);
	log_init(settings->name, arguments.verbose);
	code = arguments.check ? EXIT_OK : serve(settings);
	router_settings_delete(settings);
	return code;
}
