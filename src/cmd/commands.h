#ifndef CMD_COMMANDS_H
#define CMD_COMMANDS_H
/* commands - what the binary can do, and its exit codes */

typedef enum exit_code {
	EXIT_GOOD = 0,
	EXIT_FAILED = 1,
	EXIT_BAD_SETTINGS = 2,
	EXIT_CONFLICT = 3,
	EXIT_OUT_OF_REACH = 4,
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
