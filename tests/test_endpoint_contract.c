/* threaded: http_exchange - against misbehaving servers; also the engine stand-in's protocol */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "edge/http_exchange.h"
#include "standin/standin_response.h"
#include "standin/engine_standin.h"

#define REQUEST_BODY "a body to be sent once"

/*
 * A server that, on each connection, reads one complete request, writes `response` unchanged and
 * closes the connection.
 */
typedef struct raw_server {
	int fd;
	char address[32];
	const char *response;
	int received; /* number of complete requests */
	pthread_t thread;
} raw_server_t;

static bool read_request(int fd)
{
	char buffer[4096];
	size_t used = 0;
	ssize_t size_read;

	while ((size_read = read(fd, buffer + used, sizeof(buffer) - 1 - used)) > 0) {
		used += (size_t)size_read;
		buffer[used] = '\0';
		if (strstr(buffer, REQUEST_BODY))
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
		if (write(fd, this->response, strlen(this->response)) < 0)
			print_message("  client closed the connection before the response\n");
		close(fd);
	}
	return NULL;
}

static void raw_server_start(raw_server_t *this, const char *response)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	socklen_t addr_size = sizeof(addr);

	memset(this, 0, sizeof(*this));
	this->response = response;
	this->fd = socket(AF_INET, SOCK_STREAM, 0);
	inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
	assert_int_equal(bind(this->fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(listen(this->fd, 8), 0);
	getsockname(this->fd, (struct sockaddr *)&addr, &addr_size);
	snprintf(this->address, sizeof(this->address), "127.0.0.1:%u", ntohs(addr.sin_port));
	pthread_create(&this->thread, NULL, serve, this);
}

static void raw_server_stop(raw_server_t *this)
{
	shutdown(this->fd, SHUT_RDWR);
	pthread_join(this->thread, NULL);
	close(this->fd);
}

static http_result_t post(const char *address, GString *body, int *status)
{
	http_options_t options = {
		.address = address,
		.method = "POST",
		.path = "/orders",
		.body = REQUEST_BODY,
		.body_len = strlen(REQUEST_BODY),
		.connect_timeout_ms = 1000,
		.read_timeout_ms = 1000,
	};

	return http_call(&options, 1000, body, status);
}

typedef struct response_case {
	const char *name;
	const char *response;
	http_result_t result;
} response_case_t;

#define RESPONSE_HEAD "HTTP/1.1 200 OK\r\n"

static const response_case_t response_cases[] = {
	{"closes without a response", "", HTTP_INCOMPLETE},
	{"closes within the head", "HTTP/1.1 200 O", HTTP_INCOMPLETE},
	{"not an HTTP response", "hello\r\n\r\n", HTTP_INCOMPLETE},
	{"complete, with length", RESPONSE_HEAD "Content-Length: 2\r\n\r\nok", HTTP_OK},
	{"truncated, with length", RESPONSE_HEAD "Content-Length: 20\r\n\r\nok", HTTP_INCOMPLETE},
	{"complete, chunked",
		RESPONSE_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", HTTP_OK},
	{"truncated between chunks", RESPONSE_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		HTTP_INCOMPLETE},
	{"truncated within a chunk", RESPONSE_HEAD "Transfer-Encoding: chunked\r\n\r\nff\r\nok",
		HTTP_INCOMPLETE},
	{"malformed chunk size", RESPONSE_HEAD "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
		HTTP_INCOMPLETE},
};

/*
 * By default, neon sends a request again if the server drops the connection, so that an order
 * would run twice.  The server must receive it exactly once, whatever it responds.
 */
static void test_request_is_received_once_whatever_the_response(void **state)
{
	for (unsigned int i = 0; i < ARRAY_LEN(response_cases); i++) {
		const response_case_t *test_case = &response_cases[i];
		GString *body = g_string_new(NULL);
		raw_server_t server;
		int status = 0;

		print_message("  %s\n", test_case->name);
		raw_server_start(&server, test_case->response);
		assert_int_equal(post(server.address, body, &status), test_case->result);
		raw_server_stop(&server);
		assert_int_equal(server.received, 1);
		if (test_case->result == HTTP_OK)
			assert_string_equal(body->str, "ok");
		g_string_free(body, TRUE);
	}
}

static void test_response_over_limit_is_too_large(void **state)
{
	GString *body = g_string_new(NULL);
	GString *response = g_string_new(RESPONSE_HEAD "Content-Length: 2000\r\n\r\n");
	raw_server_t server;
	int status = 0;

	for (int i = 0; i < 2000; i++)
		g_string_append_c(response, 'x');
	raw_server_start(&server, response->str);
	assert_int_equal(post(server.address, body, &status), HTTP_TOO_LARGE);
	raw_server_stop(&server);
	g_string_free(response, TRUE);
	g_string_free(body, TRUE);
}

/* No server listens. HTTP_NOT_SENT promises that no byte was sent, so that a retry is safe. */
static void test_unreachable_address_gives_not_sent(void **state)
{
	GString *body = g_string_new(NULL);
	raw_server_t server;
	int status = 0;

	raw_server_start(&server, "");
	raw_server_stop(&server);
	assert_int_equal(post(server.address, body, &status), HTTP_NOT_SENT);
	assert_int_equal(post("no address", body, &status), HTTP_NOT_SENT);
	g_string_free(body, TRUE);
}

static int call_engine(engine_standin_t *engine, const char *method, const char *path,
	const char *body, GString *response)
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

	assert_int_equal(http_call(&options, 1 << 20, response, &status), HTTP_OK);
	return status;
}

/*
 * The engine stand-in sends a stream again from any event, and rejects an order whose fence is
 * lower than the highest it has seen.
 */
static void test_engine_resumes_streams_and_rejects_old_fences(void **state)
{
	exec_log_t *log = exec_log_new();
	engine_options_t options = {
		.address = "127.0.0.1:0", .log = log, .slots = 2, .token_us = 100, .fencing = true};
	engine_standin_t *engine = engine_standin_new(&options);
	GString *full_stream = g_string_new(NULL);
	GString *rest = g_string_new(NULL);

	assert_int_equal(
		call_engine(engine, "POST", "/v1/chat/completions",
			"{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\","
			"\"content\":\"x tokens=9\"}]}",
			full_stream),
		200);
	assert_int_equal(call_engine(engine, "GET", "/v1/streams/r1?from=4", NULL, rest), 200);
	assert_true(g_str_has_prefix(rest->str, "id: 4\n"));
	assert_true(g_str_has_suffix(full_stream->str, rest->str));
	assert_int_equal(call_engine(engine, "GET", "/v1/streams/other?from=0", NULL, rest), 404);
	assert_int_equal(call_engine(engine, "POST", "/orders", "{\"fence\":7}", rest), 200);
	assert_int_equal(call_engine(engine, "POST", "/orders", "{\"fence\":6}", rest), 409);
	assert_int_equal(call_engine(engine, "POST", "/orders", "{\"fence\":7}", rest), 200);
	g_string_free(full_stream, TRUE);
	g_string_free(rest, TRUE);
	engine_standin_delete(engine);
	exec_log_delete(log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_is_received_once_whatever_the_response),
		cmocka_unit_test(test_response_over_limit_is_too_large),
		cmocka_unit_test(test_unreachable_address_gives_not_sent),
		cmocka_unit_test(test_engine_resumes_streams_and_rejects_old_fences),
	};

	http_init();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
