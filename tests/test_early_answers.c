/* threaded: early_answers - responses that begin while a long request is still being written */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 10000
#define BODY_BYTES (3U << 20)
#define READ_SIZE 65536
#define TRIES 12 /* of each form */
#define PART "event: part\n\n"
#define OWN ENDPOINT_MARKER "Request-Id: "

typedef struct early_endpoint {
	const char *head; /* before the id */
	const char *rest; /* behind it */
	bool resets;	  /* else closes, with most of the request unread */
	bool reads_on;	  /* ends its side in order, and reads the rest of the request */
} early_endpoint_t;

static void read_rest(int fd)
{
	char buffer[READ_SIZE];
	ssize_t n;

	do
		n = read(fd, buffer, sizeof(buffer));
	while (n > 0);
}

static bool answer_early(void *ctx, int fd, const raw_request_t *request)
{
	const early_endpoint_t *this = ctx;
	char *text = g_strconcat(this->head, OWN, request->id, this->rest, NULL);

	raw_write(fd, text);
	g_free(text);
	if (this->reads_on) {
		shutdown(fd, SHUT_WR);
		read_rest(fd);
	} else if (this->resets) {
		raw_reset_connection(fd);
	} else {
		raw_close_connection(fd);
	}
	return false;
}

static char *upload(fixture_t *f, const char *route, const char *body)
{
	static unsigned int number;
	char *path = g_strdup_printf("/%s/%u", route, number++);
	char *text = fixture_format_request("POST", path, "mine", "Connection: close\r\n", body);
	char *response = fixture_send_and_read(f, text, WAIT_MS);

	g_free(text);
	g_free(path);
	return response;
}

static fixture_t *new_fixture(early_endpoint_t *endpoint)
{
	fixture_t *this = fixture_new();

	this->max_body_bytes = BODY_BYTES;
	fixture_put_config(this, "");
	raw_endpoint_answer_early(fixture_add_endpoint(this, answer_early, endpoint));
	fixture_wait_ready(this, 1);
	fixture_wait_metric(this, "catalog_version", this->config_version);
	return this;
}

/* A response whose end is missing does not look as if it had one. */
static bool looks_complete(const char *response)
{
	if (!g_str_has_prefix(response, "HTTP/1.1 2"))
		return false;
	return !strcasestr(response, "Transfer-Encoding: chunked") ||
	       g_str_has_suffix(response, "\r\n0\r\n\r\n");
}

static const char *const routes[] = {"status", "order", "note", "draft"};

static void test_part_of_an_answer_is_no_answer(void **state)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\n", "HTTP/1.1 201 Created\r\n", "HTTP/1.0 200 OK\r\n"};
	char *body = g_strnfill(BODY_BYTES, 'x');
	unsigned int complete = 0;
	unsigned int tries = 0;

	for (unsigned int i = 0; i < ARRAY_LEN(heads) * 2; i++) {
		early_endpoint_t endpoint = {
			.head = heads[i / 2], .rest = "\r\n\r\n" PART, .resets = i % 2};
		fixture_t *f = new_fixture(&endpoint);

		for (unsigned int k = 0; k < TRIES * ARRAY_LEN(routes); k++) {
			char *response = upload(f, routes[k % ARRAY_LEN(routes)], body);

			complete += looks_complete(response);
			tries++;
			g_free(response);
		}
		fixture_delete(f);
	}
	g_free(body);
	if (complete)
		fail_msg("%u of %u parts reached the caller as answers", complete, tries);
}

/* An endpoint may answer before it has read all, if it then reads the rest. */
static void test_early_answer_that_ends_in_order_is_served(void **state)
{
	static const char *const rests[] = {"\r\nConnection: close\r\n\r\n" PART,
		"\r\nContent-Length: 13\r\n\r\n" PART,
		"\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" PART "\r\n0\r\n\r\n"};
	char *body = g_strnfill(BODY_BYTES, 'x');

	for (unsigned int i = 0; i < ARRAY_LEN(rests); i++) {
		early_endpoint_t endpoint = {
			.head = "HTTP/1.1 200 OK\r\n", .rest = rests[i], .reads_on = true};
		fixture_t *f = new_fixture(&endpoint);

		for (unsigned int k = 0; k < ARRAY_LEN(routes); k++) {
			char *response = upload(f, routes[k], body);

			if (!looks_complete(response) || !strstr(response, PART))
				fail_msg("form %u, /%s/: %s", i, routes[k], response);
			g_free(response);
		}
		fixture_delete(f);
	}
	g_free(body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_part_of_an_answer_is_no_answer),
		cmocka_unit_test(test_early_answer_that_ends_in_order_is_served),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
