/*
 * summary - prints the results of bench/run.sh as tables and writes them as one JSON file
 *
 * Usage: summary OUTPUT.json RUN.json...  The tables show the median and the range over
 * the seeds for each deployment, measure and policy.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/types.h"
#include "settings/jsondoc.h"

#define MAX_RUNS 400
#define MAX_NAMES 8

typedef struct run {
	jsondoc_t *doc;
	const char *deployment;
	const char *policy;
	int64_t seed;
} run_t;

typedef struct measure {
	const char *name;
	const char *unit;
	const char *window; /* object in the load's summary, NULL for the summary itself */
	const char *group;  /* object in the window, NULL for the window itself */
	const char *member;
	const char *traffic_phase; /* "calm" or "full": a traffic counter of the routers */
	int counter;		   /* index of that counter */
	bool per_request;	   /* counter per request, else per second and router */
} measure_t;

/* In the order of traffic_counters() in bench/run.sh. */
enum traffic_counter {
	COUNTER_MESSAGES,
	COUNTER_PAYLOAD,
	COUNTER_WIRE,
	COUNTER_REQUESTS,
	COUNTER_TICKS,
};

static const measure_t measures[] = {
	{"calm: p95 first byte, short, small workspaces", "ms", "span_calm", "quick-small",
		"p95_first_ms", NULL, 0, false},
	{"crest: p95 first byte, short, small workspaces", "ms", "span_crest", "quick-small",
		"p95_first_ms", NULL, 0, false},
	{"calm: p99 first byte, short, small workspaces", "ms", "span_calm", "quick-small",
		"p99_first_ms", NULL, 0, false},
	{"slowed: p99 first byte, short, small workspaces", "ms", "span_slowed", "quick-small",
		"p99_first_ms", NULL, 0, false},
	{"slowed: p99 first byte, drafts", "ms", "span_slowed", "draft", "p99_first_ms", NULL, 0,
		false},
	{"stragglers: p99 first byte, short, small workspaces", "ms", "span_stragglers",
		"quick-small", "p99_first_ms", NULL, 0, false},
	{"full: fairness gap", "weighted cost", "span_full", NULL, "fairness_gap", NULL, 0, false},
	{"full: largest weighted cost of a request", "weighted cost", "span_full", NULL,
		"largest_cost", NULL, 0, false},
	{"full: utilisation", "share", "span_full", NULL, "utilisation", NULL, 0, false},
	{"full: p95 first byte, short, small workspaces", "ms", "span_full", "quick-small",
		"p95_first_ms", NULL, 0, false},
	{"full: told not run", "requests", "span_full", "all", "not_run", NULL, 0, false},
	{"calm: control on the wire, both ways", "B/s a router", NULL, NULL, NULL, "calm",
		COUNTER_WIRE, false},
	{"calm: requests", "1/s a router", NULL, NULL, NULL, "calm", COUNTER_REQUESTS, false},
	{"full: control on the wire, both ways", "B/s a router", NULL, NULL, NULL, "full",
		COUNTER_WIRE, false},
	{"full: control on the wire a request", "B", NULL, NULL, NULL, "full", COUNTER_WIRE, true},
	{"full: messages sent a request", "1", NULL, NULL, NULL, "full", COUNTER_MESSAGES, true},
	{"full: processor time of a router, data path included", "% of a core", NULL, NULL, NULL,
		"full", COUNTER_TICKS, false},
	{"promises broken", "requests", NULL, "join", "wrong", NULL, 0, false},
	{"told not run, but ran", "requests", NULL, "join", "not_run_but_ran", NULL, 0, false},
};

static double number_at(json_value_t *list, int index)
{
	json_value_t *v = list ? list->first : NULL;

	while (v && index--)
		v = v->next;
	return v ? v->number : 0;
}

static double counter_delta(json_value_t *traffic, const char *phase, int counter)
{
	char *from = g_strconcat(phase, "_from", NULL);
	char *to = g_strconcat(phase, "_to", NULL);
	double delta = number_at(json_get(traffic, to), counter) -
		       number_at(json_get(traffic, from), counter);

	g_free(from);
	g_free(to);
	return delta;
}

static double traffic_measure_value(const run_t *run, const measure_t *m)
{
	json_value_t *traffic = json_get(run->doc->root, "traffic");
	char *seconds_key = g_strconcat(m->traffic_phase, "_s", NULL);
	json_value_t *seconds = json_get(traffic, seconds_key);
	double routers = (double)json_get_int(run->doc->root, "routers", 1);
	double delta = counter_delta(traffic, m->traffic_phase, m->counter);

	g_free(seconds_key);
	if (m->per_request)
		return delta / counter_delta(traffic, m->traffic_phase, COUNTER_REQUESTS);
	return delta / (seconds ? seconds->number : 1) / routers;
}

static double measure_value(const run_t *run, const measure_t *m)
{
	json_value_t *v = json_get(run->doc->root, "load");

	if (m->traffic_phase)
		return traffic_measure_value(run, m);
	if (m->window)
		v = json_get(v, m->window);
	if (m->group)
		v = json_get(v, m->group);
	v = json_get(v, m->member);
	return v ? v->number : 0;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	if (x == y)
		return 0;
	return x < y ? -1 : 1;
}

static unsigned int collect_values(const run_t *runs, unsigned int count, const char *deployment,
	const char *policy, const measure_t *m, double *values)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < count; i++) {
		if (!strcmp(runs[i].deployment, deployment) && !strcmp(runs[i].policy, policy))
			values[n++] = measure_value(&runs[i], m);
	}
	qsort(values, n, sizeof(*values), compare_doubles);
	return n;
}

static unsigned int collect_names(
	const run_t *runs, unsigned int count, bool policies, const char **names)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < count; i++) {
		const char *name = policies ? runs[i].policy : runs[i].deployment;
		unsigned int j = 0;

		while (j < n && strcmp(names[j], name))
			j++;
		if (j == n && n < MAX_NAMES)
			names[n++] = name;
	}
	return n;
}

static void print_table(const run_t *runs, unsigned int count, const char *deployment,
	const char **policies, unsigned int policy_count)
{
	double values[MAX_RUNS];

	printf("\n%s\n%-54s %-14s", deployment, "measure, median [lowest, highest] over seeds",
		"unit");
	for (unsigned int p = 0; p < policy_count; p++)
		printf(" %26s", policies[p]);
	printf("\n");
	for (unsigned int i = 0; i < ARRAY_LEN(measures); i++) {
		printf("%-54s %-14s", measures[i].name, measures[i].unit);
		for (unsigned int p = 0; p < policy_count; p++) {
			unsigned int n = collect_values(
				runs, count, deployment, policies[p], &measures[i], values);
			int digits = n && values[n - 1] < 2 ? 3 : 0;
			char cell[64] = "-";

			if (n)
				snprintf(cell, sizeof(cell), "%.*f [%.*f, %.*f]", digits,
					values[n / 2], digits, values[0], digits, values[n - 1]);
			printf(" %26s", cell);
		}
		printf("\n");
	}
}

static void write_json(const char *path, const run_t *runs, unsigned int count)
{
	FILE *out = fopen(path, "w");

	if (!out) {
		perror(path);
		exit(EXIT_FAILURE);
	}
	fprintf(out, "[");
	for (unsigned int i = 0; i < count; i++) {
		for (unsigned int m = 0; m < ARRAY_LEN(measures); m++)
			fprintf(out,
				"%s\n{\"deployment\":\"%s\",\"policy\":\"%s\",\"seed\":%lld,"
				"\"measure\":\"%s\",\"value\":%g,\"unit\":\"%s\"}",
				i || m ? "," : "", runs[i].deployment, runs[i].policy,
				(long long)runs[i].seed, measures[m].name,
				measure_value(&runs[i], &measures[m]), measures[m].unit);
	}
	fprintf(out, "\n]\n");
	fclose(out);
}

static bool load_run(const char *path, run_t *run)
{
	char *text = NULL;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, NULL))
		return false;
	run->doc = jsondoc_new(text, len);
	g_free(text);
	if (run->doc->error) {
		fprintf(stderr, "%s: %s; this run has failed\n", path, run->doc->error);
		jsondoc_delete(run->doc);
		return false;
	}
	run->deployment = json_get_string(run->doc->root, "deployment", "?");
	run->policy = json_get_string(run->doc->root, "policy", "?");
	run->seed = json_get_int(run->doc->root, "seed", 0);
	return true;
}

int main(int argc, char **argv)
{
	const char *deployments[MAX_NAMES];
	const char *policies[MAX_NAMES];
	run_t *runs;
	unsigned int count = 0;
	unsigned int failed = 0;
	unsigned int deployment_count;
	unsigned int policy_count;

	if (argc < 3) {
		fprintf(stderr, "usage: summary OUTPUT.json RUN.json...\n");
		return 64;
	}
	runs = g_new0(run_t, MAX_RUNS);
	for (int i = 2; i < argc && count < MAX_RUNS; i++) {
		if (load_run(argv[i], &runs[count]))
			count++;
		else
			failed++;
	}
	deployment_count = collect_names(runs, count, false, deployments);
	policy_count = collect_names(runs, count, true, policies);
	for (unsigned int d = 0; d < deployment_count; d++)
		print_table(runs, count, deployments[d], policies, policy_count);
	write_json(argv[1], runs, count);
	printf("\n%u runs, %u failed\n", count, failed);
	for (unsigned int i = 0; i < count; i++)
		jsondoc_delete(runs[i].doc);
	g_free(runs);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
