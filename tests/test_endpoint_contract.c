/* threaded: endpoints - what http_exchange promises, against servers that misbehave */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "edge/http_exchange.h"
#include "standin/answer_text.h"
#include "standin/engine_standin.h"

#define BODY "a body to be sent once"

/* A server that reads a request whole, writes `reply`, and closes. */
typedef struct raw_server {
	int fd;
	char address[32];
	const char *reply;
	int received; /* requests that were read whole */
	pthread_t thread;
} raw_server_t;

static bool read_request(int fd)
{
	char buffer[4096];
	size_t used = 0;
	ssize_t n;

	while ((n = read(fd, buffer + used, sizeof(buffer) - 1 - used)) > 0) {
		used += (size_t)n;
		buffer[used] = '\0';
		if (strstr(buffer, BODY))
			return true;
	}
	return false;
}

static void *serve(void *ctx)
{
	raw_server_t *this = ctx;
	int fd;

	while ((fd = accept(this->fd, NULL, NULL)) >= 0) {
		if (read_request(fd))
			__atomic_add_fetch(&this->received, 1, __ATOMIC_SEQ_CST);
		if (write(fd, this->reply, strlen(this->reply)) < 0)
			print_message("  caller went away\n");
		close(fd);
	}
	return NULL;
}

static void raw_server_start(raw_server_t *this, const char *reply)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t size = sizeof(sin);

	memset(this, 0, sizeof(*this));
	this->reply = reply;
	this->fd = socket(AF_INET, SOCK_STREAM, 0);
	inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
	assert_int_equal(bind(this->fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(this->fd, 8), 0);
	getsockname(this->fd, (struct sockaddr *)&sin, &size);
	snprintf(this->address, sizeof(this->address), "127.0.0.1:%u", ntohs(sin.sin_port));
	pthread_create(&this->thread, NULL, serve, this);
}

static void raw_server_stop(raw_server_t *this)
{
	shutdown(this->fd, SHUT_RDWR);
	pthread_join(this->thread, NULL);
	close(this->fd);
}

static http_result_t post(const char *address, GString *answer, int *status)
{
	http_options_t options = {
		.address = address,
		.method = "POST",
		.path = "/orders",
		.body = BODY,
		.body_len = strlen(BODY),
		.connect_timeout_ms = 1000,
		.read_timeout_ms = 1000,
	};

	return http_call(&options, 1000, answer, status);
}

typedef struct reply_case {
	const char *name;
	const char *reply;
	http_result_t result;
} reply_case_t;

#define HEAD "HTTP/1.1 200 OK\r\n"

static const reply_case_t reply_cases[] = {
	{"closes without a word", "", HTTP_BROKEN},
	{"closes within the head", "HTTP/1.1 200 O", HTTP_BROKEN},
	{"no HTTP at all", "hello\r\n\r\n", HTTP_BROKEN},
	{"whole, by length", HEAD "Content-Length: 2\r\n\r\nok", HTTP_OK},
	{"cut, by length", HEAD "Content-Length: 20\r\n\r\nok", HTTP_BROKEN},
	{"whole, in chunks", HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		HTTP_OK},
	{"cut between chunks", HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", HTTP_BROKEN},
	{"cut within a chunk", HEAD "Transfer-Encoding: chunked\r\n\r\nff\r\nok", HTTP_BROKEN},
	{"bad chunk size", HEAD "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n", HTTP_BROKEN},
};

/* neon repeats a request on a dropped connection unless told not to: received once, always. */
static void test_a_request_is_received_once(void **state)
{
	for (unsigned int i = 0; i < ARRAY_LEN(reply_cases); i++) {
		const reply_case_t *c = &reply_cases[i];
		GString *answer = g_string_new(NULL);
		raw_server_t server;
		int status = 0;

		print_message("  %s\n", c->name);
		raw_server_start(&server, c->reply);
		assert_int_equal(post(server.address, answer, &status), c->result);
		raw_server_stop(&server);
		assert_int_equal(server.received, 1);
		if (c->result == HTTP_OK)
			assert_string_equal(answer->str, "ok");
		g_string_free(answer, TRUE);
	}
}

static void test_too_large(void **state)
{
	GString *answer = g_string_new(NULL);
	GString *reply = g_string_new(HEAD "Content-Length: 2000\r\n\r\n");
	raw_server_t server;
	int status = 0;

	for (int i = 0; i < 2000; i++)
		g_string_append_c(reply, 'x');
	raw_server_start(&server, reply->str);
	assert_int_equal(post(server.address, answer, &status), HTTP_TOO_LARGE);
	raw_server_stop(&server);
	g_string_free(reply, TRUE);
	g_string_free(answer, TRUE);
}

/* Nobody listens: it is known that no byte has left. */
static void test_not_sent(void **state)
{
	GString *answer = g_string_new(NULL);
	raw_server_t server;
	int status = 0;

	raw_server_start(&server, "");
	raw_server_stop(&server);
	assert_int_equal(post(server.address, answer, &status), HTTP_NOT_SENT);
	assert_int_equal(post("no address", answer, &status), HTTP_NOT_SENT);
	g_string_free(answer, TRUE);
}

static int get(engine_standin_t *engine, const char *method, const char *path, const char *body,
	GString *answer)
{
	http_header_t header = {"X-Request-Id", "r1"};
	http_options_t options = {
		.address = engine_standin_address(engine),
		.method = method,
		.path = path,
		.headers = &header,
		.header_count = 1,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.connect_timeout_ms = 1000,
		.read_timeout_ms = 2000,
	};
	int status = 0;

	assert_int_equal(http_call(&options, 1 << 20, answer, &status), HTTP_OK);
	return status;
}

/* An engine's stream can be asked for again from any event on, and orders are fenced. */
static void test_engine_resumes_and_fences(void **state)
{
	exec_log_t *log = exec_log_new();
	engine_options_t options = {
		.address = "127.0.0.1:0", .log = log, .slots = 2, .token_us = 100, .fencing = true};
	engine_standin_t *engine = engine_standin_new(&options);
	GString *whole = g_string_new(NULL);
	GString *rest = g_string_new(NULL);

	assert_int_equal(
		get(engine, "POST", "/v1/chat/completions",
			"{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\","
			"\"content\":\"x tokens=9\"}]}",
			whole),
		200);
	assert_int_equal(get(engine, "GET", "/v1/streams/r1?from=4", NULL, rest), 200);
	assert_true(g_str_has_prefix(rest->str, "id: 4\n"));
	assert_true(g_str_has_suffix(whole->str, rest->str));
	assert_int_equal(get(engine, "GET", "/v1/streams/other?from=0", NULL, rest), 404);
	assert_int_equal(get(engine, "POST", "/orders", "{\"fence\":7}", rest), 200);
	assert_int_equal(get(engine, "POST", "/orders", "{\"fence\":6}", rest), 409);
	assert_int_equal(get(engine, "POST", "/orders", "{\"fence\":7}", rest), 200);
	g_string_free(whole, TRUE);
	g_string_free(rest, TRUE);
	engine_standin_delete(engine);
	exec_log_delete(log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_request_is_received_once),
		cmocka_unit_test(test_too_large),
		cmocka_unit_test(test_not_sent),
		cmocka_unit_test(test_engine_resumes_and_fences),
	};

	http_init();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
