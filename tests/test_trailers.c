/* trailers - fields after a body decide nothing: neither those of requests nor of responses */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <unistd.h>

#include "edge/http_call.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 5000
#define HEADER_BYTES 4096 /* maxHeaderBytes of the fixture */

/* What the endpoint got last, and what it sends. */
typedef struct recorder {
	pthread_mutex_t lock;
	GString *heads;
	const char *trailer; /* of its responses; NULL: responses with a length */
} recorder_t;

static bool record_and_respond(void *ctx, int fd, const raw_request_t *request)
{
	recorder_t *this = ctx;
	char *text;

	pthread_mutex_lock(&this->lock);
	g_string_append(this->heads, request->head);
	pthread_mutex_unlock(&this->lock);
	if (!this->trailer)
		return fixture_respond_hello(NULL, fd, request);
	text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n%s\r\n",
		request->id, this->trailer);
	raw_write(fd, text);
	g_free(text);
	return true;
}

static fixture_t *new_fixture(recorder_t *recorder, const char *trailer)
{
	fixture_t *this = fixture_new();

	pthread_mutex_init(&recorder->lock, NULL);
	recorder->heads = g_string_new(NULL);
	recorder->trailer = trailer;
	fixture_add_endpoint(this, record_and_respond, recorder);
	fixture_wait_ready(this, 1);
	return this;
}

static void delete_fixture(fixture_t *this, recorder_t *recorder)
{
	fixture_delete(this);
	g_string_free(recorder->heads, TRUE);
}

/* A request whose head has all fields but `without`, which its trailer has. */
static char *format_request(const char *const *fields, unsigned int count, unsigned int without)
{
	GString *text = g_string_new("POST /status/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n");

	for (unsigned int i = 0; i < count; i++) {
		if (i != without)
			g_string_append(text, fields[i]);
	}
	g_string_append(text, "\r\n4\r\nbody\r\n0\r\n");
	if (without < count)
		g_string_append(text, fields[without]);
	g_string_append(text, "\r\n");
	return g_string_free(text, FALSE);
}

static unsigned int status_of(fixture_t *this, const char *text)
{
	int fd = fixture_connect(this->caller_address);
	unsigned int status = 0;
	char *response;

	raw_write(fd, text);
	response = fixture_read_until(fd, "\r\n\r\n", WAIT_MS);
	sscanf(response, "HTTP/1.1 %u", &status);
	g_free(response);
	close(fd);
	return status;
}

/* Guards against a request that is judged by what no one before this router has checked. */
static void test_a_request_is_decided_by_its_head_alone(void **state)
{
	static const char *const fields[] = {
		"Host: " FIXTURE_HOST "\r\n", "Request-Id: t\r\n", "Authorization: Bearer k1\r\n"};
	static const unsigned int expected[] = {400, 400, 401, 200};
	recorder_t recorder;
	fixture_t *this = new_fixture(&recorder, NULL);

	for (unsigned int i = 0; i <= ARRAY_LEN(fields); i++) {
		char *text = format_request(fields, ARRAY_LEN(fields), i);

		assert_int_equal(status_of(this, text), expected[i]);
		g_free(text);
	}
	delete_fixture(this, &recorder);
}

/* No field of a trailer is passed on, and none replaces or joins one of the head. */
static void test_trailer_fields_do_not_reach_endpoints(void **state)
{
	static const char *const names[] = {"X-Late", "Deadline-Ms", "Token-Usage", "Prompt-Prefix",
		"Length-Hint", "Last-Event-Id", "Resumes", "Tenant-Id", "Expect-Instance",
		"Kv-Fetch", "Content-Length", "Transfer-Encoding", "Connection", "Expect", "Host",
		"Request-Id", "Authorization"};
	recorder_t recorder;
	fixture_t *this = new_fixture(&recorder, NULL);

	for (unsigned int i = 0; i < ARRAY_LEN(names); i++) {
		char *text = g_strdup_printf("POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST
					     "\r\nRequest-Id: t\r\nAuthorization: Bearer k1\r\n"
					     "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n"
					     "%s: 77777\r\n\r\n",
			names[i]);
		unsigned int status = status_of(this, text);

		/* The parser itself refuses a length beside chunks. */
		if (status != 200 && !(status == 400 && !strcmp(names[i], "Content-Length")))
			fail_msg("%s: status %u", names[i], status);
		g_free(text);
	}
	assert_null(strstr(recorder.heads->str, "77777"));
	delete_fixture(this, &recorder);
}

/* "Connection: close" in a trailer does not end the connection, as it decides nothing. */
static void test_trailer_does_not_end_the_connection(void **state)
{
	recorder_t recorder;
	fixture_t *this = new_fixture(&recorder, NULL);
	int fd = fixture_connect(this->caller_address);
	const char *text = "POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST
			   "\r\nRequest-Id: t\r\nAuthorization: Bearer k1\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nConnection: close\r\n"
			   "\r\n";

	for (unsigned int i = 0; i < 2; i++) {
		char *response;

		raw_write(fd, text);
		response = fixture_read_until(fd, "hello", WAIT_MS);
		assert_non_null(strstr(response, "hello"));
		g_free(response);
	}
	close(fd);
	delete_fixture(this, &recorder);
}

static unsigned int status_of_trailer(fixture_t *this, const char *field, unsigned int count)
{
	GString *text = g_string_new("POST /status/ HTTP/1.1\r\nHost: " FIXTURE_HOST
				     "\r\nRequest-Id: t\r\nAuthorization: Bearer k1\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n");
	unsigned int status;

	for (unsigned int i = 0; i < count; i++)
		g_string_append(text, field);
	g_string_append(text, "\r\n");
	status = status_of(this, text->str);
	g_string_free(text, TRUE);
	return status;
}

/* The bound of the head holds for the trailer: for one long field and for many short ones. */
static void test_trailers_are_bounded_as_heads(void **state)
{
	recorder_t recorder;
	fixture_t *this = new_fixture(&recorder, NULL);
	char *value = g_strnfill(HEADER_BYTES, 'v');
	char *field = g_strdup_printf("X-A: %s\r\n", value);

	assert_int_equal(status_of_trailer(this, "X-A: b\r\n", HEADER_BYTES / 4), 200);
	assert_int_equal(status_of_trailer(this, "X-A: b\r\n", HEADER_BYTES / 4 + 1), 431);
	assert_int_equal(status_of_trailer(this, field, 1), 431);
	g_free(field);
	g_free(value);
	delete_fixture(this, &recorder);
}

/* Guards against responses that are taken for another one's, or changed, after their body. */
static void test_trailers_of_endpoints_decide_nothing(void **state)
{
	static const char *const trailers[] = {"X-Late: 77777\r\nX-B: 77777\r\n",
		"Request-Id: 77777\r\nX-B: c\r\n", "Content-Encoding: gzip\r\nX-B: c\r\n",
		"Connection: close\r\nX-B: c\r\n", "Server-Leaving: 1\r\nX-B: c\r\n",
		"Not-Executed: 1\r\nX-B: c\r\n", "Retry-After: 3000\r\nX-B: c\r\n"};
	recorder_t recorder;
	fixture_t *this = new_fixture(&recorder, "");

	for (unsigned int i = 0; i < ARRAY_LEN(trailers); i++) {
		char *text = fixture_format_request(
			"POST", "/status/", "t", "Connection: close\r\n", "");
		char *response;

		recorder.trailer = trailers[i];
		response = fixture_send_and_read(this, text, WAIT_MS);
		if (!g_str_has_prefix(response, "HTTP/1.1 200 ") || !strstr(response, "hello"))
			fail_msg("%s: %s", trailers[i], response);
		assert_null(strstr(response, "77777"));
		g_free(response);
		g_free(text);
	}
	/* All on one connection, which no trailer has ended. */
	assert_int_equal(raw_endpoint_connection_count(this->endpoints[0]), 1);
	delete_fixture(this, &recorder);
}

/* A field of the store's responses is read from the head alone. */
static void test_trailers_of_the_store_are_not_its_headers(void **state)
{
	recorder_t recorder = {.trailer = "X-Version: 7\r\n", .heads = g_string_new(NULL)};
	raw_endpoint_t *store;
	GString *body = g_string_new(NULL);
	http_options_t options = {.method = "GET",
		.path = "/",
		.connect_timeout_ms = WAIT_MS,
		.read_timeout_ms = WAIT_MS};
	char *value;
	int status;

	http_init();
	pthread_mutex_init(&recorder.lock, NULL);
	store = raw_endpoint_new(record_and_respond, &recorder);
	options.address = raw_endpoint_address(store);
	assert_int_equal(
		http_call_with_header(&options, 100, body, &status, "X-Version", &value), HTTP_OK);
	assert_string_equal(body->str, "hello");
	assert_null(value);
	raw_endpoint_delete(store);
	g_string_free(body, TRUE);
	g_string_free(recorder.heads, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_request_is_decided_by_its_head_alone),
		cmocka_unit_test(test_trailer_fields_do_not_reach_endpoints),
		cmocka_unit_test(test_trailer_does_not_end_the_connection),
		cmocka_unit_test(test_trailers_are_bounded_as_heads),
		cmocka_unit_test(test_trailers_of_endpoints_decide_nothing),
		cmocka_unit_test(test_trailers_of_the_store_are_not_its_headers),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
