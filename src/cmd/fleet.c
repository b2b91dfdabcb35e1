#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/commands.h"
#include "cmd/fleet_client.h"
#include "edge/clock.h"
#include "settings/fleet_config.h"

#define WAIT_TIMEOUT (30 * USEC_PER_SEC)
#define WAIT_PAUSE_US 100000
#define EXPECT_MISSING UINT64_MAX

typedef struct arguments {
	const char *settings;
	const char *action;
	const char *file;
	uint64_t expected;
	bool wait;
} arguments_t;

static const struct argp_option options[] = {
	{"settings", 's', "FILE", 0, "settings of any router of the fleet", 0},
	{"expect", 'e', "VERSION", 0, "version that the change is based on; 0: there is none yet",
		0},
	{"wait", 'w', 0, 0, "wait until every router applies the new version", 0},
	{0},
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	arguments_t *arguments = state->input;
	char *end;

	switch (key) {
	case 's':
		arguments->settings = text;
		break;
	case 'e':
		arguments->expected = strtoull(text, &end, 10);
		if (!*text || *end)
			argp_error(state, "--expect: \"%s\" is not a version number", text);
		break;
	case 'w':
		arguments->wait = true;
		break;
	case ARGP_KEY_ARG:
		if (!arguments->action)
			arguments->action = text;
		else if (!arguments->file)
			arguments->file = text;
		else
			argp_usage(state);
		break;
	case ARGP_KEY_END:
		if (!arguments->action)
			argp_usage(state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp parser = {options, parse_option,
	"check FILE\nget\nput FILE --expect VERSION\nstatus\nhistory",
	"Checks, reads or replaces the fleet configuration.  All actions but check need "
	"--settings.",
	NULL, NULL, NULL};

/*
 * Returns the content of the file; prints the errors and returns NULL when it is no valid
 * fleet configuration.
 */
static char *read_config(const char *path)
{
	GError *error = NULL;
	fleet_config_t *config;
	error_list_t errors;
	char *source;

	if (!path) {
		fputs("no FILE is given\n", stderr);
		return NULL;
	}
	if (!g_file_get_contents(path, &source, NULL, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return NULL;
	}
	error_list_init(&errors, path);
	config = fleet_config_new(source, 1, &errors);
	fputs(errors.text->str, stderr);
	error_list_clear(&errors);
	if (config) {
		fleet_config_put(config);
		return source;
	}
	g_free(source);
	return NULL;
}

static int run_check(fleet_client_t *client, const arguments_t *arguments)
{
	char *source = read_config(arguments->file);

	if (!source)
		return EXIT_BAD_SETTINGS;
	g_free(source);
	puts("good");
	return EXIT_OK;
}

static int run_get(fleet_client_t *client, const arguments_t *arguments)
{
	uint64_t row_version;
	config_row_t row;
	store_result_t result = fleet_client_read(client, &row, &row_version);

	if (result == STORE_NOT_FOUND) {
		fputs("there is no fleet configuration yet; put the first one with --expect 0\n",
			stderr);
		return EXIT_FAILED;
	}
	if (result != STORE_OK) {
		fputs("the table service does not answer\n", stderr);
		return EXIT_UNREACHABLE;
	}
	fprintf(stderr, "version %" G_GUINT64_FORMAT "\n", row.number);
	fputs(row.text, stdout);
	config_row_clear(&row);
	return EXIT_OK;
}

static uint64_t applied_version(fleet_client_t *client, unsigned int router)
{
	GString *page = fleet_client_page(client, router, "/status");
	jsondoc_t *doc = page ? jsondoc_new(page->str, page->len) : NULL;
	uint64_t version = 0;

	if (doc && !doc->error)
		version = (uint64_t)json_get_int(doc->root, "text_version", 0);
	jsondoc_delete(doc);
	if (page)
		g_string_free(page, TRUE);
	return version;
}

/* Counts the routers that apply an older version than `version`; lists them in `out`, if set. */
static unsigned int count_outdated(fleet_client_t *client, uint64_t version, FILE *out)
{
	unsigned int outdated = 0;

	for (unsigned int i = 0; i < fleet_client_routers(client); i++) {
		uint64_t applied = applied_version(client, i);

		if (applied >= version)
			continue;
		outdated++;
		if (out)
			fprintf(out, "%s applies version %" G_GUINT64_FORMAT "%s\n",
				fleet_client_name(client, i), applied,
				applied ? "" : " or does not answer");
	}
	return outdated;
}

static int wait_until_applied(fleet_client_t *client, uint64_t version)
{
	instant_t until = clock_now() + WAIT_TIMEOUT;

	while (count_outdated(client, version, NULL)) {
		if (clock_now() > until) {
			fputs("accepted, but not yet applied by every router:\n", stderr);
			count_outdated(client, version, stderr);
			return EXIT_UNREACHABLE;
		}
		g_usleep(WAIT_PAUSE_US);
	}
	printf("version %" G_GUINT64_FORMAT " applied by %u routers\n", version,
		fleet_client_routers(client));
	return EXIT_OK;
}

static int run_put(fleet_client_t *client, const arguments_t *arguments)
{
	uint64_t version = 0;
	uint64_t current = 0;
	char *source;
	put_result_t result;

	if (arguments->expected == EXPECT_MISSING) {
		fputs("put needs --expect VERSION, the version that the change is based on\n",
			stderr);
		return EXIT_USAGE;
	}
	source = read_config(arguments->file);
	if (!source)
		return EXIT_BAD_SETTINGS;
	result = fleet_client_put(client, source, arguments->expected, &version, &current);
	g_free(source);
	if (result == PUT_CONFLICT) {
		fprintf(stderr,
			"conflict: the current version is %" G_GUINT64_FORMAT
			"; get it, redo the change and put it\n",
			current);
		return EXIT_CONFLICT;
	}
	if (result == PUT_UNKNOWN) {
		fputs("unknown: the table service does not answer; check with history later\n",
			stderr);
		return EXIT_UNREACHABLE;
	}
	printf("accepted as version %" G_GUINT64_FORMAT "\n", version);
	return arguments->wait ? wait_until_applied(client, version) : EXIT_OK;
}

static int run_status(fleet_client_t *client, const arguments_t *arguments)
{
	int code = EXIT_OK;

	for (unsigned int i = 0; i < fleet_client_routers(client); i++) {
		GString *page = fleet_client_page(client, i, "/status");

		if (!page) {
			printf("{\"name\":\"%s\",\"answers\":false}\n",
				fleet_client_name(client, i));
			code = EXIT_UNREACHABLE;
			continue;
		}
		puts(page->str);
		g_string_free(page, TRUE);
	}
	return code;
}

static int run_history(fleet_client_t *client, const arguments_t *arguments)
{
	GArray *rows = table_rows_new();
	store_result_t result =
		client->platform->ops->scan(client->platform, CONFIG_HISTORY_PREFIX, rows);

	for (unsigned int i = 0; i < rows->len; i++) {
		config_row_t row;

		if (!config_row_decode(g_array_index(rows, table_row_t, i).value, &row))
			continue;
		printf("version=%" G_GUINT64_FORMAT " change=%s bytes=%zu\n", row.number,
			row.change, strlen(row.text));
		config_row_clear(&row);
	}
	g_array_unref(rows);
	return result == STORE_OK ? EXIT_OK : EXIT_UNREACHABLE;
}

typedef struct action {
	const char *name;
	bool needs_client;
	int (*run)(fleet_client_t *client, const arguments_t *arguments);
} action_t;

static const action_t actions[] = {
	{"check", false, run_check},
	{"get", true, run_get},
	{"put", true, run_put},
	{"status", true, run_status},
	{"history", true, run_history},
};

static int run_action(const action_t *action, const arguments_t *arguments)
{
	fleet_client_t client = {0};
	int code;

	if (!action->needs_client)
		return action->run(NULL, arguments);
	if (!arguments->settings) {
		fprintf(stderr, "%s needs --settings FILE\n", action->name);
		return EXIT_USAGE;
	}
	if (!fleet_client_open(&client, arguments->settings))
		return EXIT_BAD_SETTINGS;
	code = action->run(&client, arguments);
	fleet_client_close(&client);
	return code;
}

int command_fleet(int argc, char **argv)
{
	arguments_t arguments = {.expected = EXPECT_MISSING};

	argp_parse(&parser, argc, argv, 0, NULL, &arguments);
	for (size_t i = 0; i < ARRAY_LEN(actions); i++) {
		if (!strcmp(actions[i].name, arguments.action))
			return run_action(&actions[i], &arguments);
	}
	fprintf(stderr, "unknown action \"%s\"; use check, get, put, status or history\n",
		arguments.action);
	return EXIT_USAGE;
}
