#include "cmd/daemon_arguments.h"

#include <argp.h>

typedef struct parse_state {
	daemon_arguments_t *arguments;
	const daemon_arguments_options_t *options;
} parse_state_t;

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	parse_state_t *parse_state = state->input;

	switch (key) {
	case 's':
		parse_state->arguments->settings = text;
		break;
	case 'c':
		parse_state->arguments->check = true;
		break;
	case 'v':
		parse_state->arguments->verbose = true;
		break;
	case ARGP_KEY_END:
		if (parse_state->options->needs_settings && !parse_state->arguments->settings)
			argp_error(state, "--settings FILE is missing");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

void daemon_arguments_parse(
	daemon_arguments_t *this, const daemon_arguments_options_t *options, int argc, char **argv)
{
	const struct argp_option table[] = {
		{"settings", 's', "FILE", 0, options->settings_doc, 0},
		{"check", 'c', 0, 0, "check the settings and exit", 0},
		{"verbose", 'v', 0, 0, "log each request", 0},
		{0},
	};
	const struct argp parser = {table, parse_option, NULL, options->doc, NULL, NULL, NULL};
	parse_state_t parse_state = {this, options};

	argp_parse(&parser, argc, argv, 0, NULL, &parse_state);
}
