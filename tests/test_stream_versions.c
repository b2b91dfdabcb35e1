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
#define SAVE_MS 1500 /* within which a router has saved which version began a stream */
#define LAST_EVENT 4
#define BREAK_AFTER 1 /* last event that a breaking endpoint sends */
#define STREAMS 8

/* An endpoint of one software version: its events have that version in their text. */
typedef struct version_endpoint {
	raw_endpoint_t *endpoint;
	const char *version;
	int breaks; /* accessed atomically: whether streams break off after BREAK_AFTER */
	int runs;   /* accessed atomically */
} version_endpoint_t;

static void write_chunk(int fd, const char *data)
{
	char *text = g_strdup_printf("%zx\r\n%s\r\n", strlen(data), data);

	raw_write(fd, text);
	g_free(text);
}

static bool respond_stream(void *ctx, int fd, const raw_request_t *request)
{
	version_endpoint_t *this = ctx;
	char *last_id = raw_request_header(request, "Last-Event-Id");
	int first = last_id ? atoi(last_id) + 1 : 0;
	bool breaks = !first && __atomic_load_n(&this->breaks, __ATOMIC_SEQ_CST);
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
		request->id);

	g_free(last_id);
	__atomic_add_fetch(&this->runs, 1, __ATOMIC_SEQ_CST);
	raw_write(fd, head);
	g_free(head);
	for (int i = first; i <= (breaks ? BREAK_AFTER : LAST_EVENT); i++) {
		char *event = g_strdup_printf("id: %d\ndata: %s\n\n", i, this->version);

		write_chunk(fd, event);
		g_free(event);
	}
	if (!breaks)
		raw_write(fd, "0\r\n\r\n");
	return !breaks;
}

typedef struct version_fixture {
	fixture_t *router;
	version_endpoint_t endpoints[FIXTURE_ENDPOINTS];
} version_fixture_t;

static fixture_t *start_router(const char *name, row_store_standin_t *store)
{
	fixture_options_t options = {
		.settings = ",\"store_wait_ms\":1000,\"roster_wait_ms\":1000",
		.idle_timeout_ms = 1000,
		.name = name,
		.store = store,
	};

	return fixture_new_with(&options);
}

/* Starts an endpoint for each of `versions`, a NULL-terminated list. */
static version_fixture_t *version_fixture_new(const char *const *versions)
{
	version_fixture_t *this = g_new0(version_fixture_t, 1);
	unsigned int count;

	this->router = start_router("r", NULL);
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

static void set_breaks(version_fixture_t *this, const char *version, bool breaks)
{
	for (unsigned int i = 0; i < FIXTURE_ENDPOINTS; i++) {
		if (this->endpoints[i].version && !strcmp(this->endpoints[i].version, version))
			__atomic_store_n(&this->endpoints[i].breaks, breaks, __ATOMIC_SEQ_CST);
	}
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

/* Begins streams until one has begun at v1, broken off; returns its id, which the user frees. */
static char *begin_broken_stream(fixture_t *router)
{
	static int number;
	char *id = NULL;

	while (!id) {
		char *candidate = g_strdup_printf("s%d", number++);
		char *response = send_stream(router, candidate, "");

		if (has_version(response, "v1"))
			id = candidate;
		else
			g_free(candidate);
		g_free(response);
	}
	return id;
}

static void test_broken_stream_goes_on_at_its_own_version(void **state)
{
	static const char *const versions[] = {"v1", "v2", "v2", "v1", NULL};
	version_fixture_t *f = version_fixture_new(versions);

	__atomic_store_n(&f->endpoints[0].breaks, true, __ATOMIC_SEQ_CST);
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

	set_breaks(f, "v1", true);
	for (unsigned int i = 0; i < 3 * STREAMS; i++) {
		char *response = send_stream(f->router, "id", "");

		assert_false(is_joined(response));
		if (has_version(response, "v1")) {
			broken++;
			assert_null(strstr(response, "\r\n0\r\n"));
		}
		g_free(response);
	}
	assert_true(broken > 0);
	version_fixture_delete(f);
}

static void test_stream_taken_up_at_another_router_goes_on_at_its_version(void **state)
{
	static const char *const versions[] = {"v1", "v2", "v2", "v2", NULL};
	version_fixture_t *f = version_fixture_new(versions);
	fixture_t *second = start_router("s", f->router->store);

	fixture_wait_ready(second, 4);
	set_breaks(f, "v1", true);
	for (unsigned int i = 0; i < STREAMS; i++) {
		char *id = begin_broken_stream(f->router);
		char *response;

		sleep_ms(SAVE_MS);
		response = take_up(second, id);
		assert_false(has_version(response, "v2"));
		assert_true(has_version(response, "v1"));
		g_free(response);
		g_free(id);
	}
	fixture_delete(second);
	version_fixture_delete(f);
}

static void test_stream_taken_up_after_all_routers_were_killed_goes_on_at_its_version(void **state)
{
	static const char *const versions[] = {"v1", "v2", "v2", "v2", NULL};
	version_fixture_t *f = version_fixture_new(versions);
	char *ids[STREAMS];

	set_breaks(f, "v1", true);
	for (unsigned int i = 0; i < STREAMS; i++)
		ids[i] = begin_broken_stream(f->router);
	sleep_ms(SAVE_MS);
	fixture_kill_router(f->router);
	fixture_restart_router(f->router);
	fixture_wait_ready(f->router, 4);
	for (unsigned int i = 0; i < STREAMS; i++) {
		char *response = take_up(f->router, ids[i]);

		assert_false(has_version(response, "v2"));
		assert_true(has_version(response, "v1"));
		g_free(response);
		g_free(ids[i]);
	}
	version_fixture_delete(f);
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
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
