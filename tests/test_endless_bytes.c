/* endless_bytes - endpoints that send without end, before the program as it is deployed */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"
#include "tests/program.h"

#define MEMORY_MB 110 /* of the smallest routers */
#define SLOTS 128     /* of each endpoint */
#define CALLERS 120
#define FAULTY_ENDPOINTS 3
#define WAIT_MS 15000
#define SOUND_WAIT_MS 5000
#define LEAVE_AFTER_MS 100
#define BLOCK 16384
#define ID "mine" /* of every request at a faulty endpoint */
#define OK "HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: " ID "\r\n"
#define EVENTS OK "Content-Type: text/event-stream\r\n\r\n"
#define CHUNKS OK "Transfer-Encoding: chunked\r\n\r\n"

/* What a faulty endpoint sends: the start, then the piece again and again, then the end. */
typedef struct form {
	const char *name;
	const char *start;
	const char *piece;
	size_t total;	       /* bytes after which it falls silent; 0: never */
	const char *end;       /* NULL: nothing */
	unsigned int pause_ms; /* between the start and the first piece */
} form_t;

typedef struct faulty_endpoint {
	const form_t *forms;
	unsigned int reached[32]; /* requests by form; accessed atomically */
} faulty_endpoint_t;

/* The program with a store, faulty endpoints of one service and a sound one of another. */
typedef struct rig {
	program_t *program;
	faulty_endpoint_t faulty;
	unsigned int sound_requests;
} rig_t;

/* --- endpoints ------------------------------------------------------------ */

static bool send_all(int fd, const char *bytes, size_t size)
{
	while (size) {
		ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		size -= (size_t)n;
	}
	return true;
}

/* Sends the form whose number ends the request's path, until the other side closes. */
static bool send_form(void *ctx, int fd, const raw_request_t *request)
{
	faulty_endpoint_t *this = ctx;
	const char *slash = strchr(strchr(request->head, '/') + 1, '/');
	unsigned long number = strtoul(slash + 1, NULL, 10);
	const form_t *form = &this->forms[number];
	GString *block = g_string_new(NULL);
	size_t sent = 0;
	char byte;

	__atomic_add_fetch(&this->reached[number], 1, __ATOMIC_SEQ_CST);
	while (block->len < BLOCK)
		g_string_append(block, form->piece);
	if (send_all(fd, form->start, strlen(form->start))) {
		sleep_ms(form->pause_ms);
		while ((!form->total || sent < form->total) && send_all(fd, block->str, block->len))
			sent += block->len;
		if (form->end)
			send_all(fd, form->end, strlen(form->end));
		while (recv(fd, &byte, sizeof(byte), 0) > 0)
			;
	}
	g_string_free(block, TRUE);
	return false;
}

/* --- the program ---------------------------------------------------------- */

static char *format_config(void)
{
	static const char *const kinds[][2] = {{"status", "\"kind\":\"idempotent\""},
		{"order", "\"kind\":\"non_idempotent\""},
		{"draft", "\"kind\":\"streaming\",\"resumable\":true"},
		{"note", "\"kind\":\"streaming\""}, {"sound", "\"kind\":\"idempotent\""}};
	GString *text = g_string_new("{\"version\":1,\"routes\":[");

	for (size_t i = 0; i < ARRAY_LEN(kinds); i++)
		g_string_append_printf(text,
			"%s{\"name\":\"%s\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/%s/\",%s,"
			"\"timeoutMs\":3000,\"maxAttempts\":2,\"service\":\"%s\"}",
			i ? "," : "", kinds[i][0], kinds[i][0], kinds[i][1],
			strcmp(kinds[i][0], "sound") ? "faulty" : "sound");
	g_string_append(text,
		"],\"services\":[{\"name\":\"faulty\",\"healthPath\":\"/health\",\"maxConns\":600},"
		"{\"name\":\"sound\",\"healthPath\":\"/health\",\"maxConns\":600}],"
		"\"limits\":{\"maxHeaderBytes\":4096,\"maxBodyBytes\":65536,"
		"\"headerTimeoutMs\":1000,\"idleTimeoutMs\":1000},"
		"\"tenants\":[{\"name\":\"w1\",\"apiKeys\":[\"k1\"]}]}");
	return g_string_free(text, FALSE);
}

static rig_t *rig_new(const form_t *forms)
{
	rig_t *this = g_new0(rig_t, 1);
	char *config = format_config();

	this->faulty.forms = forms;
	this->program = program_new(config);
	for (unsigned int i = 0; i < FAULTY_ENDPOINTS; i++)
		program_add_endpoint(this->program, "faulty", SLOTS, send_form, &this->faulty);
	program_add_endpoint(this->program, "sound", SLOTS, fixture_respond_hello, NULL);
	program_start(this->program, MEMORY_MB, ",\"retry_allowance\":100");
	g_free(config);
	return this;
}

/* Checks that the program has not ended, and ends it. */
static void rig_delete(rig_t *this)
{
	program_delete(this->program);
	g_free(this);
}

/* --- callers -------------------------------------------------------------- */

typedef enum caller_mode {
	MODE_DRAINS,
	MODE_STANDS_STILL,
	MODE_LEAVES,
	MODE_COUNT,
} caller_mode_t;

static int send_request(const rig_t *this, const char *route, unsigned int form)
{
	char *path = g_strdup_printf("/%s/%u", route, form);
	char *text = fixture_format_request("POST", path, ID, "", "");
	int fd = fixture_connect(this->program->caller_address);
	int size = BLOCK;

	assert_true(fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	raw_write(fd, text);
	g_free(text);
	g_free(path);
	return fd;
}

static void drain(int *fds, unsigned int count)
{
	static char buffer[BLOCK];

	for (unsigned int i = 0; i < count; i++) {
		ssize_t n = 1;

		while (fds[i] >= 0 && n > 0)
			n = recv(fds[i], buffer, sizeof(buffer), MSG_DONTWAIT);
		if (fds[i] >= 0 && n == 0) {
			close(fds[i]);
			fds[i] = -1;
		}
	}
}

static void close_all(int *fds, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++) {
		if (fds[i] >= 0)
			close(fds[i]);
		fds[i] = -1;
	}
}

/* A request of the sound service, which has to be served whatever the others do. */
static void check_sound_request(rig_t *this)
{
	char *text = fixture_format_request("POST", "/sound/", "s", "Connection: close\r\n", "");
	int fd = fixture_connect(this->program->caller_address);
	char *response;

	assert_true(fd >= 0);
	raw_write(fd, text);
	response = fixture_read_until(fd, "hello", SOUND_WAIT_MS);
	if (!g_str_has_prefix(response, "HTTP/1.1 200 ") || !strstr(response, "hello"))
		fail_msg("sound request %u: %s", this->sound_requests, response);
	this->sound_requests++;
	close(fd);
	g_free(response);
	g_free(text);
}

/* Until no call is in progress and nothing is held for one. */
static void run_callers(rig_t *this, int *fds, unsigned int count, caller_mode_t mode)
{
	instant_t began = clock_now();
	bool done = false;

	while (!done) {
		instant_t now = clock_now();

		assert_true(now < began + WAIT_MS * USEC_PER_MSEC);
		check_sound_request(this);
		if (mode == MODE_DRAINS)
			drain(fds, count);
		else if (mode == MODE_LEAVES && now >= began + LEAVE_AFTER_MS * USEC_PER_MSEC)
			close_all(fds, count);
		done = now >= began + 2 * LEAVE_AFTER_MS * USEC_PER_MSEC &&
		       program_has_metrics(this->program, "amaranthwall_calls_in_progress 0\n",
			       "amaranthwall_response_buffer_bytes 0\n");
	}
	close_all(fds, count);
}

static void check_memory(const rig_t *this, const char *name)
{
	unsigned long peak = program_peak_kb(this->program);

	print_message(
		"%s: peak %lu kB, %u sound requests served\n", name, peak, this->sound_requests);
	assert_true(peak > 0);
	if (peak >= MEMORY_MB * 1024UL)
		fail_msg("%s: %lu kB of memory, %d MB are allowed", name, peak, MEMORY_MB);
}

/* --- tests ---------------------------------------------------------------- */

static const form_t endless_forms[] = {
	{.name = "no status line", .start = "", .piece = "x"},
	{.name = "empty lines", .start = "", .piece = "\r\n"},
	{.name = "status text", .start = "HTTP/1.1 200 ", .piece = "x"},
	{.name = "header name", .start = "HTTP/1.1 200 OK\r\nX-", .piece = "a"},
	{.name = "header value", .start = "HTTP/1.1 200 OK\r\nX-A: ", .piece = "b"},
	{.name = "headers", .start = "HTTP/1.1 200 OK\r\n", .piece = "X-A: b\r\n"},
	{.name = "interim answers", .start = "", .piece = "HTTP/1.1 103 E\r\nLink: a\r\n\r\n"},
	{.name = "another request's answer",
		.start = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n",
		.piece = "x"},
	{.name = "chunk size", .start = CHUNKS, .piece = "0"},
	{.name = "chunk extension", .start = CHUNKS "5;", .piece = "x"},
	{.name = "small chunks", .start = CHUNKS, .piece = "1\r\nx\r\n"},
	{.name = "trailers", .start = CHUNKS "0\r\n", .piece = "X-A: b\r\n"},
	{.name = "after the answer", .start = OK "Content-Length: 5\r\n\r\nhello", .piece = "x"},
	{.name = "on an idle connection",
		.start = OK "Content-Length: 5\r\n\r\nhello",
		.piece = "HTTP/1.1 200 OK\r\n",
		.pause_ms = 50},
	{.name = "body without length", .start = OK "\r\n", .piece = "x"},
	{.name = "body of great length",
		.start = OK "Content-Length: 99999999999\r\n\r\n",
		.piece = "x"},
	{.name = "event line", .start = EVENTS "data: ", .piece = "x"},
	{.name = "event lines", .start = EVENTS, .piece = "data: x\n"},
	{.name = "event id", .start = EVENTS "id: ", .piece = "1"},
	{.name = "comment", .start = EVENTS ": ", .piece = "x"},
	{.name = "comments", .start = EVENTS, .piece = ": x\n\n"},
	{.name = "events", .start = EVENTS, .piece = "data: x\n\n"},
};

static void check_bounds_are_counted(const rig_t *this)
{
	static const char *const bounds[] = {"head", "overhead", "event", "body"};

	for (unsigned int i = 0; i < ARRAY_LEN(bounds); i++) {
		char *name = g_strdup_printf("responses_too_large_total{bound=\"%s\"}", bounds[i]);

		if (!program_metric(this->program, name))
			fail_msg("%s is 0", name);
		g_free(name);
	}
}

/* Guards against a place in a response whose bytes are kept for as long as they come. */
static void test_endless_bytes_end_in_every_place_and_before_every_caller(void **state)
{
	static const char *const routes[] = {"status", "order", "draft", "note"};
	static const char *const modes[] = {"drains", "stands still", "leaves"};
	int fds[ARRAY_LEN(endless_forms) * ARRAY_LEN(routes)];

	for (unsigned int mode = 0; mode < MODE_COUNT; mode++) {
		rig_t *rig = rig_new(endless_forms);

		for (unsigned int i = 0; i < ARRAY_LEN(fds); i++)
			fds[i] = send_request(
				rig, routes[i % ARRAY_LEN(routes)], i / ARRAY_LEN(routes));
		run_callers(rig, fds, ARRAY_LEN(fds), (caller_mode_t)mode);
		for (unsigned int i = 0; i < ARRAY_LEN(endless_forms); i++) {
			if (!__atomic_load_n(&rig->faulty.reached[i], __ATOMIC_SEQ_CST))
				print_message("not reached: %s\n", endless_forms[i].name);
		}
		check_memory(rig, modes[mode]);
		if (mode == MODE_DRAINS)
			check_bounds_are_counted(rig);
		rig_delete(rig);
	}
}

#define ENDED "responses_too_large_total{bound=\"memory\"}"

/* What many exchanges hold together, each of them less than it may hold alone. */
static const struct {
	form_t form;
	const char *route;
	caller_mode_t mode;
	const char *counter; /* of exchanges that the memory for responses ends; NULL: none is */
} crowds[] = {
	{{.name = "one line of an event", .start = EVENTS "data: ", .piece = "x", .total = 1000000},
		"note", MODE_DRAINS, ENDED},
	{{.name = "an event of short lines",
		 .start = EVENTS,
		 .piece = "data: x\n",
		 .total = 1000000},
		"note", MODE_DRAINS, ENDED},
	{{.name = "the same, resumable", .start = EVENTS, .piece = "data: x\n", .total = 1000000},
		"draft", MODE_DRAINS, ENDED},
	{{.name = "an unfinished header",
		 .start = "HTTP/1.1 200 OK\r\nX-A: ",
		 .piece = "b",
		 .total = 64000},
		"order", MODE_DRAINS, NULL},
	{{.name = "an unfinished body",
		 .start = OK "Content-Length: 99999999\r\n\r\n",
		 .piece = "x",
		 .total = 229376},
		"order", MODE_DRAINS, ENDED},
	{{.name = "events that nobody reads",
		 .start = EVENTS,
		 .piece = "data: 0123456789012345678901234567890123456789\n\n"},
		"note", MODE_STANDS_STILL, NULL},
	{{.name = "large events that nobody reads",
		 .start = EVENTS "data: ",
		 .piece = "x",
		 .total = 900000,
		 .end = "\n\n"},
		"note", MODE_STANDS_STILL, ENDED},
	{{.name = "bodies that nobody reads",
		 .start = OK "Content-Length: 229376\r\n\r\n",
		 .piece = "x",
		 .total = 229376},
		"order", MODE_STANDS_STILL, NULL},
};

/* Guards against the sum over all exchanges: the program stays within its memory and serves. */
static void test_many_exchanges_together_stay_within_the_memory(void **state)
{
	for (unsigned int i = 0; i < ARRAY_LEN(crowds); i++) {
		rig_t *rig = rig_new(&crowds[i].form);
		int fds[CALLERS];

		for (unsigned int k = 0; k < CALLERS; k++)
			fds[k] = send_request(rig, crowds[i].route, 0);
		run_callers(rig, fds, CALLERS, crowds[i].mode);
		check_memory(rig, crowds[i].form.name);
		assert_true(program_metric(rig->program, "response_buffer_peak_bytes") > 0);
		if (crowds[i].counter)
			assert_true(program_metric(rig->program, crowds[i].counter) > 0);
		rig_delete(rig);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(
			test_endless_bytes_end_in_every_place_and_before_every_caller,
			program_end_left),
		cmocka_unit_test_teardown(
			test_many_exchanges_together_stay_within_the_memory, program_end_left),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
