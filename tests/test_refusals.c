/* refusals - the gateway's own responses to requests whose ids and headers are as long as allowed
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/log.h"
#include "gateway/gateway.h"
#include "tests/gateway_fixture.h"

#define FIRST_PORT 19500
#define PORTS 200
#define HEADER_BYTES 16384 /* of a request, names and values: maxHeaderBytes */
#define WAIT_S 5
#define MAX_RESPONSE 32768
#define STOP_REQUEST "GET /stop HTTP/1.1\r\n\r\n"

/* A gateway without endpoints or store, which ends each call with the reason that its path names.
 */
typedef struct refusing_server {
	uv_loop_t loop;
	gateway_t gateway;
	listener_t *listener;
	char address[32];
	pthread_t thread;
} refusing_server_t;

static const catalog_limits_t limits = {
	.header_bytes = HEADER_BYTES, .header_timeout_ms = 60000, .idle_timeout_ms = 60000};

static const catalog_limits_t *get_limits(void *ctx)
{
	return &limits;
}

static void ignore_accepted(void *ctx, uint64_t time_taken)
{
}

/* What may be known of the attempts of a request that is refused; bits of a number. */
#define MAY_REPEAT 1 /* the route is idempotent */
#define HAS_RUN 2    /* an earlier attempt may have run */
#define IS_SENT 4    /* an attempt is at its endpoint */
#define ATTEMPT_STATES 8

/* The path is /REASON/RETRY_AFTER_MS/STATE, or /stop. */
static void refuse(void *ctx, caller_t *caller, const caller_request_t *request)
{
	refusing_server_t *this = ctx;
	unsigned int reason = 0;
	unsigned int retry_after_ms = 0;
	unsigned int state = 0;
	call_t *call;

	if (sscanf(request->target->str, "/%u/%u/%u", &reason, &retry_after_ms, &state) != 3) {
		uv_stop(&this->loop);
		return;
	}
	call = call_new(&this->gateway, caller, request);
	call->id = g_strdup(caller_header(request, this->gateway.header_names->request_id));
	call->retry_after_s = retry_after_ms / 1000.0;
	call->is_idempotent = state & MAY_REPEAT;
	call->runs = state & HAS_RUN ? 1 : 0;
	call->request_sent = state & IS_SENT;
	call_fail(call, (reason_t)reason);
}

static void ignore_exchange_event(void *exchange)
{
}

static const caller_ops_t refusing_ops = {refuse, ignore_exchange_event, ignore_exchange_event};

static void *serve(void *ctx)
{
	refusing_server_t *this = ctx;

	uv_run(&this->loop, UV_RUN_DEFAULT);
	return NULL;
}

static refusing_server_t *refusing_server_new(void)
{
	refusing_server_t *this = g_new0(refusing_server_t, 1);
	listener_options_t options = {
		.loop = &this->loop,
		.address = this->address,
		.ops = &refusing_ops,
		.ctx = this,
		.limits = get_limits,
		.on_accepted = ignore_accepted,
		.max_callers = 64,
	};

	uv_loop_init(&this->loop);
	this->gateway.header_names = adapter_find("rows")->header_names;
	CDS_INIT_LIST_HEAD(&this->gateway.calls);
	for (unsigned int i = 0; i < PORTS && !this->listener; i++) {
		g_snprintf(this->address, sizeof(this->address), "127.0.0.1:%u", FIRST_PORT + i);
		this->listener = listener_new(&options);
	}
	assert_non_null(this->listener);
	pthread_create(&this->thread, NULL, serve, this);
	return this;
}

static void refusing_server_delete(refusing_server_t *this)
{
	int fd = fixture_connect(this->address);

	raw_write(fd, STOP_REQUEST);
	pthread_join(this->thread, NULL);
	listener_delete(this->listener);
	uv_run(&this->loop, UV_RUN_DEFAULT);
	uv_loop_close(&this->loop);
	close(fd);
	g_free(this);
}

/* Connects; a response that does not come whole ends after WAIT_S. */
static int connect_to(const char *address)
{
	struct timeval wait = {.tv_sec = WAIT_S};
	int fd = fixture_connect(address);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	return fd;
}

/* Reads one response with a length; its head and body follow each other in the result. */
static char *read_response(int fd)
{
	GString *text = g_string_new(NULL);
	char *head_end = NULL;
	const char *length;

	while (!head_end && text->len < MAX_RESPONSE) {
		char byte;

		if (read(fd, &byte, 1) != 1)
			break;
		g_string_append_c(text, byte);
		head_end = g_str_has_suffix(text->str, "\r\n\r\n") ? text->str : NULL;
	}
	length = strstr(text->str, "\r\nContent-Length: ");
	for (unsigned long left = length ? strtoul(length + 18, NULL, 10) : 0; left; left--) {
		char byte;

		if (left > MAX_RESPONSE || read(fd, &byte, 1) != 1)
			break;
		g_string_append_c(text, byte);
	}
	return g_string_free(text, FALSE);
}

/* The whole response for the reason. */
static char *expected_response(reason_t reason, const char *id, unsigned int retry_after_ms)
{
	const reason_info_t *info = reason_info(reason);
	char *retry = info->retry_after && retry_after_ms
			      ? g_strdup_printf("Retry-After: %.3f\r\n", retry_after_ms / 1000.0)
			      : g_strdup("");
	char *text = g_strdup_printf(
		"HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s", info->status,
		http_status_str((enum http_status)info->status), id, retry, strlen(info->name),
		info->name);

	g_free(retry);
	return text;
}

static void check_refusal(
	int fd, reason_t reason, size_t id_size, unsigned int retry_after_ms, const char *extra)
{
	char *id = g_strnfill(id_size, 'i');
	char *request = g_strdup_printf("GET /%u/%u/0 HTTP/1.1\r\nRequest-Id: %s\r\n%s\r\n",
		(unsigned int)reason, retry_after_ms, id, extra);
	char *expected = expected_response(reason, id, retry_after_ms);
	char *response;

	raw_write(fd, request);
	response = read_response(fd);
	if (strcmp(response, expected))
		fail_msg("reason %s, id of %zu bytes, Retry-After %u ms: %.200s ... (%zu bytes of "
			 "%zu)",
			reason_info(reason)->name, id_size, retry_after_ms, response,
			strlen(response), strlen(expected));
	g_free(response);
	g_free(expected);
	g_free(request);
	g_free(id);
}

static void check_refusals(int fd, size_t id_size, const char *extra)
{
	for (unsigned int reason = REASON_NONE + 1; reason < REASON_COUNT; reason++) {
		check_refusal(fd, (reason_t)reason, id_size, 0, extra);
		check_refusal(fd, (reason_t)reason, id_size, 1, extra);
		check_refusal(fd, (reason_t)reason, id_size, 3600000, extra);
	}
}

/* Guards against response heads that are built in a buffer which a long id does not fit into. */
static void test_refusals_are_whole_whatever_the_length_of_the_id(void **state)
{
	static const size_t sizes[] = {1, 64, 225, 1000, 4096, 8191, 16000};
	refusing_server_t *server = refusing_server_new();
	int fd = connect_to(server->address);

	for (size_t size = 226; size < 262; size++)
		check_refusals(fd, size, "");
	for (size_t i = 0; i < ARRAY_LEN(sizes); i++)
		check_refusals(fd, sizes[i], "");
	close(fd);
	refusing_server_delete(server);
}

/* The longest head that is allowed: one long header, and as many short ones as fit. */
static void test_refusals_are_whole_whatever_the_other_headers(void **state)
{
	refusing_server_t *server = refusing_server_new();
	int fd = connect_to(server->address);
	char *value = g_strnfill(HEADER_BYTES - 400, 'v');
	char *one = g_strdup_printf("X-Long: %s\r\n", value);
	GString *many = g_string_new(NULL);

	for (size_t i = 0; i < (HEADER_BYTES - 400) / 4; i++)
		g_string_append(many, "ab:cd\r\n");
	check_refusals(fd, 300, one);
	check_refusals(fd, 300, many->str);
	g_string_free(many, TRUE);
	g_free(one);
	g_free(value);
	close(fd);
	refusing_server_delete(server);
}

static unsigned int status_of(const char *response)
{
	return (unsigned int)strtoul(response + strlen("HTTP/1.1 "), NULL, 10);
}

/*
 * Guards against a refusal that denies a run which may have happened: every reason, for requests
 * that may and may not be repeated, with and without an attempt that may have run.
 */
static void test_no_refusal_denies_a_possible_run(void **state)
{
	refusing_server_t *server = refusing_server_new();
	int fd = connect_to(server->address);

	for (unsigned int reason = REASON_NONE + 1; reason < REASON_COUNT; reason++) {
		for (unsigned int attempt = 0; attempt < ATTEMPT_STATES; attempt++) {
			bool has_run = attempt & (HAS_RUN | IS_SENT);
			char *request =
				g_strdup_printf("GET /%u/100/%u HTTP/1.1\r\nRequest-Id: i\r\n\r\n",
					reason, attempt);
			char *response;
			unsigned int status;

			raw_write(fd, request);
			response = read_response(fd);
			status = status_of(response);
			if (has_run && !(attempt & MAY_REPEAT) && status_means_not_run(status))
				fail_msg("%s, state %u: %s", reason_info((reason_t)reason)->name,
					attempt, response);
			if (!has_run)
				assert_int_equal(status, reason_info((reason_t)reason)->status);
			g_free(response);
			g_free(request);
		}
	}
	close(fd);
	refusing_server_delete(server);
}

static char *refuse_at_router(fixture_t *f, const char *path, const char *id, const char *extra)
{
	char *text = fixture_format_request("POST", path, id, extra, "");
	int fd = connect_to(f->caller_address);
	char *response;

	raw_write(fd, text);
	response = read_response(fd);
	close(fd);
	g_free(text);
	return response;
}

/* The refusals that a router without endpoints gives, by its own filters and limits. */
static void test_a_router_refuses_requests_with_long_ids_and_serves_on(void **state)
{
	static const size_t sizes[] = {16, 228, 243, 260, 2000, 3900};
	fixture_t *f = fixture_new();

	fixture_wait_ready(f, 0);
	for (size_t i = 0; i < ARRAY_LEN(sizes); i++) {
		char *id = g_strnfill(sizes[i], 'i');
		char *line = g_strdup_printf("\r\nRequest-Id: %s\r\n", id);
		const struct {
			const char *path;
			const char *extra;
			const char *status;
		} cases[] = {
			{"/nowhere/", "", "HTTP/1.1 404 "},
			{"/order/", "", "HTTP/1.1 503 "},
			{"/order/", "Deadline-Ms: 1\r\n", "HTTP/1.1 503 "},
			{"/order/", "Deadline-Ms: x\r\n", "HTTP/1.1 400 "},
			{"/draft/", "Last-Event-Id: 5\r\n", "HTTP/1.1 503 "},
		};

		for (size_t c = 0; c < ARRAY_LEN(cases); c++) {
			char *response = refuse_at_router(f, cases[c].path, id, cases[c].extra);

			if (!g_str_has_prefix(response, cases[c].status) || !strstr(response, line))
				fail_msg("%s, id of %zu bytes: %.200s", cases[c].path, sizes[i],
					response);
			g_free(response);
		}
		g_free(line);
		g_free(id);
	}
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusals_are_whole_whatever_the_length_of_the_id),
		cmocka_unit_test(test_refusals_are_whole_whatever_the_other_headers),
		cmocka_unit_test(test_no_refusal_denies_a_possible_run),
		cmocka_unit_test(test_a_router_refuses_requests_with_long_ids_and_serves_on),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
