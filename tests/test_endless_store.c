/* endless_store - a store whose responses do not end */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <sys/socket.h>

#include "edge/http_call.h"
#include "edge/log.h"
#include "gateway/adapter.h"
#include "standin/raw_endpoint.h"

#define BLOCK 16384
#define PAGE_ROWS 100
#define VALUE_BYTES 2000
/* Far above the bounds of a response and of a table, with what the sockets buffer. */
#define MAX_SENT (64U << 20)

/* Sends the start, then the piece again and again, until the reader closes. */
typedef struct endless_store {
	const char *start;
	const char *piece; /* NULL: pages of rows without end */
	size_t sent;	   /* accessed atomically */
} endless_store_t;

static bool send_block(endless_store_t *this, int fd, const GString *block)
{
	for (size_t at = 0; at < block->len;) {
		ssize_t n = send(fd, block->str + at, block->len - at, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		at += (size_t)n;
	}
	return __atomic_add_fetch(&this->sent, block->len, __ATOMIC_SEQ_CST) < 4 * MAX_SENT;
}

/* A page whose keys follow those of the page before. */
static void send_page(endless_store_t *this, int fd, unsigned int number)
{
	GString *rows = g_string_new("{\"ver\":7,\"hasMore\":true,\"rows\":[");
	GString *response = g_string_new(NULL);
	char *value = g_strnfill(VALUE_BYTES, 'A');

	for (unsigned int i = 0; i < PAGE_ROWS; i++)
		g_string_append_printf(rows, "%s{\"key\":\"%08u-%04u\",\"value\":\"%s\",\"ver\":5}",
			i ? "," : "", number, i, value);
	g_string_append(rows, "]}");
	g_string_append_printf(
		response, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", rows->len, rows->str);
	send_block(this, fd, response);
	g_string_free(response, TRUE);
	g_string_free(rows, TRUE);
	g_free(value);
}

static bool send_without_end(void *ctx, int fd, const raw_request_t *request)
{
	endless_store_t *this = ctx;
	GString *block = g_string_new(this->start);
	bool open;

	if (!this->piece) {
		send_page(this, fd, request->number);
		g_string_free(block, TRUE);
		return true;
	}
	open = send_block(this, fd, block);
	g_string_truncate(block, 0);
	while (block->len < BLOCK)
		g_string_append(block, this->piece);
	while (open)
		open = send_block(this, fd, block);
	g_string_free(block, TRUE);
	return false;
}

/* Guards against a store's response, or a table, that is kept for as long as it comes. */
static void test_endless_responses_of_the_store_end(void **state)
{
	static const endless_store_t cases[] = {
		{.start = "HTTP/1.1 200 OK\r\nX-A: ", .piece = "b"},
		{.start = "HTTP/1.1 200 OK\r\n", .piece = "X-A: b\r\n"},
		{.start = "", .piece = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		{.start = "HTTP/1.1 200 OK\r\n\r\n{\"rows\":[", .piece = "[],"},
		{.start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			.piece = "1\r\n \r\n"},
		{.start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
			.piece = "X-A: b\r\n"},
		{.piece = NULL},
	};

	for (unsigned int i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		endless_store_t endless = cases[i];
		raw_endpoint_t *endpoint = raw_endpoint_new(send_without_end, &endless);
		store_options_t options = {raw_endpoint_address(endpoint), 2000};
		store_t *store = adapter_find("rows")->open_store(&options);
		GArray *rows = store_rows_new();
		store_version_t version = {0};

		assert_int_not_equal(store->ops->list(store, "t", rows, &version), ROWS_OK);
		g_array_unref(rows);
		store->ops->delete (store);
		raw_endpoint_delete(endpoint);
		if (endless.sent >= MAX_SENT)
			fail_msg("case %u: %zu bytes taken", i, endless.sent);
	}
}

/* What is too large for one response is listed in pages, so that the table is still followed. */
static void test_changes_that_are_too_large_are_listed_anew(void **state)
{
	endless_store_t endless = {
		.start = "HTTP/1.1 200 OK\r\n\r\n{\"ver\":9,\"rows\":[", .piece = "[],"};
	raw_endpoint_t *endpoint = raw_endpoint_new(send_without_end, &endless);
	store_options_t options = {raw_endpoint_address(endpoint), 2000};
	store_t *store = adapter_find("rows")->open_store(&options);
	GArray *rows = store_rows_new();
	store_version_t version = {.number = 3};

	assert_int_equal(store->ops->wait(store, "t", 100, rows, &version), ROWS_COMPACTED);
	g_array_unref(rows);
	store->ops->delete (store);
	raw_endpoint_delete(endpoint);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endless_responses_of_the_store_end),
		cmocka_unit_test(test_changes_that_are_too_large_are_listed_anew),
	};

	http_init();
	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
