#include "tests/gateway_fixture.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/http_exchange.h"

#define WAIT_TIMEOUT_MS 10000
#define POLL_INTERVAL_MS 5
#define MAX_AT_ONCE 64 /* of fixture_send_at_once() */
#define FIXTURE_WARM ",\"coldRemainingMs\":0"
#define DEFAULT_BODY_BYTES 65536
#define FIRST_PORT 10000
#define PORT_COUNT 9000 /* those of other tests begin at 19800 */
#define PORTS_PER_PROCESS 211

void fixture_free_address(char *out, size_t size)
{
	static int next_port;
	struct sockaddr_in addr = {.sin_family = AF_INET};
	unsigned int tries = 0;
	bool found = false;

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	while (!found) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int port = g_atomic_int_add(&next_port, 1) + getpid() * PORTS_PER_PROCESS;

		if (tries++ == PORT_COUNT)
			abort();
		addr.sin_port = htons((uint16_t)(FIRST_PORT + port % PORT_COUNT));
		found = !bind(fd, (struct sockaddr *)&addr, sizeof(addr));
		close(fd);
	}
	g_snprintf(out, size, "127.0.0.1:%u", ntohs(addr.sin_port));
}

static const char routes[] =
	"{\"name\":\"order\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/order/\","
	"\"kind\":\"non_idempotent\",\"timeoutMs\":2000,\"maxAttempts\":2,\"service\":\"shop\"},"
	"{\"name\":\"status\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/status/\","
	"\"kind\":\"idempotent\",\"timeoutMs\":2000,\"maxAttempts\":2,\"service\":\"shop\"},"
	"{\"name\":\"draft\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/draft/\","
	"\"kind\":\"streaming\",\"resumable\":true,\"timeoutMs\":4000,\"maxAttempts\":2,"
	"\"service\":\"shop\"},"
	"{\"name\":\"note\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/note/\","
	"\"kind\":\"streaming\",\"timeoutMs\":4000,\"maxAttempts\":1,\"service\":\"shop\"}";

void fixture_put_config(fixture_t *this, const char *extra_routes)
{
	char *text = g_strdup_printf(
		"{\"version\":%u,\"routes\":[%s%s],\"services\":[{\"name\":\"shop\","
		"\"healthPath\":\"/"
		"health\",\"maxConns\":%u%s}],\"limits\":{\"maxHeaderBytes\":4096,"
		"\"maxBodyBytes\":%u,\"headerTimeoutMs\":400,\"idleTimeoutMs\":%u},"
		"\"tenants\":[{\"name\":\"w1\",\"apiKeys\":[\"k1\",\"k1b\"]},"
		"{\"name\":\"w2\",\"apiKeys\":[\"k2\"]}]}",
		++this->config_version, routes, extra_routes, FIXTURE_MAX_CONNECTIONS,
		this->service_fields ? this->service_fields : "", this->max_body_bytes,
		this->idle_timeout_ms);

	row_store_standin_put(this->store, "op", "config", text);
	g_free(text);
}

static void write_row(fixture_t *this, unsigned int endpoint, const char *state,
	const char *version, const char *failure_domain, const char *cold)
{
	char *key = g_strdup_printf("i-%u", endpoint);
	char *text = g_strdup_printf(
		"{\"service\":\"shop\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\","
		"\"slots\":8,\"state\":\"%s\"%s,\"sequence\":1}",
		raw_endpoint_address(this->endpoints[endpoint]), failure_domain, version, state,
		cold);

	row_store_standin_put(this->store, "servers", key, text);
	g_free(text);
	g_free(key);
}

void fixture_register_version(
	fixture_t *this, unsigned int endpoint, const char *state, const char *version)
{
	write_row(this, endpoint, state, version, "z", FIXTURE_WARM);
}

void fixture_register_cold(fixture_t *this, unsigned int endpoint, const char *cold)
{
	write_row(this, endpoint, "ready", "v1", "z", cold);
}

void fixture_register_in(fixture_t *this, unsigned int endpoint, const char *failure_domain)
{
	write_row(this, endpoint, "ready", "v1", failure_domain, FIXTURE_WARM);
}

void fixture_register_endpoint(fixture_t *this, unsigned int endpoint, const char *state)
{
	fixture_register_version(this, endpoint, state, "v1");
}

raw_endpoint_t *fixture_start_endpoint(fixture_t *this, raw_handler_t handler, void *ctx)
{
	unsigned int i = 0;

	while (this->endpoints[i])
		i++;
	this->endpoints[i] = raw_endpoint_new(handler, ctx);
	return this->endpoints[i];
}

raw_endpoint_t *fixture_add_endpoint(fixture_t *this, raw_handler_t handler, void *ctx)
{
	raw_endpoint_t *endpoint = fixture_start_endpoint(this, handler, ctx);
	unsigned int i = 0;

	while (this->endpoints[i] != endpoint)
		i++;
	fixture_register_endpoint(this, i, "ready");
	return endpoint;
}

static void *run_gateway(void *ctx)
{
	fixture_t *this = ctx;

	return GUINT_TO_POINTER(gateway_run(this->gateway));
}

static gateway_settings_t *make_settings(fixture_t *this, const fixture_options_t *options)
{
	const char *store = options->use_second_address
				    ? row_store_standin_second_address(this->store)
				    : row_store_standin_address(this->store);
	char peer[32];
	char *path = NULL;
	char *text;
	gateway_settings_t *settings;
	error_list_t errors;
	int fd = g_file_open_tmp(NULL, &path, NULL);

	if (options->store_address)
		store = options->store_address;
	fixture_free_address(this->caller_address, sizeof(this->caller_address));
	fixture_free_address(this->ready_address, sizeof(this->ready_address));
	fixture_free_address(peer, sizeof(peer));
	text = g_strdup_printf("{\"name\":\"%s\",\"failure_domain\":\"z\",\"adapter\":\"rows\","
			       "\"caller_address\":\"%s\",\"ready_address\":\"%s\","
			       "\"peer_address\":\"%s\",\"store_address\":\"%s\","
			       "\"stop_grace_s\":6,\"expected_routers\":1,"
			       "\"retry_allowance\":100%s}",
		this->name, this->caller_address, this->ready_address, peer, store,
		options->settings);
	g_file_set_contents(path, text, -1, NULL);
	error_list_init(&errors, path);
	settings = gateway_settings_load(path, &errors);
	if (!settings)
		g_error("%s", errors.text->str);
	error_list_clear(&errors);
	close(fd);
	unlink(path);
	g_free(path);
	g_free(text);
	return settings;
}

fixture_t *fixture_new(void)
{
	fixture_options_t options = {.settings = "", .idle_timeout_ms = 1000};

	return fixture_new_with(&options);
}

fixture_t *fixture_new_with(const fixture_options_t *options)
{
	fixture_t *this = g_new0(fixture_t, 1);

	http_init();
	this->name = options->name ? options->name : "r";
	this->owns_store = !options->store;
	this->store = options->store ? options->store : row_store_standin_new("127.0.0.1:0");
	this->idle_timeout_ms = options->idle_timeout_ms;
	this->max_body_bytes = DEFAULT_BODY_BYTES;
	this->settings = make_settings(this, options);
	if (this->owns_store)
		fixture_put_config(this, "");
	fixture_restart_router(this);
	return this;
}

fixture_t *fixture_new_router(const char *name, row_store_standin_t *store)
{
	fixture_options_t options = {
		.settings = ",\"store_wait_ms\":1000,\"roster_wait_ms\":1000",
		.idle_timeout_ms = 1000,
		.name = name,
		.store = store,
	};

	return fixture_new_with(&options);
}

void fixture_restart_router(fixture_t *this)
{
	this->gateway = gateway_new(this->settings);
	if (!this->gateway)
		abort();
	this->stopped = false;
	pthread_create(&this->thread, NULL, run_gateway, this);
}

void fixture_kill_router(fixture_t *this)
{
	if (!this->stopped) {
		uv_stop(&this->gateway->loop);
		pthread_join(this->thread, NULL);
	}
	this->stopped = true;
	gateway_delete(this->gateway);
	this->gateway = NULL;
}

unsigned int fixture_stop(fixture_t *this)
{
	void *calls_ended;

	kill(getpid(), SIGTERM);
	pthread_join(this->thread, &calls_ended);
	this->stopped = true;
	return GPOINTER_TO_UINT(calls_ended);
}

void fixture_delete(fixture_t *this)
{
	if (!this->stopped) {
		uv_stop(&this->gateway->loop);
		pthread_join(this->thread, NULL);
	}
	for (unsigned int i = 0; i < FIXTURE_ENDPOINTS; i++)
		raw_endpoint_delete(this->endpoints[i]);
	if (this->owns_store)
		row_store_standin_delete(this->store);
	gateway_delete(this->gateway); /* NULL after fixture_kill_router() */
	gateway_settings_delete(this->settings);
	g_free(this);
}

int fixture_connect(const char *address)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	char **parts = g_strsplit(address, ":", 2);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_port = htons((uint16_t)atoi(parts[1]));
	inet_pton(AF_INET, parts[0], &addr.sin_addr);
	g_strfreev(parts);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* `expected` may be NULL: reads until the other side closes or `timeout_ms` pass. */
static char *read_until(int fd, const char *expected, unsigned int timeout_ms)
{
	instant_t deadline = clock_now() + timeout_ms * USEC_PER_MSEC;
	GString *received = g_string_new(NULL);
	char chunk[4096];
	ssize_t size_read;

	while (clock_now() < deadline && !(expected && strstr(received->str, expected))) {
		struct pollfd pfd = {.fd = fd, .events = POLLIN};

		if (poll(&pfd, 1, POLL_INTERVAL_MS) < 1)
			continue;
		size_read = read(fd, chunk, sizeof(chunk));
		if (size_read <= 0)
			break;
		g_string_append_len(received, chunk, size_read);
	}
	return g_string_free(received, FALSE);
}

char *fixture_read_until(int fd, const char *expected, unsigned int timeout_ms)
{
	return read_until(fd, expected, timeout_ms);
}

char *fixture_send_and_read(fixture_t *this, const char *text, unsigned int timeout_ms)
{
	int fd = fixture_connect(this->caller_address);
	char *response;

	raw_write(fd, text);
	response = read_until(fd, NULL, timeout_ms);
	close(fd);
	return response;
}

char *fixture_format_request(
	const char *method, const char *path, const char *id, const char *extra, const char *body)
{
	return g_strdup_printf("%s %s HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: %s\r\n"
			       "Authorization: Bearer k1\r\n%sContent-Length: %zu\r\n\r\n%s",
		method, path, id, extra, strlen(body), body);
}

bool fixture_wait_metrics(fixture_t *this, const char *first, const char *second)
{
	instant_t deadline = clock_now() + WAIT_TIMEOUT_MS * USEC_PER_MSEC;
	bool found = false;

	while (!found && clock_now() < deadline) {
		int fd = fixture_connect(this->ready_address);
		char *response;

		raw_write(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
		response = read_until(fd, NULL, WAIT_TIMEOUT_MS);
		found = strstr(response, first) && strstr(response, second);
		g_free(response);
		close(fd);
		if (!found)
			sleep_ms(POLL_INTERVAL_MS);
	}
	return found;
}

void fixture_wait_ready(fixture_t *this, unsigned int endpoints)
{
	char endpoint_metric[64];

	g_snprintf(
		endpoint_metric, sizeof(endpoint_metric), "amaranthwall_endpoints %u\n", endpoints);
	if (!fixture_wait_metrics(this, endpoint_metric, "amaranthwall_ready 1"))
		abort();
}

bool fixture_respond_hello(void *ctx, int fd, const raw_request_t *request)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
				     "Content-Length: 5\r\n\r\nhello",
		request->id);

	raw_write(fd, text);
	g_free(text);
	return true;
}

bool fixture_is_served(fixture_t *this, const char *name)
{
	char *text = g_strdup_printf("GET /%s/ HTTP/1.1\r\nHost: " FIXTURE_HOST
				     "\r\nRequest-Id: i\r\nConnection: close\r\n\r\n",
		name);
	char *response = fixture_send_and_read(this, text, WAIT_TIMEOUT_MS);
	bool served = strstr(response, "hello") != NULL;

	g_free(response);
	g_free(text);
	return served;
}

unsigned int fixture_send_at_once(fixture_t *this, const char *text, unsigned int count)
{
	int fds[MAX_AT_ONCE];
	unsigned int served = 0;

	for (unsigned int i = 0; i < count; i++) {
		fds[i] = fixture_connect(this->caller_address);
		raw_write(fds[i], text);
	}
	for (unsigned int i = 0; i < count; i++) {
		char *response = read_until(fds[i], NULL, WAIT_TIMEOUT_MS);

		served += strstr(response, "hello") != NULL;
		g_free(response);
		close(fds[i]);
	}
	return served;
}

bool fixture_wait_served(fixture_t *this, const char *name, bool served)
{
	instant_t deadline = clock_now() + WAIT_TIMEOUT_MS * USEC_PER_MSEC;

	while (fixture_is_served(this, name) != served) {
		if (clock_now() >= deadline)
			return false;
		sleep_ms(10);
	}
	return true;
}

bool fixture_wait_metric(fixture_t *this, const char *name, unsigned int value)
{
	char *metric = g_strdup_printf("amaranthwall_%s %u\n", name, value);
	bool found = fixture_wait_metrics(this, metric, "");

	g_free(metric);
	return found;
}
