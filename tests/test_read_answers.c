/* threaded: read_answers - the clients that block read the same responses as sound, and no others
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <unistd.h>

#include "edge/http_exchange.h"
#include "tests/raw_answers.h"

#define ID "id1"
#define TIMEOUT_MS 1000
#define MAX_BODY 4096
#define BODY "hello\n\n"
#define PIECE 7 /* bytes */
#define UPLOAD_BYTES (12U << 20)
#define TRIES 8

/* Reads a whole response into `body`; false if there is none. */
typedef bool (*reader_t)(const http_options_t *options, GString *body);

static bool read_by_call(const http_options_t *options, GString *body)
{
	int status = 0;

	return http_call(options, MAX_BODY, body, &status) == HTTP_OK;
}

static bool read_by_exchange(const http_options_t *options, GString *body)
{
	http_exchange_t exchange;
	char buffer[MAX_BODY];
	ssize_t n = -1;

	if (http_exchange_begin(&exchange, options) == HTTP_OK) {
		while ((n = http_exchange_read(&exchange, buffer, sizeof(buffer))) > 0)
			g_string_append_len(body, buffer, n);
	}
	http_exchange_delete(&exchange);
	return n == 0;
}

typedef struct rig {
	reader_t reader;
	raw_endpoint_t *server;
	raw_sender_t sender;
	size_t piece; /* bytes that are sent at a time, 0: all */
	http_header_t header;
	http_options_t options;
	unsigned int broken;
	unsigned int passed;
} rig_t;

static void rig_init(rig_t *this, reader_t reader, bool resets)
{
	memset(this, 0, sizeof(*this));
	this->reader = reader;
	this->sender.own = "X-Request-Id: %s\r\n";
	this->sender.resets = resets;
	this->server = raw_endpoint_new(raw_sender_respond, &this->sender);
	this->header = (http_header_t){"Request-Id", ID};
	this->options = (http_options_t){
		.address = raw_endpoint_address(this->server),
		.method = "GET",
		.path = "/",
		.headers = &this->header,
		.header_count = 1,
		.connect_timeout_ms = TIMEOUT_MS,
		.read_timeout_ms = TIMEOUT_MS,
	};
}

static void rig_finish(rig_t *this)
{
	raw_endpoint_delete(this->server);
	if (this->passed)
		fail_msg("%u of %u broken answers were read as sound", this->passed, this->broken);
}

static bool read_answer(rig_t *this, const char *text, GString *body)
{
	raw_sender_set(&this->sender, text, this->piece);
	return this->reader(&this->options, body);
}

static void try_broken(rig_t *this, const raw_answer_t *answer)
{
	GString *body = g_string_new(NULL);

	this->broken++;
	if (read_answer(this, answer->text, body)) {
		this->passed++;
		print_message("  %s, pieces of %zu: %s\n", answer->name, this->piece, body->str);
	}
	g_string_free(body, TRUE);
}

static void check_sound(rig_t *this, const raw_answer_t *answer)
{
	GString *body = g_string_new(NULL);

	if (!read_answer(this, answer->text, body) || strcmp(body->str, BODY))
		fail_msg("%s, pieces of %zu: %s", answer->name, this->piece, body->str);
	g_string_free(body, TRUE);
}

static void check_all(reader_t reader, const raw_answer_t *list,
	void (*check)(rig_t *this, const raw_answer_t *answer))
{
	rig_t rig;

	rig_init(&rig, reader, false);
	for (; list->name; list++) {
		for (rig.piece = 0; rig.piece <= PIECE; rig.piece += PIECE)
			check(&rig, list);
	}
	rig_finish(&rig);
}

static void check_broken(reader_t reader, const raw_answer_t *list)
{
	check_all(reader, list, try_broken);
}

static void test_call_reads_no_broken_start_line(void **state)
{
	check_broken(read_by_call, raw_answers_start_line);
}

static void test_call_reads_no_broken_name(void **state)
{
	check_broken(read_by_call, raw_answers_names);
}

static void test_call_reads_no_broken_value(void **state)
{
	check_broken(read_by_call, raw_answers_values);
}

static void test_call_reads_no_contradictory_framing(void **state)
{
	check_broken(read_by_call, raw_answers_framing);
}

static void test_call_reads_no_broken_chunks(void **state)
{
	check_broken(read_by_call, raw_answers_chunks);
}

static void test_call_reads_sound_answers(void **state)
{
	check_all(read_by_call, raw_answers_sound, check_sound);
}

static void test_exchange_reads_no_broken_start_line(void **state)
{
	check_broken(read_by_exchange, raw_answers_start_line);
}

static void test_exchange_reads_no_broken_name(void **state)
{
	check_broken(read_by_exchange, raw_answers_names);
}

static void test_exchange_reads_no_broken_value(void **state)
{
	check_broken(read_by_exchange, raw_answers_values);
}

static void test_exchange_reads_no_contradictory_framing(void **state)
{
	check_broken(read_by_exchange, raw_answers_framing);
}

static void test_exchange_reads_no_broken_chunks(void **state)
{
	check_broken(read_by_exchange, raw_answers_chunks);
}

static void test_exchange_reads_sound_answers(void **state)
{
	check_all(read_by_exchange, raw_answers_sound, check_sound);
}

/* --- ends ------------------------------------------------------------------- */

static const char *const parts[] = {
	"HTTP/1.1 200 OK\r\n{own}\r\npart", "HTTP/1.0 201 Created\r\n{own}\r\npart"};

/* Returns how many of the parts were read as whole responses. */
static unsigned int count_parts(reader_t reader, bool is_long)
{
	char *upload = g_strnfill(is_long ? UPLOAD_BYTES : 1, 'x');
	unsigned int passed = 0;
	rig_t rig;

	rig_init(&rig, reader, true);
	if (is_long)
		raw_endpoint_answer_early(rig.server);
	rig.options.method = "POST";
	rig.options.body = upload;
	rig.options.body_len = strlen(upload);
	for (unsigned int i = 0; i < ARRAY_LEN(parts) * TRIES; i++) {
		GString *body = g_string_new(NULL);

		passed += read_answer(&rig, parts[i % ARRAY_LEN(parts)], body);
		g_string_free(body, TRUE);
	}
	rig_finish(&rig);
	g_free(upload);
	return passed;
}

static void check_resets(reader_t reader)
{
	assert_int_equal(count_parts(reader, false), 0);
	assert_int_equal(count_parts(reader, true), 0);
}

static void test_call_reads_no_part_before_a_reset(void **state)
{
	check_resets(read_by_call);
}

static void test_exchange_reads_no_part_before_a_reset(void **state)
{
	check_resets(read_by_exchange);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_call_reads_no_broken_start_line),
		cmocka_unit_test(test_call_reads_no_broken_name),
		cmocka_unit_test(test_call_reads_no_broken_value),
		cmocka_unit_test(test_call_reads_no_contradictory_framing),
		cmocka_unit_test(test_call_reads_no_broken_chunks),
		cmocka_unit_test(test_call_reads_sound_answers),
		cmocka_unit_test(test_call_reads_no_part_before_a_reset),
		cmocka_unit_test(test_exchange_reads_no_broken_start_line),
		cmocka_unit_test(test_exchange_reads_no_broken_name),
		cmocka_unit_test(test_exchange_reads_no_broken_value),
		cmocka_unit_test(test_exchange_reads_no_contradictory_framing),
		cmocka_unit_test(test_exchange_reads_no_broken_chunks),
		cmocka_unit_test(test_exchange_reads_sound_answers),
		cmocka_unit_test(test_exchange_reads_no_part_before_a_reset),
	};

	http_init();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
