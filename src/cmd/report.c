#include <argp.h>
#include <stdio.h>
#include <string.h>

#include "cmd/commands.h"
#include "cmd/fleet_client.h"

#define MAX_WINDOWS 8
/*
 * Alert thresholds on the burn rate, which has to be above them over a long and a short
 * window: 1h and 5m for the fast alert, 6h and 30m for the slow one.  The usual values
 * for multi-window alerts.
 */
#define FAST_BURN_RATE 14.4
#define SLOW_BURN_RATE 6.0

typedef struct arguments {
	const char *settings;
	const char *report;
	bool json;
} arguments_t;

static const struct argp_option options[] = {
	{"settings", 's', "FILE", 0, "settings of any router of the fleet", 0},
	{"json", 'j', 0, 0, "print one JSON object", 0},
	{0},
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 's':
		arguments->settings = text;
		break;
	case 'j':
		arguments->json = true;
		break;
	case ARGP_KEY_ARG:
		arguments->report = text;
		break;
	case ARGP_KEY_END:
		if (!arguments->report || strcmp(arguments->report, "burn") || !arguments->settings)
			argp_usage(state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp parser = {options, parse_option, "burn",
	"Burn rates of the service-level objectives of each service and workspace, summed over "
	"all routers.  A rate of 1.0 spends the error budget exactly.  Routers that do not answer "
	"are listed.",
	NULL, NULL, NULL};

/* Requests in a window that ends now, from all routers. */
typedef struct burn_window {
	char *name;
	uint64_t total;
	uint64_t failed;
	uint64_t late;
} burn_window_t;

typedef struct report_line {
	char *service;
	char *workspace;
	double success; /* objective, share of requests */
	burn_window_t windows[MAX_WINDOWS];
	unsigned int window_count;
} report_line_t;

static void line_delete(void *data)
{
	report_line_t *line = data;

	for (unsigned int i = 0; i < line->window_count; i++)
		g_free(line->windows[i].name);
	g_free(line->service);
	g_free(line->workspace);
	g_free(line);
}

static int compare_keys(const void *a, const void *b, void *ctx)
{
	return strcmp(a, b);
}

static report_line_t *get_line(GTree *lines, json_value_t *v)
{
	const char *service = json_get_string(v, "service", "");
	const char *workspace = json_get_string(v, "workspace", "");
	char *key = g_strconcat(service, "\n", workspace, NULL);
	report_line_t *line = g_tree_lookup(lines, key);
	json_value_t *success = json_get(v, "success");

	if (line) {
		g_free(key);
		return line;
	}
	line = g_new0(report_line_t, 1);
	line->service = g_strdup(service);
	line->workspace = g_strdup(workspace);
	line->success = success ? success->number : 0.99;
	g_tree_insert(lines, key, line);
	return line;
}

static void add_windows(report_line_t *line, json_value_t *windows)
{
	unsigned int i = 0;

	if (!windows || windows->type != JSON_ARRAY)
		return;
	for (json_value_t *v = windows->first; v && i < MAX_WINDOWS; v = v->next, i++) {
		burn_window_t *window = &line->windows[i];

		if (!window->name)
			window->name = g_strdup(json_get_string(v, "name", ""));
		window->total += (uint64_t)json_get_int(v, "total", 0);
		window->failed += (uint64_t)json_get_int(v, "failed", 0);
		window->late += (uint64_t)json_get_int(v, "late", 0);
	}
	line->window_count = i;
}

static void add_page(GTree *lines, const GString *page)
{
	jsondoc_t *doc = jsondoc_new(page->str, page->len);

	if (!doc->error && doc->root->type == JSON_ARRAY) {
		for (json_value_t *v = doc->root->first; v; v = v->next)
			add_windows(get_line(lines, v), json_get(v, "windows"));
	}
	jsondoc_delete(doc);
}

static double burn_rate(uint64_t bad, uint64_t total, double success)
{
	return total ? (double)bad / (double)total / (1.0 - success) : 0;
}

static double window_burn_rate(const report_line_t *line, const char *name)
{
	for (unsigned int i = 0; i < line->window_count; i++) {
		const burn_window_t *w = &line->windows[i];

		if (!strcmp(w->name, name))
			return burn_rate(w->failed + w->late, w->total, line->success);
	}
	return 0;
}

static const char *alert_level(const report_line_t *line)
{
	if (window_burn_rate(line, "1h") > FAST_BURN_RATE &&
		window_burn_rate(line, "5m") > FAST_BURN_RATE)
		return "fast";
	if (window_burn_rate(line, "6h") > SLOW_BURN_RATE &&
		window_burn_rate(line, "30m") > SLOW_BURN_RATE)
		return "slow";
	return "-";
}

static gboolean print_text(void *key, void *value, void *ctx)
{
	const report_line_t *line = value;

	for (unsigned int i = 0; i < line->window_count; i++) {
		const burn_window_t *w = &line->windows[i];

		printf("%-16s %-16s %-5s %9" G_GUINT64_FORMAT " %8.2f %8.2f  %s\n", line->service,
			line->workspace, w->name, w->total,
			burn_rate(w->failed, w->total, line->success),
			burn_rate(w->late, w->total, line->success), i ? "" : alert_level(line));
	}
	return FALSE;
}

static gboolean print_json(void *key, void *value, void *ctx)
{
	const report_line_t *line = value;
	bool *first = ctx;

	printf("%s{\"service\":\"%s\",\"workspace\":\"%s\",\"success\":%g,\"alert\":\"%s\","
	       "\"windows\":[",
		*first ? "" : ",", line->service, line->workspace, line->success,
		alert_level(line));
	*first = false;
	for (unsigned int i = 0; i < line->window_count; i++) {
		const burn_window_t *w = &line->windows[i];

		printf("%s{\"name\":\"%s\",\"total\":%" G_GUINT64_FORMAT ",\"failed_burn\":%.3f,"
		       "\"late_burn\":%.3f}",
			i ? "," : "", w->name, w->total,
			burn_rate(w->failed, w->total, line->success),
			burn_rate(w->late, w->total, line->success));
	}
	printf("]}");
	return FALSE;
}

static void print_report(GTree *lines, const GString *unreachable, bool json)
{
	bool first = true;

	if (json) {
		printf("{\"lines\":[");
		g_tree_foreach(lines, print_json, &first);
		printf("],\"silent\":[%s]}\n", unreachable->str);
		return;
	}
	printf("%-16s %-16s %-5s %9s %8s %8s  %s\n", "service", "workspace", "over", "requests",
		"failed", "late", "alert");
	g_tree_foreach(lines, print_text, NULL);
	if (unreachable->len)
		printf("did not answer: %s\n", unreachable->str);
}

int command_report(int argc, char **argv)
{
	arguments_t arguments = {0};
	fleet_client_t client;
	GString *unreachable;
	GTree *lines;
	int code = EXIT_OK;

	argp_parse(&parser, argc, argv, 0, NULL, &arguments);
	if (!fleet_client_open(&client, arguments.settings))
		return EXIT_BAD_SETTINGS;
	lines = g_tree_new_full(compare_keys, NULL, g_free, line_delete);
	unreachable = g_string_new(NULL);
	for (unsigned int i = 0; i < fleet_client_routers(&client); i++) {
		GString *page = fleet_client_page(&client, i, "/burn");

		if (page) {
			add_page(lines, page);
			g_string_free(page, TRUE);
			continue;
		}
		code = EXIT_UNREACHABLE;
		g_string_append_printf(unreachable, "%s\"%s\"", unreachable->len ? "," : "",
			fleet_client_name(&client, i));
	}
	print_report(lines, unreachable, arguments.json);
	g_string_free(unreachable, TRUE);
	g_tree_destroy(lines);
	fleet_client_close(&client);
	return code;
}
