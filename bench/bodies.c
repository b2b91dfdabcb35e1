/*
 * bodies - processor time of the gateway program for a byte of a body, by the size of its chunks,
 * and for a short request
 *
 * Run it where build/amaranthwall is the program to measure.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "edge/log.h"
#include "tests/gateway_fixture.h"
#include "tests/program.h"

#define MEMORY_MB 110
#define BODY_BYTES (2U << 20)
#define BODIES 8
#define REQUESTS 20000
#define SLOTS 64
#define WAIT_MS 20000
#define HEAD                                                                                       \
	"POST /a/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: b\r\nAuthorization: Bearer "   \
	"k1\r\n"

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/a/"
	"\",\"kind\":\"idempotent\",\"timeoutMs\":20000,\"maxAttempts\":1,\"service\":\"a\"}],"
	"\"services\":[{\"name\":\"a\",\"healthPath\":\"/health\",\"maxConns\":400}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":20000,"
	"\"idleTimeoutMs\":20000},\"tenants\":[{\"name\":\"w1\",\"apiKeys\":[\"k1\"]}]}";

/* Processor time of the program so far, in seconds. */
static double processor_time(const program_t *program)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)program->pid);
	unsigned long user = 0;
	unsigned long system = 0;
	char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(strrchr(text, ')'), ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
			&user, &system);
	g_free(text);
	g_free(path);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static void exchange(int fd, const GString *request)
{
	char *response;

	raw_write(fd, request->str);
	response = fixture_read_until(fd, "hello", WAIT_MS);
	if (!strstr(response, "hello"))
		printf("not served: %s\n", response);
	g_free(response);
}

static GString *chunked_request(size_t chunk)
{
	GString *text = g_string_new(HEAD "Transfer-Encoding: chunked\r\n\r\n");
	char *fill = g_strnfill(chunk, 'x');

	for (size_t sent = 0; sent < BODY_BYTES; sent += chunk)
		g_string_append_printf(text, "%zx\r\n%s\r\n", chunk, fill);
	g_string_append(text, "0\r\n\r\n");
	g_free(fill);
	return text;
}

/* Returns the processor time of `count` exchanges on one connection. */
static double measure(const program_t *program, const GString *request, unsigned int count)
{
	int fd = fixture_connect(program->caller_address);
	double began = processor_time(program);

	for (unsigned int i = 0; i < count; i++)
		exchange(fd, request);
	close(fd);
	return processor_time(program) - began;
}

int main(void)
{
	static const size_t chunks[] = {1, 16, 256, 4096, 65536};
	GString *small = g_string_new(HEAD "Content-Length: 0\r\n\r\n");
	program_t *program = program_new(config);

	log_init("bench", FALSE);
	program_add_endpoint(program, "a", SLOTS, fixture_respond_hello, NULL);
	program_start(program, MEMORY_MB, "");
	for (unsigned int i = 0; i < ARRAY_LEN(chunks); i++) {
		GString *request = chunked_request(chunks[i]);
		double time = measure(program, request, BODIES);

		printf("chunks of %zu bytes: %.1f ns a byte of body, %.1f ns a byte received\n",
			chunks[i], time * 1e9 / BODIES / BODY_BYTES,
			time * 1e9 / BODIES / (double)request->len);
		g_string_free(request, TRUE);
	}
	printf("short requests: %.1f us each\n",
		measure(program, small, REQUESTS) * 1e6 / REQUESTS);
	g_string_free(small, TRUE);
	program_delete(program);
	return 0;
}
