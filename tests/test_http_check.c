/* http_check - the same verdict however the bytes are split, and on bytes that texts can't hold */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "core/types.h"
#include "edge/http_check.h"
#include "tests/raw_answers.h"

#define OK "HTTP/1.1 200 OK\r\n"
#define OK_CHUNKS OK "Transfer-Encoding: chunked\r\n\r\n"

typedef struct verdict {
	http_fault_t fault;
	size_t used; /* bytes of the message, interim responses included */
	unsigned int status;
	bool is_whole; /* or ends with its connection */
} verdict_t;

/* Feeds the message in pieces of this size at most, but for the first one. */
static verdict_t judge(
	http_check_kind_t kind, const char *data, size_t len, size_t first, size_t piece)
{
	verdict_t verdict = {HTTP_FAULT_NONE};
	http_check_t check;
	size_t end = first;

	http_check_init(&check, kind);
	while (verdict.used < len && !check.fault && !http_check_is_done(&check)) {
		end = MIN(MAX(end, verdict.used + 1), len);
		verdict.used += http_check_feed(&check, data + verdict.used, end - verdict.used);
		if (verdict.used == end)
			end += piece;
		if (http_check_is_done(&check) && http_check_is_interim(&check))
			http_check_init(&check, kind);
	}
	verdict.fault = check.fault;
	verdict.status = check.status;
	verdict.is_whole = http_check_is_done(&check) || http_check_ends_by_close(&check);
	return verdict;
}

static verdict_t judge_whole(http_check_kind_t kind, const char *data, size_t len)
{
	return judge(kind, data, len, len, len);
}

static void assert_same(const verdict_t *a, const verdict_t *b, const char *name, size_t at)
{
	if (a->fault != b->fault || a->used != b->used || a->status != b->status ||
		a->is_whole != b->is_whole)
		fail_msg("%s, split at %zu: %s after %zu bytes, else %s after %zu", name, at,
			http_fault_name(b->fault), b->used, http_fault_name(a->fault), a->used);
}

static verdict_t judge_in_all_ways(const raw_answer_t *answer)
{
	GString *text = g_string_new(answer->text);
	verdict_t verdict;

	g_string_replace(text, "{own}", "X-Own: 1\r\n", 0);
	verdict = judge_whole(HTTP_CHECK_RESPONSE, text->str, text->len);
	for (size_t at = 1; at < text->len; at++) {
		verdict_t split = judge(HTTP_CHECK_RESPONSE, text->str, text->len, at, text->len);
		verdict_t pieces = judge(HTTP_CHECK_RESPONSE, text->str, text->len, at, at);

		assert_same(&verdict, &split, answer->name, at);
		assert_same(&verdict, &pieces, answer->name, at);
	}
	g_string_free(text, TRUE);
	return verdict;
}

static void check_broken(const raw_answer_t *list, http_fault_t first, http_fault_t second)
{
	for (; list->name; list++) {
		verdict_t verdict = judge_in_all_ways(list);

		/* A chunk that is too short is a message that is cut. */
		if (verdict.fault ? verdict.fault != first && verdict.fault != second
				  : verdict.is_whole)
			fail_msg("%s: %s", list->name, http_fault_name(verdict.fault));
	}
}

static void test_broken_responses_have_their_fault(void **state)
{
	check_broken(raw_answers_start_line, HTTP_FAULT_START_LINE, HTTP_FAULT_STATUS);
	check_broken(raw_answers_names, HTTP_FAULT_NAME, HTTP_FAULT_NAME);
	check_broken(raw_answers_values, HTTP_FAULT_VALUE, HTTP_FAULT_VALUE);
	check_broken(raw_answers_framing, HTTP_FAULT_LENGTH, HTTP_FAULT_NAME);
	check_broken(raw_answers_chunks, HTTP_FAULT_CHUNK, HTTP_FAULT_NAME);
}

static void test_sound_responses_have_none(void **state)
{
	for (const raw_answer_t *answer = raw_answers_sound; answer->name; answer++) {
		verdict_t verdict = judge_in_all_ways(answer);

		if (verdict.fault || !verdict.is_whole)
			fail_msg("%s: %s", answer->name, http_fault_name(verdict.fault));
	}
}

static void test_only_statuses_of_the_protocol_are_sound(void **state)
{
	for (unsigned int status = 0; status < 1000; status++) {
		char *text = g_strdup_printf("HTTP/1.1 %03u\r\nContent-Length: 0\r\n\r\n", status);
		verdict_t verdict = judge_whole(HTTP_CHECK_RESPONSE, text, strlen(text));
		bool is_sound = status >= 100 && status <= 599 && status != 101;

		assert_int_equal(verdict.fault, is_sound ? HTTP_FAULT_NONE : HTTP_FAULT_STATUS);
		g_free(text);
	}
}

typedef struct position {
	const char *before;
	const char *after;
} position_t;

/* A NUL byte has no place outside a body. */
static void test_nul_is_a_fault_everywhere(void **state)
{
	static const position_t positions[] = {{"", OK}, {"HTTP/", "1.1 200 OK\r\n"},
		{"HTTP/1.1 2", "00 OK\r\n"}, {"HTTP/1.1 200 O", "K\r\n"},
		{"HTTP/1.1 200 OK\r", "\n"}, {OK, "X-A: 1\r\n"}, {OK "X", "-A: 1\r\n"},
		{OK "X-A:", "1\r\n"}, {OK "X-A: 1\r", "\n"}, {OK "X-A: 1\r\n\r", "\n"},
		{OK_CHUNKS, "1\r\n"}, {OK_CHUNKS "1", "\r\n"}, {OK_CHUNKS "1;a", "\r\n"},
		{OK_CHUNKS "1\r\nb", "\r\n"}, {OK_CHUNKS "1\r\nb\r", "\n"},
		{OK_CHUNKS "0\r\n", "\r\n"}, {OK_CHUNKS "0\r\nX", ": 1\r\n"},
		{OK_CHUNKS "0\r\nX: ", "1\r\n"}};

	for (unsigned int i = 0; i < ARRAY_LEN(positions); i++) {
		GString *text = g_string_new(positions[i].before);
		verdict_t verdict;

		g_string_append_c(text, '\0');
		g_string_append(text, positions[i].after);
		verdict = judge_whole(HTTP_CHECK_RESPONSE, text->str, text->len);
		assert_int_not_equal(verdict.fault, HTTP_FAULT_NONE);
		assert_int_equal(verdict.used, strlen(positions[i].before));
		g_string_free(text, TRUE);
	}
}

/* Bytes behind a message are not its own. */
static void test_message_ends_where_its_length_says(void **state)
{
	static const char *const messages[] = {OK "Content-Length: 3\r\n\r\nabc",
		OK "Content-Length: 0\r\n\r\n", OK_CHUNKS "2\r\nab\r\n0\r\nX-A: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"};

	for (unsigned int i = 0; i < ARRAY_LEN(messages); i++) {
		char *text = g_strconcat(messages[i], "HTTP/1.1 500 Next\r\n\r\n", NULL);
		verdict_t verdict = judge_whole(HTTP_CHECK_RESPONSE, text, strlen(text));

		assert_true(verdict.is_whole);
		assert_int_equal(verdict.used, strlen(messages[i]));
		g_free(text);
	}
}

static void test_response_to_head_has_no_body(void **state)
{
	const char *text = OK "Content-Length: 9\r\n\r\n";
	http_check_t check;

	http_check_init(&check, HTTP_CHECK_RESPONSE);
	assert_int_equal(http_check_feed(&check, text, strlen(text)), strlen(text));
	assert_false(http_check_is_in_head(&check));
	assert_false(http_check_is_done(&check));
	http_check_skip_body(&check);
	assert_true(http_check_is_done(&check));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_broken_responses_have_their_fault),
		cmocka_unit_test(test_sound_responses_have_none),
		cmocka_unit_test(test_only_statuses_of_the_protocol_are_sound),
		cmocka_unit_test(test_nul_is_a_fault_everywhere),
		cmocka_unit_test(test_message_ends_where_its_length_says),
		cmocka_unit_test(test_response_to_head_has_no_body),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
