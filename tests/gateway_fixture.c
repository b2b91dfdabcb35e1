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

#define WAIT_MS 10000
#define STEP_MS 5

static void free_address(char *out, size_t size)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)))
		abort();
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	g_snprintf(out, size, "127.0.0.1:%u", ntohs(sin.sin_port));
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
		"\"healthPath\":\"/health\",\"maxConns\":%u}],\"limits\":{\"maxHeaderBytes\":4096,"
		"\"maxBodyBytes\":65536,\"headerTimeoutMs\":400,\"idleTimeoutMs\":1000},"
		"\"tenants\":[{\"name\":\"w1\",\"apiKeys\":[\"k1\",\"k1b\"]},"
		"{\"name\":\"w2\",\"apiKeys\":[\"k2\"]}]}",
		++this->version, routes, extra_routes, FIXTURE_MAX_CONNECTIONS);

	row_store_standin_put(this->store, "op", "config", text);
	g_free(text);
}

void fixture_register(fixture_t *this, unsigned int endpoint, const char *state)
{
	char *key = g_strdup_printf("i-%u", endpoint);
	char *text = g_strdup_printf(
		"{\"service\":\"shop\",\"address\":\"%s\",\"zone\":\"z\",\"version\":\"v1\","
		"\"slots\":8,\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":1}",
		raw_endpoint_address(this->endpoints[endpoint]), state);

	row_store_standin_put(this->store, "servers", key, text);
	g_free(text);
	g_free(key);
}

raw_endpoint_t *fixture_add_endpoint(fixture_t *this, raw_script_t script, void *ctx)
{
	unsigned int i = 0;

	while (this->endpoints[i])
		i++;
	this->endpoints[i] = raw_endpoint_new(script, ctx);
	fixture_register(this, i, "ready");
	return this->endpoints[i];
}

static void *run(void *ctx)
{
	fixture_t *this = ctx;

	return GUINT_TO_POINTER(gateway_run(this->gateway));
}

static gateway_settings_t *make_settings(fixture_t *this)
{
	char peer[32];
	char *path = NULL;
	char *text;
	gateway_settings_t *settings;
	faults_t faults;
	int fd = g_file_open_tmp(NULL, &path, NULL);

	free_address(this->callers, sizeof(this->callers));
	free_address(this->ready, sizeof(this->ready));
	free_address(peer, sizeof(peer));
	text = g_strdup_printf("{\"name\":\"r\",\"failure_domain\":\"z\",\"adapter\":\"rows\","
			       "\"caller_address\":\"%s\",\"ready_address\":\"%s\","
			       "\"peer_address\":\"%s\",\"store_address\":\"%s\","
			       "\"stop_grace_s\":6,\"expected_routers\":1,"
			       "\"retry_allowance\":100}",
		this->callers, this->ready, peer, row_store_standin_address(this->store));
	g_file_set_contents(path, text, -1, NULL);
	faults_init(&faults, path);
	settings = gateway_settings_load(path, &faults);
	if (!settings)
		g_error("%s", faults.text->str);
	faults_clear(&faults);
	close(fd);
	unlink(path);
	g_free(path);
	g_free(text);
	return settings;
}

fixture_t *fixture_new(void)
{
	fixture_t *this = g_new0(fixture_t, 1);

	http_init();
	this->store = row_store_standin_new("127.0.0.1:0");
	this->settings = make_settings(this);
	fixture_put_config(this, "");
	this->gateway = gateway_new(this->settings);
	if (!this->gateway)
		abort();
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

unsigned int fixture_stop(fixture_t *this)
{
	void *left;

	kill(getpid(), SIGTERM);
	pthread_join(this->thread, &left);
	this->stopped = true;
	return GPOINTER_TO_UINT(left);
}

void fixture_delete(fixture_t *this)
{
	if (!this->stopped) {
		uv_stop(&this->gateway->loop);
		pthread_join(this->thread, NULL);
	}
	for (unsigned int i = 0; i < FIXTURE_ENDPOINTS; i++)
		raw_endpoint_delete(this->endpoints[i]);
	row_store_standin_delete(this->store);
	gateway_delete(this->gateway);
	gateway_settings_delete(this->settings);
	g_free(this);
}

int fixture_connect(const char *address)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char **parts = g_strsplit(address, ":", 2);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_port = htons((uint16_t)atoi(parts[1]));
	inet_pton(AF_INET, parts[0], &sin.sin_addr);
	g_strfreev(parts);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin))) {
		close(fd);
		return -1;
	}
	return fd;
}

static char *read_bytes(int fd, const char *what, unsigned int ms)
{
	instant_t until = clock_now() + ms * USEC_PER_MSEC;
	GString *got = g_string_new(NULL);
	char chunk[4096];
	ssize_t n;

	while (clock_now() < until && !(what && strstr(got->str, what))) {
		struct pollfd item = {.fd = fd, .events = POLLIN};

		if (poll(&item, 1, STEP_MS) < 1)
			continue;
		n = read(fd, chunk, sizeof(chunk));
		if (n <= 0)
			break;
		g_string_append_len(got, chunk, n);
	}
	return g_string_free(got, FALSE);
}

char *fixture_read_until(int fd, const char *what, unsigned int ms)
{
	return read_bytes(fd, what, ms);
}

char *fixture_exchange(fixture_t *this, const char *text, unsigned int ms)
{
	int fd = fixture_connect(this->callers);
	char *answer;

	raw_write(fd, text);
	answer = read_bytes(fd, NULL, ms);
	close(fd);
	return answer;
}

char *fixture_request(
	const char *method, const char *path, const char *id, const char *extra, const char *body)
{
	return g_strdup_printf("%s %s HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: %s\r\n"
			       "Authorization: Bearer k1\r\n%sContent-Length: %zu\r\n\r\n%s",
		method, path, id, extra, strlen(body), body);
}

bool fixture_wait_metrics(fixture_t *this, const char *one, const char *other)
{
	instant_t until = clock_now() + WAIT_MS * USEC_PER_MSEC;
	bool good = false;

	while (!good && clock_now() < until) {
		int fd = fixture_connect(this->ready);
		char *answer;

		raw_write(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
		answer = read_bytes(fd, NULL, WAIT_MS);
		good = strstr(answer, one) && strstr(answer, other);
		g_free(answer);
		close(fd);
		if (!good)
			sleep_ms(STEP_MS);
	}
	return good;
}

void fixture_wait_ready(fixture_t *this, unsigned int endpoints)
{
	char want[64];

	g_snprintf(want, sizeof(want), "amaranthwall_endpoints %u\n", endpoints);
	if (!fixture_wait_metrics(this, want, "amaranthwall_ready 1"))
		abort();
}
