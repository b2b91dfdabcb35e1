/* threaded: broken_heads - what is no response in HTTP never reaches a caller as one */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "edge/log.h"
#include "tests/gateway_fixture.h"
#include "tests/raw_answers.h"

#define WAIT_MS 5000
#define OWN_FIELDS ENDPOINT_MARKER "Request-Id: %s\r\n"
#define PIECE 7 /* bytes */

/* Where the fault is: behind the head, a response may have begun, but does not look complete. */
typedef enum fault_place {
	FAULT_IN_HEAD,
	FAULT_IN_BODY,
} fault_place_t;

typedef struct route {
	const char *method;
	const char *name;
} route_t;

static const route_t routes[] = {
	{"GET", "status"}, {"POST", "order"}, {"POST", "note"}, {"POST", "draft"}};

/* The target differs each time: a request that ends several endpoints is refused. */
static char *ask(fixture_t *f, const route_t *route)
{
	static unsigned int number;
	char *path = g_strdup_printf("/%s/%u", route->name, number++);
	char *text =
		fixture_format_request(route->method, path, "mine", "Connection: close\r\n", "");
	char *response = fixture_send_and_read(f, text, WAIT_MS);

	g_free(text);
	g_free(path);
	return response;
}

/* A rig of one router and one endpoint that sends what the test sets. */
typedef struct rig {
	fixture_t *fixture;
	raw_sender_t sender;
	size_t piece; /* bytes that are sent at a time, 0: all */
	fault_place_t place;
	unsigned int broken; /* answers that were sent */
	unsigned int passed; /* of them, those that reached a caller */
} rig_t;

static void rig_init(rig_t *this)
{
	memset(this, 0, sizeof(*this));
	this->sender.own = OWN_FIELDS;
	this->fixture = fixture_new();
	fixture_add_endpoint(this->fixture, raw_sender_respond, &this->sender);
	fixture_wait_ready(this->fixture, 1);
}

/* Checks that none of the answers passed, and ends the rig. */
static void rig_finish(rig_t *this)
{
	fixture_delete(this->fixture);
	if (this->passed)
		fail_msg("%u of %u broken answers reached the caller", this->passed, this->broken);
}

static bool is_refused(const rig_t *this, const char *response)
{
	if (g_str_has_prefix(response, "HTTP/1.1 502 "))
		return true;
	return this->place == FAULT_IN_BODY &&
	       strcasestr(response, "\r\nTransfer-Encoding: chunked\r\n") &&
	       !g_str_has_suffix(response, "\r\n0\r\n\r\n");
}

static void try_broken(rig_t *this, const route_t *route, const char *name, const char *text)
{
	char *response;

	raw_sender_set(&this->sender, text, this->piece);
	response = ask(this->fixture, route);
	this->broken++;
	if (!is_refused(this, response)) {
		this->passed++;
		print_message("  %s, /%s/, pieces of %zu: %.60s\n", name, route->name, this->piece,
			response);
	}
	g_free(response);
}

static void check_sound(rig_t *this, const route_t *route, const raw_answer_t *answer)
{
	char *response;

	raw_sender_set(&this->sender, answer->text, this->piece);
	response = ask(this->fixture, route);
	if (!g_str_has_prefix(response, "HTTP/1.1 2") || !strstr(response, "hello"))
		fail_msg("%s, /%s/: %s", answer->name, route->name, response);
	g_free(response);
}

/* On each kind of route, whole and in pieces, with a sound answer behind each of the others. */
static void check_list(const raw_answer_t *list, fault_place_t place)
{
	rig_t rig;

	rig_init(&rig);
	rig.place = place;
	for (const raw_answer_t *answer = list; answer->name; answer++) {
		for (unsigned int i = 0; i < ARRAY_LEN(routes); i++) {
			for (rig.piece = 0; rig.piece <= PIECE; rig.piece += PIECE)
				try_broken(&rig, &routes[i], answer->name, answer->text);
		}
		rig.piece = 0;
		check_sound(&rig, &routes[0], raw_answers_sound);
	}
	rig_finish(&rig);
}

static void test_answer_without_a_status_is_no_answer(void **state)
{
	check_list(raw_answers_start_line, FAULT_IN_HEAD);
}

static void test_answer_with_a_broken_name_is_no_answer(void **state)
{
	check_list(raw_answers_names, FAULT_IN_HEAD);
}

static bool is_token_char(unsigned char c)
{
	return g_ascii_isalnum(c) || strchr("!#$%&'*+-.^_`|~", c);
}

/* Each character that no name has, at the beginning, in the middle and at the end. */
static void test_only_tokens_are_names(void **state)
{
	static const char *const formats[] = {"%cX-Custom: 1", "X-Cu%cstom: 1", "X-Custom%c: 1"};
	rig_t rig;

	rig_init(&rig);
	for (unsigned int c = 1; c <= UINT8_MAX; c++) {
		if (is_token_char((unsigned char)c) || c == ':')
			continue;
		for (unsigned int i = 0; i < ARRAY_LEN(formats); i++) {
			char *line = g_strdup_printf(formats[i], (int)c);
			char *text = raw_answer_with_field(i % 2 ? 404 : 200, line);
			char *name = g_strdup_printf("character %u at place %u", c, i);

			/* A line feed before a name ends the head. */
			if (c != '\n' || i)
				try_broken(&rig, &routes[0], name, text);
			g_free(name);
			g_free(text);
			g_free(line);
		}
	}
	rig_finish(&rig);
}

static void test_answer_with_a_broken_value_is_no_answer(void **state)
{
	check_list(raw_answers_values, FAULT_IN_HEAD);
}

static void test_answer_with_contradictory_framing_is_no_answer(void **state)
{
	check_list(raw_answers_framing, FAULT_IN_HEAD);
}

static void test_answer_with_broken_chunks_does_not_look_complete(void **state)
{
	check_list(raw_answers_chunks, FAULT_IN_BODY);
}

/* What is unusual, but sound, is served on each kind of route. */
static void test_sound_answers_are_served(void **state)
{
	rig_t rig;

	rig_init(&rig);
	for (const raw_answer_t *answer = raw_answers_sound; answer->name; answer++) {
		for (unsigned int i = 0; i < ARRAY_LEN(routes); i++) {
			for (rig.piece = 0; rig.piece <= PIECE; rig.piece += PIECE)
				check_sound(&rig, &routes[i], answer);
		}
	}
	rig_finish(&rig);
}

/* A broken answer is a failure of its endpoint: it is counted, and another serves the request. */
static void test_broken_answer_is_tried_again_elsewhere(void **state)
{
	raw_sender_t broken = {.own = OWN_FIELDS, .text = raw_answers_start_line[0].text};
	raw_sender_t sound = {.own = OWN_FIELDS, .text = raw_answers_sound[0].text};
	fixture_t *f = fixture_new();

	fixture_add_endpoint(f, raw_sender_respond, &broken);
	fixture_add_endpoint(f, raw_sender_respond, &sound);
	fixture_wait_ready(f, 2);
	for (unsigned int i = 0; i < 6; i++) {
		char *response = ask(f, &routes[0]);

		assert_non_null(strstr(response, "hello"));
		g_free(response);
	}
	assert_true(fixture_wait_metric(
		f, "responses_malformed_total", raw_endpoint_request_count(f->endpoints[0])));
	assert_true(raw_endpoint_request_count(f->endpoints[0]) > 0);
	fixture_delete(f);
}

/* A 304 names the length of a body that it does not have. */
static void test_304_ends_with_its_head(void **state)
{
	rig_t rig;
	char *response;

	rig_init(&rig);
	raw_sender_set(
		&rig.sender, "HTTP/1.1 304 Not Modified\r\n{own}Content-Length: 5\r\n\r\n", 0);
	response = ask(rig.fixture, &routes[0]);
	assert_true(g_str_has_prefix(response, "HTTP/1.1 304 "));
	g_free(response);
	rig_finish(&rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answer_without_a_status_is_no_answer),
		cmocka_unit_test(test_answer_with_a_broken_name_is_no_answer),
		cmocka_unit_test(test_only_tokens_are_names),
		cmocka_unit_test(test_answer_with_a_broken_value_is_no_answer),
		cmocka_unit_test(test_answer_with_contradictory_framing_is_no_answer),
		cmocka_unit_test(test_answer_with_broken_chunks_does_not_look_complete),
		cmocka_unit_test(test_sound_answers_are_served),
		cmocka_unit_test(test_broken_answer_is_tried_again_elsewhere),
		cmocka_unit_test(test_304_ends_with_its_head),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
