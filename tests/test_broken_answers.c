/* threaded: broken_answers - answers that break off in or after their head never look complete */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <unistd.h>

#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 5000

/* The head of an answer, before and after the id of its request. */
typedef struct answer {
	const char *before;
	const char *after;
} answer_t;

static const answer_t with_length = {
	"HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: ", "\r\nContent-Length: 5\r\n\r\n"};
static const answer_t in_chunks = {"HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: ",
	"\r\nTransfer-Encoding: chunked\r\n\r\n"};
static const answer_t event_stream = {"HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: ",
	"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"};
static const answer_t after_interim = {
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" ENDPOINT_MARKER
	"Request-Id: ",
	"\r\nContent-Length: 5\r\n\r\n"};

/* Writes the first `size` bytes of the answer and ends the connection. */
typedef struct breaking_endpoint {
	const answer_t *answer;
	size_t size; /* accessed atomically */
	bool resets;
} breaking_endpoint_t;

static char *answer_text(const answer_t *answer, const char *id)
{
	return g_strconcat(answer->before, id, answer->after, NULL);
}

static bool break_off(void *ctx, int fd, const raw_request_t *request)
{
	const breaking_endpoint_t *this = ctx;
	size_t size = __atomic_load_n(&this->size, __ATOMIC_SEQ_CST);
	char *text = answer_text(this->answer, request->id);

	if (size < strlen(text))
		text[size] = '\0';
	raw_write(fd, text);
	g_free(text);
	if (this->resets)
		raw_reset_connection(fd);
	return false;
}

/* The target differs each time: a request that ends several endpoints is refused. */
static char *ask(fixture_t *f, const char *method, const char *route, size_t number)
{
	char *path = g_strdup_printf("/%s/%zu", route, number);
	char *text = fixture_format_request(method, path, "mine", "Connection: close\r\n", "");
	char *response = fixture_send_and_read(f, text, WAIT_MS);

	g_free(text);
	g_free(path);
	return response;
}

static bool is_success(const char *response)
{
	return g_str_has_prefix(response, "HTTP/1.1 2");
}

/* Breaks the answer off at each byte of its head, and asks on `route`. */
static void check_each_byte_of_head(
	const answer_t *answer, const char *method, const char *route, bool resets)
{
	breaking_endpoint_t endpoint = {.answer = answer, .resets = resets};
	fixture_t *f = fixture_new();
	char *whole = answer_text(answer, "mine");
	size_t size = strlen(whole);

	fixture_add_endpoint(f, break_off, &endpoint);
	fixture_wait_ready(f, 1);
	for (size_t i = 0; i < size; i++) {
		char *response;

		__atomic_store_n(&endpoint.size, i, __ATOMIC_SEQ_CST);
		response = ask(f, method, route, i);
		if (is_success(response))
			fail_msg("%s /%s/, head cut after %zu bytes: %s", method, route, i,
				response);
		g_free(response);
	}
	g_free(whole);
	fixture_delete(f);
}

static void test_answer_cut_in_its_head_is_no_success(void **state)
{
	static const char *const routes[] = {"status", "order", "note", "draft"};

	for (unsigned int i = 0; i < ARRAY_LEN(routes); i++) {
		const char *method = i ? "POST" : "GET";

		check_each_byte_of_head(&with_length, method, routes[i], false);
		check_each_byte_of_head(&in_chunks, method, routes[i], false);
	}
	check_each_byte_of_head(&with_length, "GET", "status", true);
}

static void test_event_stream_cut_in_its_head_is_no_success(void **state)
{
	check_each_byte_of_head(&event_stream, "POST", "draft", false);
	check_each_byte_of_head(&event_stream, "POST", "note", false);
	check_each_byte_of_head(&event_stream, "POST", "note", true);
}

/* An answer to HEAD has no body, so that its end is the end of its head. */
static void test_answer_to_head_cut_in_its_head_is_no_success(void **state)
{
	breaking_endpoint_t endpoint = {.size = SIZE_MAX};
	fixture_t *f = fixture_new();
	char *response;

	check_each_byte_of_head(&with_length, "HEAD", "status", false);
	check_each_byte_of_head(&in_chunks, "HEAD", "status", false);
	endpoint.answer = &with_length;
	fixture_add_endpoint(f, break_off, &endpoint);
	fixture_wait_ready(f, 1);
	response = ask(f, "HEAD", "status", 0);
	assert_true(is_success(response));
	g_free(response);
	fixture_delete(f);
}

static void test_answer_cut_after_an_interim_one_is_no_success(void **state)
{
	check_each_byte_of_head(&after_interim, "GET", "status", false);
	check_each_byte_of_head(&after_interim, "POST", "order", false);
}

/* Whether the response has as many bytes after its head as its Content-Length says. */
static bool has_whole_length(const char *response)
{
	const char *length = strcasestr(response, "\r\nContent-Length:");
	const char *body = strstr(response, "\r\n\r\n");

	return length && body && strlen(body + 4) >= strtoul(length + 17, NULL, 10);
}

/* The head is whole, the body is missing: what reaches the caller does not look complete. */
static void check_missing_body(const answer_t *answer, const char *route, bool resets)
{
	breaking_endpoint_t endpoint = {.answer = answer, .size = SIZE_MAX, .resets = resets};
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, break_off, &endpoint);
	fixture_wait_ready(f, 1);
	response = ask(f, strcmp(route, "status") ? "POST" : "GET", route, 0);
	if (is_success(response)) {
		assert_false(has_whole_length(response));
		assert_null(strstr(response, "\r\n0\r\n\r\n"));
	}
	g_free(response);
	fixture_delete(f);
}

static void test_answer_without_its_body_does_not_look_complete(void **state)
{
	static const char *const routes[] = {"status", "order", "note", "draft"};

	for (unsigned int i = 0; i < ARRAY_LEN(routes); i++) {
		for (int resets = 0; resets <= 1; resets++) {
			check_missing_body(&with_length, routes[i], resets);
			check_missing_body(&in_chunks, routes[i], resets);
			check_missing_body(&event_stream, routes[i], resets);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answer_cut_in_its_head_is_no_success),
		cmocka_unit_test(test_event_stream_cut_in_its_head_is_no_success),
		cmocka_unit_test(test_answer_to_head_cut_in_its_head_is_no_success),
		cmocka_unit_test(test_answer_cut_after_an_interim_one_is_no_success),
		cmocka_unit_test(test_answer_without_its_body_does_not_look_complete),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
