/* threaded: stream_versions - streams that break off while endpoints of two versions serve */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 10000
#define SAVE_MS 2500 /* within which a router has saved which version began a stream */
#define LAST_EVENT 4
#define BREAK_AFTER 1 /* last event that a breaking endpoint sends */
#define STREAMS 12
#define ROWS_PER_ROUTER 10
#define RECORDS_PER_ROW 60
#define RECORD_BYTES 16

/* What an endpoint does after BREAK_AFTER. */
typedef enum stream_mode {
	STREAM_COMPLETE,
	STREAM_BREAKS,	      /* a stream that begins breaks off */
	STREAM_ALWAYS_BREAKS, /* and no stream goes on */
	STREAM_PAUSES,	      /* a stream that begins pauses until its connection is closed */
} stream_mode_t;

/* An endpoint of one software version: its events have that version in their text. */
typedef struct version_endpoint {
	raw_endpoint_t *endpoint;
	const char *version;
	int mode; /* stream_mode_t, accessed atomically */
} version_endpoint_t;

static void write_chunk(int fd, const char *data)
{
	char *text = g_strdup_printf("%zx\r\n%s\r\n", strlen(data), data);

	raw_write(fd, text);
	g_free(text);
}

static void wait_until_closed(int fd)
{
	char byte;

	while (read(fd, &byte, sizeof(byte)) > 0)
		;
}

static bool respond_stream(void *ctx, int fd, const raw_request_t *request)
{
	version_endpoint_t *this = ctx;
	char *last_id = raw_request_header(request, "Last-Event-Id");
	int first = last_id ? atoi(last_id) + 1 : 0;
	int mode = __atomic_load_n(&this->mode, __ATOMIC_SEQ_CST);
	bool whole = first ? mode != STREAM_ALWAYS_BREAKS : mode == STREAM_COMPLETE;
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
		request->id);

	g_free(last_id);
	raw_write(fd, head);
	g_free(head);
	for (int i = first; i <= (whole ? LAST_EVENT : BREAK_AFTER); i++) {
		char *event = g_strdup_printf("id: %d\ndata: %s\n\n", i, this->version);

		write_chunk(fd, event);
		g_free(event);
	}
	if (whole)
		raw_write(fd, "0\r\n\r\n");
	else if (mode == STREAM_PAUSES)
		wait_until_closed(fd);
	return whole;
}

typedef struct version_fixture {
	fixture_t *router;
	version_endpoint_t endpoints[FIXTURE_ENDPOINTS];
} version_fixture_t;

/* Starts an endpoint for each of `versions`, a NULL-terminated list. */
static version_fixture_t *version_fixture_new(const char *const *versions)
{
	version_fixture_t *this = g_new0(version_fixture_t, 1);
	unsigned int count;

	this->router = fixture_new_router("r", NULL);
	for (count = 0; versions[count]; count++) {
		version_endpoint_t *endpoint = &this->endpoints[count];

		endpoint->version = versions[count];
		endpoint->endpoint = fixture_add_endpoint(this->router, respond_stream, endpoint);
		fixture_register_version(this->router, count, "ready", versions[count]);
	}
	fixture_wait_ready(this->router, count);
	sleep_ms(100); /* the last version replaces the one that was registered first */
	return this;
}

static void version_fixture_delete(version_fixture_t *this)
{
	fixture_delete(this->router);
	g_free(this);
}

static void set_mode(version_fixture_t *this, stream_mode_t mode)
{
	for (unsigned int i = 0; i < FIXTURE_ENDPOINTS; i++)
		__atomic_store_n(&this->endpoints[i].mode, mode, __ATOMIC_SEQ_CST);
}

static char *send_stream(fixture_t *router, const char *id, const char *extra)
{
	char *headers = g_strdup_printf("%sConnection: close\r\n", extra);
	char *text = fixture_format_request("POST", "/draft/", id, headers, "x");
	char *response = fixture_send_and_read(router, text, WAIT_MS);

	g_free(text);
	g_free(headers);
	return response;
}

/* Takes up the stream that the attempt `id` began, after the events up to BREAK_AFTER. */
static char *take_up(fixture_t *router, const char *id)
{
	char *extra = g_strdup_printf("Last-Event-Id: %d\r\nResumes: %s\r\n", BREAK_AFTER, id);
	char *response = send_stream(router, "again", extra);

	g_free(extra);
	return response;
}

static bool has_version(const char *response, const char *version)
{
	char *data = g_strdup_printf("data: %s\n", version);
	bool found = strstr(response, data) != NULL;

	g_free(data);
	return found;
}

static bool is_joined(const char *response)
{
	return has_version(response, "v1") && has_version(response, "v2");
}

/* Begins a stream whose connection breaks; returns whether it began at v1. */
static bool begin_broken_stream(fixture_t *router, const char *id)
{
	char *text = fixture_format_request("POST", "/draft/", id, "", "x");
	int fd = fixture_connect(router->caller_address);
	char *received;
	bool is_v1;

	raw_write(fd, text);
	received = fixture_read_until(fd, "id: 1\n", WAIT_MS);
	close(fd);
	is_v1 = has_version(received, "v1");
	g_free(received);
	g_free(text);
	return is_v1;
}

/* Begins `count` streams s0, s1, ... whose connections break; sets which of them began at v1. */
static void begin_broken_streams(version_fixture_t *this, unsigned int count, bool *is_v1)
{
	set_mode(this, STREAM_PAUSES);
	for (unsigned int i = 0; i < count; i++) {
		char *id = g_strdup_printf("s%u", i);

		is_v1[i] = begin_broken_stream(this->router, id);
		g_free(id);
	}
	set_mode(this, STREAM_COMPLETE);
	sleep_ms(SAVE_MS);
}

/* Takes up the streams at the router; each has to go on at its own version. */
static void take_up_all(fixture_t *router, unsigned int count, const bool *is_v1)
{
	for (unsigned int i = 0; i < count; i++) {
		char *id = g_strdup_printf("s%u", i);
		char *response = take_up(router, id);

		assert_false(has_version(response, is_v1[i] ? "v2" : "v1"));
		assert_true(has_version(response, is_v1[i] ? "v1" : "v2"));
		assert_non_null(strstr(response, "id: 4\n"));
		g_free(response);
		g_free(id);
	}
}

static const char *const two_of_each[] = {"v1", "v2", "v2", "v1", NULL};

static void test_broken_stream_goes_on_at_its_own_version(void **state)
{
	version_fixture_t *f = version_fixture_new(two_of_each);

	__atomic_store_n(&f->endpoints[0].mode, STREAM_BREAKS, __ATOMIC_SEQ_CST);
	for (unsigned int i = 0; i < 3 * STREAMS; i++) {
		char *response = send_stream(f->router, "id", "");

		assert_false(is_joined(response));
		assert_non_null(strstr(response, "id: 4\n"));
		g_free(response);
	}
	version_fixture_delete(f);
}

/* The caller sees that its stream is not complete, and can begin it anew. */
static void test_broken_stream_without_another_endpoint_of_its_version_ends_truncated(void **state)
{
	static const char *const versions[] = {"v1", "v2", "v2", NULL};
	version_fixture_t *f = version_fixture_new(versions);
	unsigned int broken = 0;

	__atomic_store_n(&f->endpoints[0].mode, STREAM_ALWAYS_BREAKS, __ATOMIC_SEQ_CST);
	for (unsigned int i = 0; i < 3 * STREAMS; i++) {
		char *response = send_stream(f->router, "id", "");

		assert_false(is_joined(response));
		if (has_version(response, "v1")) {
			broken++;
			assert_null(strstr(response, "id: 4\n"));
		}
		g_free(response);
	}
	assert_true(broken > 0);
	version_fixture_delete(f);
}

static void test_stream_taken_up_at_another_router_goes_on_at_its_version(void **state)
{
	version_fixture_t *f = version_fixture_new(two_of_each);
	fixture_t *second = fixture_new_router("s", f->router->store);
	bool is_v1[STREAMS];

	fixture_wait_ready(second, FIXTURE_ENDPOINTS);
	begin_broken_streams(f, STREAMS, is_v1);
	take_up_all(second, STREAMS, is_v1);
	fixture_delete(second);
	version_fixture_delete(f);
}

static void test_stream_taken_up_after_all_routers_were_killed_goes_on_at_its_version(void **state)
{
	version_fixture_t *f = version_fixture_new(two_of_each);
	bool is_v1[STREAMS];

	begin_broken_streams(f, STREAMS, is_v1);
	fixture_kill_router(f->router);
	fixture_restart_router(f->router);
	fixture_wait_ready(f->router, FIXTURE_ENDPOINTS);
	take_up_all(f->router, STREAMS, is_v1);
	version_fixture_delete(f);
}

/*
 * Adds what 60 other routers have saved in busy seconds: more streams than one router serves in the
 * time for which it remembers them.  Their rows come after those of the router "r".
 */
static void put_rows_of_sixty_routers(row_store_standin_t *store)
{
	for (unsigned int row = 0; row < 60 * ROWS_PER_ROUTER; row++) {
		char *key =
			g_strdup_printf("s%u/1/%u", row / ROWS_PER_ROUTER, row % ROWS_PER_ROUTER);
		char value[RECORDS_PER_ROW * RECORD_BYTES + 1];

		for (unsigned int i = 0; i < sizeof(value) - 1; i++)
			value[i] = (char)g_random_int_range(1, 256);
		value[sizeof(value) - 1] = '\0';
		row_store_standin_put(store, "streams", key, value);
		g_free(key);
	}
}

static void test_stream_is_found_among_those_of_sixty_routers_after_all_were_killed(void **state)
{
	version_fixture_t *f = version_fixture_new(two_of_each);
	bool is_v1[STREAMS];

	begin_broken_streams(f, STREAMS, is_v1);
	put_rows_of_sixty_routers(f->router->store);
	fixture_kill_router(f->router);
	fixture_restart_router(f->router);
	fixture_wait_ready(f->router, FIXTURE_ENDPOINTS);
	take_up_all(f->router, STREAMS, is_v1);
	version_fixture_delete(f);
}

/* Routers of one failure domain: one of them saves the streams of all. */
static void test_streams_of_several_routers_go_on_after_all_were_killed(void **state)
{
	version_fixture_t *f = version_fixture_new(two_of_each);
	fixture_t *routers[3] = {f->router};
	bool is_v1[ARRAY_LEN(routers)];

	for (unsigned int i = 1; i < ARRAY_LEN(routers); i++) {
		routers[i] = fixture_new_router(i == 1 ? "s" : "t", f->router->store);
		fixture_wait_ready(routers[i], FIXTURE_ENDPOINTS);
	}
	for (unsigned int i = 0; i < ARRAY_LEN(routers); i++)
		assert_true(fixture_wait_metric(routers[i], "routers_alive", 3));
	sleep_ms(SAVE_MS);
	set_mode(f, STREAM_PAUSES);
	for (unsigned int i = 0; i < ARRAY_LEN(routers); i++) {
		char id[] = {'s', (char)('0' + i), '\0'};

		is_v1[i] = begin_broken_stream(routers[i], id);
	}
	set_mode(f, STREAM_COMPLETE);
	sleep_ms(SAVE_MS);
	for (unsigned int i = 0; i < ARRAY_LEN(routers); i++)
		fixture_kill_router(routers[i]);
	fixture_restart_router(routers[0]);
	fixture_wait_ready(routers[0], FIXTURE_ENDPOINTS);
	take_up_all(routers[0], ARRAY_LEN(routers), is_v1);
	for (unsigned int i = 1; i < ARRAY_LEN(routers); i++)
		fixture_delete(routers[i]);
	version_fixture_delete(f);
}

static bool is_refused(const char *response)
{
	return strstr(response, "HTTP/1.1 503 ") != NULL;
}

static bool is_refused_for(const char *response, const char *reason)
{
	return is_refused(response) && strstr(response, reason);
}

/* Sends a request that takes up a stream after BREAK_AFTER; `extra` names the stream. */
static char *take_up_with(fixture_t *router, const char *path, const char *key, const char *extra)
{
	char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: " FIXTURE_HOST
				     "\r\nRequest-Id: again\r\nAuthorization: Bearer %s\r\n"
				     "Last-Event-Id: %d\r\n%sConnection: close\r\n"
				     "Content-Length: 1\r\n\r\nx",
		path, key, BREAK_AFTER, extra);
	char *response = fixture_send_and_read(router, text, WAIT_MS);

	g_free(text);
	return response;
}

/* Without a known beginning, the caller has to begin anew: it is told at once that nothing has run.
 */
static void test_stream_of_unknown_version_is_refused(void **state)
{
	static const struct {
		const char *path;
		const char *key;
		const char *extra;
	} cases[] = {
		{"/draft/", "k1", ""},			   /* it names no stream */
		{"/draft/", "k1", "Resumes: nobodys\r\n"}, /* an unknown one */
		{"/draft/", "k2", "Resumes: s0\r\n"},	   /* another workspace's */
		{"/draft/other", "k1", "Resumes: s0\r\n"}, /* of another request */
		{"/draft/", "k1", "Resumes: \r\n"},
	};
	version_fixture_t *f = version_fixture_new(two_of_each);
	bool is_v1;

	begin_broken_streams(f, 1, &is_v1);
	for (unsigned int i = 0; i < ARRAY_LEN(cases); i++) {
		char *response =
			take_up_with(f->router, cases[i].path, cases[i].key, cases[i].extra);

		assert_true(is_refused_for(response, "stream-unknown"));
		g_free(response);
	}
	take_up_all(f->router, 1, &is_v1);
	version_fixture_delete(f);
}

/* As long as a service has one version, there is nothing to tell apart, also after a restart. */
static void test_any_stream_goes_on_while_there_is_one_version(void **state)
{
	static const char *const versions[] = {"v1", "v1", NULL};
	version_fixture_t *f = version_fixture_new(versions);

	for (unsigned int run = 0; run < 2; run++) {
		char *unnamed = take_up_with(f->router, "/draft/", "k1", "");
		char *unknown = take_up_with(f->router, "/draft/", "k1", "Resumes: nobodys\r\n");

		assert_true(has_version(unnamed, "v1"));
		assert_true(has_version(unknown, "v1"));
		g_free(unnamed);
		g_free(unknown);
		fixture_kill_router(f->router);
		fixture_restart_router(f->router);
		fixture_wait_ready(f->router, 2);
	}
	version_fixture_delete(f);
}

/* The streams began before there was a second version, so they were not saved at once. */
static void test_stream_that_began_before_the_second_version_goes_on(void **state)
{
	static const char *const versions[] = {"v1", "v1", NULL};
	version_fixture_t *f = version_fixture_new(versions);
	fixture_t *second = fixture_new_router("s", f->router->store);
	bool is_v1[STREAMS];

	fixture_wait_ready(second, 2);
	begin_broken_streams(f, STREAMS, is_v1);
	f->endpoints[2].version = "v2";
	fixture_add_endpoint(f->router, respond_stream, &f->endpoints[2]);
	fixture_register_version(f->router, 2, "ready", "v2");
	sleep_ms(SAVE_MS);
	take_up_all(second, STREAMS, is_v1);
	fixture_delete(second);
	version_fixture_delete(f);
}

/* All endpoints of the version have left; that is no reason to join the stream to another. */
static void test_stream_whose_version_has_left_is_refused(void **state)
{
	version_fixture_t *f = version_fixture_new(two_of_each);
	bool is_v1[STREAMS];

	begin_broken_streams(f, STREAMS, is_v1);
	fixture_register_version(f->router, 0, "draining", "v1");
	fixture_register_version(f->router, 3, "draining", "v1");
	sleep_ms(SAVE_MS);
	for (unsigned int i = 0; i < STREAMS; i++) {
		char *id = g_strdup_printf("s%u", i);
		char *response = take_up(f->router, id);

		if (is_v1[i])
			assert_true(is_refused_for(response, "stream-version-gone"));
		else
			assert_true(has_version(response, "v2"));
		g_free(response);
		g_free(id);
	}
	version_fixture_delete(f);
}

/* The old version has just left when all routers are killed: only the new one is registered. */
static void test_stream_is_not_joined_to_the_only_version_left_after_a_restart(void **state)
{
	version_fixture_t *f = version_fixture_new(two_of_each);
	char *response;
	bool is_v1[STREAMS];

	begin_broken_streams(f, STREAMS, is_v1);
	row_store_standin_delete_row(f->router->store, "servers", "i-0");
	row_store_standin_delete_row(f->router->store, "servers", "i-3");
	fixture_kill_router(f->router);
	fixture_restart_router(f->router);
	fixture_wait_ready(f->router, 2);
	response = take_up_with(f->router, "/draft/", "k1", "Resumes: lost\r\n");
	assert_true(is_refused_for(response, "stream-unknown"));
	g_free(response);
	version_fixture_delete(f);
}

/* The store can't be asked: the caller is told when to come back. */
static void test_stream_is_refused_for_now_while_the_store_is_down(void **state)
{
	version_fixture_t *f = version_fixture_new(two_of_each);
	char *response;

	row_store_standin_set_fault(f->router->store, STORE_FAULT_UNAVAILABLE);
	response = take_up_with(f->router, "/draft/", "k1", "Resumes: somewhere\r\n");
	assert_true(is_refused_for(response, "stream-unknown"));
	assert_non_null(strstr(response, "Retry-After: "));
	g_free(response);
	version_fixture_delete(f);
}

/*
 * The router has missed that an endpoint of another version has joined, where the stream may have
 * begun: it is busy with the change before.
 */
static void test_stream_is_not_joined_by_a_router_that_has_missed_a_version(void **state)
{
	fixture_options_t options = {
		.settings = ",\"store_wait_ms\":1000,\"store_pause_ms\":5000",
		.idle_timeout_ms = 1000,
	};
	version_endpoint_t endpoints[2] = {{.version = "v1"}, {.version = "v2"}};
	fixture_t *router = fixture_new_with(&options);
	char *response;

	fixture_wait_ready(router, 0);
	endpoints[0].endpoint = fixture_add_endpoint(router, respond_stream, &endpoints[0]);
	fixture_wait_ready(router, 1);
	router->endpoints[1] = raw_endpoint_new(respond_stream, &endpoints[1]);
	fixture_register_version(router, 1, "ready", "v2");
	response = take_up_with(router, "/draft/", "k1", "Resumes: elsewhere\r\n");
	assert_true(is_refused_for(response, "stream-unknown"));
	g_free(response);
	fixture_delete(router);
}

/* Cut off from the store, the router can't tell whether there is another version by now. */
static void test_stream_is_refused_by_a_router_of_one_version_that_is_cut_off(void **state)
{
	static const char *const versions[] = {"v1", "v1", NULL};
	static const store_fault_t faults[] = {STORE_FAULT_UNAVAILABLE, STORE_FAULT_HANG};

	for (unsigned int i = 0; i < ARRAY_LEN(faults); i++) {
		version_fixture_t *f = version_fixture_new(versions);
		char *response;

		row_store_standin_set_fault(f->router->store, faults[i]);
		response = take_up_with(f->router, "/draft/", "k1", "Resumes: elsewhere\r\n");
		assert_true(is_refused_for(response, "stream-unknown"));
		assert_non_null(strstr(response, "Retry-After: "));
		g_free(response);
		row_store_standin_set_fault(f->router->store, STORE_FAULT_NONE);
		version_fixture_delete(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_broken_stream_goes_on_at_its_own_version),
		cmocka_unit_test(
			test_broken_stream_without_another_endpoint_of_its_version_ends_truncated),
		cmocka_unit_test(test_stream_taken_up_at_another_router_goes_on_at_its_version),
		cmocka_unit_test(
			test_stream_taken_up_after_all_routers_were_killed_goes_on_at_its_version),
		cmocka_unit_test(
			test_stream_is_found_among_those_of_sixty_routers_after_all_were_killed),
		cmocka_unit_test(test_streams_of_several_routers_go_on_after_all_were_killed),
		cmocka_unit_test(test_stream_of_unknown_version_is_refused),
		cmocka_unit_test(test_any_stream_goes_on_while_there_is_one_version),
		cmocka_unit_test(test_stream_that_began_before_the_second_version_goes_on),
		cmocka_unit_test(test_stream_whose_version_has_left_is_refused),
		cmocka_unit_test(
			test_stream_is_not_joined_to_the_only_version_left_after_a_restart),
		cmocka_unit_test(test_stream_is_refused_for_now_while_the_store_is_down),
		cmocka_unit_test(test_stream_is_not_joined_by_a_router_that_has_missed_a_version),
		cmocka_unit_test(test_stream_is_refused_by_a_router_of_one_version_that_is_cut_off),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
