#ifndef CMD_DAEMON_ARGUMENTS_H
#define CMD_DAEMON_ARGUMENTS_H
/* daemon_arguments - command line of the commands that run until a planned stop */
#include <stdbool.h>

typedef struct daemon_arguments {
	const char *settings; /* file name, NULL: not given */
	bool check;	      /* only check the settings, then exit */
	bool verbose;
} daemon_arguments_t;

typedef struct daemon_arguments_options {
	const char *doc;	  /* of the command, for --help */
	const char *settings_doc; /* of --settings, for --help */
	bool needs_settings;	  /* exit with a usage error when --settings is missing */
} daemon_arguments_options_t;

/* Sets the arguments that are given; the caller has zeroed `this`. Exits on a usage error. */
void daemon_arguments_parse(
	daemon_arguments_t *this, const daemon_arguments_options_t *options, int argc, char **argv);

#endif
