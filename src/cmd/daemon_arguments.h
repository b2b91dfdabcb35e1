#ifndef CMD_DAEMON_ARGUMENTS_H
#define CMD_DAEMON_ARGUMENTS_H
/* daemon_arguments - what the commands that run a process until its planned stop are told */
#include <stdbool.h>

typedef struct daemon_arguments {
	const char *settings; /* NULL: not given */
	bool check;
	bool verbose;
} daemon_arguments_t;

typedef struct daemon_arguments_options {
	const char *doc;
	const char *settings_doc;
	bool needs_settings; /* without the file's name the command ends with its usage */
} daemon_arguments_options_t;

/* Fills in what is given; `this` is zeroed before. */
void daemon_arguments_parse(
	daemon_arguments_t *this, const daemon_arguments_options_t *options, int argc, char **argv);

#endif
