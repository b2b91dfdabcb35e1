#ifndef CMD_COMMANDS_H
#define CMD_COMMANDS_H
/* commands - the subcommands of amaranthwall and their exit codes */

typedef enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,
	EXIT_BAD_SETTINGS = 2, /* invalid settings or fleet configuration */
	EXIT_CONFLICT = 3,     /* the fleet configuration has another version than expected */
	EXIT_UNREACHABLE = 4,  /* the table service or a router does not answer */
	EXIT_USAGE = 64,
} exit_code_t;

typedef struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
} command_t;

int command_router(int argc, char **argv);
int command_gateway(int argc, char **argv);
int command_fleet(int argc, char **argv);
int command_report(int argc, char **argv);
int command_keygen(int argc, char **argv);

#endif
