#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/commands.h"
#include "cmd/fleet_client.h"
#include "edge/clock.h"
#include "settings/fleet_config.h"

#define WAIT_LIMIT (30 * USEC_PER_SEC)
#define WAIT_PAUSE_US 100000
#define EXPECT_NOT_GIVEN UINT64_MAX

typedef struct arguments {
	const char *settings;
	const char *action;
	const char *file;
	uint64_t expected;
	bool wait;
} arguments_t;

static const struct argp_option options[] = {
	{"settings", 's', "FILE", 0, "settings of any router of the fleet", 0},
	{"expect", 'e', "VERSION", 0, "the version that the change was made from; 0: none yet", 0},
	{"wait", 'w', 0, 0, "return when every router reports the text in force", 0},
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
			argp_error(state, "--expect: \"%s\" is no version", text);
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
	"Works on the operators' text.  All but check need --settings.", NULL, NULL, NULL};

/* The file's content when it is a good fleet text, else NULL with the faults printed. */
static char *read_checked(const char *path)
{
	GError *error = NULL;
	fleet_config_t *text;
	error_list_t faults;
	char *source;

	if (!path) {
		fputs("which FILE?\n", stderr);
		return NULL;
	}
	if (!g_file_get_contents(path, &source, NULL, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return NULL;
	}
	error_list_init(&faults, path);
	text = fleet_config_new(source, 1, &faults);
	fputs(faults.text->str, stderr);
	error_list_clear(&faults);
	if (text) {
		fleet_config_put(text);
		return source;
	}
	g_free(source);
	return NULL;
}

static int run_check(fleet_client_t *client, const arguments_t *arguments)
{
	char *source = read_checked(arguments->file);

	if (!source)
		return EXIT_BAD_SETTINGS;
	g_free(source);
	puts("good");
	return EXIT_GOOD;
}

static int run_get(fleet_client_t *client, const arguments_t *arguments)
{
	uint64_t row_version;
	config_row_t row;
	store_result_t result = fleet_client_read(client, &row, &row_version);

	if (result == STORE_NOT_FOUND) {
		fputs("no text yet: put the first with --expect 0\n", stderr);
		return EXIT_FAILED;
	}
	if (result != STORE_OK) {
		fputs("the table service is out of reach\n", stderr);
		return EXIT_OUT_OF_REACH;
	}
	fprintf(stderr, "version %" G_GUINT64_FORMAT "\n", row.number);
	fputs(row.text, stdout);
	config_row_clear(&row);
	return EXIT_GOOD;
}

static uint64_t version_in_force(fleet_client_t *client, unsigned int router)
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

/* Names the routers that lack `version`; returns how many. */
static unsigned int count_lacking(fleet_client_t *client, uint64_t version, FILE *out)
{
	unsigned int lacking = 0;

	for (unsigned int i = 0; i < fleet_client_routers(client); i++) {
		uint64_t has = version_in_force(client, i);

		if (has >= version)
			continue;
		lacking++;
		if (out)
			fprintf(out, "%s has version %" G_GUINT64_FORMAT "%s\n",
				fleet_client_name(client, i), has,
				has ? "" : " or does not answer");
	}
	return lacking;
}

static int wait_in_force(fleet_client_t *client, uint64_t version)
{
	instant_t until = clock_now() + WAIT_LIMIT;

	while (count_lacking(client, version, NULL)) {
		if (clock_now() > until) {
			fputs("accepted, but not yet in force everywhere:\n", stderr);
			count_lacking(client, version, stderr);
			return EXIT_OUT_OF_REACH;
		}
		g_usleep(WAIT_PAUSE_US);
	}
	printf("version %" G_GUINT64_FORMAT " in force on %u routers\n", version,
		fleet_client_routers(client));
	return EXIT_GOOD;
}

static int run_put(fleet_client_t *client, const arguments_t *arguments)
{
	uint64_t version = 0;
	uint64_t winner = 0;
	char *source;
	put_result_t result;

	if (arguments->expected == EXPECT_NOT_GIVEN) {
		fputs("put needs --expect VERSION, the one that the change was made from\n",
			stderr);
		return EXIT_USAGE;
	}
	source = read_checked(arguments->file);
	if (!source)
		return EXIT_BAD_SETTINGS;
	result = fleet_client_put(client, source, arguments->expected, &version, &winner);
	g_free(source);
	if (result == PUT_CONFLICT) {
		fprintf(stderr,
			"conflict: version %" G_GUINT64_FORMAT " stands; get it and try again\n",
			winner);
		return EXIT_CONFLICT;
	}
	if (result == PUT_LOST) {
		fputs("unknown: the table service is out of reach; see history later\n", stderr);
		return EXIT_OUT_OF_REACH;
	}
	printf("accepted as version %" G_GUINT64_FORMAT "\n", version);
	return arguments->wait ? wait_in_force(client, version) : EXIT_GOOD;
}

static int run_status(fleet_client_t *client, const arguments_t *arguments)
{
	int code = EXIT_GOOD;

	for (unsigned int i = 0; i < fleet_client_routers(client); i++) {
		GString *page = fleet_client_page(client, i, "/status");

		if (!page) {
			printf("{\"name\":\"%s\",\"answers\":false}\n",
				fleet_client_name(client, i));
			code = EXIT_OUT_OF_REACH;
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
	return result == STORE_OK ? EXIT_GOOD : EXIT_OUT_OF_REACH;
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
	arguments_t arguments = {.expected = EXPECT_NOT_GIVEN};

	argp_parse(&parser, argc, argv, 0, NULL, &arguments);
	for (size_t i = 0; i < ARRAY_LEN(actions); i++) {
		if (!strcmp(actions[i].name, arguments.action))
			return run_action(&actions[i], &arguments);
	}
	fprintf(stderr, "\"%s\" is unknown; give check, get, put, status or history\n",
		arguments.action);
	return EXIT_USAGE;
}
