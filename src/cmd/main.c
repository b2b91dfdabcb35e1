#include <argp.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cmd/commands.h"

const char *argp_program_version = "amaranthwall 0.1.0";

static const command_t commands[] = {
	{"router", "run one router", command_router},
	{"gateway", "run one router as a gateway of an external platform", command_gateway},
	{"fleet", "check, get or put the fleet configuration; its status or history",
		command_fleet},
	{"report", "burn rates of the service-level objectives over all routers", command_report},
	{"keygen", "generate a key pair for the peer socket", command_keygen},
};

static void print_usage(FILE *out)
{
	fprintf(out, "Usage: amaranthwall COMMAND [OPTION...]\n\nCommands:\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].summary);
	fprintf(out, "\n\"amaranthwall COMMAND --help\" lists the options.\n"
		     "Exit codes: 0 success, 1 failure, 2 invalid settings or configuration,\n"
		     "3 conflict, 4 unreachable, 64 usage error.\n");
}

int main(int argc, char **argv)
{
	if (argc > 1 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-?"))) {
		print_usage(stdout);
		return EXIT_OK;
	}
	if (argc > 1 && (!strcmp(argv[1], "--version") || !strcmp(argv[1], "-V"))) {
		puts(argp_program_version);
		return EXIT_OK;
	}
	for (size_t i = 0; argc > 1 && i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (!strcmp(argv[1], commands[i].name)) {
			argv[1] = g_strconcat("amaranthwall ", argv[1], NULL);
			return commands[i].run(argc - 1, argv + 1);
		}
	}
	print_usage(stderr);
	return EXIT_USAGE;
}
