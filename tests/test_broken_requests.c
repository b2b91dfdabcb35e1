/* broken_requests - what is no request in HTTP is refused and reaches no endpoint */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <unistd.h>

#include "edge/log.h"
#include "tests/gateway_fixture.h"
#include "tests/raw_answers.h"

#define WAIT_MS 5000
#define PIECE 7	    /* bytes */
#define WHOLE 65536 /* bytes; more than any request has */
#define FIELDS "Host: " FIXTURE_HOST "\r\nRequest-Id: id1\r\nAuthorization: Bearer k1\r\n"
#define GET "GET /status/ HTTP/1.1\r\n"
#define END FIELDS "Connection: close\r\n\r\n"
#define POST_CHUNKS                                                                                \
	"POST /status/ HTTP/1.1\r\n" FIELDS "Connection: close\r\nTransfer-Encoding: chunked\r\n"

static const raw_answer_t broken[] = {
	{"another protocol", "GET /status/ HTTQ/1.1\r\n" END},
	{"another protocol of four letters", "GET /status/ HXYZ/1.1\r\n" END},
	{"small letters", "GET /status/ http/1.1\r\n" END},
	{"HTTP/2.0", "GET /status/ HTTP/2.0\r\n" END},
	{"HTTP/0.9", "GET /status/ HTTP/0.9\r\n" END},
	{"HTTP/1.10", "GET /status/ HTTP/1.10\r\n" END},
	{"no protocol", "GET /status/\r\n" END},
	{"no target", "GET HTTP/1.1\r\n" END},
	{"two blanks before the target", "GET  /status/ HTTP/1.1\r\n" END},
	{"two blanks behind the target", "GET /status/  HTTP/1.1\r\n" END},
	{"a blank behind the protocol", "GET /status/ HTTP/1.1 \r\n" END},
	{"a control character in the target", "GET /status/\x01 HTTP/1.1\r\n" END},
	{"a method with a comma", "GE,T /status/ HTTP/1.1\r\n" END},
	{"a blank behind an identity field", GET "Tenant-Id : w2\r\n" END},
	{"a blank in an identity field", GET "Tenant -Id: w2\r\n" END},
	{"a blank before an identity field", GET " Tenant-Id: w2\r\n" END},
	{"a line that goes on", GET "X-A: 1\r\n Tenant-Id: w2\r\n" END},
	{"a tab behind a name", GET "Tenant-Id\t: w2\r\n" END},
	{"an empty name", GET ": 1\r\n" END},
	{"no colon", GET "X-A\r\n" END},
	{"a control character in a value", GET "X-A: a\x02z\r\n" END},
	{"a carriage return in a value", GET "X-A: a\rz\r\n" END},
	{"a blank behind Content-Length",
		"POST /status/ HTTP/1.1\r\n" FIELDS "Content-Length : 0\r\n\r\n"},
	{"two lengths", "POST /status/ HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n" END},
	{"a list of lengths", "POST /status/ HTTP/1.1\r\nContent-Length: 0, 0\r\n" END},
	{"a signed length", "POST /status/ HTTP/1.1\r\nContent-Length: +0\r\n" END},
	{"a length and chunks", POST_CHUNKS "Content-Length: 3\r\n\r\n0\r\n\r\n"},
	{"another coding", "POST /status/ HTTP/1.1\r\nTransfer-Encoding: gzip\r\n" END},
	{"another coding in chunks",
		"POST /status/ HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n" END "0\r\n\r\n"},
	{"chunks in HTTP/1.0",
		"POST /status/ HTTP/1.0\r\nTransfer-Encoding: chunked\r\n" END "0\r\n\r\n"},
	{"a blank and a digit behind a chunk's size", POST_CHUNKS "\r\n3 3\r\nabc\r\n0\r\n\r\n"},
	{"two bytes too many in a chunk", POST_CHUNKS "\r\n3\r\nabcxx0\r\n\r\n"},
	{"another byte behind a size's carriage return", POST_CHUNKS "\r\n3\rxabc\r\n0\r\n\r\n"},
	{"a signed size of a chunk", POST_CHUNKS "\r\n+3\r\nabc\r\n0\r\n\r\n"},
	{"a blank behind the name of a trailer field",
		POST_CHUNKS "\r\n3\r\nabc\r\n0\r\nX-A : 1\r\n\r\n"},
	{NULL, NULL},
};

static const raw_answer_t sound[] = {
	{"a request", GET END},
	{"empty lines before it", "\r\n\r\n" GET END},
	{"single line feeds", "GET /status/ HTTP/1.1\nHost: " FIXTURE_HOST
			      "\nRequest-Id: id1\nAuthorization: Bearer k1\nConnection: close\n\n"},
	{"HTTP/1.0", "GET /status/ HTTP/1.0\r\n" END},
	{"a target of other bytes", "GET /status/\xc3\xa9 HTTP/1.1\r\n" END},
	{"all characters of a name", GET "!#$%&'*+-.^_`|~09azAZ: 1\r\n" END},
	{"an empty value", GET "X-A:\r\nX-B: \t \r\n" END},
	{"a length of 0", "POST /status/ HTTP/1.1\r\nContent-Length: 0\r\n" END},
	{"chunks", POST_CHUNKS "\r\n3 ;a=b\r\nabc\r\n0\r\nX-A: 1\r\n\r\n"},
	{"capitals", POST_CHUNKS "\r\n00A\r\nabcdefghij\r\n0\r\n\r\n"},
	{NULL, NULL},
};

static void send_in_pieces(int fd, const char *text, size_t size)
{
	while (*text) {
		char *piece = g_strndup(text, size);

		raw_write(fd, piece);
		text += strlen(piece);
		g_free(piece);
		g_usleep(100);
	}
}

static char *exchange(fixture_t *f, const char *text, size_t piece)
{
	int fd = fixture_connect(f->caller_address);
	char *response;

	send_in_pieces(fd, text, piece);
	response = fixture_read_until(fd, NULL, WAIT_MS);
	close(fd);
	return response;
}

/* Whether the response begins like this, and the endpoint got as many requests. */
static bool is_handled_as(
	fixture_t *f, const char *text, size_t piece, const char *status, unsigned int forwarded)
{
	unsigned int before = raw_endpoint_request_count(f->endpoints[0]);
	char *response = exchange(f, text, piece);
	bool is_right = g_str_has_prefix(response, status) &&
			raw_endpoint_request_count(f->endpoints[0]) == before + forwarded;

	if (!is_right)
		print_message("  pieces of %zu: %.60s\n", piece, response);
	g_free(response);
	return is_right;
}

static void check_list(const raw_answer_t *list, const char *status, unsigned int forwarded)
{
	static const size_t pieces[] = {WHOLE, PIECE};
	fixture_t *f = fixture_new();
	unsigned int tries = 0;
	unsigned int wrong = 0;

	fixture_add_endpoint(f, fixture_respond_hello, NULL);
	fixture_wait_ready(f, 1);
	for (; list->name; list++) {
		for (unsigned int i = 0; i < ARRAY_LEN(pieces); i++) {
			tries++;
			if (is_handled_as(f, list->text, pieces[i], status, forwarded))
				continue;
			print_message("  %s\n", list->name);
			wrong++;
		}
	}
	fixture_delete(f);
	if (wrong)
		fail_msg("%u of %u requests were handled wrongly", wrong, tries);
}

static void test_broken_requests_are_refused(void **state)
{
	check_list(broken, "HTTP/1.1 400 ", 0);
}

static void test_sound_requests_are_served(void **state)
{
	check_list(sound, "HTTP/1.1 200 ", 1);
}

/* The check begins anew with each request of a connection. */
static void test_broken_request_behind_a_sound_one_is_refused(void **state)
{
	fixture_t *f = fixture_new();
	char *response;

	fixture_add_endpoint(f, fixture_respond_hello, NULL);
	fixture_wait_ready(f, 1);
	response = exchange(
		f, GET FIELDS "\r\n" GET FIELDS "\r\n" GET "Tenant-Id : w2\r\n" END, WHOLE);
	assert_non_null(strstr(response, "HTTP/1.1 200 "));
	assert_non_null(strstr(response, "HTTP/1.1 400 "));
	assert_int_equal(raw_endpoint_request_count(f->endpoints[0]), 2);
	g_free(response);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_broken_requests_are_refused),
		cmocka_unit_test(test_sound_requests_are_served),
		cmocka_unit_test(test_broken_request_behind_a_sound_one_is_refused),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
