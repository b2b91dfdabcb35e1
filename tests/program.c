#include "tests/program.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/http_call.h"
#include "tests/gateway_fixture.h"

#define PROGRAM "build/amaranthwall"
#define METRICS_WAIT_MS 5000
#define POLL_MS 20

extern char **environ;

/* Of the program that runs now; 0: none.  A test that fails leaves it running. */
static pid_t running;

program_t *program_new(const char *config)
{
	program_t *this = g_new0(program_t, 1);

	http_init();
	this->store = row_store_standin_new("127.0.0.1:0");
	row_store_standin_put(this->store, "op", "config", config);
	return this;
}

void program_register(program_t *this, const char *service, unsigned int slots, const char *address)
{
	char *key = g_strdup_printf("i-%u", this->endpoint_count++);
	char *text = g_strdup_printf("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
				     "\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
				     "\"coldRemainingMs\":0,\"sequence\":1}",
		service, address, slots);

	row_store_standin_put(this->store, "servers", key, text);
	g_free(text);
	g_free(key);
}

void program_add_endpoint(
	program_t *this, const char *service, unsigned int slots, raw_handler_t handler, void *ctx)
{
	raw_endpoint_t *endpoint = raw_endpoint_new(handler, ctx);

	assert_true(this->endpoint_count < PROGRAM_ENDPOINTS);
	this->endpoints[this->endpoint_count] = endpoint;
	program_register(this, service, slots, raw_endpoint_address(endpoint));
}

static void write_settings(program_t *this, unsigned int memory_mb, const char *settings)
{
	char peer[32];
	char *text;
	int fd = g_file_open_tmp(NULL, &this->settings_path, NULL);

	fixture_free_address(this->caller_address, sizeof(this->caller_address));
	fixture_free_address(this->ready_address, sizeof(this->ready_address));
	fixture_free_address(peer, sizeof(peer));
	text = g_strdup_printf("{\"name\":\"r\",\"failure_domain\":\"z\",\"adapter\":\"rows\","
			       "\"caller_address\":\"%s\",\"ready_address\":\"%s\","
			       "\"peer_address\":\"%s\",\"store_address\":\"%s\","
			       "\"memory_mb\":%u,\"expected_routers\":1%s}",
		this->caller_address, this->ready_address, peer,
		row_store_standin_address(this->store), memory_mb, settings);
	g_file_set_contents(this->settings_path, text, -1, NULL);
	close(fd);
	g_free(text);
}

char *program_metrics(const program_t *this)
{
	int fd = fixture_connect(this->ready_address);
	char *response;

	if (fd < 0)
		return g_strdup("");
	raw_write(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	response = fixture_read_until(fd, NULL, METRICS_WAIT_MS);
	close(fd);
	return response;
}

bool program_has_metrics(const program_t *this, const char *first, const char *second)
{
	char *metrics = program_metrics(this);
	bool found = strstr(metrics, first) && strstr(metrics, second);

	g_free(metrics);
	return found;
}

uint64_t program_metric(const program_t *this, const char *name)
{
	char *line = g_strdup_printf("amaranthwall_%s ", name);
	char *metrics = program_metrics(this);
	const char *at = strstr(metrics, line);
	uint64_t value = at ? g_ascii_strtoull(at + strlen(line), NULL, 10) : 0;

	g_free(metrics);
	g_free(line);
	return value;
}

void program_start(program_t *this, unsigned int memory_mb, const char *settings)
{
	instant_t until = clock_now() + PROGRAM_WAIT_MS * USEC_PER_MSEC;
	posix_spawn_file_actions_t actions;
	char endpoints[64];

	write_settings(this, memory_mb, settings);
	char *const args[] = {(char *)PROGRAM, (char *)"gateway", (char *)"--settings",
		this->settings_path, NULL};

	g_snprintf(
		endpoints, sizeof(endpoints), "amaranthwall_endpoints %u\n", this->endpoint_count);
	/* The test's own descriptors would count as the program's. */
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
	assert_int_equal(posix_spawn(&this->pid, PROGRAM, &actions, NULL, args, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
	running = this->pid;
	while (!program_has_metrics(this, endpoints, "amaranthwall_ready 1\n")) {
		assert_true(clock_now() < until);
		sleep_ms(POLL_MS);
	}
}

unsigned long program_peak_kb(const program_t *this)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)this->pid);
	char *text = NULL;
	const char *line;
	unsigned long peak = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		line = strstr(text, "VmHWM:");
		peak = line ? strtoul(line + strlen("VmHWM:"), NULL, 10) : 0;
	}
	g_free(text);
	g_free(path);
	return peak;
}

unsigned int program_descriptors(const program_t *this)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)this->pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	unsigned int count = 0;

	while (dir && g_dir_read_name(dir))
		count++;
	if (dir)
		g_dir_close(dir);
	g_free(path);
	return count;
}

int program_end_left(void **state)
{
	int status;

	if (!running)
		return 0;
	kill(running, SIGKILL);
	waitpid(running, &status, 0);
	running = 0;
	return 0;
}

void program_delete(program_t *this)
{
	int status;

	assert_int_equal(waitpid(this->pid, &status, WNOHANG), 0);
	program_end_left(NULL);
	for (unsigned int i = 0; i < PROGRAM_ENDPOINTS; i++) {
		if (this->endpoints[i])
			raw_endpoint_delete(this->endpoints[i]);
	}
	row_store_standin_delete(this->store);
	unlink(this->settings_path);
	g_free(this->settings_path);
	g_free(this);
}
