/* gone_callers - a caller that leaves while the gateway does not read from it */
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

/* More than the gateway reads behind an unanswered request; the sockets take the rest. */
#define PIPELINED (100U << 10)
#define ROUTE                                                                                      \
	",{\"name\":\"long\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/long/\",\"kind\":"        \
	"\"idempotent\",\"timeoutMs\":60000,\"maxAttempts\":1,\"public\":true,"                    \
	"\"service\":\"shop\"}"
#define REQUEST "POST /long/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: g\r\n"

/* Keeps /long/ unanswered until the gateway gives up. */
static bool never_respond(void *ctx, int fd, const raw_request_t *request)
{
	char byte;

	if (!strstr(request->head, "/long/"))
		return fixture_respond_hello(NULL, fd, request);
	while (recv(fd, &byte, sizeof(byte), 0) > 0)
		;
	return false;
}

/* Guards against calls and descriptors that are kept for callers that have long gone. */
static void test_caller_that_leaves_while_it_is_not_read_is_noticed(void **state)
{
	fixture_t *this = fixture_new();
	char *rest = g_strnfill(PIPELINED, 'x');
	int fd;

	fixture_add_endpoint(this, never_respond, NULL);
	fixture_wait_ready(this, 1);
	fixture_put_config(this, ROUTE FIXTURE_PUBLIC_ROUTE("new"));
	assert_true(fixture_wait_served(this, "new", true));
	fd = fixture_connect(this->caller_address);
	raw_write(fd, REQUEST "Content-Length: 0\r\n\r\n");
	assert_true(fixture_wait_metric(this, "calls_in_progress", 1));
	raw_write(fd, rest);
	close(fd);
	assert_true(fixture_wait_metric(this, "calls_in_progress", 0));
	g_free(rest);
	fixture_delete(this);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_caller_that_leaves_while_it_is_not_read_is_noticed),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
