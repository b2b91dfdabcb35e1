/*
 * amaranthwall-load - generates open-loop load on a fleet and checks every response
 *
 * Sends for --seconds, waits for the last responses and prints a JSON summary.  Exits 1
 * when a response or its outcome was wrong, 2 when the profile is invalid.
 */
#include <argp.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/http_exchange.h"
#include "load/join.h"
#include "load/sender.h"

#define MAX_IN_FLIGHT 4000
#define THREAD_STACK (256U << 10)
#define RATE_STEP_MS 20
#define MAX_WINDOWS 40
#define DRAIN_TIMEOUT (120 * USEC_PER_SEC)

/* A part of the run that gets a summary of its own. */
typedef struct time_window {
	char *name;
	unsigned int from_ms;
	unsigned int to_ms;
	double busy_us; /* slot time used in the first stand-in process */
	double slots;	/* slots of that process */
} time_window_t;

typedef struct arguments {
	time_window_t windows[MAX_WINDOWS];
	unsigned int window_count;
	const char *profile;
	char **routers;
	char **standins;
	const char *model;
	unsigned int seconds;
	unsigned int seed;
	bool obey_retry_after;
	double scale;
} arguments_t;

typedef struct generator {
	const arguments_t *arguments;
	const load_stream_t *stream;
	const sender_options_t *options;
	instant_t start;
	uint32_t seed;
	pthread_t thread;
} generator_t;

static int in_flight;
static int over_limit; /* requests not sent, as MAX_IN_FLIGHT were in flight */

static const struct argp_option options[] = {
	{"profile", 'p', "FILE", 0, "load profile, JSON with comments", 0},
	{"routers", 'r', "IP:PORT,...", 0, "caller addresses of the routers", 0},
	{"standins", 'l', "IP:PORT,...", 0, "an address of each stand-in process, to read its log",
		0},
	{"model", 'm', "NAME", 0, "model for which to compute the fairness gap", 0},
	{"seconds", 's', "N", 0, "duration of the load (5)", 0},
	{"seed", 'e', "N", 0, "seed of all random numbers (1)", 0},
	{"span", 'w', "NAME:FROM:TO", 0,
		"also summarize the window FROM to TO, in ms; may be repeated", 0},
	{"obey", 'o', 0, 0, "retry after the Retry-After delay instead of 200 ms", 0},
	{"scale", 'x', "F", 0, "multiply every rate by F (1)", 0},
	{0},
};

static void add_window(arguments_t *a, const char *text, struct argp_state *state)
{
	char **parts = g_strsplit(text, ":", 3);
	time_window_t *window = &a->windows[a->window_count];

	if (g_strv_length(parts) != 3 || a->window_count == MAX_WINDOWS)
		argp_error(state, "--span: \"%s\" is not NAME:FROM:TO, or more than 40 are given",
			text);
	window->name = g_strdup(parts[0]);
	window->from_ms = (unsigned int)strtoul(parts[1], NULL, 10);
	window->to_ms = (unsigned int)strtoul(parts[2], NULL, 10);
	a->window_count++;
	g_strfreev(parts);
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	arguments_t *a = state->input;
	unsigned int number = text ? (unsigned int)strtoul(text, NULL, 10) : 0;

	switch (key) {
	case 'p':
		a->profile = text;
		break;
	case 'r':
		a->routers = g_strsplit(text, ",", -1);
		break;
	case 'l':
		a->standins = g_strsplit(text, ",", -1);
		break;
	case 'm':
		a->model = text;
		break;
	case 's':
		a->seconds = number;
		break;
	case 'e':
		a->seed = number;
		break;
	case 'w':
		add_window(a, text, state);
		break;
	case 'o':
		a->obey_retry_after = true;
		break;
	case 'x':
		a->scale = g_ascii_strtod(text, NULL);
		break;
	case ARGP_KEY_END:
		if (!a->profile || !a->routers)
			argp_usage(state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp parser = {options, parse_option, NULL,
	"Generates load on a fleet and checks every response.", 0, 0, 0};

static void sleep_until(instant_t at)
{
	uint64_t left = instant_left(at, clock_now());

	if (left)
		g_usleep(left);
}

static void *run_request(void *ctx)
{
	sender_run(ctx);
	__atomic_sub_fetch(&in_flight, 1, __ATOMIC_RELEASE);
	return NULL;
}

static void start_request(send_job_t *job)
{
	pthread_attr_t attributes;
	pthread_t thread;

	if (__atomic_add_fetch(&in_flight, 1, __ATOMIC_RELAXED) > MAX_IN_FLIGHT) {
		__atomic_sub_fetch(&in_flight, 1, __ATOMIC_RELEASE);
		__atomic_add_fetch(&over_limit, 1, __ATOMIC_RELAXED);
		g_free(job);
		return;
	}
	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, THREAD_STACK);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run_request, job))
		abort();
	pthread_attr_destroy(&attributes);
}

/* Box-Muller transform. */
static double draw_normal(GRand *random)
{
	double u = 1.0 - g_rand_double(random); /* in (0, 1]: log(0) is not finite */

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * g_rand_double(random));
}

static send_job_t *draw_request(
	const generator_t *this, GRand *random, uint64_t number, instant_t at)
{
	const load_stream_t *stream = this->stream;
	send_job_t *job = g_new0(send_job_t, 1);
	double tokens = stream->tokens * exp(stream->sigma * draw_normal(random));

	job->options = this->options;
	job->stream = stream;
	job->intended = at;
	job->tokens = tokens < 1 ? 1 : (unsigned int)tokens;
	if (job->tokens > stream->max_tokens)
		job->tokens = stream->max_tokens;
	if (stream->prefixes)
		job->prefix = (unsigned int)g_rand_int_range(random, 0, (gint32)stream->prefixes);
	job->number = number;
	job->seed = g_rand_int(random);
	return job;
}

/* Thread of one stream: Poisson arrivals at its rate, which may change with time. */
static void *run_generator(void *ctx)
{
	generator_t *this = ctx;
	GRand *random = g_rand_new_with_seed(this->seed);
	instant_t end = this->start + this->arguments->seconds * USEC_PER_SEC;
	instant_t at = this->start;
	uint64_t number = 0;

	while (at < end) {
		unsigned int ms = (unsigned int)((at - this->start) / USEC_PER_MSEC);
		double rate = load_stream_rate(this->stream, ms) * this->arguments->scale;
		double wait_s = rate > 0 ? -log(1.0 - g_rand_double(random)) / rate : 1e9;

		if (wait_s * 1000 > RATE_STEP_MS && this->stream->rate_change_count &&
			wait_s * 1000 > 1000) {
			at += RATE_STEP_MS * USEC_PER_MSEC; /* the rate may change before that */
			continue;
		}
		if (wait_s > 1e6)
			break;
		at += (uint64_t)(wait_s * USEC_PER_SEC);
		if (at >= end)
			break;
		sleep_until(at);
		start_request(draw_request(this, random, number++, at));
	}
	g_rand_free(random);
	return NULL;
}

static void print_class(
	records_t *records, const char *name, instant_t from, instant_t to, const char *separator)
{
	class_summary_t s;

	records_summarize(records, name, from, to, &s);
	printf("%s\n  \"%s\": {\"total\": %u, \"done\": %u, \"not_run\": %u, \"unknown\": %u, "
	       "\"broken\": %u, \"wrong\": %u, \"refused_then_served\": %u, \"p50_first_ms\": "
	       "%.1f, "
	       "\"p95_first_ms\": %.1f, \"p99_first_ms\": %.1f, \"p99_end_ms\": %.1f, "
	       "\"cost_per_s\": %.0f}",
		separator, name ? name : "all", s.total, s.results[RESULT_DONE],
		s.results[RESULT_NOT_RUN], s.results[RESULT_UNKNOWN], s.results[RESULT_BROKEN],
		s.results[RESULT_WRONG], s.rejected_then_served, s.p50_first_byte_ms,
		s.p95_first_byte_ms, s.p99_first_byte_ms, s.p99_end_ms, s.cost_per_second);
}

static void print_classes(
	records_t *records, const profile_t *profile, instant_t from, instant_t to)
{
	print_class(records, NULL, from, to, "");
	for (unsigned int i = 0; i < profile->count; i++) {
		const char *name = profile->streams[i].work_class;
		bool seen = false;

		for (unsigned int j = 0; j < i; j++)
			seen |= !strcmp(profile->streams[j].work_class, name);
		if (!seen)
			print_class(records, name, from, to, ",");
	}
}

static void print_statuses(records_t *records)
{
	GHashTableIter iter;
	void *name;
	void *count;
	const char *separator = "";

	printf(",\n  \"answers\": {");
	g_hash_table_iter_init(&iter, records->statuses);
	while (g_hash_table_iter_next(&iter, &name, &count)) {
		printf("%s\"%s\": %u", separator, (char *)name, GPOINTER_TO_UINT(count));
		separator = ", ";
	}
	printf("}");
}

static unsigned int count_wrong(const records_t *records)
{
	unsigned int wrong = 0;

	for (unsigned int i = 0; i < records->list->len; i++) {
		const record_t *r = g_ptr_array_index(records->list, i);

		wrong += r->result == RESULT_WRONG;
	}
	return wrong;
}

static void print_window(records_t *records, const profile_t *profile, const arguments_t *a,
	const time_window_t *window, instant_t start)
{
	instant_t from = start + window->from_ms * USEC_PER_MSEC;
	instant_t to = start + window->to_ms * USEC_PER_MSEC;
	double largest = 0;

	print_classes(records, profile, from, to);
	if (a->model) {
		double gap = records_fairness_gap(records, a->model, from, to, &largest);

		printf(",\n  \"fairness_gap\": %.1f, \"largest_cost\": %.0f,\n  \"shares\": {", gap,
			largest);
		records_print_shares(records, a->model, from, to);
		printf("}");
	}
	if (window->slots > 0)
		printf(",\n  \"utilisation\": %.4f",
			window->busy_us / window->slots / (double)(to - from));
}

/* Prints the summary; true when every response and every outcome was right. */
static bool print_report(
	records_t *records, const profile_t *profile, const arguments_t *a, instant_t start)
{
	time_window_t whole = {.to_ms = a->seconds * 1000};
	unsigned int wrong = count_wrong(records);
	join_report_t join = {0};

	printf("{");
	print_window(records, profile, a, &whole, start);
	print_statuses(records);
	for (unsigned int i = 0; i < a->window_count; i++) {
		printf(",\n\"span_%s\": {", a->windows[i].name);
		print_window(records, profile, a, &a->windows[i], start);
		printf("}");
	}
	if (a->standins && !join_records(records, a->standins, &join)) {
		fprintf(stderr, "cannot fetch the log of a stand-in\n");
		wrong++;
	}
	printf(",\n  \"join\": {\"executions\": %u, \"told_not_run\": %u, \"not_run_but_ran\": %u, "
	       "\"doubled_keys\": %u, \"done_but_never_ran\": %u, \"wrong\": %u, "
	       "\"over_limit\": %d}\n}\n",
		join.executions, records->not_run->len, join.not_run_but_ran, join.doubled_keys,
		join.done_but_never_ran, wrong, over_limit);
	return !wrong && !join.not_run_but_ran && !join.doubled_keys && !join.done_but_never_ran;
}

/* Returns the slot time in us that the first stand-in process has used so far. */
static double read_busy_us(const arguments_t *a, double *slots)
{
	http_options_t request = {.address = a->standins[0],
		.method = "GET",
		.path = "/busy",
		.connect_timeout_ms = 1000,
		.read_timeout_ms = 2000};
	GString *response = g_string_new(NULL);
	double busy_us = 0;
	int status = 0;

	if (http_call(&request, 4096, response, &status) == HTTP_OK && status == 200) {
		jsondoc_t *doc = jsondoc_new(response->str, response->len);

		busy_us = (double)json_get_int(doc->root, "busy_us", 0);
		*slots = (double)json_get_int(doc->root, "slots", 0);
		jsondoc_delete(doc);
	}
	g_string_free(response, TRUE);
	return busy_us;
}

typedef struct usage_monitor {
	arguments_t *arguments;
	instant_t start;
} usage_monitor_t;

static void *run_usage_monitor(void *ctx)
{
	usage_monitor_t *this = ctx;
	arguments_t *a = this->arguments;

	for (unsigned int i = 0; i < a->window_count; i++) {
		time_window_t *window = &a->windows[i];
		double before;

		sleep_until(this->start + window->from_ms * USEC_PER_MSEC);
		before = read_busy_us(a, &window->slots);
		sleep_until(this->start + window->to_ms * USEC_PER_MSEC);
		window->busy_us = read_busy_us(a, &window->slots) - before;
	}
	return NULL;
}

static void run_generators(const arguments_t *a, const profile_t *profile,
	const sender_options_t *sender, instant_t start)
{
	generator_t *generators = g_new0(generator_t, profile->count);
	instant_t until;

	for (unsigned int i = 0; i < profile->count; i++) {
		generators[i] = (generator_t){.arguments = a,
			.stream = &profile->streams[i],
			.options = sender,
			.start = start,
			.seed = a->seed * 1000 + i};
		pthread_create(&generators[i].thread, NULL, run_generator, &generators[i]);
	}
	for (unsigned int i = 0; i < profile->count; i++)
		pthread_join(generators[i].thread, NULL);
	until = clock_now() + DRAIN_TIMEOUT;
	while (__atomic_load_n(&in_flight, __ATOMIC_ACQUIRE) && clock_now() < until)
		g_usleep(5000);
	g_free(generators);
}

int main(int argc, char **argv)
{
	arguments_t a = {.seconds = 5, .seed = 1, .scale = 1.0};
	sender_options_t sender = {0};
	profile_t *profile;
	error_list_t errors;
	usage_monitor_t monitor;
	pthread_t monitor_thread = 0;
	instant_t start;
	bool passed;

	argp_parse(&parser, argc, argv, 0, NULL, &a);
	http_init();
	error_list_init(&errors, a.profile);
	profile = profile_load(a.profile, &errors);
	if (!profile) {
		fputs(errors.text->str, stderr);
		return 2;
	}
	sender.routers = a.routers;
	sender.router_count = g_strv_length(a.routers);
	sender.records = records_new();
	sender.obey_retry_after = a.obey_retry_after;
	start = clock_now() + 50 * USEC_PER_MSEC;
	monitor = (usage_monitor_t){&a, start};
	if (a.standins && a.window_count)
		pthread_create(&monitor_thread, NULL, run_usage_monitor, &monitor);
	run_generators(&a, profile, &sender, start);
	if (a.standins && a.window_count)
		pthread_join(monitor_thread, NULL);
	if (__atomic_load_n(&in_flight, __ATOMIC_ACQUIRE)) {
		fprintf(stderr, "requests still in flight 120 s after the last one was sent\n");
		return EXIT_FAILURE;
	}
	passed = print_report(sender.records, profile, &a, start);
	records_delete(sender.records);
	profile_delete(profile);
	error_list_clear(&errors);
	for (unsigned int i = 0; i < a.window_count; i++)
		g_free(a.windows[i].name);
	g_strfreev(a.routers);
	g_strfreev(a.standins);
	return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
