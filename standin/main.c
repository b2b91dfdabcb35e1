/*
 * amaranthwall-standin - simulates the platform, model engines, plain services or a network
 *
 * Runs until SIGTERM or SIGINT. For tests and benchmarks only. SIGUSR1 makes all connections go
 * silent that are open through proxies (silent_proxy.h).
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/http_exchange.h"
#include "settings/address.h"
#include "standin/engine_standin.h"
#include "standin/platform_standin.h"
#include "standin/service_standin.h"
#include "standin/silent_proxy.h"

typedef struct arguments {
	const char *role;
	const char *listen;
	const char *target;
	unsigned int count;
	unsigned int slots;
	unsigned int token_us;
	unsigned int prefill_us;
	unsigned int work_ms;
	unsigned int cache;
	unsigned int lag_ms;
	unsigned int seed;
	unsigned int fencing;
} arguments_t;

static const struct argp_option options[] = {
	{"listen", 'l', "IP:PORT", 0, "address of the first replica; the others use the next ports",
		0},
	{"target", 'T', "IP:PORT", 0,
		"proxies: the address that the first one forwards to; the others use the next "
		"ports",
		0},
	{"count", 'n', "N", 0, "number of replicas or proxies (default 1)", 0},
	{"slots", 's', "N", 0, "concurrent requests per replica (default 8)", 0},
	{"token-us", 't', "US", 0, "generation time per token in microseconds (default 5000)", 0},
	{"prefill-us", 'p', "US", 0,
		"prefill time per uncached prompt token in microseconds (default 100)", 0},
	{"work-ms", 'w', "MS", 0, "service time of a plain request in milliseconds (default 10)",
		0},
	{"cache", 'c', "N", 0, "prefixes that an engine caches (default 16)", 0},
	{"lag-ms", 'g', "MS", 0, "age of the reported load in milliseconds (default 500)", 0},
	{"seed", 'r', "N", 0, "random seed of injected faults (default 1)", 0},
	{"fencing", 'f', "0|1", 0, "1: reject orders with an outdated fencing number (default 0)",
		0},
	{0},
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	arguments_t *a = state->input;
	unsigned int number = text ? (unsigned int)strtoul(text, NULL, 10) : 0;

	switch (key) {
	case 'l':
		a->listen = text;
		break;
	case 'T':
		a->target = text;
		break;
	case 'n':
		a->count = number;
		break;
	case 's':
		a->slots = number;
		break;
	case 't':
		a->token_us = number;
		break;
	case 'p':
		a->prefill_us = number;
		break;
	case 'w':
		a->work_ms = number;
		break;
	case 'c':
		a->cache = number;
		break;
	case 'g':
		a->lag_ms = number;
		break;
	case 'r':
		a->seed = number;
		break;
	case 'f':
		a->fencing = number;
		break;
	case ARGP_KEY_ARG:
		a->role = text;
		break;
	case ARGP_KEY_END:
		if (!a->role || !a->listen || (!strcmp(a->role, "proxies") && !a->target))
			argp_usage(state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp parser = {options, parse_option, "platform|engines|services|proxies",
	"Simulates the platform, model engines, plain services, or connections that go silent, for "
	"tests and benchmarks.",
	0, 0, 0};

/* Returns the address `offset` ports after `first`. */
static char *address_with_port_offset(const char *first, unsigned int offset)
{
	char ip[64];
	uint16_t port;

	if (!address_parse(first, ip, sizeof(ip), &port))
		return g_strdup(first);
	return g_strdup_printf("%s:%u", ip, port + offset);
}

static replica_standin_t *start_engine(
	const arguments_t *a, exec_log_t *log, const char *address, unsigned int index)
{
	engine_options_t o = {
		.address = address,
		.log = log,
		.slots = a->slots,
		.token_us = a->token_us,
		.prefill_us = a->prefill_us,
		.cache_prefixes = a->cache,
		.load_lag_ms = a->lag_ms,
		.fencing = a->fencing,
		.seed = a->seed + index,
	};
	engine_standin_t *engine = engine_standin_new(&o);

	return engine ? engine_standin_replica(engine) : NULL;
}

static replica_standin_t *start_service(
	const arguments_t *a, exec_log_t *log, const char *address, unsigned int index)
{
	service_options_t o = {
		.address = address,
		.log = log,
		.slots = a->slots,
		.work_ms = a->work_ms,
		.load_lag_ms = a->lag_ms,
		.seed = a->seed + index,
	};
	service_standin_t *service = service_standin_new(&o);

	return service ? service_standin_replica(service) : NULL;
}

static int run_replicas(const arguments_t *a, sigset_t *stop_signals)
{
	replica_standin_t **replicas = g_new0(replica_standin_t *, a->count);
	struct timespec sample_interval = {0, LOAD_SAMPLE_MS * 1000000L};
	exec_log_t *log = exec_log_new();
	bool engines = !strcmp(a->role, "engines");

	for (unsigned int i = 0; i < a->count; i++) {
		char *address = address_with_port_offset(a->listen, i);

		replicas[i] = engines ? start_engine(a, log, address, i)
				      : start_service(a, log, address, i);
		if (!replicas[i]) {
			fprintf(stderr, "cannot listen on %s\n", address);
			g_free(address);
			g_free(replicas);
			return EXIT_FAILURE;
		}
		g_free(address);
	}
	while (sigtimedwait(stop_signals, NULL, &sample_interval) < 0) {
		for (unsigned int i = 0; i < a->count; i++)
			replica_standin_sample_load(replicas[i]);
	}
	g_free(replicas);
	return EXIT_SUCCESS;
}

static int run_proxies(const arguments_t *a, sigset_t *stop_signals)
{
	silent_proxy_t **proxies = g_new0(silent_proxy_t *, a->count);
	int signal_number;

	for (unsigned int i = 0; i < a->count; i++) {
		char *address = address_with_port_offset(a->listen, i);
		char *target = address_with_port_offset(a->target, i);

		proxies[i] = silent_proxy_new_at(address, target);
		g_free(address);
		g_free(target);
	}
	while (!sigwait(stop_signals, &signal_number) && signal_number == SIGUSR1) {
		for (unsigned int i = 0; i < a->count; i++)
			silent_proxy_silence(proxies[i], SILENT_BOTH);
	}
	for (unsigned int i = 0; i < a->count; i++)
		silent_proxy_delete(proxies[i]);
	g_free(proxies);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	arguments_t a = {.count = 1,
		.slots = 8,
		.token_us = 5000,
		.prefill_us = 100,
		.work_ms = 10,
		.cache = 16,
		.lag_ms = 500,
		.seed = 1};
	sigset_t stop_signals;
	int signal_number;

	argp_parse(&parser, argc, argv, 0, NULL, &a);
	http_init();
	sigemptyset(&stop_signals);
	sigaddset(&stop_signals, SIGTERM);
	sigaddset(&stop_signals, SIGINT);
	if (!strcmp(a.role, "proxies"))
		sigaddset(&stop_signals, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
	if (!strcmp(a.role, "proxies"))
		return run_proxies(&a, &stop_signals);
	if (strcmp(a.role, "platform"))
		return run_replicas(&a, &stop_signals);
	if (!platform_standin_new(a.listen)) {
		fprintf(stderr, "cannot listen on %s\n", a.listen);
		return EXIT_FAILURE;
	}
	sigwait(&stop_signals, &signal_number);
	return EXIT_SUCCESS;
}
